//! Output shared by all experiments: progress on standard error, JSON lines on standard output.

use serde_json::Value;

/// Prints a progress message of an experiment to standard error.
pub(crate) fn progress(experiment: &str, message: &str) {
    eprintln!("{experiment}: {message}");
}

/// Prints one measurement as a JSON line, with the experiment name and the seed added.
pub(crate) fn line(experiment: &str, seed: u64, mut figures: Value) {
    if let Some(object) = figures.as_object_mut() {
        object.insert("experiment".into(), experiment.into());
        object.insert("seed".into(), seed.into());
    }
    println!("{figures}");
}

/// Prints the last line of an experiment: its figures next to those of the baseline.
pub(crate) fn summary(experiment: &str, seed: u64, figures: Value, baseline: Value) {
    let summary = serde_json::json!({
        "experiment": experiment,
        "seed": seed,
        "summary": figures,
        "baseline": baseline,
    });
    println!("{summary}");
}
