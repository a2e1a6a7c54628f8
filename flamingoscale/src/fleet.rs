//! The instances of one deployment acting together over a shared store of keyed records.
//!
//! Every instance appends [`record::Record`]s to one ordered topic and folds what all of them
//! appended into one [`ledger::Ledger`]; the modules beside it decide from that fold and the time
//! alone, without sockets or clocks. The design is in `docs/design/shared-store.md`.

pub mod attempts;
pub mod choice;
pub mod configuration;
pub mod endpoints;
#[cfg(test)]
pub(crate) mod fixtures;
#[cfg(test)]
mod histories;
pub mod leases;
pub mod ledger;
pub mod loads;
pub mod migration;
pub mod record;
pub mod sampling;
pub mod texts;
pub mod usage;
