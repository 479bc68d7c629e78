//! The phases of a rollout as the deciding instance enters them.

use peatdeck_core::relay::rollout::{
    Phase,
    controller::Situation,
    sprt::{Outcome, Sprt},
};

use crate::relay::fixture::ms;

/// A rollout of 12 s that is 5 s old.
fn situation() -> Situation {
    Situation {
        age: ms(5000),
        duration: ms(12_000),
        phase: Phase::Canary,
        is_withdrawn: false,
        halt: None,
        is_in_force: false,
        outcome: Outcome::Accepted,
        long_call: ms(1000),
        has_moved: false,
    }
}

fn phase(situation: &Situation) -> Option<Phase> {
    situation.decide().map(|(phase, _)| phase)
}

/// A version may turn bad late, so as much time as possible is spent on trial.
#[test]
fn calls_move_only_when_the_switch_over_time_is_left() {
    let mut it = situation();
    assert_eq!(phase(&it), None);
    it.age = ms(8999);
    assert_eq!(phase(&it), None);
    it.age = ms(9000);
    assert_eq!(phase(&it), Some(Phase::Shifting));
    it.outcome = Outcome::Undecided;
    assert_eq!(phase(&it), Some(Phase::RolledBack));
}

#[test]
fn a_short_rollout_is_on_trial_for_half_of_its_time() {
    let it = Situation { duration: ms(2000), age: ms(999), ..situation() };
    assert_eq!(phase(&it), None);
    assert_eq!(phase(&Situation { age: ms(1000), ..it }), Some(Phase::Shifting));
}

#[test]
fn a_bad_version_is_rolled_back_in_every_phase() {
    for phase_now in [Phase::Canary, Phase::Shifting] {
        let it = Situation { phase: phase_now, outcome: Outcome::Rejected, ..situation() };
        assert_eq!(phase(&it), Some(Phase::RolledBack));
        let it = Situation { phase: phase_now, halt: Some("bad".into()), ..situation() };
        assert_eq!(phase(&it), Some(Phase::RolledBack));
        let it = Situation { phase: phase_now, is_withdrawn: true, ..situation() };
        assert_eq!(phase(&it), Some(Phase::RolledBack));
    }
}

/// Old endpoints stop at once, and calls that run there are lost.
#[test]
fn a_rollout_is_completed_when_all_calls_have_moved_or_the_deadline_is_near() {
    let it = Situation { phase: Phase::Shifting, age: ms(11_000), ..situation() };
    assert_eq!(phase(&it), None);
    assert_eq!(phase(&Situation { has_moved: true, ..it.clone() }), Some(Phase::Completed));
    assert_eq!(phase(&Situation { age: ms(11_500), ..it }), Some(Phase::Completed));
}

#[test]
fn a_final_phase_stays() {
    for phase_now in [Phase::Completed, Phase::RolledBack] {
        let it = Situation { phase: phase_now, outcome: Outcome::Rejected, ..situation() };
        assert_eq!(phase(&it), None);
    }
}

/// The good replies of the time before must not hide that a version has turned bad.
#[test]
fn a_version_that_turns_bad_is_rejected_however_long_it_was_good() {
    let mut test = Sprt::default();
    test.add(1e6, 0.0, 0.02, 3);
    assert_eq!(test.outcome(3), Outcome::Accepted);
    let bad = (1..50).find(|_| {
        test.add(0.0, 1.0, 0.02, 3);
        test.outcome(3) == Outcome::Rejected
    });
    assert!(bad.is_some_and(|bad| bad <= 12), "{bad:?}");
}
