//! In-memory fakes of the platform and the peer network, and a cluster of instances that use them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use flamingoscale::{
    clock::{
        BootClock,
        Clock,
        ManualClock, //
    },
    configuration::Configuration,
    control::{
        self,
        ControlHandle, //
    },
    controller::Platform,
    instance::{
        Control,
        Instance, //
    },
    keys,
    log::LogController,
    peer::{
        PeerError,
        PeerHandler,
        PeerRequest,
        PeerStream,
        Peers, //
    },
    platform::{
        EndpointOrders,
        InstanceList,
        Log,
        LogRead,
        LogRecord,
        PlatformError,
        Result as PlatformResult,
        UsageReports, //
    },
    record::Record,
    settings::SettingsBuilder,
    view::Member,
    wire::{
        ListedInstance,
        PlatformEndpoint,
        PlatformOrder,
        PlatformOrderDone,
        UsageReport, //
    }, //
};
use futures::{
    future::LocalBoxFuture,
    FutureExt, //
};
use rand::SeedableRng;

/// Maximum wait for a condition before the test fails.
pub(crate) const MAX_WAIT_MS: u64 = 30_000;

#[derive(Default)]
/// State of the in-memory log and the faults that tests inject into it.
pub(crate) struct LogInner {
    pub(crate) records: Vec<Bytes>,
    /// Offset of the oldest record that is not truncated.
    pub(crate) earliest_offset: u64,
    pub(crate) is_down: bool,
    /// Number of further appends that take effect but whose answer is lost.
    pub(crate) lost_answers: u32,
    /// Delay of the answer to every log call.
    pub(crate) delay_ms: u64,
    /// Incrementing this leaves all calls in flight without an answer forever; later calls work.
    pub(crate) hung_call_epoch: u64,
}

/// An in-memory platform. Its log works, but it refuses calls for the instance list, orders and
/// usage reports.
#[derive(Clone, Default)]
pub(crate) struct FakePlatform(Arc<Mutex<LogInner>>);

impl FakePlatform {
    pub(crate) fn lock(&self) -> MutexGuard<'_, LogInner> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    pub(crate) fn set_log_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    pub(crate) fn read_now(&self, from: u64, max: usize) -> PlatformResult<LogRead> {
        let inner = self.lock();
        let head = inner.records.len() as u64;
        if inner.is_down {
            return Err(unavailable_error());
        }
        if from < inner.earliest_offset {
            let earliest = inner.earliest_offset;
            return Err(PlatformError::Truncated { earliest });
        }
        let offsets = from..head.min(from.saturating_add(max as u64));
        let records = offsets.map(|offset| LogRecord {
            offset,
            data: inner.records[offset as usize].clone(),
        });
        Ok(LogRead {
            records: records.collect(),
            earliest: inner.earliest_offset,
            head,
        })
    }

    pub(crate) fn append_now(&self, records: Vec<Bytes>) -> PlatformResult<u64> {
        let mut inner = self.lock();
        if inner.is_down {
            return Err(unavailable_error());
        }
        let first = inner.records.len() as u64;
        inner.records.extend(records);
        if inner.lost_answers > 0 {
            inner.lost_answers -= 1;
            let reason = "the answer was lost".into();
            return Err(PlatformError::Unknown { reason });
        }
        Ok(first)
    }

    /// Waits for the configured delay, or forever if [`LogInner::hung_call_epoch`] was incremented
    /// meanwhile.
    pub(crate) async fn wait_for_answer(&self) {
        let (delay_ms, hung_call_epoch) = {
            let inner = self.lock();
            (inner.delay_ms, inner.hung_call_epoch)
        };
        if delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if self.lock().hung_call_epoch != hung_call_epoch {
            std::future::pending::<()>().await;
        }
    }

    pub(crate) fn into_platform(self) -> Platform {
        let shared = Rc::new(self);
        Platform {
            log: shared.clone(),
            instances: shared.clone(),
            orders: shared.clone(),
            usage: shared,
        }
    }
}

pub(crate) fn unavailable_error() -> PlatformError {
    let reason = "the platform is unavailable".into();
    PlatformError::Refused { reason }
}

impl Log for FakePlatform {
    fn append(&self, records: Vec<Bytes>) -> LocalBoxFuture<'_, PlatformResult<u64>> {
        async move {
            let result = self.append_now(records);
            self.wait_for_answer().await;
            result
        }
        .boxed_local()
    }

    fn read(
        &self,
        from: u64,
        max: usize,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, PlatformResult<LogRead>> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        async move {
            self.wait_for_answer().await;
            let hung_call_epoch = self.lock().hung_call_epoch;
            loop {
                if self.lock().hung_call_epoch != hung_call_epoch {
                    std::future::pending::<()>().await;
                }
                let read = self.read_now(from, max)?;
                if !read.records.is_empty() || Instant::now() >= deadline {
                    return Ok(read);
                }
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        }
        .boxed_local()
    }
}

impl InstanceList for FakePlatform {
    fn list(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<ListedInstance>>> {
        async { Err(unavailable_error()) }.boxed_local()
    }
}

impl EndpointOrders for FakePlatform {
    fn endpoints(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<PlatformEndpoint>>> {
        async { Err(unavailable_error()) }.boxed_local()
    }

    fn order(
        &self,
        _order: PlatformOrder,
    ) -> LocalBoxFuture<'_, PlatformResult<PlatformOrderDone>> {
        async { Err(unavailable_error()) }.boxed_local()
    }
}

impl UsageReports for FakePlatform {
    fn report(&self, _report: UsageReport) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async { Err(unavailable_error()) }.boxed_local()
    }
}

#[derive(Default)]
/// The peer handler of each instance, and the instances that no peer can reach.
pub(crate) struct NetworkInner {
    handlers: BTreeMap<Arc<str>, Arc<dyn PeerHandler>>,
    pub(crate) isolated: Vec<Arc<str>>,
}

/// An in-memory network between peers, in which instances can be isolated.
#[derive(Clone, Default)]
pub(crate) struct FakeNetwork(Arc<Mutex<NetworkInner>>);

impl FakeNetwork {
    pub(crate) fn lock(&self) -> MutexGuard<'_, NetworkInner> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    pub(crate) fn isolate(&self, instance: &Arc<str>) {
        self.lock().isolated.push(instance.clone());
    }
}

/// Connections of one instance to its peers over the [`FakeNetwork`].
pub(crate) struct FakePeers {
    network: FakeNetwork,
    own_id: Arc<str>,
}

impl Peers for FakePeers {
    fn open(&self, peer: &Arc<str>, _address: &Arc<str>, request: PeerRequest) -> PeerStream {
        let (sender, stream) = PeerStream::channel();
        let (reply, mut replies) = tokio::sync::mpsc::channel(32);
        let inner = self.network.lock();
        let is_isolated = inner.isolated.contains(peer) || inner.isolated.contains(&self.own_id);
        let handler = inner.handlers.get(peer).filter(|_| !is_isolated).cloned();
        drop(inner);
        let (own_id, peer) = (self.own_id.clone(), peer.clone());
        actix_rt::spawn(async move {
            let Some(handler) = handler else {
                let reason = "peer is isolated".into();
                let _ = sender.send(Err(PeerError::NotSent { peer, reason })).await;
                return;
            };
            handler.handle(own_id, request, reply);
            while let Some(message) = replies.recv().await {
                if sender.send(Ok(message)).await.is_err() {
                    return;
                }
            }
        });
        stream
    }
}

/// One instance with its running control thread.
pub(crate) struct Node {
    pub(crate) instance: Arc<Instance>,
    pub(crate) control: Arc<dyn Control>,
    handle: ControlHandle,
}

impl Node {
    pub(crate) fn is_fresh(&self) -> bool {
        self.instance.view.is_fresh(self.instance.now_ms())
    }

    pub(crate) fn is_in_force(&self, key_id: &str) -> bool {
        self.instance.view.load().keys.is_in_force(key_id)
    }
}

/// Several instances with their log and network.
#[derive(Default)]
pub(crate) struct Cluster {
    pub(crate) platform: FakePlatform,
    pub(crate) network: FakeNetwork,
    pub(crate) nodes: Vec<Node>,
    /// The clock of all instances; `None` uses the system clock.
    pub(crate) clock: Option<ManualClock>,
}

impl Cluster {
    pub(crate) async fn start(count: usize) -> Self {
        let mut cluster = Self::default();
        for _ in 0..count {
            cluster.add_instance();
        }
        cluster
    }

    /// Starts another instance and announces it to the others as a member.
    pub(crate) fn add_instance(&mut self) {
        let name = format!("n{}", self.nodes.len());
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let settings = SettingsBuilder::new(name, "saiq", address, address).build();
        let incarnation = 100 + self.nodes.len() as u64;
        let clock: Arc<dyn Clock> = match &self.clock {
            Some(clock) => Arc::new(clock.clone()),
            None => Arc::new(BootClock),
        };
        let instance = Arc::new(Instance::new(settings, incarnation, clock));
        let (log, handler, control) = LogController::new(instance.clone());
        let id = instance.id().clone();
        self.network.lock().handlers.insert(id.clone(), handler);
        instance.set_peers(Arc::new(FakePeers {
            network: self.network.clone(),
            own_id: id,
        }));
        let platform = self.platform.clone();
        let handle = control::start_with_platform(instance.clone(), log, Vec::new(), || {
            platform.into_platform()
        });
        self.nodes.push(Node {
            instance,
            control,
            handle: handle.expect("the test runs in an actix system"),
        });
        self.publish_members();
    }

    pub(crate) fn publish_members(&self) {
        let member = |node: &Node| Member {
            instance: node.instance.id().clone(),
            incarnation: node.instance.incarnation,
            failure_domain: "saiq".into(),
            address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            leaving: false,
            suspect: false,
            revision: 0,
        };
        let members: Vec<Member> = self.nodes.iter().map(member).collect();
        for node in &self.nodes {
            node.instance.publish_members(members.clone());
        }
    }

    /// Waits until the condition holds on all instances, see [`eventually`].
    pub(crate) async fn eventually_on_all(
        &self,
        description: &str,
        condition: impl Fn(&Node) -> bool,
    ) {
        eventually(description, || self.nodes.iter().all(&condition)).await;
    }

    /// Grants a new key through an instance and returns the key id.
    pub(crate) async fn grant_key(&self, node: usize) -> Arc<str> {
        let mut random = rand::rngs::StdRng::seed_from_u64(node as u64);
        let (_, entry) = keys::generate("lodges".into(), &mut random);
        let record = Record::KeyGranted {
            key_id: entry.key_id.clone(),
            digest: entry.digest,
            organisation: entry.organisation,
        };
        let granted = self.nodes[node].control.submit(record).await;
        granted.expect("the log accepts the grant");
        entry.key_id
    }

    pub(crate) fn stop(self) {
        for node in self.nodes {
            node.handle.stop();
        }
    }
}

/// Polls a condition until it holds, and fails the test after [`MAX_WAIT_MS`].
pub(crate) async fn eventually(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        let waited = start.elapsed();
        assert!(
            waited < Duration::from_millis(MAX_WAIT_MS),
            "condition not met in time: {description}"
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

pub(crate) fn configuration(base_revision: u64, text: &str) -> Record {
    Record::Configuration {
        base_revision,
        text: text.into(),
        configuration: Arc::new(Configuration::default()),
    }
}
