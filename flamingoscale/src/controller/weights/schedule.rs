//! When each engine at home loads the newest weights.
//!
//! A plain core. All homes compute the same timetable from the same fold: engines of a service
//! start one after the other, at the pace at which the store can feed them and at which enough
//! of the others go on serving. See `docs/design/weights.md`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    engine::EngineError,
    view::EndpointKey,
    wire::{
        EndpointStatus,
        EngineAction,
        EngineOrder, //
    }, //
};

/// At most one engine in this many of a service loads at a time.
const LOADING_DIVISOR: u32 = 4;

/// Longest wait for running requests before a swap; those that go on name both versions.
const DRAIN_TIMEOUT_MS: u64 = 1_000;

/// How long a status may lag behind an order.
const MAX_STATUS_LAG_MS: u64 = 2_000;

/// A load that takes longer than this counts as failed.
const LOAD_TIMEOUT_MS: u64 = 120_000;

/// Wait after a first failure; it doubles with each further one.
const INITIAL_BACKOFF_MS: u64 = 1_000;

/// Longest wait after a failure.
const MAX_BACKOFF_MS: u64 = 30_000;

/// What a load is taken to need beside the transfer, before one was seen.
const DEFAULT_SWAP_MS: u64 = 500;

/// Weight of a new observation in the running mean, as one part in this many.
const MEAN_DIVISOR: u64 = 4;

/// The weights that a service should run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TargetWeights {
    pub(crate) trainer: Arc<str>,
    pub(crate) version: u64,
    pub(crate) bytes: u64,
    /// Offset of the newest record that the order rests on.
    pub(crate) fencing: u64,
    pub(crate) url: Arc<str>,
}

impl TargetWeights {
    /// The order for it.
    pub(crate) fn order(&self) -> EngineOrder {
        EngineOrder {
            fencing: self.fencing,
            action: EngineAction::LoadVersion {
                trainer: self.trainer.clone(),
                version: self.version,
                url: self.url.clone(),
            },
        }
    }
}

/// What is known of one engine at home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EngineState {
    pub(crate) key: EndpointKey,
    pub(crate) service: Arc<str>,
    /// Its place among the engines of its service.
    pub(crate) rank: u32,
    /// Engines of its service.
    pub(crate) engines: u32,
    pub(crate) version: Option<u64>,
    pub(crate) in_flight: u32,
    pub(crate) reachable: bool,
    pub(crate) leaving: bool,
}

/// What to do with an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Give it no new work.
    Hold(EndpointKey),
    /// Give it work again, once its version is read.
    Resume(EndpointKey),
    /// Order it to load.
    Load(EndpointKey, TargetWeights),
    /// Read its status.
    ReadStatus(EndpointKey),
    /// Something for the time line.
    Record(&'static str, EndpointKey, u64),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Steady,
    Draining {
        since_ms: u64,
    },
    Loading {
        version: u64,
        ordered_ms: u64,
        /// The status showed the load; from then on it does not lag behind the order.
        is_status_current: bool,
    },
    BackingOff {
        until_ms: u64,
    },
}

#[derive(Debug, Default)]
struct Engine {
    phase: Phase,
    service: Arc<str>,
    failures: u32,
}

#[derive(Debug)]
struct ServiceTarget {
    weights: TargetWeights,
    set_at_ms: u64,
    /// Running mean of what loads took.
    load_ms: Option<u64>,
}

/// The swaps of the engines at home.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    engines: BTreeMap<EndpointKey, Engine>,
    targets: BTreeMap<Arc<str>, ServiceTarget>,
    store_bytes_per_s: u64,
    actions: Vec<Action>,
}

impl Schedule {
    /// Takes the actions that the last events led to.
    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes in the rate that the store gives to all readers together.
    pub(crate) fn set_store_rate(&mut self, bytes_per_s: u64) {
        self.store_bytes_per_s = bytes_per_s;
    }

    /// Takes in the newest weights of a service. Engines skip what they have not started.
    pub(crate) fn set_target(&mut self, service: &Arc<str>, weights: TargetWeights, now_ms: u64) {
        match self.targets.get_mut(service) {
            Some(target) if target.weights.version >= weights.version => {
                target.weights.fencing = target.weights.fencing.max(weights.fencing);
            }
            Some(target) => {
                target.weights = weights;
                target.set_at_ms = now_ms;
            }
            None => {
                let target = ServiceTarget {
                    weights,
                    set_at_ms: now_ms,
                    load_ms: None,
                };
                self.targets.insert(service.clone(), target);
            }
        }
    }

    /// Goes on with every engine at home; those that moved away are let go.
    pub(crate) fn tick(&mut self, facts: &[EngineState], now_ms: u64) {
        self.remove_departed(facts);
        let max_swapping = (facts.len() as u32).div_ceil(LOADING_DIVISOR);
        for engine in facts {
            let swapping = self.engines.values().filter(|e| e.is_swapping()).count() as u32;
            self.step(engine, swapping < max_swapping, now_ms);
        }
    }

    fn remove_departed(&mut self, facts: &[EngineState]) {
        let at_home = |key: &EndpointKey| facts.iter().any(|facts| facts.key == *key);
        let gone: Vec<EndpointKey> = self
            .engines
            .keys()
            .copied()
            .filter(|k| !at_home(k))
            .collect();
        for key in gone {
            let engine = self.engines.remove(&key);
            if engine.is_some_and(|engine| engine.is_swapping()) {
                self.actions.push(Action::Resume(key));
            }
        }
    }

    fn step(&mut self, facts: &EngineState, may_start: bool, now_ms: u64) {
        let key = facts.key;
        let engine = self.engines.entry(key).or_default();
        engine.service = facts.service.clone();
        match engine.phase {
            Phase::Steady if may_start => self.start_if_due(facts, now_ms),
            Phase::Steady => {}
            Phase::Draining { since_ms } => {
                let drained = facts.in_flight == 0;
                if drained || now_ms.saturating_sub(since_ms) >= DRAIN_TIMEOUT_MS {
                    self.load(key, now_ms);
                }
            }
            Phase::Loading { ordered_ms, .. } => {
                if now_ms.saturating_sub(ordered_ms) > LOAD_TIMEOUT_MS {
                    self.fail(key, now_ms);
                } else {
                    self.actions.push(Action::ReadStatus(key));
                }
            }
            Phase::BackingOff { until_ms } if now_ms >= until_ms => engine.phase = Phase::Steady,
            Phase::BackingOff { .. } => {}
        }
    }

    fn start_if_due(&mut self, facts: &EngineState, now_ms: u64) {
        let Some(target) = self.targets.get(&facts.service) else {
            return;
        };
        let behind = facts.version.is_some_and(|v| v < target.weights.version);
        let ready = behind && facts.reachable && !facts.leaving;
        let start_ms = target.set_at_ms + self.start_after_ms(target, facts);
        if !ready || now_ms < start_ms {
            return;
        }
        if let Some(engine) = self.engines.get_mut(&facts.key) {
            engine.phase = Phase::Draining { since_ms: now_ms };
            self.actions.push(Action::Hold(facts.key));
        }
    }

    /// When this engine's turn comes, counted from when the version was seen.
    fn start_after_ms(&self, target: &ServiceTarget, facts: &EngineState) -> u64 {
        let rate = self.store_bytes_per_s.max(1);
        let transfer_ms = target.weights.bytes.saturating_mul(1_000) / rate;
        let load_ms = target.load_ms.unwrap_or(transfer_ms + DEFAULT_SWAP_MS);
        let concurrent = u64::from(facts.engines / LOADING_DIVISOR).max(1);
        let spacing_ms = transfer_ms.max(load_ms / concurrent);
        u64::from(facts.rank).saturating_mul(spacing_ms)
    }

    fn load(&mut self, key: EndpointKey, now_ms: u64) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        let Some(target) = self.targets.get(&engine.service) else {
            return;
        };
        let weights = target.weights.clone();
        engine.phase = Phase::Loading {
            version: weights.version,
            ordered_ms: now_ms,
            is_status_current: false,
        };
        self.actions
            .push(Action::Record("weights.load", key, weights.version));
        self.actions.push(Action::Load(key, weights));
    }

    /// The answer to an order. A lost one says nothing: the status will.
    pub(crate) fn on_order_result(
        &mut self,
        key: EndpointKey,
        result: Result<(), EngineError>,
        now_ms: u64,
    ) {
        match result {
            Ok(()) | Err(EngineError::Lost) => {}
            Err(EngineError::Fenced) => {
                self.actions.push(Action::Record("weights.fenced", key, 0));
                self.fail(key, now_ms);
            }
            Err(EngineError::Refused { .. }) => self.fail(key, now_ms),
        }
    }

    /// A status that was read while a load was under way; none if it could not be read.
    pub(crate) fn on_status(
        &mut self,
        key: EndpointKey,
        status: Option<&EndpointStatus>,
        now_ms: u64,
    ) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        let Phase::Loading {
            version,
            ordered_ms,
            is_status_current,
        } = &mut engine.phase
        else {
            return;
        };
        let Some(status) = status else {
            return;
        };
        if status.swapping {
            *is_status_current = true;
            return;
        }
        let elapsed_ms = now_ms.saturating_sub(*ordered_ms);
        if status.version >= *version {
            let version = status.version;
            self.complete(key, version, elapsed_ms);
        } else if *is_status_current || elapsed_ms > MAX_STATUS_LAG_MS {
            self.fail(key, now_ms);
        }
    }

    fn complete(&mut self, key: EndpointKey, version: u64, elapsed_ms: u64) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        engine.phase = Phase::Steady;
        engine.failures = 0;
        if let Some(target) = self.targets.get_mut(&engine.service) {
            let mean = target.load_ms.unwrap_or(elapsed_ms);
            target.load_ms = Some((mean * (MEAN_DIVISOR - 1) + elapsed_ms) / MEAN_DIVISOR);
        }
        self.actions
            .push(Action::Record("weights.loaded", key, version));
        self.actions.push(Action::Resume(key));
    }

    /// The engine goes back to work on whatever it has, which its home must read first.
    fn fail(&mut self, key: EndpointKey, now_ms: u64) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        let backoff_ms = INITIAL_BACKOFF_MS << engine.failures.min(8);
        engine.failures += 1;
        engine.phase = Phase::BackingOff {
            until_ms: now_ms + backoff_ms.min(MAX_BACKOFF_MS),
        };
        let failures = u64::from(engine.failures);
        self.actions
            .push(Action::Record("weights.load_failed", key, failures));
        self.actions.push(Action::Resume(key));
    }
}

impl Engine {
    fn is_swapping(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. } | Phase::Loading { .. })
    }
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
