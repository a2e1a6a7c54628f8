//! A key is taken away while the store does not answer some machines, and its records are deleted.

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
    clients::{new_id, Client, HOST},
    fleet::{host, Fleet, ZONES},
    net::call,
    servers::{Server, Work},
    store::Access,
    Outcome, Platform,
};

const INSTANCES: usize = 11;
const SERVERS: usize = 4;
const SLOTS: usize = 12;
const WORK_MS: u64 = 10;

/// So many of the instances get no response for so long: a share of 0.27.
const SILENT: usize = 3;
const SILENCE: Duration = Duration::from_millis(7_200);
const ROUNDS: usize = 7;

/// How long a key is in force before the silence.
const KEY_IN_FORCE: Duration = Duration::from_millis(2_500);

/// How long after the begin of the silence the key is taken away.
const LEAD: Duration = Duration::from_millis(500);

/// Bounds of the rules.
const CONTACT_MS: u64 = 3_000;
const CONFIG_MS: u64 = 2_000;

/// How long requests are counted.
const COUNTED: Duration = Duration::from_millis(1_300);

/// Clients, the pause after each of their requests, and how long they keep an answer of the directory.
const CLIENTS: u64 = 24;
const PAUSE: Duration = Duration::from_millis(60);
const TTL: Duration = Duration::from_secs(2);

const TIMEOUT_MS: u64 = 1_500;
const ATTEMPTS: u32 = 4;

/// A key that was taken away.
struct Removal {
    key: String,
    at_ms: u64,
    /// From then on all machines are in touch.
    in_touch_ms: u64,
}

/// Plays the case.
pub fn play(platform: &Platform, folder: &Path, trouble: bool) -> Outcome {
    platform.configure(TIMEOUT_MS, ATTEMPTS);
    let log = &platform.log;
    let mut servers = Vec::new();
    for (number, zone) in ZONES.iter().enumerate().take(SERVERS) {
        let id = format!("i-7f3a91c{number}");
        let names = (id.as_str(), "desk", *zone);
        let work = Work::Answer { ms: WORK_MS };
        let kind = (SLOTS, work, [].as_slice());
        servers.push(Server::start(&platform.store, &platform.seen, &host(4 + number), names, kind)?);
    }
    let accesses = (0..INSTANCES).map(|number| Access::open(&platform.store, &host(30 + number)));
    let accesses = accesses.collect::<std::io::Result<Vec<_>>>()?;
    let stores: Vec<_> = accesses.iter().map(|it| it.address).collect();
    let fleet = Fleet::start_with(&stores, platform.cloud_address)?;
    // When each request was sent, and with which key.
    let sent: Arc<Mutex<HashMap<String, (u64, String)>>> = Arc::default();
    let key: Arc<Mutex<String>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let client = Client::new(&fleet, 5 + number, log);
        let (log, sent, key, is_over) = (log.clone(), sent.clone(), key.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let mut asked = Instant::now();
            let mut addresses = client.addresses();
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(PAUSE);
                if asked.elapsed() > TTL || addresses.is_empty() {
                    asked = Instant::now();
                    addresses = client.addresses();
                }
                let key = key.lock().unwrap().clone();
                let Some(address) = client.pick(&addresses).filter(|_| !key.is_empty()) else {
                    continue;
                };
                let (id, authorization) = (new_id(), format!("Bearer {key}"));
                let headers = [
                    ("host", HOST),
                    ("authorization", authorization.as_str()),
                    ("x-flamingoscale-request-id", id.as_str()),
                    ("x-flamingoscale-deadline-ms", "1500"),
                ];
                sent.lock().unwrap().insert(id.clone(), (log.now_ms(), key.clone()));
                let limit = Duration::from_millis(TIMEOUT_MS);
                let answer = call(address, "POST", &format!("/check/{id}"), &headers, b"slip", limit);
                let status = answer.map_or_else(|error| format!("{error:?}"), |it| it.status.to_string());
                log.line(&format!("request {id} with {key} at {address}: {status}"));
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));
    let mut removals = Vec::new();
    for round in 0..ROUNDS {
        let new_key = format!("3c0xve8qkey{round}");
        let version = 10 + 2 * round as u64;
        platform.configure_keys(version, &new_key, TIMEOUT_MS, ATTEMPTS);
        log.line(&format!("version {version} has the key {new_key}"));
        thread::sleep(KEY_IN_FORCE / 2);
        *key.lock().unwrap() = new_key.clone();
        thread::sleep(KEY_IN_FORCE / 2);
        let silent: Vec<usize> = (0..SILENT).map(|it| (round * SILENT + it) % INSTANCES).collect();
        if trouble {
            for number in &silent {
                log.line(&format!("the store stops answering {}", fleet.instances[*number].name));
                accesses[*number].set_silent(true);
            }
        }
        thread::sleep(LEAD);
        platform.configure_keys(version + 1, "", TIMEOUT_MS, ATTEMPTS);
        let at_ms = log.now_ms();
        platform.store.delete_records("keyed.op");
        log.line(&format!("version {} takes the key away; the records of keyed.op are deleted", version + 1));
        thread::sleep(SILENCE - LEAD);
        for number in &silent {
            accesses[*number].set_silent(false);
        }
        let in_touch_ms = if trouble { log.now_ms() + CONTACT_MS } else { at_ms };
        log.line("the store answers all machines");
        thread::sleep(Duration::from_millis(CONTACT_MS) + COUNTED);
        removals.push(Removal {
            key: new_key,
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
    for run in runs.iter() {
        let Some((sent_ms, key)) = sent.get(&run.id) else {
            continue;
        };
        let removal = removals.iter().find(|removal| removal.key == *key);
        let counts = |it: &&Removal| *sent_ms > it.at_ms + CONFIG_MS && *sent_ms >= it.in_touch_ms;
        if let Some(removal) = removal.filter(counts) {
            broken = true;
            log.line(&format!(
                "BROKEN: request {} was sent with {key} at {sent_ms} ms, {} ms after it was taken away and {} ms after \
                 all machines were in touch, and ran at {}",
                run.id,
                sent_ms - removal.at_ms,
                sent_ms - removal.in_touch_ms,
                run.server
            ));
        }
    }
    Ok(broken)
}
