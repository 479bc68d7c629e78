//! Fuzzing of the configuration in force: all instances follow the same sequence of versions, which
//! never goes back, through the log and through gossip.

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
    /// A publish is reported as accepted once its append is acknowledged.
    TrustsAck,
    /// Batches hide that records before them have expired, so a reader continues from a publish in
    /// the middle of the stream, without a snapshot before it.
    HidesGaps,
    /// A peer's snapshot is adopted even if it is older.
    AdoptsOlder,
    /// No instance appends snapshots.
    SkipsSnapshots,
}

/// How a world is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The injected fault.
    pub fault: Fault,
}

/// One operation. `process` is the index of a slot, which may be empty; other indices are taken
/// modulo the number of items.
#[derive(Debug, Clone)]
pub enum Op {
    /// An operator publishes on the version that a process has in force, or on one `behind` it.
    Publish { process: usize, behind: u64 },
    /// An operator drains an endpoint.
    Drain { endpoint: usize, incarnation: u64 },
    /// A process appends a snapshot if one is due.
    Snapshot { process: usize },
    /// An append in flight reaches the log; a copy of it may stay in flight.
    Deliver { packet: usize, keeps_copy: bool },
    /// An append in flight is lost.
    Drop { packet: usize },
    /// A process reads from the log.
    Read { process: usize, max: usize },
    /// A process reads from the log; the batch arrives later.
    ReadLate { process: usize, max: usize },
    /// A delayed batch arrives; a copy of it may arrive once more.
    DeliverRead { process: usize, batch: usize, keeps_copy: bool },
    /// A process reads to the end, and appends a snapshot if one is due.
    Round { process: usize },
    /// A process sends a round of gossip if one is due.
    Gossip { process: usize },
    /// A gossip message arrives; a copy of it may stay in flight.
    DeliverGossip { message: usize, keeps_copy: bool },
    /// A gossip message is lost.
    DropGossip { message: usize },
    /// The connection between two processes is cut or restored.
    Cut { one: usize, other: usize, is_cut: bool },
    /// Time passes.
    Advance { ms: u64 },
    /// A process is paused.
    Pause { process: usize },
    /// A paused process resumes.
    Resume { process: usize },
    /// A process crashes.
    Crash { process: usize },
    /// A process replaces that of a slot.
    Spawn { process: usize },
    /// An outage of the log starts or ends.
    Outage { is_out: bool },
}

/// Generates operations.
pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Setup;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Setup> {
        Just(Setup { fault: Fault::None }).boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Op> {
        let process = || 0..SLOTS;
        let index = || 0..4_usize;
        let max = || 1..8_usize;
        let steps = vec![10, 600, 6_000, 300_000, 1_000_000, 2_000_000, 3_700_000];
        prop_oneof![
            6 => (process(), prop_oneof![4 => Just(0), 1 => Just(1)])
                .prop_map(|(process, behind)| Op::Publish { process, behind }),
            1 => (0..2_usize, 0..3_u64)
                .prop_map(|(endpoint, incarnation)| Op::Drain { endpoint, incarnation }),
            3 => process().prop_map(|process| Op::Snapshot { process }),
            8 => (index(), any::<bool>())
                .prop_map(|(packet, keeps_copy)| Op::Deliver { packet, keeps_copy }),
            1 => index().prop_map(|packet| Op::Drop { packet }),
            6 => (process(), max()).prop_map(|(process, max)| Op::Read { process, max }),
            2 => (process(), max()).prop_map(|(process, max)| Op::ReadLate { process, max }),
            2 => (process(), index(), any::<bool>())
                .prop_map(|(process, batch, keeps_copy)| {
                    Op::DeliverRead { process, batch, keeps_copy }
                }),
            5 => process().prop_map(|process| Op::Round { process }),
            8 => process().prop_map(|process| Op::Gossip { process }),
            16 => (index(), any::<bool>())
                .prop_map(|(message, keeps_copy)| Op::DeliverGossip { message, keeps_copy }),
            1 => index().prop_map(|message| Op::DropGossip { message }),
            1 => (process(), process(), any::<bool>())
                .prop_map(|(one, other, is_cut)| Op::Cut { one, other, is_cut }),
            4 => select(steps).prop_map(|ms| Op::Advance { ms }),
            1 => process().prop_map(|process| Op::Pause { process }),
            1 => process().prop_map(|process| Op::Resume { process }),
            1 => process().prop_map(|process| Op::Crash { process }),
            2 => process().prop_map(|process| Op::Spawn { process }),
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

    fn check_invariants(world: &World, _: &Setup) {
        world.check();
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
    let case = super::find_fault::<Machine>(message, |_| Setup { fault });
    expect.assert_eq(&case);
}

#[test]
fn treating_an_acknowledged_append_as_an_accepted_publish_is_found() {
    check(
        Fault::TrustsAck,
        "was reported as accepted",
        expect![[r#"
            publish-2 was reported as accepted
            Setup { fault: TrustsAck }
            Read { process: 1, max: 1 }
            Publish { process: 1, behind: 0 }
            Publish { process: 1, behind: 0 }
        "#]],
    );
}

#[test]
fn starting_from_a_publish_without_a_snapshot_is_found() {
    check(
        Fault::HidesGaps,
        "not a version of the log",
        expect![[r#"
            assertion `left == right` failed: not a version of the log
              left: ConfigState { version: 1, publish: Some("publish-2"), drains: {} }
             right: ConfigState { version: 1, publish: Some("publish-1"), drains: {} }
            Setup { fault: HidesGaps }
            Read { process: 1, max: 1 }
            Publish { process: 1, behind: 0 }
            Deliver { packet: 0, keeps_copy: false }
            Advance { ms: 2000000 }
            Advance { ms: 2000000 }
            Publish { process: 1, behind: 0 }
            Deliver { packet: 0, keeps_copy: false }
        "#]],
    );
}

#[test]
fn adopting_an_older_snapshot_is_found() {
    check(
        Fault::AdoptsOlder,
        "comes into force after",
        expect![[r#"
            1 comes into force after Some(1)
            Setup { fault: AdoptsOlder }
            Read { process: 1, max: 1 }
            Publish { process: 1, behind: 0 }
            Deliver { packet: 0, keeps_copy: false }
            Round { process: 0 }
            Gossip { process: 0 }
            DeliverGossip { message: 2, keeps_copy: false }
            Gossip { process: 1 }
        "#]],
    );
}

#[test]
fn skipping_snapshots_is_found() {
    check(
        Fault::SkipsSnapshots,
        "still has a gap",
        expect![[r#"
            a still has a gap
            Setup { fault: SkipsSnapshots }
            Read { process: 1, max: 1 }
            Publish { process: 1, behind: 0 }
            Deliver { packet: 0, keeps_copy: false }
        "#]],
    );
}
