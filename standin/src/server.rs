//! The HTTP face of one stand-in, which can crash, come back and go silent.
//!
//! The connections are tasks of their own, so that a crash drops them all at once, and their bytes
//! pass a gate, so that an open connection can go silent for good while new ones work.

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

/// Largest body that a stand-in reads.
const MAX_BODY_BYTES: usize = 8 << 20;

/// How every key of a caller starts.
const KEY_PREFIX: &str = "fk-";

/// Pause between tries to open the port again after a crash.
const REOPEN_RETRY_INTERVAL: Duration = Duration::from_millis(5);

type Job = Box<dyn FnOnce() + Send>;

/// The thread that runs any number of stand-ins.
#[derive(Clone, Debug)]
pub struct Host {
    jobs: mpsc::UnboundedSender<Job>,
}

impl Host {
    /// Starts the thread. It ends when this handle and all stand-ins on it are gone.
    ///
    /// # Errors
    ///
    /// When the machine gives no thread.
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

    /// Runs a job on the thread; it may spawn local tasks there.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) {
        let _ = self.jobs.send(Box::new(job));
    }
}

/// Whether the bytes of one connection still flow.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionHandle {
    silent: Arc<AtomicBool>,
    task: Arc<OnceLock<AbortHandle>>,
}

impl ConnectionHandle {
    /// Stops the connection's bytes for good without closing it.
    fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }

    /// Drops the connection at once.
    pub(crate) fn kill(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }

    /// The gate of the connection that a request came on.
    pub(crate) fn of(request: &HttpRequest) -> Self {
        request
            .conn_data::<ConnectionHandle>()
            .cloned()
            .unwrap_or_default()
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

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

#[derive(Default)]
struct Connections {
    next_number: u64,
    open: HashMap<u64, ConnectionHandle>,
    accept: Option<AbortHandle>,
    listening: bool,
    silent: bool,
    closed: bool,
}

type Routes = Arc<dyn Fn(&mut ServiceConfig) + Send + Sync>;

/// The port of one stand-in.
pub(crate) struct StandinServer {
    address: SocketAddr,
    connections: Arc<Mutex<Connections>>,
    routes: Routes,
    host: Host,
    /// Bound but never listening, so that nobody takes the port while the stand-in is down.
    _reservation: TcpSocket,
}

impl StandinServer {
    /// Opens a port on loopback, `port` 0 for the kernel's choice, and serves `routes` there.
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

    /// Closes the port and drops every connection.
    pub(crate) fn crash(&self) {
        let mut connections = lock(&self.connections);
        connections.listening = false;
        connections.silent = false;
        if let Some(accept) = connections.accept.take() {
            accept.abort();
        }
        for connection in connections.open.drain() {
            connection.1.kill();
        }
    }

    /// Crashes and never comes back.
    pub(crate) fn close(&self) {
        self.crash();
        lock(&self.connections).closed = true;
    }

    /// Opens the port again.
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

    /// Lets open connections go silent for good; new ones work.
    pub(crate) fn silence_open(&self) {
        for connection in lock(&self.connections).open.values() {
            connection.silence();
        }
    }

    /// Lets new connections be silent from their start, until this is ended.
    fn silence_new(&self, silent: bool) {
        lock(&self.connections).silent = silent;
    }

    /// Carries out the faults of connections; `forget` drops what the crashed process held.
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

    /// Runs `job` after some time, if there is one and the stand-in is still there.
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

/// Starts the task that accepts connections.
fn serve(listener: std::net::TcpListener, connections: Arc<Mutex<Connections>>, routes: Routes) {
    let mut guard = lock(&connections);
    if guard.listening || guard.closed {
        return;
    }
    guard.listening = true;
    let task = actix_rt::spawn(accept(listener, connections.clone(), routes));
    guard.accept = Some(task.abort_handle());
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
        let number = register(&connections, &connection);
        let connection_service = service.clone();
        let stream = SilenceableStream {
            stream,
            connection: connection.clone(),
        };
        let open_connections = connections.clone();
        let task = actix_rt::spawn(async move {
            let _ = connection_service.call((stream, Some(peer))).await;
            lock(&open_connections).open.remove(&number);
        });
        let _ = connection.task.set(task.abort_handle());
    }
}

fn register(connections: &Mutex<Connections>, connection: &ConnectionHandle) -> u64 {
    let mut connections = lock(connections);
    if connections.silent {
        connection.silence();
    }
    connections.next_number += 1;
    let number = connections.next_number;
    connections.open.insert(number, connection.clone());
    number
}

/// The headers of a request as text.
pub(crate) fn headers(request: &HttpRequest) -> Vec<(String, String)> {
    let headers = request.headers().iter();
    let text = headers.map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        (name.as_str().to_owned(), value.into_owned())
    });
    text.collect()
}

/// One header as text; empty where there is none.
pub(crate) fn header(request: &HttpRequest, name: &str) -> String {
    let value = request.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Whether a caller's key is among the headers.
pub(crate) fn shows_key(headers: &[(String, String)]) -> bool {
    headers
        .iter()
        .any(|(name, value)| name == "authorization" || value.contains(KEY_PREFIX))
}
