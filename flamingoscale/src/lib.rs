//! flamingoscale is a rollout service for reinforcement learning. It routes requests from callers
//! (trainers and interactive clients) to endpoints (model engines and plain HTTP services).
//!
//! Callers connect to entry instances, which all run the same daemon. Durable state is kept in the
//! platform's append-only log, and every instance folds the same records into the same state:
//!
//! ```
//! use flamingoscale::record::{Envelope, Record};
//! use flamingoscale::state::State;
//!
//! let mut state = State::default();
//! let envelope = Envelope {
//!     writer: "n1".into(),
//!     incarnation: 7,
//!     serial: 1,
//!     record: Record::VersionPublished {
//!         trainer: "notes".into(),
//!         version: 3,
//!         bytes: 1_000,
//!     },
//! };
//! assert!(state.fold(0, &envelope).is_ok());
//! // A repeated append has no effect.
//! assert!(state.fold(1, &envelope).is_err());
//! assert_eq!(state.versions["notes"].version, 3);
//! ```
//!
//! The design is described in `docs/design/`, the terms in `docs/GLOSSARY.md`.

pub mod admin;
pub mod client;
pub mod clock;
pub mod configuration;
pub mod control;
pub mod controller;
pub mod daemon;
pub mod demand;
pub mod dispatch;
pub mod engine;
pub mod fleet;
pub mod gateway;
pub mod home;
pub mod instance;
pub mod keys;
pub mod lease;
pub mod log;
pub mod logging;
pub mod machine;
pub mod membership;
pub mod metrics;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod questionnaire;
pub mod record;
pub mod rollout;
pub mod routing;
pub mod service;
pub mod settings;
pub mod state;
pub mod timeline;
pub mod usage;
pub mod view;
pub mod wire;

#[cfg(test)]
mod fuzz;
