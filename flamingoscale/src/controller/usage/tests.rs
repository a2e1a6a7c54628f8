//! Runs instances, a log and a platform in one loop under virtual time.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::{
    windows::{
        report,
        unreported, //
    },
    *, //
};
use crate::{
    configuration::Configuration,
    lease::{
        Action,
        Lease, //
    },
    record::Envelope,
    state::State,
    usage::Figures,
    wire::{
        UsageFigures,
        UsageReport, //
    }, //
};

/// Virtual time between two steps of an instance.
const STEP_MS: u64 = 500;
const LEASE_MS: u64 = 10_000;
const WINDOW_MS: u64 = 20_000;
/// Long enough after the last fault for all counted usage to be reported.
const SETTLE_MS: u64 = 300_000;
const INSTANCES: u64 = 5;

/// Identifies a batch by its source and sequence. All instances have incarnation 1.
type BatchId = (Arc<str>, u64);

/// One instance.
struct Node {
    name: Arc<str>,
    serial: u64,
    state: State,
    lease: Lease,
    counts: Counts,
    copies: Copies,
    windows: Windows,
    /// Every batch of another instance that was ever copied to this one.
    held_copies: BTreeSet<BatchId>,
    paused_until_ms: u64,
    dead: bool,
}

/// All instances, the log, and the reports that the platform received.
#[derive(Default)]
struct World {
    now_ms: u64,
    nodes: Vec<Node>,
    log: Vec<Envelope>,
    log_unavailable: bool,
    /// Whether appends succeed without an answer.
    lose_appends: bool,
    platform_unavailable: bool,
    /// Whether reports reach the platform without an answer.
    lose_reports: bool,
    reports: Vec<UsageReport>,
    /// Figures of every batch that was ever made.
    batches_made: BTreeMap<BatchId, Figures>,
    /// Batches that are not in the log and whose source and copy holders are all dead.
    lost_batches: BTreeSet<BatchId>,
}

fn figures(tokens: u64) -> Figures {
    let counted = UsageFigures {
        requests: 1,
        tokens,
    };
    Figures::from([("ski-patrol".into(), counted)])
}

fn tokens(figures: &Figures) -> u64 {
    figures.values().map(|counted| counted.tokens).sum()
}

impl Node {
    fn new(number: u64) -> Self {
        let name: Arc<str> = format!("n{number}").into();
        let mut state = State::default();
        let mut configuration = Configuration::default();
        configuration.tolerances.usage_window_ms = WINDOW_MS;
        state.configuration = Arc::new(configuration);
        Self {
            serial: 0,
            state,
            lease: Lease::new(name.clone(), 1, REPORT_GUARD_MS),
            counts: Counts::new(name.clone(), 1),
            copies: Copies::default(),
            windows: Windows::default(),
            held_copies: BTreeSet::new(),
            paused_until_ms: 0,
            dead: false,
            name,
        }
    }

    fn member(&self) -> Member {
        Member {
            instance: self.name.clone(),
            incarnation: 1,
            failure_domain: "saiq".into(),
            address: "".into(),
            peer_address: "".into(),
            leaving: false,
            suspect: false,
            revision: 0,
        }
    }

    fn term(&mut self, now_ms: u64) -> Option<crate::lease::Term> {
        let entry = self.state.leases.get(&usage_lease(ALL_REGIONS));
        self.lease.observe(now_ms, entry);
        self.lease.term(now_ms)
    }
}

impl World {
    fn new() -> Self {
        Self {
            nodes: (0..INSTANCES).map(Node::new).collect(),
            ..Self::default()
        }
    }

    /// Returns the members that are considered alive. Paused instances are not among them, although
    /// they resume later.
    fn members(&self) -> Vec<Member> {
        let live = self.nodes.iter();
        let live = live.filter(|node| !node.dead && node.paused_until_ms <= self.now_ms);
        live.map(Node::member).collect()
    }

    /// Appends a record for one instance and returns whether that instance learns that it
    /// succeeded.
    fn append(&mut self, number: usize, record: Record) -> bool {
        if self.log_unavailable {
            return false;
        }
        let node = &mut self.nodes[number];
        node.serial += 1;
        self.log.push(Envelope {
            writer: node.name.clone(),
            incarnation: 1,
            serial: node.serial,
            record,
        });
        self.fold(number);
        !self.lose_appends
    }

    fn fold(&mut self, number: usize) {
        let state = &mut self.nodes[number].state;
        if !self.log_unavailable {
            for offset in state.folded..self.log.len() as u64 {
                // Rejected records are expected here.
                let _ = state.fold(offset, &self.log[offset as usize]);
            }
        }
    }

    fn tick(&mut self, number: usize, rng: &mut ChaCha8Rng) {
        self.fold(number);
        self.take_batch(number, rng);
        self.copy_batches(number);
        self.append_counts(number);
        self.append_for_dead_instances(number);
        self.claim(number);
        self.close_window(number);
        self.report_windows(number);
    }

    fn take_batch(&mut self, number: usize, rng: &mut ChaCha8Rng) {
        let (now_ms, node) = (self.now_ms, &mut self.nodes[number]);
        if node.counts.is_due(now_ms) {
            let counted = figures(rng.random_range(1..100));
            node.counts.take_batch(now_ms, INSTANCES as usize, counted);
        }
        for batch in node.counts.batches() {
            let id = (node.name.clone(), batch.sequence);
            self.batches_made.insert(id, batch.figures.clone());
        }
    }

    fn copy_batches(&mut self, number: usize) {
        let members = self.members();
        let node = &mut self.nodes[number];
        let replica = node.counts.choose_replica(&members, "saiq").cloned();
        node.counts.set_replica(replica.as_ref());
        let (name, batches) = (node.name.clone(), node.counts.uncopied());
        let Some(replica) = replica else { return };
        let holder = self.nodes.iter_mut();
        let mut holder = holder.filter(|node| node.name == replica.instance);
        let Some(holder) = holder.next() else { return };
        for batch in &batches {
            let copy = (name.clone(), 1, batch.sequence, batch.figures.clone());
            holder.copies.hold(copy.0, copy.1, copy.2, copy.3);
            holder.held_copies.insert((name.clone(), batch.sequence));
        }
        for batch in batches {
            self.nodes[number]
                .counts
                .mark_copied(&replica, batch.sequence);
        }
    }

    fn counts_record(instance: &Arc<str>, batch: &Batch) -> Record {
        Record::UsageCounts {
            sequence: batch.sequence,
            of_instance: instance.clone(),
            of_incarnation: 1,
            figures: batch.figures.clone(),
        }
    }

    fn append_counts(&mut self, number: usize) {
        while let Some(batch) = self.nodes[number].counts.next_to_append().cloned() {
            let name = self.nodes[number].name.clone();
            let record = Self::counts_record(&name, &batch);
            if !self.append(number, record) {
                return;
            }
            self.nodes[number].counts.mark_appended(batch.sequence);
        }
    }

    fn append_for_dead_instances(&mut self, number: usize) {
        let (now_ms, members) = (self.now_ms, self.members());
        let node = &mut self.nodes[number];
        node.copies.drop_counted(&node.state.usage_sequences);
        for (instance, _, batch) in node.copies.due(now_ms, &members) {
            let record = Self::counts_record(&instance, &batch);
            if !self.append(number, record) {
                return;
            }
        }
    }

    fn claim(&mut self, number: usize) {
        let (now_ms, node) = (self.now_ms, &mut self.nodes[number]);
        node.term(now_ms);
        let action = node.lease.decide(now_ms, LEASE_MS, number as u64, false);
        if let Some(Action::Claim {
            replaces, lease_ms, ..
        }) = action
        {
            let record = Record::LeaseClaim {
                lease: usage_lease(ALL_REGIONS),
                replaces,
                lease_ms,
            };
            if self.log_unavailable {
                self.nodes[number].lease.append_refused();
            }
            self.append(number, record);
        }
    }

    fn close_window(&mut self, number: usize) {
        let (now_ms, node) = (self.now_ms, &mut self.nodes[number]);
        let Some(term) = node.term(now_ms) else {
            return node.windows.on_lease_lost();
        };
        if let Some(record) = node.windows.close(now_ms, term, &node.state) {
            self.append(number, record);
        }
    }

    fn report_windows(&mut self, number: usize) {
        let (now_ms, node) = (self.now_ms, &mut self.nodes[number]);
        let (term, name) = (node.term(now_ms), node.name.clone());
        for (region, window) in unreported(&node.state.clone()) {
            let state = &self.nodes[number].state;
            let Some(report) = report(term, state, &region, window, &name) else {
                continue;
            };
            if self.platform_unavailable {
                continue;
            }
            self.reports.push(report);
            if !self.lose_reports {
                self.append(number, Record::WindowReported { region, window });
            }
        }
    }

    /// Kills an instance and records the batches that were lost with it.
    fn kill(&mut self, number: usize) {
        self.nodes[number].dead = true;
        let dying = &self.nodes[number];
        let own = dying.counts.batches();
        let own = own.map(|batch| (dying.name.clone(), batch.sequence));
        let held_batches: BTreeSet<BatchId> =
            own.chain(dying.held_copies.iter().cloned()).collect();
        for id in held_batches {
            let is_live = |node: &&Node| !node.dead;
            let is_held = self.nodes.iter().filter(is_live).any(|node| {
                let own = node.name == id.0;
                own || node.held_copies.contains(&id)
            });
            if !is_held && !self.appended().contains(&id) {
                self.lost_batches.insert(id);
            }
        }
    }

    /// Returns the batches that are in the log.
    fn appended(&self) -> BTreeSet<BatchId> {
        let records = self.log.iter();
        records
            .filter_map(|envelope| match &envelope.record {
                Record::UsageCounts {
                    sequence,
                    of_instance,
                    ..
                } => Some((of_instance.clone(), *sequence)),
                _ => None,
            })
            .collect()
    }

    fn run(&mut self, ms: u64, rng: &mut ChaCha8Rng) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for number in 0..self.nodes.len() {
                let node = &self.nodes[number];
                if !node.dead && self.now_ms >= node.paused_until_ms {
                    self.tick(number, rng);
                }
            }
        }
    }

    /// Ends all faults and runs until all counted usage can be reported.
    fn settle(&mut self, rng: &mut ChaCha8Rng) {
        (self.log_unavailable, self.platform_unavailable) = (false, false);
        (self.lose_appends, self.lose_reports) = (false, false);
        self.run(SETTLE_MS, rng);
    }

    /// Returns the tokens that the platform bills, after checking that no window was reported with
    /// two different sets of figures.
    fn billed(&self) -> u64 {
        let mut first: BTreeMap<u64, &UsageReport> = BTreeMap::new();
        for report in &self.reports {
            let first_report = first.entry(report.window).or_insert(report);
            assert_eq!(
                first_report.figures, report.figures,
                "window {} was reported with different figures",
                report.window
            );
        }
        first.values().map(|report| tokens(&report.figures)).sum()
    }

    /// Checks that every batch is billed once or still pending. Only batches whose source and copy
    /// holders have all died may be missing.
    fn assert_complete(&self) {
        let mut state = State::default();
        for (offset, envelope) in self.log.iter().enumerate() {
            // Rejected records are expected here.
            let _ = state.fold(offset as u64, envelope);
        }
        let closed = state
            .usage
            .values()
            .flat_map(|usage| usage.windows.values());
        let unreported = closed.filter(|window| !window.reported);
        assert_eq!(
            unreported.count(),
            0,
            "some closed windows were never reported"
        );
        let appended = self.appended();
        let counted: u64 = appended
            .iter()
            .map(|id| tokens(&self.batches_made[id]))
            .sum();
        assert_eq!(self.billed() + tokens(&state.pending_usage), counted);
        let unappended = self.nodes.iter().filter(|node| !node.dead);
        let unappended: BTreeSet<BatchId> = unappended
            .flat_map(|node| {
                let batches = node.counts.batches();
                batches.map(|batch| (node.name.clone(), batch.sequence))
            })
            .collect();
        for id in self.batches_made.keys() {
            let is_accounted_for =
                appended.contains(id) || unappended.contains(id) || self.lost_batches.contains(id);
            assert!(is_accounted_for, "batch {id:?} is missing");
        }
    }
}

#[test]
fn all_usage_is_billed_exactly_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut world = World::new();
    world.run(200_000, &mut rng);
    world.settle(&mut rng);
    world.assert_complete();
    assert!(world.billed() > 0);
    assert!(world.lost_batches.is_empty());
}

#[test]
fn report_with_lost_answer_is_resent_with_same_figures() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut world = World::new();
    world.lose_reports = true;
    world.run(100_000, &mut rng);
    let windows: BTreeSet<u64> = world.reports.iter().map(|report| report.window).collect();
    assert!(world.reports.len() > windows.len(), "no report was resent");
    world.settle(&mut rng);
    world.assert_complete();
}

#[test]
fn usage_of_dead_instance_is_billed_from_its_copy() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut world = World::new();
    world.run(30_000, &mut rng);
    world.log_unavailable = true;
    world.run(10_000, &mut rng);
    let pending = world.nodes[2].counts.pending();
    assert!(pending > 0);
    world.kill(2);
    world.settle(&mut rng);
    assert!(world.lost_batches.is_empty());
    world.assert_complete();
}

#[test]
fn one_hour_log_outage_yields_a_few_dozen_batches() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut world = World::new();
    world.log_unavailable = true;
    world.run(3_600_000, &mut rng);
    let pending = world.nodes[0].counts.pending();
    assert!((10..60).contains(&pending), "{pending} batches are pending");
    world.settle(&mut rng);
    world.assert_complete();
}

#[test]
fn usage_closed_by_two_holders_is_billed_once() {
    let mut world = World::new();
    let lease = |region: &str| Record::LeaseClaim {
        lease: usage_lease(region),
        replaces: 0,
        lease_ms: LEASE_MS,
    };
    let batch = Batch {
        sequence: 1,
        figures: figures(7),
    };
    world.append(0, World::counts_record(&"n0".into(), &batch));
    world.append(0, lease("old"));
    world.append(1, lease("new"));
    for (number, region, claim) in [(0, "old", 1), (1, "new", 2)] {
        let record = Record::WindowClosed {
            claim,
            region: region.into(),
            window: 0,
            covers: 1,
            figures: figures(7),
        };
        world.append(number, record);
    }
    let state = &world.nodes[1].state;
    let closed = state
        .usage
        .values()
        .flat_map(|usage| usage.windows.values());
    assert_eq!(closed.count(), 1);
    assert!(state.pending_usage.is_empty());
}

#[test]
fn two_reporters_of_a_window_send_the_same_figures() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut world = World::new();
    world.platform_unavailable = true;
    world.run(60_000, &mut rng);
    let holder = world.nodes.iter_mut().position(|node| {
        let now_ms = world.now_ms;
        node.term(now_ms).is_some()
    });
    let holder = holder.expect("an instance holds the lease");
    let now_ms = world.now_ms;
    let old = &mut world.nodes[holder];
    let (term, name) = (old.term(now_ms), old.name.clone());
    let (region, window) = unreported(&old.state)[0].clone();
    let checked_report =
        report(term, &old.state, &region, window, &name).expect("the instance holds the lease");
    old.paused_until_ms = now_ms + 60_000;
    world.platform_unavailable = false;
    world.run(50_000, &mut rng);
    assert!(world.reports.iter().any(|report| report.window == window));
    assert!(world
        .reports
        .iter()
        .all(|report| report.fencing > checked_report.fencing));
    // The old holder resumes between its lease check and its send.
    world.reports.push(checked_report);
    world.settle(&mut rng);
    world.assert_complete();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Pauses, deaths, outages and lost answers, in any combination and repeatedly.
    #[test]
    fn usage_is_billed_exactly_once_under_any_mix_of_faults(seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new();
        for _ in 0..14 {
            match rng.random_range(0..8) {
                0 => world.log_unavailable ^= true,
                1 => world.platform_unavailable ^= true,
                2 => world.lose_appends ^= true,
                3 => world.lose_reports ^= true,
                4 if world.members().len() > 2 => {
                    let number = rng.random_range(0..world.nodes.len());
                    world.kill(number);
                }
                _ => {
                    let number = rng.random_range(0..world.nodes.len());
                    let pause_ms = rng.random_range(STEP_MS..60_000);
                    world.nodes[number].paused_until_ms = world.now_ms + pause_ms;
                }
            }
            world.run(rng.random_range(STEP_MS..30_000), &mut rng);
        }
        world.settle(&mut rng);
        world.assert_complete();
    }
}
