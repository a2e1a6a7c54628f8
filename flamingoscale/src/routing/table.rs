//! The route table: the endpoints of each service on a hash ring, each with its home.
//!
//! It is rebuilt on changes of endpoints or members, so that choosing an endpoint takes a binary
//! search and a short walk, independent of the number of endpoints.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::{
    configuration::Configuration,
    routing::{
        load::EndpointLoad,
        rendezvous, //
    },
    view::{
        Endpoint,
        EndpointKey,
        EndpointTable,
        Member,
        View, //
    },
    wire::EndpointPhase, //
};

/// Points of each endpoint on the ring; more points spread the load more evenly.
const POINTS_PER_ENDPOINT: u64 = 8;

/// Number of distinct endpoints that are considered before the least loaded of them is chosen.
const MAX_CANDIDATES: usize = 8;

/// Length of the prompt prefix that determines the affinity of a request.
const AFFINITY_PREFIX_BYTES: usize = 256;

/// Slots per endpoint if the service does not configure them.
const DEFAULT_SLOTS: u32 = 8;

/// An endpoint as a routing target.
#[derive(Clone, Debug)]
pub struct RouteEndpoint {
    /// Key in the view.
    pub key: EndpointKey,
    /// Id assigned by the platform.
    pub id: Arc<str>,
    /// `ip:port` of its HTTP server.
    pub address: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Instance that sends work to the endpoint.
    pub home: Arc<Member>,
    /// Load of the endpoint as seen by this instance.
    pub load: Arc<EndpointLoad>,
    /// Availability of the home: suspended while the home can't be reached.
    pub home_load: Arc<EndpointLoad>,
}

/// The endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceRoutes {
    endpoints: Vec<RouteEndpoint>,
    /// Sorted points of the ring, each with an index into `endpoints`.
    ring: Vec<(u64, u32)>,
}

/// The route table for one version of the view.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: Arc<Routes>,
    endpoints: Arc<EndpointTable>,
    members: Arc<Vec<Member>>,
    configuration: Arc<Configuration>,
}

#[derive(Debug, Default)]
struct Routes {
    services: HashMap<Arc<str>, ServiceRoutes>,
    by_key: HashMap<EndpointKey, (Arc<str>, u32)>,
    homes: HashMap<Arc<str>, Arc<EndpointLoad>>,
}

impl RouteTable {
    /// Builds the table for a view. Load data is carried over from the previous table, and all
    /// routes are reused if nothing relevant to them has changed.
    pub fn build(view: &View, previous: &RouteTable) -> Self {
        let unchanged = previous.endpoints == view.endpoints
            && previous.configuration.services == view.configuration.services
            && same_homes(&previous.members, &view.members);
        let routes = if unchanged {
            previous.routes.clone()
        } else {
            Arc::new(Routes::build(view, &previous.routes))
        };
        Self {
            routes,
            endpoints: view.endpoints.clone(),
            members: view.members.clone(),
            configuration: view.configuration.clone(),
        }
    }

    /// Whether the table was built from the current parts of this view.
    pub fn is_built_from(&self, view: &View) -> bool {
        Arc::ptr_eq(&self.endpoints, &view.endpoints)
            && Arc::ptr_eq(&self.members, &view.members)
            && Arc::ptr_eq(&self.configuration, &view.configuration)
    }

    /// Returns the routes of a service; `None` if it has no endpoints.
    pub fn service(&self, service: &str) -> Option<&ServiceRoutes> {
        self.routes.services.get(service)
    }

    /// Returns the endpoint with this key, if it accepts work.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&RouteEndpoint> {
        self.routes.endpoint(key)
    }

    /// Endpoints whose home is `instance`, each with its service.
    pub fn at_home<'a>(
        &'a self,
        instance: &'a str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a RouteEndpoint)> {
        self.routes
            .services
            .iter()
            .flat_map(move |(service, routes)| {
                let endpoints = routes.endpoints.iter();
                endpoints
                    .filter(move |endpoint| &*endpoint.home.instance == instance)
                    .map(move |endpoint| (service, endpoint))
            })
    }
}

impl Routes {
    fn build(view: &View, previous: &Routes) -> Self {
        let mut table = Self::default();
        let homes = HomeFinder::new(&view.members);
        for (service, keys) in &view.endpoints.by_service {
            let slots = view.configuration.service(service).map_or(0, |s| s.slots);
            let slots = if slots == 0 { DEFAULT_SLOTS } else { slots };
            let mut routes = ServiceRoutes::default();
            let endpoints = keys
                .iter()
                .filter_map(|key| view.endpoints.endpoints.get(key));
            for endpoint in endpoints {
                if let Some(route) = table.route(endpoint, slots, &homes, previous) {
                    let index = routes.endpoints.len() as u32;
                    table.by_key.insert(endpoint.key, (service.clone(), index));
                    routes.endpoints.push(route);
                }
            }
            routes.build_ring();
            table.services.insert(service.clone(), routes);
        }
        table
    }

    /// Returns the route to an endpoint, if it accepts work.
    fn route(
        &mut self,
        endpoint: &Endpoint,
        slots: u32,
        homes: &HomeFinder<'_>,
        previous: &Routes,
    ) -> Option<RouteEndpoint> {
        let platform = &endpoint.platform;
        if platform.phase != EndpointPhase::Running {
            return None;
        }
        let home = homes.home(&platform.endpoint, &platform.failure_domain)?;
        Some(RouteEndpoint {
            key: endpoint.key,
            id: platform.endpoint.clone(),
            address: platform.address.clone(),
            slots,
            home_load: self.home_load(&home.instance, previous),
            home,
            load: previous.load(endpoint.key),
        })
    }

    fn endpoint(&self, key: EndpointKey) -> Option<&RouteEndpoint> {
        let (service, index) = self.by_key.get(&key)?;
        self.services.get(service)?.endpoints.get(*index as usize)
    }

    fn home_load(&mut self, instance: &Arc<str>, previous: &Routes) -> Arc<EndpointLoad> {
        let entry = self.homes.entry(instance.clone());
        entry
            .or_insert_with(|| previous.homes.get(instance).cloned().unwrap_or_default())
            .clone()
    }

    fn load(&self, key: EndpointKey) -> Arc<EndpointLoad> {
        self.endpoint(key)
            .map(|endpoint| endpoint.load.clone())
            .unwrap_or_default()
    }
}

/// Whether two lists of members result in the same home, at the same address, for every endpoint.
fn same_homes(a: &[Member], b: &[Member]) -> bool {
    let key = |member: &Member| {
        (
            member.instance.clone(),
            member.incarnation,
            member.failure_domain.clone(),
            member.peer_address.clone(),
            member.leaving,
        )
    };
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| key(a) == key(b))
}

/// Members indexed by failure domain, so that a home is chosen among few candidates.
struct HomeFinder<'a> {
    by_domain: HashMap<&'a str, Vec<Member>>,
    all: &'a [Member],
    by_instance: HashMap<&'a str, Arc<Member>>,
}

impl<'a> HomeFinder<'a> {
    fn new(members: &'a [Member]) -> Self {
        let mut by_domain: HashMap<&str, Vec<Member>> = HashMap::new();
        let mut by_instance = HashMap::new();
        for member in members.iter().filter(|member| !member.leaving) {
            let domain = by_domain.entry(&member.failure_domain).or_default();
            domain.push(member.clone());
            by_instance.insert(&*member.instance, Arc::new(member.clone()));
        }
        Self {
            by_domain,
            all: members,
            by_instance,
        }
    }

    fn home(&self, endpoint: &str, failure_domain: &str) -> Option<Arc<Member>> {
        let in_domain = self.by_domain.get(failure_domain);
        let candidates = in_domain.map_or(self.all, |in_domain| in_domain);
        let home = rendezvous::home(endpoint, failure_domain, candidates)?;
        self.by_instance.get(&*home.instance).cloned()
    }
}

impl ServiceRoutes {
    /// Chooses an endpoint for a request: the first on the ring after `affinity` with a free slot,
    /// or else the least loaded of the first few. Endpoints in `avoid`, where the request failed
    /// before, are skipped.
    pub fn choose(
        &self,
        affinity: u64,
        avoid: &[EndpointKey],
        now_ms: u64,
    ) -> Option<&RouteEndpoint> {
        let start = self.ring.partition_point(|(point, _)| *point < affinity);
        let mut candidates: [u32; MAX_CANDIDATES] = [u32::MAX; MAX_CANDIDATES];
        let mut candidate_count = 0;
        let mut best: Option<(u32, &RouteEndpoint)> = None;
        for offset in 0..self.ring.len() {
            let (_, index) = self.ring[(start + offset) % self.ring.len()];
            let endpoint = &self.endpoints[index as usize];
            let available =
                endpoint.load.is_available(now_ms) && endpoint.home_load.is_available(now_ms);
            if !available
                || avoid.contains(&endpoint.key)
                || candidates[..candidate_count].contains(&index)
            {
                continue;
            }
            let estimate = endpoint.load.estimate(now_ms);
            if estimate < endpoint.slots {
                return Some(endpoint);
            }
            if best.is_none_or(|(lowest, _)| estimate < lowest) {
                best = Some((estimate, endpoint));
            }
            candidates[candidate_count] = index;
            candidate_count += 1;
            if candidate_count == MAX_CANDIDATES {
                break;
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// All endpoints of the service, in unspecified order.
    pub fn endpoints(&self) -> &[RouteEndpoint] {
        &self.endpoints
    }

    fn build_ring(&mut self) {
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            for point in 0..POINTS_PER_ENDPOINT {
                let hash = xxh3_64_with_seed(endpoint.id.as_bytes(), point);
                self.ring.push((hash, index as u32));
            }
        }
        self.ring.sort_unstable();
    }
}

/// Ring position of a prompt. Prompts with the same prefix go to the same endpoint, which may have
/// it cached.
pub fn prompt_affinity(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(AFFINITY_PREFIX_BYTES)])
}
