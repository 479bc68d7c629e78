//! Virtual-time trials of the decisions round one pool.
//!
//! A few instances share a pool of endpoints. Arrivals and service times come
//! from a fixed seed and are the same for every variant, so that variants are
//! compared pairwise. No process, socket or clock takes part: the figures show
//! what the decisions do to each other, not what a deployment does.
//!
//! `cargo run --release -p peatdeck-core --example pool [SEEDS]`

mod model;
mod world;

use std::time::Duration;

use model::{Choice, Fault, Outcome, Scenario, Variant};
use world::World;

/// Mean service time of a call to a plain service.
const SHORT: Duration = Duration::from_millis(100);
/// Mean service time of a generation.
const LONG: Duration = Duration::from_secs(2);
/// Repeats of each trial where none are given.
const DEFAULT_SEEDS: u64 = 5;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    println!("share of requests in time: mean over {seeds} seeds (least, most); waste: share of");
    println!("endpoint work spent on requests that weren't in time; p99 of those in time\n");
    for scenario in scenarios() {
        println!("{}", scenario.name());
        for variant in variants() {
            let outcomes: Vec<Outcome> =
                (0..seeds).map(|seed| World::new(&scenario, &variant, seed).run()).collect();
            report(&variant, &outcomes);
        }
        println!();
    }
}

fn report(variant: &Variant, outcomes: &[Outcome]) {
    let shares: Vec<f64> = outcomes.iter().map(Outcome::attained).collect();
    let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
    let most = shares.iter().copied().fold(0.0, f64::max);
    let waste: Vec<f64> = outcomes.iter().map(Outcome::wasted).collect();
    let p99: Vec<f64> = outcomes.iter().map(|outcome| outcome.p99() * 1000.0).collect();
    println!(
        "  {:<28} {:.3} ({:.3}, {:.3})  waste {:.3}  p99 {:>4.0} ms",
        variant.name,
        mean(&shares),
        least,
        most,
        mean(&waste),
        mean(&p99),
    );
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn variants() -> Vec<Variant> {
    let full = Variant::full();
    vec![
        Variant { name: "baseline", choice: Choice::Random, ..Variant::baseline() },
        Variant { name: "full", ..full },
        Variant { name: "full, random choice", choice: Choice::Random, ..full },
        Variant { name: "full, own calls only", peers: false, reports: false, ..full },
        Variant { name: "full, no reports", reports: false, ..full },
        Variant { name: "full, no peers", peers: false, ..full },
        Variant { name: "full, fixed limit of 64", adaptive: false, ..full },
        Variant { name: "full, no admission", admission: false, ..full },
        Variant { name: "full, no hedges", hedges: false, ..full },
    ]
}

fn scenarios() -> Vec<Scenario> {
    let at = |load, fault| Scenario { load, fault, mean: SHORT };
    let long = |load, fault| Scenario { load, fault, mean: LONG };
    vec![
        at(0.5, Fault::None),
        at(0.8, Fault::None),
        at(1.0, Fault::None),
        at(1.3, Fault::None),
        at(2.0, Fault::None),
        at(0.8, Fault::Straggler),
        at(1.3, Fault::Straggler),
        at(0.8, Fault::Killed),
        at(0.8, Fault::LateReports),
        at(1.3, Fault::LateReports),
        long(0.8, Fault::None),
        long(1.3, Fault::None),
        long(0.8, Fault::Straggler),
    ]
}
