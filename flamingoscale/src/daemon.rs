//! Assembles and runs one entry instance.
//!
//! One thread owns the control state, one serves peers, one manages endpoints and rollouts, and
//! the remaining threads serve callers. See `docs/design/threads.md`.

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

/// Time until all peers know that an instance is leaving and no longer list it as an entry.
const LEAVE_PROPAGATION_MS: u64 = 2_000;

/// Minimum time for which a leaving instance accepts connections, because callers may still hold
/// its address. A caller that connects while the port closes can't tell whether its request ran.
const MIN_DRAIN_MS: u64 = LEAVE_PROPAGATION_MS + ENTRIES_TTL_MS;

/// Interval at which a draining instance checks whether all work has finished.
const DRAIN_POLL_MS: u64 = 50;

/// Time for which a stopping HTTP server waits for open responses.
const HTTP_SHUTDOWN_TIMEOUT_S: u64 = 60;

/// Maximum number of open caller connections per thread; further connections wait in the accept
/// queue.
const MAX_CONNECTIONS_PER_THREAD: usize = 4_096;

/// Timeout for receiving the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// An error while starting an instance.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum DaemonError {
    /// The instance can't listen on an address.
    #[display("can't listen on {address} ({reason}): free it or change the settings")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error message of the operating system.
        reason: Arc<str>,
    },
    /// A component could not be created, or the main thread ended before the instance was
    /// listening.
    #[display("start-up failed ({reason}): see the log lines before this one")]
    Start {
        /// Description of the failure.
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
    /// Starts an instance on new threads and returns once it is listening.
    ///
    /// # Errors
    ///
    /// Returns a [`DaemonError`] if start-up fails.
    pub fn start(settings: Settings) -> Result<Self> {
        Self::start_with_clock(settings, Arc::new(BootClock))
    }

    /// Like [`Daemon::start`], but uses the given clock.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Daemon::start`].
    pub fn start_with_clock(mut settings: Settings, clock: Arc<dyn Clock>) -> Result<Self> {
        let caller_listener = listen(&mut settings.address)?;
        let peer_listener = listen(&mut settings.peer_address)?;
        let instance = Arc::new(Instance::new(settings, rand::random(), clock));
        let (start_sender, start_result) = mpsc::channel();
        let run_instance = instance.clone();
        let thread = std::thread::Builder::new()
            .name(format!("{}-main", instance.id()))
            .spawn(move || {
                let system = System::new();
                system.block_on(run(
                    run_instance,
                    caller_listener,
                    peer_listener,
                    start_sender,
                ));
                // Stops the other arbiters. A stop reaches them only while the system runs.
                System::current().stop();
                if let Err(error) = system.run() {
                    spdlog::error!("actix system of the instance failed: {error}");
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

    /// Returns the state that the instance's threads share.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    /// Returns the address on which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.instance.settings.address
    }

    /// Returns the address on which peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.instance.settings.peer_address
    }

    /// Shuts down gracefully: announces to peers and callers that the instance is leaving, waits
    /// for work in flight, then stops.
    ///
    /// Blocks the calling thread. Work that is still in flight after `limit_ms` milliseconds, or
    /// after the minimum drain time if that is longer, is aborted, so that an endless stream can't
    /// delay the shutdown forever.
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

    /// Stops at once, as if crashed: connections are closed, and peers are not notified.
    pub fn kill(mut self) {
        drop(self.server.stop(false));
        self.join_main_thread();
    }

    fn join_main_thread(&mut self) {
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the main thread.
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

/// Body of the main thread: builds the components, then serves callers until stopped.
async fn run(
    instance: Arc<Instance>,
    caller_listener: TcpListener,
    peer_listener: TcpListener,
    start_sender: StartSender,
) {
    let components = match Components::build(&instance, peer_listener) {
        Ok(components) => components,
        Err(error) => {
            let _ = start_sender.send(Err(error));
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
            let _ = start_sender.send(Err(start_error(error)));
            return;
        }
    };
    let _ = start_sender.send(Ok(server.handle()));
    if let Err(error) = server.await {
        spdlog::error!("HTTP server for callers failed: {error}");
    }
}

/// Components that the HTTP workers share with the other threads of the instance.
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
            spdlog::error!("peer server failed: {error}");
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
