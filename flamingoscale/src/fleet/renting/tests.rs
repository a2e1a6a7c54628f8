//! Plays a service with batches against a platform that rents endpoints, and checks what is ordered.

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::fleet::{
    configuration::Engines,
    fixtures::{
        heartbeat,
        listing, //
    },
    record::{
        BatchSummary,
        Milestone,
        Record, //
    },
    renting::demand::Demand, //
};

const TICK_MS: u64 = 500;
const BATCH_INTERVAL_MS: u64 = 4_000;
/// Tokens of a batch as large as nine endpoints can do until the next one arrives.
const FULL: f64 = 36_000.0;
/// The trainer ends the oldest of more batches than this: none may run for longer than 40 s.
const MAX_OPEN_BATCHES: usize = 10;
const START_UNIX_MS: u64 = 1_000_000;

/// What the platform does with an order.
#[derive(Clone, Copy)]
enum Answer {
    Accept,
    /// No answer, and the order is carried out after this time.
    Late(u64),
    NotSent,
}

struct Game {
    now_ms: u64,
    offset: u64,
    term: u64,
    renting: Renting,
    endpoints: Endpoints,
    ledger: Ledger,
    service: Service,
    evacuated: BTreeSet<Arc<str>>,
    /// Share of the full load of nine endpoints.
    load: f64,
    /// Tokens left of each unfinished batch.
    batches: VecDeque<(Arc<str>, f64)>,
    answer: Answer,
    /// Failure domains that have no endpoints to rent.
    sold_out: Vec<&'static str>,
    /// Endpoints that start later: when, and whether they are spot endpoints, by failure domain.
    starting: Vec<(u64, Arc<str>, Kind)>,
    late: Vec<(u64, Order)>,
    orders: Vec<(u64, Order)>,
    faults: Vec<Fault>,
}

impl Game {
    /// Three endpoints in each of three failure domains; `a` is the cheapest.
    fn new(load: f64) -> Self {
        let prices = [("a", 1.0), ("b", 2.0), ("c", 3.0)];
        let mut game = Self {
            now_ms: 10_000,
            offset: 0,
            term: 1,
            renting: Renting::default(),
            endpoints: Endpoints::default(),
            ledger: Ledger::default(),
            service: Service {
                name: "drafting".into(),
                engines: Some(Engines {
                    models: vec!["notes".into()],
                    ..Engines::default()
                }),
                scaling: Some(Scaling {
                    min: 0,
                    max: 6,
                    boot_ms: 4_000,
                    spot_price: 0.18,
                    domain_prices: prices.map(|(domain, price)| (domain.into(), price)).into(),
                }),
                ..Service::default()
            },
            evacuated: BTreeSet::new(),
            load,
            batches: VecDeque::new(),
            answer: Answer::Accept,
            sold_out: Vec::new(),
            starting: Vec::new(),
            late: Vec::new(),
            orders: Vec::new(),
            faults: Vec::new(),
        };
        for (domain, _) in prices {
            (0..3).for_each(|_| game.start_endpoint(domain, Kind::Regular));
        }
        game
    }

    fn scaling(&mut self) -> &mut Scaling {
        self.service.scaling.as_mut().unwrap()
    }

    fn apply(&mut self, record: Record) {
        self.ledger.apply(self.offset, record, self.now_ms);
        self.offset += 1;
    }

    fn start_endpoint(&mut self, domain: &str, kind: Kind) {
        self.offset += 1;
        let mut listing = listing(&format!("i-{}", self.offset), domain, 1);
        listing.spot = kind == Kind::Spot;
        self.endpoints.update(listing);
    }

    fn ids(&self, domain: &str, kind: Kind) -> Vec<Arc<str>> {
        let mut ids: Vec<_> = (self.endpoints.listed())
            .filter(|(_, endpoint)| *endpoint.listing.failure_domain == *domain)
            .filter(|(_, endpoint)| endpoint.listing.spot == (kind == Kind::Spot))
            .map(|(_, endpoint)| endpoint.listing.id.clone())
            .collect();
        ids.sort();
        ids
    }

    fn lose(&mut self, domain: &str, kind: Kind, count: usize) {
        for id in self.ids(domain, kind).into_iter().take(count) {
            self.endpoints.remove(&id);
        }
    }

    fn carry_out(&mut self, order: &Order) {
        let (domain, kind) = (order.subject.failure_domain.clone(), order.order.kind);
        let is_same = |start: &&(u64, Arc<str>, Kind)| start.1 == domain && start.2 == kind;
        let starting = self.starting.iter().filter(is_same).count();
        let listed = self.ids(&domain, kind).len();
        let count = order.order.count as usize;
        self.lose(&domain, kind, listed.saturating_sub(count));
        let at_ms = self.now_ms + 4_000;
        for _ in (listed + starting)..count {
            self.starting.push((at_ms, domain.clone(), kind));
        }
    }

    /// Lets the endpoints work and submits batches.
    fn work(&mut self) {
        let mut tokens = self.endpoints.ids().len() as f64 * 1_000.0 * TICK_MS as f64 / 1_000.0;
        while let Some((id, left)) = self.batches.front_mut() {
            let batch = id.clone();
            let done = left.min(tokens);
            *left -= done;
            tokens -= done;
            let milestone = match *left {
                left if left <= 0.0 => Milestone::Finished,
                left if left <= FULL * self.load / 2.0 => Milestone::HalfFinished,
                _ => break,
            };
            self.apply(Record::BatchMilestone { batch, milestone });
            if milestone == Milestone::HalfFinished {
                break;
            }
            self.batches.pop_front();
        }
        if self.batches.len() > MAX_OPEN_BATCHES {
            let abandoned = self.batches.pop_front();
            abandoned
                .into_iter()
                .for_each(|(batch, _)| self.apply(Record::BatchEnded { batch }));
        }
        if self.now_ms % BATCH_INTERVAL_MS == 0 {
            let id: Arc<str> = format!("batch-{}", self.now_ms).into();
            let tokens = FULL * self.load;
            self.batches.push_back((id.clone(), tokens));
            self.apply(Record::BatchRegistered(BatchSummary {
                id,
                organisation: "lodges".into(),
                model: "notes".into(),
                step: self.now_ms,
                min_version: 0,
                submitted_unix_ms: START_UNIX_MS + self.now_ms,
                samples: 200,
                expected_tokens: tokens as u64,
            }));
        }
    }

    fn platform(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.starting)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.starting = later;
        let due: Vec<(u64, Arc<str>, Kind)> = due;
        due.iter()
            .for_each(|(_, domain, kind)| self.start_endpoint(domain, *kind));
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.late = later;
        due.iter().for_each(|(_, order)| self.carry_out(order));
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.platform();
        self.work();
        let decision = self.renting.decide(&View {
            service: &self.service,
            endpoints: &self.endpoints,
            ledger: &self.ledger,
            evacuated: &self.evacuated,
            target_ms: 7_500,
            retention_ms: 40_000,
            term: self.term,
            now_ms: self.now_ms,
            now_unix_ms: START_UNIX_MS + self.now_ms,
        });
        self.faults.extend(decision.fault);
        for (subject, record) in decision.records {
            self.apply(Record::EndpointsOrdered { subject, record });
        }
        for order in decision.orders {
            self.send(order);
        }
    }

    fn send(&mut self, order: Order) {
        let (subject, record) = (order.subject.clone(), order.record);
        self.apply(Record::EndpointsOrdered { subject, record });
        let is_sold_out = self.sold_out.contains(&&*order.subject.failure_domain);
        let outcome = match self.answer {
            Answer::Accept if is_sold_out => Outcome::Refused,
            Answer::Accept => {
                self.carry_out(&order);
                Outcome::Accepted
            }
            Answer::Late(delay_ms) => {
                self.late.push((self.now_ms + delay_ms, order.clone()));
                Outcome::Unanswered
            }
            Answer::NotSent => Outcome::NotSent,
        };
        self.renting.ended(&order, outcome, self.now_ms);
        self.check_bounds(&order);
        self.orders.push((self.now_ms, order));
    }

    fn check_bounds(&self, order: &Order) {
        let scaling = self.service.scaling.as_ref().unwrap();
        let domain = &order.subject.failure_domain;
        let other = match order.order.kind {
            Kind::Regular => self.ids(domain, Kind::Spot).len(),
            Kind::Spot => self.ids(domain, Kind::Regular).len(),
        };
        let total = order.order.count + other as u32;
        assert!((scaling.min..=scaling.max).contains(&total), "{order:?}");
        assert!(!self.evacuated.contains(domain), "{order:?}");
        let initial = order.record.initial.of(order.order.kind);
        assert!(order.order.count >= initial, "{order:?}");
        if order.order.kind == Kind::Spot && order.order.reason != Reason::Surplus {
            assert!(
                self.ready() - self.ids(domain, Kind::Spot).len() >= 9,
                "{order:?}"
            );
        }
        let earlier = self.orders.iter().rev();
        let mut earlier = earlier.filter(|(_, earlier)| earlier.subject == order.subject);
        if let Some((at_ms, _)) = earlier.next() {
            assert!(self.now_ms >= at_ms + CHANGE_INTERVAL_MS, "{order:?}");
        }
    }

    fn run(&mut self, duration_ms: u64) {
        (0..duration_ms / TICK_MS).for_each(|_| self.tick());
    }

    fn ready(&self) -> usize {
        self.endpoints.ids().len()
    }

    /// Another instance holds the control lease from now on.
    fn replace_holder(&mut self) {
        self.renting = Renting::default();
        self.term += 1;
    }
}

/// Runs a game with full load until what was there at the start is known, then loses a third.
fn lost_third(answer: Answer) -> Game {
    let mut game = Game::new(0.95);
    game.run(20_000);
    assert_eq!(game.orders.len(), 0);
    game.answer = answer;
    game.lose("a", Kind::Regular, 3);
    game
}

/// Guards against orders without end, and against none, when a third of the engines is gone for good.
#[test]
fn permanent_loss_under_full_load_is_replaced_once() {
    let mut game = lost_third(Answer::Accept);
    game.run(20_000);
    assert_eq!(game.ready(), 9);
    game.run(200_000);
    assert_eq!((game.ready(), game.orders.len()), (9, 1));
    assert_eq!(game.orders[0].1.order.kind, Kind::Regular);
    assert_eq!(game.orders[0].1.order.reason, Reason::Lost);
}

/// Guards against paying for endpoints that replace those that came back by themselves.
#[test]
fn nothing_is_kept_after_engines_came_back() {
    for (lost, most_orders) in [(1, 0), (3, 2)] {
        let mut game = Game::new(0.95);
        game.run(20_000);
        game.lose("b", Kind::Regular, lost);
        game.run(5_000);
        (0..lost).for_each(|_| game.start_endpoint("b", Kind::Regular));
        game.run(60_000);
        assert_eq!(game.ready(), 9, "{lost} lost");
        assert!(game.orders.len() <= most_orders, "{:?}", game.orders);
    }
}

/// Guards against orders of a deployment that has room, whether or not endpoints are lost.
#[test]
fn nothing_is_ordered_while_there_is_room() {
    for lost in [0, 3] {
        let mut game = Game::new(0.25);
        game.run(20_000);
        game.lose("a", Kind::Regular, lost);
        game.run(1_200_000);
        assert_eq!(game.orders, [], "{lost} lost");
    }
    let mut game = Game::new(0.95);
    game.run(1_200_000);
    assert_eq!(game.orders, []);
}

/// Guards against asking a failure domain again and again that has no endpoints to rent.
#[test]
fn after_a_refusal_another_failure_domain_is_tried() {
    let mut game = lost_third(Answer::Accept);
    game.sold_out = vec!["a"];
    game.run(30_000);
    let domains = game.orders.iter();
    let domains: Vec<_> = domains
        .map(|(_, order)| &*order.subject.failure_domain)
        .collect();
    assert_eq!(domains, ["a", "b"]);
    assert_eq!(game.ready(), 9);
}

/// Guards against keeping endpoints that an old order brings after a newer one took its place.
#[test]
fn unanswered_order_that_is_carried_out_late_is_corrected() {
    for delay_ms in [3_000, 12_000, 25_000] {
        let mut game = lost_third(Answer::Late(delay_ms));
        game.run(4_000);
        assert_eq!(game.orders.len(), 1);
        game.answer = Answer::Accept;
        game.run(120_000);
        assert_eq!(game.ready(), 9, "carried out after {delay_ms} ms");
        assert!(game.orders.len() <= 4, "{:?}", game.orders);
    }
}

/// Guards against a second order for the same loss by the next holder, and against none if the former one
/// was stopped between its record and its call.
#[test]
fn next_holder_goes_on_from_the_stored_record() {
    let mut accepted = lost_third(Answer::Accept);
    accepted.run(3_500);
    let mut unsent = lost_third(Answer::NotSent);
    unsent.run(3_500);
    for (mut game, orders) in [(accepted, 1), (unsent, 2)] {
        assert_eq!(game.orders.len(), 1);
        game.replace_holder();
        game.answer = Answer::Accept;
        game.run(60_000);
        assert_eq!((game.ready(), game.orders.len()), (9, orders));
    }
}

/// Guards against a record that a former holder wrote late: it must not hide the order of the current one.
#[test]
fn record_of_a_former_holder_does_not_replace_a_newer_one() {
    let known = |term, initial| {
        let order = OrderRecord {
            kind: Kind::Regular,
            count: 5,
            reason: Reason::Lost,
            term,
            ordered_unix_ms: 1,
        };
        let record = SubjectRecord {
            initial: Counts {
                regular: initial,
                spot: 0,
            },
            last_order: Some(order),
        };
        KnownSubject {
            record,
            seen_ms: term,
        }
    };
    assert_eq!(known(7, 3).followed_by(known(4, 2)), known(7, 3));
    assert_eq!(known(4, 3).followed_by(known(7, 2)), known(7, 3));
}

/// Guards against waiting for endpoints that don't come back: the platform says that it takes them.
#[test]
fn reclaimed_endpoint_is_replaced_sooner_than_a_crashed_one() {
    for (is_reclaimed, orders) in [(true, 1), (false, 0)] {
        let mut game = Game::new(0.95);
        game.lose("c", Kind::Regular, 1);
        game.start_endpoint("c", Kind::Spot);
        game.run(20_000);
        let id = game.ids("c", Kind::Spot).remove(0);
        let mut listing = game
            .endpoints
            .get(game.endpoints.find(&id).unwrap())
            .listing
            .clone();
        listing.draining = true;
        listing.leaves_ms = is_reclaimed.then_some(9_000);
        game.endpoints.update(listing);
        game.run(6_000);
        assert_eq!(game.orders.len(), orders);
    }
}

/// Guards against a flood of calls while the platform is away, and against giving up.
#[test]
fn platform_that_is_away_gets_few_calls() {
    for answer in [Answer::NotSent, Answer::Late(u64::MAX / 2)] {
        let mut game = lost_third(answer);
        game.run(300_000);
        assert_eq!(game.ready(), 6);
        assert!(
            (2..=20).contains(&game.orders.len()),
            "{}",
            game.orders.len()
        );
        game.answer = Answer::Accept;
        game.run(180_000);
        assert_eq!(game.ready(), 9);
    }
}

type Change = fn(&mut Scaling);

/// Guards against orders under bounds and prices that contradict themselves, and against a log line at
/// each decision.
#[test]
fn faulty_scaling_is_reported_once_and_nothing_is_ordered() {
    let faulty: [(Change, Fault); 5] = [
        (|scaling| scaling.min = 7, Fault::Bounds),
        (|scaling| scaling.spot_price = -0.1, Fault::Price),
        (
            |scaling| scaling.domain_prices.extend([("b".into(), f64::NAN)]),
            Fault::Price,
        ),
        (|scaling| scaling.domain_prices.clear(), Fault::NoPrices),
        (
            |scaling| scaling.domain_prices.extend([("x".into(), 1.0)]),
            Fault::UnknownDomain("x".into()),
        ),
    ];
    for (change, fault) in faulty {
        let mut game = Game::new(0.95);
        change(game.scaling());
        game.run(20_000);
        game.lose("a", Kind::Regular, 3);
        game.run(60_000);
        assert_eq!(game.orders, []);
        assert_eq!(game.faults, [fault]);
    }
    // A failure domain of instances is known even if it has no endpoints.
    let mut game = Game::new(0.95);
    game.scaling().domain_prices.insert("saiq".into(), 9.0);
    game.apply(heartbeat("front-1", 1));
    game.run(20_000);
    assert_eq!(game.faults, []);
}

/// Guards against spot endpoints whose loss takes more than they added, and against keeping them.
#[test]
fn overload_is_met_with_spot_endpoints_that_are_given_back() {
    let mut game = Game::new(0.95);
    game.run(30_000);
    game.load = 1.5;
    game.run(60_000);
    assert!((10..=14).contains(&game.ready()), "{}", game.ready());
    let is_spot = |(_, order): &(u64, Order)| order.order.kind == Kind::Spot;
    assert!(game.orders.iter().all(is_spot), "{:?}", game.orders);
    for domain in ["a", "b", "c"] {
        assert!(game.ready() - game.ids(domain, Kind::Spot).len() >= 9);
    }
    game.load = 0.2;
    game.run(120_000);
    assert_eq!(game.ready(), 9);
    let orders = game.orders.len();
    game.run(120_000);
    assert_eq!(game.orders.len(), orders);
}

/// Guards against orders for a failure domain that the operator empties.
#[test]
fn evacuated_failure_domain_is_replaced_elsewhere() {
    let mut game = Game::new(0.95);
    game.run(20_000);
    game.evacuated.insert("a".into());
    game.run(30_000);
    assert_eq!(game.ready(), 12);
    game.evacuated.clear();
    game.run(60_000);
    assert_eq!(game.ready(), 9);
}

/// Returns the CPU time of this thread, which other tests on a busy machine don't change.
fn cpu_time_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    (time.tv_sec * 1_000 + time.tv_nsec / 1_000_000) as u64
}

/// Half a core, of which the decisions, two a second, may take a tenth: 25 ms each. Covers 7,000 endpoints
/// in 34 failure domains and 200 unfinished batches, the largest deployment that is planned for.
#[test]
fn decision_for_a_large_deployment_is_cheap() {
    let mut game = Game::new(0.95);
    for endpoint in 0..7_000 {
        game.start_endpoint(&format!("domain-{}", endpoint % 34), Kind::Regular);
    }
    let domains = (0..34).map(|domain| (format!("domain-{domain}").into(), 1.0));
    game.scaling()
        .domain_prices
        .extend(domains.collect::<Vec<_>>());
    for _ in 0..200 {
        game.now_ms += BATCH_INTERVAL_MS / 100;
        game.batches.clear();
        game.work();
    }
    game.run(10_000);
    let start_ms = cpu_time_ms();
    for _ in 0..20 {
        game.now_ms += TICK_MS;
        let view = View {
            service: &game.service,
            endpoints: &game.endpoints,
            ledger: &game.ledger,
            evacuated: &game.evacuated,
            target_ms: 7_500,
            retention_ms: 40_000,
            term: 1,
            now_ms: game.now_ms,
            now_unix_ms: START_UNIX_MS + game.now_ms,
        };
        assert_eq!(game.renting.decide(&view).orders, []);
    }
    let took_ms = (cpu_time_ms() - start_ms) / 20;
    println!("a decision takes {took_ms} ms of CPU time");
    assert!(took_ms < 25, "a decision took {took_ms} ms of CPU time");
}

/// Guards against faults that come together: losses and returns, refusals, late orders, a platform that is
/// away, and new holders, at random. Once they end and there is room, nothing is rented and orders stop.
#[test]
fn any_mixture_of_faults_ends_with_what_was_there() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut game = Game::new(random.random_range(0.5..1.3));
        game.run(10_000);
        let mut lost = Vec::new();
        for _ in 0..60 {
            let domain = ["a", "b", "c"][random.random_range(0..3)];
            let left = game.ids(domain, Kind::Regular).len();
            match random.random_range(0..8) {
                0 if left > 0 => {
                    let count = random.random_range(0..3);
                    game.lose(domain, Kind::Regular, count);
                    lost.extend(vec![domain; count.min(left)]);
                }
                1 => lost
                    .drain(..)
                    .for_each(|domain| game.start_endpoint(domain, Kind::Regular)),
                2 => game.lose(domain, Kind::Spot, 9),
                3 => game.answer = Answer::Late(random.random_range(1_000..30_000)),
                4 => game.answer = Answer::NotSent,
                5 => game.answer = Answer::Accept,
                6 => game.sold_out = vec![domain],
                _ => game.replace_holder(),
            }
            game.run(random.random_range(1_000..15_000));
        }
        lost.drain(..)
            .for_each(|domain| game.start_endpoint(domain, Kind::Regular));
        (game.answer, game.sold_out, game.load) = (Answer::Accept, Vec::new(), 0.1);
        game.run(400_000);
        let orders = game.orders.len();
        game.run(100_000);
        assert_eq!(game.orders.len(), orders, "seed {seed}");
        for domain in ["a", "b", "c"] {
            let left = [Kind::Regular, Kind::Spot].map(|kind| game.ids(domain, kind).len());
            assert_eq!(left, [3, 0], "seed {seed}");
        }
    }
}

/// Guards against a step that is given no endpoints: an unfinished batch counts as work until its
/// samples may be given up, whatever its age; a finished one does not.
#[test]
fn unfinished_batches_of_any_age_are_work() {
    let mut game = Game::new(0.95);
    game.now_ms = BATCH_INTERVAL_MS;
    game.work();
    let batch = game.batches[0].0.clone();
    let open_samples = |game: &Game, age_ms: u64| {
        let view = View {
            service: &game.service,
            endpoints: &game.endpoints,
            ledger: &game.ledger,
            evacuated: &game.evacuated,
            target_ms: 90_000,
            retention_ms: 110_000,
            term: 1,
            now_ms: game.now_ms,
            now_unix_ms: START_UNIX_MS + game.now_ms + age_ms,
        };
        Demand::of(&view).open_samples
    };
    let by_age = [0, 61_000, 109_000, 111_000].map(|age_ms| open_samples(&game, age_ms));
    assert_eq!(by_age, [Some(200), Some(200), Some(200), Some(0)]);
    let milestone = Milestone::Finished;
    game.apply(Record::BatchMilestone { batch, milestone });
    assert_eq!(open_samples(&game, 61_000), Some(0));
}
