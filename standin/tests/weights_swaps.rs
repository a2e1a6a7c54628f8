//! Weight rollouts over HTTP with engines that fail, fall silent, crash or know better.

use std::{
    future::Future,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::engine::{
    http::HttpEngineControl,
    EngineControl as _,
    EngineError, //
};
use flamingoscale::wire::{
    EngineAction,
    EngineOrder, //
};
use standin::{
    engine::{
        EngineSettings,
        EngineStandin, //
    },
    faults::Fault,
    homes::{
        WeightsHome,
        TRAINER, //
    },
    server::Host,
    weight_store::WeightStore, //
};
use tokio::time::sleep;

const RATE: u64 = 50_000_000;
const BYTES: u64 = 100_000;
const ENGINES: usize = 3;
const LIMIT: Duration = Duration::from_secs(30);

/// A home with engines on version 1, and version 2 in the store.
struct Rig {
    home: WeightsHome,
    engines: Vec<Arc<EngineStandin>>,
    store: WeightStore,
}

fn with_rig<F: Future<Output = ()>>(script: impl FnOnce(Rig) -> F) {
    actix_rt::System::new().block_on(async {
        let host = Host::start().expect("the machine gives a thread");
        let store = WeightStore::start(&host, 0, RATE).expect("a port is free");
        for version in 1..=4 {
            store.put(TRAINER, version, BYTES);
        }
        let engines: Vec<Arc<EngineStandin>> = (0..ENGINES)
            .map(|number| {
                let settings = EngineSettings::new(format!("e{number}")).first_version(1);
                let settings = settings.swap_ms(50).status_lag_ms(50);
                settings.start(&host).expect("a port is free")
            })
            .collect();
        let home = WeightsHome::start(&engines, store.address(), RATE);
        script(Rig {
            home,
            engines,
            store,
        })
        .await;
    });
}

impl Rig {
    async fn all_on(&self, version: u64) {
        let started = Instant::now();
        while started.elapsed() < LIMIT {
            let is_on = |engine: &Arc<EngineStandin>| engine.version() == version;
            if self.engines.iter().all(is_on) && self.home.held() == 0 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        let versions: Vec<u64> = self.engines.iter().map(|e| e.version()).collect();
        panic!("engines are on {versions:?}, {} held", self.home.held());
    }

    fn loads(&self, engine: usize) -> Vec<u64> {
        let orders = self.engines[engine].orders().into_iter();
        let taken = orders.filter(|record| record.accepted);
        taken
            .filter_map(|record| match record.order.action {
                EngineAction::LoadVersion { version, .. } => Some(version),
                _ => None,
            })
            .collect()
    }
}

#[test]
fn all_engines_get_the_newest_version() {
    with_rig(|rig| async move {
        rig.home.publish(2, BYTES);
        rig.all_on(2).await;
        assert_eq!(rig.home.max_held(), 1);
        for engine in 0..ENGINES {
            assert_eq!(rig.loads(engine), [2]);
        }
    });
}

#[test]
fn a_failed_swap_is_read_back_and_tried_again() {
    with_rig(|rig| async move {
        rig.engines[1].inject_fault(&Fault::FailSwaps { count: 1 });
        rig.home.publish(2, BYTES);
        rig.all_on(2).await;
        assert_eq!(rig.loads(1), [2, 2]);
        assert!(rig.home.counted("weights.load_failed") >= 1);
    });
}

#[test]
fn an_order_whose_answer_was_lost_is_not_given_twice() {
    with_rig(|rig| async move {
        rig.engines[0].inject_fault(&Fault::DelaySwaps { delay_ms: 800 });
        rig.home.publish(2, BYTES);
        let started = Instant::now();
        while rig.loads(0).is_empty() && started.elapsed() < LIMIT {
            rig.engines[0].inject_fault(&Fault::LoseAnswers { count: 1 });
            sleep(Duration::from_millis(5)).await;
        }
        rig.all_on(2).await;
        assert_eq!(rig.loads(0), [2]);
    });
}

#[test]
fn an_engine_that_crashes_in_the_swap_is_ordered_again() {
    with_rig(|rig| async move {
        rig.engines[0].inject_fault(&Fault::DelaySwaps { delay_ms: 1_000 });
        rig.home.publish(2, BYTES);
        let started = Instant::now();
        while rig.loads(0).is_empty() && started.elapsed() < LIMIT {
            sleep(Duration::from_millis(5)).await;
        }
        rig.engines[0].inject_fault(&Fault::Crash {
            back_after_ms: Some(200),
        });
        rig.all_on(2).await;
        assert!(rig.loads(0).len() >= 2);
    });
}

#[test]
fn versions_are_skipped_when_a_newer_one_is_there() {
    with_rig(|rig| async move {
        rig.home.publish(2, BYTES);
        rig.home.publish(3, BYTES);
        rig.home.publish(4, BYTES);
        rig.all_on(4).await;
        for engine in 0..ENGINES {
            assert_eq!(rig.loads(engine), [4]);
        }
    });
}

#[test]
fn an_order_of_an_older_decision_is_fenced_off() {
    with_rig(|rig| async move {
        rig.home.publish(3, BYTES);
        rig.all_on(3).await;
        // A home that was paused since version 2 wakes up and gives its order.
        let late = EngineOrder {
            fencing: 102,
            action: EngineAction::LoadVersion {
                trainer: TRAINER.into(),
                version: 2,
                url: format!(
                    "http://{}/trainers/{TRAINER}/versions/2",
                    rig.store.address()
                )
                .into(),
            },
        };
        let address = rig.engines[0].address().to_string();
        let result = HttpEngineControl.order(&address, late).await;
        assert_eq!(result, Err(EngineError::Fenced));
        assert_eq!(rig.engines[0].version(), 3);
    });
}
