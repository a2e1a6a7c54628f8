//! Weight versions and adapters of an engine, and the loads that replace them.
//!
//! A weight load downloads a version from the weight store and then swaps it in.

use std::{
    sync::Arc,
    time::Duration, //
};

use flamingoscale::wire::{
    EngineAction,
    EngineOrder, //
};
use futures::StreamExt as _;

use super::{
    EngineOrderRecord,
    Shared, //
};
use crate::{
    faults::sleep_ms,
    platform::lock, //
};

/// Timeout of one weight download.
const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Received orders and the weight version, adapters and role that they set.
pub(super) struct WeightState {
    pub(super) orders: Vec<EngineOrderRecord>,
    pub(super) load_error: Option<String>,
    pub(super) swapping: bool,
    pub(super) adapters: Vec<Arc<str>>,
    pub(super) role: Arc<str>,
    version: u64,
    newest_fencing_number: u64,
    /// Incremented by each load and each crash, so that a superseded load has no effect when it
    /// ends.
    generation: u64,
}

impl WeightState {
    pub(super) fn new(version: u64) -> Self {
        Self {
            orders: Vec::new(),
            load_error: None,
            swapping: false,
            adapters: Vec::new(),
            role: "both".into(),
            version,
            newest_fencing_number: 0,
            generation: 0,
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn crash(&mut self, version: u64) {
        let orders = std::mem::take(&mut self.orders);
        let generation = self.generation + 1;
        *self = Self::new(version);
        self.orders = orders;
        self.generation = generation;
    }

    /// Checks an order's fencing number; returns whether to accept the order.
    fn admit_order(&mut self, fencing: u64, checks_fencing: bool) -> bool {
        let accepted = !checks_fencing || fencing >= self.newest_fencing_number;
        self.newest_fencing_number = self.newest_fencing_number.max(fencing);
        accepted
    }

    fn begin_load(&mut self) -> u64 {
        self.generation += 1;
        self.swapping = true;
        self.load_error = None;
        self.generation
    }

    fn end_load(&mut self, generation: u64, result: Result<u64, String>) {
        if self.generation != generation {
            return;
        }
        self.swapping = false;
        match result {
            Ok(version) => self.version = version,
            Err(reason) => self.load_error = Some(reason),
        }
    }
}

/// Records an order and executes it if its fencing number is current; returns whether it was
/// accepted. Loads continue in the background.
pub(super) fn accept_order(shared: &Arc<Shared>, order: EngineOrder) -> bool {
    let mut weights = lock(&shared.weights);
    let accepted = weights.admit_order(order.fencing, shared.settings.checks_fencing);
    let at_ms = shared.started_at.elapsed().as_millis() as u64;
    weights.orders.push(EngineOrderRecord {
        at_ms,
        order: order.clone(),
        accepted,
    });
    if !accepted {
        return false;
    }
    match order.action {
        EngineAction::LoadVersion { version, url, .. } => {
            let generation = weights.begin_load();
            if shared.faults.early_swaps() {
                weights.version = version;
            }
            actix_rt::spawn(load(shared.clone(), generation, version, url));
        }
        EngineAction::LoadAdapter { adapter, url } => {
            let shared = shared.clone();
            actix_rt::spawn(async move {
                if download(&url).await.is_ok() {
                    lock(&shared.weights).adapters.push(adapter);
                }
            });
        }
        EngineAction::SetRole { role } => weights.role = role,
    }
    true
}

async fn load(shared: Arc<Shared>, generation: u64, version: u64, url: Arc<str>) {
    let downloaded = download(&url).await;
    sleep_ms(shared.settings.swap_ms + shared.faults.delay_swaps_ms()).await;
    let result = match downloaded {
        Ok(()) if shared.faults.consume_swap_failure() => Err("the swap failed".to_owned()),
        Ok(()) => Ok(version),
        Err(reason) => Err(reason),
    };
    lock(&shared.weights).end_load(generation, result);
}

/// Downloads a version from the weight store and discards the bytes.
async fn download(url: &str) -> Result<(), String> {
    let url = if url.contains("://") {
        url.to_owned()
    } else {
        format!("http://{url}")
    };
    let request = awc::Client::builder()
        .timeout(DOWNLOAD_TIMEOUT)
        .finish()
        .get(url);
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("the store answered {}", response.status()));
    }
    while let Some(chunk) = response.next().await {
        chunk.map_err(|error| error.to_string())?;
    }
    Ok(())
}
