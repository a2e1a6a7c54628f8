//! The operator of one run, who uses the admin HTTP API.

use std::{
    cell::Cell,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use awc::{
    http::Method,
    Client, //
};
use flamingoscale::{
    timeline::Event,
    wire::{
        GrantKey,
        GrantedKey,
        QuestionnaireState,
        Status,
        SubmitQuestionnaire,
        WithdrawnKey, //
    }, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};

use super::{
    world::ORGANISATIONS,
    OPERATOR_TOKEN, //
};
use crate::{
    caller::client,
    faults::sleep_ms, //
};

/// Maximum response body that is read.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Timeout of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The API keys of one run.
pub(super) struct Keys {
    /// One key for each organisation.
    pub(super) callers: Vec<Arc<str>>,
    /// The key of the trainer.
    pub(super) trainer: Arc<str>,
}

/// The operator, who sends requests to the nodes in round-robin order.
pub(super) struct Operator {
    client: Client,
    nodes: Vec<SocketAddr>,
    next_node: Cell<usize>,
}

impl Operator {
    pub(super) fn new(nodes: Vec<SocketAddr>) -> Self {
        Self {
            client: client(),
            nodes,
            next_node: Cell::new(0),
        }
    }

    /// Waits until the health check `live` or `ready` succeeds on every node.
    pub(super) async fn wait_for(&self, health: &str, timeout: Duration) -> Result<(), String> {
        let started = Instant::now();
        for node in &self.nodes {
            let url = format!("http://{node}/health/{health}");
            loop {
                let result = self.client.get(&url).timeout(REQUEST_TIMEOUT).send().await;
                if result.is_ok_and(|response| response.status().is_success()) {
                    break;
                }
                if started.elapsed() > timeout {
                    return Err(format!(
                        "node {node} did not become {health} within the timeout"
                    ));
                }
                sleep_ms(20).await;
            }
        }
        Ok(())
    }

    /// Submits the questionnaire and waits until every node applies it; returns its revision.
    pub(super) async fn submit(&self, text: &str, timeout: Duration) -> Result<u64, String> {
        let body = SubmitQuestionnaire {
            base_revision: 0,
            text: text.into(),
        };
        let state: QuestionnaireState = self
            .request(Method::POST, "/admin/questionnaire", &body, timeout)
            .await?;
        let started = Instant::now();
        while !self.is_applied_on_all_nodes(state.revision).await {
            if started.elapsed() > timeout {
                return Err(
                    "the questionnaire was not applied on every node within the timeout".to_owned(),
                );
            }
            sleep_ms(20).await;
        }
        Ok(state.revision)
    }

    async fn is_applied_on_all_nodes(&self, revision: u64) -> bool {
        for &node in &self.nodes {
            let status = self
                .request_from(node, Method::GET, "/admin/status", &())
                .await;
            let status: Result<Status, String> = status;
            if !status.is_ok_and(|status| status.revision >= revision) {
                return false;
            }
        }
        true
    }

    /// Grants a key to each organisation, and another one to the trainer's.
    pub(super) async fn grant_keys(&self, timeout: Duration) -> Result<Keys, String> {
        let mut callers = Vec::new();
        for organisation in ORGANISATIONS {
            callers.push(self.grant_key(organisation, timeout).await?.key);
        }
        let trainer = ORGANISATIONS[ORGANISATIONS.len() - 1];
        Ok(Keys {
            callers,
            trainer: self.grant_key(trainer, timeout).await?.key,
        })
    }

    pub(super) async fn grant_key(
        &self,
        organisation: &str,
        timeout: Duration,
    ) -> Result<GrantedKey, String> {
        let body = GrantKey {
            organisation: organisation.into(),
        };
        self.request(Method::POST, "/admin/keys", &body, timeout)
            .await
    }

    pub(super) async fn withdraw_key(
        &self,
        key_id: &str,
        timeout: Duration,
    ) -> Result<WithdrawnKey, String> {
        let path = format!("/admin/keys/{key_id}");
        self.request(Method::DELETE, &path, &(), timeout).await
    }

    /// Returns the time line of each node that answers.
    pub(super) async fn timelines(&self, nodes: &[SocketAddr]) -> Vec<Vec<Event>> {
        let mut timelines = Vec::new();
        for &node in nodes {
            let path = "/admin/timeline?after=0";
            if let Ok(events) = self.request_from(node, Method::GET, path, &()).await {
                timelines.push(events);
            }
        }
        timelines
    }

    /// Sends a request to the nodes in turn until it succeeds on one.
    async fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, String> {
        let started = Instant::now();
        let mut last_error = String::new();
        while started.elapsed() < timeout {
            let node = self.nodes[self.next_node.get() % self.nodes.len()];
            self.next_node.set(self.next_node.get() + 1);
            match self.request_from(node, method.clone(), path, body).await {
                Ok(response) => return Ok(response),
                Err(error) => last_error = error,
            }
            sleep_ms(100).await;
        }
        Err(last_error)
    }

    async fn request_from<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, String> {
        let url = format!("http://{node}{path}");
        let request = self.client.request(method.clone(), &url);
        let request = request.timeout(REQUEST_TIMEOUT).bearer_auth(OPERATOR_TOKEN);
        let result = if method == Method::POST {
            request.send_json(body).await
        } else {
            request.send().await
        };
        let mut response = result.map_err(|error| format!("{url}: {error}"))?;
        let read = response.body().limit(MAX_BODY_BYTES).await;
        let bytes = read.map_err(|error| format!("{url}: {error}"))?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(&bytes);
            return Err(format!("{url}: status {} {text}", response.status()));
        }
        serde_json::from_slice(&bytes).map_err(|error| format!("{url}: {error}"))
    }
}
