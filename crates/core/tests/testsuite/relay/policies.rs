//! Decisions of the relay that an operator's policy script takes over.

use peatdeck_core::{
    policy,
    relay::{
        config::{RequestKind, Route},
        model::{Arrival, Failure, Refusal},
    },
};

use super::fixture::{ConfigBuilder, World, arrival, entry, ms, prompt, route, stage};

/// A world with one route without stages, two endpoints and a policy.
fn with_policy(script: &str) -> World {
    let mut world = World::plain(RequestKind::Idempotent);
    world.relay.set_policy(policy::compile(script).unwrap());
    world
}

#[test]
fn a_request_that_the_policy_does_not_admit_is_refused_as_not_run_with_its_retry_time() {
    let mut world = with_policy("fn admit(ctx) { ctx.pipeline != \"r\" } fn refuse(ctx) { 250 }");
    world.submit(arrival("1", "r"));
    assert_eq!(world.refusals(), ["503 policy 250ms"]);
    assert!(world.calls().is_empty());
    assert_eq!(world.relay.open_exchanges(), 0);
}

#[test]
fn the_retry_time_of_a_policy_is_limited_to_a_third_of_the_remaining_time() {
    let mut world = with_policy("fn admit(ctx) { false } fn refuse(ctx) { 60000 }");
    world.submit(Arrival { deadline: Some(ms(1000)), ..arrival("1", "r") });
    assert_eq!(world.refusals(), ["503 policy 300ms"]);
}

#[test]
fn a_policy_cannot_refuse_a_request_that_ran_as_not_run() {
    let mut world = with_policy("fn refuse(ctx) { 250 }");
    world.submit(arrival("1", "r"));
    for _ in 0..2 {
        let call = world.call().key;
        world.fail(call, Failure::Cut);
    }
    assert_eq!(world.refusals(), ["502 failed 250ms"]);
}

#[test]
fn the_endpoint_with_the_highest_score_of_the_policy_gets_the_call() {
    for name in ["a", "b"] {
        let script =
            format!("fn route(ctx) {{ if ctx.endpoint.name == \"{name}\" {{ 1 }} else {{ 0 }} }}");
        let mut world = with_policy(&script);
        for id in ["1", "2", "3"] {
            world.submit(arrival(id, "r"));
            assert_eq!(&*world.call().endpoint, name);
        }
    }
}

#[test]
fn the_order_of_the_policy_is_the_rank_at_an_engine() {
    for (order, rank) in [("9", 0), ("2", 7), ("-5", 9), ("100", 0), ("()", 1)] {
        let mut world = with_policy(&format!("fn order(ctx) {{ {order} }}"));
        world.submit(Arrival { prompt: Some(prompt(1, 2)), ..arrival("1", "r") });
        assert_eq!(world.call().rank, Some(rank), "{order}");
    }
}

#[test]
fn a_policy_failure_is_counted_and_ignored() {
    // It fails with the facts of a request, but not with the samples used when it is compiled.
    let script = "fn admit(ctx) { if ctx.pipeline == \"r\" { ctx.unknown.field } else { true } }";
    let mut world = with_policy(script);
    world.submit(arrival("1", "r"));
    assert_eq!(world.calls().len(), 1);
    assert_eq!(world.relay.policy_failures(), 1);
}

#[test]
fn a_policy_receives_the_queue_length() {
    let stages = vec![stage("ledger", &[], 10)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("ledger", 1 << 30);
    let config = config.route(Route { stages, ..route("r", RequestKind::Idempotent, "desk") });
    let mut world = World::new(config.build());
    world.put(entry("l1", "ledger"));
    let script = "fn admit(ctx) { ctx.stage != \"ledger\" || ctx.waiting < 3 }";
    world.relay.set_policy(policy::compile(script).unwrap());
    let staged_arrival = |id: &str| Arrival { pieces: vec![2], ..arrival(id, "r") };
    for id in ["1", "2", "3"] {
        world.submit(staged_arrival(id));
    }
    assert!(world.refusals().is_empty());
    world.submit(staged_arrival("4"));
    assert_eq!(world.refusals(), ["503 policy 400ms"]);
    assert_eq!(Refusal::Policy.status(), 503);
}
