//! Plays batches of samples on engines that slow down, with each policy for moves.
//!
//! Load: batches of 80 samples, one after another, on 16 engines of four slots; an engine reads
//! a prompt and a text within 40 ms and generates an event in 50 ms, 2.5% longer for each further run.

use std::collections::HashSet;

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::fleet::{
    endpoints::Endpoints,
    fixtures::{
        apply,
        batch,
        result,
        results, //
    },
    ledger::Ledger,
    migration::{
        check::{
            CheckedRun,
            ServiceCheck, //
        },
        experience::Experience,
        move_reason,
        MAX_MOVES, //
    },
    placement::{
        median_event_ms,
        usual_event_ms, //
    },
    policies::MovePolicy,
    record::Record,
    sampling::{
        SampleId,
        Sampler, //
    },
};

const ENGINES: usize = 16;
const TICK_MS: u64 = 5;
const CHECK_MS: u64 = 100;
const EVENT_TOKENS: f64 = 80.0;
const PROMPT_TOKENS: u32 = 300;

/// Draws the slowdowns of a day.
type Draw = dyn Fn(&mut ChaCha8Rng) -> Schedule;

/// Slowdowns of the engines, as engine, start, end and factor.
type Schedule = Vec<(usize, u64, u64, f64)>;

struct Active {
    id: SampleId,
    engine: EndpointKey,
    sent_ms: u64,
    pace: Pace,
    /// Events of the sample when it was sent, and the part of its next event that is generated.
    before: u64,
    progress: f64,
}

struct Text {
    events: u64,
    total_events: u64,
    expected_tokens: u32,
}

struct Day {
    policy: MovePolicy,
    slowdowns: Schedule,
    random: ChaCha8Rng,
    ledger: Ledger,
    endpoints: Endpoints,
    sampler: Sampler,
    experience: Experience,
    active: Vec<Active>,
    texts: HashMap<SampleId, Text>,
    now_ms: u64,
    /// Whether samples may be able to start.
    changed: bool,
    moves: usize,
}

impl Day {
    /// Returns the mean time of a batch in milliseconds, and the number of moves.
    fn play(policy: MovePolicy, shared: bool, slowdowns: Schedule, seed: u64) -> (f64, usize) {
        let names: Vec<String> = (0..ENGINES).map(|number| format!("e{number:02}")).collect();
        let listings: Vec<_> = names.iter().map(|id| listing(id, "saiq", 99)).collect();
        let mut day = Self {
            policy,
            slowdowns,
            random: ChaCha8Rng::seed_from_u64(seed),
            ledger: Ledger::default(),
            endpoints: endpoints(&listings),
            sampler: Sampler::default(),
            experience: Experience::default(),
            active: Vec::new(),
            texts: HashMap::new(),
            now_ms: 1_000,
            changed: true,
            moves: 0,
        };
        let assigned = names.iter().map(|id| (id.as_str().into(), "notes".into()));
        let assignment = Record::ModelAssignment {
            engines: assigned.collect(),
        };
        apply(&mut day.ledger, 0, assignment, 0);
        for id in names.iter().filter(|_| shared) {
            let engine = day.endpoints.find(id).unwrap();
            day.endpoints.work_factor_reported(engine, 1.0, 0);
        }
        let sum_ms: f64 = (1..=10).map(|step| day.play_batch(step)).sum();
        (sum_ms / 10.0, day.moves)
    }

    /// Plays one batch until nine tenths of its groups are finished.
    fn play_batch(&mut self, step: u64) -> f64 {
        self.changed = true;
        let began_ms = self.now_ms;
        let name = format!("b{step}");
        let mut tokens = HashMap::new();
        for sample in (0..40).flat_map(|group| [(group, 0), (group, 1)]) {
            let expected = 400.0 * 5.0_f64.powf(self.random.random::<f64>());
            let actual = expected * 3.0_f64.powf(self.random.random::<f64>() - 0.5);
            tokens.insert(sample, expected as u32);
            let id = format!("s{}.{}", sample.0, sample.1);
            let text = Text {
                events: 0,
                total_events: (actual / EVENT_TOKENS).ceil() as u64,
                expected_tokens: expected as u32,
            };
            self.texts.insert((name.as_str().into(), id.into()), text);
        }
        let record = batch(&name, step, 40, |group, index| tokens[&(group, index)]);
        apply(&mut self.ledger, step * 1_000, record, 0);
        while self.ledger.batches[name.as_str()].results.len() < 72 {
            if std::mem::take(&mut self.changed) {
                self.start();
            }
            self.generate(&name);
            self.now_ms += TICK_MS;
            if self.now_ms % CHECK_MS == 0 {
                self.check(&name);
            }
            assert!(self.now_ms - began_ms < 60_000, "the batch does not end");
        }
        for run in std::mem::take(&mut self.active) {
            self.endpoints.request_finished(run.engine);
        }
        let ended = Record::BatchEnded {
            batch: name.as_str().into(),
        };
        apply(&mut self.ledger, step * 1_000 + 999, ended, 0);
        (self.now_ms - began_ms) as f64
    }

    fn start(&mut self) {
        let owned = HashSet::from(["notes".into()]);
        let service = |_: &_, _: &_| Some("drafting".into());
        let started = self.sampler.next_starts(
            &self.ledger,
            &self.endpoints,
            &owned,
            &service,
            &|_| None,
            self.now_ms,
        );
        for start in started {
            self.endpoints.request_sent(start.endpoint);
            self.active.push(Active {
                before: self.texts[&start.sample].events,
                id: start.sample,
                engine: start.endpoint,
                sent_ms: self.now_ms,
                pace: Pace::default(),
                progress: 0.0,
            });
        }
    }

    fn factor(&self, engine: EndpointKey) -> f64 {
        let id = &self.endpoints.get(engine).listing.id;
        let number: usize = id[1..].parse().unwrap();
        let now = |slow: &&(usize, u64, u64, f64)| {
            slow.0 == number && (slow.1..slow.2).contains(&self.now_ms)
        };
        self.slowdowns.iter().find(now).map_or(1.0, |slow| slow.3)
    }

    fn generate(&mut self, batch: &str) {
        let mut finished = Vec::new();
        for index in 0..self.active.len() {
            let engine = self.active[index].engine;
            let others = self.endpoints.get(engine).in_flight - 1;
            let event_ms = 50.0 * self.factor(engine) * (1.0 + 0.025 * f64::from(others));
            let run = &mut self.active[index];
            if self.now_ms < run.sent_ms + 40 {
                continue;
            }
            run.progress += TICK_MS as f64 / event_ms;
            if run.progress >= 1.0 {
                run.progress -= 1.0;
                run.pace.record_event(self.now_ms);
                let text = self.texts.get_mut(&run.id).unwrap();
                text.events += 1;
                if text.events == text.total_events {
                    finished.push(index);
                }
            }
        }
        for index in finished.into_iter().rev() {
            let run = self.end(index);
            let text = &self.texts[&run.id];
            self.experience.finished(text.expected_tokens, text.events);
            let record = results(vec![result(batch, &run.id.1, "text")]);
            let offset = self.now_ms * 100 + index as u64;
            apply(&mut self.ledger, offset, record, self.now_ms);
        }
    }

    fn end(&mut self, index: usize) -> Active {
        self.changed = true;
        let run = self.active.swap_remove(index);
        self.endpoints.request_finished(run.engine);
        self.endpoints.record_pace(run.engine, &run.pace);
        let usual_ms = usual_event_ms(&self.endpoints, "drafting");
        if run.pace.events > 0 {
            let delay_ms = run.pace.first_event_ms - run.sent_ms;
            let prefilled = self.experience.prefilled_tokens(PROMPT_TOKENS, run.before);
            self.experience.started(delay_ms, usual_ms, prefilled);
        }
        let events = run.pace.events;
        self.sampler
            .attempt_finished(&run.id, run.engine, events, self.now_ms);
        run
    }

    fn check(&mut self, batch: &str) {
        let moving = match self.policy {
            MovePolicy::Interval => self.by_interval(batch),
            MovePolicy::ExpectedRest => self.by_expected_rest(batch),
        };
        for index in moving.into_iter().rev() {
            let run = self.end(index);
            let progress = self.sampler.progress(&run.id);
            progress.moves += 1;
            progress.previous_engine = Some(run.engine);
            self.moves += 1;
        }
    }

    fn by_interval(&mut self, batch: &str) -> Vec<usize> {
        let (ledger, endpoints, now_ms) = (&self.ledger, &self.endpoints, self.now_ms);
        let median_ms = median_event_ms(endpoints, "drafting");
        let state = &ledger.batches[batch];
        let runs = self.active.iter().enumerate();
        let sampler = &mut self.sampler;
        let moving = runs.filter(|(_, run)| {
            let (of, from) = (("drafting", state), (&run.id, run.engine));
            move_reason(&run.pace, median_ms, now_ms).is_some()
                && sampler.progress(&run.id).moves < MAX_MOVES
                && sampler.has_better_engine(ledger, endpoints, of, from, now_ms)
        });
        moving.map(|(index, _)| index).collect()
    }

    fn by_expected_rest(&mut self, batch: &str) -> Vec<usize> {
        let state = &self.ledger.batches[batch];
        let check = ServiceCheck {
            ledger: &self.ledger,
            endpoints: &self.endpoints,
            sampler: &self.sampler,
            service: "drafting",
            now_ms: self.now_ms,
        };
        let checked = self.active.iter().map(|run| CheckedRun {
            sample: &run.id,
            batch: Some(state),
            engine: run.engine,
            pace: run.pace,
            events: run.before + run.pace.events,
            prompt_tokens: PROMPT_TOKENS,
            expected_tokens: self.texts[&run.id].expected_tokens,
            may_move: true,
        });
        let checked: Vec<CheckedRun<'_>> = checked.collect();
        let decisions = check.decide(&mut self.experience, &checked);
        let to = decisions
            .iter()
            .map(|decision| (decision.run.index, decision.to));
        let moved = to.filter_map(|(index, to)| Some((index, to?.0)));
        for (index, to) in moved.clone() {
            self.sampler.progress(&self.active[index].id).next_engine = Some(to);
        }
        let mut moved: Vec<usize> = moved.map(|(index, _)| index).collect();
        moved.sort_unstable();
        moved
    }
}

const SEEDS: std::ops::Range<u64> = 0..16;

/// Returns the mean time of a batch in milliseconds and the number of moves, for each policy.
fn compare(name: &str, shared: bool, slowdowns: &Draw) -> [(f64, usize); 2] {
    [MovePolicy::Interval, MovePolicy::ExpectedRest].map(|policy| {
        let (mut sum_ms, mut moves) = (0.0, 0);
        for seed in SEEDS {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let day = Day::play(policy, shared, slowdowns(&mut random), seed);
            sum_ms += day.0;
            moves += day.1;
        }
        let mean_ms = sum_ms / SEEDS.count() as f64;
        println!("{name}, {policy:?}: batches of {mean_ms:.0} ms, {moves} moves");
        (mean_ms, moves)
    })
}

/// Slowdowns of 0.6 s, 2.5 times slower, 15% of the time, on each engine.
fn short(random: &mut ChaCha8Rng) -> Schedule {
    let mut slowdowns = Vec::new();
    for engine in 0..ENGINES {
        let mut start_ms = random.random_range(0..4_000);
        while start_ms < 60_000 {
            slowdowns.push((engine, start_ms, start_ms + 600, 2.5));
            start_ms += random.random_range(2_000..6_000);
        }
    }
    slowdowns
}

/// Faults of 6.5 s, 3.5 times slower, on a fourth of the engines at a time.
fn faults(random: &mut ChaCha8Rng) -> Schedule {
    let starts = (0..60_000).step_by(8_000);
    let mut fault = |start_ms| {
        (
            random.random_range(0..ENGINES),
            start_ms,
            start_ms + 6_500,
            3.5,
        )
    };
    starts
        .flat_map(|start_ms| [(); 4].map(|()| fault(start_ms)))
        .collect()
}

/// Half of the engines are always 3.5 times slower.
fn half(_: &mut ChaCha8Rng) -> Schedule {
    (0..ENGINES / 2)
        .map(|engine| (engine * 2, 0, 600_000, 3.5))
        .collect()
}

/// Guards against moves that react to slowdowns that end by themselves.
#[test]
fn short_slowdowns_of_all_engines_move_no_run() {
    let [(interval_ms, _), (expected_ms, moves)] = compare("short slowdowns", true, &short);
    assert_eq!(moves, 0);
    assert!(expected_ms <= interval_ms, "{expected_ms} {interval_ms}");
}

/// Guards against a policy that is worse than the one in use where no machine is known to be shared.
fn assert_no_later_than_by_intervals(name: &str, slowdowns: &Draw) {
    let [(interval_ms, _), (expected_ms, _)] = compare(name, false, slowdowns);
    assert!(
        expected_ms <= interval_ms,
        "{name}: {expected_ms} {interval_ms}"
    );
}

#[test]
fn batches_without_known_short_slowdowns_end_no_later_than_by_intervals() {
    assert_no_later_than_by_intervals("no fault", &|_| Vec::new());
    assert_no_later_than_by_intervals("short slowdowns, not known to be shared", &short);
}

#[test]
fn batches_on_slow_engines_end_no_later_than_by_intervals() {
    assert_no_later_than_by_intervals("faults", &faults);
    assert_no_later_than_by_intervals("half slow", &half);
}
