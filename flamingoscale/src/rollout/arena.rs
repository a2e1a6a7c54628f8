//! An arena whose keys are small and `Copy`, and never name a later tenant of the same place.

/// Names one step in the arena of its coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct StepKey {
    place: u32,
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
pub(crate) struct TryKey(pub(crate) u64);

#[derive(Debug)]
struct Place<T> {
    generation: u32,
    value: Option<T>,
}

/// Values by [`StepKey`].
#[derive(Debug)]
pub(crate) struct Arena<T> {
    places: Vec<Place<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            places: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Adds a value.
    pub(crate) fn insert(&mut self, value: T) -> StepKey {
        if let Some(place) = self.free.pop() {
            let kept = &mut self.places[place as usize];
            kept.value = Some(value);
            let generation = kept.generation;
            return StepKey { place, generation };
        }
        let place = self.places.len() as u32;
        self.places.push(Place {
            generation: 0,
            value: Some(value),
        });
        StepKey {
            place,
            generation: 0,
        }
    }

    /// Takes a value out; its key names nothing from now on.
    pub(crate) fn remove(&mut self, key: StepKey) -> Option<T> {
        let kept = self.places.get_mut(key.place as usize)?;
        if kept.generation != key.generation {
            return None;
        }
        let value = kept.value.take()?;
        kept.generation += 1;
        self.free.push(key.place);
        Some(value)
    }

    /// Looks a value up.
    pub(crate) fn get(&self, key: StepKey) -> Option<&T> {
        let kept = self.places.get(key.place as usize)?;
        (kept.generation == key.generation).then_some(kept.value.as_ref())?
    }

    /// Looks a value up to change it.
    pub(crate) fn get_mut(&mut self, key: StepKey) -> Option<&mut T> {
        let kept = self.places.get_mut(key.place as usize)?;
        (kept.generation == key.generation).then_some(kept.value.as_mut())?
    }

    /// All values in order of place.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (StepKey, &T)> {
        self.places.iter().enumerate().filter_map(|(place, kept)| {
            let key = StepKey {
                place: place as u32,
                generation: kept.generation,
            };
            kept.value.as_ref().map(|value| (key, value))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_never_names_a_later_value() {
        let mut arena = Arena::default();
        let first = arena.insert("first");
        assert_eq!(arena.remove(first), Some("first"));
        let second = arena.insert("second");
        assert_eq!(first.place, second.place);
        assert_eq!(arena.get(first), None);
        assert_eq!(arena.remove(first), None);
        assert_eq!(arena.get(second), Some(&"second"));
    }
}
