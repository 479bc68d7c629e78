//! Property tests: random histories are checked against a simple oracle.
//!
//! Whatever endpoints answer, lose or refuse, and in whatever order: each exchange ends exactly
//! once, a request that may run once is not called again after it may have run, a refusal states
//! "not run" only if nothing may have run, nothing is sent to a leaving endpoint, and no state
//! remains at the end.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::{RequestKind, Route},
        directory::Entry,
        fingerprint::Fingerprint,
        model::{
            Action, Arrival, CallKey, ExchangeKey, Failure, PieceFailure, ProbeResult, ReplyHead,
        },
        operator::OperatorCommand,
        terms::{Rate, Terms},
    },
};
use proptest::prelude::*;

use super::fixture::{
    Batch, ConfigBuilder, World, arrival, entry, head, ms, not_run, route, stage,
};

#[derive(Debug, Clone)]
enum Step {
    Arrive(u8),
    Reply(u8, u8),
    Event(u8),
    End(u8),
    Fail(u8, u8),
    Complete(u8, u8),
    Disconnect(u8),
    StartLeaving(u8),
    Join,
    /// An endpoint restarts with the same name.
    Restart(u8),
    Wait(u16),
    /// A request with one of a few contents is submitted.
    SubmitContent(u8, u8),
    /// An endpoint crashes: its calls are interrupted, and a new connection is refused.
    Crash(u8),
    /// Its calls are interrupted, but a new connection succeeds.
    Reset(u8),
    /// A peer or the platform's table reports that a content is quarantined, or no longer.
    Quarantine(u8, bool),
    /// Operators evacuate a data centre, or restore it.
    Evacuate(u8, bool),
    /// An endpoint reports for how many milliseconds it is cold.
    ReportCold(u8, u16),
    /// A reply reports something about its endpoint.
    ReplyWith(u8, Report),
}

/// What a reply reports about its endpoint.
#[derive(Debug, Clone, Copy)]
enum Report {
    Leaving,
    /// For how many milliseconds it asks to be sent nothing.
    Hold(u16),
    /// Its limit, in thousandths of a call per second.
    Limit(u16),
}

fn report() -> impl Strategy<Value = Report> {
    prop_oneof![
        1 => Just(Report::Leaving),
        2 => (0_u16..4000).prop_map(Report::Hold),
        2 => (0_u16..500).prop_map(Report::Limit),
    ]
}

/// Steps in which endpoints also report holds, limits and leaving in their replies.
fn step_with_terms() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => step(),
        8 => (0_u8..128).prop_map(Step::Arrive),
        3 => (any::<u8>(), report()).prop_map(|(call, report)| Step::ReplyWith(call, report)),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<u8>().prop_map(Step::Arrive),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::Reply(call, how)),
        3 => any::<u8>().prop_map(Step::Event),
        2 => any::<u8>().prop_map(Step::End),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::Fail(call, how)),
        5 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::Complete(call, how)),
        1 => any::<u8>().prop_map(Step::Disconnect),
        1 => any::<u8>().prop_map(Step::StartLeaving),
        1 => Just(Step::Join),
        1 => any::<u8>().prop_map(Step::Restart),
        2 => (0_u16..900).prop_map(Step::Wait),
    ]
}

/// Steps with requests that crash endpoints.
fn step_with_crashes() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => step(),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(route, pick)| Step::SubmitContent(route, pick)),
        3 => any::<u8>().prop_map(Step::Crash),
        1 => any::<u8>().prop_map(Step::Reset),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(pick, is_set)| Step::Quarantine(pick, is_set)),
    ]
}

/// Steps in which data centres are evacuated and endpoints become cold.
fn step_with_evacuations() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => step(),
        3 => (any::<u8>(), any::<bool>()).prop_map(|(pick, is_set)| Step::Evacuate(pick, is_set)),
        2 => (any::<u8>(), 0_u16..3000).prop_map(|(pick, left)| Step::ReportCold(pick, left)),
    ]
}

const DATA_CENTRES: [&str; 3] = ["east", "west", "north"];

/// The data centre of an endpoint, derived from its name.
fn data_centre_of(name: &str) -> &'static str {
    DATA_CENTRES[name.bytes().last().map_or(0, usize::from) % DATA_CENTRES.len()]
}

fn entry_of(name: &str, service: &str) -> Entry {
    Entry { data_centre: data_centre_of(name).into(), ..entry(name, service) }
}

/// One of the few contents that many requests have in common.
fn common_content(pick: u8) -> Fingerprint {
    Fingerprint(u128::from(pick % 4) + 1)
}

const KINDS: [RequestKind; 4] =
    [RequestKind::Idempotent, RequestKind::Once, RequestKind::Stream, RequestKind::Resumable];

#[derive(Default)]
struct Oracle {
    open: HashMap<ExchangeKey, RequestKind>,
    /// Exchanges whose request may have run, at least in part.
    ran: HashSet<ExchangeKey>,
    calls: Vec<(CallKey, ExchangeKey)>,
    endpoint_of: HashMap<CallKey, String>,
    incarnations: HashMap<String, u64>,
    batches: Vec<Batch>,
    leaving: HashSet<String>,
    next_event: HashMap<ExchangeKey, u64>,
    contents: HashMap<ExchangeKey, Fingerprint>,
    quarantined: HashSet<Fingerprint>,
    evacuated: HashSet<&'static str>,
    /// Until when an endpoint is cold, and when it was last called while cold.
    cold: HashMap<String, (Duration, Option<Duration>)>,
    /// Until when an endpoint is on hold.
    on_hold: HashMap<String, Duration>,
    /// The limit that an endpoint states, and the times of its calls since then.
    limited: HashMap<String, (Rate, Vec<Duration>)>,
}

/// Time between two calls of a cold endpoint.
const COLD_INTERVAL: Duration = Duration::from_millis(150);

impl Oracle {
    fn check(&mut self, world: &mut World) {
        let mut queries = Vec::new();
        for action in std::mem::take(&mut world.actions) {
            match action {
                Action::Quarantined { content, .. } => drop(self.quarantined.insert(content)),
                Action::Released(content) => drop(self.quarantined.remove(&content)),
                Action::QueryAnswered { content, .. } => queries.push(content),
                Action::Send(call) => {
                    let content = self.contents.get(&call.exchange);
                    let is_quarantined =
                        content.is_some_and(|content| self.quarantined.contains(content));
                    assert!(!is_quarantined, "sent although it is quarantined");
                    assert!(!self.leaving.contains(&*call.endpoint), "sent to a leaving endpoint");
                    let kind = self.open.get(&call.exchange);
                    let is_repeat = self.ran.contains(&call.exchange);
                    let may_repeat = kind.is_none_or(|kind| kind.is_repeatable());
                    assert!(may_repeat || !is_repeat, "{kind:?} was called again");
                    self.check_target(world.now, &call.endpoint);
                    self.endpoint_of.insert(call.key, call.endpoint.to_string());
                    self.calls.push((call.key, call.exchange));
                }
                Action::MakePieces { call, endpoint, addr, pieces } => {
                    let is_quarantined =
                        pieces.iter().any(|piece| self.quarantined.contains(&piece.content));
                    assert!(!is_quarantined, "run although it is quarantined");
                    assert!(!self.leaving.contains(&*endpoint), "run at a leaving endpoint");
                    self.check_target(world.now, &endpoint);
                    self.batches.push(Batch { call, endpoint, addr, pieces });
                }
                Action::Cancel(call) => {
                    self.forget(call);
                    self.batches.retain(|batch| batch.call != call);
                }
                Action::Answer { exchange, .. }
                | Action::FinishStream(exchange)
                | Action::AbortStream(exchange) => self.end(exchange),
                Action::Refuse { exchange, refusal, .. } => {
                    let states_not_run = refusal.status() == 503;
                    assert!(
                        !states_not_run || !self.ran.contains(&exchange),
                        "refused as not run although it may have run"
                    );
                    self.end(exchange);
                }
                _ => {}
            }
        }
        for content in queries {
            let was_answered = content.0 % 2 == 0;
            world.relay.on_query_result(world.now, content, was_answered);
            world.collect();
            self.check(world);
        }
    }

    /// Checks that an endpoint may be sent something now.
    fn check_target(&mut self, now: Duration, name: &str) {
        assert!(!self.evacuated.contains(data_centre_of(name)), "sent to an evacuated data centre");
        assert!(
            self.on_hold.get(name).is_none_or(|until| now >= *until),
            "sent to an endpoint on hold"
        );
        if let Some((rate, calls)) = self.limited.get_mut(name) {
            calls.push(now);
            let recent = calls.iter().filter(|at| **at + ms(4000) > now).count();
            // This instance is the only caller, and may make up for one missed slot.
            assert!(recent as f64 <= 4.0 * rate.calls() + 2.0, "{recent} calls at {rate:?}");
        }
        let Some((until, last)) = self.cold.get_mut(name).filter(|(until, _)| now < *until) else {
            return;
        };
        assert!(
            last.is_none_or(|last| now >= last + COLD_INTERVAL),
            "sent to a cold endpoint too early: {until:?}"
        );
        *last = Some(now);
    }

    /// The open calls to an endpoint.
    fn calls_at(&self, name: &str) -> Vec<(CallKey, ExchangeKey)> {
        self.calls.iter().filter(|(call, _)| self.endpoint_of[call] == name).copied().collect()
    }

    /// An endpoint restarts; everything that it was sent may have run.
    fn restart(&mut self, name: &str) {
        self.leaving.remove(name);
        self.on_hold.remove(name);
        self.limited.remove(name);
        *self.incarnations.entry(name.to_owned()).or_insert(1) += 1;
        let open = self.calls.iter().filter(|(call, _)| self.endpoint_of[call] == name);
        self.ran.extend(open.map(|(_, exchange)| *exchange));
    }

    fn end(&mut self, exchange: ExchangeKey) {
        assert!(self.open.remove(&exchange).is_some(), "an exchange ended twice");
    }

    fn call(&self, pick: u8) -> Option<(CallKey, ExchangeKey)> {
        let count = self.calls.len().max(1);
        self.calls.get(usize::from(pick) % count).copied()
    }

    fn forget(&mut self, call: CallKey) {
        self.calls.retain(|(other, _)| *other != call);
    }
}

fn world() -> World {
    let mut config = ConfigBuilder::new(1)
        .service("desk")
        .piece_service("ledger", 6_000_000)
        .piece_service("mart", 100_000);
    for (idx, kind) in KINDS.into_iter().enumerate() {
        config = config.route(route(&format!("plain{idx}"), kind, "desk"));
        let stages = vec![
            stage("ledger", &[], 1_500_000),
            stage("ledger", &[], 8_000),
            stage("mart", &[1], 6_000),
        ];
        config = config.route(Route { stages, ..route(&format!("staged{idx}"), kind, "desk") });
    }
    for service in ["desk", "ledger", "mart"] {
        config = config.cold_interval(service, COLD_INTERVAL);
    }
    let mut world = World::new(config.build());
    for name in ["d0", "d1", "d2"] {
        world.put(entry_of(name, "desk"));
    }
    for name in ["l0", "l1"] {
        world.put(entry_of(name, "ledger"));
    }
    world.put(entry_of("m0", "mart"));
    world
}

fn run(steps: Vec<Step>) {
    let (mut world, mut oracle) = (world(), Oracle::default());
    let mut joined = 0;
    for (idx, step) in steps.into_iter().enumerate() {
        match step {
            Step::Arrive(pick) => {
                let kind = usize::from(pick) % KINDS.len();
                let is_staged = pick >= 128;
                let name = if is_staged { "staged" } else { "plain" };
                let pieces = if is_staged { vec![u16::from(pick % 3), 1, 2] } else { Vec::new() };
                let id = idx.to_string();
                let request = Arrival { pieces, ..arrival(&id, &format!("{name}{kind}")) };
                let key = world.relay.on_request(world.now, request).unwrap();
                oracle.open.insert(key, KINDS[kind]);
                world.collect();
            }
            Step::Reply(pick, how) => {
                let Some((call, exchange)) = oracle.call(pick) else { continue };
                let head = match how % 6 {
                    0 => not_run(503),
                    1 => not_run(421),
                    2 => head(500),
                    3 => not_run(409),
                    _ => head(200),
                };
                if head.status != 421 {
                    oracle.limited.remove(&oracle.endpoint_of[&call]);
                }
                if world.relay.on_reply_head(world.now, call, &head) {
                    oracle.ran.insert(exchange);
                    continue;
                }
                if !head.is_not_run {
                    oracle.ran.insert(exchange);
                }
                oracle.forget(call);
                world.reply(call, &head);
            }
            Step::Event(pick) => {
                let Some((call, exchange)) = oracle.call(pick) else { continue };
                if !oracle.open.get(&exchange).is_some_and(|kind| kind.is_stream()) {
                    continue;
                }
                oracle.ran.insert(exchange);
                let next = oracle.next_event.entry(exchange).or_default();
                *next += 1;
                let id = *next;
                world.stream_event(call, id);
            }
            Step::End(pick) => {
                let Some((call, exchange)) = oracle.call(pick) else { continue };
                if !oracle.open.get(&exchange).is_some_and(|kind| kind.is_stream()) {
                    continue;
                }
                oracle.ran.insert(exchange);
                oracle.forget(call);
                world.relay.on_stream_end(world.now, call);
                world.collect();
            }
            Step::Fail(pick, how) => {
                let Some((call, exchange)) = oracle.call(pick) else { continue };
                let failure = match how % 3 {
                    0 => Failure::Unsent,
                    1 => Failure::Cut,
                    _ => Failure::Foreign,
                };
                if failure != Failure::Unsent {
                    oracle.ran.insert(exchange);
                }
                oracle.forget(call);
                world.fail(call, failure);
            }
            Step::Complete(pick, how) => {
                if oracle.batches.is_empty() {
                    continue;
                }
                let batch = oracle.batches.remove(usize::from(pick) % oracle.batches.len());
                match how % 8 {
                    0 => world.complete_with(batch.call, batch.all_failed(PieceFailure::NoRoom)),
                    1 => world.complete_with(batch.call, batch.all_failed(PieceFailure::InputGone)),
                    2 => world.relay.on_pieces_failure(world.now, batch.call, Failure::Cut, false),
                    3 => world.relay.on_pieces_failure(world.now, batch.call, Failure::Cut, true),
                    _ => {
                        world.complete(&batch);
                    }
                }
                world.collect();
            }
            Step::Disconnect(pick) => {
                let mut open: Vec<_> = oracle.open.keys().copied().collect();
                open.sort();
                if open.is_empty() {
                    continue;
                }
                let key = open[usize::from(pick) % open.len()];
                oracle.open.remove(&key);
                world.disconnect(key);
            }
            Step::StartLeaving(pick) => {
                let name = format!("d{}", pick % 3);
                oracle.leaving.insert(name.clone());
                let incarnation = Incarnation(oracle.incarnations.get(&name).copied().unwrap_or(1));
                world.put(Entry { is_leaving: true, incarnation, ..entry_of(&name, "desk") });
            }
            Step::Restart(pick) => {
                let piece_endpoints = [("l0", "ledger"), ("l1", "ledger"), ("m0", "mart")];
                let desks = [("d0", "desk"), ("d1", "desk"), ("d2", "desk")];
                let (name, service) = [piece_endpoints, desks].concat()[usize::from(pick) % 6];
                oracle.restart(name);
                let incarnation = Incarnation(oracle.incarnations[name]);
                oracle.cold.remove(name);
                world.put(Entry { incarnation, ..entry_of(name, service) });
            }
            Step::Join => {
                joined += 1;
                world.put(entry_of(&format!("new{joined}"), "desk"));
            }
            Step::Wait(millis) => world.advance(ms(millis.into())),
            Step::SubmitContent(route, content) => {
                let kind = usize::from(route) % KINDS.len();
                let content = common_content(content);
                let request =
                    Arrival { content, ..arrival(&idx.to_string(), &format!("plain{kind}")) };
                let key = world.relay.on_request(world.now, request).unwrap();
                oracle.open.insert(key, KINDS[kind]);
                oracle.contents.insert(key, content.for_team(None));
                world.collect();
            }
            Step::Crash(pick) | Step::Reset(pick) => {
                let result = match step {
                    Step::Crash(_) => ProbeResult::Gone,
                    _ => ProbeResult::There,
                };
                for (call, exchange) in oracle.calls_at(&format!("d{}", pick % 3)) {
                    oracle.ran.insert(exchange);
                    oracle.forget(call);
                    world.fail(call, Failure::Cut);
                }
                let probes = world.take(|action| match action {
                    Action::Probe { endpoint, .. } => Some(*endpoint),
                    _ => None,
                });
                for endpoint in probes {
                    world.relay.on_probe(world.now, endpoint, result);
                    world.collect();
                }
            }
            Step::Evacuate(pick, is_evacuated) => {
                let name = DATA_CENTRES[usize::from(pick) % DATA_CENTRES.len()];
                let command = match is_evacuated {
                    true => OperatorCommand::Evacuate(name.into()),
                    false => OperatorCommand::Restore(name.into()),
                };
                let is_new = match is_evacuated {
                    true => oracle.evacuated.insert(name),
                    false => oracle.evacuated.remove(name),
                };
                assert_eq!(world.apply_command(command), is_new);
            }
            Step::ReportCold(pick, left) => {
                let all = [("d0", "desk"), ("d1", "desk"), ("l0", "ledger"), ("m0", "mart")];
                let (name, service) = all[usize::from(pick) % all.len()];
                let incarnation = Incarnation(oracle.incarnations.get(name).copied().unwrap_or(1));
                let cold_left = Some(ms(left.into()));
                if !oracle.leaving.contains(name) {
                    let known = oracle.cold.entry(name.to_owned()).or_default();
                    known.0 = world.now + ms(left.into());
                    world.put(Entry { incarnation, cold_left, ..entry_of(name, service) });
                }
            }
            Step::ReplyWith(pick, report) => reply_with(&mut world, &mut oracle, pick, report),
            Step::Quarantine(content, is_quarantined) => {
                let content = common_content(content).for_team(None);
                match is_quarantined {
                    true => world.relay.on_quarantine_record(world.now, content, 3),
                    false => world.relay.on_quarantine_removal(content),
                }
                world.collect();
            }
        }
        oracle.check(&mut world);
    }
    for _ in 0..40 {
        for batch in std::mem::take(&mut oracle.batches) {
            world.complete(&batch);
        }
        oracle.check(&mut world);
        world.advance(ms(250));
        oracle.check(&mut world);
    }
    assert!(oracle.open.is_empty(), "exchanges that never ended: {:?}", oracle.open);
    assert_eq!(world.relay.open_exchanges(), 0);
}

/// Delivers a reply that reports something about its endpoint: a refusal if it asks for a hold,
/// otherwise an answer.
fn reply_with(world: &mut World, oracle: &mut Oracle, pick: u8, report: Report) {
    let Some((call, exchange)) = oracle.call(pick) else { return };
    let name = oracle.endpoint_of[&call].clone();
    let mut terms = Terms::default();
    let mut head = head(200);
    if !matches!(report, Report::Limit(_)) {
        oracle.limited.remove(&name);
    }
    match report {
        Report::Leaving => {
            terms.is_leaving = true;
            oracle.leaving.insert(name);
        }
        Report::Hold(millis) => {
            head = not_run(503);
            terms.hold = Some(ms(millis.into()));
            let until = oracle.on_hold.entry(name).or_default();
            *until = (*until).max(world.now + ms(millis.into()));
        }
        Report::Limit(millis) => {
            let rate = Rate(millis.into());
            terms.limit = Some(rate);
            let is_known = oracle.limited.get(&name).is_some_and(|(known, _)| *known == rate);
            if !is_known {
                oracle.limited.insert(name, (rate, Vec::new()));
            }
        }
    }
    let head = ReplyHead { terms, ..head };
    if !head.is_not_run {
        oracle.ran.insert(exchange);
    }
    if !world.relay.on_reply_head(world.now, call, &head) {
        oracle.forget(call);
        world.reply(call, &head);
    }
}

/// An engine sends an event and then states that it did not run the request because its inputs are
/// gone. The stream was called again. Found by a longer run (seed 77, 30,000 cases).
#[test]
fn a_stream_that_sent_events_has_run() {
    let mut steps = vec![Step::Arrive(142), Step::Complete(0, 4), Step::Complete(0, 4)];
    steps.extend([Step::Complete(0, 4), Step::Event(0), Step::Reply(0, 3)]);
    run(steps);
}

/// A call takes too long for a piece whose request has ended meanwhile. The piece was repeated
/// elsewhere although no request needed it. Found by a longer run (seed 79).
#[test]
fn pieces_of_ended_requests_are_not_repeated() {
    use Step::{Arrive, Complete, Disconnect, Reply, Restart, Wait};
    let begin = [Reply(0, 0), Arrive(0), Arrive(128), Complete(0, 4), Reply(0, 0), Arrive(0)];
    let replies = [Arrive(0), Arrive(0), Reply(0, 0), Reply(0, 0), Reply(0, 0), Arrive(0)];
    let disconnect =
        [Reply(0, 0), Reply(0, 0), Disconnect(0), Disconnect(0), Arrive(128), Disconnect(7)];
    let complete =
        [Arrive(255), Complete(32, 68), Complete(71, 35), Wait(60), Arrive(135), Complete(76, 44)];
    let wait = [Wait(88), Wait(133), Arrive(136), Reply(0, 0), Complete(109, 44), Restart(247)];
    let crash = [Arrive(0), Restart(6), Disconnect(3), Arrive(0), Restart(174), Wait(406)];
    let late = [Restart(198), Wait(574)];
    let steps = [&begin[..], &replies, &disconnect, &complete, &wait, &crash, &late].concat();
    run(steps);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_exchange_ends_once_and_correctly(steps in proptest::collection::vec(step(), 1..120)) {
        run(steps);
    }

    /// The property includes work in progress when an endpoint is evacuated or becomes cold.
    #[test]
    fn evacuated_endpoints_get_nothing_and_cold_ones_a_limited_rate(
        steps in proptest::collection::vec(step_with_evacuations(), 1..160)
    ) {
        run(steps);
    }

    /// The property includes work in progress when an endpoint reports its terms.
    #[test]
    fn holds_limits_and_leaving_are_respected(
        steps in proptest::collection::vec(step_with_terms(), 1..160)
    ) {
        run(steps);
    }

    /// The property includes work in progress when the content is quarantined.
    #[test]
    fn quarantined_content_is_not_sent(
        steps in proptest::collection::vec(step_with_crashes(), 1..160)
    ) {
        run(steps);
    }
}
