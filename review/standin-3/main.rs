//! Plays one case of the review: `standin-3 CASE FOLDER`. With `TROUBLE=0` the disruption is left out.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod clients;
mod cuts;
mod ends;
mod fleet;
mod keys;
mod net;
mod record;
mod removals;
mod scores;
mod servers;
mod store;

use std::{
    net::{SocketAddr, TcpListener},
    path::Path,
    process::ExitCode,
    sync::Arc,
};

use crate::{
    net::{respond, serve},
    record::Log,
    servers::Seen,
    store::Store,
};

/// What a case found: whether the rule was broken.
type Outcome = std::io::Result<bool>;

/// The platform of a case: its store, and its API that takes every call.
pub struct Platform {
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub cloud_address: SocketAddr,
    pub seen: Arc<Seen>,
    pub log: Arc<Log>,
}

impl Platform {
    fn start(folder: &Path) -> std::io::Result<Self> {
        let log = Arc::new(Log::create(&folder.join("record.txt"))?);
        let store = Store::new();
        let listener = TcpListener::bind((fleet::host(1).as_str(), 0))?;
        let store_address = listener.local_addr()?;
        let serving = store.clone();
        serve(listener, move |request, stream| serving.serve(request, stream));
        let listener = TcpListener::bind((fleet::host(2).as_str(), 0))?;
        let cloud_address = listener.local_addr()?;
        serve(listener, |_, stream| respond(stream, 200, &[], b""));
        Ok(Self {
            store,
            store_address,
            cloud_address,
            seen: Seen::new(log.clone()),
            log,
        })
    }

    /// Writes the operator's configuration, with a timeout and a number of attempts for plain requests.
    pub fn configure(&self, timeout_ms: u64, attempts: u32) {
        self.configure_keys(3, "", timeout_ms, attempts);
    }

    /// Writes a version of the configuration in which the tenant has a second key, if one is named.
    pub fn configure_keys(&self, version: u64, second: &str, timeout_ms: u64, attempts: u32) {
        let host = clients::HOST;
        let second = if second.is_empty() { String::new() } else { format!(",\"{second}\"") };
        let key = clients::KEY.trim_start_matches("Bearer ");
        let configuration = format!(
            "{{\"version\":{version},\"routes\":[\
             {{\"name\":\"draft\",\"host\":\"{host}\",\"path_prefix\":\"/draft/\",\"kind\":\"rollout\",\
             \"service\":\"engines\",\"timeout_ms\":10000,\"slo_ms\":400,\"result_slo_ms\":7500,\"max_attempts\":3,\
             \"retention_s\":40,\"priority\":1,\"resumable\":true,\"sticky\":true,\"single_version\":false}},\
             {{\"name\":\"check\",\"host\":\"{host}\",\"path_prefix\":\"/check/\",\"kind\":\"idempotent\",\
             \"service\":\"desk\",\"timeout_ms\":{timeout_ms},\"slo_ms\":150,\"max_attempts\":{attempts},\
             \"priority\":2,\"public\":false}}],\
             \"services\":[{{\"name\":\"engines\",\"max_conns\":150,\"health_path\":\"/healthz\",\
             \"engine\":{{\"slots\":12,\"models\":[{{\"name\":\"m0\"}}],\"kv_capacity\":90000}}}},\
             {{\"name\":\"desk\",\"max_conns\":100,\"health_path\":\"/healthz\"}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"huka270\",\"priority\":1,\"api_keys\":[\"{key}\"{second}]}}]}}"
        );
        self.store.put("keyed.op", "config", &configuration);
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, id, zone, address, store] = &arguments[..] {
        if role == "engine" {
            return cuts::serve_engine(id, zone, address, store);
        }
    }
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = Platform::start(folder).and_then(|platform| match case.as_str() {
        "cuts" => cuts::play(&platform, folder, trouble),
        "ends" => ends::play(&platform, folder, trouble),
        "keys" => keys::play(&platform, folder, trouble),
        "removals" => removals::play(&platform, folder, trouble),
        "scores" => scores::play(&platform, folder, trouble),
        _ => Err(std::io::ErrorKind::InvalidInput.into()),
    });
    match played {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
