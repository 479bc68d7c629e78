//! Leaving under any order of listings, marks, restarts and calls, against a simple oracle: an
//! endpoint receives calls only in an incarnation that was listed, if neither that incarnation nor
//! a later one was marked as leaving.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use peatdeck_core::{
    endpoints::{CallEnd, CallResult, Settings, State, Table},
    instance::input::RefuseReason,
    model::{EndpointEntry, EndpointName, Incarnation, Presence},
    routing::{self, Criteria},
};
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::{SeedableRng, rngs::SmallRng};

use crate::endpoints::{POOL, entry};

const NAMES: [&str; 3] = ["a", "b", "c"];
const RESULTS: [CallResult; 6] = [
    CallResult::Ok,
    CallResult::Failed,
    CallResult::Cancelled,
    CallResult::Mismatched,
    CallResult::Refused(RefuseReason::Busy),
    CallResult::Refused(RefuseReason::Leaving),
];

#[derive(Debug, Clone)]
enum Step {
    /// A listing of endpoints: index of the name, incarnation, whether leaving.
    List(Vec<(usize, u64, bool)>),
    Mark(usize, u64),
    Wait(u64),
    Call,
    End(usize, CallResult),
}

/// The newest incarnation marked as leaving, by index of the name.
#[derive(Debug, Clone, Default)]
struct Oracle {
    marked: BTreeMap<usize, u64>,
}

impl Oracle {
    fn mark(&mut self, name: usize, incarnation: u64) {
        let known = self.marked.entry(name).or_default();
        *known = incarnation.max(*known);
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle::default()).boxed()
    }

    fn transitions(_: &Oracle) -> BoxedStrategy<Step> {
        let name = || 0..NAMES.len();
        let listed = (name(), 1_u64..5, proptest::bool::weighted(0.2));
        prop_oneof![
            3 => prop::collection::vec(listed, 0..4).prop_map(Step::List),
            1 => (name(), 1_u64..5).prop_map(|(name, incarnation)| Step::Mark(name, incarnation)),
            2 => (1_u64..20_000).prop_map(Step::Wait),
            5 => Just(Step::Call),
            4 => (0_usize..8, prop::sample::select(&RESULTS[..]))
                .prop_map(|(idx, result)| Step::End(idx, result)),
        ]
        .boxed()
    }

    fn apply(mut oracle: Oracle, step: &Step) -> Oracle {
        match step {
            Step::List(listed) => {
                let leaving = listed.iter().filter(|(_, _, leaving)| *leaving);
                leaving.for_each(|(name, incarnation, _)| oracle.mark(*name, *incarnation));
            }
            Step::Mark(name, incarnation) => oracle.mark(*name, *incarnation),
            Step::Wait(_) | Step::Call | Step::End(..) => {}
        }
        oracle
    }
}

struct Fixture {
    table: Table,
    now: Duration,
    rng: SmallRng,
    /// Calls in flight: endpoint, its incarnation and the time at which the call was sent.
    calls: Vec<(EndpointName, Incarnation, Duration)>,
    /// Incarnations that refused a call because they are leaving.
    reported_leaving: Vec<(EndpointName, Incarnation)>,
}

impl Fixture {
    fn call(&mut self, oracle: &Oracle) {
        let criteria =
            Criteria { pool: POOL, prefix: None, exclude: &[], software: None, peers: &|_| 0 };
        let Some(name) = routing::choose(&self.table, self.now, &criteria, &mut self.rng) else {
            return;
        };
        let endpoint = self.table.endpoint(&name).expect("a chosen endpoint is known");
        let incarnation = endpoint.incarnation;
        let idx = NAMES.iter().position(|known| **known == *name).expect("a known name");
        let marked = oracle.marked.get(&idx).copied().unwrap_or(0);
        assert!(
            incarnation.0 > marked,
            "{name} received a call in incarnation {incarnation:?}, marked up to {marked}"
        );
        assert!(
            !self.reported_leaving.contains(&(name.clone(), incarnation)),
            "{name} had reported that it is leaving"
        );
        assert!(endpoint.in_flight < endpoint.limit(self.now), "{name} is at its limit");
        self.table.call_started(self.now, &name);
        self.calls.push((name, incarnation, self.now));
    }

    fn end(&mut self, idx: usize, result: CallResult) {
        if self.calls.is_empty() {
            return;
        }
        let (name, incarnation, sent) = self.calls.swap_remove(idx % self.calls.len());
        let current = self.table.endpoint(&name).map(|endpoint| endpoint.incarnation);
        let is_leaving = result == CallResult::Refused(RefuseReason::Leaving);
        if is_leaving && current == Some(incarnation) {
            self.reported_leaving.push((name.clone(), incarnation));
        }
        let end = CallEnd { took: self.now - sent, result, tokens: None };
        self.table.call_ended(self.now, &name, end);
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = Fixture;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Fixture {
        Fixture {
            table: Table::new(Settings::default()),
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(7),
            calls: Vec::new(),
            reported_leaving: Vec::new(),
        }
    }

    fn apply(mut fixture: Fixture, oracle: &Oracle, step: Step) -> Fixture {
        fixture.now += Duration::from_millis(1);
        match step {
            Step::List(listed) => {
                let entries: Vec<EndpointEntry> = listed.iter().map(listed_entry).collect();
                fixture.table.apply_listing(fixture.now, &entries);
            }
            Step::Mark(name, incarnation) => {
                fixture.table.mark_leaving(NAMES[name], Incarnation(incarnation));
            }
            Step::Wait(ms) => fixture.now += Duration::from_millis(ms),
            Step::Call => fixture.call(oracle),
            Step::End(idx, result) => fixture.end(idx, result),
        }
        fixture
    }

    fn check_invariants(fixture: &Fixture, _: &Oracle) {
        for endpoint in fixture.table.iter() {
            let is_of_incarnation = |call: &&(EndpointName, Incarnation, Duration)| {
                call.0 == endpoint.name && call.1 == endpoint.incarnation
            };
            let in_flight = fixture.calls.iter().filter(is_of_incarnation).count();
            assert_eq!(endpoint.in_flight as usize, in_flight, "{}", endpoint.name);
            let is_unusable = matches!(endpoint.state(), State::Leaving | State::Gone);
            assert!(!is_unusable || endpoint.free(fixture.now) == 0, "{}", endpoint.name);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_260_301),
        failure_persistence: None,
        .. ProptestConfig::default()
    })]

    #[test]
    fn a_leaving_endpoint_receives_no_calls_in_that_incarnation(sequential 1..80 => Test);
}

fn listed_entry((name, incarnation, leaving): &(usize, u64, bool)) -> EndpointEntry {
    let presence = if *leaving { Presence::Leaving } else { Presence::Live };
    EndpointEntry { presence, ..entry(NAMES[*name], *incarnation) }
}
