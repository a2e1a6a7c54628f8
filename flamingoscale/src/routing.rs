//! Which endpoint a request goes to, which instance sends it there, and at whose turn.
//!
//! Everything here is a plain decision core. See `docs/design/homes.md` and
//! `docs/design/fairness.md`.

pub mod fair;
pub mod load;
pub mod rendezvous;
pub mod retry;
pub mod table;
