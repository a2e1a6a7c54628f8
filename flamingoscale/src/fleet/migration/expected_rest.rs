//! Moves a run if it is expected to finish clearly sooner on another engine.
//!
//! A slowdown that has lasted for some time is expected to last as much longer as earlier ones did, or
//! about as long again. A short one ends by itself before a move pays. See `docs/design/pace.md`.

use std::collections::HashMap;

use super::{
    experience::{
        remaining_events,
        Slowdowns, //
    },
    Pace,
    STALL_INTERVALS,
    STALL_MS, //
};
use crate::fleet::endpoints::EndpointKey;

/// An event is slow if it takes longer than the usual time by more than this factor. The slots of an
/// engine slow each other down by about 2.5% each, so a full engine stays below it.
const SLOW_EVENT_FACTOR: f64 = 1.5;

/// Number of consecutive slow events that show a slowdown. A single one may wait for the prompt of
/// another run.
const MIN_SLOW_EVENTS: u32 = 2;

/// A move has to save at least this time, in milliseconds, and at least the time of the restart once
/// more. It repeats work on an engine that other runs use, and the estimates of both times are rough.
const MIN_SAVING_MS: f64 = 100.0;

/// Maximum number of searches for another engine in one check; each of them considers all engines.
pub const MAX_SEARCHES: usize = 16;

/// How long a slowdown lasts that ends by itself, on machines that are not known to be shared: less
/// than three events of an engine that is 3.5 times slower.
const SHORT_MS: f64 = 400.0;

/// How long a slowdown lasts that ends by itself, on machines that are shared: 0.6 s were
/// observed, and the event at each end of it is partly slow.
const SHARED_SHORT_MS: f64 = 800.0;

/// Returns how long slowdowns last that end by themselves, in milliseconds. `shared` tells whether
/// the machines are known to be shared.
pub fn short_slowdown_ms(shared: bool) -> f64 {
    match shared {
        true => SHARED_SHORT_MS,
        false => SHORT_MS,
    }
}

/// A run of this instance, as one check sees it.
#[derive(Clone, Copy, Debug)]
pub struct RunView<'a> {
    /// The engine that runs it.
    pub engine: EndpointKey,
    /// The events from that engine.
    pub pace: Pace,
    /// Number of events of the sample so far, from all engines.
    pub events: u64,
    /// Number of events that the whole sample is expected to have.
    pub expected_events: f64,
    /// Time until another engine generates the next event, in milliseconds.
    pub restart_ms: f64,
    /// Usual time between two events on the engines of the service, in milliseconds.
    pub usual_ms: f64,
    /// How long a slowdown lasts that ends by itself, in milliseconds.
    pub short_slowdown_ms: f64,
    /// How long the slowdowns of the service's engines last.
    pub slowdowns: &'a Slowdowns,
}

/// A period, up to now, in which every event of a run was slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    /// How long it has lasted, in milliseconds.
    pub lasted_ms: f64,
    /// Time between two events during the slowdown, relative to the usual one.
    pub factor: f64,
}

impl Slowdown {
    /// Returns the slowdown that the latest events of a run show.
    fn of(pace: &Pace, usual_ms: f64, now_ms: u64) -> Option<Self> {
        let is_slow = |interval_ms: &f64| *interval_ms > SLOW_EVENT_FACTOR * usual_ms;
        // A longer interval is a stall, for instance while the engine loads weights.
        let longest_ms = STALL_MS.max(STALL_INTERVALS * usual_ms);
        let slow = pace.recent_intervals_ms().take_while(is_slow);
        let (mut events, mut lasted_ms) = (0, 0.0);
        for interval_ms in slow {
            events += 1;
            lasted_ms += interval_ms.min(longest_ms);
        }
        if events < MIN_SLOW_EVENTS {
            return None;
        }
        let factor = lasted_ms / f64::from(events) / usual_ms;
        let waiting_ms = now_ms.saturating_sub(pace.last_event_ms) as f64;
        Some(Self {
            lasted_ms: lasted_ms + Some(waiting_ms).filter(is_slow).unwrap_or(0.0),
            factor,
        })
    }
}

/// How fast the runs of this instance see one engine work.
#[derive(Clone, Copy, Debug, Default)]
struct EngineSpeed {
    /// Sum of the newest interval of each run, relative to the usual one.
    factors: f64,
    runs: u32,
    /// The longest slowdown of a run there.
    slowdown: Option<Slowdown>,
}

/// How fast the runs of this instance see each engine work at present.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeeds(HashMap<EndpointKey, EngineSpeed>);

impl EngineSpeeds {
    /// Returns the speeds that the runs show.
    pub fn of(runs: &[RunView<'_>], now_ms: u64) -> Self {
        let mut speeds: HashMap<EndpointKey, EngineSpeed> = HashMap::new();
        for run in runs {
            let Some(newest_ms) = run.pace.recent_intervals_ms().next() else {
                continue;
            };
            let speed = speeds.entry(run.engine).or_default();
            speed.factors += newest_ms / run.usual_ms;
            speed.runs += 1;
            let own = Slowdown::of(&run.pace, run.usual_ms, now_ms);
            let longest = [speed.slowdown, own].into_iter().flatten();
            speed.slowdown = longest.max_by(|a, b| a.lasted_ms.total_cmp(&b.lasted_ms));
        }
        Self(speeds)
    }

    /// Returns the time between two events at an engine, relative to the usual one; `None` if no run
    /// of this instance shows it.
    fn factor(&self, engine: EndpointKey) -> Option<f64> {
        let speed = self.0.get(&engine)?;
        Some(speed.factors / f64::from(speed.runs))
    }

    /// Returns for how long each engine that has runs has been slow; `None` for the usual speed.
    pub fn slow_engines(&self) -> impl Iterator<Item = (EndpointKey, Option<f64>)> + '_ {
        self.0.iter().map(|(engine, speed)| {
            let is_slow = is_slow(speed.factors / f64::from(speed.runs));
            let lasted_ms = speed.slowdown.map(|slowdown| slowdown.lasted_ms);
            (*engine, lasted_ms.or(is_slow.then_some(0.0)))
        })
    }

    /// Returns the time between two events that is expected at an engine, relative to the usual one.
    /// `event_ms` is the one that was measured when runs there ended; 0 for none.
    pub fn expected_factor(&self, engine: EndpointKey, event_ms: f64, usual_ms: f64) -> f64 {
        let seen = self.factor(engine);
        seen.unwrap_or(event_ms / usual_ms).max(1.0)
    }

    /// Returns the slowdown that a run is in. A run that is slow itself, or has too few events to
    /// tell, shares the slowdown of its engine, which other runs may have seen begin earlier.
    fn slowdown(&self, run: &RunView<'_>, now_ms: u64) -> Option<Slowdown> {
        let own = Slowdown::of(&run.pace, run.usual_ms, now_ms);
        let is_new = (1..=u64::from(MIN_SLOW_EVENTS)).contains(&run.pace.events);
        let at_engine = self.0.get(&run.engine)?.slowdown;
        at_engine.filter(|_| own.is_some() || is_new)
    }
}

/// A run in a slowdown that does not end by itself soon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowRun {
    /// Index of the run in those that were checked.
    pub index: usize,
    /// The slowdown.
    pub slowdown: Slowdown,
    /// Expected remaining time at its engine, in milliseconds.
    pub here_ms: f64,
    /// Expected remaining time at another engine of usual speed, in milliseconds.
    pub usual_there_ms: f64,
}

/// Returns the runs in a slowdown that is not short, those first that have most time left: a batch
/// waits for its last runs.
pub fn slow_runs(runs: &[RunView<'_>], speeds: &EngineSpeeds, now_ms: u64) -> Vec<SlowRun> {
    let slow_run = |(index, run): (usize, &RunView<'_>)| {
        let slowdown = speeds.slowdown(run, now_ms)?;
        (slowdown.lasted_ms >= run.short_slowdown_ms).then(|| SlowRun {
            index,
            slowdown,
            here_ms: expected_here_ms(run, slowdown, now_ms),
            usual_there_ms: expected_there_ms(run, 1.0),
        })
    };
    let mut slow: Vec<SlowRun> = runs.iter().enumerate().filter_map(slow_run).collect();
    slow.sort_by(|a, b| b.here_ms.total_cmp(&a.here_ms));
    slow
}

/// Returns the expected remaining time of a run at its engine, in milliseconds.
fn expected_here_ms(run: &RunView<'_>, slowdown: Slowdown, now_ms: u64) -> f64 {
    let rest_ms = remaining_events(run.events, run.expected_events) * run.usual_ms;
    let waiting_ms = now_ms.saturating_sub(run.pace.last_event_ms) as f64;
    // The slowdown has slowed down the next event already.
    let event_ms = slowdown.factor * run.usual_ms;
    let slow_ms = run.slowdowns.expected_rest_ms(slowdown.lasted_ms, event_ms) + waiting_ms;
    let slow_rest_ms = rest_ms * slowdown.factor;
    let whole_ms = match slow_rest_ms <= slow_ms {
        true => slow_rest_ms,
        false => slow_ms + rest_ms - slow_ms / slowdown.factor,
    };
    (whole_ms - waiting_ms).max(0.0)
}

/// Returns the expected remaining time of a run at another engine, in milliseconds. `factor` is the
/// time between two events there, relative to the usual one.
pub fn expected_there_ms(run: &RunView<'_>, factor: f64) -> f64 {
    let rest = remaining_events(run.events, run.expected_events);
    run.restart_ms + rest * run.usual_ms * factor
}

/// Returns whether an engine with this factor is too slow to move a run there.
pub fn is_slow(factor: f64) -> bool {
    factor > SLOW_EVENT_FACTOR
}

/// Returns whether a run should move that is expected to end in `here_ms` or, elsewhere, `there_ms`.
fn is_worth_moving(run: &RunView<'_>, here_ms: f64, there_ms: f64) -> bool {
    here_ms - there_ms >= MIN_SAVING_MS.max(run.restart_ms)
}

/// What was decided about a slow run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// The run, and its expected time here.
    pub run: SlowRun,
    /// The engine that it should move to and its expected remaining time there, in milliseconds;
    /// `None` if it stays.
    pub to: Option<(EndpointKey, f64)>,
}

/// Decides about all slow runs. `find` returns the engine on which a run, given by its index, would
/// continue, and the time between two events there, relative to the usual one. It is called
/// [`MAX_SEARCHES`] times at most, and only for runs that a move to an engine of usual speed would help.
pub fn decide(
    runs: &[RunView<'_>],
    speeds: &EngineSpeeds,
    find: &mut dyn FnMut(usize) -> Option<(EndpointKey, f64)>,
    now_ms: u64,
) -> Vec<Decision> {
    let mut searches = 0;
    let mut decide_run = |run: SlowRun| {
        let view = &runs[run.index];
        let mut to = None;
        if searches < MAX_SEARCHES && is_worth_moving(view, run.here_ms, run.usual_there_ms) {
            searches += 1;
            to = find(run.index)
                .map(|(engine, factor)| (engine, expected_there_ms(view, factor)))
                .filter(|(_, there_ms)| is_worth_moving(view, run.here_ms, *there_ms));
        }
        Decision { run, to }
    };
    let slow = slow_runs(runs, speeds, now_ms).into_iter();
    slow.map(&mut decide_run).collect()
}

#[cfg(test)]
mod tests;
