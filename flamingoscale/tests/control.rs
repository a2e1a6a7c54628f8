//! Control threads of several instances over a log and a network in memory, and their failures.

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
    state::{
        Rejection,
        SubmitError, //
    },
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

/// Longest wait for anything that must happen.
const PATIENCE_MS: u64 = 30_000;

#[derive(Default)]
struct LogInner {
    records: Vec<Bytes>,
    earliest: u64,
    is_away: bool,
    /// Appends whose answer is lost after they took effect.
    lost_answers: u32,
    /// Added to every call.
    delay_ms: u64,
    /// Calls under way stay without an answer for ever; later ones work.
    silenced: u64,
}

/// The platform in memory.
#[derive(Clone, Default)]
struct FakePlatform(Arc<Mutex<LogInner>>);

impl FakePlatform {
    fn lock(&self) -> MutexGuard<'_, LogInner> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn set_away(&self, is_away: bool) {
        self.lock().is_away = is_away;
    }

    fn read_now(&self, from: u64, max: usize) -> PlatformResult<LogRead> {
        let inner = self.lock();
        let head = inner.records.len() as u64;
        if inner.is_away {
            return Err(refused());
        }
        if from < inner.earliest {
            let earliest = inner.earliest;
            return Err(PlatformError::Truncated { earliest });
        }
        let wanted = from..head.min(from.saturating_add(max as u64));
        let records = wanted.map(|offset| LogRecord {
            offset,
            data: inner.records[offset as usize].clone(),
        });
        Ok(LogRead {
            records: records.collect(),
            earliest: inner.earliest,
            head,
        })
    }

    fn append_now(&self, records: Vec<Bytes>) -> PlatformResult<u64> {
        let mut inner = self.lock();
        if inner.is_away {
            return Err(refused());
        }
        let first = inner.records.len() as u64;
        inner.records.extend(records);
        if inner.lost_answers > 0 {
            inner.lost_answers -= 1;
            let reason = "lost".into();
            return Err(PlatformError::Unknown { reason });
        }
        Ok(first)
    }

    /// Waits out the delay, and for ever if the call went silent meanwhile.
    async fn answer(&self) {
        let (delay_ms, silenced) = {
            let inner = self.lock();
            (inner.delay_ms, inner.silenced)
        };
        if delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if self.lock().silenced != silenced {
            std::future::pending::<()>().await;
        }
    }

    fn platform(self) -> Platform {
        let shared = Rc::new(self);
        Platform {
            log: shared.clone(),
            instances: shared.clone(),
            orders: shared.clone(),
            usage: shared,
        }
    }
}

fn refused() -> PlatformError {
    let reason = "away".into();
    PlatformError::Refused { reason }
}

impl Log for FakePlatform {
    fn append(&self, records: Vec<Bytes>) -> LocalBoxFuture<'_, PlatformResult<u64>> {
        async move {
            let result = self.append_now(records);
            self.answer().await;
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
        let until = Instant::now() + Duration::from_millis(wait_ms);
        async move {
            self.answer().await;
            let silenced = self.lock().silenced;
            loop {
                if self.lock().silenced != silenced {
                    std::future::pending::<()>().await;
                }
                let read = self.read_now(from, max)?;
                if !read.records.is_empty() || Instant::now() >= until {
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
        async { Err(refused()) }.boxed_local()
    }
}

impl EndpointOrders for FakePlatform {
    fn endpoints(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<PlatformEndpoint>>> {
        async { Err(refused()) }.boxed_local()
    }

    fn order(
        &self,
        _order: PlatformOrder,
    ) -> LocalBoxFuture<'_, PlatformResult<PlatformOrderDone>> {
        async { Err(refused()) }.boxed_local()
    }
}

impl UsageReports for FakePlatform {
    fn report(&self, _report: UsageReport) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async { Err(refused()) }.boxed_local()
    }
}

#[derive(Default)]
struct NetworkInner {
    handlers: BTreeMap<Arc<str>, Arc<dyn PeerHandler>>,
    cut: Vec<Arc<str>>,
}

/// Peers that reach each other in memory, unless one of them is cut off.
#[derive(Clone, Default)]
struct FakeNetwork(Arc<Mutex<NetworkInner>>);

impl FakeNetwork {
    fn lock(&self) -> MutexGuard<'_, NetworkInner> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn cut(&self, instance: &Arc<str>) {
        self.lock().cut.push(instance.clone());
    }
}

struct FakePeers {
    network: FakeNetwork,
    own: Arc<str>,
}

impl Peers for FakePeers {
    fn open(&self, peer: &Arc<str>, _address: &Arc<str>, request: PeerRequest) -> PeerStream {
        let (sender, stream) = PeerStream::channel();
        let (reply, mut replies) = tokio::sync::mpsc::channel(32);
        let inner = self.network.lock();
        let is_cut = inner.cut.contains(peer) || inner.cut.contains(&self.own);
        let handler = inner.handlers.get(peer).filter(|_| !is_cut).cloned();
        drop(inner);
        let (own, peer) = (self.own.clone(), peer.clone());
        actix_rt::spawn(async move {
            let Some(handler) = handler else {
                let reason = "cut off".into();
                let _ = sender.send(Err(PeerError::NotSent { peer, reason })).await;
                return;
            };
            handler.handle(own, request, reply);
            while let Some(message) = replies.recv().await {
                if sender.send(Ok(message)).await.is_err() {
                    return;
                }
            }
        });
        stream
    }
}

struct Node {
    instance: Arc<Instance>,
    control: Arc<dyn Control>,
    handle: ControlHandle,
}

impl Node {
    fn is_fresh(&self) -> bool {
        self.instance.view.is_fresh(self.instance.now_ms())
    }

    fn is_in_force(&self, key_id: &str) -> bool {
        self.instance.view.load().keys.is_in_force(key_id)
    }
}

/// Several instances, their log and their network.
#[derive(Default)]
struct Cluster {
    platform: FakePlatform,
    network: FakeNetwork,
    nodes: Vec<Node>,
    /// A clock to move by hand; none for the machine's.
    clock: Option<ManualClock>,
}

impl Cluster {
    async fn start(count: usize) -> Self {
        let mut cluster = Self::default();
        for _ in 0..count {
            cluster.add();
        }
        cluster
    }

    fn add(&mut self) {
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
            own: id,
        }));
        let platform = self.platform.clone();
        let handle = control::start_on(instance.clone(), log, Vec::new(), || platform.platform());
        self.nodes.push(Node {
            instance,
            control,
            handle: handle.expect("the test runs in a system"),
        });
        self.publish_members();
    }

    fn publish_members(&self) {
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

    async fn all(&self, what: &str, holds: impl Fn(&Node) -> bool) {
        eventually(what, || self.nodes.iter().all(&holds)).await;
    }

    async fn grant(&self, node: usize) -> Arc<str> {
        let mut random = rand::rngs::StdRng::seed_from_u64(node as u64);
        let (_, entry) = keys::generate("lodges".into(), &mut random);
        let record = Record::KeyGranted {
            key_id: entry.key_id.clone(),
            digest: entry.digest,
            organisation: entry.organisation,
        };
        let granted = self.nodes[node].control.submit(record).await;
        granted.expect("the log is there");
        entry.key_id
    }

    fn stop(self) {
        for node in self.nodes {
            node.handle.stop();
        }
    }
}

async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        let waited = start.elapsed();
        assert!(waited < Duration::from_millis(PATIENCE_MS), "never: {what}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

fn configuration(base_revision: u64, text: &str) -> Record {
    Record::Configuration {
        base_revision,
        text: text.into(),
        configuration: Arc::new(Configuration::default()),
    }
}

#[actix_rt::test]
async fn of_two_submissions_exactly_one_is_accepted_and_reaches_all() {
    let cluster = Cluster::start(5).await;
    let first = cluster.nodes[1].control.submit(configuration(0, "one"));
    let second = cluster.nodes[4].control.submit(configuration(0, "two"));
    let results = [first.await, second.await];
    let reason = Rejection::Stale;
    let lost = Err(SubmitError::Refused { reason });
    assert_eq!(results.iter().filter(|result| **result == lost).count(), 1);
    let winner = results.into_iter().find_map(Result::ok);
    let revision = winner.expect("one of them is accepted");
    assert!(revision > 0);
    cluster
        .all("in force on all", |node| {
            node.instance.view.load().revision == revision
        })
        .await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_lost_answer_neither_loses_nor_doubles_a_change() {
    let cluster = Cluster::start(2).await;
    cluster.platform.lock().lost_answers = 3;
    let key_id = cluster.grant(0).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_withdrawal_works_while_the_log_is_away_and_is_appended_later() {
    let cluster = Cluster::start(4).await;
    let key_id = cluster.grant(0).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    cluster.platform.set_away(true);
    let withdrawn = cluster.nodes[2].control.withdraw_key(key_id.clone()).await;
    assert!(!withdrawn.expect("the key is known").durable);
    cluster
        .all("denied", |node| !node.is_in_force(&key_id))
        .await;
    cluster.platform.set_away(false);
    let is_in_log = || {
        let inner = cluster.platform.lock();
        let decoded = inner.records.iter();
        decoded
            .filter_map(|bytes| flamingoscale::record::decode(bytes).ok())
            .any(|envelope| matches!(envelope.record, Record::KeyWithdrawn { .. }))
    };
    eventually("in the log", is_in_log).await;
    cluster
        .all("still denied", |node| !node.is_in_force(&key_id))
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_new_instance_learns_state_and_denials_from_peers_while_the_log_is_away() {
    let mut cluster = Cluster::start(3).await;
    let kept = cluster.grant(0).await;
    let denied = cluster.grant(1).await;
    cluster
        .all("granted", |node| node.is_in_force(&denied))
        .await;
    cluster.platform.set_away(true);
    let withdrawn = cluster.nodes[0].control.withdraw_key(denied.clone()).await;
    assert!(withdrawn.is_ok());
    cluster.add();
    cluster
        .all("known", |node| {
            node.is_in_force(&kept) && !node.is_in_force(&denied)
        })
        .await;
    cluster.all("fresh by majority", Node::is_fresh).await;
    cluster.stop();
}

#[actix_rt::test]
async fn an_isolated_instance_stops_being_fresh_and_a_majority_does_not() {
    let cluster = Cluster::start(5).await;
    cluster.grant(0).await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.platform.set_away(true);
    cluster.network.cut(cluster.nodes[4].instance.id());
    eventually("the isolated one refuses", || !cluster.nodes[4].is_fresh()).await;
    assert!(cluster.nodes[..4].iter().all(Node::is_fresh));
    cluster.stop();
}

#[actix_rt::test]
async fn a_new_instance_starts_from_a_snapshot_after_retention() {
    let mut cluster = Cluster::start(3).await;
    let key_id = cluster.grant(0).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    // An outage asks for a snapshot, after which the platform forgets what was before it.
    cluster.platform.set_away(true);
    let failed = |node: &Node| node.instance.metrics.counted("log.read_failed") > 0;
    let relays = || cluster.nodes.iter().any(failed);
    eventually("the outage is seen", relays).await;
    cluster.platform.set_away(false);
    let snapshot_at = || {
        let inner = cluster.platform.lock();
        inner.records.iter().position(|bytes| {
            let envelope = flamingoscale::record::decode(bytes);
            envelope.is_ok_and(|one| matches!(one.record, Record::SnapshotChunk { .. }))
        })
    };
    eventually("a snapshot is written", || snapshot_at().is_some()).await;
    let at = snapshot_at().expect("it was there") as u64;
    cluster.platform.lock().earliest = at;
    // Nobody answers the new one but the log.
    let old: Vec<Arc<str>> = cluster
        .nodes
        .iter()
        .map(|node| node.instance.id().clone())
        .collect();
    for instance in &old {
        cluster.network.cut(instance);
    }
    cluster.add();
    let newest = cluster.nodes.last().expect("one was added");
    eventually("restored", || newest.is_in_force(&key_id)).await;
    assert!(newest.instance.metrics.counted("snapshot.installed") > 0);
    cluster.stop();
}

#[actix_rt::test]
async fn foreign_damaged_and_newer_records_are_skipped_and_counted() {
    let cluster = Cluster::start(1).await;
    let junk: [&[u8]; 4] = [b"", b"hello", b"FsR\x01\xff\xff", b"FsR\x63later"];
    cluster
        .platform
        .lock()
        .records
        .extend(junk.map(Bytes::from_static));
    let key_id = cluster.grant(0).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    let metrics = &cluster.nodes[0].instance.metrics;
    assert_eq!(metrics.counted("log.foreign_record"), 2);
    assert_eq!(metrics.counted("log.damaged_record"), 1);
    assert_eq!(metrics.counted("log.newer_record"), 1);
    cluster.stop();
}

#[actix_rt::test]
async fn changes_get_through_a_slow_log_and_all_stay_fresh() {
    let cluster = Cluster::start(3).await;
    cluster.grant(0).await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.platform.lock().delay_ms = 1_300;
    let key_id = cluster.grant(1).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_read_that_went_silent_holds_nobody_up() {
    let cluster = Cluster::start(3).await;
    cluster.grant(0).await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.platform.lock().silenced += 1;
    let key_id = cluster.grant(1).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_peer_gives_its_state_where_it_no_longer_has_the_records() {
    let mut cluster = Cluster::start(2).await;
    let key_id = cluster.grant(0).await;
    // More than an instance keeps for others.
    let junk = Bytes::from(vec![b'x'; 1 << 20]);
    let records = std::iter::repeat_n(junk, 6);
    cluster.platform.lock().records.extend(records);
    cluster
        .all("all is read", |node| {
            node.instance.metrics.counted("log.foreign_record") == 6
        })
        .await;
    cluster.platform.set_away(true);
    cluster.add();
    let newest = cluster.nodes.last().expect("one was added");
    eventually("restored", || newest.is_in_force(&key_id)).await;
    assert_eq!(newest.instance.metrics.counted("snapshot.installed"), 1);
    let folded = |node: &Node| node.instance.view.load().folded;
    assert_eq!(folded(newest), folded(&cluster.nodes[0]));
    cluster.stop();
}

#[actix_rt::test]
async fn a_log_without_a_snapshot_is_gone_on_with_only_after_a_long_search() {
    let clock = ManualClock::default();
    let mut cluster = Cluster {
        clock: Some(clock.clone()),
        ..Cluster::default()
    };
    let junk = std::iter::repeat_n(Bytes::from_static(b"junk"), 50);
    cluster.platform.lock().records.extend(junk);
    cluster.platform.lock().earliest = 40;
    cluster.add();
    let node = &cluster.nodes[0];
    let searched = || node.instance.metrics.counted("log.truncated") == 1;
    eventually("the search began", searched).await;
    clock.advance(5_000);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(node.instance.metrics.counted("log.state_lost"), 0);
    assert!(!node.is_fresh());
    clock.advance(6_000);
    eventually("gone on", || node.is_fresh()).await;
    assert_eq!(node.instance.metrics.counted("log.state_lost"), 1);
    cluster.stop();
}
