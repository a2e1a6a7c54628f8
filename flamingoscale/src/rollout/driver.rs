//! Passes events to the coordinator's core and carries out the resulting actions.
//!
//! The core runs on one traffic thread, with one task for each attempt and one for the copies of
//! each step.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    fmt::Display,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use actix_rt::time::{
    interval,
    timeout, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot,
        Notify,
        Semaphore, //
    },
    task::JoinHandle,
    time::MissedTickBehavior, //
};

use crate::{
    instance::Instance,
    rollout::{
        answer::Answer,
        arena::{
            AttemptKey,
            SampleKey,
            StepKey, //
        },
        attempt,
        coordinator::{
            Command,
            Shared, //
        },
        copies::HeldStep,
        core::{
            Action,
            Core,
            Limits,
            OpenResult, //
        },
        recovery,
        replicator::Replicator,
        scoring,
        step::Phase,
        trainer_params::trainer_params,
        Message,
        Reply, //
    },
    view::View,
    wire::OpenStep, //
};

/// Interval between two ticks of the core.
const TICK_MS: u64 = 50;

/// Interval between two checks for held steps whose coordinator is gone.
const ORPHAN_CHECK_MS: u64 = 1_000;

/// Maximum number of concurrent calls to scoring services.
const MAX_SCORING_CALLS: usize = 32;

/// Maximum delay of the answer to an open request while the step is registered with a copy holder.
const HOLDER_READY_TIMEOUT_MS: u64 = 1_500;

/// Maximum wait of a single fetch request.
const MAX_FETCH_WAIT_MS: u64 = 60_000;

/// Signals to the task that replicates a step's copies.
#[derive(Default)]
struct ReplicationTask {
    wake: Notify,
    /// The step is over: the copy holder should discard its copies.
    forget: Cell<bool>,
    /// The step is no longer coordinated here.
    released: Cell<bool>,
}

/// A fetch that waits for a batch.
struct Waiter {
    step: StepKey,
    until_ms: u64,
    answer: oneshot::Sender<Answer>,
}

/// The core together with the tasks that run on its behalf.
pub(crate) struct Driver {
    shared: Arc<Shared>,
    pub(crate) core: RefCell<Core>,
    /// Limits concurrent calls to scoring services.
    pub(crate) scoring: Semaphore,
    attempts: RefCell<HashMap<AttemptKey, JoinHandle<()>>>,
    replication_tasks: RefCell<HashMap<StepKey, Rc<ReplicationTask>>>,
    waiters: RefCell<Vec<Waiter>>,
    last_orphan_check_ms: Cell<u64>,
    /// Serialises opening and recovering the steps of a trainer.
    opening_locks: RefCell<HashMap<Arc<str>, Rc<tokio::sync::Mutex<()>>>>,
}

impl Driver {
    /// Runs until the command channel is closed.
    pub(crate) async fn run(
        shared: Arc<Shared>,
        limits: Limits,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let driver = Rc::new(Self {
            shared,
            core: RefCell::new(Core::new(limits)),
            scoring: Semaphore::new(MAX_SCORING_CALLS),
            attempts: RefCell::default(),
            replication_tasks: RefCell::default(),
            waiters: RefCell::default(),
            last_orphan_check_ms: Cell::default(),
            opening_locks: RefCell::default(),
        });
        let mut ticks = interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => driver.spawn_command(command),
                    None => return,
                },
                _ = ticks.tick() => driver.tick(),
            }
        }
    }

    pub(crate) fn instance(&self) -> &Arc<Instance> {
        &self.shared.instance
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Passes one event to the core and carries out the resulting actions.
    pub(crate) fn with_core<T>(self: &Rc<Self>, handle: impl FnOnce(&mut Core, u64) -> T) -> T {
        let now_ms = self.instance().now_ms();
        let mut core = self.core.borrow_mut();
        let result = handle(&mut core, now_ms);
        let actions = core.take_actions();
        drop(core);
        for action in actions {
            self.execute(action);
        }
        result
    }

    /// Records an event on the time line and counts it.
    pub(crate) fn note(&self, kind: &str, trace: &str, fields: &[(&str, &dyn Display)]) {
        self.instance().timeline.record(kind, trace, fields);
        self.instance().metrics.count(kind);
    }

    fn tick(self: &Rc<Self>) {
        let view = self.instance().view.load();
        let fresh = self.instance().view.is_fresh(self.instance().now_ms());
        self.with_core(|core, now_ms| {
            for trainer in core.trainers() {
                if let Some(params) = trainer_params(&view, &trainer) {
                    core.set_trainer_params(&trainer, params, now_ms);
                }
            }
            core.tick(fresh, now_ms);
        });
        self.answer_expired();
        for task in self.replication_tasks.borrow().values() {
            task.wake.notify_one();
        }
        self.publish_stats();
        self.publish_demand();
        self.redirect_orphans(&view);
    }

    /// Periodically checks for held steps whose coordinator is gone.
    fn redirect_orphans(self: &Rc<Self>, view: &View) {
        let now_ms = self.instance().now_ms();
        if now_ms >= self.last_orphan_check_ms.get() + ORPHAN_CHECK_MS {
            self.last_orphan_check_ms.set(now_ms);
            recovery::redirect_orphans(self, view);
        }
    }

    /// Publishes the demand of the open steps for slots of their services.
    fn publish_demand(&self) {
        let instance = self.instance();
        let view = instance.view.load();
        for (trainer, slots) in self.core.borrow().demand(instance.now_ms()) {
            if let Some(trainer_config) = view.configuration.trainer(&trainer) {
                instance
                    .demand
                    .set_due(&trainer, &trainer_config.service, slots);
            }
        }
    }

    fn publish_stats(&self) {
        let stats = self.core.borrow().stats();
        let levels = [
            ("rollout.tokens_thrown_away", stats.discarded_tokens),
            ("rollout.late_results", stats.late_results),
            ("rollout.unknown_versions", stats.unknown_versions),
            ("rollout.stale", stats.stale),
            ("rollout.second_tries", stats.hedged_attempts),
        ];
        for (kind, value) in levels {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.instance().metrics.set_gauge(kind, value);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Start(spec) => {
                let key = spec.key;
                let task = actix_rt::spawn(attempt::run(self.clone(), spec));
                self.attempts.borrow_mut().insert(key, task);
            }
            Action::Cancel(key) => {
                if let Some(task) = self.attempts.borrow_mut().remove(&key) {
                    task.abort();
                }
            }
            Action::Score { sample, draw } => {
                actix_rt::spawn(scoring::run(self.clone(), sample, draw));
            }
            Action::Replicate(step) => self.wake_replication(step, |_| ()),
            Action::Forget(step) => self.wake_replication(step, |task| task.forget.set(true)),
            Action::Release(step) => {
                self.wake_replication(step, |task| task.released.set(true));
                self.replication_tasks.borrow_mut().remove(&step);
            }
            Action::WakeFetches(step) => self.answer_waiters(step),
            Action::Note { kind, sample } => self.note_sample(kind, sample),
        }
    }

    /// Removes the task of a finished attempt.
    pub(crate) fn attempt_finished(&self, key: AttemptKey) {
        self.attempts.borrow_mut().remove(&key);
    }

    fn note_sample(&self, kind: &str, sample: SampleKey) {
        let trace = self.trace(sample);
        self.note(kind, &trace, &[]);
    }

    /// Trace id of a sample on the time line.
    pub(crate) fn trace(&self, sample: SampleKey) -> String {
        let core = self.core.borrow();
        let Some(step) = core.step(sample.step) else {
            return String::new();
        };
        let (group, index) = step.group_and_index(sample.position);
        format!("{}/{}/{group}/{index}", step.trainer, step.contents.step)
    }

    fn wake_replication(&self, step: StepKey, signal: impl FnOnce(&ReplicationTask)) {
        if let Some(task) = self.replication_tasks.borrow().get(&step) {
            signal(task);
            task.wake.notify_one();
        }
    }

    /// Starts the task that replicates a step's copies. The returned channel reports when the first
    /// attempt to register the step with a copy holder is done.
    fn start_replication(self: &Rc<Self>, step: StepKey) -> oneshot::Receiver<()> {
        let (registered, on_registered) = oneshot::channel();
        let task = Rc::new(ReplicationTask::default());
        self.replication_tasks
            .borrow_mut()
            .insert(step, task.clone());
        let Some(mut replicator) = Replicator::new(self.clone(), step) else {
            return on_registered;
        };
        actix_rt::spawn(async move {
            replicator.register().await;
            // The opener may have stopped waiting.
            let _ = registered.send(());
            while !task.released.get() {
                task.wake.notified().await;
                replicator.run_pending().await;
            }
            if task.forget.get() {
                replicator.forget().await;
            }
        });
        on_registered
    }

    fn spawn_command(self: &Rc<Self>, command: Command) {
        let driver = self.clone();
        actix_rt::spawn(async move { driver.answer(command).await });
    }

    async fn answer(self: Rc<Self>, command: Command) {
        let answer = match command.message {
            Message::Open { trainer, step } => self.open(trainer, Arc::from(step)).await,
            Message::Fetch {
                trainer,
                step,
                wait_ms,
            } => {
                let key = self.find_or_take_over(&trainer, step).await;
                return self.fetch(key, wait_ms, command.answer);
            }
            Message::End { trainer, step } => self.end(&trainer, step).await,
            Message::Published { trainer, version } => {
                self.with_core(|core, now_ms| core.published(&trainer, version, now_ms));
                Answer::Reply(Reply::Accepted)
            }
            Message::Recover { trainer, step } => self.hand_over(&trainer, step),
            _ => Answer::Unavailable,
        };
        // The requester may have disconnected.
        let _ = command.answer.send(answer);
    }

    async fn open(self: &Rc<Self>, trainer: Arc<str>, contents: Arc<OpenStep>) -> Answer {
        let lock = self.opening_lock(&trainer);
        let _guard = lock.lock().await;
        let existing = self.core.borrow().find(&trainer, contents.step);
        let recovered = match existing {
            Some(_) => None,
            None => recovery::recover(self, &trainer, contents.step).await,
        };
        let (opened, registered) = match recovered {
            Some(held) if held.step != contents => (OpenResult::Conflict, None),
            Some(held) => self.open_recovered(&trainer, held),
            None => self.open_here(&trainer, contents, 1),
        };
        if let Some(registered) = registered {
            let _ = timeout(Duration::from_millis(HOLDER_READY_TIMEOUT_MS), registered).await;
        }
        Answer::Reply(match opened {
            OpenResult::Open(_) => Reply::Opened,
            OpenResult::Conflict => Reply::Conflict,
            OpenResult::TooLarge(too_large) => Reply::Refused(too_large.to_string()),
        })
    }

    fn open_here(
        self: &Rc<Self>,
        trainer: &Arc<str>,
        contents: Arc<OpenStep>,
        epoch: u64,
    ) -> (OpenResult, Option<oneshot::Receiver<()>>) {
        let opened = self.with_core(|core, now_ms| core.open(trainer, contents, epoch, now_ms));
        let OpenResult::Open(key) = opened else {
            return (opened, None);
        };
        if self.replication_tasks.borrow().contains_key(&key) {
            return (opened, None);
        }
        self.note("step.open", trainer, &[("epoch", &epoch)]);
        let registered = self.start_replication(key);
        (opened, Some(registered))
    }

    /// Opens a recovered step here under a higher epoch, and restores its samples.
    fn open_recovered(
        self: &Rc<Self>,
        trainer: &Arc<str>,
        held: HeldStep,
    ) -> (OpenResult, Option<oneshot::Receiver<()>>) {
        let (opened, registered) = self.open_here(trainer, held.step, held.epoch + 1);
        if let OpenResult::Open(key) = opened {
            let sample_count = held.samples.len();
            self.note("step.take_over", trainer, &[("samples", &sample_count)]);
            let copies = held.samples.into_values().collect();
            self.with_core(|core, _| core.restore(key, copies, held.sealed));
            let step = self.core.borrow().step(key).map(|step| step.contents.step);
            self.shared
                .copies()
                .forget(trainer, step.unwrap_or_default());
        }
        (opened, registered)
    }

    /// Finds a step here, or takes it over from the instances that hold copies of it.
    pub(crate) async fn find_or_take_over(
        self: &Rc<Self>,
        trainer: &Arc<str>,
        step: u64,
    ) -> Option<StepKey> {
        let lock = self.opening_lock(trainer);
        let _guard = lock.lock().await;
        let existing = self.core.borrow().find(trainer, step);
        if existing.is_some() {
            return existing;
        }
        let held = recovery::recover(self, trainer, step).await?;
        match self.open_recovered(trainer, held) {
            (OpenResult::Open(key), _) => Some(key),
            _ => None,
        }
    }

    fn opening_lock(&self, trainer: &Arc<str>) -> Rc<tokio::sync::Mutex<()>> {
        let mut locks = self.opening_locks.borrow_mut();
        locks.entry(trainer.clone()).or_default().clone()
    }

    fn fetch(self: &Rc<Self>, key: Option<StepKey>, wait_ms: u64, answer: oneshot::Sender<Answer>) {
        let fetched = key.and_then(|key| self.with_core(|core, now_ms| core.fetch(key, now_ms)));
        let (Some(step), Some(batch)) = (key, fetched) else {
            let _ = answer.send(Answer::Reply(Reply::NotOpen));
            return;
        };
        if batch.complete || wait_ms == 0 {
            let _ = answer.send(Answer::Batch(batch));
            return;
        }
        let until_ms = self.instance().now_ms() + wait_ms.min(MAX_FETCH_WAIT_MS);
        self.waiters.borrow_mut().push(Waiter {
            step,
            until_ms,
            answer,
        });
    }

    async fn end(self: &Rc<Self>, trainer: &Arc<str>, step: u64) -> Answer {
        let existing = self.core.borrow().find(trainer, step);
        match existing {
            Some(key) => {
                self.note("step.end", trainer, &[("step", &step)]);
                self.with_core(|core, _| core.end(key));
                self.shared.copies().forget(trainer, step);
            }
            None => recovery::forget(self, trainer, step),
        }
        Answer::Reply(Reply::Accepted)
    }

    /// Hands a step over to the instance that takes over its coordination.
    fn hand_over(self: &Rc<Self>, trainer: &Arc<str>, step: u64) -> Answer {
        let existing = self.core.borrow().find(trainer, step);
        let released = existing.and_then(|key| {
            self.with_core(|core, _| {
                let copies = core.all_copies(key);
                core.release(key).map(|step| (step, copies))
            })
        });
        let Some((released, copies)) = released else {
            let held = self.shared.copies().get(trainer, step);
            return match held {
                Some(held) => Answer::Held(Box::new(held)),
                None => Answer::Reply(Reply::NotOpen),
            };
        };
        self.note("step.hand_over", trainer, &[("step", &step)]);
        let sealed = match &released.phase {
            Phase::Closed(batch) => Some(batch.newest_version),
            _ => None,
        };
        let own_id = self.instance().id().clone();
        let mut held = HeldStep::new(released.contents, released.epoch, own_id, sealed);
        let by_position = copies.into_iter().map(|copy| (copy.position, copy));
        held.samples.extend(by_position);
        Answer::Held(Box::new(held))
    }

    fn answer_waiters(self: &Rc<Self>, step: StepKey) {
        self.answer_matching(|waiter| waiter.step == step);
    }

    fn answer_expired(self: &Rc<Self>) {
        let now_ms = self.instance().now_ms();
        let draining = self.instance().is_draining();
        self.answer_matching(|waiter| draining || waiter.until_ms <= now_ms);
    }

    fn answer_matching(self: &Rc<Self>, matches: impl Fn(&Waiter) -> bool) {
        let mut waiters = self.waiters.borrow_mut();
        let (ready, waiting): (Vec<Waiter>, Vec<Waiter>) = waiters.drain(..).partition(matches);
        *waiters = waiting;
        drop(waiters);
        for waiter in ready {
            let core = self.core.borrow();
            let answer = match core.step(waiter.step) {
                Some(step) => Answer::Batch(step.batch()),
                None => Answer::Reply(Reply::NotOpen),
            };
            // The trainer may have disconnected.
            let _ = waiter.answer.send(answer);
        }
    }
}
