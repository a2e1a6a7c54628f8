//! HTTP interface for callers.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix_web::{
    http::{
        header::HeaderMap,
        StatusCode, //
    },
    web::{
        self,
        Data, //
    },
    HttpRequest,
    HttpResponse,
    HttpResponseBuilder, //
};
use bytes::Bytes;
use futures::StreamExt as _;
use serde::Deserialize;
use tokio::time::{
    timeout,
    Instant, //
};

use crate::{
    client::{
        append,
        BodyError, //
    },
    dispatch::WorkBody,
    fleet::clients::Shortage,
    gateway::{
        answer::{
            Answer,
            UnknownAnswer,
            UnknownCause, //
        },
        bodies::BodyMemory,
        chain::Exchange,
        entries::entries,
        stream::StreamBody,
        Gateway, //
    },
    metrics::RequestLabels,
    outcome::{
        NotRun,
        Refusal, //
    },
    service::{
        connection_header_names,
        header_text,
        is_forwarded_to_service, //
    },
    wire::{
        CompletionRequest,
        ErrorBody,
        IDEMPOTENCY_HEADER,
        OUTCOME_HEADER,
        REQUEST_ID_HEADER, //
    }, //
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Time limit for receiving a request body, so that slow senders do not hold memory.
const BODY_TIMEOUT: Duration = Duration::from_millis(20_000);

/// When a caller may try again whose body there was no memory for.
const SHORT_RETRY_MS: u64 = 1_000;

/// Maximum length of an idempotency key, in ASCII characters.
const MAX_IDEMPOTENCY_KEY_CHARS: usize = 255;

/// Request header with the caller's timeout in milliseconds.
const TIMEOUT_HEADER: &str = "flamingoscale-timeout-ms";

/// Registers the HTTP routes for callers.
pub(crate) fn configure(config: &mut web::ServiceConfig, gateway: Arc<Gateway>) {
    config
        .app_data(Data::from(gateway))
        .route("/v1/entries", web::get().to(get_entries))
        .route("/v1/completions", web::post().to(post_completions))
        .route("/s/{service}", web::route().to(call_service))
        .route("/s/{service}/{path:.*}", web::route().to(call_service));
}

#[derive(Deserialize)]
struct EntriesQuery {
    near: Option<String>,
}

async fn get_entries(gateway: Data<Gateway>, query: web::Query<EntriesQuery>) -> HttpResponse {
    let view = gateway.instance.view.load();
    let instance = &gateway.instance;
    let leaving_instance = instance.is_draining().then(|| &**instance.id());
    let response = entries(
        &view,
        query.near.as_deref(),
        leaving_instance,
        &mut rand::rng(),
    );
    HttpResponse::Ok().json(response)
}

async fn post_completions(
    gateway: Data<Gateway>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let request_id = gateway.instance.new_request_id();
    let parsed = match read_body(&gateway, &request, payload).await {
        Ok((body, memory)) => serde_json::from_slice::<CompletionRequest>(&body)
            .map(|completion| (completion, memory))
            .map_err(|error| invalid(&format!("the body is not a completion request: {error}"))),
        Err(not_run) => Err(not_run),
    };
    let (completion, _memory) = match parsed {
        Ok(parsed) => parsed,
        Err(not_run) => return refusal_response(&gateway, "", &request_id, &not_run),
    };
    let completion = CompletionRequest {
        priority: 0,
        resume: None,
        ..completion
    };
    let service_name = completion.model.clone();
    let body = WorkBody::Completion(completion);
    handle_request(&gateway, &request, request_id, service_name, body).await
}

async fn call_service(
    gateway: Data<Gateway>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let request_id = gateway.instance.new_request_id();
    let service_name: Arc<str> = request.match_info().query("service").into();
    let (body, _memory) = match read_body(&gateway, &request, payload).await {
        Ok(read) => read,
        Err(not_run) => return refusal_response(&gateway, &service_name, &request_id, &not_run),
    };
    let body = WorkBody::Plain {
        method: request.method().as_str().into(),
        path: path_and_query(&request, &service_name),
        headers: forwarded_headers(request.headers()),
        body,
    };
    handle_request(&gateway, &request, request_id, service_name, body).await
}

/// Returns the path and query after the service's prefix, exactly as the caller sent them.
fn path_and_query(request: &HttpRequest, service: &str) -> Arc<str> {
    let path = request.uri().path();
    let prefix = "/s/".len() + service.len();
    let rest = path.get(prefix..).unwrap_or("");
    let slash = if rest.starts_with('/') { "" } else { "/" };
    match request.uri().query() {
        Some(query) => format!("{slash}{rest}?{query}").into(),
        None => format!("{slash}{rest}").into(),
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(Arc<str>, Arc<str>)> {
    let connection_headers =
        connection_header_names(headers.get_all("connection").map(|value| value.as_bytes()));
    headers
        .iter()
        .filter(|(name, _)| is_forwarded_to_service(name.as_str(), &connection_headers))
        .filter_map(|(name, value)| header_text(name, value.as_bytes()))
        .collect()
}

/// Reads a body, and returns it with what is kept for it.
async fn read_body(
    gateway: &Gateway,
    request: &HttpRequest,
    mut payload: web::Payload,
) -> Result<(Bytes, BodyMemory), NotRun> {
    let address = request.peer_addr().map(|address| address.ip().to_string());
    let address = address.unwrap_or_default().into();
    let short = |shortage: Shortage| {
        gateway.instance.metrics.count("gateway.body_refused");
        spdlog::warn!("body refused: {}", shortage.label());
        NotRun::retry_after(Refusal::Overloaded, SHORT_RETRY_MS)
    };
    let memory = gateway.bodies.begin(&address).map_err(short)?;
    let read = async {
        let mut body = Vec::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| invalid("the body broke off"))?;
            let appended = append(&mut body, &chunk, &memory, (MAX_BODY_BYTES, MAX_BODY_BYTES));
            appended.map_err(|error| match error {
                BodyError::Short(shortage) => short(shortage),
                _ => invalid(&format!(
                    "{TOO_LARGE_PREFIX}: send at most {} MB",
                    MAX_BODY_BYTES >> 20
                )),
            })?;
        }
        Ok(Bytes::from(body))
    };
    let read = timeout(BODY_TIMEOUT, read).await;
    let body = read.unwrap_or_else(|_| Err(invalid("the body came too slowly")))?;
    Ok((body, memory))
}

/// Start of the message that refuses an oversized body, by which [`describe_refusal`] recognises
/// it.
const TOO_LARGE_PREFIX: &str = "the body is too large";

fn invalid(message: &str) -> NotRun {
    NotRun::permanent(Refusal::Invalid(message.into()))
}

async fn handle_request(
    gateway: &Gateway,
    request: &HttpRequest,
    request_id: Arc<str>,
    service_name: Arc<str>,
    body: WorkBody,
) -> HttpResponse {
    let _guard = gateway.instance.begin_work();
    let headers = request.headers();
    let idempotency_key = match idempotency_key(headers) {
        Ok(key) => key,
        Err(not_run) => return refusal_response(gateway, &service_name, &request_id, &not_run),
    };
    let exchange = Exchange {
        request_id: request_id.clone(),
        view: gateway.instance.view.load(),
        service_name: service_name.clone(),
        body,
        presented_key: bearer_key(headers),
        idempotency_key,
        timeout_ms: header_value(headers, TIMEOUT_HEADER).and_then(|value| value.parse().ok()),
        deadline: Instant::now(),
        service: None,
        organisation: "".into(),
        key_id: None,
        alone: false,
        buffer_answer: false,
    };
    let chain = gateway.chain();
    let answer = if exchange.idempotency_key.is_some() {
        // Runs as a task of its own, so that it continues if the caller disconnects: a retry with
        // the same idempotency key gets its answer.
        let run = actix_rt::spawn(async move { chain.run(exchange).await });
        run.await
            .unwrap_or_else(|_| Answer::unknown(UnknownCause::Interrupted, "the request broke off"))
    } else {
        chain.run(exchange).await
    };
    build_response(gateway, &service_name, &request_id, answer)
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn bearer_key(headers: &HeaderMap) -> Option<Arc<str>> {
    let value = header_value(headers, "authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().into())
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, NotRun> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_CHARS => {
            Ok(Some(key.into()))
        }
        _ => Err(invalid(
            "write an idempotency key of 1 to 255 ASCII characters",
        )),
    }
}

fn build_response(
    gateway: &Gateway,
    service: &str,
    request_id: &str,
    answer: Answer,
) -> HttpResponse {
    match answer {
        Answer::Refused(not_run) => refusal_response(gateway, service, request_id, &not_run),
        Answer::Unknown(unknown) => unknown_response(gateway, service, request_id, &unknown),
        Answer::Complete(complete) => {
            count_request(gateway, service, "ran");
            let mut response = response_head(
                gateway,
                complete.status,
                &complete.headers,
                "ran",
                request_id,
            );
            response.body(complete.body)
        }
        Answer::Stream(streamed) => {
            count_request(gateway, service, "ran");
            let mut response = response_head(
                gateway,
                streamed.status,
                &streamed.headers,
                "ran",
                request_id,
            );
            response.streaming(StreamBody::start(gateway.instance.clone(), streamed))
        }
    }
}

fn response_head(
    gateway: &Gateway,
    status: u16,
    headers: &[(Arc<str>, Arc<str>)],
    outcome: &str,
    request_id: &str,
) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponseBuilder::new(status);
    for (name, value) in headers {
        response.append_header((&**name, &**value));
    }
    response.insert_header((OUTCOME_HEADER, outcome));
    response.insert_header((REQUEST_ID_HEADER, request_id));
    if gateway.instance.is_draining() {
        // Makes the caller connect to another instance instead of reusing this connection.
        response.force_close();
    }
    response
}

fn count_request(gateway: &Gateway, service: &str, outcome: &str) {
    let view = gateway.instance.view.load();
    // Callers choose the service name, so only configured services become label values.
    let is_configured = view.configuration.service(service).is_some();
    let labels = RequestLabels {
        service: if is_configured {
            service.into()
        } else {
            "".into()
        },
        outcome: outcome.into(),
    };
    gateway
        .instance
        .metrics
        .requests
        .get_or_create(&labels)
        .inc();
}

fn refusal_response(
    gateway: &Gateway,
    service: &str,
    request_id: &str,
    not_run: &NotRun,
) -> HttpResponse {
    count_request(gateway, service, "not-run");
    let (status, kind, message) = describe_refusal(&not_run.refusal);
    let timeline = &gateway.instance.timeline;
    timeline.record("gateway.refused", request_id, &[("kind", &kind)]);
    let mut response = response_head(gateway, status, &[], "not-run", request_id);
    if let Some(retry_after_ms) = not_run.retry_after_ms {
        response.insert_header(("retry-after", retry_after_seconds(retry_after_ms)));
    }
    response.json(error_body(kind, &message))
}

fn unknown_response(
    gateway: &Gateway,
    service: &str,
    request_id: &str,
    unknown: &UnknownAnswer,
) -> HttpResponse {
    count_request(gateway, service, "unknown");
    let (status, kind) = match unknown.cause {
        UnknownCause::Interrupted => (502, "broke_off"),
        UnknownCause::Deadline => (504, "deadline"),
        UnknownCause::KeyWithdrawn => (401, "key_withdrawn"),
        UnknownCause::EarlierRequest => (409, "idempotency"),
        UnknownCause::HistoryUnknown { .. } => (503, "idempotency"),
    };
    let reason = &unknown.reason;
    let timeline = &gateway.instance.timeline;
    timeline.record("gateway.unknown", request_id, &[("reason", reason)]);
    let message = format!("{reason}: it may have run; repeat it only if that does no harm");
    let mut response = response_head(gateway, status, &[], "unknown", request_id);
    if let UnknownCause::HistoryUnknown { retry_after_ms } = unknown.cause {
        response.insert_header(("retry-after", retry_after_seconds(retry_after_ms)));
    }
    response.json(error_body(kind, &message))
}

/// Converts milliseconds to the whole seconds of a `retry-after` header, rounded up and at least 1.
fn retry_after_seconds(retry_after_ms: u64) -> String {
    retry_after_ms.div_ceil(1_000).max(1).to_string()
}

pub(crate) fn error_body(kind: &str, message: &str) -> ErrorBody {
    ErrorBody {
        kind: kind.into(),
        message: message.into(),
    }
}

/// Returns the HTTP status, error kind and message of a refusal.
fn describe_refusal(refusal: &Refusal) -> (u16, &'static str, String) {
    match refusal {
        Refusal::Unauthorized => (
            401,
            "key",
            "no valid key: send `Authorization: Bearer KEY`".into(),
        ),
        Refusal::NoRoute => (404, "no_route", "no such service: check its name".into()),
        Refusal::Invalid(message) if message.starts_with(TOO_LARGE_PREFIX) => {
            (413, "too_large", message.to_string())
        }
        Refusal::Invalid(message) => (400, "malformed", message.to_string()),
        Refusal::OverLimit => (
            429,
            "over_limit",
            "the organisation is over its limit: try again later".into(),
        ),
        Refusal::Overloaded => (503, "overloaded", "no room in time: try again later".into()),
        Refusal::NotFresh => (
            503,
            "not_fresh",
            "this instance can't check keys now: use another address".into(),
        ),
        Refusal::Quarantined => (
            422,
            "quarantined",
            "this request crashed endpoints before: change it".into(),
        ),
        Refusal::Idempotency(message) => (409, "idempotency", message.to_string()),
        Refusal::Deadline => (504, "deadline", "the time ran out before it ran".into()),
        Refusal::ShuttingDown => (
            503,
            "shutting_down",
            "this instance is going away: use another address".into(),
        ),
        Refusal::Unreachable(message) => (503, "unreachable", format!("{message}: try again")),
    }
}
