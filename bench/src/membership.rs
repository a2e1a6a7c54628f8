//! Membership by peer probes, compared with heartbeats through the log: detection time, messages
//! and bytes.
//!
//! Only the membership state machines run, in one loop in virtual time.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Instant, //
};

use flamingoscale::{
    membership::{
        Action,
        Health,
        Membership,
        Message,
        Timing, //
    },
    peer::{
        Frame,
        PeerRequest, //
    },
    record::{
        Envelope,
        Record, //
    },
    timeline::Stamp,
    view::Member, //
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

/// Number of instances in each run, from current deployments to the target size.
const INSTANCE_COUNTS: [usize; 3] = [12, 100, 380];

/// Virtual time per step of the loop.
const STEP_MS: u64 = 100;

/// Time for the instances to discover each other before the measurement, and to recover after the
/// run with losses.
const WARM_UP_MS: u64 = 120_000;

/// Duration of the measurement of messages without losses, and of that of false suspicions with
/// losses.
const MEASURE_MS: u64 = 60_000;

/// Time after a crash at which the measurement ends even if some instances have not detected it.
const DETECTION_LIMIT_MS: u64 = 120_000;

/// Share of messages that are lost in the run with losses, per mille.
const LOSS_PER_MILLE: u32 = 50;

/// Approximate overhead of `h2` per message: frame headers and compressed header fields.
const H2_OVERHEAD_BYTES: u64 = 48;

/// Minimum interval between two heartbeats of an instance.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 2_000;

/// Number of missed heartbeats after which an instance counts as dead.
const MAX_MISSED_HEARTBEATS: u64 = 4;

/// Append rate limit of the log, shared by all instances.
const APPENDS_PER_S: u64 = 300;

/// Interval at which instances read the log.
const LOG_POLL_INTERVAL_MS: u64 = 500;

/// Duration of the log outage.
const OUTAGE_MS: u64 = 60_000;

/// A simulated cluster that runs only the membership state machine of each instance.
struct Cluster {
    now_ms: u64,
    memberships: BTreeMap<Arc<str>, Membership>,
    loss_per_mille: u32,
    rng: ChaCha8Rng,
    messages: u64,
    bytes: u64,
    /// For each time that an instance declared another one dead: the virtual time in milliseconds,
    /// and the instance that made the declaration.
    death_reports: Vec<(u64, Arc<str>)>,
    suspicions: u64,
}

impl Cluster {
    fn new(count: usize, seed: u64) -> Self {
        let mut memberships = BTreeMap::new();
        for number in 0..count {
            let member = member(number);
            let name = member.instance.clone();
            let mut membership = Membership::new(member, Timing::default(), seed + number as u64);
            for seed_number in 0..2.min(count) {
                membership.hint(&"".into(), &peer_address(seed_number));
            }
            memberships.insert(name, membership);
        }
        Self {
            now_ms: 0,
            memberships,
            loss_per_mille: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            messages: 0,
            bytes: 0,
            death_reports: Vec::new(),
            suspicions: 0,
        }
    }

    fn run(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let names: Vec<Arc<str>> = self.memberships.keys().cloned().collect();
        for name in names {
            if let Some(membership) = self.memberships.get_mut(&name) {
                let actions = membership.tick(self.now_ms);
                self.execute(&name, actions);
            }
        }
    }

    /// Executes the actions that the membership of the instance `name` returned.
    fn execute(&mut self, name: &Arc<str>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    probe,
                    peer_address,
                    message,
                    ..
                } => {
                    let answer = self.deliver(&peer_address, message);
                    let answer = answer.filter(|answer| self.transmit(answer));
                    if let Some(membership) = self.memberships.get_mut(name) {
                        let actions = membership.on_answer(self.now_ms, probe, answer);
                        self.execute(name, actions);
                    }
                }
                Action::HealthChanged {
                    health: Health::Suspect,
                    ..
                } => {
                    self.suspicions += 1;
                }
                Action::HealthChanged {
                    health: Health::Dead,
                    ..
                } => {
                    self.death_reports.push((self.now_ms, name.clone()));
                }
                _ => {}
            }
        }
    }

    /// Counts a message and returns whether it is delivered.
    fn transmit(&mut self, message: &Message) -> bool {
        self.messages += 1;
        self.bytes += wire_bytes(message);
        self.rng.random_range(0..1_000) >= self.loss_per_mille
    }

    /// Delivers a message unless it is lost, and returns the answer. A `ProbeRequest` makes the
    /// recipient probe the target and report whether it answered.
    fn deliver(&mut self, peer_address: &str, message: Message) -> Option<Message> {
        if !self.transmit(&message) {
            return None;
        }
        let name: Arc<str> = peer_address.split(':').next()?.into();
        if let Message::ProbeRequest { target } = message {
            let probe = self
                .memberships
                .get_mut(&name)?
                .probe_message(&target.instance);
            let answer = self.deliver(&target.peer_address, probe);
            return Some(answer.unwrap_or(Message::NoAnswer));
        }
        let now_ms = self.now_ms;
        let (answer, actions) = self.memberships.get_mut(&name)?.receive(now_ms, message);
        self.execute(&name, actions);
        answer
    }
}

fn peer_address(number: usize) -> Arc<str> {
    format!("n{number:03}:7400").into()
}

fn member(number: usize) -> Member {
    Member {
        instance: format!("n{number:03}").into(),
        incarnation: 0x1234_5678_9abc_def0 + number as u64,
        failure_domain: format!("domain{}", number % 22).into(),
        address: format!("10.1.{}.{}:7300", number / 250, number % 250).into(),
        peer_address: peer_address(number),
        leaving: false,
        suspect: false,
        revision: 123_456,
    }
}

/// Returns the size of a message on the wire, including the estimated overhead of `h2`.
fn wire_bytes(message: &Message) -> u64 {
    let frame = Frame {
        stamp: Stamp {
            wall_ms: 1_800_000_000_000,
            count: 7,
        },
        from: "n000".into(),
        body: PeerRequest::Membership(message.clone()),
    };
    let encoded = bincode::serde::encode_to_vec(&frame, bincode::config::standard());
    encoded.map_or(0, |bytes| bytes.len() as u64) + H2_OVERHEAD_BYTES
}

/// Measurements for one number of instances.
struct Figures {
    detect_first_ms: u64,
    detect_all_ms: u64,
    messages_per_s: f64,
    bytes_per_s: f64,
    cpu_us_per_s: f64,
    false_suspicions: u64,
    false_deaths: u64,
}

/// Measures messages without losses, false suspicions with losses, and the detection of a crash.
fn measure_probes(count: usize, seed: u64) -> Figures {
    let mut cluster = Cluster::new(count, seed);
    cluster.run(WARM_UP_MS);
    let (messages_before, bytes_before, start) = (cluster.messages, cluster.bytes, Instant::now());
    cluster.run(MEASURE_MS);
    let instance_seconds = (MEASURE_MS / 1_000) as f64 * count as f64;
    let cpu_us_per_s = start.elapsed().as_micros() as f64 / instance_seconds;
    let messages_per_s = (cluster.messages - messages_before) as f64 / instance_seconds;
    let bytes_per_s = (cluster.bytes - bytes_before) as f64 / instance_seconds;

    cluster.loss_per_mille = LOSS_PER_MILLE;
    cluster.suspicions = 0;
    cluster.death_reports.clear();
    cluster.run(MEASURE_MS);
    let (false_suspicions, false_deaths) = (cluster.suspicions, cluster.death_reports.len() as u64);
    cluster.loss_per_mille = 0;
    cluster.run(WARM_UP_MS);

    let (detect_first_ms, detect_all_ms) = measure_crash_detection(&mut cluster, count);
    Figures {
        detect_first_ms,
        detect_all_ms,
        messages_per_s,
        bytes_per_s,
        cpu_us_per_s,
        false_suspicions,
        false_deaths,
    }
}

/// Crashes one instance. Returns the times in milliseconds until the first and the last of the
/// other instances declared it dead.
fn measure_crash_detection(cluster: &mut Cluster, count: usize) -> (u64, u64) {
    cluster.death_reports.clear();
    cluster.memberships.remove(&member(count / 2).instance);
    let crashed_ms = cluster.now_ms;
    while cluster.death_reports.len() < count - 1
        && cluster.now_ms < crashed_ms + DETECTION_LIMIT_MS
    {
        cluster.step();
    }
    let first_ms = cluster
        .death_reports
        .first()
        .map_or(0, |report| report.0 - crashed_ms);
    let last_ms = cluster
        .death_reports
        .last()
        .map_or(0, |report| report.0 - crashed_ms);
    (first_ms, last_ms)
}

/// The baseline: every instance appends heartbeats to the log and reads those of all others.
struct Heartbeats {
    interval_ms: u64,
    last_read_ms: Vec<u64>,
    next_heartbeat_ms: Vec<u64>,
    record_bytes: u64,
}

impl Heartbeats {
    fn new(count: usize, rng: &mut ChaCha8Rng) -> Self {
        // Heartbeats use at most a third of the append rate limit, which other writers share.
        let min_interval_ms = count as u64 * 3_000 / APPENDS_PER_S;
        let interval_ms = MIN_HEARTBEAT_INTERVAL_MS.max(min_interval_ms);
        let envelope = Envelope {
            writer: "n000".into(),
            incarnation: 0x1234_5678_9abc_def0,
            serial: 100_000,
            record: Record::WindowReported {
                region: "everywhere".into(),
                window: 1,
            },
        };
        let record_bytes =
            flamingoscale::record::encode(&envelope).map_or(0, |bytes| bytes.len() as u64);
        Self {
            interval_ms,
            last_read_ms: vec![0; count],
            next_heartbeat_ms: (0..count)
                .map(|_| rng.random_range(0..interval_ms))
                .collect(),
            record_bytes,
        }
    }

    /// Runs until `end_ms` with instance 0 crashed from `crash_ms` on and the log unavailable
    /// during `outage_range_ms`. Returns the time from the crash to its detection in milliseconds,
    /// and how many times a live instance was declared dead.
    fn run(&mut self, crash_ms: u64, outage_range_ms: (u64, u64), end_ms: u64) -> (u64, u64) {
        let (mut detected_ms, mut false_deaths) = (0, 0);
        let timeout_ms = MAX_MISSED_HEARTBEATS * self.interval_ms;
        let mut declared_dead = vec![false; self.next_heartbeat_ms.len()];
        for now_ms in (0..end_ms).step_by(LOG_POLL_INTERVAL_MS as usize) {
            let is_log_unavailable = (outage_range_ms.0..outage_range_ms.1).contains(&now_ms);
            for (number, is_declared_dead) in declared_dead.iter_mut().enumerate() {
                let is_crashed = number == 0 && now_ms >= crash_ms;
                while !is_crashed && self.next_heartbeat_ms[number] <= now_ms {
                    if !is_log_unavailable {
                        self.last_read_ms[number] = now_ms;
                    }
                    self.next_heartbeat_ms[number] += self.interval_ms;
                }
                let timed_out = now_ms >= self.last_read_ms[number] + timeout_ms;
                if timed_out && !*is_declared_dead {
                    *is_declared_dead = true;
                    match is_crashed {
                        true => detected_ms = now_ms - crash_ms,
                        false => false_deaths += 1,
                    }
                } else if !timed_out {
                    *is_declared_dead = false;
                }
            }
        }
        (detected_ms, false_deaths)
    }

    fn appends_per_s(&self) -> f64 {
        self.next_heartbeat_ms.len() as f64 * 1_000.0 / self.interval_ms as f64
    }
}

/// Measures the baseline: detection of a crash, and false deaths during an outage of the log.
fn measure_heartbeats(count: usize, seed: u64) -> Value {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let no_outage = (u64::MAX - 1, u64::MAX);
    let mut without_outage = Heartbeats::new(count, &mut rng);
    let (detect_ms, _) = without_outage.run(WARM_UP_MS, no_outage, WARM_UP_MS + DETECTION_LIMIT_MS);
    let mut with_outage = Heartbeats::new(count, &mut rng);
    let (_, false_deaths) = with_outage.run(
        u64::MAX,
        (WARM_UP_MS, WARM_UP_MS + OUTAGE_MS),
        WARM_UP_MS + 2 * OUTAGE_MS,
    );
    let appends_per_s = without_outage.appends_per_s();
    json!({
        "instances": count,
        "detect_all_ms": detect_ms,
        "log_appends_per_s": appends_per_s,
        "bytes_per_s_an_instance": appends_per_s * without_outage.record_bytes as f64,
        "false_deaths_in_log_outage": false_deaths,
    })
}

pub(crate) fn run(seed: u64) {
    let (mut summary, mut baseline) = (Value::Null, Value::Null);
    for count in INSTANCE_COUNTS {
        output::progress("membership", &format!("{count} instances"));
        let measured = measure_probes(count, seed);
        summary = json!({
            "instances": count,
            "detect_first_ms": measured.detect_first_ms,
            "detect_all_ms": measured.detect_all_ms,
            "messages_per_s_an_instance": measured.messages_per_s,
            "bytes_per_s_an_instance": measured.bytes_per_s,
            "core_us_per_s_an_instance": measured.cpu_us_per_s,
            "false_suspicions_at_5_percent_loss": measured.false_suspicions,
            "false_deaths_at_5_percent_loss": measured.false_deaths,
        });
        output::line("membership", seed, summary.clone());
        baseline = measure_heartbeats(count, seed);
        output::line("membership", seed, json!({ "heartbeats": baseline }));
    }
    output::summary("membership", seed, summary, baseline);
}
