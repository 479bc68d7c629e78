//! Pieces of several requests are grouped into calls.

use peatdeck_core::relay::{
    config::{RequestKind, Route},
    model::{Arrival, PieceFailure},
};

use super::fixture::{Batch, ConfigBuilder, World, arrival, entry, ms, route, stage};

fn world(memory: u64, bytes: u64, endpoints: &[&str]) -> World {
    let stages = vec![stage("ledger", &[], bytes)];
    let slow = Route { stages, ..route("r", RequestKind::Idempotent, "desk") };
    let fast = Route {
        stages: vec![stage("ledger", &[], bytes)],
        objective: ms(400),
        ..route("quick", RequestKind::Idempotent, "desk")
    };
    let config = ConfigBuilder::new(1).service("desk").piece_service("ledger", memory).route(slow);
    let mut world = World::new(config.route(fast).build());
    for name in endpoints {
        world.put(entry(name, "ledger"));
    }
    world
}

fn staged_arrival(id: &str, route: &str, pieces: u16) -> Arrival {
    Arrival { pieces: vec![pieces], deadline: Some(ms(8000)), ..arrival(id, route) }
}

fn names(batches: &[Batch]) -> Vec<Vec<String>> {
    batches.iter().map(Batch::names).collect()
}

#[test]
fn pieces_wait_at_the_batcher_while_endpoints_are_busy() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.submit(staged_arrival("1", "r", 1));
    let first = world.batches().remove(0);
    for id in ["2", "3", "4"] {
        world.submit(staged_arrival(id, "r", 1));
    }
    assert!(world.batches().is_empty());
    world.complete(&first);
    assert_eq!(names(&world.batches()), [["2/0/0", "3/0/0", "4/0/0"]]);
}

#[test]
fn a_call_contains_no_more_pieces_than_configured() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.submit(staged_arrival("1", "r", 1));
    let first = world.batches().remove(0);
    for id in ["2", "3", "4", "5", "6"] {
        world.submit(staged_arrival(id, "r", 1));
    }
    world.complete(&first);
    assert_eq!(world.batches()[0].pieces.len(), 4);
}

#[test]
fn pieces_of_one_stage_stay_in_one_call() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.submit(staged_arrival("1", "r", 1));
    let first = world.batches().remove(0);
    world.submit(staged_arrival("2", "r", 3));
    world.submit(staged_arrival("3", "r", 3));
    world.submit(staged_arrival("4", "r", 1));
    world.complete(&first);
    assert_eq!(names(&world.batches()), [["2/0/0", "2/0/1", "2/0/2", "4/0/0"]]);
}

#[test]
fn more_pieces_than_fit_a_call_run_in_several() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.submit(staged_arrival("1", "r", 6));
    let first = world.batches().remove(0);
    assert_eq!(first.pieces.len(), 4);
    world.complete(&first);
    assert_eq!(names(&world.batches()), [["1/0/4", "1/0/5"]]);
}

#[test]
fn the_earliest_target_time_goes_first() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.submit(staged_arrival("1", "r", 4));
    let first = world.batches().remove(0);
    world.submit(staged_arrival("slow", "r", 4));
    world.submit(staged_arrival("fast", "quick", 4));
    world.complete(&first);
    assert_eq!(world.batches()[0].names()[0], "fast/0/0");
}

#[test]
fn requests_that_can_meet_their_target_go_before_late_ones() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.submit(staged_arrival("1", "r", 4));
    let first = world.batches().remove(0);
    world.submit(staged_arrival("late", "quick", 4));
    world.advance(ms(450));
    world.submit(staged_arrival("good", "r", 4));
    world.complete(&first);
    assert_eq!(world.batches()[0].names()[0], "good/0/0");
}

#[test]
fn a_late_request_behind_others_is_refused_before_half_of_its_time_has_passed() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.put(entry("d1", "desk"));
    world.submit(staged_arrival("first", "r", 4));
    let mut running = world.batches().remove(0);
    world.submit(staged_arrival("late", "quick", 4));
    // Requests that can meet their target times fill every call.
    for round in 0..12 {
        assert!(world.refusals().is_empty(), "refused after {round} rounds");
        world.submit(staged_arrival(&format!("good-{round}"), "r", 4));
        world.submit(staged_arrival(&format!("next-{round}"), "r", 4));
        world.advance(ms(280));
        world.complete(&running);
        running = world.batches().remove(0);
        assert!(!running.names()[0].starts_with("late"));
    }
    world.advance(ms(300));
    assert_eq!(world.refusals(), ["503 infeasible 1.392s"]);
}

#[test]
fn a_late_request_that_fits_the_next_call_waits_for_it() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.put(entry("d1", "desk"));
    world.submit(staged_arrival("first", "r", 4));
    let running = world.batches().remove(0);
    for id in ["late-1", "late-2"] {
        world.submit(staged_arrival(id, "quick", 4));
    }
    // If they wait as long again as they have already waited, only the first one gets into a call.
    world.advance(ms(3700));
    assert_eq!(world.refusals().len(), 0);
    world.advance(ms(100));
    assert_eq!(world.refusals().len(), 1, "only one of them fits the next call");
    world.complete(&running);
    assert_eq!(world.batches().len(), 1);
}

#[test]
fn results_never_need_more_memory_than_is_free() {
    let mut world = world(10, 4, &["l1"]);
    world.submit(staged_arrival("1", "r", 2));
    let first = world.batches().remove(0);
    world.submit(staged_arrival("2", "r", 2));
    world.complete(&first);
    assert!(world.batches().is_empty(), "2 units of memory are left");
    let call = world.call_after_pieces();
    world.reply(call, &super::fixture::head(200));
    assert_eq!(world.relay.next_wake(world.now), world.now, "memory is free now");
    world.advance(ms(0));
    assert_eq!(names(&world.batches()), [["2/0/0", "2/0/1"]]);
}

#[test]
fn small_results_go_before_large_ones_that_lack_memory() {
    let large = Route {
        stages: vec![stage("ledger", &[], 1_000_000)],
        ..route("large", RequestKind::Idempotent, "desk")
    };
    let small = Route {
        stages: vec![stage("ledger", &[], 1000)],
        objective: ms(5000),
        ..route("small", RequestKind::Idempotent, "desk")
    };
    let config = ConfigBuilder::new(1).service("desk").piece_service("ledger", 2_500_000);
    let mut world = World::new(config.route(large).route(small).build());
    world.put(entry("l1", "ledger"));
    world.submit(staged_arrival("1", "large", 2));
    let first = world.batches().remove(0);
    for idx in 0..40 {
        world.submit(staged_arrival(&format!("large-{idx}"), "large", 1));
    }
    world.submit(staged_arrival("small", "small", 1));
    world.complete(&first);
    assert_eq!(names(&world.batches()), [["small/0/0"]]);
}

#[test]
fn repeated_refusals_lengthen_the_pause_of_an_endpoint() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.submit(staged_arrival("1", "r", 1));
    for pause in [60, 120, 240, 400, 400] {
        let batch = world.batches().remove(0);
        let failure = peatdeck_core::relay::model::Failure::Cut;
        world.relay.on_pieces_failure(world.now, batch.call, failure, true);
        world.advance(ms(pause - 1));
        assert!(world.batches().is_empty());
        world.advance(ms(1));
    }
}

#[test]
fn idle_endpoints_share_a_long_queue() {
    let mut world = world(1 << 30, 1, &["l1", "l2"]);
    world.submit(staged_arrival("1", "r", 4));
    world.submit(staged_arrival("2", "r", 4));
    let batches = world.batches();
    assert_eq!(batches.iter().map(|batch| batch.pieces.len()).collect::<Vec<_>>(), [4, 4]);
    assert_ne!(batches[0].endpoint, batches[1].endpoint);
}

#[test]
fn pieces_of_a_straggler_also_run_elsewhere() {
    let mut world = world(1 << 30, 1, &["l1", "l2"]);
    world.submit(staged_arrival("1", "r", 2));
    let straggler = world.batches().remove(0);
    world.advance(ms(1000));
    assert!(world.batches().is_empty(), "an endpoint that is merely slow gets more time");
    world.advance(ms(100));
    let second = world.batches().remove(0);
    assert_eq!(second.names(), straggler.names());
    assert_ne!(second.endpoint, straggler.endpoint);
    assert!(second.pieces[0].is_repeat);
    world.complete(&second);
    let call = world.call_after_pieces();
    world.reply(call, &super::fixture::head(200));
    assert_eq!(world.freed().len(), 2);
    world.complete(&straggler);
    assert_eq!(world.freed().len(), 2, "results that no request needs are freed");
}

#[test]
fn a_straggler_that_finishes_first_counts() {
    let mut world = world(1 << 30, 1, &["l1"]);
    world.submit(staged_arrival("1", "r", 2));
    let straggler = world.batches().remove(0);
    world.advance(ms(1100));
    assert!(world.batches().is_empty(), "there is no other endpoint");
    world.complete(&straggler);
    assert!(world.batches().is_empty());
    let call = world.call_after_pieces();
    world.reply(call, &super::fixture::head(200));
    assert_eq!(world.relay.open_exchanges(), 0);
}

#[test]
fn a_straggler_that_fails_does_not_affect_its_repeat() {
    let mut world = world(1 << 30, 1, &["l1", "l2"]);
    world.submit(staged_arrival("1", "r", 1));
    let straggler = world.batches().remove(0);
    world.advance(ms(1100));
    let second = world.batches().remove(0);
    let failure = peatdeck_core::relay::model::Failure::Cut;
    world.relay.on_pieces_failure(world.now, straggler.call, failure, false);
    world.collect();
    assert!(world.batches().is_empty());
    world.complete(&second);
    world.call_after_pieces();
}

#[test]
fn a_slow_endpoint_gets_no_pieces_while_the_others_keep_up() {
    let mut world = world(1 << 30, 1, &["l1", "l2"]);
    world.submit(staged_arrival("1", "r", 1));
    let slow = world.batches().remove(0);
    world.advance(ms(1400));
    world.complete(&slow);
    for id in 2..6 {
        world.submit(staged_arrival(&id.to_string(), "r", 1));
        let batch = world.batches().remove(0);
        assert_ne!(batch.endpoint, slow.endpoint);
        world.advance(ms(220));
        world.complete(&batch);
    }
}

impl World {
    /// The call of an exchange whose pieces are complete; adds the endpoint that it goes to.
    fn call_after_pieces(&mut self) -> peatdeck_core::relay::model::CallKey {
        self.put(entry("d1", "desk"));
        self.call().key
    }
}

/// When an endpoint lacks memory for some results of a call, the batcher counts just these
/// results as memory in use and does not consider the endpoint full.
#[test]
fn an_endpoint_without_memory_for_some_results_gets_the_next_call() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("ledger", &[], 50_000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("ledger", 8 * 50_000);
    let mut world = World::new(config.route(staged).build());
    world.put(entry("a", "desk"));
    world.put(entry("l", "ledger"));
    for id in ["1", "2", "3", "4"] {
        world.submit(Arrival { pieces: vec![2], ..arrival(id, "r") });
    }
    let first = world.batches().remove(0);
    let mut results = vec![Err(PieceFailure::NoRoom); first.pieces.len()];
    results[0] = Ok("l:80/x".into());
    world.complete_with(first.call, results);
    let second = world.batches().remove(0);
    // Eight results fit; one is held, and those that did not fit are counted as held.
    assert!(!second.pieces.is_empty() && second.pieces.len() <= 8 - first.pieces.len());
}
