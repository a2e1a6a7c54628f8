use std::{
    io::Write as _,
    net::{
        SocketAddr,
        TcpListener, //
    },
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    sync::mpsc,
    task::LocalSet,
    time::timeout, //
};

use super::*;
use crate::{
    clock::BootClock,
    instance::Instance,
    settings::{
        PeerTls,
        SettingsBuilder, //
    }, //
};

/// Upper bound for one test, generous enough for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Forwards the sender's name and the reply sender of each request to the test.
struct ForwardingHandler(mpsc::UnboundedSender<(Arc<str>, ReplySender)>);

impl PeerHandler for ForwardingHandler {
    fn handle(&self, from: Arc<str>, _request: PeerRequest, reply: ReplySender) {
        self.0
            .send((from, reply))
            .expect("the test receives requests");
    }
}

type Requests = mpsc::UnboundedReceiver<(Arc<str>, ReplySender)>;

fn instance(name: &str, tls: Option<PeerTls>) -> Arc<Instance> {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut settings = SettingsBuilder::new(name, "saiq", unused_address, unused_address);
    if let Some(tls) = tls {
        settings = settings.peer_tls(tls);
    }
    Arc::new(Instance::new(settings.build(), 1, Arc::new(BootClock)))
}

/// Serves `instance` on a port chosen by the kernel, on the calling thread.
fn start(instance: &Arc<Instance>) -> (Arc<str>, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (sender, requests) = mpsc::unbounded_channel();
    let router = PeerRouter::default().usage(Arc::new(ForwardingHandler(sender)));
    let serving = serve(instance.clone(), listener, router);
    tokio::task::spawn_local(async move {
        let _ = serving.await;
    });
    (address.to_string().into(), requests)
}

fn run<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test ends in time")
    })
}

fn request() -> PeerRequest {
    PeerRequest::Usage(usage::Message::Release {
        incarnation: 1,
        sequence: 1,
    })
}

fn reply() -> PeerReply {
    PeerReply::Usage(usage::Reply::Held)
}

#[test]
fn a_request_gets_its_replies_and_stamps_are_merged() {
    run(async {
        let (server, client) = (instance("b", None), instance("a", None));
        let (address, mut requests) = start(&server);
        let ahead = Stamp {
            wall_ms: u64::MAX / 2,
            count: 0,
        };
        server.timeline.merge(ahead);
        let pool = PeerPool::new(client.clone());
        let mut stream = pool.open(&"b".into(), &address, request());
        let (from, sender) = requests.recv().await.expect("the request arrives");
        assert_eq!(&*from, "a");
        for _ in 0..3 * STREAM_REPLY_CAPACITY {
            sender.send(reply()).await.expect("the client reads");
            assert_eq!(stream.next().await, Some(Ok(reply())));
        }
        drop(sender);
        assert_eq!(stream.next().await, None);
        assert!(client.timeline.stamp() > ahead);
    });
}

#[test]
fn dropping_a_stream_closes_the_handlers_reply_sender() {
    run(async {
        let (server, client) = (instance("b", None), instance("a", None));
        let (address, mut requests) = start(&server);
        let pool = PeerPool::new(client.clone());
        let stream = pool.open(&"b".into(), &address, request());
        let (_, sender) = requests.recv().await.expect("the request arrives");
        drop(stream);
        sender.closed().await;
    });
}

#[test]
fn an_unreachable_peer_gives_not_sent_and_a_dropped_handler_gives_lost() {
    run(async {
        let (server, client) = (instance("b", None), instance("a", None));
        let pool = PeerPool::new(client.clone());
        let unused_listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let unused_address: Arc<str> = unused_listener
            .local_addr()
            .expect("the listener is bound")
            .to_string()
            .into();
        drop(unused_listener);
        let peer: Arc<str> = "b".into();
        let result = pool
            .open(&peer, &unused_address, request())
            .single(&peer)
            .await;
        assert!(matches!(result, Err(PeerError::NotSent { .. })));

        let (address, mut requests) = start(&server);
        let stream = pool.open(&peer, &address, request());
        drop(requests.recv().await);
        let result = stream.single(&peer).await;
        assert!(matches!(result, Err(PeerError::Lost { .. })));
    });
}

#[test]
fn a_request_for_another_instance_does_not_run() {
    run(async {
        let (server, client) = (instance("b", None), instance("a", None));
        let (address, mut requests) = start(&server);
        let pool = PeerPool::new(client.clone());
        let peer: Arc<str> = "c".into();
        let result = pool.open(&peer, &address, request()).single(&peer).await;
        assert!(matches!(result, Err(PeerError::NotSent { .. })));
        assert!(requests.try_recv().is_err());
    });
}

#[test]
fn an_undecodable_request_drops_the_connection_and_is_counted() {
    run(async {
        let server = instance("b", None);
        let (address, mut requests) = start(&server);
        let socket = tokio::net::TcpStream::connect(&*address)
            .await
            .expect("the server listens");
        let (request_sender, connection) = h2::client::handshake(socket)
            .await
            .expect("the handshake succeeds");
        let connection = tokio::task::spawn_local(connection);
        let mut request_sender = request_sender
            .ready()
            .await
            .expect("the connection is open");
        let call = http::Request::post("http://peer/")
            .body(())
            .expect("the request is valid");
        let (_, mut body) = request_sender
            .send_request(call, false)
            .expect("the connection is open");
        body.send_data(bytes::Bytes::from_static(&[0, 0, 0, 2, 9, 9]), true)
            .expect("the connection is open");
        let _ = connection.await;
        assert_eq!(server.metrics.event_count("peer.garbage"), 1);
        assert!(requests.try_recv().is_err());
    });
}

#[test]
fn a_failed_h2_handshake_is_counted_and_other_connections_work() {
    run(async {
        let (server, client) = (instance("b", None), instance("a", None));
        let (address, mut requests) = start(&server);
        let mut socket = tokio::net::TcpStream::connect(&*address)
            .await
            .expect("the server listens");
        socket
            .write_all(&[7; 64])
            .await
            .expect("the connection is open");
        let mut response_bytes = Vec::new();
        let _ = socket.read_to_end(&mut response_bytes).await;
        assert_eq!(server.metrics.event_count("peer.handshake_failed"), 1);
        let pool = PeerPool::new(client.clone());
        let _stream = pool.open(&"b".into(), &address, request());
        assert!(requests.recv().await.is_some());
    });
}

/// Proxies connections. When notified, it stops forwarding on the first connection without closing
/// it, like a NAT device that has lost its connection state.
async fn proxy(listener: tokio::net::TcpListener, to: Arc<str>, silent: Arc<tokio::sync::Notify>) {
    let mut is_first = true;
    while let Ok((mut client_socket, _)) = listener.accept().await {
        let mut server_socket = tokio::net::TcpStream::connect(&*to)
            .await
            .expect("the server listens");
        let silent = is_first.then(|| silent.clone());
        is_first = false;
        tokio::task::spawn_local(async move {
            let Some(silent) = silent else {
                let _ = tokio::io::copy_bidirectional(&mut client_socket, &mut server_socket).await;
                return;
            };
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut client_socket, &mut server_socket) => {}
                () = silent.notified() => {}
            }
            // Both ends stay open but receive nothing.
            tokio::time::sleep(2 * TEST_TIMEOUT).await;
            drop((client_socket, server_socket));
        });
    }
}

#[test]
fn a_silent_connection_fails_all_its_streams_and_is_replaced() {
    run(async {
        let (server, client) = (instance("b", None), instance("a", None));
        let (address, mut requests) = start(&server);
        let proxy_listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a loopback port is free");
        let proxy_address: Arc<str> = proxy_listener
            .local_addr()
            .expect("the listener is bound")
            .to_string()
            .into();
        let silent = Arc::new(tokio::sync::Notify::new());
        tokio::task::spawn_local(proxy(proxy_listener, address, silent.clone()));
        let pool = PeerPool::new(client.clone());
        let peer: Arc<str> = "b".into();
        let streams = [(); 2].map(|()| pool.open(&peer, &proxy_address, request()));
        let mut reply_senders = Vec::new();
        for _ in &streams {
            reply_senders.push(requests.recv().await.expect("the request arrives"));
        }
        silent.notify_one();
        for stream in streams {
            let result = stream.single(&peer).await;
            assert!(matches!(result, Err(PeerError::Lost { .. })));
        }
        let retry = pool.open(&peer, &proxy_address, request());
        let (_, sender) = requests.recv().await.expect("a new connection works");
        sender.send(reply()).await.expect("the client reads");
        assert_eq!(retry.single(&peer).await, Ok(reply()));
        assert_eq!(client.metrics.event_count("peer.silent"), 1);
        for (_, sender) in reply_senders {
            sender.closed().await;
        }
    });
}

#[test]
fn unread_streams_do_not_block_other_streams() {
    run(async {
        let (server, client) = (instance("b", None), instance("a", None));
        let (address, mut requests) = start(&server);
        let pool = PeerPool::new(client.clone());
        let peer: Arc<str> = "b".into();
        let body = bytes::Bytes::from(vec![7; 64 << 10]);
        let large_reply = PeerReply::Dispatch(dispatch::WorkEvent::Body(body));
        let sent_count = std::rc::Rc::new(std::cell::Cell::new(0));
        let mut unread_streams = Vec::new();
        for _ in 0..12 {
            unread_streams.push(pool.open(&peer, &address, request()));
            let (_, sender) = requests.recv().await.expect("the request arrives");
            let (large_reply, sent_count) = (large_reply.clone(), sent_count.clone());
            tokio::task::spawn_local(async move {
                while sender.send(large_reply.clone()).await.is_ok() {
                    sent_count.set(sent_count.get() + 1);
                }
            });
        }
        let mut previous_count = 0;
        while sent_count.get() == 0 || sent_count.get() > previous_count {
            previous_count = sent_count.get();
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let stream = pool.open(&peer, &address, request());
        let (_, sender) = requests.recv().await.expect("the request arrives");
        sender.send(reply()).await.expect("the client reads");
        assert_eq!(stream.single(&peer).await, Ok(reply()));
        drop(unread_streams);
    });
}

/// A certificate authority and the certificates that it issued, in temporary files.
struct Certificates {
    directory: std::path::PathBuf,
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
}

impl Certificates {
    fn new(name: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("flamingoscale-peer-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let key = rcgen::KeyPair::generate().expect("a key pair is generated");
        let mut parameters = rcgen::CertificateParams::default();
        parameters.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let certificate = parameters
            .self_signed(&key)
            .expect("the certificate is signed");
        let this = Self {
            directory,
            issuer: rcgen::Issuer::new(parameters, key),
        };
        this.write("authority", &certificate.pem());
        this
    }

    fn write(&self, name: &str, text: &str) -> Arc<str> {
        let path = self.directory.join(name);
        let mut file = std::fs::File::create(&path).expect("the temporary directory is writable");
        file.write_all(text.as_bytes())
            .expect("the temporary directory is writable");
        path.display().to_string().into()
    }

    fn issue(&self, name: &str) -> PeerTls {
        let key = rcgen::KeyPair::generate().expect("a key pair is generated");
        let parameters =
            rcgen::CertificateParams::new([name.to_owned()]).expect("the name is valid");
        let certificate = parameters
            .signed_by(&key, &self.issuer)
            .expect("the certificate is signed");
        let authority = self.directory.join("authority").display().to_string();
        PeerTls {
            certificate: self.write(&format!("{name}.pem"), &certificate.pem()),
            key: self.write(&format!("{name}.key"), &key.serialize_pem()),
            authority: authority.into(),
        }
    }
}

impl Drop for Certificates {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

#[test]
fn tls_verifies_the_names_of_both_ends() {
    run(async {
        let certificates = Certificates::new("names");
        let server = instance("b", Some(certificates.issue("b")));
        let (address, mut requests) = start(&server);
        let peer: Arc<str> = "b".into();

        let client = instance("a", Some(certificates.issue("a")));
        let pool = PeerPool::new(client.clone());
        let stream = pool.open(&peer, &address, request());
        let (from, sender) = requests.recv().await.expect("the request arrives");
        assert_eq!(&*from, "a");
        sender.send(reply()).await.expect("the client reads");
        assert_eq!(stream.single(&peer).await, Ok(reply()));

        // This client claims to be `a` but presents the certificate of `z`.
        let impostor = instance("a", Some(certificates.issue("z")));
        let impostor_pool = PeerPool::new(impostor.clone());
        let result = impostor_pool
            .open(&peer, &address, request())
            .single(&peer)
            .await;
        assert!(matches!(result, Err(PeerError::Lost { .. })));
        assert_eq!(server.metrics.event_count("peer.garbage"), 1);

        // The instance at this address cannot prove to be `c`.
        let other: Arc<str> = "c".into();
        let result = pool.open(&other, &address, request()).single(&other).await;
        assert!(matches!(result, Err(PeerError::NotSent { .. })));
        assert!(requests.try_recv().is_err());
    });
}

#[test]
fn tls_refuses_certificates_of_another_authority() {
    run(async {
        let (own_authority, other_authority) = (
            Certificates::new("own_authority"),
            Certificates::new("other_authority"),
        );
        let server = instance("b", Some(own_authority.issue("b")));
        let (address, mut requests) = start(&server);
        let peer: Arc<str> = "b".into();
        for outsider in [
            instance("a", Some(other_authority.issue("a"))),
            instance("a", None),
        ] {
            let pool = PeerPool::new(outsider.clone());
            let result = pool.open(&peer, &address, request()).single(&peer).await;
            assert!(result.is_err());
        }
        assert!(requests.try_recv().is_err());
    });
}
