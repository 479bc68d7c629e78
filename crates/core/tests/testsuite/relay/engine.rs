//! What is reckoned of an engine.

use std::time::Duration;

use peatdeck_core::relay::engine::{Engine, Work};

use super::fixture::{ms, prompt};

fn reading(millis: u64) -> Work {
    Work { reading: ms(millis), copying: Duration::ZERO, first: ms(50) }
}

fn place(engine: &mut Engine, at: u64, number: u64, work: Work) {
    engine.place(ms(at), number, &prompt(1, 100 + number), work);
}

#[test]
fn what_was_placed_is_read_one_after_the_other() {
    let mut engine = Engine::default();
    place(&mut engine, 0, 1, reading(100));
    place(&mut engine, 20, 2, reading(100));
    assert_eq!(engine.wait(ms(50)), ms(150));
    assert_eq!(engine.wait(ms(250)), ms(0));
}

/// Whatever the reason: full memory, a busy link, slow steps.
#[test]
fn a_first_token_that_is_overdue_shows_that_the_engine_is_behind() {
    let mut engine = Engine::default();
    place(&mut engine, 0, 1, reading(100));
    assert_eq!(engine.wait(ms(400)), ms(0), "the news may be on their way");
    assert_eq!(engine.wait(ms(1000)), ms(600));
    engine.begun(ms(1000), 1);
    assert_eq!(engine.wait(ms(1000)), ms(0));
}

#[test]
fn a_call_that_others_overtook_tells_nothing_of_the_engine() {
    let mut engine = Engine::default();
    place(&mut engine, 0, 1, reading(100));
    place(&mut engine, 10, 2, reading(10));
    engine.begun(ms(100), 2);
    assert_eq!(engine.wait(ms(2000)), ms(0));
}

#[test]
fn an_engine_of_which_nothing_is_heard_is_tried_again() {
    let mut engine = Engine::default();
    place(&mut engine, 0, 1, reading(100));
    assert!(engine.wait(ms(4300)) > ms(3800));
    assert_eq!(engine.wait(ms(4500)), ms(0));
    engine.forget(ms(31_000));
    assert_eq!((engine.runs(), engine.memory()), (0, 0));
}

#[test]
fn memory_counts_shared_parts_once() {
    let mut engine = Engine::default();
    // Six thousand tokens that are shared, a thousand of its own, 50 to come.
    assert_eq!(engine.memory_for(&prompt(1, 2)), 7050);
    place(&mut engine, 0, 1, reading(100));
    assert_eq!(engine.memory_for(&prompt(1, 2)), 1050);
    place(&mut engine, 0, 2, reading(100));
    assert_eq!((engine.runs(), engine.memory()), (2, 8100));
    engine.ended(ms(500), 1);
    assert_eq!(engine.memory(), 7050);
    assert_eq!(engine.ended(ms(700), 2), Some(ms(700)));
    assert_eq!(engine.ended(ms(700), 2), None);
    assert_eq!(engine.memory(), 0);
}

#[test]
fn copies_take_turns_on_a_link() {
    let mut engine = Engine::default();
    assert_eq!(engine.copy(ms(0), ms(50)), ms(50));
    assert_eq!(engine.copy(ms(10), ms(50)), ms(100));
    assert_eq!(engine.copy_wait(ms(30)), ms(70));
    assert_eq!(engine.copy(ms(30), Duration::ZERO), ms(30), "nothing is copied");
}
