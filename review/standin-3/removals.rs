//! Servers leave without a report right before the store stops answering one of the machines.

use std::{
    collections::HashMap,
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    clients::{new_id, Client, HOST, KEY},
    fleet::{host, Fleet, ZONES},
    net::call,
    servers::{Server, Work},
    store::Access,
    Outcome, Platform,
};

const INSTANCES: usize = 3;
const SERVERS_A_ZONE: usize = 2;
const SLOTS: usize = 6;
const WORK_MS: u64 = 15;

/// One of the instances gets no response for so long: a share of 0.33.
const SILENCE: Duration = Duration::from_millis(4_500);
const ROUNDS: usize = 8;

/// A server leaves so long before.
const LEAD: Duration = Duration::from_millis(100);

/// How long a server serves after the end of the silence.
const SERVES_ON: Duration = Duration::from_millis(5_200);
const CALM: Duration = Duration::from_millis(1_500);

/// Bounds of the rules.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

/// Clients, the pause after each of their requests, and how long they keep an answer of the directory.
const CLIENTS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(60);
const TTL: Duration = Duration::from_secs(2);

/// A server that left.
struct Removal {
    server: String,
    at_ms: u64,
    /// From then on all machines are in touch.
    in_touch_ms: u64,
}

/// Plays the case.
pub fn play(platform: &Platform, folder: &Path, trouble: bool) -> Outcome {
    platform.configure(1_500, 4);
    let log = &platform.log;
    let start_server = |zone: usize, number: usize| {
        let id = format!("i-7f3a{zone}{number:03x}");
        let host = host(40 + (zone * 60 + number) % 200);
        let names = (id.as_str(), "desk", ZONES[zone]);
        let work = Work::Answer { ms: WORK_MS };
        Server::start(&platform.store, &platform.seen, &host, names, (SLOTS, work, &[])).map(|it| (id, it))
    };
    let mut servers: Vec<Vec<(String, Arc<Server>)>> = Vec::new();
    for zone in 0..INSTANCES {
        let started = (0..SERVERS_A_ZONE).map(|number| start_server(zone, number));
        servers.push(started.collect::<std::io::Result<_>>()?);
    }
    let accesses = (0..INSTANCES).map(|number| Access::open(&platform.store, &host(20 + number)));
    let accesses = accesses.collect::<std::io::Result<Vec<_>>>()?;
    let stores: Vec<_> = accesses.iter().map(|it| it.address).collect();
    let fleet = Fleet::start_with(&stores, platform.cloud_address)?;
    // When each request was sent.
    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let client = Client::new(&fleet, 5 + number, log);
        let (log, sent, is_over) = (log.clone(), sent.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let mut asked = Instant::now();
            let mut addresses = client.addresses();
            while !is_over.load(Ordering::SeqCst) {
                if asked.elapsed() > TTL || addresses.is_empty() {
                    asked = Instant::now();
                    addresses = client.addresses();
                }
                if let Some(address) = client.pick(&addresses) {
                    let id = new_id();
                    let headers = [
                        ("host", HOST),
                        ("authorization", KEY),
                        ("x-flamingoscale-request-id", id.as_str()),
                        ("x-flamingoscale-deadline-ms", "1500"),
                    ];
                    sent.lock().unwrap().insert(id.clone(), log.now_ms());
                    let limit = Duration::from_millis(1_500);
                    let target = format!("/check/{id}");
                    let answer = call(address, "POST", &target, &headers, b"slip", limit);
                    let status = answer.map_or_else(|error| format!("{error:?}"), |it| it.status.to_string());
                    log.line(&format!("request {id} at {address}: {status}"));
                }
                thread::sleep(PAUSE);
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));
    let mut removals = Vec::new();
    for round in 0..ROUNDS {
        let zone = round % INSTANCES;
        servers[zone].push(start_server(zone, SERVERS_A_ZONE + round)?);
        thread::sleep(CALM);
        let (id, leaving) = servers[zone].remove(0);
        leaving.leave(&platform.store);
        let at_ms = log.now_ms();
        log.line(&format!("server {id} has left the list"));
        thread::sleep(LEAD);
        if trouble {
            log.line(&format!("the store stops answering {}", fleet.instances[zone].name));
            accesses[zone].set_silent(true);
        }
        thread::sleep(SILENCE);
        accesses[zone].set_silent(false);
        let in_touch_ms = if trouble { log.now_ms() + CONTACT_MS } else { at_ms };
        log.line("the store answers all machines");
        thread::sleep(SERVES_ON);
        leaving.exit();
        log.line(&format!("server {id} has exited"));
        removals.push(Removal {
            server: id,
            at_ms,
            in_touch_ms,
        });
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    if std::env::var_os("KEEP_LOGS").is_some() {
        fleet.keep_logs(&folder.join("logs"));
    }
    drop(fleet);
    let (sent, runs) = (sent.lock().unwrap(), platform.seen.runs.lock().unwrap());
    if runs.len() < 1_000 {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut broken = false;
    for removal in &removals {
        for run in runs.iter().filter(|run| run.server == removal.server) {
            let sent_ms = sent.get(&run.id).copied().unwrap_or(0);
            if run.at_ms > removal.at_ms + DRAIN_MS && sent_ms >= removal.in_touch_ms {
                broken = true;
                log.line(&format!(
                    "BROKEN: request {} was sent at {sent_ms} ms and reached {} at {} ms, {} ms after its removal and \
                     {} ms after all machines were in touch",
                    run.id,
                    run.server,
                    run.at_ms,
                    run.at_ms - removal.at_ms,
                    run.at_ms - removal.in_touch_ms
                ));
            }
        }
    }
    Ok(broken)
}
