//! Stateful fuzzing of what instances agree on.
//!
//! A machine is a world of several instances, a modelled log and a network,
//! driven by a generated list of operations in virtual time. A simple oracle
//! looks on and panics where a promise is broken.
//!
//! The seed is fixed. `PEATDECK_FUZZ_CASES` sets the number of cases for a long
//! run, `PEATDECK_FUZZ_SEED` another seed.
//!
//! The oracles are shown to bite by [`Found`]: a world is driven with a
//! deliberate fault, and the shrunk case that breaks a promise is a part of
//! the test's expectation.

#![allow(clippy::unwrap_used)]

mod claims;
mod config;
mod log;

use std::{
    env,
    fmt::Debug,
    panic,
    sync::{Arc, atomic::AtomicUsize},
};

use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Seed of the runs in CI.
const SEED: u64 = 0x7065_6174;
/// Cases of a run in CI, unless the environment sets another number.
const CASES: u32 = 1_000;
/// Cases within which a deliberate fault has to be found.
const BITE_CASES: u32 = 20_000;
/// Steps of shrinking at the most.
const SHRINK_ITERS: u32 = 5_000;
/// Operations in a case.
const STEPS: std::ops::Range<usize> = 1..120;

/// The smallest case that breaks a promise.
struct Found {
    case: String,
}

/// Runs a machine whose promises must hold.
fn holds<M: StateMachineTest>()
where
    State<M>: Debug,
{
    let cases = from_env("PEATDECK_FUZZ_CASES").map_or(CASES, |cases| cases as u32);
    let seed = from_env("PEATDECK_FUZZ_SEED").unwrap_or(SEED);
    if let Err(found) = run::<M>(seed, cases, "", |state| state) {
        panic!("seed {seed:#x}, {cases} cases:\n{}", found.case);
    }
}

/// Runs a machine with a deliberate fault, by which a certain promise must be
/// found broken; part of the promise's text is given.
fn bites<M: StateMachineTest>(promise: &str, set: impl Fn(State<M>) -> State<M>) -> String {
    match run::<M>(SEED, BITE_CASES, promise, set) {
        Ok(()) => panic!("the fault was not found in {BITE_CASES} cases"),
        Err(found) => found.case,
    }
}

type State<M> = <<M as StateMachineTest>::Reference as ReferenceStateMachine>::State;
type Op<M> = <<M as StateMachineTest>::Reference as ReferenceStateMachine>::Transition;

fn run<M: StateMachineTest>(
    seed: u64,
    cases: u32,
    promise: &str,
    set: impl Fn(State<M>) -> State<M>,
) -> Result<(), Found> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: SHRINK_ITERS,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = M::Reference::sequential_strategy(STEPS);
    let result = runner.run(&strategy, |(state, ops, seen)| {
        match broken_promise::<M>(&config, set(state), ops, seen) {
            Some(broken) if broken.contains(promise) => Err(TestCaseError::fail(broken)),
            _ => Ok(()),
        }
    });
    let (state, ops) = match result {
        Ok(()) => return Ok(()),
        Err(TestError::Abort(reason)) => panic!("the run was given up: {reason}"),
        Err(TestError::Fail(_, (state, ops, _))) => (set(state), ops),
    };
    let broken = |ops: &[Op<M>]| {
        broken_promise::<M>(&config, state.clone(), ops.to_vec(), None)
            .filter(|broken| broken.contains(promise))
    };
    let (ops, broken) = shortest(ops, broken);
    let ops: String = ops.iter().map(|op| format!("{op:?}\n")).collect();
    Err(Found { case: format!("{broken}\n{state:?}\n{ops}") })
}

/// Leaves out every operation that is not needed, one at a time; what shrinking
/// leaves still holds operations that only keep indices in place.
fn shortest<T: Clone>(
    mut ops: Vec<T>,
    broken: impl Fn(&[T]) -> Option<String>,
) -> (Vec<T>, String) {
    let mut promise = broken(&ops).expect("a shrunk case fails again");
    let mut idx = 0;
    while idx < ops.len() {
        let mut fewer = ops.clone();
        fewer.remove(idx);
        match broken(&fewer) {
            Some(found) => (ops, promise, idx) = (fewer, found, 0),
            None => idx += 1,
        }
    }
    (ops, promise)
}

/// Runs one case. The text of the promise that it breaks, if any.
fn broken_promise<M: StateMachineTest>(
    config: &Config,
    state: State<M>,
    ops: Vec<Op<M>>,
    seen: Option<Arc<AtomicUsize>>,
) -> Option<String> {
    let run = panic::AssertUnwindSafe(|| M::test_sequential(config.clone(), state, ops, seen));
    let payload = panic::catch_unwind(run).err()?;
    let text = payload.downcast_ref::<String>().cloned();
    let text = text.or_else(|| payload.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    Some(text.expect("a panic has a text"))
}

fn from_env(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
