//! HTTP/1.1 over loopback, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, ErrorKind, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Names of headers are in lower case.
pub type Headers = Vec<(String, String)>;

/// A request that a stand-in received.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A whole response.
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established.
    NotSent,
    /// The connection ended, or the time was up, before the response was whole.
    Lost,
}

fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let value = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        Some(percent_decode(value))
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3));
        match escaped.flatten().and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
            .map_err(|_| ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn read_body(reader: &mut impl BufRead, headers: &Headers, to_end: bool) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some() {
        return read_chunks(reader);
    }
    let mut body = Vec::new();
    match find(headers, "content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if to_end => {
            reader.read_to_end(&mut body)?;
        }
        None => (),
    }
    Ok(body)
}

/// Reads the next request of a connection; `None` at its end.
fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (method, target) = (method.to_owned(), target.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves connections, each in a thread, until the process ends. The handler writes the response; an error
/// closes the connection.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if handler(&request, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Returns whether the peer of a connection on which no request is due has closed it.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Response, CallError> {
    let connected = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let mut stream = connected.map_err(|_| CallError::NotSent)?;
    let exchange = || -> io::Result<Response> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut head = format!(
            "{method} {target} HTTP/1.1\r\nconnection: close\r\ncontent-length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        let mut reader = BufReader::new(stream);
        let line = read_line(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(ErrorKind::InvalidData)?;
        let headers = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers, true)?;
        Ok(Response {
            status,
            headers,
            body,
        })
    };
    exchange().map_err(|_| CallError::Lost)
}
