//! Reads the configuration and versions of a trainer from the view.

use crate::{
    rollout::{
        core::TrainerFacts,
        newest_weights,
        window::Share, //
    },
    view::View, //
};

/// Returns the facts of a trainer, or `None` if the configuration in force does not contain it.
pub(crate) fn trainer_facts(view: &View, trainer: &str) -> Option<TrainerFacts> {
    let configuration = &view.configuration;
    let found = configuration.trainer(trainer)?;
    let service = configuration.service(&found.service)?;
    let keys = view.endpoints.by_service.get(&found.service);
    let endpoints = keys.map_or(0, |keys| keys.len()) as u32;
    let service_trainers = configuration.trainers.iter();
    let weights = service_trainers
        .filter(|other| other.service == found.service)
        .map(|other| other.weight)
        .sum();
    let newest = newest_weights(view, &found.service);
    Some(TrainerFacts {
        newest_version: newest.map_or(0, |weights| weights.newest.version),
        staleness_bound: found.staleness_bound,
        share: Share {
            slots: endpoints * service.slots,
            weight: found.weight,
            weights,
        },
    })
}
