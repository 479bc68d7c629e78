//! The model that predicts the waiting time and memory of an engine.

use std::time::Duration;

use peatdeck_core::relay::{
    engine::{CallEstimate, EngineModel},
    model::{Part, Prompt},
};

use super::fixture::{ms, prompt};

fn prefill(millis: u64) -> CallEstimate {
    CallEstimate { prefill: ms(millis), copy_time: Duration::ZERO, first_token: ms(50) }
}

fn add_run(engine: &mut EngineModel, at: u64, number: u64, work: CallEstimate) {
    engine.add_run(ms(at), number, &prompt(1, 100 + number), work);
}

#[test]
fn prompts_are_prefilled_one_after_the_other() {
    let mut engine = EngineModel::default();
    add_run(&mut engine, 0, 1, prefill(100));
    add_run(&mut engine, 20, 2, prefill(100));
    assert_eq!(engine.prefill_wait(ms(50)), ms(150));
    assert_eq!(engine.prefill_wait(ms(250)), ms(0));
}

/// The reason does not matter: full memory, a busy link or slow steps.
#[test]
fn an_overdue_first_token_adds_to_the_expected_wait() {
    let mut engine = EngineModel::default();
    add_run(&mut engine, 0, 1, prefill(100));
    assert_eq!(engine.prefill_wait(ms(400)), ms(0), "its report may still be in transit");
    assert_eq!(engine.prefill_wait(ms(1000)), ms(600));
    engine.record_first_token(ms(1000), 1);
    assert_eq!(engine.prefill_wait(ms(1000)), ms(0));
}

#[test]
fn a_call_that_others_overtook_does_not_add_to_the_wait() {
    let mut engine = EngineModel::default();
    add_run(&mut engine, 0, 1, prefill(100));
    add_run(&mut engine, 10, 2, prefill(10));
    engine.record_first_token(ms(100), 2);
    assert_eq!(engine.prefill_wait(ms(2000)), ms(0));
}

#[test]
fn an_engine_that_reports_nothing_is_tried_again() {
    let mut engine = EngineModel::default();
    add_run(&mut engine, 0, 1, prefill(100));
    assert!(engine.prefill_wait(ms(4300)) > ms(3800));
    assert_eq!(engine.prefill_wait(ms(4500)), ms(0));
    engine.expire_runs(ms(31_000));
    assert_eq!((engine.run_count(), engine.memory_in_use()), (0, 0));
}

#[test]
fn memory_counts_shared_parts_once() {
    let mut engine = EngineModel::default();
    // 6000 shared prompt tokens, 1000 of its own and 50 output tokens.
    assert_eq!(engine.additional_memory(&prompt(1, 2)), 7050);
    add_run(&mut engine, 0, 1, prefill(100));
    assert_eq!(engine.additional_memory(&prompt(1, 2)), 1050);
    add_run(&mut engine, 0, 2, prefill(100));
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

/// Callers state the length of each part. Guards against an underflow of the memory in use when two
/// of them state different lengths of one part.
#[test]
fn callers_that_disagree_on_the_length_of_a_part_do_not_corrupt_the_memory_in_use() {
    let with_part = |tokens| {
        let parts = vec![Part { id: 1, tokens }, Part { id: 2, tokens: 10 }];
        Prompt { parts, input: tokens + 10, output: 5 }
    };
    let mut engine = EngineModel::default();
    engine.add_run(ms(0), 1, &with_part(100), prefill(10));
    engine.add_run(ms(0), 2, &with_part(9000), prefill(10));
    assert_eq!(engine.memory_in_use(), 130);
    engine.remove_run(ms(1), 1);
    engine.remove_run(ms(1), 2);
    assert_eq!(engine.memory_in_use(), 0);
}
