//! Usage counts that are lost when instances crash, and the appends and messages that recording
//! them takes, with and without copies of the counts on other instances.
//!
//! Only the I/O-free state machines and the folded state run, in one loop in virtual time, with
//! periodic outages of the log.

use std::sync::Arc;

use flamingoscale::{
    configuration::Configuration,
    controller::usage::{
        copies::Copies,
        counts::{
            Batch,
            Counts, //
        },
        windows::Windows, //
    },
    lease::Term,
    record::{
        Envelope,
        Record, //
    },
    state::{
        usage_lease,
        State,
        ALL_REGIONS, //
    },
    usage::Figures,
    view::Member,
    wire::UsageFigures, //
};
use rand::{
    RngExt as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::{
    json,
    Value, //
};

use crate::output;

/// Virtual time per step of the loop.
const STEP_MS: u64 = 500;

/// Virtual time during which answers are counted.
const RUN_MS: u64 = 3_600_000;

/// Length of a usage window.
const WINDOW_MS: u64 = 60_000;

/// Time at the end of the run without new counts or crashes, so that pending counts are billed.
const SETTLE_MS: u64 = 200_000;

/// Mean time between two crashes. A crashed instance restarts immediately as a new incarnation.
const MEAN_CRASH_INTERVAL_MS: u64 = 120_000;

/// Time between the starts of two log outages.
const OUTAGE_PERIOD_MS: u64 = 600_000;

/// Duration of a log outage, which is at the end of each period.
const OUTAGE_MS: u64 = 120_000;

/// Number of instances of current deployments, and of the target size.
const INSTANCE_COUNTS: [usize; 2] = [12, 380];

/// The usage state of one instance.
struct Node {
    name: Arc<str>,
    incarnation: u64,
    counts: Counts,
    copies: Copies,
    /// Usage that was counted since the last batch.
    counted: Figures,
}

/// The instances, the state that they share, and the totals of the run.
struct Simulation {
    now_ms: u64,
    with_copies: bool,
    nodes: Vec<Node>,
    state: State,
    windows: Windows,
    serial: u64,
    appends: u64,
    log_bytes: u64,
    copy_messages: u64,
    counted_tokens: u64,
    billed_tokens: u64,
    crashes: u64,
}

impl Node {
    fn new(name: Arc<str>, incarnation: u64) -> Self {
        Self {
            counts: Counts::new(name.clone(), incarnation),
            copies: Copies::default(),
            counted: Figures::new(),
            name,
            incarnation,
        }
    }

    fn member(&self, number: usize) -> Member {
        Member {
            instance: self.name.clone(),
            incarnation: self.incarnation,
            failure_domain: format!("d{}", number % 4).into(),
            address: "".into(),
            peer_address: "".into(),
            leaving: false,
            suspect: false,
            revision: 0,
        }
    }
}

impl Simulation {
    fn new(count: usize, with_copies: bool) -> Self {
        let mut configuration = Configuration::default();
        configuration.tolerances.usage_window_ms = WINDOW_MS;
        let mut simulation = Self {
            now_ms: 0,
            with_copies,
            nodes: (0..count)
                .map(|number| Node::new(format!("n{number}").into(), 1))
                .collect(),
            state: State {
                configuration: Arc::new(configuration),
                folded: 1,
                ..State::default()
            },
            windows: Windows::default(),
            serial: 0,
            appends: 0,
            log_bytes: 0,
            copy_messages: 0,
            counted_tokens: 0,
            billed_tokens: 0,
            crashes: 0,
        };
        simulation.append(Record::LeaseClaim {
            lease: usage_lease(ALL_REGIONS),
            replaces: 0,
            lease_ms: 2 * RUN_MS,
        });
        simulation
    }

    fn is_log_unavailable(&self) -> bool {
        self.now_ms % OUTAGE_PERIOD_MS >= OUTAGE_PERIOD_MS - OUTAGE_MS
    }

    /// Appends a record and returns whether the log was available. All instances share one folded
    /// state, because their states would be equal.
    fn append(&mut self, record: Record) -> bool {
        if self.is_log_unavailable() {
            return false;
        }
        self.serial += 1;
        self.appends += 1;
        let envelope = Envelope {
            writer: "n0".into(),
            incarnation: 1,
            serial: self.serial,
            record,
        };
        let encoded = flamingoscale::record::encode(&envelope);
        self.log_bytes += encoded.map_or(0, |bytes| bytes.len() as u64);
        // The state may drop the record, which is not an error in production either.
        let _ = self.state.fold(self.state.folded, &envelope);
        true
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let members: Vec<Member> = self
            .nodes
            .iter()
            .enumerate()
            .map(|(number, node)| node.member(number))
            .collect();
        for number in 0..self.nodes.len() {
            self.tick_node(number, &members);
        }
        self.close_window();
    }

    /// Crashes a random instance on average once per `MEAN_CRASH_INTERVAL_MS` and replaces it by a
    /// new incarnation without counts. Instance 0 never crashes.
    fn maybe_crash(&mut self, rng: &mut ChaCha8Rng) {
        if rng.random_range(0..MEAN_CRASH_INTERVAL_MS / STEP_MS) == 0 {
            let number = rng.random_range(1..self.nodes.len());
            let crashed = &self.nodes[number];
            let restarted = Node::new(crashed.name.clone(), crashed.incarnation + 1);
            self.nodes[number] = restarted;
            self.crashes += 1;
        }
    }

    /// Counts one answer on each instance, for one of eight organisations.
    fn count_answers(&mut self, rng: &mut ChaCha8Rng) {
        for node in &mut self.nodes {
            let organisation: Arc<str> = format!("org{}", rng.random_range(0..8)).into();
            let tokens = rng.random_range(50..500);
            self.counted_tokens += tokens;
            let counted: &mut UsageFigures = node.counted.entry(organisation).or_default();
            counted.requests += 1;
            counted.tokens += tokens;
        }
    }

    /// Takes a batch of one instance if it is due, replicates it, and appends all counts that the
    /// instance has to append, including copies from instances that crashed.
    fn tick_node(&mut self, number: usize, members: &[Member]) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[number];
        if node.counts.is_due(now_ms) {
            let counted = std::mem::take(&mut node.counted);
            node.counts.take_batch(now_ms, members.len(), counted);
            if self.with_copies {
                self.replicate(number, members);
            }
        }
        self.append_counts(number);
        let node = &mut self.nodes[number];
        node.copies.drop_counted(&self.state.usage_sequences);
        for (source, incarnation, batch) in node.copies.due(now_ms, members) {
            self.append(counts_record(&source, incarnation, &batch));
        }
    }

    /// Sends the batches that have no copy yet to a replica, preferably in another failure domain.
    fn replicate(&mut self, number: usize, members: &[Member]) {
        let domain = format!("d{}", number % 4);
        let counts = &mut self.nodes[number].counts;
        let replica = counts.choose_replica(members, &domain).cloned();
        counts.set_replica(replica.as_ref());
        let (batches, source) = (counts.uncopied(), self.nodes[number].name.clone());
        let incarnation = self.nodes[number].incarnation;
        let Some(replica) = replica else { return };
        let mut holders = self.nodes.iter_mut();
        let Some(holder) = holders.find(|node| node.name == replica.instance) else {
            return;
        };
        for batch in &batches {
            let figures = batch.figures.clone();
            holder
                .copies
                .hold(source.clone(), incarnation, batch.sequence, figures);
            self.copy_messages += 1;
        }
        for batch in batches {
            self.nodes[number]
                .counts
                .mark_copied(&replica, batch.sequence);
        }
    }

    /// Appends the batches of one instance in order, until the log is unavailable.
    fn append_counts(&mut self, number: usize) {
        while let Some(batch) = self.nodes[number].counts.next_to_append().cloned() {
            let node = &self.nodes[number];
            let record = counts_record(&node.name.clone(), node.incarnation, &batch);
            if !self.append(record) {
                return;
            }
            self.nodes[number].counts.mark_appended(batch.sequence);
        }
    }

    /// Closes a usage window if one is due, and counts its tokens as billed.
    fn close_window(&mut self) {
        let claim = self.state.leases[&usage_lease(ALL_REGIONS)].claim;
        let term = Term {
            fencing: claim,
            claim,
            ends_at_ms: u64::MAX,
        };
        let Some(record) = self.windows.close(self.now_ms, term, &self.state) else {
            return;
        };
        let Record::WindowClosed {
            figures, window, ..
        } = &record
        else {
            return;
        };
        let tokens: u64 = figures.values().map(|counted| counted.tokens).sum();
        let window = *window;
        if self.append(record) {
            self.billed_tokens += tokens;
            self.append(Record::WindowReported {
                region: ALL_REGIONS.into(),
                window,
            });
        }
    }
}

fn counts_record(source: &Arc<str>, incarnation: u64, batch: &Batch) -> Record {
    Record::UsageCounts {
        sequence: batch.sequence,
        of_instance: source.clone(),
        of_incarnation: incarnation,
        figures: batch.figures.clone(),
    }
}

fn measure(count: usize, with_copies: bool, seed: u64) -> Value {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = Simulation::new(count, with_copies);
    while simulation.now_ms < RUN_MS {
        simulation.count_answers(&mut rng);
        simulation.step();
        simulation.maybe_crash(&mut rng);
    }
    while simulation.now_ms < RUN_MS + SETTLE_MS {
        simulation.step();
    }
    let unappended_tokens: u64 = simulation.nodes.iter().map(unappended_tokens).sum();
    let pending_tokens: u64 = simulation
        .state
        .pending_usage
        .values()
        .map(|usage| usage.tokens)
        .sum();
    let lost_tokens =
        simulation.counted_tokens - simulation.billed_tokens - pending_tokens - unappended_tokens;
    let seconds = (RUN_MS / 1_000) as f64;
    json!({
        "instances": count,
        "deaths": simulation.crashes,
        "tokens_counted": simulation.counted_tokens,
        "tokens_lost": lost_tokens,
        "tokens_lost_a_death": lost_tokens as f64 / simulation.crashes.max(1) as f64,
        "tokens_billed_twice": (simulation.billed_tokens + pending_tokens + unappended_tokens)
            .saturating_sub(simulation.counted_tokens),
        "log_appends_per_s": simulation.appends as f64 / seconds,
        "log_bytes_per_s": simulation.log_bytes as f64 / seconds,
        "copies_per_s_an_instance": simulation.copy_messages as f64 / seconds / count as f64,
    })
}

/// Returns the tokens that an instance has counted but not yet appended to the log.
fn unappended_tokens(node: &Node) -> u64 {
    let tokens = |figures: &Figures| figures.values().map(|usage| usage.tokens).sum::<u64>();
    let batches = node.counts.batches();
    let batches: u64 = batches.map(|batch| tokens(&batch.figures)).sum();
    batches + tokens(&node.counted)
}

pub(crate) fn run(seed: u64) {
    let (mut measured, mut baseline) = (Value::Null, Value::Null);
    for count in INSTANCE_COUNTS {
        output::progress("usage", &format!("{count} instances"));
        measured = measure(count, true, seed);
        output::line("usage", seed, json!({ "with_copies": measured }));
        baseline = measure(count, false, seed);
        output::line("usage", seed, json!({ "without_copies": baseline }));
        if count == INSTANCE_COUNTS[0] {
            output::progress(
                "usage",
                "the summary covers only the largest number of instances",
            );
        }
    }
    output::summary("usage", seed, measured, baseline);
}
