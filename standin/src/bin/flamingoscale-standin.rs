//! Runs the stand-ins as a standalone process, for daemons that are started separately.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use bpaf::{
    construct,
    long,
    OptionParser,
    Parser, //
};
use flamingoscale::wire::{
    EndpointPhase,
    ListedInstance,
    PlatformEndpoint,
    Tier, //
};
use standin::{
    engine::EngineSettings,
    platform::{
        Platform,
        PlatformSettings,
        StartedEndpoint, //
    },
    server::Host,
    service::ServiceStandin,
    weight_store::WeightStore, //
};

#[derive(Clone, Debug)]
struct Options {
    platform_port: u16,
    store_port: u16,
    store_bytes_per_s: u64,
    engines: Vec<EndpointSpec>,
    services: Vec<EndpointSpec>,
    instances: Vec<InstanceSpec>,
    tokens_per_s: f64,
}

/// An endpoint to start, written as `SERVICE@FAILURE_DOMAIN`.
#[derive(Clone, Debug)]
struct EndpointSpec {
    service: Arc<str>,
    failure_domain: Arc<str>,
}

/// An instance to list, written as `INSTANCE@FAILURE_DOMAIN=IP:PORT`.
#[derive(Clone, Debug)]
struct InstanceSpec(ListedInstance);

impl std::str::FromStr for EndpointSpec {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.split_once('@');
        let (service, failure_domain) = parts.ok_or("expected SERVICE@FAILURE_DOMAIN")?;
        Ok(Self {
            service: service.into(),
            failure_domain: failure_domain.into(),
        })
    }
}

impl std::str::FromStr for InstanceSpec {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let expected_format = "expected INSTANCE@FAILURE_DOMAIN=IP:PORT";
        let (name, address) = text.split_once('=').ok_or(expected_format)?;
        let (instance, failure_domain) = name.split_once('@').ok_or(expected_format)?;
        let address: SocketAddr = address.parse().map_err(|_| expected_format)?;
        Ok(Self(ListedInstance {
            instance: instance.into(),
            peer_address: address.to_string().into(),
            failure_domain: failure_domain.into(),
            leaving: false,
        }))
    }
}

fn options() -> OptionParser<Options> {
    let platform_port = long("platform-port")
        .help("Port of the platform on loopback; 0 lets the kernel choose")
        .argument::<u16>("PORT")
        .fallback(7300);
    let store_port = long("store-port")
        .help("Port of the weight store on loopback; 0 lets the kernel choose")
        .argument::<u16>("PORT")
        .fallback(7301);
    let store_bytes_per_s = long("store-bytes-per-s")
        .help("Bandwidth of the weight store for all readers together, in bytes per second")
        .argument::<u64>("BYTES")
        .fallback(100_000_000);
    let engines = long("engine")
        .help("Starts an engine; may be repeated")
        .argument::<EndpointSpec>("SERVICE@FAILURE_DOMAIN")
        .many();
    let services = long("service")
        .help(
            "Starts a plain service; may be repeated. \
               Ordered endpoints are plain if their service starts with `plain-` or is named here",
        )
        .argument::<EndpointSpec>("SERVICE@FAILURE_DOMAIN")
        .many();
    let instances = long("instance")
        .help("Adds an instance with its peer address to the platform's instance list; may be repeated")
        .argument::<InstanceSpec>("INSTANCE@FAILURE_DOMAIN=IP:PORT")
        .many();
    let tokens_per_s = long("tokens-per-s")
        .help("Generation rate of each request, in tokens per second")
        .argument::<f64>("TOKENS")
        .fallback(200.0);
    construct!(Options {
        platform_port,
        store_port,
        store_bytes_per_s,
        engines,
        services,
        instances,
        tokens_per_s,
    })
    .to_options()
    .descr("Stand-ins for the platform, the weight store, engines and plain services")
    .footer("Faults: curl -H 'content-type: application/json' -d '{\"outage\":{\"for_ms\":5000}}' http://127.0.0.1:7300/fault")
}

fn main() -> std::io::Result<()> {
    let options = options().run();
    let host = Host::start()?;
    let platform = PlatformSettings::default()
        .port(options.platform_port)
        .start(&host)?;
    let store = WeightStore::start(&host, options.store_port, options.store_bytes_per_s)?;
    println!("platform {}", platform.address());
    println!("weight store {}", store.address());
    for (number, spec) in options.engines.iter().enumerate() {
        let listed = initial_endpoint(spec, number);
        let engine = start_engine(&host, &listed, options.tokens_per_s)?;
        add_endpoint(&platform, listed, engine);
    }
    for (number, spec) in options.services.iter().enumerate() {
        let listed = initial_endpoint(spec, number);
        let service = ServiceStandin::start(&host, 0, listed.endpoint.clone(), 20)?;
        add_endpoint(&platform, listed, service);
    }
    for instance in &options.instances {
        platform.list_instance(instance.0.clone());
    }
    start_on_order(&host, &platform, &options);
    loop {
        std::thread::park();
    }
}

fn initial_endpoint(spec: &EndpointSpec, number: usize) -> PlatformEndpoint {
    let (service, failure_domain) = (&spec.service, &spec.failure_domain);
    PlatformEndpoint {
        endpoint: format!("{service}-{failure_domain}-first-{number}").into(),
        service: service.clone(),
        failure_domain: failure_domain.clone(),
        address: "".into(),
        tier: Tier::Firm,
        phase: EndpointPhase::Running,
        order: 0,
    }
}

fn start_engine(
    host: &Host,
    listed: &PlatformEndpoint,
    tokens_per_s: f64,
) -> std::io::Result<Arc<dyn StartedEndpoint>> {
    let settings = EngineSettings::new(listed.endpoint.clone()).tokens_per_s(tokens_per_s);
    let engine: Arc<dyn StartedEndpoint> = settings.start(host)?;
    Ok(engine)
}

fn add_endpoint(
    platform: &Platform,
    mut listed: PlatformEndpoint,
    started: Arc<dyn StartedEndpoint>,
) {
    listed.address = started.address().to_string().into();
    println!("endpoint {} {}", listed.endpoint, listed.address);
    platform.add_endpoint(listed, started);
}

/// Makes the platform start a stand-in for each endpoint that is ordered.
fn start_on_order(host: &Host, platform: &Platform, options: &Options) {
    let plain_services: Vec<Arc<str>> = options
        .services
        .iter()
        .map(|spec| spec.service.clone())
        .collect();
    let (host, tokens_per_s) = (host.clone(), options.tokens_per_s);
    platform.set_starter(Box::new(move |listed| {
        let is_plain =
            plain_services.contains(&listed.service) || listed.service.starts_with("plain-");
        let started: Arc<dyn StartedEndpoint> = if is_plain {
            ServiceStandin::start(&host, 0, listed.endpoint.clone(), 20).ok()?
        } else {
            start_engine(&host, listed, tokens_per_s).ok()?
        };
        println!("endpoint {} {}", listed.endpoint, started.address());
        Some(started)
    }));
}
