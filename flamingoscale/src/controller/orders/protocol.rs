//! The steps of one order: intent, check, send, outcome; and what a successor makes of the rest.

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

/// Orders that may be open at once.
const MAX_OPEN_ORDERS: usize = 32;

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Append this intent; once it is accepted, send the order of its offset.
    AppendIntent(Record),
    /// Send the order of this number, after [`Protocol::prepare`].
    Send(u64),
    /// Append this outcome.
    AppendOutcome(Record),
}

/// How often an order was sent by this holder, and whether an answer is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Attempt {
    /// One is under way now.
    in_flight: bool,
    /// Some attempt, of this holder or another, may have taken effect unseen.
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
    /// A holder that has sent nothing. Orders are valid for `valid_ms` after they are sent.
    pub fn new(valid_ms: u64) -> Self {
        Self {
            valid_ms,
            fencing: 0,
            attempts: BTreeMap::new(),
        }
    }

    /// Forgets everything: another holder may have gone on with the open orders.
    pub fn lost_lease(&mut self) {
        self.attempts.clear();
        self.fencing = 0;
    }

    /// Decides the next steps, given the open orders of the fold, what the platform lists, and
    /// what the policy wants.
    pub fn decide(
        &mut self,
        term: Term,
        open: &BTreeMap<u64, OpenOrder>,
        listed: &[PlatformEndpoint],
        actions: Vec<PlatformAction>,
    ) -> Vec<Step> {
        if self.fencing != term.fencing {
            self.attempts.clear();
            self.fencing = term.fencing;
        }
        self.attempts.retain(|order, _| open.contains_key(order));
        let mut steps: Vec<Step> = Vec::new();
        for (&order, entry) in open {
            steps.extend(self.resume(term, order, entry, listed));
        }
        let room = MAX_OPEN_ORDERS.saturating_sub(open.len());
        let actions = actions
            .into_iter()
            .filter(|action| !is_stop_open(open, action));
        steps.extend(actions.take(room).map(|action| intent(term, action)));
        steps
    }

    /// Settles an open order whose effect is to be seen, and sends any other again: the platform
    /// carries out one number once, and a later fencing number shuts out the earlier sender.
    fn resume(
        &self,
        term: Term,
        order: u64,
        open: &OpenOrder,
        listed: &[PlatformEndpoint],
    ) -> Option<Step> {
        let attempt = self.attempts.get(&order).copied().unwrap_or_default();
        if attempt.in_flight {
            return None;
        }
        match find_effect(order, &open.action, listed) {
            Some(endpoint) => Some(outcome(term, order, Ok(endpoint))),
            None => Some(Step::Send(order)),
        }
    }

    /// Builds the order to send; nothing unless the lease is held at this very instant. To be
    /// called last before the bytes leave.
    pub fn prepare(
        &mut self,
        term: Option<Term>,
        order: u64,
        open: &OpenOrder,
        sender: &Arc<str>,
    ) -> Option<PlatformOrder> {
        let term = term?;
        let is_inherited = !(term.fencing..=term.claim).contains(&open.claim);
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
            action: open.action.clone(),
        })
    }

    /// Takes the platform's answer. An order is given up only when no attempt can have taken
    /// effect unseen; until then it is sent again.
    pub fn answered(
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

/// A stop is open once; starts are counted by the policy.
fn is_stop_open(open: &BTreeMap<u64, OpenOrder>, action: &PlatformAction) -> bool {
    let is_stop = matches!(action, PlatformAction::Stop { .. });
    is_stop && open.values().any(|order| order.action == *action)
}

/// The endpoint by which the platform shows that it carried an order out.
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
