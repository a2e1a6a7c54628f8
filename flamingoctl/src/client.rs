//! Calls to the operators' face of an entry instance.

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

/// Longest wait for one answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest answer that is read.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A caller of the operators' face.
pub(crate) struct Client {
    entries: Vec<SocketAddr>,
    token: String,
    http: awc::Client,
}

/// A status and a body.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Response {
    /// Reads the body of a good answer, or the refusal of any other.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.status.is_success() {
            return Err(self.refusal_error());
        }
        self.body_json()
    }

    /// Reads the body whatever the status.
    pub(crate) fn body_json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| CommandError::Refused {
            status: self.status.as_u16(),
            message: format!("unreadable answer ({error}): is this an entry instance?"),
        })
    }

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

    /// Reads from the first instance that answers.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.send(Method::GET, path, &()).await?.json()
    }

    /// Sends to the first instance that answers.
    pub(crate) async fn send<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<Response> {
        let mut reason = "none was named".to_owned();
        for &entry in &self.entries {
            match self.send_to(entry, method.clone(), path, body).await {
                Ok(response) => return Ok(response),
                Err(CommandError::Unreachable { reason: latest }) => reason = latest,
                Err(error) => return Err(error),
            }
        }
        Err(CommandError::Unreachable { reason })
    }

    /// Sends to one instance.
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

    /// Reads the status of every live member.
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

/// The callers' addresses of the members that an instance sees.
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
