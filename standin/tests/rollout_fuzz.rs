//! Stateful fuzzing of rollouts: real coordinators under random failures. The trainers check their
//! batches against the engines' records of which request ran on which version.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use actix_web::http::StatusCode;
use flamingoscale::{
    view::EndpointKey,
    wire::{
        Batch,
        OpenStep, //
    }, //
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    }, //
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::{
    engine::expected_text,
    world::{
        fleet::{
            Fleet,
            FleetSettings,
            LengthDistribution,
            Run, //
        },
        World,
        WorldTrainer, //
    }, //
};
use tokio::time::sleep;

const ENGINES: u32 = 4;
const INSTANCES: usize = 4;
const TRAINERS: [&str; 2] = ["notes", "notices"];
/// Steps that each trainer runs.
const STEPS: u64 = 4;
/// Maximum number of versions by which a sample may be behind the newest when its batch closes.
const STALENESS_BOUND: u64 = 2;

/// Time within which the remaining steps must finish once all faults are cleared.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(600);

/// A random event: a failure, a membership change or a pause.
#[derive(Clone, Debug)]
enum Event {
    /// An instance crashes; the others detect the crash later.
    Crash {
        instance: usize,
        detected_after_ms: u64,
    },
    /// A new instance starts.
    Start,
    /// An instance announces that it is leaving, and stops later.
    Leave { instance: usize, after_ms: u64 },
    /// An engine crashes, and restarts with the weights of its image.
    EngineCrash { engine: u32, back_after_ms: u64 },
    /// An engine swaps weights while requests run; the swap loads the newest version or fails.
    Swap {
        engine: u32,
        duration_ms: u64,
        fails: bool,
    },
    /// An engine starts or stops reporting the versions that it ran.
    ReportVersions { engine: u32, reports: bool },
    /// An engine stops responding for a while.
    Silence { engine: u32, for_ms: u64 },
    /// An engine generates tokens at its normal speed divided by `factor`.
    Slow { engine: u32, factor: u8 },
    /// One in `one_in` replies between instances is lost from now on; 0 stops the loss.
    DropReplies { one_in: u32 },
    /// No event happens for a while.
    Wait { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let engine = 0..ENGINES;
    prop_oneof![
        2 => (0..INSTANCES, 500..4_000_u64)
            .prop_map(|(instance, detected_after_ms)| Event::Crash { instance, detected_after_ms }),
        1 => Just(Event::Start),
        1 => (0..INSTANCES, 500..4_000_u64)
            .prop_map(|(instance, after_ms)| Event::Leave { instance, after_ms }),
        2 => (engine.clone(), 100..3_000_u64)
            .prop_map(|(engine, back_after_ms)| Event::EngineCrash { engine, back_after_ms }),
        3 => (engine.clone(), 1..2_000_u64, any::<bool>())
            .prop_map(|(engine, duration_ms, fails)| Event::Swap { engine, duration_ms, fails }),
        2 => (engine.clone(), any::<bool>())
            .prop_map(|(engine, reports)| Event::ReportVersions { engine, reports }),
        1 => (engine.clone(), 1_000..40_000_u64)
            .prop_map(|(engine, for_ms)| Event::Silence { engine, for_ms }),
        1 => (engine, 1..20_u8).prop_map(|(engine, factor)| Event::Slow { engine, factor }),
        1 => (0..6_u32).prop_map(|one_in| Event::DropReplies { one_in }),
        3 => (100..5_000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

fn step_request(trainer: &str, step: u64) -> OpenStep {
    let prompts = (0..4).map(|group| format!("{trainer} {step} {group}").into());
    OpenStep {
        step,
        prompts: prompts.collect(),
        samples_per_group: 3,
        max_tokens: 200,
        staleness_bound: STALENESS_BOUND,
        deadline_ms: 20_000,
        scoring: None,
    }
}

/// A trainer that sends each request to a random instance, and repeats some requests as if their
/// responses were lost.
struct Trainer {
    name: &'static str,
    world: Rc<World>,
    rng: ChaCha8Rng,
    /// Number of instance crashes so far. More than one crash may lose a batch with its replica.
    crashes: Rc<Cell<u32>>,
    problems: Rc<RefCell<Vec<String>>>,
}

impl Trainer {
    async fn train(mut self) {
        for step in 1..=STEPS {
            let request = step_request(self.name, step);
            self.open(&request).await;
            let crashes = self.crashes.get();
            let batch = self.fetch(&request).await;
            self.check(&request, &batch);
            if self.rng.random_bool(0.5) {
                let wait_ms = self.rng.random_range(0..6_000);
                sleep(Duration::from_millis(wait_ms)).await;
                let refetched = self.fetch(&request).await;
                let batch_may_be_lost = self.crashes.get() > crashes + 1;
                if refetched != batch && !batch_may_be_lost {
                    self.record_problem(
                        &request,
                        "a repeated fetch returned a different batch for the same step",
                    );
                }
            }
            self.acknowledge(step).await;
        }
    }

    /// Publishes versions at random times, independently of the steps.
    async fn publish_until_aborted(mut self) {
        for version in 2.. {
            let wait_ms = self.rng.random_range(500..6_000);
            sleep(Duration::from_millis(wait_ms)).await;
            self.publish(version).await;
        }
    }

    fn random_instance(&mut self) -> Arc<str> {
        let live = self.world.instances();
        live[self.rng.random_range(0..live.len())].clone()
    }

    async fn open(&mut self, request: &OpenStep) {
        let mut attempts = 0;
        loop {
            let instance = self.random_instance();
            let status = self.world.open(&instance, self.name, request).await;
            if status == StatusCode::OK && attempts >= self.rng.random_range(0..3) {
                return;
            }
            attempts += 1;
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn fetch(&mut self, request: &OpenStep) -> Batch {
        loop {
            let instance = self.random_instance();
            match self
                .world
                .fetch(&instance, self.name, request.step, 500)
                .await
            {
                Ok(batch) if batch.complete => return batch,
                Ok(_) => {}
                Err(StatusCode::NOT_FOUND) => self.open(request).await,
                Err(_) => sleep(Duration::from_millis(200)).await,
            }
        }
    }

    async fn acknowledge(&mut self, step: u64) {
        loop {
            let instance = self.random_instance();
            if self.world.acknowledge(&instance, self.name, step).await == StatusCode::OK {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn publish(&mut self, version: u64) {
        loop {
            let instance = self.random_instance();
            if self.world.publish(&instance, self.name, version).await == StatusCode::OK {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Records a problem for each guarantee that the batch violates.
    fn check(&self, request: &OpenStep, batch: &Batch) {
        let runs = self.world.fleet.runs();
        let mut ids = BTreeSet::new();
        for sample in &batch.samples {
            if !ids.insert((sample.group, sample.index)) {
                self.record_problem(request, "a sample was delivered twice");
            }
            let prompt = &request.prompts[sample.group as usize];
            let produced = |run: &Run| {
                let same_request = run.prompt == *prompt && run.spans == sample.versions;
                same_request && sample.text == expected_text(prompt, run.seed, sample.tokens)
            };
            if !runs.iter().any(produced) {
                self.record_problem(request, "no engine generated this text on these versions");
            }
            let oldest = sample.versions.iter().map(|span| span.version).min();
            if oldest.is_none_or(|oldest| oldest + STALENESS_BOUND < batch.newest_version) {
                self.record_problem(request, "a sample exceeds the staleness bound");
            }
        }
        let expected = request.prompts.len() * usize::from(request.samples_per_group);
        if ids.len() != expected {
            self.record_problem(request, "samples are missing");
        }
    }

    fn record_problem(&self, request: &OpenStep, description: &str) {
        let problem = format!("{} step {}: {description}", self.name, request.step);
        self.problems.borrow_mut().push(problem);
    }
}

/// Applies one event. If the event lasts for some time, a background task ends it.
async fn apply_event(
    world: &Rc<World>,
    event: Event,
    crashes: &Rc<Cell<u32>>,
    started_instances: &mut u32,
) {
    let run_after = |ms: u64, then: Box<dyn FnOnce(&World)>| {
        let world = world.clone();
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(ms)).await;
            then(&world);
        });
    };
    match event {
        Event::Crash {
            instance,
            detected_after_ms,
        } => {
            if let Some(name) = pick_removable(world, instance) {
                world.crash(&name);
                crashes.set(crashes.get() + 1);
                run_after(detected_after_ms, Box::new(World::detect_crashes));
            }
        }
        Event::Start => {
            *started_instances += 1;
            world.start(
                &format!("f{started_instances}"),
                &format!("d{}", *started_instances % 3),
            );
        }
        Event::Leave { instance, after_ms } => {
            if let Some(name) = pick_removable(world, instance) {
                world.mark_leaving(&name);
                let crashes = crashes.clone();
                let leave = move |world: &World| {
                    world.crash(&name);
                    crashes.set(crashes.get() + 1);
                    world.detect_crashes();
                };
                run_after(after_ms, Box::new(leave));
            }
        }
        Event::EngineCrash {
            engine,
            back_after_ms,
        } => {
            let key = EndpointKey(engine);
            world.fleet.crash(key);
            // The engine restarts with the weights of its image, which are version 0.
            run_after(
                back_after_ms,
                Box::new(move |world| world.fleet.restart(key, 0)),
            );
        }
        Event::Swap {
            engine,
            duration_ms,
            fails,
        } => {
            let key = EndpointKey(engine);
            world.fleet.begin_swap(key);
            let end = move |world: &World| {
                let version = (!fails).then(|| world.newest_version().max(1));
                world.fleet.end_swap(key, version);
            };
            run_after(duration_ms, Box::new(end));
        }
        Event::ReportVersions { engine, reports } => world
            .fleet
            .set_reports_versions(EndpointKey(engine), reports),
        Event::Silence { engine, for_ms } => {
            let key = EndpointKey(engine);
            world.fleet.set_silent(key, true);
            run_after(
                for_ms,
                Box::new(move |world| world.fleet.set_silent(key, false)),
            );
        }
        Event::Slow { engine, factor } => {
            world
                .fleet
                .set_slowdown(EndpointKey(engine), f64::from(factor));
        }
        Event::DropReplies { one_in } => world.drop_replies(one_in),
        Event::Wait { ms } => sleep(Duration::from_millis(ms)).await,
    }
    sleep(Duration::from_millis(100)).await;
    world.propagate_versions();
}

/// Returns a live instance that may be removed, or `None` if at most two are live, so that events
/// never leave a single instance.
fn pick_removable(world: &World, instance: usize) -> Option<Arc<str>> {
    let live = world.instances();
    (live.len() > 2).then(|| live[instance % live.len()].clone())
}

fn clear_faults(world: &World) {
    world.drop_replies(0);
    world.detect_crashes();
    for key in world.fleet.keys() {
        world.fleet.set_silent(key, false);
        world.fleet.set_slowdown(key, 1.0);
        world.fleet.restart(key, world.newest_version().max(1));
    }
}

/// Keeps the engines on the newest version, as the homes do in a real cluster.
async fn keep_engines_on_newest_version(world: Rc<World>) {
    loop {
        sleep(Duration::from_millis(1_000)).await;
        world.propagate_versions();
        let newest = world.newest_version().max(1);
        for key in world.fleet.keys() {
            if world.fleet.version(key) != Some(newest) {
                world.fleet.end_swap(key, Some(newest));
            }
        }
    }
}

async fn run(events: Vec<Event>, seed: u64) -> Vec<String> {
    let settings = FleetSettings {
        engines: ENGINES,
        slots: 4,
        tokens_per_s: 50.0,
        lengths: LengthDistribution {
            min_tokens: 20,
            tail_exponent: 1.2,
        },
    };
    let trainers = TRAINERS.map(|name| WorldTrainer {
        name: name.into(),
        weight: 1,
        staleness_bound: STALENESS_BOUND,
    });
    let world = Rc::new(World::new(INSTANCES, &trainers, Fleet::new(settings), seed));
    let problems = Rc::new(RefCell::new(Vec::new()));
    let crashes = Rc::new(Cell::new(0));
    let trainer = |name, number: u64| Trainer {
        name,
        world: world.clone(),
        rng: ChaCha8Rng::seed_from_u64(seed ^ number),
        crashes: crashes.clone(),
        problems: problems.clone(),
    };
    let numbered_trainers = (0..).zip(TRAINERS);
    let training_tasks: Vec<_> = numbered_trainers
        .map(|(number, name)| actix_rt::spawn(trainer(name, number).train()))
        .collect();
    // Both trainers use the same service; only the first one publishes its weights.
    let publishing_task = actix_rt::spawn(trainer(TRAINERS[0], 7).publish_until_aborted());
    let mut started_instances = 0;
    for event in events {
        apply_event(&world, event, &crashes, &mut started_instances).await;
    }
    publishing_task.abort();
    clear_faults(&world);
    let version_updates = actix_rt::spawn(keep_engines_on_newest_version(world.clone()));
    for training_task in training_tasks {
        if tokio::time::timeout(RECOVERY_TIMEOUT, training_task)
            .await
            .is_err()
        {
            let problem = String::from("a trainer did not get all batches in time");
            problems.borrow_mut().push(problem);
        }
    }
    version_updates.abort();
    let result = problems.borrow().clone();
    result
}

fn run_with_paused_clock(events: Vec<Event>, seed: u64) -> Vec<String> {
    let system = actix_rt::System::with_tokio_rt(|| {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("the runtime should build")
    });
    system.block_on(run(events, seed))
}

proptest! {
    #![proptest_config(Config {
        cases: 24,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        max_shrink_iters: 40,
        ..Config::default()
    })]

    #[test]
    fn fuzz_batches_are_whole_true_and_fresh(
        events in prop::collection::vec(event(), 1..40),
        seed in any::<u64>(),
    ) {
        let problems = run_with_paused_clock(events, seed);
        prop_assert!(problems.is_empty(), "{problems:?}");
    }
}

#[test]
fn training_finishes_without_faults() {
    assert_eq!(run_with_paused_clock(Vec::new(), 1), Vec::<String>::new());
}
