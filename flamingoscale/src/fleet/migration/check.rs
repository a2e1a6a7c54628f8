//! One check of the runs of a service: gathers what [`decide`] compares.

use super::{
    expected_rest::{
        decide,
        is_slow,
        short_slowdown_ms,
        Decision,
        EngineSpeeds,
        RunView, //
    },
    experience::Experience,
    Pace, //
};
use crate::fleet::{
    endpoints::{
        EndpointKey,
        Endpoints, //
    },
    ledger::{
        BatchState,
        Ledger, //
    },
    placement::{
        usual_event_ms,
        Reserved, //
    },
    sampling::{
        SampleId,
        Sampler,
        FULL, //
    }, //
};

/// A run of this instance, as the platform knows it.
#[derive(Clone, Copy, Debug)]
pub struct CheckedRun<'a> {
    /// The sample.
    pub sample: &'a SampleId,
    /// The batch of the sample; `None` if it is no longer known.
    pub batch: Option<&'a BatchState>,
    /// The engine that runs it.
    pub engine: EndpointKey,
    /// The events from that engine.
    pub pace: Pace,
    /// Number of events of the sample so far, from all engines.
    pub events: u64,
    /// Tokens of the prompt; 0 if they are not known.
    pub prompt_tokens: u32,
    /// Tokens of the text that are expected.
    pub expected_tokens: u32,
    /// Whether the run may move at all.
    pub may_move: bool,
}

/// One check of the runs of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCheck<'a> {
    /// The fold of the fleet topic.
    pub ledger: &'a Ledger,
    /// The engines.
    pub endpoints: &'a Endpoints,
    /// What the samples need, and the choice of an engine.
    pub sampler: &'a Sampler,
    /// The service.
    pub service: &'a str,
    /// Current time in monotonic milliseconds.
    pub now_ms: u64,
}

impl ServiceCheck<'_> {
    /// Decides about the slow ones of the runs, and records how long engines have been slow.
    pub fn decide(&self, experience: &mut Experience, runs: &[CheckedRun<'_>]) -> Vec<Decision> {
        let usual_ms = usual_event_ms(self.endpoints, self.service);
        if !usual_ms.is_finite() {
            return Vec::new();
        }
        let mut engines = self.endpoints.of_service(self.service);
        let shares_machines = engines.any(|(_, engine)| engine.machine.is_some());
        let view = |run: &CheckedRun<'_>| RunView {
            engine: run.engine,
            pace: run.pace,
            events: run.events,
            expected_events: experience.expected_events(run.expected_tokens),
            restart_ms: experience.restart_ms(run.prompt_tokens, run.events),
            usual_ms,
            short_slowdown_ms: short_slowdown_ms(shares_machines),
            slowdowns: &experience.slowdowns,
        };
        let views: Vec<RunView<'_>> = runs.iter().map(view).collect();
        let speeds = EngineSpeeds::of(&views, self.now_ms);
        let factor = |key| self.expected_factor(&speeds, key, usual_ms);
        let mut reserved: Option<Reserved> = None;
        let mut find = |index: usize| {
            let run: &CheckedRun<'_> = &runs[index];
            let machine_is_slow = self.endpoints.get(run.engine).is_machine_slow(self.now_ms);
            if !run.may_move || machine_is_slow == Some(false) {
                return None;
            }
            // Built only if a run is slow, which is rare.
            let reserved = reserved.get_or_insert_with(|| self.reserve_slow_engines(&factor));
            let found = self.sampler.other_engine(
                self.ledger,
                self.endpoints,
                (self.service, run.batch?),
                (run.sample, run.engine),
                reserved,
                self.now_ms,
            )?;
            *reserved.entry(found).or_default() += 1;
            Some((found, factor(found)))
        };
        let decisions = decide(&views, &speeds, &mut find, self.now_ms);
        experience.slowdowns.checked(speeds.slow_engines());
        decisions
    }

    /// Returns the time between two events that is expected at an engine, relative to the usual one:
    /// by its last report, by the runs there, or by the runs that ended there.
    fn expected_factor(&self, speeds: &EngineSpeeds, key: EndpointKey, usual_ms: f64) -> f64 {
        let engine = self.endpoints.get(key);
        let seen = speeds.expected_factor(key, engine.event_ms, usual_ms);
        match engine.is_machine_slow(self.now_ms) {
            Some(_) => seen.max(engine.work_factor(usual_ms, self.now_ms)),
            None => seen,
        }
    }

    /// Returns the engines that are slow, as if they had no free slot.
    fn reserve_slow_engines(&self, factor: &dyn Fn(EndpointKey) -> f64) -> Reserved {
        let engines = self.endpoints.of_service(self.service);
        let slow = engines.filter(|(key, _)| is_slow(factor(*key)));
        slow.map(|(key, _)| (key, FULL)).collect()
    }
}
