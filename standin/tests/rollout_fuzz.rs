//! Stateful fuzzing of rollouts: real coordinators under random failures, judged by the
//! trainers' ledgers and the engines' own record of what ran on which version.

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
const STEPS: u64 = 4;
const BOUND: u64 = 2;

/// Time in which a world without faults has to finish what is left.
const HEALED_LIMIT: Duration = Duration::from_secs(600);

/// One thing that happens.
#[derive(Clone, Debug)]
enum Event {
    /// An instance dies; the others see it after a while.
    Crash {
        instance: usize,
        seen_after_ms: u64,
    },
    /// A fresh instance starts.
    Start,
    /// An instance announces that it goes, and goes.
    Leave {
        instance: usize,
        after_ms: u64,
    },
    EngineCrash {
        engine: u32,
        back_after_ms: u64,
    },
    /// A swap in the middle of whatever runs, to the newest version or failing.
    Swap {
        engine: u32,
        takes_ms: u64,
        fails: bool,
    },
    /// An engine stops naming versions, or names them again.
    Tell {
        engine: u32,
        tells: bool,
    },
    Silence {
        engine: u32,
        for_ms: u64,
    },
    Slow {
        engine: u32,
        factor: u8,
    },
    LoseAnswers {
        one_in: u32,
    },
    Wait {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let engine = 0..ENGINES;
    prop_oneof![
        2 => (0..INSTANCES, 500..4_000_u64)
            .prop_map(|(instance, seen_after_ms)| Event::Crash { instance, seen_after_ms }),
        1 => Just(Event::Start),
        1 => (0..INSTANCES, 500..4_000_u64)
            .prop_map(|(instance, after_ms)| Event::Leave { instance, after_ms }),
        2 => (engine.clone(), 100..3_000_u64)
            .prop_map(|(engine, back_after_ms)| Event::EngineCrash { engine, back_after_ms }),
        3 => (engine.clone(), 1..2_000_u64, any::<bool>())
            .prop_map(|(engine, takes_ms, fails)| Event::Swap { engine, takes_ms, fails }),
        2 => (engine.clone(), any::<bool>())
            .prop_map(|(engine, tells)| Event::Tell { engine, tells }),
        1 => (engine.clone(), 1_000..40_000_u64)
            .prop_map(|(engine, for_ms)| Event::Silence { engine, for_ms }),
        1 => (engine, 1..20_u8).prop_map(|(engine, factor)| Event::Slow { engine, factor }),
        1 => (0..6_u32).prop_map(|one_in| Event::LoseAnswers { one_in }),
        3 => (100..5_000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

fn contents(trainer: &str, step: u64) -> OpenStep {
    let prompts = (0..4).map(|group| format!("{trainer} {step} {group}").into());
    OpenStep {
        step,
        prompts: prompts.collect(),
        samples_per_group: 3,
        max_tokens: 200,
        staleness_bound: BOUND,
        deadline_ms: 20_000,
        scoring: None,
    }
}

/// A trainer that asks at random instances, and now and then loses an answer and asks again.
struct Trainer {
    name: &'static str,
    world: Rc<World>,
    random: ChaCha8Rng,
    /// Instances that died so far, to know when a batch may have been lost with its copy.
    deaths: Rc<Cell<u32>>,
    problems: Rc<RefCell<Vec<String>>>,
}

impl Trainer {
    async fn train(mut self) {
        for step in 1..=STEPS {
            let contents = contents(self.name, step);
            self.open(&contents).await;
            let deaths = self.deaths.get();
            let batch = self.fetch(&contents).await;
            self.check(&contents, &batch);
            if self.random.random_bool(0.5) {
                let wait_ms = self.random.random_range(0..6_000);
                sleep(Duration::from_millis(wait_ms)).await;
                let again = self.fetch(&contents).await;
                let lost_with_its_copy = self.deaths.get() > deaths + 1;
                if again != batch && !lost_with_its_copy {
                    self.complain(&contents, "another batch was given for the same step");
                }
            }
            self.acknowledge(step).await;
        }
    }

    /// Publishes versions without regard to the steps.
    async fn publish_often(mut self) {
        for version in 2.. {
            let wait_ms = self.random.random_range(500..6_000);
            sleep(Duration::from_millis(wait_ms)).await;
            self.publish(version).await;
        }
    }

    fn somewhere(&mut self) -> Arc<str> {
        let live = self.world.instances();
        live[self.random.random_range(0..live.len())].clone()
    }

    async fn open(&mut self, contents: &OpenStep) {
        let mut tries = 0;
        loop {
            let at = self.somewhere();
            let status = self.world.open(&at, self.name, contents).await;
            if status == StatusCode::OK && tries >= self.random.random_range(0..3) {
                return;
            }
            tries += 1;
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn fetch(&mut self, contents: &OpenStep) -> Batch {
        loop {
            let at = self.somewhere();
            match self.world.fetch(&at, self.name, contents.step, 500).await {
                Ok(batch) if batch.complete => return batch,
                Ok(_) => {}
                Err(StatusCode::NOT_FOUND) => self.open(contents).await,
                Err(_) => sleep(Duration::from_millis(200)).await,
            }
        }
    }

    async fn acknowledge(&mut self, step: u64) {
        loop {
            let at = self.somewhere();
            if self.world.acknowledge(&at, self.name, step).await == StatusCode::OK {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn publish(&mut self, version: u64) {
        loop {
            let at = self.somewhere();
            if self.world.publish(&at, self.name, version).await == StatusCode::OK {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    fn check(&self, contents: &OpenStep, batch: &Batch) {
        let runs = self.world.fleet.runs();
        let mut ids = BTreeSet::new();
        for sample in &batch.samples {
            if !ids.insert((sample.group, sample.index)) {
                self.complain(contents, "a sample came twice");
            }
            let prompt = &contents.prompts[sample.group as usize];
            let produced = |run: &Run| {
                let same = run.prompt == *prompt && run.spans == sample.versions;
                same && sample.text == expected_text(prompt, run.seed, sample.tokens)
            };
            if !runs.iter().any(produced) {
                self.complain(contents, "no engine gave this text on these versions");
            }
            let oldest = sample.versions.iter().map(|span| span.version).min();
            if oldest.is_none_or(|oldest| oldest + BOUND < batch.newest_version) {
                self.complain(contents, "a sample is older than the bound");
            }
        }
        let expected = contents.prompts.len() * usize::from(contents.samples_per_group);
        if ids.len() != expected {
            self.complain(contents, "samples are missing");
        }
    }

    fn complain(&self, contents: &OpenStep, what: &str) {
        let problem = format!("{} step {}: {what}", self.name, contents.step);
        self.problems.borrow_mut().push(problem);
    }
}

/// Lets one event happen; what ends later ends by itself.
async fn happen(world: &Rc<World>, event: Event, deaths: &Rc<Cell<u32>>, fresh: &mut u32) {
    let later = |ms: u64, then: Box<dyn FnOnce(&World)>| {
        let world = world.clone();
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(ms)).await;
            then(&world);
        });
    };
    match event {
        Event::Crash {
            instance,
            seen_after_ms,
        } => {
            if let Some(name) = pick(world, instance) {
                world.crash(&name);
                deaths.set(deaths.get() + 1);
                later(seen_after_ms, Box::new(World::detect_crashes));
            }
        }
        Event::Start => {
            *fresh += 1;
            world.start(&format!("f{fresh}"), &format!("d{}", *fresh % 3));
        }
        Event::Leave { instance, after_ms } => {
            if let Some(name) = pick(world, instance) {
                world.mark_leaving(&name);
                let deaths = deaths.clone();
                let go = move |world: &World| {
                    world.crash(&name);
                    deaths.set(deaths.get() + 1);
                    world.detect_crashes();
                };
                later(after_ms, Box::new(go));
            }
        }
        Event::EngineCrash {
            engine,
            back_after_ms,
        } => {
            let key = EndpointKey(engine);
            world.fleet.crash(key);
            // It comes back with whatever its image holds, which is old.
            later(
                back_after_ms,
                Box::new(move |world| world.fleet.restart(key, 0)),
            );
        }
        Event::Swap {
            engine,
            takes_ms,
            fails,
        } => {
            let key = EndpointKey(engine);
            world.fleet.begin_swap(key);
            let end = move |world: &World| {
                let version = (!fails).then(|| world.newest_version().max(1));
                world.fleet.end_swap(key, version);
            };
            later(takes_ms, Box::new(end));
        }
        Event::Tell { engine, tells } => {
            world.fleet.set_reports_versions(EndpointKey(engine), tells)
        }
        Event::Silence { engine, for_ms } => {
            let key = EndpointKey(engine);
            world.fleet.set_silent(key, true);
            later(
                for_ms,
                Box::new(move |world| world.fleet.set_silent(key, false)),
            );
        }
        Event::Slow { engine, factor } => {
            world
                .fleet
                .set_slowdown(EndpointKey(engine), f64::from(factor));
        }
        Event::LoseAnswers { one_in } => world.drop_replies(one_in),
        Event::Wait { ms } => sleep(Duration::from_millis(ms)).await,
    }
    sleep(Duration::from_millis(100)).await;
    world.propagate_versions();
}

/// A live instance, unless too few would be left.
fn pick(world: &World, instance: usize) -> Option<Arc<str>> {
    let live = world.instances();
    (live.len() > 2).then(|| live[instance % live.len()].clone())
}

fn heal(world: &World) {
    world.drop_replies(0);
    world.detect_crashes();
    for key in world.fleet.keys() {
        world.fleet.set_silent(key, false);
        world.fleet.set_slowdown(key, 1.0);
        world.fleet.restart(key, world.newest_version().max(1));
    }
}

/// Keeps the engines on the newest version, as homes would.
async fn follow_versions(world: Rc<World>) {
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
        staleness_bound: BOUND,
    });
    let world = Rc::new(World::new(INSTANCES, &trainers, Fleet::new(settings), seed));
    let problems = Rc::new(RefCell::new(Vec::new()));
    let deaths = Rc::new(Cell::new(0));
    let trainer = |name, number: u64| Trainer {
        name,
        world: world.clone(),
        random: ChaCha8Rng::seed_from_u64(seed ^ number),
        deaths: deaths.clone(),
        problems: problems.clone(),
    };
    let numbered = (0..).zip(TRAINERS);
    let training: Vec<_> = numbered
        .map(|(number, name)| actix_rt::spawn(trainer(name, number).train()))
        .collect();
    // Both draw from one service, whose weights one of them trains.
    let publishing = actix_rt::spawn(trainer(TRAINERS[0], 7).publish_often());
    let mut fresh = 0;
    for event in events {
        happen(&world, event, &deaths, &mut fresh).await;
    }
    publishing.abort();
    heal(&world);
    let following = actix_rt::spawn(follow_versions(world.clone()));
    for trained in training {
        if tokio::time::timeout(HEALED_LIMIT, trained).await.is_err() {
            let problem = String::from("a trainer never got its batch");
            problems.borrow_mut().push(problem);
        }
    }
    following.abort();
    let found = problems.borrow().clone();
    found
}

fn run_paused(events: Vec<Event>, seed: u64) -> Vec<String> {
    let system = actix_rt::System::with_tokio_rt(|| {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime can be built")
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
        let problems = run_paused(events, seed);
        prop_assert!(problems.is_empty(), "{problems:?}");
    }
}

#[test]
fn quiet_world_trains_to_the_end() {
    assert_eq!(run_paused(Vec::new(), 1), Vec::<String>::new());
}
