//! What one node adds to a request, against a direct call in the same run.

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
        Load,
        Target, //
    },
    output, //
};

/// Plain services behind the node, each on a thread of its own, so that they are not the limit.
const ENDPOINTS: usize = 3;

/// Connections of each round.
const CONNECTIONS: [usize; 5] = [1, 8, 32, 128, 512];

/// Length of each round.
const ROUND: Duration = Duration::from_millis(1_500);

struct Bed {
    _cluster: Cluster,
    services: Vec<Arc<ServiceStandin>>,
    node: Target,
    repeatable: Target,
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

fn start() -> std::io::Result<Bed> {
    let mut builder = ClusterBuilder::default()
        .node("n1", "saiq")
        .traffic_threads(2)
        .organisation("lodges", 1, 0)
        .service(service("once", false))
        .service(service("lookup", true));
    let mut services = Vec::new();
    for number in 0..ENDPOINTS {
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
    Ok(Bed {
        node: target("once"),
        repeatable: target("lookup"),
        _cluster: cluster,
        services,
    })
}

pub(crate) fn run(seed: u64) {
    let system = actix_rt::System::new();
    let bed = match system.block_on(async { start() }) {
        Ok(bed) => bed,
        Err(error) => {
            output::progress("gateway", &format!("no ports: {error}"));
            return;
        }
    };
    // The node's threads are its own; this one only has to keep its accepting task alive.
    let measuring = std::thread::spawn(move || {
        measure(seed, &bed);
        bed
    });
    system.block_on(async {
        while !measuring.is_finished() {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

fn measure(seed: u64, bed: &Bed) {
    let direct = Target {
        url: format!("http://{}/x", bed.services[0].address()).into(),
        key: "".into(),
    };
    std::thread::sleep(Duration::from_millis(500));
    for target in [&direct, &bed.node, &bed.repeatable] {
        closed_loop(target, 8, Duration::from_millis(500));
    }
    let mut own = serde_json::Map::new();
    let mut base = serde_json::Map::new();
    for connections in CONNECTIONS {
        output::progress("gateway", &format!("{connections} connections"));
        let straight = closed_loop(&direct, connections, ROUND);
        let once = closed_loop(&bed.node, connections, ROUND);
        let repeatable = closed_loop(&bed.repeatable, connections, ROUND);
        output::line(
            "gateway",
            seed,
            json!({
                "connections": connections,
                "direct": figures(&straight),
                "node": figures(&repeatable),
                "node_not_repeatable": figures(&once),
                "added_p50_us": repeatable.us(0.5).saturating_sub(straight.us(0.5)),
                "ratio_per_s": repeatable.per_s / straight.per_s,
            }),
        );
        own.insert(format!("p50_us_{connections}"), repeatable.us(0.5).into());
        own.insert(format!("p99_us_{connections}"), repeatable.us(0.99).into());
        own.insert(format!("per_s_{connections}"), repeatable.per_s.into());
        base.insert(format!("p50_us_{connections}"), straight.us(0.5).into());
        base.insert(format!("p99_us_{connections}"), straight.us(0.99).into());
        base.insert(format!("per_s_{connections}"), straight.per_s.into());
    }
    output::summary("gateway", seed, own.into(), base.into());
}

fn figures(load: &Load) -> serde_json::Value {
    json!({
        "per_s": load.per_s,
        "p50_us": load.us(0.5),
        "p99_us": load.us(0.99),
        "failed": load.failed,
    })
}
