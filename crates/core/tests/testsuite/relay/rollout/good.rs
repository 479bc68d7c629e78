//! Good versions are not taken for bad ones.

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        model::EndpointId,
        position::Position,
        rollout::{Counts, Evidence, Phase, RouteCounts, sprt::Outcome, tally::Tally},
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::relay::fixture::ms;

const INSTANCES: usize = 4;
/// Intervals of 250 ms in which replies are counted.
const STEPS: u32 = 40;
/// Replies of an instance in an interval.
const STABLE: u32 = 60;
const CANARY: u32 = 4;

/// Rates of bad replies of a good version and of the one in force.
struct Drawn {
    usual: f64,
    burst: (u32, u32, f64),
    release: (u32, u32, f64),
    endpoints: usize,
    /// Whether the first endpoint of the new version is slow.
    is_first_slow: bool,
    is_old_slow: bool,
}

impl Drawn {
    fn new(rng: &mut SmallRng) -> Drawn {
        let mut period = |max: f64| {
            let begin = rng.random_range(0..STEPS);
            (begin, begin + rng.random_range(2..12), rng.random_range(0.0..max))
        };
        let (burst, release) = (period(0.9), period(0.2));
        let endpoints = rng.random_range(1..8);
        Drawn {
            usual: rng.random_range(0.0..0.05),
            burst,
            release,
            endpoints,
            is_first_slow: endpoints >= 3 && rng.random_bool(0.5),
            is_old_slow: rng.random_bool(0.5),
        }
    }

    fn rate(&self, step: u32) -> f64 {
        let part = |(begin, end, rate): (u32, u32, f64)| {
            if (begin..end).contains(&step) { rate } else { 0.0 }
        };
        (self.usual + part(self.burst) + part(self.release)).min(1.0)
    }
}

fn endpoint(idx: usize) -> EndpointId {
    EndpointId { name: format!("e{idx}").into(), incarnation: Incarnation(1) }
}

/// Adds the replies of one interval to an instance's counts.
fn count(rng: &mut SmallRng, drawn: &Drawn, step: u32, evidence: &mut Evidence) {
    let rate = drawn.rate(step);
    let mut reply = |rate: f64| match rng.random_bool(rate) {
        true => Counts { failed: 1, ..Counts::default() },
        false => Counts { good: 1, ..Counts::default() },
    };
    let old_rate = if drawn.is_old_slow { (rate + 0.02).min(1.0) } else { rate };
    let stable: Vec<_> = (0..STABLE).map(|_| reply(old_rate)).collect();
    let canary: Vec<_> = (0..CANARY).map(|_| reply(rate)).collect();
    let route = &mut evidence.routes[usize::from(step.is_multiple_of(4))];
    stable.into_iter().for_each(|it| route.stable.add(it));
    for it in canary {
        let idx = rng.random_range(0..drawn.endpoints);
        let is_slow = idx == 0 && drawn.is_first_slow;
        let it = if is_slow { Counts { slow: 1, ..Counts::default() } } else { it };
        route.canary.add(it);
        evidence.endpoints[idx].1.add(it);
    }
}

fn run(seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let drawn = Drawn::new(&mut rng);
    let route = |name: &str| RouteCounts {
        route: name.into(),
        stable: Counts::default(),
        canary: Counts::default(),
    };
    let mut evidence = Evidence {
        service: "desk".into(),
        order: Position::default(),
        content: 0,
        age: Duration::ZERO,
        phase: Phase::Canary,
        is_halted: false,
        old_calls: 0,
        routes: vec![route("a"), route("b")],
        endpoints: (0..drawn.endpoints).map(|idx| (endpoint(idx), Counts::default())).collect(),
    };
    let mut instances = vec![evidence.clone(); INSTANCES];
    let mut own_tests = vec![Tally::default(); INSTANCES];
    let mut tally = Tally::default();
    let mut outcome = Outcome::Undecided;
    for step in 0..STEPS {
        let now = ms(250) * step;
        for (idx, own) in instances.iter_mut().enumerate() {
            own.age = now;
            count(&mut rng, &drawn, step, own);
            let name: Arc<str> = format!("i{idx}").into();
            tally.record(&name, own);
            own_tests[idx].record(&name, own);
            if own_tests[idx].test(now, INSTANCES + 1) == Outcome::Rejected {
                return Outcome::Rejected;
            }
        }
        evidence.age = now;
        outcome = tally.test(now, 1);
        if outcome == Outcome::Rejected {
            return outcome;
        }
    }
    outcome
}

/// A burst, a slow endpoint or a release hits both versions, and is no fault of the new one.
#[test]
fn no_good_version_is_rejected() {
    let outcomes: Vec<_> = (0..1000).map(|seed| (seed, run(seed))).collect();
    let rejected: Vec<_> =
        outcomes.iter().filter(|(_, it)| *it == Outcome::Rejected).map(|(seed, _)| seed).collect();
    let accepted = outcomes.iter().filter(|(_, it)| *it == Outcome::Accepted).count();
    assert!(rejected.is_empty(), "seeds {rejected:?}, {accepted} accepted");
    println!("{accepted} of 1000 accepted");
    assert!(accepted >= 800, "{accepted} accepted");
}
