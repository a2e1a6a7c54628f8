//! Selects between policies for the same decision, so that the effect of one can be measured.
//!
//! The plain policy is the default of each. See `docs/design/scarce-endpoints.md`.

use derive_more::{
    Display,
    Error, //
};

/// Result of parsing the name of a policy.
pub type Result<T> = std::result::Result<T, PolicyError>;

/// An unknown name of a policy.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{name:?}: expected {expected}")]
pub struct PolicyError {
    /// The name that was found.
    pub name: String,
    /// The names that are accepted.
    pub expected: &'static str,
}

/// When a running sample moves to another engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MovePolicy {
    /// When its events take much longer than those of other runs.
    #[default]
    Interval,
    /// When it is expected to finish sooner elsewhere.
    ExpectedRest,
}

/// What limits the samples that start on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The engine's slots.
    #[default]
    Slots,
    /// The engine's slots and its memory.
    Room,
}

/// The policies of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policies {
    /// When running samples move.
    pub move_samples: MovePolicy,
    /// What limits the samples of an engine.
    pub place_samples: PlacementPolicy,
    /// Whether the prompt parts that an engine still holds count in its choice.
    pub prefixes: bool,
    /// Whether endpoints are rented from the platform.
    pub rent_endpoints: bool,
}

impl std::str::FromStr for MovePolicy {
    type Err = PolicyError;

    fn from_str(name: &str) -> Result<Self> {
        one_of(
            name,
            "interval or expected_rest",
            &[
                ("interval", Self::Interval),
                ("expected_rest", Self::ExpectedRest),
            ],
        )
    }
}

impl std::str::FromStr for PlacementPolicy {
    type Err = PolicyError;

    fn from_str(name: &str) -> Result<Self> {
        one_of(
            name,
            "slots or room",
            &[("slots", Self::Slots), ("room", Self::Room)],
        )
    }
}

/// Parses a switch: `on` or `off`.
///
/// # Errors
///
/// [`PolicyError`] if the name is neither of them.
pub fn parse_switch(name: &str) -> Result<bool> {
    one_of(name, "on or off", &[("on", true), ("off", false)])
}

fn one_of<T: Copy>(name: &str, expected: &'static str, named: &[(&str, T)]) -> Result<T> {
    let found = named.iter().find(|(candidate, _)| *candidate == name);
    found.map(|(_, value)| *value).ok_or_else(|| PolicyError {
        name: name.to_owned(),
        expected,
    })
}
