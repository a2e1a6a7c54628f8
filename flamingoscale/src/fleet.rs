//! Coordinates the instances of one deployment through a shared store of keyed records.
//!
//! Every instance appends [`record::Record`]s to one totally ordered topic and replays the records
//! of all instances into a [`ledger::Ledger`]. The other modules are pure decision logic: they
//! depend only on the ledger and the current time and use no sockets or clocks. The design is
//! described in `docs/design/shared-store.md`.

pub mod addresses;
pub mod answers;
pub mod appends;
pub mod attempts;
pub mod cells;
pub mod checkpoints;
pub mod choice;
pub mod clients;
pub mod configuration;
pub mod endpoints;
pub mod evacuation;
pub mod failures;
#[cfg(test)]
pub(crate) mod fixtures;
pub mod following;
#[cfg(test)]
mod histories;
pub mod leases;
pub mod ledger;
pub mod limits;
pub mod loads;
pub mod migration;
pub mod pace;
pub mod pacing;
pub mod placement;
pub mod policies;
pub mod prefixes;
pub mod reach;
pub mod record;
pub mod regions;
pub mod relays;
pub mod removals;
pub mod renting;
pub mod sampling;
pub mod scoring;
pub mod shutdown;
pub mod software;
pub mod statements;
pub mod streams;
pub mod suspects;
pub mod texts;
pub mod trainers;
pub mod usage;
pub mod warming;
