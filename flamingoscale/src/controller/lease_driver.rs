//! Drives one lease: carries the fold into its core and its claims into the log.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc, //
};

use super::ControlContext;
use crate::{
    lease::{
        Action,
        Lease,
        Term, //
    },
    record::Record,
    state::SubmitError, //
};

/// This instance's part in one lease, on the control thread.
#[derive(Clone)]
pub(crate) struct LeaseDriver {
    name: Arc<str>,
    context: ControlContext,
    lease: Rc<RefCell<Lease>>,
}

impl LeaseDriver {
    /// A lease that is not held; `guard_ms` as in [`Lease::new`].
    pub(crate) fn new(name: Arc<str>, context: ControlContext, guard_ms: u64) -> Self {
        let instance = &context.instance;
        let lease = Lease::new(instance.id().clone(), instance.incarnation, guard_ms);
        Self {
            name,
            context,
            lease: Rc::new(RefCell::new(lease)),
        }
    }

    /// The term at this instant, by the newest state of the fold.
    pub(crate) fn term(&self) -> Option<Term> {
        let now_ms = self.context.instance.now_ms();
        self.observe(now_ms);
        self.lease.borrow().term(now_ms)
    }

    /// The term at this instant, if something sent now will arrive within it.
    pub(crate) fn term_for(&self, margin_ms: u64) -> Option<Term> {
        let now_ms = self.context.instance.now_ms();
        self.observe(now_ms);
        self.lease.borrow().term_for(now_ms, margin_ms)
    }

    /// A receiver refused the fencing number.
    pub(crate) fn mark_fenced(&self) {
        let instance = &self.context.instance;
        instance.metrics.count("lease.fenced");
        instance
            .timeline
            .record("lease.fenced", "", &[("lease", &self.name)]);
        self.lease.borrow_mut().mark_fenced();
    }

    fn observe(&self, now_ms: u64) {
        let state = self.context.state.borrow();
        let entry = state.leases.get(&self.name);
        self.lease.borrow_mut().observe(now_ms, entry);
    }

    /// Claims, renews or gives back, as is due. Returns once the append's fate is known.
    pub(crate) async fn step(&self) {
        let instance = &self.context.instance;
        let now_ms = instance.now_ms();
        self.observe(now_ms);
        let lease_ms = self.lease_ms();
        let (rank, leaving) = (self.rank(), instance.is_draining());
        let action = {
            let mut lease = self.lease.borrow_mut();
            lease.decide(now_ms, lease_ms, rank, leaving)
        };
        let resend = || self.lease.borrow_mut().resend(lease_ms);
        let retry = || if leaving { None } else { resend() };
        let Some(action) = action.or_else(retry) else {
            return;
        };
        if self.is_new_claim(action) && !self.is_at_head().await {
            return self.lease.borrow_mut().append_refused();
        }
        self.submit(action).await;
    }

    fn is_new_claim(&self, action: Action) -> bool {
        matches!(action, Action::Claim { renewal: false, .. })
    }

    /// Whether the fold has everything that the log holds, as the log itself says.
    async fn is_at_head(&self) -> bool {
        let folded = self.context.state.borrow().folded;
        let log = self.context.platform.log.clone();
        match log.read(folded, 1, 0).await {
            Ok(read) => read.head == folded,
            Err(_) => false,
        }
    }

    async fn submit(&self, action: Action) {
        let instance = &self.context.instance;
        let Some(control) = instance.control() else {
            return self.lease.borrow_mut().append_refused();
        };
        let lease = self.name.clone();
        let record = match action {
            Action::Claim {
                replaces, lease_ms, ..
            } => Record::LeaseClaim {
                lease,
                replaces,
                lease_ms,
            },
            Action::Release { claim } => Record::LeaseRelease { lease, claim },
        };
        match control.submit(record).await {
            Ok(offset) => self.accepted(action, offset),
            Err(SubmitError::Refused { .. } | SubmitError::LogUnavailable) => {
                self.lease.borrow_mut().append_refused();
            }
            Err(SubmitError::Unknown) => instance.metrics.count("lease.claim_unknown"),
        }
        self.observe(instance.now_ms());
        if matches!(action, Action::Release { .. }) {
            self.lease.borrow_mut().append_refused();
        }
    }

    fn accepted(&self, action: Action, offset: u64) {
        let kind = match action {
            Action::Claim { renewal: true, .. } => return,
            Action::Claim { renewal: false, .. } => "lease.taken",
            Action::Release { .. } => "lease.given_back",
        };
        let instance = &self.context.instance;
        instance.metrics.count(kind);
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("lease", &self.name), ("claim", &offset)];
        instance.timeline.record(kind, "", &fields);
    }

    fn lease_ms(&self) -> u64 {
        let state = self.context.state.borrow();
        state.configuration.tolerances.lease_ms
    }

    /// This instance's place among the live members that could claim, first in order of a hash
    /// of name and lease, so that leases spread and claims seldom race.
    fn rank(&self) -> u64 {
        let instance = &self.context.instance;
        let view = instance.view.load();
        let own = weight(&self.name, instance.id());
        let others = view.members.iter();
        let ahead = others.filter(|member| {
            !member.leaving && !member.suspect && weight(&self.name, &member.instance) > own
        });
        ahead.count() as u64
    }
}

fn weight(lease: &str, instance: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(lease.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(instance.as_bytes(), seed)
}
