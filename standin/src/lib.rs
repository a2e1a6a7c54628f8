//! Small in-process stand-ins for the systems that flamingoscale talks to: the platform, the weight
//! store, engines, plain services, trainers and callers.
//!
//! All stand-ins run in one process and listen on loopback ports that the kernel chooses. Each one
//! records what it observed, and the tests and the demo check flamingoscale against these records.
//! Faults are injected in process or by `POST /fault` with a [`faults::Fault`] as JSON.

pub mod caller;
pub mod cluster;
pub mod demo;
pub mod engine;
pub mod faults;
pub mod homes;
pub mod platform;
pub mod scenario;
pub mod server;
pub mod service;
pub mod trainer;
pub mod weight_store;
pub mod world;
