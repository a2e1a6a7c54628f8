//! A simulation of coordinators, engines and their network in one thread, without sockets.
//!
//! All timers use the runtime's clock. When it is paused, hours of training pass in seconds and a
//! run depends only on its seed. The coordinators are the production code; the engines record which
//! weight version produced which tokens.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration, //
};

use actix_web::{
    body::MessageBody,
    http::StatusCode,
    test,
    App, //
};
use bytes::Bytes;
use flamingoscale::{
    clock::Clock,
    configuration::{
        Configuration,
        Service,
        ServiceKind,
        Tolerances,
        Trainer, //
    },
    home::{
        HomeEndpointStatus,
        Homes, //
    },
    instance::{
        Control,
        Instance, //
    },
    keys::{
        self,
        KeyTable, //
    },
    record::Record,
    rollout::{
        configure,
        Coordinator, //
    },
    settings::SettingsBuilder,
    state::SubmitError,
    view::{
        EndpointKey,
        EndpointTable,
        Member,
        NewestVersion,
        View, //
    },
    wire::{
        Batch,
        OpenStep,
        PublishVersion,
        WithdrawnKey, //
    }, //
};
use futures::future::{
    BoxFuture,
    FutureExt as _, //
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{
    task::{
        JoinHandle,
        LocalSet, //
    },
    time::Instant, //
};

pub mod fleet;
mod network;

use fleet::Fleet;
use network::Network;

/// Name of the service that generates the samples of all trainers.
pub const SERVICE: &str = "draft";

/// Name of the organisation that owns all trainers.
const ORGANISATION: &str = "ridge";

/// Delay until other instances see a version that one of them submitted.
const PROPAGATION_DELAY_MS: u64 = 100;

/// The Tokio runtime's clock, which tests may pause.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock(Instant);

impl RuntimeClock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }
}

impl Clock for RuntimeClock {
    fn now_ms(&self) -> u64 {
        // Starts at 1 s, because a real machine's clock does not start at zero either.
        1_000 + self.0.elapsed().as_millis() as u64
    }
}

/// One trainer of a [`World`].
#[derive(Clone, Debug)]
pub struct WorldTrainer {
    /// The trainer's name.
    pub name: Arc<str>,
    /// The trainer's fair-share weight.
    pub weight: u32,
    /// The configured staleness bound, in weight versions.
    pub staleness_bound: u64,
}

/// One instance with a production coordinator.
struct Node {
    instance: Arc<Instance>,
    coordinator: Arc<Coordinator>,
    task: JoinHandle<()>,
}

/// State that all instances share, in place of the platform's log.
#[derive(Debug, Default)]
struct Shared {
    versions: BTreeMap<Arc<str>, NewestVersion>,
    offset: u64,
}

/// A simulated cluster with its instances and engines.
pub struct World {
    nodes: RefCell<BTreeMap<Arc<str>, Node>>,
    members: RefCell<Vec<Member>>,
    configuration: Arc<Configuration>,
    keys: Arc<KeyTable>,
    key: Arc<str>,
    shared: Arc<Mutex<Shared>>,
    network: Network,
    clock: RuntimeClock,
    hedging: bool,
    next_incarnation: Cell<u64>,
    /// The simulated engines.
    pub fleet: Fleet,
}

impl World {
    /// Creates `instances` instances, spread over three failure domains, that use the engines of
    /// `fleet`.
    pub fn new(instances: usize, trainers: &[WorldTrainer], fleet: Fleet, seed: u64) -> Self {
        Self::with_hedging(instances, trainers, fleet, seed, true)
    }

    /// Like [`World::new`], with or without hedged requests for stragglers.
    pub fn with_hedging(
        instances: usize,
        trainers: &[WorldTrainer],
        fleet: Fleet,
        seed: u64,
        hedging: bool,
    ) -> Self {
        let clock = RuntimeClock::start();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (key, entry) = keys::generate(ORGANISATION.into(), &mut random);
        let mut table = KeyTable::default();
        table.grant(entry);
        let world = Self {
            nodes: RefCell::default(),
            members: RefCell::default(),
            configuration: Arc::new(configuration(trainers, &fleet)),
            keys: Arc::new(table),
            key,
            shared: Arc::default(),
            network: Network::new(seed),
            clock,
            hedging,
            next_incarnation: Cell::new(1),
            fleet,
        };
        for number in 0..instances {
            world.start(&format!("n{number}"), &format!("d{}", number % 3));
        }
        world
    }

    /// Starts an instance that knows only what the instances share, as one that restores its state
    /// from the log.
    pub fn start(&self, name: &str, failure_domain: &str) {
        let unused_address = ([127, 0, 0, 1], 1).into();
        let settings =
            SettingsBuilder::new(name, failure_domain, unused_address, unused_address).build();
        let incarnation = self.next_incarnation.get();
        self.next_incarnation.set(incarnation + 1);
        let instance = Arc::new(Instance::new(settings, incarnation, Arc::new(self.clock)));
        instance.set_dispatch(Arc::new(self.fleet.clone()));
        instance.set_peers(self.network.peers_of(instance.id()));
        instance.set_control(Arc::new(SharedStateControl(self.shared.clone())));
        instance.view.set_fresh_until_ms(u64::MAX);
        let coordinator = if self.hedging {
            Coordinator::new(instance.clone(), Arc::new(NoHomes))
        } else {
            Coordinator::without_hedging(instance.clone())
        };
        self.network.connect(instance.id(), coordinator.clone());
        let task_coordinator = coordinator.clone();
        // Dropping this set ends the coordinator's tasks, as the end of a process would.
        let task = actix_rt::spawn(async move {
            let tasks = LocalSet::new();
            tasks.run_until(task_coordinator.run()).await;
        });
        let member = Member {
            instance: instance.id().clone(),
            incarnation,
            failure_domain: failure_domain.into(),
            address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:1".into(),
            leaving: false,
            suspect: false,
            revision: 1,
        };
        let mut members = self.members.borrow_mut();
        members.push(member);
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        drop(members);
        let node = Node {
            instance,
            coordinator,
            task,
        };
        self.nodes.borrow_mut().insert(name.into(), node);
        self.publish_views();
    }

    /// Kills an instance; the others notice only after [`World::detect_crashes`].
    pub fn crash(&self, name: &str) {
        if let Some(node) = self.nodes.borrow_mut().remove(name) {
            node.task.abort();
            self.network.disconnect(name);
        }
    }

    /// Removes crashed instances from the members that the live instances see.
    pub fn detect_crashes(&self) {
        let nodes = self.nodes.borrow();
        let is_live = |member: &Member| nodes.contains_key(&member.instance);
        self.members.borrow_mut().retain(is_live);
        drop(nodes);
        self.publish_views();
    }

    /// Marks an instance as leaving; it stays reachable.
    pub fn mark_leaving(&self, name: &str) {
        for member in self.members.borrow_mut().iter_mut() {
            member.leaving |= &*member.instance == name;
        }
        self.publish_views();
    }

    /// Loses the replies to a random one in `one_in` requests between instances, after the request
    /// has taken effect; 0 turns the fault off.
    pub fn drop_replies(&self, one_in: u32) {
        self.network.drop_replies(one_in);
    }

    /// Returns the names of the live instances.
    pub fn instances(&self) -> Vec<Arc<str>> {
        self.nodes.borrow().keys().cloned().collect()
    }

    /// Returns the newest published weight version of any trainer; 0 if there is none.
    pub fn newest_version(&self) -> u64 {
        let shared = lock(&self.shared);
        let versions = shared.versions.values().map(|newest| newest.version);
        versions.max().unwrap_or(0)
    }

    /// Makes the published versions visible to all instances.
    pub fn propagate_versions(&self) {
        self.publish_views();
    }

    /// Returns the delay that callers should leave between a publication and
    /// [`World::propagate_versions`].
    pub fn propagation_delay() -> Duration {
        Duration::from_millis(PROPAGATION_DELAY_MS)
    }

    /// Returns the sum of the event counters for `kind` over all live instances.
    pub fn event_count(&self, kind: &str) -> u64 {
        let nodes = self.nodes.borrow();
        let live = nodes.values();
        live.map(|node| node.instance.metrics.event_count(kind))
            .sum()
    }

    /// Returns the merged time line of all live instances, to diagnose a failed test.
    pub fn timeline(&self) -> Vec<String> {
        let nodes = self.nodes.borrow();
        let timelines = nodes.values().map(|n| n.instance.timeline.events_after(0));
        let events = flamingoscale::timeline::merge(timelines.collect());
        let events = events.iter();
        events
            .map(|e| format!("{} {} {} {:?}", e.process, e.kind, e.trace, e.fields))
            .collect()
    }

    /// Publishes a weight version through `instance`; returns the HTTP status.
    pub async fn publish(&self, instance: &str, trainer: &str, version: u64) -> StatusCode {
        let body = PublishVersion { version, bytes: 1 };
        let path = format!("/v1/trainers/{trainer}/versions");
        let request = test::TestRequest::post().uri(&path).set_json(body);
        self.call(instance, request).await.0
    }

    /// Opens a step through `instance`; returns the HTTP status.
    pub async fn open(&self, instance: &str, trainer: &str, step: &OpenStep) -> StatusCode {
        let path = format!("/v1/trainers/{trainer}/steps");
        let request = test::TestRequest::post().uri(&path).set_json(step);
        self.call(instance, request).await.0
    }

    /// Fetches the batch of a step through `instance`, with a long poll of `wait_ms`;
    /// returns the HTTP status as the error if it is not 200.
    pub async fn fetch(
        &self,
        instance: &str,
        trainer: &str,
        step: u64,
        wait_ms: u64,
    ) -> Result<Batch, StatusCode> {
        let path = format!("/v1/trainers/{trainer}/steps/{step}?wait_ms={wait_ms}");
        let (status, body) = self
            .call(instance, test::TestRequest::get().uri(&path))
            .await;
        if status != StatusCode::OK {
            return Err(status);
        }
        serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_GATEWAY)
    }

    /// Acknowledges the batch of a step through `instance`; returns the HTTP status.
    pub async fn acknowledge(&self, instance: &str, trainer: &str, step: u64) -> StatusCode {
        let path = format!("/v1/trainers/{trainer}/steps/{step}/ack");
        let request = test::TestRequest::post().uri(&path);
        self.call(instance, request).await.0
    }

    async fn call(&self, instance: &str, request: test::TestRequest) -> (StatusCode, Bytes) {
        let coordinator = self
            .nodes
            .borrow()
            .get(instance)
            .map(|n| n.coordinator.clone());
        let Some(coordinator) = coordinator else {
            return (StatusCode::BAD_GATEWAY, Bytes::new());
        };
        let app = App::new().configure(|config| configure(config, coordinator));
        let service = test::init_service(app).await;
        let header = ("authorization", format!("Bearer {}", self.key));
        let request = request.insert_header(header).to_request();
        let response = test::call_service(&service, request).await;
        let status = response.status();
        let body = response.into_body().try_into_bytes();
        (status, body.unwrap_or_default())
    }

    fn publish_views(&self) {
        let versions = Arc::new(lock(&self.shared).versions.clone());
        for node in self.nodes.borrow().values() {
            node.instance.view.store(View {
                revision: 1,
                configuration: self.configuration.clone(),
                keys: self.keys.clone(),
                endpoints: Arc::new(self.endpoints()),
                members: Arc::new(self.members.borrow().clone()),
                versions: versions.clone(),
                ..View::default()
            });
        }
    }

    fn endpoints(&self) -> EndpointTable {
        let keys = self.fleet.keys();
        let mut table = EndpointTable::default();
        table.by_service.insert(SERVICE.into(), keys);
        table
    }
}

fn configuration(trainers: &[WorldTrainer], fleet: &Fleet) -> Configuration {
    let trainers = trainers.iter().map(|trainer| Trainer {
        name: trainer.name.clone(),
        organisation: ORGANISATION.into(),
        service: SERVICE.into(),
        weight: trainer.weight,
        staleness_bound: trainer.staleness_bound,
    });
    let service = Service {
        name: SERVICE.into(),
        kind: ServiceKind::Engine,
        idempotent: true,
        open: false,
        firm_floor: 1,
        ceiling: 1_000,
        slots: fleet.slots(),
        checks_fencing: true,
    };
    Configuration {
        services: vec![service],
        trainers: trainers.collect(),
        tolerances: Tolerances::default(),
        ..Configuration::default()
    }
}

/// Control interface that applies submitted records to the shared state immediately.
struct SharedStateControl(Arc<Mutex<Shared>>);

impl Control for SharedStateControl {
    fn submit(&self, record: Record) -> BoxFuture<'static, Result<u64, SubmitError>> {
        let mut shared = lock(&self.0);
        shared.offset += 1;
        let offset = shared.offset;
        if let Record::VersionPublished {
            trainer,
            version,
            bytes,
        } = record
        {
            let newest = shared.versions.entry(trainer).or_default();
            if version > newest.version {
                *newest = NewestVersion {
                    version,
                    bytes,
                    offset,
                };
            }
        }
        async move { Ok(offset) }.boxed()
    }

    fn withdraw_key(
        &self,
        key_id: Arc<str>,
    ) -> BoxFuture<'static, Result<WithdrawnKey, SubmitError>> {
        let withdrawn = WithdrawnKey {
            key_id,
            durable: true,
        };
        async move { Ok(withdrawn) }.boxed()
    }
}

/// No simulated instance owns an endpoint, because the fleet dispatches the work itself.
struct NoHomes;

impl Homes for NoHomes {
    fn at_home(&self) -> Vec<EndpointKey> {
        Vec::new()
    }

    fn status(&self, _endpoint: EndpointKey) -> Option<HomeEndpointStatus> {
        None
    }

    fn set_paused(&self, _endpoint: EndpointKey, _held: bool) {}
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Ignores poisoning: the mutexes protect plain data that stays valid after a panic.
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
