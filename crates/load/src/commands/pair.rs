//! `pair`: two settings of the entries, run in turn, with their difference.

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

/// Flags.
#[data]
pub struct Args {
    /// The preset.
    pub started: args::Started,
    /// What is sent.
    pub traffic: args::Traffic,
    /// Where results go.
    pub output: args::Output,
    /// The first setting.
    pub a: String,
    /// The second setting.
    pub b: String,
    /// How many pairs.
    pub repeats: usize,
}

/// What pairs gave.
#[message]
pub struct Pairs {
    /// The first setting.
    pub a: String,
    /// The second setting.
    pub b: String,
    /// The reports, pair by pair.
    pub reports: Vec<(Report, Report)>,
    /// The metrics compared.
    pub comparisons: BTreeMap<String, Comparison>,
}

/// Parses the flags.
pub fn cli() -> impl Parser<Args> {
    let started = args::started();
    let traffic = args::traffic();
    let output = args::output();
    let a = long("a")
        .help("The first setting: more arguments of the entries and NAME=VALUE pairs, apart by spaces")
        .argument::<String>("SETTING");
    let b = long("b").help("The second setting").argument::<String>("SETTING");
    let repeats = long("repeats")
        .help("How many pairs; each has its own seed, the same for both of it")
        .argument::<usize>("N")
        .fallback(3)
        .display_fallback();
    construct!(Args { started, traffic, output, a, b, repeats })
}

/// Runs the pairs.
///
/// # Errors
/// As with `run`.
pub fn exec(args: &Args) -> error::Result<()> {
    let preset = args.started.preset()?.ok_or_else(|| error::Error::Setting {
        problem: "pairs need a system of their own each time".to_owned(),
        remedy: "give --preset".into(),
    })?;
    let mut reports = Vec::new();
    for repeat in 0..args.repeats.max(1) {
        let a = one(args, &preset, "A", &args.a, repeat)?;
        let b = one(args, &preset, "B", &args.b, repeat)?;
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
    output::refuse_violations(pairs.reports.iter().flat_map(|(a, b)| [a, b]))
}

/// One run with one setting, on a system that is started and ended for it.
fn one(
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
    let launch = launch::Launch::with_setting(args.started.launch()?, setting);
    let system = launch::start(preset, &launch)?;
    let label = format!("{side}{} ({setting}) {}", repeat + 1, preset.name);
    let mut setup = args.traffic.setup(&label, Some(preset), faults);
    setup.seed = plan.seed;
    let outcome = experiment::run(&mut Target::Started(Box::new(system)), &setup, &arrivals)?;
    println!("{}", outcome.report);
    Ok(outcome.report)
}

/// The comparison as a table.
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
