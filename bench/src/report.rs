//! Collects the runs in `docs/measurements/` into a report with a table and a plot for each run.

use std::{
    collections::BTreeMap,
    fmt::Write,
    fs,
    io,
    path::Path, //
};

use plotters::prelude::*;
use serde_json::{
    Map,
    Value, //
};

use crate::output;

/// Directory of the recorded runs and the report.
const MEASUREMENTS_DIR: &str = "docs/measurements";

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (760, 360);

/// The summary of one run, parsed from its last line.
struct Run {
    experiment: String,
    seed: u64,
    summary: Map<String, Value>,
    baseline: Map<String, Value>,
}

/// Writes `REPORT.md` and the plots. The seed is unused because this command measures nothing.
pub(crate) fn run(_seed: u64) {
    match write_report(Path::new(MEASUREMENTS_DIR)) {
        Ok(runs) => output::progress(
            "report",
            &format!("wrote {runs} runs to {MEASUREMENTS_DIR}/REPORT.md"),
        ),
        Err(error) => output::progress(
            "report",
            &format!(
                "cannot write the report ({error}); run this command in the root of the repository"
            ),
        ),
    }
}

fn write_report(dir: &Path) -> io::Result<usize> {
    let runs = read_runs(dir)?;
    let mut report = String::from(
        "# Measurements\n\nEach run is one `flamingoscale-bench EXPERIMENT --seed N`; own figures and \
         baseline come from the same run. The lines of each run stand beside this page.\n",
    );
    for run in &runs {
        write_run(&mut report, run);
        plot(dir, run)?;
    }
    fs::write(dir.join("REPORT.md"), report)?;
    Ok(runs.len())
}

fn read_runs(dir: &Path) -> io::Result<Vec<Run>> {
    let mut runs = BTreeMap::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "jsonl")
        {
            let text = fs::read_to_string(&path)?;
            let run = text.lines().rev().find_map(read_summary);
            runs.extend(run.map(|run| ((run.experiment.clone(), run.seed), run)));
        }
    }
    Ok(runs.into_values().collect())
}

fn read_summary(line: &str) -> Option<Run> {
    let value: Value = serde_json::from_str(line).ok()?;
    Some(Run {
        experiment: value.get("experiment")?.as_str()?.to_owned(),
        seed: value.get("seed")?.as_u64()?,
        summary: value.get("summary")?.as_object()?.clone(),
        baseline: value.get("baseline")?.as_object()?.clone(),
    })
}

fn write_run(report: &mut String, run: &Run) {
    let (experiment, seed) = (&run.experiment, run.seed);
    let _ = write!(
        report,
        "\n## {experiment}\n\n`flamingoscale-bench {experiment} --seed {seed}`\n\n\
         | figure | measured | baseline |\n| --- | --- | --- |\n"
    );
    for name in figure_names(run) {
        let (measured, baseline) = (
            format_cell(run.summary.get(&name)),
            format_cell(run.baseline.get(&name)),
        );
        let _ = writeln!(report, "| {name} | {measured} | {baseline} |");
    }
    if !ratios(run).is_empty() {
        let _ = writeln!(report, "\n![{experiment}]({experiment}-{seed}.svg)");
    }
}

fn figure_names(run: &Run) -> Vec<String> {
    let mut names: Vec<String> = run.summary.keys().cloned().collect();
    let baseline_names = run.baseline.keys();
    names.extend(
        baseline_names
            .filter(|name| !run.summary.contains_key(*name))
            .cloned(),
    );
    names
}

fn format_cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::from("–"),
        Some(Value::Number(number)) => match number.as_f64() {
            Some(float) if !number.is_u64() && !number.is_i64() => format!("{float:.3}"),
            _ => number.to_string(),
        },
        Some(Value::String(text)) => text.clone(),
        Some(Value::Object(parts)) => parts
            .iter()
            .map(|(name, value)| format!("{name} {}", format_cell(Some(value))))
            .collect::<Vec<String>>()
            .join(", "),
        Some(other) => other.to_string(),
    }
}

/// Returns the ratio of measured value to baseline for each figure that has both.
fn ratios(run: &Run) -> Vec<(String, f64)> {
    let figures = run.summary.iter();
    figures
        .filter_map(|(name, measured)| {
            let baseline = run.baseline.get(name)?.as_f64()?;
            let ratio = measured.as_f64()? / baseline;
            ratio.is_finite().then(|| (name.clone(), ratio))
        })
        .collect()
}

fn plot(dir: &Path, run: &Run) -> io::Result<()> {
    let ratios = ratios(run);
    if ratios.is_empty() {
        return Ok(());
    }
    let path = dir.join(format!("{}-{}.svg", run.experiment, run.seed));
    draw(&path, run, &ratios).map_err(|error| io::Error::other(error.to_string()))
}

fn draw(
    path: &Path,
    run: &Run,
    ratios: &[(String, f64)],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let largest = ratios
        .iter()
        .map(|name_and_ratio| name_and_ratio.1)
        .fold(1.0, f64::max);
    let title = format!("{}: measured over baseline (1 = the same)", run.experiment);
    let count = ratios.len();
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(210)
        .build_cartesian_2d(0.0..largest * 1.1, (0..count).into_segmented())?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(count)
        .y_label_formatter(&|segment| axis_label(segment, ratios))
        .draw()?;
    chart.draw_series(ratios.iter().enumerate().map(|(row, (_, ratio))| {
        let corners = [
            (0.0, SegmentValue::Exact(row)),
            (*ratio, SegmentValue::Exact(row + 1)),
        ];
        let mut bar = Rectangle::new(corners, BLUE.mix(0.5).filled());
        bar.set_margin(6, 6, 0, 0);
        bar
    }))?;
    root.present()?;
    Ok(())
}

fn axis_label(segment: &SegmentValue<usize>, ratios: &[(String, f64)]) -> String {
    match segment {
        SegmentValue::CenterOf(row) => ratios
            .get(*row)
            .map_or(String::new(), |name_and_ratio| name_and_ratio.0.clone()),
        _ => String::new(),
    }
}
