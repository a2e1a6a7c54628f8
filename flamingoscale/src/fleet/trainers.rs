//! What is kept of samples across the batches of their trainer.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::record::Batch;

/// The organisation and the model of a trainer.
type Trainer = (Arc<str>, Arc<str>);

/// Values of samples, by trainer and sample id. Trainers choose the ids of their samples and do not know
/// those of others, so the same id of another organisation or model names another sample.
#[derive(Debug)]
pub struct ByTrainer<T> {
    trainers: HashMap<Trainer, HashMap<Arc<str>, T>>,
}

impl<T> Default for ByTrainer<T> {
    fn default() -> Self {
        Self {
            trainers: HashMap::new(),
        }
    }
}

fn trainer_of(batch: &Batch) -> Trainer {
    (batch.organisation.clone(), batch.model.clone())
}

impl<T> ByTrainer<T> {
    /// Returns the values of the samples of a batch's trainer.
    pub fn of_trainer(&self, batch: &Batch) -> Option<&HashMap<Arc<str>, T>> {
        self.trainers.get(&trainer_of(batch))
    }

    /// Returns the value of a sample of a batch.
    pub fn get(&self, batch: &Batch, sample: &str) -> Option<&T> {
        self.of_trainer(batch)?.get(sample)
    }

    /// Sets the value of a sample of a batch.
    pub fn insert(&mut self, batch: &Batch, sample: Arc<str>, value: T) {
        let samples = self.trainers.entry(trainer_of(batch)).or_default();
        samples.insert(sample, value);
    }

    /// Removes the value of a sample of a batch and returns it.
    pub fn remove(&mut self, batch: &Batch, sample: &str) -> Option<T> {
        self.trainers.get_mut(&trainer_of(batch))?.remove(sample)
    }

    /// Keeps the values for which `is_kept` returns `true`.
    pub fn retain(&mut self, is_kept: impl Fn(&T) -> bool) {
        self.trainers.retain(|_, samples| {
            samples.retain(|_, value| is_kept(value));
            !samples.is_empty()
        });
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.trainers.values().map(HashMap::len).sum()
    }

    /// Returns whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
