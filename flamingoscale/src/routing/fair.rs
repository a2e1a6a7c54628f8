//! Fair queue of one endpoint: max-min fairness between organisations, measured in tokens.
//! Interactive requests have priority over rollouts, with a minimum share for rollouts so that they
//! are never starved.
//!
//! Implements start-time fair queueing: the virtual time of a flow advances by tokens divided by
//! weight when its requests start, and the flow with the lowest virtual time goes next. The
//! estimated cost is charged at the start and corrected at the end. See `docs/design/fairness.md`.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::Arc, //
};

use crate::dispatch::Class;

/// Virtual time per token of a flow with weight one.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_000;

/// Number of interactive tokens for which waiting rollouts are owed one token.
const INTERACTIVE_TOKENS_PER_ROLLOUT_TOKEN: u64 = 4;

/// Upper bound of the tokens owed to waiting rollouts.
const MAX_ROLLOUT_DEBT_TOKENS: u64 = 1_000_000;

/// Key of a flow: requests of one flow run in order of arrival.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flow {
    /// Whether the flow consists of rollouts.
    pub rollout: bool,
    /// Name of the organisation, or of the trainer for rollouts.
    pub name: Arc<str>,
    /// Weight of the flow relative to the others of its class.
    pub weight: u32,
}

impl Flow {
    /// The flow of a piece of work. `weight` is the weight of the organisation or trainer.
    pub fn new(class: &Class, organisation: &Arc<str>, weight: u32) -> Self {
        let (rollout, name) = match class {
            Class::Interactive => (false, organisation.clone()),
            Class::Rollout { trainer } => (true, trainer.clone()),
        };
        Self {
            rollout,
            name,
            weight: weight.max(1),
        }
    }
}

#[derive(Debug)]
struct FlowQueue<T> {
    /// Queued requests in order of arrival, each with its estimated cost in tokens.
    waiting: VecDeque<(T, u64)>,
    virtual_time: u64,
    weight: u64,
}

#[derive(Debug)]
struct ClassQueue<T> {
    flows: HashMap<Arc<str>, FlowQueue<T>>,
    /// Highest virtual start time of a request that has started. Idle flows resume from here.
    virtual_now: u64,
    /// Number of queued requests in all flows.
    len: usize,
}

/// Queued requests of one endpoint.
#[derive(Debug)]
pub struct FairQueue<T> {
    interactive: ClassQueue<T>,
    rollouts: ClassQueue<T>,
    /// Tokens that waiting rollouts have earned from interactive requests that ran before them.
    rollout_debt_tokens: u64,
    queued_cost_tokens: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            interactive: ClassQueue::default(),
            rollouts: ClassQueue::default(),
            rollout_debt_tokens: 0,
            queued_cost_tokens: 0,
        }
    }
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            virtual_now: 0,
            len: 0,
        }
    }
}

impl<T: PartialEq> FairQueue<T> {
    /// Appends a request to its flow.
    pub fn push(&mut self, flow: &Flow, item: T, cost_tokens: u64) {
        self.queued_cost_tokens += cost_tokens;
        let class = self.class(flow.rollout);
        class.flow(flow).waiting.push_back((item, cost_tokens));
        class.len += 1;
    }

    /// Removes the next request and charges its estimated cost. With `interactive_only`, rollouts
    /// are skipped.
    pub fn pop(&mut self, interactive_only: bool) -> Option<(T, u64)> {
        let rollout_cost = self.rollouts.next_cost();
        let is_rollout = match rollout_cost {
            _ if interactive_only => false,
            None => false,
            Some(cost) => self.interactive.len == 0 || self.rollout_debt_tokens >= cost,
        };
        let popped = self.class(is_rollout).pop()?;
        self.queued_cost_tokens = self.queued_cost_tokens.saturating_sub(popped.1);
        self.update_rollout_debt(is_rollout, popped.1);
        Some(popped)
    }

    /// Charges a request that starts without being queued.
    pub fn charge(&mut self, flow: &Flow, cost_tokens: u64) {
        let class = self.class(flow.rollout);
        let queue = class.flow(flow);
        let start = queue.virtual_time;
        queue.virtual_time += cost_tokens * VIRTUAL_TIME_PER_TOKEN / queue.weight;
        class.virtual_now = class.virtual_now.max(start);
    }

    /// Corrects the charge of a finished request from its estimate to its actual use.
    pub fn settle(&mut self, flow: &Flow, estimate_tokens: u64, used_tokens: u64) {
        let class = self.class(flow.rollout);
        let queue = class.flow(flow);
        let charged = estimate_tokens * VIRTUAL_TIME_PER_TOKEN / queue.weight;
        let actual = used_tokens * VIRTUAL_TIME_PER_TOKEN / queue.weight;
        queue.virtual_time = (queue.virtual_time + actual).saturating_sub(charged);
        class.remove_idle_flows();
    }

    /// Removes a queued request. Returns whether it was found.
    pub fn remove(&mut self, flow: &Flow, item: &T) -> bool {
        let class = self.class(flow.rollout);
        let Some(queue) = class.flows.get_mut(&flow.name) else {
            return false;
        };
        let Some(position) = queue.waiting.iter().position(|(other, _)| other == item) else {
            return false;
        };
        let cost = queue.waiting.remove(position).map_or(0, |(_, cost)| cost);
        class.len -= 1;
        self.queued_cost_tokens = self.queued_cost_tokens.saturating_sub(cost);
        true
    }

    /// Whether interactive requests are queued.
    pub fn has_interactive(&self) -> bool {
        self.interactive.len > 0
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.interactive.len + self.rollouts.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Total estimated cost of all queued requests in tokens: an upper bound of the work that runs
    /// before a newly queued request.
    pub fn queued_tokens(&self) -> u64 {
        self.queued_cost_tokens
    }

    fn update_rollout_debt(&mut self, rollout: bool, cost: u64) {
        if rollout {
            self.rollout_debt_tokens = self.rollout_debt_tokens.saturating_sub(cost);
        } else if self.rollouts.len > 0 {
            let debt_tokens =
                self.rollout_debt_tokens + cost / INTERACTIVE_TOKENS_PER_ROLLOUT_TOKEN;
            self.rollout_debt_tokens = debt_tokens.min(MAX_ROLLOUT_DEBT_TOKENS);
        }
    }

    fn class(&mut self, rollout: bool) -> &mut ClassQueue<T> {
        if rollout {
            &mut self.rollouts
        } else {
            &mut self.interactive
        }
    }
}

impl<T> ClassQueue<T> {
    /// Returns the queue of a flow. An idle flow starts at the current virtual time, so it gets no
    /// credit for its idle time.
    fn flow(&mut self, flow: &Flow) -> &mut FlowQueue<T> {
        let virtual_now = self.virtual_now;
        let entry = self.flows.entry(flow.name.clone());
        let queue = entry.or_insert_with(|| FlowQueue {
            waiting: VecDeque::new(),
            virtual_time: virtual_now,
            weight: 1,
        });
        queue.weight = u64::from(flow.weight.max(1));
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_now);
        }
        queue
    }

    fn next_flow(&self) -> Option<&Arc<str>> {
        let waiting = self.flows.iter().filter(|(_, q)| !q.waiting.is_empty());
        waiting
            .min_by_key(|(name, queue)| (queue.virtual_time, *name))
            .map(|(name, _)| name)
    }

    fn next_cost(&self) -> Option<u64> {
        let queue = self.flows.get(self.next_flow()?)?;
        queue.waiting.front().map(|(_, cost)| *cost)
    }

    fn pop(&mut self) -> Option<(T, u64)> {
        let name = self.next_flow()?.clone();
        let queue = self.flows.get_mut(&name)?;
        let (item, cost) = queue.waiting.pop_front()?;
        self.virtual_now = self.virtual_now.max(queue.virtual_time);
        queue.virtual_time += cost * VIRTUAL_TIME_PER_TOKEN / queue.weight;
        self.len -= 1;
        Some((item, cost))
    }

    fn remove_idle_flows(&mut self) {
        let virtual_now = self.virtual_now;
        self.flows
            .retain(|_, queue| !queue.waiting.is_empty() || queue.virtual_time > virtual_now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn flow(rollout: bool, name: &str, weight: u32) -> Flow {
        Flow {
            rollout,
            name: name.into(),
            weight,
        }
    }

    fn tokens_of(queue: &mut FairQueue<&'static str>, pops: usize) -> HashMap<&'static str, u64> {
        let mut tokens = HashMap::new();
        for _ in 0..pops {
            let Some((name, cost)) = queue.pop(false) else {
                break;
            };
            *tokens.entry(name).or_insert(0) += cost;
        }
        tokens
    }

    #[test]
    fn flooding_flow_does_not_delay_others() {
        let mut queue = FairQueue::default();
        for _ in 0..1_000 {
            queue.push(&flow(false, "flood", 1), "flood", 100);
        }
        for _ in 0..10 {
            queue.push(&flow(false, "small", 1), "small", 100);
        }
        assert_eq!(tokens_of(&mut queue, 20)["small"], 1_000);
    }

    #[test]
    fn shares_follow_weights_in_tokens() {
        let mut queue = FairQueue::default();
        for _ in 0..1_000 {
            queue.push(&flow(false, "long", 1), "long", 400);
            queue.push(&flow(false, "short", 2), "short", 50);
        }
        let tokens = tokens_of(&mut queue, 500);
        let ratio = tokens["short"] as f64 / tokens["long"] as f64;
        assert!((1.8..2.2).contains(&ratio), "{ratio}");
    }

    #[test]
    fn rollouts_get_one_fifth_of_tokens_under_interactive_load() {
        let mut queue = FairQueue::default();
        for _ in 0..1_000 {
            queue.push(&flow(false, "org", 1), "interactive", 100);
            queue.push(&flow(true, "trainer", 1), "rollout", 100);
        }
        let tokens = tokens_of(&mut queue, 500);
        assert_eq!(tokens["rollout"], 10_000);
        assert_eq!(tokens["interactive"], 40_000);
    }

    #[test]
    fn settling_refunds_unused_tokens() {
        let mut queue = FairQueue::default();
        let (early, other) = (flow(false, "early", 1), flow(false, "other", 1));
        queue.push(&early, "early", 1_000);
        queue.push(&early, "early", 1_000);
        queue.push(&other, "other", 500);
        queue.push(&other, "other", 500);
        assert_eq!(queue.pop(false), Some(("early", 1_000)));
        queue.settle(&early, 1_000, 10);
        assert_eq!(queue.pop(false), Some(("other", 500)));
        assert_eq!(queue.pop(false), Some(("early", 1_000)));
    }

    #[test]
    fn idle_flow_accumulates_no_credit() {
        let mut queue = FairQueue::default();
        for _ in 0..100 {
            queue.push(&flow(false, "busy", 1), "busy", 100);
        }
        tokens_of(&mut queue, 50);
        for _ in 0..100 {
            queue.push(&flow(false, "newcomer", 1), "newcomer", 100);
        }
        assert_eq!(tokens_of(&mut queue, 20)["newcomer"], 1_000);
    }

    #[test]
    fn removing_a_request_removes_its_cost() {
        let mut queue = FairQueue::default();
        let org = flow(false, "org", 1);
        queue.push(&org, "a", 70);
        assert!(queue.remove(&org, &"a"));
        assert!(!queue.remove(&org, &"a"));
        assert!(queue.is_empty());
        assert_eq!(queue.queued_tokens(), 0);
    }
}
