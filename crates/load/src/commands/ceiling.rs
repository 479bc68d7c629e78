//! `ceiling`: the rate that one entry holds.
//!
//! At each rate the same requests go straight to the endpoints and through
//! the entry, in turn within one run, so that the machine's state hits both
//! alike. The rate is held while the entry adds no more than the bound to the
//! p99 and answers nearly everything. The rate is doubled until it is not
//! held, then the gap is halved a few times.

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

/// Flags.
#[data]
pub struct Args {
    /// The preset; its first entry is measured.
    pub started: args::Started,
    /// The rate to start from.
    pub from: f64,
    /// The rate to end at.
    pub to: f64,
    /// How often the gap is halved.
    pub halvings: usize,
    /// Phases of each kind at each rate.
    pub repeats: usize,
    /// Length of a phase.
    pub length: Duration,
    /// Time at the start of a phase that does not count.
    pub warm_up: Duration,
    /// What the entry may add to the p99.
    pub bound: Duration,
    /// The seed of the arrivals.
    pub seed: u64,
    /// Threads that send.
    pub threads: usize,
    /// Where results go.
    pub output: args::Output,
}

/// Share of the requests that has to be answered for a rate to be held.
const ANSWERED: f64 = 0.999;

/// What was found at one rate.
#[message]
pub struct Rate {
    /// Requests a second.
    pub rate: f64,
    /// Whether the entry held it.
    pub held: bool,
    /// What the entry added to the p50, in milliseconds, in each repeat.
    pub added_p50: Vec<f64>,
    /// What the entry added to the p99, in milliseconds, in each repeat.
    pub added_p99: Vec<f64>,
    /// The direct p99, in milliseconds, in each repeat.
    pub direct_p99: Vec<f64>,
    /// The tool's own p99 delay, in milliseconds, the larger of the two kinds.
    pub tool_p99: Vec<f64>,
    /// Share of requests that the entry answered, the smallest of the repeats.
    pub answered: f64,
    /// Processor time of the entry a request, in milliseconds, over all repeats.
    pub processor_ms: f64,
    /// Share of one processor that the entry used.
    pub processor_share: f64,
    /// Resident memory of the entry afterwards, in KiB.
    pub resident_kib: u64,
}

/// What the search gave.
#[message]
pub struct Ceiling {
    /// The largest rate that was held; `None` if not even the first was.
    pub held: Option<f64>,
    /// The smallest rate that was not held; `None` if all were.
    pub broken: Option<f64>,
    /// Resident memory of the entry before the first request, in KiB.
    pub idle_kib: u64,
    /// Every rate that was tried, in the order of trial.
    pub rates: Vec<Rate>,
}

/// Parses the flags.
pub fn cli() -> impl Parser<Args> {
    let started = args::started();
    let from = rate("from", "The rate to start from", 100.0);
    let to = rate("to", "The rate to end at", 20_000.0);
    let halvings = long("halvings")
        .help("How often the gap between held and not held is halved")
        .argument::<usize>("N")
        .fallback(3)
        .display_fallback();
    let repeats = args::repeats();
    let length = args::time("length", "Length of a phase", "4s");
    let warm_up = args::time("warm-up", "Time at a phase's start that does not count", "1s");
    let bound = args::time("bound", "What the entry may add to the p99", "5ms");
    let seed = args::seed();
    let threads = args::threads(3);
    let output = args::output();
    construct!(Args {
        started,
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

/// Looks for the ceiling.
///
/// # Errors
/// If the system does not start or breaks.
pub fn exec(args: &Args) -> error::Result<()> {
    let named = args::Started {
        preset: args.started.preset.clone().or_else(|| Some("thin".to_owned())),
        count: Some(1),
        ..args.started.clone()
    };
    let preset = named.preset()?.expect("a name was filled in");
    let system = launch::start(&preset, &named.launch()?)?;
    let idle_kib = usage(&system)?.resident_kib;
    let mut target = Target::Started(Box::new(system));
    let mut ceiling = Ceiling { held: None, broken: None, idle_kib, rates: Vec::new() };
    while let Some(rate) = ceiling.next(args) {
        let tried = try_rate(args, &preset, &mut target, rate)?;
        println!("{}", line(&tried));
        ceiling.note(tried);
    }
    println!("{}", table(&ceiling, args.bound));
    if let Some(path) = &args.output.json {
        files::write(path, &output::json(&ceiling))?;
    }
    Ok(())
}

impl Ceiling {
    fn note(&mut self, tried: Rate) {
        if tried.held {
            self.held = Some(tried.rate);
        } else {
            self.broken = Some(tried.rate);
        }
        self.rates.push(tried);
    }

    /// The rate to try next; `None` when the search is over.
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

fn try_rate(args: &Args, preset: &Preset, target: &mut Target, rate: f64) -> error::Result<Rate> {
    let mut tried = Rate {
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
    let mut processor = Duration::ZERO;
    let mut requests = 0;
    for repeat in 0..args.repeats.max(1) {
        let seed = args.seed + repeat as u64;
        let direct = phase(args, preset, target, rate, seed, true)?;
        let before = started_usage(target)?;
        let through = phase(args, preset, target, rate, seed, false)?;
        let after = started_usage(target)?;
        processor += after.processor.saturating_sub(before.processor);
        requests += through.timeline.iter().map(|slot| slot.planned).sum::<u64>();
        tried.resident_kib = after.resident_kib;
        tried.add(&direct, &through);
    }
    let phases = args.repeats.max(1) as f64;
    tried.processor_ms = processor.as_secs_f64() * 1000.0 / requests.max(1) as f64;
    tried.processor_share = processor.as_secs_f64() / (args.length.as_secs_f64() * phases);
    let bound = args.bound.as_secs_f64() * 1000.0;
    tried.held = median(&tried.added_p99) <= bound && tried.answered >= ANSWERED;
    Ok(tried)
}

impl Rate {
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
    direct: bool,
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
        direct,
        records: false,
    };
    Ok(experiment::run(target, &setup, &arrivals)?.report)
}

fn started_usage(target: &Target) -> error::Result<process::Usage> {
    match target {
        Target::Started(system) => usage(system),
        Target::Given(_) => Err(gone()),
    }
}

fn usage(system: &System) -> error::Result<process::Usage> {
    let entry = system.live_entries().first().ok_or_else(gone)?;
    process::usage(entry.pid).ok_or_else(gone)
}

fn gone() -> error::Error {
    error::Error::Control {
        what: "reading the entry's use of the machine".to_owned(),
        message: "its process is gone".to_owned(),
    }
}

fn line(rate: &Rate) -> String {
    format!(
        "{:>8.0}/s {:<8} added p50 {:>7.2} ms, p99 {:>7.2} ms {:?}, answered {:.2}%, {:.3} ms processor a request, {:.0}% of a processor, {} KiB",
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
        ANSWERED * 100.0,
    )
    .ok();
    writeln!(text, "resident memory: idle {} KiB", ceiling.idle_kib).ok();
    text
}

/// The middle of some values; the mean of the two middle ones of an even number.
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
