//! Endpoint orders: one instance, the holder of the orders lease, keeps the fleet at its target
//! size.
//!
//! The holder mirrors the platform's list of endpoints into the log, so that all instances know it,
//! and sends orders through [`protocol`]. [`policy`] decides what to order. See
//! `docs/design/orders.md`.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use actix::{
    Actor,
    AsyncContext as _,
    Context,
    StreamHandler,
    WrapFuture as _, //
};
use futures::channel::mpsc;
use tokio::time::timeout;

mod fleet;
mod loads;
mod placement;
pub mod policy;
pub mod protocol;
mod target;

pub use self::loads::{
    Message,
    Reply, //
};

use self::{
    loads::{
        report_interval_ms,
        LoadTable, //
    },
    policy::{
        Policy,
        PolicyInput, //
    },
    protocol::{
        Protocol,
        Step, //
    }, //
};
use super::{
    lease_driver::LeaseDriver,
    ControlContext,
    Controller, //
};
use crate::{
    instance::Instance,
    lease::Term,
    peer::{
        PeerHandler,
        PeerReply,
        PeerRequest,
        ReplySender, //
    },
    platform::PlatformError,
    record::Record,
    state::{
        orders_lease,
        ALL_REGIONS, //
    },
    wire::{
        PlatformEndpoint,
        PlatformOrder, //
    }, //
};

/// Interval at which the holder compares the platform's list with the target.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Validity of an order: the platform drops it if it arrives later than this.
const ORDER_VALIDITY_MS: u64 = 2_000;

/// How long an order of the previous holder may still take effect after its term: the validity
/// period, the same again for the receiver's clock, and a margin for a receiver that ignores
/// fencing numbers.
const ORDER_GUARD_MS: u64 = 3 * ORDER_VALIDITY_MS;

/// Timeout for reporting this instance's load to the holder.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of endpoints in one log record.
const MAX_ENDPOINTS_PER_RECORD: usize = 200;

/// A peer message on its way to the control thread.
struct Incoming {
    from: Arc<str>,
    message: Message,
    reply: ReplySender,
}

/// Keeps the number and placement of endpoints in line with configuration and load.
pub struct OrdersController {
    instance: Arc<Instance>,
    sender: mpsc::UnboundedSender<Incoming>,
    incoming: mpsc::UnboundedReceiver<Incoming>,
}

impl OrdersController {
    /// Creates the controller of one instance.
    pub fn new(instance: Arc<Instance>) -> Self {
        let (sender, incoming) = mpsc::unbounded();
        Self {
            instance,
            sender,
            incoming,
        }
    }

    /// Returns the handler for [`PeerRequest::Orders`], which forwards messages to the control
    /// thread.
    pub fn handler(&self) -> Arc<dyn PeerHandler> {
        let sender = self.sender.clone();
        Arc::new(Receiver { sender })
    }
}

/// Forwards peer messages to the control thread.
struct Receiver {
    sender: mpsc::UnboundedSender<Incoming>,
}

impl PeerHandler for Receiver {
    fn handle(&self, from: Arc<str>, request: PeerRequest, reply: ReplySender) {
        if let PeerRequest::Orders(message) = request {
            let incoming = Incoming {
                from,
                message,
                reply,
            };
            // If the control thread has ended, the send fails and drops `reply`, which ends the
            // stream.
            let _ = self.sender.unbounded_send(incoming);
        }
    }
}

impl Controller for OrdersController {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn start(self: Box<Self>, context: ControlContext) {
        let lease = orders_lease(ALL_REGIONS);
        let seed = self.instance.incarnation;
        let reconciler = Reconciler {
            lease: LeaseDriver::new(lease, context.clone(), ORDER_GUARD_MS),
            protocol: Protocol::new(ORDER_VALIDITY_MS).into(),
            policy: Policy::new(seed).into(),
            loads: RefCell::default(),
            next_report_ms: Cell::new(0),
            context,
            busy: Cell::new(false),
        };
        let incoming = self.incoming;
        OrdersActor::create(|actor| {
            actor.add_stream(incoming);
            OrdersActor {
                reconciler: Rc::new(reconciler),
            }
        });
    }
}

struct OrdersActor {
    reconciler: Rc<Reconciler>,
}

impl Actor for OrdersActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(RECONCILE_INTERVAL, Self::reconcile);
    }
}

impl StreamHandler<Incoming> for OrdersActor {
    fn handle(&mut self, incoming: Incoming, _: &mut Self::Context) {
        let now_ms = self.reconciler.context.instance.now_ms();
        let Message::Load { loads } = incoming.message;
        let mut table = self.reconciler.loads.borrow_mut();
        table.record(now_ms, incoming.from, loads);
        let _ = incoming.reply.try_send(PeerReply::Orders(Reply::Accepted));
    }
}

impl OrdersActor {
    fn reconcile(&mut self, context: &mut Context<Self>) {
        if self.reconciler.busy.replace(true) {
            return;
        }
        let reconciler = self.reconciler.clone();
        let cycle = async move {
            reconciler.reconcile().await;
            reconciler.busy.set(false);
        };
        context.spawn(cycle.into_actor(self));
    }
}

/// State of the reconcile cycle. No `RefCell` borrow is held across an await.
struct Reconciler {
    lease: LeaseDriver,
    protocol: RefCell<Protocol>,
    policy: RefCell<Policy>,
    loads: RefCell<LoadTable>,
    next_report_ms: Cell<u64>,
    context: ControlContext,
    busy: Cell<bool>,
}

impl Reconciler {
    async fn reconcile(&self) {
        self.report_load();
        self.lease.step().await;
        let Some(term) = self.lease.term() else {
            self.protocol.borrow_mut().on_lease_lost();
            return;
        };
        let orders = self.context.platform.orders.clone();
        let Ok(listed) = orders.endpoints().await else {
            self.context.instance.metrics.count("orders.platform_away");
            return;
        };
        self.mirror_endpoints(term, &listed).await;
        let steps = self.decide(term, &listed);
        let performed = steps.into_iter().map(|step| self.perform(step));
        futures::future::join_all(performed).await;
    }

    /// Reports this instance's load to the current holder of the lease.
    fn report_load(&self) {
        let instance = &self.context.instance;
        let (now_ms, view) = (instance.now_ms(), instance.view.load());
        if now_ms < self.next_report_ms.get() {
            return;
        }
        let interval_ms = report_interval_ms(view.members.len());
        self.next_report_ms.set(now_ms + interval_ms);
        let loads = instance.demand.loads();
        let Some(holder) = self.holder() else {
            return;
        };
        if holder == *instance.id() {
            let mut table = self.loads.borrow_mut();
            return table.record(now_ms, holder, loads);
        }
        let member = view.members.iter().find(|member| member.instance == holder);
        let Some((member, peers)) = member.zip(instance.peers()) else {
            return;
        };
        let request = PeerRequest::Orders(Message::Load { loads });
        let stream = peers.open(&member.instance, &member.peer_address, request);
        // A lost report is superseded by the next one.
        actix_rt::spawn(async move {
            let _ = timeout(LOAD_REPORT_TIMEOUT, stream.single(&holder)).await;
        });
    }

    /// Returns the instance that last claimed the orders lease.
    fn holder(&self) -> Option<Arc<str>> {
        let state = self.context.state.borrow();
        let entry = state.leases.get(&orders_lease(ALL_REGIONS))?;
        Some(entry.holder.clone())
    }

    /// Appends the differences between the platform's list and the folded endpoint table to the
    /// log.
    async fn mirror_endpoints(&self, term: Term, listed: &[PlatformEndpoint]) {
        for record in self.endpoint_changes(term, listed) {
            let _ = self.submit(record).await;
        }
    }

    /// Builds the records for endpoints that are new, changed or no longer listed.
    fn endpoint_changes(&self, term: Term, listed: &[PlatformEndpoint]) -> Vec<Record> {
        let state = self.context.state.borrow();
        let table = &state.endpoints;
        let is_new = |endpoint: &&PlatformEndpoint| {
            let mirrored = table.find(&endpoint.endpoint);
            let mirrored = mirrored.and_then(|key| mirrored_endpoint(&state, key));
            mirrored != Some(*endpoint)
        };
        let changed: Vec<PlatformEndpoint> = listed.iter().filter(is_new).cloned().collect();
        let listed_ids: std::collections::HashSet<&str> =
            listed.iter().map(|endpoint| &*endpoint.endpoint).collect();
        let mirrored = table.endpoints.values();
        let removed: Vec<Arc<str>> = mirrored
            .map(|mirrored| mirrored.platform.endpoint.clone())
            .filter(|endpoint| !listed_ids.contains(&**endpoint))
            .collect();
        let claim = term.claim;
        let mut records: Vec<Record> = changed
            .chunks(MAX_ENDPOINTS_PER_RECORD)
            .map(|changed| Record::Endpoints {
                claim,
                changed: changed.to_vec(),
                removed: Vec::new(),
            })
            .collect();
        records.extend(
            removed
                .chunks(MAX_ENDPOINTS_PER_RECORD)
                .map(|removed| Record::Endpoints {
                    claim,
                    changed: Vec::new(),
                    removed: removed.to_vec(),
                }),
        );
        records
    }

    fn decide(&self, term: Term, listed: &[PlatformEndpoint]) -> Vec<Step> {
        let now_ms = self.context.instance.now_ms();
        let state = self.context.state.borrow();
        let open_orders = &state.open_orders;
        let configuration = &state.configuration;
        let members = self.context.instance.view.load().members.clone();
        let loads = self.loads.borrow_mut().total(now_ms, &members);
        let mut policy = self.policy.borrow_mut();
        let input = PolicyInput {
            configuration,
            listed,
            open_orders,
            loads: loads.as_ref(),
        };
        let actions = policy.decide(now_ms, &input);
        let mut protocol = self.protocol.borrow_mut();
        protocol.decide(term, open_orders, listed, actions)
    }

    async fn perform(&self, step: Step) {
        match step {
            Step::AppendIntent(record) => {
                if let Ok(order) = self.submit(record).await {
                    self.send(order).await;
                }
            }
            Step::Send(order) => self.send(order).await,
            Step::AppendOutcome(record) => {
                let _ = self.submit(record).await;
            }
        }
    }

    /// Sends one order, provided that the lease is still held immediately before sending.
    async fn send(&self, order: u64) {
        let Some(order) = self.prepare(order) else {
            return;
        };
        let orders = self.context.platform.orders.clone();
        let number = order.order;
        let result = orders.order(order).await;
        let now_ms = self.context.instance.now_ms();
        self.record_result(number, &result);
        if let Err(PlatformError::Refused { .. }) = &result {
            let state = self.context.state.borrow();
            if let Some(open_order) = state.open_orders.get(&number) {
                self.policy
                    .borrow_mut()
                    .on_unavailable(now_ms, &open_order.action);
            }
        }
        let Some(term) = self.lease.term() else {
            return;
        };
        let outcome = {
            let mut protocol = self.protocol.borrow_mut();
            protocol.on_answer(term, number, &result)
        };
        if let Some(Step::AppendOutcome(record)) = outcome {
            let _ = self.submit(record).await;
        }
    }

    fn prepare(&self, order: u64) -> Option<PlatformOrder> {
        let state = self.context.state.borrow();
        let open_order = state.open_orders.get(&order)?;
        let sender = self.context.instance.id();
        let term = self.lease.term_for(ORDER_VALIDITY_MS);
        self.protocol
            .borrow_mut()
            .prepare(term, order, open_order, sender)
    }

    /// Counts the result of a sent order and records it on the time line.
    fn record_result(
        &self,
        order: u64,
        result: &Result<crate::wire::PlatformOrderDone, PlatformError>,
    ) {
        let kind = match result {
            Ok(_) => "orders.done",
            Err(PlatformError::Fenced { .. }) => {
                self.lease.mark_fenced();
                "orders.fenced"
            }
            Err(PlatformError::Unknown { .. }) => "orders.answer_lost",
            Err(_) => "orders.refused",
        };
        let instance = &self.context.instance;
        instance.metrics.count(kind);
        instance.timeline.record(kind, "", &[("order", &order)]);
    }

    async fn submit(&self, record: Record) -> Result<u64, ()> {
        let control = self.context.instance.control().ok_or(())?;
        control.submit(record).await.map_err(|_| ())
    }
}

fn mirrored_endpoint(
    state: &crate::state::State,
    key: crate::view::EndpointKey,
) -> Option<&PlatformEndpoint> {
    let mirrored = state.endpoints.endpoints.get(&key)?;
    Some(&mirrored.platform)
}

#[cfg(test)]
mod tests;
