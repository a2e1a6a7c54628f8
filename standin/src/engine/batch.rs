//! Continuous batching: a fixed number of slots, a priority queue and a configurable token rate.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use flamingoscale::wire::{
    CompletionChunk,
    CompletionRequest,
    KvExport,
    VersionSpan, //
};
use tokio::sync::mpsc;

use super::{
    cache::PrefixCache,
    text::{
        expected_tokens,
        word, //
    },
    EngineSettings,
    RunRecord, //
};
use crate::{
    faults::ActiveFaults,
    platform::lock, //
};

/// Receives the chunks of one request; closes when the request has finished or the engine has
/// crashed.
pub(super) type Chunks = mpsc::UnboundedReceiver<CompletionChunk>;

/// A queued or running request.
struct Job {
    record_index: usize,
    id: Arc<str>,
    request: CompletionRequest,
    sender: mpsc::UnboundedSender<CompletionChunk>,
    target_tokens: u32,
    produced: u32,
    /// Tokens that are due but not generated yet, including a fraction of a token.
    token_credit: f64,
    /// Remaining prefill time.
    prefill_ms: f64,
    cancelled: bool,
}

pub(super) struct Batch {
    pub(super) boot: u64,
    pub(super) records: Vec<RunRecord>,
    pub(super) generated_tokens: u64,
    running: Vec<Job>,
    queue: Vec<Job>,
    slots: usize,
    tokens_per_ms: f64,
    prefill_ms_per_block: f64,
    reports_versions: bool,
    vary_lengths: bool,
}

impl Batch {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            boot: 1,
            records: Vec::new(),
            generated_tokens: 0,
            running: Vec::new(),
            queue: Vec::new(),
            slots: settings.slots as usize,
            tokens_per_ms: settings.tokens_per_s / 1_000.0,
            prefill_ms_per_block: settings.prefill_ms_per_block,
            reports_versions: settings.reports_versions,
            vary_lengths: settings.vary_lengths,
        }
    }

    pub(super) fn crash(&mut self) {
        self.boot += 1;
        self.running.clear();
        self.queue.clear();
    }

    /// Returns the number of running and of queued requests.
    pub(super) fn request_counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Enqueues a request; its chunks arrive on the returned channel.
    pub(super) fn enqueue(
        &mut self,
        id: Arc<str>,
        organisation: Arc<str>,
        request: CompletionRequest,
    ) -> Chunks {
        let (sender, receiver) = mpsc::unbounded_channel();
        let resumed_export = request.resume.as_ref();
        let spans = resumed_export.map_or_else(Vec::new, |export| export.versions.clone());
        let produced = spans.iter().map(|span| span.tokens).sum();
        let record = RunRecord {
            request_id: id.clone(),
            organisation,
            prompt: request.prompt.clone(),
            seed: request.seed,
            boot: self.boot,
            spans,
            finish_reason: None,
            got_slot: false,
        };
        self.records.push(record);
        self.queue.push(Job {
            record_index: self.records.len() - 1,
            id,
            target_tokens: self.target_tokens(&request),
            request,
            sender,
            produced,
            token_credit: 0.0,
            prefill_ms: 0.0,
            cancelled: false,
        });
        receiver
    }

    fn target_tokens(&self, request: &CompletionRequest) -> u32 {
        if self.vary_lengths {
            return expected_tokens(&request.prompt, request.seed, request.max_tokens);
        }
        request.max_tokens
    }

    /// Cancels a queued or running request; returns whether it was found.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        let jobs = self.running.iter_mut().chain(&mut self.queue);
        let mut found = false;
        for job in jobs.filter(|job| &*job.id == id) {
            job.cancelled = true;
            found = true;
        }
        found
    }

    /// Exports the state of a running request, so that another engine can resume it.
    pub(super) fn export(&self, id: &str) -> Option<KvExport> {
        let job = self.running.iter().find(|job| &*job.id == id)?;
        let words = (0..job.produced).map(|index| job.word(index));
        Some(KvExport {
            text: words.collect::<Vec<_>>().join(" "),
            versions: self.records[job.record_index].spans.clone(),
            state: format!("{:x}:{}", job.request.seed, job.produced),
        })
    }

    /// Advances the batch by `elapsed`. If a poisoned request crashes the engine, returns the
    /// milliseconds until it restarts.
    pub(super) fn step(
        &mut self,
        elapsed: Duration,
        version: u64,
        faults: &ActiveFaults,
        cache: &Mutex<PrefixCache>,
    ) -> Option<u64> {
        let restart_ms = self.fill_slots(faults, cache);
        if restart_ms.is_some() {
            return restart_ms;
        }
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let mut index = 0;
        while index < self.running.len() {
            if self.advance(index, elapsed_ms, version) {
                self.running.remove(index);
            } else {
                index += 1;
            }
        }
        None
    }

    fn fill_slots(&mut self, faults: &ActiveFaults, cache: &Mutex<PrefixCache>) -> Option<u64> {
        self.drop_cancelled();
        self.queue
            .sort_by_key(|job| (job.request.priority, job.record_index));
        while self.running.len() < self.slots && !self.queue.is_empty() {
            let mut job = self.queue.remove(0);
            let uncached_blocks = lock(cache).admit_prompt(&job.request.prompt);
            job.prefill_ms = uncached_blocks as f64 * self.prefill_ms_per_block;
            self.records[job.record_index].got_slot = true;
            let restart_ms = faults.poison_restart_ms(&job.request.prompt);
            if restart_ms.is_some() {
                return restart_ms;
            }
            self.running.push(job);
        }
        None
    }

    fn drop_cancelled(&mut self) {
        let records = &mut self.records;
        self.queue.retain(|job| {
            let finished = job.cancelled || job.sender.is_closed();
            if finished {
                records[job.record_index].finish_reason = Some("cancelled".into());
                let _ = job.sender.send(job.last_chunk("cancelled"));
            }
            !finished
        });
    }

    /// Advances one running request; returns whether it has finished.
    fn advance(&mut self, index: usize, elapsed_ms: f64, version: u64) -> bool {
        let job = &mut self.running[index];
        let record = &mut self.records[job.record_index];
        if job.cancelled || job.sender.is_closed() {
            record.finish_reason = Some("cancelled".into());
            let _ = job.sender.send(job.last_chunk("cancelled"));
            return true;
        }
        let generating_ms = elapsed_ms - job.prefill_ms;
        job.prefill_ms = (job.prefill_ms - elapsed_ms).max(0.0);
        job.token_credit += generating_ms.max(0.0) * self.tokens_per_ms;
        let tokens =
            (job.token_credit as u32).min(job.target_tokens - job.produced.min(job.target_tokens));
        job.token_credit -= f64::from(tokens);
        if tokens > 0 {
            append_span(&mut record.spans, version, tokens);
            self.generated_tokens += u64::from(tokens);
        }
        let reported_version = self.reports_versions.then_some(version);
        let mut chunk = job.chunk(tokens, reported_version);
        let finished = job.produced >= job.target_tokens;
        if finished {
            let reached_max_tokens = job.target_tokens == job.request.max_tokens;
            let reason: Arc<str> = if reached_max_tokens { "length" } else { "stop" }.into();
            record.finish_reason = Some(reason.clone());
            chunk.finish_reason = Some(reason);
        }
        if tokens > 0 || finished {
            let _ = job.sender.send(chunk);
        }
        finished
    }
}

impl Job {
    fn word(&self, index: u32) -> String {
        word(&self.request.prompt, self.request.seed, index)
    }

    /// Builds the chunk with the next `tokens` words.
    fn chunk(&mut self, tokens: u32, version: Option<u64>) -> CompletionChunk {
        let mut text = String::new();
        for index in self.produced..self.produced + tokens {
            if index > 0 {
                text.push(' ');
            }
            text.push_str(&self.word(index));
        }
        self.produced += tokens;
        CompletionChunk {
            id: self.id.clone(),
            text,
            tokens,
            version,
            finish_reason: None,
        }
    }

    fn last_chunk(&self, reason: &str) -> CompletionChunk {
        CompletionChunk {
            id: self.id.clone(),
            finish_reason: Some(reason.into()),
            ..CompletionChunk::default()
        }
    }
}

/// Appends tokens of a weight version, extending the last span if its version is the same.
pub(super) fn append_span(spans: &mut Vec<VersionSpan>, version: u64, tokens: u32) {
    match spans.last_mut() {
        Some(last) if last.version == version => last.tokens += tokens,
        _ => spans.push(VersionSpan { version, tokens }),
    }
}
