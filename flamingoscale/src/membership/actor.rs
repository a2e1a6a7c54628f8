//! Runs the membership protocol on the control thread: feeds events into the core and performs its
//! actions.

use std::{
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
use rand::RngExt as _;
use tokio::time::timeout;

use super::{
    Action,
    Membership,
    Message,
    ProbeId,
    Timing, //
};
use crate::{
    controller::{
        ControlContext,
        Controller, //
    },
    instance::Instance,
    peer::{
        PeerHandler,
        PeerReply,
        PeerRequest,
        ReplySender, //
    },
    view::Member, //
};

/// Interval between two ticks of the protocol.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest interval between two reads of the platform's instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Largest number of members at which each one reads the list at the shortest interval. In a larger
/// cluster each member reads less often and the total rate stays the same, since an address that
/// one member reads from the list spreads by gossip.
const LIST_READERS: usize = 12;

/// Timeout for any answer of a peer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout for a probe that is made on behalf of another member.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A peer message on its way to the control thread.
struct Incoming {
    message: Message,
    reply: ReplySender,
}

/// Maintains the list of live members.
pub struct MembershipController {
    instance: Arc<Instance>,
    incoming: mpsc::UnboundedReceiver<Incoming>,
}

impl MembershipController {
    /// Creates the controller and the handler for [`PeerRequest::Membership`].
    pub fn new(instance: Arc<Instance>) -> (Self, Arc<dyn PeerHandler>) {
        let (sender, incoming) = mpsc::unbounded();
        let controller = Self { instance, incoming };
        (controller, Arc::new(Receiver { sender }))
    }
}

impl Controller for MembershipController {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn start(self: Box<Self>, context: ControlContext) {
        let core = Membership::new(
            own_member(&self.instance),
            Timing::default(),
            rand::rng().random(),
        );
        let incoming = self.incoming;
        MembershipActor::create(|actor| {
            actor.add_stream(incoming);
            MembershipActor { core, context }
        });
    }
}

/// Forwards peer messages to the control thread.
struct Receiver {
    sender: mpsc::UnboundedSender<Incoming>,
}

impl PeerHandler for Receiver {
    fn handle(&self, _from: Arc<str>, request: PeerRequest, reply: ReplySender) {
        if let PeerRequest::Membership(message) = request {
            // If the control thread has ended, the send fails and drops `reply`, which ends the
            // stream.
            let _ = self.sender.unbounded_send(Incoming { message, reply });
        }
    }
}

fn own_member(instance: &Instance) -> Member {
    Member {
        instance: instance.id().clone(),
        incarnation: instance.incarnation,
        failure_domain: instance.settings.failure_domain.clone(),
        address: instance.settings.address.to_string().into(),
        peer_address: instance.settings.peer_address.to_string().into(),
        leaving: instance.is_draining(),
        suspect: false,
        revision: instance.view.load().revision,
    }
}

/// Returns the interval until the next read of the platform's list in a cluster of `members`.
fn list_interval(members: usize) -> Duration {
    let members = members.max(LIST_READERS) as u32;
    LIST_INTERVAL * members / LIST_READERS as u32
}

struct MembershipActor {
    core: Membership,
    context: ControlContext,
}

impl Actor for MembershipActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.hint_seeds();
        self.tick(context);
        context.run_interval(TICK_INTERVAL, Self::tick);
        self.read_list(context);
    }
}

impl StreamHandler<Incoming> for MembershipActor {
    fn handle(&mut self, incoming: Incoming, context: &mut Self::Context) {
        if let Message::ProbeRequest { target } = incoming.message {
            return self.probe_for(target, incoming.reply, context);
        }
        let now_ms = self.context.instance.now_ms();
        let (answer, actions) = self.core.receive(now_ms, incoming.message);
        if let Some(answer) = answer {
            let _ = incoming.reply.try_send(PeerReply::Membership(answer));
        }
        self.perform(actions, context);
    }
}

impl MembershipActor {
    /// Adds the configured seeds to the addresses to be probed.
    fn hint_seeds(&mut self) {
        for seed in &self.context.instance.settings.seeds {
            self.core.hint(&"".into(), &seed.to_string().into());
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let instance = &self.context.instance;
        self.core.set_revision(instance.view.load().revision);
        if instance.is_draining() {
            self.core.leave();
        }
        let actions = self.core.tick(instance.now_ms());
        self.perform(actions, context);
    }

    /// Reads the platform's list. The list lags, so this function only adds addresses to probe and
    /// never removes a member.
    fn read_list(&mut self, context: &mut Context<Self>) {
        if self.core.members().len() == 1 {
            self.hint_seeds();
        }
        let instances = self.context.platform.instances.clone();
        let listed = async move { instances.list().await };
        let listed = actix::fut::wrap_future::<_, Self>(listed);
        let hinted = actix::ActorFutureExt::map(listed, |listed, actor: &mut Self, _| {
            for row in listed.unwrap_or_default() {
                if !row.leaving {
                    actor.core.hint(&row.instance, &row.peer_address);
                }
            }
        });
        context.spawn(hinted);
        let interval = list_interval(self.core.members().len());
        context.run_later(interval, Self::read_list);
    }

    fn perform(&mut self, actions: Vec<Action>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                Action::Send {
                    probe,
                    instance,
                    peer_address,
                    message,
                } => self.send(probe, &instance, &peer_address, message, context),
                Action::Publish(members) => self.context.instance.publish_members(members),
                Action::HealthChanged { instance, health } => {
                    let health = format!("{health:?}").to_lowercase();
                    let kind = format!("membership.{health}");
                    let shared = &self.context.instance;
                    shared.metrics.count(&kind);
                    shared.timeline.record(&kind, "", &[("member", &instance)]);
                }
            }
        }
    }

    fn send(
        &mut self,
        probe: ProbeId,
        peer: &Arc<str>,
        peer_address: &Arc<str>,
        message: Message,
        context: &mut Context<Self>,
    ) {
        let call = send_request(
            &self.context.instance,
            peer,
            peer_address,
            message,
            ANSWER_TIMEOUT,
        );
        let call = call.into_actor(self);
        let answered =
            actix::ActorFutureExt::map(call, move |answer, actor: &mut Self, context| {
                let now_ms = actor.context.instance.now_ms();
                let actions = actor.core.on_answer(now_ms, probe, answer);
                actor.perform(actions, context);
            });
        context.spawn(answered);
    }

    /// Probes a member on behalf of the peer and forwards the answer.
    fn probe_for(&mut self, target: Member, reply: ReplySender, context: &mut Context<Self>) {
        let message = self.core.probe_message(&target.instance);
        let call = send_request(
            &self.context.instance,
            &target.instance,
            &target.peer_address,
            message,
            INDIRECT_TIMEOUT,
        );
        let forwarded = async move {
            let answer = call.await.unwrap_or(Message::NoAnswer);
            let _ = reply.try_send(PeerReply::Membership(answer));
        };
        context.spawn(forwarded.into_actor(self));
    }
}

/// Sends one message and returns its answer, or `None` if it failed or timed out.
fn send_request(
    instance: &Instance,
    peer: &Arc<str>,
    peer_address: &Arc<str>,
    message: Message,
    answer_timeout: Duration,
) -> impl std::future::Future<Output = Option<Message>> + 'static {
    let request = PeerRequest::Membership(message);
    let peer = peer.clone();
    let stream = instance
        .peers()
        .map(|peers| peers.open(&peer, peer_address, request));
    async move {
        let answer = timeout(answer_timeout, stream?.single(&peer)).await;
        match answer {
            Ok(Ok(PeerReply::Membership(answer))) => Some(answer),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn total_list_read_rate_is_bounded() {
        assert_eq!(list_interval(1), LIST_INTERVAL);
        assert_eq!(list_interval(12), LIST_INTERVAL);
        assert_eq!(list_interval(24), 2 * LIST_INTERVAL);
        assert_eq!(list_interval(380).as_secs(), 158);
    }
}
