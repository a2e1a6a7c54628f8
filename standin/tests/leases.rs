//! Real instances over sockets: the holder of both leases dies, answers are lost, and the
//! platform is the judge of who gave orders and what was reported.

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

/// Long enough for a takeover on a busy machine; nothing waits this long when it works.
const WAIT: Duration = Duration::from_secs(90);

const DOMAINS: [&str; 3] = ["saiq", "shams", "nizwa"];

/// Of a floor of two over three failure domains one more is needed to survive a loss.
const ENDPOINTS: usize = 3;

/// An endpoint of which only the platform knows.
struct Listed(SocketAddr);

impl StartedEndpoint for Listed {
    fn address(&self) -> SocketAddr {
        self.0
    }

    fn reclaim(&self, _notice_ms: u64) {}

    fn stop(&self) {}
}

fn nowhere() -> SocketAddr {
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
        failure_domains: DOMAINS
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

/// Tries until it holds.
fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn start(platform: &Platform, number: usize, seed: Option<SocketAddr>) -> Daemon {
    let domain = DOMAINS[number % DOMAINS.len()];
    let mut settings =
        SettingsBuilder::new(format!("n{number}"), domain, platform.address(), nowhere())
            .operator_token("0123456789abcdef");
    if let Some(seed) = seed {
        settings = settings.seed(seed);
    }
    let daemon = Daemon::start(settings.build()).expect("an instance starts");
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
    eventually("the configuration is accepted", || {
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

fn took_lease(daemon: &Daemon, lease: &str) -> bool {
    let events = daemon.instance().timeline.events_after(0);
    events.iter().any(|event| {
        let named = event.fields.iter().any(|(_, value)| value == lease);
        &*event.kind == "lease.taken" && named
    })
}

fn running(platform: &Platform) -> usize {
    let endpoints = platform.endpoints();
    let there = endpoints.iter();
    let there = there.filter(|endpoint| endpoint.phase != EndpointPhase::Leaving);
    there.count()
}

fn billed(platform: &Platform) -> u64 {
    let reports = platform.billed();
    let figures = reports.iter().flat_map(|report| report.figures.values());
    figures.map(|figures| figures.tokens).sum()
}

#[test]
fn the_holder_dies_and_its_successor_goes_on() {
    let host = Host::start().expect("a host starts");
    let platform = PlatformSettings::default()
        .start(&host)
        .expect("a platform starts");
    platform.set_starter(Box::new(|_| Some(Arc::new(Listed(nowhere())))));
    let first = start(&platform, 0, None);
    let seed = first.peer_address();
    let mut daemons = vec![first];
    daemons.extend((1..DOMAINS.len()).map(|number| start(&platform, number, Some(seed))));
    configure(&daemons[0]);
    eventually("the floor is there", || running(&platform) == ENDPOINTS);
    eventually("all instances know the endpoints", || {
        let views = daemons.iter().map(|daemon| daemon.instance().view.load());
        views.map(|view| view.endpoints.endpoints.len()).min() == Some(ENDPOINTS)
    });

    for daemon in &daemons {
        daemon.instance().usage.add(&"lodges".into(), 100);
    }
    eventually("the first counts are billed", || billed(&platform) == 300);

    let holder = daemons
        .iter()
        .position(|daemon| took_lease(daemon, "orders/everywhere"));
    daemons.remove(holder.expect("somebody ordered")).kill();
    // Answers are lost from here on, and an endpoint is taken back.
    platform.inject_fault(&Fault::LoseAnswers { count: 10 });
    let reclaimed = platform.endpoints()[0].endpoint.clone();
    platform.reclaim(&reclaimed, 100);
    for daemon in &daemons {
        daemon.instance().usage.add(&"lodges".into(), 1_000);
    }
    eventually("a successor takes over", || {
        daemons
            .iter()
            .any(|daemon| took_lease(daemon, "orders/everywhere"))
    });
    eventually("the endpoint is replaced", || {
        let there = platform.endpoints();
        let gone = there.iter().all(|there| there.endpoint != reclaimed);
        gone && running(&platform) == ENDPOINTS
    });
    eventually("the later counts are billed", || billed(&platform) == 2_300);

    // What a leaving instance counted is in the log before it goes.
    let leaving = daemons.remove(0);
    leaving.instance().usage.add(&"lodges".into(), 10_000);
    leaving.drain(30_000);
    eventually("the last counts are billed", || billed(&platform) == 12_300);

    assert_eq!(platform.stale_fencing_orders(), 0);
    assert_eq!(platform.stale_fencing_reports(), 0);
    assert_eq!(platform.usage_conflicts(), 0);
    for daemon in daemons {
        daemon.kill();
    }
}
