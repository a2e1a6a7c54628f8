//! Latency that one node adds to a request, compared with direct calls in the same run.

use std::{
    sync::Arc,
    time::Duration, //
};

use flamingoscale::configuration::{
    Service,
    ServiceKind, //
};
use serde_json::json;
use standin::{
    cluster::{
        Cluster,
        ClusterBuilder, //
    },
    server::Host,
    service::ServiceStandin, //
};

use crate::{
    load::{
        closed_loop,
        LoadResult,
        Target, //
    },
    output, //
};

/// Number of endpoints of each service. Each host thread runs only one endpoint of each service, so
/// that the endpoints are not the bottleneck.
const ENDPOINTS_PER_SERVICE: usize = 3;

/// Number of concurrent connections in each round.
const CONNECTIONS: [usize; 5] = [1, 8, 32, 128, 512];

/// Duration of each round.
const ROUND_DURATION: Duration = Duration::from_millis(1_500);

/// One node, the service stand-ins behind it, and the targets for requests to each service.
struct Fixture {
    _cluster: Cluster,
    services: Vec<Arc<ServiceStandin>>,
    non_idempotent_target: Target,
    idempotent_target: Target,
}

fn service(name: &str, idempotent: bool) -> Service {
    Service {
        name: name.into(),
        kind: ServiceKind::Plain,
        idempotent,
        open: false,
        firm_floor: 1,
        ceiling: 8,
        slots: 1_024,
        checks_fencing: true,
    }
}

fn start_fixture() -> std::io::Result<Fixture> {
    let mut builder = ClusterBuilder::default()
        .node("n1", "saiq")
        .traffic_threads(2)
        .organisation("lodges", 1, 0)
        .service(service("once", false))
        .service(service("lookup", true));
    let mut services = Vec::new();
    for number in 0..ENDPOINTS_PER_SERVICE {
        let host = Host::start()?;
        for kind in ["once", "lookup"] {
            let name = format!("{kind}{number}");
            let service = ServiceStandin::start(&host, 0, &*name, 0)?;
            builder = builder.endpoint(&name, kind, "saiq", service.address());
            services.push(service);
        }
    }
    let cluster = builder.start()?;
    let address = cluster.nodes[0].address;
    let key = cluster.keys["lodges"].clone();
    let target = |service: &str| Target {
        url: format!("http://{address}/s/{service}/x").into(),
        key: key.clone(),
    };
    Ok(Fixture {
        non_idempotent_target: target("once"),
        idempotent_target: target("lookup"),
        _cluster: cluster,
        services,
    })
}

pub(crate) fn run(seed: u64) {
    let system = actix_rt::System::new();
    let fixture = match system.block_on(async { start_fixture() }) {
        Ok(fixture) => fixture,
        Err(error) => {
            output::progress(
                "gateway",
                &format!("cannot start the services and the node: {error}"),
            );
            return;
        }
    };
    // The node serves traffic on its own threads; this thread only keeps its accept task running.
    let measuring_thread = std::thread::spawn(move || {
        measure(seed, &fixture);
        fixture
    });
    system.block_on(async {
        while !measuring_thread.is_finished() {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

fn measure(seed: u64, fixture: &Fixture) {
    let direct = Target {
        url: format!("http://{}/x", fixture.services[0].address()).into(),
        key: "".into(),
    };
    std::thread::sleep(Duration::from_millis(500));
    for target in [
        &direct,
        &fixture.non_idempotent_target,
        &fixture.idempotent_target,
    ] {
        closed_loop(target, 8, Duration::from_millis(500));
    }
    let mut measured = serde_json::Map::new();
    let mut baseline = serde_json::Map::new();
    for connections in CONNECTIONS {
        output::progress("gateway", &format!("{connections} connections"));
        let direct_load = closed_loop(&direct, connections, ROUND_DURATION);
        let non_idempotent_load =
            closed_loop(&fixture.non_idempotent_target, connections, ROUND_DURATION);
        let idempotent_load = closed_loop(&fixture.idempotent_target, connections, ROUND_DURATION);
        output::line(
            "gateway",
            seed,
            json!({
                "connections": connections,
                "direct": load_to_json(&direct_load),
                "node": load_to_json(&idempotent_load),
                "node_not_repeatable": load_to_json(&non_idempotent_load),
                "added_p50_us": idempotent_load
                    .quantile_us(0.5)
                    .saturating_sub(direct_load.quantile_us(0.5)),
                "ratio_per_s": idempotent_load.requests_per_s / direct_load.requests_per_s,
            }),
        );
        measured.insert(
            format!("p50_us_{connections}"),
            idempotent_load.quantile_us(0.5).into(),
        );
        measured.insert(
            format!("p99_us_{connections}"),
            idempotent_load.quantile_us(0.99).into(),
        );
        measured.insert(
            format!("per_s_{connections}"),
            idempotent_load.requests_per_s.into(),
        );
        baseline.insert(
            format!("p50_us_{connections}"),
            direct_load.quantile_us(0.5).into(),
        );
        baseline.insert(
            format!("p99_us_{connections}"),
            direct_load.quantile_us(0.99).into(),
        );
        baseline.insert(
            format!("per_s_{connections}"),
            direct_load.requests_per_s.into(),
        );
    }
    output::summary("gateway", seed, measured.into(), baseline.into());
}

fn load_to_json(load: &LoadResult) -> serde_json::Value {
    json!({
        "per_s": load.requests_per_s,
        "p50_us": load.quantile_us(0.5),
        "p99_us": load.quantile_us(0.99),
        "failed": load.failed,
    })
}
