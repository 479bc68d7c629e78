//! `claims`: measures the latency that a claim adds to a request, and the
//! appends to the log a second, at rising load.
//!
//! At each rate the command sends two classes of the preset in turn: the first
//! one that is idempotent and the first one that is not. In a preset in which
//! both use the same pools, the difference is the cost of the claim.

use std::{fmt::Write, str::FromStr, time::Duration};

use bpaf::{Parser, construct, long};
use peatdeck_macros::{data, message};
use peatdeck_standin::log::LogState;

use crate::{
    args,
    arrivals::Plan,
    commands::ceiling::median,
    control::Request,
    error,
    experiment::{self, Setup, Target},
    files, launch, output,
    preset::Preset,
    report::Report,
    tag,
    workload::{Class, Workload},
};

/// Arguments of `claims`.
#[data]
pub struct Args {
    /// The preset, `thin` by default, and how it is started.
    pub preset_args: args::PresetArgs,
    /// Rates to measure, in requests a second.
    pub rates: Vec<f64>,
    /// Phases with claims, and phases without, at each rate.
    pub repeats: usize,
    /// Length of a phase.
    pub length: Duration,
    /// Seed of the arrivals in the first repeat; each further repeat adds 1.
    pub seed: u64,
    /// Number of sending threads.
    pub threads: usize,
    /// Output files.
    pub output: args::OutputArgs,
}

/// Time at the start of a phase that is left out of the results.
const WARM_UP: Duration = Duration::from_secs(1);

/// Measurements at one rate.
#[message]
pub struct RateResult {
    /// Requests a second.
    pub rate: f64,
    /// Latency that the claim added to the p50, in milliseconds, one value per repeat.
    pub added_p50: Vec<f64>,
    /// Latency that the claim added to the p99, in milliseconds, one value per repeat.
    pub added_p99: Vec<f64>,
    /// Appends to the log a second in the phase with claims, one value per repeat.
    pub appends: Vec<f64>,
    /// Appends a second that the log refused for exceeding its rate limit, one value per repeat.
    pub limited: Vec<f64>,
    /// Share of the requests with a claim answered in time, one value per repeat.
    pub attainment: Vec<f64>,
}

/// Parses the arguments.
pub fn cli() -> impl Parser<Args> {
    let preset_args = args::preset_args();
    let rates = long("rates")
        .help("Requests a second, separated by commas")
        .argument::<String>("LIST")
        .fallback("25,50,100,200,400".to_owned())
        .display_fallback()
        .parse(|text| parse_rates(&text));
    let repeats = args::repeats();
    let length = args::time("length", "Length of a phase", "6s");
    let seed = args::seed();
    let threads = args::threads(2);
    let output = args::output();
    construct!(Args { preset_args, rates, repeats, length, seed, threads, output })
}

fn parse_rates(text: &str) -> Result<Vec<f64>, String> {
    text.split(',')
        .map(|rate| match f64::from_str(rate.trim()) {
            Ok(rate) if rate.is_finite() && rate > 0.0 => Ok(rate),
            _ => Err(format!("`{rate}` is not a rate; write them as `50,100,200`")),
        })
        .collect()
}

/// Measures every rate and prints the table.
///
/// # Errors
/// If the preset lacks a class of either kind, or the system does not start or fails.
pub fn exec(args: &Args) -> error::Result<()> {
    let preset_args = args::PresetArgs {
        preset: args.preset_args.preset.clone().or_else(|| Some("thin".to_owned())),
        count: args.preset_args.count.or(Some(4)),
        ..args.preset_args.clone()
    };
    let preset = preset_args.preset()?.expect("a name was filled in");
    let unclaimed = single_class(&preset, |class| class.idempotent)?;
    let claimed = single_class(&preset, |class| !class.idempotent)?;
    let system = launch::start(&preset, &preset_args.launch()?)?;
    let log = system.log();
    let mut target = Target::Started(Box::new(system));
    let mut rates = Vec::new();
    let mut reports = Vec::new();
    for rate in &args.rates {
        let mut row = RateResult::new(*rate);
        for repeat in 0..args.repeats.max(1) {
            let seed = args.seed + repeat as u64;
            let without = phase(args, &preset, &unclaimed, &mut target, *rate, seed)?;
            let before = log_state(&log)?;
            let with = phase(args, &preset, &claimed, &mut target, *rate, seed)?;
            let after = log_state(&log)?;
            row.add(args.length, &without, &with, &before, &after);
            reports.extend([without, with]);
        }
        rates.push(row);
    }
    println!("{}", table(&rates, preset.entries));
    if let Some(path) = &args.output.json {
        files::write(path, &output::json(&rates))?;
    }
    output::fail_on_violations(&reports)
}

/// The preset's traffic reduced to its first class that matches `wanted`.
fn single_class(preset: &Preset, wanted: impl Fn(&Class) -> bool) -> error::Result<Workload> {
    let class = preset.traffic.classes.iter().find(|class| wanted(class)).cloned();
    let class = class.ok_or_else(|| error::Error::Setting {
        problem: format!("preset {} lacks a class with claims or one without", preset.name),
        remedy: "use a preset that has both, such as thin".into(),
    })?;
    let classes = vec![Class { share: 1.0, ..class }];
    Ok(Workload { teams: preset.traffic.teams.clone(), classes })
}

fn phase(
    args: &Args,
    preset: &Preset,
    workload: &Workload,
    target: &mut Target,
    rate: f64,
    seed: u64,
) -> error::Result<Report> {
    let plan = Plan { rate, length: args.length, bursts: Vec::new(), seed, tag: tag::fresh() };
    let arrivals = plan.draw(workload);
    let setup = Setup {
        label: preset.name.clone(),
        seed,
        length: args.length,
        warm_up: WARM_UP.min(args.length / 2),
        capacity: None,
        faults: Vec::new(),
        resends: 0,
        threads: args.threads,
        is_direct: false,
        reads_records: true,
    };
    Ok(experiment::run(target, &setup, &arrivals)?.report)
}

fn log_state(log: &str) -> error::Result<LogState> {
    Request::get(format!("{log}/control/state")).json()
}

impl RateResult {
    fn new(rate: f64) -> RateResult {
        RateResult {
            rate,
            added_p50: Vec::new(),
            added_p99: Vec::new(),
            appends: Vec::new(),
            limited: Vec::new(),
            attainment: Vec::new(),
        }
    }

    fn add(
        &mut self,
        length: Duration,
        without: &Report,
        with: &Report,
        before: &LogState,
        after: &LogState,
    ) {
        let seconds = length.as_secs_f64();
        let appended = after.counts.appended - before.counts.appended;
        let limited = after.counts.limited - before.counts.limited;
        self.added_p50.push(with.latency.p50 - without.latency.p50);
        self.added_p99.push(with.latency.p99 - without.latency.p99);
        self.appends.push(appended as f64 / seconds);
        self.limited.push(limited as f64 / seconds);
        self.attainment.push(with.total.attainment());
    }
}

/// Formats the measurements as a table of medians over the repeats.
pub fn table(rates: &[RateResult], entries: usize) -> String {
    let mut text = format!(
        "what a claim adds, {entries} entries, medians\n{:>8} {:>12} {:>12} {:>11} {:>11} {:>11}\n",
        "rate /s", "p50, ms", "p99, ms", "appends /s", "limited /s", "attainment"
    );
    for rate in rates {
        writeln!(
            text,
            "{:>8.0} {:>12.2} {:>12.2} {:>11.1} {:>11.1} {:>10.2}%",
            rate.rate,
            median(&rate.added_p50),
            median(&rate.added_p99),
            median(&rate.appends),
            median(&rate.limited),
            median(&rate.attainment) * 100.0,
        )
        .ok();
    }
    text
}
