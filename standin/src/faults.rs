//! Faults that can be injected into a stand-in, in process or by `POST /fault`.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// One fault. A stand-in ignores faults that don't apply to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Fault {
    /// Clears all active faults; connections that are already silent stay silent.
    Clear,
    /// Rejects the next requests without executing them.
    Refuse {
        /// Number of operations that the fault affects.
        count: u32,
    },
    /// Delays each request.
    Delay {
        /// Duration in milliseconds; 0 clears the fault.
        delay_ms: u64,
    },
    /// Executes the next requests, but drops their connections without a response.
    LoseAnswers {
        /// Number of operations that the fault affects.
        count: u32,
    },
    /// Accepts connections and never responds. Connections that are open now, or are opened while
    /// the fault is active, stay silent permanently.
    Silent {
        /// Milliseconds after which new connections work again; `None` means never.
        for_ms: Option<u64>,
    },
    /// Silences the connections that are open now; new connections work.
    SilenceOpen,
    /// Drops all connections and all state that the real system keeps in memory.
    Crash {
        /// Milliseconds until the restart; `None` means never.
        back_after_ms: Option<u64>,
    },
    /// Rejects all requests for some time without executing them.
    Outage {
        /// Duration in milliseconds; 0 clears the fault.
        for_ms: u64,
    },
    /// Engine: the next weight swaps fail after the download.
    FailSwaps {
        /// Number of operations that the fault affects.
        count: u32,
    },
    /// Engine: weight swaps take longer.
    DelaySwaps {
        /// Duration in milliseconds; 0 clears the fault.
        delay_ms: u64,
    },
    /// Engine: new weights are used before their swap has finished.
    EarlySwaps {
        /// Whether the fault is active.
        early: bool,
    },
    /// Engine or service: a request that contains this text crashes its endpoint.
    Poison {
        /// The text to match; an empty text clears the fault.
        text: Arc<str>,
        /// Milliseconds until the restart.
        back_after_ms: u64,
    },
    /// Endpoint: the platform reclaims the endpoint after a notice period.
    Reclaim {
        /// Notice period in milliseconds.
        notice_ms: u64,
    },
    /// Platform: start orders for this failure domain are rejected as unavailable.
    Unavailable {
        /// Name of the failure domain.
        failure_domain: Arc<str>,
        /// Whether the fault is active.
        unavailable: bool,
    },
    /// Platform: all endpoints of a failure domain are reclaimed.
    Vanish {
        /// Name of the failure domain.
        failure_domain: Arc<str>,
        /// Notice period in milliseconds; 0 means no notice.
        notice_ms: u64,
        /// Whether only endpoints of the cheap tier are reclaimed.
        cheap_only: bool,
    },
    /// Platform: orders arrive late.
    DelayOrders {
        /// Duration in milliseconds; 0 clears the fault.
        delay_ms: u64,
    },
    /// Platform: truncates the log to its newest records.
    Truncate {
        /// Number of records to retain.
        keep: usize,
    },
}

/// The active faults of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct ActiveFaults {
    inner: Mutex<FaultState>,
}

#[derive(Debug, Default)]
struct FaultState {
    refusals_left: u32,
    delay_ms: u64,
    response_losses_left: u32,
    outage_until: Option<std::time::Instant>,
    swap_failures_left: u32,
    delay_swaps_ms: u64,
    early_swaps: bool,
    poison: Option<(Arc<str>, u64)>,
    delay_orders_ms: u64,
}

impl ActiveFaults {
    /// Activates a fault until its count is used up or it is cleared.
    pub(crate) fn set(&self, fault: &Fault) {
        let mut inner = self.lock();
        match fault {
            Fault::Clear => *inner = FaultState::default(),
            Fault::Refuse { count } => inner.refusals_left = *count,
            Fault::Delay { delay_ms } => inner.delay_ms = *delay_ms,
            Fault::LoseAnswers { count } => inner.response_losses_left = *count,
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

    /// Returns whether to reject the current request, because of an outage or a remaining refusal,
    /// and uses up one refusal.
    pub(crate) fn consume_refusal(&self) -> bool {
        let mut inner = self.lock();
        let in_outage = inner
            .outage_until
            .is_some_and(|until| std::time::Instant::now() < until);
        in_outage || consume(&mut inner.refusals_left)
    }

    /// Returns whether to lose the current response, and uses up one loss.
    pub(crate) fn consume_response_loss(&self) -> bool {
        consume(&mut self.lock().response_losses_left)
    }

    /// Returns whether the current swap fails, and uses up one failure.
    pub(crate) fn consume_swap_failure(&self) -> bool {
        consume(&mut self.lock().swap_failures_left)
    }

    /// Waits for the request delay that is active, if any.
    pub(crate) async fn delay(&self) {
        let delay_ms = self.lock().delay_ms;
        if delay_ms > 0 {
            sleep_ms(delay_ms).await;
        }
    }

    /// Returns the additional duration of weight swaps, in milliseconds.
    pub(crate) fn delay_swaps_ms(&self) -> u64 {
        self.lock().delay_swaps_ms
    }

    /// Returns whether new weights are used before their swap has finished.
    pub(crate) fn early_swaps(&self) -> bool {
        self.lock().early_swaps
    }

    /// If `text` contains the text of an active [`Fault::Poison`], returns the milliseconds until the
    /// crashed endpoint restarts.
    pub(crate) fn poison_restart_ms(&self, text: &str) -> Option<u64> {
        let inner = self.lock();
        let (poison, back_after_ms) = inner.poison.as_ref()?;
        text.contains(&**poison).then_some(*back_after_ms)
    }

    /// Returns the delay of platform orders, in milliseconds.
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

/// Sleeps on the timer of the calling thread's Actix runtime.
pub(crate) async fn sleep_ms(duration_ms: u64) {
    actix_rt::time::sleep(std::time::Duration::from_millis(duration_ms)).await;
}
