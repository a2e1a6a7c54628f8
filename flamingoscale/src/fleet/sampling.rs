//! Decides which samples of the open batches start now, and on which engine.
//!
//! A trainer waits for complete groups. Groups that the trainer submits again after an earlier step
//! start first, then the new groups, longest first. The samples of a group start one after another,
//! so that groups that have begun are completed. If the trainer waits for fewer groups than the
//! batch has, the longest new groups start last. See `docs/design/shared-store.md`.

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

/// Ids of a batch and of one of its samples.
pub type SampleId = (Arc<str>, Arc<str>);

/// Base of the delay before the retry of an attempt that produced no event. The delay doubles with
/// each consecutive attempt of this kind.
const BASE_RETRY_DELAY_MS: u64 = 50;

/// Upper limit of the retry delay.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// Cost of an engine that is assigned to another model, relative to the cost of a full engine.
const OTHER_MODEL_COST: f64 = 0.6;

/// Cost of an engine whose events take twice the median time. The cost is proportional to the time
/// in excess of the median.
const SLOWNESS_COST: f64 = 0.4;

/// Upper limit of the slowness cost. No sample starts on an engine whose cost without the backoff
/// cost reaches 1, so a very slow engine still gets samples, but only for less than half of its
/// slots.
const MAX_SLOWNESS_COST: f64 = 0.6;

/// Cost of an engine that is in backoff after a failure; higher than the cost of any other engine.
const BACKOFF_COST: f64 = 3.0;

/// Number of reserved slots that makes an engine count as full, whatever it has.
pub const FULL: u32 = 1 << 20;

/// Time that scoring adds to a sample, as the number of output tokens that take as long: a scoring
/// call takes about 30 ms, a token 0.6 ms.
const SCORING_TOKENS: u32 = 50;

/// The execution state of a sample that has no result in the ledger yet.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The engines that run the sample.
    pub running: Vec<EndpointKey>,
    /// Number of runs that an engine reported as failed.
    pub failed_runs: u32,
    /// Consecutive attempts that produced no event.
    pub attempts_without_event: u32,
    /// Earliest time of the next attempt, in monotonic milliseconds.
    pub not_before_ms: u64,
    /// Whether the sample is finished and its result is being written to the store.
    pub finished: bool,
    /// The engine that the sample was most recently moved away from. The sample returns to that
    /// engine only if no other engine has room.
    pub previous_engine: Option<EndpointKey>,
    /// The engine that the move was decided for. The sample starts there if it still has room.
    pub next_engine: Option<EndpointKey>,
    /// How often the sample was moved to another engine.
    pub moves: u32,
}

/// A sample to start on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The sample.
    pub sample: SampleId,
    /// The engine.
    pub endpoint: EndpointKey,
}

/// Starts the samples of the models whose leases this instance holds, and tracks their progress.
#[derive(Debug, Default)]
pub struct Sampler {
    progress: HashMap<SampleId, Progress>,
    /// Start order of the samples of each batch, as indices into the samples of the batch.
    order: HashMap<Arc<str>, Arc<[usize]>>,
}

impl Sampler {
    /// Returns the state of a sample, which is created if it does not exist.
    pub fn progress(&mut self, sample: &SampleId) -> &mut Progress {
        self.progress.entry(sample.clone()).or_default()
    }

    /// Records the end of an attempt that produced `events` events.
    pub fn attempt_finished(
        &mut self,
        sample: &SampleId,
        endpoint: EndpointKey,
        events: u64,
        now_ms: u64,
    ) {
        let progress = self.progress(sample);
        progress.running.retain(|key| *key != endpoint);
        progress.attempts_without_event = if events > 0 {
            0
        } else {
            progress.attempts_without_event + 1
        };
        let delay_ms = BASE_RETRY_DELAY_MS << progress.attempts_without_event.min(5);
        if progress.attempts_without_event > 0 {
            progress.not_before_ms = now_ms + delay_ms.min(MAX_RETRY_DELAY_MS);
        }
    }

    /// Drops the state of ended batches, except for samples that still run.
    pub fn drop_ended_batches(&mut self, ledger: &Ledger) {
        let is_open =
            |batch: &Arc<str>| ledger.batches.get(batch).is_some_and(|state| !state.ended);
        self.progress
            .retain(|(batch, _), progress| is_open(batch) || !progress.running.is_empty());
        self.order.retain(|batch, _| is_open(batch));
    }

    /// Returns the samples to start now and marks them as running.
    ///
    /// `owned_models` are the models whose sampling leases this instance holds. `service` returns
    /// the service of a sample, or `None` if its route no longer exists. `software` returns the version
    /// of the software that generated the text so far of a sample; the sample starts on another one,
    /// from the beginning, only if no engine with that software has room.
    pub fn next_starts(
        &mut self,
        ledger: &Ledger,
        endpoints: &Endpoints,
        owned_models: &HashSet<Arc<str>>,
        service: &dyn Fn(&BatchState, &Sample) -> Option<Arc<str>>,
        software: &dyn Fn(&SampleId) -> Option<Arc<str>>,
        now_ms: u64,
    ) -> Vec<Start> {
        let mut batches: Vec<&BatchState> = ledger
            .batches
            .values()
            .filter(|state| !state.ended && owned_models.contains(&state.batch.model))
            .filter(|state| !state.is_finished())
            .collect();
        batches.sort_by_key(|state| (state.batch.submitted_unix_ms, state.batch.id.clone()));
        let mut reserved: HashMap<EndpointKey, u32> = HashMap::new();
        let mut starts = Vec::new();
        for state in batches {
            let order = self.order(state, ledger);
            for index in order.iter() {
                let sample = &state.batch.samples[*index];
                if state.results.contains(&sample.id) {
                    continue;
                }
                let id = (state.batch.id.clone(), sample.id.clone());
                let progress = self.progress.entry(id.clone()).or_default();
                let not_due = progress.finished || now_ms < progress.not_before_ms;
                if not_due || !progress.running.is_empty() {
                    continue;
                }
                let Some(service) = service(state, sample) else {
                    continue;
                };
                let software = software(&id);
                let engine = |software: Option<&str>| {
                    let find = |excluded| {
                        let query = EngineQuery {
                            service: &service,
                            state,
                            software,
                            excluded,
                        };
                        pick_engine(ledger, endpoints, &query, &reserved, now_ms)
                    };
                    // Running again on the previous engine is better than not running.
                    find(progress.previous_engine).or_else(|| find(None))
                };
                let decided = progress.next_engine.take().and_then(|only| {
                    let query = EngineQuery {
                        service: &service,
                        state,
                        software: software.as_deref(),
                        excluded: None,
                    };
                    let reserved = reserve_others(endpoints, &service, only, &reserved);
                    pick_engine(ledger, endpoints, &query, &reserved, now_ms)
                });
                let same_software = || software.as_deref().and_then(|name| engine(Some(name)));
                let found = decided.or_else(same_software).or_else(|| engine(None));
                let Some(endpoint) = found else {
                    break;
                };
                *reserved.entry(endpoint).or_default() += 1;
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
            .or_insert_with(|| start_order(state, ledger).into())
            .clone()
    }
}

/// Returns the indices of a batch's samples in the order in which the samples should start.
pub fn start_order(state: &BatchState, ledger: &Ledger) -> Vec<usize> {
    let samples = &state.batch.samples;
    let earlier_samples: HashSet<&Arc<str>> = ledger
        .batches
        .values()
        .filter(|other| other.batch.id != state.batch.id && other.batch.model == state.batch.model)
        .filter(|other| other.batch.step < state.batch.step)
        .flat_map(|other| other.batch.samples.iter().map(|sample| &sample.id))
        .collect();
    let mut groups: HashMap<&Arc<str>, (bool, u32)> = HashMap::new();
    for sample in samples {
        let group = groups.entry(&sample.group).or_default();
        group.0 |= earlier_samples.contains(&sample.id);
        group.1 = group.1.max(expected_length(sample));
    }
    let mut new_groups: Vec<(u32, &Arc<str>)> = groups
        .iter()
        .filter(|(_, (returned, _))| !returned)
        .map(|(group, (_, max_tokens))| (*max_tokens, *group))
        .collect();
    new_groups.sort_by(|a, b| b.cmp(a));
    let surplus = groups
        .len()
        .saturating_sub(state.batch.wanted_groups as usize);
    let deferred: HashSet<&Arc<str>> = new_groups
        .iter()
        .take(surplus)
        .map(|(_, group)| *group)
        .collect();
    let mut order: Vec<usize> = (0..samples.len()).collect();
    order.sort_by_key(|index| {
        let sample = &samples[*index];
        let (returned, max_tokens) = groups[&sample.group];
        (
            !returned,
            deferred.contains(&sample.group),
            Reverse(max_tokens),
            sample.group.clone(),
            Reverse(expected_length(sample)),
        )
    });
    order
}

/// Returns how long a sample is expected to take until it has its result, in output tokens.
fn expected_length(sample: &Sample) -> u32 {
    match sample.scoring {
        Some(_) => sample.expected_tokens.saturating_add(SCORING_TOKENS),
        None => sample.expected_tokens,
    }
}

/// The sample properties that restrict which engines may run it.
struct EngineQuery<'a> {
    service: &'a str,
    state: &'a BatchState,
    /// Version of the software that the engine must have; `None` for any.
    software: Option<&'a str>,
    excluded: Option<EndpointKey>,
}

/// Returns whether a sample on the `excluded` engine could continue on another engine that has room
/// and is not slow.
pub fn has_better_engine(
    ledger: &Ledger,
    endpoints: &Endpoints,
    service: &str,
    state: &BatchState,
    excluded: EndpointKey,
    now_ms: u64,
) -> bool {
    let run = (service, state, excluded);
    let engine = other_engine(ledger, endpoints, run, &HashMap::new(), now_ms);
    let median_ms = median_event_ms(endpoints, service);
    engine.is_some_and(|key| endpoints.get(key).event_ms <= NORMAL_PACE_FACTOR * median_ms)
}

/// Returns the reserved slots with all engines of the service as full except one.
fn reserve_others(
    endpoints: &Endpoints,
    service: &str,
    only: EndpointKey,
    reserved: &HashMap<EndpointKey, u32>,
) -> HashMap<EndpointKey, u32> {
    let slots = |key| match key == only {
        true => reserved.get(&key).copied().unwrap_or(0),
        false => FULL,
    };
    let engines = endpoints.of_service(service);
    engines.map(|(key, _)| (key, slots(key))).collect()
}

/// Returns the engine on which a sample of the service and batch that runs on the `excluded` engine
/// would continue, or `None` if no other engine has room. `reserved` are slots that count as
/// occupied.
pub fn other_engine(
    ledger: &Ledger,
    endpoints: &Endpoints,
    (service, state, excluded): (&str, &BatchState, EndpointKey),
    reserved: &HashMap<EndpointKey, u32>,
    now_ms: u64,
) -> Option<EndpointKey> {
    let query = EngineQuery {
        service,
        state,
        software: Some(&endpoints.get(excluded).listing.software),
        excluded: Some(excluded),
    };
    pick_engine(ledger, endpoints, &query, reserved, now_ms)
}

/// An engine counts as slow if its events take more than this multiple of the median time.
const NORMAL_PACE_FACTOR: f64 = 1.2;

/// Returns the median time between two events over the engines of a service, in milliseconds;
/// infinity if no engine has a known time.
pub fn median_event_ms(endpoints: &Endpoints, service: &str) -> f64 {
    event_ms_at(endpoints, service, 2)
}

/// Returns the time between two events that a quarter of the engines of a service keep, in
/// milliseconds; infinity if no engine has a known time. It stays usual while half of them are slow.
pub fn usual_event_ms(endpoints: &Endpoints, service: &str) -> f64 {
    event_ms_at(endpoints, service, 4)
}

/// Returns the time between two events of the engine that stands at `1 / divisor` of the engines of
/// a service, fastest first.
fn event_ms_at(endpoints: &Endpoints, service: &str, divisor: usize) -> f64 {
    let mut intervals_ms: Vec<f64> = endpoints
        .of_service(service)
        .map(|(_, endpoint)| endpoint.event_ms)
        .filter(|interval_ms| *interval_ms > 0.0)
        .collect();
    intervals_ms.sort_by(f64::total_cmp);
    intervals_ms
        .get(intervals_ms.len() / divisor)
        .copied()
        .unwrap_or(f64::INFINITY)
}

/// Returns the engine with the lowest cost among those that have a free slot and a permit, and whose
/// weights are new enough for the batch.
fn pick_engine(
    ledger: &Ledger,
    endpoints: &Endpoints,
    query: &EngineQuery<'_>,
    reserved: &HashMap<EndpointKey, u32>,
    now_ms: u64,
) -> Option<EndpointKey> {
    let batch = &query.state.batch;
    let model = &batch.model;
    let median_ms = median_event_ms(endpoints, query.service);
    let cost = |key: EndpointKey, endpoint: &Endpoint| {
        let reserved = reserved.get(&key).copied().unwrap_or(0);
        if !endpoint.permits_requests(reserved + 1) {
            return None;
        }
        let occupied = endpoint.in_flight + reserved;
        let slots = endpoint.listing.slots.max(1);
        let assigned = ledger.assignments.get(&endpoint.listing.id) == Some(model);
        let assignment_cost = if assigned { 0.0 } else { OTHER_MODEL_COST };
        let backoff_cost = if endpoint.in_backoff(now_ms) {
            BACKOFF_COST
        } else {
            0.0
        };
        let slowdown = (endpoint.event_ms / median_ms - 1.0).max(0.0);
        let slowness_cost = (SLOWNESS_COST * slowdown).min(MAX_SLOWNESS_COST);
        let cost = f64::from(occupied) / f64::from(slots) + assignment_cost + slowness_cost;
        (occupied < slots && cost < 1.0).then_some(cost + backoff_cost)
    };
    endpoints
        .of_service(query.service)
        .filter(|(key, _)| Some(*key) != query.excluded)
        .filter(|(_, endpoint)| endpoint.accepts_work() && endpoint.refused_until_ms <= now_ms)
        .filter(|(_, endpoint)| {
            let software = &*endpoint.listing.software;
            query.software.is_none_or(|needed| needed == software)
        })
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
