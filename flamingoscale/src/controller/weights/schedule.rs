//! Decides when each engine loads the newest weights.
//!
//! This is a state machine without I/O. All home instances compute the same timetable from the same
//! folded state: the engines of a service start one after the other, as fast as the weight store
//! can serve them while enough other engines stay in service. See `docs/design/weights.md`.

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

/// At most one in `LOADING_DIVISOR` of this instance's engines drains or loads at a time. The start
/// times keep to the same fraction of all engines of a service.
const LOADING_DIVISOR: u32 = 4;

/// Longest wait for running requests before a load. Requests that are still running after this
/// wait report both versions.
const DRAIN_TIMEOUT_MS: u64 = 1_000;

/// Longest time by which a status may lag behind an order.
const MAX_STATUS_LAG_MS: u64 = 2_000;

/// A load that takes longer than this counts as failed.
const LOAD_TIMEOUT_MS: u64 = 120_000;

/// Backoff after the first failed load; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 1_000;

/// Longest backoff after repeated failures.
const MAX_BACKOFF_MS: u64 = 30_000;

/// Assumed duration of a load in addition to the transfer, until a first load has completed.
const DEFAULT_LOAD_OVERHEAD_MS: u64 = 500;

/// The running mean counts a new observation with the share `1 / MEAN_DIVISOR`.
const MEAN_DIVISOR: u64 = 4;

/// The weights that a service should run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TargetWeights {
    pub(crate) trainer: Arc<str>,
    pub(crate) version: u64,
    pub(crate) bytes: u64,
    /// Offset of the newest log record that the order is based on.
    pub(crate) fencing: u64,
    pub(crate) url: Arc<str>,
}

impl TargetWeights {
    /// Builds the order to load these weights.
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

/// The observed state of one engine whose home is this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EngineState {
    pub(crate) key: EndpointKey,
    pub(crate) service: Arc<str>,
    /// Position among the engines of its service, from 0.
    pub(crate) rank: u32,
    /// Number of engines of its service.
    pub(crate) engines: u32,
    /// Version of its weights, or `None` while unknown.
    pub(crate) version: Option<u64>,
    pub(crate) in_flight: u32,
    pub(crate) reachable: bool,
    pub(crate) leaving: bool,
}

/// An action for the driver to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Send the engine no new work.
    Hold(EndpointKey),
    /// Send the engine work again, once its version has been read.
    Resume(EndpointKey),
    /// Order the engine to load these weights.
    Load(EndpointKey, TargetWeights),
    /// Read the engine's status.
    ReadStatus(EndpointKey),
    /// Record an event with this value on the time line.
    Record(&'static str, EndpointKey, u64),
}

/// Progress of an engine towards the target weights.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// The engine serves requests and may start a load.
    #[default]
    Steady,
    /// The engine gets no new work, and the load starts once its running requests are done.
    Draining { since_ms: u64 },
    /// The load has been ordered.
    Loading {
        version: u64,
        ordered_ms: u64,
        /// Whether a status has shown this load in progress. Later statuses do not lag behind the
        /// order.
        is_status_current: bool,
    },
    /// The last load failed. The engine serves requests and is not loaded before `until_ms`.
    BackingOff { until_ms: u64 },
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
    /// Running mean of the duration of a load, in milliseconds.
    load_ms: Option<u64>,
}

/// The load schedule of the engines whose home is this instance.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    engines: BTreeMap<EndpointKey, Engine>,
    targets: BTreeMap<Arc<str>, ServiceTarget>,
    store_bytes_per_s: u64,
    actions: Vec<Action>,
}

impl Schedule {
    /// Returns and clears the actions that resulted from the last events.
    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Sets the total rate at which the store serves all readers.
    pub(crate) fn set_store_rate(&mut self, bytes_per_s: u64) {
        self.store_bytes_per_s = bytes_per_s;
    }

    /// Sets the newest weights of a service. Engines that have not started loading an older version
    /// skip that version.
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

    /// Advances every engine, and forgets the engines whose home is no longer this instance.
    pub(crate) fn tick(&mut self, engines: &[EngineState], now_ms: u64) {
        self.remove_departed(engines);
        let max_updating = (engines.len() as u32).div_ceil(LOADING_DIVISOR);
        for engine in engines {
            let updating = self
                .engines
                .values()
                .filter(|engine| engine.is_updating())
                .count() as u32;
            self.step(engine, updating < max_updating, now_ms);
        }
    }

    /// Removes the engines whose home is no longer this instance, and resumes those that were
    /// draining or loading.
    fn remove_departed(&mut self, engines: &[EngineState]) {
        let at_home = |key: &EndpointKey| engines.iter().any(|engine| engine.key == *key);
        let departed: Vec<EndpointKey> = self
            .engines
            .keys()
            .copied()
            .filter(|key| !at_home(key))
            .collect();
        for key in departed {
            let engine = self.engines.remove(&key);
            if engine.is_some_and(|engine| engine.is_updating()) {
                self.actions.push(Action::Resume(key));
            }
        }
    }

    fn step(&mut self, state: &EngineState, may_start: bool, now_ms: u64) {
        let key = state.key;
        let engine = self.engines.entry(key).or_default();
        engine.service = state.service.clone();
        match engine.phase {
            Phase::Steady if may_start => self.start_if_due(state, now_ms),
            Phase::Steady => {}
            Phase::Draining { since_ms } => {
                let is_drained = state.in_flight == 0;
                if is_drained || now_ms.saturating_sub(since_ms) >= DRAIN_TIMEOUT_MS {
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

    /// Starts to drain an engine whose weights are older than the target, once its start time has
    /// come.
    fn start_if_due(&mut self, state: &EngineState, now_ms: u64) {
        let Some(target) = self.targets.get(&state.service) else {
            return;
        };
        let is_outdated = state
            .version
            .is_some_and(|version| version < target.weights.version);
        let is_ready = is_outdated && state.reachable && !state.leaving;
        let start_ms = target.set_at_ms + self.start_delay_ms(target, state);
        if !is_ready || now_ms < start_ms {
            return;
        }
        if let Some(engine) = self.engines.get_mut(&state.key) {
            engine.phase = Phase::Draining { since_ms: now_ms };
            self.actions.push(Action::Hold(state.key));
        }
    }

    /// Returns the delay of this engine's load, counted from when the version was set.
    fn start_delay_ms(&self, target: &ServiceTarget, state: &EngineState) -> u64 {
        let bytes_per_s = self.store_bytes_per_s.max(1);
        let transfer_ms = target.weights.bytes.saturating_mul(1_000) / bytes_per_s;
        let load_ms = target
            .load_ms
            .unwrap_or(transfer_ms + DEFAULT_LOAD_OVERHEAD_MS);
        let concurrent = u64::from(state.engines / LOADING_DIVISOR).max(1);
        let spacing_ms = transfer_ms.max(load_ms / concurrent);
        u64::from(state.rank).saturating_mul(spacing_ms)
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

    /// Handles the answer to an order. A lost answer changes nothing: the status will show whether
    /// the order took effect.
    pub(crate) fn on_order_result(
        &mut self,
        key: EndpointKey,
        result: Result<(), EngineError>,
        now_ms: u64,
    ) {
        match result {
            Ok(()) | Err(EngineError::Unknown) => {}
            Err(EngineError::Fenced) => {
                self.actions.push(Action::Record("weights.fenced", key, 0));
                self.fail(key, now_ms);
            }
            Err(EngineError::Refused { .. }) => self.fail(key, now_ms),
        }
    }

    /// Handles a status that was read while a load was in progress; `None` if reading it failed.
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

    /// Ends a successful load and updates the mean load time of the service.
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

    /// Ends a failed load: resumes the engine with whatever version it has and starts the backoff.
    /// The engine's home instance reads the version before it sends the engine work again.
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
    /// Returns whether the engine is draining or loading.
    fn is_updating(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. } | Phase::Loading { .. })
    }
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
