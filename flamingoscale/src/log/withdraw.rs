//! Withdrawals of API keys: enforced through peers at once, and appended to the log when it is
//! reachable.

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

/// How long an operator's withdrawal waits for the log before it is reported as not yet durable.
const WITHDRAW_TIMEOUT_MS: u64 = 1_500;

/// Delay per rank before a member appends a denial that it learnt from a peer.
const DENIAL_RANK_DELAY_MS: u64 = 1_000;

impl LogActor {
    /// Withdraws a key for an operator: denies it here, notifies the peers and appends the record.
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
            None => return self.refuse_unknown_key(waiter),
        }
        let now_ms = self.instance().now_ms();
        self.denials.add(&key_id, true, now_ms, WITHDRAW_TIMEOUT_MS);
        let timeline = &self.instance().timeline;
        timeline.record("key.denied", "", &[("key_id", &key_id)]);
        self.publish();
        self.broadcast_denials(now_ms, actor);
        self.submit(Record::KeyWithdrawn { key_id }, WITHDRAW_TIMEOUT_MS, waiter);
    }

    fn refuse_unknown_key(&self, waiter: Waiter) {
        if let Waiter::Withdraw(_, answer) = waiter {
            let reason = Rejection::Unknown;
            let _ = answer.send(Err(SubmitError::Refused { reason }));
        }
    }

    /// Adds denials that a peer reported.
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
            // Instances that are not relays come after all relays.
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

    /// Appends the withdrawals that the log does not hold yet, including those that operators sent
    /// to other instances.
    pub(super) fn append_denials(&mut self, now_ms: u64) {
        if self.follower.is_log_failing() || !self.is_at_head {
            return;
        }
        for key_id in self.denials.due_appends(now_ms) {
            // Withdrawing a key whose grant is not folded yet would have no effect.
            if self.context.state.borrow().keys.get(&key_id).is_none() {
                continue;
            }
            let deadline_ms = now_ms + SUBMIT_TIMEOUT_MS;
            // No caller waits for this submission; it is retried until the withdrawal is folded.
            let _ = self
                .appender
                .submit(Record::KeyWithdrawn { key_id }, deadline_ms);
        }
    }
}
