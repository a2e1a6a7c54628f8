//! What every experiment prints.

use serde_json::Value;

/// Says on standard error how far an experiment is.
pub(crate) fn progress(experiment: &str, message: &str) {
    eprintln!("{experiment}: {message}");
}

/// Prints one measurement as a JSON line.
pub(crate) fn line(experiment: &str, seed: u64, mut figures: Value) {
    if let Some(object) = figures.as_object_mut() {
        object.insert("experiment".into(), experiment.into());
        object.insert("seed".into(), seed.into());
    }
    println!("{figures}");
}

/// Prints the last line of an experiment: its figures beside its baseline's.
pub(crate) fn summary(experiment: &str, seed: u64, figures: Value, baseline: Value) {
    let summary = serde_json::json!({
        "experiment": experiment,
        "seed": seed,
        "summary": figures,
        "baseline": baseline,
    });
    println!("{summary}");
}
