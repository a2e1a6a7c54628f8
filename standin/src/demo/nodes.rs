//! The nodes of one run, which are threads of this process.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc, //
};

use flamingoscale::{
    daemon::Daemon,
    settings::SettingsBuilder,
    wire::ListedInstance, //
};

use super::{
    progress,
    world::{
        World,
        FAILURE_DOMAINS, //
    },
    OPERATOR_TOKEN, //
};
use crate::faults::sleep_ms;

/// Number of threads that serve callers at each node.
const TRAFFIC_THREADS: usize = 2;

/// Delay until a killed node is replaced.
const REPLACEMENT_DELAY_MS: u64 = 1_500;

/// Maximum time that a draining node waits for its in-flight requests.
const DRAIN_TIMEOUT_MS: u64 = 20_000;

/// The nodes; a slot is empty while its node is down.
pub(super) struct Nodes {
    slots: RefCell<Vec<Option<Daemon>>>,
    /// Peer addresses of the initial nodes, by which other nodes find the cluster.
    seeds: Vec<SocketAddr>,
    world: Rc<World>,
}

impl Nodes {
    /// Starts the nodes; each one gets the earlier ones as its seeds.
    pub(super) fn start(count: usize, world: &Rc<World>) -> Result<Self, String> {
        let mut nodes = Self {
            slots: RefCell::default(),
            seeds: Vec::new(),
            world: world.clone(),
        };
        for index in 0..count {
            let daemon = nodes.launch(index)?;
            nodes.seeds.push(daemon.peer_address());
            nodes.slots.borrow_mut().push(Some(daemon));
        }
        Ok(nodes)
    }

    /// Returns the HTTP addresses of the nodes that are running.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let slots = self.slots.borrow();
        slots.iter().flatten().map(Daemon::address).collect()
    }

    /// Stops a node abruptly, as a crash does, and starts a replacement after a delay.
    pub(super) fn kill(self: &Rc<Self>, index: usize) {
        let index = index % self.slots.borrow().len();
        let Some(daemon) = self.slots.borrow_mut()[index].take() else {
            return;
        };
        self.world.platform.unlist_instance(daemon.instance().id());
        std::thread::spawn(move || daemon.kill());
        let nodes = self.clone();
        actix_rt::spawn(async move {
            sleep_ms(REPLACEMENT_DELAY_MS).await;
            match nodes.launch(index) {
                Ok(daemon) => {
                    progress(&format!("replaced node {}", daemon.instance().id()));
                    nodes.slots.borrow_mut()[index] = Some(daemon);
                }
                Err(error) => progress(&format!("could not replace a node: {error}")),
            }
        });
    }

    /// Drains a node without interrupting requests; returns when the node has stopped.
    pub(super) async fn drain(&self, index: usize) {
        let index = index % self.slots.borrow().len();
        let daemon = self.slots.borrow_mut()[index].take();
        if let Some(daemon) = daemon {
            let id = daemon.instance().id().clone();
            run_on_thread(move || daemon.drain(DRAIN_TIMEOUT_MS)).await;
            progress(&format!("node {id} drained and stopped"));
        }
    }

    /// Stops all nodes without draining.
    pub(super) async fn stop_all(&self) {
        let daemons: Vec<Daemon> = self
            .slots
            .borrow_mut()
            .iter_mut()
            .filter_map(Option::take)
            .collect();
        for daemon in daemons {
            run_on_thread(move || daemon.kill()).await;
        }
    }

    fn launch(&self, index: usize) -> Result<Daemon, String> {
        let domain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()];
        let platform = self.world.platform.address();
        let store = self.world.store.address();
        let mut settings = SettingsBuilder::new(format!("n{}", index + 1), domain, platform, store)
            .operator_token(OPERATOR_TOKEN)
            .traffic_threads(TRAFFIC_THREADS);
        for &seed in &self.seeds {
            settings = settings.seed(seed);
        }
        let daemon = Daemon::start(settings.build()).map_err(|error| error.to_string())?;
        self.world.platform.list_instance(ListedInstance {
            instance: daemon.instance().id().clone(),
            peer_address: daemon.peer_address().to_string().into(),
            failure_domain: domain.into(),
            leaving: false,
        });
        Ok(daemon)
    }
}

/// Runs a blocking job on a separate thread and waits for it.
async fn run_on_thread(job: impl FnOnce() + Send + 'static) {
    let (done_sender, done_receiver) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        job();
        let _ = done_sender.send(());
    });
    let _ = done_receiver.await;
}
