//! The face of the coordinator: takes requests from any thread and passes them to its driver.

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

/// Commands that wait before requests are held back.
const COMMAND_QUEUE_LEN: usize = 1_024;

/// One request with the place for its answer.
pub(crate) struct Command {
    pub(crate) message: Message,
    pub(crate) answer: oneshot::Sender<Answer>,
}

/// What all threads use of the coordinator.
pub(crate) struct Shared {
    pub(crate) instance: Arc<Instance>,
    commands: mpsc::Sender<Command>,
    copies: Mutex<Copies>,
}

/// The coordinator of this instance: of the trainers that rank it first.
pub struct Coordinator {
    shared: Arc<Shared>,
    limits: Limits,
    receiver: Mutex<Option<mpsc::Receiver<Command>>>,
}

impl Coordinator {
    /// A coordinator that does nothing until [`Coordinator::run`].
    pub fn new(instance: Arc<Instance>, _homes: Arc<dyn Homes>) -> Arc<Self> {
        Self::with_limits(instance, Limits::default())
    }

    /// A coordinator that gives stragglers no second tries: the baseline that
    /// `docs/design/stragglers.md` measures against.
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

    /// Runs for ever on a traffic thread; a second call returns at once.
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
    /// The copies that this instance holds for others.
    pub(crate) fn copies(&self) -> MutexGuard<'_, Copies> {
        lock(&self.copies)
    }

    /// Answers a request here, whoever ranks first for its trainer.
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
        let (answer, answered) = oneshot::channel();
        let command = Command { message, answer };
        if self.commands.send(command).await.is_err() {
            return Answer::Unavailable;
        }
        answered.await.unwrap_or(Answer::Unavailable)
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
    // A panic while holding this lock leaves plain data behind, which is safe to go on with.
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
