//! Reads the configuration and the newest version of a trainer from the view.

use crate::{
    rollout::{
        core::TrainerParams,
        newest_weights,
        window::Share, //
    },
    view::View, //
};

/// Returns the parameters of a trainer, or `None` if the current configuration does not contain it.
pub(crate) fn trainer_params(view: &View, trainer: &str) -> Option<TrainerParams> {
    let configuration = &view.configuration;
    let trainer_config = configuration.trainer(trainer)?;
    let service = configuration.service(&trainer_config.service)?;
    let keys = view.endpoints.by_service.get(&trainer_config.service);
    let endpoints = keys.map_or(0, |keys| keys.len()) as u32;
    let service_trainers = configuration.trainers.iter();
    let total_weight = service_trainers
        .filter(|other| other.service == trainer_config.service)
        .map(|other| other.weight)
        .sum();
    let newest = newest_weights(view, &trainer_config.service);
    Some(TrainerParams {
        newest_version: newest.map_or(0, |weights| weights.newest.version),
        staleness_bound: trainer_config.staleness_bound,
        share: Share {
            slots: endpoints * service.slots,
            weight: trainer_config.weight,
            total_weight,
        },
    })
}
