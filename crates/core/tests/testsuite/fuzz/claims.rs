//! Fuzzing of claims: a key runs at most once, and an attempt that was refused never runs.

#![allow(clippy::unwrap_used)]

mod oracle;
mod world;

use expect_test::{Expect, expect};
use proptest::{prelude::*, sample::select, strategy::BoxedStrategy};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use world::{SLOTS, World};

/// A fault that a test injects into the world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A claim counts as won once its append is acknowledged.
    TrustsAck,
    /// A request is refused once the append of its claim has failed, but the claim is not given up.
    TrustsFailedAppend,
    /// Voids are left out of appends.
    DropsVoids,
    /// A new process starts to read at the end of the stream.
    StartsAtEnd,
    /// Batches hide that records before them have expired.
    HidesGaps,
    /// A won claim runs even after the deadline.
    IgnoresDeadline,
}

/// How a world is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The injected fault.
    pub fault: Fault,
    /// Whether the log retains records for less than the horizon.
    pub has_short_retention: bool,
}

/// One operation. `process` is the index of a slot, which may be empty; other indices are taken
/// modulo the number of items.
#[derive(Debug, Clone)]
pub enum Op {
    /// A caller sends a request to a process.
    Request { process: usize, key: usize, body: u64 },
    /// A caller sends a request to every process at once.
    RequestAll { key: usize },
    /// A process gives up an attempt that has not started to run.
    GiveUp { process: usize, attempt: usize },
    /// A process runs an attempt whose claim it has won.
    Start { process: usize, attempt: usize },
    /// A run ends.
    Finish { process: usize, attempt: usize, answered: bool },
    /// A process sends an append.
    Append { process: usize },
    /// A process sends an append and receives no acknowledgement; the append stays in flight.
    LoseAck { process: usize },
    /// An append in flight reaches the log; a copy of it may stay in flight.
    Deliver { packet: usize, keeps_copy: bool },
    /// An append in flight is lost.
    Drop { packet: usize },
    /// A process receives the acknowledgement of its append, or its append fails.
    Ack { process: usize, ok: bool },
    /// A process reads from the log.
    Read { process: usize, max: usize },
    /// A process reads from the log; the batch arrives later.
    ReadLate { process: usize, max: usize },
    /// A delayed batch arrives; a copy of it may arrive again.
    DeliverRead { process: usize, batch: usize, keeps_copy: bool },
    /// A process appends and reads without faults.
    Round { process: usize },
    /// Time passes.
    Advance { ms: u64 },
    /// A process is paused.
    Pause { process: usize },
    /// A paused process resumes.
    Resume { process: usize },
    /// A process crashes.
    Crash { process: usize },
    /// A process replaces that of a slot, under a name that may be in use.
    Spawn { process: usize, name: usize },
    /// An outage of the log starts or ends.
    Outage { is_out: bool },
}

/// Generates operations.
pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Setup;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Setup> {
        any::<bool>()
            .prop_map(|has_short_retention| Setup { fault: Fault::None, has_short_retention })
            .boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Op> {
        let process = || 0..SLOTS;
        let index = || 0..4_usize;
        let max = || 1..8_usize;
        let steps = vec![10, 200, 2_500, 11_000, 600_000, 950_000, 1_190_000, 1_300_000];
        prop_oneof![
            6 => (process(), 0..2_usize, prop_oneof![9 => Just(0), 1 => Just(1)])
                .prop_map(|(process, key, body)| Op::Request { process, key, body }),
            2 => (0..2_usize).prop_map(|key| Op::RequestAll { key }),
            2 => (process(), index())
                .prop_map(|(process, attempt)| Op::GiveUp { process, attempt }),
            6 => (process(), index()).prop_map(|(process, attempt)| Op::Start { process, attempt }),
            2 => (process(), index(), any::<bool>()).prop_map(|(process, attempt, answered)| {
                Op::Finish { process, attempt, answered }
            }),
            6 => process().prop_map(|process| Op::Append { process }),
            2 => process().prop_map(|process| Op::LoseAck { process }),
            6 => (index(), any::<bool>())
                .prop_map(|(packet, keeps_copy)| Op::Deliver { packet, keeps_copy }),
            1 => index().prop_map(|packet| Op::Drop { packet }),
            4 => (process(), any::<bool>()).prop_map(|(process, ok)| Op::Ack { process, ok }),
            6 => (process(), max()).prop_map(|(process, max)| Op::Read { process, max }),
            2 => (process(), max()).prop_map(|(process, max)| Op::ReadLate { process, max }),
            2 => (process(), index(), any::<bool>())
                .prop_map(|(process, batch, keeps_copy)| {
                    Op::DeliverRead { process, batch, keeps_copy }
                }),
            6 => process().prop_map(|process| Op::Round { process }),
            3 => select(steps).prop_map(|ms| Op::Advance { ms }),
            1 => process().prop_map(|process| Op::Pause { process }),
            1 => process().prop_map(|process| Op::Resume { process }),
            1 => process().prop_map(|process| Op::Crash { process }),
            2 => (process(), 0..3_usize)
                .prop_map(|(process, name)| Op::Spawn { process, name }),
            1 => any::<bool>().prop_map(|is_out| Op::Outage { is_out }),
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
fn invariants_hold() {
    super::check_invariants::<Machine>();
}

fn check(fault: Fault, message: &str, expect: Expect) {
    let case = super::find_fault::<Machine>(message, |setup| Setup { fault, ..setup });
    expect.assert_eq(&case);
}

#[test]
fn treating_an_acknowledged_append_as_a_won_claim_is_found() {
    check(
        Fault::TrustsAck,
        "runs twice",
        expect![[r#"
            key 0 runs twice: 4 and 2
            Setup { fault: TrustsAck, has_short_retention: false }
            RequestAll { key: 0 }
            Round { process: 1 }
            Round { process: 3 }
            Start { process: 3, attempt: 0 }
            Start { process: 1, attempt: 0 }
        "#]],
    );
}

#[test]
fn treating_a_failed_append_as_a_lost_claim_is_found() {
    check(
        Fault::TrustsFailedAppend,
        "runs after it was refused",
        expect![[r#"
            1 runs after it was refused
            Setup { fault: TrustsFailedAppend, has_short_retention: false }
            Request { process: 0, key: 0, body: 0 }
            LoseAck { process: 0 }
            Deliver { packet: 0, keeps_copy: false }
            Read { process: 0, max: 1 }
            Start { process: 0, attempt: 0 }
        "#]],
    );
}

#[test]
fn dropping_voids_is_found() {
    check(
        Fault::DropsVoids,
        "is not flushed",
        expect![[r#"
            Identity { name: "b", incarnation: Incarnation(2), data_centre: "dc" } is not flushed
            Setup { fault: DropsVoids, has_short_retention: false }
            RequestAll { key: 0 }
            Append { process: 1 }
        "#]],
    );
}

#[test]
fn starting_at_the_end_of_the_stream_is_found() {
    check(
        Fault::StartsAtEnd,
        "is won although another claim is open",
        expect![[r#"
            key 0 is won although another claim is open
            Setup { fault: StartsAtEnd, has_short_retention: false }
            RequestAll { key: 0 }
            Round { process: 0 }
        "#]],
    );
}

#[test]
fn hiding_a_gap_is_found() {
    check(
        Fault::HidesGaps,
        "is won although another claim is open",
        expect![[r#"
            key 0 is won although another claim is open
            Setup { fault: HidesGaps, has_short_retention: true }
            Request { process: 0, key: 0, body: 0 }
            Append { process: 0 }
            Deliver { packet: 0, keeps_copy: false }
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
            Setup { fault: IgnoresDeadline, has_short_retention: false }
            RequestAll { key: 0 }
            Round { process: 1 }
            Advance { ms: 1300000 }
            Round { process: 0 }
            Start { process: 0, attempt: 0 }
            Start { process: 1, attempt: 0 }
        "#]],
    );
}
