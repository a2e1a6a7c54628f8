//! HTTP routes of the platform.

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
    HttpResponse, //
};
use flamingoscale::wire::{
    AppendRequest,
    AppendResponse,
    ErrorBody,
    ListedInstance,
    PlatformAction,
    PlatformOrder,
    UsageReport, //
};
use serde::Deserialize;

use super::{
    endpoints::OrderRefusal,
    lock,
    Shared, //
};
use crate::{
    faults::{
        sleep_ms,
        Fault, //
    },
    server::ConnectionHandle, //
};

pub(super) fn configure(config: &mut ServiceConfig, data: &Data<Shared>) {
    config
        .app_data(data.clone())
        .route("/log/append", web::post().to(append))
        .route("/log/read", web::get().to(read))
        .route("/instances", web::get().to(instances))
        .route("/instances", web::post().to(list_instance))
        .route("/endpoints", web::get().to(endpoints))
        .route("/orders", web::post().to(order))
        .route("/usage", web::post().to(usage))
        .route("/fault", web::post().to(fault));
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn refusal(kind: &str) -> HttpResponse {
    let body = ErrorBody {
        kind: kind.into(),
        message: "the platform refused without effect: try again later".into(),
    };
    HttpResponse::ServiceUnavailable().json(body)
}

/// Applies the delay fault and the refusal faults to a request; returns the error response if it is
/// rejected.
async fn admit(shared: &Shared) -> Result<(), HttpResponse> {
    shared.faults.delay().await;
    if shared.faults.consume_refusal() {
        return Err(refusal("away"));
    }
    Ok(())
}

/// Returns the response, or drops the connection if a fault loses this response.
async fn respond(shared: &Shared, request: &HttpRequest, response: HttpResponse) -> HttpResponse {
    if !shared.faults.consume_response_loss() {
        return response;
    }
    ConnectionHandle::from_request(request).kill();
    std::future::pending().await
}

async fn append(
    shared: Data<Shared>,
    request: HttpRequest,
    body: Json<AppendRequest>,
) -> HttpResponse {
    if let Err(rejection) = admit(&shared).await {
        return rejection;
    }
    let first_offset = {
        let mut log = lock(&shared.log);
        if !log.take_token() {
            return refusal("over-limit");
        }
        log.append(body.into_inner().records)
    };
    shared.appended.notify_waiters();
    let response = HttpResponse::Ok().json(AppendResponse { first_offset });
    respond(&shared, &request, response).await
}

async fn read(shared: Data<Shared>, query: web::Query<ReadQuery>) -> HttpResponse {
    if let Err(rejection) = admit(&shared).await {
        return rejection;
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let appended = shared.appended.notified();
        let response = lock(&shared.log).read(query.from, query.max);
        if query.from < response.earliest {
            return HttpResponse::Gone().json(response);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !response.entries.is_empty() || remaining.is_zero() {
            return HttpResponse::Ok().json(response);
        }
        let _ = actix_rt::time::timeout(remaining, appended).await;
        if shared.faults.consume_refusal() {
            return refusal("away");
        }
    }
}

async fn instances(shared: Data<Shared>) -> HttpResponse {
    if let Err(rejection) = admit(&shared).await {
        return rejection;
    }
    HttpResponse::Ok().json(shared.instances())
}

async fn list_instance(shared: Data<Shared>, body: Json<ListedInstance>) -> HttpResponse {
    lock(&shared.instances).push(super::InstanceEntry {
        listed_at: Instant::now(),
        instance: body.into_inner(),
        removed_at: None,
    });
    HttpResponse::Ok().finish()
}

async fn endpoints(shared: Data<Shared>) -> HttpResponse {
    if let Err(rejection) = admit(&shared).await {
        return rejection;
    }
    let listed = lock(&shared.endpoints).listed();
    HttpResponse::Ok().json(listed)
}

async fn order(
    shared: Data<Shared>,
    request: HttpRequest,
    body: Json<PlatformOrder>,
) -> HttpResponse {
    if let Err(rejection) = admit(&shared).await {
        return rejection;
    }
    let delay_ms = shared.faults.delay_orders_ms();
    sleep_ms(delay_ms).await;
    let order = body.into_inner();
    let response = if delay_ms > order.valid_ms {
        HttpResponse::Gone().finish()
    } else {
        execute_order(&shared, &order)
    };
    let record = shared.order_record(&order, response.status().as_u16());
    lock(&shared.endpoints).orders.push(record);
    respond(&shared, &request, response).await
}

fn execute_order(shared: &Data<Shared>, order: &PlatformOrder) -> HttpResponse {
    let checks_fencing = shared.settings.checks_fencing;
    let result = lock(&shared.endpoints).execute(order, checks_fencing);
    let done = match result {
        Ok(done) => done,
        Err(OrderRefusal::StaleFencing) => return HttpResponse::Conflict().finish(),
        Err(OrderRefusal::Unavailable) => return refusal("unavailable"),
    };
    match &order.action {
        PlatformAction::Start { .. } => mark_running_after_start(shared.clone(), &done.endpoint),
        PlatformAction::Stop { endpoint } => {
            let shared = shared.clone().into_inner();
            shared.reclaim_endpoint(endpoint, shared.settings.stop_grace_ms);
        }
    }
    HttpResponse::Ok().json(done)
}

fn mark_running_after_start(shared: Data<Shared>, endpoint: &Arc<str>) {
    let endpoint = endpoint.clone();
    actix_rt::spawn(async move {
        sleep_ms(shared.settings.start_ms).await;
        lock(&shared.endpoints).mark_running(&endpoint);
    });
}

async fn usage(
    shared: Data<Shared>,
    request: HttpRequest,
    body: Json<UsageReport>,
) -> HttpResponse {
    if let Err(rejection) = admit(&shared).await {
        return rejection;
    }
    let accepted = lock(&shared.usage).record(body.into_inner());
    let response = if accepted {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::Conflict().finish()
    };
    respond(&shared, &request, response).await
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
