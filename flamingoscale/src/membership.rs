//! Failure detection by gossip, in the style of SWIM: probes between peers, suspicion, refutation
//! and leaving.
//!
//! Membership never decides which instance holds a lease. See `docs/design/membership.md`.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

mod actor;
mod core;
mod gossip;

pub use self::{
    actor::MembershipController,
    core::{
        Action,
        Membership,
        ProbeId,
        Timing, //
    }, //
};

use crate::view::Member;

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Probes the receiver and carries gossip.
    Probe {
        /// The probing instance.
        sender: Member,
        /// Recent updates.
        gossip: Vec<Update>,
    },
    /// Answers a probe and carries gossip.
    Ack {
        /// The probed instance.
        sender: Member,
        /// Recent updates.
        gossip: Vec<Update>,
    },
    /// Asks the receiver to probe another member on behalf of the sender.
    ProbeRequest {
        /// The member to probe.
        target: Member,
    },
    /// Answers a [`Message::ProbeRequest`] whose target did not answer.
    NoAnswer,
    /// A full exchange: the sender's whole member list, answered with the receiver's.
    Exchange {
        /// The sending instance.
        sender: Member,
        /// Every member that the sender knows.
        members: Vec<Update>,
    },
}

/// The health of a member. Of two updates with the same refutation counter, the later variant takes
/// precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// The member answers probes.
    Alive,
    /// The member missed probes and may still refute the suspicion.
    Suspect,
    /// The member announced that it is shutting down.
    Leaving,
    /// The member failed or has left.
    Dead,
}

/// An update about one member, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member that the update is about.
    pub member: Member,
    /// The member's health.
    pub health: Health,
    /// Refutation counter, raised by the member itself to refute a suspicion.
    pub refutation: u32,
}

/// The name of an instance, as shown in logs.
pub type InstanceId = Arc<str>;

#[cfg(test)]
mod tests;
