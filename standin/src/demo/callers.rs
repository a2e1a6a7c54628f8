//! The callers of one run, and the test of withdrawing a key in use.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::wire::CompletionRequest;
use futures::StreamExt as _;
use rand::{
    RngExt as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    operator::{
        Keys,
        Operator, //
    },
    world::{
        ENGINE_SERVICE,
        FAILURE_DOMAINS,
        ORGANISATIONS,
        PLAIN_SERVICE, //
    },
    OPERATION_TIMEOUT, //
};
use crate::{
    caller::{
        Call,
        CallerStandin, //
    },
    faults::sleep_ms, //
};

/// Number of callers of each organisation.
const CALLERS_PER_ORGANISATION: usize = 2;

/// Maximum number of unsuccessful calls that are printed.
const MAX_SHOWN_FAILED_CALLS: usize = 5;

/// Maximum time that a withdrawn key may keep working, as configured in the questionnaire.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(5);

/// Counts and ids of the calls of all callers.
#[derive(Default)]
pub(super) struct CallResults {
    pub(super) lookups: u64,
    pub(super) lookups_correct: u64,
    pub(super) lookups_wrong: u64,
    pub(super) completions: u64,
    pub(super) completions_correct: u64,
    pub(super) completions_wrong: u64,
    pub(super) not_run_ids: Vec<String>,
    pub(super) failed_calls: Vec<String>,
}

impl CallResults {
    fn add_call(&mut self, call: &Call) {
        self.not_run_ids
            .extend(call.not_run_ids().map(str::to_owned));
        if !call.is_correct() && self.failed_calls.len() < MAX_SHOWN_FAILED_CALLS {
            self.failed_calls.push(format!("{:?}", call.attempts));
        }
    }

    fn add_lookup(&mut self, call: &Call) {
        self.lookups += 1;
        self.lookups_correct += u64::from(call.is_correct());
        self.lookups_wrong += call.incorrect_attempts();
        self.add_call(call);
    }

    fn add_completion(&mut self, call: &Call) {
        self.completions += 1;
        self.completions_correct += u64::from(call.is_correct());
        self.completions_wrong += call.incorrect_attempts();
        self.add_call(call);
    }
}

/// Handle of the running callers.
pub(super) struct Callers {
    stop: Rc<Cell<bool>>,
    results: Rc<RefCell<CallResults>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Callers {
    pub(super) fn start(keys: &Keys, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let stop = Rc::new(Cell::new(false));
        let results = Rc::new(RefCell::new(CallResults::default()));
        let mut tasks = Vec::new();
        for (organisation_index, key) in keys.callers.iter().enumerate() {
            for caller_index in 0..CALLERS_PER_ORGANISATION {
                let near =
                    FAILURE_DOMAINS[(organisation_index + caller_index) % FAILURE_DOMAINS.len()];
                let caller = CallerStandin::new(Some(key.clone()), near, seeds.clone());
                let name = format!("{}-{caller_index}", ORGANISATIONS[organisation_index]);
                let random = ChaCha8Rng::seed_from_u64(
                    seed ^ ((organisation_index * 16 + caller_index) as u64),
                );
                let task = call_until_stopped(caller, name, random, stop.clone(), results.clone());
                tasks.push(actix_rt::spawn(task));
            }
        }
        Self {
            stop,
            results,
            tasks,
        }
    }

    /// Stops the callers after their current call and returns their results.
    pub(super) async fn finish(self) -> CallResults {
        self.stop.set(true);
        for task in self.tasks {
            let _ = task.await;
        }
        self.results.take()
    }
}

async fn call_until_stopped(
    mut caller: CallerStandin,
    name: String,
    mut random: ChaCha8Rng,
    stop: Rc<Cell<bool>>,
    results: Rc<RefCell<CallResults>>,
) {
    let mut number = 0;
    while !stop.get() {
        number += 1;
        let id = format!("{name}-{number}");
        let tokens = random.random_range(5..30);
        let stream = random.random_bool(0.5);
        let completion = caller.complete(ENGINE_SERVICE, &id, tokens, stream).await;
        results.borrow_mut().add_completion(&completion);
        let lookup = caller.look_up(PLAIN_SERVICE, &id).await;
        results.borrow_mut().add_lookup(&lookup);
        sleep_ms(random.random_range(5..50)).await;
    }
}

/// Withdraws a key while a stream that uses it is open; returns the milliseconds until the stream
/// ended.
pub(super) async fn withdraw_key_in_use(
    operator: &Operator,
    entries: &[SocketAddr],
    faults: bool,
) -> Result<u64, String> {
    let granted = operator
        .grant_key(ORGANISATIONS[0], OPERATION_TIMEOUT)
        .await?;
    let mut response = open_stream_with_retry(entries, &granted.key, OPERATION_TIMEOUT).await?;
    let first = response.next().await;
    if !matches!(first, Some(Ok(_))) {
        return Err("stream did not start before its key was withdrawn".to_owned());
    }
    let withdrawn_at = Instant::now();
    operator
        .withdraw_key(&granted.key_id, OPERATION_TIMEOUT)
        .await?;
    loop {
        let next = actix_rt::time::timeout(MAX_WITHDRAWAL_DELAY, response.next()).await;
        if withdrawn_at.elapsed() > OPERATION_TIMEOUT {
            return Err("stream of a withdrawn key continued until the timeout".to_owned());
        }
        match next {
            Ok(Some(Ok(_))) => {}
            Ok(_) => break,
            Err(_) => return Err("stream of a withdrawn key stalled without ending".to_owned()),
        }
    }
    let elapsed = withdrawn_at.elapsed();
    if elapsed > MAX_WITHDRAWAL_DELAY && !faults {
        return Err(format!(
            "a withdrawn key kept working for {} ms",
            elapsed.as_millis()
        ));
    }
    if let Ok(response) = open_stream(entries[0], &granted.key).await {
        let status = response.status();
        if status.is_success() {
            return Err(format!("a withdrawn key was accepted: {status}"));
        }
    }
    Ok(elapsed.as_millis() as u64)
}

async fn open_stream(entry: SocketAddr, key: &str) -> Result<awc::ClientResponse, String> {
    let body = CompletionRequest {
        model: ENGINE_SERVICE.into(),
        prompt: "A stream that ends with its key".into(),
        // At the engines' token rate, this takes longer than the allowed withdrawal delay.
        max_tokens: 4_000,
        stream: true,
        ..CompletionRequest::default()
    };
    let url = format!("http://{entry}/v1/completions");
    let request = crate::caller::client()
        .post(url)
        .timeout(OPERATION_TIMEOUT)
        .bearer_auth(key);
    let result = request.send_json(&body).await;
    result.map_err(|error| error.to_string())
}

async fn open_stream_with_retry(
    entries: &[SocketAddr],
    key: &str,
    timeout: Duration,
) -> Result<awc::ClientResponse, String> {
    let started = Instant::now();
    let mut last_error = String::new();
    while started.elapsed() < timeout {
        for &entry in entries {
            match open_stream(entry, key).await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => last_error = response.status().to_string(),
                Err(error) => last_error = error,
            }
        }
        sleep_ms(100).await;
    }
    Err(format!(
        "could not open a stream with a new key: {last_error}"
    ))
}
