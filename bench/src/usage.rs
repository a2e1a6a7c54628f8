//! Counts lost when instances die, and time to the bill, against counts without a copy.
//!
//! Only the cores and the fold run, in one loop under virtual time; the log is away at times.

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

const STEP_MS: u64 = 500;
const RUN_MS: u64 = 3_600_000;
const WINDOW_MS: u64 = 60_000;

/// Time at the end in which nothing is counted and nobody dies.
const SETTLE_MS: u64 = 200_000;

/// Mean time between two deaths of instances; a dead one comes back as a new incarnation.
const DEATH_EVERY_MS: u64 = 120_000;

/// The log is away for a part of every such period.
const OUTAGE_EVERY_MS: u64 = 600_000;
const OUTAGE_MS: u64 = 120_000;

/// Today's number of instances, and the target's.
const SIZES: [usize; 2] = [12, 380];

struct Node {
    name: Arc<str>,
    incarnation: u64,
    counts: Counts,
    copies: Copies,
    counted: Figures,
}

struct World {
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
    deaths: u64,
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

impl World {
    fn new(count: usize, with_copies: bool) -> Self {
        let mut configuration = Configuration::default();
        configuration.tolerances.usage_window_ms = WINDOW_MS;
        let mut world = Self {
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
            deaths: 0,
        };
        world.append(Record::LeaseClaim {
            lease: usage_lease(ALL_REGIONS),
            replaces: 0,
            lease_ms: 2 * RUN_MS,
        });
        world
    }

    fn log_away(&self) -> bool {
        self.now_ms % OUTAGE_EVERY_MS >= OUTAGE_EVERY_MS - OUTAGE_MS
    }

    /// Appends a record; all instances share one fold here, since all would hold the same.
    fn append(&mut self, record: Record) -> bool {
        if self.log_away() {
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
        // A dropped record is part of the game.
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
            self.look(number, &members);
        }
        self.close();
    }

    /// Now and then an instance dies and comes back at once with nothing.
    fn die(&mut self, rng: &mut ChaCha8Rng) {
        if rng.random_range(0..DEATH_EVERY_MS / STEP_MS) == 0 {
            let number = rng.random_range(1..self.nodes.len());
            let dead = &self.nodes[number];
            let reborn = Node::new(dead.name.clone(), dead.incarnation + 1);
            self.nodes[number] = reborn;
            self.deaths += 1;
        }
    }

    /// Every instance delivers answers for eight organisations.
    fn count(&mut self, rng: &mut ChaCha8Rng) {
        for node in &mut self.nodes {
            let organisation: Arc<str> = format!("org{}", rng.random_range(0..8)).into();
            let tokens = rng.random_range(50..500);
            self.counted_tokens += tokens;
            let counted: &mut UsageFigures = node.counted.entry(organisation).or_default();
            counted.requests += 1;
            counted.tokens += tokens;
        }
    }

    fn look(&mut self, number: usize, members: &[Member]) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[number];
        if node.counts.is_due(now_ms) {
            let counted = std::mem::take(&mut node.counted);
            node.counts.take_batch(now_ms, members.len(), counted);
            if self.with_copies {
                self.copy(number, members);
            }
        }
        self.append_counts(number);
        let node = &mut self.nodes[number];
        node.copies.drop_counted(&self.state.usage_sequences);
        for (of, incarnation, batch) in node.copies.due(now_ms, members) {
            self.append(counts_record(&of, incarnation, &batch));
        }
    }

    fn copy(&mut self, number: usize, members: &[Member]) {
        let domain = format!("d{}", number % 4);
        let counts = &mut self.nodes[number].counts;
        let second = counts.choose_replica(members, &domain).cloned();
        counts.set_replica(second.as_ref());
        let (batches, source) = (counts.uncopied(), self.nodes[number].name.clone());
        let incarnation = self.nodes[number].incarnation;
        let Some(second) = second else { return };
        let mut holders = self.nodes.iter_mut();
        let Some(holder) = holders.find(|node| node.name == second.instance) else {
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
                .mark_copied(&second, batch.sequence);
        }
    }

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

    fn close(&mut self) {
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

fn counts_record(of: &Arc<str>, incarnation: u64, batch: &Batch) -> Record {
    Record::UsageCounts {
        sequence: batch.sequence,
        of_instance: of.clone(),
        of_incarnation: incarnation,
        figures: batch.figures.clone(),
    }
}

fn measure(count: usize, with_copies: bool, seed: u64) -> Value {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(count, with_copies);
    while world.now_ms < RUN_MS {
        world.count(&mut rng);
        world.step();
        world.die(&mut rng);
    }
    while world.now_ms < RUN_MS + SETTLE_MS {
        world.step();
    }
    let in_hand: u64 = world.nodes.iter().map(in_hand).sum();
    let pending: u64 = world.state.pending_usage.values().map(|f| f.tokens).sum();
    let lost = world.counted_tokens - world.billed_tokens - pending - in_hand;
    let seconds = (RUN_MS / 1_000) as f64;
    json!({
        "instances": count,
        "deaths": world.deaths,
        "tokens_counted": world.counted_tokens,
        "tokens_lost": lost,
        "tokens_lost_a_death": lost as f64 / world.deaths.max(1) as f64,
        "tokens_billed_twice": (world.billed_tokens + pending + in_hand)
            .saturating_sub(world.counted_tokens),
        "log_appends_per_s": world.appends as f64 / seconds,
        "log_bytes_per_s": world.log_bytes as f64 / seconds,
        "copies_per_s_an_instance": world.copy_messages as f64 / seconds / count as f64,
    })
}

fn in_hand(node: &Node) -> u64 {
    let tokens = |figures: &Figures| figures.values().map(|f| f.tokens).sum::<u64>();
    let batches = node.counts.batches();
    let batches: u64 = batches.map(|batch| tokens(&batch.figures)).sum();
    batches + tokens(&node.counted)
}

pub(crate) fn run(seed: u64) {
    let (mut own, mut baseline) = (Value::Null, Value::Null);
    for count in SIZES {
        output::progress("usage", &format!("{count} instances"));
        own = measure(count, true, seed);
        output::line("usage", seed, json!({ "with_copies": own }));
        baseline = measure(count, false, seed);
        output::line("usage", seed, json!({ "without_copies": baseline }));
        if count == SIZES[0] {
            output::progress("usage", "the summary is that of the last size");
        }
    }
    output::summary("usage", seed, own, baseline);
}
