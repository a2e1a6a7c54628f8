//! Settings of one instance, from an INI file, checked as a whole at the start.

use std::{
    fmt,
    net::SocketAddr,
    path::Path,
    sync::Arc, //
};

use ini::Ini;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Threads for traffic when the file names no number.
const DEFAULT_TRAFFIC_THREADS: usize = 2;

/// Shortest operator token that is accepted.
const MIN_TOKEN_CHARS: usize = 16;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The section.
    pub section: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// What is wrong and what to write instead.
    pub remedy: String,
}

/// All faults of a settings file at once.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Error)]
pub struct SettingsError {
    /// The file.
    pub file: Arc<str>,
    /// The faults, in the file's order.
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

/// Files for mutually authenticated TLS between peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTls {
    /// Certificate chain of this instance, PEM.
    pub certificate: Arc<str>,
    /// Its private key, PEM.
    pub key: Arc<str>,
    /// The authority that signs all instances, PEM.
    pub authority: Arc<str>,
}

/// Checked settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Settings {
    /// The instance's id.
    pub instance: Arc<str>,
    /// The failure domain that it is in.
    pub failure_domain: Arc<str>,
    /// Where callers reach it; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Where peers reach it; port 0 lets the kernel choose.
    pub peer_address: SocketAddr,
    /// `ip:port` of the platform.
    pub platform: SocketAddr,
    /// `ip:port` of the weight store.
    pub weight_store: SocketAddr,
    /// What operators show.
    pub operator_token: Arc<str>,
    /// Peers to try before the platform's list is there.
    pub seeds: Vec<SocketAddr>,
    /// TLS between peers; none only where all addresses are loopback.
    pub peer_tls: Option<PeerTls>,
    /// Threads that serve callers.
    pub traffic_threads: usize,
}

/// Builds [`Settings`] in code, for embedding and tests.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Settings on loopback with ports chosen by the kernel and no peers.
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
        };
        Self { settings }
    }

    /// Sets what operators show.
    pub fn operator_token(mut self, token: impl Into<Arc<str>>) -> Self {
        self.settings.operator_token = token.into();
        self
    }

    /// Adds a peer to try first.
    pub fn seed(mut self, address: SocketAddr) -> Self {
        self.settings.seeds.push(address);
        self
    }

    /// Sets where callers reach the instance.
    pub fn address(mut self, address: SocketAddr) -> Self {
        self.settings.address = address;
        self
    }

    /// Sets where peers reach the instance.
    pub fn peer_address(mut self, address: SocketAddr) -> Self {
        self.settings.peer_address = address;
        self
    }

    /// Sets the number of threads that serve callers.
    pub fn traffic_threads(mut self, threads: usize) -> Self {
        self.settings.traffic_threads = threads;
        self
    }

    /// Sets TLS between peers.
    pub fn peer_tls(mut self, tls: PeerTls) -> Self {
        self.settings.peer_tls = Some(tls);
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Every fault of the file at once, each with its section, key and remedy.
pub fn load(file: &Path) -> Result<Settings> {
    let name: Arc<str> = file.display().to_string().into();
    match std::fs::read_to_string(file) {
        Ok(text) => parse(&name, &text),
        Err(error) => Err(SettingsError {
            file: name,
            faults: vec![Fault {
                section: "".into(),
                key: "".into(),
                remedy: format!("can't be read ({error}): check path and rights"),
            }],
        }),
    }
}

/// Checks the text of a settings file named `file`.
///
/// # Errors
///
/// As [`load`].
pub fn parse(file: &str, text: &str) -> Result<Settings> {
    let mut reader = match Ini::load_from_str(text) {
        Ok(ini) => Reader::new(ini),
        Err(error) => {
            let fault = Fault {
                section: "".into(),
                key: format!("line {}", error.line).into(),
                remedy: format!(
                    "not INI ({}): write `key = value` under `[section]`",
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
    reader.check_unknown();
    if reader.faults.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError {
        file: file.into(),
        faults: reader.faults,
    })
}

struct Reader {
    ini: Ini,
    used: Vec<(&'static str, &'static str)>,
    faults: Vec<Fault>,
}

impl Reader {
    fn new(ini: Ini) -> Self {
        Self {
            ini,
            used: Vec::new(),
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
        };
        if settings.peer_tls.is_none() && !settings.peer_address.ip().is_loopback() {
            let remedy = "plain peers are for loopback only: set certificate, key and authority";
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
        self.used.push((section, key));
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned())
    }

    fn required(&mut self, section: &'static str, key: &'static str) -> String {
        match self.optional(section, key) {
            Some(value) if !value.is_empty() => value,
            _ => {
                self.fault(section, key, "missing: set it");
                String::new()
            }
        }
    }

    fn name(&mut self, section: &'static str, key: &'static str) -> Arc<str> {
        let value = self.required(section, key);
        if !value.chars().all(is_name_char) {
            let remedy = format!("`{value}`: use letters, digits, `-` and `_` only");
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
            let remedy = format!("`{value}`: write an IP number and port, as 10.0.0.7:7400");
            self.fault(section, key, remedy);
        }
        SocketAddr::from(([127, 0, 0, 1], 0))
    }

    fn token(&mut self) -> Arc<str> {
        let token = self.required("operator", "token");
        if !token.is_empty() && token.chars().count() < MIN_TOKEN_CHARS {
            let remedy = format!("too short: use at least {MIN_TOKEN_CHARS} characters");
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
                let remedy = "set certificate, key and authority together, or none of them";
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
                let remedy = format!("`{value}`: write a number from 1 to 64");
                self.fault("traffic", "threads", remedy);
                DEFAULT_TRAFFIC_THREADS
            }
        }
    }

    fn check_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                if !self.used.contains(&(section, key)) {
                    unknown.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        for (section, key) in unknown {
            self.fault(&section, &key, "unknown: remove it or check its spelling");
        }
    }
}

/// Names appear in paths, headers and logs.
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
        let settings = parse("n1.ini", VALID_SETTINGS).expect("these settings are whole");
        assert_eq!(&*settings.instance, "n1");
        assert_eq!(settings.traffic_threads, DEFAULT_TRAFFIC_THREADS);
    }

    #[test]
    fn all_faults_are_reported_at_once() {
        let text =
            "[instance]\nid = n 1\naddress = host:80\ncolour = red\n[traffic]\nthreads = 0\n";
        let error = parse("n1.ini", text).expect_err("these settings are faulty");
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
        let error = parse("n1.ini", &text).expect_err("TLS is missing");
        assert_eq!(&*error.faults[0].section, "peers");
    }
}
