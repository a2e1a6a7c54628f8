//! Small stand-ins for the systems that flamingoscale talks to: the platform, the weight store,
//! engines, plain services, trainers and callers.
//!
//! All run in one process on loopback with ports that the kernel chooses. Each keeps its own true
//! record of what happened, by which the tests and the demo judge; each takes faults in process
//! and by `POST /fault` with a [`faults::Fault`] as JSON.

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
