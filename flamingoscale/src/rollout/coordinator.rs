//! Entry point of the coordinator: accepts requests on any thread and passes them to the driver.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};

use tokio::sync::{
    mpsc,
    oneshot, //
};

use crate::{
    home::Homes,
    instance::Instance,
    peer::{
        PeerHandler,
        PeerRequest,
        ReplySender, //
    },
    rollout::{
        answer::Answer,
        copies::Copies,
        core::Limits,
        driver::Driver,
        Message,
        Reply, //
    }, //
};

/// Capacity of the command channel; senders wait while it is full.
const COMMAND_QUEUE_LEN: usize = 1_024;

/// A request, with the channel for its answer.
pub(crate) struct Command {
    pub(crate) message: Message,
    pub(crate) answer: oneshot::Sender<Answer>,
}

/// Coordinator state that is shared by all threads.
pub(crate) struct Shared {
    pub(crate) instance: Arc<Instance>,
    commands: mpsc::Sender<Command>,
    copies: Mutex<Copies>,
}

/// The coordinator of this instance, for the trainers whose steps are placed here.
pub struct Coordinator {
    shared: Arc<Shared>,
    limits: Limits,
    receiver: Mutex<Option<mpsc::Receiver<Command>>>,
}

impl Coordinator {
    /// Creates a coordinator. It processes requests only while [`Coordinator::run`] is running.
    pub fn new(instance: Arc<Instance>, _homes: Arc<dyn Homes>) -> Arc<Self> {
        Self::with_limits(instance, Limits::default())
    }

    /// Creates a coordinator that never hedges stragglers: the baseline that
    /// `docs/design/stragglers.md` compares against.
    pub fn without_hedging(instance: Arc<Instance>) -> Arc<Self> {
        let limits = Limits {
            hedging: false,
            ..Limits::default()
        };
        Self::with_limits(instance, limits)
    }

    fn with_limits(instance: Arc<Instance>, limits: Limits) -> Arc<Self> {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_LEN);
        let shared = Shared {
            instance,
            commands,
            copies: Mutex::default(),
        };
        Arc::new(Self {
            shared: Arc::new(shared),
            limits,
            receiver: Mutex::new(Some(receiver)),
        })
    }

    /// Runs the coordinator indefinitely on a traffic thread. A second call returns at once.
    pub async fn run(self: Arc<Self>) {
        let receiver = lock(&self.receiver).take();
        if let Some(receiver) = receiver {
            Driver::run(self.shared.clone(), self.limits, receiver).await;
        }
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

impl Shared {
    /// Copies that this instance holds for other coordinators.
    pub(crate) fn copies(&self) -> MutexGuard<'_, Copies> {
        lock(&self.copies)
    }

    /// Handles a request on this instance, regardless of which instance the trainer's steps are
    /// placed on.
    pub(crate) async fn answer(&self, from: &Arc<str>, message: Message) -> Answer {
        match self.answer_as_holder(from, &message) {
            Some(reply) => Answer::Reply(reply),
            None => self.command(message).await,
        }
    }

    fn answer_as_holder(&self, from: &Arc<str>, message: &Message) -> Option<Reply> {
        let now_ms = self.instance.now_ms();
        let mut copies = self.copies();
        let reply = match message {
            Message::Hold {
                trainer,
                epoch,
                step,
            } => copies.hold(from, trainer, *epoch, step.clone(), now_ms),
            Message::Copy {
                trainer,
                step,
                epoch,
                samples,
            } => copies.copy(from, trainer, *step, *epoch, samples, now_ms),
            Message::Seal {
                trainer,
                step,
                epoch,
                newest_version,
                draws,
            } => copies.seal(from, trainer, *step, *epoch, *newest_version, draws),
            Message::Forget { trainer, step } => {
                copies.forget(trainer, *step);
                Reply::Accepted
            }
            _ => return None,
        };
        Some(reply)
    }

    async fn command(&self, message: Message) -> Answer {
        let (answer, receiver) = oneshot::channel();
        let command = Command { message, answer };
        if self.commands.send(command).await.is_err() {
            return Answer::Unavailable;
        }
        receiver.await.unwrap_or(Answer::Unavailable)
    }
}

impl PeerHandler for Coordinator {
    fn handle(&self, from: Arc<str>, request: PeerRequest, reply: ReplySender) {
        let PeerRequest::Rollout(message) = request else {
            return;
        };
        let shared = self.shared.clone();
        actix_rt::spawn(async move {
            let answer = shared.answer(&from, message).await;
            answer.send(&reply).await;
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while the lock is held can't leave this data inconsistent, so a poisoned lock is used
    // as is.
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
