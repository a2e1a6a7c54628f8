//! The route table: for every service its endpoints on a hash ring, each with its home.
//!
//! It is built once for each change of endpoints or members, so that a request's choice costs a
//! binary search and a short walk, whatever the number of endpoints.

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
        EndpointKey,
        EndpointTable,
        Member,
        View, //
    },
    wire::EndpointPhase, //
};

/// Points of one endpoint on the ring; more spread the load more evenly.
const POINTS_PER_ENDPOINT: u64 = 8;

/// Distinct endpoints that a choice looks at before it takes the least loaded of them.
const WALK_ENDPOINTS: usize = 8;

/// Bytes of a prompt that requests must share to go to the same endpoint.
const AFFINITY_BYTES: usize = 256;

/// Slots of an endpoint whose service names none.
const DEFAULT_SLOTS: u32 = 8;

/// One endpoint as a target of requests.
#[derive(Clone, Debug)]
pub struct RouteEndpoint {
    /// Its key.
    pub key: EndpointKey,
    /// Its id.
    pub id: Arc<str>,
    /// `ip:port` of its HTTP face.
    pub address: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The instance that sends it work.
    pub home: Arc<Member>,
    /// Its load as seen from here.
    pub load: Arc<EndpointLoad>,
    /// Closed while its home can't be reached.
    pub home_load: Arc<EndpointLoad>,
}

/// The endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceRoutes {
    endpoints: Vec<RouteEndpoint>,
    /// Points in order, each with an index into `endpoints`.
    ring: Vec<(u64, u32)>,
}

/// The route table of one view.
#[derive(Debug, Default)]
pub struct RouteTable {
    services: HashMap<Arc<str>, ServiceRoutes>,
    by_key: HashMap<EndpointKey, (Arc<str>, u32)>,
    homes: HashMap<Arc<str>, Arc<EndpointLoad>>,
    endpoints: Arc<EndpointTable>,
    members: Arc<Vec<Member>>,
    configuration: Arc<Configuration>,
}

impl RouteTable {
    /// Builds the table of a view; loads are carried over from the table before it.
    pub fn build(view: &View, before: &RouteTable) -> Self {
        let mut table = Self {
            endpoints: view.endpoints.clone(),
            members: view.members.clone(),
            configuration: view.configuration.clone(),
            ..Self::default()
        };
        let homes = HomeFinder::new(&view.members);
        for (service, keys) in &view.endpoints.by_service {
            let slots = view.configuration.service(service).map_or(0, |s| s.slots);
            let mut routes = ServiceRoutes::default();
            for endpoint in keys.iter().filter_map(|key| view.endpoints.endpoints.get(key)) {
                if endpoint.platform.phase != EndpointPhase::Running {
                    continue;
                }
                let platform = &endpoint.platform;
                let Some(home) = homes.home(&platform.endpoint, &platform.failure_domain) else {
                    continue;
                };
                let index = routes.endpoints.len() as u32;
                table.by_key.insert(endpoint.key, (service.clone(), index));
                routes.endpoints.push(RouteEndpoint {
                    key: endpoint.key,
                    id: platform.endpoint.clone(),
                    address: platform.address.clone(),
                    slots: if slots == 0 { DEFAULT_SLOTS } else { slots },
                    home_load: table.home_load(&home.instance, before),
                    home,
                    load: before.load(endpoint.key),
                });
            }
            routes.build_ring();
            table.services.insert(service.clone(), routes);
        }
        table
    }

    /// Whether the table still fits the view.
    pub fn fits(&self, view: &View) -> bool {
        same(&self.endpoints, &view.endpoints)
            && same(&self.members, &view.members)
            && same(&self.configuration, &view.configuration)
    }

    /// The routes of a service that has endpoints.
    pub fn service(&self, service: &str) -> Option<&ServiceRoutes> {
        self.services.get(service)
    }

    /// The endpoint with this key, if work may go there.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&RouteEndpoint> {
        let (service, index) = self.by_key.get(&key)?;
        self.services.get(service)?.endpoints.get(*index as usize)
    }

    /// All endpoints whose home is the instance, with their services.
    pub fn at_home<'a>(
        &'a self,
        instance: &'a str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a RouteEndpoint)> {
        self.services.iter().flat_map(move |(service, routes)| {
            let endpoints = routes.endpoints.iter();
            endpoints
                .filter(move |endpoint| &*endpoint.home.instance == instance)
                .map(move |endpoint| (service, endpoint))
        })
    }

    fn home_load(&mut self, instance: &Arc<str>, before: &RouteTable) -> Arc<EndpointLoad> {
        let entry = self.homes.entry(instance.clone());
        entry
            .or_insert_with(|| before.homes.get(instance).cloned().unwrap_or_default())
            .clone()
    }

    fn load(&self, key: EndpointKey) -> Arc<EndpointLoad> {
        self.endpoint(key)
            .map(|endpoint| endpoint.load.clone())
            .unwrap_or_default()
    }
}

/// Compares what two views hold, by address first because most changes leave most parts alone.
fn same<T: PartialEq>(a: &Arc<T>, b: &Arc<T>) -> bool {
    Arc::ptr_eq(a, b) || a == b
}

/// Members by failure domain, so that a home is found among few candidates.
struct HomeFinder<'a> {
    by_domain: HashMap<&'a str, Vec<Member>>,
    all: &'a [Member],
    shared: HashMap<&'a str, Arc<Member>>,
}

impl<'a> HomeFinder<'a> {
    fn new(members: &'a [Member]) -> Self {
        let mut by_domain: HashMap<&str, Vec<Member>> = HashMap::new();
        let mut shared = HashMap::new();
        for member in members.iter().filter(|member| !member.leaving) {
            let domain = by_domain.entry(&member.failure_domain).or_default();
            domain.push(member.clone());
            shared.insert(&*member.instance, Arc::new(member.clone()));
        }
        Self {
            by_domain,
            all: members,
            shared,
        }
    }

    fn home(&self, endpoint: &str, failure_domain: &str) -> Option<Arc<Member>> {
        let near = self.by_domain.get(failure_domain);
        let candidates = near.map_or(self.all, |near| near);
        let home = rendezvous::home(endpoint, failure_domain, candidates)?;
        self.shared.get(&*home.instance).cloned()
    }
}

impl ServiceRoutes {
    /// Chooses an endpoint for a request: the first on the ring behind `affinity` that has a free
    /// slot, or the least loaded of the first few. `avoid` are those that failed it before.
    pub fn choose(
        &self,
        affinity: u64,
        avoid: &[EndpointKey],
        now_ms: u64,
    ) -> Option<&RouteEndpoint> {
        let start = self.ring.partition_point(|(point, _)| *point < affinity);
        let mut seen: [u32; WALK_ENDPOINTS] = [u32::MAX; WALK_ENDPOINTS];
        let mut count = 0;
        let mut best: Option<(u32, &RouteEndpoint)> = None;
        for step in 0..self.ring.len() {
            let (_, index) = self.ring[(start + step) % self.ring.len()];
            let endpoint = &self.endpoints[index as usize];
            let open = endpoint.load.is_open(now_ms) && endpoint.home_load.is_open(now_ms);
            if !open || avoid.contains(&endpoint.key) || seen[..count].contains(&index)
            {
                continue;
            }
            let estimate = endpoint.load.estimate(now_ms);
            if estimate < endpoint.slots {
                return Some(endpoint);
            }
            if best.is_none_or(|(least, _)| estimate < least) {
                best = Some((estimate, endpoint));
            }
            seen[count] = index;
            count += 1;
            if count == WALK_ENDPOINTS {
                break;
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// The endpoints in no order.
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

/// The ring position of a prompt: those that start alike go to the same endpoint's cache.
pub fn prompt_affinity(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(AFFINITY_BYTES)])
}
