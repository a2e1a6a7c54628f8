//! Converts INI sections to a configuration and reports a fault for every invalid value.

use std::sync::Arc;

use ini::{
    Ini,
    Properties, //
};

use crate::{
    configuration::{
        Configuration,
        FailureDomain,
        Organisation,
        Service,
        ServiceKind,
        Tolerances,
        Trainer, //
    },
    questionnaire::fault,
    settings::{
        is_name_char,
        Fault, //
    }, //
};

/// Reads all sections. Each invalid value is reported as a fault and replaced by a placeholder, so
/// that all faults can be reported at once.
pub(crate) fn read(ini: &Ini) -> (Configuration, Vec<Fault>) {
    let mut configuration = Configuration::default();
    let mut faults = Vec::new();
    let mut previous_titles = Vec::new();
    for (title, properties) in ini.iter() {
        let title = title.unwrap_or("").trim();
        if title.is_empty() && properties.is_empty() {
            continue;
        }
        if previous_titles.contains(&title) {
            faults.push(fault(title, "", "there twice: keep one of them"));
        }
        previous_titles.push(title);
        let mut section = Section::new(title, properties, &mut faults);
        section.read_into(&mut configuration);
        section.check_keys();
    }
    (configuration, faults)
}

/// A section that is being read.
struct Section<'a> {
    title: &'a str,
    name: Arc<str>,
    properties: &'a Properties,
    /// Keys that the section may have; any other key is reported as unknown.
    used_keys: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Section<'a> {
    fn new(title: &'a str, properties: &'a Properties, faults: &'a mut Vec<Fault>) -> Self {
        let name = title.split_once(' ').map_or("", |(_, name)| name.trim());
        Self {
            title,
            name: name.into(),
            properties,
            used_keys: Vec::new(),
            faults,
        }
    }

    fn read_into(&mut self, configuration: &mut Configuration) {
        let kind = self.title.split(' ').next().unwrap_or("");
        match kind {
            "service" => configuration.services.push(self.service()),
            "organisation" => configuration.organisations.push(self.organisation()),
            "failure-domain" => configuration.failure_domains.push(self.failure_domain()),
            "trainer" => configuration.trainers.push(self.trainer()),
            "tolerances" => configuration.tolerances = self.tolerances(),
            _ => self.report_unknown_kind(),
        }
        if kind != "tolerances" {
            self.check_name();
        }
    }

    fn service(&mut self) -> Service {
        let kind = self.kind();
        Service {
            name: self.name.clone(),
            kind,
            idempotent: self.yes_or_no("repeatable", None),
            open: self.yes_or_no("open", Some(false)),
            firm_floor: self.number("firm_floor", None, 0..=10_000) as u32,
            ceiling: self.number("ceiling", None, 1..=10_000) as u32,
            slots: self.number("slots", None, 1..=4_096) as u32,
            checks_fencing: self.yes_or_no("checks_fencing", Some(false)),
        }
    }

    fn organisation(&mut self) -> Organisation {
        Organisation {
            name: self.name.clone(),
            weight: self.number("weight", Some(1), 1..=1_000) as u32,
            tokens_per_s: self.number("tokens_per_s", Some(0), 0..=u64::from(u32::MAX)),
        }
    }

    fn failure_domain(&mut self) -> FailureDomain {
        FailureDomain {
            name: self.name.clone(),
            region: self.reference("region"),
        }
    }

    fn trainer(&mut self) -> Trainer {
        Trainer {
            name: self.name.clone(),
            organisation: self.reference("organisation"),
            service: self.reference("service"),
            weight: self.number("weight", Some(1), 1..=1_000) as u32,
            staleness_bound: self.number("staleness_bound", None, 0..=1_000),
        }
    }

    fn tolerances(&mut self) -> Tolerances {
        let defaults = Tolerances::default();
        Tolerances {
            withdrawal_ms: self.number(
                "withdrawal_ms",
                Some(defaults.withdrawal_ms),
                5_000..=60_000,
            ),
            in_force_ms: self.number("in_force_ms", Some(defaults.in_force_ms), 2_000..=600_000),
            drain_ms: self.number("drain_ms", Some(defaults.drain_ms), 500..=60_000),
            request_timeout_ms: self.number(
                "request_timeout_ms",
                Some(defaults.request_timeout_ms),
                100..=3_600_000,
            ),
            usage_window_ms: self.number(
                "usage_window_ms",
                Some(defaults.usage_window_ms),
                1_000..=86_400_000,
            ),
            lease_ms: self.number("lease_ms", Some(defaults.lease_ms), 1_000..=600_000),
            store_bytes_per_s: self.number(
                "store_bytes_per_s",
                Some(defaults.store_bytes_per_s),
                1..=u64::MAX >> 1,
            ),
        }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a str> {
        self.used_keys.push(key);
        let value = self.properties.get(key)?.trim();
        (!value.is_empty()).then_some(value)
    }

    fn fault(&mut self, key: &str, remedy: impl Into<String>) {
        self.faults.push(fault(self.title, key, remedy));
    }

    fn kind(&mut self) -> ServiceKind {
        match self.value("kind") {
            Some("engine") => ServiceKind::Engine,
            Some("plain") => ServiceKind::Plain,
            invalid => {
                let text = invalid.unwrap_or("");
                self.fault("kind", format!("`{text}`: write engine or plain"));
                ServiceKind::Plain
            }
        }
    }

    fn yes_or_no(&mut self, key: &'static str, default: Option<bool>) -> bool {
        match (self.value(key), default) {
            (Some("yes" | "true"), _) => true,
            (Some("no" | "false"), _) => false,
            (None, Some(default)) => default,
            (invalid, _) => {
                let text = invalid.unwrap_or("");
                self.fault(key, format!("`{text}`: write yes or no"));
                false
            }
        }
    }

    fn number(
        &mut self,
        key: &'static str,
        default: Option<u64>,
        range: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        let (low, high) = (*range.start(), *range.end());
        let value = self.value(key);
        if let (None, Some(default)) = (value, default) {
            return default;
        }
        let text = value.unwrap_or("");
        match text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let remedy = format!("`{text}`: write a whole number from {low} to {high}");
                self.fault(key, remedy);
                low
            }
        }
    }

    /// Reads a value that is the name of a region or of another section.
    fn reference(&mut self, key: &'static str) -> Arc<str> {
        let value = self.value(key).unwrap_or("");
        if value.is_empty() || !value.chars().all(is_name_char) {
            let remedy = format!("`{value}`: write a name of letters, digits, - and _");
            self.fault(key, remedy);
        }
        value.into()
    }

    fn check_name(&mut self) {
        if self.name.is_empty() || !self.name.chars().all(is_name_char) {
            let remedy = "write a name of letters, digits, - and _ behind the kind";
            self.fault("", remedy);
        }
    }

    fn report_unknown_kind(&mut self) {
        // An empty entry makes `check_keys` accept all keys, so that only the title is reported.
        let keys = self.properties.iter();
        self.used_keys.extend(keys.map(|_| ""));
        let remedy = "unknown: use service, organisation, failure-domain, trainer or tolerances";
        self.fault("", remedy);
    }

    /// Reports unknown and duplicate keys.
    fn check_keys(&mut self) {
        let mut previous_keys = Vec::new();
        let mut problems = Vec::new();
        for (key, _) in self.properties.iter() {
            if previous_keys.contains(&key) {
                problems.push((key, "there twice: keep one of them"));
            } else if !self.used_keys.contains(&key) && !self.used_keys.contains(&"") {
                problems.push((key, "unknown: remove it or check its spelling"));
            }
            previous_keys.push(key);
        }
        for (key, remedy) in problems {
            self.fault(key, remedy);
        }
    }
}
