//! The dispatcher: routes, homes and peers put together.

use std::{
    cell::RefCell,
    collections::HashSet,
    rc::Rc,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        Weak, //
    },
    time::Duration, //
};

use arc_swap::ArcSwap;

use crate::{
    dispatch::{
        Dispatch,
        Message,
        Work,
        WorkEvent,
        WorkStream, //
    },
    engine::{
        http::HttpEngineControl,
        EngineControl as _, //
    },
    home::{
        desk::Desk,
        table::SlotTarget,
        HomeFacts,
        Homes, //
    },
    instance::Instance,
    peer::{
        PeerHandler,
        PeerReply,
        PeerRequest,
        ReplySender, //
    },
    routing::{
        retry::RetryBudget,
        table::RouteTable, //
    },
    view::EndpointKey, //
};

/// Time between two readings of an endpoint's status by its home.
const STATUS_PERIOD: Duration = Duration::from_millis(200);

/// Runs work: as an entry for callers and trainers, as a home for endpoints.
pub struct Dispatcher {
    pub(crate) instance: Arc<Instance>,
    pub(crate) desk: Arc<Desk>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    routes: ArcSwap<RouteTable>,
    building: Mutex<()>,
    me: Weak<Dispatcher>,
}

impl Dispatcher {
    /// A dispatcher without routes; they follow the instance's view.
    pub fn new(instance: Arc<Instance>) -> Arc<Self> {
        Arc::new_cyclic(|me| {
            let timeline = instance.timeline.clone();
            let on_crash = Box::new(move |endpoint: EndpointKey, fingerprints: &[u64]| {
                let count = fingerprints.len();
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("endpoint", &endpoint.0), ("in_flight", &count)];
                timeline.record("home.endpoint_crashed", "", &fields);
            });
            Self {
                desk: Desk::new(instance.clone(), on_crash),
                instance,
                retry_budget: Mutex::default(),
                routes: ArcSwap::default(),
                building: Mutex::default(),
                me: me.clone(),
            }
        })
    }

    /// Reads the status of the endpoints at home, for ever.
    pub async fn watch(self: Arc<Self>) {
        let reading: Rc<RefCell<HashSet<EndpointKey>>> = Rc::default();
        loop {
            self.routes();
            for (key, address) in self.desk.targets() {
                if reading.borrow_mut().insert(key) {
                    let (me, reading) = (self.clone(), reading.clone());
                    actix_rt::spawn(async move {
                        me.read_status(key, &address).await;
                        reading.borrow_mut().remove(&key);
                    });
                }
            }
            tokio::time::sleep(STATUS_PERIOD).await;
        }
    }

    /// Reads one endpoint's status now.
    pub(crate) async fn read_status(&self, key: EndpointKey, address: &str) {
        let read = async { HttpEngineControl.status(address).await.ok() };
        self.desk.refresh(key, read).await;
    }

    /// The routes of the present view.
    pub(crate) fn routes(&self) -> Arc<RouteTable> {
        let view = self.instance.view.load();
        let routes = self.routes.load_full();
        if routes.fits(&view) {
            return routes;
        }
        // One thread builds; the others go on with the routes from before.
        let Ok(_building) = self.building.try_lock() else {
            return routes;
        };
        let built = Arc::new(RouteTable::build(&view, &self.routes.load()));
        self.desk.sync(self.targets(&built));
        self.routes.store(built.clone());
        built
    }

    fn targets(&self, routes: &RouteTable) -> Vec<SlotTarget> {
        let at_home = routes.at_home(self.instance.id());
        at_home
            .map(|(service, endpoint)| SlotTarget {
                key: endpoint.key,
                id: endpoint.id.clone(),
                service: service.clone(),
                address: endpoint.address.clone(),
                slots: endpoint.slots,
            })
            .collect()
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Dispatch for Dispatcher {
    fn start(&self, work: Work) -> WorkStream {
        let (events, stream) = WorkStream::channel();
        if let Some(me) = self.me.upgrade() {
            actix_rt::spawn(async move { me.run_as_entry(work, events).await });
        }
        stream
    }
}

impl Homes for Dispatcher {
    fn at_home(&self) -> Vec<EndpointKey> {
        self.routes();
        self.desk.at_home()
    }

    fn facts(&self, endpoint: EndpointKey) -> Option<HomeFacts> {
        self.desk.facts(endpoint)
    }

    fn hold(&self, endpoint: EndpointKey, held: bool) {
        self.desk.hold(endpoint, held);
    }
}

impl PeerHandler for Dispatcher {
    fn handle(&self, _from: Arc<str>, request: PeerRequest, reply: ReplySender) {
        let Some(me) = self.me.upgrade() else {
            return;
        };
        if let PeerRequest::Dispatch(message) = request {
            let Message::Run {
                endpoint,
                work,
                forwarded,
            } = message;
            let (events, stream) = WorkStream::channel();
            actix_rt::spawn(pass_to_peer(stream, reply));
            actix_rt::spawn(async move {
                me.run_as_home(endpoint, *work, forwarded, &events).await;
            });
        }
    }
}

/// Passes events to a peer until the last one, or until the peer is gone: then the stream is
/// dropped, which cancels the work.
async fn pass_to_peer(mut stream: WorkStream, reply: ReplySender) {
    loop {
        let event = tokio::select! {
            event = stream.next() => event,
            () = reply.closed() => return,
        };
        let Some(event) = event else {
            return;
        };
        let last = matches!(event, WorkEvent::Done(_));
        if reply.send(PeerReply::Dispatch(event)).await.is_err() || last {
            return;
        }
    }
}
