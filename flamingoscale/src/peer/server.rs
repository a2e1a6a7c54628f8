//! The server side: one task for each connection, and one for each stream.

use std::{
    future::poll_fn,
    io,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use h2::{
    server::SendResponse,
    Reason,
    RecvStream,
    SendStream, //
};
use http::{
    Request,
    Response,
    StatusCode, //
};
use rustls::pki_types::CertificateDer;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    net::TcpStream,
    sync::{
        mpsc,
        Notify, //
    },
    time::timeout, //
};
use tokio_rustls::TlsAcceptor;

use super::{
    frame::{
        self,
        FrameError,
        FrameReader, //
    },
    keepalive::{
        until_silent,
        OpenStreamGuard,
        OpenStreams, //
    },
    tls,
    Frame,
    PeerReply,
    PeerRequest,
    PeerRouter,
    CONNECTION_WINDOW_BYTES,
    STREAM_REPLY_CAPACITY,
    STREAM_WINDOW_BYTES,
    TARGET_HEADER, //
};
use crate::instance::Instance;

/// Timeout for a handshake, and for the arrival of a complete request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of streams that one connection may have open.
const MAX_STREAMS: u32 = 4_096;

/// Accepts connections of peers until the task is dropped. The calling thread must be able to run
/// local tasks (an actix arbiter).
///
/// # Errors
///
/// If the listener cannot be used, or the TLS files cannot be read.
pub async fn serve(
    instance: Arc<Instance>,
    listener: std::net::TcpListener,
    router: PeerRouter,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let acceptor = match &instance.settings.peer_tls {
        Some(files) => {
            let configs = tls::load(files).map_err(io::Error::other)?;
            Some(TlsAcceptor::from(configs.server))
        }
        None => None,
    };
    let router = Arc::new(router);
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let connection = accept(instance.clone(), router.clone(), acceptor.clone(), socket);
                tokio::task::spawn_local(connection);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn accept(
    instance: Arc<Instance>,
    router: Arc<PeerRouter>,
    acceptor: Option<TlsAcceptor>,
    socket: TcpStream,
) {
    let _ = socket.set_nodelay(true);
    let Some(acceptor) = acceptor else {
        return serve_connection(instance, router, socket, None).await;
    };
    match timeout(REQUEST_TIMEOUT, acceptor.accept(socket)).await {
        Ok(Ok(tls_stream)) => {
            let certificates = tls_stream.get_ref().1.peer_certificates();
            let certificate = certificates.and_then(|chain| chain.first());
            let certificate = certificate.map(|leaf| Arc::new(leaf.clone().into_owned()));
            serve_connection(instance, router, tls_stream, certificate).await;
        }
        _ => instance.metrics.count("peer.handshake_failed"),
    }
}

/// Data shared by all streams of one connection.
#[derive(Clone)]
struct ConnectionContext {
    instance: Arc<Instance>,
    router: Arc<PeerRouter>,
    certificate: Option<Arc<CertificateDer<'static>>>,
    garbage_signal: Arc<Notify>,
}

async fn serve_connection<T>(
    instance: Arc<Instance>,
    router: Arc<PeerRouter>,
    socket: T,
    certificate: Option<Arc<CertificateDer<'static>>>,
) where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS);
    let Ok(Ok(mut connection)) = timeout(REQUEST_TIMEOUT, builder.handshake(socket)).await else {
        instance.metrics.count("peer.handshake_failed");
        return;
    };
    let Some(pings) = connection.ping_pong() else {
        return;
    };
    let open_streams = OpenStreams::default();
    let garbage_signal = Arc::new(Notify::new());
    let shared = ConnectionContext {
        instance: instance.clone(),
        router,
        certificate,
        garbage_signal: garbage_signal.clone(),
    };
    let accept_streams = async {
        while let Some(Ok((request, responder))) = connection.accept().await {
            let stream = serve_stream(shared.clone(), request, responder, open_streams.open());
            tokio::task::spawn_local(stream);
        }
    };
    tokio::select! {
        () = accept_streams => {}
        () = until_silent(pings, open_streams.clone()) => instance.metrics.count("peer.silent"),
        () = garbage_signal.notified() => instance.metrics.count("peer.garbage"),
    }
}

async fn serve_stream(
    shared: ConnectionContext,
    request: Request<RecvStream>,
    mut responder: SendResponse<Bytes>,
    _open_guard: OpenStreamGuard,
) {
    if !is_addressed_to(&request, shared.instance.id()) {
        refuse(&mut responder, StatusCode::MISDIRECTED_REQUEST);
        return;
    }
    let mut reader = FrameReader::new(request.into_body());
    let frame = match timeout(REQUEST_TIMEOUT, reader.next::<Frame<PeerRequest>>()).await {
        Ok(Ok(Some(frame))) => frame,
        Ok(Ok(None) | Err(FrameError::Garbage | FrameError::TooLarge)) => {
            return shared.garbage_signal.notify_one();
        }
        Ok(Err(FrameError::Broken(_))) | Err(_) => {
            return responder.send_reset(Reason::CANCEL);
        }
    };
    if let Some(certificate) = &shared.certificate {
        if !tls::certificate_matches(certificate, &frame.from) {
            return shared.garbage_signal.notify_one();
        }
    }
    let Some(handler) = shared.router.handler(&frame.body) else {
        return refuse(&mut responder, StatusCode::NOT_IMPLEMENTED);
    };
    shared.instance.timeline.merge(frame.stamp);
    let Ok(send_stream) = responder.send_response(Response::new(()), false) else {
        return;
    };
    let (sender, receiver) = mpsc::channel(STREAM_REPLY_CAPACITY);
    handler.handle(frame.from, frame.body, sender);
    send_replies(&shared.instance, send_stream, receiver).await;
}

/// Returns whether a request is meant for this instance. Its address may have belonged to another
/// instance before, whose requests must not run here.
fn is_addressed_to(request: &Request<RecvStream>, instance: &str) -> bool {
    let target = request.headers().get(TARGET_HEADER);
    target.is_none_or(|target| target.as_bytes() == instance.as_bytes())
}

fn refuse(responder: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // The send fails if the peer is gone, which needs no handling.
    let _ = responder.send_response(response, true);
}

/// Sends replies until the handler drops its sender or the peer resets the stream. Returning drops
/// the receiver, so that the handler sees its channel closed and can stop.
async fn send_replies(
    instance: &Instance,
    mut send_stream: SendStream<Bytes>,
    mut receiver: mpsc::Receiver<PeerReply>,
) {
    loop {
        let reply = tokio::select! {
            reply = receiver.recv() => reply,
            _ = poll_fn(|context| send_stream.poll_reset(context)) => return,
        };
        let Some(body) = reply else {
            let _ = send_stream.send_data(Bytes::new(), true);
            return;
        };
        let part = body.part();
        let frame = Frame {
            stamp: instance.timeline.stamp(),
            from: instance.id().clone(),
            body,
        };
        let Ok(bytes) = frame::encode(&frame) else {
            instance.metrics.count("peer.reply_too_large");
            return send_stream.send_reset(Reason::INTERNAL_ERROR);
        };
        let metrics = &instance.metrics;
        metrics.count_peer_bytes(part, bytes.len());
        if send_all(&mut send_stream, bytes).await.is_err() {
            return;
        }
    }
}

/// Sends the bytes as fast as flow control permits.
async fn send_all(send_stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        send_stream.reserve_capacity(bytes.len());
        let granted = poll_fn(|context| send_stream.poll_capacity(context)).await;
        let granted = granted.unwrap_or(Err(Reason::CANCEL.into()))?;
        let chunk = bytes.split_to(granted.min(bytes.len()));
        send_stream.send_data(chunk, false)?;
    }
    Ok(())
}
