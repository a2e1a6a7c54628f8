//! The border to plain services: any HTTP call, passed on without what is the caller's own.

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

/// Longest silence within an answer.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Part of the time left that one try of a repeatable call may use before its head.
const ATTEMPTS_PER_DEADLINE: u32 = 2;

/// When to try again after a service refused without a time of its own.
const REFUSED_RETRY_MS: u64 = 1_000;

/// Headers that belong to one connection, and those that the system sets itself.
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

/// Headers by which callers show who they are.
const CREDENTIAL_HEADERS: [&str; 5] = [
    "authorization",
    "cookie",
    "x-api-key",
    "api-key",
    "x-auth-token",
];

/// Prefix of the headers that only the system may set.
const RESERVED_PREFIX: &str = "flamingoscale-";

/// Whether a caller's header goes on to the service. `connection_headers` are those that the caller's
/// `connection` header names.
pub(crate) fn is_forwarded_to_service(name: &str, connection_headers: &[String]) -> bool {
    let is_unforwarded = UNFORWARDED_HEADERS.contains(&name) || CREDENTIAL_HEADERS.contains(&name);
    !is_unforwarded
        && !name.starts_with(RESERVED_PREFIX)
        && !connection_headers.iter().any(|other| other == name)
}

/// Whether a service's header goes back to the caller.
pub(crate) fn is_forwarded_to_caller(name: &str, connection_headers: &[String]) -> bool {
    let is_unforwarded = UNFORWARDED_HEADERS.contains(&name);
    !is_unforwarded
        && !name.starts_with(RESERVED_PREFIX)
        && !connection_headers.iter().any(|other| other == name)
}

/// The header names that a `connection` header lists.
pub(crate) fn connection_header_names<'a>(values: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    values
        .filter_map(|value| std::str::from_utf8(value).ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect()
}

/// A plain call in parts.
pub(crate) struct Call<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [(Arc<str>, Arc<str>)],
    pub(crate) body: &'a Bytes,
}

/// Runs a plain call until its end, the deadline, or until nobody listens any more.
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
    let left = deadline.saturating_duration_since(Instant::now());
    let limit = if work.idempotent {
        left / ATTEMPTS_PER_DEADLINE
    } else {
        left
    };
    let sent = timeout(limit, request.send_body(call.body.clone()));
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
        end = forward_response(target, response, events) => end,
        () = events.closed() => AttemptEnd::unknown("the caller is gone"),
        () = tokio::time::sleep_until(deadline) => AttemptEnd::unknown("the deadline passed"),
    }
}

fn build(target: &Target, work: &Work, call: &Call<'_>) -> Option<ClientRequest> {
    let method = Method::from_bytes(call.method.as_bytes()).ok()?;
    let url = format!("http://{}{}", target.address, call.path);
    // A call that must not be repeated gets a new connection: one that went silent or was just
    // closed would leave its outcome unknown.
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

/// Returns the end of the try if the head alone decides it.
fn check_head(target: &Target, response: &ClientResponse) -> Option<AttemptEnd> {
    let headers = response.headers();
    let answering_endpoint = headers.get(ENDPOINT_HEADER);
    if answering_endpoint.is_none_or(|name| name.as_bytes() != target.id.as_bytes()) {
        return Some(AttemptEnd::unknown(
            "another endpoint answered at this address",
        ));
    }
    if !headers.contains_key(NOT_RUN_HEADER) {
        return None;
    }
    let seconds = headers
        .get("retry-after")
        .and_then(|value| value.to_str().ok());
    let after_ms = seconds
        .and_then(|value| value.parse::<u64>().ok())
        .map_or(REFUSED_RETRY_MS, |seconds| seconds.saturating_mul(1_000));
    let refused = NotRun::retry_after(Refusal::Overloaded, after_ms);
    Some(AttemptEnd::not_run(refused))
}

async fn forward_response(
    target: &Target,
    mut response: ClientResponse,
    events: &WorkSender,
) -> AttemptEnd {
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
                if events.send(WorkEvent::Body(bytes)).await.is_err() {
                    return AttemptEnd::unknown("the caller is gone");
                }
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

/// A header as text; one that is not UTF-8 is dropped.
pub(crate) fn header_text(name: &HeaderName, value: &[u8]) -> Option<(Arc<str>, Arc<str>)> {
    let value = std::str::from_utf8(value).ok()?;
    Some((name.as_str().into(), value.into()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn credentials_and_connection_headers_are_not_forwarded() {
        let connection_headers = connection_header_names([&b"close, X-Hop"[..]].into_iter());
        for name in [
            "authorization",
            "cookie",
            "proxy-authorization",
            "transfer-encoding",
            "x-hop",
            "flamingoscale-organisation",
            "idempotency-key",
        ] {
            assert!(
                !is_forwarded_to_service(name, &connection_headers),
                "{name}"
            );
        }
        assert!(is_forwarded_to_service("accept", &connection_headers));
        assert!(is_forwarded_to_service("traceparent", &connection_headers));
    }

    #[test]
    fn reserved_response_headers_of_a_service_are_dropped() {
        assert!(!is_forwarded_to_caller("flamingoscale-outcome", &[]));
        assert!(!is_forwarded_to_caller(ENDPOINT_HEADER, &[]));
        assert!(is_forwarded_to_caller("set-cookie", &[]));
    }
}
