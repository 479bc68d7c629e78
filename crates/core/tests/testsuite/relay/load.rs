//! Simulated loads on several instances, and the outcomes for callers.
//!
//! Each figure is for the load that its test describes. Time is virtual and seeds are fixed, so the
//! figures are the same on every run.

mod chain;
mod fleet;
mod limits;

use std::time::Duration;

use peatdeck_core::relay::directory::{Change, Entry};

use fleet::{COLD_INTERVAL, Fleet, Outcome, Request};

use crate::relay::fixture::ms;

/// `count` evenly spaced requests from `start` on, each with its time and index.
fn evenly(start: Duration, count: u64, per_second: u64) -> impl Iterator<Item = (Duration, u64)> {
    (0..count).map(move |idx| (start + ms(idx * 1000 / per_second), idx))
}

fn burst_of_large_results(engines: usize) -> Outcome {
    let mut fleet = Fleet::new(6, engines);
    for (at, idx) in evenly(ms(3000), 228, 38) {
        fleet.schedule_request(at, Request { id: idx, pieces: 2, shared: idx % 40 });
    }
    fleet.run()
}

/// For six seconds more requests with large results arrive than fit the result memory. 145 of 228
/// requests met the objective while each result was held until the first token; 163 do now that
/// results which have probably been read are evicted.
#[test]
fn a_burst_that_exceeds_the_result_memory() {
    let outcome = burst_of_large_results(8);
    assert_eq!((outcome.unanswered, outcome.failed), (0, 0));
    assert!(outcome.on_time > 155, "{outcome:?}");
}

/// The same load with fewer engines, which are now scarcer than result memory. Requests have to
/// wait for memory, most urgent first, and not at the engines.
#[test]
fn a_burst_that_exceeds_the_engines() {
    let outcome = burst_of_large_results(4);
    assert_eq!((outcome.unanswered, outcome.failed), (0, 0));
    assert!(outcome.on_time > 130, "{outcome:?}");
}

/// Six instances get prompts that share their first parts, 90 different ones in 12 s. 8 parts were
/// prefilled again while each instance chose engines independently; with a placer none is.
#[test]
fn prompts_with_shared_parts() {
    let mut fleet = Fleet::new(6, 12);
    for (at, idx) in evenly(ms(3000), 480, 40) {
        fleet.schedule_request(at, Request { id: idx, pieces: 0, shared: idx * 7 % 90 });
    }
    let outcome = fleet.run();
    assert_eq!(outcome.unanswered, 0);
    assert_eq!(outcome.prefilled_again, 0);
    assert!(outcome.on_time_ratio() > 0.99, "{outcome:?}");
}

/// The same load while one instance, which may be the placer, answers no peer for two seconds. The
/// others choose engines independently.
#[test]
fn an_unresponsive_placer_costs_little() {
    let mut fleet = Fleet::new(6, 12);
    for (at, idx) in evenly(ms(3000), 480, 40) {
        fleet.schedule_request(at, Request { id: idx, pieces: 0, shared: idx * 7 % 90 });
    }
    fleet.make_unresponsive(0, ms(6000)..ms(8000));
    let outcome = fleet.run();
    assert_eq!(outcome.unanswered, 0);
    assert!(outcome.on_time_ratio() > 0.97, "{outcome:?}");
}

/// Twice the load that the piece endpoints can run, for ten seconds. Requests that are refused are
/// refused early, and admitted ones are served.
#[test]
fn a_lasting_overload() {
    let mut fleet = Fleet::new(6, 12);
    for (at, idx) in evenly(ms(3000), 600, 60) {
        fleet.schedule_request(at, Request { id: idx, pieces: 3, shared: idx % 40 });
    }
    let outcome = fleet.run();
    assert_eq!(outcome.unanswered, 0);
    assert!(outcome.on_time_ratio() > 0.30, "{outcome:?}");
    assert!(outcome.mean_refusal_time < ms(600), "{outcome:?}");
    assert!(outcome.failed <= 6, "{outcome:?}");
}

/// Three hundred instances and 160 engines at a tenth of their capacity. With one placer per eight
/// instances, the busiest engine got 3.9 times the mean number of calls, and 117 shared parts were
/// prefilled again; with one per 40 engines, 2.9 times and 12.
#[test]
fn many_instances_spread_their_prompts_over_all_engines() {
    let mut fleet = Fleet::new(300, 160);
    for (at, idx) in evenly(ms(3000), 1600, 200) {
        fleet.schedule_request(at, Request { id: idx, pieces: 0, shared: idx * 7919 % 400 });
    }
    let outcome = fleet.run();
    assert_eq!(outcome.unanswered, 0);
    assert!(outcome.on_time_ratio() > 0.99, "{outcome:?}");
    assert!(outcome.peak_load < 3.2 && outcome.prefilled_again < 30, "{outcome:?}");
}

/// Three hundred instances start at once. While each began stages before it knew its peers, twelve
/// of them batched independently, and 2 of the 12 requests met the objective.
#[test]
fn instances_that_start_together_use_one_batcher() {
    let mut fleet = Fleet::restarted(300, 160);
    for (at, idx) in evenly(ms(20), 12, 80) {
        fleet.schedule_request(at, Request { id: idx, pieces: 2, shared: idx });
    }
    let outcome = fleet.run();
    assert_eq!((outcome.unanswered, outcome.failed), (0, 0));
    assert_eq!(outcome.batchers.len(), 1, "{outcome:?}");
    assert!(outcome.on_time_ratio() > 0.9, "{outcome:?}");
}

/// When the cold engines of [`a_burst_before_cold_engines`] become cold.
const COLD_SINCE: Duration = Duration::from_secs(3);
/// How long they are cold.
const COLD_TIME: Duration = Duration::from_secs(5);

/// 86 instances and twelve engines, of which four are removed and four become cold while three
/// times as many prompts arrive as the four warm ones can prefill.
fn a_burst_before_cold_engines(is_unresponsive: bool) -> Outcome {
    let mut fleet = Fleet::new(86, 12);
    for idx in 0..12 {
        let entry = fleet::engine_entry(idx);
        let lost = Change::Removed(entry.name.clone());
        let cold = Change::Put(Entry { cold_left: Some(COLD_TIME), ..entry });
        match idx % 3 {
            0 => fleet.schedule_change(ms(500), lost),
            1 => fleet.schedule_change(COLD_SINCE, cold),
            _ => {}
        }
    }
    for (at, idx) in evenly(ms(2000), 1200, 150) {
        fleet.schedule_request(at, Request { id: idx, pieces: 0, shared: idx % 40 });
    }
    if is_unresponsive {
        fleet.make_unresponsive(3, ms(4000)..ms(6000));
    }
    fleet.run()
}

/// The most calls in any second, and all calls, to a cold engine while all instances have received
/// that it is cold.
fn calls_while_cold(outcome: &Outcome, name: &str) -> (usize, usize) {
    let informed_at = COLD_SINCE + ms(450);
    let is_cold = |at: &&Duration| (informed_at..COLD_SINCE + COLD_TIME).contains(*at);
    let sent: Vec<_> =
        outcome.calls_by_engine[&*format!("{name}:80")].iter().filter(is_cold).collect();
    let in_second =
        |from: &Duration| sent.iter().filter(|at| (*from..*from + ms(1000)).contains(**at)).count();
    (sent.iter().map(|at| in_second(at)).max().unwrap_or_default(), sent.len())
}

/// A cold engine gets at most one call in a second more than its rate allows, and over nine tenths
/// of the allowed calls. While an empty engine had the lowest cost and no limited rate, the first
/// one got 19 calls in a second, where 15 are allowed.
#[test]
fn cold_engines_are_used_up_to_their_rate() {
    for is_unresponsive in [false, true] {
        let outcome = a_burst_before_cold_engines(is_unresponsive);
        assert_eq!(outcome.unanswered, 0);
        let allowed = (COLD_TIME - ms(450)).as_secs_f64() / COLD_INTERVAL.as_secs_f64();
        for name in ["e1", "e4", "e7", "e10"] {
            let (peak, total) = calls_while_cold(&outcome, name);
            assert!(peak <= 7, "{name}: {peak} in a second");
            assert!(total as f64 > 0.9 * allowed, "{name}: {total} of {allowed}");
        }
    }
}
