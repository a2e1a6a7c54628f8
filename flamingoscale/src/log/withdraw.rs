//! Withdrawals of keys: at once through peers, by the log as soon as it is there.

use std::sync::Arc;

use actix::Context;
use futures::channel::oneshot;

use crate::{
    log::{
        actor::{
            LogActor,
            Waiter,
            SUBMIT_TIMEOUT_MS, //
        },
        relays, //
    },
    record::Record,
    state::{
        Rejection,
        SubmitError, //
    },
    wire::WithdrawnKey, //
};

/// How long an operator's withdrawal waits for the log before it is told as not yet durable.
const WITHDRAW_TIMEOUT_MS: u64 = 1_500;

/// Pause before a member that learnt of a denial appends it, for each turn.
const DENIAL_RANK_DELAY_MS: u64 = 1_000;

impl LogActor {
    pub(super) fn withdraw(
        &mut self,
        key_id: Arc<str>,
        answer: oneshot::Sender<Result<WithdrawnKey, SubmitError>>,
        actor: &mut Context<Self>,
    ) {
        let withdrawn = self
            .context
            .state
            .borrow()
            .keys
            .get(&key_id)
            .map(|entry| entry.withdrawn);
        let waiter = Waiter::Withdraw(key_id.clone(), answer);
        match withdrawn {
            Some(false) => {}
            Some(true) => return self.answer(waiter, Ok(0)),
            None => return self.refuse_unknown(waiter),
        }
        let now_ms = self.instance().now_ms();
        self.denials.add(&key_id, true, now_ms, WITHDRAW_TIMEOUT_MS);
        let timeline = &self.instance().timeline;
        timeline.record("key.denied", "", &[("key_id", &key_id)]);
        self.publish();
        self.broadcast_denials(now_ms, actor);
        self.submit(Record::KeyWithdrawn { key_id }, WITHDRAW_TIMEOUT_MS, waiter);
    }

    fn refuse_unknown(&self, waiter: Waiter) {
        if let Waiter::Withdraw(_, answer) = waiter {
            let reason = Rejection::Unknown;
            let _ = answer.send(Err(SubmitError::Refused { reason }));
        }
    }

    /// Takes denials that a peer knows of.
    pub(crate) fn merge_denials(&mut self, denied: &[Arc<str>]) {
        let members = self.members();
        let id = self.instance().id().clone();
        let now_ms = self.instance().now_ms();
        let mut is_new = false;
        for key_id in denied {
            let keys = self.context.state.borrow().keys.clone();
            if keys.get(key_id).is_some_and(|entry| entry.withdrawn) {
                continue;
            }
            let key = xxhash_rust::xxh3::xxh3_64(key_id.as_bytes());
            // Those that are no relays come after all that may be.
            let rank = relays::rank(key, &members, &id).unwrap_or(members.len());
            let rank = 1 + rank as u64;
            let added = self
                .denials
                .add(key_id, false, now_ms, rank * DENIAL_RANK_DELAY_MS);
            if added {
                let timeline = &self.instance().timeline;
                timeline.record("key.denied", "", &[("key_id", key_id)]);
            }
            is_new |= added;
        }
        if is_new {
            self.publish();
        }
    }

    /// Appends the withdrawals that the log does not hold yet, whoever took them from operators.
    pub(super) fn append_denials(&mut self, now_ms: u64) {
        if self.follower.is_failing() || !self.is_at_head {
            return;
        }
        for key_id in self.denials.due_appends(now_ms) {
            // The withdrawal of a key that isn't granted yet would have no effect.
            if self.context.state.borrow().keys.get(&key_id).is_none() {
                continue;
            }
            let deadline_ms = now_ms + SUBMIT_TIMEOUT_MS;
            // Nobody waits for it: it's tried again until the fold has it.
            let _ = self
                .appender
                .submit(Record::KeyWithdrawn { key_id }, deadline_ms);
        }
    }
}
