//! The stand-ins of one run of the demo.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    io,
    rc::Rc,
    sync::{
        Arc,
        Mutex, //
    }, //
};

use flamingoscale::wire::{
    EndpointPhase,
    PlatformEndpoint,
    Tier, //
};

use crate::{
    engine::{
        EngineSettings,
        EngineStandin, //
    },
    platform::{
        lock,
        Platform,
        PlatformSettings,
        StartedEndpoint, //
    },
    server::Host,
    service::ServiceStandin,
    weight_store::WeightStore, //
};

/// The failure domains, in the order in which nodes and endpoints are placed.
pub(super) const FAILURE_DOMAINS: [&str; 3] = ["saiq", "shams", "nizwa"];

/// The organisations; the last one owns the trainer.
pub(super) const ORGANISATIONS: [&str; 3] = ["lodges", "rescue", "reports"];

/// Name of the trainer.
pub(super) const TRAINER: &str = "notes";

/// Name of the engine service.
pub(super) const ENGINE_SERVICE: &str = "draft";

/// Name of the plain service, whose requests are not idempotent.
pub(super) const PLAIN_SERVICE: &str = "lookup";

const INITIAL_ENGINES: usize = 3;
const INITIAL_SERVICES: usize = 2;
const ENGINE_TOKENS_PER_S: f64 = 400.0;
const LOOKUP_DURATION_MS: u64 = 10;
const STORE_BYTES_PER_S: u64 = 50_000_000;

/// All endpoints that were ever started, including ordered ones.
#[derive(Clone, Default)]
struct Endpoints {
    engines: Arc<Mutex<Vec<Arc<EngineStandin>>>>,
    services: Arc<Mutex<Vec<Arc<ServiceStandin>>>>,
}

/// The stand-ins of one run of the demo.
pub(super) struct World {
    pub(super) platform: Platform,
    pub(super) store: WeightStore,
    endpoints: Endpoints,
    _host: Host,
}

impl World {
    pub(super) fn start() -> io::Result<Rc<Self>> {
        let host = Host::start()?;
        let platform = PlatformSettings::default().start(&host)?;
        let store = WeightStore::start(&host, 0, STORE_BYTES_PER_S)?;
        let endpoints = Endpoints::default();
        for number in 0..INITIAL_ENGINES + INITIAL_SERVICES {
            let service = if number < INITIAL_ENGINES {
                ENGINE_SERVICE
            } else {
                PLAIN_SERVICE
            };
            let domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()];
            let mut listed = initial_endpoint(service, domain, number);
            if let Some(started) = endpoints.start(&host, &listed) {
                listed.address = started.address().to_string().into();
                platform.add_endpoint(listed, started);
            }
        }
        let (ordered_endpoints, starter_host) = (endpoints.clone(), host.clone());
        platform.set_starter(Box::new(move |listed| {
            ordered_endpoints.start(&starter_host, listed)
        }));
        Ok(Rc::new(Self {
            platform,
            store,
            endpoints,
            _host: host,
        }))
    }

    pub(super) fn engines(&self) -> Vec<Arc<EngineStandin>> {
        lock(&self.endpoints.engines).clone()
    }

    pub(super) fn services(&self) -> Vec<Arc<ServiceStandin>> {
        lock(&self.endpoints.services).clone()
    }

    pub(super) fn requests_with_key(&self) -> u64 {
        let engines = self.engines();
        let services = self.services();
        let by_engines: u64 = engines
            .iter()
            .map(|engine| engine.requests_with_key())
            .sum();
        let by_services: u64 = services
            .iter()
            .map(|service| service.requests_with_key())
            .sum();
        by_engines + by_services
    }

    /// Returns the requests that ran, by the callers' attempt ids.
    pub(super) fn runs_by_id(&self) -> RunsById {
        let mut runs = RunsById::default();
        for service in self.services() {
            for (id, count) in service.runs_by_body() {
                *runs.lookups.entry(id).or_default() += count;
            }
        }
        for engine in self.engines() {
            let admitted = engine.runs().into_iter().filter(|run| run.got_slot);
            runs.prompts
                .extend(admitted.map(|run| run.prompt.to_string()));
        }
        runs
    }
}

impl Endpoints {
    fn start(&self, host: &Host, listed: &PlatformEndpoint) -> Option<Arc<dyn StartedEndpoint>> {
        let endpoint = listed.endpoint.clone();
        if &*listed.service == PLAIN_SERVICE {
            let service = ServiceStandin::start(host, 0, endpoint, LOOKUP_DURATION_MS).ok()?;
            lock(&self.services).push(service.clone());
            return Some(service);
        }
        let settings = EngineSettings::new(endpoint).tokens_per_s(ENGINE_TOKENS_PER_S);
        let engine = settings.start(host).ok()?;
        lock(&self.engines).push(engine.clone());
        Some(engine)
    }
}

fn initial_endpoint(service: &str, domain: &str, number: usize) -> PlatformEndpoint {
    PlatformEndpoint {
        endpoint: format!("{service}-{number}").into(),
        service: service.into(),
        failure_domain: domain.into(),
        address: "".into(),
        tier: Tier::Firm,
        phase: EndpointPhase::Running,
        order: 0,
    }
}

/// Requests that ran, by the callers' attempt ids.
#[derive(Default)]
pub(super) struct RunsById {
    /// Number of runs of each lookup.
    lookups: BTreeMap<String, u64>,
    /// Prompts of the completions that were admitted to a batch slot. A completion's attempt id is
    /// its prompt.
    prompts: BTreeSet<String>,
}

impl RunsById {
    pub(super) fn has_run(&self, id: &str) -> bool {
        self.lookups.contains_key(id) || self.prompts.contains(id)
    }

    pub(super) fn lookups_ran_twice(&self) -> u64 {
        self.lookups.values().filter(|&&count| count > 1).count() as u64
    }
}

/// Returns the demo's completed questionnaire.
pub(super) fn questionnaire() -> String {
    include_str!("questionnaire.ini").to_owned()
}
