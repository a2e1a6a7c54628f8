//! Trainers' calls. Each goes to an address that the directory names, on a new connection.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use crate::{
    fleet::{Fleet, ZONES},
    net::{call, CallError, Response},
    record::Log,
    store::base64,
};

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Key of the tenant.
pub const KEY: &str = "Bearer 2b9wu3fexd9dnn2ctnfz";

/// Longest time for which a call waits.
const LIMIT: Duration = Duration::from_millis(2_500);

/// A source of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % limit.max(1)
    }
}

/// A client.
pub struct Client {
    directories: Vec<SocketAddr>,
    zone: &'static str,
    random: Mutex<Random>,
    log: Arc<Log>,
}

static SERIAL: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other batch has: 16 hexadecimal digits, of which the first 8 are unique already.
pub fn new_id() -> String {
    let serial = SERIAL.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{:08x}", 0x7c41_0000 + serial, 0x9b52_d6a3_u64)
}

impl Client {
    pub fn new(fleet: &Fleet, seed: u64, log: &Arc<Log>) -> Self {
        let mut random = Random::new(seed + 1);
        Self {
            directories: fleet.instances.iter().map(|it| it.directory).collect(),
            zone: ZONES[random.below(ZONES.len())],
            random: Mutex::new(random),
            log: log.clone(),
        }
    }

    pub fn pick<T: Copy>(&self, from: &[T]) -> Option<T> {
        let index = self.random.lock().unwrap().below(from.len());
        from.get(index).copied()
    }

    /// Asks up to three directories for addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        for _ in 0..3 {
            let Some(directory) = self.pick(&self.directories) else {
                continue;
            };
            let target = format!("/api/resolve?name={HOST}&region=hajar&zone={}", self.zone);
            let limit = Duration::from_secs(1);
            let answer = call(directory, "GET", &target, &[("host", "directory")], b"", limit);
            let Ok(answer) = answer else {
                continue;
            };
            let text = answer.text();
            let list = text.split_once('[').and_then(|(_, rest)| rest.split_once(']'));
            let list = list.map_or("", |(list, _)| list);
            let parse = |word: &str| word.trim().trim_matches('"').parse().ok();
            let addresses: Vec<SocketAddr> = list.split(',').filter_map(parse).collect();
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }

    /// Makes one attempt at one address that is not `except`.
    fn attempt(
        &self,
        (method, target): (&str, &str),
        headers: &[(&str, &str)],
        body: &[u8],
        except: Option<SocketAddr>,
    ) -> (Option<SocketAddr>, Result<Response, CallError>) {
        let mut addresses = self.addresses();
        addresses.retain(|address| Some(*address) != except);
        let Some(address) = self.pick(&addresses) else {
            return (None, Err(CallError::NotSent));
        };
        let mut all = vec![("host", HOST), ("authorization", KEY)];
        all.extend_from_slice(headers);
        let answer = call(address, method, target, &all, body, LIMIT);
        let status = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => format!("{error:?}"),
        };
        self.log.line(&format!("call {method} {target} at {address}: {status}"));
        (Some(address), answer)
    }

    /// Makes a call with one retry at another address, after the pause that a refusal names.
    pub fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Response, CallError> {
        let (first, answer) = self.attempt((method, target), headers, body, None);
        match &answer {
            Ok(answer) if answer.status < 500 && answer.status != 429 => (),
            Ok(answer) => {
                let pause = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
                std::thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.0).min(0.8)));
                return self.attempt((method, target), headers, body, first).1;
            }
            Err(_) => return self.attempt((method, target), headers, body, first).1,
        }
        answer
    }

    /// Submits a batch once, with a retry. Returns whether it was accepted.
    pub fn submit(&self, batch: &Batch) -> bool {
        let headers = [
            ("x-flamingoscale-request-id", batch.id.as_str()),
            ("content-type", "application/json"),
        ];
        let answer = self.call("POST", "/draft/step", &headers, batch.body.as_bytes());
        answer.is_ok_and(|answer| answer.status == 202)
    }

    /// Reads results from a position on, and waits for one up to a second.
    pub fn results(&self, batch: &str, after: usize) -> Option<Vec<ItemResult>> {
        let target = format!("/api/lots/{batch}?after={after}");
        let answer = self.call("GET", &target, &[("x-flamingoscale-wait-ms", "1000")], b"").ok()?;
        (answer.status == 200).then(|| results_of(&answer.text()))
    }

    /// Ends a batch once, with a retry. Returns whether this was acknowledged.
    pub fn end(&self, batch: &str) -> bool {
        let answer = self.call("DELETE", &format!("/api/lots/{batch}"), &[], b"");
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

/// A result of an item, as a client reads it.
#[derive(Clone, Debug)]
pub struct ItemResult {
    pub id: String,
    pub state: String,
    /// The text, as it stands in the JSON.
    pub output: String,
    pub score: Option<String>,
}

fn results_of(text: &str) -> Vec<ItemResult> {
    let results = text.split_once("\"results\":[").map_or("", |(_, rest)| rest);
    let results = results.split("{\"id\":\"").skip(1);
    let field = |text: &str, name: &str| {
        let rest = text.split_once(&format!("\"{name}\":\""))?.1;
        Some(rest.split('"').next()?.to_owned())
    };
    let results = results.filter_map(|text| {
        Some(ItemResult {
            id: text.split('"').next()?.to_owned(),
            state: field(text, "state")?,
            output: field(text, "output").unwrap_or_default(),
            score: field(text, "score"),
        })
    });
    results.collect()
}

/// A batch as a trainer submits it.
pub struct Batch {
    pub id: String,
    pub items: usize,
    body: String,
}

impl Batch {
    /// Returns a batch of groups of four items. With `scored` each item has a call that scores it.
    pub fn new(step: u64, groups: usize, desired: usize, scored: bool) -> Self {
        let id = new_id();
        let items = groups * 4;
        let body = base64(b"groomer log of the plateau");
        let item = |number: usize| {
            let item = item_id(&id, number);
            let scorer = format!(
                ",\"scorer\":{{\"id\":\"s{item}\",\"host\":\"{HOST}\",\"path\":\"/check/{item}\",\"body\":\"{body}\"}}"
            );
            let scorer = if scored { scorer.as_str() } else { "" };
            format!(
                "{{\"id\":\"{item}\",\"path\":\"/draft/{number}\",\"headers\":{{\"X-Flamingoscale-Model\":\"m0\",\
                 \"X-Flamingoscale-Token-Usage\":\"32,18\"}},\"body\":\"{body}\",\"tokens\":50,\
                 \"group\":\"g{}\"{scorer}}}",
                number / 4
            )
        };
        let list: Vec<String> = (0..items).map(item).collect();
        let body = format!(
            "{{\"step\":{step},\"model\":\"m0\",\"min_version\":1,\"desired\":{desired},\"items\":[{}]}}",
            list.join(",")
        );
        Self { id, items, body }
    }
}

/// Returns the id of an item of a batch.
pub fn item_id(batch: &str, number: usize) -> String {
    format!("{}{number:08x}", &batch[..8])
}
