//! Stateful fuzzing of whole instances in virtual time.
//!
//! Several instances run against simple fakes of the log, the listing and the endpoints
//! ([`world`]). Random steps submit requests, crash, pause and stop instances, cut connections
//! between them, cause outages of the log, lose its acknowledgements, expire its records, make
//! endpoints leave or misbehave, and publish configurations concurrently. The [`oracle`] checks
//! invariants after every event.
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
use world::{RequestSpec, World};

/// Number of cases without `PEATDECK_FUZZ_CASES`.
const CASES: u32 = 96;
const SEED: u64 = 0x7065_6174;
/// Time within which the instances recover once all faults have ended.
const RECOVERY_TIME: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
enum Step {
    Submit { node: usize, spec: RequestSpec },
    Advance { ms: u64 },
    Crash { node: usize },
    Start { node: usize },
    Pause { node: usize },
    Resume { node: usize },
    Stop { node: usize },
    SetOutage(bool),
    LoseAcks(u32),
    Expire { is_config: bool },
    Cut { a: usize, b: usize },
    Heal,
    Publish { behind: u64 },
    Leave { endpoint: usize },
    Restart { endpoint: usize },
    SetFault { endpoint: usize, fault: Fault },
}

fn request_spec() -> impl Strategy<Value = RequestSpec> {
    (any::<bool>(), 0..6u32, 50..3000u64).prop_map(|(runs_once, key, ms)| RequestSpec {
        runs_once,
        key,
        deadline: Duration::from_millis(ms),
    })
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..4usize;
    let endpoint = 0..6usize;
    prop_oneof![
        12 => (node.clone(), request_spec()).prop_map(|(node, spec)| Step::Submit { node, spec }),
        10 => prop_oneof![1..40u64, 40..400u64, 400..4000u64].prop_map(|ms| Step::Advance { ms }),
        1 => node.clone().prop_map(|node| Step::Crash { node }),
        2 => node.clone().prop_map(|node| Step::Start { node }),
        1 => node.clone().prop_map(|node| Step::Pause { node }),
        2 => node.clone().prop_map(|node| Step::Resume { node }),
        1 => node.clone().prop_map(|node| Step::Stop { node }),
        1 => any::<bool>().prop_map(Step::SetOutage),
        1 => (1..4u32).prop_map(Step::LoseAcks),
        1 => any::<bool>().prop_map(|is_config| Step::Expire { is_config }),
        1 => (node.clone(), node).prop_map(|(a, b)| Step::Cut { a, b }),
        1 => Just(Step::Heal),
        2 => (0..2u64).prop_map(|behind| Step::Publish { behind }),
        1 => endpoint.clone().prop_map(|endpoint| Step::Leave { endpoint }),
        1 => endpoint.clone().prop_map(|endpoint| Step::Restart { endpoint }),
        2 => (endpoint, Fault::any())
            .prop_map(|(endpoint, fault)| Step::SetFault { endpoint, fault }),
    ]
}

/// Generates steps, each of which is always possible. The state is the seed of the world.
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
            Step::Submit { node, spec } => world.submit(node, spec),
            Step::Advance { ms } => world.advance(Duration::from_millis(ms)),
            Step::Crash { node } => world.crash(node),
            Step::Start { node } => world.start(node),
            Step::Pause { node } => world.pause(node),
            Step::Resume { node } => world.resume(node),
            Step::Stop { node } => world.stop(node),
            Step::SetOutage(is_out) => world.log.is_out = is_out,
            Step::LoseAcks(count) => world.log.lose_acks += count,
            Step::Expire { is_config } => world.expire(is_config),
            Step::Cut { a, b } => world.cut(a, b),
            Step::Heal => world.heal(),
            Step::Publish { behind } => world.publish(behind),
            Step::Leave { endpoint } => world.start_leaving(endpoint),
            Step::Restart { endpoint } => world.restart_endpoint(endpoint),
            Step::SetFault { endpoint, fault } => world.endpoints[endpoint].fault = fault,
        }
        world
    }

    fn teardown(mut world: World, _: u64) {
        world.end_faults();
        world.advance(RECOVERY_TIME);
        world.check_recovery();
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
    fn invariants_hold_under_any_faults(sequential 1..80 => Instances);
}
