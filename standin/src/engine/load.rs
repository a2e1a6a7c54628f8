//! Weights and the loads that replace them.

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

/// Longest that a load waits for its bytes.
const PULL_LIMIT: Duration = Duration::from_secs(120);

pub(super) struct Loads {
    pub(super) orders: Vec<EngineOrderRecord>,
    pub(super) failed: Option<String>,
    pub(super) swapping: bool,
    pub(super) adapters: Vec<Arc<str>>,
    pub(super) role: Arc<str>,
    version: u64,
    newest_fencing: u64,
    /// Grows with each load and each crash, so that an older load has no effect.
    number: u64,
}

impl Loads {
    pub(super) fn new(version: u64) -> Self {
        Self {
            orders: Vec::new(),
            failed: None,
            swapping: false,
            adapters: Vec::new(),
            role: "both".into(),
            version,
            newest_fencing: 0,
            number: 0,
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn crash(&mut self, version: u64) {
        let orders = std::mem::take(&mut self.orders);
        let number = self.number + 1;
        *self = Self::new(version);
        self.orders = orders;
        self.number = number;
    }

    /// Whether an order is taken, by its fencing number.
    fn admit(&mut self, fencing: u64, checks_fencing: bool) -> bool {
        let taken = !checks_fencing || fencing >= self.newest_fencing;
        self.newest_fencing = self.newest_fencing.max(fencing);
        taken
    }

    fn begin(&mut self) -> u64 {
        self.number += 1;
        self.swapping = true;
        self.failed = None;
        self.number
    }

    fn end(&mut self, number: u64, result: Result<u64, String>) {
        if self.number != number {
            return;
        }
        self.swapping = false;
        match result {
            Ok(version) => self.version = version,
            Err(reason) => self.failed = Some(reason),
        }
    }
}

/// Takes an order; returns whether it was taken. A load goes on in the background.
pub(super) fn take_order(shared: &Arc<Shared>, order: EngineOrder) -> bool {
    let mut loads = lock(&shared.loads);
    let taken = loads.admit(order.fencing, shared.settings.checks_fencing);
    let at_ms = shared.started.elapsed().as_millis() as u64;
    loads.orders.push(EngineOrderRecord {
        at_ms,
        order: order.clone(),
        taken,
    });
    if !taken {
        return false;
    }
    match order.action {
        EngineAction::LoadVersion { version, url, .. } => {
            let number = loads.begin();
            if shared.faults.early_swaps() {
                loads.version = version;
            }
            actix_rt::spawn(load(shared.clone(), number, version, url));
        }
        EngineAction::LoadAdapter { adapter, url } => {
            let shared = shared.clone();
            actix_rt::spawn(async move {
                if pull(&url).await.is_ok() {
                    lock(&shared.loads).adapters.push(adapter);
                }
            });
        }
        EngineAction::SetRole { role } => loads.role = role,
    }
    true
}

async fn load(shared: Arc<Shared>, number: u64, version: u64, url: Arc<str>) {
    let pulled = pull(&url).await;
    sleep_ms(shared.settings.swap_ms + shared.faults.delay_swaps_ms()).await;
    let result = match pulled {
        Ok(()) if shared.faults.take_swap_failure() => Err("the swap failed".to_owned()),
        Ok(()) => Ok(version),
        Err(reason) => Err(reason),
    };
    lock(&shared.loads).end(number, result);
}

/// Reads all bytes of a version from the store.
async fn pull(url: &str) -> Result<(), String> {
    let url = if url.contains("://") {
        url.to_owned()
    } else {
        format!("http://{url}")
    };
    let request = awc::Client::builder().timeout(PULL_LIMIT).finish().get(url);
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("the store answered {}", response.status()));
    }
    while let Some(chunk) = response.next().await {
        chunk.map_err(|error| error.to_string())?;
    }
    Ok(())
}
