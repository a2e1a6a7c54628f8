//! Stand-in for the weight store, whose bandwidth limit is shared by all readers.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use actix_web::{
    web,
    HttpResponse, //
};
use bytes::Bytes;
use futures::stream;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    faults::{
        sleep_ms,
        ActiveFaults,
        Fault, //
    },
    server::{
        Host,
        StandinServer, //
    }, //
};

/// Size of one chunk of a response.
const CHUNK_BYTES: u64 = 64 << 10;

/// Request body of a `PUT` that stores a version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PutVersion {
    /// The size of the version, in bytes.
    pub bytes: u64,
}

struct Shared {
    bytes_per_s: u64,
    /// Size of each version in bytes, by trainer and version number.
    version_sizes: Mutex<BTreeMap<(String, u64), u64>>,
    /// Time at which all reserved transmissions will have ended.
    next_free_at: Mutex<Instant>,
    served_bytes: Mutex<u64>,
    faults: ActiveFaults,
    server: Mutex<std::sync::Weak<StandinServer>>,
}

/// A running weight store stand-in.
pub struct WeightStore {
    shared: Arc<Shared>,
    server: Arc<StandinServer>,
}

impl WeightStore {
    /// Starts a store that serves `bytes_per_s` bytes per second to all readers together; `port` 0
    /// lets the kernel choose a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub fn start(host: &Host, port: u16, bytes_per_s: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            bytes_per_s: bytes_per_s.max(1),
            version_sizes: Mutex::default(),
            next_free_at: Mutex::new(Instant::now()),
            served_bytes: Mutex::default(),
            faults: ActiveFaults::default(),
            server: Mutex::default(),
        });
        let data = web::Data::from(shared.clone());
        let server = StandinServer::open(host, port, move |config| {
            let path = "/trainers/{trainer}/versions/{version}";
            config
                .app_data(data.clone())
                .route(path, web::get().to(get))
                .route(path, web::put().to(put))
                .route("/fault", web::post().to(fault));
        })?;
        let server = Arc::new(server);
        *shared
            .server
            .lock()
            .expect("weight store server mutex is poisoned") = Arc::downgrade(&server);
        Ok(Self { shared, server })
    }

    /// Returns the loopback address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stores a version of `bytes` bytes; only its size is kept.
    pub fn put(&self, trainer: &str, version: u64, bytes: u64) {
        self.shared.put(trainer, version, bytes);
    }

    /// Injects a fault, as `POST /fault` does.
    pub fn inject_fault(&self, fault: &Fault) {
        self.shared.inject_fault(fault);
    }

    /// Returns how many bytes were served so far.
    pub fn served_bytes(&self) -> u64 {
        *self
            .shared
            .served_bytes
            .lock()
            .expect("served bytes mutex is poisoned")
    }
}

impl Shared {
    fn put(&self, trainer: &str, version: u64, bytes: u64) {
        let mut version_sizes = self
            .version_sizes
            .lock()
            .expect("version sizes mutex is poisoned");
        version_sizes.insert((trainer.to_owned(), version), bytes);
    }

    fn size(&self, trainer: &str, version: u64) -> Option<u64> {
        let version_sizes = self
            .version_sizes
            .lock()
            .expect("version sizes mutex is poisoned");
        version_sizes.get(&(trainer.to_owned(), version)).copied()
    }

    fn inject_fault(&self, fault: &Fault) {
        self.faults.set(fault);
        let server = self
            .server
            .lock()
            .expect("weight store server mutex is poisoned")
            .upgrade();
        if let Some(server) = server {
            server.apply(fault, &|| ());
        }
    }

    /// Reserves the transmission time of `bytes` at the shared rate; returns how long to wait until
    /// they may be sent.
    fn reserve(&self, bytes: u64) -> Duration {
        let mut next_free_at = self
            .next_free_at
            .lock()
            .expect("next free time mutex is poisoned");
        let now = Instant::now();
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        *next_free_at = (*next_free_at).max(now) + duration;
        *next_free_at - now
    }

    async fn next_chunk(&self, remaining: u64) -> (io::Result<Bytes>, u64) {
        let bytes = remaining.min(CHUNK_BYTES);
        let wait = self.reserve(bytes);
        actix_rt::time::sleep(wait).await;
        if self.faults.consume_refusal() {
            return (Err(io::Error::other("weight store outage")), 0);
        }
        *self
            .served_bytes
            .lock()
            .expect("served bytes mutex is poisoned") += bytes;
        (Ok(vec![0; bytes as usize].into()), remaining - bytes)
    }
}

async fn get(shared: web::Data<Shared>, path: web::Path<(String, u64)>) -> HttpResponse {
    shared.faults.delay().await;
    if shared.faults.consume_refusal() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let (trainer, version) = path.into_inner();
    let Some(size) = shared.size(&trainer, version) else {
        return HttpResponse::NotFound().finish();
    };
    let body = stream::unfold((shared, size), |(shared, remaining)| async move {
        if remaining == 0 {
            return None;
        }
        let (chunk, remaining) = shared.next_chunk(remaining).await;
        Some((chunk, (shared, remaining)))
    });
    HttpResponse::Ok().streaming(body)
}

async fn put(
    shared: web::Data<Shared>,
    path: web::Path<(String, u64)>,
    body: web::Json<PutVersion>,
) -> HttpResponse {
    shared.faults.delay().await;
    if shared.faults.consume_refusal() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let (trainer, version) = path.into_inner();
    shared.put(&trainer, version, body.bytes);
    HttpResponse::Ok().finish()
}

async fn fault(shared: web::Data<Shared>, body: web::Json<Fault>) -> HttpResponse {
    let shared = shared.into_inner();
    let fault = body.into_inner();
    actix_rt::spawn(async move {
        // Sends the response first, because the fault may drop the connection that it arrived on.
        sleep_ms(1).await;
        shared.inject_fault(&fault);
    });
    HttpResponse::Accepted().finish()
}
