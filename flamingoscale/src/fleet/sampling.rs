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
        HashSet,
        VecDeque, //
    },
    sync::Arc, //
};

use super::{
    endpoints::{
        EndpointKey,
        Endpoints, //
    },
    ledger::{
        BatchState,
        Ledger, //
    },
    placement::{
        median_event_ms,
        EngineQuery,
        Expectation,
        Needs,
        Placement,
        Reserved,
        NORMAL_PACE_FACTOR, //
    },
    prefixes::PartKey,
    record::Sample, //
};

/// Ids of a batch and of one of its samples.
pub type SampleId = (Arc<str>, Arc<str>);

/// Base of the delay before the retry of an attempt that produced no event. The delay doubles with
/// each consecutive attempt of this kind.
const BASE_RETRY_DELAY_MS: u64 = 50;

/// Upper limit of the retry delay.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// Number of reserved slots that makes an engine count as full, whatever it has.
pub const FULL: u32 = 1 << 20;

/// Time that scoring adds to a sample, as the number of output tokens that take as long: a scoring
/// call takes about 30 ms, a token 0.6 ms.
const SCORING_TOKENS: u32 = 50;

/// Number of samples for each engine of the service that may start before a sample, because their engine
/// has their prompt cached but not its own. An engine with 16 slots gets a free one in a sixteenth of the
/// time of a run, so each engine can go on with its own group meanwhile.
const MAX_OVERTAKEN_PER_ENGINE: usize = 2;

/// Number of samples that are larger than an engine's memory and that one pass skips. They start on an
/// idle engine, and others must not wait for that.
const MAX_SKIPPED: usize = 8;

/// Time after which a sample that is larger than an engine's memory starts on any engine with a free
/// slot: the estimate may be wrong, and the engine decides.
const MAX_DEFERRAL_MS: u64 = 3_000;

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
    /// What a run of the sample needs, once it has been considered.
    needs: Option<Arc<Needs>>,
    /// Since when the sample has waited for an engine with enough memory, in monotonic milliseconds.
    deferred_since_ms: Option<u64>,
    /// Number of samples that started before this one because their prompt was cached.
    overtaken: usize,
    /// Whether an earlier run has generated part of the text.
    resumed: bool,
}

/// A sample to start on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The sample.
    pub sample: SampleId,
    /// The engine.
    pub endpoint: EndpointKey,
    /// What is expected of the run.
    pub expected: Expectation,
}

/// What happened since it was last asked for, for logs and counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SamplingNotes {
    /// Number of samples that began to wait for an engine with enough memory.
    pub deferred: u64,
    /// Batches in which the headers of a sample say something malformed of its prompt; each batch once.
    pub malformed: Vec<Arc<str>>,
}

/// A sample that may start now.
struct Candidate {
    id: SampleId,
    service: Arc<str>,
    software: Option<Arc<str>>,
    previous_engine: Option<EndpointKey>,
    next_engine: Option<EndpointKey>,
    needs: Arc<Needs>,
    checks_memory: bool,
}

/// Places in the start order of a batch whose samples may still have to start.
#[derive(Debug, Default)]
struct PrefixLists {
    /// The samples by the last shared part of their prompt.
    by_prefix: HashMap<PartKey, VecDeque<usize>>,
    /// The first sample with each last shared part.
    unbegun: VecDeque<usize>,
}

/// What one call of [`Sampler::next_starts`] goes by, and what it has decided.
struct Pass<'a> {
    ledger: &'a Ledger,
    endpoints: &'a Endpoints,
    service: &'a dyn Fn(&BatchState, &Sample) -> Option<Arc<str>>,
    software: &'a dyn Fn(&SampleId) -> Option<Arc<str>>,
    now_ms: u64,
    reserved: Reserved,
    /// [`Placement::expected_load`] of each service for the batch that is being considered.
    expected_loads: HashMap<Arc<str>, f64>,
    starts: Vec<Start>,
}

/// Starts the samples of the models whose leases this instance holds, and tracks their progress.
#[derive(Debug, Default)]
pub struct Sampler {
    progress: HashMap<SampleId, Progress>,
    /// Start order of the samples of each batch.
    order: HashMap<Arc<str>, Arc<[Position]>>,
    /// Number of samples of each batch that are running.
    running: HashMap<Arc<str>, usize>,
    /// Samples of each batch by their prompts.
    prefix_lists: HashMap<Arc<str>, PrefixLists>,
    placement: Placement,
    notes: SamplingNotes,
    /// Batches that were noted as malformed.
    malformed: HashSet<Arc<str>>,
}

impl Sampler {
    /// Returns a sampler that chooses engines in the given way.
    pub fn new(placement: Placement) -> Self {
        Self {
            placement,
            ..Self::default()
        }
    }

    /// Returns how engines are chosen.
    pub fn placement(&mut self) -> &mut Placement {
        &mut self.placement
    }

    /// Returns what happened since the last call.
    pub fn take_notes(&mut self) -> SamplingNotes {
        std::mem::take(&mut self.notes)
    }

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
        let progress = self.progress.entry(sample.clone()).or_default();
        let runs = progress.running.len();
        progress.running.retain(|key| *key != endpoint);
        if let (Some(needs), true) = (&progress.needs, progress.running.len() < runs) {
            let started_ms = self.placement.finished(endpoint, needs);
            let took_ms = started_ms.map(|started_ms| now_ms.saturating_sub(started_ms));
            match took_ms {
                Some(took_ms) if progress.finished && !progress.resumed && events > 0 => {
                    self.placement.completed(needs, took_ms);
                }
                _ if events == 0 => self.placement.not_run(endpoint, &needs.prompt),
                _ => progress.resumed = true,
            }
            let running = self.running.entry(sample.0.clone()).or_default();
            *running = running.saturating_sub(1);
        }
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
        self.running.retain(|batch, _| is_open(batch));
        self.prefix_lists.retain(|batch, _| is_open(batch));
        self.malformed.retain(|batch| is_open(batch));
    }

    /// Records how long the first event of a run took. Returns whether this shows that the prompt was
    /// not cached, although it was believed to be.
    pub fn first_event(&mut self, start: &Start, took_ms: u64) -> bool {
        let progress = self.progress.get(&start.sample);
        let needs = progress.and_then(|progress| progress.needs.clone());
        let Some((needs, prefixes)) = needs.zip(self.placement.prefixes()) else {
            return false;
        };
        let cached_tokens = start.expected.cached_tokens;
        prefixes.first_event(start.endpoint, &needs.prompt, cached_tokens, took_ms as f64)
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
        let mut pass = Pass {
            ledger,
            endpoints,
            service,
            software,
            now_ms,
            reserved: Reserved::new(),
            expected_loads: HashMap::new(),
            starts: Vec::new(),
        };
        for state in batches {
            let order = self.order(state, ledger);
            pass.expected_loads.clear();
            self.start_batch(&mut pass, state, &order);
        }
        pass.starts
    }

    /// Starts the samples of a batch, up to the first one that no engine has room for.
    fn start_batch(&mut self, pass: &mut Pass<'_>, state: &BatchState, order: &[Position]) {
        self.list_prefixes(state, order);
        let mut skipped = 0;
        for (place, position) in order.iter().enumerate() {
            let Some(candidate) = self.candidate(pass, state, position) else {
                continue;
            };
            loop {
                let Some(engine) = self.pick(pass, state, &candidate) else {
                    let placement = &self.placement;
                    if !placement.is_oversized(&candidate.service, &candidate.needs)
                        || skipped == MAX_SKIPPED
                    {
                        return;
                    }
                    skipped += 1;
                    break;
                };
                match self.better_fit(pass, state, order, (place, &candidate), engine.0) {
                    Some((better, engine)) => {
                        self.progress(&candidate.id).overtaken += 1;
                        self.start(pass, better, engine);
                    }
                    None => {
                        self.start(pass, candidate, engine);
                        break;
                    }
                }
            }
        }
    }

    /// Returns the sample at a position of a batch if it may start now.
    fn candidate(
        &mut self,
        pass: &Pass<'_>,
        state: &BatchState,
        position: &Position,
    ) -> Option<Candidate> {
        let sample = &state.batch.samples[position.index];
        if state.results.contains(&sample.id) {
            return None;
        }
        let id = (state.batch.id.clone(), sample.id.clone());
        let progress = self.progress.entry(id.clone()).or_default();
        let not_due = progress.finished || pass.now_ms < progress.not_before_ms;
        if not_due || !progress.running.is_empty() {
            return None;
        }
        let service = (pass.service)(state, sample)?;
        let needs = self.needs(state, sample);
        let progress = self.progress.get(&id)?;
        let is_overdue = progress
            .deferred_since_ms
            .is_some_and(|since_ms| pass.now_ms.saturating_sub(since_ms) >= MAX_DEFERRAL_MS);
        Some(Candidate {
            checks_memory: !is_overdue || !self.placement.is_oversized(&service, &needs),
            needs,
            previous_engine: progress.previous_engine,
            next_engine: progress.next_engine,
            software: (pass.software)(&id),
            service,
            id,
        })
    }

    /// Returns the engine for a sample, with its cost, and records if only memory is lacking.
    fn pick(
        &mut self,
        pass: &mut Pass<'_>,
        state: &BatchState,
        candidate: &Candidate,
    ) -> Option<(EndpointKey, f64)> {
        let (placement, running) = (&self.placement, &self.running);
        let service = &candidate.service;
        let expected_load = *pass
            .expected_loads
            .entry(service.clone())
            .or_insert_with(|| {
                let running = running.get(&state.batch.id).copied().unwrap_or(0);
                let unfinished = state.batch.samples.len() - state.results.len();
                let waiting = unfinished.saturating_sub(running);
                placement.expected_load(pass.ledger, pass.endpoints, (service, state), waiting)
            });
        let mut lacks_memory = false;
        let mut find = |software: Option<&str>, excluded, reserved: &Reserved| {
            let query = EngineQuery {
                service,
                state,
                software,
                excluded,
                needs: &candidate.needs,
                checks_memory: candidate.checks_memory,
                expected_load,
            };
            let (ledger, endpoints) = (pass.ledger, pass.endpoints);
            let pick = placement.pick_engine(ledger, endpoints, &query, reserved, pass.now_ms);
            lacks_memory |= pick.lacks_memory;
            pick.engine
        };
        let decided = candidate.next_engine.and_then(|only| {
            let reserved = reserve_others(pass.endpoints, service, only, &pass.reserved);
            find(candidate.software.as_deref(), None, &reserved)
        });
        let previous = candidate.previous_engine;
        let mut engine = |software: Option<&str>| {
            // Running again on the previous engine is better than not running.
            let other = find(software, previous, &pass.reserved);
            other.or_else(|| previous.and_then(|_| find(software, None, &pass.reserved)))
        };
        let software = candidate.software.as_deref();
        let engine = decided
            .or_else(|| software.and_then(|name| engine(Some(name))))
            .or_else(|| engine(None));
        if engine.is_none() && lacks_memory {
            let progress = self.progress.entry(candidate.id.clone()).or_default();
            if progress.deferred_since_ms.is_none() {
                progress.deferred_since_ms = Some(pass.now_ms);
                self.notes.deferred += 1;
            }
        }
        engine
    }

    /// Returns a sample that should start on the engine before the one at `place`, whose shared prompt
    /// parts the engine does not have cached: one whose parts it has, or one of a group that no engine
    /// has begun if another engine has the parts of the one at `place`. Both are equally urgent, and the
    /// one at `place` has no text yet.
    fn better_fit(
        &mut self,
        pass: &mut Pass<'_>,
        state: &BatchState,
        order: &[Position],
        (place, current): (usize, &Candidate),
        engine: EndpointKey,
    ) -> Option<(Candidate, (EndpointKey, f64))> {
        let endpoints = pass.endpoints;
        let prompt = &current.needs.prompt;
        let uncached_tokens = self.placement.uncached_tokens(endpoints, engine, prompt)?;
        let progress = self.progress(&current.id);
        if progress.resumed {
            return None;
        }
        let overtaken = progress.overtaken;
        let max_overtaken =
            MAX_OVERTAKEN_PER_ENGINE * endpoints.of_service(&current.service).count();
        if uncached_tokens == 0 || overtaken >= max_overtaken {
            return None;
        }
        let mut lists: Vec<Option<PartKey>> = self.placement.recent_parts(endpoints, engine);
        // An engine that has none of the groups that have begun begins another one.
        if self
            .placement
            .is_cached(endpoints, &current.service, prompt)
        {
            lists.push(None);
        }
        for list in lists {
            while let Some(other) = self.first_in(state, list) {
                if order[other].urgency > order[place].urgency {
                    break;
                }
                let is_behind = other > place && order[other].urgency == order[place].urgency;
                let candidate = self.candidate(pass, state, &order[other]);
                let Some(candidate) = candidate.filter(|_| is_behind) else {
                    self.drop_first(state, list);
                    continue;
                };
                let prompt = &candidate.needs.prompt;
                let uncached = self.placement.uncached_tokens(endpoints, engine, prompt);
                let fits = list.is_none() || uncached == Some(0);
                if !fits || candidate.service != current.service {
                    break;
                }
                match self.pick(pass, state, &candidate) {
                    Some(found) if found.0 == engine => return Some((candidate, found)),
                    _ => break,
                }
            }
        }
        None
    }

    /// Returns the place of the first sample with a prefix, or of the first one whose group has not
    /// begun. Places that were dropped are left out.
    fn first_in(&self, state: &BatchState, list: Option<PartKey>) -> Option<usize> {
        let lists = self.prefix_lists.get(&state.batch.id)?;
        let places = match list {
            Some(part) => lists.by_prefix.get(&part)?,
            None => &lists.unbegun,
        };
        places.front().copied()
    }

    /// Drops the first place of a list, whose sample has started or comes before those that wait.
    fn drop_first(&mut self, state: &BatchState, list: Option<PartKey>) {
        let Some(lists) = self.prefix_lists.get_mut(&state.batch.id) else {
            return;
        };
        let places = match list {
            Some(part) => lists.by_prefix.get_mut(&part),
            None => Some(&mut lists.unbegun),
        };
        if let Some(places) = places {
            places.pop_front();
        }
    }

    /// Lists the samples of a batch by the last shared part of their prompt.
    fn list_prefixes(&mut self, state: &BatchState, order: &[Position]) {
        let is_listed = self.prefix_lists.contains_key(&state.batch.id);
        if is_listed || !self.placement.prefers_prefixes() {
            return;
        }
        let mut lists = PrefixLists::default();
        for (place, position) in order.iter().enumerate() {
            let needs = self.needs(state, &state.batch.samples[position.index]);
            let Some(part) = needs.prompt.shared_parts.last() else {
                continue;
            };
            let places = lists.by_prefix.entry(part.key).or_default();
            if places.is_empty() {
                lists.unbegun.push_back(place);
            }
            places.push_back(place);
        }
        self.prefix_lists.insert(state.batch.id.clone(), lists);
    }

    /// Returns what a run of a sample needs; its headers are read once.
    fn needs(&mut self, state: &BatchState, sample: &Sample) -> Arc<Needs> {
        let id = (state.batch.id.clone(), sample.id.clone());
        let progress = self.progress.entry(id).or_default();
        if let Some(needs) = &progress.needs {
            return needs.clone();
        }
        let needs = Arc::new(self.placement.needs(&state.batch.model, sample));
        progress.needs = Some(needs.clone());
        if needs.malformed && self.malformed.insert(state.batch.id.clone()) {
            self.notes.malformed.push(state.batch.id.clone());
        }
        needs
    }

    /// Marks a sample as running on an engine.
    fn start(&mut self, pass: &mut Pass<'_>, candidate: Candidate, engine: (EndpointKey, f64)) {
        let expected =
            self.placement
                .started(pass.endpoints, engine, &candidate.needs, pass.now_ms);
        let endpoint = engine.0;
        *pass.reserved.entry(endpoint).or_default() += 1;
        *self.running.entry(candidate.id.0.clone()).or_default() += 1;
        let progress = self.progress(&candidate.id);
        progress.running.push(endpoint);
        progress.next_engine = None;
        progress.deferred_since_ms = None;
        progress.overtaken = 0;
        pass.starts.push(Start {
            sample: candidate.id,
            endpoint,
            expected,
        });
    }

    fn order(&mut self, state: &BatchState, ledger: &Ledger) -> Arc<[Position]> {
        self.order
            .entry(state.batch.id.clone())
            .or_insert_with(|| start_positions(state, ledger).into())
            .clone()
    }

    /// Returns whether a sample on the `excluded` engine could continue on another engine that has room
    /// and is not slow.
    pub fn has_better_engine(
        &self,
        ledger: &Ledger,
        endpoints: &Endpoints,
        (service, state): (&str, &BatchState),
        run: (&SampleId, EndpointKey),
        now_ms: u64,
    ) -> bool {
        let reserved = Reserved::new();
        let engine = self.other_engine(ledger, endpoints, (service, state), run, &reserved, now_ms);
        let median_ms = median_event_ms(endpoints, service);
        engine.is_some_and(|key| endpoints.get(key).event_ms <= NORMAL_PACE_FACTOR * median_ms)
    }

    /// Returns the engine on which a sample that runs on the `excluded` engine would continue, or `None`
    /// if no other engine has room. `reserved` are slots that count as occupied.
    pub fn other_engine(
        &self,
        ledger: &Ledger,
        endpoints: &Endpoints,
        (service, state): (&str, &BatchState),
        (sample, excluded): (&SampleId, EndpointKey),
        reserved: &Reserved,
        now_ms: u64,
    ) -> Option<EndpointKey> {
        let progress = self.progress.get(sample);
        let needs = progress.and_then(|progress| progress.needs.clone());
        let query = EngineQuery {
            service,
            state,
            software: Some(&endpoints.get(excluded).listing.software),
            excluded: Some(excluded),
            needs: &needs.unwrap_or_default(),
            checks_memory: true,
            expected_load: 0.0,
        };
        let pick = self
            .placement
            .pick_engine(ledger, endpoints, &query, reserved, now_ms);
        pick.engine.map(|(key, _)| key)
    }
}

/// Returns the reserved slots with all engines of the service as full except one.
fn reserve_others(
    endpoints: &Endpoints,
    service: &str,
    only: EndpointKey,
    reserved: &Reserved,
) -> Reserved {
    let slots = |key| match key == only {
        true => reserved.get(&key).copied().unwrap_or(0),
        false => FULL,
    };
    let engines = endpoints.of_service(service);
    engines.map(|(key, _)| (key, slots(key))).collect()
}

/// Place of a sample in the start order of its batch.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Index into the samples of the batch.
    index: usize,
    /// Samples with a lower value start first: those of groups that were submitted before, then those
    /// of groups that the trainer waits for.
    urgency: (bool, bool),
}

/// Returns a batch's samples in the order in which they should start.
fn start_positions(state: &BatchState, ledger: &Ledger) -> Vec<Position> {
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
    let urgency = |sample: &Sample| {
        let (returned, _) = groups[&sample.group];
        (!returned, deferred.contains(&sample.group))
    };
    let mut order: Vec<Position> = (0..)
        .zip(samples)
        .map(|(index, sample)| Position {
            index,
            urgency: urgency(sample),
        })
        .collect();
    order.sort_by_key(|position| {
        let sample = &samples[position.index];
        let (_, max_tokens) = groups[&sample.group];
        (
            position.urgency,
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

#[cfg(test)]
mod tests;
