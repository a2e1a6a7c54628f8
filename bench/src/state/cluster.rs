//! A cluster of instances in this process. They share a stand-in platform over HTTP and talk to
//! each other over `h2`.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use actix_rt::Arbiter;
use flamingoscale::{
    clock::BootClock,
    control::{
        self,
        ControlHandle, //
    },
    controller::{
        ControlContext,
        Controller, //
    },
    instance::{
        Control,
        Instance, //
    },
    log::LogController,
    membership::MembershipController,
    peer::{
        self,
        PeerPool,
        PeerRouter, //
    },
    settings::SettingsBuilder,
    state::LeaseEntry, //
};
use futures::{
    channel::{
        mpsc,
        oneshot, //
    },
    StreamExt as _, //
};
use standin::{
    platform::{
        Platform,
        PlatformSettings, //
    },
    server::Host, //
};

/// Failure domains, assigned to the instances in turn.
const DOMAINS: [&str; 4] = ["saiq", "shams", "nizwa", "hamra"];

/// Maximum wait for a condition that must become true on all instances.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// The name of a lease, and the channel on which its entry in the folded state is returned.
type LeaseQuery = (Arc<str>, oneshot::Sender<Option<LeaseEntry>>);

/// Answers lease queries on the control thread, which owns the folded state.
struct LeaseQueryController {
    lease_queries: mpsc::UnboundedReceiver<LeaseQuery>,
}

impl Controller for LeaseQueryController {
    fn name(&self) -> &'static str {
        "probe"
    }

    fn start(mut self: Box<Self>, context: ControlContext) {
        actix_rt::spawn(async move {
            while let Some((lease, reply)) = self.lease_queries.next().await {
                let entry = context.state.borrow().leases.get(&lease).cloned();
                let _ = reply.send(entry);
            }
        });
    }
}

/// One instance, which runs its controllers but serves no client traffic.
pub(crate) struct Node {
    pub(crate) instance: Arc<Instance>,
    pub(crate) control: Arc<dyn Control>,
    lease_queries: mpsc::UnboundedSender<LeaseQuery>,
    peer_arbiter: Arbiter,
    control_handle: ControlHandle,
}

impl Node {
    fn start(index: usize, platform: SocketAddr, seed_address: Option<SocketAddr>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let domain = DOMAINS[index % DOMAINS.len()];
        let name = format!("n{index}");
        let mut settings =
            SettingsBuilder::new(name, domain, platform, platform).peer_address(address);
        if let Some(seed_address) = seed_address {
            settings = settings.seed(seed_address);
        }
        let incarnation = 1 + index as u64;
        let clock = Arc::new(BootClock);
        let instance = Arc::new(Instance::new(settings.build(), incarnation, clock));
        Self::run(instance, listener)
    }

    fn run(instance: Arc<Instance>, listener: TcpListener) -> Self {
        let (membership, membership_handler) = MembershipController::new(instance.clone());
        let (log, log_handler, control) = LogController::new(instance.clone());
        let router = PeerRouter::default()
            .membership(membership_handler)
            .log(log_handler);
        instance.set_peers(PeerPool::new(instance.clone()));
        instance.set_control(control.clone());
        let peer_arbiter = Arbiter::new();
        let server_instance = instance.clone();
        peer_arbiter.spawn(async move {
            let _ = peer::serve(server_instance, listener, router).await;
        });
        let (lease_queries, receiver) = mpsc::unbounded();
        let lease_query_controller = LeaseQueryController {
            lease_queries: receiver,
        };
        let controllers: Vec<Box<dyn Controller>> =
            vec![Box::new(membership), Box::new(lease_query_controller)];
        let control_handle = control::start(instance.clone(), log, controllers);
        Self {
            instance,
            control,
            lease_queries,
            peer_arbiter,
            control_handle: control_handle.expect("an actix system is running"),
        }
    }

    /// Returns the entry of a lease in the folded state of this instance.
    pub(crate) async fn lease(&self, lease: &str) -> Option<LeaseEntry> {
        let (reply, entry) = oneshot::channel();
        let _ = self.lease_queries.unbounded_send((lease.into(), reply));
        entry.await.ok().flatten()
    }

    pub(crate) fn revision(&self) -> u64 {
        self.instance.view.load().revision
    }
}

/// Instances in this process and the stand-in platform that they share.
pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    pub(crate) nodes: Vec<Node>,
    _host: Host,
}

impl Cluster {
    /// Starts the instances and waits until each has all members in its view and the view is fresh.
    pub(crate) async fn start(size: usize) -> Self {
        let host = Host::start().expect("the host thread starts");
        let platform = PlatformSettings::default().start(&host);
        let platform = platform.expect("a loopback port is free");
        let mut nodes: Vec<Node> = Vec::new();
        for index in 0..size {
            let seed_address = nodes
                .first()
                .map(|node| node.instance.settings.peer_address);
            nodes.push(Node::start(index, platform.address(), seed_address));
        }
        let cluster = Self {
            platform,
            nodes,
            _host: host,
        };
        cluster
            .wait_until_all(|node| {
                let view = node.instance.view.load();
                view.members.len() == size && node.instance.view.is_fresh(node.instance.now_ms())
            })
            .await;
        cluster
    }

    /// Waits until the condition is true on all instances. Panics after `CONDITION_TIMEOUT`.
    pub(crate) async fn wait_until_all(&self, condition: impl Fn(&Node) -> bool) {
        let start = Instant::now();
        while !self.nodes.iter().all(&condition) {
            assert!(
                start.elapsed() < CONDITION_TIMEOUT,
                "condition not met on all instances before the timeout"
            );
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    }

    pub(crate) fn stop(self) {
        for node in self.nodes {
            node.control_handle.stop();
            node.peer_arbiter.stop();
        }
    }
}
