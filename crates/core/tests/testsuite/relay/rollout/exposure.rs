//! A bad version gets few requests and is rolled back; a good one is completed in time.

use std::time::Duration;

use peatdeck_core::relay::rollout::Phase;

use crate::relay::rollout::{
    faults::Fault,
    fleet::{DURATION, Fleet, Outcome},
};

/// Instances and requests a second.
const SIZES: [(usize, u32); 3] = [(8, 600), (86, 1200), (300, 3000)];

fn summary(outcome: &Outcome) -> String {
    let Outcome { requests, exposed, bad_replies, last_exposed, shifted, end, reason, lost } =
        outcome;
    format!(
        "{exposed} of {requests} requests exposed, {} bad replies, last exposed {last_exposed:?}, \
         shifted {shifted:?}, end {end:?}, {lost} lost: {reason:?}",
        bad_replies.len()
    )
}

/// A bad version would break the bounds that the operators set.
fn check_bad(fault: Fault) {
    for (instances, rate) in SIZES {
        let outcome = Fleet::new(instances, rate, fault).run();
        check_rolled_back(&outcome, &format!("{fault:?}, {instances} instances"));
    }
}

fn check_rolled_back(outcome: &Outcome, what: &str) {
    let text = format!("{what}: {}", summary(outcome));
    let max = outcome.requests as f64 * 0.1 + 50.0;
    assert!(outcome.exposed as f64 <= max, "{text}");
    if let Some(fiftieth) = outcome.bad_replies.get(49) {
        assert!(outcome.last_exposed <= *fiftieth + Duration::from_secs(5), "{text}");
    }
    let is_rolled_back = matches!(outcome.end, Some((Phase::RolledBack, at)) if at <= DURATION);
    assert!(is_rolled_back, "{text}");
    assert_eq!(outcome.shifted, None, "{text}");
}

#[test]
fn a_version_that_fails_from_the_start_is_rolled_back() {
    check_bad(Fault::Failing);
}

#[test]
fn a_version_that_is_slow_from_the_start_is_rolled_back() {
    check_bad(Fault::Slow);
}

#[test]
fn a_version_that_fails_after_a_while_is_rolled_back() {
    check_bad(Fault::AfterWhile);
}

#[test]
fn a_version_that_fails_under_load_is_rolled_back() {
    check_bad(Fault::UnderLoad);
}

#[test]
fn a_version_that_fails_on_one_route_is_rolled_back() {
    check_bad(Fault::OneRoute);
}

/// A good version that is rolled back costs the operators the release.
#[test]
fn a_good_version_is_completed_in_time() {
    for (instances, rate) in SIZES {
        let outcome = Fleet::new(instances, rate, Fault::None).run();
        let text = format!("{instances} instances: {}", summary(&outcome));
        let is_completed = matches!(outcome.end, Some((Phase::Completed, at)) if at <= DURATION);
        assert!(is_completed, "{text}");
        assert_eq!(outcome.lost, 0, "{text}");
        println!("{text}");
    }
}

/// A version that turns bad once all calls go there is not completed.
#[test]
fn a_version_that_fails_after_the_shift_is_rolled_back() {
    let outcome = Fleet::new(86, 1200, Fault::AfterShift).run();
    let text = summary(&outcome);
    let is_rolled_back = matches!(outcome.end, Some((Phase::RolledBack, at)) if at <= DURATION);
    assert!(is_rolled_back && outcome.shifted.is_some(), "{text}");
    let fiftieth = outcome.bad_replies[49];
    assert!(outcome.last_exposed <= fiftieth + Duration::from_secs(5), "{text}");
}

/// The next deciding instance has to find the fault in the reports.
#[test]
fn a_bad_version_is_rolled_back_if_the_deciding_instance_ends() {
    let fleet = Fleet::new(86, 1200, Fault::OneRoute).kill_deciding(Duration::from_secs(2));
    check_rolled_back(&fleet.run(), "the deciding instance ends");
}

#[test]
fn a_good_version_is_completed_if_the_deciding_instance_ends() {
    let fleet = Fleet::new(86, 1200, Fault::None).kill_deciding(Duration::from_secs(5));
    let outcome = fleet.run();
    let is_completed = matches!(outcome.end, Some((Phase::Completed, at)) if at <= DURATION);
    assert!(is_completed, "{}", summary(&outcome));
}

/// The halt works without the store; the final state is written when it returns.
#[test]
fn a_bad_version_is_halted_while_the_store_is_unreachable() {
    let fleet = Fleet::new(86, 1200, Fault::Failing).with_outage(Duration::from_secs(8));
    let outcome = fleet.run();
    check_rolled_back(&outcome, "outage of the store");
    assert!(outcome.last_exposed < Duration::from_secs(4), "{}", summary(&outcome));
}
