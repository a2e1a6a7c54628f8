//! A model server whose answers have no length is killed while it streams texts.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, ChildStdin, Command, ExitCode, Stdio},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    clients::{Batch, Client, ItemResult},
    fleet::{host, Fleet, ZONES},
    net::call,
    record::Log,
    servers::{Seen, Server, Work},
    Outcome, Platform,
};

const INSTANCES: usize = 3;

/// Model servers, of which one is killed: a share of 0.17.
const ENGINES: usize = 6;
const SLOTS: usize = 12;

/// The length of a text.
const EVENTS: u64 = 24;
const EVENT_MS: u64 = 40;

/// Groups of four items in a batch: they fill the slots of all servers once.
const GROUPS: usize = ENGINES * SLOTS / 4;
const BATCHES: u64 = 4;

/// The server is killed so long after the batch was accepted, in each batch but the first.
const KILL_MS: u64 = 600;

/// How long it is down.
const DOWN: Duration = Duration::from_millis(4_500);

/// How long a batch is read.
const READ_MS: u64 = 12_000;

/// A model server in a process of its own.
struct Engine {
    process: Child,
    /// The process ends with this.
    _input: ChildStdin,
}

impl Engine {
    fn start(
        (id, zone): (&str, &str),
        address: SocketAddr,
        store: SocketAddr,
        log: &Arc<Log>,
    ) -> io::Result<Self> {
        let mut process = Command::new(std::env::current_exe()?)
            .args(["engine", id, zone, &address.to_string(), &store.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        if let Some(path) = std::env::var_os("PROCESSES") {
            let mut list = File::options().append(true).create(true).open(path)?;
            writeln!(list, "{}", process.id())?;
        }
        let input = process.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let output = process.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let log = log.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                // Without the time of that process.
                log.line(line.get(10..).unwrap_or(""));
            }
        });
        Ok(Self {
            process,
            _input: input,
        })
    }

    fn kill(&mut self) -> io::Result<()> {
        self.process.kill()?;
        self.process.wait()?;
        Ok(())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// Serves as a model server until the standard input ends.
pub fn serve_engine(id: &str, zone: &str, address: &str, store: &str) -> ExitCode {
    let start = || -> io::Result<()> {
        let store: SocketAddr = store.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
        let seen = Seen::new(Arc::new(Log::to_output()?));
        let list = move |id: &str, entry: &str| {
            let key = id.as_bytes();
            let mut record = ((1 + key.len() + entry.len()) as u32).to_be_bytes().to_vec();
            record.push(key.len() as u8);
            record.extend_from_slice(key);
            record.extend_from_slice(entry.as_bytes());
            let target = "/api/log-append?topic=keyed.servers&part=0";
            // The next heartbeat makes up for a lost one.
            let _ = call(store, "POST", target, &[("host", "store")], &record, Duration::from_secs(1));
        };
        let work = Work::OpenText {
            events: EVENTS,
            event_ms: EVENT_MS,
        };
        let listener = TcpListener::bind(address)?;
        Server::start_at(listener, list, &seen, (id, "engines", zone), (SLOTS, work, &["m0"]))?;
        Ok(())
    };
    if let Err(error) = start() {
        eprintln!("the model server could not start: {error}");
        return ExitCode::from(2);
    }
    let _ = io::stdin().read_to_end(&mut Vec::new());
    ExitCode::SUCCESS
}

/// Plays the case.
pub fn play(platform: &Platform, folder: &Path, trouble: bool) -> Outcome {
    platform.configure(1_500, 4);
    let log = &platform.log;
    let store = platform.store_address;
    let mut addresses = Vec::new();
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let address = TcpListener::bind((host(4 + number).as_str(), 0))?.local_addr()?;
        let names = (format!("i-7f3a91c{number}"), ZONES[number % ZONES.len()]);
        engines.push(Engine::start((&names.0, names.1), address, store, log)?);
        addresses.push(address);
    }
    let fleet = Fleet::start(INSTANCES, store, platform.cloud_address)?;
    let client = Client::new(&fleet, 5, log);
    let mut results: Vec<ItemResult> = Vec::new();
    for step in 0..BATCHES {
        let batch = Batch::new(step, GROUPS, GROUPS, false);
        if !until(5_000, || client.submit(&batch)) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let submitted_ms = log.now_ms();
        let victim = step as usize;
        if trouble && step > 0 {
            thread::sleep(Duration::from_millis(KILL_MS));
            log.line(&format!("model server i-7f3a91c{victim} is killed"));
            engines[victim].kill()?;
        }
        let mut listed: Vec<ItemResult> = Vec::new();
        while listed.len() < batch.items && log.now_ms() < submitted_ms + READ_MS {
            match client.results(&batch.id, listed.len()) {
                Some(more) => listed.extend(more),
                None => thread::sleep(Duration::from_millis(300)),
            }
        }
        log.line(&format!("batch {}: {} of {} listed", batch.id, listed.len(), batch.items));
        if step == 0 && listed.len() < batch.items {
            return Err(io::ErrorKind::InvalidData.into());
        }
        results.extend(listed);
        until(5_000, || client.end(&batch.id));
        if trouble && step > 0 {
            thread::sleep(DOWN);
            let names = (format!("i-8e4b02d{victim}"), ZONES[victim % ZONES.len()]);
            engines[victim] = Engine::start((&names.0, names.1), addresses[victim], store, log)?;
            thread::sleep(Duration::from_secs(2));
        }
    }
    if std::env::var_os("KEEP_LOGS").is_some() {
        fleet.keep_logs(&folder.join("logs"));
    }
    drop(fleet);
    let mut broken = false;
    for result in results.iter().filter(|result| result.state == "complete") {
        let events: Vec<String> = (1..=EVENTS).map(|event| format!("{}-{event}", result.id)).collect();
        if result.output != events.join("\\n") {
            broken = true;
            let listed = result.output.split("\\n").count();
            log.line(&format!(
                "BROKEN: item {} is complete; its text has {listed} of {EVENTS} events",
                result.id
            ));
        }
    }
    Ok(broken)
}

/// Repeats something until it succeeds or the time is up. Returns whether it succeeded.
fn until(limit_ms: u64, attempt: impl Fn() -> bool) -> bool {
    let deadline = std::time::Instant::now() + Duration::from_millis(limit_ms);
    loop {
        if attempt() {
            return true;
        }
        if std::time::Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(300));
    }
}
