//! Forwards HTTP calls to plain services, which are HTTP services other than model engines.
//!
//! The caller's credentials and headers that apply to one connection only are not forwarded.

use std::{
    sync::Arc,
    time::Duration, //
};

use awc::{
    http::{
        header::HeaderName,
        Method, //
    },
    ClientRequest,
    ClientResponse, //
};
use bytes::Bytes;
use futures::StreamExt as _;
use tokio::time::{
    timeout,
    Instant, //
};

use crate::{
    dispatch::{
        Summary,
        Work,
        WorkEvent,
        WorkSender, //
    },
    engine::{
        client,
        run::{
            AttemptEnd,
            Target, //
        }, //
    },
    outcome::{
        is_final_status,
        NotRun,
        Outcome,
        Refusal, //
    },
    wire::{
        ENDPOINT_HEADER,
        IDEMPOTENCY_HEADER,
        NOT_RUN_HEADER,
        ORGANISATION_HEADER,
        REQUEST_ID_HEADER, //
    }, //
};

/// Maximum time between two chunks of a response body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Divisor of the time left until the deadline. An attempt at an idempotent call waits for the
/// response head for at most the quotient, so that time for a retry remains.
const ATTEMPTS_PER_DEADLINE: u32 = 2;

/// Retry delay if a service refused a call without a `retry-after` header.
const REFUSED_RETRY_MS: u64 = 1_000;

/// Headers that are not forwarded: hop-by-hop headers, and those that flamingoscale sets itself.
const UNFORWARDED_HEADERS: [&str; 14] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "http2-settings",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    IDEMPOTENCY_HEADER,
];

/// Headers with credentials of the caller.
const CREDENTIAL_HEADERS: [&str; 5] = [
    "authorization",
    "cookie",
    "x-api-key",
    "api-key",
    "x-auth-token",
];

/// Prefix of the headers that only flamingoscale may set.
const RESERVED_PREFIX: &str = "flamingoscale-";

/// Returns whether a request header is forwarded to the service. `connection_headers` holds the
/// names listed in the request's `connection` header.
pub(crate) fn is_forwarded_to_service(name: &str, connection_headers: &[String]) -> bool {
    let is_unforwarded = UNFORWARDED_HEADERS.contains(&name) || CREDENTIAL_HEADERS.contains(&name);
    !is_unforwarded
        && !name.starts_with(RESERVED_PREFIX)
        && !connection_headers.iter().any(|listed| listed == name)
}

/// Returns whether a response header is forwarded to the caller. `connection_headers` holds the
/// names listed in the response's `connection` header.
pub(crate) fn is_forwarded_to_caller(name: &str, connection_headers: &[String]) -> bool {
    let is_unforwarded = UNFORWARDED_HEADERS.contains(&name);
    !is_unforwarded
        && !name.starts_with(RESERVED_PREFIX)
        && !connection_headers.iter().any(|listed| listed == name)
}

/// Returns the header names, in lower case, that the values of a `connection` header list.
pub(crate) fn connection_header_names<'a>(values: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    values
        .filter_map(|value| std::str::from_utf8(value).ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect()
}

/// The parts of a call to a plain service.
pub(crate) struct Call<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [(Arc<str>, Arc<str>)],
    pub(crate) body: &'a Bytes,
}

/// Runs a call to a plain service until it ends, the deadline passes, or the receiver of `events`
/// is dropped.
pub(crate) async fn call(
    target: &Target,
    work: &Work,
    call: &Call<'_>,
    events: &WorkSender,
    deadline: Instant,
) -> AttemptEnd {
    let Some(request) = build(target, work, call) else {
        let invalid = Refusal::Invalid("the method or path can't be sent on".into());
        return AttemptEnd::not_run(NotRun::permanent(invalid));
    };
    let time_left = deadline.saturating_duration_since(Instant::now());
    let head_timeout = if work.idempotent {
        time_left / ATTEMPTS_PER_DEADLINE
    } else {
        time_left
    };
    let sent = timeout(head_timeout, request.send_body(call.body.clone()));
    let response = tokio::select! {
        sent = sent => match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                let outcome = client::send_error_outcome(&error);
                let connection_lost = matches!(outcome, Outcome::Unknown(_));
                return AttemptEnd {
                    outcome,
                    connection_lost,
                    resume_from: None,
                };
            }
            Err(_) => {
                client::discard_connections(&target.address);
                return AttemptEnd::unknown("the service gave no answer");
            }
        },
        () = events.closed() => return AttemptEnd::unknown("the caller is gone"),
    };
    if let Some(end) = check_head(target, &response) {
        return end;
    }
    tokio::select! {
        end = forward_response(target, call.method, response, events) => end,
        () = events.closed() => AttemptEnd::unknown("the caller is gone"),
        () = tokio::time::sleep_until(deadline) => AttemptEnd::unknown("the deadline passed"),
    }
}

/// Builds the request to the service. Returns `None` if the method is invalid.
fn build(target: &Target, work: &Work, call: &Call<'_>) -> Option<ClientRequest> {
    let method = Method::from_bytes(call.method.as_bytes()).ok()?;
    let url = format!("http://{}{}", target.address, call.path);
    // A call that is not idempotent gets a new connection, because on a pooled connection that is
    // dead or was just closed its outcome would be unknown.
    let mut request = if work.idempotent {
        client::pooled(&target.address).request(method, url)
    } else {
        client::unpooled().request(method, url).force_close()
    };
    for (name, value) in call.headers {
        request = request.append_header((&**name, &**value));
    }
    request = request
        .no_decompress()
        .insert_header((REQUEST_ID_HEADER, &*work.request_id))
        .insert_header((ORGANISATION_HEADER, &*work.organisation));
    Some(request)
}

/// Returns the result of the attempt if the response head alone determines it.
fn check_head(target: &Target, response: &ClientResponse) -> Option<AttemptEnd> {
    let headers = response.headers();
    let answering_endpoint = headers.get(ENDPOINT_HEADER);
    if answering_endpoint.is_none_or(|name| name.as_bytes() != target.id.as_bytes()) {
        return Some(AttemptEnd::unknown(
            "another endpoint answered at this address",
        ));
    }
    if !is_final_status(response.status().as_u16()) {
        return Some(AttemptEnd::unknown("the service's answer has no status"));
    }
    if !headers.contains_key(NOT_RUN_HEADER) {
        return None;
    }
    let retry_after_s = headers
        .get("retry-after")
        .and_then(|value| value.to_str().ok());
    let after_ms = retry_after_s
        .and_then(|value| value.parse::<u64>().ok())
        .map_or(REFUSED_RETRY_MS, |seconds| seconds.saturating_mul(1_000));
    let refused = NotRun::retry_after(Refusal::Overloaded, after_ms);
    Some(AttemptEnd::not_run(refused))
}

/// Returns the length of the body that a response names; `None` if it names none or has no body.
fn named_length(method: &str, response: &ClientResponse) -> Option<u64> {
    let has_body = method != "HEAD" && !matches!(response.status().as_u16(), 204 | 304);
    let length = response.headers().get("content-length")?.to_str().ok()?;
    length.trim().parse().ok().filter(|_| has_body)
}

/// Forwards a response to its end. The client reports a body that was cut off as complete, so its length is
/// checked; one in chunks has none that could be.
async fn forward_response(
    target: &Target,
    method: &str,
    mut response: ClientResponse,
    events: &WorkSender,
) -> AttemptEnd {
    let mut missing_bytes = named_length(method, &response).unwrap_or(0);
    let head = WorkEvent::Head {
        status: response.status().as_u16(),
        headers: end_to_end_headers(&response),
    };
    if events.send(head).await.is_err() {
        return AttemptEnd::unknown("the caller is gone");
    }
    loop {
        match timeout(BODY_IDLE_TIMEOUT, response.next()).await {
            Ok(Some(Ok(bytes))) => {
                missing_bytes = missing_bytes.saturating_sub(bytes.len() as u64);
                if events.send(WorkEvent::Body(bytes)).await.is_err() {
                    return AttemptEnd::unknown("the caller is gone");
                }
            }
            Ok(None) if missing_bytes > 0 => {
                return AttemptEnd::connection_lost("the service's answer broke off")
            }
            Ok(None) => break,
            Ok(Some(Err(error))) => return AttemptEnd::connection_lost(error.to_string()),
            Err(_) => {
                client::discard_connections(&target.address);
                return AttemptEnd::unknown("the service's answer fell silent");
            }
        }
    }
    AttemptEnd::ran(Summary {
        endpoint: target.key,
        finish_reason: "stop".into(),
        ..Summary::default()
    })
}

fn end_to_end_headers(response: &ClientResponse) -> Vec<(Arc<str>, Arc<str>)> {
    let headers = response.headers();
    let connection_headers =
        connection_header_names(headers.get_all("connection").map(|value| value.as_bytes()));
    headers
        .iter()
        .filter(|(name, _)| is_forwarded_to_caller(name.as_str(), &connection_headers))
        .filter_map(|(name, value)| header_text(name, value.as_bytes()))
        .collect()
}

/// Converts a header to text. Returns `None` if the value is not valid UTF-8.
pub(crate) fn header_text(name: &HeaderName, value: &[u8]) -> Option<(Arc<str>, Arc<str>)> {
    let value = std::str::from_utf8(value).ok()?;
    Some((name.as_str().into(), value.into()))
}

#[cfg(test)]
mod tests;
