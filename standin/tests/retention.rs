//! State survives after the log records that created it have expired: real daemons on a platform
//! with a short log retention.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::{
    daemon::Daemon,
    questionnaire,
    record::Record,
    settings::SettingsBuilder, //
};
use futures::executor::block_on;
use standin::{
    platform::{
        Platform,
        PlatformSettings, //
    },
    server::Host, //
};

/// Time for which the platform retains a log record.
const RETENTION_MS: u64 = 12_000;

/// Time limit for each condition that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(60);

const OPERATOR_TOKEN: &str = "a-long-operator-token";

fn start_daemon(name: &str, platform: &Platform, seed: Option<SocketAddr>) -> Daemon {
    let address = platform.address();
    let mut settings = SettingsBuilder::new(name, "west", address, address)
        .operator_token(OPERATOR_TOKEN)
        .traffic_threads(1);
    if let Some(seed) = seed {
        settings = settings.seed(seed);
    }
    Daemon::start(settings.build()).expect("the daemon should bind free ports")
}

/// Polls `condition` until it returns true, or panics after `TIMEOUT`.
fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out waiting until {description}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn revision(daemon: &Daemon) -> u64 {
    daemon.instance().view.load().revision
}

fn configure(daemon: &Daemon) -> u64 {
    let text = questionnaire::template();
    let configuration = questionnaire::generate(text).expect("the template should be valid");
    let record = Record::Configuration {
        base_revision: 0,
        text: text.into(),
        configuration: configuration.into(),
    };
    let control = daemon
        .instance()
        .control()
        .expect("the daemon should have started");
    block_on(control.submit(record))
        .expect("no concurrent submission should change the configuration")
}

#[test]
fn configuration_is_restored_from_snapshot_after_its_record_expired_and_all_instances_stopped() {
    let host = Host::start().expect("the host should start its thread");
    let platform = PlatformSettings::default().retention_ms(RETENTION_MS);
    let platform = platform
        .start(&host)
        .expect("the platform should bind a free port");
    let first = start_daemon("n0", &platform, None);
    let second = start_daemon("n1", &platform, Some(first.peer_address()));
    let expected_revision = configure(&first);
    let configured = Instant::now();
    wait_until("both instances apply the configuration", || {
        revision(&first) == expected_revision && revision(&second) == expected_revision
    });
    let retention = Duration::from_millis(RETENTION_MS + 1_000);
    std::thread::sleep(retention.saturating_sub(configured.elapsed()));
    first.kill();
    second.kill();
    let third = start_daemon("n2", &platform, None);
    wait_until("the third instance has restored the configuration", || {
        revision(&third) == expected_revision
    });
    let view = third.instance().view.load();
    assert!(view.configuration.service("drafting").is_some());
    assert_eq!(
        third.instance().metrics.event_count("snapshot.installed"),
        1
    );
    assert_eq!(third.instance().metrics.event_count("log.state_lost"), 0);
    third.kill();
}
