//! The operators' HTTP face of one real instance before the stand-in platform.

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

const TOKEN: &str = "0123456789abcdef";

/// Generous, so that a busy machine changes no verdict.
const WAIT: Duration = Duration::from_secs(60);

const ANSWERS: &str = "[failure-domain west]\nregion = main\n[organisation team]\nweight = 1\n\
    [service lookup]\nkind = plain\nrepeatable = yes\nfirm_floor = 1\nceiling = 2\n\
    slots = 8\n";

struct Bed {
    _platform: Platform,
    daemon: Daemon,
}

impl Bed {
    fn start() -> Self {
        let host = Host::start().expect("a thread");
        let platform = PlatformSettings::default().start(&host).expect("a port");
        let address = platform.address();
        let settings = SettingsBuilder::new("n1", "west", address, address)
            .operator_token(TOKEN)
            .traffic_threads(1);
        Self {
            _platform: platform,
            daemon: Daemon::start(settings.build()).expect("an instance"),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Value) -> (StatusCode, Value) {
        call(self.daemon.address(), TOKEN, method, path, body).await
    }

    async fn submit(&self, base_revision: u64, text: &str) -> (StatusCode, Value) {
        let body = json!({"base_revision": base_revision, "text": text});
        self.call(Method::POST, "/admin/questionnaire", body).await
    }

    /// Asks until the answer is as wanted.
    async fn wait_for(&self, path: &str, is_wanted: impl Fn(&Value) -> bool) -> Value {
        let start = Instant::now();
        loop {
            let (_, answer) = self.call(Method::GET, path, Value::Null).await;
            if is_wanted(&answer) {
                return answer;
            }
            assert!(start.elapsed() < WAIT, "{path}: {answer}");
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
    let client = awc::Client::builder().timeout(WAIT).finish();
    let request = client
        .request(method, format!("http://{address}{path}"))
        .bearer_auth(token);
    let mut response = request.send_json(&body).await.expect("an answer");
    let text = response.body().await.expect("a whole answer");
    let value = serde_json::from_slice(&text).unwrap_or(Value::Null);
    (response.status(), value)
}

#[actix_rt::test]
async fn a_lost_race_names_the_winner_and_history_keeps_both() {
    let bed = Bed::start();
    let (status, first) = bed.submit(0, ANSWERS).await;
    assert_eq!(status, StatusCode::OK, "{first}");
    let revision = first["revision"].as_u64().expect("a revision");
    let changed = ANSWERS.replace("weight = 1", "weight = 2");
    let (status, second) = bed.submit(revision, &changed).await;
    assert_eq!(status, StatusCode::OK, "{second}");

    let (status, lost) = bed.submit(revision, ANSWERS).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(lost["revision"], second["revision"]);
    assert_eq!(lost["text"], changed.as_str());
    let difference = lost["difference"].to_string();
    assert!(difference.contains("weight = 2"), "{difference}");

    let path = "/admin/questionnaire/history";
    let (_, history) = bed.call(Method::GET, path, Value::Null).await;
    let revisions: Vec<&Value> = history
        .as_array()
        .expect("a list")
        .iter()
        .map(|listed| &listed["revision"])
        .collect();
    assert_eq!(revisions, [&first["revision"], &second["revision"]]);
    let (_, shown) = bed
        .call(Method::GET, "/admin/questionnaire", Value::Null)
        .await;
    assert_eq!(shown["text"], changed.as_str());
    bed.daemon.kill();
}

#[actix_rt::test]
async fn status_shows_the_lease_holders() {
    let bed = Bed::start();
    bed.submit(0, ANSWERS).await;
    let has_lease = |status: &Value| {
        let leases = status["leases"].as_object();
        leases.is_some_and(|leases| leases.values().any(|holder| holder == "n1"))
    };
    bed.wait_for("/admin/status", has_lease).await;
    bed.daemon.kill();
}

#[actix_rt::test]
async fn keys_are_shown_once_and_withdrawn_for_good() {
    let bed = Bed::start();
    bed.submit(0, ANSWERS).await;
    let grant = json!({"organisation": "team"});
    let (status, granted) = bed.call(Method::POST, "/admin/keys", grant).await;
    assert_eq!(status, StatusCode::OK, "{granted}");
    let key_id = granted["key_id"].as_str().expect("an id");
    let listed = bed
        .wait_for("/admin/keys", |keys| keys[0]["key_id"] == key_id)
        .await;
    let secret = granted["key"].as_str().expect("a key");
    assert!(!listed.to_string().contains(secret));

    let path = format!("/admin/keys/{key_id}");
    let (status, withdrawn) = bed.call(Method::DELETE, &path, Value::Null).await;
    assert_eq!(status, StatusCode::OK, "{withdrawn}");
    assert_eq!(withdrawn["durable"], true);
    // Withdrawing again is harmless, so that an operator whose answer was lost may repeat it.
    let (status, again) = bed.call(Method::DELETE, &path, Value::Null).await;
    assert_eq!((status, &again), (StatusCode::OK, &withdrawn));
    let path = "/admin/keys/nosuch";
    let (status, _) = bed.call(Method::DELETE, path, Value::Null).await;
    assert_eq!(status, StatusCode::NOT_FOUND);

    let stranger = json!({"organisation": "nobody"});
    let (status, _) = bed.call(Method::POST, "/admin/keys", stranger).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    bed.daemon.kill();
}

#[actix_rt::test]
async fn a_wrong_token_opens_nothing_and_faulty_answers_change_nothing() {
    let bed = Bed::start();
    let address = bed.daemon.address();
    for token in ["", "0123456789abcdeX"] {
        let (status, _) = call(address, token, Method::GET, "/admin/status", Value::Null).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
    }
    let (status, faults) = bed.submit(0, "[service lookup]\nkind = fish\n").await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(faults["message"].to_string().contains("kind"), "{faults}");
    let (_, shown) = bed
        .call(Method::GET, "/admin/questionnaire", Value::Null)
        .await;
    assert_eq!(shown["revision"], 0);
    let (status, _) = bed.call(Method::GET, "/health/ready", Value::Null).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    bed.daemon.kill();
}
