//! Lease takeover time and time with two holders, compared with a lease based on wall-clock
//! timestamps.
//!
//! Only the lease state machines and the folded state run, in one loop in virtual time.

use std::sync::Arc;

use flamingoscale::{
    lease::{
        Action,
        Lease, //
    },
    record::{
        Envelope,
        Record, //
    },
    state::State, //
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

/// Number of trials. The holder crashes in even trials, and pauses and resumes in odd ones.
const TRIALS: u64 = 400;

/// Number of instances that can hold the lease.
const INSTANCES: usize = 12;

/// Duration of the lease.
const LEASE_MS: u64 = 10_000;

/// Guard period after a lease expires, during which an order of the previous holder may still be in
/// flight.
const GUARD_MS: u64 = 6_000;

/// Virtual time per step of the loop.
const STEP_MS: u64 = 50;

/// Maximum time from sending an append until it is in the log.
const MAX_APPEND_MS: u64 = 400;

/// Maximum deviation of the rate of a local clock, per mille.
const MAX_DRIFT_PER_MILLE: i64 = 40;

/// Maximum constant offset of a wall clock.
const MAX_SKEW_MS: i64 = 3_000;

/// Duration of one trial.
const TRIAL_MS: u64 = 120_000;

/// Earliest time of the crash or pause, which occurs up to `LEASE_MS` later.
const EARLIEST_FAULT_MS: u64 = 30_000;

/// Maximum delay between the arrival of a record in the log and its read by an instance.
const MAX_READ_LAG_MS: u64 = 2_000;

/// Name of the lease that the instances compete for.
const LEASE_NAME: &str = "orders/everywhere";

/// One instance with its own clocks and read delay.
struct Node {
    name: Arc<str>,
    drift_per_mille: i64,
    skew_ms: i64,
    lag_ms: u64,
    serial: u64,
    state: State,
    lease: Lease,
    paused_until_ms: u64,
}

/// An append to the log, and the time at which it arrives.
struct LogAppend {
    arrival_ms: u64,
    envelope: Envelope,
}

/// Measurements of one trial.
#[derive(Default)]
struct Trial {
    /// Time from the fault to the first term of another holder, or 0 without a takeover.
    takeover_ms: u64,
    /// Time with more than one holder.
    overlap_ms: u64,
    appends: u64,
}

impl Node {
    /// Converts virtual time to the local clock of this instance.
    fn local_clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64 * (1_000 + self.drift_per_mille) / 1_000) as u64
    }

    fn wall_clock_ms(&self, now_ms: u64) -> i64 {
        now_ms as i64 + self.skew_ms
    }

    /// Folds the records that were in the log `lag_ms` ago.
    fn read(&mut self, log: &Log, now_ms: u64) {
        while let Some(record) = log.records.get(self.state.folded as usize) {
            if record.arrival_ms + self.lag_ms > now_ms {
                return;
            }
            // The state drops a claim that lost the race against another claim.
            let _ = self.state.fold(self.state.folded, &record.envelope);
        }
    }

    fn envelope(&mut self, record: Record) -> Envelope {
        self.serial += 1;
        Envelope {
            writer: self.name.clone(),
            incarnation: 1,
            serial: self.serial,
            record,
        }
    }
}

fn random_nodes(rng: &mut ChaCha8Rng) -> Vec<Node> {
    (0..INSTANCES)
        .map(|number| {
            let name: Arc<str> = format!("n{number}").into();
            Node {
                drift_per_mille: rng.random_range(-MAX_DRIFT_PER_MILLE..=MAX_DRIFT_PER_MILLE),
                skew_ms: rng.random_range(-MAX_SKEW_MS..=MAX_SKEW_MS),
                lag_ms: rng.random_range(0..MAX_READ_LAG_MS),
                serial: 0,
                state: State::default(),
                lease: Lease::new(name.clone(), 1, GUARD_MS),
                paused_until_ms: 0,
                name,
            }
        })
        .collect()
}

/// The log and the appends in flight.
struct Log {
    records: Vec<LogAppend>,
    pending: Vec<LogAppend>,
}

impl Log {
    /// Returns a log with one unrelated record, so that no claim has offset 0, which stands for no
    /// claim.
    fn new() -> Self {
        let initial_record = Envelope {
            writer: "operator".into(),
            incarnation: 1,
            serial: 1,
            record: Record::KeyWithdrawn {
                key_id: "none".into(),
            },
        };
        Self {
            records: vec![LogAppend {
                arrival_ms: 0,
                envelope: initial_record,
            }],
            pending: Vec::new(),
        }
    }

    /// Moves the appends that have arrived by `now_ms` into the log.
    fn deliver(&mut self, now_ms: u64) {
        let pending = std::mem::take(&mut self.pending);
        let (arrived, waiting): (Vec<LogAppend>, Vec<LogAppend>) = pending
            .into_iter()
            .partition(|append| append.arrival_ms <= now_ms);
        self.pending = waiting;
        self.records.extend(arrived);
    }
}

/// Runs a trial of the lease implementation of flamingoscale. The holder stops at `fault_ms` and
/// resumes at `resume_ms`.
fn product_trial(rng: &mut ChaCha8Rng, fault_ms: u64, resume_ms: u64) -> Trial {
    let (mut nodes, mut log, mut trial) = (random_nodes(rng), Log::new(), Trial::default());
    let mut initial_holder = None;
    for now_ms in (STEP_MS..TRIAL_MS).step_by(STEP_MS as usize) {
        log.deliver(now_ms);
        let mut holders = Vec::new();
        for (number, node) in nodes.iter_mut().enumerate() {
            if now_ms < node.paused_until_ms {
                continue;
            }
            node.read(&log, now_ms);
            let clock_ms = node.local_clock_ms(now_ms);
            let entry = node.state.leases.get(LEASE_NAME);
            node.lease.observe(clock_ms, entry);
            if node.lease.term(clock_ms).is_some() {
                holders.push(number);
            }
            let action = node.lease.decide(clock_ms, LEASE_MS, number as u64, false);
            if let Some(Action::Claim {
                replaces, lease_ms, ..
            }) = action
            {
                let envelope = node.envelope(Record::LeaseClaim {
                    lease: LEASE_NAME.into(),
                    replaces,
                    lease_ms,
                });
                let arrival_ms = now_ms + rng.random_range(0..MAX_APPEND_MS);
                trial.appends += 1;
                log.pending.push(LogAppend {
                    arrival_ms,
                    envelope,
                });
            }
        }
        trial.overlap_ms += STEP_MS * (holders.len() as u64).saturating_sub(1);
        apply_fault_and_record(
            &mut nodes,
            &holders,
            &mut initial_holder,
            &mut trial,
            now_ms,
            (fault_ms, resume_ms),
        );
    }
    trial
}

/// Pauses the current holder when the fault is due, and records the takeover by another instance.
fn apply_fault_and_record(
    nodes: &mut [Node],
    holders: &[usize],
    initial_holder: &mut Option<usize>,
    trial: &mut Trial,
    now_ms: u64,
    (fault_ms, resume_ms): (u64, u64),
) {
    match *initial_holder {
        None if now_ms >= fault_ms => {
            if let Some(&holder) = holders.first() {
                nodes[holder].paused_until_ms = resume_ms;
                *initial_holder = Some(holder);
            }
        }
        Some(initial)
            if trial.takeover_ms == 0 && holders.iter().any(|&holder| holder != initial) =>
        {
            trial.takeover_ms = now_ms - fault_ms;
        }
        _ => {}
    }
}

/// An entry of the baseline's log: the holder, and the wall-clock time at which its lease expires.
#[derive(Clone, Copy)]
struct TimestampEntry {
    arrived_at_ms: u64,
    holder: usize,
    expires_ms: i64,
}

/// Runs a trial of the baseline. An entry states the wall-clock time at which the lease expires,
/// and each instance compares it with its own wall clock. Claims are conditional as in
/// `product_trial`, so that only the handling of time differs.
fn timestamp_trial(rng: &mut ChaCha8Rng, fault_ms: u64, resume_ms: u64) -> Trial {
    let (mut nodes, mut trial) = (random_nodes(rng), Trial::default());
    let mut log: Vec<TimestampEntry> = Vec::new();
    let mut pending: Vec<(u64, usize, usize, i64)> = Vec::new();
    let mut next_claim_ms = [0; INSTANCES];
    let mut initial_holder = None;
    for now_ms in (STEP_MS..TRIAL_MS).step_by(STEP_MS as usize) {
        pending.sort_unstable();
        while pending.first().is_some_and(|claim| claim.0 <= now_ms) {
            let (arrived_at_ms, holder, replaces, expires_ms) = pending.remove(0);
            if replaces == log.len() {
                log.push(TimestampEntry {
                    arrived_at_ms,
                    holder,
                    expires_ms,
                });
            }
        }
        let mut holders = Vec::new();
        for (number, node) in nodes.iter().enumerate() {
            if now_ms < node.paused_until_ms {
                continue;
            }
            let read_count =
                log.partition_point(|entry| entry.arrived_at_ms + node.lag_ms <= now_ms);
            let entry = log[..read_count].last();
            let wall_ms = node.wall_clock_ms(now_ms);
            let is_holder = entry.is_some_and(|entry| entry.holder == number);
            let remaining_ms = entry.map_or(0, |entry| entry.expires_ms - wall_ms);
            if is_holder && remaining_ms > 0 {
                holders.push(number);
            }
            let renew_below_ms = if is_holder {
                LEASE_MS as i64 * 2 / 3
            } else {
                0
            };
            if remaining_ms <= renew_below_ms && now_ms >= next_claim_ms[number] {
                next_claim_ms[number] = now_ms + MAX_APPEND_MS + MAX_READ_LAG_MS;
                trial.appends += 1;
                let arrival_ms = now_ms + rng.random_range(0..MAX_APPEND_MS);
                pending.push((arrival_ms, number, read_count, wall_ms + LEASE_MS as i64));
            }
        }
        trial.overlap_ms += STEP_MS * (holders.len() as u64).saturating_sub(1);
        apply_fault_and_record(
            &mut nodes,
            &holders,
            &mut initial_holder,
            &mut trial,
            now_ms,
            (fault_ms, resume_ms),
        );
    }
    trial
}

/// Runs one trial, given the times in milliseconds at which the holder stops and resumes.
type TrialFn = fn(&mut ChaCha8Rng, u64, u64) -> Trial;

fn measure(seed: u64, run: TrialFn) -> Value {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut takeovers_ms = Vec::new();
    let (mut overlap_ms, mut trials_with_overlap, mut appends) = (0, 0, 0);
    for trial in 0..TRIALS {
        let fault_ms = EARLIEST_FAULT_MS + rng.random_range(0..LEASE_MS);
        let resume_ms = if trial % 2 == 0 {
            TRIAL_MS
        } else {
            fault_ms + rng.random_range(STEP_MS..60_000)
        };
        let result = run(&mut rng, fault_ms, resume_ms);
        takeovers_ms.extend((result.takeover_ms > 0).then_some(result.takeover_ms));
        overlap_ms += result.overlap_ms;
        trials_with_overlap += u64::from(result.overlap_ms > 0);
        appends += result.appends;
    }
    takeovers_ms.sort_unstable();
    let percentile_ms = |percent: usize| takeovers_ms[(takeovers_ms.len() - 1) * percent / 100];
    json!({
        "trials": TRIALS,
        "takeover_p50_ms": percentile_ms(50),
        "takeover_p99_ms": percentile_ms(99),
        "trials_with_two_holders": trials_with_overlap,
        "two_holders_ms": overlap_ms,
        "appends_per_s": appends as f64 * 1_000.0 / (TRIALS * TRIAL_MS) as f64,
    })
}

pub(crate) fn run(seed: u64) {
    output::progress(
        "lease",
        "lease timed by local clocks: holder counts from sending the claim, others from reading it",
    );
    let measured = measure(seed, product_trial);
    output::line("lease", seed, measured.clone());
    output::progress("lease", "lease timed by wall-clock timestamps");
    let baseline = measure(seed, timestamp_trial);
    output::line("lease", seed, json!({ "timestamps": baseline }));
    output::summary("lease", seed, measured, baseline);
}
