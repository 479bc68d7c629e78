//! `ceiling`: finds the highest rate that one entry sustains.
//!
//! At each rate the command sends the same requests directly to the endpoints
//! and through the entry, alternating within one run, so that the load of the
//! host affects both alike. A rate is sustained if the entry adds no more than
//! the bound to the p99 and answers nearly all requests. The search doubles
//! the rate until it is not sustained, then bisects a few times.

use std::{fmt::Write, time::Duration};

use bpaf::{Parser, construct, long};
use peatdeck_macros::{data, message};

use crate::{
    args,
    arrivals::Plan,
    error,
    experiment::{self, Setup, Target},
    files, launch, output,
    preset::Preset,
    process,
    report::Report,
    system::System,
    tag,
};

/// Arguments of `ceiling`.
#[data]
pub struct Args {
    /// The preset; one entry is started and measured.
    pub preset_args: args::PresetArgs,
    /// Lowest rate of the search, in requests a second.
    pub from: f64,
    /// Highest rate of the search, in requests a second.
    pub to: f64,
    /// Number of bisection steps after the first rate that is not sustained.
    pub halvings: usize,
    /// Direct phases, and phases through the entry, at each rate.
    pub repeats: usize,
    /// Length of a phase.
    pub length: Duration,
    /// Time at the start of a phase that is left out of the results.
    pub warm_up: Duration,
    /// Latency that the entry may add to the p99.
    pub bound: Duration,
    /// Seed of the arrivals in the first repeat; each further repeat adds 1.
    pub seed: u64,
    /// Number of sending threads.
    pub threads: usize,
    /// Output files.
    pub output: args::OutputArgs,
}

/// Least share of answered requests at a sustained rate.
const MIN_ANSWERED: f64 = 0.999;

/// Measurements at one rate.
#[message]
pub struct RateResult {
    /// Requests a second.
    pub rate: f64,
    /// Whether the entry sustained the rate.
    pub held: bool,
    /// Latency that the entry added to the p50, in milliseconds, one value per repeat.
    pub added_p50: Vec<f64>,
    /// Latency that the entry added to the p99, in milliseconds, one value per repeat.
    pub added_p99: Vec<f64>,
    /// The p99 of direct requests, in milliseconds, one value per repeat.
    pub direct_p99: Vec<f64>,
    /// The p99 of the tool's own sending delay, in milliseconds, one value per repeat: the larger
    /// of the direct phase and the phase through the entry.
    pub tool_p99: Vec<f64>,
    /// Share of requests that the entry answered, the minimum over the repeats.
    pub answered: f64,
    /// CPU time of the entry per request, in milliseconds, over all repeats.
    pub processor_ms: f64,
    /// Share of one CPU core that the entry used.
    pub processor_share: f64,
    /// Resident memory of the entry after the last repeat, in KiB.
    pub resident_kib: u64,
}

/// Result of the search.
#[message]
pub struct Ceiling {
    /// The highest sustained rate; `None` if even the first rate was not sustained.
    pub held: Option<f64>,
    /// The lowest rate that was not sustained; `None` if all were.
    pub broken: Option<f64>,
    /// Resident memory of the entry before the first request, in KiB.
    pub idle_kib: u64,
    /// Every rate that was measured, in order of measurement.
    pub rates: Vec<RateResult>,
}

/// Parses the arguments.
pub fn cli() -> impl Parser<Args> {
    let preset_args = args::preset_args();
    let from = rate("from", "The rate to start from", 100.0);
    let to = rate("to", "The rate to end at", 20_000.0);
    let halvings = long("halvings")
        .help("Bisection steps after the first rate that is not sustained")
        .argument::<usize>("N")
        .fallback(3)
        .display_fallback();
    let repeats = args::repeats();
    let length = args::time("length", "Length of a phase", "4s");
    let warm_up =
        args::time("warm-up", "Time at the start of a phase that is left out of the results", "1s");
    let bound = args::time("bound", "Latency that the entry may add to the p99", "5ms");
    let seed = args::seed();
    let threads = args::threads(3);
    let output = args::output();
    construct!(Args {
        preset_args,
        from,
        to,
        halvings,
        repeats,
        length,
        warm_up,
        bound,
        seed,
        threads,
        output
    })
}

fn rate(name: &'static str, help: &'static str, fallback: f64) -> impl Parser<f64> {
    long(name).help(help).argument::<f64>("RATE").fallback(fallback).display_fallback()
}

/// Searches for the highest sustained rate and prints the result.
///
/// # Errors
/// If the system does not start or fails during the search.
pub fn exec(args: &Args) -> error::Result<()> {
    let preset_args = args::PresetArgs {
        preset: args.preset_args.preset.clone().or_else(|| Some("thin".to_owned())),
        count: Some(1),
        ..args.preset_args.clone()
    };
    let preset = preset_args.preset()?.expect("a name was filled in");
    let system = launch::start(&preset, &preset_args.launch()?)?;
    let idle_kib = usage(&system)?.resident_kib;
    let mut target = Target::Started(Box::new(system));
    let mut ceiling = Ceiling { held: None, broken: None, idle_kib, rates: Vec::new() };
    while let Some(rate) = ceiling.next(args) {
        let result = try_rate(args, &preset, &mut target, rate)?;
        println!("{}", line(&result));
        ceiling.record(result);
    }
    println!("{}", table(&ceiling, args.bound));
    if let Some(path) = &args.output.json {
        files::write(path, &output::json(&ceiling))?;
    }
    Ok(())
}

impl Ceiling {
    fn record(&mut self, result: RateResult) {
        if result.held {
            self.held = Some(result.rate);
        } else {
            self.broken = Some(result.rate);
        }
        self.rates.push(result);
    }

    /// The rate to measure next; `None` when the search is complete.
    fn next(&self, args: &Args) -> Option<f64> {
        match (self.held, self.broken) {
            (None, None) => Some(args.from),
            (None, Some(_)) => None,
            (Some(held), None) => (held * 2.0 <= args.to).then_some(held * 2.0),
            (Some(held), Some(broken)) => {
                let first_broken = self.rates.iter().position(|rate| !rate.held)?;
                let halved = self.rates.len() - first_broken - 1;
                (halved < args.halvings).then_some(f64::midpoint(held, broken))
            }
        }
    }
}

fn try_rate(
    args: &Args,
    preset: &Preset,
    target: &mut Target,
    rate: f64,
) -> error::Result<RateResult> {
    let mut result = RateResult {
        rate,
        held: false,
        added_p50: Vec::new(),
        added_p99: Vec::new(),
        direct_p99: Vec::new(),
        tool_p99: Vec::new(),
        answered: 1.0,
        processor_ms: 0.0,
        processor_share: 0.0,
        resident_kib: 0,
    };
    let mut cpu_time = Duration::ZERO;
    let mut requests = 0;
    for repeat in 0..args.repeats.max(1) {
        let seed = args.seed + repeat as u64;
        let direct = phase(args, preset, target, rate, seed, true)?;
        let before = started_usage(target)?;
        let through = phase(args, preset, target, rate, seed, false)?;
        let after = started_usage(target)?;
        cpu_time += after.processor.saturating_sub(before.processor);
        requests += through.timeline.iter().map(|slot| slot.planned).sum::<u64>();
        result.resident_kib = after.resident_kib;
        result.add(&direct, &through);
    }
    let phases = args.repeats.max(1) as f64;
    result.processor_ms = cpu_time.as_secs_f64() * 1000.0 / requests.max(1) as f64;
    result.processor_share = cpu_time.as_secs_f64() / (args.length.as_secs_f64() * phases);
    let bound = args.bound.as_secs_f64() * 1000.0;
    result.held = median(&result.added_p99) <= bound && result.answered >= MIN_ANSWERED;
    Ok(result)
}

impl RateResult {
    fn add(&mut self, direct: &Report, through: &Report) {
        self.added_p50.push(through.latency.p50 - direct.latency.p50);
        self.added_p99.push(through.latency.p99 - direct.latency.p99);
        self.direct_p99.push(direct.latency.p99);
        self.tool_p99.push(through.lag.p99.max(direct.lag.p99));
        let share = through.total.answered as f64 / through.total.planned.max(1) as f64;
        self.answered = self.answered.min(share);
    }
}

fn phase(
    args: &Args,
    preset: &Preset,
    target: &mut Target,
    rate: f64,
    seed: u64,
    is_direct: bool,
) -> error::Result<Report> {
    let plan = Plan { rate, length: args.length, bursts: Vec::new(), seed, tag: tag::fresh() };
    let arrivals = plan.draw(&preset.traffic);
    let setup = Setup {
        label: preset.name.clone(),
        seed,
        length: args.length,
        warm_up: args.warm_up,
        capacity: None,
        faults: Vec::new(),
        resends: 0,
        threads: args.threads,
        is_direct,
        reads_records: false,
    };
    Ok(experiment::run(target, &setup, &arrivals)?.report)
}

fn started_usage(target: &Target) -> error::Result<process::Usage> {
    match target {
        Target::Started(system) => usage(system),
        Target::External(_) => Err(process_gone()),
    }
}

fn usage(system: &System) -> error::Result<process::Usage> {
    let entry = system.live_entries().first().ok_or_else(process_gone)?;
    process::usage(entry.pid).ok_or_else(process_gone)
}

fn process_gone() -> error::Error {
    error::Error::Control {
        what: "reading the resource usage of the entry".to_owned(),
        message: "the process has exited".to_owned(),
    }
}

fn line(rate: &RateResult) -> String {
    format!(
        "{:>8.0}/s {:<8} added p50 {:>7.2} ms, p99 {:>7.2} ms {:?}, answered {:.2}%, {:.3} ms CPU per request, {:.0}% of a core, {} KiB",
        rate.rate,
        if rate.held { "held" } else { "not held" },
        median(&rate.added_p50),
        median(&rate.added_p99),
        rate.added_p99.iter().map(|added| (added * 100.0).round() / 100.0).collect::<Vec<_>>(),
        rate.answered * 100.0,
        rate.processor_ms,
        rate.processor_share * 100.0,
        rate.resident_kib,
    )
}

fn table(ceiling: &Ceiling, bound: Duration) -> String {
    let mut text = String::new();
    let rate =
        |rate: Option<f64>| rate.map_or_else(|| "none".to_owned(), |rate| format!("{rate:.0}/s"));
    writeln!(
        text,
        "held {}, not held {} (added p99 over {:.1} ms or fewer than {:.1}% answered)",
        rate(ceiling.held),
        rate(ceiling.broken),
        bound.as_secs_f64() * 1000.0,
        MIN_ANSWERED * 100.0,
    )
    .ok();
    writeln!(text, "resident memory: idle {} KiB", ceiling.idle_kib).ok();
    text
}

/// Median; of an even number of values the mean of the two middle ones, of none 0.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => 0.0,
        count if count % 2 == 1 => sorted[middle],
        _ => f64::midpoint(sorted[middle - 1], sorted[middle]),
    }
}
