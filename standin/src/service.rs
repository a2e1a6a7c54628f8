//! Stand-in for a plain service, which records each request that it runs.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        Weak, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use actix_web::{
    web::{
        self,
        Bytes,
        Data,
        Json, //
    },
    HttpRequest,
    HttpResponse, //
};
use flamingoscale::wire::{
    EndpointStatus,
    ENDPOINT_HEADER,
    NOT_RUN_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    faults::{
        sleep_ms,
        ActiveFaults,
        Fault, //
    },
    platform::{
        lock,
        StartedEndpoint, //
    },
    server::{
        carries_key,
        header,
        headers,
        ConnectionHandle,
        Host,
        StandinServer, //
    }, //
};

/// Request body of a lookup. Any other body is recorded with its text as the id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// The id that the caller gave the lookup.
    pub id: String,
}

/// Response to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// The id of the lookup that is answered.
    pub id: String,
    /// The value that [`expected_value`] returns for the id.
    pub value: u64,
}

/// Returns the value in a service's response to the lookup with this id.
pub fn expected_value(id: &str) -> u64 {
    // All JSON parsers represent integers up to 2^53 exactly.
    xxh3_64(id.as_bytes()) >> 11
}

/// Ground-truth record of one request at a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// The request id from the request's header.
    pub request_id: String,
    /// The organisation from the request's header.
    pub organisation: String,
    /// The caller's id from the request body.
    pub body_id: String,
    /// The URI of the request.
    pub path: String,
}

struct Shared {
    endpoint: Arc<str>,
    service_ms: u64,
    faults: ActiveFaults,
    runs: Mutex<Vec<ServiceRun>>,
    running: Mutex<u32>,
    boot: Mutex<u64>,
    requests_with_key: Mutex<u64>,
    leaving_at: Mutex<Option<Instant>>,
    server: Mutex<Weak<StandinServer>>,
}

/// A running plain service stand-in.
pub struct ServiceStandin {
    shared: Arc<Shared>,
    server: Arc<StandinServer>,
}

impl ServiceStandin {
    /// Starts a service that takes `service_ms` milliseconds for each request; `port` 0 lets the
    /// kernel choose a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub fn start(
        host: &Host,
        port: u16,
        endpoint: impl Into<Arc<str>>,
        service_ms: u64,
    ) -> io::Result<Arc<Self>> {
        let shared = Arc::new(Shared {
            endpoint: endpoint.into(),
            service_ms,
            faults: ActiveFaults::default(),
            runs: Mutex::default(),
            running: Mutex::default(),
            boot: Mutex::new(1),
            requests_with_key: Mutex::default(),
            leaving_at: Mutex::default(),
            server: Mutex::default(),
        });
        let data = Data::from(shared.clone());
        let server = StandinServer::open(host, port, move |config| {
            config
                .app_data(data.clone())
                .route("/admin/status", web::get().to(status))
                .route("/fault", web::post().to(fault))
                .default_service(web::to(handle_request));
        })?;
        let server = Arc::new(server);
        *lock(&shared.server) = Arc::downgrade(&server);
        Ok(Arc::new(Self { shared, server }))
    }

    /// Returns the loopback address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the id under which the platform lists this endpoint.
    pub fn endpoint(&self) -> &Arc<str> {
        &self.shared.endpoint
    }

    /// Injects a fault, as `POST /fault` does.
    pub fn inject_fault(&self, fault: &Fault) {
        self.shared.inject_fault(fault);
    }

    /// Returns the records of all requests that ran, in order.
    pub fn runs(&self) -> Vec<ServiceRun> {
        lock(&self.shared.runs).clone()
    }

    /// Returns how often each caller's id ran.
    pub fn runs_by_body(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for run in lock(&self.shared.runs).iter() {
            *counts.entry(run.body_id.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns how many requests carried a caller's API key. This must stay 0, because callers'
    /// keys must not be forwarded to endpoints.
    pub fn requests_with_key(&self) -> u64 {
        *lock(&self.shared.requests_with_key)
    }
}

impl StartedEndpoint for ServiceStandin {
    fn address(&self) -> SocketAddr {
        self.server.address()
    }

    fn reclaim(&self, notice_ms: u64) {
        self.shared.set_leaving(notice_ms);
    }

    fn stop(&self) {
        self.server.close();
    }
}

impl Shared {
    fn inject_fault(self: &Arc<Self>, fault: &Fault) {
        self.faults.set(fault);
        let Some(server) = lock(&self.server).upgrade() else {
            return;
        };
        if let Fault::Reclaim { notice_ms } = fault {
            self.set_leaving(*notice_ms);
            server.run_after(Some(*notice_ms), StandinServer::close);
        }
        server.apply(fault, &|| {
            *lock(&self.boot) += 1;
            *lock(&self.running) = 0;
        });
    }

    fn set_leaving(&self, notice_ms: u64) {
        *lock(&self.leaving_at) = Some(Instant::now() + Duration::from_millis(notice_ms));
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard<'a>(&'a Mutex<u32>);

impl<'a> RunningGuard<'a> {
    fn new(running: &'a Mutex<u32>) -> Self {
        *lock(running) += 1;
        Self(running)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut running = lock(self.0);
        *running = running.saturating_sub(1);
    }
}

async fn handle_request(shared: Data<Shared>, request: HttpRequest, body: Bytes) -> HttpResponse {
    *lock(&shared.requests_with_key) += u64::from(carries_key(&headers(&request)));
    shared.faults.delay().await;
    if shared.faults.consume_refusal() {
        return HttpResponse::ServiceUnavailable()
            .insert_header((ENDPOINT_HEADER, &*shared.endpoint))
            .insert_header((NOT_RUN_HEADER, "1"))
            .finish();
    }
    let body_id = body_id(&body);
    lock(&shared.runs).push(ServiceRun {
        request_id: header(&request, REQUEST_ID_HEADER),
        organisation: header(&request, ORGANISATION_HEADER),
        body_id: body_id.clone(),
        path: request.uri().to_string(),
    });
    if let Some(back_after_ms) = shared.faults.poison_restart_ms(&body_id) {
        let back_after_ms = Some(back_after_ms);
        shared
            .clone()
            .into_inner()
            .inject_fault(&Fault::Crash { back_after_ms });
        return std::future::pending().await;
    }
    let _running = RunningGuard::new(&shared.running);
    sleep_ms(shared.service_ms).await;
    if shared.faults.consume_response_loss() {
        ConnectionHandle::from_request(&request).kill();
        return std::future::pending().await;
    }
    HttpResponse::Ok()
        .insert_header((ENDPOINT_HEADER, &*shared.endpoint))
        .json(LookupAnswer {
            value: expected_value(&body_id),
            id: body_id,
        })
}

fn body_id(body: &[u8]) -> String {
    match serde_json::from_slice::<Lookup>(body) {
        Ok(lookup) => lookup.id,
        Err(_) => String::from_utf8_lossy(body).into_owned(),
    }
}

async fn status(shared: Data<Shared>) -> HttpResponse {
    shared.faults.delay().await;
    let leaving_at = *lock(&shared.leaving_at);
    let remaining = leaving_at.map(|at| at.saturating_duration_since(Instant::now()));
    let status = EndpointStatus {
        endpoint: shared.endpoint.clone(),
        boot: *lock(&shared.boot),
        running: *lock(&shared.running),
        leaving_in_ms: remaining.map(|remaining| remaining.as_millis() as u64),
        ..EndpointStatus::default()
    };
    HttpResponse::Ok()
        .insert_header((ENDPOINT_HEADER, &*shared.endpoint))
        .json(status)
}

async fn fault(shared: Data<Shared>, body: Json<Fault>) -> HttpResponse {
    let shared = shared.into_inner();
    let fault = body.into_inner();
    actix_rt::spawn(async move {
        // Sends the response first, because the fault may drop the connection that it arrived on.
        sleep_ms(1).await;
        shared.inject_fault(&fault);
    });
    HttpResponse::Accepted().finish()
}
