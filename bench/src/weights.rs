//! Time until all engines have loaded a new weight version, compared with the minimum that the
//! bandwidth of the weight store allows.
//!
//! The real controller sends orders to stand-in engines over HTTP. All readers of the store share
//! its bandwidth. The baseline sends the order to all engines at once.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::{
    engine::{
        http::HttpEngineControl,
        EngineControl as _, //
    },
    wire::{
        EngineAction,
        EngineOrder, //
    }, //
};
use serde_json::{
    json,
    Value, //
};
use standin::{
    engine::{
        EngineSettings,
        EngineStandin, //
    },
    homes::{
        WeightsHome,
        TRAINER, //
    },
    server::Host,
    weight_store::WeightStore, //
};
use tokio::time::sleep;

use crate::output;

const NAME: &str = "weights";

/// Bandwidth of the weight store, shared by all readers.
const STORE_BYTES_PER_S: u64 = 20_000_000;

/// Size of the weights of all engines together, independent of the number of engines.
const TOTAL_WEIGHT_BYTES: u64 = 100_000_000;

/// Time that an engine needs to swap weights, in addition to the transfer.
const SWAP_MS: u64 = 100;

/// Number of engines in each measurement.
const FLEET_SIZES: [u64; 2] = [9, 120];

/// Time after which a weight update counts as failed.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Measurements of one weight update across the fleet.
struct Figures {
    /// Time until all engines have loaded the new version, or `None` if `TIMEOUT` passed before.
    all_updated_ms: Option<u64>,
    /// Maximum number of engines that were out of service at the same time.
    max_engines_out: usize,
    /// Time out of service, summed over all engines.
    engine_downtime_ms: u64,
}

pub(crate) fn run(seed: u64) {
    let mut measured = json!({});
    let mut baseline = json!({});
    for engines in FLEET_SIZES {
        let store_limit_ms = TOTAL_WEIGHT_BYTES * 1_000 / STORE_BYTES_PER_S;
        output::progress(NAME, &format!("{engines} engines, rolling update"));
        let rolling = measure(engines, false);
        output::progress(NAME, &format!("{engines} engines, all at once"));
        let at_once = measure(engines, true);
        for (policy, figures) in [("in turn", &rolling), ("all at once", &at_once)] {
            output::line(NAME, seed, figures.to_json(policy, engines, store_limit_ms));
        }
        rolling.add_to_summary(&mut measured, engines, store_limit_ms);
        at_once.add_to_summary(&mut baseline, engines, store_limit_ms);
    }
    output::summary(NAME, seed, measured, baseline);
}

impl Figures {
    fn to_json(&self, policy: &str, engines: u64, store_limit_ms: u64) -> Value {
        json!({
            "policy": policy,
            "engines": engines,
            "all_on_ms": self.all_updated_ms,
            "store_limit_ms": store_limit_ms,
            "most_engines_out": self.max_engines_out,
            "out_ms_per_engine": self.engine_downtime_ms / engines,
        })
    }

    fn add_to_summary(&self, figures: &mut Value, engines: u64, store_limit_ms: u64) {
        let limit_ratio = self
            .all_updated_ms
            .map(|ms| ms as f64 / store_limit_ms as f64);
        figures[format!("all_on_over_limit_{engines}")] = json!(limit_ratio);
        figures[format!("most_engines_out_{engines}")] = json!(self.max_engines_out);
        figures[format!("out_ms_per_engine_{engines}")] = json!(self.engine_downtime_ms / engines);
    }
}

fn measure(engines: u64, at_once: bool) -> Figures {
    actix_rt::System::new().block_on(async move {
        let host = Host::start().expect("the host thread starts");
        let store = WeightStore::start(&host, 0, STORE_BYTES_PER_S).expect("a port is free");
        let bytes_per_engine = TOTAL_WEIGHT_BYTES / engines;
        store.put(TRAINER, 1, bytes_per_engine);
        store.put(TRAINER, 2, bytes_per_engine);
        let fleet: Vec<Arc<EngineStandin>> = (0..engines)
            .map(|number| {
                let settings = EngineSettings::new(format!("e{number}"));
                let settings = settings.first_version(1).swap_ms(SWAP_MS);
                settings.start(&host).expect("a port is free")
            })
            .collect();
        if at_once {
            update_all_at_once(&fleet, &store, bytes_per_engine).await
        } else {
            rolling_update(&fleet, &store, bytes_per_engine).await
        }
    })
}

/// Lets the weights controller update the fleet to version 2.
async fn rolling_update(
    fleet: &[Arc<EngineStandin>],
    store: &WeightStore,
    bytes_per_engine: u64,
) -> Figures {
    let home = WeightsHome::start(fleet, store.address(), STORE_BYTES_PER_S);
    home.publish(1, bytes_per_engine);
    sleep(Duration::from_millis(1_000)).await;
    home.publish(2, bytes_per_engine);
    let figures = wait_until_updated(fleet, || home.held()).await;
    Figures {
        max_engines_out: home.max_held(),
        ..figures
    }
}

/// The baseline: sends the order to load version 2 to all engines at once.
async fn update_all_at_once(
    fleet: &[Arc<EngineStandin>],
    store: &WeightStore,
    _bytes: u64,
) -> Figures {
    let url: Arc<str> = format!("http://{}/trainers/{TRAINER}/versions/2", store.address()).into();
    for engine in fleet {
        let order = EngineOrder {
            fencing: 1,
            action: EngineAction::LoadVersion {
                trainer: TRAINER.into(),
                version: 2,
                url: url.clone(),
            },
        };
        let address = engine.address().to_string();
        actix_rt::spawn(async move { HttpEngineControl.order(&address, order).await });
    }
    let engines_behind = || fleet.iter().filter(|engine| engine.version() < 2).count();
    let figures = wait_until_updated(fleet, engines_behind).await;
    Figures {
        max_engines_out: fleet.len(),
        ..figures
    }
}

/// Waits until all engines have loaded version 2, and adds up the time that engines are out of
/// service. `max_engines_out` is left to the caller.
async fn wait_until_updated(
    fleet: &[Arc<EngineStandin>],
    engines_out: impl Fn() -> usize,
) -> Figures {
    const POLL_INTERVAL_MS: u64 = 10;
    let started = Instant::now();
    let mut engine_downtime_ms = 0;
    let mut polled_at = Instant::now();
    while started.elapsed() < TIMEOUT {
        if fleet.iter().all(|engine| engine.version() >= 2) {
            return Figures {
                all_updated_ms: Some(started.elapsed().as_millis() as u64),
                max_engines_out: 0,
                engine_downtime_ms,
            };
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        engine_downtime_ms += engines_out() as u64 * polled_at.elapsed().as_millis() as u64;
        polled_at = Instant::now();
    }
    Figures {
        all_updated_ms: None,
        max_engines_out: 0,
        engine_downtime_ms,
    }
}
