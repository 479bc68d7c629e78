//! The peer that places prompts and makes pieces. Its answers come late, never, twice, or for an
//! engine that is gone.

use std::{sync::Arc, time::Duration};

use peatdeck_core::relay::{
    directory::{Change, Entry},
    fingerprint::Fingerprint,
    model::{
        Arrival, EndpointId, ExchangeKey, Piece, PieceFailure, PieceResult, Placement, RunNumber,
    },
};

use crate::relay::{
    fixture::{World, arrival, ms, prompt},
    fuzz::{
        oracle::Oracle,
        steps::PeerStep,
        world::{ENGINES, KINDS, PEER, entry_of, set_peer},
    },
};

/// Applies a step of the peer. `idx` is the number of the step.
pub fn apply(world: &mut World, oracle: &mut Oracle, idx: usize, step: PeerStep) {
    match step {
        PeerStep::SubmitPrompt(pick) => submit_prompt(world, oracle, idx, pick),
        PeerStep::Place(pick, how) => place(world, oracle, pick, how),
        PeerStep::Return(pick, how) => return_pieces(world, oracle, pick, how),
        PeerStep::SetAlive(is_alive) => set_peer(world, is_alive),
        PeerStep::SetEngine(pick, is_up) => set_engine(world, oracle, pick, is_up),
        PeerStep::HandOver(pick) => {
            let ticket = idx as u64;
            oracle.tickets.insert(ticket);
            let pieces = (0..=u16::from(pick % 3)).map(|number| piece(world.now, idx, number));
            world.relay.on_handover(world.now, ticket, pieces.collect());
        }
        PeerStep::Recall(pick) => {
            let ticket = oracle.tickets.iter().nth(usize::from(pick) % 4).copied();
            let Some(ticket) = ticket else { return };
            oracle.tickets.remove(&ticket);
            world.relay.on_handover_recall(ticket);
        }
    }
    world.collect();
}

fn submit_prompt(world: &mut World, oracle: &mut Oracle, idx: usize, pick: u8) {
    let kind = usize::from(pick) % KINDS.len();
    let is_staged = pick >= 128;
    let name = if is_staged { "both" } else { "prompt" };
    let pieces = if is_staged { vec![u16::from(pick % 3), 1, 2] } else { Vec::new() };
    let id = idx.to_string();
    let prompt = Some(prompt(u64::from(pick % 5), idx as u64 + 100));
    let request = Arrival { pieces, prompt, ..arrival(&id, &format!("{name}{kind}")) };
    let key = world.relay.on_request(world.now, request).unwrap();
    oracle.open.insert(key, KINDS[kind]);
    oracle.exchange_of_id.insert(id.as_str().into(), key);
}

/// Answers a placement request, which stays in the list: it may be answered again.
fn place(world: &mut World, oracle: &mut Oracle, pick: u8, how: u8) {
    let count = oracle.placements.len().max(1);
    let Some(&exchange) = oracle.placements.get(usize::from(pick) % count) else { return };
    let engine = ENGINES[usize::from(how) % ENGINES.len()];
    let current = EndpointId { name: engine.into(), incarnation: oracle.incarnation(engine) };
    match how % 16 {
        0 => deliver(world, exchange, None),
        1 => {
            world.relay.on_placer_failure(world.now, &PEER.into());
            deliver(world, exchange, None);
        }
        2 => {
            let unknown = EndpointId { name: "e9".into(), ..current };
            place_at(world, oracle, exchange, unknown);
        }
        3 => {
            let mut earlier = current;
            earlier.incarnation.0 -= 1;
            place_at(world, oracle, exchange, earlier);
        }
        4 => {
            let number = place_at(world, oracle, exchange, current.clone());
            deliver(world, exchange, Some(placement(current, number)));
        }
        _ => drop(place_at(world, oracle, exchange, current)),
    }
}

fn place_at(
    world: &mut World,
    oracle: &mut Oracle,
    exchange: ExchangeKey,
    engine: EndpointId,
) -> RunNumber {
    oracle.last_number += 1;
    let number = oracle.last_number;
    oracle.placed.insert(number);
    deliver(world, exchange, Some(placement(engine, number)));
    number
}

fn placement(engine: EndpointId, number: RunNumber) -> Placement {
    Placement { engine, source: Some("e1:80".into()), tokens: 1000, wait: ms(5), number }
}

fn deliver(world: &mut World, exchange: ExchangeKey, placement: Option<Placement>) {
    world.relay.on_placement(world.now, exchange, &PEER.into(), placement);
}

/// Returns the pieces of a hand-over, which stays in the list: it may be returned again.
fn return_pieces(world: &mut World, oracle: &mut Oracle, pick: u8, how: u8) {
    let count = oracle.handovers.len().max(1);
    let Some((key, pieces)) = oracle.handovers.get(usize::from(pick) % count).cloned() else {
        return;
    };
    let handle = |piece: &Piece| {
        let Piece { request, stage, number, .. } = piece;
        Ok(Arc::from(format!("l0:80/{request}-{stage}-{number}")))
    };
    let all = |failure: PieceFailure| pieces.iter().map(|_| Err(failure)).collect();
    let results: Option<Vec<PieceResult>> = match how % 12 {
        0 => None,
        1 => Some(all(PieceFailure::Late)),
        2 => Some(all(PieceFailure::InputGone)),
        3 => Some(all(PieceFailure::NoRoom)),
        4 => Some(all(PieceFailure::Failed)),
        // One piece failed.
        5 => {
            let failed = pieces.iter().skip(1).map(|_| Err(PieceFailure::Failed));
            Some(pieces.first().map(handle).into_iter().chain(failed).collect())
        }
        _ => Some(pieces.iter().map(handle).collect()),
    };
    let is_twice = how % 12 == 6;
    if !matches!(how % 12, 1..=3) {
        oracle.record_made(&pieces);
    }
    world.relay.on_handover_return(world.now, key, results.clone());
    if is_twice {
        world.relay.on_handover_return(world.now, key, results);
    }
}

fn set_engine(world: &mut World, oracle: &mut Oracle, pick: u8, is_up: bool) {
    let name = ENGINES[usize::from(pick) % ENGINES.len()];
    if is_up {
        oracle.restart(name);
        oracle.gone.remove(name);
        let incarnation = oracle.incarnation(name);
        world.put(Entry { incarnation, ..entry_of(name, "llm") });
    } else {
        oracle.gone.entry(name.to_owned()).or_insert(world.now);
        world.relay.apply_change(world.now, Change::Removed(name.into()));
    }
}

/// A piece that the peer hands over.
fn piece(now: Duration, idx: usize, number: u16) -> Piece {
    Piece {
        service: "ledger".into(),
        request: Arc::from(format!("peer-{idx}")),
        stage: 0,
        number,
        key: Some("key".into()),
        inputs: Vec::new(),
        bytes: 8_000,
        deadline: now + ms(1500),
        target: now + ms(1000),
        priority: 1,
        destination: None,
        round: 0,
        tries: 0,
        is_repeat: false,
        is_begun: false,
        is_resumed: false,
        content: Fingerprint(u128::from(number) + 1000),
        is_isolated: false,
        is_last_reader: false,
        region: None,
        route: "r".into(),
    }
}
