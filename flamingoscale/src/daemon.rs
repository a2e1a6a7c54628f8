//! Puts the components of one entry instance together and runs them.
//!
//! One thread owns control state, one serves peers, one looks after endpoints and rollouts, and
//! the rest serve callers. See `docs/design/threads.md`.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        mpsc,
        Arc, //
    },
    thread::JoinHandle,
    time::{
        Duration,
        Instant, //
    }, //
};

use actix_rt::{
    Arbiter,
    System, //
};
use actix_web::{
    dev::ServerHandle,
    web,
    App,
    HttpServer, //
};
use derive_more::{
    Display,
    Error, //
};

use crate::{
    admin::{
        self,
        Admin, //
    },
    clock::{
        BootClock,
        Clock, //
    },
    control,
    controller::{
        orders::OrdersController,
        usage::UsageController,
        weights::WeightsController,
        Controller, //
    },
    dispatch::Dispatcher,
    gateway::{
        self,
        Gateway,
        ENTRIES_TTL_MS, //
    },
    home::Homes,
    instance::Instance,
    log::LogController,
    membership::MembershipController,
    peer::{
        self,
        PeerPool,
        PeerRouter, //
    },
    rollout::{
        self,
        Coordinator, //
    },
    settings::Settings, //
};

/// The result of starting an instance.
pub type Result<T> = std::result::Result<T, DaemonError>;

/// How long the others may go on naming a leaving instance until they all know that it leaves.
const LEAVE_PROPAGATION_MS: u64 = 2_000;

/// How long a leaving instance stays reachable for callers that still hold its address. One that
/// connects while the port closes could not tell whether its request ran.
const MIN_DRAIN_MS: u64 = LEAVE_PROPAGATION_MS + ENTRIES_TTL_MS;

/// How often a leaving instance looks whether its work is through.
const DRAIN_POLL_MS: u64 = 50;

/// Seconds that the HTTP server waits for open answers once it is told to stop.
const HTTP_SHUTDOWN_TIMEOUT_S: u64 = 60;

/// Callers' connections that one thread keeps open; more wait to be accepted.
const MAX_CONNECTIONS_PER_THREAD: usize = 4_096;

/// Longest time for a caller to send the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an instance can't start.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum DaemonError {
    /// An address can't be listened on.
    #[display("can't listen on {address} ({reason}): free it or change the settings")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: Arc<str>,
    },
    /// A thread ended before the instance was up.
    #[display("start-up failed ({reason}): see the log lines before this one")]
    Start {
        /// What went wrong.
        reason: Arc<str>,
    },
}

/// A running instance.
pub struct Daemon {
    instance: Arc<Instance>,
    server: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts an instance on threads of its own and returns once it listens.
    ///
    /// # Errors
    ///
    /// A [`DaemonError`]; nothing is left running.
    pub fn start(settings: Settings) -> Result<Self> {
        Self::start_with_clock(settings, Arc::new(BootClock))
    }

    /// As [`Daemon::start`], with a clock of the caller's choosing.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub fn start_with_clock(mut settings: Settings, clock: Arc<dyn Clock>) -> Result<Self> {
        let caller_listener = listen(&mut settings.address)?;
        let peer_listener = listen(&mut settings.peer_address)?;
        let instance = Arc::new(Instance::new(settings, rand::random(), clock));
        let (started, start_result) = mpsc::channel();
        let run_instance = instance.clone();
        let thread = std::thread::Builder::new()
            .name(format!("{}-main", instance.id()))
            .spawn(move || {
                let system = System::new();
                system.block_on(run(run_instance, caller_listener, peer_listener, started));
                // Ends the other threads: only a running system passes the stop on to them.
                System::current().stop();
                if let Err(error) = system.run() {
                    spdlog::error!("the instance ended badly: {error}");
                }
            })
            .map_err(start_error)?;
        let server = start_result.recv().map_err(start_error)??;
        Ok(Self {
            instance,
            server,
            thread: Some(thread),
        })
    }

    /// What the instance's threads share.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.instance.settings.address
    }

    /// Where peers reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.instance.settings.peer_address
    }

    /// Goes away without cutting a request: tells peers and callers, lets all work end, stops.
    ///
    /// Blocks the calling thread. Work that is still open after `limit_ms` milliseconds is cut, so
    /// that a stream that never ends can't keep the instance for ever.
    pub fn drain(mut self, limit_ms: u64) {
        self.instance.start_draining();
        let timeline = &self.instance.timeline;
        timeline.record("instance.drain", "", &[("limit_ms", &limit_ms)]);
        let deadline = Instant::now() + Duration::from_millis(limit_ms.max(MIN_DRAIN_MS));
        std::thread::sleep(Duration::from_millis(MIN_DRAIN_MS));
        while self.instance.in_flight() > 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(DRAIN_POLL_MS));
        }
        let is_finished = self.instance.in_flight() == 0;
        futures::executor::block_on(self.server.stop(is_finished));
        self.join_main_thread();
    }

    /// Ends at once, as a crash would: connections break, nothing is told.
    pub fn kill(mut self) {
        drop(self.server.stop(false));
        self.join_main_thread();
    }

    fn join_main_thread(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the main thread has been printed by its hook already.
            let _ = thread.join();
        }
    }
}

fn listen(address: &mut SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(*address).map_err(|error| listen_error(*address, &error))?;
    *address = listener
        .local_addr()
        .map_err(|error| listen_error(*address, &error))?;
    Ok(listener)
}

fn listen_error(address: SocketAddr, error: &std::io::Error) -> DaemonError {
    DaemonError::Listen {
        address,
        reason: error.to_string().into(),
    }
}

fn start_error(error: impl std::fmt::Display) -> DaemonError {
    DaemonError::Start {
        reason: error.to_string().into(),
    }
}

type StartSender = mpsc::Sender<Result<ServerHandle>>;

/// The main thread of an instance: builds everything, then serves callers until stopped.
async fn run(
    instance: Arc<Instance>,
    caller_listener: TcpListener,
    peer_listener: TcpListener,
    started: StartSender,
) {
    let components = match Components::build(&instance, peer_listener) {
        Ok(components) => components,
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    let threads = instance.settings.traffic_threads;
    let server = HttpServer::new(move || {
        let components = components.clone();
        App::new().configure(move |config| components.configure(config))
    })
    .workers(threads)
    .max_connections(MAX_CONNECTIONS_PER_THREAD)
    .client_request_timeout(REQUEST_HEAD_TIMEOUT)
    .shutdown_timeout(HTTP_SHUTDOWN_TIMEOUT_S)
    .disable_signals()
    .listen(caller_listener);
    let server = match server {
        Ok(server) => server.run(),
        Err(error) => {
            let _ = started.send(Err(start_error(error)));
            return;
        }
    };
    let _ = started.send(Ok(server.handle()));
    if let Err(error) = server.await {
        spdlog::error!("the HTTP server ended: {error}");
    }
}

/// What the HTTP workers need of the other threads.
#[derive(Clone)]
struct Components {
    gateway: Arc<Gateway>,
    coordinator: Arc<Coordinator>,
    admin: Admin,
}

impl Components {
    fn build(instance: &Arc<Instance>, peer_listener: TcpListener) -> Result<Self> {
        instance.set_peers(PeerPool::new(instance.clone()));
        let dispatcher = Dispatcher::new(instance.clone());
        instance.set_dispatch(dispatcher.clone());
        let homes: Arc<dyn Homes> = dispatcher.clone();
        let coordinator = Coordinator::new(instance.clone(), homes.clone());

        let (membership, membership_handler) = MembershipController::new(instance.clone());
        let (log, log_handler, control) = LogController::new(instance.clone());
        let (usage, usage_handler) = UsageController::new(instance.clone());
        let orders = OrdersController::new(instance.clone());
        instance.set_control(control);
        let router = PeerRouter::default()
            .membership(membership_handler)
            .log(log_handler)
            .dispatch(dispatcher.clone())
            .gateway(dispatcher.clone())
            .rollout(coordinator.clone())
            .usage(usage_handler)
            .orders(orders.handler());
        let controllers: Vec<Box<dyn Controller>> = vec![
            Box::new(membership),
            Box::new(orders),
            Box::new(usage),
            Box::new(WeightsController::new(instance.clone(), homes.clone())),
        ];
        control::start(instance.clone(), log, controllers).map_err(start_error)?;
        spawn_peer_thread(instance, peer_listener, router);
        spawn_traffic_thread(dispatcher.clone(), coordinator.clone());

        Ok(Self {
            gateway: Gateway::new(instance.clone(), dispatcher),
            coordinator,
            admin: Admin::new(instance.clone(), homes),
        })
    }

    fn configure(self, config: &mut web::ServiceConfig) {
        admin::configure(config, self.admin);
        rollout::configure(config, self.coordinator);
        gateway::configure(config, self.gateway);
    }
}

fn spawn_peer_thread(instance: &Arc<Instance>, listener: TcpListener, router: PeerRouter) {
    let instance = instance.clone();
    Arbiter::new().spawn(async move {
        if let Err(error) = peer::serve(instance, listener, router).await {
            spdlog::error!("the peer server ended: {error}");
        }
    });
}

fn spawn_traffic_thread(dispatcher: Arc<Dispatcher>, coordinator: Arc<Coordinator>) {
    let traffic = Arbiter::new();
    traffic.spawn_fn(move || {
        actix_rt::spawn(dispatcher.watch());
        actix_rt::spawn(coordinator.run());
    });
}
