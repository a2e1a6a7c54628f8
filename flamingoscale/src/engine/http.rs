//! The control interface of engines over HTTP.

use std::{
    sync::Arc,
    time::Duration, //
};

use awc::http::StatusCode;
use futures::future::{
    FutureExt as _,
    LocalBoxFuture, //
};
use serde::de::DeserializeOwned;

use crate::{
    engine::{
        client,
        EngineControl,
        EngineError,
        Result, //
    },
    wire::{
        CacheEvents,
        EndpointStatus,
        EngineOrder,
        KvExport,
        RequestRef, //
    }, //
};

/// Timeout of a call to the control interface.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout of a KV cache export.
const EXPORT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// HTTP client for the control interface of engines. It can also read the status of plain services.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpEngineControl;

impl EngineControl for HttpEngineControl {
    fn status(&self, address: &str) -> LocalBoxFuture<'_, Result<EndpointStatus>> {
        get(address.into(), "/admin/status".into()).boxed_local()
    }

    fn order(&self, address: &str, order: EngineOrder) -> LocalBoxFuture<'_, Result<()>> {
        send_order(address.into(), order).boxed_local()
    }

    fn cache_events(&self, address: &str, after: u64) -> LocalBoxFuture<'_, Result<CacheEvents>> {
        let path = format!("/admin/cache_events?after={after}");
        get(address.into(), path).boxed_local()
    }
}

async fn get<T: DeserializeOwned>(address: Arc<str>, path: String) -> Result<T> {
    let response = tokio::time::timeout(CONTROL_TIMEOUT, read_json(&address, &path)).await;
    let response = response.unwrap_or(Err(EngineError::Unknown));
    if matches!(response, Err(EngineError::Unknown)) {
        client::discard_connections(&address);
    }
    response
}

async fn read_json<T: DeserializeOwned>(address: &Arc<str>, path: &str) -> Result<T> {
    let url = format!("http://{address}{path}");
    let sent = client::pooled(address).get(url).send().await;
    let mut response = sent.map_err(|_| EngineError::Unknown)?;
    check_status(response.status())?;
    let body = response.json::<T>().limit(MAX_RESPONSE_BYTES).await;
    body.map_err(|_| EngineError::Unknown)
}

async fn send_order(address: Arc<str>, order: EngineOrder) -> Result<()> {
    let url = format!("http://{address}/admin/orders");
    // Uses a new connection, so that the order is not lost on a dead one.
    let sent = client::unpooled().post(url).force_close().send_json(&order);
    let response = tokio::time::timeout(CONTROL_TIMEOUT, sent).await;
    let response = response.map_err(|_| EngineError::Unknown)?;
    let response = response.map_err(|_| EngineError::Unknown)?;
    check_status(response.status())
}

fn check_status(status: StatusCode) -> Result<()> {
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(EngineError::Fenced),
        status => Err(EngineError::Refused {
            status: status.as_u16(),
        }),
    }
}

/// Requests an engine to cancel a request. Errors are ignored.
pub(crate) async fn cancel(address: Arc<str>, request_id: Arc<str>) {
    let url = format!("http://{address}/v1/cancel");
    let body = RequestRef { request_id };
    let sent = client::unpooled().post(url).force_close().send_json(&body);
    let _ = tokio::time::timeout(CONTROL_TIMEOUT, sent).await;
}

/// Exports the KV cache of a running request, with which another engine can resume it. Returns
/// `None` if the export failed.
pub(crate) async fn export(address: Arc<str>, request_id: Arc<str>) -> Option<KvExport> {
    let url = format!("http://{address}/v1/kv/export");
    let body = RequestRef { request_id };
    let call = async {
        let sent = client::unpooled().post(url).force_close().send_json(&body);
        let mut response = sent.await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.json::<KvExport>().limit(MAX_RESPONSE_BYTES);
        body.await.ok()
    };
    tokio::time::timeout(EXPORT_TIMEOUT, call).await.ok()?
}
