//! Which engines serve which model, and which of them load new weights now.

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

/// An order without an effect is sent again after this long: a load takes 0.9 s, the list lags by
/// a heartbeat (1.2 s).
const ORDER_TIMEOUT_MS: u64 = 3_000;

/// Share of the engines that may load at once; loads slow down beyond about a fifth of them.
const MAX_LOADING_SHARE: f64 = 0.22;

/// What an engine does with the runs that it has when it loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMode {
    /// They end first.
    Hold,
    /// They go on under the new version.
    Retain,
}

/// One order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The engine.
    pub endpoint: EndpointKey,
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// What happens to runs.
    pub mode: LoadMode,
}

/// Returns the oldest weights that an engine of each model must have now.
///
/// While a batch is open, weights that it allows are good enough: an engine that loads makes
/// nothing for a second. The trainer's own training time, when no batch is open, is when the
/// newest version is loaded.
pub fn required_versions(
    ledger: &Ledger,
    latest_versions: &HashMap<Arc<str>, u64>,
) -> HashMap<Arc<str>, u64> {
    let mut required = latest_versions.clone();
    for (model, version) in &mut required {
        let min_version = ledger
            .batches
            .values()
            .filter(|state| !state.ended && state.batch.model == *model)
            .filter(|state| state.positions.len() < state.batch.samples.len())
            .map(|state| state.batch.min_version)
            .max();
        *version = min_version.unwrap_or(*version).min(*version);
    }
    required
}

/// Returns whether max_loading samples of each open batch of a model are done: engines that load then
/// keep no sample waiting.
fn mostly_finished(ledger: &Ledger, model: &str) -> bool {
    ledger
        .batches
        .values()
        .filter(|state| !state.ended && *state.batch.model == *model)
        .all(|state| state.positions.len() * 2 >= state.batch.samples.len())
}

/// Orders on their way.
#[derive(Debug, Default)]
pub struct LoadScheduler {
    sent: HashMap<(EndpointKey, Arc<str>), (u64, u64)>,
}

impl LoadScheduler {
    /// Returns the orders to send now, for the engines of a service.
    pub fn due(
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
        let max_loading = ((engines.len() as f64 * MAX_LOADING_SHARE) as usize).max(2);
        self.sent.retain(|(key, model), (version, sent_ms)| {
            let endpoint = endpoints.get(*key);
            let done = endpoint
                .version(model)
                .is_some_and(|known| known >= *version);
            !endpoint.gone && !done && now_ms.saturating_sub(*sent_ms) < ORDER_TIMEOUT_MS
        });
        let mut early = self.early_loads(ledger, endpoints, &engines, latest_versions);
        let mut behind: Vec<(bool, LoadOrder)> = engines
            .iter()
            .filter(|(_, endpoint)| endpoint.accepts_work())
            .filter_map(|(key, endpoint)| {
                let model = ledger.assignments.get(&endpoint.listing.id)?;
                let version = *latest_versions.get(model)?;
                let known = endpoint.version(model)?;
                let load = LoadOrder {
                    endpoint: *key,
                    model: model.clone(),
                    version,
                    mode,
                };
                let needed = known < *required.get(model)?;
                (needed || known < version).then_some((needed, load))
            })
            .filter(|(_, load)| !self.sent.keys().any(|(key, _)| *key == load.endpoint))
            .collect();
        behind.sort_by_key(|(needed, load)| {
            let endpoint = endpoints.get(load.endpoint);
            (
                !needed,
                endpoint.version(&load.model),
                endpoint.in_flight,
                load.endpoint,
            )
        });
        behind.retain(|(needed, load)| {
            let remaining = early.entry(load.model.clone()).or_default();
            let is_due = *needed || *remaining > 0;
            *remaining = remaining.saturating_sub(usize::from(!needed));
            is_due
        });
        let mut behind: Vec<LoadOrder> = behind.into_iter().map(|(_, load)| load).collect();
        behind.truncate(max_loading.saturating_sub(self.sent.len()));
        for load in &behind {
            self.sent
                .insert((load.endpoint, load.model.clone()), (load.version, now_ms));
        }
        behind
    }

    /// Returns how many engines of each model should load before a batch needs it.
    ///
    /// A step allows the version before its own, so weights last for two steps. Half of the engines
    /// load in one step, half in the next: whenever a batch comes, half of them can start at once.
    fn early_loads(
        &self,
        ledger: &Ledger,
        endpoints: &Endpoints,
        engines: &[(EndpointKey, &Endpoint)],
        latest_versions: &HashMap<Arc<str>, u64>,
    ) -> HashMap<Arc<str>, usize> {
        let mut early = HashMap::new();
        for (model, version) in latest_versions
            .iter()
            .filter(|(model, _)| mostly_finished(ledger, model))
        {
            let of_model: Vec<_> = engines
                .iter()
                .filter(|(_, endpoint)| ledger.assignments.get(&endpoint.listing.id) == Some(model))
                .collect();
            let up_to_date = of_model.iter().filter(|(key, _)| {
                let known = endpoints.get(*key).version(model);
                known >= Some(*version) || self.sent.contains_key(&(*key, model.clone()))
            });
            let half = of_model.len().div_ceil(2);
            early.insert(model.clone(), half.saturating_sub(up_to_date.count()));
        }
        early
    }

    /// Notes that an order was surely not accepted, so that it may be sent again.
    pub fn refused(&mut self, endpoint: EndpointKey, model: &Arc<str>) {
        self.sent.remove(&(endpoint, model.clone()));
    }
}

/// Shares out a service's engines over its models by demand, moving as few as possible.
///
/// `demand` holds a weight for each model; every model gets one engine at least while there are
/// enough of them.
pub fn assign_engines(
    engines: &[Arc<str>],
    models: &[Arc<str>],
    demand: &HashMap<Arc<str>, f64>,
    current: &HashMap<Arc<str>, Arc<str>>,
) -> HashMap<Arc<str>, Arc<str>> {
    let mut wanted = engine_counts(engines.len(), models, demand);
    let mut plan = HashMap::new();
    let mut free = Vec::new();
    for engine in engines {
        let kept = current.get(engine).filter(|model| {
            wanted.get_mut(*model).is_some_and(|remaining| {
                let keeps = *remaining > 0;
                *remaining -= usize::from(keeps);
                keeps
            })
        });
        match kept {
            Some(model) => drop(plan.insert(engine.clone(), model.clone())),
            None => free.push(engine.clone()),
        }
    }
    for engine in free {
        let neediest = models
            .iter()
            .max_by_key(|model| wanted.get(*model).copied().unwrap_or(0));
        if let Some(model) = neediest {
            if let Some(remaining) = wanted.get_mut(model) {
                *remaining = remaining.saturating_sub(1);
            }
            plan.insert(engine, model.clone());
        }
    }
    plan
}

/// Engines for each model: one each, the rest one by one where the demand per engine is highest.
fn engine_counts(
    engines: usize,
    models: &[Arc<str>],
    demand: &HashMap<Arc<str>, f64>,
) -> HashMap<Arc<str>, usize> {
    let mut engine_counts: HashMap<Arc<str>, usize> = HashMap::new();
    let weight = |model: &Arc<str>| demand.get(model).copied().unwrap_or(1.0).max(0.01);
    for _ in 0..engines {
        let neediest = models.iter().max_by(|a, b| {
            let need = |model: &Arc<str>| {
                let has = engine_counts.get(model).copied().unwrap_or(0);
                if has == 0 {
                    f64::MAX
                } else {
                    weight(model) / has as f64
                }
            };
            need(a).total_cmp(&need(b))
        });
        if let Some(model) = neediest {
            *engine_counts.entry(model.clone()).or_default() += 1;
        }
    }
    engine_counts
}

#[cfg(test)]
mod tests;
