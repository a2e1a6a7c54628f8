//! A cluster of entry instances with a fixed view and in-memory peer connections.
//!
//! Tests and benchmarks of the request path use it to avoid the overhead of the log, leases and
//! membership.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        Mutex, //
    }, //
};

use actix_rt::Arbiter;
use actix_web::{
    App,
    HttpServer, //
};
use flamingoscale::{
    clock::BootClock,
    configuration::{
        Configuration,
        FailureDomain,
        Organisation,
        Service, //
    },
    dispatch::Dispatcher,
    gateway::{
        self,
        Gateway, //
    },
    instance::Instance,
    keys::{
        self,
        KeyTable, //
    },
    peer::{
        PeerError,
        PeerHandler,
        PeerRequest,
        PeerStream,
        Peers, //
    },
    settings::SettingsBuilder,
    view::{
        Endpoint,
        EndpointKey,
        EndpointTable,
        Member,
        View, //
    },
    wire::{
        EndpointPhase,
        PlatformEndpoint,
        Tier, //
    }, //
};

use crate::platform::lock;

/// Handler of an instance's peer requests, and the thread that it runs on.
type Handler = (Arc<dyn PeerHandler>, actix_rt::ArbiterHandle);

/// In-memory network between the instances of a cluster.
#[derive(Default)]
struct InMemoryNetwork {
    handlers: Mutex<HashMap<Arc<str>, Handler>>,
    disconnected: Mutex<HashSet<Arc<str>>>,
    unresponsive: Mutex<HashSet<Arc<str>>>,
}

/// One instance's connections to its peers.
struct InMemoryPeers {
    from: Arc<str>,
    network: Arc<InMemoryNetwork>,
}

impl Peers for InMemoryPeers {
    fn open(&self, peer: &Arc<str>, _address: &Arc<str>, request: PeerRequest) -> PeerStream {
        let (sender, stream) = PeerStream::channel();
        let disconnected = lock(&self.network.disconnected);
        if disconnected.contains(peer) || disconnected.contains(&self.from) {
            let _ = sender.try_send(Err(PeerError::NotSent {
                peer: peer.clone(),
                reason: "the wire is cut".into(),
            }));
            return stream;
        }
        let handlers = lock(&self.network.handlers);
        let Some((handler, arbiter)) = handlers.get(peer) else {
            return stream;
        };
        let (handler, from) = (handler.clone(), self.from.clone());
        let unresponsive = lock(&self.network.unresponsive).contains(peer);
        arbiter.spawn(async move {
            if unresponsive {
                sender.closed().await;
                return;
            }
            let (replies, mut handler_replies) = tokio::sync::mpsc::channel(32);
            handler.handle(from, request, replies);
            loop {
                let reply = tokio::select! {
                    reply = handler_replies.recv() => reply,
                    () = sender.closed() => return,
                };
                let Some(reply) = reply else {
                    return;
                };
                if sender.send(Ok(reply)).await.is_err() {
                    return;
                }
            }
        });
        stream
    }
}

/// One instance of a [`Cluster`].
pub struct Node {
    /// State shared by the instance's threads.
    pub instance: Arc<Instance>,
    /// The instance's dispatcher.
    pub dispatcher: Arc<Dispatcher>,
    /// The HTTP address for callers.
    pub address: SocketAddr,
}

/// Builder of a [`Cluster`].
#[derive(Default)]
pub struct ClusterBuilder {
    nodes: Vec<(Arc<str>, Arc<str>)>,
    configuration: Configuration,
    endpoints: Vec<PlatformEndpoint>,
    traffic_threads: usize,
}

/// A running cluster; dropping it stops the threads that answer peers.
pub struct Cluster {
    /// The instances, in the order in which they were added.
    pub nodes: Vec<Node>,
    /// One API key for each organisation, by the organisation's name.
    pub keys: BTreeMap<Arc<str>, Arc<str>>,
    network: Arc<InMemoryNetwork>,
    arbiters: Vec<Arbiter>,
}

impl ClusterBuilder {
    /// Adds an instance, and its failure domain if that is new.
    pub fn node(mut self, name: &str, failure_domain: &str) -> Self {
        self.nodes.push((name.into(), failure_domain.into()));
        let domains = &mut self.configuration.failure_domains;
        if !domains.iter().any(|domain| &*domain.name == failure_domain) {
            domains.push(FailureDomain {
                name: failure_domain.into(),
                region: "here".into(),
            });
        }
        self
    }

    /// Adds a service to the configuration.
    pub fn service(mut self, service: Service) -> Self {
        self.configuration.services.push(service);
        self
    }

    /// Adds an organisation; [`ClusterBuilder::start`] generates a key for it.
    pub fn organisation(mut self, name: &str, weight: u32, tokens_per_s: u64) -> Self {
        self.configuration.organisations.push(Organisation {
            name: name.into(),
            weight,
            tokens_per_s,
        });
        self
    }

    /// Adds a running endpoint of a service.
    pub fn endpoint(
        mut self,
        name: &str,
        service: &str,
        failure_domain: &str,
        address: SocketAddr,
    ) -> Self {
        self.endpoints.push(PlatformEndpoint {
            endpoint: name.into(),
            service: service.into(),
            failure_domain: failure_domain.into(),
            address: address.to_string().into(),
            tier: Tier::Firm,
            phase: EndpointPhase::Running,
            order: 0,
        });
        self
    }

    /// Sets how many threads serve callers at each instance; the minimum is 1.
    pub fn traffic_threads(mut self, threads: usize) -> Self {
        self.traffic_threads = threads;
        self
    }

    /// Starts the instances. Must be called inside an Actix runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound.
    pub fn start(self) -> io::Result<Cluster> {
        let network = Arc::new(InMemoryNetwork::default());
        let mut nodes = Vec::new();
        let mut arbiters = Vec::new();
        for (index, (name, domain)) in self.nodes.iter().enumerate() {
            let arbiter = Arbiter::new();
            let node = self.start_node(index as u64, name, domain, &network, &arbiter)?;
            nodes.push(node);
            arbiters.push(arbiter);
        }
        let mut table = KeyTable::default();
        let mut keys = BTreeMap::new();
        for organisation in &self.configuration.organisations {
            let (key, entry) = keys::generate(organisation.name.clone(), &mut rand::rng());
            table.grant(entry);
            keys.insert(organisation.name.clone(), key);
        }
        let view = View {
            revision: 1,
            folded: 1,
            configuration: Arc::new(self.configuration),
            keys: Arc::new(table),
            endpoints: Arc::new(endpoint_table(&self.endpoints)),
            members: Arc::new(nodes.iter().map(member).collect()),
            ..View::default()
        };
        for node in &nodes {
            node.instance.view.store(view.clone());
            node.instance.view.set_fresh_until_ms(u64::MAX);
        }
        Ok(Cluster {
            nodes,
            keys,
            network,
            arbiters,
        })
    }

    fn start_node(
        &self,
        index: u64,
        name: &Arc<str>,
        domain: &Arc<str>,
        network: &Arc<InMemoryNetwork>,
        arbiter: &Arbiter,
    ) -> io::Result<Node> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port)?;
        let address = listener.local_addr()?;
        let settings = SettingsBuilder::new(name.clone(), domain.clone(), any_port, any_port)
            .address(address)
            .build();
        let clock = Arc::new(BootClock);
        let instance = Arc::new(Instance::new(settings, index + 1, clock));
        let dispatcher = Dispatcher::new(instance.clone());
        instance.set_dispatch(dispatcher.clone());
        instance.set_peers(Arc::new(InMemoryPeers {
            from: name.clone(),
            network: network.clone(),
        }));
        let handler: Arc<dyn PeerHandler> = dispatcher.clone();
        lock(&network.handlers).insert(name.clone(), (handler, arbiter.handle()));
        let watched_dispatcher = dispatcher.clone();
        arbiter.spawn_fn(move || {
            actix_rt::spawn(watched_dispatcher.watch());
        });
        let gateway = Gateway::new(instance.clone(), dispatcher.clone());
        let server = HttpServer::new(move || {
            let gateway = gateway.clone();
            App::new().configure(move |config| gateway::configure(config, gateway))
        })
        .workers(self.traffic_threads.max(1))
        .disable_signals()
        .listen(listener)?
        .run();
        actix_rt::spawn(server);
        Ok(Node {
            instance,
            dispatcher,
            address,
        })
    }
}

fn endpoint_table(endpoints: &[PlatformEndpoint]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for (index, listed) in endpoints.iter().enumerate() {
        let key = EndpointKey(index as u32);
        let keys = table.by_service.entry(listed.service.clone());
        keys.or_default().push(key);
        let platform = listed.clone();
        table.endpoints.insert(key, Endpoint { key, platform });
    }
    table.next_key = endpoints.len() as u32;
    table
}

fn member(node: &Node) -> Member {
    let settings = &node.instance.settings;
    Member {
        instance: settings.instance.clone(),
        incarnation: node.instance.incarnation,
        failure_domain: settings.failure_domain.clone(),
        address: node.address.to_string().into(),
        peer_address: settings.instance.clone(),
        leaving: false,
        suspect: false,
        revision: 1,
    }
}

impl Cluster {
    /// Applies a change to the view of every instance.
    pub fn update(&self, change: impl Fn(&mut View)) {
        for node in &self.nodes {
            let mut view = (*node.instance.view.load()).clone();
            change(&mut view);
            node.instance.view.store(view);
        }
    }

    /// Disconnects an instance from its peers, or reconnects it. Streams that are already open
    /// continue.
    pub fn set_disconnected(&self, name: &str, disconnected: bool) {
        let mut names = lock(&self.network.disconnected);
        if disconnected {
            names.insert(name.into());
        } else {
            names.remove(name);
        }
    }

    /// Sets whether an instance leaves new peer requests unanswered.
    pub fn set_unresponsive(&self, name: &str, unresponsive: bool) {
        let mut names = lock(&self.network.unresponsive);
        if unresponsive {
            names.insert(name.into());
        } else {
            names.remove(name);
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }
}
