//! State machine of homes, queues, idempotency keys and retries, with endpoints that crash, leave
//! and lose answers.
//!
//! Two instances may both be the home of an endpoint for a short time. The simulated endpoints
//! record which requests ran.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use proptest::prelude::*;
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::oracle::{
    CaseOptions,
    Guarantee,
    PlantedFault, //
};
use crate::{
    dispatch::WorkBody,
    gateway::{
        idempotency::table::{
            CachedAnswer,
            Claim,
            IdempotencyTable,
            Progress,
            ScopedKey, //
        },
        key::remove_key, //
    },
    home::table::{
        Action,
        AdmissionDecision,
        AdmissionRequest,
        EndpointTarget,
        HomeTable,
        Ticket, //
    },
    keys::{
        generate,
        KeyTable, //
    },
    outcome::Outcome,
    routing::{
        fair::Flow,
        retry::{
            Retries,
            RetryDecision, //
        }, //
    },
    view::EndpointKey,
    wire::EndpointStatus, //
};

/// The faults that this state machine can plant, each with the guarantee that it violates.
pub(super) const PLANTED_FAULTS: [(PlantedFault, Guarantee); 8] = [
    (PlantedFault::UnknownIsNotRun, Guarantee::NotRunTrue),
    (PlantedFault::UnknownIsNotRun, Guarantee::AtMostOnce),
    (PlantedFault::AllMayRunTwice, Guarantee::AtMostOnce),
    (PlantedFault::LeavingIsHidden, Guarantee::LeavingDrains),
    (PlantedFault::MoveCutsRunning, Guarantee::ShutdownCutsNone),
    (PlantedFault::CrossedAnswers, Guarantee::WholeAnswer),
    (PlantedFault::KeyIsForwarded, Guarantee::KeyHidden),
    (PlantedFault::KeyByIdAlone, Guarantee::RightOrganisation),
];

const HOME_COUNT: usize = 2;
const ENDPOINT_COUNT: u32 = 3;
/// Maximum number of concurrent requests per endpoint.
const SLOTS_PER_ENDPOINT: u32 = 2;
const ORGANISATIONS: [&str; 3] = ["lodges", "rescue", "reports"];
const REQUEST_TIMEOUT_MS: u64 = 60_000;

/// How a request that was sent to an endpoint ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestEnd {
    /// The endpoint runs the request and its answer arrives.
    Answered,
    /// The endpoint runs the request, but its answer is lost.
    AnswerLost,
    /// The endpoint refuses the request without running it.
    Refused,
}

#[derive(Clone, Debug)]
pub(super) enum Transition {
    /// Advances the time.
    AdvanceTime { duration_ms: u64 },
    /// A caller sends a request, possibly with an idempotency key that was used before.
    SendRequest {
        repeatable: bool,
        key: Option<u8>,
        endpoint: u32,
        organisation: usize,
    },
    /// A request at an endpoint ends.
    EndAttempt { index: usize, end: RequestEnd },
    /// A home reads the status of all endpoints; if `failed`, no endpoint answers.
    ReadStatus { home: usize, failed: bool },
    /// An endpoint crashes and restarts immediately.
    CrashEndpoint { endpoint: u32 },
    /// An endpoint starts to leave, or is replaced by one that is not leaving.
    SetLeaving { endpoint: u32, leaving: bool },
    /// An endpoint is assigned to another home. With `keep_old_home`, the old home is not notified
    /// yet.
    MoveHome {
        endpoint: u32,
        home: usize,
        keep_old_home: bool,
    },
    /// A home stops (`held`) or resumes sending requests to an endpoint.
    HoldEndpoint {
        home: usize,
        endpoint: u32,
        held: bool,
    },
    /// A caller presents the id of one API key, possibly with the secret of another.
    PresentKey { id_of: usize, secret_of: usize },
}

/// Generates random transitions of the traffic state machine.
pub(super) struct TrafficMachine;

impl ReferenceStateMachine for TrafficMachine {
    type State = CaseOptions;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<CaseOptions> {
        Just(CaseOptions::default()).boxed()
    }

    fn transitions(_: &CaseOptions) -> BoxedStrategy<Transition> {
        let endpoint = 0..ENDPOINT_COUNT;
        let home = 0..HOME_COUNT;
        let end = prop_oneof![
            5 => Just(RequestEnd::Answered),
            2 => Just(RequestEnd::AnswerLost),
            1 => Just(RequestEnd::Refused),
        ];
        prop_oneof![
            3 => (1..2_000u64).prop_map(|duration_ms| Transition::AdvanceTime { duration_ms }),
            10 => send_request(),
            9 => (any::<usize>(), end)
                .prop_map(|(index, end)| Transition::EndAttempt { index, end }),
            6 => (home.clone(), prop::bool::weighted(0.1))
                .prop_map(|(home, failed)| Transition::ReadStatus { home, failed }),
            1 => endpoint.clone().prop_map(|endpoint| Transition::CrashEndpoint { endpoint }),
            1 => (endpoint.clone(), any::<bool>())
                .prop_map(|(endpoint, leaving)| Transition::SetLeaving { endpoint, leaving }),
            2 => (endpoint.clone(), home.clone(), any::<bool>())
                .prop_map(|(endpoint, home, keep_old_home)| {
                    Transition::MoveHome { endpoint, home, keep_old_home }
                }),
            1 => (home, endpoint, any::<bool>())
                .prop_map(|(home, endpoint, held)| {
                    Transition::HoldEndpoint { home, endpoint, held }
                }),
            2 => (0..ORGANISATIONS.len(), 0..ORGANISATIONS.len())
                .prop_map(|(id_of, secret_of)| Transition::PresentKey { id_of, secret_of }),
        ]
        .boxed()
    }

    fn apply(state: CaseOptions, _: &Transition) -> CaseOptions {
        state
    }
}

fn send_request() -> impl Strategy<Value = Transition> {
    let key = prop::option::weighted(0.4, 0..6u8);
    let organisation = 0..ORGANISATIONS.len();
    let fields = (any::<bool>(), key, 0..ENDPOINT_COUNT, organisation);
    fields.prop_map(
        |(repeatable, key, endpoint, organisation)| Transition::SendRequest {
            repeatable,
            key,
            endpoint,
            organisation,
        },
    )
}

/// Applies the transitions to a [`World`] and checks its invariants.
pub(super) struct TrafficTest;

impl StateMachineTest for TrafficTest {
    type SystemUnderTest = World;
    type Reference = TrafficMachine;

    fn init_test(options: &CaseOptions) -> World {
        World::new(*options)
    }

    fn apply(mut world: World, _: &CaseOptions, transition: Transition) -> World {
        world.perform(transition);
        world
    }

    fn check_invariants(world: &World, _: &CaseOptions) {
        world.check_tracked_requests();
    }
}

/// A caller's request with all its attempts.
struct Call {
    repeatable: bool,
    key: Option<ScopedKey>,
    fingerprint: u64,
    organisation: usize,
    retries: Retries,
    /// Whether any attempt ended with an unknown outcome.
    may_have_run: bool,
    /// Number of times that endpoints ran the request.
    runs: u32,
    started_ms: u64,
    finished: bool,
}

/// An attempt that runs at an endpoint or waits in the queue of a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    call: usize,
    home: usize,
    endpoint: u32,
    ticket: Ticket,
    /// Whether the home has sent the attempt to the endpoint; false while it is queued.
    sent: bool,
}

/// A simulated endpoint; `boot` changes each time it restarts.
struct Endpoint {
    boot: u64,
    leaving: bool,
}

/// The homes, the endpoints, and all requests and attempts.
pub(super) struct World {
    options: CaseOptions,
    now_ms: u64,
    homes: Vec<HomeTable>,
    endpoints_by_home: Vec<BTreeSet<u32>>,
    /// Pairs of a home and an endpoint that was leaving in the last status that the home read.
    observed_leaving: BTreeSet<(usize, u32)>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    idempotency_keys: IdempotencyTable,
    /// Number of runs of non-repeatable requests, by idempotency key.
    runs_by_key: BTreeMap<u128, u32>,
    key_table: KeyTable,
    api_keys: Vec<Arc<str>>,
    random: ChaCha8Rng,
    next_ticket: u64,
}

impl World {
    fn new(options: CaseOptions) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let mut key_table = KeyTable::default();
        let mut api_keys = Vec::new();
        for organisation in ORGANISATIONS {
            let (key, entry) = generate(organisation.into(), &mut random);
            key_table.grant(entry);
            api_keys.push(key);
        }
        let endpoint = |_| Endpoint {
            boot: 1,
            leaving: false,
        };
        let mut world = Self {
            options,
            now_ms: 0,
            homes: (0..HOME_COUNT).map(|_| HomeTable::default()).collect(),
            endpoints_by_home: vec![(0..ENDPOINT_COUNT).collect(), BTreeSet::new()],
            observed_leaving: BTreeSet::new(),
            endpoints: (0..ENDPOINT_COUNT).map(endpoint).collect(),
            calls: Vec::new(),
            attempts: Vec::new(),
            idempotency_keys: IdempotencyTable::default(),
            runs_by_key: BTreeMap::new(),
            key_table,
            api_keys,
            random,
            next_ticket: 0,
        };
        for home in 0..HOME_COUNT {
            world.sync(home);
            world.read_status(home, false);
        }
        world
    }

    fn perform(&mut self, transition: Transition) {
        match transition {
            Transition::AdvanceTime { duration_ms } => self.now_ms += duration_ms,
            Transition::SendRequest {
                repeatable,
                key,
                endpoint,
                organisation,
            } => self.send_request(repeatable, key, endpoint, organisation),
            Transition::EndAttempt { index, end } => self.end_attempt(index, end),
            Transition::ReadStatus { home, failed } => self.read_status(home, failed),
            Transition::CrashEndpoint { endpoint } => self.crash(endpoint),
            Transition::SetLeaving { endpoint, leaving } => {
                self.endpoints[endpoint as usize].leaving = leaving;
            }
            Transition::MoveHome {
                endpoint,
                home,
                keep_old_home,
            } => self.move_home(endpoint, home, keep_old_home),
            Transition::HoldEndpoint {
                home,
                endpoint,
                held,
            } => {
                let actions = self.homes[home].set_paused(EndpointKey(endpoint), held, self.now_ms);
                self.handle_actions(home, actions);
            }
            Transition::PresentKey { id_of, secret_of } => self.present_key(id_of, secret_of),
        }
    }

    /// Updates the set of endpoints that a home is responsible for.
    fn sync(&mut self, home: usize) {
        let targets = self.endpoints_by_home[home]
            .iter()
            .map(|&endpoint| EndpointTarget {
                key: EndpointKey(endpoint),
                id: format!("e{endpoint}").into(),
                service: "draft".into(),
                address: "127.0.0.1:1".into(),
                slots: SLOTS_PER_ENDPOINT,
            });
        let actions = self.homes[home].sync(targets.collect());
        self.handle_actions(home, actions);
    }

    fn read_status(&mut self, home: usize, failed: bool) {
        for endpoint in 0..ENDPOINT_COUNT {
            let actual = &self.endpoints[endpoint as usize];
            let hides_leaving = self.options.has(PlantedFault::LeavingIsHidden);
            let status = EndpointStatus {
                endpoint: format!("e{endpoint}").into(),
                boot: actual.boot,
                version: 1,
                slots: SLOTS_PER_ENDPOINT,
                leaving_in_ms: (actual.leaving && !hides_leaving).then_some(5_000),
                ..EndpointStatus::default()
            };
            if !failed && actual.leaving {
                self.observed_leaving.insert((home, endpoint));
            } else if !failed {
                self.observed_leaving.remove(&(home, endpoint));
            }
            let key = EndpointKey(endpoint);
            let begun = self.homes[home].begin_read(key);
            let status = (!failed).then_some(status);
            let actions = self.homes[home].status_read(key, begun, status, self.now_ms);
            self.handle_actions(home, actions);
        }
    }

    fn send_request(
        &mut self,
        repeatable: bool,
        key: Option<u8>,
        endpoint: u32,
        organisation: usize,
    ) {
        let key = key.map(|key| ScopedKey(u128::from(key)));
        // In this test, an idempotency key always comes with the same request.
        let call = self.calls.len();
        let fingerprint = key.map_or(call as u64, |key| key.0 as u64 + 1_000_000);
        if let Some(key) = key {
            match self.idempotency_keys.claim(key, fingerprint, self.now_ms) {
                Claim::First => {}
                Claim::Repeated(progress) => return self.answer_repeated(key, progress),
                _ => return,
            }
        }
        self.calls.push(Call {
            repeatable,
            key,
            fingerprint,
            organisation,
            retries: Retries::default(),
            may_have_run: false,
            runs: 0,
            started_ms: self.now_ms,
            finished: false,
        });
        self.check_body(organisation);
        self.submit_attempt(call, endpoint);
    }

    /// Checks that a caller's API key is removed from a plain request that repeats it in a header.
    fn check_body(&self, organisation: usize) {
        let api_key = &self.api_keys[organisation];
        let mut body = WorkBody::Plain {
            method: "POST".into(),
            path: "/lookup".into(),
            headers: vec![
                ("x-copy".into(), api_key.clone()),
                ("x-kept".into(), "yes".into()),
            ],
            body: "km 12".into(),
        };
        if !self.options.has(PlantedFault::KeyIsForwarded)
            && remove_key(&mut body, api_key).is_err()
        {
            return;
        }
        let forwarded_body = format!("{body:?}");
        self.options.check(
            Guarantee::KeyHidden,
            !forwarded_body.contains(&**api_key),
            "an endpoint receives a caller's API key",
        );
    }

    /// Checks that a repeated request receives the stored answer to its own idempotency key.
    fn answer_repeated(&self, key: ScopedKey, progress: Progress) {
        let Progress::Finished(Some(cached_answer)) = progress else {
            return;
        };
        let expected = answer_for(key);
        self.options.check(
            Guarantee::WholeAnswer,
            cached_answer == expected,
            format!("the stored answer of idempotency key {key:?} is {cached_answer:?}"),
        );
    }

    /// Submits an attempt to the home of the endpoint, which runs, queues or refuses it.
    fn submit_attempt(&mut self, call: usize, endpoint: u32) {
        let home = (0..HOME_COUNT).find(|&home| self.endpoints_by_home[home].contains(&endpoint));
        let home = home.unwrap_or(0);
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let flow = Flow {
            rollout: false,
            name: ORGANISATIONS[self.calls[call].organisation].into(),
            weight: 1,
        };
        let admission = AdmissionRequest {
            ticket,
            flow,
            cost_tokens: 100,
            deadline_ms: self.calls[call].started_ms + REQUEST_TIMEOUT_MS,
            oldest_version: 0,
            exclusive: false,
            fingerprint: self.calls[call].fingerprint,
        };
        let attempt = Attempt {
            call,
            home,
            endpoint,
            ticket,
            sent: false,
        };
        match self.homes[home].admit(EndpointKey(endpoint), admission, self.now_ms) {
            AdmissionDecision::Run => {
                self.attempts.push(attempt);
                self.mark_sent(ticket);
            }
            AdmissionDecision::Wait => self.attempts.push(attempt),
            AdmissionDecision::Refuse(not_run) => {
                self.handle_outcome(call, Outcome::NotRun(not_run))
            }
        }
    }

    /// Marks an attempt as sent from its home to the endpoint.
    fn mark_sent(&mut self, ticket: Ticket) {
        let attempt = self
            .attempts
            .iter_mut()
            .find(|attempt| attempt.ticket == ticket);
        let Some(attempt) = attempt else {
            return;
        };
        attempt.sent = true;
        let home_and_endpoint = (attempt.home, attempt.endpoint);
        self.options.check(
            Guarantee::LeavingDrains,
            !self.observed_leaving.contains(&home_and_endpoint),
            format!(
                "endpoint {} received a request after its home knew that it was leaving",
                home_and_endpoint.1
            ),
        );
    }

    fn handle_actions(&mut self, home: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(ticket) => self.mark_sent(ticket),
                Action::Refuse(ticket, not_run) => {
                    let Some(attempt) = self.remove_attempt(ticket) else {
                        continue;
                    };
                    self.options.check(
                        Guarantee::NotRunTrue,
                        !attempt.sent,
                        format!("{ticket:?} was refused although it had been sent to an endpoint"),
                    );
                    self.handle_outcome(attempt.call, Outcome::NotRun(not_run));
                }
                Action::Crashed { .. } => {}
            }
        }
        let _ = home;
    }

    fn remove_attempt(&mut self, ticket: Ticket) -> Option<Attempt> {
        let index = self
            .attempts
            .iter()
            .position(|attempt| attempt.ticket == ticket)?;
        Some(self.attempts.swap_remove(index))
    }

    /// Ends one of the attempts that were sent to an endpoint.
    fn end_attempt(&mut self, index: usize, end: RequestEnd) {
        let sent: Vec<Attempt> = self
            .attempts
            .iter()
            .copied()
            .filter(|attempt| attempt.sent)
            .collect();
        if sent.is_empty() {
            return;
        }
        let attempt = sent[index % sent.len()];
        self.remove_attempt(attempt.ticket);
        if !matches!(end, RequestEnd::Refused) {
            self.record_run(attempt.call);
        }
        let key = EndpointKey(attempt.endpoint);
        let actions = self.homes[attempt.home].release(key, attempt.ticket, None, self.now_ms);
        self.handle_actions(attempt.home, actions);
        let outcome = match end {
            RequestEnd::Answered => Outcome::Ran(()),
            RequestEnd::AnswerLost if self.options.has(PlantedFault::UnknownIsNotRun) => {
                not_run_outcome()
            }
            RequestEnd::AnswerLost => Outcome::Unknown("lost".into()),
            RequestEnd::Refused => not_run_outcome(),
        };
        self.handle_outcome(attempt.call, outcome);
    }

    /// Records that an endpoint ran a request.
    fn record_run(&mut self, call: usize) {
        let call = &mut self.calls[call];
        call.runs += 1;
        self.options.check(
            Guarantee::AtMostOnce,
            call.repeatable || call.runs <= 1,
            format!("a non-repeatable request ran {} times", call.runs),
        );
        if let Some(key) = call.key.filter(|_| !call.repeatable) {
            let runs = self.runs_by_key.entry(key.0).or_default();
            *runs += 1;
            let runs = *runs;
            self.options.check(
                Guarantee::AtMostOnce,
                runs <= 1,
                format!("{runs} non-repeatable requests with idempotency key {key:?} ran"),
            );
        }
    }

    /// Handles the end of an attempt: retries the request or answers the caller.
    fn handle_outcome(&mut self, index: usize, outcome: Outcome<()>) {
        let remaining_ms =
            REQUEST_TIMEOUT_MS.saturating_sub(self.now_ms - self.calls[index].started_ms);
        let all_repeatable = self.options.has(PlantedFault::AllMayRunTwice);
        let call = &mut self.calls[index];
        call.may_have_run |= matches!(outcome, Outcome::Unknown(_));
        let repeatable = call.repeatable || all_repeatable;
        let decision = call
            .retries
            .decide(&outcome, repeatable, remaining_ms, &mut self.random);
        if matches!(decision, RetryDecision::Retry { .. }) {
            let endpoint = (index as u32 + self.calls[index].runs) % ENDPOINT_COUNT;
            return self.submit_attempt(index, endpoint);
        }
        self.answer_caller(index, &outcome);
    }

    /// Ends a request and stores its outcome under its idempotency key.
    fn answer_caller(&mut self, index: usize, outcome: &Outcome<()>) {
        let call = &mut self.calls[index];
        call.finished = true;
        let says_not_run = matches!(outcome, Outcome::NotRun(_)) && !call.may_have_run;
        let runs = call.runs;
        self.options.check(
            Guarantee::NotRunTrue,
            !says_not_run || runs == 0,
            format!("a request was refused as \"not run\" but ran {runs} times"),
        );
        let Some(key) = self.calls[index].key else {
            return;
        };
        match outcome {
            Outcome::Ran(()) => {
                let is_crossed = self.options.has(PlantedFault::CrossedAnswers);
                let answer_key = if is_crossed {
                    ScopedKey(key.0 + 1)
                } else {
                    key
                };
                let progress = Progress::Finished(Some(answer_for(answer_key)));
                self.idempotency_keys.finish(key, progress);
            }
            Outcome::NotRun(_) if says_not_run => self.idempotency_keys.release(key),
            _ => self.idempotency_keys.finish(key, Progress::Unknown),
        }
    }

    /// Crashes an endpoint. Its running requests have run, but their answers are lost.
    fn crash(&mut self, endpoint: u32) {
        self.endpoints[endpoint as usize].boot += 1;
        let matches_endpoint = |attempt: &&Attempt| attempt.sent && attempt.endpoint == endpoint;
        let running: Vec<Attempt> = self
            .attempts
            .iter()
            .filter(matches_endpoint)
            .copied()
            .collect();
        for attempt in running {
            self.remove_attempt(attempt.ticket);
            self.record_run(attempt.call);
            let key = EndpointKey(endpoint);
            self.homes[attempt.home].connection_broke(key, attempt.ticket);
            let actions = self.homes[attempt.home].release(key, attempt.ticket, None, self.now_ms);
            self.handle_actions(attempt.home, actions);
            self.handle_outcome(attempt.call, Outcome::Unknown("crashed".into()));
        }
    }

    /// Assigns an endpoint to another home. Running requests must stay with the old home.
    fn move_home(&mut self, endpoint: u32, home: usize, keep_old_home: bool) {
        for other in 0..HOME_COUNT {
            if other != home && !keep_old_home {
                self.endpoints_by_home[other].remove(&endpoint);
            }
        }
        self.endpoints_by_home[home].insert(endpoint);
        for home in 0..HOME_COUNT {
            self.sync(home);
        }
        if self.options.has(PlantedFault::MoveCutsRunning) {
            let has_moved = |attempt: &Attempt| {
                !self.endpoints_by_home[attempt.home].contains(&attempt.endpoint)
            };
            let moved: Vec<Attempt> = self.attempts.iter().copied().filter(has_moved).collect();
            for attempt in moved {
                let key = EndpointKey(attempt.endpoint);
                self.homes[attempt.home].release(key, attempt.ticket, None, self.now_ms);
            }
        }
    }

    /// Checks that only an API key whose id and secret belong together is accepted.
    fn present_key(&self, id_of: usize, secret_of: usize) {
        let (id, _) = self.api_keys[id_of]
            .split_once('.')
            .expect("an API key consists of an id and a secret");
        let (_, secret) = self.api_keys[secret_of]
            .split_once('.')
            .expect("an API key consists of an id and a secret");
        let presented = format!("{id}.{secret}");
        let accepted_entry = if self.options.has(PlantedFault::KeyByIdAlone) {
            self.key_table.iter().find(|entry| *entry.key_id == *id)
        } else {
            self.key_table.authenticate(&presented)
        };
        let organisation = accepted_entry.map(|entry| &*entry.organisation);
        let expected = (id_of == secret_of).then_some(ORGANISATIONS[id_of]);
        self.options.check(
            Guarantee::RightOrganisation,
            organisation == expected,
            format!("the presented API key was accepted for organisation {organisation:?}"),
        );
    }

    /// Checks that each home tracks exactly the open requests of its endpoints, even if an endpoint
    /// moves or leaves.
    fn check_tracked_requests(&self) {
        for home in 0..HOME_COUNT {
            for endpoint in 0..ENDPOINT_COUNT {
                let matches_endpoint =
                    |attempt: &&Attempt| attempt.home == home && attempt.endpoint == endpoint;
                let tracked = self.homes[home].requests(EndpointKey(endpoint)) as usize;
                let open = self.attempts.iter().filter(matches_endpoint).count();
                self.options.check(
                    Guarantee::ShutdownCutsNone,
                    tracked == open,
                    format!(
                        "home {home} tracks {tracked} of {open} open requests at endpoint {endpoint}"
                    ),
                );
            }
        }
    }
}

fn not_run_outcome() -> Outcome<()> {
    let refusal = crate::outcome::Refusal::Unreachable("refused".into());
    Outcome::NotRun(crate::outcome::NotRun::retry_after(refusal, 0))
}

/// Returns the answer of an endpoint to the request with this idempotency key.
fn answer_for(key: ScopedKey) -> CachedAnswer {
    CachedAnswer {
        status: 200,
        headers: Vec::new(),
        body: format!("answer {}", key.0).into(),
    }
}
