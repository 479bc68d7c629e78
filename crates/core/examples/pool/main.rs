//! Simulation in virtual time of admission and routing for one pool.
//!
//! A few instances share a pool of endpoints. Arrivals and service times are drawn
//! from a fixed seed and are the same for every variant, so that variants are
//! compared pairwise. There are no processes, sockets or clocks: the figures show
//! how the mechanisms interact, not how a deployment performs.
//!
//! `cargo run --release -p peatdeck-core --example pool [SEEDS]`

#![allow(clippy::unchecked_time_subtraction)]

mod model;
mod world;

use std::time::Duration;

use model::{Choice, Fault, Outcome, Scenario, Variant};
use world::World;

/// Mean service time of a call to a service.
const SHORT: Duration = Duration::from_millis(100);
/// Mean service time of a generation.
const LONG: Duration = Duration::from_secs(2);
/// Number of seeds for each trial unless given as an argument.
const DEFAULT_SEEDS: u64 = 5;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    println!("in time: share of requests, mean over {seeds} seeds; less: shortfall against `full`");
    println!("on the same seed, mean (least, most); waste: share of endpoint work that no reply");
    println!("was taken from; p99: of the times of requests in time");
    for scenario in scenarios() {
        println!("\n{}", scenario.name());
        println!("  {:<24} in time  less                       waste  p99 ms", "");
        let full = run(&scenario, &Variant::full(), seeds);
        for variant in variants() {
            report(&variant, &run(&scenario, &variant, seeds), &full);
        }
    }
}

fn run(scenario: &Scenario, variant: &Variant, seeds: u64) -> Vec<Outcome> {
    (0..seeds).map(|seed| World::new(scenario, variant, seed).run()).collect()
}

fn report(variant: &Variant, outcomes: &[Outcome], full: &[Outcome]) {
    let shares: Vec<f64> = outcomes.iter().map(Outcome::in_time_share).collect();
    let pairs = shares.iter().zip(full);
    let shortfall: Vec<f64> = pairs.map(|(share, full)| full.in_time_share() - share).collect();
    let least = shortfall.iter().copied().fold(f64::INFINITY, f64::min);
    let most = shortfall.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let waste: Vec<f64> = outcomes.iter().map(Outcome::wasted_share).collect();
    let p99: Vec<f64> = outcomes.iter().map(|outcome| outcome.p99() * 1000.0).collect();
    println!(
        "  {:<24} {:.3}    {:>6.3} ({:>6.3}, {:>6.3})  {:.3}  {:>6.0}",
        variant.name,
        mean(&shares),
        mean(&shortfall),
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
        Variant { name: "full, no ejection", ejection: false, ..full },
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
