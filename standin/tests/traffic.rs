//! Traffic over several instances, with each failure brought about and the run counts of the
//! endpoints as the judge.

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
