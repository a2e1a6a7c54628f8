//! Routing: which endpoint runs a request, which instance sends it there, and in which order.
//!
//! The modules contain decision logic without I/O. See `docs/design/homes.md` and
//! `docs/design/fairness.md`.

pub mod fair;
pub mod load;
pub mod rendezvous;
pub mod retry;
pub mod table;
