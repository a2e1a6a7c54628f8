//! Prometheus counters, gauges and histograms, served at `/metrics`.

use std::sync::Mutex;

use prometheus_client::{
    encoding::{
        text::encode,
        EncodeLabelSet, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{
            exponential_buckets,
            Histogram, //
        }, //
    },
    registry::Registry, //
};

/// Labels of the request counter.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the service.
    pub service: String,
    /// `not-run`, `ran` or `unknown`.
    pub outcome: String,
}

/// Label of the counters, gauges and histograms that are distinguished by kind.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct KindLabel {
    /// The kind, as `subsystem.name`, such as `log.foreign_record`.
    pub kind: String,
}

/// Label of the counter of bytes sent to peers.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PartLabel {
    /// The subsystem that sent the bytes, such as `membership`.
    pub part: String,
}

/// The metrics of one instance. Families are cheap to clone and may be used on any thread.
#[derive(Debug)]
pub struct Metrics {
    /// Number of requests by service and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Number of events by kind, such as `log.foreign_record`.
    pub events: Family<KindLabel, Counter>,
    /// Current values by kind, such as `log.folded`.
    pub gauges: Family<KindLabel, Gauge>,
    /// Durations in milliseconds by kind.
    pub durations_ms: Family<KindLabel, Histogram>,
    /// Payload bytes sent to peers, by subsystem.
    pub peer_bytes: Family<PartLabel, Counter>,
    registry: Mutex<Registry>,
}

/// Buckets from 2 ms to 16 s that double in size, to cover store calls as well as batches.
fn new_duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(2.0, 2.0, 14))
}

impl Default for Metrics {
    fn default() -> Self {
        let requests = Family::default();
        let events = Family::default();
        let gauges = Family::default();
        let peer_bytes = Family::default();
        let durations_ms =
            Family::new_with_constructor(new_duration_histogram as fn() -> Histogram);
        let mut registry = Registry::with_prefix("flamingoscale");
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register("events", "Events by kind", events.clone());
        registry.register("took_ms", "Milliseconds by kind", durations_ms.clone());
        registry.register("peer_bytes", "Bytes sent to peers", peer_bytes.clone());
        registry.register("level", "Current values by kind", gauges.clone());
        Self {
            requests,
            events,
            gauges,
            durations_ms,
            peer_bytes,
            registry: Mutex::new(registry),
        }
    }
}

impl Metrics {
    /// Counts one event of a kind.
    pub fn count(&self, kind: &str) {
        let label = KindLabel { kind: kind.into() };
        self.events.get_or_create(&label).inc();
    }

    /// Counts `amount` events of a kind.
    pub fn count_by(&self, kind: &str, amount: u64) {
        let label = KindLabel { kind: kind.into() };
        self.events.get_or_create(&label).inc_by(amount);
    }

    /// Records a duration of a kind, in milliseconds.
    pub fn observe_duration(&self, kind: &str, duration_ms: u64) {
        let label = KindLabel { kind: kind.into() };
        self.durations_ms
            .get_or_create(&label)
            .observe(duration_ms as f64);
    }

    /// Counts the payload bytes of one message to a peer.
    pub(crate) fn count_peer_bytes(&self, part: &str, bytes: usize) {
        let label = PartLabel { part: part.into() };
        self.peer_bytes.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Returns the number of payload bytes that a subsystem has sent to peers.
    pub fn peer_bytes_sent(&self, part: &str) -> u64 {
        let label = PartLabel { part: part.into() };
        self.peer_bytes.get_or_create(&label).get()
    }

    /// Returns the number of events of a kind.
    pub fn event_count(&self, kind: &str) -> u64 {
        let label = KindLabel { kind: kind.into() };
        self.events.get_or_create(&label).get()
    }

    /// Sets the current value of a kind.
    pub fn set_gauge(&self, kind: &str, value: i64) {
        let label = KindLabel { kind: kind.into() };
        self.gauges.get_or_create(&label).set(value);
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let registry = self
            .registry
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
