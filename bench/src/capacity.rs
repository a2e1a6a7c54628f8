//! Control-plane cost per node: CPU time, memory, traffic and log appends as a function of the
//! number of nodes, endpoints and changes. `docs/CAPACITY.md` is based on the slopes.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::SocketAddr,
    sync::Arc,
    thread::sleep,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::{
    daemon::Daemon,
    settings::SettingsBuilder,
    wire::{
        EndpointPhase,
        ListedInstance,
        PlatformEndpoint,
        SubmitQuestionnaire,
        Tier, //
    }, //
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
    server::Host,
    service::ServiceStandin, //
};

use crate::{
    output,
    process, //
};

/// Token for the operator API.
const OPERATOR_TOKEN: &str = "0123456789abcdef";

/// Failure domains, assigned to nodes and endpoints in turn.
const DOMAINS: [&str; 4] = ["saiq", "shams", "nizwa", "hamra"];

/// The components that send messages to peers even when no client sends requests.
const PEER_COMPONENTS: [&str; 6] = ["membership", "log", "gateway", "rollout", "usage", "orders"];

/// Time between the start of a fleet and its measurement, so that start-up work is not measured.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Duration of one measurement.
const MEASURE_DURATION: Duration = Duration::from_secs(10);

/// Maximum wait for a change to be in force on all nodes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the bench checks whether a change is in force on all nodes.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Number of service stand-ins that share one host thread.
const SERVICES_PER_HOST: usize = 32;

/// Fleet size and number of configuration changes of one round.
#[derive(Clone, Copy)]
struct Round {
    nodes: usize,
    endpoints: usize,
    changes: usize,
}

/// Each round differs from the third one in one parameter only, so that the cost per node, endpoint
/// and change can be calculated separately. The largest numbers of endpoints and changes per node
/// are far above those of the target size. The largest fleet runs first: memory that an earlier
/// round returned to the allocator would hide the memory that a later round needs.
const ROUNDS: [Round; 8] = [
    Round::new(48, 8, 0),
    Round::new(24, 8, 0),
    Round::new(12, 8, 0),
    Round::new(6, 8, 0),
    Round::new(12, 64, 0),
    Round::new(12, 256, 0),
    Round::new(12, 8, 20),
    Round::new(12, 8, 100),
];

impl Round {
    const fn new(nodes: usize, endpoints: usize, changes: usize) -> Self {
        Self {
            nodes,
            endpoints,
            changes,
        }
    }
}

/// Measurements of one round. All figures except the appends and `in_force_ms` are per node.
struct Figures {
    round: Round,
    /// CPU time in percent of one core.
    cpu_percent: f64,
    /// Growth of the resident memory of this process since before the start of the fleet.
    resident_kib: f64,
    /// Payload sent to and received from peers, by component.
    peer_bytes_per_s: [f64; PEER_COMPONENTS.len()],
    /// All traffic on the loopback interface, including that of the stand-ins.
    loopback_bytes_per_s: f64,
    appends_per_s: f64,
    /// Time until each change was in force on all nodes.
    in_force_ms: Vec<u64>,
}

pub(crate) fn run(seed: u64) {
    let mut results = Vec::new();
    for round in ROUNDS {
        let description = format!(
            "{} nodes, {} endpoints, {} changes",
            round.nodes, round.endpoints, round.changes
        );
        output::progress("capacity", &description);
        match measure(round) {
            Ok(figures) => {
                output::line("capacity", seed, figures.to_json());
                results.push(figures);
            }
            Err(error) => output::progress("capacity", &format!("round failed: {error}")),
        }
    }
    let (Some(large), Some(small)) = (results.first(), results.get(3)) else {
        return;
    };
    // The baseline is the smallest fleet. Costs per node that do not grow with the number of nodes
    // are affordable.
    output::summary("capacity", seed, large.to_json(), small.to_json());
}

impl Figures {
    fn to_json(&self) -> Value {
        let mut in_force_ms = self.in_force_ms.clone();
        in_force_ms.sort_unstable();
        json!({
            "nodes": self.round.nodes,
            "endpoints": self.round.endpoints,
            "changes": self.round.changes,
            "cpu_percent_of_a_core_per_node": self.cpu_percent,
            "resident_kib_per_node": self.resident_kib,
            "peer_payload_bytes_per_s_per_node": self.peer_bytes_per_s.iter().sum::<f64>(),
            "of_which": PEER_COMPONENTS
                .iter()
                .zip(self.peer_bytes_per_s)
                .collect::<BTreeMap<_, _>>(),
            "all_loopback_bytes_per_s_per_node": self.loopback_bytes_per_s,
            "appends_per_s": self.appends_per_s,
            "in_force_median_ms": in_force_ms.get(in_force_ms.len() / 2),
            "in_force_worst_ms": in_force_ms.last(),
        })
    }
}

/// Nodes on loopback that share a stand-in platform.
struct Fleet {
    host: Host,
    platform: Platform,
    /// The fleet holds the stand-ins so that they keep running.
    services: Vec<Arc<ServiceStandin>>,
    daemons: Vec<Daemon>,
}

fn measure(round: Round) -> Result<Figures, String> {
    let before_kib = process::resident_kib();
    let fleet = Fleet::start(round)?;
    fleet.submit(questionnaire(round.endpoints))?;
    sleep(SETTLE_TIME);
    let after_kib = process::resident_kib();
    let figures = fleet.collect_figures(round, after_kib.saturating_sub(before_kib));
    fleet.stop();
    figures
}

impl Fleet {
    fn start(round: Round) -> Result<Self, String> {
        let host = Host::start().map_err(|error| error.to_string())?;
        let platform = PlatformSettings::default()
            .start(&host)
            .map_err(|error| error.to_string())?;
        let mut fleet = Self {
            host,
            platform,
            services: Vec::new(),
            daemons: Vec::new(),
        };
        fleet.add_endpoints(round.endpoints)?;
        for number in 0..round.nodes {
            fleet.add_node(number)?;
        }
        Ok(fleet)
    }

    fn add_endpoints(&mut self, count: usize) -> Result<(), String> {
        let mut host = self.host.clone();
        for number in 0..count {
            if number % SERVICES_PER_HOST == 0 {
                host = Host::start().map_err(|error| error.to_string())?;
            }
            let endpoint: Arc<str> = format!("lookup-{number}").into();
            let service = ServiceStandin::start(&host, 0, endpoint.clone(), 0)
                .map_err(|error| error.to_string())?;
            let listed = PlatformEndpoint {
                endpoint,
                service: "lookup".into(),
                failure_domain: DOMAINS[number % DOMAINS.len()].into(),
                address: service.address().to_string().into(),
                tier: Tier::Firm,
                phase: EndpointPhase::Running,
                order: 0,
            };
            self.platform.add_endpoint(listed, service.clone());
            self.services.push(service);
        }
        Ok(())
    }

    fn add_node(&mut self, number: usize) -> Result<(), String> {
        let domain = DOMAINS[number % DOMAINS.len()];
        let platform = self.platform.address();
        let mut settings = SettingsBuilder::new(format!("n{number}"), domain, platform, platform)
            .operator_token(OPERATOR_TOKEN)
            .traffic_threads(1);
        if let Some(first) = self.daemons.first() {
            settings = settings.seed(first.peer_address());
        }
        let daemon = Daemon::start(settings.build()).map_err(|error| error.to_string())?;
        self.platform.list_instance(ListedInstance {
            instance: daemon.instance().id().clone(),
            peer_address: daemon.peer_address().to_string().into(),
            failure_domain: domain.into(),
            leaving: false,
        });
        self.daemons.push(daemon);
        Ok(())
    }

    /// Makes the changes of the round, spread evenly over `MEASURE_DURATION`, and returns the
    /// measurements.
    fn collect_figures(&self, round: Round, resident_kib: u64) -> Result<Figures, String> {
        let (cpu_before_ms, sent_before) = (process::cpu_ms(), self.peer_bytes());
        let (loopback_before, appends_before) =
            (process::loopback_bytes(), self.platform.appends());
        let start = Instant::now();
        let mut in_force_ms = Vec::new();
        for number in 0..round.changes {
            let due_after = MEASURE_DURATION * number as u32 / round.changes as u32;
            sleep(due_after.saturating_sub(start.elapsed()));
            in_force_ms.push(self.submit_change(round.endpoints, number)?);
        }
        sleep(MEASURE_DURATION.saturating_sub(start.elapsed()));
        let elapsed_s = start.elapsed().as_secs_f64();
        let nodes = self.daemons.len() as f64;
        let used_cpu_ms = process::cpu_ms() - cpu_before_ms;
        let sent_after = self.peer_bytes();
        // Each byte sent is also received by another node.
        let sent_and_received =
            |component: usize| 2 * (sent_after[component] - sent_before[component]);
        let per_node_per_s = |bytes: u64| bytes as f64 / elapsed_s / nodes;
        let loopback_bytes = process::loopback_bytes() - loopback_before;
        Ok(Figures {
            round,
            cpu_percent: used_cpu_ms as f64 / 10.0 / elapsed_s / nodes,
            resident_kib: resident_kib as f64 / nodes,
            peer_bytes_per_s: std::array::from_fn(|component| {
                per_node_per_s(sent_and_received(component))
            }),
            loopback_bytes_per_s: per_node_per_s(loopback_bytes),
            appends_per_s: (self.platform.appends() - appends_before) as f64 / elapsed_s,
            in_force_ms,
        })
    }

    fn peer_bytes(&self) -> [u64; PEER_COMPONENTS.len()] {
        let sum = |component: &str| {
            let daemons = self.daemons.iter();
            daemons
                .map(|daemon| daemon.instance().metrics.peer_bytes_sent(component))
                .sum()
        };
        PEER_COMPONENTS.map(sum)
    }

    /// Submits a changed questionnaire and returns the time until it is in force on all nodes, in
    /// milliseconds.
    fn submit_change(&self, endpoints: usize, number: usize) -> Result<u64, String> {
        let start = Instant::now();
        let text = format!("; change {number}\n{}", questionnaire(endpoints));
        self.submit(text)?;
        Ok(start.elapsed().as_millis() as u64)
    }

    /// Submits a questionnaire to the first node and waits until it is in force on all nodes.
    fn submit(&self, text: String) -> Result<(), String> {
        let daemon = self.daemons.first().ok_or("the fleet has no nodes")?;
        let base_revision = daemon.instance().view.load().revision;
        let body = SubmitQuestionnaire {
            base_revision,
            text: text.into(),
        };
        let revision = post(daemon.address(), &body)?;
        let start = Instant::now();
        while !self.is_in_force_everywhere(revision) {
            if start.elapsed() > IN_FORCE_TIMEOUT {
                return Err(format!(
                    "revision {revision} not in force on all nodes before the timeout"
                ));
            }
            sleep(IN_FORCE_POLL_INTERVAL);
        }
        Ok(())
    }

    fn is_in_force_everywhere(&self, revision: u64) -> bool {
        let mut daemons = self.daemons.iter();
        daemons.all(|daemon| daemon.instance().view.load().revision >= revision)
    }

    fn stop(self) {
        for daemon in self.daemons {
            daemon.kill();
        }
    }
}

/// Posts a questionnaire to a node and returns the revision of the new configuration.
fn post(address: SocketAddr, body: &SubmitQuestionnaire) -> Result<u64, String> {
    let url = format!("http://{address}/admin/questionnaire");
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder().timeout(IN_FORCE_TIMEOUT).finish();
        let request = client.post(url).bearer_auth(OPERATOR_TOKEN);
        let mut response = request
            .send_json(body)
            .await
            .map_err(|error| error.to_string())?;
        let answer: Value = response.json().await.map_err(|error| error.to_string())?;
        answer["revision"].as_u64().ok_or(answer.to_string())
    })
}

fn questionnaire(endpoints: usize) -> String {
    let mut text = String::new();
    for domain in DOMAINS {
        let _ = writeln!(text, "[failure-domain {domain}]\nregion = hajar\n");
    }
    let _ = write!(
        text,
        "[organisation lodges]\nweight = 1\n\n[service lookup]\nkind = plain\nrepeatable = yes\n\
         firm_floor = {endpoints}\nceiling = {endpoints}\nslots = 32\n\n[tolerances]\n\
         withdrawal_ms = 5000\n"
    );
    text
}
