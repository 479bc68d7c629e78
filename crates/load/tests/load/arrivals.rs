#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_load::{
    arrivals::{Arrival, Burst, Plan},
    workload::Workload,
};

const MIX: &str = r#"
[[team]]
name = "big"
share = 9.0
[[team]]
name = "small"
share = 1.0
[[class]]
pipeline = "draft"
share = 3.0
idempotent = true
deadline_ms = 800
input_bytes = 8
prefixes = 2
prefix_bytes = 16
[[class]]
pipeline = "ticket"
share = 1.0
deadline_ms = 500
"#;

fn plan(seed: u64) -> Plan {
    Plan { rate: 100.0, length: Duration::from_secs(30), bursts: Vec::new(), seed, tag: "t".into() }
}

fn draw(plan: &Plan) -> Vec<Arrival> {
    plan.draw(&Workload::parse(MIX).expect("the mix is right"))
}

fn within(arrivals: &[Arrival], from: u64, to: u64) -> usize {
    let (from, to) = (Duration::from_secs(from), Duration::from_secs(to));
    arrivals.iter().filter(|arrival| from <= arrival.at && arrival.at < to).count()
}

#[test]
fn the_seed_determines_the_plan() {
    assert_eq!(draw(&plan(1)), draw(&plan(1)));
    assert_ne!(draw(&plan(1)), draw(&plan(2)));
}

#[test]
fn arrivals_are_poisson_at_the_rate() {
    let arrivals = draw(&plan(3));
    let gaps: Vec<f64> =
        arrivals.windows(2).map(|pair| (pair[1].at - pair[0].at).as_secs_f64()).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
    // The standard deviation of an exponential distribution equals its mean.
    assert!((mean * 100.0 - 1.0).abs() < 0.05, "mean gap {mean}");
    assert!((variance.sqrt() / mean - 1.0).abs() < 0.1, "deviation {}", variance.sqrt());
}

#[test]
fn a_burst_multiplies_the_rate_while_it_lasts() {
    let burst = Burst { at: Duration::from_secs(10), length: Duration::from_secs(10), factor: 5.0 };
    let arrivals = draw(&Plan { bursts: vec![burst], ..plan(4) });
    let (before, during, after) =
        (within(&arrivals, 0, 10), within(&arrivals, 10, 20), within(&arrivals, 20, 30));
    assert!((900..1100).contains(&before), "{before}");
    assert!((4700..5300).contains(&during), "{during}");
    assert!((900..1100).contains(&after), "{after}");
}

#[test]
fn a_burst_of_factor_zero_has_no_arrivals() {
    let burst = Burst { at: Duration::from_secs(10), length: Duration::from_secs(10), factor: 0.0 };
    let arrivals = draw(&Plan { bursts: vec![burst], ..plan(4) });
    assert_eq!(within(&arrivals, 10, 20), 0);
    assert!(within(&arrivals, 20, 30) > 900);
}

#[test]
fn shares_hold_for_teams_and_classes() {
    let arrivals = draw(&plan(5));
    let share = |wanted: &dyn Fn(&Arrival) -> bool| {
        arrivals.iter().filter(|arrival| wanted(arrival)).count() as f64 / arrivals.len() as f64
    };
    assert!((share(&|arrival| &*arrival.team == "big") - 0.9).abs() < 0.03);
    assert!((share(&|arrival| &*arrival.pipeline == "draft") - 0.75).abs() < 0.03);
}

#[test]
fn inputs_start_with_one_of_the_prefixes() {
    let arrivals = draw(&plan(6));
    let mut prefixes: Vec<&str> = arrivals
        .iter()
        .filter(|arrival| &*arrival.pipeline == "draft")
        .map(|arrival| &arrival.input[..16])
        .collect();
    prefixes.sort_unstable();
    prefixes.dedup();
    assert_eq!(prefixes, ["draft/0 draft/0 ", "draft/1 draft/1 "]);
}

#[test]
fn ids_are_unique() {
    let arrivals = draw(&plan(7));
    let mut ids: Vec<_> = arrivals.iter().map(|arrival| arrival.id.clone()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), arrivals.len());
}

#[test]
fn a_mix_without_shares_is_refused_with_its_remedy() {
    let text = MIX.replace("share = 9.0", "share = 0.0").replace("share = 1.0", "share = 0.0");
    expect_test::expect!["the workload cannot be used: no `[[team]]` has a share above 0; correct the TOML file given with --workload"]
        .assert_eq(&Workload::parse(&text).unwrap_err().to_string());
}
