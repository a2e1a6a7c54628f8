//! Copies of samples that an instance holds for the coordinators on other instances.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    rollout::{
        recovery::merge,
        step::sample_count,
        Epoch,
        Reply,
        SampleCopy, //
    },
    wire::OpenStep, //
};

/// Maximum memory for copies on one instance.
const MAX_COPIES_BYTES: u64 = 192 << 20;

/// Copies without a write for this long are dropped. Longer than a coordinator keeps an idle step.
const COPIES_EXPIRY_MS: u64 = 1_200_000;

/// Memory overhead of a copy in addition to its text.
const SAMPLE_BYTES: u64 = 256;

/// One held step.
#[derive(Clone, Debug)]
pub(crate) struct HeldStep {
    pub(crate) step: Arc<OpenStep>,
    pub(crate) epoch: Epoch,
    pub(crate) coordinator: Arc<str>,
    pub(crate) samples: BTreeMap<u32, SampleCopy>,
    pub(crate) sealed: Option<u64>,
    /// Copies held for previous coordinators. They are kept until the current coordinator has made
    /// its batch final ([`Message::Seal`](crate::rollout::Message::Seal)), because it may fail
    /// before it has sent back the samples that it recovered from here.
    previous: Option<Box<HeldStep>>,
    last_write_ms: u64,
}

/// All held steps, with bounded memory.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    held: BTreeMap<(Arc<str>, u64), HeldStep>,
    bytes: u64,
}

impl Copies {
    /// Starts to hold a step, or accepts a new coordinator for a step that is already held.
    pub(crate) fn hold(
        &mut self,
        from: &Arc<str>,
        trainer: &Arc<str>,
        epoch: Epoch,
        step: Arc<OpenStep>,
        now_ms: u64,
    ) -> Reply {
        self.expire(now_ms);
        let step_id = (trainer.clone(), step.step);
        let Some(held) = self.held.get_mut(&step_id) else {
            let mut new_step = HeldStep::new(step, epoch, from.clone(), None);
            new_step.last_write_ms = now_ms;
            self.held.insert(step_id, new_step);
            return Reply::Accepted;
        };
        if !held.accepts(from, epoch) {
            return Reply::Superseded;
        }
        let mut new_step = HeldStep::new(step, epoch, from.clone(), None);
        new_step.last_write_ms = now_ms;
        let previous = std::mem::replace(held, new_step);
        let held_bytes = previous.bytes();
        let previous = previous.merged();
        self.bytes = self.bytes + previous.bytes() - held_bytes;
        held.previous = Some(Box::new(previous));
        Reply::Accepted
    }

    /// Stores copies of finished samples.
    pub(crate) fn copy(
        &mut self,
        from: &Arc<str>,
        trainer: &Arc<str>,
        step: u64,
        epoch: Epoch,
        samples: &[SampleCopy],
        now_ms: u64,
    ) -> Reply {
        let bytes = &mut self.bytes;
        let Some(held) = self.held.get_mut(&(trainer.clone(), step)) else {
            return Reply::NotOpen;
        };
        if held.epoch != epoch || held.coordinator != *from {
            return Reply::Superseded;
        }
        let incoming: u64 = samples.iter().map(copy_bytes).sum();
        if *bytes + incoming > MAX_COPIES_BYTES {
            return Reply::Refused("the copies held here are at their limit: ask another".into());
        }
        held.last_write_ms = now_ms;
        held.sealed = None;
        for copy in samples {
            if copy.position >= sample_count(&held.step) {
                continue;
            }
            *bytes += copy_bytes(copy);
            let replaced = held.samples.insert(copy.position, copy.clone());
            *bytes -= replaced.as_ref().map_or(0, copy_bytes);
        }
        Reply::Accepted
    }

    /// Handles [`Message::Seal`](crate::rollout::Message::Seal): makes the batch final, or returns
    /// the positions whose copy is missing.
    pub(crate) fn seal(
        &mut self,
        from: &Arc<str>,
        trainer: &Arc<str>,
        step: u64,
        epoch: Epoch,
        newest_version: u64,
        draws: &[u32],
    ) -> Reply {
        let Some(held) = self.held.get_mut(&(trainer.clone(), step)) else {
            return Reply::NotOpen;
        };
        if held.epoch != epoch || held.coordinator != *from {
            return Reply::Superseded;
        }
        let missing: Vec<u32> = (0u32..)
            .zip(draws)
            .filter(|(position, draw)| {
                let held_draw = held.samples.get(position).map(|copy| copy.draw);
                held_draw != Some(**draw)
            })
            .map(|(position, _)| position)
            .collect();
        if !missing.is_empty() {
            return Reply::Missing(missing);
        }
        held.sealed = Some(newest_version);
        if let Some(previous) = held.previous.take() {
            self.bytes -= previous.bytes();
        }
        Reply::Accepted
    }

    /// Discards the copies of a step.
    pub(crate) fn forget(&mut self, trainer: &Arc<str>, step: u64) {
        if let Some(held) = self.held.remove(&(trainer.clone(), step)) {
            self.bytes -= held.bytes();
        }
    }

    /// Returns everything held of a step, including copies of previous coordinators.
    pub(crate) fn get(&self, trainer: &Arc<str>, step: u64) -> Option<HeldStep> {
        let held = self.held.get(&(trainer.clone(), step))?;
        Some(held.clone().merged())
    }

    /// Held steps whose coordinator is not in `remaining`.
    pub(crate) fn orphans(&self, remaining: &[Arc<str>]) -> Vec<(Arc<str>, u64)> {
        let is_orphan = |held: &&HeldStep| !remaining.contains(&held.coordinator);
        let orphans = self.held.iter().filter(|(_, held)| is_orphan(held));
        orphans.map(|(step_id, _)| step_id.clone()).collect()
    }

    fn expire(&mut self, now_ms: u64) {
        let is_expired =
            |held: &HeldStep| now_ms.saturating_sub(held.last_write_ms) > COPIES_EXPIRY_MS;
        let freed: u64 = self
            .held
            .values()
            .filter(|h| is_expired(h))
            .map(HeldStep::bytes)
            .sum();
        self.held.retain(|_, held| !is_expired(held));
        self.bytes -= freed;
    }
}

impl HeldStep {
    /// Creates a held step without samples.
    pub(crate) fn new(
        step: Arc<OpenStep>,
        epoch: Epoch,
        coordinator: Arc<str>,
        sealed: Option<u64>,
    ) -> Self {
        Self {
            step,
            epoch,
            coordinator,
            samples: BTreeMap::new(),
            sealed,
            previous: None,
            last_write_ms: 0,
        }
    }

    /// Whether messages that the coordinator `from` sends with `epoch` are accepted: the epoch is
    /// higher than the current one, or both the epoch and the coordinator are the current ones.
    fn accepts(&self, from: &Arc<str>, epoch: Epoch) -> bool {
        epoch > self.epoch || (epoch == self.epoch && *from == self.coordinator)
    }

    fn bytes(&self) -> u64 {
        let own_bytes: u64 = self.samples.values().map(copy_bytes).sum();
        own_bytes
            + self
                .previous
                .as_ref()
                .map_or(0, |previous| previous.bytes())
    }

    /// Merges these copies with those held for previous coordinators.
    fn merged(mut self) -> Self {
        let Some(previous) = self.previous.take() else {
            return self;
        };
        let last_write_ms = self.last_write_ms;
        let parts = vec![previous.merged(), self];
        let mut merged = merge(parts).expect("merging two steps yields one");
        merged.last_write_ms = last_write_ms;
        merged
    }
}

fn copy_bytes(copy: &SampleCopy) -> u64 {
    copy.sample.text.len() as u64 + SAMPLE_BYTES
}
