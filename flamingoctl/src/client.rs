//! HTTP client of the admin API of the entry instances.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use awc::{
    http::{
        Method,
        StatusCode, //
    },
    ClientResponse, //
};
use bytes::Bytes;
use flamingoscale::wire::{
    ErrorBody,
    Status, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};

use crate::error::{
    CommandError,
    Result, //
};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends requests to the admin API, trying the configured entry instances in order.
pub(crate) struct Client {
    entries: Vec<SocketAddr>,
    token: String,
    http: awc::Client,
}

/// The status and the complete body of an HTTP response.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Response {
    /// Decodes the body of a successful response; any other status becomes
    /// [`CommandError::Refused`].
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.status.is_success() {
            return Err(self.refusal_error());
        }
        self.body_json()
    }

    /// Decodes the body regardless of the status.
    pub(crate) fn body_json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| CommandError::Refused {
            status: self.status.as_u16(),
            message: format!("cannot decode the response ({error}): is this an entry instance?"),
        })
    }

    /// Returns the error for a response with an error status, with the message from its body.
    fn refusal_error(&self) -> CommandError {
        let body: ErrorBody = serde_json::from_slice(&self.body).unwrap_or_default();
        CommandError::Refused {
            status: self.status.as_u16(),
            message: body.message,
        }
    }
}

impl Client {
    pub(crate) fn new(entries: Vec<SocketAddr>, token: String) -> Self {
        let http = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Self {
            entries,
            token,
            http,
        }
    }

    /// Sends a GET request to the first reachable instance and decodes the response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.send(Method::GET, path, &()).await?.json()
    }

    /// Sends a request to the first reachable instance. Only connection errors and timeouts move
    /// on to the next instance; a response of any status is returned.
    pub(crate) async fn send<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<Response> {
        let mut reason = "no address given".to_owned();
        for &entry in &self.entries {
            match self.send_to(entry, method.clone(), path, body).await {
                Ok(response) => return Ok(response),
                Err(CommandError::Unreachable { reason: latest }) => reason = latest,
                Err(error) => return Err(error),
            }
        }
        Err(CommandError::Unreachable { reason })
    }

    /// Sends a request to the given instance.
    pub(crate) async fn send_to<B: Serialize>(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<Response> {
        let url = format!("http://{entry}{path}");
        let request = self
            .http
            .request(method.clone(), url)
            .bearer_auth(&self.token);
        let result = if method == Method::POST {
            request.send_json(body).await
        } else {
            request.send().await
        };
        let response = result.map_err(|error| unreachable_error(entry, &error))?;
        read_response(entry, response).await
    }

    /// Fetches the status of every member that the first reachable instance lists. Unreachable
    /// members are left out.
    pub(crate) async fn statuses(&self) -> Result<Vec<Status>> {
        let first: Status = self.get("/admin/status").await?;
        let mut statuses = Vec::with_capacity(first.members.len());
        for address in member_addresses(&first) {
            let response = self.send_to(address, Method::GET, "/admin/status", &());
            if let Ok(response) = response.await {
                statuses.push(response.json()?);
            }
        }
        if statuses.is_empty() {
            statuses.push(first);
        }
        Ok(statuses)
    }
}

/// Returns the addresses on which the listed members serve callers.
pub(crate) fn member_addresses(status: &Status) -> Vec<SocketAddr> {
    let members = status.members.iter();
    members
        .filter_map(|member| member.address.parse().ok())
        .collect()
}

async fn read_response<S>(entry: SocketAddr, mut response: ClientResponse<S>) -> Result<Response>
where
    S: futures::Stream<Item = std::result::Result<Bytes, awc::error::PayloadError>>,
{
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    Ok(Response {
        status: response.status(),
        body: body.map_err(|error| unreachable_error(entry, &error))?,
    })
}

fn unreachable_error(entry: SocketAddr, error: &dyn std::fmt::Display) -> CommandError {
    CommandError::Unreachable {
        reason: format!("{entry}: {error}"),
    }
}
