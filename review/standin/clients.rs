//! Clients: trainers that hand in batch jobs and read them, and callers of lookups.

use std::{net::SocketAddr, sync::Arc};

use crate::{net::*, world::*};

pub const HOST: &str = "drafts.example";
pub const CARDS: &str = "cards.example";
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// An item of a batch job.
#[derive(Clone)]
pub struct Item {
    pub id: String,
    pub group: String,
    pub model: String,
    pub events: u64,
    pub event_ms: u64,
    pub status: u64,
}

impl Item {
    pub fn body(&self) -> String {
        format!("events={} ms={} status={}", self.events, self.event_ms, self.status)
    }

    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"path\":\"/draft/3/{}\",\"headers\":{{\"X-Flamingoscale-Model\":\"{}\",\
             \"X-Flamingoscale-Token-Usage\":\"20,{}\"}},\"body\":\"{}\",\"tokens\":{},\"group\":\"{}\"}}",
            self.id,
            self.id,
            self.model,
            self.events,
            base64(self.body().as_bytes()),
            20 + self.events,
            self.group
        )
    }
}

/// A batch job.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub step: u64,
    pub model: String,
    pub min_version: u64,
    pub desired: u64,
    pub items: Vec<Item>,
}

impl Job {
    pub fn json(&self) -> String {
        let items: Vec<String> = self.items.iter().map(Item::json).collect();
        format!(
            "{{\"step\":{},\"model\":\"{}\",\"min_version\":{},\"desired\":{},\"items\":[{}]}}",
            self.step,
            self.model,
            self.min_version,
            self.desired,
            items.join(",")
        )
    }
}

fn shown(answer: &Result<Answer, Failure>) -> String {
    match answer {
        Ok(answer) => answer.status.to_string(),
        Err(failure) => format!("{failure:?}"),
    }
}

/// Submits a batch job, at one node after the other, until one accepts it.
pub fn submit(nodes: &[Arc<Node>], job: &Job) -> bool {
    let body = job.json();
    for attempt in 0..20 {
        let node = &nodes[attempt % nodes.len()];
        let bearer = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", bearer.as_str()),
            ("X-Flamingoscale-Request-Id", job.id.as_str()),
            ("Content-Type", "application/json"),
        ];
        let answer =
            call(node.front, "POST", &format!("/draft/{}", job.id), &headers, body.as_bytes(), 4_000);
        say(&format!(
            "trainer: batch job {} of {} items at {}: {}",
            job.id,
            job.items.len(),
            node.name,
            shown(&answer)
        ));
        if matches!(&answer, Ok(answer) if answer.status == 202) {
            return true;
        }
        sleep_ms(300);
    }
    false
}

/// Ends a batch job.
pub fn end(nodes: &[Arc<Node>], id: &str) -> bool {
    for attempt in 0..20 {
        let node = &nodes[attempt % nodes.len()];
        let bearer = format!("Bearer {KEY}");
        let headers = [("Host", HOST), ("Authorization", bearer.as_str())];
        let answer = call(node.front, "DELETE", &format!("/api/lots/{id}"), &headers, b"", 4_000);
        say(&format!("trainer: end of batch job {id} at {}: {}", node.name, shown(&answer)));
        if matches!(&answer, Ok(answer) if answer.status == 200) {
            return true;
        }
        sleep_ms(300);
    }
    false
}

/// One result as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: String,
    pub state: String,
    pub output: String,
}

/// Reads one page of results; the status if it isn't a 200, 0 without an answer.
pub fn read_page(node: &Node, id: &str, after: usize, wait_ms: u64) -> Result<(u64, Vec<Listed>), u16> {
    let bearer = format!("Bearer {KEY}");
    let wait = wait_ms.to_string();
    let mut headers = vec![("Host", HOST), ("Authorization", bearer.as_str())];
    if wait_ms > 0 {
        headers.push(("X-Flamingoscale-Wait-Ms", wait.as_str()));
    }
    let target = format!("/api/lots/{id}?after={after}");
    let answer = call(node.front, "GET", &target, &headers, b"", 1_500 + wait_ms);
    let line = format!("reader: batch job {id} from {after} at {}: {}", node.name, shown(&answer));
    let Ok(answer) = answer else {
        note(&line);
        return Err(0);
    };
    if answer.status != 200 {
        note(&line);
        return Err(answer.status);
    }
    let Some(json) = Json::parse(&answer.body) else { return Err(1) };
    let results: Vec<Listed> = json
        .get("results")
        .list()
        .iter()
        .map(|result| Listed {
            id: result.get("id").text().to_owned(),
            state: result.get("state").text().to_owned(),
            output: result.get("output").text().to_owned(),
        })
        .collect();
    let ids: Vec<String> = results.iter().map(|it| format!("{} {}", it.id, it.state)).collect();
    note(&format!("{line}, total {}, {}", json.get("total").number(), ids.join(", ")));
    Ok((json.get("total").number() as u64, results))
}

/// Reads all results listed so far, from the start.
pub fn read_all(node: &Node, id: &str) -> Result<Vec<Listed>, u16> {
    let mut all = Vec::new();
    loop {
        let (_, page) = read_page(node, id, all.len(), 0)?;
        if page.is_empty() {
            return Ok(all);
        }
        all.extend(page);
    }
}

/// One attempt of a lookup.
pub fn look_up(
    address: SocketAddr,
    (method, path): (&str, &str),
    id: &str,
    key: Option<&str>,
    deadline_ms: u64,
) -> Result<Answer, Failure> {
    let bearer = key.map(|key| format!("Bearer {key}"));
    let deadline = deadline_ms.to_string();
    let mut headers = vec![
        ("Host", CARDS),
        ("X-Flamingoscale-Request-Id", id),
        ("X-Flamingoscale-Deadline-Ms", deadline.as_str()),
    ];
    if let Some(bearer) = &bearer {
        headers.push(("Authorization", bearer.as_str()));
    }
    let answer = call(address, method, path, &headers, b"", deadline_ms);
    note(&format!("caller: {id} {method} {path} at {address}: {}", shown(&answer)));
    answer
}

/// Writes the verdict and returns the exit code: 1 if the rule was broken, 0 if it held.
pub fn verdict(rule: &str, broken: &[String]) -> i32 {
    for line in broken {
        say(&format!("{rule} broken: {line}"));
    }
    if broken.is_empty() {
        say(&format!("{rule} held"));
    }
    i32::from(!broken.is_empty())
}

/// A configuration with these routes, two services and one tenant.
pub fn configuration(version: u64, routes: &[String], models: &[&str]) -> String {
    let models: Vec<String> = models.iter().map(|name| format!("{{\"name\":\"{name}\"}}")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"draft-models\",\"health_path\":\
         \"/healthz\",\"max_conns\":150,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\
         \"kv_capacity\":31960,\"models\":[{}]}}}},{{\"name\":\"trail-portal\",\"health_path\":\"/healthz\",\
         \"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        models.join(",")
    )
}

pub fn drafts_route(retention_s: u64, result_slo_ms: u64) -> String {
    format!(
        "{{\"name\":\"drafts\",\"host\":\"{HOST}\",\"path_prefix\":\"/draft/\",\"kind\":\"rollout\",\
         \"timeout_ms\":10000,\"slo_ms\":400,\"priority\":1,\"service\":\"draft-models\",\"max_attempts\":3,\
         \"retention_s\":{retention_s}.0,\"result_slo_ms\":{result_slo_ms},\"single_version\":false,\
         \"public\":false,\"sticky\":true,\"resumable\":true}}"
    )
}

pub fn cards_route(prefix: &str, timeout_ms: u64, public: bool) -> String {
    format!(
        "{{\"name\":\"cards{}\",\"host\":\"{CARDS}\",\"path_prefix\":\"{prefix}\",\"kind\":\"idempotent\",\
         \"timeout_ms\":{timeout_ms},\"slo_ms\":150,\"priority\":2,\"service\":\"trail-portal\",\
         \"max_attempts\":2,\"public\":{public}}}",
        prefix.replace('/', "-")
    )
}

pub fn streams_route() -> String {
    format!(
        "{{\"name\":\"streams\",\"host\":\"{CARDS}\",\"path_prefix\":\"/stream/\",\"kind\":\"stream\",\
         \"timeout_ms\":10000,\"slo_ms\":400,\"priority\":1,\"service\":\"draft-models\",\"max_attempts\":2,\
         \"sticky\":true,\"public\":false}}"
    )
}

/// Opens a stream of so many events, one each 100 ms. Returns how it ended and its text.
pub fn open_stream(address: SocketAddr, id: &str, events: u64) -> (String, String) {
    send_stream(address, "/stream/7", id, &format!("events={events} ms=100"))
}

/// Opens a stream with this body. Returns how it ended and its text.
pub fn send_stream(address: SocketAddr, path: &str, id: &str, body: &str) -> (String, String) {
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("Host", CARDS),
        ("Authorization", bearer.as_str()),
        ("X-Flamingoscale-Request-Id", id),
        ("X-Flamingoscale-Deadline-Ms", "12000"),
        ("X-Flamingoscale-Model", "daka510000"),
        ("X-Flamingoscale-Token-Usage", "20,50"),
    ];
    note(&format!("caller: {id} opens a stream at {address}: {path} {body}"));
    let answer = call(address, "POST", path, &headers, body.as_bytes(), 12_000);
    let (end, text) = match answer {
        Ok(answer) if answer.status == 200 => {
            ("complete".to_owned(), String::from_utf8_lossy(&answer.body).into_owned())
        }
        Ok(answer) => (answer.status.to_string(), String::new()),
        Err(Failure::Cut) => ("cut".to_owned(), String::new()),
        Err(Failure::Unconnected) => ("unconnected".to_owned(), String::new()),
        Err(Failure::Late) => ("late".to_owned(), String::new()),
    };
    note(&format!("caller: {id} at {address}: {end}"));
    (end, text)
}
