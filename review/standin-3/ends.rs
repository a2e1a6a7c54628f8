//! The store turns all calls away for a second, several times. Afterwards trainers end batches.

use std::{
    collections::HashMap,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    clients::{Batch, Client},
    fleet::Fleet,
    record::Log,
    servers::{Run, Server, Work},
    Outcome, Platform,
};

const INSTANCES: usize = 11;
const TRAINERS: u64 = 23;

/// A batch has groups of four items, of which its trainer waits for nine in ten.
const GROUPS: usize = 60;
const DESIRED_GROUPS: usize = 54;

/// Time after which a trainer ends its batch whatever it has read.
const DEADLINE_MS: u64 = 12_000;

/// Refusals of the store: how many, how long, and the time from one to the next.
const REFUSALS: usize = 20;
const REFUSAL_MS: u64 = 1_000;
const REFUSAL_INTERVAL_MS: u64 = 2_200;

/// Time of traffic before the first refusal and after the last one.
const BEFORE_MS: u64 = 12_000;
const AFTER_MS: u64 = 45_000;

/// Pause between two calls that end a batch.
const END_INTERVAL: Duration = Duration::from_millis(1_500);

/// Bounds of the deployment.
const CONTACT_MS: u64 = 3_000;
const ACK_MS: u64 = 4_000;
const CANCEL_MS: u64 = 3_000;

/// The end of a batch, as its trainer saw it.
struct End {
    batch: String,
    sent_ms: u64,
    acknowledged_ms: Option<u64>,
    /// When it counts as acknowledged.
    counts_ms: u64,
}

/// Plays the case.
pub fn play(platform: &Platform, folder: &Path, trouble: bool) -> Outcome {
    platform.configure(1_500, 4);
    let mut servers = Vec::new();
    for number in 0..2 {
        let host = crate::fleet::host(4 + number);
        let id = format!("i-7f3a91c{number}");
        let zone = crate::fleet::ZONES[number];
        let work = Work::Text {
            events: 18,
            event_ms: 40,
        };
        let server = (id.as_str(), "engines", zone);
        let of_server = (8, work, &["m0"][..]);
        servers.push(Server::start(&platform.store, &platform.seen, &host, server, of_server)?);
    }
    let fleet = Fleet::start(INSTANCES, platform.store_address, platform.cloud_address)?;
    let stopped = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<Vec<End>>> = Arc::default();
    // From when on the store counts as stable; not known before the last refusal.
    let steady_ms = Arc::new(AtomicU64::new(if trouble { u64::MAX } else { 0 }));
    let trainers: Vec<_> = (0..TRAINERS)
        .map(|number| {
            let client = Arc::new(Client::new(&fleet, number, &platform.log));
            let (stopped, ends, log) = (stopped.clone(), ends.clone(), platform.log.clone());
            let steady_ms = steady_ms.clone();
            thread::spawn(move || {
                let mut step = 0;
                while !stopped.load(Ordering::SeqCst) {
                    train(&client, step, (&ends, &steady_ms), &log, &stopped);
                    step += 1;
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(BEFORE_MS));
    for _ in 0..REFUSALS {
        if trouble {
            platform.log.line("the store refuses calls");
            platform.store.refuse_for(Duration::from_millis(REFUSAL_MS));
        }
        thread::sleep(Duration::from_millis(REFUSAL_INTERVAL_MS));
    }
    if trouble {
        let last_refusal_ms = platform.log.now_ms() - REFUSAL_INTERVAL_MS + REFUSAL_MS;
        steady_ms.store(last_refusal_ms + CONTACT_MS, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_millis(AFTER_MS));
    stopped.store(true, Ordering::SeqCst);
    for trainer in trainers {
        let _ = trainer.join();
    }
    if std::env::var_os("KEEP_LOGS").is_some() {
        fleet.keep_logs(&folder.join("logs"));
    }
    drop(fleet);
    let ends = ends.lock().unwrap();
    let is_broken = judge(platform, &ends);
    Ok(is_broken)
}

/// Submits a batch, reads until the wanted groups are complete, and ends it.
fn train(
    client: &Arc<Client>,
    step: u64,
    (ends, steady_ms): (&Arc<Mutex<Vec<End>>>, &Arc<AtomicU64>),
    log: &Arc<Log>,
    stopped: &AtomicBool,
) {
    let batch = Batch::new(step, GROUPS, DESIRED_GROUPS, false);
    while !client.submit(&batch) {
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(Duration::from_millis(500));
    }
    let mut by_group: HashMap<usize, usize> = HashMap::new();
    let mut read = 0;
    let deadline_ms = log.now_ms() + DEADLINE_MS;
    let is_done = |by_group: &HashMap<usize, usize>| {
        by_group.values().filter(|count| **count == 4).count() >= DESIRED_GROUPS
    };
    while !is_done(&by_group) && log.now_ms() < deadline_ms && !stopped.load(Ordering::SeqCst) {
        let Some(results) = client.results(&batch.id, read) else {
            thread::sleep(Duration::from_millis(300));
            continue;
        };
        read += results.len();
        for result in results {
            let number = usize::from_str_radix(&result.id[8..], 16).unwrap_or(0);
            *by_group.entry(number / 4).or_default() += 1;
        }
    }
    log.line(&format!("batch {} read {read} of {}", batch.id, batch.items));
    let (client, ends, log, steady_ms) = (client.clone(), ends.clone(), log.clone(), steady_ms.clone());
    thread::spawn(move || end(&client, batch.id, &ends, &log, &steady_ms));
}

/// Ends a batch: calls again and again until it is acknowledged or counts as acknowledged.
fn end(client: &Client, batch: String, ends: &Mutex<Vec<End>>, log: &Log, steady_ms: &AtomicU64) {
    let sent_ms = log.now_ms();
    let counts_ms = || sent_ms.max(steady_ms.load(Ordering::SeqCst)).saturating_add(ACK_MS);
    let mut acknowledged_ms = None;
    while acknowledged_ms.is_none() && log.now_ms() < counts_ms() {
        match client.end(&batch) {
            true => acknowledged_ms = Some(log.now_ms()),
            false => thread::sleep(END_INTERVAL),
        }
    }
    let counts_ms = acknowledged_ms.unwrap_or(counts_ms());
    log.line(&format!("batch {batch} ended: sent at {sent_ms} ms, acknowledged: {acknowledged_ms:?}"));
    ends.lock().unwrap().push(End {
        batch,
        sent_ms,
        acknowledged_ms,
        counts_ms,
    });
}

/// Returns whether an item ran that reached a server too late after the end of its batch.
fn judge(platform: &Platform, ends: &[End]) -> bool {
    let runs = platform.seen.runs.lock().unwrap();
    let (mut unacknowledged, mut late) = (0, 0);
    for end in ends {
        unacknowledged += usize::from(end.acknowledged_ms.is_none());
        let is_late = |run: &&Run| {
            run.id.starts_with(&end.batch[..8]) && run.at_ms > end.counts_ms + CANCEL_MS
        };
        let of_batch = runs.iter().filter(is_late).count();
        if of_batch > 0 {
            platform.log.line(&format!(
                "BROKEN: the end of batch {} was sent at {} ms, got {} and counts as acknowledged at {} ms; {of_batch} of \
                 its items reached a server more than {CANCEL_MS} ms later",
                end.batch,
                end.sent_ms,
                if end.acknowledged_ms.is_some() { "200" } else { "no acknowledgement" },
                end.counts_ms,
            ));
        }
        late += of_batch;
    }
    platform.log.line(&format!(
        "{} batches ended, {unacknowledged} without acknowledgement in {ACK_MS} ms of steady state, {late} items too late",
        ends.len()
    ));
    late > 0
}
