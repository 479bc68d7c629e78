//! `pair`: runs two settings of the entries in turn and compares the reports.

use std::{collections::BTreeMap, fmt::Write};

use bpaf::{Parser, construct, long};
use peatdeck_macros::{data, message};

use crate::{
    args,
    arrivals::Plan,
    error,
    experiment::{self, Target},
    files, launch, output,
    paired::{self, Comparison},
    plot,
    preset::Preset,
    report::Report,
};

/// Arguments of `pair`.
#[data]
pub struct Args {
    /// The preset and how it is started.
    pub preset_args: args::PresetArgs,
    /// The requests and faults.
    pub traffic: args::TrafficArgs,
    /// Output files.
    pub output: args::OutputArgs,
    /// Setting A: arguments and environment variables of the entries.
    pub a: String,
    /// Setting B, in the same form.
    pub b: String,
    /// Number of pairs.
    pub repeats: usize,
}

/// Result of all pairs.
#[message]
pub struct Pairs {
    /// Setting A: arguments and environment variables of the entries.
    pub a: String,
    /// Setting B, in the same form.
    pub b: String,
    /// The reports under A and B of each pair.
    pub reports: Vec<(Report, Report)>,
    /// The comparison of each metric, by its name.
    pub comparisons: BTreeMap<String, Comparison>,
}

/// Parses the arguments.
pub fn cli() -> impl Parser<Args> {
    let preset_args = args::preset_args();
    let traffic = args::traffic();
    let output = args::output();
    let a = long("a")
        .help("The first setting: more arguments of the entries and NAME=VALUE pairs, separated by spaces")
        .argument::<String>("SETTING");
    let b = long("b").help("The second setting").argument::<String>("SETTING");
    let repeats = long("repeats")
        .help("Number of pairs; each has its own seed, used for both of its runs")
        .argument::<usize>("N")
        .fallback(3)
        .display_fallback();
    construct!(Args { preset_args, traffic, output, a, b, repeats })
}

/// Runs all pairs and prints the comparison.
///
/// # Errors
/// If no preset is given, or for the reasons of [`run::exec`](super::run::exec).
pub fn exec(args: &Args) -> error::Result<()> {
    let preset = args.preset_args.preset()?.ok_or_else(|| error::Error::Setting {
        problem: "`pair` starts a new system for each run".to_owned(),
        remedy: "give --preset".into(),
    })?;
    let mut reports = Vec::new();
    for repeat in 0..args.repeats.max(1) {
        let a = run_one(args, &preset, "A", &args.a, repeat)?;
        let b = run_one(args, &preset, "B", &args.b, repeat)?;
        reports.push((a, b));
    }
    let comparisons = paired::compare(&reports);
    let pairs = Pairs { a: args.a.clone(), b: args.b.clone(), reports, comparisons };
    println!("{}", table(&pairs));
    if let Some(path) = &args.output.json {
        files::write(path, &output::json(&pairs))?;
    }
    if let Some(path) = &args.output.svg {
        let panels: Vec<&Report> = pairs.reports.iter().flat_map(|(a, b)| [a, b]).collect();
        files::write(path, &plot::attainment(&panels))?;
    }
    output::fail_on_violations(pairs.reports.iter().flat_map(|(a, b)| [a, b]))
}

/// Runs the plan with one setting, on a system that is started for this run only.
fn run_one(
    args: &Args,
    preset: &Preset,
    side: &str,
    setting: &str,
    repeat: usize,
) -> error::Result<Report> {
    let faults = args.traffic.faults()?;
    let workload = args.traffic.workload(Some(preset))?;
    let plan = args.traffic.plan(Some(preset), &faults)?;
    let plan = Plan { seed: plan.seed + repeat as u64, ..plan };
    let arrivals = plan.draw(&workload);
    let launch = launch::LaunchOptions::with_setting(args.preset_args.launch()?, setting);
    let system = launch::start(preset, &launch)?;
    let label = format!("{side}{} ({setting}) {}", repeat + 1, preset.name);
    let mut setup = args.traffic.setup(&label, Some(preset), faults);
    setup.seed = plan.seed;
    let outcome = experiment::run(&mut Target::Started(Box::new(system)), &setup, &arrivals)?;
    println!("{}", outcome.report);
    Ok(outcome.report)
}

/// Formats the comparison as a table.
pub fn table(pairs: &Pairs) -> String {
    let mut text = format!(
        "A: {}\nB: {}\n{} pairs, B less A\n{:<40} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10}\n",
        pairs.a,
        pairs.b,
        pairs.reports.len(),
        "",
        "A",
        "B",
        "mean diff",
        "deviation",
        "least",
        "most",
    );
    for (name, row) in &pairs.comparisons {
        writeln!(
            text,
            "{name:<40} {:>10.4} {:>10.4} {:>10.4} {:>10.4} {:>10.4} {:>10.4}",
            mean(&row.a),
            mean(&row.b),
            row.mean,
            row.deviation,
            row.least,
            row.most,
        )
        .ok();
    }
    text
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
