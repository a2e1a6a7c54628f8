//! The admin HTTP API of one real instance that runs against the stand-in platform.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use awc::http::{
    Method,
    StatusCode, //
};
use flamingoscale::{
    daemon::Daemon,
    settings::SettingsBuilder, //
};
use serde_json::{
    json,
    Value, //
};
use standin::{
    platform::{
        Platform,
        PlatformSettings, //
    },
    server::Host, //
};

const OPERATOR_TOKEN: &str = "0123456789abcdef";

/// Time limit for each request and condition, generous so that a busy machine fails no test.
const TIMEOUT: Duration = Duration::from_secs(60);

const QUESTIONNAIRE: &str =
    "[failure-domain west]\nregion = main\n[organisation team]\nweight = 1\n\
    [service lookup]\nkind = plain\nrepeatable = yes\nfirm_floor = 1\nceiling = 2\n\
    slots = 8\n";

struct Fixture {
    _platform: Platform,
    daemon: Daemon,
}

impl Fixture {
    fn start() -> Self {
        let host = Host::start().expect("the host should start its thread");
        let platform = PlatformSettings::default()
            .start(&host)
            .expect("a stand-in should bind a free port");
        let address = platform.address();
        let settings = SettingsBuilder::new("n1", "west", address, address)
            .operator_token(OPERATOR_TOKEN)
            .traffic_threads(1);
        Self {
            _platform: platform,
            daemon: Daemon::start(settings.build()).expect("the instance should start"),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Value) -> (StatusCode, Value) {
        call(self.daemon.address(), OPERATOR_TOKEN, method, path, body).await
    }

    async fn submit(&self, base_revision: u64, text: &str) -> (StatusCode, Value) {
        let body = json!({"base_revision": base_revision, "text": text});
        self.call(Method::POST, "/admin/questionnaire", body).await
    }

    /// Polls `path` until the response satisfies `condition`, or panics after `TIMEOUT`.
    async fn poll_until(&self, path: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let start = Instant::now();
        loop {
            let (_, response) = self.call(Method::GET, path, Value::Null).await;
            if condition(&response) {
                return response;
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "timed out polling {path}, last response: {response}"
            );
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn call(
    address: SocketAddr,
    token: &str,
    method: Method,
    path: &str,
    body: Value,
) -> (StatusCode, Value) {
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let request = client
        .request(method, format!("http://{address}{path}"))
        .bearer_auth(token);
    let mut response = request
        .send_json(&body)
        .await
        .expect("the request should get a response");
    let text = response
        .body()
        .await
        .expect("the response should be complete");
    let value = serde_json::from_slice(&text).unwrap_or(Value::Null);
    (response.status(), value)
}

#[actix_rt::test]
async fn conflicting_submission_returns_current_revision_and_history_lists_both() {
    let fixture = Fixture::start();
    let (status, first) = fixture.submit(0, QUESTIONNAIRE).await;
    assert_eq!(status, StatusCode::OK, "{first}");
    let revision = first["revision"]
        .as_u64()
        .expect("the response should carry a revision");
    let changed = QUESTIONNAIRE.replace("weight = 1", "weight = 2");
    let (status, second) = fixture.submit(revision, &changed).await;
    assert_eq!(status, StatusCode::OK, "{second}");

    let (status, conflict) = fixture.submit(revision, QUESTIONNAIRE).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(conflict["revision"], second["revision"]);
    assert_eq!(conflict["text"], changed.as_str());
    let difference = conflict["difference"].to_string();
    assert!(difference.contains("weight = 2"), "{difference}");

    let path = "/admin/questionnaire/history";
    let (_, history) = fixture.call(Method::GET, path, Value::Null).await;
    let revisions: Vec<&Value> = history
        .as_array()
        .expect("the history should be a list")
        .iter()
        .map(|listed| &listed["revision"])
        .collect();
    assert_eq!(revisions, [&first["revision"], &second["revision"]]);
    let (_, current) = fixture
        .call(Method::GET, "/admin/questionnaire", Value::Null)
        .await;
    assert_eq!(current["text"], changed.as_str());
    fixture.daemon.kill();
}

#[actix_rt::test]
async fn status_lists_lease_holders() {
    let fixture = Fixture::start();
    fixture.submit(0, QUESTIONNAIRE).await;
    let has_lease = |status: &Value| {
        let leases = status["leases"].as_object();
        leases.is_some_and(|leases| leases.values().any(|holder| holder == "n1"))
    };
    fixture.poll_until("/admin/status", has_lease).await;
    fixture.daemon.kill();
}

#[actix_rt::test]
async fn api_key_is_shown_once_and_withdrawal_is_permanent() {
    let fixture = Fixture::start();
    fixture.submit(0, QUESTIONNAIRE).await;
    let grant = json!({"organisation": "team"});
    let (status, granted) = fixture.call(Method::POST, "/admin/keys", grant).await;
    assert_eq!(status, StatusCode::OK, "{granted}");
    let key_id = granted["key_id"]
        .as_str()
        .expect("the key should have an id");
    let listed = fixture
        .poll_until("/admin/keys", |keys| keys[0]["key_id"] == key_id)
        .await;
    let secret = granted["key"]
        .as_str()
        .expect("the response should carry the key");
    assert!(!listed.to_string().contains(secret));

    let path = format!("/admin/keys/{key_id}");
    let (status, withdrawn) = fixture.call(Method::DELETE, &path, Value::Null).await;
    assert_eq!(status, StatusCode::OK, "{withdrawn}");
    assert_eq!(withdrawn["durable"], true);
    // Withdrawal is idempotent, so that an operator can retry it after a lost response.
    let (status, repeated) = fixture.call(Method::DELETE, &path, Value::Null).await;
    assert_eq!((status, &repeated), (StatusCode::OK, &withdrawn));
    let path = "/admin/keys/nosuch";
    let (status, _) = fixture.call(Method::DELETE, path, Value::Null).await;
    assert_eq!(status, StatusCode::NOT_FOUND);

    let unknown_organisation = json!({"organisation": "nobody"});
    let (status, _) = fixture
        .call(Method::POST, "/admin/keys", unknown_organisation)
        .await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    fixture.daemon.kill();
}

#[actix_rt::test]
async fn wrong_token_is_rejected_and_invalid_questionnaire_changes_nothing() {
    let fixture = Fixture::start();
    let address = fixture.daemon.address();
    for token in ["", "0123456789abcdeX"] {
        let (status, _) = call(address, token, Method::GET, "/admin/status", Value::Null).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
    }
    let (status, errors) = fixture.submit(0, "[service lookup]\nkind = fish\n").await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(errors["message"].to_string().contains("kind"), "{errors}");
    let (_, current) = fixture
        .call(Method::GET, "/admin/questionnaire", Value::Null)
        .await;
    assert_eq!(current["revision"], 0);
    let (status, _) = fixture
        .call(Method::GET, "/health/ready", Value::Null)
        .await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    fixture.daemon.kill();
}
