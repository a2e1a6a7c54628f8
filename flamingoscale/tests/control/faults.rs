//! Random overlapping failures with fixed seeds. Some guarantees are checked during the failures,
//! others after all failures have ended.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::record::Record;
use futures::future::join_all;
use rand::{
    rngs::StdRng,
    RngExt as _,
    SeedableRng, //
};

use crate::fakes::{
    configuration,
    eventually,
    Cluster,
    Node, //
};

/// Seeds of the runs, which run concurrently.
const SEEDS: std::ops::Range<u64> = 1..13;

/// Number of faults and changes in one run.
const STEPS_PER_RUN: usize = 50;

/// Upper limit on the pause between two steps.
const MAX_PAUSE_MS: u64 = 600;

/// Number of API keys that are granted before the first failure.
const INITIAL_KEY_COUNT: usize = 4;

const INITIAL_INSTANCE_COUNT: usize = 4;

/// Maximum number of instances; steps add instances up to this number.
const MAX_INSTANCES: usize = 6;

/// Time after which no fresh instance accepts a withdrawn key.
const MAX_WITHDRAWAL_TIME: Duration = Duration::from_millis(5_000);

/// The changes that were acknowledged to operators.
#[derive(Default)]
struct Acknowledged {
    granted: Vec<Arc<str>>,
    /// Time at which each withdrawal was acknowledged, by key id.
    withdrawn: BTreeMap<Arc<str>, Instant>,
    /// Ids of the keys that an operator tried to withdraw, whether or not the withdrawal was
    /// acknowledged.
    withdrawal_attempted: Vec<Arc<str>>,
    revisions: Vec<u64>,
}

/// A cluster under random failures, with the state needed to check it.
struct FaultRun {
    cluster: Cluster,
    random: StdRng,
    acknowledged: Rc<RefCell<Acknowledged>>,
    /// Newest revision seen on each instance, by instance id.
    revisions: BTreeMap<Arc<str>, u64>,
    next_key: u64,
}

impl FaultRun {
    async fn new(seed: u64) -> Self {
        Self {
            cluster: Cluster::start(INITIAL_INSTANCE_COUNT).await,
            random: StdRng::seed_from_u64(seed),
            acknowledged: Rc::default(),
            revisions: BTreeMap::new(),
            next_key: 0,
        }
    }

    async fn run(mut self) {
        for _ in 0..INITIAL_KEY_COUNT {
            self.grant();
        }
        let acknowledged = self.acknowledged.clone();
        eventually("the initial keys are granted", || {
            acknowledged.borrow().granted.len() == INITIAL_KEY_COUNT
        })
        .await;
        for _ in 0..STEPS_PER_RUN {
            self.step();
            let pause_ms = self.random.random_range(20..MAX_PAUSE_MS);
            actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
            self.check();
        }
        self.clear_faults();
        self.check_convergence().await;
        self.cluster.stop();
    }

    /// Injects or clears a random fault, adds an instance, or submits a random change.
    fn step(&mut self) {
        // Outages and isolations last several seconds on average; shorter ones would not let
        // freshness and time limits expire.
        match self.random.random_range(0..20) {
            0..=2 => self.cluster.platform.set_log_down(true),
            3 => self.cluster.platform.set_log_down(false),
            4 => self.cluster.platform.lock().lost_answers += 2,
            5 => self.cluster.platform.lock().delay_ms = 400,
            6 => self.cluster.platform.lock().delay_ms = 0,
            7 => self.cluster.platform.lock().hung_call_epoch += 1,
            8 | 9 => self.isolate(),
            10 => self.cluster.network.lock().isolated.clear(),
            11 => self.add(),
            12..=14 => self.grant(),
            15..=17 => self.withdraw(),
            _ => self.configure(),
        }
    }

    fn random_node(&mut self) -> usize {
        self.random.random_range(0..self.cluster.nodes.len())
    }

    fn isolate(&mut self) {
        let node = self.random_node();
        let id = self.cluster.nodes[node].instance.id().clone();
        self.cluster.network.isolate(&id);
    }

    fn add(&mut self) {
        if self.cluster.nodes.len() < MAX_INSTANCES {
            self.cluster.add_instance();
        }
    }

    fn grant(&mut self) {
        let node = self.random_node();
        self.next_key += 1;
        let key_id: Arc<str> = format!("fk-{}", self.next_key).into();
        let record = Record::KeyGranted {
            key_id: key_id.clone(),
            digest: [0; 32],
            organisation: "lodges".into(),
        };
        let submitted = self.cluster.nodes[node].control.submit(record);
        let acknowledged = self.acknowledged.clone();
        actix_rt::spawn(async move {
            if submitted.await.is_ok() {
                acknowledged.borrow_mut().granted.push(key_id);
            }
        });
    }

    fn withdraw(&mut self) {
        let node = self.random_node();
        let granted = self.acknowledged.borrow().granted.clone();
        if granted.is_empty() {
            return self.grant();
        }
        let key_id = granted[self.random.random_range(0..granted.len())].clone();
        self.acknowledged
            .borrow_mut()
            .withdrawal_attempted
            .push(key_id.clone());
        let withdrawn = self.cluster.nodes[node]
            .control
            .withdraw_key(key_id.clone());
        let acknowledged = self.acknowledged.clone();
        actix_rt::spawn(async move {
            if withdrawn.await.is_ok() {
                let mut acknowledged = acknowledged.borrow_mut();
                acknowledged
                    .withdrawn
                    .entry(key_id)
                    .or_insert_with(Instant::now);
            }
        });
    }

    fn configure(&mut self) {
        let node = self.random_node();
        let node = &self.cluster.nodes[node];
        let base_revision = node.instance.view.load().revision;
        let submitted = node.control.submit(configuration(base_revision, "text"));
        let acknowledged = self.acknowledged.clone();
        actix_rt::spawn(async move {
            if let Ok(revision) = submitted.await {
                acknowledged.borrow_mut().revisions.push(revision);
            }
        });
    }

    /// Checks the guarantees that hold during failures: no instance reverts to an older revision,
    /// and no fresh instance accepts a key that was withdrawn more than [`MAX_WITHDRAWAL_TIME`]
    /// ago.
    fn check(&mut self) {
        let acknowledged = self.acknowledged.borrow();
        for node in &self.cluster.nodes {
            let revision = node.instance.view.load().revision;
            let id = node.instance.id().clone();
            let previous = self.revisions.insert(id.clone(), revision);
            assert!(
                previous <= Some(revision),
                "{id} reverted to revision {revision}"
            );
            for (key_id, acknowledged_at) in &acknowledged.withdrawn {
                let is_late = acknowledged_at.elapsed() > MAX_WITHDRAWAL_TIME && node.is_fresh();
                assert!(
                    !is_late || !node.is_in_force(key_id),
                    "{id} accepts withdrawn key {key_id}"
                );
            }
        }
    }

    fn clear_faults(&mut self) {
        self.cluster.network.lock().isolated.clear();
        let mut log = self.cluster.platform.lock();
        log.is_down = false;
        log.delay_ms = 0;
    }

    /// Checks the guarantees that hold after all failures have ended: all instances have the same
    /// state, and it contains every acknowledged change.
    async fn check_convergence(&self) {
        // All submissions in flight are answered within 4.5 s.
        actix_rt::time::sleep(Duration::from_millis(4_500)).await;
        let nodes = &self.cluster.nodes;
        let has_converged = |node: &Node| {
            let acknowledged = self.acknowledged.borrow();
            let (own, first) = (node.instance.view.load(), nodes[0].instance.view.load());
            let rejects_withdrawn_keys = acknowledged
                .withdrawn
                .keys()
                .all(|key_id| !node.is_in_force(key_id));
            let mut granted = acknowledged.granted.iter();
            let has_granted_keys = granted.all(|key_id| {
                acknowledged.withdrawal_attempted.contains(key_id) || node.is_in_force(key_id)
            });
            let is_same = own.folded == first.folded && own.revision == first.revision;
            node.is_fresh()
                && rejects_withdrawn_keys
                && has_granted_keys
                && is_same
                && own.keys == first.keys
        };
        eventually("all instances have the same state", || {
            nodes.iter().all(has_converged)
        })
        .await;
        let newest = nodes[0].instance.view.load().revision;
        let mut revisions = self.acknowledged.borrow().revisions.clone();
        assert!(revisions.iter().all(|revision| *revision <= newest));
        revisions.sort_unstable();
        let revision_count = revisions.len();
        revisions.dedup();
        assert_eq!(
            revisions.len(),
            revision_count,
            "two submissions were accepted with the same revision"
        );
    }
}

#[actix_rt::test]
async fn guarantees_hold_under_random_failures() {
    let runs = SEEDS.map(|seed| async move { FaultRun::new(seed).await.run().await });
    join_all(runs).await;
}
