//! What of one request's answer went to its caller, and what another try may add to it.

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

/// Bytes of an answer that are held until its end, so that a try that breaks can be repeated.
const MAX_HELD_BYTES: usize = 1 << 20;

/// The caller does not listen any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// Where the events of one request go, and which of them are held back.
///
/// Another try may follow where nothing of the failed one went out, or where the answer so far is
/// exactly the exported state that the next engine goes on from.
pub(crate) struct Delivery {
    /// Tries during which the endpoint broke off.
    pub(crate) broken_attempts: u32,
    /// Times that the request moved on from a leaving engine.
    pub(crate) moves: u32,
    /// The exported state that the next try goes on from.
    pub(crate) resume_from: Option<KvExport>,
    events: WorkSender,
    request_id: Arc<str>,
    held: Vec<WorkEvent>,
    held_bytes: usize,
    is_holding: bool,
    /// Parts of an answer went to the caller.
    is_committed: bool,
    /// The present try added to the answer.
    is_dirty: bool,
    /// The present try ended by has_moved on.
    has_moved: bool,
    /// Some try may have run, so that no later refusal makes the request one that did not run.
    may_have_run: bool,
    text: String,
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
            moves: 0,
            resume_from: None,
            events,
            request_id: work.request_id.clone(),
            held: Vec::new(),
            held_bytes: 0,
            is_holding,
            is_committed: false,
            is_dirty: false,
            has_moved: false,
            may_have_run: false,
            text: String::new(),
            tokens: 0,
        }
    }

    /// Ends once the caller is gone.
    pub(crate) async fn caller_gone(&self) {
        self.events.closed().await;
    }

    /// Takes in an event of the present try.
    pub(crate) async fn accept(&mut self, event: WorkEvent) -> Result<(), CallerGone> {
        match event {
            WorkEvent::Started { .. } => self.send(event).await,
            WorkEvent::Chunk(mut chunk) => {
                // Repeated tries run under ids of their own; the caller sees the first.
                chunk.id = self.request_id.clone();
                self.text.push_str(&chunk.text);
                self.tokens += chunk.tokens;
                self.add(WorkEvent::Chunk(chunk)).await
            }
            other => self.add(other).await,
        }
    }

    /// Takes in the state that another engine can go on from, and fills the answer up to it.
    pub(crate) async fn moved(&mut self, export: KvExport) -> Result<(), CallerGone> {
        let Some(rest) = export.text.strip_prefix(&*self.text) else {
            return Ok(());
        };
        let produced = tokens_of(&export.versions);
        if produced < self.tokens {
            return Ok(());
        }
        if !rest.is_empty() {
            let chunk = CompletionChunk {
                id: self.request_id.clone(),
                text: rest.to_owned(),
                tokens: produced - self.tokens,
                ..CompletionChunk::default()
            };
            self.accept(WorkEvent::Chunk(chunk)).await?;
        }
        self.resume_from = Some(export);
        self.is_dirty = false;
        self.has_moved = true;
        self.may_have_run = true;
        self.moves += 1;
        Ok(())
    }

    /// Whether the present try ended by has_moved on; asked once.
    pub(crate) fn take_moved_flag(&mut self) -> bool {
        std::mem::take(&mut self.has_moved)
    }

    /// Whether another try can't give the caller parts of two answers.
    pub(crate) fn may_retry(&self) -> bool {
        !self.is_dirty || !self.is_committed
    }

    /// Forgets what a failed try left behind, before another one.
    pub(crate) fn reset_attempt(&mut self) {
        if !self.is_dirty {
            return;
        }
        self.held.clear();
        self.held_bytes = 0;
        self.text.clear();
        self.tokens = 0;
        self.resume_from = None;
        self.is_dirty = false;
    }

    /// Adds what earlier engines did to how the last try ended.
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

    /// What may be said of all tries together.
    fn combined_outcome(&self, outcome: Outcome<Summary>) -> Outcome<Summary> {
        match outcome {
            Outcome::NotRun(_) if self.may_have_run => {
                Outcome::Unknown("an earlier try may have run".into())
            }
            outcome => outcome,
        }
    }

    /// Gives the caller what was held of a good answer, and the outcome.
    pub(crate) async fn complete(&mut self, outcome: Outcome<Summary>) {
        let outcome = self.combined_outcome(outcome);
        if matches!(outcome, Outcome::Ran(_)) && self.release().await.is_err() {
            return;
        }
        let _ = self.send(WorkEvent::Done(outcome)).await;
    }

    async fn add(&mut self, event: WorkEvent) -> Result<(), CallerGone> {
        self.is_dirty = true;
        if !self.is_holding {
            self.is_committed = true;
            return self.send(event).await;
        }
        self.held_bytes += size(&event);
        self.held.push(event);
        if self.held_bytes > MAX_HELD_BYTES {
            self.is_holding = false;
            self.release().await?;
        }
        Ok(())
    }

    async fn release(&mut self) -> Result<(), CallerGone> {
        self.is_committed = true;
        for event in std::mem::take(&mut self.held) {
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

fn size(event: &WorkEvent) -> usize {
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

    fn work(stream: bool) -> Work {
        Work {
            request_id: "r1".into(),
            organisation: "org".into(),
            key_id: None,
            service: "draft".into(),
            class: Class::Interactive,
            body: WorkBody::Completion(CompletionRequest {
                stream,
                ..CompletionRequest::default()
            }),
            budget_ms: 1_000,
            idempotent: true,
            avoid: Vec::new(),
            oldest_version: 0,
            alone: false,
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
    fn a_failed_try_leaves_nothing_behind_where_the_answer_is_held() {
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

    /// The first try's answer was lost after the effect, and the last was refused: saying "not
    /// run" of the request would be false.
    #[test]
    fn a_refusal_after_an_unknown_try_does_not_say_not_run() {
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
    fn a_stream_that_broke_is_not_tried_again() {
        block_on(async {
            let (events, _stream) = WorkStream::channel();
            let mut delivery = Delivery::new(&work(true), events);
            assert!(delivery.may_retry());
            assert_eq!(delivery.accept(chunk("half", 1)).await, Ok(()));
            assert!(!delivery.may_retry());
        });
    }

    #[test]
    fn a_stream_goes_on_from_an_export_without_a_gap_or_a_repeat() {
        block_on(async {
            let (events, mut stream) = WorkStream::channel();
            let mut delivery = Delivery::new(&work(true), events);
            assert_eq!(delivery.accept(chunk("one two", 2)).await, Ok(()));
            let exported = export("one two three", 3);
            assert_eq!(delivery.moved(exported).await, Ok(()));
            assert!(delivery.take_moved_flag() && delivery.may_retry());
            assert_eq!(delivery.accept(chunk(" four", 1)).await, Ok(()));
            let outcome = delivery.merge_earlier_attempts(ran(1));
            let Outcome::Ran(summary) = &outcome else {
                panic!("it ran");
            };
            assert_eq!(summary.tokens, 4);
            let spans: Vec<_> = summary
                .versions
                .iter()
                .map(|s| (s.version, s.tokens))
                .collect();
            assert_eq!(spans, [(4, 3), (5, 1)]);
            delivery.complete(outcome).await;
            assert_eq!(text(&mut stream).await, "one two three four");
        });
    }

    #[test]
    fn an_export_that_does_not_fit_the_answer_is_not_gone_on_from() {
        block_on(async {
            let (events, _stream) = WorkStream::channel();
            let mut delivery = Delivery::new(&work(true), events);
            assert_eq!(delivery.accept(chunk("one two", 2)).await, Ok(()));
            assert_eq!(delivery.moved(export("another", 3)).await, Ok(()));
            assert!(!delivery.take_moved_flag());
            assert!(!delivery.may_retry());
        });
    }
}
