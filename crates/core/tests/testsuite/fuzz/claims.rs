//! Fuzzing of claims: at most one run of a key, and "not run" is the truth.

#![allow(clippy::unwrap_used)]

mod oracle;
mod world;

use expect_test::{Expect, expect};
use proptest::{prelude::*, sample::select, strategy::BoxedStrategy};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use world::{PLACES, World};

/// A deliberate fault of the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// An acknowledged append is taken for a won claim.
    AckIsProof,
    /// A failed append is answered "not run", but its claim is not given up.
    FailureIsDisproof,
    /// Voids are lost on their way to the log.
    DropsVoids,
    /// A new process starts to read at the end of the stream.
    StartsAtEnd,
    /// The reader is not told that records were lost.
    HidesGaps,
    /// A won claim is run however late.
    IgnoresDeadline,
}

/// How a world is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The deliberate fault.
    pub fault: Fault,
    /// Whether the log keeps records for less than the horizon.
    pub keeps_short: bool,
}

/// One thing that happens. A process is meant by its place, which may be empty;
/// other indices count around what there is.
#[derive(Debug, Clone)]
pub enum Op {
    /// A caller sends a request to a process.
    Request { process: usize, key: usize, body: u64 },
    /// A caller sends a request to every process at once.
    RequestAll { key: usize },
    /// A process gives up an attempt that was not started.
    GiveUp { process: usize, attempt: usize },
    /// A process starts what it has won.
    Start { process: usize, attempt: usize },
    /// A run ends.
    Finish { process: usize, attempt: usize, answered: bool },
    /// A process sends an append on its way.
    Append { process: usize },
    /// A process appends and gets no answer; the append stays on its way.
    LoseAnswer { process: usize },
    /// The log takes an append that is on its way; another copy may follow.
    Deliver { packet: usize, again: bool },
    /// An append on its way is lost.
    Drop { packet: usize },
    /// A process gets the answer to its append, or none.
    Ack { process: usize, ok: bool },
    /// A process reads and takes in what it read.
    Read { process: usize, max: usize },
    /// A process reads; what it read arrives late.
    ReadLate { process: usize, max: usize },
    /// A late read arrives; another copy may follow.
    Arrive { process: usize, batch: usize, again: bool },
    /// A process appends and reads without trouble.
    Round { process: usize },
    /// Time passes.
    Advance { ms: u64 },
    /// A process is paused.
    Freeze { process: usize },
    /// A paused process goes on.
    Thaw { process: usize },
    /// A process dies.
    Kill { process: usize },
    /// A process starts in the place of another, under a name that may be in use.
    Spawn { process: usize, name: usize },
    /// The log goes out or comes back.
    Outage { out: bool },
}

/// Generates operations.
pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Setup;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Setup> {
        any::<bool>().prop_map(|keeps_short| Setup { fault: Fault::None, keeps_short }).boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Op> {
        let process = || 0..PLACES;
        let any_of = || 0..4_usize;
        let max = || 1..8_usize;
        let steps = vec![10, 200, 2_500, 11_000, 600_000, 950_000, 1_190_000, 1_300_000];
        prop_oneof![
            6 => (process(), 0..2_usize, prop_oneof![9 => Just(0), 1 => Just(1)])
                .prop_map(|(process, key, body)| Op::Request { process, key, body }),
            2 => (0..2_usize).prop_map(|key| Op::RequestAll { key }),
            2 => (process(), any_of()).prop_map(|(process, attempt)| Op::GiveUp { process, attempt }),
            6 => (process(), any_of()).prop_map(|(process, attempt)| Op::Start { process, attempt }),
            2 => (process(), any_of(), any::<bool>()).prop_map(|(process, attempt, answered)| {
                Op::Finish { process, attempt, answered }
            }),
            6 => process().prop_map(|process| Op::Append { process }),
            2 => process().prop_map(|process| Op::LoseAnswer { process }),
            6 => (any_of(), any::<bool>()).prop_map(|(packet, again)| Op::Deliver { packet, again }),
            1 => any_of().prop_map(|packet| Op::Drop { packet }),
            4 => (process(), any::<bool>()).prop_map(|(process, ok)| Op::Ack { process, ok }),
            6 => (process(), max()).prop_map(|(process, max)| Op::Read { process, max }),
            2 => (process(), max()).prop_map(|(process, max)| Op::ReadLate { process, max }),
            2 => (process(), any_of(), any::<bool>())
                .prop_map(|(process, batch, again)| Op::Arrive { process, batch, again }),
            6 => process().prop_map(|process| Op::Round { process }),
            3 => select(steps).prop_map(|ms| Op::Advance { ms }),
            1 => process().prop_map(|process| Op::Freeze { process }),
            1 => process().prop_map(|process| Op::Thaw { process }),
            1 => process().prop_map(|process| Op::Kill { process }),
            2 => (process(), 0..3_usize)
                .prop_map(|(process, name)| Op::Spawn { process, name }),
            1 => any::<bool>().prop_map(|out| Op::Outage { out }),
        ]
        .boxed()
    }

    fn apply(state: Setup, _: &Op) -> Setup {
        state
    }
}

/// Drives the world.
pub struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(setup: &Setup) -> World {
        World::new(setup.clone())
    }

    fn apply(mut world: World, _: &Setup, op: Op) -> World {
        world.apply(op);
        world
    }

    fn teardown(world: World, _: Setup) {
        world.heal_and_check();
    }
}

#[test]
fn promises_hold() {
    super::holds::<Machine>();
}

fn check(fault: Fault, promise: &str, expect: Expect) {
    let case = super::bites::<Machine>(promise, |setup| Setup { fault, ..setup });
    expect.assert_eq(&case);
}

#[test]
fn taking_an_acknowledgement_for_proof_is_found() {
    check(
        Fault::AckIsProof,
        "runs twice",
        expect![[r#"
            key 0 runs twice: 4 and 2
            Setup { fault: AckIsProof, keeps_short: false }
            RequestAll { key: 0 }
            Round { process: 1 }
            Round { process: 3 }
            Start { process: 3, attempt: 0 }
            Start { process: 1, attempt: 0 }
        "#]],
    );
}

#[test]
fn taking_a_failure_for_disproof_is_found() {
    check(
        Fault::FailureIsDisproof,
        "runs after it was refused",
        expect![[r#"
            1 runs after it was refused
            Setup { fault: FailureIsDisproof, keeps_short: false }
            Request { process: 0, key: 0, body: 0 }
            LoseAnswer { process: 0 }
            Deliver { packet: 0, again: false }
            Read { process: 0, max: 1 }
            Start { process: 0, attempt: 0 }
        "#]],
    );
}

#[test]
fn dropping_voids_is_found() {
    check(
        Fault::DropsVoids,
        "is not settled",
        expect![[r#"
            Identity { name: "b", incarnation: Incarnation(2), data_centre: "dc" } is not settled
            Setup { fault: DropsVoids, keeps_short: false }
            RequestAll { key: 0 }
            Append { process: 1 }
        "#]],
    );
}

#[test]
fn starting_at_the_end_of_the_stream_is_found() {
    check(
        Fault::StartsAtEnd,
        "is won though a claim stands",
        expect![[r#"
            key 0 is won though a claim stands
            Setup { fault: StartsAtEnd, keeps_short: false }
            RequestAll { key: 0 }
            Round { process: 0 }
        "#]],
    );
}

#[test]
fn hiding_a_gap_is_found() {
    check(
        Fault::HidesGaps,
        "is won though a claim stands",
        expect![[r#"
            key 0 is won though a claim stands
            Setup { fault: HidesGaps, keeps_short: true }
            Request { process: 0, key: 0, body: 0 }
            Append { process: 0 }
            Deliver { packet: 0, again: false }
            Advance { ms: 950000 }
        "#]],
    );
}

#[test]
fn running_past_the_deadline_is_found() {
    check(
        Fault::IgnoresDeadline,
        "runs twice",
        expect![[r#"
            key 0 runs twice: 1 and 2
            Setup { fault: IgnoresDeadline, keeps_short: false }
            RequestAll { key: 0 }
            Round { process: 1 }
            Advance { ms: 1300000 }
            Round { process: 0 }
            Start { process: 0, attempt: 0 }
            Start { process: 1, attempt: 0 }
        "#]],
    );
}
