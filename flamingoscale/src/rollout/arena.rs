//! An arena whose keys are small and `Copy`, and never name a later tenant of the same place.

/// Names one step in the arena of its coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct StepKey {
    index: u32,
    generation: u32,
}

/// Names one sample: groups in order, samples of a group in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SampleKey {
    /// The step.
    pub(crate) step: StepKey,
    /// The position in the step.
    pub(crate) position: u32,
}

/// Names one try to generate a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AttemptKey(pub(crate) u64);

#[derive(Debug)]
struct ArenaSlot<T> {
    generation: u32,
    value: Option<T>,
}

/// Values by [`StepKey`].
#[derive(Debug)]
pub(crate) struct Arena<T> {
    slots: Vec<ArenaSlot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Adds a value.
    pub(crate) fn insert(&mut self, value: T) -> StepKey {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            let generation = slot.generation;
            return StepKey { index, generation };
        }
        let index = self.slots.len() as u32;
        self.slots.push(ArenaSlot {
            generation: 0,
            value: Some(value),
        });
        StepKey {
            index,
            generation: 0,
        }
    }

    /// Takes a value out; its key names nothing from now on.
    pub(crate) fn remove(&mut self, key: StepKey) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation += 1;
        self.free.push(key.index);
        Some(value)
    }

    /// Looks a value up.
    pub(crate) fn get(&self, key: StepKey) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        (slot.generation == key.generation).then_some(slot.value.as_ref())?
    }

    /// Looks a value up to change it.
    pub(crate) fn get_mut(&mut self, key: StepKey) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        (slot.generation == key.generation).then_some(slot.value.as_mut())?
    }

    /// All values in order of place.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (StepKey, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = StepKey {
                index: index as u32,
                generation: slot.generation,
            };
            slot.value.as_ref().map(|value| (key, value))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn key_is_invalid_after_its_slot_is_reused() {
        let mut arena = Arena::default();
        let first = arena.insert("first");
        assert_eq!(arena.remove(first), Some("first"));
        let second = arena.insert("second");
        assert_eq!(first.index, second.index);
        assert_eq!(arena.get(first), None);
        assert_eq!(arena.remove(first), None);
        assert_eq!(arena.get(second), Some(&"second"));
    }
}
