//! Chooses the engine for a sample.
//!
//! With [`PlacementPolicy::Slots`] the cost of an engine is its load relative to its slots. With
//! [`PlacementPolicy::Room`] an engine also needs memory for the run, and the cost is the expected time
//! of the run in milliseconds. See `docs/design/prefixes.md`.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::{
    configuration::Configuration,
    endpoints::{
        Endpoint,
        EndpointKey,
        Endpoints, //
    },
    ledger::{
        BatchState,
        Ledger, //
    },
    policies::{
        PlacementPolicy,
        Policies, //
    },
    prefixes::{
        prefill_ms,
        PartKey,
        Prefixes,
        Prompt, //
    },
    record::Sample, //
};

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

/// An engine counts as slow if its events take more than this multiple of the median time. Shorter
/// times differ by the number of tokens in an event.
pub(super) const NORMAL_PACE_FACTOR: f64 = 1.2;

/// Time that an engine takes for one token of each run, in milliseconds.
const TOKEN_MS: f64 = 0.6;

/// Lower limit of the average time of a token, in milliseconds.
const MIN_TOKEN_MS: f64 = 0.01;

/// Share by which each run of an engine slows down all of its runs.
const RUN_SLOWDOWN: f64 = 0.025;

/// Expected output tokens of a sample that says less or nothing, so that the load of the engines counts
/// in any case.
const MIN_OUTPUT_TOKENS: u32 = 64;

/// Memory that is set aside for the output of a run, relative to the trainer's estimate. The estimate
/// is the median; the mean of lengths that spread as widely as these is about a quarter above it.
const OUTPUT_MARGIN: f64 = 1.25;

/// A run that has exceeded its estimate is expected to generate this fraction of its output more.
const OVERDUE_DIVISOR: u64 = 4;

/// Largest output of a run without a limit, relative to the memory that is set aside for it.
const MOST_OUTPUT_FACTOR: u64 = 2;

/// Weight of the newest run in the average time of a token. Estimates of single runs are often far off.
const SMOOTHING: f64 = 0.05;

/// Expected wait for an engine in backoff, at least: the shortest backoff.
const MIN_BACKOFF_WAIT_MS: f64 = 500.0;

/// Reads the prompt of a model's sample and the limit of its output tokens (0 if it has none) from the
/// headers of the sample. `None` if what the headers say of the prompt is malformed.
pub type ReadPrompt = fn(&str, &Sample) -> (Option<Prompt>, u32);

/// What a run of a sample needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Needs {
    /// The prompt.
    pub prompt: Prompt,
    /// Expected output tokens.
    pub output_tokens: u32,
    /// Memory to set aside for the output, in tokens.
    pub reserved_tokens: u32,
    /// Limit of the output tokens; 0 for none.
    pub max_output_tokens: u32,
    /// Whether the headers of the sample were malformed, so that its prompt is not known.
    pub malformed: bool,
}

impl Needs {
    /// Returns the tokens of the prompt without its shared parts.
    fn own_prompt_tokens(&self) -> u64 {
        let shared_tokens = self.prompt.shared_tokens();
        u64::from(self.prompt.tokens.saturating_sub(shared_tokens))
    }

    /// Returns the memory that the run needs at its end on an engine that has nothing of it.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt.tokens) + u64::from(self.reserved_tokens)
    }

    /// Returns how many more tokens a run is expected to generate. One that has exceeded its estimate
    /// goes on for a part of what it has generated, even if it seems to have reached its limit:
    /// `generated` is an estimate, too, and a run that was taken to be over would lose its memory.
    fn remaining_tokens(&self, generated: u64) -> u64 {
        let estimated = u64::from(self.reserved_tokens).saturating_sub(generated);
        estimated.max(generated / OVERDUE_DIVISOR)
    }

    /// Returns how many tokens a run generates at most. Without a limit this is a multiple of the
    /// estimate, so that a run that stalls does not seem to fill the engine.
    fn most_output_tokens(&self) -> u64 {
        match self.max_output_tokens {
            0 => u64::from(self.reserved_tokens).saturating_mul(MOST_OUTPUT_FACTOR),
            max_tokens => u64::from(max_tokens),
        }
    }
}

/// What is expected of a run when it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expectation {
    /// Prompt tokens that the engine is believed to have cached.
    pub cached_tokens: u32,
    /// Prompt tokens that it has to prefill.
    pub prefilled_tokens: u32,
    /// Memory that the run needs, in tokens.
    pub memory_tokens: u64,
    /// Time until the run is complete, in milliseconds; 0 if it was not estimated.
    pub time_ms: u64,
}

/// A run of this instance at an engine.
#[derive(Debug)]
struct Run {
    needs: Arc<Needs>,
    started_ms: u64,
}

/// Memory of an engine that the runs of this instance use.
#[derive(Debug, Default)]
struct EngineUse {
    runs: Vec<Run>,
    /// Tokens of each shared part of the runs' prompts, and the number of runs that use it. An engine
    /// holds a shared part once.
    parts: HashMap<PartKey, (u32, u32)>,
    /// Tokens of all shared parts.
    part_tokens: u64,
}

impl EngineUse {
    fn add(&mut self, needs: &Arc<Needs>, now_ms: u64) {
        self.runs.push(Run {
            needs: needs.clone(),
            started_ms: now_ms,
        });
        for part in &needs.prompt.shared_parts {
            let (tokens, users) = self.parts.entry(part.key).or_insert((part.tokens, 0));
            if *users == 0 {
                self.part_tokens += u64::from(*tokens);
            }
            *users += 1;
        }
    }

    /// Removes the run with these needs and returns when it started.
    fn remove(&mut self, needs: &Arc<Needs>) -> Option<u64> {
        let mut runs = self.runs.iter();
        let index = runs.position(|run| Arc::ptr_eq(&run.needs, needs))?;
        let run = self.runs.swap_remove(index);
        for part in &needs.prompt.shared_parts {
            let Some((tokens, users)) = self.parts.get_mut(&part.key) else {
                continue;
            };
            *users = users.saturating_sub(1);
            if *users == 0 {
                self.part_tokens = self.part_tokens.saturating_sub(u64::from(*tokens));
                self.parts.remove(&part.key);
            }
        }
        Some(run.started_ms)
    }

    /// Returns the most memory that the runs will need at one time if one more starts now. Each run
    /// grows by a token a step until it ends. An engine that runs 16 samples of different age needs
    /// much less than the sum of what each needs at its end.
    fn peak_tokens(&self, added: &Needs, ms_per_token: f64, now_ms: u64) -> u64 {
        let tokens_now = |run: &Run| {
            let elapsed_ms = now_ms.saturating_sub(run.started_ms) as f64;
            let needs = &run.needs;
            let generated = (elapsed_ms / ms_per_token) as u64;
            let generated = generated.min(needs.most_output_tokens());
            let rest = needs.remaining_tokens(generated);
            (rest, needs.own_prompt_tokens() + generated)
        };
        let added_run = (added.remaining_tokens(0), added.own_prompt_tokens());
        let mut runs: Vec<(u64, u64)> = self.runs.iter().map(tokens_now).collect();
        runs.push(added_run);
        runs.sort_unstable_by(|a, b| b.cmp(a));
        let (mut held, mut peak) = (0, 0);
        for (count, (rest, tokens)) in (1..).zip(runs) {
            // When this run ends, those before it still run.
            held += tokens;
            peak = peak.max(held + count * rest);
        }
        let parts = added.prompt.shared_parts.iter();
        let new_parts = parts.filter(|part| !self.parts.contains_key(&part.key));
        let new_tokens: u64 = new_parts.map(|part| u64::from(part.tokens)).sum();
        peak + self.part_tokens + new_tokens
    }
}

/// A sample that needs an engine.
pub(super) struct EngineQuery<'a> {
    pub service: &'a str,
    pub state: &'a BatchState,
    /// Version of the software that the engine must have; `None` for any.
    pub software: Option<&'a str>,
    pub excluded: Option<EndpointKey>,
    pub needs: &'a Needs,
    /// Whether the engine's memory counts.
    pub checks_memory: bool,
    /// Share of the slots that will be used once all samples that wait have started, see
    /// [`Placement::expected_load`].
    pub expected_load: f64,
}

/// The result of looking for an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Pick {
    /// The engine and its cost.
    pub engine: Option<(EndpointKey, f64)>,
    /// Whether an engine was left out only because it lacks memory.
    pub lacks_memory: bool,
}

/// Requests that this pass has placed on each engine and that are not in flight yet.
pub type Reserved = HashMap<EndpointKey, u32>;

/// Chooses engines for samples, and keeps account of the memory of their runs.
#[derive(Debug)]
pub struct Placement {
    policy: PlacementPolicy,
    read_prompt: ReadPrompt,
    /// Version of the configuration that `memory_tokens` is from.
    configuration_version: Option<u64>,
    /// Memory of an engine in tokens, by service. Services whose memory is not known are missing.
    memory_tokens: HashMap<Arc<str>, u64>,
    in_use: HashMap<EndpointKey, EngineUse>,
    /// Moving average of the time that a run takes for each of the tokens that it was expected to
    /// generate, in milliseconds.
    ms_per_token: f64,
    /// What engines are believed to have cached; `None` if this is not to be considered.
    prefixes: Option<Prefixes>,
}

impl Default for Placement {
    fn default() -> Self {
        Self::new(Policies::default(), |_, _| (Some(Prompt::default()), 0))
    }
}

impl Placement {
    /// Returns a placement by these policies on engines that run nothing yet.
    pub fn new(policies: Policies, read_prompt: ReadPrompt) -> Self {
        Self {
            policy: policies.place_samples,
            read_prompt,
            configuration_version: None,
            memory_tokens: HashMap::new(),
            in_use: HashMap::new(),
            ms_per_token: TOKEN_MS,
            prefixes: policies.prefixes.then(Prefixes::default),
        }
    }

    /// Returns what engines are believed to have cached, if this is to be considered.
    pub fn prefixes(&mut self) -> Option<&mut Prefixes> {
        self.prefixes.as_mut()
    }

    /// Takes the memory of the engines from the configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        if self.configuration_version == Some(configuration.version) {
            return;
        }
        self.configuration_version = Some(configuration.version);
        let services = configuration.services.values();
        let memory = services.filter_map(|service| {
            let tokens = service.engines.as_ref()?.memory_tokens;
            (tokens > 0).then(|| (service.name.clone(), tokens))
        });
        self.memory_tokens = memory.collect();
    }

    /// Returns what a run of a sample needs. The headers are parsed, so the caller keeps the result. If
    /// no policy asks for it, nothing is parsed.
    pub(super) fn needs(&self, model: &str, sample: &Sample) -> Needs {
        if self.policy == PlacementPolicy::Slots && self.prefixes.is_none() {
            return Needs::default();
        }
        let (prompt, max_output_tokens) = (self.read_prompt)(model, sample);
        let reserved_tokens = (f64::from(sample.expected_tokens) * OUTPUT_MARGIN) as u32;
        Needs {
            malformed: prompt.is_none(),
            prompt: prompt.unwrap_or_default(),
            output_tokens: sample.expected_tokens.max(MIN_OUTPUT_TOKENS),
            max_output_tokens,
            reserved_tokens: match max_output_tokens {
                0 => reserved_tokens,
                max_tokens => reserved_tokens.min(max_tokens),
            },
        }
    }

    fn memory(&self, service: &str) -> Option<u64> {
        let is_limited = self.policy == PlacementPolicy::Room;
        is_limited.then(|| self.memory_tokens.get(service).copied())?
    }

    /// Returns whether a run is expected to need more memory than an engine of the service has.
    pub(super) fn is_oversized(&self, service: &str, needs: &Needs) -> bool {
        let memory = self.memory(service);
        memory.is_some_and(|memory| needs.memory_tokens() > memory)
    }

    /// Returns the share of the slots of a model's engines that will be used once `waiting` more
    /// samples have started: an engine with less load than this will get more samples anyway, so its
    /// load is no reason to prefer it.
    pub(super) fn expected_load(
        &self,
        ledger: &Ledger,
        endpoints: &Endpoints,
        (service, state): (&str, &BatchState),
        waiting: usize,
    ) -> f64 {
        if self.policy == PlacementPolicy::Slots {
            return 0.0;
        }
        let batch = &state.batch;
        let (mut slots, mut occupied) = (0.0, waiting as f64);
        for (_, endpoint) in endpoints.of_service(service) {
            let assigned = ledger.assignments.get(&endpoint.listing.id) == Some(&batch.model);
            if assigned && may_run(endpoint, state) {
                slots += f64::from(endpoint.listing.slots);
                occupied += f64::from(endpoint.in_flight);
            }
        }
        if slots > 0.0 {
            (occupied / slots).min(1.0)
        } else {
            0.0
        }
    }

    /// Returns the engine with the lowest cost among those that have room and a permit, and whose weights
    /// are new enough for the batch.
    pub(super) fn pick_engine(
        &self,
        ledger: &Ledger,
        endpoints: &Endpoints,
        query: &EngineQuery<'_>,
        reserved: &Reserved,
        now_ms: u64,
    ) -> Pick {
        let median_ms = median_event_ms(endpoints, query.service);
        let mut pick = Pick::default();
        let mut lowest = (f64::INFINITY, f64::INFINITY, None);
        for (key, endpoint) in endpoints.of_service(query.service) {
            if !is_candidate(key, endpoint, query, now_ms) {
                continue;
            }
            let reserved = reserved.get(&key).copied().unwrap_or(0);
            let assigned = ledger.assignments.get(&endpoint.listing.id);
            let load = EngineLoad {
                occupied: endpoint.in_flight + reserved,
                slots: endpoint.listing.slots.max(1),
                assigned: assigned == Some(&query.state.batch.model),
                pace: endpoint.event_ms / median_ms,
            };
            if !endpoint.permits_requests(reserved + 1) || !load.has_free_slot() {
                continue;
            }
            let cost = match self.policy {
                PlacementPolicy::Slots => load.cost(endpoint.in_backoff(now_ms)),
                PlacementPolicy::Room => {
                    let requests = endpoint.load(now_ms) + reserved;
                    if query.checks_memory && !self.has_memory((key, requests), query, now_ms) {
                        pick.lacks_memory = true;
                        continue;
                    }
                    self.expected_ms((key, endpoint), &load, query, now_ms)
                }
            };
            // Among engines of the same cost the emptiest comes first, as it has room for the rest of the
            // group.
            let share = match self.policy {
                PlacementPolicy::Slots => 0.0,
                PlacementPolicy::Room => load.share(),
            };
            let order = cost.total_cmp(&lowest.0).then(share.total_cmp(&lowest.1));
            if order.then(Some(key).cmp(&lowest.2)).is_lt() {
                lowest = (cost, share, Some(key));
                pick.engine = Some((key, cost));
            }
        }
        pick
    }

    /// Returns whether an engine with `requests` requests of all instances has memory for one more run.
    /// Requests other than the runs of this instance are assumed to need as much as these on average.
    /// A run that needs more than the engine has starts if the engine is idle.
    fn has_memory(
        &self,
        (key, requests): (EndpointKey, u32),
        query: &EngineQuery<'_>,
        now_ms: u64,
    ) -> bool {
        let Some(memory) = self.memory(query.service) else {
            return true;
        };
        let Some(in_use) = self.in_use.get(&key) else {
            let needed = query.needs.memory_tokens();
            return requests == 0 || needed.saturating_mul(u64::from(requests) + 1) <= memory;
        };
        let own = u64::try_from(in_use.runs.len()).unwrap_or(u64::MAX).max(1);
        let others = u64::from(requests).saturating_sub(own);
        let peak = in_use.peak_tokens(query.needs, self.ms_per_token, now_ms);
        peak.saturating_add(peak / (own + 1) * others) <= memory
    }

    /// Returns the expected time of a run on an engine in milliseconds: waiting, prefilling what is not
    /// cached, and generating at the engine's speed and load.
    fn expected_ms(
        &self,
        (key, endpoint): (EndpointKey, &Endpoint),
        load: &EngineLoad,
        query: &EngineQuery<'_>,
        now_ms: u64,
    ) -> f64 {
        let wait_ms = match endpoint.in_backoff(now_ms) {
            true => MIN_BACKOFF_WAIT_MS.max((endpoint.backoff_until_ms - now_ms) as f64),
            false => 0.0,
        };
        let prompt = &query.needs.prompt;
        let prefixes = self.prefixes.as_ref();
        let cached_tokens = prefixes.map_or(0, |held| held.cached_tokens(key, endpoint, prompt));
        let prefill_ms = prefill_ms(prompt.tokens.saturating_sub(cached_tokens));
        let token_ms = load.token_ms(query.expected_load);
        wait_ms + prefill_ms + f64::from(query.needs.output_tokens) * token_ms
    }

    /// Returns whether what engines have cached counts in their choice for samples.
    pub(super) fn prefers_prefixes(&self) -> bool {
        self.policy == PlacementPolicy::Room && self.prefixes.is_some()
    }

    /// Returns the parts that an engine has used last and is believed to have cached.
    pub(super) fn recent_parts(
        &self,
        endpoints: &Endpoints,
        key: EndpointKey,
    ) -> Vec<Option<PartKey>> {
        let prefixes = self.prefixes.as_ref();
        let parts = prefixes.map(|held| held.recent_parts(key, endpoints.get(key)));
        parts.into_iter().flatten().map(Some).collect()
    }

    /// Returns whether an engine of the service is believed to have all shared parts of a prompt cached.
    pub(super) fn is_cached(&self, endpoints: &Endpoints, service: &str, prompt: &Prompt) -> bool {
        endpoints.of_service(service).any(|(key, endpoint)| {
            endpoint.accepts_work() && self.uncached_tokens(endpoints, key, prompt) == Some(0)
        })
    }

    /// Returns how many tokens of the shared parts of a prompt an engine has to prefill; `None` if this
    /// does not count or there are no such parts.
    pub(super) fn uncached_tokens(
        &self,
        endpoints: &Endpoints,
        key: EndpointKey,
        prompt: &Prompt,
    ) -> Option<u32> {
        let held = self.prefixes.as_ref().filter(|_| self.prefers_prefixes())?;
        let cached_tokens = held.cached_tokens(key, endpoints.get(key), prompt);
        let is_shared = !prompt.shared_parts.is_empty();
        is_shared.then(|| prompt.shared_tokens().saturating_sub(cached_tokens))
    }

    /// Returns how much of a prompt an endpoint is expected to have cached.
    pub fn expected_prompt(
        &self,
        endpoints: &Endpoints,
        key: EndpointKey,
        prompt: &Prompt,
    ) -> Expectation {
        let endpoint = endpoints.get(key);
        let prefixes = self.prefixes.as_ref();
        let cached_tokens = prefixes.map_or(0, |held| held.cached_tokens(key, endpoint, prompt));
        Expectation {
            cached_tokens,
            prefilled_tokens: prompt.tokens.saturating_sub(cached_tokens),
            ..Expectation::default()
        }
    }

    /// Returns whether an endpoint is as good as the chosen one for a caller's request, and has more of
    /// the prompt cached. What that saves is less than what one more request at the endpoint costs.
    pub fn is_better_cached(
        &self,
        endpoints: &Endpoints,
        key: EndpointKey,
        chosen: EndpointKey,
        prompt: &Prompt,
        now_ms: u64,
    ) -> bool {
        let (other, current) = (endpoints.get(key), endpoints.get(chosen));
        let share = |endpoint: &Endpoint| {
            f64::from(endpoint.load(now_ms)) / f64::from(endpoint.listing.slots.max(1))
        };
        let is_as_good = share(other) <= share(current)
            && other.response_ms <= NORMAL_PACE_FACTOR * current.response_ms.max(1.0)
            && other.listing.failure_domain == current.listing.failure_domain
            && other.in_backoff(now_ms) <= current.in_backoff(now_ms);
        let cached = |key| self.expected_prompt(endpoints, key, prompt).cached_tokens;
        is_as_good && cached(key) > cached(chosen)
    }

    /// Records that a run starts and returns what is expected of it.
    pub(super) fn started(
        &mut self,
        endpoints: &Endpoints,
        (key, cost): (EndpointKey, f64),
        needs: &Arc<Needs>,
        now_ms: u64,
    ) -> Expectation {
        let prompt = &needs.prompt;
        let expected = self.expected_prompt(endpoints, key, prompt);
        self.in_use.entry(key).or_default().add(needs, now_ms);
        self.prompt_used(endpoints, key, prompt);
        Expectation {
            memory_tokens: needs.memory_tokens(),
            time_ms: match self.policy {
                PlacementPolicy::Slots => 0,
                PlacementPolicy::Room => cost as u64,
            },
            ..expected
        }
    }

    /// Records the end of a run and returns when it started.
    pub(super) fn finished(&mut self, key: EndpointKey, needs: &Arc<Needs>) -> Option<u64> {
        let in_use = self.in_use.get_mut(&key)?;
        let started_ms = in_use.remove(needs);
        if in_use.runs.is_empty() {
            self.in_use.remove(&key);
        }
        started_ms
    }

    /// Records that an engine did not run a request with this prompt after all.
    pub(super) fn not_run(&mut self, key: EndpointKey, prompt: &Prompt) {
        if let Some(prefixes) = self.prefixes.as_mut() {
            prefixes.not_run(key, prompt);
        }
    }

    /// Records how long a run took that generated the whole text of a sample.
    pub(super) fn completed(&mut self, needs: &Needs, took_ms: u64) {
        let ms_per_token = took_ms as f64 / f64::from(needs.output_tokens.max(1));
        self.ms_per_token += SMOOTHING * (ms_per_token - self.ms_per_token);
        self.ms_per_token = self.ms_per_token.max(MIN_TOKEN_MS);
    }

    /// Records that an engine runs a request with this prompt.
    pub fn prompt_used(&mut self, endpoints: &Endpoints, key: EndpointKey, prompt: &Prompt) {
        let memory = self.memory_tokens.get(&endpoints.get(key).listing.service);
        let runs = self.in_use.get(&key).map(|in_use| in_use.runs.iter());
        let own_tokens = runs.into_iter().flatten().map(|run| {
            // On average half of the output exists.
            run.needs.own_prompt_tokens() + u64::from(run.needs.reserved_tokens) / 2
        });
        let own_tokens: u64 = own_tokens.sum();
        let left_tokens = memory.map_or(u64::MAX, |memory| memory.saturating_sub(own_tokens));
        if let Some(prefixes) = self.prefixes.as_mut() {
            prefixes.used(endpoints, key, prompt, left_tokens);
        }
    }
}

/// Returns whether an endpoint may run samples of a batch: it takes work, and its weights are new enough.
fn may_run(endpoint: &Endpoint, state: &BatchState) -> bool {
    let batch = &state.batch;
    let version = endpoint.version(&batch.model);
    endpoint.accepts_work() && version.is_some_and(|version| version >= batch.min_version)
}

fn is_candidate(
    key: EndpointKey,
    endpoint: &Endpoint,
    query: &EngineQuery<'_>,
    now_ms: u64,
) -> bool {
    let software = &*endpoint.listing.software;
    Some(key) != query.excluded
        && endpoint.refused_until_ms <= now_ms
        && query.software.is_none_or(|needed| needed == software)
        && may_run(endpoint, query.state)
}

/// The load of an engine, as far as it counts for the choice.
struct EngineLoad {
    occupied: u32,
    slots: u32,
    /// Whether the engine is assigned to the model of the sample.
    assigned: bool,
    /// Time of an event on the engine, relative to the median of the engines.
    pace: f64,
}

impl EngineLoad {
    fn share(&self) -> f64 {
        f64::from(self.occupied) / f64::from(self.slots)
    }

    fn other_model_cost(&self) -> f64 {
        if self.assigned {
            0.0
        } else {
            OTHER_MODEL_COST
        }
    }

    fn cost_without_backoff(&self) -> f64 {
        let slowdown = (self.pace - 1.0).max(0.0);
        let slowness_cost = (SLOWNESS_COST * slowdown).min(MAX_SLOWNESS_COST);
        self.share() + self.other_model_cost() + slowness_cost
    }

    fn has_free_slot(&self) -> bool {
        self.occupied < self.slots && self.cost_without_backoff() < 1.0
    }

    fn cost(&self, in_backoff: bool) -> f64 {
        self.cost_without_backoff() + if in_backoff { BACKOFF_COST } else { 0.0 }
    }

    /// Returns the expected time of a token with one more run, or with as many as the engine is expected
    /// to get, in milliseconds. An engine of another model counts as if it had more runs.
    fn token_ms(&self, expected_load: f64) -> f64 {
        let slots = f64::from(self.slots);
        let expected_runs = (expected_load * slots).ceil();
        let runs = expected_runs.max(f64::from(self.occupied + 1));
        let runs = runs + self.other_model_cost() * slots;
        let slowdown = if self.pace > NORMAL_PACE_FACTOR {
            self.pace
        } else {
            1.0
        };
        TOKEN_MS * slowdown * (1.0 + RUN_SLOWDOWN * runs)
    }
}

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

#[cfg(test)]
mod tests;
