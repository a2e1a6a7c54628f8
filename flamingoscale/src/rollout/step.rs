//! One step: the state of its samples, and when its batch may close.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use crate::{
    rollout::{
        arena::AttemptKey,
        Epoch,
        SampleCopy, //
    },
    wire::{
        Batch,
        OpenStep,
        Sample,
        VersionSpan, //
    }, //
};

/// State of a sample.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SampleState {
    /// Waiting to be requested.
    #[default]
    Waiting,
    /// At least one attempt is running.
    Generating,
    /// Generated; waiting for its score.
    Scoring,
    /// Generated; waiting until the copy holder has stored a copy.
    Copying,
    /// Replicated to the copy holder; counts towards the batch.
    Counted,
}

/// One sample of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct SampleSlot {
    pub(crate) state: SampleState,
    /// Draw number: how many results have been accepted for this position. Distinguishes late
    /// copies and scores from current ones.
    pub(crate) draw: u32,
    /// Attempts that are running.
    pub(crate) attempts: Vec<AttemptKey>,
    /// The accepted result.
    pub(crate) result: Option<Arc<Sample>>,
}

/// State of a step.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Some samples are not finished.
    Generating,
    /// All samples are finished. The batch becomes final when the instance that holds the copies
    /// has accepted a [`Message::Seal`](crate::rollout::Message::Seal), or without such a message
    /// if this instance is the only member.
    Sealing {
        /// Newest version at the time the batch was checked.
        newest_version: u64,
    },
    /// The batch is final.
    Closed(Arc<Batch>),
}

/// One step of a trainer.
#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) trainer: Arc<str>,
    pub(crate) contents: Arc<OpenStep>,
    pub(crate) epoch: Epoch,
    pub(crate) opened_at_ms: u64,
    /// Time of the trainer's last request for this step.
    pub(crate) last_request_ms: u64,
    pub(crate) phase: Phase,
    /// Whether the copy holder has made the batch final too, or none is needed.
    pub(crate) sealed: bool,
    pub(crate) slots: Vec<SampleSlot>,
    /// Positions to request now, in order.
    pub(crate) waiting: VecDeque<u32>,
    /// Positions to request later, each with the time at which it is due.
    pub(crate) delayed: Vec<(u64, u32)>,
    pub(crate) counted: u32,
    pub(crate) text_bytes: u64,
}

impl Step {
    /// Creates an open step with all samples waiting.
    pub(crate) fn new(
        trainer: Arc<str>,
        contents: Arc<OpenStep>,
        epoch: Epoch,
        now_ms: u64,
    ) -> Self {
        let expected = sample_count(&contents);
        Self {
            trainer,
            contents,
            epoch,
            opened_at_ms: now_ms,
            last_request_ms: now_ms,
            phase: Phase::Generating,
            sealed: false,
            slots: vec![SampleSlot::default(); expected as usize],
            waiting: (0..expected).collect(),
            delayed: Vec::new(),
            counted: 0,
            text_bytes: 0,
        }
    }

    /// Number of samples in the batch.
    pub(crate) fn expected(&self) -> u32 {
        self.slots.len() as u32
    }

    /// Whether the step is past its deadline.
    pub(crate) fn is_late(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.opened_at_ms) > self.contents.deadline_ms
    }

    /// Returns the group of a position, and the index in its group.
    pub(crate) fn group_and_index(&self, position: u32) -> (u32, u16) {
        let per_group = u32::from(self.contents.samples_per_group.max(1));
        (position / per_group, (position % per_group) as u16)
    }

    /// Whether any sample without a running attempt still has to be requested.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty() || !self.delayed.is_empty()
    }

    /// Moves the samples whose delay has passed to `waiting`.
    pub(crate) fn release_delayed(&mut self, now_ms: u64) {
        let is_due = |&(ready_ms, _): &(u64, u32)| ready_ms <= now_ms;
        let ready: Vec<u32> = self
            .delayed
            .iter()
            .filter(|d| is_due(d))
            .map(|d| d.1)
            .collect();
        self.delayed.retain(|d| !is_due(d));
        self.waiting.extend(ready);
    }

    /// Schedules a sample to be requested again at `ready_ms`.
    pub(crate) fn redraw(&mut self, position: u32, ready_ms: u64) {
        self.slots[position as usize].state = SampleState::Waiting;
        self.delayed.push((ready_ms, position));
    }

    /// Stores a result for a sample that has none, and returns its draw number.
    pub(crate) fn accept(&mut self, position: u32, sample: Sample, state: SampleState) -> u32 {
        self.text_bytes += sample.text.len() as u64;
        let slot = &mut self.slots[position as usize];
        slot.draw += 1;
        slot.result = Some(Arc::new(sample));
        slot.state = state;
        slot.draw
    }

    /// Discards an accepted result and schedules the sample to be requested again.
    pub(crate) fn discard(&mut self, position: u32, ready_ms: u64) {
        let slot = &mut self.slots[position as usize];
        if slot.state == SampleState::Counted {
            self.counted -= 1;
        }
        if let Some(sample) = slot.result.take() {
            self.text_bytes -= sample.text.len() as u64;
        }
        self.redraw(position, ready_ms);
    }

    /// Counts a sample towards the batch.
    pub(crate) fn mark_counted(&mut self, position: u32) {
        self.slots[position as usize].state = SampleState::Counted;
        self.counted += 1;
    }

    /// Restores copies that another instance held of this step. They have to be replicated again.
    pub(crate) fn restore(&mut self, copies: Vec<SampleCopy>) {
        for copy in copies {
            let Some(slot) = self.slots.get_mut(copy.position as usize) else {
                continue;
            };
            if copy.draw <= slot.draw {
                continue;
            }
            let replaced = slot.result.replace(copy.sample.clone());
            self.text_bytes += copy.sample.text.len() as u64;
            self.text_bytes -= replaced.map_or(0, |sample| sample.text.len() as u64);
            slot.draw = copy.draw;
            slot.state = SampleState::Copying;
        }
        let slots = &self.slots;
        self.waiting
            .retain(|&position| slots[position as usize].result.is_none());
    }

    /// Positions whose sample is too stale for a batch that closes at `newest_version`.
    pub(crate) fn stale(&self, newest_version: u64, bound: u64) -> Vec<u32> {
        let results = self.slots.iter().enumerate();
        let stale = results.filter(|(_, slot)| {
            let versions = slot.result.as_ref().map(|sample| &sample.versions[..]);
            !versions.is_some_and(|spans| is_fresh(spans, newest_version, bound))
        });
        stale.map(|(position, _)| position as u32).collect()
    }

    /// Draw number of each position. The copy holder compares these numbers with those of its
    /// copies to check that it has the same batch.
    pub(crate) fn draws(&self) -> Vec<u32> {
        self.slots.iter().map(|slot| slot.draw).collect()
    }

    /// The current batch. It contains samples only once it is closed.
    pub(crate) fn batch(&self) -> Arc<Batch> {
        match &self.phase {
            Phase::Closed(batch) => batch.clone(),
            _ => Arc::new(Batch {
                step: self.contents.step,
                complete: false,
                finished: self.counted,
                expected: self.expected(),
                newest_version: 0,
                samples: Vec::new(),
            }),
        }
    }

    /// Closes the batch: its samples are final.
    pub(crate) fn close(&mut self, newest_version: u64) {
        let results = self.slots.iter().filter_map(|slot| slot.result.as_deref());
        let batch = Batch {
            step: self.contents.step,
            complete: true,
            finished: self.expected(),
            expected: self.expected(),
            newest_version,
            samples: results.cloned().collect(),
        };
        self.phase = Phase::Closed(Arc::new(batch));
    }
}

/// Number of samples that a step requests.
pub(crate) fn sample_count(contents: &OpenStep) -> u32 {
    contents.prompts.len() as u32 * u32::from(contents.samples_per_group)
}

/// Whether the versions of a sample are known and the oldest is within the staleness bound.
pub(crate) fn is_fresh(versions: &[VersionSpan], newest_version: u64, bound: u64) -> bool {
    let oldest = versions.iter().map(|span| span.version).min();
    oldest.is_some_and(|oldest| oldest.saturating_add(bound) >= newest_version)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn span(version: u64) -> VersionSpan {
        VersionSpan { version, tokens: 3 }
    }

    #[test]
    fn staleness_is_decided_by_the_oldest_span() {
        assert!(is_fresh(&[span(3), span(5)], 5, 2));
        assert!(!is_fresh(&[span(2), span(5)], 5, 2));
        assert!(!is_fresh(&[], 0, 2));
        assert!(is_fresh(&[span(9)], 5, 0));
    }
}
