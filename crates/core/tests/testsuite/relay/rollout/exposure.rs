//! A bad version gets few requests and is rolled back; a good one is completed in time.

use std::time::Duration;

use peatdeck_core::relay::rollout::Phase;

use crate::relay::rollout::fleet::{DURATION, Fault, Fleet, Outcome};

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
        let text = format!("{fault:?}, {instances} instances: {}", summary(&outcome));
        let max = outcome.requests as f64 * 0.1 + 50.0;
        assert!(outcome.exposed as f64 <= max, "{text}");
        if let Some(fiftieth) = outcome.bad_replies.get(49) {
            assert!(outcome.last_exposed <= *fiftieth + Duration::from_secs(5), "{text}");
        }
        let is_rolled_back = matches!(outcome.end, Some((Phase::RolledBack, at)) if at <= DURATION);
        assert!(is_rolled_back, "{text}");
        assert_eq!(outcome.shifted, None, "{text}");
        println!("{text}");
    }
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
