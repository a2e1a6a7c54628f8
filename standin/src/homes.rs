//! One instance that is the home of all engines, for tests and benchmarks of weight rollouts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use flamingoscale::{
    clock::BootClock,
    configuration::{
        Configuration,
        Service,
        ServiceKind,
        Tolerances,
        Trainer, //
    },
    controller::{
        weights::WeightsController,
        ControlContext,
        Controller as _, //
    },
    engine::{
        http::HttpEngineControl,
        EngineControl as _, //
    },
    home::{
        HomeEndpointStatus,
        Homes, //
    },
    instance::Instance,
    platform::HttpPlatform,
    settings::SettingsBuilder,
    view::{
        EndpointKey,
        EndpointTable,
        NewestVersion,
        View, //
    },
    wire::{
        EndpointPhase,
        EndpointStatus,
        PlatformEndpoint,
        Tier, //
    }, //
};

use crate::{
    engine::EngineStandin,
    world::lock, //
};

/// Name of the service that all engines belong to.
const SERVICE: &str = "draft";

/// Name of the trainer whose weights the engines run.
pub const TRAINER: &str = "notes";

/// Interval between two status requests to one engine.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polled state of one engine, and whether the controller holds it back from requests.
#[derive(Clone, Debug, Default)]
struct EngineEntry {
    facts: HomeEndpointStatus,
    held: bool,
}

/// State of the engines as polled over HTTP.
#[derive(Debug, Default)]
struct PolledHomes {
    engines: Mutex<BTreeMap<EndpointKey, EngineEntry>>,
    max_held: Mutex<usize>,
}

impl PolledHomes {
    fn update_facts(&self, key: EndpointKey, status: Option<&EndpointStatus>) {
        if let Some(entry) = lock(&self.engines).get_mut(&key) {
            entry.facts.reachable = status.is_some();
            let usable = status.filter(|status| !status.swapping && !entry.held);
            entry.facts.version = usable.map(|status| status.version);
        }
    }
}

impl Homes for PolledHomes {
    fn at_home(&self) -> Vec<EndpointKey> {
        lock(&self.engines).keys().copied().collect()
    }

    fn status(&self, endpoint: EndpointKey) -> Option<HomeEndpointStatus> {
        lock(&self.engines)
            .get(&endpoint)
            .map(|entry| entry.facts.clone())
    }

    fn set_paused(&self, endpoint: EndpointKey, held: bool) {
        let mut engines = lock(&self.engines);
        if let Some(entry) = engines.get_mut(&endpoint) {
            entry.held = held;
            entry.facts.version = None;
        }
        let held_count = engines.values().filter(|entry| entry.held).count();
        let mut max_held = lock(&self.max_held);
        *max_held = (*max_held).max(held_count);
    }
}

/// An instance whose weights controller manages a set of engines. It must be created inside an
/// Actix runtime.
pub struct WeightsHome {
    instance: Arc<Instance>,
    homes: Arc<PolledHomes>,
}

impl WeightsHome {
    /// Starts the controller. The engines keep their weights until [`WeightsHome::publish`].
    pub fn start(engines: &[Arc<EngineStandin>], store: SocketAddr, bytes_per_s: u64) -> Self {
        let unused_address = ([127, 0, 0, 1], 1).into();
        let settings = SettingsBuilder::new("n1", "d1", unused_address, store).build();
        let instance = Arc::new(Instance::new(settings, 1, Arc::new(BootClock)));
        let homes = Arc::new(PolledHomes::default());
        for (key, engine) in (0..).map(EndpointKey).zip(engines) {
            lock(&homes.engines).insert(key, EngineEntry::default());
            actix_rt::spawn(poll(homes.clone(), key, engine.address()));
        }
        instance.view.store(view(engines, bytes_per_s));
        let context = ControlContext {
            instance: instance.clone(),
            state: Rc::default(),
            platform: HttpPlatform::new(unused_address),
        };
        Box::new(WeightsController::new(instance.clone(), homes.clone())).start(context);
        Self { instance, homes }
    }

    /// Sets the newest version in the view, as if it had been published in the log.
    pub fn publish(&self, version: u64, bytes: u64) {
        let mut view = View::clone(&self.instance.view.load());
        let newest = NewestVersion {
            version,
            bytes,
            offset: 100 + version,
        };
        view.versions = Arc::new(BTreeMap::from([(TRAINER.into(), newest)]));
        self.instance.view.store(view);
    }

    /// Returns the maximum number of engines that were held back from requests at the same time.
    pub fn max_held(&self) -> usize {
        *lock(&self.homes.max_held)
    }

    /// Returns how many engines are held back from requests now.
    pub fn held(&self) -> usize {
        let entries = lock(&self.homes.engines);
        entries.values().filter(|entry| entry.held).count()
    }

    /// Returns the value of the event counter for `kind`.
    pub fn event_count(&self, kind: &str) -> u64 {
        self.instance.metrics.event_count(kind)
    }
}

/// Polls one engine's status. While the engine is held, its version counts as unknown.
async fn poll(homes: Arc<PolledHomes>, key: EndpointKey, address: SocketAddr) {
    let address = address.to_string();
    loop {
        let status = HttpEngineControl.status(&address).await.ok();
        homes.update_facts(key, status.as_ref());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn view(engines: &[Arc<EngineStandin>], bytes_per_s: u64) -> View {
    let mut table = EndpointTable::default();
    for engine in engines {
        let listed = PlatformEndpoint {
            endpoint: engine.endpoint().clone(),
            service: SERVICE.into(),
            failure_domain: "d1".into(),
            address: engine.address().to_string().into(),
            tier: Tier::Firm,
            phase: EndpointPhase::Running,
            order: 0,
        };
        table.upsert(&listed);
    }
    let service = Service {
        name: SERVICE.into(),
        kind: ServiceKind::Engine,
        idempotent: true,
        open: false,
        firm_floor: 1,
        ceiling: 1_000,
        slots: 4,
        checks_fencing: true,
    };
    let trainer = Trainer {
        name: TRAINER.into(),
        organisation: "ridge".into(),
        service: SERVICE.into(),
        weight: 1,
        staleness_bound: 2,
    };
    let tolerances = Tolerances {
        store_bytes_per_s: bytes_per_s,
        ..Tolerances::default()
    };
    let configuration = Configuration {
        services: vec![service],
        trainers: vec![trainer],
        tolerances,
        ..Configuration::default()
    };
    View {
        revision: 1,
        configuration: Arc::new(configuration),
        endpoints: Arc::new(table),
        ..View::default()
    }
}
