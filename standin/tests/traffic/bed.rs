//! The cluster, endpoints and client helpers that the traffic tests share.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use awc::ClientResponse;
use flamingoscale::{
    configuration::{
        Service,
        ServiceKind, //
    },
    wire::{
        CompletionRequest,
        OUTCOME_HEADER, //
    }, //
};
use standin::{
    cluster::{
        Cluster,
        ClusterBuilder, //
    },
    engine::{
        EngineSettings,
        EngineStandin, //
    },
    server::Host,
    service::ServiceStandin, //
};

/// Time limit for each request and for each condition that a test waits for.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a service that needs an API key, with 4 slots per endpoint.
pub(crate) fn service(name: &str, kind: ServiceKind, idempotent: bool) -> Service {
    Service {
        name: name.into(),
        kind,
        idempotent,
        open: false,
        firm_floor: 1,
        ceiling: 4,
        slots: 4,
        checks_fencing: true,
    }
}

/// A running cluster with the stand-ins behind its endpoints.
pub(crate) struct Fixture {
    pub(crate) cluster: Cluster,
    /// `engine0` and `engine1`.
    pub(crate) engines: Vec<Arc<EngineStandin>>,
    /// `lookup0`, `lookup1` and `board0`, in this order.
    pub(crate) services: Vec<Arc<ServiceStandin>>,
    _host: Host,
}

/// Starts three instances, two engines, two endpoints of the plain service `lookup`, which is not
/// idempotent, and one of the plain service `board`, which is open and idempotent.
pub(crate) async fn start_fixture() -> Fixture {
    start_fixture_at(2_000.0).await
}

/// Starts the same fixture with another engine speed.
pub(crate) async fn start_fixture_at(tokens_per_s: f64) -> Fixture {
    let host = Host::start().expect("the host should start its thread");
    let mut builder = ClusterBuilder::default()
        .node("n1", "saiq")
        .node("n2", "shams")
        .node("n3", "nizwa")
        .organisation("lodges", 1, 0)
        .organisation("limited", 1, 200)
        .service(service("draft", ServiceKind::Engine, true))
        .service(service("lookup", ServiceKind::Plain, false))
        .service(Service {
            open: true,
            ..service("board", ServiceKind::Plain, true)
        });
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for (number, domain) in ["saiq", "shams"].into_iter().enumerate() {
        let name = format!("engine{number}");
        let settings = EngineSettings::new(&*name).tokens_per_s(tokens_per_s);
        let engine = settings
            .first_version(3)
            .start(&host)
            .expect("a stand-in should bind a free port");
        builder = builder.endpoint(&name, "draft", domain, engine.address());
        engines.push(engine);
        let name = format!("lookup{number}");
        let service =
            ServiceStandin::start(&host, 0, &*name, 1).expect("a stand-in should bind a free port");
        builder = builder.endpoint(&name, "lookup", domain, service.address());
        services.push(service);
    }
    let board_service =
        ServiceStandin::start(&host, 0, "board0", 1).expect("a stand-in should bind a free port");
    builder = builder.endpoint("board0", "board", "saiq", board_service.address());
    services.push(board_service);
    let cluster = builder.start().expect("the cluster should bind free ports");
    let fixture = Fixture {
        cluster,
        engines,
        services,
        _host: host,
    };
    fixture.wait_until_reachable().await;
    fixture
}

impl Fixture {
    /// Waits until the homes have found all endpoints reachable, or panics after `TIMEOUT`.
    pub(crate) async fn wait_until_reachable(&self) {
        let started = Instant::now();
        let mut count = 0;
        while count < self.engines.len() + self.services.len() {
            assert!(
                started.elapsed() < TIMEOUT,
                "timed out with {count} endpoints reachable"
            );
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            count = self.reachable_endpoints();
        }
    }

    pub(crate) fn reachable_endpoints(&self) -> usize {
        use flamingoscale::home::Homes as _;
        let nodes = self.cluster.nodes.iter();
        nodes
            .flat_map(|node| {
                let dispatcher = node.dispatcher.clone();
                let homes = dispatcher.at_home().into_iter();
                homes.filter_map(move |key| dispatcher.status(key))
            })
            .filter(|facts| facts.reachable)
            .count()
    }

    pub(crate) fn url(&self, node: usize, path: &str) -> String {
        format!("http://{}{path}", self.cluster.nodes[node].address)
    }

    /// Returns the `authorization` header with the key of the organisation `lodges`.
    pub(crate) fn authorization(&self) -> String {
        format!("Bearer {}", self.cluster.keys["lodges"])
    }

    /// Requests a completion of 20 tokens from an instance.
    pub(crate) async fn complete(&self, node: usize, prompt: &str, stream: bool) -> ClientResponse {
        self.send(node, &request(prompt, 20, stream)).await
    }

    pub(crate) async fn send(&self, node: usize, request: &CompletionRequest) -> ClientResponse {
        self.send_as("lodges", node, request).await
    }

    pub(crate) async fn send_as(
        &self,
        organisation: &str,
        node: usize,
        request: &CompletionRequest,
    ) -> ClientResponse {
        let key = &self.cluster.keys[organisation];
        client()
            .post(self.url(node, "/v1/completions"))
            .insert_header(("authorization", format!("Bearer {key}")))
            .send_json(request)
            .await
            .expect("the request should get a response")
    }

    /// Withdraws all API keys at all instances.
    pub(crate) fn withdraw_all_keys(&self) {
        self.cluster.update(|view| {
            let mut keys = (*view.keys).clone();
            let ids: Vec<Arc<str>> = keys.iter().map(|key| key.key_id.clone()).collect();
            for id in ids {
                keys.withdraw(&id);
            }
            view.keys = Arc::new(keys);
        });
    }

    /// Posts a lookup of `id` to the service `lookup` through an instance.
    pub(crate) async fn look_up(
        &self,
        node: usize,
        id: &str,
        headers: &[(&str, &str)],
    ) -> ClientResponse {
        let mut request = client()
            .post(self.url(node, "/s/lookup/branches?near=e4"))
            .insert_header(("authorization", self.authorization()));
        for header in headers {
            request = request.insert_header(*header);
        }
        let body = format!("{{\"id\":\"{id}\"}}");
        request
            .send_body(body)
            .await
            .expect("the request should get a response")
    }

    /// Returns how often the service stand-ins ran the request with the body id `id`.
    pub(crate) fn runs(&self, id: &str) -> u64 {
        let services = self.services.iter();
        services
            .map(|service| service.runs_by_body().get(id).copied().unwrap_or(0))
            .sum()
    }
}

pub(crate) fn client() -> awc::Client {
    awc::Client::builder().timeout(TIMEOUT).finish()
}

/// Returns the outcome header of a response: `ran`, `not-run` or `unknown`.
pub(crate) fn outcome(response: &ClientResponse) -> String {
    let header = response.headers().get(OUTCOME_HEADER);
    let header = header.expect("every response should carry the outcome header");
    header
        .to_str()
        .expect("the outcome header should be valid text")
        .to_owned()
}

pub(crate) fn request(prompt: &str, max_tokens: u32, stream: bool) -> CompletionRequest {
    CompletionRequest {
        model: "draft".into(),
        prompt: prompt.into(),
        max_tokens,
        stream,
        ..CompletionRequest::default()
    }
}
