//! Builds records and endpoints for the tests of the fleet modules.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::{
    endpoints::{
        Endpoints,
        Listing, //
    },
    ledger::Ledger,
    prefixes::Prompt,
    record::{
        Batch,
        Heartbeat,
        LeaseMessage,
        Record,
        Sample,
        SampleEnd,
        SampleResult,
        ScoringCall, //
    },
    texts::TextLocation,
    warming::ColdReport, //
};

/// Applies a record to a ledger. A batch is registered first, and milestones are recorded.
pub(crate) fn apply(ledger: &mut Ledger, offset: u64, record: Record, now_ms: u64) {
    if let Record::Batch(batch) = &record {
        let registered = Record::BatchRegistered(batch.summary());
        ledger.apply(offset, registered, now_ms);
    }
    ledger.apply(offset, record, now_ms);
    for milestone in ledger.due_milestones() {
        ledger.apply(offset, milestone, now_ms);
    }
}

/// Returns a ledger with these records applied at time 0.
pub(crate) fn ledger_of(records: impl IntoIterator<Item = Record>) -> Ledger {
    let mut ledger = Ledger::default();
    for (offset, record) in (0..).zip(records) {
        apply(&mut ledger, offset, record, 0);
    }
    ledger
}

/// Returns a batch of `groups` groups of two samples. Sample `s<g>.<i>` has `tokens(g, i)` expected
/// tokens.
pub(crate) fn batch(
    id: &str,
    step: u64,
    groups: usize,
    tokens: impl Fn(usize, usize) -> u32,
) -> Record {
    let sample = |group: usize, index: usize| Sample {
        id: format!("s{group}.{index}").into(),
        group: format!("g{group}").into(),
        path: "/draft/1".into(),
        headers: Vec::new(),
        body: bytes::Bytes::from_static(b"prompt"),
        expected_tokens: tokens(group, index),
        scoring: None,
    };
    Record::Batch(Arc::new(Batch {
        id: id.into(),
        organisation: "lodges".into(),
        host: "drafts.example".into(),
        model: "notes".into(),
        step,
        min_version: step.saturating_sub(1),
        wanted_groups: u32::try_from(groups - groups / 10).unwrap_or(0),
        submitted_unix_ms: step * 1_000,
        earlier_parts: 0,
        samples: (0..groups)
            .flat_map(|group| (0..2).map(move |index| (group, index)))
            .map(|(group, index)| sample(group, index))
            .collect(),
    }))
}

/// Adds prompts to the samples of a batch: `list(group, sample)` names the prompt parts of a sample.
pub(crate) fn with_prompts(batch: Record, list: impl Fn(&str, &str) -> String) -> Record {
    let Record::Batch(mut batch) = batch else {
        return batch;
    };
    for sample in &mut Arc::make_mut(&mut batch).samples {
        let list = list(&sample.group, &sample.id);
        sample.headers.push(("prompt".into(), list.into()));
    }
    Record::Batch(batch)
}

/// Reads the prompt that [`with_prompts`] added. The output tokens have no limit.
pub(crate) fn read_prompt(model: &str, sample: &Sample) -> (Option<Prompt>, u32) {
    let prompt = sample.headers.iter().find(|(name, _)| &**name == "prompt");
    let parsed = prompt.map(|(_, list)| Prompt::parse(model, list, 0).ok());
    (parsed.unwrap_or_else(|| Some(Prompt::default())), 0)
}

/// Returns the records of a batch like that of [`batch`], whose samples need a score.
pub(crate) fn scored_batch(id: &str, step: u64, groups: usize) -> Vec<Record> {
    let Record::Batch(unscored) = batch(id, step, groups, |_, _| 10) else {
        return Vec::new();
    };
    let mut scored = Batch::clone(&unscored);
    for sample in &mut scored.samples {
        sample.scoring = Some(scoring_call(&sample.id));
    }
    scored.into_records(1 << 16)
}

pub(crate) fn scoring_call(sample: &str) -> Arc<ScoringCall> {
    Arc::new(ScoringCall {
        id: format!("score-{sample}").into(),
        host: "desk.example".into(),
        path: "/score/1".into(),
        body: bytes::Bytes::from_static(b"text"),
    })
}

pub(crate) fn result(batch: &str, sample: &str, text: &str) -> SampleResult {
    SampleResult {
        batch: batch.into(),
        sample: sample.into(),
        end: SampleEnd::Complete,
        text: Some(TextLocation {
            key: text.into(),
            index: 0,
            bytes: 10,
        }),
        versions: vec![1],
        score: None,
    }
}

pub(crate) fn results(results: Vec<SampleResult>) -> Record {
    Record::Results {
        submitted_unix_ms: 1,
        results,
    }
}

pub(crate) fn lease_message(lease: &str, holder: &str, epoch: u64, sent_ms: u64) -> LeaseMessage {
    LeaseMessage {
        lease: lease.into(),
        holder: holder.into(),
        incarnation: 1,
        epoch,
        sent_ms,
    }
}

pub(crate) fn heartbeat(instance: &str, incarnation: u64) -> Record {
    heartbeat_with_millicores(instance, incarnation, 500)
}

pub(crate) fn heartbeat_with_millicores(
    instance: &str,
    incarnation: u64,
    millicores: u32,
) -> Record {
    Record::Heartbeat(Heartbeat {
        millicores,
        instance: instance.into(),
        incarnation,
        address: "10.1.0.7:8405".into(),
        failure_domain: "saiq".into(),
        ready: true,
        leaving: false,
    })
}

pub(crate) fn listing(id: &str, failure_domain: &str, version: u64) -> Listing {
    Listing {
        id: id.into(),
        service: "drafting".into(),
        address: "10.128.0.9:8080".into(),
        failure_domain: failure_domain.into(),
        slots: 4,
        software: "v1".into(),
        draining: false,
        versions: HashMap::from([("notes".into(), version)]),
        started_unix_ms: 1,
        cold_left: ColdReport::NotStated,
        spot: false,
        leaves_ms: None,
    }
}

pub(crate) fn endpoints(listings: &[Listing]) -> Endpoints {
    let mut endpoints = Endpoints::default();
    listings
        .iter()
        .cloned()
        .for_each(|listing| endpoints.update(listing));
    endpoints
}

/// Returns the largest number of arrivals, in ascending order, in less than `window_ms`.
pub(crate) fn most_in(window_ms: u64, arrivals: &[u64]) -> usize {
    let in_window = |first: usize| {
        let end_ms = arrivals[first] + window_ms;
        arrivals[first..].partition_point(|at_ms| *at_ms < end_ms)
    };
    (0..arrivals.len()).map(in_window).max().unwrap_or(0)
}
