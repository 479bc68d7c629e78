//! What is reckoned of an engine.

use std::time::Duration;

use peatdeck_core::relay::engine::{CallEstimate, EngineModel};

use super::fixture::{ms, prompt};

fn reading(millis: u64) -> CallEstimate {
    CallEstimate { prefill: ms(millis), copy_time: Duration::ZERO, first_token: ms(50) }
}

fn place(engine: &mut EngineModel, at: u64, number: u64, work: CallEstimate) {
    engine.add_run(ms(at), number, &prompt(1, 100 + number), work);
}

#[test]
fn what_was_placed_is_read_one_after_the_other() {
    let mut engine = EngineModel::default();
    place(&mut engine, 0, 1, reading(100));
    place(&mut engine, 20, 2, reading(100));
    assert_eq!(engine.prefill_wait(ms(50)), ms(150));
    assert_eq!(engine.prefill_wait(ms(250)), ms(0));
}

/// Whatever the reason: full memory, a busy link, slow steps.
#[test]
fn a_first_token_that_is_overdue_shows_that_the_engine_is_behind() {
    let mut engine = EngineModel::default();
    place(&mut engine, 0, 1, reading(100));
    assert_eq!(engine.prefill_wait(ms(400)), ms(0), "the news may be on their way");
    assert_eq!(engine.prefill_wait(ms(1000)), ms(600));
    engine.record_first_token(ms(1000), 1);
    assert_eq!(engine.prefill_wait(ms(1000)), ms(0));
}

#[test]
fn a_call_that_others_overtook_tells_nothing_of_the_engine() {
    let mut engine = EngineModel::default();
    place(&mut engine, 0, 1, reading(100));
    place(&mut engine, 10, 2, reading(10));
    engine.record_first_token(ms(100), 2);
    assert_eq!(engine.prefill_wait(ms(2000)), ms(0));
}

#[test]
fn an_engine_of_which_nothing_is_heard_is_tried_again() {
    let mut engine = EngineModel::default();
    place(&mut engine, 0, 1, reading(100));
    assert!(engine.prefill_wait(ms(4300)) > ms(3800));
    assert_eq!(engine.prefill_wait(ms(4500)), ms(0));
    engine.expire_runs(ms(31_000));
    assert_eq!((engine.run_count(), engine.memory_in_use()), (0, 0));
}

#[test]
fn memory_counts_shared_parts_once() {
    let mut engine = EngineModel::default();
    // Six thousand tokens that are shared, a thousand of its own, 50 to come.
    assert_eq!(engine.additional_memory(&prompt(1, 2)), 7050);
    place(&mut engine, 0, 1, reading(100));
    assert_eq!(engine.additional_memory(&prompt(1, 2)), 1050);
    place(&mut engine, 0, 2, reading(100));
    assert_eq!((engine.run_count(), engine.memory_in_use()), (2, 8100));
    engine.remove_run(ms(500), 1);
    assert_eq!(engine.memory_in_use(), 7050);
    assert_eq!(engine.remove_run(ms(700), 2), Some(ms(700)));
    assert_eq!(engine.remove_run(ms(700), 2), None);
    assert_eq!(engine.memory_in_use(), 0);
}

#[test]
fn copies_take_turns_on_a_link() {
    let mut engine = EngineModel::default();
    assert_eq!(engine.add_copy(ms(0), ms(50)), ms(50));
    assert_eq!(engine.add_copy(ms(10), ms(50)), ms(100));
    assert_eq!(engine.copy_wait(ms(30)), ms(70));
    assert_eq!(engine.add_copy(ms(30), Duration::ZERO), ms(30), "nothing is copied");
}
