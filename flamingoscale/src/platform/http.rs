//! The platform over HTTP, as the control thread uses it.
//!
//! Every failure is told as what may be concluded from it: only a call that provably never left,
//! or that the platform itself turned down, counts as refused.

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

/// Longest wait for an answer.
const RESPONSE_TIMEOUT_MS: u64 = 3_000;

/// Longest wait for an append; it's sent again then, which is harmless.
const APPEND_TIMEOUT_MS: u64 = 2_000;

/// Longest wait for a read, beyond what it asks the platform to wait. A slow platform must still
/// get records through; whether it counts as away is decided sooner.
const READ_TIMEOUT_MS: u64 = 6_000;

/// Largest answer that is read.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// The platform's HTTP face.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    base: Arc<str>,
}

/// An answer before it is judged by the call's own statuses.
struct Response {
    status: StatusCode,
    body: Bytes,
}

impl HttpPlatform {
    /// The platform at `address`, for use on the thread that calls this.
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

    /// Waits for a whole answer. A connection that went silent is dropped at the time limit, and
    /// the next call opens a new one.
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
            Ok(answer) => answer,
            Err(_) => Err(unknown(format!("no answer within {timeout_ms} ms"))),
        }
    }
}

impl Response {
    /// Reads a successful answer, or tells what may be concluded from a failed one.
    fn read<T: DeserializeOwned>(&self) -> Result<T> {
        self.check()?;
        serde_json::from_slice(&self.body).map_err(|error| unknown(error.to_string()))
    }

    fn check(&self) -> Result<()> {
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
            let answer = self.post("/log/append", &body, APPEND_TIMEOUT_MS).await?;
            let appended: AppendResponse = answer.read()?;
            Ok(appended.first_offset)
        })
    }

    fn read(&self, from: u64, max: usize, wait_ms: u64) -> LocalBoxFuture<'_, Result<LogRead>> {
        Box::pin(async move {
            let path = format!("/log/read?from={from}&max={max}&wait_ms={wait_ms}");
            let answer = self.get(&path, wait_ms + READ_TIMEOUT_MS).await?;
            if answer.status == StatusCode::GONE {
                let kept: ReadResponse = serde_json::from_slice(&answer.body)
                    .map_err(|error| unknown(error.to_string()))?;
                return Err(PlatformError::Truncated {
                    earliest: kept.earliest,
                });
            }
            let read: ReadResponse = answer.read()?;
            Ok(LogRead {
                records: read.entries.into_iter().map(record).collect(),
                earliest: read.earliest,
                head: read.head,
            })
        })
    }
}

impl InstanceList for HttpPlatform {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>>> {
        Box::pin(async move { self.get("/instances", RESPONSE_TIMEOUT_MS).await?.read() })
    }
}

impl EndpointOrders for HttpPlatform {
    fn endpoints(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformEndpoint>>> {
        Box::pin(async move { self.get("/endpoints", RESPONSE_TIMEOUT_MS).await?.read() })
    }

    fn order(&self, order: PlatformOrder) -> LocalBoxFuture<'_, Result<PlatformOrderDone>> {
        Box::pin(async move {
            let answer = self.post("/orders", &order, RESPONSE_TIMEOUT_MS).await?;
            match answer.status {
                StatusCode::CONFLICT => Err(PlatformError::Fenced {
                    fencing: order.fencing,
                }),
                StatusCode::GONE => Err(PlatformError::Expired),
                _ => answer.read(),
            }
        })
    }
}

impl UsageReports for HttpPlatform {
    fn report(&self, report: UsageReport) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let answer = self.post("/usage", &report, RESPONSE_TIMEOUT_MS).await?;
            match answer.status {
                StatusCode::CONFLICT => Err(PlatformError::Fenced {
                    fencing: report.fencing,
                }),
                _ => answer.check(),
            }
        })
    }
}

/// An entry that isn't base64 becomes an empty record, which the fold skips as foreign: its
/// offset must not be lost.
fn record(entry: LogEntry) -> LogRecord {
    LogRecord {
        offset: entry.offset,
        data: STANDARD.decode(&entry.data).unwrap_or_default().into(),
    }
}

/// A call that never got a connection had no effect. [`ConnectError::Disconnected`] is not such a
/// case: the client also gives it when the connection ends while it waits for the answer.
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

    /// Answers one connection with fixed bytes, then closes it.
    fn serve_once(answer: &'static str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
        let address = listener.local_addr().expect("the listener is bound");
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a client connects");
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
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
        let address = listener.local_addr().expect("the listener is bound");
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

    #[actix_rt::test]
    async fn status_503_has_no_effect_and_500_is_unknown() {
        let away = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        let result = append_to(serve_once(away)).await;
        assert!(matches!(result, Err(PlatformError::Refused { .. })));
        let broken = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
        let result = append_to(serve_once(broken)).await;
        assert!(matches!(result, Err(PlatformError::Unknown { .. })));
    }

    #[actix_rt::test]
    async fn a_read_before_the_retained_range_returns_the_earliest_offset() {
        let gone = "HTTP/1.1 410 Gone\r\ncontent-length: 40\r\n\r\n\
            {\"entries\":[],\"earliest\":70,\"head\":90}  ";
        let platform = HttpPlatform::new(serve_once(gone));
        let result = platform.log.read(3, 10, 0).await;
        assert_eq!(result, Err(PlatformError::Truncated { earliest: 70 }));
    }
}
