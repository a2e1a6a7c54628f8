//! Weight rollouts over HTTP: failed swaps, lost responses, engine crashes, superseded versions and
//! stale fencing numbers.

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

const STORE_BYTES_PER_S: u64 = 50_000_000;
const VERSION_BYTES: u64 = 100_000;
const ENGINES: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(30);

/// A home with three engines that run version 1, and a weight store that holds versions 1 to 4.
struct Fixture {
    home: WeightsHome,
    engines: Vec<Arc<EngineStandin>>,
    store: WeightStore,
}

/// Runs `test` on a new fixture.
fn with_fixture<F: Future<Output = ()>>(test: impl FnOnce(Fixture) -> F) {
    actix_rt::System::new().block_on(async {
        let host = Host::start().expect("the host should start its thread");
        let store = WeightStore::start(&host, 0, STORE_BYTES_PER_S)
            .expect("a stand-in should bind a free port");
        for version in 1..=4 {
            store.put(TRAINER, version, VERSION_BYTES);
        }
        let engines: Vec<Arc<EngineStandin>> = (0..ENGINES)
            .map(|number| {
                let settings = EngineSettings::new(format!("e{number}")).first_version(1);
                let settings = settings.swap_ms(50).status_lag_ms(50);
                settings
                    .start(&host)
                    .expect("a stand-in should bind a free port")
            })
            .collect();
        let home = WeightsHome::start(&engines, store.address(), STORE_BYTES_PER_S);
        test(Fixture {
            home,
            engines,
            store,
        })
        .await;
    });
}

impl Fixture {
    /// Waits until all engines run `version` and serve requests, or panics after `TIMEOUT`.
    async fn wait_for_version(&self, version: u64) {
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            let has_version = |engine: &Arc<EngineStandin>| engine.version() == version;
            if self.engines.iter().all(has_version) && self.home.held() == 0 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        let versions: Vec<u64> = self.engines.iter().map(|e| e.version()).collect();
        panic!(
            "timed out with engines on versions {versions:?}, {} of them held back from requests",
            self.home.held()
        );
    }

    /// Returns the versions of the load orders that an engine has accepted, in order.
    fn accepted_loads(&self, engine: usize) -> Vec<u64> {
        let orders = self.engines[engine].orders().into_iter();
        let accepted = orders.filter(|record| record.accepted);
        accepted
            .filter_map(|record| match record.order.action {
                EngineAction::LoadVersion { version, .. } => Some(version),
                _ => None,
            })
            .collect()
    }
}

#[test]
fn all_engines_load_the_newest_version() {
    with_fixture(|fixture| async move {
        fixture.home.publish(2, VERSION_BYTES);
        fixture.wait_for_version(2).await;
        // With three engines the home swaps one at a time, so that the others keep serving requests.
        assert_eq!(fixture.home.max_held(), 1);
        for engine in 0..ENGINES {
            assert_eq!(fixture.accepted_loads(engine), [2]);
        }
    });
}

#[test]
fn failed_swap_is_detected_and_retried() {
    with_fixture(|fixture| async move {
        fixture.engines[1].inject_fault(&Fault::FailSwaps { count: 1 });
        fixture.home.publish(2, VERSION_BYTES);
        fixture.wait_for_version(2).await;
        assert_eq!(fixture.accepted_loads(1), [2, 2]);
        assert!(fixture.home.event_count("weights.load_failed") >= 1);
    });
}

#[test]
fn order_with_lost_response_is_not_sent_twice() {
    with_fixture(|fixture| async move {
        fixture.engines[0].inject_fault(&Fault::DelaySwaps { delay_ms: 800 });
        fixture.home.publish(2, VERSION_BYTES);
        let started = Instant::now();
        while fixture.accepted_loads(0).is_empty() && started.elapsed() < TIMEOUT {
            fixture.engines[0].inject_fault(&Fault::LoseAnswers { count: 1 });
            sleep(Duration::from_millis(5)).await;
        }
        fixture.wait_for_version(2).await;
        assert_eq!(fixture.accepted_loads(0), [2]);
    });
}

#[test]
fn engine_that_crashes_during_swap_is_ordered_again() {
    with_fixture(|fixture| async move {
        fixture.engines[0].inject_fault(&Fault::DelaySwaps { delay_ms: 1_000 });
        fixture.home.publish(2, VERSION_BYTES);
        let started = Instant::now();
        while fixture.accepted_loads(0).is_empty() && started.elapsed() < TIMEOUT {
            sleep(Duration::from_millis(5)).await;
        }
        fixture.engines[0].inject_fault(&Fault::Crash {
            back_after_ms: Some(200),
        });
        fixture.wait_for_version(2).await;
        assert!(fixture.accepted_loads(0).len() >= 2);
    });
}

#[test]
fn superseded_versions_are_skipped() {
    with_fixture(|fixture| async move {
        fixture.home.publish(2, VERSION_BYTES);
        fixture.home.publish(3, VERSION_BYTES);
        fixture.home.publish(4, VERSION_BYTES);
        fixture.wait_for_version(4).await;
        for engine in 0..ENGINES {
            assert_eq!(fixture.accepted_loads(engine), [4]);
        }
    });
}

#[test]
fn order_with_stale_fencing_number_is_rejected() {
    with_fixture(|fixture| async move {
        fixture.home.publish(3, VERSION_BYTES);
        fixture.wait_for_version(3).await;
        // A home that decided to load version 2 and was then paused resumes and sends its order.
        // The fencing number is the log offset of the version: 102 for version 2, 103 for version 3.
        let stale_order = EngineOrder {
            fencing: 102,
            action: EngineAction::LoadVersion {
                trainer: TRAINER.into(),
                version: 2,
                url: format!(
                    "http://{}/trainers/{TRAINER}/versions/2",
                    fixture.store.address()
                )
                .into(),
            },
        };
        let address = fixture.engines[0].address().to_string();
        let result = HttpEngineControl.order(&address, stale_order).await;
        assert_eq!(result, Err(EngineError::Fenced));
        assert_eq!(fixture.engines[0].version(), 3);
    });
}
