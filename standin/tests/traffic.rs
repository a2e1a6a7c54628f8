//! Traffic through several instances under injected failures. The tests compare the outcomes that
//! callers see with the number of runs that the endpoints count.

#[path = "traffic/faults.rs"]
mod faults;
#[path = "traffic/bed.rs"]
mod fixture;
#[path = "traffic/idempotency.rs"]
mod idempotency;
#[path = "traffic/load.rs"]
mod load;
#[path = "traffic/path.rs"]
mod path;
#[path = "traffic/shutdown.rs"]
mod shutdown;
