//! A generational arena. Keys are small and `Copy`, and become invalid when their slot is reused.

/// Key of a step in its coordinator's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct StepKey {
    index: u32,
    generation: u32,
}

/// Key of a sample: its step and its position there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SampleKey {
    /// Step that the sample belongs to.
    pub(crate) step: StepKey,
    /// Position in the step: groups in order, then the samples of a group in order.
    pub(crate) position: u32,
}

/// Key of one attempt to generate a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AttemptKey(pub(crate) u64);

#[derive(Debug)]
struct ArenaSlot<T> {
    generation: u32,
    value: Option<T>,
}

/// Values addressed by [`StepKey`].
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
    /// Stores a value and returns its key.
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

    /// Removes and returns a value. Its key is invalid from then on.
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

    /// Returns the value of a key, or `None` if it was removed.
    pub(crate) fn get(&self, key: StepKey) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        (slot.generation == key.generation).then_some(slot.value.as_ref())?
    }

    /// Returns a mutable reference to the value of a key, or `None` if it was removed.
    pub(crate) fn get_mut(&mut self, key: StepKey) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        (slot.generation == key.generation).then_some(slot.value.as_mut())?
    }

    /// Iterates over all values in slot order.
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
