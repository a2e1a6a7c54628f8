//! Homes, queues, idempotency keys and retries over endpoints that crash, leave and lose answers.
//!
//! Two instances may both be home of an endpoint for a moment. The endpoints here keep the truth
//! of what ran.

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
    Plant,
    Promise,
    Setting, //
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
        AdmissionRequest,
        EndpointTarget,
        HomeTable,
        Ticket,
        Verdict, //
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

/// The faults that this machine can plant.
pub(super) const PLANTS: [(Plant, Promise); 8] = [
    (Plant::UnknownIsNotRun, Promise::NotRunTrue),
    (Plant::UnknownIsNotRun, Promise::AtMostOnce),
    (Plant::AllMayRunTwice, Promise::AtMostOnce),
    (Plant::LeavingIsHidden, Promise::LeavingDrains),
    (Plant::MoveCutsRunning, Promise::ShutdownCutsNone),
    (Plant::CrossedAnswers, Promise::WholeAnswer),
    (Plant::KeyIsForwarded, Promise::KeyHidden),
    (Plant::KeyByIdAlone, Promise::RightOrganisation),
];

const HOMES: usize = 2;
const ENDPOINTS: u32 = 3;
const SLOTS: u32 = 2;
const ORGANISATIONS: [&str; 3] = ["lodges", "rescue", "reports"];
const BUDGET_MS: u64 = 60_000;

/// What becomes of a request that an endpoint was given.
#[derive(Clone, Copy, Debug)]
pub(super) enum End {
    /// It runs and its answer comes.
    Answered,
    /// It runs and its answer is lost.
    Lost,
    /// The endpoint refuses it before running it.
    Refused,
}

#[derive(Clone, Debug)]
pub(super) enum Transition {
    /// Time passes.
    Pass { length_ms: u64 },
    /// A caller sends a request, perhaps with an idempotency key used before.
    Send {
        repeatable: bool,
        key: Option<u8>,
        endpoint: u32,
        organisation: usize,
    },
    /// A request that an endpoint has comes to its end.
    End { index: usize, end: End },
    /// A home reads the status of its endpoints.
    Status { home: usize, failed: bool },
    /// An endpoint crashes and is back at once.
    Crash { endpoint: u32 },
    /// An endpoint learns that it goes, or a new one takes its place.
    Leave { endpoint: u32, leaving: bool },
    /// An endpoint gets another home, and the old one hears of it now or later.
    Move {
        endpoint: u32,
        home: usize,
        both: bool,
    },
    /// A home stops or resumes new work for an endpoint.
    Hold {
        home: usize,
        endpoint: u32,
        held: bool,
    },
    /// A key is shown, perhaps with the secret of another.
    Show { id_of: usize, secret_of: usize },
}

pub(super) struct TrafficMachine;

impl ReferenceStateMachine for TrafficMachine {
    type State = Setting;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Setting> {
        Just(Setting::default()).boxed()
    }

    fn transitions(_: &Setting) -> BoxedStrategy<Transition> {
        let endpoint = 0..ENDPOINTS;
        let home = 0..HOMES;
        let end = prop_oneof![
            5 => Just(End::Answered),
            2 => Just(End::Lost),
            1 => Just(End::Refused),
        ];
        prop_oneof![
            3 => (1..2_000u64).prop_map(|length_ms| Transition::Pass { length_ms }),
            10 => send(),
            9 => (any::<usize>(), end).prop_map(|(index, end)| Transition::End { index, end }),
            6 => (home.clone(), prop::bool::weighted(0.1))
                .prop_map(|(home, failed)| Transition::Status { home, failed }),
            1 => endpoint.clone().prop_map(|endpoint| Transition::Crash { endpoint }),
            1 => (endpoint.clone(), any::<bool>())
                .prop_map(|(endpoint, leaving)| Transition::Leave { endpoint, leaving }),
            2 => (endpoint.clone(), home.clone(), any::<bool>())
                .prop_map(|(endpoint, home, both)| Transition::Move { endpoint, home, both }),
            1 => (home, endpoint, any::<bool>())
                .prop_map(|(home, endpoint, held)| Transition::Hold { home, endpoint, held }),
            2 => (0..ORGANISATIONS.len(), 0..ORGANISATIONS.len())
                .prop_map(|(id_of, secret_of)| Transition::Show { id_of, secret_of }),
        ]
        .boxed()
    }

    fn apply(state: Setting, _: &Transition) -> Setting {
        state
    }
}

fn send() -> impl Strategy<Value = Transition> {
    let key = prop::option::weighted(0.4, 0..6u8);
    let organisation = 0..ORGANISATIONS.len();
    let parts = (any::<bool>(), key, 0..ENDPOINTS, organisation);
    parts.prop_map(
        |(repeatable, key, endpoint, organisation)| Transition::Send {
            repeatable,
            key,
            endpoint,
            organisation,
        },
    )
}

pub(super) struct TrafficTest;

impl StateMachineTest for TrafficTest {
    type SystemUnderTest = World;
    type Reference = TrafficMachine;

    fn init_test(setting: &Setting) -> World {
        World::new(*setting)
    }

    fn apply(mut world: World, _: &Setting, transition: Transition) -> World {
        world.take(transition);
        world
    }

    fn check_invariants(world: &World, _: &Setting) {
        world.check_running();
    }
}

/// One request of a caller, over all its tries.
struct Call {
    repeatable: bool,
    key: Option<ScopedKey>,
    fingerprint: u64,
    organisation: usize,
    retries: Retries,
    may_have_run: bool,
    /// How often endpoints ran it.
    runs: u32,
    started_ms: u64,
    over: bool,
}

/// A try that an endpoint runs or that waits at a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Try {
    call: usize,
    home: usize,
    endpoint: u32,
    ticket: Ticket,
    given: bool,
}

struct Endpoint {
    boot: u64,
    leaving: bool,
}

pub(super) struct World {
    setting: Setting,
    now_ms: u64,
    homes: Vec<HomeTable>,
    at_home: Vec<BTreeSet<u32>>,
    /// Endpoints that a home has seen leaving in its last status.
    seen_leaving: BTreeSet<(usize, u32)>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    tries: Vec<Try>,
    memory: IdempotencyTable,
    /// Runs under one idempotency key, by key.
    runs_by_key: BTreeMap<u128, u32>,
    keys: KeyTable,
    shown: Vec<Arc<str>>,
    random: ChaCha8Rng,
    next_ticket: u64,
}

impl World {
    fn new(setting: Setting) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let mut keys = KeyTable::default();
        let mut shown = Vec::new();
        for organisation in ORGANISATIONS {
            let (key, entry) = generate(organisation.into(), &mut random);
            keys.grant(entry);
            shown.push(key);
        }
        let endpoint = |_| Endpoint {
            boot: 1,
            leaving: false,
        };
        let mut world = Self {
            setting,
            now_ms: 0,
            homes: (0..HOMES).map(|_| HomeTable::default()).collect(),
            at_home: vec![(0..ENDPOINTS).collect(), BTreeSet::new()],
            seen_leaving: BTreeSet::new(),
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
            calls: Vec::new(),
            tries: Vec::new(),
            memory: IdempotencyTable::default(),
            runs_by_key: BTreeMap::new(),
            keys,
            shown,
            random,
            next_ticket: 0,
        };
        for home in 0..HOMES {
            world.sync(home);
            world.status(home, false);
        }
        world
    }

    fn take(&mut self, transition: Transition) {
        match transition {
            Transition::Pass { length_ms } => self.now_ms += length_ms,
            Transition::Send {
                repeatable,
                key,
                endpoint,
                organisation,
            } => self.send(repeatable, key, endpoint, organisation),
            Transition::End { index, end } => self.end(index, end),
            Transition::Status { home, failed } => self.status(home, failed),
            Transition::Crash { endpoint } => self.crash(endpoint),
            Transition::Leave { endpoint, leaving } => {
                self.endpoints[endpoint as usize].leaving = leaving;
            }
            Transition::Move {
                endpoint,
                home,
                both,
            } => self.move_home(endpoint, home, both),
            Transition::Hold {
                home,
                endpoint,
                held,
            } => {
                let actions = self.homes[home].hold(EndpointKey(endpoint), held, self.now_ms);
                self.act(home, actions);
            }
            Transition::Show { id_of, secret_of } => self.show(id_of, secret_of),
        }
    }

    fn sync(&mut self, home: usize) {
        let targets = self.at_home[home].iter().map(|&endpoint| EndpointTarget {
            key: EndpointKey(endpoint),
            id: format!("e{endpoint}").into(),
            service: "draft".into(),
            address: "127.0.0.1:1".into(),
            slots: SLOTS,
        });
        let actions = self.homes[home].sync(targets.collect());
        self.act(home, actions);
    }

    fn status(&mut self, home: usize, failed: bool) {
        for endpoint in 0..ENDPOINTS {
            let truth = &self.endpoints[endpoint as usize];
            let hidden = self.setting.has(Plant::LeavingIsHidden);
            let status = EndpointStatus {
                endpoint: format!("e{endpoint}").into(),
                boot: truth.boot,
                version: 1,
                slots: SLOTS,
                leaving_in_ms: (truth.leaving && !hidden).then_some(5_000),
                ..EndpointStatus::default()
            };
            if !failed && truth.leaving {
                self.seen_leaving.insert((home, endpoint));
            } else if !failed {
                self.seen_leaving.remove(&(home, endpoint));
            }
            let key = EndpointKey(endpoint);
            let asked = self.homes[home].epoch(key);
            let status = (!failed).then_some(status);
            let actions = self.homes[home].status_read(key, asked, status, self.now_ms);
            self.act(home, actions);
        }
    }

    fn send(&mut self, repeatable: bool, key: Option<u8>, endpoint: u32, organisation: usize) {
        let key = key.map(|key| ScopedKey(u128::from(key)));
        // The same key always comes with the same request here.
        let call = self.calls.len();
        let fingerprint = key.map_or(call as u64, |key| key.0 as u64 + 1_000_000);
        if let Some(key) = key {
            match self.memory.claim(key, fingerprint, self.now_ms) {
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
            over: false,
        });
        self.check_body(organisation);
        self.offer(call, endpoint);
    }

    /// What reaches an endpoint of a plain call whose caller repeats its key in a header.
    fn check_body(&self, organisation: usize) {
        let shown = &self.shown[organisation];
        let mut body = WorkBody::Plain {
            method: "POST".into(),
            path: "/lookup".into(),
            headers: vec![
                ("x-copy".into(), shown.clone()),
                ("x-kept".into(), "yes".into()),
            ],
            body: "km 12".into(),
        };
        if !self.setting.has(Plant::KeyIsForwarded) && remove_key(&mut body, shown).is_err() {
            return;
        }
        let seen = format!("{body:?}");
        self.setting.check(
            Promise::KeyHidden,
            !seen.contains(&**shown),
            "an endpoint sees a caller's key",
        );
    }

    fn answer_repeated(&self, key: ScopedKey, progress: Progress) {
        let Progress::Finished(Some(kept)) = progress else {
            return;
        };
        let expected = answer_of(key);
        self.setting.check(
            Promise::WholeAnswer,
            kept == expected,
            format!("the answer of key {key:?} is {kept:?}"),
        );
    }

    fn offer(&mut self, call: usize, endpoint: u32) {
        let home = (0..HOMES).find(|&home| self.at_home[home].contains(&endpoint));
        let home = home.unwrap_or(0);
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let flow = Flow {
            rollout: false,
            name: ORGANISATIONS[self.calls[call].organisation].into(),
            weight: 1,
        };
        let offer = AdmissionRequest {
            ticket,
            flow,
            cost_tokens: 100,
            deadline_ms: self.calls[call].started_ms + BUDGET_MS,
            oldest_version: 0,
            exclusive: false,
            fingerprint: self.calls[call].fingerprint,
        };
        let tried = Try {
            call,
            home,
            endpoint,
            ticket,
            given: false,
        };
        match self.homes[home].admit(EndpointKey(endpoint), offer, self.now_ms) {
            Verdict::Run => {
                self.tries.push(tried);
                self.give(ticket);
            }
            Verdict::Wait => self.tries.push(tried),
            Verdict::Refuse(not_run) => self.ended(call, Outcome::NotRun(not_run)),
        }
    }

    /// A home gives a request to its endpoint.
    fn give(&mut self, ticket: Ticket) {
        let tried = self.tries.iter_mut().find(|tried| tried.ticket == ticket);
        let Some(tried) = tried else {
            return;
        };
        tried.given = true;
        let place = (tried.home, tried.endpoint);
        self.setting.check(
            Promise::LeavingDrains,
            !self.seen_leaving.contains(&place),
            format!(
                "endpoint {} got work after its home saw that it leaves",
                place.1
            ),
        );
    }

    fn act(&mut self, home: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(ticket) => self.give(ticket),
                Action::Refuse(ticket, not_run) => {
                    let Some(tried) = self.drop_try(ticket) else {
                        continue;
                    };
                    self.setting.check(
                        Promise::NotRunTrue,
                        !tried.given,
                        format!("{ticket:?} was refused while an endpoint had it"),
                    );
                    self.ended(tried.call, Outcome::NotRun(not_run));
                }
                Action::Crashed { .. } => {}
            }
        }
        let _ = home;
    }

    fn drop_try(&mut self, ticket: Ticket) -> Option<Try> {
        let index = self.tries.iter().position(|tried| tried.ticket == ticket)?;
        Some(self.tries.swap_remove(index))
    }

    fn end(&mut self, index: usize, end: End) {
        let given: Vec<Try> = self
            .tries
            .iter()
            .copied()
            .filter(|tried| tried.given)
            .collect();
        if given.is_empty() {
            return;
        }
        let tried = given[index % given.len()];
        self.drop_try(tried.ticket);
        if !matches!(end, End::Refused) {
            self.ran(tried.call);
        }
        let key = EndpointKey(tried.endpoint);
        let actions = self.homes[tried.home].release(key, tried.ticket, None, self.now_ms);
        self.act(tried.home, actions);
        let outcome = match end {
            End::Answered => Outcome::Ran(()),
            End::Lost if self.setting.has(Plant::UnknownIsNotRun) => refused(),
            End::Lost => Outcome::Unknown("lost".into()),
            End::Refused => refused(),
        };
        self.ended(tried.call, outcome);
    }

    /// An endpoint ran a request.
    fn ran(&mut self, call: usize) {
        let call = &mut self.calls[call];
        call.runs += 1;
        self.setting.check(
            Promise::AtMostOnce,
            call.repeatable || call.runs <= 1,
            format!("a request ran {} times", call.runs),
        );
        if let Some(key) = call.key.filter(|_| !call.repeatable) {
            let runs = self.runs_by_key.entry(key.0).or_default();
            *runs += 1;
            let runs = *runs;
            self.setting.check(
                Promise::AtMostOnce,
                runs <= 1,
                format!("{runs} requests of idempotency key {key:?} ran"),
            );
        }
    }

    /// A try ended: another follows, or the caller is told.
    fn ended(&mut self, index: usize, outcome: Outcome<()>) {
        let left_ms = BUDGET_MS.saturating_sub(self.now_ms - self.calls[index].started_ms);
        let twice = self.setting.has(Plant::AllMayRunTwice);
        let call = &mut self.calls[index];
        call.may_have_run |= matches!(outcome, Outcome::Unknown(_));
        let repeatable = call.repeatable || twice;
        let next = call
            .retries
            .decide(&outcome, repeatable, left_ms, &mut self.random);
        if matches!(next, RetryDecision::Retry { .. }) {
            let endpoint = (index as u32 + self.calls[index].runs) % ENDPOINTS;
            return self.offer(index, endpoint);
        }
        self.tell(index, &outcome);
    }

    fn tell(&mut self, index: usize, outcome: &Outcome<()>) {
        let call = &mut self.calls[index];
        call.over = true;
        let says_not_run = matches!(outcome, Outcome::NotRun(_)) && !call.may_have_run;
        let runs = call.runs;
        self.setting.check(
            Promise::NotRunTrue,
            !says_not_run || runs == 0,
            format!("\"not run\" was said of a request that ran {runs} times"),
        );
        let Some(key) = self.calls[index].key else {
            return;
        };
        match outcome {
            Outcome::Ran(()) => {
                let crossed = self.setting.has(Plant::CrossedAnswers);
                let of = if crossed { ScopedKey(key.0 + 1) } else { key };
                let kept = Progress::Finished(Some(answer_of(of)));
                self.memory.finish(key, kept);
            }
            Outcome::NotRun(_) if says_not_run => self.memory.release(key),
            _ => self.memory.finish(key, Progress::Unknown),
        }
    }

    /// All that the endpoint ran is lost to its callers.
    fn crash(&mut self, endpoint: u32) {
        self.endpoints[endpoint as usize].boot += 1;
        let here = |tried: &&Try| tried.given && tried.endpoint == endpoint;
        let running: Vec<Try> = self.tries.iter().filter(here).copied().collect();
        for tried in running {
            self.drop_try(tried.ticket);
            self.ran(tried.call);
            let key = EndpointKey(endpoint);
            self.homes[tried.home].connection_broke(key, tried.ticket);
            let actions = self.homes[tried.home].release(key, tried.ticket, None, self.now_ms);
            self.act(tried.home, actions);
            self.ended(tried.call, Outcome::Unknown("crashed".into()));
        }
    }

    fn move_home(&mut self, endpoint: u32, home: usize, both: bool) {
        for other in 0..HOMES {
            if other != home && !both {
                self.at_home[other].remove(&endpoint);
            }
        }
        self.at_home[home].insert(endpoint);
        for home in 0..HOMES {
            self.sync(home);
        }
        if self.setting.has(Plant::MoveCutsRunning) {
            let gone = |tried: &Try| !self.at_home[tried.home].contains(&tried.endpoint);
            let cut: Vec<Try> = self.tries.iter().copied().filter(gone).collect();
            for tried in cut {
                let key = EndpointKey(tried.endpoint);
                self.homes[tried.home].release(key, tried.ticket, None, self.now_ms);
            }
        }
    }

    fn show(&self, id_of: usize, secret_of: usize) {
        let (id, _) = self.shown[id_of]
            .split_once('.')
            .expect("keys have two parts");
        let (_, secret) = self.shown[secret_of]
            .split_once('.')
            .expect("keys have two parts");
        let shown = format!("{id}.{secret}");
        let found = if self.setting.has(Plant::KeyByIdAlone) {
            self.keys.iter().find(|entry| *entry.key_id == *id)
        } else {
            self.keys.authenticate(&shown)
        };
        let organisation = found.map(|entry| &*entry.organisation);
        let expected = (id_of == secret_of).then_some(ORGANISATIONS[id_of]);
        self.setting.check(
            Promise::RightOrganisation,
            organisation == expected,
            format!("a key with another's secret is {organisation:?}'s"),
        );
    }

    /// Whatever moves or goes, a home knows the requests that its endpoints have, until they end.
    fn check_running(&self) {
        for home in 0..HOMES {
            for endpoint in 0..ENDPOINTS {
                let here = |tried: &&Try| tried.home == home && tried.endpoint == endpoint;
                let known = self.homes[home].requests(EndpointKey(endpoint)) as usize;
                let open = self.tries.iter().filter(here).count();
                self.setting.check(
                    Promise::ShutdownCutsNone,
                    known == open,
                    format!("home {home} knows {known} of {open} requests at {endpoint}"),
                );
            }
        }
    }
}

fn refused() -> Outcome<()> {
    let refusal = crate::outcome::Refusal::Unreachable("refused".into());
    Outcome::NotRun(crate::outcome::NotRun::retry_after(refusal, 0))
}

/// The answer that an endpoint gives to the request of a key.
fn answer_of(key: ScopedKey) -> CachedAnswer {
    CachedAnswer {
        status: 200,
        headers: Vec::new(),
        body: format!("answer {}", key.0).into(),
    }
}
