//! The home side: waits for admission and makes one attempt at the endpoint.

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

/// Interval between heartbeats to the entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Priority of interactive requests at engines; a lower value runs first.
const INTERACTIVE_PRIORITY: u8 = 0;

/// Priority of rollouts at engines.
const ROLLOUT_PRIORITY: u8 = 4;

/// Estimated number of prompt characters per token.
const CHARS_PER_TOKEN: u64 = 4;

/// Number of prompt tokens that cost as much as one generated token.
const PROMPT_TOKENS_PER_TOKEN: u64 = 8;

/// Estimated cost of a plain call, in tokens.
const PLAIN_CALL_TOKENS: u64 = 16;

/// Interval between checks whether an endpoint is leaving.
const LEAVING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time reserved for moving a completion away from a leaving endpoint.
const MOVE_MARGIN_MS: u64 = 500;

/// Suggested retry delay when the home of an endpoint has moved or the endpoint is gone.
const MOVED_RETRY_AFTER_MS: u64 = 100;

impl Dispatcher {
    /// Runs work on an endpoint whose home is this instance. If its home is now another instance,
    /// forwards the work there, but only once.
    pub(crate) async fn run_as_home(
        &self,
        key: EndpointKey,
        work: Work,
        forwarded: bool,
        events: &WorkSender,
    ) {
        let routes = self.routes();
        let new_home = match routes.endpoint(key) {
            Some(endpoint) => {
                (endpoint.home.instance != *self.instance.id()).then(|| endpoint.home.clone())
            }
            None => {
                let unreachable = Refusal::Unreachable("the endpoint is gone or leaving".into());
                return refuse(
                    events,
                    NotRun::retry_after(unreachable, MOVED_RETRY_AFTER_MS),
                )
                .await;
            }
        };
        match (new_home, self.instance.peers()) {
            (None, _) => self.run_here(key, work, events).await,
            (Some(home), Some(peers)) if !forwarded => {
                let message = Message::Run {
                    endpoint: key,
                    work: Box::new(work),
                    forwarded: true,
                };
                let request = PeerRequest::Dispatch(message);
                let replies = peers.open(&home.instance, &home.peer_address, request);
                let (forwarded_events, mut stream) = WorkStream::channel();
                tokio::join!(forward_from_peer(replies, forwarded_events), async {
                    while let Some(event) = stream.next().await {
                        if events.send(event).await.is_err() {
                            return;
                        }
                    }
                });
            }
            _ => {
                let unreachable = Refusal::Unreachable("the endpoint's home is moving".into());
                refuse(
                    events,
                    NotRun::retry_after(unreachable, MOVED_RETRY_AFTER_MS),
                )
                .await;
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
        let requests = self.admission.requests(key);
        let _ = events.send(WorkEvent::Load { requests }).await;
        let _ = events.send(WorkEvent::Done(end.outcome)).await;
    }

    /// Runs `run` while periodically sending the entry a heartbeat with the endpoint's load.
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
                    let requests = self.admission.requests(key);
                    // If the channel is full, the events in it already show the entry that the home
                    // is alive, so the heartbeat may be dropped.
                    let _ = events.try_send(WorkEvent::Load { requests });
                }
            }
        }
    }

    /// Waits in the endpoint's queue and runs the work; returns `None` if the caller cancelled
    /// while the work was queued.
    async fn queue_and_run(
        &self,
        key: EndpointKey,
        work: &Work,
        events: &WorkSender,
        deadline: Instant,
    ) -> Option<AttemptEnd> {
        let admission_request = self.admission_request(work);
        let admitted = tokio::select! {
            admitted = self.admission.admit(key, admission_request) => admitted,
            () = events.closed() => return None,
            () = tokio::time::sleep_until(deadline) => {
                Err(NotRun::permanent(Refusal::Deadline))
            }
        };
        let mut permit = match admitted {
            Ok(permit) => permit,
            Err(not_run) => return Some(AttemptEnd::not_run(not_run)),
        };
        let target = self.admission.target(key).map(|target| Target {
            key,
            id: target.id,
            address: target.address,
        });
        let Some(target) = target else {
            let unreachable = Refusal::Unreachable("the endpoint is gone".into());
            return Some(AttemptEnd::not_run(NotRun::retry_after(
                unreachable,
                MOVED_RETRY_AFTER_MS,
            )));
        };
        let started = Instant::now();
        let _ = events.send(WorkEvent::Started { endpoint: key }).await;
        let timeline = &self.instance.timeline;
        timeline.record("home.start", &work.request_id, &[("endpoint", &target.id)]);
        let end = self.run_at(&target, work, events, deadline).await;
        if end.connection_lost {
            permit.connection_broke();
            drop(permit);
            self.check_for_crash(key, &target.address).await;
            return Some(end);
        }
        if let Outcome::Ran(summary) = &end.outcome {
            if work.exclusive {
                self.report_cleared(work.fingerprint());
            }
            permit.set_usage(RequestUsage {
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
        let before = self.admission.version_reading(target.key);
        let progress = Cell::new(0);
        let control = RunControl {
            deadline,
            progress: &progress,
            must_migrate: Box::pin(self.until_must_move(target.key, request.max_tokens, &progress)),
        };
        let mut end = stream_completion(target, work, request, events, control).await;
        if let Outcome::Ran(summary) = &mut end.outcome {
            if summary.versions.is_empty() && summary.tokens > 0 {
                summary.versions = self
                    .versions_from_status(target, before, summary.tokens)
                    .await;
            }
        }
        end
    }

    /// Returns once the endpoint will leave before the completion would end at its current speed.
    async fn until_must_move(&self, key: EndpointKey, max_tokens: u32, progress: &Cell<u32>) {
        let started = Instant::now();
        loop {
            tokio::time::sleep(LEAVING_CHECK_INTERVAL).await;
            let Some(leaves_in_ms) = self.admission.leaving_in_ms(key) else {
                continue;
            };
            let ran_ms = started.elapsed().as_millis() as u64;
            let produced_tokens = u64::from(progress.get()).max(1);
            let remaining_tokens = u64::from(max_tokens).saturating_sub(produced_tokens);
            if ran_ms * remaining_tokens / produced_tokens + MOVE_MARGIN_MS > leaves_in_ms {
                return;
            }
        }
    }

    /// Returns the versions of a completion whose engine reported none. They are known only if the
    /// statuses read before and after it show the same version.
    async fn versions_from_status(
        &self,
        target: &Target,
        before: Option<VersionReading>,
        tokens: u32,
    ) -> Vec<VersionSpan> {
        self.read_status(target.key, &target.address).await;
        match (before, self.admission.version_reading(target.key)) {
            (Some(before), Some(after)) if before == after => vec![VersionSpan {
                version: before.version,
                tokens,
            }],
            _ => Vec::new(),
        }
    }

    fn admission_request(&self, work: &Work) -> AdmissionRequest {
        let weight = scheduling_weight(&self.instance.view.load(), work);
        AdmissionRequest {
            ticket: self.admission.new_ticket(),
            flow: Flow::new(&work.class, &work.organisation, weight),
            cost_tokens: expected_tokens(&work.body),
            deadline_ms: self.instance.now_ms() + work.budget_ms,
            oldest_version: work.oldest_version,
            exclusive: work.exclusive,
            fingerprint: work.fingerprint(),
        }
    }

    fn record_end(&self, key: EndpointKey, work: &Work, outcome: &Outcome<Summary>) {
        let label = outcome.label();
        let reason: Arc<str> = match outcome {
            Outcome::Ran(_) => "".into(),
            Outcome::NotRun(not_run) => format!("{:?}", not_run.refusal).into(),
            Outcome::Unknown(reason) => reason.clone(),
        };
        let fields: [(&str, &dyn std::fmt::Display); 3] = [
            ("endpoint", &key.0),
            ("outcome", &label),
            ("reason", &reason),
        ];
        let timeline = &self.instance.timeline;
        timeline.record("home.end", &work.request_id, &fields);
    }
}

async fn refuse(events: &WorkSender, not_run: NotRun) {
    let event = WorkEvent::Done(Outcome::NotRun(not_run));
    let _ = events.send(event).await;
}

fn priority(class: &Class) -> u8 {
    match class {
        Class::Interactive => INTERACTIVE_PRIORITY,
        Class::Rollout { .. } => ROLLOUT_PRIORITY,
    }
}

fn scheduling_weight(view: &View, work: &Work) -> u32 {
    let configuration = &view.configuration;
    let weight = match &work.class {
        Class::Interactive => configuration
            .organisation(&work.organisation)
            .map(|organisation| organisation.weight),
        Class::Rollout { trainer } => configuration.trainer(trainer).map(|trainer| trainer.weight),
    };
    weight.unwrap_or(1)
}

/// Returns the tokens that a piece of work is expected to use.
pub(crate) fn expected_tokens(body: &WorkBody) -> u64 {
    match body {
        WorkBody::Completion(request) => {
            prompt_cost_tokens(request) + u64::from(request.max_tokens)
        }
        WorkBody::Plain { .. } => PLAIN_CALL_TOKENS,
    }
}

/// Returns the tokens that a finished piece of work used.
pub(crate) fn used_tokens(work: &Work, summary: &Summary) -> u64 {
    match &work.body {
        WorkBody::Completion(request) => prompt_cost_tokens(request) + u64::from(summary.tokens),
        WorkBody::Plain { .. } => PLAIN_CALL_TOKENS,
    }
}

fn prompt_cost_tokens(request: &CompletionRequest) -> u64 {
    request.prompt.len() as u64 / CHARS_PER_TOKEN / PROMPT_TOKENS_PER_TOKEN
}
