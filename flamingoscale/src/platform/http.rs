//! HTTP client for the platform, used by the control thread.
//!
//! Failures are classified by whether the call may have taken effect. A call counts as refused only
//! if it was provably not sent or the platform rejected it.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use awc::{
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::StatusCode,
    Client, //
};
use base64::{
    engine::general_purpose::STANDARD,
    Engine as _, //
};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use serde::{
    de::DeserializeOwned,
    Serialize, //
};

use crate::{
    controller::Platform,
    platform::{
        EndpointOrders,
        InstanceList,
        Log,
        LogRead,
        LogRecord,
        PlatformError,
        Result,
        UsageReports, //
    },
    wire::{
        AppendRequest,
        AppendResponse,
        ListedInstance,
        LogEntry,
        PlatformEndpoint,
        PlatformOrder,
        PlatformOrderDone,
        ReadResponse,
        UsageReport, //
    }, //
};

/// Timeout for the response to a call other than an append or a read of the log.
const RESPONSE_TIMEOUT_MS: u64 = 3_000;

/// Timeout for an append. It is short because retrying an append is idempotent.
const APPEND_TIMEOUT_MS: u64 = 2_000;

/// Timeout for a read, in addition to the duration of its long poll. It is long so that records
/// still arrive from a slow platform; the log client treats the log as unreachable sooner.
const READ_TIMEOUT_MS: u64 = 6_000;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// HTTP client for the platform.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    base: Arc<str>,
}

/// A complete response with any status.
struct Response {
    status: StatusCode,
    body: Bytes,
}

impl HttpPlatform {
    /// Creates a client for the platform at `address`. It can be used only on the calling thread.
    #[allow(clippy::new_ret_no_self)]
    pub fn new(address: SocketAddr) -> Platform {
        let platform = Rc::new(Self {
            client: Client::builder().disable_timeout().finish(),
            base: format!("http://{address}").into(),
        });
        Platform {
            log: platform.clone(),
            instances: platform.clone(),
            orders: platform.clone(),
            usage: platform,
        }
    }

    async fn get(&self, path: &str, timeout_ms: u64) -> Result<Response> {
        let request = self.client.get(format!("{}{path}", self.base)).send();
        self.send(request, timeout_ms).await
    }

    async fn post(&self, path: &str, body: &impl Serialize, timeout_ms: u64) -> Result<Response> {
        let url = format!("{}{path}", self.base);
        let request = self.client.post(url).send_json(body);
        self.send(request, timeout_ms).await
    }

    /// Sends a request and reads the complete response. After a timeout the connection is closed,
    /// and the next call opens a new one.
    async fn send(&self, request: awc::SendClientRequest, timeout_ms: u64) -> Result<Response> {
        let exchange = async {
            let mut response = request.await.map_err(send_error)?;
            let status = response.status();
            let body = response.body().limit(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|error| unknown(error.to_string()))?;
            Ok(Response { status, body })
        };
        let limit = Duration::from_millis(timeout_ms);
        match actix_rt::time::timeout(limit, exchange).await {
            Ok(response) => response,
            Err(_) => Err(unknown(format!("no answer within {timeout_ms} ms"))),
        }
    }
}

impl Response {
    /// Parses the body of a successful response, or returns the error for a failed one.
    fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        self.check_status()?;
        serde_json::from_slice(&self.body).map_err(|error| unknown(error.to_string()))
    }

    /// Returns the error for a failed response. Client errors and 503 prove that the call had no
    /// effect; after any other failure its effect is unknown.
    fn check_status(&self) -> Result<()> {
        if self.status.is_success() {
            return Ok(());
        }
        let reason = format!("status {}", self.status.as_u16());
        if self.status.is_client_error() || self.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(refused(reason));
        }
        Err(unknown(reason))
    }
}

impl Log for HttpPlatform {
    fn append(&self, records: Vec<Bytes>) -> LocalBoxFuture<'_, Result<u64>> {
        Box::pin(async move {
            let records = records.iter().map(|record| STANDARD.encode(record));
            let body = AppendRequest {
                records: records.collect(),
            };
            let response = self.post("/log/append", &body, APPEND_TIMEOUT_MS).await?;
            let appended: AppendResponse = response.parse()?;
            Ok(appended.first_offset)
        })
    }

    fn read(&self, from: u64, max: usize, wait_ms: u64) -> LocalBoxFuture<'_, Result<LogRead>> {
        Box::pin(async move {
            let path = format!("/log/read?from={from}&max={max}&wait_ms={wait_ms}");
            let response = self.get(&path, wait_ms + READ_TIMEOUT_MS).await?;
            if response.status == StatusCode::GONE {
                let truncated: ReadResponse = serde_json::from_slice(&response.body)
                    .map_err(|error| unknown(error.to_string()))?;
                return Err(PlatformError::Truncated {
                    earliest: truncated.earliest,
                });
            }
            let read: ReadResponse = response.parse()?;
            Ok(LogRead {
                records: read.entries.into_iter().map(decode_entry).collect(),
                earliest: read.earliest,
                head: read.head,
            })
        })
    }
}

impl InstanceList for HttpPlatform {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>>> {
        Box::pin(async move { self.get("/instances", RESPONSE_TIMEOUT_MS).await?.parse() })
    }
}

impl EndpointOrders for HttpPlatform {
    fn endpoints(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformEndpoint>>> {
        Box::pin(async move { self.get("/endpoints", RESPONSE_TIMEOUT_MS).await?.parse() })
    }

    fn order(&self, order: PlatformOrder) -> LocalBoxFuture<'_, Result<PlatformOrderDone>> {
        Box::pin(async move {
            let response = self.post("/orders", &order, RESPONSE_TIMEOUT_MS).await?;
            match response.status {
                StatusCode::CONFLICT => Err(PlatformError::Fenced {
                    fencing: order.fencing,
                }),
                StatusCode::GONE => Err(PlatformError::Expired),
                _ => response.parse(),
            }
        })
    }
}

impl UsageReports for HttpPlatform {
    fn report(&self, report: UsageReport) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let response = self.post("/usage", &report, RESPONSE_TIMEOUT_MS).await?;
            match response.status {
                StatusCode::CONFLICT => Err(PlatformError::Fenced {
                    fencing: report.fencing,
                }),
                _ => response.check_status(),
            }
        })
    }
}

/// Decodes a log entry. An entry that is not valid base64 becomes an empty record, which the fold
/// skips as foreign, so that its offset is still accounted for.
fn decode_entry(entry: LogEntry) -> LogRecord {
    LogRecord {
        offset: entry.offset,
        data: STANDARD.decode(&entry.data).unwrap_or_default().into(),
    }
}

/// Classifies a send error. A call for which no connection was established had no effect.
/// [`ConnectError::Disconnected`] does not prove that: the client also returns it if the connection
/// is closed while it waits for the response.
fn send_error(error: SendRequestError) -> PlatformError {
    let reason = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => unknown(reason),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => refused(reason),
        _ => unknown(reason),
    }
}

fn refused(reason: String) -> PlatformError {
    PlatformError::Refused {
        reason: reason.into(),
    }
}

fn unknown(reason: String) -> PlatformError {
    PlatformError::Unknown {
        reason: reason.into(),
    }
}

#[cfg(test)]
mod tests {
    use std::{
        io::{
            Read,
            Write, //
        },
        net::TcpListener, //
    };

    use super::*;

    /// Starts a server that answers one connection with fixed bytes and then closes it.
    fn serve_once(answer: &'static str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
        let address = listener.local_addr().expect("read the bound address");
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("accept a connection");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(answer.as_bytes());
        });
        address
    }

    async fn append_to(address: SocketAddr) -> Result<u64> {
        let platform = HttpPlatform::new(address);
        platform.log.append(vec![Bytes::from_static(b"x")]).await
    }

    #[actix_rt::test]
    async fn a_refused_connection_has_no_effect() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
        let address = listener.local_addr().expect("read the bound address");
        drop(listener);
        let result = append_to(address).await;
        assert!(matches!(result, Err(PlatformError::Refused { .. })));
    }

    #[actix_rt::test]
    async fn a_connection_closed_after_the_request_leaves_the_effect_unknown() {
        for answer in ["", "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"fi"] {
            let result = append_to(serve_once(answer)).await;
            assert!(matches!(result, Err(PlatformError::Unknown { .. })));
        }
    }

    /// Guards against MIXED: an answer of the platform whose head was cut off is none. See
    /// docs/incidents/cut-heads.md.
    #[actix_rt::test]
    async fn an_answer_whose_head_is_cut_off_leaves_the_effect_unknown() {
        let framings = [
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n",
        ];
        for head in framings {
            for length in 0..head.len() {
                let result = append_to(serve_once(&head[..length])).await;
                let is_unknown = matches!(result, Err(PlatformError::Unknown { .. }));
                assert!(is_unknown, "{:?}: {result:?}", &head[..length]);
            }
        }
    }

    #[actix_rt::test]
    async fn status_503_has_no_effect_and_500_is_unknown() {
        let unavailable = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        let result = append_to(serve_once(unavailable)).await;
        assert!(matches!(result, Err(PlatformError::Refused { .. })));
        let server_error = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
        let result = append_to(serve_once(server_error)).await;
        assert!(matches!(result, Err(PlatformError::Unknown { .. })));
    }

    #[actix_rt::test]
    async fn a_read_before_the_retained_range_returns_the_earliest_offset() {
        let gone_response = "HTTP/1.1 410 Gone\r\ncontent-length: 40\r\n\r\n\
            {\"entries\":[],\"earliest\":70,\"head\":90}  ";
        let platform = HttpPlatform::new(serve_once(gone_response));
        let result = platform.log.read(3, 10, 0).await;
        assert_eq!(result, Err(PlatformError::Truncated { earliest: 70 }));
    }
}
