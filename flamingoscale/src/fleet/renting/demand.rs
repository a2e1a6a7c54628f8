//! Estimates from the batches how many endpoints the work of a service needs.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::{
    positions::Supply,
    View, //
};
use crate::fleet::{
    ledger::RegisteredBatch,
    record::Milestone, //
};

/// Finished and ended batches that were submitted longer ago say nothing about the present speed.
const MAX_DONE_AGE_MS: u64 = 60_000;

/// Part of a batch that counts as done if it was ended after half of it: trainers wait for 90% of its
/// groups.
const ENDED_SHARE: f64 = 0.9;

/// Time constant of the average speed, in seconds: several batches, whose progress is known by halves.
const SPEED_TIME_S: f64 = 30.0;

/// Seconds of work of all endpoints after which the average speed counts.
const MIN_WORK_S: f64 = 10.0;

/// Work of one unfinished batch.
#[derive(Clone, Copy, Debug)]
struct Remainder {
    time_left_ms: u64,
    tokens: f64,
}

/// The work of a service.
#[derive(Debug)]
pub(super) struct Demand {
    /// Samples without a result; `None` if the service generates no samples, so that its work is not
    /// known.
    pub open_samples: Option<u64>,
    /// What is left of each unfinished batch, the most urgent first.
    remainders: Vec<Remainder>,
    /// Tokens of each batch that are generated.
    done: HashMap<Arc<str>, f64>,
}

/// Returns the part of a batch that is known to be done.
fn done_share(batch: &RegisteredBatch) -> f64 {
    match (batch.milestone, batch.ended) {
        (Some(Milestone::Finished), _) => 1.0,
        (Some(Milestone::HalfFinished), true) => ENDED_SHARE,
        (Some(Milestone::HalfFinished), false) => 0.5,
        (None, _) => 0.0,
    }
}

impl Demand {
    pub(super) fn of(view: &View<'_>) -> Self {
        let mut demand = Self {
            open_samples: view.service.engines.as_ref().map(|_| 0),
            remainders: Vec::new(),
            done: HashMap::new(),
        };
        let Some(engines) = &view.service.engines else {
            return demand;
        };
        for batch in view.ledger.registered.values() {
            if engines.models.contains(&batch.summary.model) {
                demand.add(batch, view);
            }
        }
        demand
            .remainders
            .sort_by_key(|remainder| remainder.time_left_ms);
        demand
    }

    fn add(&mut self, batch: &RegisteredBatch, view: &View<'_>) {
        let summary = &batch.summary;
        let age_ms = view.now_unix_ms.saturating_sub(summary.submitted_unix_ms);
        // The samples of a batch that is still open then may be given up.
        let max_age_ms = match batch.is_unfinished() {
            true => view.retention_ms.max(MAX_DONE_AGE_MS),
            false => MAX_DONE_AGE_MS,
        };
        if age_ms > max_age_ms {
            return;
        }
        let share = done_share(batch);
        let tokens = summary.expected_tokens as f64;
        self.done.insert(summary.id.clone(), tokens * share);
        if !batch.is_unfinished() {
            return;
        }
        let open_samples = f64::from(summary.samples) * (1.0 - share);
        *self.open_samples.get_or_insert(0) += open_samples as u64;
        self.remainders.push(Remainder {
            time_left_ms: view.target_ms.saturating_sub(age_ms),
            tokens: tokens * (1.0 - share),
        });
    }
}

/// How much one endpoint generates in a second, while it works.
#[derive(Debug, Default)]
pub(super) struct Speed {
    /// Tokens that were generated, and the seconds that endpoints worked for them. Both fade.
    tokens: f64,
    work_s: f64,
    /// The tokens of each batch that were done at the last observation; `None` before the first one.
    done: Option<HashMap<Arc<str>, f64>>,
}

impl Speed {
    pub(super) fn observe(&mut self, demand: &Demand, supply: &Supply, elapsed_s: f64) {
        let fading = (-elapsed_s / SPEED_TIME_S).exp();
        let generated: f64 = match &self.done {
            None => 0.0,
            Some(before) => (demand.done.iter())
                .map(|(batch, done)| done - before.get(batch).copied().unwrap_or(0.0))
                .sum(),
        };
        let open_samples = demand.open_samples.unwrap_or(0) as f64;
        let used_share = (open_samples / supply.slots.max(1) as f64).min(1.0);
        self.tokens = self.tokens * fading + generated;
        self.work_s = self.work_s * fading + elapsed_s * f64::from(supply.ready()) * used_share;
        self.done = Some(demand.done.clone());
    }

    /// Returns how many endpoints would do the work in time, the most urgent first; 0 while the speed is
    /// not known. Work that is due before an endpoint could serve is counted as due then.
    pub(super) fn needed_endpoints(&self, demand: &Demand, ready: u32, boot_ms: u64) -> u32 {
        if self.tokens <= 0.0 || self.work_s < MIN_WORK_S * f64::from(ready.max(1)) {
            return 0;
        }
        let tokens_per_s = self.tokens / self.work_s;
        let mut tokens = 0.0;
        let mut needed: f64 = 0.0;
        for remainder in &demand.remainders {
            tokens += remainder.tokens;
            let time_s = remainder.time_left_ms.max(boot_ms).max(1) as f64 / 1_000.0;
            needed = needed.max(tokens / tokens_per_s / time_s);
        }
        needed.ceil() as u32
    }
}
