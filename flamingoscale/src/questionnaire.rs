//! The questionnaire: an INI file that is validated in full and from which the configuration is
//! generated.
//!
//! See `docs/operators/questionnaire.md` and `docs/design/configuration.md`.

use std::{
    fmt,
    sync::Arc, //
};

use ini::Ini;

use crate::{
    configuration::Configuration,
    settings::Fault, //
};

mod check;
mod difference;
mod reader;

pub use difference::difference;

/// The result of reading a questionnaire.
pub type Result<T> = std::result::Result<T, QuestionnaireError>;

/// Maximum size of a questionnaire, so that it fits into one log record with its configuration.
const MAX_QUESTIONNAIRE_BYTES: usize = 256 << 10;

/// Lists all faults of a questionnaire.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Error)]
pub struct QuestionnaireError {
    /// The faults, each with its section, key and remedy.
    pub faults: Vec<Fault>,
}

impl fmt::Display for QuestionnaireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            let (section, key) = (&fault.section, &fault.key);
            writeln!(formatter, "[{section}] {key}: {}", fault.remedy)?;
        }
        Ok(())
    }
}

/// Validates a questionnaire and generates the configuration from it.
///
/// # Errors
///
/// Returns a [`QuestionnaireError`] that lists every fault of the questionnaire.
pub fn generate(text: &str) -> Result<Configuration> {
    if text.len() > MAX_QUESTIONNAIRE_BYTES {
        let remedy = format!("over {MAX_QUESTIONNAIRE_BYTES} bytes: shorten the comments");
        return Err(single_fault("", remedy));
    }
    let ini = Ini::load_from_str(text).map_err(|error| {
        let remedy = format!(
            "not INI ({}): write `key = value` under `[kind name]`",
            error.msg
        );
        single_fault(&format!("line {}", error.line), remedy)
    })?;
    let (configuration, mut faults) = reader::read(&ini);
    faults.extend(check::check(&configuration));
    if faults.is_empty() {
        return Ok(configuration);
    }
    Err(QuestionnaireError { faults })
}

fn single_fault(key: &str, remedy: String) -> QuestionnaireError {
    let fault = fault("", key, remedy);
    QuestionnaireError {
        faults: vec![fault],
    }
}

fn fault(section: &str, key: &str, remedy: impl Into<String>) -> Fault {
    Fault {
        section: Arc::from(section),
        key: Arc::from(key),
        remedy: remedy.into(),
    }
}

/// Returns a questionnaire template with a comment on every key.
pub fn template() -> &'static str {
    include_str!("questionnaire/template.ini")
}
