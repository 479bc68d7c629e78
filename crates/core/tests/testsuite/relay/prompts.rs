//! Which engine prefills a prompt, and which engine it fetches missing parts from.

use std::collections::HashSet;

use peatdeck_core::relay::{
    config::{Engine, RequestKind, Transfer},
    directory::Entry,
    model::{Arrival, Call},
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, ms, prompt, route};

/// Seven thousand tokens take 33 ms to fetch, and about 200 ms to prefill.
const TRANSFER: Transfer = Transfer { token_bytes: 160_000.0, rate: 32e6 };

fn world(transfer: Option<Transfer>) -> World {
    let engine = Engine { slots: 64, memory: 300_000, max_gap: None, transfer };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    for name in ["a", "b", "c"] {
        world.put(entry(name, "llm"));
    }
    world
}

fn prompt_arrival(id: &str, shared: u64, own: u64) -> Arrival {
    Arrival { prompt: Some(prompt(shared, own)), ..arrival(id, "r") }
}

fn submit_prompt(world: &mut World, id: &str, shared: u64, own: u64) -> Call {
    world.submit(prompt_arrival(id, shared, own));
    world.call()
}

#[test]
fn a_part_is_prefilled_by_one_engine_and_fetched_by_the_others() {
    let mut world = world(Some(TRANSFER));
    let calls: Vec<_> =
        (0..60).map(|own| submit_prompt(&mut world, &format!("{own}"), 1, 100 + own)).collect();
    // The first call prefills the shared part, the others only their own one.
    let tokens: Vec<_> = calls.iter().map(|call| call.basis.tokens).collect();
    assert_eq!((tokens[0], &tokens[1..]), (7000, &[1000; 59][..]));
    let mut holders = HashSet::from([calls[0].addr.clone()]);
    for call in &calls[1..] {
        if holders.insert(call.addr.clone()) {
            let source = call.source.clone().expect("it lacks the shared part");
            assert!(source != call.addr && holders.contains(&source));
        }
    }
    assert_eq!(holders.len(), 3);
}

#[test]
fn a_part_is_never_fetched_from_an_engine_of_another_version() {
    let mut world = world(Some(TRANSFER));
    for name in ["d", "e", "f"] {
        world.put(Entry { version: "v2".into(), ..entry(name, "llm") });
    }
    let version_at = |addr: &str| if addr < "d" { "v1" } else { "v2" };
    let calls = (0..120).map(|own| submit_prompt(&mut world, &format!("{own}"), 1, 100 + own));
    let calls: Vec<_> = calls.collect();
    let sources = calls.iter().filter_map(|call| Some((call, call.source.as_deref()?)));
    let sources: Vec<_> = sources.collect();
    // Of each version, two engines lack the part.
    assert!(sources.len() >= 4, "{} fetches", sources.len());
    assert!(sources.iter().all(|(call, source)| *call.software == *version_at(source)));
    let software: HashSet<_> = calls.iter().map(|call| &call.software).collect();
    assert_eq!(software.len(), 2);
}

#[test]
fn without_transfers_more_calls_stay_at_the_engine_that_holds_the_part() {
    let moved_calls = |transfer| {
        let mut world = world(transfer);
        let first = submit_prompt(&mut world, "first", 1, 1).endpoint;
        let calls = (0..60).map(|own| submit_prompt(&mut world, &format!("{own}"), 1, 100 + own));
        calls.filter(|call| call.endpoint != first).count()
    };
    assert!(moved_calls(Some(TRANSFER)) > moved_calls(None));
}

#[test]
fn an_engine_that_cannot_fetch_is_given_no_source() {
    let mut world = world(None);
    for own in 0..60 {
        assert_eq!(submit_prompt(&mut world, &format!("{own}"), 1, 100 + own).source, None);
    }
}

#[test]
fn an_engine_that_failed_is_no_source() {
    let mut world = world(Some(TRANSFER));
    let first = submit_prompt(&mut world, "first", 1, 1);
    world.fail(first.key, peatdeck_core::relay::model::Failure::Cut);
    world.advance(ms(10));
    let second = submit_prompt(&mut world, "second", 1, 2);
    assert_ne!(second.endpoint, first.endpoint);
    assert_ne!(second.source.as_deref(), Some(&*first.addr));
}
