//! Small HTTP/1.1 server and client, JSON reader, base64, and the record of a case. Standard library only.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, OnceLock,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open_record(path: &str) {
    let file = File::create(path).expect("record.txt can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Seconds since the case began.
pub fn at() -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| start.elapsed().as_secs_f64())
}

/// Writes one line to record.txt.
pub fn note(line: &str) {
    if let Some((start, file)) = RECORD.get() {
        let text = format!("{:8.3} {line}\n", start.elapsed().as_secs_f64());
        let mut file = file.lock().unwrap();
        let _ = file.write_all(text.as_bytes());
    }
}

/// Writes one line to record.txt and to standard output.
pub fn say(line: &str) {
    note(line);
    println!("{:8.3} {line}", at());
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(second: f64) {
    while at() < second {
        sleep_ms(5);
    }
}

pub fn spawn(work: impl FnOnce() + Send + 'static) {
    thread::Builder::new().stack_size(512 << 10).spawn(work).expect("a thread starts");
}

// ---------------------------------------------------------------- HTTP server

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }

    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() + 0 {
            if let Ok(value) = u8::from_str_radix(&text[index + 1..index + 3], 16) {
                out.push(value);
                index += 3;
                continue;
            }
        }
        out.push(bytes[index]);
        index += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 || !first.ends_with('\n') {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    Some((first.trim_end().to_owned(), headers))
}

/// Reads a body; `None` if it was cut off.
fn read_body(reader: &mut impl BufRead, headers: &[(String, String)], to_end: bool) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            body.extend(chunk);
            let mut end = String::new();
            if reader.read_line(&mut end).ok()? == 0 {
                return None;
            }
            if size == 0 {
                return Some(body);
            }
        }
    }
    match find(headers, "content-length") {
        Some(length) => {
            body = vec![0; length.parse().ok()?];
            reader.read_exact(&mut body).ok()?;
        }
        None if to_end => {
            reader.read_to_end(&mut body).ok()?;
        }
        None => (),
    }
    Some(body)
}

pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn reply(status: u16, body: impl Into<Vec<u8>>) -> Reply {
    Reply { status, headers: Vec::new(), body: body.into() }
}

impl Reply {
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// What a handler does with a request: an answer, or the connection is closed.
pub enum Act {
    Answer(Reply),
    /// The handler wrote the answer itself; the connection stays open.
    Written,
    Close,
}

pub type Handler = Arc<dyn Fn(&Request, &TcpStream) -> Act + Send + Sync>;

/// A listening address. `stop` closes it and all its connections, as the end of a process does.
pub struct Listening {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Listening {
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

pub fn listen(address: SocketAddr, handler: Handler) -> Listening {
    let mut tries = 0;
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(error) if tries > 50 => panic!("cannot listen at {address}: {error}"),
            Err(_) => sleep_ms(50),
        }
        tries += 1;
    };
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    let stopped = Arc::new(AtomicBool::new(false));
    let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let listening = Listening { address, stopped: stopped.clone(), connections: connections.clone() };
    spawn(move || loop {
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let mut kept = connections.lock().unwrap();
                kept.retain(|it| it.peer_addr().is_ok());
                if let Ok(clone) = stream.try_clone() {
                    kept.push(clone);
                }
                drop(kept);
                let (handler, stopped) = (handler.clone(), stopped.clone());
                spawn(move || serve(stream, handler, stopped));
            }
            Err(_) => sleep_ms(1),
        }
    });
    listening
}

fn serve(stream: TcpStream, handler: Handler, stopped: Arc<AtomicBool>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some((first, headers)) = read_head(&mut reader) {
        let mut words = first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(body) = read_body(&mut reader, &headers, false) else { break };
        let request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        let act = handler(&request, &stream);
        if stopped.load(Ordering::SeqCst) {
            break;
        }
        match act {
            Act::Answer(answer) => {
                let mut text = format!("HTTP/1.1 {} X\r\n", answer.status);
                for (name, value) in &answer.headers {
                    text += &format!("{name}: {value}\r\n");
                }
                text += &format!("Content-Length: {}\r\n\r\n", answer.body.len());
                let mut bytes = text.into_bytes();
                bytes.extend(&answer.body);
                if (&stream).write_all(&bytes).is_err() {
                    break;
                }
            }
            Act::Written => (),
            Act::Close => break,
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Whether the peer has closed the connection.
pub fn peer_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

// ---------------------------------------------------------------- HTTP client

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    /// No connection was established.
    Unconnected,
    /// The request was sent and the connection ended without a complete answer.
    Cut,
    /// No complete answer in time.
    Late,
}

/// Sends one request on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout_ms: u64,
) -> Result<Answer, Failure> {
    let limit = Duration::from_millis(timeout_ms.max(1));
    let started = Instant::now();
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000).min(limit))
        .map_err(|_| Failure::Unconnected)?;
    let _ = stream.set_nodelay(true);
    exchange(&stream, method, target, headers, body, limit, started)
}

pub fn exchange(
    stream: &TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    started: Instant,
) -> Result<Answer, Failure> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    let mut writer = stream;
    writer.write_all(&bytes).map_err(|_| Failure::Cut)?;
    let _ = stream.set_read_timeout(Some(limit.max(Duration::from_millis(1))));
    let mut reader = BufReader::new(stream);
    let failed = || match started.elapsed() >= limit {
        true => Failure::Late,
        false => Failure::Cut,
    };
    let (first, headers) = read_head(&mut reader).ok_or_else(failed)?;
    let status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).ok_or(Failure::Cut)?;
    let to_end = find(&headers, "content-length").is_none();
    let body = read_body(&mut reader, &headers, to_end).ok_or_else(failed)?;
    Ok(Answer { status, headers, body })
}

// ---------------------------------------------------------------- base64 and JSON

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let value = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= chunk.len() {
                true => out.push(ALPHABET[(value >> (18 - 6 * place) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut index = 0;
        value(bytes, &mut index)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => -1.0,
        }
    }
}

fn skip(bytes: &[u8], index: &mut usize) {
    while bytes.get(*index).is_some_and(u8::is_ascii_whitespace) {
        *index += 1;
    }
}

fn value(bytes: &[u8], index: &mut usize) -> Option<Json> {
    skip(bytes, index);
    match *bytes.get(*index)? {
        b'{' => {
            *index += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(bytes, index);
                if *bytes.get(*index)? == b'}' {
                    *index += 1;
                    return Some(Json::Table(table));
                }
                let key = string(bytes, index)?;
                skip(bytes, index);
                *index += 1;
                table.insert(key, value(bytes, index)?);
                skip(bytes, index);
                if *bytes.get(*index)? == b',' {
                    *index += 1;
                }
            }
        }
        b'[' => {
            *index += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, index);
                if *bytes.get(*index)? == b']' {
                    *index += 1;
                    return Some(Json::List(list));
                }
                list.push(value(bytes, index)?);
                skip(bytes, index);
                if *bytes.get(*index)? == b',' {
                    *index += 1;
                }
            }
        }
        b'"' => Some(Json::Text(string(bytes, index)?)),
        b't' => advance(index, 4, Json::Bool(true)),
        b'f' => advance(index, 5, Json::Bool(false)),
        b'n' => advance(index, 4, Json::Null),
        _ => {
            let start = *index;
            while bytes.get(*index).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                *index += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*index]).ok()?;
            Some(Json::Number(text.parse().ok()?))
        }
    }
}

fn advance(index: &mut usize, length: usize, json: Json) -> Option<Json> {
    *index += length;
    Some(json)
}

fn string(bytes: &[u8], index: &mut usize) -> Option<String> {
    if *bytes.get(*index)? != b'"' {
        return None;
    }
    *index += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*index)? {
            b'"' => {
                *index += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*index + 1)?;
                *index += 2;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*index..*index + 4)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        let mut buffer = [0; 4];
                        out.extend(code.encode_utf8(&mut buffer).as_bytes());
                        *index += 4;
                    }
                    other => out.push(other),
                }
            }
            other => {
                out.push(other);
                *index += 1;
            }
        }
    }
}
