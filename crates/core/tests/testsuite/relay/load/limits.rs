//! Endpoints that state a limit for all instances together.
//!
//! Guards against calls beyond a stated limit. Engines stated in their replies that they accept
//! one call per second, but got 12 and 13 calls in four seconds, where 11 are allowed, from
//! instances that had received the limit; eight instances sent such an engine as many calls as
//! before, one of them four in 1.1 s. Instances read only the load from a reply, and an engine
//! with a limit has little load, so the placer preferred it. Only cold endpoints had a rate that
//! holds for all instances together. Nothing else goes wrong in these tests.

use super::fleet::{Fleet, LimitedEngine, Outcome, Request};

use crate::relay::fixture::ms;

/// Requests arrive for 14 s from 3 s on; some engines state a limit from 5 s to 13 s.
fn run(instances: usize, engines: usize, per_second: u64, limits: &[f64]) -> Outcome {
    let mut fleet = Fleet::new(instances, engines);
    for (idx, rate) in limits.iter().enumerate() {
        fleet.add_limited_engine(LimitedEngine::new(idx, ms(5000)..ms(13_000), *rate));
    }
    for idx in 0..per_second * 14 {
        let at = ms(3000 + idx * 1000 / per_second);
        fleet.schedule_request(at, Request { id: idx, pieces: 0, shared: idx * 7919 % 90 });
    }
    fleet.run()
}

fn check_limits(outcome: &Outcome) {
    for limited in &outcome.limited {
        let (peak, allowed) = (limited.peak(), limited.allowed());
        assert!(peak <= allowed, "{peak} where {allowed} are allowed: {limited:?}");
    }
}

#[test]
fn all_instances_together_respect_a_limit() {
    let outcome = run(8, 18, 50, &[1.0, 1.0]);
    check_limits(&outcome);
    assert_eq!(outcome.unanswered, 0);
    assert!(outcome.on_time_ratio() > 0.97, "{outcome:?}");
}

/// Each of a hundred instances makes one call or none per second, so the replies that a single
/// instance receives show little of what all of them send.
#[test]
fn a_hundred_instances_together_respect_a_limit() {
    let outcome = run(100, 40, 120, &[0.5, 1.0, 2.5]);
    check_limits(&outcome);
    assert!(outcome.on_time_ratio() > 0.97, "{outcome:?}");
}

/// All engines of a service state a limit, and more requests arrive than they accept together. The
/// limits are used up.
#[test]
fn the_whole_limit_is_used_if_capacity_is_scarce() {
    let outcome = run(8, 4, 40, &[4.0, 4.0, 4.0, 4.0]);
    check_limits(&outcome);
    for limited in &outcome.limited {
        let rate = limited.rate_in(8000..13_000);
        assert!(rate > 0.9 * 4.0, "{rate} a second");
    }
}

/// Once an engine states no limit any more, it gets calls as before.
#[test]
fn a_limit_ends_when_it_is_no_longer_stated() {
    let outcome = run(8, 4, 40, &[0.5]);
    check_limits(&outcome);
    let (before, after) =
        (outcome.limited[0].rate_in(3000..5000), outcome.limited[0].rate_in(15_000..17_000));
    assert!(after > before / 2.0, "{before} a second before, {after} after");
}
