//! The home's side: a place in the queue, then one try at the endpoint.

use std::{
    cell::Cell,
    future::Future,
    sync::Arc,
    time::Duration, //
};

use tokio::time::{
    Instant,
    MissedTickBehavior, //
};

use crate::{
    dispatch::{
        entry::forward_from_peer,
        Class,
        Dispatcher,
        Message,
        Summary,
        Work,
        WorkBody,
        WorkEvent,
        WorkSender,
        WorkStream, //
    },
    engine::run::{
        stream_completion,
        AttemptEnd,
        RunControl,
        Target, //
    },
    home::table::{
        AdmissionRequest,
        RequestUsage,
        VersionReading, //
    },
    outcome::{
        NotRun,
        Outcome,
        Refusal, //
    },
    peer::PeerRequest,
    routing::fair::Flow,
    service::{
        self,
        Call, //
    },
    view::{
        EndpointKey,
        View, //
    },
    wire::{
        CompletionRequest,
        VersionSpan, //
    }, //
};

/// Time between two signs of life towards the entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Priority of interactive requests at engines; lower runs first.
const INTERACTIVE_PRIORITY: u8 = 0;

/// Priority of rollouts at engines.
const ROLLOUT_PRIORITY: u8 = 4;

/// Characters of a prompt to a token, for estimates.
const CHARS_PER_TOKEN: u64 = 4;

/// A prompt token's cost as a part of a generated one's.
const PROMPT_TOKENS_PER_TOKEN: u64 = 8;

/// What a plain call is expected to cost, in tokens.
const PLAIN_CALL_TOKENS: u64 = 16;

/// Time between two looks at whether an endpoint leaves.
const LEAVING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time that moving a completion away from a leaving endpoint may take.
const MOVE_MARGIN_MS: u64 = 500;

/// When to try again after the home of an endpoint moved.
const MOVED_RETRY_AFTER_MS: u64 = 100;

impl Dispatcher {
    /// Runs work on an endpoint at home; passes it on once where the home is elsewhere now.
    pub(crate) async fn run_as_home(
        &self,
        key: EndpointKey,
        work: Work,
        forwarded: bool,
        events: &WorkSender,
    ) {
        let routes = self.routes();
        let moved = match routes.endpoint(key) {
            Some(endpoint) => {
                (endpoint.home.instance != *self.instance.id()).then(|| endpoint.home.clone())
            }
            None => {
                let gone = Refusal::Unreachable("the endpoint is gone or leaving".into());
                return refuse(events, NotRun::retry_after(gone, MOVED_RETRY_AFTER_MS)).await;
            }
        };
        match (moved, self.instance.peers()) {
            (None, _) => self.run_here(key, work, events).await,
            (Some(home), Some(peers)) if !forwarded => {
                let message = Message::Run {
                    endpoint: key,
                    work: Box::new(work),
                    forwarded: true,
                };
                let request = PeerRequest::Dispatch(message);
                let replies = peers.open(&home.instance, &home.peer_address, request);
                let (passed, mut stream) = WorkStream::channel();
                tokio::join!(forward_from_peer(replies, passed), async {
                    while let Some(event) = stream.next().await {
                        if events.send(event).await.is_err() {
                            return;
                        }
                    }
                });
            }
            _ => {
                let moved = Refusal::Unreachable("the endpoint's home is moving".into());
                refuse(events, NotRun::retry_after(moved, MOVED_RETRY_AFTER_MS)).await;
            }
        }
    }

    async fn run_here(&self, key: EndpointKey, work: Work, events: &WorkSender) {
        let _guard = self.instance.begin_work();
        let deadline = Instant::now() + Duration::from_millis(work.budget_ms);
        let run = self.queue_and_run(key, &work, events, deadline);
        let end = self.with_heartbeats(key, events, run).await;
        let Some(end) = end else {
            return;
        };
        self.record_end(key, &work, &end.outcome);
        if end.connection_lost {
            let _ = events.send(WorkEvent::EndpointFailed).await;
        }
        if let Some(export) = end.resume_from {
            let _ = events.send(WorkEvent::Moved(export)).await;
        }
        let requests = self.endpoint_queues.requests(key);
        let _ = events.send(WorkEvent::Load { requests }).await;
        let _ = events.send(WorkEvent::Done(end.outcome)).await;
    }

    /// Runs `run` while telling the entry now and then that this home is alive, and how busy.
    async fn with_heartbeats<T>(
        &self,
        key: EndpointKey,
        events: &WorkSender,
        run: impl Future<Output = Option<T>>,
    ) -> Option<T> {
        let mut run = std::pin::pin!(run);
        let first = Instant::now() + HEARTBEAT_INTERVAL;
        let mut ticks = tokio::time::interval_at(first, HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                end = &mut run => return end,
                _ = ticks.tick() => {
                    let requests = self.endpoint_queues.requests(key);
                    // A full channel is a sign of life in itself.
                    let _ = events.try_send(WorkEvent::Load { requests });
                }
            }
        }
    }

    /// Waits for a place and runs; nothing comes back where the caller left the queue.
    async fn queue_and_run(
        &self,
        key: EndpointKey,
        work: &Work,
        events: &WorkSender,
        deadline: Instant,
    ) -> Option<AttemptEnd> {
        let offer = self.offer(work);
        let entered = tokio::select! {
            entered = self.endpoint_queues.admit(key, offer) => entered,
            () = events.closed() => return None,
            () = tokio::time::sleep_until(deadline) => {
                Err(NotRun::permanent(Refusal::Deadline))
            }
        };
        let mut place = match entered {
            Ok(place) => place,
            Err(not_run) => return Some(AttemptEnd::not_run(not_run)),
        };
        let target = self.endpoint_queues.target(key).map(|target| Target {
            key,
            id: target.id,
            address: target.address,
        });
        let Some(target) = target else {
            let gone = Refusal::Unreachable("the endpoint is gone".into());
            return Some(AttemptEnd::not_run(NotRun::retry_after(
                gone,
                MOVED_RETRY_AFTER_MS,
            )));
        };
        let started = Instant::now();
        let _ = events.send(WorkEvent::Started { endpoint: key }).await;
        let timeline = &self.instance.timeline;
        timeline.record("home.start", &work.request_id, &[("endpoint", &target.id)]);
        let end = self.run_at(&target, work, events, deadline).await;
        if end.connection_lost {
            place.connection_broke();
            drop(place);
            self.check_for_crash(key, &target.address).await;
            return Some(end);
        }
        if let Outcome::Ran(summary) = &end.outcome {
            if work.alone {
                self.report_cleared(work.fingerprint());
            }
            place.set_usage(RequestUsage {
                tokens: used_tokens(work, summary),
                ran_ms: started.elapsed().as_millis() as u64,
            });
        }
        Some(end)
    }

    async fn run_at(
        &self,
        target: &Target,
        work: &Work,
        events: &WorkSender,
        deadline: Instant,
    ) -> AttemptEnd {
        match &work.body {
            WorkBody::Completion(request) => {
                let mut request = request.clone();
                request.priority = priority(&work.class);
                self.run_completion(target, work, &request, events, deadline)
                    .await
            }
            WorkBody::Plain {
                method,
                path,
                headers,
                body,
            } => {
                let call = Call {
                    method,
                    path,
                    headers,
                    body,
                };
                service::call(target, work, &call, events, deadline).await
            }
        }
    }

    async fn run_completion(
        &self,
        target: &Target,
        work: &Work,
        request: &CompletionRequest,
        events: &WorkSender,
        deadline: Instant,
    ) -> AttemptEnd {
        let before = self.endpoint_queues.version_reading(target.key);
        let progress = Cell::new(0);
        let watch = RunControl {
            deadline,
            progress: &progress,
            must_migrate: Box::pin(self.must_move(target.key, request.max_tokens, &progress)),
        };
        let mut end = stream_completion(target, work, request, events, watch).await;
        if let Outcome::Ran(summary) = &mut end.outcome {
            if summary.versions.is_empty() && summary.tokens > 0 {
                summary.versions = self
                    .versions_from_status(target, before, summary.tokens)
                    .await;
            }
        }
        end
    }

    /// Ends when an endpoint goes before a completion there would end at its present speed.
    async fn must_move(&self, key: EndpointKey, max_tokens: u32, progress: &Cell<u32>) {
        let started = Instant::now();
        loop {
            tokio::time::sleep(LEAVING_CHECK_INTERVAL).await;
            let Some(left_ms) = self.endpoint_queues.leaving_in_ms(key) else {
                continue;
            };
            let ran_ms = started.elapsed().as_millis() as u64;
            let produced = u64::from(progress.get()).max(1);
            let remaining = u64::from(max_tokens).saturating_sub(produced);
            if ran_ms * remaining / produced + MOVE_MARGIN_MS > left_ms {
                return;
            }
        }
    }

    /// The versions of a completion whose engine told none: known only where the readings before
    /// and after agree.
    async fn versions_from_status(
        &self,
        target: &Target,
        before: Option<VersionReading>,
        tokens: u32,
    ) -> Vec<VersionSpan> {
        self.read_status(target.key, &target.address).await;
        match (before, self.endpoint_queues.version_reading(target.key)) {
            (Some(before), Some(after)) if before == after => vec![VersionSpan {
                version: before.version,
                tokens,
            }],
            _ => Vec::new(),
        }
    }

    fn offer(&self, work: &Work) -> AdmissionRequest {
        let weight = weight_of(&self.instance.view.load(), work);
        AdmissionRequest {
            ticket: self.endpoint_queues.new_ticket(),
            flow: Flow::new(&work.class, &work.organisation, weight),
            cost_tokens: expected_tokens(&work.body),
            deadline_ms: self.instance.now_ms() + work.budget_ms,
            oldest_version: work.oldest_version,
            exclusive: work.alone,
            fingerprint: work.fingerprint(),
        }
    }

    fn record_end(&self, key: EndpointKey, work: &Work, outcome: &Outcome<Summary>) {
        let word = outcome.label();
        let reason: Arc<str> = match outcome {
            Outcome::Ran(_) => "".into(),
            Outcome::NotRun(not_run) => format!("{:?}", not_run.refusal).into(),
            Outcome::Unknown(reason) => reason.clone(),
        };
        let fields: [(&str, &dyn std::fmt::Display); 3] = [
            ("endpoint", &key.0),
            ("outcome", &word),
            ("reason", &reason),
        ];
        let timeline = &self.instance.timeline;
        timeline.record("home.end", &work.request_id, &fields);
    }
}

async fn refuse(events: &WorkSender, not_run: NotRun) {
    let produced = WorkEvent::Done(Outcome::NotRun(not_run));
    let _ = events.send(produced).await;
}

fn priority(class: &Class) -> u8 {
    match class {
        Class::Interactive => INTERACTIVE_PRIORITY,
        Class::Rollout { .. } => ROLLOUT_PRIORITY,
    }
}

fn weight_of(view: &View, work: &Work) -> u32 {
    let configuration = &view.configuration;
    let weight = match &work.class {
        Class::Interactive => configuration
            .organisation(&work.organisation)
            .map(|organisation| organisation.weight),
        Class::Rollout { trainer } => configuration.trainer(trainer).map(|trainer| trainer.weight),
    };
    weight.unwrap_or(1)
}

/// The tokens that a piece of work is expected to use.
pub(crate) fn expected_tokens(body: &WorkBody) -> u64 {
    match body {
        WorkBody::Completion(request) => prompt_cost(request) + u64::from(request.max_tokens),
        WorkBody::Plain { .. } => PLAIN_CALL_TOKENS,
    }
}

/// The tokens that a finished piece of work used.
pub(crate) fn used_tokens(work: &Work, summary: &Summary) -> u64 {
    match &work.body {
        WorkBody::Completion(request) => prompt_cost(request) + u64::from(summary.tokens),
        WorkBody::Plain { .. } => PLAIN_CALL_TOKENS,
    }
}

fn prompt_cost(request: &CompletionRequest) -> u64 {
    request.prompt.len() as u64 / CHARS_PER_TOKEN / PROMPT_TOKENS_PER_TOKEN
}
