//! Time for a version to be on all engines, against what the store's rate allows.
//!
//! The real controller orders stand-in engines over HTTP; the store gives its bytes at one rate
//! to all readers together. The baseline orders all engines at once.

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

/// Bytes a second that the store gives.
const STORE_BYTES_PER_S: u64 = 20_000_000;

/// Bytes of all engines' weights together, whatever their number.
const ALL_BYTES: u64 = 100_000_000;

/// Time that an engine needs beside the transfer.
const SWAP_MS: u64 = 100;

/// Sizes of fleets.
const FLEETS: [u64; 2] = [9, 120];

/// Time after which a run counts as failed.
const LIMIT: Duration = Duration::from_secs(60);

/// What one rollout of a version came to.
struct Figures {
    all_on_ms: Option<u64>,
    most_out: usize,
    out_engine_ms: u64,
}

pub(crate) fn run(seed: u64) {
    let mut own = json!({});
    let mut baseline = json!({});
    for engines in FLEETS {
        let limit_ms = ALL_BYTES * 1_000 / STORE_BYTES_PER_S;
        output::progress(NAME, &format!("{engines} engines, in turn"));
        let in_turn = measure(engines, false);
        output::progress(NAME, &format!("{engines} engines, all at once"));
        let at_once = measure(engines, true);
        for (policy, figures) in [("in turn", &in_turn), ("all at once", &at_once)] {
            output::line(NAME, seed, figures.to_json(policy, engines, limit_ms));
        }
        in_turn.add_to(&mut own, engines, limit_ms);
        at_once.add_to(&mut baseline, engines, limit_ms);
    }
    output::summary(NAME, seed, own, baseline);
}

impl Figures {
    fn to_json(&self, policy: &str, engines: u64, limit_ms: u64) -> Value {
        json!({
            "policy": policy,
            "engines": engines,
            "all_on_ms": self.all_on_ms,
            "store_limit_ms": limit_ms,
            "most_engines_out": self.most_out,
            "out_ms_per_engine": self.out_engine_ms / engines,
        })
    }

    fn add_to(&self, figures: &mut Value, engines: u64, limit_ms: u64) {
        let over_limit = self.all_on_ms.map(|ms| ms as f64 / limit_ms as f64);
        figures[format!("all_on_over_limit_{engines}")] = json!(over_limit);
        figures[format!("most_engines_out_{engines}")] = json!(self.most_out);
        figures[format!("out_ms_per_engine_{engines}")] = json!(self.out_engine_ms / engines);
    }
}

fn measure(engines: u64, at_once: bool) -> Figures {
    actix_rt::System::new().block_on(async move {
        let host = Host::start().expect("the machine gives a thread");
        let store = WeightStore::start(&host, 0, STORE_BYTES_PER_S).expect("a port is free");
        let bytes = ALL_BYTES / engines;
        store.put(TRAINER, 1, bytes);
        store.put(TRAINER, 2, bytes);
        let fleet: Vec<Arc<EngineStandin>> = (0..engines)
            .map(|number| {
                let settings = EngineSettings::new(format!("e{number}"));
                let settings = settings.first_version(1).swap_ms(SWAP_MS);
                settings.start(&host).expect("a port is free")
            })
            .collect();
        if at_once {
            order_all(&fleet, &store, bytes).await
        } else {
            in_turn(&fleet, &store, bytes).await
        }
    })
}

async fn in_turn(fleet: &[Arc<EngineStandin>], store: &WeightStore, bytes: u64) -> Figures {
    let home = WeightsHome::start(fleet, store.address(), STORE_BYTES_PER_S);
    home.publish(1, bytes);
    sleep(Duration::from_millis(1_000)).await;
    home.publish(2, bytes);
    let watched = watch(fleet, || home.held()).await;
    Figures {
        most_out: home.max_held(),
        ..watched
    }
}

async fn order_all(fleet: &[Arc<EngineStandin>], store: &WeightStore, _bytes: u64) -> Figures {
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
    let behind = || fleet.iter().filter(|engine| engine.version() < 2).count();
    let watched = watch(fleet, behind).await;
    Figures {
        most_out: fleet.len(),
        ..watched
    }
}

/// Watches until all engines have the version, adding up the time that engines are out.
async fn watch(fleet: &[Arc<EngineStandin>], out: impl Fn() -> usize) -> Figures {
    const LOOK_MS: u64 = 10;
    let started = Instant::now();
    let mut out_engine_ms = 0;
    let mut looked = Instant::now();
    while started.elapsed() < LIMIT {
        if fleet.iter().all(|engine| engine.version() >= 2) {
            return Figures {
                all_on_ms: Some(started.elapsed().as_millis() as u64),
                most_out: 0,
                out_engine_ms,
            };
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
        out_engine_ms += out() as u64 * looked.elapsed().as_millis() as u64;
        looked = Instant::now();
    }
    Figures {
        all_on_ms: None,
        most_out: 0,
        out_engine_ms,
    }
}
