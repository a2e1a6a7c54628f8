//! The cases.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
};

use crate::{clients::*, net::*, world::*};

pub fn run(name: &str, trouble: bool) -> i32 {
    match name {
        "reused-text" => reused_text(trouble),
        "ended-route" => ended_route(trouble),
        "long-batch" => long_batch(trouble),
        "same-lookup" => same_lookup(trouble),
        "crashing-stream" => crashing_stream(trouble),
        "stopped-machine" => stopped_machine(trouble),
        _ => {
            println!("no case {name}");
            2
        }
    }
}

/// A small deployment: store, duties, three engines, lookup servers, three nodes.
struct Small {
    store: Store,
    runs: Arc<Runs>,
    portals: Vec<Arc<Server>>,
    engines: Vec<Arc<Server>>,
    fleet: Fleet,
}

const ZONES: [&str; 3] = ["saiq", "shams", "nizwa"];
const MODEL: &str = "daka510000";

fn small(
    configuration: &str,
    (portals, portal_slots, work_ms): (usize, u32, u64),
    (engines, engine_slots): (usize, u32),
    bounds: &Bounds,
) -> Small {
    let store = Store::start();
    let cloud = start_cloud();
    let runs: Arc<Runs> = Arc::default();
    store.configure(configuration);
    let portal = |number: usize| {
        let place = (number, "trail-portal", ZONES[number % 3]);
        Server::start(place, (portal_slots, work_ms), &[], &store, &runs)
    };
    let portals: Vec<_> = (0..portals).map(portal).collect();
    let engine = |number: usize| {
        let place = (20 + number, "draft-models", ZONES[number % 3]);
        Server::start(place, (engine_slots, 0), &[MODEL], &store, &runs)
    };
    let engines: Vec<_> = (0..engines).map(engine).collect();
    let fleet = Fleet::start(3, &store, cloud, bounds);
    fleet.wait_ready();
    // Traffic starts 10 s after the machines do.
    sleep_until(10.0);
    Small { store, runs, portals, engines, fleet }
}

fn item(id: &str, group: &str, events: u64, event_ms: u64) -> Item {
    Item {
        id: id.to_owned(),
        group: group.to_owned(),
        model: MODEL.to_owned(),
        events,
        event_ms,
        status: 200,
    }
}

/// A group that was not complete comes back in a later batch job; its finished item is listed there with
/// the text of the earlier one.
fn reused_text(trouble: bool) -> i32 {
    let status_s: u64 = std::env::var("STATUS_S").ok().and_then(|it| it.parse().ok()).unwrap_or(60);
    let config = configuration(1, &[drafts_route(40, 7_500)], &[MODEL]);
    let small = small(&config, (1, 6, 25), (3, 12), &Bounds { status_s });
    let nodes = &small.fleet.nodes;
    let mut broken = Vec::new();
    let first_at = at();
    let first = Job {
        id: "7c41e09b52d6a3f8".to_owned(),
        step: 0,
        model: MODEL.to_owned(),
        min_version: 1,
        desired: 1,
        // 12 s are the trainer's limit: the last item of the group takes longer.
        items: vec![
            item("e5b2907c14da6f38", "g1", 10, 50),
            item("91c41de0aa37b2f5", "g1", 150, 100),
        ],
    };
    if !submit(nodes, &first) {
        return cannot(small, "the first batch job was not accepted");
    }
    sleep_until(first_at + 12.0);
    let listed = read_all(&nodes[0], &first.id).unwrap_or_default();
    say(&format!("trainer: at its limit it has read {listed:?} of the first batch job"));
    end(nodes, &first.id);
    // It trains and asks for the next step; the group comes back.
    sleep_until(first_at + 20.0);
    let second_at = at();
    let second = Job { id: "0b6f21c77d905e14".to_owned(), step: 1, ..first.clone() };
    if !submit(nodes, &second) {
        return cannot(small, "the second batch job was not accepted");
    }
    let mut complete = Vec::new();
    while complete.len() < 2 && at() < second_at + 12.0 {
        sleep_ms(500);
        complete = read_all(&nodes[0], &second.id).unwrap_or_default();
    }
    if complete.len() < 2 {
        return cannot(small, "the second batch job was not completed in time");
    }
    for node in nodes {
        let read = read_all(node, &second.id);
        say(&format!("reader: the second batch job at {}: {read:?}", node.name));
    }
    for result in &complete {
        let events = first.items.iter().find(|it| it.id == result.id).map_or(0, |it| it.events);
        if result.state == "complete" && result.output != whole_text(&result.id, events) {
            broken.push(format!("{} is listed with another text", result.id));
        }
    }
    end(nodes, &second.id);
    if trouble {
        // Machines are stopped and started in turn.
        for (number, node) in nodes.iter().enumerate() {
            sleep_until(second_at + 14.0 + 4.0 * number as f64);
            node.signal(TERM);
        }
    }
    // Until status_s after its submission all nodes give the results again.
    let until = second_at + status_s as f64 - 0.5;
    // Other clients of the tenant come again when the first batch job, but not the second, is old.
    let mut from = first_at + status_s as f64 + 12.0;
    let mut refused: Vec<(f64, String)> = Vec::new();
    let mut last: HashMap<String, (f64, Result<usize, u16>)> = HashMap::new();
    while at() < until {
        sleep_until(from);
        from += 1.0;
        for node in nodes {
            let read = read_all(node, &second.id);
            if let Ok(read) = &read {
                if *read != complete {
                    broken.push(format!("{} gives other results: {read:?}", node.name));
                }
            }
            if let Err(status) = &read {
                refused.push((at(), format!("{} answers {status}", node.name)));
            }
            last.insert(node.name.clone(), (at(), read.map(|it| it.len())));
        }
    }
    say(&format!("refusals of the second batch job: {refused:?}"));
    let gone = last.values().all(|(_, read)| read.is_err());
    if gone {
        broken.push(format!(
            "results that had been read don't come again: {:.1} s after the submission (status_s is {status_s}) \
             no node gives the second batch job: {last:?}",
            at() - second_at
        ));
    }
    small.fleet.end();
    verdict("LOST", &broken)
}

fn cannot(small: Small, why: &str) -> i32 {
    say(&format!("the case can't run: {why}"));
    small.fleet.end();
    2
}

/// The configuration removes the route of a batch job that is accepted and listed.
fn ended_route(trouble: bool) -> i32 {
    let routes = [drafts_route(40, 7_500), cards_route("/card/", 800, false)];
    let small = small(&configuration(1, &routes, &[MODEL]), (1, 6, 25), (3, 12), &Bounds { status_s: 120 });
    let nodes = &small.fleet.nodes;
    let mut broken = Vec::new();
    let job = Job {
        id: "7c41e09b52d6a3f8".to_owned(),
        step: 0,
        model: MODEL.to_owned(),
        min_version: 1,
        desired: 2,
        items: (0..8)
            .map(|number| item(&format!("e5b2907c14da6f{number:02}"), &format!("g{}", number / 4), 12, 50))
            .collect(),
    };
    if !submit(nodes, &job) {
        return cannot(small, "the batch job was not accepted");
    }
    let mut complete = Vec::new();
    while complete.len() < 8 && at() < 24.0 {
        sleep_ms(500);
        complete = read_all(&nodes[0], &job.id).unwrap_or_default();
    }
    if complete.len() < 8 {
        return cannot(small, "the batch job was not completed");
    }
    if trouble {
        small.store.configure(&configuration(2, &routes[1..], &[MODEL]));
    }
    let changed_at = at();
    // config_ms is 2 s, settle_ms 1 s, contact_ms 3 s: from here on all of them are over.
    sleep_until(changed_at + 6.0);
    while at() < changed_at + 30.0 {
        for node in nodes {
            match read_all(node, &job.id) {
                Ok(read) if read != complete => {
                    broken.push(format!("{} gives other results: {read:?}", node.name))
                }
                Ok(_) => (),
                Err(status) => broken.push(format!("{} answers {status} for the batch job", node.name)),
            }
        }
        sleep_ms(1_000);
    }
    small.fleet.end();
    verdict("LOST", &broken)
}

/// A batch job that is open for more than a minute, while the machine that runs it is killed.
fn long_batch(trouble: bool) -> i32 {
    let config = configuration(1, &[drafts_route(110, 90_000)], &[MODEL]);
    let small = small(&config, (1, 6, 25), (3, 12), &Bounds { status_s: 120 });
    let nodes = &small.fleet.nodes;
    let job = |id: &str, step: u64, count: usize, events: u64| Job {
        id: id.to_owned(),
        step,
        model: MODEL.to_owned(),
        min_version: 1,
        desired: (count / 4) as u64,
        items: (0..count)
            .map(|number| {
                item(&format!("{}{number:04}", &id[..12]), &format!("{id}g{}", number / 4), events, 100)
            })
            .collect(),
    };
    // 36 slots, 40 events of 100 ms: nine items a second. Items that are longer stand at the end.
    let jobs = [
        job("7c41e09b52d6a3f8", 0, 640, 40),
        job("0b6f21c77d905e14", 1, 4, 10),
        job("d3a90c5512fe7b60", 2, 4, 10),
    ];
    let began = at();
    for job in &jobs {
        if !submit(nodes, job) {
            return cannot(small, "a batch job was not accepted");
        }
        sleep_ms(500);
    }
    // The machine that runs the items: the one whose connections the engines see is not known to a
    // client, so all are killed in the same moment, as a herd.
    sleep_until(began + 63.0);
    if trouble {
        for node in nodes {
            node.kill_for(2_000);
        }
    }
    let mut total: HashMap<String, usize> = HashMap::new();
    let mut changed_at = at();
    let limit = began + 92.0;
    while at() < limit {
        sleep_ms(1_000);
        for job in &jobs {
            for node in nodes {
                if let Ok(read) = read_all(node, &job.id) {
                    let before = total.insert(job.id.clone(), read.len()).unwrap_or(0);
                    if read.len() > before {
                        changed_at = at();
                    }
                    break;
                }
            }
        }
        if jobs.iter().all(|job| total.get(&job.id) == Some(&job.items.len())) {
            break;
        }
    }
    let mut broken = Vec::new();
    let finished = small.runs.finished.lock().unwrap().clone();
    let begun = small.runs.begun.lock().unwrap().clone();
    for job in &jobs {
        let ids: Vec<&String> = job.items.iter().map(|it| &it.id).collect();
        let unfinished: Vec<_> = ids.iter().filter(|id| !finished.contains_key(**id)).collect();
        let last = ids.iter().filter_map(|id| begun.get(*id)).flatten().map(|it| it.0).fold(0.0, f64::max);
        say(&format!(
            "batch job {}: {} of {} items listed, {} finished at no server, the last one began {:.1} s before the end",
            job.id,
            total.get(&job.id).unwrap_or(&0),
            ids.len(),
            unfinished.len(),
            at() - last
        ));
        if !unfinished.is_empty() && at() - last >= 5.0 {
            broken.push(format!(
                "step {} runs out of time: {} items that no server has finished have been at no server for {:.1} s",
                job.step,
                unfinished.len(),
                at() - last
            ));
        }
    }
    say(&format!("results last grew {:.1} s before the end", at() - changed_at));
    small.fleet.end();
    verdict("LOST", &broken)
}

/// Many callers look up the same public card; lookup servers crash now and then; then the final fault.
fn same_lookup(trouble: bool) -> i32 {
    let routes = [drafts_route(40, 7_500), cards_route("/card/", 800, true)];
    let small = small(&configuration(1, &routes, &[MODEL]), (6, 6, 120), (3, 12), &Bounds { status_s: 120 });
    let nodes = small.fleet.nodes.clone();
    let served: Arc<Mutex<Vec<(f64, bool, String)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let callers = 45;
    let done = Arc::new(AtomicUsize::new(0));
    for caller in 0..callers {
        let (served, stop, fronts, done) = (served.clone(), stop.clone(), fronts.clone(), done.clone());
        spawn(move || {
            sleep_ms(caller as u64 * 23);
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let sent = at();
                let mut outcome = String::new();
                let mut good = false;
                // A first attempt and one more, each on a new connection, to another address.
                for attempt in 0..2 {
                    let id = format!("c{caller:03}{number:08x}{attempt:04x}");
                    let address = fronts[(caller + number + attempt) % fronts.len()];
                    let answer = look_up(address, ("GET", "/card/today"), &id, None, 800);
                    outcome = match &answer {
                        Ok(answer) => answer.status.to_string(),
                        Err(failure) => format!("{failure:?}"),
                    };
                    good = matches!(&answer, Ok(answer) if answer.status == 200);
                    if good {
                        break;
                    }
                    if outcome == "503" {
                        sleep_ms(200);
                    }
                }
                served.lock().unwrap().push((sent, good, outcome));
                sleep_ms(250);
            }
            done.fetch_add(1, Ordering::SeqCst);
        });
    }
    let began = at();
    if trouble {
        // srv_crash: one of the six servers, the one with most requests at work, for 4.5 s.
        sleep_until(began + 12.0);
        let busiest = small.portals.iter().max_by_key(|server| server.running.load(Ordering::SeqCst));
        busiest.expect("there are lookup servers").crash(4_500);
        // The final fault: all processes are killed.
        sleep_until(began + 14.0);
        for node in &nodes {
            node.kill_for(1_200);
        }
    }
    sleep_until(began + 16.5);
    small.fleet.wait_ready();
    let back = at();
    // recovery_s is 12 s.
    sleep_until(back + 12.0);
    let from = at();
    sleep_until(from + 30.0);
    stop.store(true, Ordering::SeqCst);
    while done.load(Ordering::SeqCst) < callers {
        sleep_ms(20);
    }
    let served = served.lock().unwrap().clone();
    let share = |from: f64, to: f64| {
        let sent: Vec<_> = served.iter().filter(|it| it.0 >= from && it.0 < to).collect();
        let good = sent.iter().filter(|it| it.1).count();
        (good, sent.len(), good as f64 / sent.len().max(1) as f64)
    };
    let mut ends: HashMap<&str, usize> = HashMap::new();
    served.iter().filter(|it| it.0 >= from).for_each(|it| *ends.entry(it.2.as_str()).or_default() += 1);
    for second in 0..((from + 30.0 - began) / 5.0) as usize {
        let start = began + 5.0 * second as f64;
        let (good, sent, _) = share(start, start + 5.0);
        say(&format!("callers: {:.0} to {:.0} s: {good} of {sent} served", start - began, start + 5.0 - began));
    }
    let before = share(began, began + 14.0);
    let after = share(from, from + 30.0);
    say(&format!("before the final fault {before:?}, from 12 s after the machines are back {after:?}: {ends:?}"));
    let mut broken = Vec::new();
    if before.2 >= 0.25 && after.2 < 0.25 {
        broken.push(format!("{} of {} requests are served after recovery, {} of {} before", after.0, after.1, before.0, before.1));
    }
    small.fleet.end();
    verdict("RECOVER", &broken)
}

/// A machine gets SIGTERM while clients that keep its address open streams there.
fn stopped_machine(trouble: bool) -> i32 {
    let routes = [drafts_route(40, 7_500), streams_route()];
    let small = small(&configuration(1, &routes, &[MODEL]), (1, 6, 25), (4, 12), &Bounds { status_s: 120 });
    let nodes = small.fleet.nodes.clone();
    let stop = Arc::new(AtomicBool::new(false));
    // When a stream was sent and ended, its id, its address, and whether it was complete.
    let streams: Arc<Mutex<Vec<(f64, f64, String, String, String)>>> = Arc::default();
    let open = Arc::new(AtomicUsize::new(0));
    let clients = 8;
    for client in 0..clients {
        let (nodes, stop, streams, open) = (nodes.clone(), stop.clone(), streams.clone(), open.clone());
        open.fetch_add(1, Ordering::SeqCst);
        spawn(move || {
            // It keeps the directory's answer for three times its ttl_s, as some clients do.
            let mut addresses: Vec<std::net::SocketAddr> = Vec::new();
            let mut keep_until = 0.0;
            let failed: Arc<Mutex<Vec<std::net::SocketAddr>>> = Arc::default();
            sleep_ms(client as u64 * 750);
            for number in 0_usize.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                if at() >= keep_until || addresses.is_empty() {
                    let mut near = (0..nodes.len()).map(|next| &nodes[(client + next) % nodes.len()]);
                    let Some((found, ttl_s)) = near.find_map(|node| node.resolve()) else {
                        sleep_ms(200);
                        continue;
                    };
                    note(&format!("client {client}: the directory names {found:?} for {ttl_s} s"));
                    addresses = found;
                    failed.lock().unwrap().clear();
                    keep_until = at() + 3.0 * ttl_s.min(5.0);
                }
                // An address that has failed the client isn't picked again.
                addresses.retain(|it| !failed.lock().unwrap().contains(it));
                if addresses.is_empty() {
                    continue;
                }
                let id = format!("a{client:03}{number:012x}");
                let address = addresses[(number + client) % addresses.len()];
                let events = 30 + (number * 7 + client * 5) as u64 % 16;
                let (streams, open, failed) = (streams.clone(), open.clone(), failed.clone());
                open.fetch_add(1, Ordering::SeqCst);
                spawn(move || {
                    let sent = at();
                    let (end, _) = open_stream(address, &id, events);
                    if end == "cut" || end == "unconnected" {
                        failed.lock().unwrap().push(address);
                    }
                    streams.lock().unwrap().push((sent, at(), id, address.to_string(), end));
                    open.fetch_sub(1, Ordering::SeqCst);
                });
                sleep_ms(800);
            }
            open.fetch_sub(1, Ordering::SeqCst);
        });
    }
    sleep_until(19.0);
    let mut rounds = Vec::new();
    for node in &nodes {
        if trouble {
            // Machines are stopped and started in turn.
            rounds.push((at(), node.front.to_string()));
            node.signal(TERM);
        }
        sleep_ms(15_000);
    }
    stop.store(true, Ordering::SeqCst);
    while open.load(Ordering::SeqCst) > 0 {
        sleep_ms(20);
    }
    let mut broken = Vec::new();
    let mut ends: HashMap<String, usize> = HashMap::new();
    let begun = small.runs.begun.lock().unwrap().clone();
    for (sent, ended, id, address, end) in streams.lock().unwrap().iter() {
        *ends.entry(end.clone()).or_default() += 1;
        if end != "cut" || !begun.contains_key(id) {
            continue;
        }
        let round = rounds.iter().rev().find(|(term, front)| front == address && term <= ended);
        match round {
            // Excused: sent no later than 3 s after the SIGTERM, if the server was at work in the last
            // sixth of grace_s (8 s), which begins 6.67 s after the SIGTERM.
            Some((term, _)) if sent - term <= 3.0 => say(&format!(
                "not counted: {id}, sent {:.2} s after the SIGTERM, is cut {:.2} s after it", sent - term, ended - term
            )),
            Some((term, _)) => broken.push(format!(
                "{id} was read and passed on to a server; it was sent {:.2} s after the SIGTERM of {address} and ends \
                 without a complete answer {:.2} s after it",
                sent - term,
                ended - term
            )),
            None => broken.push(format!("{id} at {address} ends without a complete answer")),
        }
    }
    say(&format!("streams: {ends:?}"));
    small.fleet.end();
    verdict("LOST", &broken)
}

/// A stream that crashes each server that runs it comes again and again, at any machine.
fn crashing_stream(trouble: bool) -> i32 {
    let routes = [drafts_route(40, 7_500), streams_route()];
    let small = small(&configuration(1, &routes, &[MODEL]), (1, 6, 25), (4, 12), &Bounds { status_s: 120 });
    let nodes = small.fleet.nodes.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicUsize::new(0));
    // Streams of other callers, with other bodies, which harm nobody.
    let others: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    for caller in 0..6_usize {
        let (nodes, stop, open, others) = (nodes.clone(), stop.clone(), open.clone(), others.clone());
        open.fetch_add(1, Ordering::SeqCst);
        spawn(move || {
            sleep_ms(caller as u64 * 300);
            for number in 0_usize.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let id = format!("d{caller:03}{number:012x}");
                let address = nodes[(caller + number) % nodes.len()].front;
                let body = format!("events={} ms=100", 20 + (caller * 3 + number) % 10);
                let (end, _) = send_stream(address, &format!("/stream/{caller}"), &id, &body);
                *others.lock().unwrap().entry(end).or_default() += 1;
                sleep_ms(200);
            }
            open.fetch_sub(1, Ordering::SeqCst);
        });
    }
    let began = at();
    let body = match trouble {
        true => "events=30 ms=100 crash=2",
        false => "events=30 ms=100",
    };
    let mut number = 0_usize;
    let mut ends: HashMap<String, usize> = HashMap::new();
    while at() < began + 45.0 {
        number += 1;
        let id = format!("b00000000000{number:04x}");
        let (end, _) = send_stream(nodes[number % nodes.len()].front, "/stream/9", &id, body);
        *ends.entry(end).or_default() += 1;
        sleep_ms(1_500);
    }
    stop.store(true, Ordering::SeqCst);
    while open.load(Ordering::SeqCst) > 0 {
        sleep_ms(20);
    }
    say(&format!("streams of other callers: {:?}", others.lock().unwrap()));
    let crashes = small.runs.crashes.lock().unwrap().clone();
    let mut begun = small.runs.begun.lock().unwrap().clone();
    begun.retain(|id, _| id.starts_with('b'));
    say(&format!("{number} attempts, {} crashes of servers, ends {ends:?}", crashes.len()));
    let mut broken = Vec::new();
    if let Some((_, third)) = crashes.get(2) {
        // contact_ms is 3 s.
        let mut late: Vec<f64> = begun.values().flatten().map(|it| it.0).filter(|it| *it > third + 3.0).collect();
        late.sort_by(f64::total_cmp);
        if late.len() > 3 {
            broken.push(format!(
                "the request has crashed three servers at {third:.1} s; later than 3 s after that it reached servers {} times more: {late:.1?}",
                late.len()
            ));
        }
    }
    small.fleet.end();
    verdict("BUDGET", &broken)
}
