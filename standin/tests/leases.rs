//! Lease takeover with real instances over sockets: the holder of both leases crashes and responses
//! are lost. The platform stand-in checks that no order or usage report carries a stale fencing
//! number and that each usage figure is billed once.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::{
    configuration::{
        Configuration,
        FailureDomain,
        Organisation,
        Service,
        ServiceKind,
        Tolerances, //
    },
    daemon::Daemon,
    record::Record,
    settings::SettingsBuilder,
    wire::{
        EndpointPhase,
        ListedInstance, //
    }, //
};
use standin::{
    faults::Fault,
    platform::{
        Platform,
        PlatformSettings,
        StartedEndpoint, //
    },
    server::Host, //
};

/// Time limit for each condition, long enough for a takeover on a busy machine. A passing run needs
/// far less.
const TIMEOUT: Duration = Duration::from_secs(90);

const FAILURE_DOMAINS: [&str; 3] = ["saiq", "shams", "nizwa"];

/// Endpoints that the service needs: its floor of two, and one more so that the floor holds after
/// the loss of one of the three failure domains.
const EXPECTED_ENDPOINTS: usize = 3;

/// An endpoint that the platform lists, but without a server behind its address.
struct StubEndpoint(SocketAddr);

impl StartedEndpoint for StubEndpoint {
    fn address(&self) -> SocketAddr {
        self.0
    }

    fn reclaim(&self, _notice_ms: u64) {}

    fn stop(&self) {}
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn configuration() -> Configuration {
    Configuration {
        services: vec![Service {
            name: "lookup".into(),
            kind: ServiceKind::Plain,
            idempotent: true,
            open: false,
            firm_floor: 2,
            ceiling: 6,
            slots: 8,
            checks_fencing: true,
        }],
        organisations: vec![Organisation {
            name: "lodges".into(),
            weight: 1,
            tokens_per_s: 0,
        }],
        failure_domains: FAILURE_DOMAINS
            .map(|name| FailureDomain {
                name: name.into(),
                region: "hajar".into(),
            })
            .to_vec(),
        tolerances: Tolerances {
            lease_ms: 2_000,
            usage_window_ms: 500,
            ..Tolerances::default()
        },
        ..Configuration::default()
    }
}

/// Polls `condition` until it returns true, or panics after `TIMEOUT`.
fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out waiting until {description}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn start_instance(platform: &Platform, number: usize, seed: Option<SocketAddr>) -> Daemon {
    let domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()];
    let mut settings = SettingsBuilder::new(
        format!("n{number}"),
        domain,
        platform.address(),
        unused_address(),
    )
    .operator_token("0123456789abcdef");
    if let Some(seed) = seed {
        settings = settings.seed(seed);
    }
    let daemon = Daemon::start(settings.build()).expect("the instance should start");
    platform.list_instance(ListedInstance {
        instance: daemon.instance().id().clone(),
        peer_address: daemon.peer_address().to_string().into(),
        failure_domain: domain.into(),
        leaving: false,
    });
    daemon
}

fn configure(daemon: &Daemon) {
    let instance = daemon.instance().clone();
    wait_until("the configuration is accepted", || {
        if instance.view.load().revision > 0 {
            return true;
        }
        let Some(control) = instance.control() else {
            return false;
        };
        let record = Record::Configuration {
            base_revision: 0,
            text: "".into(),
            configuration: Arc::new(configuration()),
        };
        futures::executor::block_on(control.submit(record)).is_ok()
    });
}

fn acquired_lease(daemon: &Daemon, lease: &str) -> bool {
    let events = daemon.instance().timeline.events_after(0);
    events.iter().any(|event| {
        let names_lease = event.fields.iter().any(|(_, value)| value == lease);
        &*event.kind == "lease.taken" && names_lease
    })
}

fn running_endpoints(platform: &Platform) -> usize {
    let endpoints = platform.endpoints();
    let running = endpoints.iter();
    let running = running.filter(|endpoint| endpoint.phase != EndpointPhase::Leaving);
    running.count()
}

fn billed_tokens(platform: &Platform) -> u64 {
    let reports = platform.billed_reports();
    let figures = reports.iter().flat_map(|report| report.figures.values());
    figures.map(|figures| figures.tokens).sum()
}

#[test]
fn successor_takes_over_both_leases_after_holder_crash() {
    let host = Host::start().expect("the host should start its thread");
    let platform = PlatformSettings::default()
        .start(&host)
        .expect("the platform should start");
    platform.set_starter(Box::new(|_| Some(Arc::new(StubEndpoint(unused_address())))));
    let first = start_instance(&platform, 0, None);
    let seed = first.peer_address();
    let mut daemons = vec![first];
    daemons.extend(
        (1..FAILURE_DOMAINS.len()).map(|number| start_instance(&platform, number, Some(seed))),
    );
    configure(&daemons[0]);
    wait_until("the expected endpoints run", || {
        running_endpoints(&platform) == EXPECTED_ENDPOINTS
    });
    wait_until("all instances list the endpoints", || {
        let views = daemons.iter().map(|daemon| daemon.instance().view.load());
        views.map(|view| view.endpoints.endpoints.len()).min() == Some(EXPECTED_ENDPOINTS)
    });

    for daemon in &daemons {
        daemon.instance().usage.add(&"lodges".into(), 100);
    }
    wait_until("the usage before the crash is billed", || {
        billed_tokens(&platform) == 300
    });

    let holder = daemons
        .iter()
        .position(|daemon| acquired_lease(daemon, "orders/everywhere"));
    daemons
        .remove(holder.expect("an instance should hold the order lease"))
        .kill();
    // The platform loses its next 10 responses, and it reclaims one endpoint.
    platform.inject_fault(&Fault::LoseAnswers { count: 10 });
    let reclaimed = platform.endpoints()[0].endpoint.clone();
    platform.reclaim(&reclaimed, 100);
    for daemon in &daemons {
        daemon.instance().usage.add(&"lodges".into(), 1_000);
    }
    wait_until("a successor acquires the order lease", || {
        daemons
            .iter()
            .any(|daemon| acquired_lease(daemon, "orders/everywhere"))
    });
    wait_until("the endpoint is replaced", || {
        let endpoints = platform.endpoints();
        let removed = endpoints
            .iter()
            .all(|endpoint| endpoint.endpoint != reclaimed);
        removed && running_endpoints(&platform) == EXPECTED_ENDPOINTS
    });
    wait_until("the usage after the crash is billed", || {
        billed_tokens(&platform) == 2_300
    });

    // A draining instance writes its usage to the log before it exits.
    let leaving = daemons.remove(0);
    leaving.instance().usage.add(&"lodges".into(), 10_000);
    leaving.drain(30_000);
    wait_until("the usage of the drained instance is billed", || {
        billed_tokens(&platform) == 12_300
    });

    assert_eq!(platform.stale_fencing_orders(), 0);
    assert_eq!(platform.stale_fencing_reports(), 0);
    assert_eq!(platform.usage_conflicts(), 0);
    for daemon in daemons {
        daemon.kill();
    }
}
