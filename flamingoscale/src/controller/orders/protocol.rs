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
        EVERYWHERE, //
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
const OPEN_LIMIT: usize = 32;

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Append this intent; once it is accepted, send the order of its offset.
    Intend(Record),
    /// Send the order of this number, after [`Protocol::prepare`].
    Send(u64),
    /// Append this outcome.
    Settle(Record),
}

/// How often an order was sent by this holder, and whether an answer is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Attempt {
    /// One is under way now.
    in_flight: bool,
    /// Some attempt, of this holder or another, may have taken effect unseen.
    doubtful: bool,
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
        wanted: Vec<PlatformAction>,
    ) -> Vec<Step> {
        if self.fencing != term.fencing {
            self.attempts.clear();
            self.fencing = term.fencing;
        }
        self.attempts.retain(|order, _| open.contains_key(order));
        let mut steps: Vec<Step> = Vec::new();
        for (&order, entry) in open {
            steps.extend(self.go_on(term, order, entry, listed));
        }
        let room = OPEN_LIMIT.saturating_sub(open.len());
        let wanted = wanted.into_iter().filter(|action| !is_open(open, action));
        steps.extend(wanted.take(room).map(|action| intent(term, action)));
        steps
    }

    /// Settles an open order whose effect is to be seen, and sends any other again: the platform
    /// carries out one number once, and a later fencing number shuts out the earlier sender.
    fn go_on(
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
        match effect(order, &open.action, listed) {
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
        let foreign = !(term.fencing..=term.claim).contains(&open.claim);
        let attempt = self.attempts.entry(order).or_default();
        if attempt.in_flight {
            return None;
        }
        attempt.in_flight = true;
        attempt.doubtful |= foreign;
        Some(PlatformOrder {
            region: EVERYWHERE.into(),
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
            Err(PlatformError::Refused { .. } | PlatformError::Expired) if !attempt.doubtful => {
                let reason = "refused by the platform";
                Some(outcome(term, order, Err(reason.into())))
            }
            Err(PlatformError::Unknown { .. }) => {
                attempt.doubtful = true;
                None
            }
            Err(_) => None,
        }
    }
}

fn intent(term: Term, action: PlatformAction) -> Step {
    Step::Intend(Record::OrderIntent {
        claim: term.claim,
        region: EVERYWHERE.into(),
        action,
    })
}

fn outcome(term: Term, order: u64, result: Result<Arc<str>, Arc<str>>) -> Step {
    Step::Settle(Record::OrderOutcome {
        claim: term.claim,
        order,
        endpoint: result.as_ref().ok().cloned(),
        failure: result.err(),
    })
}

/// A stop is open once; starts are counted by the policy.
fn is_open(open: &BTreeMap<u64, OpenOrder>, action: &PlatformAction) -> bool {
    let is_stop = matches!(action, PlatformAction::Stop { .. });
    is_stop && open.values().any(|order| order.action == *action)
}

/// The endpoint by which the platform shows that it carried an order out.
fn effect(order: u64, action: &PlatformAction, listed: &[PlatformEndpoint]) -> Option<Arc<str>> {
    match action {
        PlatformAction::Start { .. } => listed
            .iter()
            .find(|endpoint| endpoint.order == order)
            .map(|endpoint| endpoint.endpoint.clone()),
        PlatformAction::Stop { endpoint } => {
            let mut there = listed.iter();
            let stays = there.any(|listed| {
                listed.endpoint == *endpoint && listed.phase != EndpointPhase::Leaving
            });
            (!stays).then(|| endpoint.clone())
        }
    }
}
