//! What can go wrong at a stand-in, settable in process and by `POST /fault`.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// One fault. A stand-in ignores those that make no sense for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Fault {
    /// Ends all standing faults; connections that went silent stay so.
    Clear,
    /// Refuses the next requests without effect.
    Refuse {
        /// How many.
        count: u32,
    },
    /// Takes this much longer for each request.
    Delay {
        /// Milliseconds; 0 ends it.
        delay_ms: u64,
    },
    /// Carries out the next requests and drops their connections without an answer.
    LoseAnswers {
        /// How many.
        count: u32,
    },
    /// Accepts connections and never answers. Those open meanwhile stay silent for good.
    Silent {
        /// Milliseconds after which new connections work; none for never.
        for_ms: Option<u64>,
    },
    /// Lets the connections that are open now go silent for good; new ones work.
    SilenceOpen,
    /// Drops all connections and forgets everything that the real thing keeps in memory.
    Crash {
        /// Milliseconds until it is back; none for never.
        back_after_ms: Option<u64>,
    },
    /// Refuses everything for a while without effect.
    Outage {
        /// Milliseconds; 0 ends it.
        for_ms: u64,
    },
    /// Engine: the next loads fail after pulling their bytes.
    FailSwaps {
        /// How many.
        count: u32,
    },
    /// Engine: loads take this much longer.
    DelaySwaps {
        /// Milliseconds; 0 ends it.
        delay_ms: u64,
    },
    /// Engine: new weights are in use while the load still runs.
    EarlySwaps {
        /// Whether.
        early: bool,
    },
    /// Engine or service: a request that contains this text crashes the endpoint that runs it.
    Poison {
        /// The text; empty ends it.
        text: Arc<str>,
        /// Milliseconds until it is back.
        back_after_ms: u64,
    },
    /// Endpoint: the platform takes it back after this notice.
    Reclaim {
        /// Milliseconds.
        notice_ms: u64,
    },
    /// Platform: orders for this failure domain are unavailable.
    Unavailable {
        /// The failure domain.
        failure_domain: Arc<str>,
        /// Whether.
        unavailable: bool,
    },
    /// Platform: all endpoints of a failure domain go.
    Vanish {
        /// The failure domain.
        failure_domain: Arc<str>,
        /// Milliseconds of notice; 0 for none.
        notice_ms: u64,
        /// Only the cheap ones.
        cheap_only: bool,
    },
    /// Platform: orders arrive this late.
    DelayOrders {
        /// Milliseconds; 0 ends it.
        delay_ms: u64,
    },
    /// Platform: forgets all but the last records of the log.
    Truncate {
        /// How many are kept.
        keep: usize,
    },
}

/// The standing faults of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct ActiveFaults {
    inner: Mutex<FaultState>,
}

#[derive(Debug, Default)]
struct FaultState {
    refusals_left: u32,
    delay_ms: u64,
    answer_losses_left: u32,
    outage_until: Option<std::time::Instant>,
    swap_failures_left: u32,
    delay_swaps_ms: u64,
    early_swaps: bool,
    poison: Option<(Arc<str>, u64)>,
    delay_orders_ms: u64,
}

impl ActiveFaults {
    /// Takes in a fault that stands until it is used up or cleared.
    pub(crate) fn set(&self, fault: &Fault) {
        let mut inner = self.lock();
        match fault {
            Fault::Clear => *inner = FaultState::default(),
            Fault::Refuse { count } => inner.refusals_left = *count,
            Fault::Delay { delay_ms } => inner.delay_ms = *delay_ms,
            Fault::LoseAnswers { count } => inner.answer_losses_left = *count,
            Fault::Outage { for_ms } => {
                let duration = std::time::Duration::from_millis(*for_ms);
                inner.outage_until = Some(std::time::Instant::now() + duration);
            }
            Fault::FailSwaps { count } => inner.swap_failures_left = *count,
            Fault::DelaySwaps { delay_ms } => inner.delay_swaps_ms = *delay_ms,
            Fault::EarlySwaps { early } => inner.early_swaps = *early,
            Fault::Poison {
                text,
                back_after_ms,
            } => {
                inner.poison = (!text.is_empty()).then(|| (text.clone(), *back_after_ms));
            }
            Fault::DelayOrders { delay_ms } => inner.delay_orders_ms = *delay_ms,
            _ => {}
        }
    }

    /// Whether the next request is refused: one of a count, or an outage.
    pub(crate) fn consume_refusal(&self) -> bool {
        let mut inner = self.lock();
        let in_outage = inner
            .outage_until
            .is_some_and(|until| std::time::Instant::now() < until);
        in_outage || consume(&mut inner.refusals_left)
    }

    /// Whether the next answer is lost.
    pub(crate) fn consume_answer_loss(&self) -> bool {
        consume(&mut self.lock().answer_losses_left)
    }

    /// Whether the next swap fails.
    pub(crate) fn consume_swap_failure(&self) -> bool {
        consume(&mut self.lock().swap_failures_left)
    }

    /// Waits as long as requests are delayed now.
    pub(crate) async fn delay(&self) {
        let delay_ms = self.lock().delay_ms;
        if delay_ms > 0 {
            sleep_ms(delay_ms).await;
        }
    }

    /// How much longer loads take, in milliseconds.
    pub(crate) fn delay_swaps_ms(&self) -> u64 {
        self.lock().delay_swaps_ms
    }

    /// Whether new weights are in use before their load ends.
    pub(crate) fn early_swaps(&self) -> bool {
        self.lock().early_swaps
    }

    /// Milliseconds until the endpoint is back, if `text` crashes it.
    pub(crate) fn poison_restart_ms(&self, text: &str) -> Option<u64> {
        let inner = self.lock();
        let (poison, back_after_ms) = inner.poison.as_ref()?;
        text.contains(&**poison).then_some(*back_after_ms)
    }

    /// How late orders arrive, in milliseconds.
    pub(crate) fn delay_orders_ms(&self) -> u64 {
        self.lock().delay_orders_ms
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn consume(count: &mut u32) -> bool {
    let available = *count > 0;
    *count = count.saturating_sub(1);
    available
}

/// Waits on the thread of the stand-ins.
pub(crate) async fn sleep_ms(duration_ms: u64) {
    actix_rt::time::sleep(std::time::Duration::from_millis(duration_ms)).await;
}
