//! The entry's side: choose an endpoint, send the work to its home, try again where that is safe.

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
            Delivery,
            Gone, //
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

/// A home gives a sign of life more often than this.
const HOME_SILENCE: Duration = Duration::from_millis(4_000);

/// Time after its deadline that a home has to say how the work ended.
const LAST_WORD_MS: u64 = 250;

/// An endpoint or home that could not be reached is left alone for this time.
const CLOSED_MS: u64 = 500;

/// Endpoints that may break off under one request before it is given up.
const MOST_BROKEN_TRIES: u32 = 2;

/// Endpoints that one request may move away from because they leave.
const MOST_MOVES: u32 = 8;

/// When a caller may come back while no endpoint is there.
const NO_ENDPOINT_RETRY_MS: u64 = 2_000;

impl Dispatcher {
    /// Runs work until one try succeeds or no other may follow.
    pub(crate) async fn run_as_entry(self: Arc<Self>, work: Work, events: WorkSender) {
        let request_id = work.request_id.clone();
        let mut delivery = Delivery::new(&work, events);
        self.retry_budget().deposit();
        match self.tries(work, &mut delivery).await {
            Ok(outcome) => delivery.end(outcome).await,
            Err(Gone) => {
                let line = &self.instance.timeline;
                line.record("dispatch.cancelled", &request_id, &[]);
            }
        }
    }

    async fn tries(
        &self,
        mut work: Work,
        delivery: &mut Delivery,
    ) -> Result<Outcome<Summary>, Gone> {
        let deadline_ms = self.instance.now_ms() + work.budget_ms;
        let mut retries = Retries::default();
        let mut number = 1;
        loop {
            let left_ms = deadline_ms.saturating_sub(self.instance.now_ms());
            if left_ms == 0 {
                let late = NotRun::for_good(Refusal::Deadline);
                return Ok(delivery.finish(Outcome::NotRun(late)));
            }
            work.budget_ms = left_ms;
            let outcome = self.one_try(&mut work, number, delivery).await?;
            let outcome = delivery.finish(outcome);
            let stop = !delivery.may_try_again() || delivery.broken_tries >= MOST_BROKEN_TRIES;
            if matches!(outcome, Outcome::Ran(_)) || stop {
                return Ok(outcome);
            }
            number += 1;
            if delivery.take_move() && delivery.moves <= MOST_MOVES {
                self.record_retry(&work, &outcome, 0);
                continue;
            }
            // What was there when an endpoint broke off may have caused it.
            work.alone |= delivery.broken_tries > 0;
            let left_ms = deadline_ms.saturating_sub(self.instance.now_ms());
            let next = retries.decide(&outcome, work.idempotent, left_ms, &mut rand::rng());
            let RetryDecision::Retry { wait_ms } = next else {
                return Ok(outcome);
            };
            if !self.retry_budget().withdraw() {
                self.instance.metrics.count("dispatch.retry_budget_empty");
                return Ok(outcome);
            }
            self.record_retry(&work, &outcome, wait_ms);
            delivery.start_over();
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
                () = delivery.gone() => return Err(Gone),
            }
        }
    }

    fn record_retry(&self, work: &Work, outcome: &Outcome<Summary>, wait_ms: u64) {
        let after = outcome.word();
        self.instance.metrics.count("dispatch.retries");
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("after", &after), ("wait_ms", &wait_ms)];
        let line = &self.instance.timeline;
        line.record("dispatch.retry", &work.request_id, &fields);
    }

    async fn one_try(
        &self,
        work: &mut Work,
        number: u32,
        delivery: &mut Delivery,
    ) -> Result<Outcome<Summary>, Gone> {
        let Some(endpoint) = self.choose(work) else {
            // Where all were tried, they may be tried again.
            work.avoid.clear();
            let none = Refusal::Unreachable("no endpoint of the service can be reached".into());
            return Ok(Outcome::NotRun(NotRun::retry_after(
                none,
                NO_ENDPOINT_RETRY_MS,
            )));
        };
        endpoint.load.begin();
        let _counted = Counted(&endpoint);
        let mut sent = work.clone();
        if number > 1 && matches!(work.body, WorkBody::Completion(_)) {
            // The engine may still run the first try; its cancellation must not hit this one.
            sent.request_id = format!("{}.{number}", work.request_id).into();
        }
        if let WorkBody::Completion(request) = &mut sent.body {
            request.resume = delivery.base.clone();
        }
        let mut stream = self.open(&endpoint, sent);
        let outcome = self.follow(&endpoint, work, &mut stream, delivery).await?;
        self.learn(&endpoint, work, &outcome);
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

    /// Starts one try at the endpoint's home, which may be this instance.
    fn open(&self, endpoint: &RouteEndpoint, work: Work) -> WorkStream {
        let (events, stream) = WorkStream::channel();
        let key = endpoint.key;
        if endpoint.home.instance == *self.instance.id() {
            if let Some(me) = self.me.upgrade() {
                actix_rt::spawn(async move { me.run_as_home(key, work, false, &events).await });
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
                    if pass_from_peer(replies, events).await == Connection::Lost {
                        home_load.suspend(instance.now_ms() + CLOSED_MS);
                    }
                });
            }
            None => {
                let reason = Refusal::Unreachable("the way to peers is not up yet".into());
                let not_run = NotRun::retry_after(reason, CLOSED_MS);
                // The channel is new, so there is room.
                let _ = events.try_send(WorkEvent::Done(Outcome::NotRun(not_run)));
            }
        }
        stream
    }

    /// Passes one try's events on until its end.
    async fn follow(
        &self,
        endpoint: &RouteEndpoint,
        work: &Work,
        stream: &mut WorkStream,
        delivery: &mut Delivery,
    ) -> Result<Outcome<Summary>, Gone> {
        let limit = Duration::from_millis(work.budget_ms + LAST_WORD_MS);
        let deadline = Instant::now() + limit;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let event = tokio::select! {
                event = timeout(HOME_SILENCE.min(left), stream.next()) => event,
                () = delivery.gone() => return Err(Gone),
            };
            match event {
                Ok(Some(WorkEvent::Done(outcome))) => return Ok(outcome),
                Ok(Some(WorkEvent::Load { requests })) => {
                    endpoint.load.report(requests, self.instance.now_ms());
                }
                Ok(Some(WorkEvent::Broke)) => delivery.broken_tries += 1,
                Ok(Some(WorkEvent::Moved(export))) => delivery.moved(*export).await?,
                Ok(Some(event)) => delivery.take(event).await?,
                Ok(None) => return Ok(Outcome::Unknown("the home ended early".into())),
                Err(_) => {
                    endpoint
                        .home_load
                        .suspend(self.instance.now_ms() + CLOSED_MS);
                    return Ok(Outcome::Unknown("the home fell silent".into()));
                }
            }
        }
    }

    /// Keeps later requests, and the next try of this one, away from what just failed.
    fn learn(&self, endpoint: &RouteEndpoint, work: &mut Work, outcome: &Outcome<Summary>) {
        let now_ms = self.instance.now_ms();
        match outcome {
            Outcome::Ran(_) => return,
            Outcome::NotRun(not_run) => {
                if matches!(not_run.refusal, Refusal::Unreachable(_)) {
                    let closed_ms = not_run.retry_after_ms.unwrap_or(CLOSED_MS).min(CLOSED_MS);
                    endpoint.load.suspend(now_ms + closed_ms);
                }
            }
            Outcome::Unknown(_) => endpoint.load.suspend(now_ms + CLOSED_MS),
        }
        if !work.avoid.contains(&endpoint.key) {
            work.avoid.push(endpoint.key);
        }
    }
}

/// Counts a request at its endpoint while it lives.
struct Counted<'a>(&'a RouteEndpoint);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.load.end();
    }
}

/// How a peer's connection fared during one piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connection {
    /// It lasted.
    Fine,
    /// The peer could not be reached, or not until the end.
    Lost,
}

/// Passes a peer's events on; what becomes of the connection tells whether the work can have run.
pub(crate) async fn pass_from_peer(mut replies: PeerStream, events: WorkSender) -> Connection {
    loop {
        let reply = tokio::select! {
            reply = replies.next() => reply,
            () = events.closed() => return Connection::Fine,
        };
        let outcome = match reply {
            Some(Ok(PeerReply::Dispatch(event))) => {
                let last = matches!(event, WorkEvent::Done(_));
                if events.send(event).await.is_err() || last {
                    return Connection::Fine;
                }
                continue;
            }
            Some(Err(PeerError::NotSent { reason, .. })) => {
                let refusal = Refusal::Unreachable(reason);
                Outcome::NotRun(NotRun::retry_after(refusal, CLOSED_MS))
            }
            Some(Err(error)) => Outcome::Unknown(error.to_string().into()),
            Some(Ok(_)) => Outcome::Unknown("the peer sent garbage".into()),
            None => Outcome::Unknown("the home ended early".into()),
        };
        let _ = events.send(WorkEvent::Done(outcome)).await;
        return Connection::Lost;
    }
}
