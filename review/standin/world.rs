//! Stand-ins for the platform's store, its calls for duties, servers of two kinds, and the project's own
//! processes, started as the deploy file says.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fs,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Condvar, Mutex,
    },
    time::{Duration, Instant},
};

use crate::net::*;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;

/// Loopback addresses of this run: 127.A.B.n, so that runs side by side don't meet.
pub fn host(number: u8) -> Ipv4Addr {
    let [high, low] = ((std::process::id() % 60_000) as u16 + 2_000).to_be_bytes();
    Ipv4Addr::new(127, high, low, number)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// Epoch, next sequence number and the last five answers, by producer.
    producers: HashMap<String, (u64, u64, VecDeque<(u64, u64, u64)>)>,
}

#[derive(Default)]
struct Topics {
    partitions: HashMap<String, Partition>,
}

#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
    pub address: SocketAddr,
    down: Arc<AtomicBool>,
}

fn keyed(record: &[u8]) -> (&[u8], &[u8]) {
    let end = 1 + usize::from(record[0]);
    (&record[1..end], &record[end..])
}

impl Store {
    pub fn start() -> Self {
        let topics: Arc<(Mutex<Topics>, Condvar)> = Arc::default();
        let down = Arc::new(AtomicBool::new(false));
        let (shared, is_down) = (topics.clone(), down.clone());
        let handler: Handler = Arc::new(move |request, _| {
            if is_down.load(Ordering::SeqCst) {
                return Act::Answer(reply(503, ""));
            }
            sleep_ms(2);
            let name = format!(
                "{}/{}",
                request.parameter("topic").unwrap_or_default(),
                request.parameter("part").unwrap_or_default()
            );
            Act::Answer(match request.path.as_str() {
                "/api/log-append" => append(&shared, &name, request),
                "/api/log-read" => read(&shared, &name, request),
                "/api/log-newest" => newest(&shared, &name, request),
                _ => reply(400, ""),
            })
        });
        let listening = listen(SocketAddr::from((host(1), 0)), handler);
        let address = listening.address;
        std::mem::forget(listening);
        Self { topics, address, down }
    }

    #[allow(dead_code)]
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Writes a record as the operator, a trainer or a server does. The return is the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        topics.partitions.entry(format!("{topic}/0")).or_default().records.push(record);
        changed.notify_all();
    }

    /// Operator's configuration.
    pub fn configure(&self, text: &str) {
        self.put("keyed.op", "config", text);
        say(&format!("operator: configuration acknowledged: {text}"));
    }

    /// The keys that exist in all partitions of topics whose name starts with `topic`.
    #[allow(dead_code)]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let (topics, _) = &*self.topics;
        let topics = topics.lock().unwrap();
        let mut keys = Vec::new();
        for (name, partition) in &topics.partitions {
            if name.starts_with(topic) {
                let newest: BTreeMap<&[u8], &[u8]> =
                    partition.records.iter().map(|record| keyed(record)).collect();
                let live = newest.into_iter().filter(|(_, value)| !value.is_empty());
                keys.extend(live.map(|(key, _)| String::from_utf8_lossy(key).into_owned()));
            }
        }
        keys.sort();
        keys
    }
}

type Shared = (Mutex<Topics>, Condvar);

fn append(shared: &Shared, name: &str, request: &Request) -> Reply {
    let (topics, changed) = shared;
    let mut records = Vec::new();
    let mut rest = &request.body[..];
    while rest.len() >= 4 {
        let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
        if length > 262_144 || rest.len() < 4 + length {
            return reply(400, "");
        }
        records.push(rest[4..4 + length].to_vec());
        rest = &rest[4 + length..];
    }
    if request.body.len() > 2_097_152 {
        return reply(413, "");
    }
    let mut topics = topics.lock().unwrap();
    let partition = topics.partitions.entry(name.to_owned()).or_default();
    let producer = request.parameter("producer").unwrap_or_default();
    let (epoch, sequence) = (request.number("epoch").unwrap_or(0), request.number("seq").unwrap_or(0));
    let offset = partition.records.len() as u64;
    let end = offset + records.len() as u64;
    let ok = |offset: u64, end: u64| {
        reply(200, format!("{{\"offset\":{offset},\"end_offset\":{end}}}"))
            .with("Content-Type", "application/json")
    };
    let state = partition.producers.entry(producer).or_insert((epoch, sequence, VecDeque::new()));
    if epoch < state.0 {
        return reply(409, "{\"why\":\"fenced\"}");
    }
    if epoch > state.0 {
        *state = (epoch, sequence, VecDeque::new());
    }
    if let Some((_, offset, end)) = state.2.iter().find(|it| it.0 == sequence) {
        return ok(*offset, *end);
    }
    if sequence != state.1 {
        return reply(409, format!("{{\"why\":\"seq\",\"seq\":{}}}", state.1));
    }
    state.1 += 1;
    state.2.push_back((sequence, offset, end));
    if state.2.len() > 5 {
        state.2.pop_front();
    }
    partition.records.extend(records);
    changed.notify_all();
    ok(offset, end)
}

fn read(shared: &Shared, name: &str, request: &Request) -> Reply {
    let (topics, changed) = shared;
    let from = request.number("from").unwrap_or(0) as usize;
    let max = request.number("max_kb").unwrap_or(1_024) as usize * 1_024;
    let deadline = Instant::now() + Duration::from_millis(request.number("wait_ms").unwrap_or(0));
    let mut topics = topics.lock().unwrap();
    loop {
        let partition = topics.partitions.entry(name.to_owned()).or_default();
        let left = deadline.saturating_duration_since(Instant::now());
        if partition.records.len() > from || left.is_zero() {
            let mut body = (partition.records.len() as u64).to_be_bytes().to_vec();
            body.extend(0_u64.to_be_bytes());
            for record in partition.records.iter().skip(from) {
                if body.len() > 16 && body.len() + record.len() > max {
                    break;
                }
                body.extend((record.len() as u32).to_be_bytes());
                body.extend(record);
            }
            return reply(200, body);
        }
        topics = changed.wait_timeout(topics, left).unwrap().0;
    }
}

fn newest(shared: &Shared, name: &str, request: &Request) -> Reply {
    let (topics, _) = shared;
    let after = request.parameter("after").unwrap_or_default();
    let mut topics = topics.lock().unwrap();
    let partition = topics.partitions.entry(name.to_owned()).or_default();
    let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
    for (offset, record) in partition.records.iter().enumerate() {
        let (key, value) = keyed(record);
        newest.insert(key, (offset, value));
    }
    let live = newest.into_iter().filter(|(_, (_, value))| !value.is_empty());
    let mut rest = live.filter(|(key, _)| *key > after.as_bytes());
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut more = false;
    for (key, (offset, value)) in rest.by_ref() {
        if items.len() == 500 || bytes > 1_000_000 {
            more = true;
            break;
        }
        bytes += value.len();
        items.push(format!(
            "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
            String::from_utf8_lossy(key),
            base64(value)
        ));
    }
    let body = format!(
        "{{\"items\":[{}],\"has_more\":{more},\"end_offset\":{}}}",
        items.join(","),
        partition.records.len()
    );
    reply(200, body).with("Content-Type", "application/json")
}

// ---------------------------------------------------------------- the platform's calls for duties

/// Accepts usage reports and orders for servers; a lower fencing token than one already seen gets 409.
pub fn start_cloud() -> SocketAddr {
    let highest = Mutex::new(HashMap::<String, u64>::new());
    let handler: Handler = Arc::new(move |request, _| {
        let fence: u64 = request.header("X-Flamingoscale-Fencing-Token").parse().unwrap_or(0);
        let mut highest = highest.lock().unwrap();
        let seen = highest.entry(request.path.clone()).or_default();
        if fence < *seen {
            return Act::Answer(reply(409, ""));
        }
        *seen = fence;
        Act::Answer(reply(200, ""))
    });
    let listening = listen(SocketAddr::from((host(2), 0)), handler);
    let address = listening.address;
    std::mem::forget(listening);
    address
}

// ---------------------------------------------------------------- servers

/// One start of a server.
pub struct Server {
    pub number: usize,
    pub service: String,
    zone: String,
    slots: u32,
    is_engine: bool,
    models: Vec<String>,
    /// Work of a request without a body, in milliseconds.
    work_ms: AtomicU64,
    life: Mutex<Life>,
    store: Store,
    /// Requests at work, and how many have begun.
    pub running: AtomicUsize,
    pub begun: AtomicUsize,
    orders: AtomicU64,
    versions: Mutex<HashMap<String, u64>>,
    runs: Arc<Runs>,
}

struct Life {
    id: String,
    born: u64,
    listening: Option<Listening>,
    address: SocketAddr,
}

/// What reached the servers: request ids, and for items the events made and the times.
#[derive(Default)]
pub struct Runs {
    /// For each request id: when it began at a server, in seconds, and the server's number.
    pub begun: Mutex<HashMap<String, Vec<(f64, usize)>>>,
    /// When each request id was finished by a server.
    pub finished: Mutex<HashMap<String, f64>>,
    /// The requests that crashed their server, and when.
    pub crashes: Mutex<Vec<(String, f64)>>,
}

/// What a request for tokens asks for, in its body: `events=N ms=N status=N`.
fn ask(body: &[u8], name: &str, default: u64) -> u64 {
    let text = String::from_utf8_lossy(body).into_owned();
    let mut words = text.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok()).unwrap_or(default)
}

/// The text of an item: what a sound server generates, also when it goes on after an event.
pub fn event_text(id: &str, number: u64) -> String {
    format!("{id}.{number}")
}

pub fn whole_text(id: &str, events: u64) -> String {
    (1..=events).map(|number| event_text(id, number)).collect::<Vec<_>>().join("\n")
}

impl Server {
    pub fn id(&self) -> String {
        self.life.lock().unwrap().id.clone()
    }

    #[allow(dead_code)]
    pub fn set_work_ms(&self, work_ms: u64) {
        self.work_ms.store(work_ms, Ordering::SeqCst);
    }

    pub fn start(
        (number, service, zone): (usize, &str, &str),
        (slots, work_ms): (u32, u64),
        models: &[&str],
        store: &Store,
        runs: &Arc<Runs>,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            number,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            is_engine: !models.is_empty(),
            models: models.iter().map(|it| (*it).to_owned()).collect(),
            work_ms: AtomicU64::new(work_ms),
            life: Mutex::new(Life {
                id: String::new(),
                born: 0,
                listening: None,
                address: SocketAddr::from((host(10 + number as u8), 0)),
            }),
            store: store.clone(),
            running: AtomicUsize::new(0),
            begun: AtomicUsize::new(0),
            orders: AtomicU64::new(0),
            versions: Mutex::new(models.iter().map(|it| ((*it).to_owned(), 1)).collect()),
            runs: runs.clone(),
        });
        server.boot();
        let beating = server.clone();
        spawn(move || loop {
            beating.beat();
            sleep_ms(1_200);
        });
        server
    }

    /// Begins a new incarnation, under a new id.
    fn boot(self: &Arc<Self>) {
        let serving = self.clone();
        let handler: Handler = Arc::new(move |request, stream| serving.serve(request, stream));
        let mut life = self.life.lock().unwrap();
        let listening = listen(life.address, handler);
        life.address = listening.address;
        life.listening = Some(listening);
        life.born = unix_ms();
        life.id = format!("i-{:08x}", (life.born as u32).wrapping_mul(2_654_435_761) ^ (self.number as u32));
        self.orders.store(0, Ordering::SeqCst);
    }

    /// Crashes: all connections end, nothing listens. It starts again after `down_ms`; its former entry
    /// leaves the list after three heartbeat intervals of silence.
    #[allow(dead_code)]
    pub fn crash(self: &Arc<Self>, down_ms: u64) {
        let (former, listening) = {
            let mut life = self.life.lock().unwrap();
            (life.id.clone(), life.listening.take())
        };
        say(&format!(
            "server {} of {} ({former}) crashes with {} requests at work",
            self.number,
            self.service,
            self.running.load(Ordering::SeqCst)
        ));
        if let Some(listening) = listening {
            listening.stop();
        }
        let server = self.clone();
        spawn(move || {
            let store = server.store.clone();
            let removed = former.clone();
            spawn(move || {
                sleep_ms(3_600);
                store.put("keyed.servers", &removed, "");
            });
            sleep_ms(down_ms);
            server.boot();
            server.beat();
            say(&format!("server {} is back as {}", server.number, server.id()));
        });
    }

    fn beat(&self) {
        let life = self.life.lock().unwrap();
        if life.listening.is_none() {
            return;
        }
        let versions = self.versions.lock().unwrap();
        let models: Vec<String> = self
            .models
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"version\":{}}}", versions[name]))
            .collect();
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"dual\",\"models\":[{}],\"seq\":{},\"born\":{}}}",
            self.service,
            life.address,
            self.zone,
            self.slots,
            models.join(","),
            self.orders.load(Ordering::SeqCst),
            life.born
        );
        self.store.put("keyed.servers", &life.id, &entry);
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.running.load(Ordering::SeqCst).min(self.slots as usize), self.slots)
    }

    fn serve(self: &Arc<Self>, request: &Request, stream: &TcpStream) -> Act {
        let own_id = self.id();
        let target = request.header("X-Flamingoscale-Target-Instance");
        if !target.is_empty() && target != own_id {
            return Act::Answer(reply(421, "").with("X-Flamingoscale-Instance-Id", &own_id));
        }
        match request.path.as_str() {
            "/healthz" => {
                return Act::Answer(reply(200, "").with("X-Flamingoscale-Instance-Id", &own_id))
            }
            "/api/report" => return Act::Answer(self.report()),
            "/api/order" => return Act::Answer(self.order(request)),
            _ => (),
        }
        let id = request.header("X-Flamingoscale-Request-Id").to_owned();
        if id.is_empty() {
            return Act::Answer(reply(400, "").with("X-Flamingoscale-Not-Executed", "1"));
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots as usize {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return Act::Answer(
                reply(503, "")
                    .with("X-Flamingoscale-Not-Executed", "1")
                    .with("X-Flamingoscale-Server-Load", &self.load()),
            );
        }
        self.begun.fetch_add(1, Ordering::SeqCst);
        self.runs.begun.lock().unwrap().entry(id.clone()).or_default().push((at(), self.number));
        let act = match self.is_engine {
            true => self.generate(request, stream, &id, &own_id),
            false => self.look_up(request, stream, &id, &own_id),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        act
    }

    fn is_alive(&self, id: &str) -> bool {
        let life = self.life.lock().unwrap();
        life.listening.is_some() && life.id == id
    }

    fn look_up(&self, request: &Request, stream: &TcpStream, id: &str, own_id: &str) -> Act {
        let work_ms = ask(&request.body, "ms", self.work_ms.load(Ordering::SeqCst));
        note(&format!("run: server {} begins {id}: {} {}", self.number, request.method, request.path));
        let end = Instant::now() + Duration::from_millis(work_ms);
        while Instant::now() < end {
            sleep_ms(5.min(work_ms));
            if !self.is_alive(own_id) {
                note(&format!("run: server {} lost {id}: the server crashed", self.number));
                return Act::Close;
            }
            if peer_closed(stream) {
                note(&format!("run: server {} dropped {id}: the connection was closed", self.number));
                return Act::Close;
            }
        }
        self.runs.finished.lock().unwrap().insert(id.to_owned(), at());
        note(&format!("run: server {} finished {id}", self.number));
        Act::Answer(
            reply(200, format!("card {} for {id}", request.path))
                .with("X-Flamingoscale-Request-Id", id)
                .with("X-Flamingoscale-Response-Seal", &format!("seal.{id}"))
                .with("X-Flamingoscale-Server-Load", &self.load())
                .with("Keep-Alive", "timeout=5"),
        )
    }

    /// Generates the events of an item, from the one after `Last-Event-Id` on.
    fn generate(self: &Arc<Self>, request: &Request, stream: &TcpStream, id: &str, own_id: &str) -> Act {
        let events = ask(&request.body, "events", 4);
        let event_ms = ask(&request.body, "ms", 50);
        let status = ask(&request.body, "status", 200);
        let crashes_after = ask(&request.body, "crash", 0);
        let first: u64 = request.header("Last-Event-Id").parse().unwrap_or(0) + 1;
        note(&format!("run: engine {} begins {id} at event {first}", self.number));
        if status != 200 {
            self.runs.finished.lock().unwrap().insert(id.to_owned(), at());
            return Act::Answer(
                reply(status as u16, "")
                    .with("X-Flamingoscale-Request-Id", id)
                    .with("X-Flamingoscale-Response-Seal", &format!("seal.{id}")),
            );
        }
        let version = {
            let versions = self.versions.lock().unwrap();
            versions.get(request.header("X-Flamingoscale-Model")).copied().unwrap_or(1)
        };
        let mut writer = stream;
        for number in first..=events {
            sleep_ms(event_ms);
            if !self.is_alive(own_id) || peer_closed(stream) {
                note(&format!("run: engine {} dropped {id} before event {number}", self.number));
                return Act::Close;
            }
            let mut text = String::new();
            if number == first {
                text += &format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                     X-Flamingoscale-Request-Id: {id}\r\nX-Flamingoscale-Response-Seal: seal.{id}\r\n\
                     X-Flamingoscale-Weight-Versions: {version}\r\nX-Flamingoscale-Server-Load: {}\r\n\r\n",
                    self.load()
                );
            }
            let event = format!("id: {number}\ndata: {}\n\n", event_text(id, number));
            text += &format!("{:x}\r\n{event}\r\n", event.len());
            if number == events {
                text += "0\r\n\r\n";
            }
            if writer.write_all(text.as_bytes()).is_err() {
                note(&format!("run: engine {} lost the connection of {id}", self.number));
                return Act::Close;
            }
            if crashes_after == number {
                // The request crashes the server that runs it; it is back after some seconds.
                self.runs.crashes.lock().unwrap().push((id.to_owned(), at()));
                sleep_ms(30);
                self.crash(3_000);
                return Act::Close;
            }
        }
        self.runs.finished.lock().unwrap().insert(id.to_owned(), at());
        note(&format!("run: engine {} finished {id}", self.number));
        Act::Written
    }

    fn report(&self) -> Reply {
        let versions = self.versions.lock().unwrap();
        let models: Vec<String> = versions
            .iter()
            .map(|(name, version)| {
                format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
            })
            .collect();
        reply(
            200,
            format!(
                "{{\"stage\":\"dual\",\"models\":[{}],\"busy\":false,\"seq\":{},\"num_waiting\":0,\
                 \"num_running\":{},\"kv_used\":0,\"kv_total\":100000,\"handles\":0}}",
                models.join(","),
                self.orders.load(Ordering::SeqCst),
                self.running.load(Ordering::SeqCst)
            ),
        )
        .with("Content-Type", "application/json")
    }

    fn order(&self, request: &Request) -> Reply {
        let Some(order) = Json::parse(&request.body) else { return reply(400, "") };
        let (model, version) = (order.get("model").text(), order.get("version").number() as u64);
        note(&format!("order: server {}: {}", self.number, String::from_utf8_lossy(&request.body)));
        let mut versions = self.versions.lock().unwrap();
        match versions.get_mut(model) {
            Some(current) if *current == version => reply(200, ""),
            Some(current) => {
                *current = version;
                self.orders.fetch_add(1, Ordering::SeqCst);
                reply(202, "")
            }
            None => reply(400, ""),
        }
    }
}

// ---------------------------------------------------------------- the project's processes

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: String,
    child: Mutex<Option<Child>>,
    /// Set while the platform shall not start the process again.
    down: AtomicBool,
}

/// Values that differ between deployments.
pub struct Bounds {
    pub status_s: u64,
}

pub struct Fleet {
    pub nodes: Vec<Arc<Node>>,
    folder: String,
    ended: Arc<AtomicBool>,
}

fn free_port(ip: Ipv4Addr) -> SocketAddr {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

impl Node {
    /// Starts the process with the command of deploy/system.toml. Its settings are named by the variable.
    fn spawn(&self) {
        let mut command = Command::new("target/release/flamingoscale-entry");
        command
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("FLAMINGOSCALE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(Stdio::null());
        match std::env::var("LOGS") {
            Ok(folder) => {
                let path = format!("{folder}/{}.log", self.name);
                let file = fs::OpenOptions::new().create(true).append(true).open(path).unwrap();
                command.stdout(file);
            }
            Err(_) => {
                command.stdout(Stdio::null());
            }
        }
        // If the case ends without having ended the process, the kernel does (PR_SET_PDEATHSIG).
        unsafe {
            command.pre_exec(|| {
                prctl(1, KILL as u64, 0_u64, 0_u64, 0_u64);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => {
                note(&format!("platform: {} starts, process {}", self.name, child.id()));
                *self.child.lock().unwrap() = Some(child);
            }
            Err(error) => {
                println!("target/release/flamingoscale-entry can't be started: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            say(&format!("platform: signal {signal} to {}, process {}", self.name, child.id()));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// SIGKILL, and the process stays down for `down_ms`.
    #[allow(dead_code)]
    pub fn kill_for(self: &Arc<Self>, down_ms: u64) {
        self.down.store(true, Ordering::SeqCst);
        self.signal(KILL);
        let node = self.clone();
        spawn(move || {
            sleep_ms(down_ms);
            node.down.store(false, Ordering::SeqCst);
        });
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host", "ready")];
        matches!(call(self.ready, "GET", "/api/readyz", &headers, b"", 500), Ok(it) if it.status == 200)
    }

    /// What the directory of this node names, and for how long.
    pub fn resolve(&self) -> Option<(Vec<SocketAddr>, f64)> {
        let target = "/api/resolve?name=reports.example&region=hajar&zone=saiq";
        let answer = call(self.directory, "GET", target, &[("Host", "directory")], b"", 1_000).ok()?;
        if answer.status != 200 {
            return None;
        }
        let json = Json::parse(&answer.body)?;
        let addresses = json.get("addrs").list().iter().filter_map(|it| it.text().parse().ok());
        Some((addresses.collect(), json.get("ttl_s").number()))
    }
}

impl Fleet {
    pub fn start(count: usize, store: &Store, cloud: SocketAddr, bounds: &Bounds) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let folder = folder.to_string_lossy().into_owned();
        let zones = ["saiq", "shams", "nizwa"];
        let mut nodes = Vec::new();
        for number in 0..count {
            let ip = host(100 + number as u8);
            let ports: Vec<SocketAddr> = {
                let held: Vec<TcpListener> =
                    (0..5).map(|_| TcpListener::bind((ip, 0)).unwrap()).collect();
                held.iter().map(|it| it.local_addr().unwrap()).collect()
            };
            let zone = zones[number % 3];
            let name = format!("front-{zone}-{}", 1 + number / 3);
            let settings = format!("{folder}/{name}.ini");
            // deploy/settings.ini, filled in with the figures of the sheet of wadi-piste.
            let template = fs::read_to_string("deploy/settings.ini").unwrap_or_else(|error| {
                println!("deploy/settings.ini: {error}");
                std::process::exit(2);
            });
            let values = [
                ("node", name.clone()),
                ("zone", zone.to_owned()),
                ("limits.cpu_share", "0.5".to_owned()),
                ("listen.front", ports[0].to_string()),
                ("listen.ready_addr", ports[1].to_string()),
                ("listen.directory", ports[2].to_string()),
                ("ip}}:9464", format!("{ip}:{}", ports[3].port())),
                ("ip}}:{{port_range.0", format!("{ip}:{}", ports[4].port())),
                ("platform.addr", store.address.to_string()),
                ("platform.read_mb_s", "80.0".to_owned()),
                ("platform.record_bytes", "262144".to_owned()),
                ("platform.call_bytes", "2097152".to_owned()),
                ("cloud.addr", cloud.to_string()),
                ("cloud.duties", "metering,autoscale".to_owned()),
                ("bounds.grace_s", "8".to_owned()),
                ("bounds.report_window_s", "5".to_owned()),
                ("bounds.ttl_max_s", "5".to_owned()),
                ("bounds.status_s", bounds.status_s.to_string()),
                ("bounds.config_ms", "2000".to_owned()),
                ("bounds.lease_ms", "3000".to_owned()),
                ("bounds.cold_overshoot", String::new()),
                ("bounds.cold_slack", String::new()),
            ];
            let mut text = template;
            for (name, value) in values {
                let whole = match name.starts_with("ip}}:9464") {
                    true => "{{ip}}:9464".to_owned(),
                    false => format!("{{{{{name}}}}}"),
                };
                text = text.replace(&whole, &value);
            }
            if text.contains("{{") {
                println!("a placeholder of deploy/settings.ini is not known to the case:\n{text}");
                std::process::exit(2);
            }
            fs::write(&settings, text).unwrap();
            nodes.push(Arc::new(Node {
                name,
                front: ports[0],
                ready: ports[1],
                directory: ports[2],
                settings,
                child: Mutex::new(None),
                down: AtomicBool::new(false),
            }));
        }
        let ended = Arc::new(AtomicBool::new(false));
        nodes.iter().for_each(|node| node.spawn());
        // The platform: a process that ends is started again after a short delay.
        let (watched, stop) = (nodes.clone(), ended.clone());
        spawn(move || loop {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            for node in &watched {
                let exited = {
                    let mut child = node.child.lock().unwrap();
                    match child.as_mut().map(|it| it.try_wait()) {
                        Some(Ok(Some(status))) => {
                            note(&format!("platform: {} has ended: {status}", node.name));
                            *child = None;
                            true
                        }
                        Some(_) => false,
                        None => true,
                    }
                };
                if exited && !node.down.load(Ordering::SeqCst) && !stop.load(Ordering::SeqCst) {
                    sleep_ms(300);
                    node.spawn();
                }
            }
            sleep_ms(50);
        });
        Self { nodes, folder, ended }
    }

    /// Waits until all nodes are ready; the case can't run otherwise.
    pub fn wait_ready(&self) {
        let end = at() + 15.0;
        while !self.nodes.iter().all(|node| node.is_ready()) {
            if at() > end {
                self.end();
                println!("the nodes did not become ready");
                std::process::exit(2);
            }
            sleep_ms(50);
        }
        say("all nodes are ready");
    }

    /// Ends all processes.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for node in &self.nodes {
            node.down.store(true, Ordering::SeqCst);
        }
        sleep_ms(400);
        for node in &self.nodes {
            if let Some(mut child) = node.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[allow(dead_code)]
pub fn unused_port() -> SocketAddr {
    free_port(host(3))
}
