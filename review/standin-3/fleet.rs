//! The entry instances: processes of the project's own program, with the settings that the deploy file's
//! template gives a small deployment.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::net::call;

/// Path of the program, as the deploy file names it.
const PROGRAM: &str = "target/release/flamingoscale-entry";

/// Zones of the deployment.
pub const ZONES: [&str; 4] = ["saiq", "shams", "nizwa", "hamra"];

/// Longest time until all instances are ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// An instance and its addresses.
pub struct Instance {
    pub name: String,
    ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

/// All instances. They end with this.
pub struct Fleet {
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

/// Returns an address of this host's loopback network that no other case uses at the same time.
pub fn host(number: usize) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 1 + id / 250 % 250, 1 + id % 250, number)
}

/// Returns a number of ports that are free on all hosts.
fn free_ports(hosts: &[String], count: u16) -> io::Result<u16> {
    let start = 21_000 + (std::process::id() % 2_000) as u16 * 10;
    let is_free = |first: &u16| {
        let mut ports = hosts.iter().flat_map(|host| (*first..first + count).map(move |port| (host, port)));
        ports.all(|(host, port)| TcpListener::bind((host.as_str(), port)).is_ok())
    };
    let mut candidates = (0..100).map(|step| start + step * count);
    candidates.find(is_free).ok_or_else(|| io::ErrorKind::AddrInUse.into())
}

impl Fleet {
    /// Starts instances with the store and the platform's API at these addresses.
    pub fn start(count: usize, store: SocketAddr, cloud: SocketAddr) -> io::Result<Self> {
        Self::start_with(&vec![store; count], cloud)
    }

    /// Starts an instance for each address of the store.
    pub fn start_with(stores: &[SocketAddr], cloud: SocketAddr) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("flamingoscale-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let template = fs::read_to_string("deploy/settings.ini")?;
        let hosts: Vec<String> = (0..stores.len()).map(|number| host(10 + number)).collect();
        let port = free_ports(&hosts, 5)?;
        let mut fleet = Self {
            instances: Vec::new(),
            folder: folder.clone(),
        };
        for (number, (host, store)) in hosts.iter().zip(stores).enumerate() {
            let zone = ZONES[number % ZONES.len()];
            let name = format!("front-{zone}-{}", 1 + number / ZONES.len());
            let values = [
                ("node", name.clone()),
                ("zone", zone.to_owned()),
                ("ip", host.clone()),
                ("listen.front", format!("{host}:{port}")),
                ("listen.ready_addr", format!("{host}:{}", port + 1)),
                ("listen.directory", format!("{host}:{}", port + 2)),
                ("port_range.0", (port + 3).to_string()),
                ("platform.addr", store.to_string()),
                ("cloud.addr", cloud.to_string()),
                ("limits.cpu_share", "0.5".to_owned()),
                ("platform.read_mb_s", "80.0".to_owned()),
                ("platform.record_bytes", "262144".to_owned()),
                ("platform.call_bytes", "2097152".to_owned()),
                ("cloud.duties", "metering,autoscale".to_owned()),
                ("bounds.grace_s", "8".to_owned()),
                ("bounds.report_window_s", "5".to_owned()),
                ("bounds.ttl_max_s", "5".to_owned()),
                ("bounds.status_s", "120".to_owned()),
                ("bounds.config_ms", "2000".to_owned()),
                ("bounds.lease_ms", "3000".to_owned()),
            ];
            let settings = folder.join(format!("{name}.ini"));
            fs::write(&settings, filled_in(&template, &values.into()))?;
            let log = folder.join(format!("{name}.log"));
            let address = |port: u16| format!("{host}:{port}").parse().unwrap();
            fleet.instances.push(Instance {
                process: spawn(&settings, &log, true)?,
                name,
                ready: address(port + 1),
                directory: address(port + 2),
                settings,
                log,
            });
        }
        fleet.list_processes()?;
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Writes the ids of the processes into the file that `PROCESSES` names, so that a script that is ended early
    /// can end them.
    fn list_processes(&self) -> io::Result<()> {
        let Some(path) = std::env::var_os("PROCESSES") else {
            return Ok(());
        };
        let ids = self.instances.iter().map(|it| format!("{}\n", it.process.id()));
        let ids = ids.collect::<String>();
        File::options().append(true).create(true).open(path)?.write_all(ids.as_bytes())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_LIMIT;
        for instance in &self.instances {
            while !instance.is_ready() {
                if Instant::now() > deadline {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Copies the logs of all instances into a folder.
    pub fn keep_logs(&self, folder: &Path) {
        let _ = fs::create_dir_all(folder);
        for instance in &self.instances {
            let _ = fs::copy(&instance.log, folder.join(format!("{}.log", instance.name)));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.process.kill();
            let _ = instance.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Instance {
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let answer = call(self.ready, "GET", "/api/readyz", &[("host", "ready")], b"", limit);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Kills the process and starts it again.
    #[allow(dead_code)]
    pub fn kill_and_start(&mut self, pause: Duration) -> io::Result<()> {
        self.process.kill()?;
        self.process.wait()?;
        thread::sleep(pause);
        self.process = spawn(&self.settings, &self.log, false)?;
        Ok(())
    }
}

fn spawn(settings: &Path, log: &Path, first_start: bool) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .env_clear()
        .env("FLAMINGOSCALE_CONFIG", settings)
        .env("FIRST_START", if first_start { "true" } else { "false" })
        .stdin(Stdio::null())
        .stderr(output.try_clone()?)
        .stdout(output)
        .spawn()
}

/// Fills in the placeholders of a template; one without a value becomes empty.
fn filled_in(template: &str, values: &HashMap<&str, String>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").unwrap_or((after, ""));
        text.push_str(before);
        text.push_str(values.get(name).map_or("", String::as_str));
        rest = after;
    }
    text.push_str(rest);
    text
}
