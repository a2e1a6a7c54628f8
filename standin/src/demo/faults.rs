//! The fault plan of one run.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    }, //
};

use rand::{
    seq::SliceRandom as _,
    RngExt as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    nodes::Nodes,
    progress,
    world::{
        World,
        FAILURE_DOMAINS, //
    }, //
};
use crate::faults::{
    sleep_ms,
    Fault, //
};

/// Minimum time between the start of the callers and the first fault.
const FIRST_FAULT_AT_MS: u64 = 500;

/// Maximum interval between two faults.
const MAX_FAULT_INTERVAL_MS: u64 = 1_200;

/// Target of a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The platform stand-in.
    Platform,
    /// The weight store stand-in.
    Store,
    /// An engine, by its index among all engines ever started.
    Engine(usize),
    /// A plain service, by its index among all services ever started.
    Service(usize),
    /// Reclaims one endpoint of the platform's list.
    Reclaim {
        /// Index in the platform's list, modulo its length.
        endpoint: usize,
        /// Notice period in milliseconds.
        notice_ms: u64,
    },
    /// Kills a node without draining; the node is replaced later.
    Node(usize),
    /// Drains and stops a node; the node is not replaced.
    Drain(usize),
}

/// One fault with its time and target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    at_ms: u64,
    target: Target,
    fault: Fault,
}

/// All faults of one run, ordered by time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    faults: Vec<PlannedFault>,
}

impl PlannedFault {
    /// Creates a fault that is injected `at_ms` milliseconds after the start of the callers.
    pub fn new(at_ms: u64, target: Target, fault: Fault) -> Self {
        Self {
            at_ms,
            target,
            fault,
        }
    }
}

impl FaultPlan {
    /// Creates a plan from faults in any order.
    pub fn new(mut faults: Vec<PlannedFault>) -> Self {
        faults.sort_by_key(|planned| planned.at_ms);
        Self { faults }
    }

    /// Creates the plan for a seed: each kind of failure that the service must tolerate at least
    /// once, some twice, in random order.
    pub fn mixed(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = fault_mix(&mut random);
        faults.shuffle(&mut random);
        let mut at_ms = FIRST_FAULT_AT_MS;
        let planned = faults.into_iter().map(|(target, fault)| {
            at_ms += random.random_range(50..MAX_FAULT_INTERVAL_MS);
            PlannedFault {
                at_ms,
                target,
                fault,
            }
        });
        Self {
            faults: planned.collect(),
        }
    }
}

fn fault_mix(random: &mut ChaCha8Rng) -> Vec<(Target, Fault)> {
    let mut engine = || Target::Engine(random.random_range(0..3));
    let crashed = engine();
    let silent = engine();
    let unresponsive = engine();
    let lossy = engine();
    let failing = engine();
    let back_after_ms = Some(random.random_range(200..1_500));
    let for_ms = random.random_range(500..2_500);
    let service = Target::Service(random.random_range(0..2));
    let node = Target::Node(random.random_range(0..FAILURE_DOMAINS.len()));
    let reclaim = Target::Reclaim {
        endpoint: random.random_range(0..5),
        notice_ms: random.random_range(500..2_000),
    };
    vec![
        (crashed, Fault::Crash { back_after_ms }),
        (silent, Fault::SilenceOpen),
        (
            unresponsive,
            Fault::Silent {
                for_ms: Some(for_ms),
            },
        ),
        (lossy, Fault::LoseAnswers { count: 2 }),
        (failing, Fault::FailSwaps { count: 1 }),
        (service.clone(), Fault::LoseAnswers { count: 2 }),
        (service.clone(), Fault::Refuse { count: 3 }),
        (service, Fault::Crash { back_after_ms }),
        (Target::Platform, Fault::Outage { for_ms }),
        (Target::Platform, Fault::LoseAnswers { count: 3 }),
        (Target::Platform, Fault::SilenceOpen),
        (Target::Store, Fault::Outage { for_ms: 500 }),
        (reclaim, Fault::Clear),
        (node, Fault::Clear),
    ]
}

/// Injects the planned faults from a background task.
pub(super) fn inject(
    plan: FaultPlan,
    world: Rc<World>,
    nodes: Rc<Nodes>,
) -> actix_rt::task::JoinHandle<()> {
    let started = Instant::now();
    actix_rt::spawn(async move {
        for planned in plan.faults {
            let due = Duration::from_millis(planned.at_ms);
            let remaining = due.saturating_sub(started.elapsed());
            sleep_ms(remaining.as_millis() as u64).await;
            progress(&format!(
                "injecting fault into {:?}: {:?}",
                planned.target, planned.fault
            ));
            apply_fault(&planned, &world, &nodes).await;
        }
    })
}

async fn apply_fault(planned: &PlannedFault, world: &World, nodes: &Rc<Nodes>) {
    let fault = &planned.fault;
    match planned.target {
        Target::Platform => world.platform.inject_fault(fault),
        Target::Store => world.store.inject_fault(fault),
        Target::Engine(index) => world.engines()[index].inject_fault(fault),
        Target::Service(index) => world.services()[index].inject_fault(fault),
        Target::Reclaim {
            endpoint,
            notice_ms,
        } => {
            let listed = world.platform.endpoints();
            if let Some(listed) = listed.get(endpoint % listed.len().max(1)) {
                world.platform.reclaim(&listed.endpoint, notice_ms);
            }
        }
        Target::Node(index) => nodes.kill(index),
        Target::Drain(index) => nodes.drain(index).await,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn plan_is_deterministic_for_a_seed() {
        assert_eq!(FaultPlan::mixed(7), FaultPlan::mixed(7));
        assert_ne!(FaultPlan::mixed(7), FaultPlan::mixed(8));
    }
}
