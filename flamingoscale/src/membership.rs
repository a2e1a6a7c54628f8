//! Who is alive: probes between peers, suspicion, refutation, leaving.
//!
//! Membership never decides who is in charge; leases do. See `docs/design/membership.md`.

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

/// What peers tell each other of members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Are you there? With what the sender knows.
    Probe {
        /// The sender itself.
        sender: Member,
        /// Recent changes.
        gossip: Vec<Update>,
    },
    /// Yes, with what the receiver knows.
    Ack {
        /// The receiver itself.
        sender: Member,
        /// Recent changes.
        gossip: Vec<Update>,
    },
    /// Probe this member for me.
    ProbeRequest {
        /// The member.
        target: Member,
    },
    /// The member that was to be probed did not answer.
    NoAnswer,
    /// Here is all that I know; tell me what you know.
    Exchange {
        /// The sender itself.
        sender: Member,
        /// Every member that the sender knows.
        members: Vec<Update>,
    },
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// It answers.
    Alive,
    /// It missed probes and may still refute.
    Suspect,
    /// It said that it goes.
    Leaving,
    /// It is gone.
    Dead,
}

/// One change that spreads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub member: Member,
    /// How it stands.
    pub health: Health,
    /// Raised by the member itself to refute a suspicion.
    pub refutation: u32,
}

/// Names the instance for logs.
pub type InstanceId = Arc<str>;

#[cfg(test)]
mod tests;
