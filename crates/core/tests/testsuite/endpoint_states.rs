//! Leaving under any order of lists, marks, restarts and calls, against a
//! simple oracle: an endpoint gets work only in an incarnation that was listed
//! and that nobody has marked, itself or a later one.

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
    /// A list with these endpoints: name, incarnation, whether leaving.
    List(Vec<(usize, u64, bool)>),
    Mark(usize, u64),
    Wait(u64),
    Call,
    End(usize, CallResult),
}

/// The oracle: the newest incarnation marked, for each name.
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
            1 => (name(), 1_u64..5).prop_map(|(name, life)| Step::Mark(name, life)),
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
                leaving.for_each(|(name, life, _)| oracle.mark(*name, *life));
            }
            Step::Mark(name, life) => oracle.mark(*name, *life),
            Step::Wait(_) | Step::Call | Step::End(..) => {}
        }
        oracle
    }
}

struct Driven {
    table: Table,
    now: Duration,
    rng: SmallRng,
    /// Calls under way: name, incarnation and time of sending.
    calls: Vec<(EndpointName, Incarnation, Duration)>,
    /// Incarnations whose own answer said that they leave.
    told: Vec<(EndpointName, Incarnation)>,
}

impl Driven {
    fn call(&mut self, oracle: &Oracle) {
        let demand = Criteria { pool: POOL, prefix: None, exclude: &[], peers: &|_| 0 };
        let Some(name) = routing::choose(&self.table, self.now, &demand, &mut self.rng) else {
            return;
        };
        let endpoint = self.table.endpoint(&name).expect("a chosen endpoint is known");
        let life = endpoint.incarnation;
        let idx = NAMES.iter().position(|known| **known == *name).expect("a known name");
        let marked = oracle.marked.get(&idx).copied().unwrap_or(0);
        assert!(life.0 > marked, "{name} got work in life {life:?}, marked up to {marked}");
        assert!(!self.told.contains(&(name.clone(), life)), "{name} had said that it leaves");
        assert!(endpoint.in_flight < endpoint.limit(self.now), "{name} is at its limit");
        self.table.call_started(self.now, &name);
        self.calls.push((name, life, self.now));
    }

    fn end(&mut self, idx: usize, result: CallResult) {
        if self.calls.is_empty() {
            return;
        }
        let (name, life, sent) = self.calls.swap_remove(idx % self.calls.len());
        let current = self.table.endpoint(&name).map(|endpoint| endpoint.incarnation);
        let is_leaving = result == CallResult::Refused(RefuseReason::Leaving);
        if is_leaving && current == Some(life) {
            self.told.push((name.clone(), life));
        }
        let end = CallEnd { took: self.now - sent, result, tokens: None };
        self.table.call_ended(self.now, &name, end);
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = Driven;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Driven {
        Driven {
            table: Table::new(Settings::default()),
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(7),
            calls: Vec::new(),
            told: Vec::new(),
        }
    }

    fn apply(mut driven: Driven, oracle: &Oracle, step: Step) -> Driven {
        driven.now += Duration::from_millis(1);
        match step {
            Step::List(listed) => {
                let entries: Vec<EndpointEntry> = listed.iter().map(listed_entry).collect();
                driven.table.apply_listing(driven.now, &entries);
            }
            Step::Mark(name, life) => {
                driven.table.mark_leaving(NAMES[name], Incarnation(life));
            }
            Step::Wait(ms) => driven.now += Duration::from_millis(ms),
            Step::Call => driven.call(oracle),
            Step::End(idx, result) => driven.end(idx, result),
        }
        driven
    }

    fn check_invariants(driven: &Driven, _: &Oracle) {
        for endpoint in driven.table.iter() {
            let of_life = |call: &&(EndpointName, Incarnation, Duration)| {
                call.0 == endpoint.name && call.1 == endpoint.incarnation
            };
            let under_way = driven.calls.iter().filter(of_life).count();
            assert_eq!(endpoint.in_flight as usize, under_way, "{}", endpoint.name);
            let is_out = matches!(endpoint.state(), State::Leaving | State::Gone);
            assert!(!is_out || endpoint.free(driven.now) == 0, "{}", endpoint.name);
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
    fn a_leaving_endpoint_never_gets_work_in_that_incarnation(sequential 1..80 => Test);
}

fn listed_entry((name, life, leaving): &(usize, u64, bool)) -> EndpointEntry {
    let presence = if *leaving { Presence::Leaving } else { Presence::Live };
    EndpointEntry { presence, ..entry(NAMES[*name], *life) }
}
