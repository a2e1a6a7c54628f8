//! The protocol for one order: append the intent, check the lease, send, append the outcome. The
//! protocol also covers how a new holder resumes the orders that its predecessor left open.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    lease::Term,
    platform::PlatformError,
    record::Record,
    state::{
        OpenOrder,
        ALL_REGIONS, //
    },
    wire::{
        EndpointPhase,
        PlatformAction,
        PlatformEndpoint,
        PlatformOrder,
        PlatformOrderDone, //
    }, //
};

/// Maximum number of open orders.
const MAX_OPEN_ORDERS: usize = 32;

/// The next step of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Append this intent. Once it is accepted, send the order, which is numbered by the intent's
    /// offset.
    AppendIntent(Record),
    /// Send the order with this number, after [`Protocol::prepare`].
    Send(u64),
    /// Append this outcome, which closes the order.
    AppendOutcome(Record),
}

/// The attempts that this holder has made to send one order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Attempt {
    /// Whether a request for this order is in flight.
    in_flight: bool,
    /// Whether an attempt of this or a previous holder may have taken effect without an answer.
    outcome_unknown: bool,
}

/// The holder's side of all open orders.
#[derive(Clone, Debug)]
pub struct Protocol {
    valid_ms: u64,
    fencing: u64,
    attempts: BTreeMap<u64, Attempt>,
}

impl Protocol {
    /// Creates the protocol of a holder that has not sent anything. Orders are valid for `valid_ms`
    /// after they are sent.
    pub fn new(valid_ms: u64) -> Self {
        Self {
            valid_ms,
            fencing: 0,
            attempts: BTreeMap::new(),
        }
    }

    /// Clears all attempts when the lease is lost, since another holder may have resumed the open
    /// orders.
    pub fn on_lease_lost(&mut self) {
        self.attempts.clear();
        self.fencing = 0;
    }

    /// Returns the next steps for the open orders of the folded state and for `actions`, the
    /// policy's decisions. `listed` is the platform's list of endpoints.
    pub fn decide(
        &mut self,
        term: Term,
        open_orders: &BTreeMap<u64, OpenOrder>,
        listed: &[PlatformEndpoint],
        actions: Vec<PlatformAction>,
    ) -> Vec<Step> {
        if self.fencing != term.fencing {
            self.attempts.clear();
            self.fencing = term.fencing;
        }
        self.attempts
            .retain(|order, _| open_orders.contains_key(order));
        let mut steps: Vec<Step> = Vec::new();
        for (&order, entry) in open_orders {
            steps.extend(self.resume(term, order, entry, listed));
        }
        let room = MAX_OPEN_ORDERS.saturating_sub(open_orders.len());
        let actions = actions
            .into_iter()
            .filter(|action| !is_stop_open(open_orders, action));
        steps.extend(actions.take(room).map(|action| intent(term, action)));
        steps
    }

    /// Closes an open order whose effect shows in the platform's list, and resends the order
    /// otherwise. Resending is safe: the platform carries out each order number once, and a newer
    /// fencing number shuts out the previous holder.
    fn resume(
        &self,
        term: Term,
        order: u64,
        open_order: &OpenOrder,
        listed: &[PlatformEndpoint],
    ) -> Option<Step> {
        let attempt = self.attempts.get(&order).copied().unwrap_or_default();
        if attempt.in_flight {
            return None;
        }
        match find_effect(order, &open_order.action, listed) {
            Some(endpoint) => Some(outcome(term, order, Ok(endpoint))),
            None => Some(Step::Send(order)),
        }
    }

    /// Builds the order to send, or returns `None` unless `term` shows that the lease is held. Call
    /// this last, immediately before sending.
    pub fn prepare(
        &mut self,
        term: Option<Term>,
        order: u64,
        open_order: &OpenOrder,
        sender: &Arc<str>,
    ) -> Option<PlatformOrder> {
        let term = term?;
        let is_inherited = !(term.fencing..=term.claim).contains(&open_order.claim);
        let attempt = self.attempts.entry(order).or_default();
        if attempt.in_flight {
            return None;
        }
        attempt.in_flight = true;
        attempt.outcome_unknown |= is_inherited;
        Some(PlatformOrder {
            region: ALL_REGIONS.into(),
            fencing: term.fencing,
            order,
            valid_ms: self.valid_ms,
            sender: sender.clone(),
            action: open_order.action.clone(),
        })
    }

    /// Handles the platform's answer. An order is closed as failed only if no attempt can have
    /// taken effect without an answer; otherwise the order is resent.
    pub fn on_answer(
        &mut self,
        term: Term,
        order: u64,
        result: &Result<PlatformOrderDone, PlatformError>,
    ) -> Option<Step> {
        let attempt = self.attempts.entry(order).or_default();
        attempt.in_flight = false;
        match result {
            Ok(done) => Some(outcome(term, order, Ok(done.endpoint.clone()))),
            Err(PlatformError::Refused { .. } | PlatformError::Expired)
                if !attempt.outcome_unknown =>
            {
                let reason = "refused by the platform";
                Some(outcome(term, order, Err(reason.into())))
            }
            Err(PlatformError::Unknown { .. }) => {
                attempt.outcome_unknown = true;
                None
            }
            Err(_) => None,
        }
    }
}

fn intent(term: Term, action: PlatformAction) -> Step {
    Step::AppendIntent(Record::OrderIntent {
        claim: term.claim,
        region: ALL_REGIONS.into(),
        action,
    })
}

fn outcome(term: Term, order: u64, result: Result<Arc<str>, Arc<str>>) -> Step {
    Step::AppendOutcome(Record::OrderOutcome {
        claim: term.claim,
        order,
        endpoint: result.as_ref().ok().cloned(),
        failure: result.err(),
    })
}

/// Returns whether this action is a stop that is already ordered. Starts are not checked here
/// because the policy counts the open ones.
fn is_stop_open(open_orders: &BTreeMap<u64, OpenOrder>, action: &PlatformAction) -> bool {
    let is_stop = matches!(action, PlatformAction::Stop { .. });
    is_stop && open_orders.values().any(|order| order.action == *action)
}

/// Returns the endpoint whose state in the platform's list proves that the order was carried out.
fn find_effect(
    order: u64,
    action: &PlatformAction,
    listed: &[PlatformEndpoint],
) -> Option<Arc<str>> {
    match action {
        PlatformAction::Start { .. } => listed
            .iter()
            .find(|endpoint| endpoint.order == order)
            .map(|endpoint| endpoint.endpoint.clone()),
        PlatformAction::Stop { endpoint } => {
            let mut listed_endpoints = listed.iter();
            let is_running = listed_endpoints.any(|listed| {
                listed.endpoint == *endpoint && listed.phase != EndpointPhase::Leaving
            });
            (!is_running).then(|| endpoint.clone())
        }
    }
}
