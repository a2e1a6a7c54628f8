//! HTTP routes of the engine.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use actix_web::{
    web::{
        self,
        Data,
        Json,
        ServiceConfig, //
    },
    HttpRequest,
    HttpResponse,
    HttpResponseBuilder, //
};
use bytes::Bytes;
use flamingoscale::wire::{
    Completion,
    CompletionChunk,
    CompletionRequest,
    EndpointStatus,
    EngineOrder,
    ErrorBody,
    RequestRef,
    ENDPOINT_HEADER,
    NOT_RUN_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER, //
};
use futures::stream;
use serde::Deserialize;

use super::{
    batch::{
        append_span,
        Chunks, //
    },
    load::accept_order,
    RequestCounts,
    Shared, //
};
use crate::{
    faults::{
        sleep_ms,
        Fault, //
    },
    platform::lock,
    server::{
        header,
        ConnectionHandle, //
    }, //
};

pub(super) fn configure(config: &mut ServiceConfig, data: &Data<Shared>) {
    config
        .app_data(data.clone())
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/cancel", web::post().to(cancel))
        .route("/v1/kv/export", web::post().to(export))
        .route("/admin/status", web::get().to(status))
        .route("/admin/orders", web::post().to(order))
        .route("/admin/cache_events", web::get().to(cache_events))
        .route("/fault", web::post().to(fault));
}

fn response(shared: &Shared, mut builder: HttpResponseBuilder) -> HttpResponseBuilder {
    builder.insert_header((ENDPOINT_HEADER, &*shared.settings.endpoint));
    builder
}

fn refusal_response(shared: &Shared) -> HttpResponse {
    let body = ErrorBody {
        kind: "refused".into(),
        message: "the engine did not run this: try another".into(),
    };
    response(shared, HttpResponse::ServiceUnavailable())
        .insert_header((NOT_RUN_HEADER, "1"))
        .json(body)
}

async fn complete(
    shared: Data<Shared>,
    request: HttpRequest,
    body: Json<CompletionRequest>,
) -> HttpResponse {
    shared.record_headers(&request);
    shared.faults.delay().await;
    if shared.faults.consume_refusal() {
        return refusal_response(&shared);
    }
    let id: Arc<str> = header(&request, REQUEST_ID_HEADER).into();
    let organisation = header(&request, ORGANISATION_HEADER).into();
    let body = body.into_inner();
    let streamed = body.stream;
    let drop_connection = shared
        .faults
        .consume_response_loss()
        .then(|| ConnectionHandle::from_request(&request));
    let chunks = lock(&shared.batch).enqueue(id.clone(), organisation, body);
    if streamed {
        return response(&shared, HttpResponse::Ok())
            .content_type("text/event-stream")
            .streaming(event_stream(chunks, drop_connection));
    }
    collect_completion(&shared, id, chunks, drop_connection).await
}

/// Collects the complete response. A crash drops this task together with its connection.
async fn collect_completion(
    shared: &Shared,
    id: Arc<str>,
    mut chunks: Chunks,
    drop_connection: Option<ConnectionHandle>,
) -> HttpResponse {
    let mut completion = Completion {
        id,
        ..Completion::default()
    };
    while let Some(chunk) = chunks.recv().await {
        add_chunk(&mut completion, chunk);
    }
    if completion.finish_reason.is_empty() {
        return response(shared, HttpResponse::InternalServerError()).finish();
    }
    if let Some(connection) = drop_connection {
        connection.kill();
        std::future::pending::<()>().await;
    }
    response(shared, HttpResponse::Ok()).json(completion)
}

fn add_chunk(completion: &mut Completion, chunk: CompletionChunk) {
    completion.text.push_str(&chunk.text);
    completion.tokens += chunk.tokens;
    if let Some(version) = chunk.version.filter(|_| chunk.tokens > 0) {
        append_span(&mut completion.versions, version, chunk.tokens);
    }
    if let Some(reason) = chunk.finish_reason {
        completion.finish_reason = reason;
    }
}

/// Returns the chunks as server-sent events, ending with `[DONE]`.
fn event_stream(
    chunks: Chunks,
    drop_connection: Option<ConnectionHandle>,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> {
    stream::unfold(Some((chunks, drop_connection)), |state| async move {
        let (mut chunks, drop_connection) = state?;
        let Some(chunk) = chunks.recv().await else {
            let crashed = std::io::Error::other("engine crashed during the stream");
            return Some((Err(crashed), None));
        };
        if let Some(connection) = &drop_connection {
            drain_chunks(&mut chunks, &chunk).await;
            connection.kill();
            std::future::pending::<()>().await;
        }
        let body = serde_json::to_string(&chunk).unwrap_or_default();
        if chunk.finish_reason.is_some() {
            let last = format!("data: {body}\n\ndata: [DONE]\n\n");
            return Some((Ok(last.into()), None));
        }
        Some((
            Ok(format!("data: {body}\n\n").into()),
            Some((chunks, drop_connection)),
        ))
    })
}

/// Lets the request run to its end and discards the remaining chunks, for the fault that loses the
/// response.
async fn drain_chunks(chunks: &mut Chunks, first: &CompletionChunk) {
    let mut finished = first.finish_reason.is_some();
    while !finished {
        let next = chunks.recv().await;
        finished = next.is_none_or(|chunk| chunk.finish_reason.is_some());
    }
}

async fn cancel(shared: Data<Shared>, body: Json<RequestRef>) -> HttpResponse {
    if lock(&shared.batch).cancel(&body.request_id) {
        return response(&shared, HttpResponse::Ok()).finish();
    }
    response(&shared, HttpResponse::NotFound()).finish()
}

async fn export(shared: Data<Shared>, body: Json<RequestRef>) -> HttpResponse {
    shared.faults.delay().await;
    let exported = lock(&shared.batch).export(&body.request_id);
    match exported {
        Some(export) => response(&shared, HttpResponse::Ok()).json(export),
        None => response(&shared, HttpResponse::NotFound()).finish(),
    }
}

/// Returns the status. The request counts are delayed; boot, version and swap state are current.
async fn status(shared: Data<Shared>) -> HttpResponse {
    shared.faults.delay().await;
    if shared.faults.consume_refusal() {
        return refusal_response(&shared);
    }
    let (running, queued) = shared.delayed_counts();
    let boot = lock(&shared.batch).boot;
    let weights = lock(&shared.weights);
    let status = EndpointStatus {
        endpoint: shared.settings.endpoint.clone(),
        boot,
        version: weights.version(),
        swapping: weights.swapping,
        failed: weights.load_error.clone(),
        running,
        queued,
        slots: shared.settings.slots,
        leaving_in_ms: shared.leaving_in_ms(),
    };
    drop(weights);
    response(&shared, HttpResponse::Ok()).json(status)
}

impl Shared {
    /// Returns the request counts, delayed by at least the configured lag.
    fn delayed_counts(&self) -> RequestCounts {
        let lag = Duration::from_millis(self.settings.status_lag_ms);
        let mut reported = lock(&self.reported_counts);
        if reported
            .sampled_at
            .is_none_or(|sampled_at| sampled_at.elapsed() >= lag)
        {
            reported.sampled_at = Some(Instant::now());
            reported.visible = reported.next;
            reported.next = lock(&self.batch).request_counts();
        }
        reported.visible
    }
}

async fn order(
    shared: Data<Shared>,
    request: HttpRequest,
    body: Json<EngineOrder>,
) -> HttpResponse {
    shared.record_headers(&request);
    shared.faults.delay().await;
    if shared.faults.consume_refusal() {
        return refusal_response(&shared);
    }
    let lose_response = shared.faults.consume_response_loss();
    let accepted = accept_order(&shared, body.into_inner());
    if lose_response {
        ConnectionHandle::from_request(&request).kill();
        std::future::pending::<()>().await;
    }
    if accepted {
        return response(&shared, HttpResponse::Accepted()).finish();
    }
    response(&shared, HttpResponse::Conflict()).finish()
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

async fn cache_events(shared: Data<Shared>, query: web::Query<EventsQuery>) -> HttpResponse {
    let boot = lock(&shared.batch).boot;
    let events = lock(&shared.cache).events_after(query.after, boot);
    response(&shared, HttpResponse::Ok()).json(events)
}

async fn fault(shared: Data<Shared>, body: Json<Fault>) -> HttpResponse {
    let shared = shared.into_inner();
    let fault = body.into_inner();
    actix_rt::spawn(async move {
        // Sends the response first, because the fault may drop the connection that it arrived on.
        sleep_ms(1).await;
        shared.inject_fault(&fault);
    });
    HttpResponse::Accepted().finish()
}
