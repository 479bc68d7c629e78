//! Runs a history: each step is applied to the instance and to the oracle.

use peatdeck_core::{
    model::Incarnation,
    relay::{
        directory::Entry,
        model::{Action, Arrival, Failure, PieceFailure, ProbeResult, ReplyHead},
        operator::OperatorCommand,
        terms::{Rate, Terms},
    },
};

use crate::relay::{
    fixture::{World, arrival, head, ms, not_run},
    fuzz::{
        oracle::{DATA_CENTRES, Oracle},
        peer,
        steps::{Report, Step},
        world::{KINDS, common_content, entry_of, world},
    },
};

/// Runs a history on an instance without peers.
pub fn run(steps: Vec<Step>) {
    run_in(world(), steps);
}

/// Runs a history, and then lets all requests end.
pub fn run_in(mut world: World, steps: Vec<Step>) {
    let mut oracle = Oracle::default();
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
                oracle.exchange_of_id.insert(id.as_str().into(), key);
                oracle.first_attempts.insert(key, id);
                world.collect();
            }
            Step::TakeUp(pick) => {
                let Some((first, last)) = oracle.stream(pick) else { continue };
                let (resume, first_attempt) = (Some(last), Some(first.as_str().into()));
                let request =
                    Arrival { resume, first_attempt, ..arrival(&idx.to_string(), "plain3") };
                let key = world.relay.on_request(world.now, request).unwrap();
                oracle.open.insert(key, KINDS[3]);
                oracle.first_attempts.insert(key, first);
                oracle.next_event.insert(key, last);
                world.collect();
            }
            Step::Replace => {
                let config = world.relay.config().unwrap().clone();
                let entries = world.relay.directory().all().map(|it| it.entry.clone());
                let mut fresh = World::new(config);
                fresh.now = world.now;
                entries.collect::<Vec<_>>().into_iter().for_each(|entry| fresh.put(entry));
                world = fresh;
                oracle.replace_instance();
            }
            Step::JoinAs(is_new) => {
                joined += 1;
                let version = if is_new { "v2" } else { "v1" };
                let entry = entry_of(&format!("new{joined}"), "desk");
                world.put(Entry { version: version.into(), ..entry });
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
                if world.stream_event(call, id) {
                    oracle.record_event(call, exchange, id);
                }
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
                if !matches!(how % 8, 0..=1 | 3) {
                    oracle.record_made(&batch.pieces);
                }
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
                let incarnation = oracle.incarnation(&name);
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
            Step::Elapse(millis) => world.now += ms(millis.into()),
            Step::Peer(step) => peer::apply(&mut world, &mut oracle, idx, step),
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
                let incarnation = oracle.incarnation(name);
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
    assert!(oracle.placed.is_empty(), "placements whose end was not reported: {:?}", oracle.placed);
    assert!(oracle.tickets.is_empty(), "pieces of the peer not returned: {:?}", oracle.tickets);
    assert_eq!(world.relay.open_tickets(), 0);
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
