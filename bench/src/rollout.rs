//! Trainer idle time, staleness and discarded tokens of rollouts with long-tailed sample lengths
//! and faulty engines.
//!
//! Real coordinators run on a model of the engines and the network, in one thread with a paused
//! clock: the model determines the times, and the production code makes the decisions. The
//! synchronous baseline and the policy without hedging use the same seed, lengths and faults.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use flamingoscale::{
    view::EndpointKey,
    wire::{
        Batch,
        OpenStep, //
    }, //
};
use rand::{
    RngExt as _,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::{
    json,
    Value, //
};
use standin::world::{
    fleet::{
        Fleet,
        FleetSettings,
        LengthDistribution, //
    },
    World,
    WorldTrainer, //
};
use tokio::time::{
    sleep,
    Instant, //
};

use crate::output;

const NAME: &str = "rollout";

/// Number of instances that run coordinators.
const INSTANCES: usize = 12;

/// Number of steps of each trainer.
const STEPS: u64 = 8;

/// Time that a trainer needs to train on one batch.
const TRAIN_TIME: Duration = Duration::from_secs(30);

/// Time that an engine is out of service for a weight swap.
const SWAP_TIME: Duration = Duration::from_millis(500);

/// Time between the starts of two swaps, in which the weight store transfers the weights to one
/// engine.
const SWAP_SPACING: Duration = Duration::from_millis(150);

/// Maximum number of weight versions by which a sample may be behind the newest version.
const STALENESS_BOUND: u64 = 6;

/// Number of trainers, and of samples per step, at the target size.
const TARGET_SIZE: (usize, u32) = (23, 2_048);

/// When trainers open the next step, and whether stragglers are hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The next step is generated while the trainer trains. Stragglers are hedged with a second
    /// attempt.
    Ahead,
    /// The same as `Ahead`, but without hedging.
    WithoutSecondTries,
    /// The next step is opened only after all engines have the newest weights.
    Synchronous,
}

/// Measurements of one policy.
#[derive(Clone, Debug, Default)]
struct Figures {
    /// Time that trainers waited for batches or for weight swaps.
    idle_ms: u64,
    total_ms: u64,
    /// For each sample, the number of versions between its oldest token and the newest version.
    staleness: Vec<u64>,
    tokens_delivered: u64,
    tokens_generated: u64,
    samples: u64,
}

impl Figures {
    fn to_json(&self) -> Value {
        let mut staleness = self.staleness.clone();
        staleness.sort_unstable();
        let count = staleness.len().max(1);
        let sum: u64 = staleness.iter().sum();
        let p99 = staleness.get(count * 99 / 100).copied().unwrap_or(0);
        let discarded = self.tokens_generated.saturating_sub(self.tokens_delivered);
        json!({
            "idle_share": self.idle_ms as f64 / self.total_ms.max(1) as f64,
            "samples": self.samples,
            "samples_per_s": self.samples as f64 * 1_000.0 / self.total_ms.max(1) as f64,
            "staleness_mean": sum as f64 / count as f64,
            "staleness_p99": p99,
            "tokens_thrown_away_share": discarded as f64 / self.tokens_generated.max(1) as f64,
        })
    }
}

pub(crate) fn run(seed: u64) {
    let mut results = Vec::new();
    for policy in [
        Policy::Ahead,
        Policy::WithoutSecondTries,
        Policy::Synchronous,
    ] {
        output::progress(NAME, &format!("{policy:?}"));
        let figures = run_with_paused_clock(run_trainers(policy, seed)).to_json();
        let mut line = figures.clone();
        line["policy"] = format!("{policy:?}").into();
        output::line(NAME, seed, line);
        results.push(figures);
    }
    output::progress(NAME, "target size");
    let target = measure_target_size(seed);
    output::line(NAME, seed, target.clone());
    let (measured, without_hedging, synchronous) = (&results[0], &results[1], &results[2]);
    let mut summary = measured.clone();
    for (name, value) in target.as_object().into_iter().flatten() {
        summary[name] = value.clone();
    }
    summary["idle_share_without_second_tries"] = without_hedging["idle_share"].clone();
    summary["tokens_thrown_away_share_without_second_tries"] =
        without_hedging["tokens_thrown_away_share"].clone();
    output::summary(NAME, seed, summary, synchronous.clone());
}

fn run_with_paused_clock<T>(future: impl std::future::Future<Output = T>) -> T {
    let system = actix_rt::System::with_tokio_rt(|| {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("the tokio runtime starts")
    });
    system.block_on(future)
}

/// Runs three trainers with the policy, on nine engines with injected faults, and returns their
/// measurements.
async fn run_trainers(policy: Policy, seed: u64) -> Figures {
    let settings = FleetSettings {
        engines: 9,
        slots: 16,
        tokens_per_s: 50.0,
        lengths: LengthDistribution {
            min_tokens: 40,
            tail_exponent: 1.1,
        },
    };
    let trainers = ["condition-notes", "lodge-notes", "branch-notices"];
    let world_trainers = trainers.map(|name| WorldTrainer {
        name: name.into(),
        weight: 1,
        staleness_bound: STALENESS_BOUND,
    });
    let fleet = Fleet::new(settings);
    let hedging = policy != Policy::WithoutSecondTries;
    let world = World::with_hedging(INSTANCES, &world_trainers, fleet, seed, hedging);
    let world = Rc::new(world);
    let faults = actix_rt::spawn(inject_engine_faults(world.clone(), seed));
    let swap_task = actix_rt::spawn(swap_engines(world.clone()));
    let figures = Rc::new(RefCell::new(Figures::default()));
    let started = Instant::now();
    let trainer_tasks: Vec<_> = trainers
        .iter()
        .map(|name| {
            let trainer = Trainer {
                name: Arc::from(*name),
                policy,
                world: world.clone(),
                figures: figures.clone(),
            };
            actix_rt::spawn(trainer.run())
        })
        .collect();
    for trainer in trainer_tasks {
        let _ = trainer.await;
    }
    faults.abort();
    swap_task.abort();
    let mut figures = figures.borrow().clone();
    let trainers = trainers.len() as u64;
    figures.total_ms = started.elapsed().as_millis() as u64 * trainers;
    figures.tokens_generated = world.fleet.tokens();
    figures
}

/// A trainer that opens steps, fetches their batches and publishes new weight versions.
struct Trainer {
    name: Arc<str>,
    policy: Policy,
    world: Rc<World>,
    figures: Rc<RefCell<Figures>>,
}

impl Trainer {
    async fn run(self) {
        self.open(1).await;
        for step in 1..=STEPS {
            let wait_started = Instant::now();
            let batch = self.fetch(step).await;
            self.record_batch(&batch, wait_started.elapsed());
            let opens_ahead = self.policy != Policy::Synchronous;
            if opens_ahead && step < STEPS {
                self.open(step + 1).await;
            }
            sleep(TRAIN_TIME).await;
            self.world.acknowledge("n0", &self.name, step).await;
            let version = self.publish().await;
            if !opens_ahead && step < STEPS {
                let wait_started = Instant::now();
                self.wait_for_engines(version).await;
                self.figures.borrow_mut().idle_ms += wait_started.elapsed().as_millis() as u64;
                self.open(step + 1).await;
            }
        }
    }

    /// Opens a step, and retries every 200 ms until it is accepted.
    async fn open(&self, step: u64) {
        let step_request = step_request(&self.name, step, (16, 8), 1_500);
        while !self
            .world
            .open("n0", &self.name, &step_request)
            .await
            .is_success()
        {
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Waits until the batch of a step is complete and returns it.
    async fn fetch(&self, step: u64) -> Batch {
        loop {
            match self.world.fetch("n0", &self.name, step, 30_000).await {
                Ok(batch) if batch.complete => return batch,
                _ => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    /// Adds the staleness and tokens of a batch, and the time that the trainer waited for it.
    fn record_batch(&self, batch: &Batch, waited: Duration) {
        let mut figures = self.figures.borrow_mut();
        figures.idle_ms += waited.as_millis() as u64;
        for sample in &batch.samples {
            let oldest = sample.versions.iter().map(|span| span.version).min();
            let staleness = batch.newest_version.saturating_sub(oldest.unwrap_or(0));
            figures.staleness.push(staleness);
            figures.tokens_delivered += u64::from(sample.tokens);
            figures.samples += 1;
        }
    }

    /// Publishes the next version. Trainers of the same service share its version numbers, so the
    /// number may be taken and the publication is retried.
    async fn publish(&self) -> u64 {
        loop {
            let version = self.world.newest_version().max(1) + 1;
            let published = self.world.publish("n0", &self.name, version).await;
            if published.is_success() {
                self.world.propagate_versions();
                return version;
            }
        }
    }

    /// Waits until all engines have loaded at least the given version.
    async fn wait_for_engines(&self, version: u64) {
        let fleet = &self.world.fleet;
        while fleet
            .keys()
            .into_iter()
            .any(|key| fleet.version(key) < Some(version))
        {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

fn step_request(
    trainer: &str,
    step: u64,
    (groups, samples_per_group): (u32, u16),
    max_tokens: u32,
) -> OpenStep {
    let prompts = (0..groups).map(|group| format!("{trainer} {step} {group}").into());
    OpenStep {
        step,
        prompts: prompts.collect(),
        samples_per_group,
        max_tokens,
        staleness_bound: STALENESS_BOUND,
        deadline_ms: 30_000,
        scoring: None,
    }
}

/// Swaps outdated engines to the newest version, one start per `SWAP_SPACING`. In production, the
/// instances in charge of the engines (their homes) order these swaps.
async fn swap_engines(world: Rc<World>) {
    loop {
        let newest = world.newest_version();
        for key in world.fleet.keys() {
            if world.fleet.version(key) < Some(newest) {
                let fleet = world.fleet.clone();
                actix_rt::spawn(async move {
                    fleet.begin_swap(key);
                    sleep(SWAP_TIME).await;
                    fleet.end_swap(key, Some(newest));
                });
                sleep(SWAP_SPACING).await;
            }
        }
        sleep(SWAP_TIME).await;
    }
}

/// Makes an engine slow, silent or crashed for a while, every 10 to 40 seconds.
async fn inject_engine_faults(world: Rc<World>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x51C);
    loop {
        sleep(Duration::from_millis(random.random_range(10_000..40_000))).await;
        let key = EndpointKey(random.random_range(0..9));
        let duration_ms = random.random_range(5_000..30_000);
        let fault = random.random_range(0..4);
        let fleet = world.fleet.clone();
        match fault {
            0 => fleet.crash(key),
            1 => fleet.set_silent(key, true),
            _ => fleet.set_slowdown(key, 10.0),
        }
        let newest = world.newest_version().max(1);
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(duration_ms)).await;
            match fault {
                0 => fleet.restart(key, newest),
                1 => fleet.set_silent(key, false),
                _ => fleet.set_slowdown(key, 1.0),
            }
        });
    }
}

/// Measures CPU time and memory per sample with 23 trainers of 2,048 samples each. Both figures
/// include the model of the engines and the network.
fn measure_target_size(seed: u64) -> Value {
    let before = ResourceUsage::now();
    let (samples, model_ms, peak_kb) = run_with_paused_clock(async move {
        let (trainers, samples) = TARGET_SIZE;
        let settings = FleetSettings {
            engines: 200,
            slots: 64,
            tokens_per_s: 100.0,
            lengths: LengthDistribution {
                min_tokens: 40,
                tail_exponent: 1.1,
            },
        };
        let names: Vec<Arc<str>> = (0..trainers)
            .map(|n| format!("trainer-{n}").into())
            .collect();
        let world_trainers: Vec<WorldTrainer> = names
            .iter()
            .map(|name| WorldTrainer {
                name: name.clone(),
                weight: 1,
                staleness_bound: STALENESS_BOUND,
            })
            .collect();
        let world = World::new(INSTANCES, &world_trainers, Fleet::new(settings), seed);
        let started = Instant::now();
        for name in &names {
            let step_request = step_request(name, 1, (samples / 16, 16), 400);
            let opened = world.open("n0", name, &step_request).await;
            assert!(opened.is_success(), "step not accepted: {opened}");
        }
        let mut delivered = 0;
        for name in &names {
            delivered += loop {
                match world.fetch("n0", name, 1, 30_000).await {
                    Ok(batch) if batch.complete => break batch.samples.len() as u64,
                    _ => sleep(Duration::from_millis(100)).await,
                }
            };
        }
        let model_ms = started.elapsed().as_millis() as u64;
        (delivered, model_ms, ResourceUsage::now().peak_kb)
    });
    let after = ResourceUsage::now();
    let cpu_us = (after.cpu_ms - before.cpu_ms) * 1_000;
    let used_kb = peak_kb.saturating_sub(before.peak_kb);
    json!({
        "target_samples": samples,
        "target_model_ms": model_ms,
        "target_cpu_us_per_sample": cpu_us as f64 / samples.max(1) as f64,
        "target_peak_bytes_per_sample": used_kb as f64 * 1_024.0 / samples.max(1) as f64,
    })
}

/// CPU time and peak memory of this process since its start.
struct ResourceUsage {
    cpu_ms: u64,
    peak_kb: u64,
}

impl ResourceUsage {
    fn now() -> Self {
        Self {
            cpu_ms: read_cpu_ms().unwrap_or(0),
            peak_kb: read_peak_kb().unwrap_or(0),
        }
    }
}

/// Returns the CPU time of this process in milliseconds. The resolution is one clock tick of 10 ms.
fn read_cpu_ms() -> Option<u64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let after_name = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some((user + system) * 10)
}

/// Returns the peak resident memory of this process in units of 1,024 bytes.
fn read_peak_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
