//! Consistency checks across the sections of a questionnaire.

use crate::{
    configuration::{
        Configuration,
        ServiceKind,
        Trainer, //
    },
    questionnaire::fault,
    settings::Fault, //
};

/// Returns a fault for every inconsistency between sections.
pub(crate) fn check(configuration: &Configuration) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_required_sections(configuration, &mut faults);
    check_services(configuration, &mut faults);
    for trainer in &configuration.trainers {
        check_trainer(configuration, trainer, &mut faults);
    }
    faults
}

fn check_required_sections(configuration: &Configuration, faults: &mut Vec<Fault>) {
    let kinds = [
        ("service", configuration.services.is_empty()),
        ("organisation", configuration.organisations.is_empty()),
        ("failure-domain", configuration.failure_domains.is_empty()),
    ];
    for (kind, _) in kinds.iter().filter(|(_, is_missing)| *is_missing) {
        let remedy = format!("missing: describe at least one as [{kind} NAME]");
        faults.push(fault(kind, "", remedy));
    }
}

fn check_services(configuration: &Configuration, faults: &mut Vec<Fault>) {
    for service in &configuration.services {
        if service.firm_floor > service.ceiling {
            let section = format!("service {}", service.name);
            let remedy = "above the ceiling: lower it or raise the ceiling";
            faults.push(fault(&section, "firm_floor", remedy));
        }
    }
}

fn check_trainer(configuration: &Configuration, trainer: &Trainer, faults: &mut Vec<Fault>) {
    let section = format!("trainer {}", trainer.name);
    let (organisation, service) = (&trainer.organisation, &trainer.service);
    // The reader has already reported a missing name of an organisation or service.
    if !organisation.is_empty() && configuration.organisation(organisation).is_none() {
        let remedy =
            format!("`{organisation}` is not described: add [organisation {organisation}]");
        faults.push(fault(&section, "organisation", remedy));
    }
    if service.is_empty() {
        return;
    }
    match configuration.service(service) {
        None => {
            let remedy = format!("`{service}` is not described: add [service {service}]");
            faults.push(fault(&section, "service", remedy));
        }
        Some(referenced) if referenced.kind != ServiceKind::Engine => {
            let remedy = format!("`{service}` is plain: name a service of kind engine");
            faults.push(fault(&section, "service", remedy));
        }
        Some(_) => {}
    }
}
