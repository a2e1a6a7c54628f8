//! Plays a fleet of instances that were put off together against a store with a limited rate.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    }, //
};

use rand::SeedableRng;

use super::*;

/// Rate at which the store answers, in kilobytes per millisecond.
const STORE_KB_PER_MS: f64 = 80.0;

/// What each instance has to read, in kilobytes.
const MISSED_KB: u64 = 300;

/// Time after which an instance gives up waiting for an answer, and its longest pause, where it has to be
/// in contact within 3 s.
const TIMEOUT_MS: u64 = 500;
const MAX_PAUSE_MS: u64 = 600;

/// The pause of the fixed pace.
const FIXED_PAUSE_MS: u64 = 100;

/// By then every instance must have read what it missed.
const CATCH_UP_MS: u64 = 20_000;

/// How an instance paces its reads.
trait Pace {
    fn page_kb(&self) -> u64;
    fn succeeded(&mut self);
    fn failed(&mut self, random: &mut ChaCha8Rng) -> u64;
}

/// The pace of the product.
struct GrowingPace(Pacing);

impl Default for GrowingPace {
    fn default() -> Self {
        Self(Pacing::new(MAX_PAUSE_MS))
    }
}

impl Pace for GrowingPace {
    fn page_kb(&self) -> u64 {
        self.0.page_kb()
    }

    fn succeeded(&mut self) {
        self.0.succeeded();
    }

    fn failed(&mut self, random: &mut ChaCha8Rng) -> u64 {
        self.0.failed(random)
    }
}

/// Full pages and a fixed pause, without regard to earlier failures.
#[derive(Default)]
struct FixedPace;

impl Pace for FixedPace {
    fn page_kb(&self) -> u64 {
        MAX_PAGE_KB
    }

    fn succeeded(&mut self) {}

    fn failed(&mut self, _: &mut ChaCha8Rng) -> u64 {
        FIXED_PAUSE_MS
    }
}

/// What an instance does next, at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Read,
    GiveUp { read: u64 },
}

struct Reader<P> {
    pace: P,
    missing_kb: u64,
    /// Number of the read that the reader waits for.
    waits_for: Option<u64>,
}

struct Outcome {
    /// When the last instance had read everything; `None` if some had not in time.
    caught_up_ms: Option<u64>,
    /// Reads that arrived at the store in each second.
    reads_per_s: Vec<usize>,
}

/// Lets `count` instances read what they missed from the store, which answers one read after the
/// other, whether the reader still waits or not.
fn play<P: Pace + Default>(count: usize) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut readers: Vec<Reader<P>> = Vec::new();
    let mut steps = BinaryHeap::new();
    for reader in 0..count {
        readers.push(Reader {
            pace: P::default(),
            missing_kb: MISSED_KB,
            waits_for: None,
        });
        steps.push(Reverse((0, reader, Step::Read)));
    }
    // The reads in the order of their arrival, with their reader, size and time of the answer.
    let mut answers: VecDeque<(u64, usize, u64, u64)> = VecDeque::new();
    let mut store_free_ms = 0.0_f64;
    let mut reads = 0;
    let mut reads_per_s = vec![0; (CATCH_UP_MS / 1_000) as usize + 1];
    let mut caught_up_ms = None;
    loop {
        let next_step_ms = steps.peek().map(|Reverse((at_ms, ..))| *at_ms);
        let next_answer_ms = answers.front().map(|(at_ms, ..)| *at_ms);
        let (Some(now_ms), is_answer) = (match (next_answer_ms, next_step_ms) {
            (Some(answer_ms), step_ms) if step_ms.is_none_or(|step_ms| answer_ms <= step_ms) => {
                (Some(answer_ms), true)
            }
            (_, step_ms) => (step_ms, false),
        }) else {
            break;
        };
        if now_ms > CATCH_UP_MS {
            break;
        }
        if is_answer {
            let (_, reader, read, page_kb) = answers.pop_front().unwrap();
            let state = &mut readers[reader];
            if state.waits_for != Some(read) {
                continue;
            }
            state.waits_for = None;
            state.pace.succeeded();
            state.missing_kb -= page_kb;
            match state.missing_kb {
                0 => caught_up_ms = Some(now_ms),
                _ => steps.push(Reverse((now_ms, reader, Step::Read))),
            }
            continue;
        }
        let Some(Reverse((_, reader, step))) = steps.pop() else {
            break;
        };
        let state = &mut readers[reader];
        match step {
            Step::Read => {
                reads += 1;
                reads_per_s[(now_ms / 1_000) as usize] += 1;
                let page_kb = state.pace.page_kb().min(state.missing_kb);
                store_free_ms = store_free_ms.max(now_ms as f64) + page_kb as f64 / STORE_KB_PER_MS;
                answers.push_back((store_free_ms.ceil() as u64, reader, reads, page_kb));
                state.waits_for = Some(reads);
                let timeout = Step::GiveUp { read: reads };
                steps.push(Reverse((now_ms + TIMEOUT_MS, reader, timeout)));
            }
            Step::GiveUp { read } if state.waits_for == Some(read) => {
                state.waits_for = None;
                let pause_ms = state.pace.failed(&mut random);
                steps.push(Reverse((now_ms + pause_ms, reader, Step::Read)));
            }
            Step::GiveUp { .. } => (),
        }
    }
    let all_read = readers.iter().all(|reader| reader.missing_kb == 0);
    Outcome {
        caught_up_ms: caught_up_ms.filter(|_| all_read),
        reads_per_s,
    }
}

#[test]
fn instances_that_were_put_off_together_all_catch_up() {
    for count in [1, 11, 84, 295, 600, 1_000] {
        let outcome = play::<GrowingPace>(count);
        assert!(outcome.caught_up_ms.is_some(), "{count} instances");
        let busiest = outcome.reads_per_s.iter().max().unwrap();
        let last = outcome.reads_per_s.last().unwrap();
        assert!(last * 10 <= *busiest, "{count}: {:?}", outcome.reads_per_s);
    }
}

/// Regression test: with a fixed pause and full pages, a fleet that was put off together never
/// caught up.
#[test]
fn instances_with_a_fixed_pace_never_catch_up() {
    assert!(play::<FixedPace>(84).caught_up_ms.is_some());
    assert!(play::<FixedPace>(1_000).caught_up_ms.is_none());
}

#[test]
fn pauses_grow_to_their_limit_and_are_spread() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut pacing = Pacing::new(MAX_PAUSE_MS);
    assert_eq!(pacing.page_kb(), MAX_PAGE_KB);
    for _ in 0..40 {
        assert!(pacing.failed(&mut random) <= MAX_PAUSE_MS);
    }
    assert_eq!(pacing.page_kb(), MIN_PAGE_KB);
    let pauses: Vec<u64> = (0..9).map(|_| pacing.failed(&mut random)).collect();
    assert!(pauses.iter().all(|pause_ms| *pause_ms >= MAX_PAUSE_MS / 3));
    assert!(pauses.windows(2).any(|pair| pair[0] != pair[1]));
    pacing.succeeded();
    assert!(pacing.failed(&mut random) <= BASE_PAUSE_MS * 3 / 2);
}
