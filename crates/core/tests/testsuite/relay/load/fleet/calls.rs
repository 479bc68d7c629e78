//! What placers, piece endpoints and engines do with the messages that they receive.

use std::{collections::HashSet, sync::Arc, time::Duration};

use peatdeck_core::relay::{
    model::{Call, CallKey, ExchangeKey, Handle, Piece, PieceFailure, PlacementRequest},
    terms::Terms,
};

use super::{
    Event, Fleet, ONE_WAY_DELAY,
    setup::{MAX_RESULTS, OWN_TOKENS, PROMPT_TOKENS, TRANSFER},
};
use crate::relay::fixture::ms;

/// Time after which an unanswered request to a placer fails.
const PLACE_TIMEOUT: Duration = Duration::from_millis(80);

impl Fleet {
    pub(super) fn place(
        &mut self,
        to: usize,
        from: usize,
        key: ExchangeKey,
        placement_request: &PlacementRequest,
    ) {
        let is_unresponsive = self
            .unresponsive
            .as_ref()
            .is_some_and(|(idx, span)| *idx == to && span.contains(&self.now));
        if is_unresponsive {
            let event = Event::Placed { to: from, by: to, key, placement: None, is_answer: false };
            self.schedule(self.now + PLACE_TIMEOUT, event);
            return;
        }
        let mut placement = None;
        let now = self.now;
        self.with_relay(to, |relay| placement = relay.place_prompt(now, placement_request));
        self.after_hop(Event::Placed { to: from, by: to, key, placement, is_answer: true });
    }

    pub(super) fn run_pieces(
        &mut self,
        from: usize,
        call: CallKey,
        addr: &Arc<str>,
        pieces: &[Piece],
    ) {
        let endpoint = self.piece_endpoints.entry(addr.clone()).or_default();
        let start = endpoint.free_at.max(self.now);
        endpoint.free_at = start + ms(200) + ms(21) * pieces.len() as u32;
        let done = endpoint.free_at;
        let results = pieces.iter().map(|piece| {
            if endpoint.held.len() >= MAX_RESULTS {
                return Err(PieceFailure::NoRoom);
            }
            let handle: Handle = format!("{addr}/{}-{}", piece.request, piece.number).into();
            endpoint.held.insert(handle.clone());
            Ok(handle)
        });
        let results = results.collect();
        self.schedule(done + ONE_WAY_DELAY, Event::PiecesDone { to: from, call, results });
    }

    pub(super) fn send(&mut self, from: usize, call: Call) {
        let Some(open) = self.open.get(&(from, call.exchange)) else { return };
        let request = open.request;
        let is_held = |handle: &Handle| {
            let (addr, _) =
                handle.split_once('/').expect("a handle starts with the address of its endpoint");
            self.piece_endpoints.get(addr).is_some_and(|endpoint| endpoint.held.contains(handle))
        };
        if !call.inputs.iter().all(is_held) {
            self.after_hop(Event::InputsGone { to: from, call: call.key });
            return;
        }
        let held_anywhere: HashSet<u64> =
            self.engine_states.values().flat_map(|it| &it.parts).copied().collect();
        let source_parts = call.source.as_ref().and_then(|addr| self.engine_states.get(addr));
        let source_parts: HashSet<u64> =
            source_parts.map(|it| it.parts.clone()).unwrap_or_default();
        self.outcome.calls_by_engine.entry(call.addr.clone()).or_default().push(self.now);
        let engine = self.engine_states.entry(call.addr.clone()).or_default();
        let (mut prefill, mut copied) = (OWN_TOKENS, 0);
        for (part, tokens) in request.shared_parts() {
            if !engine.parts.insert(part) {
                continue;
            }
            match source_parts.contains(&part) {
                true => copied += tokens,
                false => prefill += tokens,
            }
            self.outcome.prefilled_again +=
                usize::from(!source_parts.contains(&part) && held_anywhere.contains(&part));
        }
        let copy_time = Duration::from_secs_f64(TRANSFER.millis(copied) / 1000.0);
        let mut at = self.now;
        if let (true, Some(source)) = (copied > 0, &call.source) {
            let source = self.engine_states.get_mut(source).expect("it holds the parts");
            at = source.copy(at, copy_time);
        }
        let engine = self.engine_states.get_mut(&call.addr).expect("it was inserted above");
        let run = engine.run(self.now, at, prefill, PROMPT_TOKENS);
        let mut terms = Terms::default();
        for limited in &mut self.outcome.limited {
            limited.record_call(self.now, from, &call.addr);
            if let Some(limit) = limited.state_limit(run.first, from, &call.addr) {
                terms.limit = Some(limit);
            }
        }
        let first = Event::FirstToken { to: from, call: call.key, terms };
        self.schedule(run.first + ONE_WAY_DELAY, first);
        self.schedule(run.end + ONE_WAY_DELAY, Event::Finished { to: from, call: call.key });
    }
}
