//! Which samples of the open batches start now, and at which engine.
//!
//! A trainer waits for whole groups, so groups that came back from an earlier step go first, then
//! groups that have begun, then the longest; the longest groups that it need not wait for go last.
//! See `docs/design/shared-store.md`.

use std::{
    cmp::Reverse,
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc, //
};

use super::{
    endpoints::{
        Endpoint,
        EndpointKey,
        Endpoints, //
    },
    ledger::{
        BatchState,
        Ledger, //
    },
    record::Sample, //
};

/// A sample of a batch.
pub type SampleId = (Arc<str>, Arc<str>);

/// First pause after a try that gave nothing; doubles with each further one.
const PAUSE_MS: u64 = 50;

/// Longest pause.
const LONGEST_PAUSE_MS: u64 = 1_000;

/// Cost of an engine that serves another model first, in shares of a full engine.
const UNPLANNED: f64 = 0.6;

/// Cost of an engine that makes events at half the usual pace, and the most that slowness costs:
/// a slow engine still helps with less than half of its slots.
const SLOW: f64 = 0.4;
const SLOWEST: f64 = 0.6;

/// Cost of an engine that failed lately.
const SHUNNED: f64 = 3.0;

/// What is known of an unfinished sample.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The engines that run it.
    pub running: Vec<EndpointKey>,
    /// Answers that said that the run failed.
    pub failed_runs: u32,
    /// Tries since the last event.
    pub idle_tries: u32,
    /// No try before this, in monotonic milliseconds.
    pub not_before_ms: u64,
    /// Whether its result is on the way to the store.
    pub finished: bool,
    /// The engine that it left last; it doesn't go back there.
    pub left: Option<EndpointKey>,
    /// How often it left an engine.
    pub moves: u32,
}

/// One sample to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The sample.
    pub sample: SampleId,
    /// Where.
    pub endpoint: EndpointKey,
}

/// The samples that this instance runs.
#[derive(Debug, Default)]
pub struct Sampler {
    progress: HashMap<SampleId, Progress>,
    order: HashMap<Arc<str>, Arc<[usize]>>,
}

impl Sampler {
    /// Returns what is known of a sample.
    pub fn progress(&mut self, sample: &SampleId) -> &mut Progress {
        self.progress.entry(sample.clone()).or_default()
    }

    /// Notes that a try is over. `events` is how many events it gave.
    pub fn over(&mut self, sample: &SampleId, endpoint: EndpointKey, events: u64, now_ms: u64) {
        let progress = self.progress(sample);
        progress.running.retain(|key| *key != endpoint);
        progress.idle_tries = if events > 0 {
            0
        } else {
            progress.idle_tries + 1
        };
        let pause_ms = PAUSE_MS << progress.idle_tries.min(5);
        if progress.idle_tries > 0 {
            progress.not_before_ms = now_ms + pause_ms.min(LONGEST_PAUSE_MS);
        }
    }

    /// Forgets batches that are over.
    pub fn forget(&mut self, ledger: &Ledger) {
        let open = |batch: &Arc<str>| ledger.batches.get(batch).is_some_and(|state| !state.ended);
        self.progress
            .retain(|(batch, _), progress| open(batch) || !progress.running.is_empty());
        self.order.retain(|batch, _| open(batch));
    }

    /// Returns the samples to start now; they count as running from then on.
    ///
    /// `service` gives the service of a sample, if its route is still there.
    pub fn starts(
        &mut self,
        ledger: &Ledger,
        endpoints: &Endpoints,
        owned: &HashSet<Arc<str>>,
        service: &dyn Fn(&BatchState, &Sample) -> Option<Arc<str>>,
        now_ms: u64,
    ) -> Vec<Start> {
        let mut batches: Vec<&BatchState> = ledger
            .batches
            .values()
            .filter(|state| !state.ended && owned.contains(&state.batch.model))
            .filter(|state| state.listed.len() < state.batch.samples.len())
            .collect();
        batches.sort_by_key(|state| (state.batch.submitted_unix_ms, state.batch.id.clone()));
        let mut taken: HashMap<EndpointKey, u32> = HashMap::new();
        let mut starts = Vec::new();
        for state in batches {
            let order = self.order(state, ledger);
            for place in order.iter() {
                let sample = &state.batch.samples[*place];
                if state.listed.contains_key(&sample.id) {
                    continue;
                }
                let id = (state.batch.id.clone(), sample.id.clone());
                let progress = self.progress.entry(id.clone()).or_default();
                let waits = progress.finished || now_ms < progress.not_before_ms;
                if waits || !progress.running.is_empty() {
                    continue;
                }
                let Some(service) = service(state, sample) else {
                    continue;
                };
                let engine = |left| {
                    let service = &service;
                    let wanted = Wanted {
                        service,
                        state,
                        left,
                    };
                    engine(ledger, endpoints, &wanted, &taken, now_ms)
                };
                // The engine that it left is better than none.
                let Some(endpoint) = engine(progress.left).or_else(|| engine(None)) else {
                    break;
                };
                *taken.entry(endpoint).or_default() += 1;
                progress.running.push(endpoint);
                starts.push(Start {
                    sample: id,
                    endpoint,
                });
            }
        }
        starts
    }

    fn order(&mut self, state: &BatchState, ledger: &Ledger) -> Arc<[usize]> {
        self.order
            .entry(state.batch.id.clone())
            .or_insert_with(|| starting_order(state, ledger).into())
            .clone()
    }
}

/// Returns the places of a batch's samples in the order in which they should start.
pub fn starting_order(state: &BatchState, ledger: &Ledger) -> Vec<usize> {
    let samples = &state.batch.samples;
    let earlier: HashSet<&Arc<str>> = ledger
        .batches
        .values()
        .filter(|other| other.batch.id != state.batch.id && other.batch.model == state.batch.model)
        .filter(|other| other.batch.step < state.batch.step)
        .flat_map(|other| other.batch.samples.iter().map(|sample| &sample.id))
        .collect();
    let mut groups: HashMap<&Arc<str>, (bool, u32)> = HashMap::new();
    for sample in samples {
        let group = groups.entry(&sample.group).or_default();
        group.0 |= earlier.contains(&sample.id);
        group.1 = group.1.max(sample.expected_tokens);
    }
    let mut fresh: Vec<(u32, &Arc<str>)> = groups
        .iter()
        .filter(|(_, (returned, _))| !returned)
        .map(|(group, (_, longest))| (*longest, *group))
        .collect();
    fresh.sort_by(|a, b| b.cmp(a));
    let spare = groups
        .len()
        .saturating_sub(state.batch.wanted_groups as usize);
    let last: HashSet<&Arc<str>> = fresh.iter().take(spare).map(|(_, group)| *group).collect();
    let mut order: Vec<usize> = (0..samples.len()).collect();
    order.sort_by_key(|place| {
        let sample = &samples[*place];
        let (returned, longest) = groups[&sample.group];
        (
            !returned,
            last.contains(&sample.group),
            Reverse(longest),
            sample.group.clone(),
            Reverse(sample.expected_tokens),
        )
    });
    order
}

/// What a sample wants of an engine.
struct Wanted<'a> {
    service: &'a str,
    state: &'a BatchState,
    left: Option<EndpointKey>,
}

/// Returns whether a sample that leaves an engine finds another one that is not slow.
pub fn finds_better(
    ledger: &Ledger,
    endpoints: &Endpoints,
    service: &str,
    state: &BatchState,
    left: EndpointKey,
    now_ms: u64,
) -> bool {
    let wanted = Wanted {
        service,
        state,
        left: Some(left),
    };
    let found = engine(ledger, endpoints, &wanted, &HashMap::new(), now_ms);
    let usual_ms = usual_event_ms(endpoints, service);
    found.is_some_and(|key| endpoints.get(key).event_ms <= USUAL * usual_ms)
}

/// An engine whose events take up to this many times the usual time is not slow.
const USUAL: f64 = 1.2;

/// Returns the median time between two events of a service's engines.
pub fn usual_event_ms(endpoints: &Endpoints, service: &str) -> f64 {
    let mut paces: Vec<f64> = endpoints
        .of_service(service)
        .map(|(_, endpoint)| endpoint.event_ms)
        .filter(|pace| *pace > 0.0)
        .collect();
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len() / 2).copied().unwrap_or(f64::INFINITY)
}

/// Picks the engine with the most room whose weights are new enough.
fn engine(
    ledger: &Ledger,
    endpoints: &Endpoints,
    wanted: &Wanted<'_>,
    taken: &HashMap<EndpointKey, u32>,
    now_ms: u64,
) -> Option<EndpointKey> {
    let batch = &wanted.state.batch;
    let model = &batch.model;
    let usual_ms = usual_event_ms(endpoints, wanted.service);
    let cost = |key: EndpointKey, endpoint: &Endpoint| {
        let here = endpoint.in_flight + taken.get(&key).copied().unwrap_or(0);
        let slots = endpoint.listing.slots.max(1);
        let planned = ledger.plan.get(&endpoint.listing.id) == Some(model);
        let unplanned = if planned { 0.0 } else { UNPLANNED };
        let shunned = if endpoint.shunned(now_ms) {
            SHUNNED
        } else {
            0.0
        };
        let slower = (endpoint.event_ms / usual_ms - 1.0).max(0.0);
        let slow = (SLOW * slower).min(SLOWEST);
        let cost = f64::from(here) / f64::from(slots) + unplanned + slow;
        (here < slots && cost < 1.0).then_some(cost + shunned)
    };
    endpoints
        .of_service(wanted.service)
        .filter(|(key, _)| Some(*key) != wanted.left)
        .filter(|(_, endpoint)| endpoint.takes_work() && endpoint.refused_until_ms <= now_ms)
        .filter(|(_, endpoint)| {
            endpoint
                .version(model)
                .is_some_and(|version| version >= batch.min_version)
        })
        .filter_map(|(key, endpoint)| Some((cost(key, endpoint)?, key)))
        .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
        .map(|(_, key)| key)
}

#[cfg(test)]
mod tests;
