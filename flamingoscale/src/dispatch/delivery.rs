//! Tracks which part of a request's answer the caller has received, and whether another attempt may
//! add to the answer.

use std::sync::Arc;

use crate::{
    dispatch::{
        Summary,
        Work,
        WorkBody,
        WorkEvent,
        WorkSender, //
    },
    engine::run::add_span,
    outcome::Outcome,
    wire::{
        CompletionChunk,
        KvExport,
        VersionSpan, //
    }, //
};

/// Maximum size of an answer that is held back until its end, so that a failed attempt can be
/// retried.
const MAX_HELD_BYTES: usize = 1 << 20;

/// The caller has dropped the stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// Delivers the events of one request to its caller, and holds some of them back.
///
/// Another attempt may follow if the caller has received nothing from the failed one, or if the
/// answer so far is exactly the exported state from which the next engine resumes.
pub(crate) struct Delivery {
    /// Number of attempts during which the connection to the endpoint broke.
    pub(crate) broken_attempts: u32,
    /// Number of moves away from leaving engines.
    pub(crate) move_count: u32,
    /// The exported state from which the next attempt resumes.
    pub(crate) resume_from: Option<KvExport>,
    events: WorkSender,
    request_id: Arc<str>,
    /// Events that are held back until the outcome is known.
    held_events: Vec<WorkEvent>,
    held_bytes: usize,
    /// Whether events are held back; false for streamed answers and after [`MAX_HELD_BYTES`].
    is_holding: bool,
    /// Whether parts of an answer were sent to the caller.
    is_committed: bool,
    /// Whether the current attempt has added to the answer.
    has_added_to_answer: bool,
    /// Whether the current attempt ended by moving away from a leaving engine.
    has_moved: bool,
    /// Whether any attempt may have run, in which case a later refusal must not report the request
    /// as not run.
    may_have_run: bool,
    /// The text of the answer so far, including the held events.
    text: String,
    /// The number of tokens in `text`.
    tokens: u32,
}

impl Delivery {
    pub(crate) fn new(work: &Work, events: WorkSender) -> Self {
        let is_holding = match &work.body {
            WorkBody::Completion(request) => !request.stream,
            WorkBody::Plain { .. } => true,
        };
        Self {
            broken_attempts: 0,
            move_count: 0,
            resume_from: None,
            events,
            request_id: work.request_id.clone(),
            held_events: Vec::new(),
            held_bytes: 0,
            is_holding,
            is_committed: false,
            has_added_to_answer: false,
            has_moved: false,
            may_have_run: false,
            text: String::new(),
            tokens: 0,
        }
    }

    /// Returns once the caller has dropped the stream.
    pub(crate) async fn caller_gone(&self) {
        self.events.closed().await;
    }

    /// Processes an event of the current attempt.
    pub(crate) async fn accept(&mut self, event: WorkEvent) -> Result<(), CallerGone> {
        match event {
            WorkEvent::Started { .. } => self.send(event).await,
            WorkEvent::Chunk(mut chunk) => {
                // Retries run under request ids of their own; the caller sees the original id.
                chunk.id = self.request_id.clone();
                self.text.push_str(&chunk.text);
                self.tokens += chunk.tokens;
                self.add_to_answer(WorkEvent::Chunk(chunk)).await
            }
            event => self.add_to_answer(event).await,
        }
    }

    /// Processes the state from which another engine can resume, and sends the part of its text
    /// that the answer lacks. A state that does not continue the answer is ignored.
    pub(crate) async fn accept_export(&mut self, export: KvExport) -> Result<(), CallerGone> {
        let Some(missing_text) = export.text.strip_prefix(&*self.text) else {
            return Ok(());
        };
        let produced = tokens_of(&export.versions);
        if produced < self.tokens {
            return Ok(());
        }
        if !missing_text.is_empty() {
            let chunk = CompletionChunk {
                id: self.request_id.clone(),
                text: missing_text.to_owned(),
                tokens: produced - self.tokens,
                ..CompletionChunk::default()
            };
            self.accept(WorkEvent::Chunk(chunk)).await?;
        }
        self.resume_from = Some(export);
        self.has_added_to_answer = false;
        self.has_moved = true;
        self.may_have_run = true;
        self.move_count += 1;
        Ok(())
    }

    /// Returns whether the current attempt ended by a move, and resets the flag.
    pub(crate) fn take_moved_flag(&mut self) -> bool {
        std::mem::take(&mut self.has_moved)
    }

    /// Returns whether another attempt may follow without mixing parts of two answers.
    pub(crate) fn may_retry(&self) -> bool {
        !self.has_added_to_answer || !self.is_committed
    }

    /// Discards the partial answer of a failed attempt before a retry.
    pub(crate) fn reset_attempt(&mut self) {
        if !self.has_added_to_answer {
            return;
        }
        self.held_events.clear();
        self.held_bytes = 0;
        self.text.clear();
        self.tokens = 0;
        self.resume_from = None;
        self.has_added_to_answer = false;
    }

    /// Merges the tokens and versions of earlier engines into the outcome of the last attempt.
    pub(crate) fn merge_earlier_attempts(&mut self, outcome: Outcome<Summary>) -> Outcome<Summary> {
        match (outcome, &self.resume_from) {
            (Outcome::Ran(mut summary), Some(earlier)) => {
                let has_versions = !earlier.versions.is_empty() && !summary.versions.is_empty();
                let later = std::mem::take(&mut summary.versions);
                if has_versions {
                    summary.versions = earlier.versions.clone();
                    for span in later {
                        add_span(&mut summary.versions, span.version, span.tokens);
                    }
                }
                summary.tokens += tokens_of(&earlier.versions);
                Outcome::Ran(summary)
            }
            (outcome, _) => {
                self.may_have_run |= matches!(outcome, Outcome::Unknown(_));
                outcome
            }
        }
    }

    /// Returns the outcome of all attempts together: a refusal becomes unknown if an earlier
    /// attempt may have run.
    fn combined_outcome(&self, outcome: Outcome<Summary>) -> Outcome<Summary> {
        match outcome {
            Outcome::NotRun(_) if self.may_have_run => {
                Outcome::Unknown("an earlier try may have run".into())
            }
            outcome => outcome,
        }
    }

    /// Sends the caller the held-back events, if the work ran, and then the outcome.
    pub(crate) async fn complete(&mut self, outcome: Outcome<Summary>) {
        let outcome = self.combined_outcome(outcome);
        if matches!(outcome, Outcome::Ran(_)) && self.release_held_events().await.is_err() {
            return;
        }
        let _ = self.send(WorkEvent::Done(outcome)).await;
    }

    async fn add_to_answer(&mut self, event: WorkEvent) -> Result<(), CallerGone> {
        self.has_added_to_answer = true;
        if !self.is_holding {
            self.is_committed = true;
            return self.send(event).await;
        }
        self.held_bytes += event_bytes(&event);
        self.held_events.push(event);
        if self.held_bytes > MAX_HELD_BYTES {
            self.is_holding = false;
            self.release_held_events().await?;
        }
        Ok(())
    }

    async fn release_held_events(&mut self) -> Result<(), CallerGone> {
        self.is_committed = true;
        for event in std::mem::take(&mut self.held_events) {
            self.send(event).await?;
        }
        Ok(())
    }

    async fn send(&self, event: WorkEvent) -> Result<(), CallerGone> {
        self.events.send(event).await.map_err(|_| CallerGone)
    }
}

fn tokens_of(spans: &[VersionSpan]) -> u32 {
    spans.iter().map(|span| span.tokens).sum()
}

fn event_bytes(event: &WorkEvent) -> usize {
    match event {
        WorkEvent::Chunk(chunk) => chunk.text.len() + std::mem::size_of_val(chunk),
        WorkEvent::Body(bytes) => bytes.len(),
        _ => 0,
    }
}

#[cfg(test)]
mod tests {
    use futures::executor::block_on;

    use super::*;
    use crate::{
        dispatch::{
            Class,
            WorkStream, //
        },
        outcome::{
            NotRun,
            Refusal, //
        },
        wire::CompletionRequest, //
    };

    fn work(is_streaming: bool) -> Work {
        Work {
            request_id: "r1".into(),
            organisation: "org".into(),
            key_id: None,
            service: "draft".into(),
            class: Class::Interactive,
            body: WorkBody::Completion(CompletionRequest {
                stream: is_streaming,
                ..CompletionRequest::default()
            }),
            budget_ms: 1_000,
            idempotent: true,
            avoid: Vec::new(),
            oldest_version: 0,
            exclusive: false,
        }
    }

    fn chunk(text: &str, tokens: u32) -> WorkEvent {
        WorkEvent::Chunk(CompletionChunk {
            id: "r1.2".into(),
            text: text.into(),
            tokens,
            ..CompletionChunk::default()
        })
    }

    fn export(text: &str, tokens: u32) -> KvExport {
        KvExport {
            text: text.into(),
            versions: vec![VersionSpan { version: 4, tokens }],
            state: "s".into(),
        }
    }

    fn ran(tokens: u32) -> Outcome<Summary> {
        Outcome::Ran(Summary {
            tokens,
            versions: vec![VersionSpan { version: 5, tokens }],
            ..Summary::default()
        })
    }

    async fn text(stream: &mut WorkStream) -> String {
        let mut text = String::new();
        while let Some(event) = stream.next().await {
            match event {
                WorkEvent::Chunk(chunk) => text.push_str(&chunk.text),
                WorkEvent::Done(_) => break,
                _ => {}
            }
        }
        text
    }

    #[test]
    fn a_failed_attempt_is_discarded_while_the_answer_is_held_back() {
        block_on(async {
            let (events, mut stream) = WorkStream::channel();
            let mut delivery = Delivery::new(&work(false), events);
            assert_eq!(delivery.accept(chunk("half", 1)).await, Ok(()));
            assert!(delivery.may_retry());
            delivery.reset_attempt();
            assert_eq!(delivery.accept(chunk("whole", 1)).await, Ok(()));
            delivery.complete(ran(1)).await;
            assert_eq!(text(&mut stream).await, "whole");
        });
    }

    /// The answer to the first attempt is lost after the engine may have run it, and the last
    /// attempt is refused. Reporting the request as not run would be false.
    #[test]
    fn a_refusal_after_an_unknown_attempt_is_not_reported_as_not_run() {
        block_on(async {
            let (events, mut stream) = WorkStream::channel();
            let mut delivery = Delivery::new(&work(false), events);
            let _ = delivery.merge_earlier_attempts(Outcome::Unknown("lost".into()));
            let past_deadline = NotRun::permanent(Refusal::Deadline);
            let refused = delivery.merge_earlier_attempts(Outcome::NotRun(past_deadline));
            delivery.complete(refused).await;
            let event = stream.next().await;
            assert!(matches!(event, Some(WorkEvent::Done(Outcome::Unknown(_)))));
        });
    }

    #[test]
    fn a_streamed_answer_is_not_retried_once_a_part_was_sent() {
        block_on(async {
            let (events, _stream) = WorkStream::channel();
            let mut delivery = Delivery::new(&work(true), events);
            assert!(delivery.may_retry());
            assert_eq!(delivery.accept(chunk("half", 1)).await, Ok(()));
            assert!(!delivery.may_retry());
        });
    }

    #[test]
    fn a_stream_resumes_from_an_export_without_gap_or_duplicate() {
        block_on(async {
            let (events, mut stream) = WorkStream::channel();
            let mut delivery = Delivery::new(&work(true), events);
            assert_eq!(delivery.accept(chunk("one two", 2)).await, Ok(()));
            let exported = export("one two three", 3);
            assert_eq!(delivery.accept_export(exported).await, Ok(()));
            assert!(delivery.take_moved_flag() && delivery.may_retry());
            assert_eq!(delivery.accept(chunk(" four", 1)).await, Ok(()));
            let outcome = delivery.merge_earlier_attempts(ran(1));
            let Outcome::Ran(summary) = &outcome else {
                panic!("the outcome must be `Ran`");
            };
            assert_eq!(summary.tokens, 4);
            let spans: Vec<_> = summary
                .versions
                .iter()
                .map(|span| (span.version, span.tokens))
                .collect();
            assert_eq!(spans, [(4, 3), (5, 1)]);
            delivery.complete(outcome).await;
            assert_eq!(text(&mut stream).await, "one two three four");
        });
    }

    #[test]
    fn an_export_that_does_not_continue_the_answer_is_ignored() {
        block_on(async {
            let (events, _stream) = WorkStream::channel();
            let mut delivery = Delivery::new(&work(true), events);
            assert_eq!(delivery.accept(chunk("one two", 2)).await, Ok(()));
            assert_eq!(delivery.accept_export(export("another", 3)).await, Ok(()));
            assert!(!delivery.take_moved_flag());
            assert!(!delivery.may_retry());
        });
    }
}
