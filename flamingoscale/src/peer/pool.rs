//! The client side: one connection for each address, shared by all calls to it.
//!
//! All connections run on a dedicated thread. Calls may therefore come from any thread, and a busy
//! caller cannot delay the pings that detect dead connections.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        Weak, //
    },
    time::Duration, //
};

use bytes::Bytes;
use futures::{
    future::{
        LocalBoxFuture,
        Shared, //
    },
    FutureExt as _, //
};
use h2::{
    client::SendRequest,
    Reason,
    RecvStream, //
};
use http::{
    Request,
    StatusCode, //
};
use rustls::pki_types::{
    CertificateDer,
    ServerName, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    net::TcpStream,
    sync::mpsc,
    task::LocalSet,
    time::timeout, //
};
use tokio_rustls::TlsConnector;

use super::{
    frame::{
        self,
        FrameError,
        FrameReader, //
    },
    keepalive::{
        until_silent,
        OpenStreams, //
    },
    tls,
    Frame,
    PeerError,
    PeerReply,
    PeerRequest,
    PeerStream,
    Peers,
    CONNECTION_WINDOW_BYTES,
    STREAM_WINDOW_BYTES,
    TARGET_HEADER, //
};
use crate::instance::Instance;

/// Timeout for connecting, including the TLS and `h2` handshakes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection is closed once no stream was opened on it for this long and none is open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(900);

/// Name of the thread that runs the connections.
const THREAD_NAME: &str = "peers";

/// Sends requests to other instances over shared connections.
pub struct PeerPool {
    calls: mpsc::UnboundedSender<Call>,
}

/// One call on its way to the connection thread.
struct Call {
    peer: Arc<str>,
    address: Arc<str>,
    request: PeerRequest,
    replies: mpsc::Sender<super::Result<PeerReply>>,
}

impl PeerPool {
    /// Starts the connection thread, which ends when the pool is dropped.
    ///
    /// If TLS cannot be set up or the thread cannot start, every call fails with
    /// [`PeerError::NotSent`].
    pub fn new(instance: Arc<Instance>) -> Arc<Self> {
        let (calls, receiver) = mpsc::unbounded_channel();
        let instance = Arc::downgrade(&instance);
        let thread = std::thread::Builder::new().name(THREAD_NAME.into());
        // If the thread does not start, the receiver is dropped and calls fail with `NotSent`.
        let _ = thread.spawn(move || run_connections(instance, receiver));
        Arc::new(Self { calls })
    }
}

impl Peers for PeerPool {
    fn open(&self, peer: &Arc<str>, peer_address: &Arc<str>, request: PeerRequest) -> PeerStream {
        let (replies, stream) = PeerStream::channel();
        let call = Call {
            peer: peer.clone(),
            address: peer_address.clone(),
            request,
            replies,
        };
        if let Err(refused) = self.calls.send(call) {
            let call = refused.0;
            let error = not_sent(&call.peer, "the connections' thread has ended");
            let _ = call.replies.try_send(Err(error));
        }
        stream
    }
}

fn not_sent(peer: &Arc<str>, reason: impl Into<Arc<str>>) -> PeerError {
    PeerError::NotSent {
        peer: peer.clone(),
        reason: reason.into(),
    }
}

fn lost(peer: &Arc<str>, reason: impl Into<Arc<str>>) -> PeerError {
    PeerError::Lost {
        peer: peer.clone(),
        reason: reason.into(),
    }
}

/// Runs the connections until the pool is dropped.
fn run_connections(instance: Weak<Instance>, mut calls: mpsc::UnboundedReceiver<Call>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return;
    };
    LocalSet::new().block_on(&runtime, async move {
        let connections = Connections::new(instance);
        while let Some(call) = calls.recv().await {
            tokio::task::spawn_local(connections.clone().call(call));
        }
    });
}

/// The result of connecting to an address, shared by all calls that wait for it.
type PendingConnection = Shared<LocalBoxFuture<'static, Result<SharedConnection, Arc<str>>>>;

/// A handle to an established connection.
#[derive(Clone)]
struct SharedConnection {
    request_sender: SendRequest<Bytes>,
    open_streams: OpenStreams,
    certificate: Option<Arc<CertificateDer<'static>>>,
    close_signal: Rc<tokio::sync::Notify>,
}

#[derive(Clone)]
struct Connections {
    inner: Rc<Inner>,
}

struct Inner {
    instance: Weak<Instance>,
    tls: Option<Result<TlsConnector, Arc<str>>>,
    by_address: RefCell<HashMap<Arc<str>, (u64, PendingConnection)>>,
    next_id: std::cell::Cell<u64>,
}

impl Connections {
    fn new(instance: Weak<Instance>) -> Self {
        let files = instance
            .upgrade()
            .and_then(|instance| instance.settings.peer_tls.clone());
        let tls = files.map(|files| match tls::load(&files) {
            Ok(configs) => Ok(TlsConnector::from(configs.client)),
            Err(error) => Err(Arc::from(error.to_string())),
        });
        let inner = Inner {
            instance,
            tls,
            by_address: RefCell::default(),
            next_id: std::cell::Cell::new(0),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Makes one call. If the caller drops the stream of replies, the `h2` stream is reset.
    async fn call(self, call: Call) {
        let replies = call.replies.clone();
        tokio::select! {
            result = self.exchange(&call) => {
                if let Err(error) = result {
                    let _ = replies.send(Err(error)).await;
                }
            }
            () = replies.closed() => {}
        }
    }

    async fn exchange(&self, call: &Call) -> super::Result<()> {
        let peer = &call.peer;
        let shared = self.connection(&call.address).await;
        let shared = shared.map_err(|reason| not_sent(peer, reason))?;
        if let Some(certificate) = &shared.certificate {
            if !peer.is_empty() && !tls::certificate_matches(certificate, peer) {
                return Err(not_sent(peer, "its certificate names another instance"));
            }
        }
        let _open_guard = shared.open_streams.open();
        let body = self.send(call, &shared).await?;
        self.receive(call, &shared, body).await
    }

    /// Sends the request and waits for the response headers.
    async fn send(&self, call: &Call, shared: &SharedConnection) -> super::Result<RecvStream> {
        let peer = &call.peer;
        let bytes = self.encode(call)?;
        let ready = shared.request_sender.clone().ready().await;
        let mut request_sender = ready.map_err(|error| not_sent(peer, error.to_string()))?;
        let mut request = Request::new(());
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = http::Uri::from_static("http://peer/");
        if !peer.is_empty() {
            let target = http::HeaderValue::from_str(peer);
            let target = target.map_err(|_| not_sent(peer, "its name can't be sent"))?;
            request.headers_mut().insert(TARGET_HEADER, target);
        }
        let sent = request_sender.send_request(request, false);
        let (response, mut body) = sent.map_err(|error| not_sent(peer, error.to_string()))?;
        // If this fails, the request cannot have reached the peer completely.
        let sent = body.send_data(bytes, true);
        sent.map_err(|error| not_sent(peer, error.to_string()))?;
        let response = response
            .await
            .map_err(|error| self.classify_error(peer, &error))?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            StatusCode::MISDIRECTED_REQUEST => {
                Err(not_sent(peer, "another instance has its address"))
            }
            status => Err(not_sent(peer, format!("refused with status {status}"))),
        }
    }

    fn encode(&self, call: &Call) -> super::Result<Bytes> {
        let instance = self.inner.instance.upgrade();
        let instance = instance.ok_or_else(|| not_sent(&call.peer, "shutting down"))?;
        let frame = Frame {
            stamp: instance.timeline.stamp(),
            from: instance.id().clone(),
            body: &call.request,
        };
        let bytes = frame::encode(&frame);
        let bytes = bytes.map_err(|error| not_sent(&call.peer, error.to_string()))?;
        let metrics = &instance.metrics;
        metrics.count_peer_bytes(call.request.part(), bytes.len());
        Ok(bytes)
    }

    /// Maps an `h2` error: the peer has not processed a stream that it refused; any other request
    /// may have been processed.
    fn classify_error(&self, peer: &Arc<str>, error: &h2::Error) -> PeerError {
        if error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM) {
            return not_sent(peer, error.to_string());
        }
        lost(peer, error.to_string())
    }

    async fn receive(
        &self,
        call: &Call,
        shared: &SharedConnection,
        body: RecvStream,
    ) -> super::Result<()> {
        let peer = &call.peer;
        let mut reader = FrameReader::new(body);
        loop {
            let frame = match reader.next::<Frame<PeerReply>>().await {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                Err(FrameError::Broken(error)) => return Err(self.classify_error(peer, &error)),
                Err(_) => return Err(self.report_garbage(call, shared)),
            };
            if !is_from(&frame, peer, shared) {
                return Err(self.report_garbage(call, shared));
            }
            if let Some(instance) = self.inner.instance.upgrade() {
                instance.timeline.merge(frame.stamp);
            }
            if call.replies.send(Ok(frame.body)).await.is_err() {
                return Ok(());
            }
        }
    }

    fn report_garbage(&self, call: &Call, shared: &SharedConnection) -> PeerError {
        if let Some(instance) = self.inner.instance.upgrade() {
            instance.metrics.count("peer.garbage");
        }
        shared.close_signal.notify_one();
        PeerError::Garbage {
            peer: call.peer.clone(),
        }
    }

    async fn connection(&self, address: &Arc<str>) -> Result<SharedConnection, Arc<str>> {
        let existing = self
            .inner
            .by_address
            .borrow()
            .get(address)
            .map(|(_, connecting)| connecting.clone());
        let connecting = existing.unwrap_or_else(|| self.start_connecting(address));
        connecting.await
    }

    fn start_connecting(&self, address: &Arc<str>) -> PendingConnection {
        let id = self.inner.next_id.get();
        self.inner.next_id.set(id + 1);
        let connecting = self
            .clone()
            .connect(id, address.clone())
            .boxed_local()
            .shared();
        // Spawned as a task of its own, so that connecting completes even if all waiting calls are
        // dropped.
        tokio::task::spawn_local(connecting.clone());
        let mut by_address = self.inner.by_address.borrow_mut();
        by_address.insert(address.clone(), (id, connecting.clone()));
        connecting
    }

    fn remove_connection(&self, id: u64, address: &Arc<str>) {
        let mut by_address = self.inner.by_address.borrow_mut();
        if by_address.get(address).is_some_and(|entry| entry.0 == id) {
            by_address.remove(address);
        }
    }

    async fn connect(self, id: u64, address: Arc<str>) -> Result<SharedConnection, Arc<str>> {
        let result = timeout(CONNECT_TIMEOUT, self.connect_and_handshake(id, &address)).await;
        let result = result.unwrap_or_else(|_| Err("no connection in time".into()));
        if result.is_err() {
            self.remove_connection(id, &address);
        }
        result
    }

    async fn connect_and_handshake(
        &self,
        id: u64,
        address: &Arc<str>,
    ) -> Result<SharedConnection, Arc<str>> {
        let socket_address: SocketAddr = address
            .parse()
            .map_err(|_| "its address is no IP number and port")?;
        let socket = TcpStream::connect(socket_address)
            .await
            .map_err(to_reason)?;
        socket.set_nodelay(true).map_err(to_reason)?;
        let connector = match &self.inner.tls {
            None if socket_address.ip().is_loopback() => {
                return self.handshake(id, address, socket, None).await;
            }
            None => return Err("plain peers are for loopback only".into()),
            Some(connector) => connector.as_ref().map_err(Clone::clone)?,
        };
        let name = ServerName::IpAddress(socket_address.ip().into());
        let tls_stream = connector.connect(name, socket).await.map_err(to_reason)?;
        let certificates = tls_stream.get_ref().1.peer_certificates();
        let certificate = certificates.and_then(|chain| chain.first());
        let certificate = certificate.map(|leaf| Arc::new(leaf.clone().into_owned()));
        if certificate.is_none() {
            return Err("it shows no certificate".into());
        }
        self.handshake(id, address, tls_stream, certificate).await
    }

    async fn handshake<T>(
        &self,
        id: u64,
        address: &Arc<str>,
        socket: T,
        certificate: Option<Arc<CertificateDer<'static>>>,
    ) -> Result<SharedConnection, Arc<str>>
    where
        T: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .enable_push(false);
        let (request_sender, mut connection) =
            builder.handshake(socket).await.map_err(to_reason)?;
        let pings = connection.ping_pong().ok_or("it can't be pinged")?;
        let shared = SharedConnection {
            request_sender,
            open_streams: OpenStreams::default(),
            certificate,
            close_signal: Rc::default(),
        };
        let (open_streams, close_signal) =
            (shared.open_streams.clone(), shared.close_signal.clone());
        let (connections, address) = (self.clone(), address.clone());
        tokio::task::spawn_local(async move {
            let is_silent = tokio::select! {
                _ = connection => false,
                () = until_silent(pings, open_streams.clone()) => true,
                () = close_signal.notified() => false,
                () = until_idle(open_streams.clone()) => false,
            };
            connections.remove_connection(id, &address);
            if is_silent {
                connections.replace_silent(&address, open_streams.count());
            }
        });
        Ok(shared)
    }

    /// Counts a dead connection and starts a new one, so that retries of its streams find it in
    /// progress.
    fn replace_silent(&self, address: &Arc<str>, streams: usize) {
        if let Some(instance) = self.inner.instance.upgrade() {
            instance.metrics.count("peer.silent");
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("address", address), ("streams", &streams)];
            instance
                .timeline
                .record("peer.connection_silent", "", &fields);
        }
        if !self.inner.by_address.borrow().contains_key(address) {
            drop(self.start_connecting(address));
        }
    }
}

fn to_reason(error: impl ToString) -> Arc<str> {
    error.to_string().into()
}

/// Returns once no stream was opened during a whole [`IDLE_TIMEOUT`] and none is open.
async fn until_idle(open_streams: OpenStreams) {
    loop {
        tokio::time::sleep(IDLE_TIMEOUT).await;
        if open_streams.take_opened_count() == 0 && open_streams.count() == 0 {
            return;
        }
    }
}

/// Returns whether a reply comes from the expected peer, as proven by its certificate.
fn is_from(frame: &Frame<PeerReply>, peer: &str, shared: &SharedConnection) -> bool {
    let is_expected = peer.is_empty() || *frame.from == *peer;
    let is_proven = |certificate: &Arc<_>| tls::certificate_matches(certificate, &frame.from);
    is_expected && shared.certificate.as_ref().is_none_or(is_proven)
}
