//! The entry side: chooses an endpoint, sends the work to its home, and retries where that is safe.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::{
    timeout,
    Instant, //
};

use crate::{
    dispatch::{
        delivery::{
            CallerGone,
            Delivery, //
        },
        Dispatcher,
        Message,
        Summary,
        Work,
        WorkBody,
        WorkEvent,
        WorkSender,
        WorkStream, //
    },
    outcome::{
        NotRun,
        Outcome,
        Refusal, //
    },
    peer::{
        PeerError,
        PeerReply,
        PeerRequest,
        PeerStream, //
    },
    routing::{
        retry::{
            Retries,
            RetryDecision, //
        },
        table::{
            prompt_affinity,
            RouteEndpoint, //
        }, //
    }, //
};

/// A home that sends no event or heartbeat for this long counts as failed.
const HOME_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time after the deadline within which a home must report the outcome.
const DEADLINE_GRACE_MS: u64 = 250;

/// How long to avoid an endpoint or home that could not be reached.
const SUSPENSION_MS: u64 = 500;

/// Number of attempts during which the connection to the endpoint broke, after which a request is
/// abandoned.
const MAX_BROKEN_ATTEMPTS: u32 = 2;

/// Number of times that one request may move away from leaving endpoints without backoff and
/// outside the retry budget.
const MAX_MOVES: u32 = 8;

/// Suggested retry delay for a caller when no endpoint is available.
const NO_ENDPOINT_RETRY_AFTER_MS: u64 = 2_000;

impl Dispatcher {
    /// Runs work until an attempt succeeds or no retry is allowed.
    pub(crate) async fn run_as_entry(self: Arc<Self>, work: Work, events: WorkSender) {
        let request_id = work.request_id.clone();
        let mut delivery = Delivery::new(&work, events);
        self.retry_budget().deposit();
        match self.run_attempts(work, &mut delivery).await {
            Ok(outcome) => delivery.complete(outcome).await,
            Err(CallerGone) => {
                let timeline = &self.instance.timeline;
                timeline.record("dispatch.cancelled", &request_id, &[]);
            }
        }
    }

    async fn run_attempts(
        &self,
        mut work: Work,
        delivery: &mut Delivery,
    ) -> Result<Outcome<Summary>, CallerGone> {
        let deadline_ms = self.instance.now_ms() + work.budget_ms;
        let mut retries = Retries::default();
        let mut attempt_number = 1;
        loop {
            let remaining_ms = deadline_ms.saturating_sub(self.instance.now_ms());
            if remaining_ms == 0 {
                let past_deadline = NotRun::permanent(Refusal::Deadline);
                return Ok(delivery.merge_earlier_attempts(Outcome::NotRun(past_deadline)));
            }
            work.budget_ms = remaining_ms;
            let outcome = self
                .run_attempt(&mut work, attempt_number, delivery)
                .await?;
            let outcome = delivery.merge_earlier_attempts(outcome);
            let is_final = !delivery.may_retry() || delivery.broken_attempts >= MAX_BROKEN_ATTEMPTS;
            if matches!(outcome, Outcome::Ran(_)) || is_final {
                return Ok(outcome);
            }
            attempt_number += 1;
            if delivery.take_moved_flag() && delivery.move_count <= MAX_MOVES {
                self.record_retry(&work, &outcome, 0);
                continue;
            }
            // The request itself may have caused the broken attempt, so all further attempts run
            // with no other request on their endpoint.
            work.exclusive |= delivery.broken_attempts > 0;
            let remaining_ms = deadline_ms.saturating_sub(self.instance.now_ms());
            let decision =
                retries.decide(&outcome, work.idempotent, remaining_ms, &mut rand::rng());
            let RetryDecision::Retry { wait_ms } = decision else {
                return Ok(outcome);
            };
            if !self.retry_budget().withdraw() {
                self.instance.metrics.count("dispatch.retry_budget_empty");
                return Ok(outcome);
            }
            self.record_retry(&work, &outcome, wait_ms);
            delivery.reset_attempt();
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
                () = delivery.caller_gone() => return Err(CallerGone),
            }
        }
    }

    fn record_retry(&self, work: &Work, outcome: &Outcome<Summary>, wait_ms: u64) {
        let label = outcome.label();
        self.instance.metrics.count("dispatch.retries");
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("after", &label), ("wait_ms", &wait_ms)];
        let timeline = &self.instance.timeline;
        timeline.record("dispatch.retry", &work.request_id, &fields);
    }

    async fn run_attempt(
        &self,
        work: &mut Work,
        attempt_number: u32,
        delivery: &mut Delivery,
    ) -> Result<Outcome<Summary>, CallerGone> {
        let Some(endpoint) = self.choose(work) else {
            // Every endpoint has failed, so a later attempt may choose any of them again.
            work.avoid.clear();
            let no_endpoint =
                Refusal::Unreachable("no endpoint of the service can be reached".into());
            return Ok(Outcome::NotRun(NotRun::retry_after(
                no_endpoint,
                NO_ENDPOINT_RETRY_AFTER_MS,
            )));
        };
        endpoint.load.begin();
        let _in_flight = InFlightGuard(&endpoint);
        let mut attempt = work.clone();
        if attempt_number > 1 && matches!(work.body, WorkBody::Completion(_)) {
            // The engine may still run an earlier attempt. Cancelling that attempt must not cancel
            // this one, so each attempt has a request id of its own.
            attempt.request_id = format!("{}.{attempt_number}", work.request_id).into();
        }
        if let WorkBody::Completion(request) = &mut attempt.body {
            request.resume = delivery.resume_from.clone();
        }
        let mut stream = self.start_at_home(&endpoint, attempt);
        let outcome = self
            .forward_attempt_events(&endpoint, work, &mut stream, delivery)
            .await?;
        self.record_failure(&endpoint, work, &outcome);
        Ok(outcome)
    }

    fn choose(&self, work: &Work) -> Option<RouteEndpoint> {
        let routes = self.routes();
        let service = routes.service(&work.service)?;
        let affinity = match &work.body {
            WorkBody::Completion(request) => prompt_affinity(&request.prompt),
            WorkBody::Plain { .. } => prompt_affinity(&work.request_id),
        };
        let now_ms = self.instance.now_ms();
        service.choose(affinity, &work.avoid, now_ms).cloned()
    }

    /// Starts one attempt at the endpoint's home, which may be this instance.
    fn start_at_home(&self, endpoint: &RouteEndpoint, work: Work) -> WorkStream {
        let (events, stream) = WorkStream::channel();
        let key = endpoint.key;
        if endpoint.home.instance == *self.instance.id() {
            if let Some(this) = self.weak_self.upgrade() {
                actix_rt::spawn(async move { this.run_as_home(key, work, false, &events).await });
            }
            return stream;
        }
        let message = Message::Run {
            endpoint: key,
            work: Box::new(work),
            forwarded: false,
        };
        match self.instance.peers() {
            Some(peers) => {
                let home = &endpoint.home;
                let request = PeerRequest::Dispatch(message);
                let replies = peers.open(&home.instance, &home.peer_address, request);
                let home_load = endpoint.home_load.clone();
                let instance = self.instance.clone();
                actix_rt::spawn(async move {
                    if forward_from_peer(replies, events).await == ConnectionState::Lost {
                        home_load.suspend(instance.now_ms() + SUSPENSION_MS);
                    }
                });
            }
            None => {
                let unreachable = Refusal::Unreachable("the way to peers is not up yet".into());
                let not_run = NotRun::retry_after(unreachable, SUSPENSION_MS);
                // The channel is new, so it has capacity.
                let _ = events.try_send(WorkEvent::Done(Outcome::NotRun(not_run)));
            }
        }
        stream
    }

    /// Forwards the events of one attempt until its outcome.
    async fn forward_attempt_events(
        &self,
        endpoint: &RouteEndpoint,
        work: &Work,
        stream: &mut WorkStream,
        delivery: &mut Delivery,
    ) -> Result<Outcome<Summary>, CallerGone> {
        let limit = Duration::from_millis(work.budget_ms + DEADLINE_GRACE_MS);
        let deadline = Instant::now() + limit;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let event = tokio::select! {
                event = timeout(HOME_TIMEOUT.min(remaining), stream.next()) => event,
                () = delivery.caller_gone() => return Err(CallerGone),
            };
            match event {
                Ok(Some(WorkEvent::Done(outcome))) => return Ok(outcome),
                Ok(Some(WorkEvent::Load { requests })) => {
                    endpoint.load.report(requests, self.instance.now_ms());
                }
                Ok(Some(WorkEvent::EndpointFailed)) => delivery.broken_attempts += 1,
                Ok(Some(WorkEvent::Moved(export))) => delivery.accept_export(*export).await?,
                Ok(Some(event)) => delivery.accept(event).await?,
                Ok(None) => return Ok(Outcome::Unknown("the home ended early".into())),
                Err(_) => {
                    endpoint
                        .home_load
                        .suspend(self.instance.now_ms() + SUSPENSION_MS);
                    return Ok(Outcome::Unknown("the home fell silent".into()));
                }
            }
        }
    }

    /// Keeps later requests, and the next attempt of this one, away from the endpoint that failed.
    fn record_failure(
        &self,
        endpoint: &RouteEndpoint,
        work: &mut Work,
        outcome: &Outcome<Summary>,
    ) {
        let now_ms = self.instance.now_ms();
        match outcome {
            Outcome::Ran(_) => return,
            Outcome::NotRun(not_run) => {
                if matches!(not_run.refusal, Refusal::Unreachable(_)) {
                    let suspended_ms = not_run
                        .retry_after_ms
                        .unwrap_or(SUSPENSION_MS)
                        .min(SUSPENSION_MS);
                    endpoint.load.suspend(now_ms + suspended_ms);
                }
            }
            Outcome::Unknown(_) => endpoint.load.suspend(now_ms + SUSPENSION_MS),
        }
        if !work.avoid.contains(&endpoint.key) {
            work.avoid.push(endpoint.key);
        }
    }
}

/// Counts a request as in flight at its endpoint until it is dropped.
struct InFlightGuard<'a>(&'a RouteEndpoint);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.load.end();
    }
}

/// Whether the connection to a peer lasted while the peer ran a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// The connection lasted until the outcome, or the caller cancelled.
    Intact,
    /// The peer could not be reached, or its connection failed before the outcome.
    Lost,
}

/// Forwards the events of a peer. If the connection fails, the outcome is `NotRun` if the request
/// did not reach the peer, and `Unknown` otherwise.
pub(crate) async fn forward_from_peer(
    mut replies: PeerStream,
    events: WorkSender,
) -> ConnectionState {
    loop {
        let reply = tokio::select! {
            reply = replies.next() => reply,
            () = events.closed() => return ConnectionState::Intact,
        };
        let outcome = match reply {
            Some(Ok(PeerReply::Dispatch(event))) => {
                let is_last = matches!(event, WorkEvent::Done(_));
                if events.send(event).await.is_err() || is_last {
                    return ConnectionState::Intact;
                }
                continue;
            }
            Some(Err(PeerError::NotSent { reason, .. })) => {
                let refusal = Refusal::Unreachable(reason);
                Outcome::NotRun(NotRun::retry_after(refusal, SUSPENSION_MS))
            }
            Some(Err(error)) => Outcome::Unknown(error.to_string().into()),
            Some(Ok(_)) => Outcome::Unknown("the peer sent garbage".into()),
            None => Outcome::Unknown("the home ended early".into()),
        };
        let _ = events.send(WorkEvent::Done(outcome)).await;
        return ConnectionState::Lost;
    }
}
