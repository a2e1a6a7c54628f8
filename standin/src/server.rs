//! The HTTP server of one stand-in, which can crash, restart and go silent.
//!
//! Each connection is a separate task, so that a crash drops all connections at once. Each stream
//! is wrapped, so that an open connection can go silent while new ones work. A silent connection
//! stays open, but the stand-in neither reads from it nor writes to it.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        OnceLock, //
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use actix_http::HttpService;
use actix_service::{
    map_config,
    IntoServiceFactory,
    Service,
    ServiceFactory,
    ServiceFactoryExt as _, //
};
use actix_web::{
    dev::{
        AppConfig,
        Extensions, //
    },
    web::{
        self,
        ServiceConfig, //
    },
    App,
    HttpRequest, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::mpsc,
    task::AbortHandle, //
};

use crate::faults::{
    sleep_ms,
    Fault, //
};

/// Maximum request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Prefix of every API key.
const KEY_PREFIX: &str = "fk-";

/// Interval between attempts to bind the port again after a crash.
const REOPEN_RETRY_INTERVAL: Duration = Duration::from_millis(5);

type Job = Box<dyn FnOnce() + Send>;

/// Handle of the thread that runs stand-ins.
#[derive(Clone, Debug)]
pub struct Host {
    jobs: mpsc::UnboundedSender<Job>,
}

impl Host {
    /// Starts the thread. It ends when this handle and all stand-ins on the thread are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system can't create the thread.
    pub fn start() -> io::Result<Self> {
        let (jobs, mut receiver) = mpsc::unbounded_channel::<Job>();
        std::thread::Builder::new()
            .name("standins".into())
            .spawn(move || {
                actix_rt::System::new().block_on(async move {
                    while let Some(job) = receiver.recv().await {
                        job();
                    }
                });
            })?;
        Ok(Self { jobs })
    }

    /// Runs a job on the thread; the job may spawn local tasks.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) {
        let _ = self.jobs.send(Box::new(job));
    }
}

/// Handle that can silence or drop one connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionHandle {
    silent: Arc<AtomicBool>,
    task: Arc<OnceLock<AbortHandle>>,
}

impl ConnectionHandle {
    /// Stops all reads and writes permanently without closing the connection.
    fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }

    /// Drops the connection immediately.
    pub(crate) fn kill(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }

    /// Returns the handle of the connection that a request arrived on, or a handle without effect if
    /// the connection is unknown.
    pub(crate) fn from_request(request: &HttpRequest) -> Self {
        request
            .conn_data::<ConnectionHandle>()
            .cloned()
            .unwrap_or_default()
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

/// A TCP stream whose operations stay pending once its connection has been silenced.
struct SilenceableStream {
    stream: TcpStream,
    connection: ConnectionHandle,
}

impl AsyncRead for SilenceableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SilenceableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// State of one stand-in's port and its open connections.
#[derive(Default)]
struct Connections {
    next_id: u64,
    open: HashMap<u64, ConnectionHandle>,
    accept_task: Option<AbortHandle>,
    listening: bool,
    /// Whether new connections are silent from the start.
    silent: bool,
    /// Whether the port is closed permanently.
    closed: bool,
}

type Routes = Arc<dyn Fn(&mut ServiceConfig) + Send + Sync>;

/// The listening port and the connections of one stand-in.
pub(crate) struct StandinServer {
    address: SocketAddr,
    connections: Arc<Mutex<Connections>>,
    routes: Routes,
    host: Host,
    /// A socket that is bound but never listens, so that no other process can bind the port while
    /// the stand-in is down.
    _reservation: TcpSocket,
}

impl StandinServer {
    /// Listens on a loopback port and serves `routes`; `port` 0 lets the kernel choose a free port.
    pub(crate) fn open(
        host: &Host,
        port: u16,
        routes: impl Fn(&mut ServiceConfig) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let reservation = TcpSocket::new_v4()?;
        reservation.set_reuseaddr(true)?;
        reservation.bind(SocketAddr::from(([127, 0, 0, 1], port)))?;
        let server = Self {
            address: reservation.local_addr()?,
            connections: Arc::default(),
            routes: Arc::new(routes),
            host: host.clone(),
            _reservation: reservation,
        };
        server.listen(bind(server.address)?);
        Ok(server)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn host(&self) -> &Host {
        &self.host
    }

    /// Closes the port and drops all connections.
    pub(crate) fn crash(&self) {
        let mut connections = lock(&self.connections);
        connections.listening = false;
        connections.silent = false;
        if let Some(accept_task) = connections.accept_task.take() {
            accept_task.abort();
        }
        for connection in connections.open.drain() {
            connection.1.kill();
        }
    }

    /// Closes the port permanently and drops all connections.
    pub(crate) fn close(&self) {
        self.crash();
        lock(&self.connections).closed = true;
    }

    /// Listens on the port again after a crash.
    pub(crate) fn reopen(&self) {
        let address = self.address;
        let connections = self.connections.clone();
        let routes = self.routes.clone();
        self.host.run(move || {
            actix_rt::spawn(async move {
                loop {
                    if lock(&connections).listening || lock(&connections).closed {
                        return;
                    }
                    if let Ok(listener) = bind(address) {
                        return serve(listener, connections, routes);
                    }
                    actix_rt::time::sleep(REOPEN_RETRY_INTERVAL).await;
                }
            });
        });
    }

    /// Silences all open connections permanently; new connections work.
    pub(crate) fn silence_open(&self) {
        for connection in lock(&self.connections).open.values() {
            connection.silence();
        }
    }

    /// Sets whether new connections are silent from the start.
    fn silence_new(&self, silent: bool) {
        lock(&self.connections).silent = silent;
    }

    /// Applies faults that affect connections; `lose_state` discards the in-memory state on a
    /// crash.
    pub(crate) fn apply(self: &Arc<Self>, fault: &Fault, lose_state: &dyn Fn()) {
        match fault {
            Fault::Clear => self.silence_new(false),
            Fault::SilenceOpen => self.silence_open(),
            Fault::Silent { for_ms } => {
                self.silence_new(true);
                self.silence_open();
                self.run_after(*for_ms, |server| server.silence_new(false));
            }
            Fault::Crash { back_after_ms } => {
                self.crash();
                lose_state();
                self.run_after(*back_after_ms, |server| server.reopen());
            }
            _ => {}
        }
    }

    /// Runs `job` after `after_ms` milliseconds, unless that is `None` or the stand-in has been
    /// dropped.
    pub(crate) fn run_after(self: &Arc<Self>, after_ms: Option<u64>, job: fn(&Self)) {
        let Some(after_ms) = after_ms else {
            return;
        };
        let server = Arc::downgrade(self);
        self.host.run(move || {
            actix_rt::spawn(async move {
                sleep_ms(after_ms).await;
                if let Some(server) = server.upgrade() {
                    job(&server);
                }
            });
        });
    }

    fn listen(&self, listener: std::net::TcpListener) {
        let connections = self.connections.clone();
        let routes = self.routes.clone();
        self.host.run(move || serve(listener, connections, routes));
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.close();
    }
}

fn lock(connections: &Mutex<Connections>) -> MutexGuard<'_, Connections> {
    connections
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Starts the task that accepts connections, unless the port is open or closed permanently.
fn serve(listener: std::net::TcpListener, connections: Arc<Mutex<Connections>>, routes: Routes) {
    let mut guard = lock(&connections);
    if guard.listening || guard.closed {
        return;
    }
    guard.listening = true;
    let task = actix_rt::spawn(accept(listener, connections.clone(), routes));
    guard.accept_task = Some(task.abort_handle());
}

async fn accept(
    listener: std::net::TcpListener,
    connections: Arc<Mutex<Connections>>,
    routes: Routes,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let app = App::new()
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
        .configure(move |config| routes(config));
    let app = app
        .into_factory()
        .map_err(|error: actix_web::Error| error.error_response());
    let factory = HttpService::build()
        .on_connect_ext(|io: &SilenceableStream, data: &mut Extensions| {
            data.insert(io.connection.clone());
        })
        .h1(map_config(app, |()| AppConfig::default()));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    while let Ok((stream, peer)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let connection = ConnectionHandle::default();
        let connection_id = register(&connections, &connection);
        let connection_service = service.clone();
        let stream = SilenceableStream {
            stream,
            connection: connection.clone(),
        };
        let open_connections = connections.clone();
        let task = actix_rt::spawn(async move {
            let _ = connection_service.call((stream, Some(peer))).await;
            lock(&open_connections).open.remove(&connection_id);
        });
        let _ = connection.task.set(task.abort_handle());
    }
}

fn register(connections: &Mutex<Connections>, connection: &ConnectionHandle) -> u64 {
    let mut connections = lock(connections);
    if connections.silent {
        connection.silence();
    }
    connections.next_id += 1;
    let connection_id = connections.next_id;
    connections.open.insert(connection_id, connection.clone());
    connection_id
}

/// Returns the names and values of all headers of a request.
pub(crate) fn headers(request: &HttpRequest) -> Vec<(String, String)> {
    let headers = request.headers().iter();
    let text = headers.map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        (name.as_str().to_owned(), value.into_owned())
    });
    text.collect()
}

/// Returns the value of a header; an empty string if it is missing or not text.
pub(crate) fn header(request: &HttpRequest, name: &str) -> String {
    let value = request.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Returns whether the headers carry a caller's API key.
pub(crate) fn carries_key(headers: &[(String, String)]) -> bool {
    headers
        .iter()
        .any(|(name, value)| name == "authorization" || value.contains(KEY_PREFIX))
}
