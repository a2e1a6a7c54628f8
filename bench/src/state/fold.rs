//! Rate at which one instance folds records, publishes views and restores snapshots, at the target
//! size.

use std::{
    sync::Arc,
    time::Instant, //
};

use bytes::Bytes;
use flamingoscale::{
    record::{
        self,
        Envelope,
        Record, //
    },
    state::{
        orders_lease,
        State,
        ALL_REGIONS, //
    },
    view::SharedView,
    wire::{
        EndpointPhase,
        PlatformEndpoint,
        Tier, //
    }, //
};
use rand::{
    RngExt as _,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::output;

/// Number of endpoints at the target size.
const ENDPOINTS: usize = 7_000;

/// Number of API keys in a large deployment.
const KEYS: usize = 2_000;

/// Number of single-endpoint changes that are folded one by one.
const CHANGES: usize = 10_000;

/// Number of changes per day at the target size.
const CHANGES_PER_DAY: f64 = 8_100.0;

/// Milliseconds in one day.
const MS_PER_DAY: f64 = 86_400_000.0;

/// Encodes the records of one writer with consecutive serial numbers.
struct Writer {
    serial: u64,
    random: ChaCha8Rng,
}

impl Writer {
    fn encode_record(&mut self, record: Record) -> Bytes {
        self.serial += 1;
        let envelope = Envelope {
            writer: "n1".into(),
            incarnation: 1,
            serial: self.serial,
            record,
        };
        record::encode(&envelope).expect("the record is within the size limit")
    }

    fn encode_key_granted(&mut self, number: usize) -> Bytes {
        let digest = self.random.random();
        self.encode_record(Record::KeyGranted {
            key_id: format!("fk-{number:08}").into(),
            digest,
            organisation: format!("organisation-{}", number % 8).into(),
        })
    }

    fn encode_endpoint(&mut self, claim: u64, number: usize) -> Bytes {
        let changed = vec![endpoint(number, self.random.random_range(1..60_000))];
        self.encode_record(Record::Endpoints {
            claim,
            changed,
            removed: Vec::new(),
        })
    }
}

fn endpoint(number: usize, port: u16) -> PlatformEndpoint {
    PlatformEndpoint {
        endpoint: format!("endpoint-{number:05}").into(),
        service: format!("service-{}", number % 12).into(),
        failure_domain: format!("domain-{}", number % 22).into(),
        address: format!("10.0.{}.{}:{port}", number / 250, number % 250).into(),
        tier: Tier::Cheap,
        phase: EndpointPhase::Running,
        order: 0,
    }
}

fn fold(state: &mut State, bytes: &[u8]) {
    let offset = state.folded;
    let envelope = record::decode(bytes).expect("a record encoded by this experiment decodes");
    state
        .fold(offset, &envelope)
        .expect("the state accepts every record");
}

/// Publishes the state as the view publisher does. The view shares the tables with the state, so
/// the next change of a table has to copy it.
fn publish(view: &SharedView, state: &State) {
    view.update(|view| {
        view.folded = state.folded;
        view.keys = state.keys.clone();
        view.endpoints = state.endpoints.clone();
    });
}

pub(crate) fn run(seed: u64) {
    output::progress(super::NAME, "folding at the target size");
    let mut writer = Writer {
        serial: 0,
        random: ChaCha8Rng::seed_from_u64(seed),
    };
    let mut state = State::default();
    state.skip(0);
    let claim = state.folded;
    fold(
        &mut state,
        &writer.encode_record(Record::LeaseClaim {
            lease: orders_lease(ALL_REGIONS),
            replaces: 0,
            lease_ms: 10_000,
        }),
    );
    let grants: Vec<Bytes> = (0..KEYS)
        .map(|key| writer.encode_key_granted(key))
        .collect();
    let endpoints: Vec<Bytes> = (0..ENDPOINTS)
        .map(|number| writer.encode_endpoint(claim, number))
        .collect();
    let start = Instant::now();
    for bytes in grants.iter().chain(&endpoints) {
        fold(&mut state, bytes);
    }
    let records_per_s = rate_per_s(KEYS + ENDPOINTS, start);
    output::line(
        super::NAME,
        seed,
        json!({"part": "fold", "records": KEYS + ENDPOINTS, "records_per_s": records_per_s}),
    );
    measure_change_and_publish(seed, &mut writer, &mut state, claim);
    measure_snapshot(seed, &state);
}

/// Measures the worst case, in which each change is published separately and therefore copies the
/// table that it changes.
fn measure_change_and_publish(seed: u64, writer: &mut Writer, state: &mut State, claim: u64) {
    let view = SharedView::default();
    publish(&view, state);
    let changes: Vec<Bytes> = (0..CHANGES)
        .map(|change| writer.encode_endpoint(claim, change % ENDPOINTS))
        .collect();
    let start = Instant::now();
    for bytes in &changes {
        fold(state, bytes);
        publish(&view, state);
    }
    let us_per_change = start.elapsed().as_micros() as f64 / CHANGES as f64;
    let share = us_per_change / 1_000.0 * CHANGES_PER_DAY / MS_PER_DAY;
    output::line(
        super::NAME,
        seed,
        json!({
            "part": "change-and-publish",
            "endpoints": ENDPOINTS,
            "us_per_change": us_per_change,
            "core_share_at_8100_a_day": share,
        }),
    );
}

/// Measures the size of a snapshot and the time to write and restore it.
fn measure_snapshot(seed: u64, state: &State) {
    let start = Instant::now();
    let bytes = state.snapshot();
    let written_us = start.elapsed().as_micros();
    let start = Instant::now();
    let restored =
        State::restore(&bytes).expect("a snapshot taken by this experiment can be restored");
    let restored_us = start.elapsed().as_micros();
    assert!(Arc::new(restored).folded == state.folded);
    output::line(
        super::NAME,
        seed,
        json!({
            "part": "snapshot",
            "endpoints": ENDPOINTS,
            "keys": KEYS,
            "bytes": bytes.len(),
            "written_us": written_us,
            "restored_us": restored_us,
        }),
    );
}

fn rate_per_s(count: usize, start: Instant) -> u64 {
    (count as f64 / start.elapsed().as_secs_f64()) as u64
}
