//! Fuzzing of the configuration in force: one chain on all instances, which
//! never goes back, through the log and through peers.

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
    /// An acknowledged publish is called accepted.
    AckIsProof,
    /// The reader is not told that records were lost, so that it folds on from
    /// a bare publish in the middle of the stream.
    HidesGaps,
    /// A peer's snapshot is taken even if it is older.
    AdoptsOlder,
    /// No instance appends snapshots.
    SkipsSnapshots,
}

/// How a world is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The deliberate fault.
    pub fault: Fault,
}

/// One thing that happens. A process is meant by its place, which may be empty;
/// other indices count around what there is.
#[derive(Debug, Clone)]
pub enum Op {
    /// An operator publishes from what a process has in force, or from older.
    Publish { process: usize, behind: u64 },
    /// An operator drains an endpoint.
    Drain { endpoint: usize, life: u64 },
    /// A process appends a snapshot if one is due.
    Snapshot { process: usize },
    /// The log takes an append that is on its way; another copy may follow.
    Deliver { packet: usize, again: bool },
    /// An append on its way is lost.
    Drop { packet: usize },
    /// A process reads and takes in what it read.
    Read { process: usize, max: usize },
    /// A process reads; what it read arrives late.
    ReadLate { process: usize, max: usize },
    /// A late read arrives; another copy may follow.
    Arrive { process: usize, batch: usize, again: bool },
    /// A process reads to the end, and appends a snapshot if one is due.
    Round { process: usize },
    /// A process sends its gossip if it is time.
    Gossip { process: usize },
    /// A gossip message arrives; another copy may follow.
    Hear { message: usize, again: bool },
    /// A gossip message is lost.
    Lose { message: usize },
    /// Two processes can or cannot reach each other.
    Cut { one: usize, other: usize, cut: bool },
    /// Time passes.
    Advance { ms: u64 },
    /// A process is paused.
    Freeze { process: usize },
    /// A paused process goes on.
    Thaw { process: usize },
    /// A process dies.
    Kill { process: usize },
    /// A process starts in the place of another.
    Spawn { process: usize },
    /// The log goes out or comes back.
    Outage { out: bool },
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
        let process = || 0..PLACES;
        let any_of = || 0..4_usize;
        let max = || 1..8_usize;
        let steps = vec![10, 600, 6_000, 300_000, 1_000_000, 2_000_000, 3_700_000];
        prop_oneof![
            6 => (process(), prop_oneof![4 => Just(0), 1 => Just(1)])
                .prop_map(|(process, behind)| Op::Publish { process, behind }),
            1 => (0..2_usize, 0..3_u64).prop_map(|(endpoint, life)| Op::Drain { endpoint, life }),
            3 => process().prop_map(|process| Op::Snapshot { process }),
            8 => (any_of(), any::<bool>()).prop_map(|(packet, again)| Op::Deliver { packet, again }),
            1 => any_of().prop_map(|packet| Op::Drop { packet }),
            6 => (process(), max()).prop_map(|(process, max)| Op::Read { process, max }),
            2 => (process(), max()).prop_map(|(process, max)| Op::ReadLate { process, max }),
            2 => (process(), any_of(), any::<bool>())
                .prop_map(|(process, batch, again)| Op::Arrive { process, batch, again }),
            5 => process().prop_map(|process| Op::Round { process }),
            8 => process().prop_map(|process| Op::Gossip { process }),
            16 => (any_of(), any::<bool>()).prop_map(|(message, again)| Op::Hear { message, again }),
            1 => any_of().prop_map(|message| Op::Lose { message }),
            1 => (process(), process(), any::<bool>())
                .prop_map(|(one, other, cut)| Op::Cut { one, other, cut }),
            4 => select(steps).prop_map(|ms| Op::Advance { ms }),
            1 => process().prop_map(|process| Op::Freeze { process }),
            1 => process().prop_map(|process| Op::Thaw { process }),
            1 => process().prop_map(|process| Op::Kill { process }),
            2 => process().prop_map(|process| Op::Spawn { process }),
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

    fn check_invariants(world: &World, _: &Setup) {
        world.check();
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
    let case = super::bites::<Machine>(promise, |_| Setup { fault });
    expect.assert_eq(&case);
}

#[test]
fn taking_an_acknowledgement_for_proof_is_found() {
    check(
        Fault::AckIsProof,
        "was called accepted",
        expect![[r#"
            publish-2 was called accepted
            Setup { fault: AckIsProof }
            Read { process: 1, max: 1 }
            Publish { process: 1, behind: 0 }
            Publish { process: 1, behind: 0 }
        "#]],
    );
}

#[test]
fn folding_from_a_bare_publish_is_found() {
    check(
        Fault::HidesGaps,
        "not on the chain",
        expect![[r#"
            assertion `left == right` failed: not on the chain
              left: Truth { version: 1, publish: Some("publish-2"), drains: {} }
             right: Truth { version: 1, publish: Some("publish-1"), drains: {} }
            Setup { fault: HidesGaps }
            Read { process: 1, max: 1 }
            Publish { process: 1, behind: 0 }
            Deliver { packet: 0, again: false }
            Advance { ms: 2000000 }
            Advance { ms: 2000000 }
            Publish { process: 1, behind: 0 }
            Deliver { packet: 0, again: false }
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
            Deliver { packet: 0, again: false }
            Round { process: 0 }
            Gossip { process: 0 }
            Hear { message: 2, again: false }
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
            Deliver { packet: 0, again: false }
        "#]],
    );
}
