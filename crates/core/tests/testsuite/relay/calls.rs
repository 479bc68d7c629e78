//! Calls: which ones are repeated, and what callers receive.

use expect_test::expect;
use peatdeck_core::{
    model::Incarnation,
    relay::{
        allowance::RetryBudgetConfig,
        config::{Engine, RequestKind, Route},
        directory::Entry,
        model::{Action, Arrival, Failure},
        pool::Pool,
    },
};

use super::fixture::{ConfigBuilder, World, arrival, entry, head, ms, not_run, prompt, route};

#[test]
fn an_answer_is_forwarded() {
    let mut world = World::plain(RequestKind::Once);
    let exchange = world.submit(arrival("1", "r"));
    let call = world.call();
    assert_eq!(call.remaining, ms(2000));
    world.reply(call.key, &head(200));
    assert_eq!(world.actions, [Action::Answer { exchange, call: call.key }]);
    assert_eq!(world.relay.open_exchanges(), 0);
}

#[test]
fn a_request_that_may_run_once_is_not_repeated_without_an_answer() {
    for failure in [Failure::Cut, Failure::Foreign] {
        let mut world = World::plain(RequestKind::Once);
        world.submit(arrival("1", "r"));
        let call = world.call();
        world.fail(call.key, failure);
        assert!(world.calls().is_empty());
        assert_eq!(world.refusals(), ["502 failed never"], "{failure:?}");
    }
}

#[test]
fn an_unsent_call_goes_to_another_endpoint() {
    let mut world = World::plain(RequestKind::Once);
    world.submit(arrival("1", "r"));
    let first = world.call();
    world.fail(first.key, Failure::Unsent);
    let second = world.call();
    assert_ne!(first.endpoint, second.endpoint);
    assert_eq!(second.attempt, 1);
}

#[test]
fn a_request_that_did_not_run_is_refused_with_a_retry_time() {
    let mut world = World::plain(RequestKind::Once);
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.reply(call.key, &not_run(503));
    let second = world.call();
    world.reply(second.key, &not_run(503));
    expect![[r#"
        [
            "503 unserved 400ms",
        ]
    "#]]
    .assert_debug_eq(&world.refusals());
}

#[test]
fn the_retry_time_leaves_time_for_a_second_attempt() {
    let mut world = World::plain(RequestKind::Once);
    let mut urgent = arrival("1", "r");
    urgent.deadline = Some(ms(600));
    world.submit(urgent);
    let call = world.call();
    world.reply(call.key, &not_run(503));
    let call = world.call();
    world.reply(call.key, &not_run(503));
    assert_eq!(world.refusals(), ["503 unserved 180ms"]);
}

#[test]
fn an_idempotent_request_is_repeated_without_an_answer_and_after_a_failure() {
    let mut world = World::plain(RequestKind::Idempotent);
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.fail(call.key, Failure::Cut);
    assert_eq!(world.calls().len(), 1);
    world.submit(arrival("2", "r"));
    let call = world.call();
    world.reply(call.key, &head(500));
    assert_eq!(world.calls().len(), 1);
}

#[test]
fn attempts_end_at_the_maximum_of_the_route() {
    let mut world = World::plain(RequestKind::Idempotent);
    world.put(entry("c", "desk"));
    let exchange = world.submit(arrival("1", "r"));
    let call = world.call();
    world.reply(call.key, &head(500));
    let call = world.call();
    world.reply(call.key, &head(500));
    assert!(world.calls().is_empty());
    assert_eq!(world.actions, [Action::Answer { exchange, call: call.key }]);
}

#[test]
fn a_sealed_error_response_is_forwarded() {
    let mut world = World::plain(RequestKind::Once);
    let exchange = world.submit(arrival("1", "r"));
    let call = world.call();
    world.reply(call.key, &head(500));
    assert_eq!(world.actions, [Action::Answer { exchange, call: call.key }]);
}

#[test]
fn an_unsealed_answer_does_not_count() {
    let mut world = World::plain(RequestKind::Once);
    world.submit(arrival("1", "r"));
    let call = world.call();
    let mut bare = head(200);
    bare.is_sealed = false;
    world.reply(call.key, &bare);
    assert_eq!(world.refusals(), ["502 failed never"]);
}

#[test]
fn retries_stay_within_the_budget() {
    let config =
        ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Idempotent, "desk"));
    let budget = RetryBudgetConfig { ratio: 0.0, slack: 2.5, window: ms(10_000) };
    let mut world = World::with_budget(config.build(), budget);
    world.put(entry("a", "desk"));
    world.put(entry("b", "desk"));
    let mut repeated = 0;
    for id in 0..5 {
        world.submit(arrival(&id.to_string(), "r"));
        let call = world.call();
        world.reply(call.key, &head(500));
        repeated += world.calls().len();
    }
    assert_eq!(repeated, 2);
}

#[test]
fn unreachable_instances_keep_their_share_of_the_budget() {
    let config =
        ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Idempotent, "desk"));
    let budget = RetryBudgetConfig { ratio: 0.0, slack: 100.0, window: ms(10_000) };
    let mut world = World::with_budget(config.build(), budget);
    world.put(entry("a", "desk"));
    world.put(entry("b", "desk"));
    world.relay.set_peers(world.now, Vec::new(), 40);
    let mut repeated = 0;
    for id in 0..10 {
        world.submit(arrival(&id.to_string(), "r"));
        let call = world.call();
        world.reply(call.key, &head(500));
        repeated += world.calls().len();
    }
    assert_eq!(repeated, 2);
}

#[test]
fn a_misdirected_call_marks_its_endpoint_as_gone() {
    let mut world = World::plain(RequestKind::Once);
    world.submit(arrival("1", "r"));
    let first = world.call();
    world.reply(first.key, &not_run(421));
    let second = world.call();
    assert_ne!(first.endpoint, second.endpoint);
    for id in 2..9 {
        world.submit(arrival(&id.to_string(), "r"));
        assert_eq!(world.call().endpoint, second.endpoint);
    }
}

#[test]
fn a_request_times_out_at_the_timeout_of_its_route() {
    let short = Route { timeout: ms(300), ..route("r", RequestKind::Once, "desk") };
    let config = ConfigBuilder::new(1).service("desk").route(short);
    let mut world = World::new(config.build());
    world.put(entry("a", "desk"));
    world.submit(arrival("1", "r"));
    let call = world.call();
    assert_eq!(call.remaining, ms(300));
    world.advance(ms(299));
    assert!(world.refusals().is_empty());
    world.advance(ms(1));
    assert_eq!(world.refusals(), ["504 timed_out never"]);
    assert_eq!(world.actions, [Action::Cancel(call.key)]);
}

#[test]
fn a_caller_that_disconnects_cancels_the_call() {
    let mut world = World::plain(RequestKind::Idempotent);
    let exchange = world.submit(arrival("1", "r"));
    let call = world.call();
    world.disconnect(exchange);
    assert_eq!(world.actions, [Action::Cancel(call.key)]);
    world.fail(call.key, Failure::Cut);
    assert_eq!(world.relay.open_exchanges(), 0);
    assert!(world.calls().is_empty());
}

#[test]
fn without_endpoints_a_request_waits_briefly() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Once, "desk"));
    let mut world = World::new(config.build());
    world.submit(arrival("1", "r"));
    world.advance(ms(100));
    assert!(world.actions.is_empty());
    world.put(entry("a", "desk"));
    assert_eq!(world.calls().len(), 1);
    world.submit(arrival("2", "r"));
    let call = world.call();
    world.fail(call.key, Failure::Unsent);
    for _ in 0..6 {
        world.advance(ms(40));
    }
    assert_eq!(world.refusals(), ["503 unserved 400ms"]);
}

#[test]
fn a_leaving_endpoint_gets_no_new_calls() {
    let mut world = World::plain(RequestKind::Idempotent);
    world.put(Entry { is_leaving: true, ..entry("a", "desk") });
    for id in 0..10 {
        world.submit(arrival(&id.to_string(), "r"));
    }
    assert!(world.calls().iter().all(|call| &*call.endpoint == "b"));
}

#[test]
fn an_instance_that_was_suspended_checks_timeouts_first() {
    let mut world = World::plain(RequestKind::Stream);
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.now += ms(60_000);
    assert!(!world.stream_event(call.key, 1) || world.refusals().is_empty());
    world.advance(ms(0));
    assert_eq!(world.relay.open_exchanges(), 0);
}

#[test]
fn an_instance_that_exits_refuses_its_callers() {
    let mut world = World::plain(RequestKind::Once);
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.relay.end_all_exchanges(world.now);
    world.collect();
    assert_eq!(world.refusals(), ["502 failed never"]);
    assert_eq!(world.actions, [Action::Cancel(call.key)]);
    assert_eq!(world.relay.open_exchanges(), 0);
}

/// If an endpoint restarts during a network partition, the connection to its previous
/// incarnation never reports an error.
#[test]
fn a_call_to_an_ended_incarnation_is_cancelled_and_repeated() {
    let mut world = World::plain(RequestKind::Idempotent);
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.put(Entry { incarnation: Incarnation(2), ..entry(&call.endpoint, "desk") });
    let addr = call.addr.clone();
    let closed = world.take(|action| match action {
        Action::Cancel(key) => Some(format!("{}", *key == call.key)),
        Action::Disconnect(addr) => Some(addr.to_string()),
        Action::EndpointCrashed { endpoint, crashes } => {
            Some(format!("{} {}", endpoint.name, crashes.len()))
        }
        _ => None,
    });
    let crashed = format!("{} 1", call.endpoint);
    assert_eq!(closed, [addr.to_string(), "true".to_owned(), crashed]);
    let again = world.call();
    assert_eq!(again.attempt, 2);
    world.reply(call.key, &head(200));
    assert_eq!(world.actions.len(), 0, "a late reply is ignored");
}

#[test]
fn a_call_that_may_run_once_fails_with_the_incarnation_that_it_went_to() {
    let mut world = World::plain(RequestKind::Once);
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.put(Entry { incarnation: Incarnation(2), ..entry(&call.endpoint, "desk") });
    assert!(world.calls().is_empty());
    assert_eq!(world.refusals(), ["502 failed never"]);
}

/// Three engines whose first tokens have taken 100 ms so far.
fn engines() -> World {
    let engine = Engine { slots: 64, memory: 300_000, max_gap: None, transfer: None };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let config = config.route(route("resumable", RequestKind::Resumable, "llm")).route(route(
        "stream",
        RequestKind::Stream,
        "llm",
    ));
    let mut world = World::new(config.build());
    for name in ["a", "b", "c"] {
        world.put(entry(name, "llm"));
    }
    for idx in 0..30 {
        world.submit(prompt_arrival(&format!("before-{idx}"), "resumable"));
        let call = world.call();
        world.advance(ms(100));
        world.relay.on_reply_head(world.now, call.key, &head(200));
        world.relay.on_stream_end(world.now, call.key);
        world.collect();
    }
    world.actions.clear();
    world
}

fn prompt_arrival(id: &str, route: &str) -> Arrival {
    let prompt = Some(prompt(1, xxhash_rust::xxh3::xxh3_64(id.as_bytes())));
    Arrival { prompt, deadline: Some(ms(8000)), ..arrival(id, route) }
}

/// An engine may hang or be overloaded without reporting it.
#[test]
fn a_call_whose_first_token_is_overdue_moves_to_another_engine() {
    let mut world = engines();
    world.submit(prompt_arrival("1", "resumable"));
    let call = world.call();
    world.advance(ms(500));
    assert!(world.calls().is_empty(), "an engine that is merely slow gets more time");
    world.advance(ms(500));
    let moved = world.call();
    assert_ne!(moved.endpoint, call.endpoint);
    let cancelled = world.take(|action| match action {
        Action::Cancel(call) => Some(*call),
        _ => None,
    });
    assert_eq!(cancelled, [call.key]);
    world.submit(prompt_arrival("2", "resumable"));
    assert_ne!(world.call().endpoint, call.endpoint, "the engine that hung gets no new calls");
}

#[test]
fn a_stream_that_may_run_once_is_not_moved() {
    let mut world = engines();
    world.submit(prompt_arrival("1", "stream"));
    world.call();
    world.advance(ms(3000));
    assert!(world.calls().is_empty());
}

#[test]
fn a_call_whose_first_token_has_arrived_is_not_moved() {
    let mut world = engines();
    world.submit(prompt_arrival("1", "resumable"));
    let call = world.call();
    assert!(world.relay.on_reply_head(world.now, call.key, &head(200)));
    world.advance(ms(3000));
    assert!(world.calls().is_empty());
}

#[test]
fn overdue_calls_move_within_the_retry_budget() {
    let mut world = engines();
    for idx in 0..200 {
        world.submit(prompt_arrival(&format!("{idx}"), "resumable"));
    }
    assert_eq!(world.calls().len(), 200);
    world.advance(ms(3000));
    let moved = world.calls().len();
    // The budget is 40 retries plus a fifth of 230 requests, of which four fifths are used.
    assert!((1..=72).contains(&moved), "{moved}");
}

/// It is ignored even with a later incarnation.
#[test]
fn an_entry_of_an_unconfigured_service_is_ignored() {
    let mut world = World::plain(RequestKind::Idempotent);
    for incarnation in [1, 7] {
        let incarnation = Incarnation(incarnation);
        let foreign = Entry { incarnation, addr: "c:80".into(), ..entry("a", "unheard-of") };
        world.put(foreign);
        world.submit(arrival("1", "r"));
        assert_eq!(&*world.call().addr, "b:80");
    }
    world.put(entry("a", "desk"));
    let usable = world.relay.directory().usable(world.now, Pool::of("desk"));
    assert_eq!(usable.len(), 2, "the next valid entry counts");
}
