//! Stateful fuzzing of the state that instances agree on through the log.
//!
//! A world simulates several instances, a log and a network. A machine applies generated operations
//! to it in virtual time. A simple oracle observes it and panics if an invariant is violated.
//!
//! The seed is fixed. `PEATDECK_FUZZ_CASES` sets the number of cases for a long run,
//! `PEATDECK_FUZZ_SEED` another seed.
//!
//! To show that the oracles detect faults, other tests inject one into a world and compare the
//! shrunk case that violates an invariant with the expected one.

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

/// Seed of runs without `PEATDECK_FUZZ_SEED`.
const SEED: u64 = 0x7065_6174;
/// Number of cases without `PEATDECK_FUZZ_CASES`.
const CASES: u32 = 1_000;
/// Number of cases within which an injected fault must be found.
const FAULT_CASES: u32 = 20_000;
const MAX_SHRINK_ITERS: u32 = 5_000;
/// Number of operations in a case.
const STEPS: std::ops::Range<usize> = 1..120;

/// A minimal case that violates an invariant, as text.
struct FailingCase {
    case: String,
}

/// Runs a machine without a fault, and panics if an invariant is violated.
fn check_invariants<M: StateMachineTest>()
where
    State<M>: Debug,
{
    let cases = from_env("PEATDECK_FUZZ_CASES").map_or(CASES, |cases| cases as u32);
    let seed = from_env("PEATDECK_FUZZ_SEED").unwrap_or(SEED);
    if let Err(failing) = run::<M>(seed, cases, "", |state| state) {
        panic!("seed {seed:#x}, {cases} cases:\n{}", failing.case);
    }
}

/// Runs a machine in whose state `inject` sets a fault, and returns the minimal case that panics
/// with a message containing `message`. Panics if there is none.
fn find_fault<M: StateMachineTest>(message: &str, inject: impl Fn(State<M>) -> State<M>) -> String {
    match run::<M>(SEED, FAULT_CASES, message, inject) {
        Ok(()) => panic!("the fault was not found in {FAULT_CASES} cases"),
        Err(failing) => failing.case,
    }
}

type State<M> = <<M as StateMachineTest>::Reference as ReferenceStateMachine>::State;
type Op<M> = <<M as StateMachineTest>::Reference as ReferenceStateMachine>::Transition;

fn run<M: StateMachineTest>(
    seed: u64,
    cases: u32,
    message: &str,
    inject: impl Fn(State<M>) -> State<M>,
) -> Result<(), FailingCase> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERS,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = M::Reference::sequential_strategy(STEPS);
    let result = runner.run(&strategy, |(state, ops, seen)| {
        match find_violation::<M>(&config, inject(state), ops, seen) {
            Some(violation) if violation.contains(message) => Err(TestCaseError::fail(violation)),
            _ => Ok(()),
        }
    });
    let (state, ops) = match result {
        Ok(()) => return Ok(()),
        Err(TestError::Abort(reason)) => panic!("the run was aborted: {reason}"),
        Err(TestError::Fail(_, (state, ops, _))) => (inject(state), ops),
    };
    let violation = |ops: &[Op<M>]| {
        find_violation::<M>(&config, state.clone(), ops.to_vec(), None)
            .filter(|violation| violation.contains(message))
    };
    let (ops, violation) = minimize(ops, violation);
    let ops: String = ops.iter().map(|op| format!("{op:?}\n")).collect();
    Err(FailingCase { case: format!("{violation}\n{state:?}\n{ops}") })
}

/// Removes every operation that is not needed for the failure, one at a time. Shrinking by proptest
/// leaves operations that only keep the indices of others in place.
fn minimize<T: Clone>(
    mut ops: Vec<T>,
    violation: impl Fn(&[T]) -> Option<String>,
) -> (Vec<T>, String) {
    let mut message = violation(&ops).expect("a shrunk case fails again");
    let mut idx = 0;
    while idx < ops.len() {
        let mut fewer = ops.clone();
        fewer.remove(idx);
        match violation(&fewer) {
            Some(shorter) => (ops, message, idx) = (fewer, shorter, 0),
            None => idx += 1,
        }
    }
    (ops, message)
}

/// Runs one case, and returns the message of its panic, if any.
fn find_violation<M: StateMachineTest>(
    config: &Config,
    state: State<M>,
    ops: Vec<Op<M>>,
    seen: Option<Arc<AtomicUsize>>,
) -> Option<String> {
    let run = panic::AssertUnwindSafe(|| M::test_sequential(config.clone(), state, ops, seen));
    let payload = panic::catch_unwind(run).err()?;
    let text = payload.downcast_ref::<String>().cloned();
    let text = text.or_else(|| payload.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    Some(text.expect("a panic has a message"))
}

fn from_env(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
