//! The nodes of one run, as threads of this process.

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
        DOMAINS, //
    },
    OPERATOR_TOKEN, //
};
use crate::faults::sleep_ms;

/// Threads that serve callers at each node.
const TRAFFIC_THREADS: usize = 2;

/// A killed node is replaced after this time.
const REPLACEMENT_DELAY_MS: u64 = 1_500;

/// Longest that a leaving node waits for its work.
const DRAIN_TIMEOUT_MS: u64 = 20_000;

/// The nodes; a place is empty while its node is gone.
pub(super) struct Nodes {
    slots: RefCell<Vec<Option<Daemon>>>,
    /// Where peers find the first ones.
    seeds: Vec<SocketAddr>,
    world: Rc<World>,
}

impl Nodes {
    /// Starts nodes that know the first one as their seed.
    pub(super) fn start(count: usize, world: &Rc<World>) -> Result<Self, String> {
        let mut nodes = Self {
            slots: RefCell::default(),
            seeds: Vec::new(),
            world: world.clone(),
        };
        for number in 0..count {
            let daemon = nodes.launch(number)?;
            nodes.seeds.push(daemon.peer_address());
            nodes.slots.borrow_mut().push(Some(daemon));
        }
        Ok(nodes)
    }

    /// Where callers reach the nodes that are there now.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let slots = self.slots.borrow();
        slots.iter().flatten().map(Daemon::address).collect()
    }

    /// Ends a node as a crash would, and replaces it some time later.
    pub(super) fn kill(self: &Rc<Self>, number: usize) {
        let number = number % self.slots.borrow().len();
        let Some(daemon) = self.slots.borrow_mut()[number].take() else {
            return;
        };
        self.world.platform.unlist_instance(daemon.instance().id());
        std::thread::spawn(move || daemon.kill());
        let nodes = self.clone();
        actix_rt::spawn(async move {
            sleep_ms(REPLACEMENT_DELAY_MS).await;
            match nodes.launch(number) {
                Ok(daemon) => {
                    progress(&format!("node {} is replaced", daemon.instance().id()));
                    nodes.slots.borrow_mut()[number] = Some(daemon);
                }
                Err(error) => progress(&format!("a node was not replaced: {error}")),
            }
        });
    }

    /// Lets a node go away without cutting a request; returns once it is gone.
    pub(super) async fn drain(&self, number: usize) {
        let number = number % self.slots.borrow().len();
        let daemon = self.slots.borrow_mut()[number].take();
        if let Some(daemon) = daemon {
            let id = daemon.instance().id().clone();
            run_on_thread(move || daemon.drain(DRAIN_TIMEOUT_MS)).await;
            progress(&format!("node {id} went away gracefully"));
        }
    }

    /// Ends all nodes.
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

    fn launch(&self, number: usize) -> Result<Daemon, String> {
        let domain = DOMAINS[number % DOMAINS.len()];
        let platform = self.world.platform.address();
        let store = self.world.store.address();
        let mut settings =
            SettingsBuilder::new(format!("n{}", number + 1), domain, platform, store)
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

/// Runs something that blocks on a thread of its own.
async fn run_on_thread(job: impl FnOnce() + Send + 'static) {
    let (done, finished) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        job();
        let _ = done.send(());
    });
    let _ = finished.await;
}
