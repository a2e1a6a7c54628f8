//! Model servers and plain servers, and their entries in the store.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{is_closed, respond, serve, Request},
    record::Log,
    store::Store,
};

/// Interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

const ID: &str = "x-flamingoscale-request-id";
const SEAL: &str = "x-flamingoscale-response-seal";
const NOT_EXECUTED: &str = "x-flamingoscale-not-executed";

/// What a server does.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Streams a text of so many events, with so many milliseconds before each.
    Text { events: u64, event_ms: u64 },
    /// As `Text`, but the answer has no length and ends with its connection.
    OpenText { events: u64, event_ms: u64 },
    /// Answers after so many milliseconds.
    Answer { ms: u64 },
}

/// Something that a server began to run.
#[derive(Clone)]
pub struct Run {
    pub at_ms: u64,
    pub id: String,
    pub server: String,
}

/// What all servers have seen.
pub struct Seen {
    pub log: Arc<Log>,
    pub runs: Mutex<Vec<Run>>,
    /// Statuses that plain servers gave, by request id.
    pub answers: Mutex<HashMap<String, Vec<u16>>>,
}

impl Seen {
    pub fn new(log: Arc<Log>) -> Arc<Self> {
        Arc::new(Self {
            log,
            runs: Mutex::default(),
            answers: Mutex::default(),
        })
    }

    fn began(&self, id: &str, server: &str, note: &str) {
        let at_ms = self.log.now_ms();
        self.log.line(&format!("run {id} at {server}{note}"));
        let (id, server) = (id.to_owned(), server.to_owned());
        self.runs.lock().unwrap().push(Run { at_ms, id, server });
    }
}

/// A server of a service.
pub struct Server {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    slots: usize,
    work: Work,
    running: AtomicUsize,
    /// Work takes so many times as long, in hundredths.
    slowness: AtomicU64,
    orders: AtomicU64,
    versions: Mutex<HashMap<String, u64>>,
    born_ms: u64,
    /// Whether it writes its entry.
    is_listed: Mutex<bool>,
    has_exited: AtomicBool,
    seen: Arc<Seen>,
}

impl Server {
    /// Starts a server that lists itself in the store.
    pub fn start(
        store: &Arc<Store>,
        seen: &Arc<Seen>,
        host: &str,
        names: (&str, &str, &str),
        kind: (usize, Work, &[&str]),
    ) -> io::Result<Arc<Self>> {
        let store = store.clone();
        let list = move |id: &str, entry: &str| store.put("keyed.servers", id, entry);
        Self::start_at(TcpListener::bind((host, 0))?, list, seen, names, kind)
    }

    /// Starts a server that hands its entry to `list` at each heartbeat.
    pub fn start_at(
        listener: TcpListener,
        list: impl Fn(&str, &str) + Send + 'static,
        seen: &Arc<Seen>,
        (id, service, zone): (&str, &str, &str),
        (slots, work, models): (usize, Work, &[&str]),
    ) -> io::Result<Arc<Self>> {
        let versions = models.iter().map(|model| ((*model).to_owned(), 1));
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            slots,
            work,
            running: AtomicUsize::new(0),
            slowness: AtomicU64::new(100),
            orders: AtomicU64::new(0),
            versions: Mutex::new(versions.collect()),
            born_ms: unix_ms(),
            is_listed: Mutex::new(true),
            has_exited: AtomicBool::new(false),
            seen: seen.clone(),
        });
        let serving = server.clone();
        serve(listener, move |request, stream| serving.serve(request, stream));
        let listed = server.clone();
        thread::spawn(move || {
            for sequence in 0.. {
                let is_listed = listed.is_listed.lock().unwrap();
                if !*is_listed {
                    return;
                }
                list(&listed.id, &listed.entry(sequence));
                drop(is_listed);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    /// Makes all work take so many times as long.
    pub fn slow_down(&self, factor: f64) {
        self.slowness.store((factor * 100.0) as u64, Ordering::SeqCst);
    }

    /// Removes its entry, without a report before, and goes on serving.
    pub fn leave(&self, store: &Store) {
        let mut is_listed = self.is_listed.lock().unwrap();
        *is_listed = false;
        store.put("keyed.servers", &self.id, "");
    }

    /// Takes no further requests.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
    }

    fn models(&self) -> String {
        let versions = self.versions.lock().unwrap();
        let models = versions.iter().map(|(name, version)| {
            format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
        });
        models.collect::<Vec<_>>().join(",")
    }

    fn entry(&self, sequence: u64) -> String {
        let Self {
            service,
            address,
            zone,
            slots,
            born_ms,
            ..
        } = self;
        let models = self.models();
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{sequence},\"stage\":\"dual\",\
             \"models\":[{models}],\"born\":{born_ms}}}"
        )
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if self.has_exited.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let target = request.header("x-flamingoscale-target-instance");
        if target.is_some_and(|target| target != self.id) {
            return respond(stream, 421, &[], b"");
        }
        match request.path() {
            "/api/report" => self.report(stream),
            "/api/order" => self.order(request, stream),
            "/healthz" => {
                respond(stream, 200, &[("x-flamingoscale-instance-id", &self.id)], b"")
            }
            _ => self.run(request, stream),
        }
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let (orders, running) = (
            self.orders.load(Ordering::SeqCst),
            self.running.load(Ordering::SeqCst),
        );
        let body = format!(
            "{{\"stage\":\"dual\",\"models\":[{}],\"busy\":false,\"seq\":{orders},\"num_waiting\":0,\
             \"num_running\":{running},\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":{}}}",
            self.models(),
            self.born_ms
        );
        respond(stream, 200, &[("content-type", "application/json")], body.as_bytes())
    }

    fn order(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let fields = (text_field(&text, "model"), number_field(&text, "version"));
        let (Some(model), Some(version)) = fields else {
            return respond(stream, 400, &[], b"");
        };
        let orders = self.orders.load(Ordering::SeqCst);
        if number_field(&text, "expected_rev").is_some_and(|expected| expected != orders) {
            return respond(stream, 409, &[], b"");
        }
        self.seen.log.line(&format!("order {text} at {}", self.id));
        if self.versions.lock().unwrap().get(&model) == Some(&version) {
            return respond(stream, 200, &[], b"");
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        self.versions.lock().unwrap().insert(model, version);
        respond(stream, 202, &[], b"")
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let Some(id) = request.header(ID) else {
            return respond(stream, 400, &[(NOT_EXECUTED, "1")], b"");
        };
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return respond(stream, 503, &[(ID, id), (NOT_EXECUTED, "1")], b"");
        }
        let done = match self.work {
            Work::Text { events, event_ms } => {
                self.stream_text(request, stream, id, (events, event_ms), true)
            }
            Work::OpenText { events, event_ms } => {
                self.stream_text(request, stream, id, (events, event_ms), false)
            }
            Work::Answer { ms } => self.answer(request, stream, id, ms),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn scaled(&self, ms: u64) -> Duration {
        Duration::from_millis(ms * self.slowness.load(Ordering::SeqCst) / 100)
    }

    fn stream_text(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        id: &str,
        (events, event_ms): (u64, u64),
        in_chunks: bool,
    ) -> io::Result<()> {
        let last = request.header("last-event-id");
        let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or(0);
        self.seen.began(id, &self.id, &format!(" after event {last}"));
        let model = request.header("x-flamingoscale-model").unwrap_or("");
        let version = self.versions.lock().unwrap().get(model).copied().unwrap_or(1);
        thread::sleep(self.scaled(event_ms));
        let form = match in_chunks {
            true => "transfer-encoding: chunked",
            false => "connection: close",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{form}\r\n\
             {ID}: {id}\r\n{SEAL}: seal-{id}\r\nx-flamingoscale-weight-versions: {version}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in last + 1..=events {
            if event > last + 1 {
                thread::sleep(self.scaled(event_ms));
            }
            if is_closed(stream) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {event}\ndata: {id}-{event}\n\n");
            let bytes = match in_chunks {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            stream.write_all(bytes.as_bytes())?;
        }
        self.seen.log.line(&format!("whole {id} at {}", self.id));
        match in_chunks {
            true => stream.write_all(b"0\r\n\r\n"),
            false => stream.shutdown(std::net::Shutdown::Both),
        }
    }

    /// Answers when the work is done, or with status 504 at the deadline that the request names.
    fn answer(&self, request: &Request, stream: &mut TcpStream, id: &str, ms: u64) -> io::Result<()> {
        let began = Instant::now();
        let limit = request.header("x-flamingoscale-deadline-ms");
        let limit = limit.and_then(|limit| limit.parse::<f64>().ok()).unwrap_or(30_000.0);
        let limit = Duration::from_millis(limit as u64);
        self.seen.began(id, &self.id, &format!(" with {} ms left", limit.as_millis()));
        let work = self.scaled(ms);
        while began.elapsed() < work.min(limit) {
            thread::sleep((work.min(limit) - began.elapsed()).min(Duration::from_millis(5)));
            if is_closed(stream) {
                self.seen.log.line(&format!("left {id} at {}", self.id));
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        let status = if work > limit { 504 } else { 200 };
        let mut answers = self.seen.answers.lock().unwrap();
        answers.entry(id.to_owned()).or_default().push(status);
        drop(answers);
        let took_ms = began.elapsed().as_millis();
        self.seen.log.line(&format!("answer {status} to {id} at {} after {took_ms} ms", self.id));
        let seal = format!("seal-{id}");
        respond(stream, status, &[(ID, id), (SEAL, &seal)], b"done")
    }
}

/// Returns the milliseconds since the start of 1970.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Returns a field of a flat JSON object that is a text.
pub fn text_field(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

/// Returns a field of a flat JSON object that is a whole number.
pub fn number_field(json: &str, name: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
