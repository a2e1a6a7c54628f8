//! Drives one lease: feeds the folded state into the [`Lease`] state machine and appends its claims
//! to the log.

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

/// Keeps this instance's view of one lease up to date, and claims, renews and releases the lease.
/// Used only on the control thread.
#[derive(Clone)]
pub(crate) struct LeaseDriver {
    name: Arc<str>,
    context: ControlContext,
    lease: Rc<RefCell<Lease>>,
}

impl LeaseDriver {
    /// Creates the driver of a lease that this instance does not hold. `guard_ms` has the same
    /// meaning as in [`Lease::new`].
    pub(crate) fn new(name: Arc<str>, context: ControlContext, guard_ms: u64) -> Self {
        let instance = &context.instance;
        let lease = Lease::new(instance.id().clone(), instance.incarnation, guard_ms);
        Self {
            name,
            context,
            lease: Rc::new(RefCell::new(lease)),
        }
    }

    /// Returns the current term according to the newest folded state, or `None` if the lease is not
    /// held.
    pub(crate) fn term(&self) -> Option<Term> {
        let now_ms = self.context.instance.now_ms();
        self.observe(now_ms);
        self.lease.borrow().term(now_ms)
    }

    /// Returns the current term if it lasts for at least another `margin_ms`, so that a message
    /// sent now arrives within it. The margin is capped as in [`Lease::term_for`].
    pub(crate) fn term_for(&self, margin_ms: u64) -> Option<Term> {
        let now_ms = self.context.instance.now_ms();
        self.observe(now_ms);
        self.lease.borrow().term_for(now_ms, margin_ms)
    }

    /// Records that a receiver refused this term's fencing number.
    pub(crate) fn mark_fenced(&self) {
        let instance = &self.context.instance;
        instance.metrics.count("lease.fenced");
        instance
            .timeline
            .record("lease.fenced", "", &[("lease", &self.name)]);
        self.lease.borrow_mut().mark_fenced();
    }

    /// Updates the [`Lease`] from the folded state.
    fn observe(&self, now_ms: u64) {
        let state = self.context.state.borrow();
        let entry = state.leases.get(&self.name);
        self.lease.borrow_mut().observe(now_ms, entry);
    }

    /// Claims, renews or releases the lease if that is due. Returns once the outcome of the append
    /// is known or has timed out.
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

    /// Returns whether the folded state includes every record up to the head that the log reports.
    /// An instance that lags behind does not claim a lease.
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
            Ok(offset) => self.record_accepted(action, offset),
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

    /// Records an accepted claim or release in metrics and on the time line. Renewals are not
    /// recorded.
    fn record_accepted(&self, action: Action, offset: u64) {
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

    /// Returns the configured duration of a lease.
    fn lease_ms(&self) -> u64 {
        let state = self.context.state.borrow();
        state.configuration.tolerances.lease_ms
    }

    /// Returns this instance's rank among the live members that may claim the lease. Ranks follow a
    /// hash of lease and instance name, so that leases spread over the instances and claims rarely
    /// race.
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

/// Returns the rendezvous hash of a lease and an instance. The instance with the highest weight
/// claims first.
fn weight(lease: &str, instance: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(lease.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(instance.as_bytes(), seed)
}
