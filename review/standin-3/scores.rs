//! The server that scores texts turns slow, so that it gives up its work at the deadline of each call.

use std::{path::Path, thread, time::Duration};

use crate::{
    clients::{Batch, Client, ItemResult},
    fleet::Fleet,
    servers::{Server, Work},
    Outcome, Platform,
};

const INSTANCES: usize = 3;
const BATCHES: u64 = 4;
const GROUPS: usize = 3;

/// Timeout of the route that scores, and its number of attempts.
const TIMEOUT_MS: u64 = 800;
const ATTEMPTS: u32 = 4;

/// Work of the server that scores, and how slow it turns, and for how long.
const WORK_MS: u64 = 210;
const SLOWNESS: f64 = 4.0;
const SLOW_MS: u64 = 8_000;

/// How long a batch is read.
const READ_MS: u64 = 14_000;

/// Plays the case.
pub fn play(platform: &Platform, folder: &Path, trouble: bool) -> Outcome {
    platform.configure(TIMEOUT_MS, ATTEMPTS);
    let mut servers = Vec::new();
    for number in 0..2 {
        let host = crate::fleet::host(4 + number);
        let id = format!("i-7f3a91c{number}");
        let work = Work::Text {
            events: 12,
            event_ms: 10,
        };
        let server = (id.as_str(), "engines", crate::fleet::ZONES[number]);
        servers.push(Server::start(
            &platform.store,
            &platform.seen,
            &host,
            server,
            (12, work, &["m0"]),
        )?);
    }
    let host = crate::fleet::host(8);
    let work = Work::Answer { ms: WORK_MS };
    let server = ("i-55d0e2b1", "desk", crate::fleet::ZONES[0]);
    let desk = Server::start(&platform.store, &platform.seen, &host, server, (6, work, &[]))?;
    let fleet = Fleet::start(INSTANCES, platform.store_address, platform.cloud_address)?;
    let client = Client::new(&fleet, 5, &platform.log);
    // The first batch shows that texts are scored.
    let mut errored = Vec::new();
    for step in 0..BATCHES {
        if step == 1 && trouble {
            platform.log.line("the server that scores turns slow");
            desk.slow_down(SLOWNESS);
        }
        let batch = Batch::new(step, GROUPS, GROUPS, true);
        if !until(5_000, || client.submit(&batch)) {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        let submitted_ms = platform.log.now_ms();
        let mut results: Vec<ItemResult> = Vec::new();
        while results.len() < batch.items && platform.log.now_ms() < submitted_ms + READ_MS {
            if step == 1 && platform.log.now_ms() > submitted_ms + SLOW_MS {
                desk.slow_down(1.0);
            }
            match client.results(&batch.id, results.len()) {
                Some(more) => results.extend(more),
                None => thread::sleep(Duration::from_millis(300)),
            }
        }
        desk.slow_down(1.0);
        let complete = results.iter().filter(|it| it.state == "complete" && it.score.is_some());
        let complete = complete.count();
        platform.log.line(&format!(
            "batch {}: {} of {} listed, {complete} complete with a score",
            batch.id,
            results.len(),
            batch.items
        ));
        if step == 0 && complete < batch.items {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        errored.extend(results.into_iter().filter(|it| it.state == "errored"));
        until(5_000, || client.end(&batch.id));
    }
    if std::env::var_os("KEEP_LOGS").is_some() {
        fleet.keep_logs(&folder.join("logs"));
    }
    drop(fleet);
    let answers = platform.seen.answers.lock().unwrap();
    let mut broken = false;
    for result in errored {
        let given = answers.get(&format!("s{}", result.id)).cloned().unwrap_or_default();
        let failures = given.iter().filter(|status| **status == 500).count();
        if failures < ATTEMPTS as usize {
            broken = true;
            platform.log.line(&format!(
                "BROKEN: item {} is errored; its reward call got {given:?}, so {failures} responses of 500",
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
