//! The platform's store: a log with keyed topics. It refuses new calls with status 503 while it is told to; a
//! call that it has begun goes on to its end.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    io::{self, ErrorKind, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::net::{is_closed, respond, serve, Request};

/// Largest page of the newest records.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// Appends of a producer whose responses are kept.
const KEPT_APPENDS: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    next_sequence: u64,
    recent: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// Offset of the first record that isn't deleted.
    first: usize,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Partition {
    fn add(&mut self, record: &[u8]) {
        let offset = self.records.len() as u64;
        let end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..end]).into_owned();
        match record[end..].is_empty() {
            true => drop(self.newest.remove(&key)),
            false => drop(self.newest.insert(key, (offset, record[end..].to_vec()))),
        }
        self.records.push(record.to_vec());
    }
}

#[derive(Default)]
struct State {
    partitions: HashMap<String, Partition>,
    refuses_until: Option<Instant>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    appended: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Refuses all new calls with status 503 for a time.
    pub fn refuse_for(&self, duration: Duration) {
        self.state.lock().unwrap().refuses_until = Some(Instant::now() + duration);
    }

    /// Writes a record as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(format!("{topic}/0")).or_default();
        partition.add(&record);
        self.appended.notify_all();
    }

    /// Deletes the records of a topic. The newest one of each key is kept for `log-newest`.
    pub fn delete_records(&self, topic: &str) {
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(format!("{topic}/0")).or_default();
        partition.first = partition.records.len();
    }

    /// Serves one call.
    pub fn serve(&self, request: &Request, stream: &mut impl Write) -> io::Result<()> {
        let until = self.state.lock().unwrap().refuses_until;
        if until.is_some_and(|until| Instant::now() < until) {
            return respond(stream, 503, &[], b"");
        }
        match request.path() {
            "/api/log-append" => self.append(request, stream),
            "/api/log-read" => self.read(request, stream),
            "/api/log-newest" => self.newest(request, stream),
            _ => respond(stream, 404, &[], b""),
        }
    }

    fn append(&self, request: &Request, stream: &mut impl Write) -> io::Result<()> {
        let (status, body) = self.append_records(request);
        respond(stream, status, &[("content-type", "application/json")], body.as_bytes())
    }

    fn append_records(&self, request: &Request) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(partition_name(request)).or_default();
        let name = request.query("producer").unwrap_or_default();
        let (epoch, sequence) = (request.number("epoch"), request.number("seq"));
        let producer = partition.producers.entry(name.clone()).or_default();
        if let (Some(epoch), Some(sequence)) = (epoch, sequence) {
            if epoch < producer.epoch {
                return (409, "{\"why\":\"fenced\"}".to_owned());
            }
            if epoch == producer.epoch {
                let known = producer.recent.iter().find(|(known, _)| *known == sequence);
                if let Some((_, response)) = known {
                    return (200, response.clone());
                }
                if sequence != producer.next_sequence {
                    let expected = producer.next_sequence;
                    return (409, format!("{{\"why\":\"seq\",\"seq\":{expected}}}"));
                }
            } else {
                producer.recent.clear();
            }
            producer.epoch = epoch;
            producer.next_sequence = sequence + 1;
        }
        let offset = partition.records.len();
        let mut rest = &request.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let (record, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
            partition.add(record);
            rest = tail;
        }
        let end = partition.records.len();
        let response = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
        if let Some(sequence) = sequence {
            let producer = partition.producers.entry(name).or_default();
            producer.recent.push_back((sequence, response.clone()));
            if producer.recent.len() > KEPT_APPENDS {
                producer.recent.pop_front();
            }
        }
        self.appended.notify_all();
        (200, response)
    }

    fn read(&self, request: &Request, stream: &mut impl Write) -> io::Result<()> {
        let from = request.number("from").unwrap_or(0) as usize;
        let most_bytes = request.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let name = partition_name(request);
        let mut state = self.state.lock().unwrap();
        loop {
            let partition = state.partitions.entry(name.clone()).or_default();
            if from < partition.first {
                let body = format!("{{\"first\":{}}}", partition.first);
                drop(state);
                return respond(stream, 410, &[("content-type", "application/json")], body.as_bytes());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if partition.records.len() > from || left.is_zero() {
                let mut body = (partition.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&(partition.first as u64).to_be_bytes());
                for record in partition.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > most_bytes {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                drop(state);
                return respond(stream, 200, &[], &body);
            }
            state = self.appended.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request, stream: &mut impl Write) -> io::Result<()> {
        let after = request.query("after").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(partition_name(request)).or_default();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (offset, value)) in partition.newest.range(after.clone()..) {
            if *key == after {
                continue;
            }
            bytes += value.len();
            if items.len() == PAGE_RECORDS || (bytes > PAGE_BYTES && !items.is_empty()) {
                has_more = true;
                break;
            }
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"end_offset\":{}}}",
            items.join(","),
            partition.records.len()
        );
        drop(state);
        respond(stream, 200, &[("content-type", "application/json")], body.as_bytes())
    }
}

/// An address at which the store serves one machine.
pub struct Access {
    pub address: SocketAddr,
    silent: AtomicBool,
}

impl Access {
    pub fn open(store: &Arc<Store>, host: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((host, 0))?;
        let access = Arc::new(Self {
            address: listener.local_addr()?,
            silent: AtomicBool::new(false),
        });
        let (store, serving) = (store.clone(), access.clone());
        serve(listener, move |request, stream| {
            let mut response = Vec::new();
            if !serving.is_silent() {
                store.serve(request, &mut response)?;
            }
            if serving.is_silent() {
                // The call never gets a response.
                while !is_closed(stream) {
                    thread::sleep(Duration::from_millis(20));
                }
                return Err(ErrorKind::ConnectionReset.into());
            }
            stream.write_all(&response)
        });
        Ok(access)
    }

    /// Sets whether calls that come, or are under way, get no response.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }
}

fn partition_name(request: &Request) -> String {
    let topic = request.query("topic").unwrap_or_default();
    format!("{topic}/{}", request.query("part").unwrap_or_default())
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
