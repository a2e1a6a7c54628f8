//! Assigns models to engines and schedules the loading of new weights.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::{
    endpoints::{
        Endpoint,
        EndpointKey,
        Endpoints, //
    },
    ledger::Ledger, //
};

/// Time after which an order that had no visible effect is sent again. Loading takes 0.9 s, and the
/// endpoint list lags by one heartbeat (1.2 s).
const ORDER_TIMEOUT_MS: u64 = 3_000;

/// Share of the engines that may load concurrently. Loads slow down if more than about a fifth of
/// the engines load at the same time.
const MAX_LOADING_SHARE: f64 = 0.22;

/// What an engine does with its running requests when it loads weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMode {
    /// The engine finishes its running requests before it loads.
    Hold,
    /// The engine continues its running requests with the new version.
    Retain,
}

/// An order to an engine to load a version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The engine that receives the order.
    pub endpoint: EndpointKey,
    /// The model to load.
    pub model: Arc<str>,
    /// The version of the weights to load.
    pub version: u64,
    /// How the engine treats its running requests.
    pub mode: LoadMode,
}

/// Returns, for each model, the oldest version of the weights that its engines must have
/// loaded now.
///
/// While a batch is open, any version that it allows is sufficient, because an engine generates
/// nothing for about a second while it loads. The newest version is required while no batch is
/// open, which is the time during which the trainer trains.
pub fn required_versions(
    ledger: &Ledger,
    latest_versions: &HashMap<Arc<str>, u64>,
) -> HashMap<Arc<str>, u64> {
    let mut required = latest_versions.clone();
    for (model, version) in &mut required {
        let min_version = ledger
            .registered
            .values()
            .filter(|registered| registered.is_unfinished() && registered.summary.model == *model)
            .map(|registered| registered.summary.min_version)
            .max();
        *version = min_version.unwrap_or(*version).min(*version);
    }
    required
}

/// Returns whether at least half of the samples of each open batch of a model are finished. Engines
/// that load from then on keep no sample waiting.
fn mostly_finished(ledger: &Ledger, model: &str) -> bool {
    ledger
        .registered
        .values()
        .filter(|registered| !registered.ended && *registered.summary.model == *model)
        .all(|registered| registered.milestone.is_some())
}

/// Schedules load orders and tracks those that have not taken effect yet.
#[derive(Debug, Default)]
pub struct LoadScheduler {
    /// Version and send time (in monotonic milliseconds) of each order that has not taken effect,
    /// by engine and model.
    pending: HashMap<(EndpointKey, Arc<str>), (u64, u64)>,
}

impl LoadScheduler {
    /// Returns the orders to send now to the engines of a service, and marks them as pending.
    ///
    /// Orders that an open batch requires come first, among them those of the model with the fewest
    /// engines that can run its samples: a batch without such an engine waits as a whole.
    pub fn due_orders(
        &mut self,
        ledger: &Ledger,
        endpoints: &Endpoints,
        service: &str,
        latest_versions: &HashMap<Arc<str>, u64>,
        mode: LoadMode,
        now_ms: u64,
    ) -> Vec<LoadOrder> {
        let required = required_versions(ledger, latest_versions);
        let engines: Vec<_> = endpoints.of_service(service).collect();
        let in_use = engines.iter().filter(|(_, endpoint)| !endpoint.evacuated);
        let max_loading = ((in_use.count() as f64 * MAX_LOADING_SHARE) as usize).max(2);
        self.pending.retain(|(key, model), (version, sent_ms)| {
            let endpoint = endpoints.get(*key);
            let loaded = endpoint
                .version(model)
                .is_some_and(|current_version| current_version >= *version);
            !endpoint.delisted && !loaded && now_ms.saturating_sub(*sent_ms) < ORDER_TIMEOUT_MS
        });
        let mut early_counts = self.early_loads(ledger, endpoints, &engines, latest_versions);
        let mut candidates: Vec<(bool, LoadOrder)> = engines
            .iter()
            .filter(|(_, endpoint)| endpoint.accepts_work())
            .filter(|(_, endpoint)| endpoint.refused_until_ms <= now_ms)
            .filter_map(|(key, endpoint)| {
                let model = ledger.assignments.get(&endpoint.listing.id)?;
                let version = *latest_versions.get(model)?;
                let current_version = endpoint.version(model)?;
                let order = LoadOrder {
                    endpoint: *key,
                    model: model.clone(),
                    version,
                    mode,
                };
                let needed = current_version < *required.get(model)?;
                (needed || current_version < version).then_some((needed, order))
            })
            .filter(|(_, order)| !self.pending.keys().any(|(key, _)| *key == order.endpoint))
            .collect();
        let free = max_loading.saturating_sub(self.pending.len());
        let mut ready = self.ready_engines(ledger, &engines, &required);
        let mut due_orders: Vec<LoadOrder> = Vec::new();
        while due_orders.len() < free {
            candidates.retain(|(needed, order)| {
                *needed || early_counts.get(&order.model).copied().unwrap_or(0) > 0
            });
            let next = candidates.iter().min_by_key(|(needed, order)| {
                let endpoint = endpoints.get(order.endpoint);
                (
                    !needed,
                    ready.get(&order.model).copied().unwrap_or(0),
                    endpoint.version(&order.model),
                    endpoint.in_flight,
                    order.endpoint,
                )
            });
            let Some((needed, order)) = next.cloned() else {
                break;
            };
            candidates.retain(|(_, other)| other.endpoint != order.endpoint);
            *ready.entry(order.model.clone()).or_default() += 1;
            if !needed {
                let early = early_counts.entry(order.model.clone()).or_default();
                *early = early.saturating_sub(1);
            }
            due_orders.push(order);
        }
        for order in &due_orders {
            self.pending.insert(
                (order.endpoint, order.model.clone()),
                (order.version, now_ms),
            );
        }
        due_orders
    }

    /// Returns, for each model, how many of its engines can run the open batches' samples, now or
    /// when their pending loads are done.
    fn ready_engines(
        &self,
        ledger: &Ledger,
        engines: &[(EndpointKey, &Endpoint)],
        required: &HashMap<Arc<str>, u64>,
    ) -> HashMap<Arc<str>, usize> {
        let mut ready: HashMap<Arc<str>, usize> = HashMap::new();
        for (key, endpoint) in engines {
            let Some(model) = ledger.assignments.get(&endpoint.listing.id) else {
                continue;
            };
            let is_ready = endpoint.version(model) >= required.get(model).copied()
                || self.pending.contains_key(&(*key, model.clone()));
            if is_ready && endpoint.accepts_work() && !endpoint.unreachable {
                *ready.entry(model.clone()).or_default() += 1;
            }
        }
        ready
    }

    /// Returns how many engines of each model should load before a batch requires the new version.
    ///
    /// A training step also allows the version before its own, so each version is valid for two
    /// steps. Half of the engines load during one step and half during the next, so that half of
    /// the engines can start samples immediately when a batch arrives.
    fn early_loads(
        &self,
        ledger: &Ledger,
        endpoints: &Endpoints,
        engines: &[(EndpointKey, &Endpoint)],
        latest_versions: &HashMap<Arc<str>, u64>,
    ) -> HashMap<Arc<str>, usize> {
        let mut early_counts = HashMap::new();
        for (model, version) in latest_versions
            .iter()
            .filter(|(model, _)| mostly_finished(ledger, model))
        {
            let assigned_engines: Vec<_> = engines
                .iter()
                .filter(|(_, endpoint)| ledger.assignments.get(&endpoint.listing.id) == Some(model))
                .collect();
            let up_to_date = assigned_engines.iter().filter(|(key, _)| {
                let current_version = endpoints.get(*key).version(model);
                current_version >= Some(*version)
                    || self.pending.contains_key(&(*key, model.clone()))
            });
            let target = assigned_engines.len().div_ceil(2);
            early_counts.insert(model.clone(), target.saturating_sub(up_to_date.count()));
        }
        early_counts
    }

    /// Records that the engine definitely did not accept an order, so that the order may be sent
    /// again.
    pub fn refused(&mut self, endpoint: EndpointKey, model: &Arc<str>) {
        self.pending.remove(&(endpoint, model.clone()));
    }
}

/// Assigns models to the engines of a service in proportion to demand, with as few changes as
/// possible.
///
/// `demand` holds a relative weight for each model. Every model gets at least one engine while
/// there are enough engines.
pub fn assign_engines(
    engines: &[Arc<str>],
    models: &[Arc<str>],
    demand: &HashMap<Arc<str>, f64>,
    current: &HashMap<Arc<str>, Arc<str>>,
) -> HashMap<Arc<str>, Arc<str>> {
    let mut remaining_counts = engine_counts(engines.len(), models, demand);
    let mut assignments = HashMap::new();
    let mut unassigned_engines = Vec::new();
    for engine in engines {
        let current_model = current.get(engine).filter(|model| {
            remaining_counts.get_mut(*model).is_some_and(|remaining| {
                let keep = *remaining > 0;
                *remaining -= usize::from(keep);
                keep
            })
        });
        match current_model {
            Some(model) => drop(assignments.insert(engine.clone(), model.clone())),
            None => unassigned_engines.push(engine.clone()),
        }
    }
    for engine in unassigned_engines {
        let next_model = models
            .iter()
            .max_by_key(|model| remaining_counts.get(*model).copied().unwrap_or(0));
        if let Some(model) = next_model {
            if let Some(remaining) = remaining_counts.get_mut(model) {
                *remaining = remaining.saturating_sub(1);
            }
            assignments.insert(engine, model.clone());
        }
    }
    assignments
}

/// Returns the number of engines for each model. Every model gets one engine first; each remaining
/// engine goes to the model with the highest demand per engine.
fn engine_counts(
    engines: usize,
    models: &[Arc<str>],
    demand: &HashMap<Arc<str>, f64>,
) -> HashMap<Arc<str>, usize> {
    let mut engine_counts: HashMap<Arc<str>, usize> = HashMap::new();
    let weight = |model: &Arc<str>| demand.get(model).copied().unwrap_or(1.0).max(0.01);
    for _ in 0..engines {
        let next_model = models.iter().max_by(|a, b| {
            let demand_per_engine = |model: &Arc<str>| {
                let assigned = engine_counts.get(model).copied().unwrap_or(0);
                if assigned == 0 {
                    f64::MAX
                } else {
                    weight(model) / assigned as f64
                }
            };
            demand_per_engine(a).total_cmp(&demand_per_engine(b))
        });
        if let Some(model) = next_model {
            *engine_counts.entry(model.clone()).or_default() += 1;
        }
    }
    engine_counts
}

#[cfg(test)]
mod tests;
