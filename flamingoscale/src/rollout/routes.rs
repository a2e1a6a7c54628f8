//! HTTP API for trainers, served by every instance.

use std::sync::Arc;

use actix_web::{
    http::{
        header,
        StatusCode, //
    },
    web::{
        self,
        Bytes,
        Data,
        Path,
        Query,
        ServiceConfig, //
    },
    HttpRequest,
    HttpResponse, //
};
use serde::{
    de::DeserializeOwned,
    Deserialize,
    Serialize, //
};

use crate::{
    instance::Instance,
    record::Record,
    rollout::{
        answer::{
            request_peer,
            Answer, //
        },
        coordinator::{
            Coordinator,
            Shared, //
        },
        newest_weights,
        placement,
        Message,
        Reply, //
    },
    state::SubmitError,
    view::View,
    wire::{
        ErrorBody,
        OpenStep,
        PublishVersion,
        OUTCOME_HEADER, //
    }, //
};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Timeout for a coordinator's answer, in addition to the wait that the trainer requested.
const ANSWER_TIMEOUT_MS: u64 = 4_000;

/// `Retry-After` value of responses to transient failures.
const RETRY_AFTER_S: u64 = 1;

/// Registers the routes for trainers.
pub fn configure(config: &mut ServiceConfig, coordinator: Arc<Coordinator>) {
    let scope = web::scope("/v1/trainers/{trainer}")
        .app_data(Data::new(coordinator.shared().clone()))
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/versions", web::post().to(publish))
        .route("/steps", web::post().to(open))
        .route("/steps/{step}", web::get().to(fetch))
        .route("/steps/{step}/ack", web::post().to(end))
        .route("/steps/{step}/abandon", web::post().to(end));
    config.service(scope);
}

/// Error responses to trainers.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum Refusal {
    #[display("no key, or one that is not in force: ask an operator for a key")]
    Unauthorized,
    #[display("no such trainer for this key: see the questionnaire")]
    NoTrainer,
    #[display("this instance can't show that its keys are current: try another, or later")]
    NotFresh,
    #[display("no such step is open: open it")]
    NotOpen,
    #[display("the step is open with other contents: abandon it first or take a new number")]
    Conflict,
    #[display("the coordinator was not reached: send the same request again")]
    Unavailable,
    #[display("the coordinator's answer was lost: send the same request again, it is safe")]
    Lost,
    #[display("the log is away: nothing was changed; send the same request again later")]
    LogUnavailable,
    #[display("not confirmed in time: send the same request again, it is safe")]
    NotConfirmed,
    #[display(
        "another trainer of the same service published this version or a newer one: \
         trainers that share a service number its versions together"
    )]
    VersionTaken,
}

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
            Refusal::NoTrainer | Refusal::NotOpen => StatusCode::NOT_FOUND,
            Refusal::Conflict | Refusal::VersionTaken => StatusCode::CONFLICT,
            Refusal::Lost | Refusal::NotConfirmed => StatusCode::GATEWAY_TIMEOUT,
            Refusal::NotFresh | Refusal::Unavailable | Refusal::LogUnavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    fn kind(self) -> &'static str {
        match self {
            Refusal::Unauthorized => "unauthorized",
            Refusal::NoTrainer => "no_trainer",
            Refusal::NotFresh => "not_fresh",
            Refusal::NotOpen => "not_open",
            Refusal::Conflict => "step_conflict",
            Refusal::Unavailable => "unreachable",
            Refusal::Lost => "answer_lost",
            Refusal::LogUnavailable => "log_away",
            Refusal::NotConfirmed => "not_confirmed",
            Refusal::VersionTaken => "version_taken",
        }
    }

    fn outcome(self) -> &'static str {
        match self {
            Refusal::Lost | Refusal::NotConfirmed => "unknown",
            _ => "not-run",
        }
    }

    fn respond(self) -> HttpResponse {
        let status = self.status();
        let message = self.to_string();
        respond_error(status, self.kind(), message, self.outcome())
    }
}

fn respond_error(
    status: StatusCode,
    kind: &str,
    message: String,
    outcome: &'static str,
) -> HttpResponse {
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME_HEADER, outcome));
    if status.is_server_error() {
        response.insert_header((header::RETRY_AFTER, RETRY_AFTER_S));
    }
    let kind = kind.into();
    response.json(ErrorBody { kind, message })
}

fn respond_ok(body: &impl Serialize) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((OUTCOME_HEADER, "ran"))
        .json(body)
}

/// Response body of requests that return no data.
#[derive(Serialize)]
struct EmptyBody {}

/// Authorises a request: its key must be in force, and the key's organisation must own the trainer.
/// The key is not passed on.
fn authorise(
    instance: &Instance,
    request: &HttpRequest,
    trainer: &str,
) -> Result<Arc<View>, Refusal> {
    if !instance.view.is_fresh(instance.now_ms()) {
        return Err(Refusal::NotFresh);
    }
    let view = instance.view.load();
    let authorization = request.headers().get(header::AUTHORIZATION);
    let authorization = authorization.and_then(|value| value.to_str().ok());
    let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
    let entry = key.and_then(|key| view.keys.authenticate(key));
    let organisation = entry.ok_or(Refusal::Unauthorized)?.organisation.clone();
    let configured = view.configuration.trainer(trainer);
    match configured {
        Some(trainer) if trainer.organisation == organisation => Ok(view),
        _ => Err(Refusal::NoTrainer),
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, serde_json::Error> {
    serde_json::from_slice(body)
}

fn respond_malformed(error: &serde_json::Error) -> HttpResponse {
    let message = format!("malformed body ({error}): see docs/operators/trainers.md");
    respond_error(StatusCode::BAD_REQUEST, "malformed", message, "not-run")
}

async fn open(
    shared: Data<Arc<Shared>>,
    request: HttpRequest,
    trainer: Path<Arc<str>>,
    body: Bytes,
) -> HttpResponse {
    let trainer = trainer.into_inner();
    if let Err(refusal) = authorise(&shared.instance, &request, &trainer) {
        return refusal.respond();
    }
    let step = match parse::<OpenStep>(&body) {
        Ok(step) => Box::new(step),
        Err(error) => return respond_malformed(&error),
    };
    let message = Message::Open {
        trainer: trainer.clone(),
        step,
    };
    respond(forward(&shared, &trainer, message, 0).await)
}

/// Query parameters of a fetch.
#[derive(Debug, Deserialize)]
struct FetchQuery {
    #[serde(default)]
    wait_ms: u64,
}

async fn fetch(
    shared: Data<Arc<Shared>>,
    request: HttpRequest,
    path: Path<(Arc<str>, u64)>,
    query: Query<FetchQuery>,
) -> HttpResponse {
    let (trainer, step) = path.into_inner();
    if let Err(refusal) = authorise(&shared.instance, &request, &trainer) {
        return refusal.respond();
    }
    let wait_ms = query.wait_ms;
    let message = Message::Fetch {
        trainer: trainer.clone(),
        step,
        wait_ms,
    };
    respond(forward(&shared, &trainer, message, wait_ms).await)
}

async fn end(
    shared: Data<Arc<Shared>>,
    request: HttpRequest,
    path: Path<(Arc<str>, u64)>,
) -> HttpResponse {
    let (trainer, step) = path.into_inner();
    if let Err(refusal) = authorise(&shared.instance, &request, &trainer) {
        return refusal.respond();
    }
    let message = Message::End {
        trainer: trainer.clone(),
        step,
    };
    respond(forward(&shared, &trainer, message, 0).await)
}

async fn publish(
    shared: Data<Arc<Shared>>,
    request: HttpRequest,
    trainer: Path<Arc<str>>,
    body: Bytes,
) -> HttpResponse {
    let trainer = trainer.into_inner();
    let view = match authorise(&shared.instance, &request, &trainer) {
        Ok(view) => view,
        Err(refusal) => return refusal.respond(),
    };
    let published = match parse::<PublishVersion>(&body) {
        Ok(published) => published,
        Err(error) => return respond_malformed(&error),
    };
    match record_version(&shared.instance, &view, &trainer, published).await {
        Ok(()) => {
            notify_coordinators(&shared, &view, &trainer, published.version).await;
            respond_ok(&EmptyBody {})
        }
        Err(refusal) => refusal.respond(),
    }
}

/// Appends a version to the log. Idempotent: a version that is not newer than the recorded one
/// succeeds without an append.
async fn record_version(
    instance: &Instance,
    view: &View,
    trainer: &Arc<str>,
    published: PublishVersion,
) -> Result<(), Refusal> {
    let configured = view.configuration.trainer(trainer);
    let service = &configured.ok_or(Refusal::NoTrainer)?.service;
    if let Some(newest) = newest_weights(view, service) {
        let is_recorded = newest.newest.version >= published.version;
        if is_recorded && newest.trainer != *trainer {
            return Err(Refusal::VersionTaken);
        }
        if is_recorded {
            return Ok(());
        }
    }
    let record = Record::VersionPublished {
        trainer: trainer.clone(),
        version: published.version,
        bytes: published.bytes,
    };
    let control = instance.control().ok_or(Refusal::LogUnavailable)?;
    match control.submit(record).await {
        // A refusal means that the log already contains this version or a newer one.
        Ok(_) | Err(SubmitError::Refused { .. }) => Ok(()),
        Err(SubmitError::LogUnavailable) => Err(Refusal::LogUnavailable),
        Err(_) => Err(Refusal::NotConfirmed),
    }
}

/// Notifies the coordinators of all trainers of the service before the publisher is answered, so
/// that no batch closes on an older version after that.
async fn notify_coordinators(shared: &Shared, view: &View, publisher: &str, version: u64) {
    let configuration = &view.configuration;
    let Some(service) = configuration
        .trainer(publisher)
        .map(|trainer| &trainer.service)
    else {
        return;
    };
    let service_trainers = configuration.trainers.iter();
    let notifications = service_trainers
        .filter(|trainer| trainer.service == *service)
        .map(|trainer| {
            let message = Message::Published {
                trainer: trainer.name.clone(),
                version,
            };
            forward(shared, &trainer.name, message, 0)
        });
    futures::future::join_all(notifications).await;
}

/// Forwards a request to the trainer's coordinator, or handles it here if that is this instance.
async fn forward(shared: &Shared, trainer: &Arc<str>, message: Message, wait_ms: u64) -> Answer {
    let view = shared.instance.view.load();
    match placement::coordinator(&view.members, trainer) {
        Some(member) if member.instance != *shared.instance.id() => {
            request_peer(
                &shared.instance,
                member,
                message,
                wait_ms + ANSWER_TIMEOUT_MS,
            )
            .await
        }
        _ => shared.answer(shared.instance.id(), message).await,
    }
}

fn respond(answer: Answer) -> HttpResponse {
    match answer {
        Answer::Batch(batch) => respond_ok(&*batch),
        Answer::Reply(Reply::Opened | Reply::Accepted) => respond_ok(&EmptyBody {}),
        Answer::Reply(Reply::Conflict) => Refusal::Conflict.respond(),
        Answer::Reply(Reply::NotOpen) => Refusal::NotOpen.respond(),
        Answer::Reply(Reply::Refused(message)) => respond_error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            message,
            "not-run",
        ),
        Answer::Unavailable => Refusal::Unavailable.respond(),
        _ => Refusal::Lost.respond(),
    }
}
