//! Replicates finished samples to another instance, the copy holder, which is in another failure
//! domain if there is one.
//!
//! Each step has one task. It sends everything that has accumulated since its last message, so
//! copies are batched under load. If the copy holder does not answer, the task moves on to the next
//! instance.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use actix_rt::time::{
    sleep,
    timeout, //
};

use crate::{
    peer::{
        PeerReply,
        PeerRequest, //
    },
    rollout::{
        arena::StepKey,
        driver::Driver,
        placement,
        step::Phase,
        Epoch,
        Message,
        Reply,
        SampleCopy, //
    },
    view::Member,
    wire::OpenStep, //
};

/// Timeout for a copy holder's answer.
const ANSWER_TIMEOUT_MS: u64 = 2_000;

/// Delay before the next copy holder is tried.
const RETRY_DELAY_MS: u64 = 200;

/// Maximum number of attempts to tell a copy holder that a step is over. If all fail, the copies
/// expire there.
const MAX_FORGET_ATTEMPTS: u32 = 5;

/// Maximum text bytes in one message of copies.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// Replication state of one step.
pub(crate) struct Replicator {
    driver: Rc<Driver>,
    key: StepKey,
    trainer: Arc<str>,
    contents: Arc<OpenStep>,
    epoch: Epoch,
    current: Option<Member>,
    /// Holders that failed; they are tried again only after all others.
    failed: Vec<Arc<str>>,
}

/// Next replication work of a step.
enum PendingWork {
    Copies(Vec<SampleCopy>),
    /// Send [`Message::Seal`], given the newest weight version and the draw number of each
    /// position.
    Seal(u64, Vec<u32>),
    Register,
    Nothing,
}

impl Replicator {
    /// Creates the replication state of a step that was just opened. Returns `None` if it is no
    /// longer open.
    pub(crate) fn new(driver: Rc<Driver>, key: StepKey) -> Option<Self> {
        let core = driver.core.borrow();
        let step = core.step(key)?;
        let (trainer, contents, epoch) = (step.trainer.clone(), step.contents.clone(), step.epoch);
        drop(core);
        Some(Self {
            driver,
            key,
            trainer,
            contents,
            epoch,
            current: None,
            failed: Vec::new(),
        })
    }

    /// Carries out pending work until there is none left.
    pub(crate) async fn run_pending(&mut self) {
        loop {
            self.check_holder();
            match self.pending_work() {
                PendingWork::Nothing => return,
                PendingWork::Register => self.retry_register().await,
                PendingWork::Copies(copies) => self.send_copies(copies).await,
                PendingWork::Seal(newest_version, draws) => self.seal(newest_version, draws).await,
            }
        }
    }

    /// Registers the step with a copy holder. Returns true if a copy holder has it, or if none is
    /// needed because this instance is the only member.
    pub(crate) async fn register(&mut self) -> bool {
        if self.current.is_some() {
            return true;
        }
        let Some(member) = self.next_holder() else {
            return self.is_only_member();
        };
        let message = Message::Hold {
            trainer: self.trainer.clone(),
            epoch: self.epoch,
            step: self.contents.clone(),
        };
        match self.request_peer(&member, message).await {
            Some(Reply::Accepted) => {
                self.current = Some(member);
                self.resend_counted().await
            }
            Some(Reply::Superseded) => {
                self.on_superseded();
                false
            }
            _ => {
                self.mark_failed(&member.instance);
                false
            }
        }
    }

    async fn retry_register(&mut self) {
        if !self.register().await {
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    /// Drops a copy holder that is no longer a member.
    fn check_holder(&mut self) {
        let is_gone = |holder: &Member| !self.is_member(&holder.instance);
        if let Some(lost) = self.current.clone().filter(is_gone) {
            self.mark_failed(&lost.instance);
        }
    }

    /// Sends the samples that already count to a new copy holder.
    async fn resend_counted(&mut self) -> bool {
        let counted = self.driver.core.borrow().counted_copies(self.key);
        for copies in split_copies(counted) {
            if !self.send(copies).await {
                return false;
            }
        }
        true
    }

    async fn send_copies(&mut self, copies: Vec<SampleCopy>) {
        if !self.register().await {
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            return;
        }
        let draws: Vec<(u32, u32)> = copies.iter().map(|c| (c.position, c.draw)).collect();
        if !self.send(copies).await {
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            return;
        }
        let key = self.key;
        self.driver
            .with_core(|core, _| core.copies_stored(key, &draws));
    }

    async fn send(&mut self, samples: Vec<SampleCopy>) -> bool {
        let Some(member) = self.current.clone() else {
            return true;
        };
        let message = Message::Copy {
            trainer: self.trainer.clone(),
            step: self.contents.step,
            epoch: self.epoch,
            samples,
        };
        match self.request_peer(&member, message).await {
            Some(Reply::Accepted) => true,
            Some(Reply::Superseded) => {
                self.on_superseded();
                false
            }
            _ => {
                self.mark_failed(&member.instance);
                false
            }
        }
    }

    async fn seal(&mut self, newest_version: u64, draws: Vec<u32>) {
        let sealed = self.register().await && self.try_seal(newest_version, draws).await;
        let key = self.key;
        self.driver.with_core(|core, _| core.sealed(key, sealed));
        if !sealed {
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    async fn try_seal(&mut self, newest_version: u64, draws: Vec<u32>) -> bool {
        let Some(member) = self.current.clone() else {
            return true;
        };
        let message = Message::Seal {
            trainer: self.trainer.clone(),
            step: self.contents.step,
            epoch: self.epoch,
            newest_version,
            draws,
        };
        match self.request_peer(&member, message).await {
            Some(Reply::Accepted) => return true,
            Some(Reply::Missing(_)) => {
                self.resend_counted().await;
            }
            Some(Reply::Superseded) => self.on_superseded(),
            _ => self.mark_failed(&member.instance),
        }
        false
    }

    /// Tells the copy holder to discard the copies, because the step is over.
    pub(crate) async fn forget(&mut self) {
        let Some(member) = self.current.take() else {
            return;
        };
        for _ in 0..MAX_FORGET_ATTEMPTS {
            let message = Message::Forget {
                trainer: self.trainer.clone(),
                step: self.contents.step,
            };
            if self.request_peer(&member, message).await.is_some() {
                return;
            }
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    fn pending_work(&self) -> PendingWork {
        let core = self.driver.core.borrow();
        let Some(step) = core.step(self.key) else {
            return PendingWork::Nothing;
        };
        let copies = core.pending_copies(self.key, MAX_MESSAGE_BYTES);
        if !copies.is_empty() {
            return PendingWork::Copies(copies);
        }
        match &step.phase {
            Phase::Sealing { newest_version } => PendingWork::Seal(*newest_version, step.draws()),
            Phase::Closed(batch) if !step.sealed => {
                PendingWork::Seal(batch.newest_version, step.draws())
            }
            _ if self.current.is_none() && !self.is_only_member() => PendingWork::Register,
            _ => PendingWork::Nothing,
        }
    }

    async fn request_peer(&self, member: &Member, message: Message) -> Option<Reply> {
        let peers = self.driver.instance().peers()?;
        let stream = peers.open(
            &member.instance,
            &member.peer_address,
            PeerRequest::Rollout(message),
        );
        let answer = stream.single(&member.instance);
        match timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), answer).await {
            Ok(Ok(PeerReply::Rollout(reply))) => Some(reply),
            _ => None,
        }
    }

    fn next_holder(&mut self) -> Option<Member> {
        let view = self.driver.instance().view.load();
        let own_id = self.driver.instance().id();
        let holders = placement::holders(&view.members, &self.trainer, own_id);
        let untried = |member: &&Member| !self.failed.contains(&member.instance);
        let next = holders.iter().find(untried).cloned();
        if next.is_none() {
            self.failed.clear();
        }
        next.or_else(|| holders.into_iter().next())
    }

    fn is_only_member(&self) -> bool {
        let view = self.driver.instance().view.load();
        let own_id = self.driver.instance().id();
        view.members.iter().all(|member| member.instance == *own_id)
    }

    fn is_member(&self, instance: &Arc<str>) -> bool {
        let view = self.driver.instance().view.load();
        view.members.iter().any(|m| m.instance == *instance)
    }

    /// Gives up the current copy holder. It may have processed the message although its answer was
    /// lost, so the epoch is increased to mark what the next copy holder receives as newer.
    fn mark_failed(&mut self, instance: &Arc<str>) {
        self.driver.note(
            "copies.holder_failed",
            &self.trainer,
            &[("holder", instance)],
        );
        self.failed.push(instance.clone());
        self.current = None;
        self.epoch += 1;
        let (key, epoch) = (self.key, self.epoch);
        self.driver
            .with_core(|core, _| core.holder_lost(key, epoch));
    }

    fn on_superseded(&mut self) {
        self.driver.note(
            "step.superseded",
            &self.trainer,
            &[("step", &self.contents.step)],
        );
        let key = self.key;
        self.driver.with_core(|core, _| {
            core.release(key);
        });
    }
}

/// Splits copies into messages of bounded size.
pub(crate) fn split_copies(copies: Vec<SampleCopy>) -> Vec<Vec<SampleCopy>> {
    let mut messages = Vec::new();
    let mut message = Vec::new();
    let mut bytes = 0;
    for copy in copies {
        bytes += copy.sample.text.len();
        message.push(copy);
        if bytes >= MAX_MESSAGE_BYTES {
            messages.push(std::mem::take(&mut message));
            bytes = 0;
        }
    }
    if !message.is_empty() {
        messages.push(message);
    }
    messages
}
