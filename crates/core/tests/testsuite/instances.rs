//! Stateful fuzzing of whole instances in virtual time.
//!
//! A few instances run against small fakes of the log, the list and the
//! endpoints ([`world`]). Random steps submit requests, kill, freeze and stop
//! instances, cut them from each other, take the log out, lose its answers,
//! expire its records, drain and break endpoints, and race publishes. The
//! [`oracle`] states what must hold and is asked after every event.
//!
//! `PEATDECK_FUZZ_CASES` sets the number of cases; the seed is fixed.

mod endpoints;
mod log;
mod oracle;
mod world;

use std::{env, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use endpoints::Fault;
use world::{Ask, World};

/// Cases where `PEATDECK_FUZZ_CASES` does not say otherwise.
const CASES: u32 = 96;
/// The fixed seed.
const SEED: u64 = 0x7065_6174;
/// Time after which everything must have come to rest once all faults are gone.
const REST: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
enum Step {
    Submit { node: usize, ask: Ask },
    Advance { ms: u64 },
    Kill { node: usize },
    Start { node: usize },
    Freeze { node: usize },
    Thaw { node: usize },
    Stop { node: usize },
    Outage(bool),
    LoseAnswers(u32),
    Expire { stream: bool },
    Cut { a: usize, b: usize },
    Heal,
    Publish { behind: u64 },
    Leave { endpoint: usize },
    Return { endpoint: usize },
    Break { endpoint: usize, fault: Fault },
}

fn ask() -> impl Strategy<Value = Ask> {
    (any::<bool>(), 0..6u32, 50..3000u64).prop_map(|(single, key, ms)| Ask {
        single,
        key,
        deadline: Duration::from_millis(ms),
    })
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..4usize;
    let endpoint = 0..6usize;
    prop_oneof![
        12 => (node.clone(), ask()).prop_map(|(node, ask)| Step::Submit { node, ask }),
        10 => prop_oneof![1..40u64, 40..400u64, 400..4000u64].prop_map(|ms| Step::Advance { ms }),
        1 => node.clone().prop_map(|node| Step::Kill { node }),
        2 => node.clone().prop_map(|node| Step::Start { node }),
        1 => node.clone().prop_map(|node| Step::Freeze { node }),
        2 => node.clone().prop_map(|node| Step::Thaw { node }),
        1 => node.clone().prop_map(|node| Step::Stop { node }),
        1 => any::<bool>().prop_map(Step::Outage),
        1 => (1..4u32).prop_map(Step::LoseAnswers),
        1 => any::<bool>().prop_map(|stream| Step::Expire { stream }),
        1 => (node.clone(), node).prop_map(|(a, b)| Step::Cut { a, b }),
        1 => Just(Step::Heal),
        2 => (0..2u64).prop_map(|behind| Step::Publish { behind }),
        1 => endpoint.clone().prop_map(|endpoint| Step::Leave { endpoint }),
        1 => endpoint.clone().prop_map(|endpoint| Step::Return { endpoint }),
        2 => (endpoint, Fault::any()).prop_map(|(endpoint, fault)| Step::Break { endpoint, fault }),
    ]
}

/// The generator's state: every step is always possible.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

struct Instances;

impl StateMachineTest for Instances {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        match step {
            Step::Submit { node, ask } => world.submit(node, ask),
            Step::Advance { ms } => world.advance(Duration::from_millis(ms)),
            Step::Kill { node } => world.kill(node),
            Step::Start { node } => world.start(node),
            Step::Freeze { node } => world.freeze(node),
            Step::Thaw { node } => world.thaw(node),
            Step::Stop { node } => world.stop(node),
            Step::Outage(out) => world.log.is_out = out,
            Step::LoseAnswers(count) => world.log.lose_answers += count,
            Step::Expire { stream } => world.expire(stream),
            Step::Cut { a, b } => world.cut(a, b),
            Step::Heal => world.heal(),
            Step::Publish { behind } => world.publish(behind),
            Step::Leave { endpoint } => world.leave(endpoint),
            Step::Return { endpoint } => world.bring_back(endpoint),
            Step::Break { endpoint, fault } => world.endpoints[endpoint].fault = fault,
        }
        world
    }

    fn teardown(mut world: World, _: u64) {
        world.mend();
        world.advance(REST);
        world.check_rest();
    }
}

fn config() -> Config {
    let cases = env::var("PEATDECK_FUZZ_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        max_shrink_iters: 4096,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn what_must_hold_holds_through_any_faults(sequential 1..80 => Instances);
}
