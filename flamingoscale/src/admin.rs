//! HTTP interface for operators: questionnaire, API keys, status, time line, metrics and health.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use actix_web::{
    dev::ServiceRequest,
    http::StatusCode,
    middleware::{
        from_fn,
        Next, //
    },
    web,
    HttpResponse, //
};
use serde::Deserialize;
use subtle::ConstantTimeEq;

use crate::{
    home::Homes,
    instance::Instance,
    keys,
    questionnaire,
    record::Record,
    state::SubmitError,
    view::View,
    wire::{
        EndpointSummary,
        ErrorBody,
        GrantKey,
        GrantedKey,
        ListedKey,
        ListedRevision,
        MemberStatus,
        QuestionnaireState,
        Status,
        SubmitQuestionnaire,
        WithdrawnKey, //
    }, //
};

/// Maximum size of a JSON request body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Shared state of the handlers for operators.
#[derive(Clone)]
pub struct Admin {
    instance: Arc<Instance>,
    homes: Arc<dyn Homes>,
}

impl Admin {
    /// Creates the handler state of one instance.
    pub fn new(instance: Arc<Instance>, homes: Arc<dyn Homes>) -> Self {
        Self { instance, homes }
    }

    async fn submit(&self, record: Record) -> Result<u64, SubmitError> {
        let control = self.instance.control().ok_or(SubmitError::LogUnavailable)?;
        control.submit(record).await
    }

    async fn withdraw(&self, key_id: Arc<str>) -> Result<WithdrawnKey, SubmitError> {
        let control = self.instance.control().ok_or(SubmitError::LogUnavailable)?;
        control.withdraw_key(key_id).await
    }
}

/// Registers the routes for operators, health checks and metrics.
pub fn configure(config: &mut web::ServiceConfig, admin: Admin) {
    let operator_routes = web::scope("/admin")
        .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
        .wrap(from_fn(check_token))
        .route("/questionnaire", web::get().to(show_questionnaire))
        .route("/questionnaire", web::post().to(submit_questionnaire))
        .route("/questionnaire/history", web::get().to(history))
        .route("/keys", web::get().to(list_keys))
        .route("/keys", web::post().to(grant_key))
        .route("/keys/{id}", web::delete().to(withdraw_key))
        .route("/status", web::get().to(status))
        .route("/timeline", web::get().to(timeline));
    config
        .app_data(web::Data::new(admin))
        .service(operator_routes)
        .route("/metrics", web::get().to(metrics))
        .route("/health/live", web::get().to(live))
        .route("/health/ready", web::get().to(ready));
}

async fn check_token(
    request: ServiceRequest,
    next: Next<impl actix_web::body::MessageBody + 'static>,
) -> Result<actix_web::dev::ServiceResponse<impl actix_web::body::MessageBody>, actix_web::Error> {
    let presented = request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or("");
    let admin = request.app_data::<web::Data<Admin>>();
    let expected = admin.map_or("", |admin| &admin.instance.settings.operator_token);
    // An empty token in the settings must not give access to everyone.
    let matches: bool = presented.as_bytes().ct_eq(expected.as_bytes()).into();
    if matches && !expected.is_empty() {
        return Ok(next.call(request).await?.map_into_left_body());
    }
    let message = "operators' token missing or wrong: use the token of [operator] in the settings";
    let response = error_response(StatusCode::UNAUTHORIZED, "token", message);
    Ok(request.into_response(response).map_into_right_body())
}

async fn show_questionnaire(admin: web::Data<Admin>) -> HttpResponse {
    let view = admin.instance.view.load();
    HttpResponse::Ok().json(questionnaire_state(&view, Vec::new()))
}

async fn history(admin: web::Data<Admin>) -> HttpResponse {
    let view = admin.instance.view.load();
    let revisions = view.history.iter();
    let listed: Vec<ListedRevision> = revisions
        .map(|accepted| ListedRevision {
            revision: accepted.revision,
            writer: accepted.writer.clone(),
            text: accepted.text.clone(),
        })
        .collect();
    HttpResponse::Ok().json(listed)
}

async fn submit_questionnaire(
    admin: web::Data<Admin>,
    body: web::Json<SubmitQuestionnaire>,
) -> HttpResponse {
    let configuration = match questionnaire::generate(&body.text) {
        Ok(configuration) => configuration,
        Err(error) => {
            let message = error.to_string();
            return error_response(StatusCode::UNPROCESSABLE_ENTITY, "questionnaire", message);
        }
    };
    let record = Record::Configuration {
        base_revision: body.base_revision,
        text: body.text.clone(),
        configuration: Arc::new(configuration),
    };
    match admin.submit(record).await {
        Ok(revision) => {
            let timeline = &admin.instance.timeline;
            timeline.record("configuration.accept", "", &[("revision", &revision)]);
            let state = QuestionnaireState {
                revision,
                text: body.text.clone(),
                difference: Vec::new(),
            };
            HttpResponse::Ok().json(state)
        }
        Err(SubmitError::Refused { .. }) => {
            let view = admin.instance.view.load();
            let difference = questionnaire::difference(&view.text, &body.text);
            HttpResponse::Conflict().json(questionnaire_state(&view, difference))
        }
        Err(error) => submit_error_response(&error),
    }
}

fn questionnaire_state(view: &View, difference: Vec<String>) -> QuestionnaireState {
    QuestionnaireState {
        revision: view.revision,
        text: view.text.clone(),
        difference,
    }
}

async fn list_keys(admin: web::Data<Admin>) -> HttpResponse {
    let view = admin.instance.view.load();
    let mut listed: Vec<ListedKey> = view
        .keys
        .iter()
        .map(|entry| ListedKey {
            key_id: entry.key_id.clone(),
            organisation: entry.organisation.clone(),
            withdrawn: entry.withdrawn,
        })
        .collect();
    listed.sort_by(|a, b| (&a.organisation, &a.key_id).cmp(&(&b.organisation, &b.key_id)));
    HttpResponse::Ok().json(listed)
}

async fn grant_key(admin: web::Data<Admin>, body: web::Json<GrantKey>) -> HttpResponse {
    let view = admin.instance.view.load();
    if view
        .configuration
        .organisation(&body.organisation)
        .is_none()
    {
        let message = "no such organisation: add it to the questionnaire first";
        return error_response(StatusCode::NOT_FOUND, "organisation", message);
    }
    let (key, entry) = keys::generate(body.organisation.clone(), &mut rand::rng());
    let record = Record::KeyGranted {
        key_id: entry.key_id.clone(),
        digest: entry.digest,
        organisation: entry.organisation.clone(),
    };
    match admin.submit(record).await {
        Ok(_) => {
            let timeline = &admin.instance.timeline;
            timeline.record("key.grant", &entry.key_id, &[]);
            HttpResponse::Ok().json(GrantedKey {
                key_id: entry.key_id,
                key,
            })
        }
        Err(error) => submit_error_response(&error),
    }
}

async fn withdraw_key(admin: web::Data<Admin>, path: web::Path<String>) -> HttpResponse {
    let key_id: Arc<str> = path.into_inner().into();
    match admin.withdraw(key_id.clone()).await {
        Ok(withdrawn) => {
            let timeline = &admin.instance.timeline;
            let durable = withdrawn.durable;
            timeline.record("key.withdraw", &key_id, &[("durable", &durable)]);
            HttpResponse::Ok().json(withdrawn)
        }
        Err(SubmitError::Refused { .. }) => {
            let message = "no such key in force: `flamingoctl key list` shows them";
            error_response(StatusCode::NOT_FOUND, "key", message)
        }
        Err(error) => submit_error_response(&error),
    }
}

async fn status(admin: web::Data<Admin>) -> HttpResponse {
    let instance = &admin.instance;
    let view = instance.view.load();
    let versions = view.versions.iter();
    let status = Status {
        instance: instance.id().clone(),
        revision: view.revision,
        folded: view.folded,
        fresh: instance.view.is_fresh(instance.now_ms()),
        members: member_statuses(&view),
        endpoints: endpoint_summaries(&view, instance.id(), &*admin.homes),
        leases: BTreeMap::clone(&view.leases),
        versions: versions
            .map(|(trainer, newest)| (trainer.clone(), newest.version))
            .collect(),
    };
    HttpResponse::Ok().json(status)
}

fn member_statuses(view: &View) -> Vec<MemberStatus> {
    let members = view.members.iter();
    members
        .map(|member| MemberStatus {
            instance: member.instance.clone(),
            failure_domain: member.failure_domain.clone(),
            address: member.address.clone(),
            health: match (member.leaving, member.suspect) {
                (true, _) => "leaving".into(),
                (false, true) => "suspect".into(),
                (false, false) => "alive".into(),
            },
            revision: member.revision,
        })
        .collect()
}

/// Returns the endpoints whose home is this instance, that is, those to which it sends requests.
/// The other instances report their own endpoints.
fn endpoint_summaries(view: &View, instance: &Arc<str>, homes: &dyn Homes) -> Vec<EndpointSummary> {
    let keys = homes.at_home().into_iter();
    keys.filter_map(|key| {
        let endpoint = view.endpoints.endpoints.get(&key)?;
        let state = homes.status(key)?;
        Some(EndpointSummary {
            endpoint: endpoint.platform.endpoint.clone(),
            service: endpoint.platform.service.clone(),
            home: instance.clone(),
            version: state.version,
            in_flight: Some(state.in_flight),
        })
    })
    .collect()
}

#[derive(Deserialize)]
struct TimelineQuery {
    #[serde(default)]
    after: u64,
}

async fn timeline(admin: web::Data<Admin>, query: web::Query<TimelineQuery>) -> HttpResponse {
    HttpResponse::Ok().json(admin.instance.timeline.events_after(query.after))
}

async fn metrics(admin: web::Data<Admin>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(admin.instance.metrics.render())
}

/// Liveness check: succeeds whenever the process can answer.
async fn live() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// Readiness check: succeeds if this instance can serve callers.
async fn ready(admin: web::Data<Admin>) -> HttpResponse {
    let instance = &admin.instance;
    let reason = if instance.is_draining() {
        "shutting down"
    } else if instance.view.load().revision == 0 {
        "no configuration yet: submit a questionnaire"
    } else if !instance.view.is_fresh(instance.now_ms()) {
        "not fresh: neither the log nor enough peers can be reached"
    } else {
        return HttpResponse::Ok().body("ready\n");
    };
    error_response(StatusCode::SERVICE_UNAVAILABLE, "not-ready", reason)
}

fn submit_error_response(error: &SubmitError) -> HttpResponse {
    let status = match error {
        SubmitError::Refused { .. } => StatusCode::CONFLICT,
        SubmitError::LogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        SubmitError::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    error_response(status, "submit", error.to_string())
}

fn error_response(status: StatusCode, kind: &str, message: impl Into<String>) -> HttpResponse {
    HttpResponse::build(status).json(ErrorBody {
        kind: kind.into(),
        message: message.into(),
    })
}
