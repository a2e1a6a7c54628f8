//! Settings of one instance, read from an INI file and validated in full at start-up.

use std::{
    fmt,
    net::SocketAddr,
    path::Path,
    sync::Arc, //
};

use ini::Ini;

use crate::machine;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Number of traffic threads if the file does not set it.
const DEFAULT_TRAFFIC_THREADS: usize = 2;

/// Memory of the machine if neither the file nor the machine tells it, in MiB.
const DEFAULT_MEMORY_MB: usize = 128;

/// Smallest memory of a machine that the file may set, in MiB.
const MIN_MEMORY_MB: usize = 32;

/// Minimum length of the operator token, in characters.
const MIN_TOKEN_CHARS: usize = 16;

/// One invalid value in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The section; empty if the fault concerns the whole file.
    pub section: Arc<str>,
    /// The key, or `line N` for a syntax error.
    pub key: Arc<str>,
    /// Describes what is wrong and how to fix it.
    pub remedy: String,
}

/// Lists all faults of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Error)]
pub struct SettingsError {
    /// Path of the file.
    pub file: Arc<str>,
    /// The faults; unknown keys come last.
    pub faults: Vec<Fault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            let (file, section, key) = (&self.file, &fault.section, &fault.key);
            writeln!(formatter, "{file}: [{section}] {key}: {}", fault.remedy)?;
        }
        Ok(())
    }
}

/// Paths of the files for mutual TLS between peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTls {
    /// Certificate chain of this instance, in PEM format.
    pub certificate: Arc<str>,
    /// Private key of this instance, in PEM format.
    pub key: Arc<str>,
    /// Certificate of the authority that signs the certificates of all instances, in PEM format.
    pub authority: Arc<str>,
}

/// Validated settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Settings {
    /// Id of the instance, unique among all instances.
    pub instance: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Address on which callers connect; with port 0 the kernel chooses a port.
    pub address: SocketAddr,
    /// Address on which peers connect; with port 0 the kernel chooses a port.
    pub peer_address: SocketAddr,
    /// Address of the platform's HTTP interface.
    pub platform: SocketAddr,
    /// Address of the weight store.
    pub weight_store: SocketAddr,
    /// Bearer token that operators must present.
    pub operator_token: Arc<str>,
    /// Addresses of peers to contact before the platform's instance list is available.
    pub seeds: Vec<SocketAddr>,
    /// TLS between peers; `None` is accepted only if the peer address is a loopback address.
    pub peer_tls: Option<PeerTls>,
    /// Number of threads that serve callers.
    pub traffic_threads: usize,
    /// Memory of the machine, in MiB.
    pub memory_mb: usize,
}

/// Builds [`Settings`] in code, for embedding and tests.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Creates settings that listen on loopback ports chosen by the kernel and have no peers.
    pub fn new(
        instance: impl Into<Arc<str>>,
        failure_domain: impl Into<Arc<str>>,
        platform: SocketAddr,
        weight_store: SocketAddr,
    ) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            instance: instance.into(),
            failure_domain: failure_domain.into(),
            address: loopback,
            peer_address: loopback,
            platform,
            weight_store,
            operator_token: "".into(),
            seeds: Vec::new(),
            peer_tls: None,
            traffic_threads: DEFAULT_TRAFFIC_THREADS,
            memory_mb: machine_memory_mb(),
        };
        Self { settings }
    }

    /// Sets the bearer token that operators must present.
    pub fn operator_token(mut self, token: impl Into<Arc<str>>) -> Self {
        self.settings.operator_token = token.into();
        self
    }

    /// Adds a peer to contact before the platform's instance list is available.
    pub fn seed(mut self, address: SocketAddr) -> Self {
        self.settings.seeds.push(address);
        self
    }

    /// Sets the address on which callers connect.
    pub fn address(mut self, address: SocketAddr) -> Self {
        self.settings.address = address;
        self
    }

    /// Sets the address on which peers connect.
    pub fn peer_address(mut self, address: SocketAddr) -> Self {
        self.settings.peer_address = address;
        self
    }

    /// Sets the number of threads that serve callers.
    pub fn traffic_threads(mut self, threads: usize) -> Self {
        self.settings.traffic_threads = threads;
        self
    }

    /// Enables TLS between peers.
    pub fn peer_tls(mut self, tls: PeerTls) -> Self {
        self.settings.peer_tls = Some(tls);
        self
    }

    /// Returns the settings without validating them.
    pub fn build(self) -> Settings {
        self.settings
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns a [`SettingsError`] that lists every fault of the file with its section, key and
/// remedy.
pub fn load(file: &Path) -> Result<Settings> {
    let name: Arc<str> = file.display().to_string().into();
    match std::fs::read_to_string(file) {
        Ok(text) => parse(&name, &text),
        Err(error) => Err(SettingsError {
            file: name,
            faults: vec![Fault {
                section: "".into(),
                key: "".into(),
                remedy: format!("cannot read file ({error}): check the path and its permissions"),
            }],
        }),
    }
}

/// Parses and validates the text of a settings file named `file`.
///
/// # Errors
///
/// Returns the same errors as [`load`].
pub fn parse(file: &str, text: &str) -> Result<Settings> {
    let mut reader = match Ini::load_from_str(text) {
        Ok(ini) => Reader::new(ini),
        Err(error) => {
            let fault = Fault {
                section: "".into(),
                key: format!("line {}", error.line).into(),
                remedy: format!(
                    "invalid INI syntax ({}): write `key = value` under `[section]`",
                    error.msg
                ),
            };
            return Err(SettingsError {
                file: file.into(),
                faults: vec![fault],
            });
        }
    };
    let settings = reader.settings();
    reader.check_unknown_keys();
    if reader.faults.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError {
        file: file.into(),
        faults: reader.faults,
    })
}

/// Reads settings from INI sections and collects the faults.
struct Reader {
    ini: Ini,
    /// Sections and keys that the file may contain; any other key is reported as unknown.
    used_keys: Vec<(&'static str, &'static str)>,
    faults: Vec<Fault>,
}

impl Reader {
    fn new(ini: Ini) -> Self {
        Self {
            ini,
            used_keys: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn settings(&mut self) -> Settings {
        let settings = Settings {
            instance: self.name("instance", "id"),
            failure_domain: self.name("instance", "failure_domain"),
            address: self.address("instance", "address"),
            peer_address: self.address("instance", "peer_address"),
            platform: self.address("platform", "address"),
            weight_store: self.address("platform", "weight_store"),
            operator_token: self.token(),
            seeds: self.seeds(),
            peer_tls: self.peer_tls(),
            traffic_threads: self.traffic_threads(),
            memory_mb: self.memory_mb(),
        };
        if settings.peer_tls.is_none() && !settings.peer_address.ip().is_loopback() {
            let remedy = "peers need TLS outside loopback: set certificate, key and authority";
            self.fault("peers", "certificate", remedy);
        }
        settings
    }

    fn fault(&mut self, section: &str, key: &str, remedy: impl Into<String>) {
        self.faults.push(Fault {
            section: section.into(),
            key: key.into(),
            remedy: remedy.into(),
        });
    }

    fn optional(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        self.used_keys.push((section, key));
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned())
    }

    fn required(&mut self, section: &'static str, key: &'static str) -> String {
        match self.optional(section, key) {
            Some(value) if !value.is_empty() => value,
            _ => {
                self.fault(section, key, "required key is missing: set it");
                String::new()
            }
        }
    }

    fn name(&mut self, section: &'static str, key: &'static str) -> Arc<str> {
        let value = self.required(section, key);
        if !value.chars().all(is_name_char) {
            let remedy = format!("invalid name `{value}`: use only letters, digits, `-` and `_`");
            self.fault(section, key, remedy);
        }
        value.into()
    }

    fn address(&mut self, section: &'static str, key: &'static str) -> SocketAddr {
        let value = self.required(section, key);
        self.parse_address(section, key, &value)
    }

    fn parse_address(&mut self, section: &str, key: &str, value: &str) -> SocketAddr {
        if let Ok(address) = value.parse() {
            return address;
        }
        if !value.is_empty() {
            let remedy = format!(
                "invalid address `{value}`: write an IP address and port, such as 10.0.0.7:7400"
            );
            self.fault(section, key, remedy);
        }
        SocketAddr::from(([127, 0, 0, 1], 0))
    }

    fn token(&mut self) -> Arc<str> {
        let token = self.required("operator", "token");
        if !token.is_empty() && token.chars().count() < MIN_TOKEN_CHARS {
            let remedy = format!("token is too short: use at least {MIN_TOKEN_CHARS} characters");
            self.fault("operator", "token", remedy);
        }
        token.into()
    }

    fn seeds(&mut self) -> Vec<SocketAddr> {
        let list = self.optional("peers", "seeds").unwrap_or_default();
        let items = list.split(',').map(str::trim);
        items
            .filter(|item| !item.is_empty())
            .map(|item| self.parse_address("peers", "seeds", item))
            .collect()
    }

    fn peer_tls(&mut self) -> Option<PeerTls> {
        let certificate = self.optional("peers", "certificate");
        let key = self.optional("peers", "key");
        let authority = self.optional("peers", "authority");
        match (certificate, key, authority) {
            (Some(certificate), Some(key), Some(authority)) => Some(PeerTls {
                certificate: certificate.into(),
                key: key.into(),
                authority: authority.into(),
            }),
            (None, None, None) => None,
            _ => {
                let remedy =
                    "incomplete TLS settings: set certificate, key and authority, or none of them";
                self.fault("peers", "certificate", remedy);
                None
            }
        }
    }

    fn traffic_threads(&mut self) -> usize {
        let Some(value) = self.optional("traffic", "threads") else {
            return DEFAULT_TRAFFIC_THREADS;
        };
        match value.parse() {
            Ok(threads) if (1..=64).contains(&threads) => threads,
            _ => {
                let remedy = format!("invalid thread count `{value}`: write a number from 1 to 64");
                self.fault("traffic", "threads", remedy);
                DEFAULT_TRAFFIC_THREADS
            }
        }
    }

    fn memory_mb(&mut self) -> usize {
        let Some(value) = self.optional("traffic", "memory_mb") else {
            return machine_memory_mb();
        };
        match value.parse() {
            Ok(memory_mb) if memory_mb >= MIN_MEMORY_MB => memory_mb,
            _ => {
                let remedy = format!("invalid memory `{value}`: write {MIN_MEMORY_MB} MiB or more");
                self.fault("traffic", "memory_mb", remedy);
                MIN_MEMORY_MB
            }
        }
    }

    fn check_unknown_keys(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                if !self.used_keys.contains(&(section, key)) {
                    unknown.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        for (section, key) in unknown {
            self.fault(
                &section,
                &key,
                "unknown key: remove it or check its spelling",
            );
        }
    }
}

/// Returns the memory of the machine, or that of a small one if it is not known.
fn machine_memory_mb() -> usize {
    machine::memory_mb().map_or(DEFAULT_MEMORY_MB, |memory_mb| memory_mb as usize)
}

/// Returns whether a name may contain this character. Names appear in paths, headers and logs.
pub(crate) fn is_name_char(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '-' || character == '_'
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID_SETTINGS: &str =
        "[instance]\nid = n1\nfailure_domain = saiq\naddress = 127.0.0.1:0\n\
        peer_address = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:1\n\
        weight_store = 127.0.0.1:2\n[operator]\ntoken = 0123456789abcdef\n";

    #[test]
    fn valid_settings_are_accepted() {
        let settings = parse("n1.ini", VALID_SETTINGS).expect("parse valid settings");
        assert_eq!(&*settings.instance, "n1");
        assert_eq!(settings.traffic_threads, DEFAULT_TRAFFIC_THREADS);
    }

    #[test]
    fn all_faults_are_reported_at_once() {
        let text =
            "[instance]\nid = n 1\naddress = host:80\ncolour = red\n[traffic]\nthreads = 0\nmemory_mb = 1\n";
        let error = parse("n1.ini", text).expect_err("reject invalid settings");
        let reported: Vec<String> = error
            .faults
            .iter()
            .map(|fault| format!("{}.{}", fault.section, fault.key))
            .collect();
        for expected in [
            "instance.id",
            "instance.failure_domain",
            "instance.address",
            "instance.peer_address",
            "platform.address",
            "platform.weight_store",
            "operator.token",
            "traffic.threads",
            "traffic.memory_mb",
            "instance.colour",
        ] {
            assert!(
                reported.iter().any(|name| name == expected),
                "{expected}: {reported:?}"
            );
        }
    }

    #[test]
    fn peers_without_tls_must_be_on_loopback() {
        let text =
            VALID_SETTINGS.replace("peer_address = 127.0.0.1:0", "peer_address = 10.0.0.1:7");
        let error = parse("n1.ini", &text).expect_err("reject peers without TLS");
        assert_eq!(&*error.faults[0].section, "peers");
    }
}
