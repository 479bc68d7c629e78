//! Stages: pieces are started, batched or handed over, and taken in.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{
    model::{InstanceName, Load},
    relay::{
        batch::{Batcher, FinishedPiece, Origin, Requester, queue::LARGE_RESULT_BYTES},
        config::Pieces,
        exchange::{CallPurpose, CallState},
        graph::{LocatedResult, StageGraph},
        machine::{Handover, Relay, Ticket},
        model::{
            Action, CallKey, ExchangeKey, Failure, HandoverKey, Piece, PieceFailure, PieceResult,
            Refusal, ServiceName, Step,
        },
    },
};

/// How often an exchange's pieces are made at the most.
const MAX_ROUNDS: u8 = 2;
/// A peer that did not answer a hand-over gets none for so long. Until then its
/// liveness counter shows whether it is there.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// How often a piece is sent at the most.
const MAX_TRIES: u8 = 3;

impl Relay {
    /// A call for pieces brought results.
    pub fn on_pieces_made(
        &mut self,
        now: Duration,
        call: CallKey,
        results: Vec<PieceResult>,
        load: Option<Load>,
    ) {
        self.note_answer(now, call, load);
        let service = self.service_of(call);
        self.end_call(now, call, Step::Ended);
        let (finished, strays) = self.batches.record_results(now, call, results);
        if let (Some(service), false) = (service, strays.is_empty()) {
            self.free_at(&service, strays);
        }
        self.take_finished(now, finished);
        self.make_all(now);
    }

    /// The service of the endpoint that a call went to.
    pub(super) fn service_of(&self, call: CallKey) -> Option<ServiceName> {
        let endpoint = self.directory.get(self.calls.get(call)?.endpoint)?;
        Some(endpoint.entry.service.clone())
    }

    /// Has the pieces of stragglers made elsewhere too, as far as the bound on
    /// repetition allows.
    pub(super) fn make_stragglers_again(&mut self, now: Duration) {
        for (call, service, count) in self.batches.take_stragglers(now) {
            if self.spend(now, &service, count) {
                self.batches.requeue(call);
            }
        }
    }

    /// A call for pieces failed; `is_unrun` if the endpoint said that it did
    /// not run.
    pub fn on_pieces_failure(
        &mut self,
        now: Duration,
        call: CallKey,
        failure: Failure,
        is_unrun: bool,
    ) {
        let step = if is_unrun { Step::Refused(None) } else { Step::Failed(failure) };
        let is_cut = !is_unrun && failure == Failure::Cut;
        if let Some(state) = self.calls.get(call).filter(|_| is_cut) {
            let (endpoint, runs) = (state.endpoint, self.runs_of(now, call));
            self.note_cut(now, endpoint, runs);
        }
        self.end_call(now, call, step);
        let mut finished = self.batches.record_failure(now, call, is_unrun);
        let is_safe = is_unrun || failure == Failure::Unsent;
        for one in &mut finished {
            one.piece.is_repeat |= !is_safe;
            one.piece.is_isolated |= is_cut;
        }
        self.requeue(now, finished, is_safe);
        self.make_all(now);
    }

    /// A peer hands over pieces. Their results are returned under `ticket`.
    pub fn on_handover(&mut self, now: Duration, ticket: u64, pieces: Vec<Piece>) {
        self.tickets.insert(ticket, Ticket { results: vec![None; pieces.len()] });
        for piece in &pieces {
            self.earn(now, &piece.service, 1);
        }
        let origin = |index| Origin::Peer { ticket, index };
        let pieces = pieces.into_iter().enumerate();
        let pieces = pieces.map(|(index, piece)| (piece, origin(index)));
        let (held, others) = pieces.partition(|(piece, _)| self.is_held(piece));
        self.admit(now, others);
        self.take_finished(now, held.into_iter().map(not_made).collect());
        self.make_all(now);
    }

    /// A peer does not want its pieces any more.
    pub fn on_handover_recall(&mut self, ticket: u64) {
        self.tickets.remove(&ticket);
        self.batches.cancel(Requester::Ticket(ticket));
    }

    /// A peer returned the results of pieces; `None` if it cannot be reached.
    pub fn on_handover_return(
        &mut self,
        now: Duration,
        key: HandoverKey,
        results: Option<Vec<PieceResult>>,
    ) {
        let Some(Handover { exchange, peer, pieces }) = self.handovers.remove(key) else { return };
        let Some(state) = self.exchanges.get_mut(exchange) else { return };
        state.handovers.retain(|other| *other != key);
        match results {
            Some(results) => {
                let origin = Origin::Local(exchange);
                let finished = pieces
                    .into_iter()
                    .zip(results)
                    .map(|(piece, result)| FinishedPiece { origin, piece, result, endpoint: None });
                let finished = finished.collect();
                self.take_finished(now, finished);
            }
            None => {
                // The peer may have had some of them made.
                self.note_run(exchange);
                self.avoided.insert(peer, now + AVOID_TIME);
                self.hand_on(exchange, pieces);
            }
        }
        self.make_all(now);
    }

    /// Hands pieces that came back unmade to the peer that ranks next. Whoever
    /// handed pieces to the peer that failed does the same, so that they meet
    /// at one instance again.
    fn hand_on(&mut self, exchange: ExchangeKey, pieces: Vec<Piece>) {
        let Some(first) = pieces.first() else { return };
        match self.owner(&first.service) {
            Some(peer) => self.hand_over(exchange, peer, pieces),
            None => {
                for piece in pieces {
                    self.batches.add(piece, Origin::Local(exchange));
                }
            }
        }
    }

    pub(super) fn start_stages(&mut self, now: Duration, key: ExchangeKey) {
        self.find_home(now, key);
        // Starting a stage may end the exchange: there may be no time for it.
        while let Some(exchange) = self.exchanges.get_mut(key) {
            let route = exchange.route.clone();
            let ready = exchange.graph.start_ready(&route, LARGE_RESULT_BYTES);
            if ready.is_empty() {
                break;
            }
            for stage in ready {
                self.start_stage(now, key, stage);
            }
        }
        let services = self.batches.waiting_services();
        for service in services {
            self.make(now, &service);
        }
    }

    pub(super) fn start_stage(&mut self, now: Duration, key: ExchangeKey, stage: usize) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let service = exchange.route.stages[stage].service.clone();
        let pieces = exchange.new_pieces(stage, self.rest(exchange, stage));
        self.exchanges[key].stage_starts.push((stage, now));
        match self.owner(&service) {
            None => {
                self.earn(now, &service, pieces.len() as u32);
                let pieces = pieces.into_iter().map(|piece| (piece, Origin::Local(key)));
                self.admit(now, pieces.collect());
            }
            Some(peer) => self.hand_over(key, peer, pieces),
        }
    }

    pub(super) fn hand_over(&mut self, key: ExchangeKey, peer: InstanceName, pieces: Vec<Piece>) {
        let held = Handover { exchange: key, peer: peer.clone(), pieces: pieces.clone() };
        let handover = self.handovers.insert(held);
        self.exchanges[key].handovers.push(handover);
        self.actions.push(Action::HandOverPieces { key: handover, peer, pieces });
    }

    /// The peer that batches a service's pieces; `None` if this instance does.
    /// The strongest instances come first: a service's pieces all go through
    /// one processor.
    pub(super) fn owner(&self, service: &str) -> Option<InstanceName> {
        self.first_ranked(xxh3::xxh3_64(service.as_bytes()))
    }

    /// The peer that ranks first for a task; `None` if this instance does.
    pub(super) fn first_ranked(&self, seed: u64) -> Option<InstanceName> {
        let rank =
            |name: &str, strength: u32| (strength, xxh3::xxh3_64_with_seed(name.as_bytes(), seed));
        let own = rank(&self.settings.name, self.settings.strength);
        let peers = self.peers.iter().filter(|peer| !self.avoided.contains_key(&peer.name));
        let ranked = peers.map(|peer| (rank(&peer.name, peer.millicores), &peer.name));
        let (best, name) = ranked.max()?;
        (best > own || !self.is_batching).then(|| name.clone())
    }

    /// How many peers rank before this instance for a task, however strong they are.
    pub(super) fn place_of(&self, seed: u64) -> usize {
        let rank = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
        let own = rank(&self.settings.name);
        self.peers.iter().filter(|peer| rank(&peer.name) > own).count()
    }

    /// Takes in pieces, but those that cannot be made in time: their callers
    /// hear it at once, while they can still come back.
    pub(super) fn admit(&mut self, now: Duration, pieces: Vec<(Piece, Origin)>) {
        let mut late = Vec::new();
        let mut judged: Option<(Duration, Duration, bool)> = None;
        for (piece, origin) in pieces {
            // The pieces of a stage are judged together.
            let known =
                judged.filter(|(aim, due, _)| (*aim, *due) == (piece.target, piece.deadline));
            let is_feasible = match known {
                Some((_, _, is_feasible)) => is_feasible,
                None => self.is_feasible(now, &piece),
            };
            judged = Some((piece.target, piece.deadline, is_feasible));
            match is_feasible {
                true => self.batches.add(piece, origin),
                false => late.push(Batcher::reject_late(piece, origin)),
            }
        }
        self.take_finished(now, late);
    }

    fn is_feasible(&self, now: Duration, piece: &Piece) -> bool {
        let shape = self.shape(&piece.service);
        shape.is_none_or(|shape| self.batches.is_feasible(now, piece, &shape, &self.directory))
    }

    pub(super) fn shape(&self, service: &str) -> Option<Pieces> {
        self.config.as_ref()?.services.get(service)?.pieces
    }

    pub(super) fn make_all(&mut self, now: Duration) {
        self.has_room = false;
        for service in self.batches.waiting_services() {
            self.make(now, &service);
        }
    }

    /// Sends what waits for a service to its idle endpoints.
    pub(super) fn make(&mut self, now: Duration, service: &str) {
        let Some(shape) = self.shape(service) else { return };
        let spares = self.batches.results_to_evict(now, service, &shape, &self.directory);
        if !spares.is_empty() {
            self.free_at_endpoints(spares);
        }
        let late = match self.directory.is_evacuated(now, service) {
            true => self.batches.take_waiting(service),
            false => self.batches.take_late(now, service, &shape, &self.directory),
        };
        self.take_finished(now, late);
        for order in self.batches.plan(now, service, &shape, &self.directory) {
            let endpoint = order.endpoint;
            let call = self.calls.insert(CallState {
                exchange: CallPurpose::Pieces,
                endpoint,
                started_at: now,
                tokens: 0,
                run: None,
                placer: None,
                answered_at: None,
                overdue_at: None,
            });
            self.batches.record_start(now, call, &order, &shape);
            self.pace_call(now, endpoint);
            let target = self.directory.get_mut(endpoint).expect("a planned endpoint is known");
            target.record_sent();
            let (endpoint, addr) = (target.entry.name.clone(), target.entry.addr.clone());
            self.actions.push(Action::MakePieces { call, endpoint, addr, pieces: order.pieces });
        }
    }

    pub(super) fn take_finished(&mut self, now: Duration, finished: Vec<FinishedPiece>) {
        let mut touched = Vec::new();
        for one in finished {
            match one.origin {
                Origin::Peer { ticket, index } => self.return_one(now, ticket, index, one),
                Origin::Local(key) => {
                    self.take_own(now, key, one);
                    if !touched.contains(&key) {
                        touched.push(key);
                    }
                }
            }
        }
        for key in touched {
            self.after_pieces(now, key);
        }
    }

    pub(super) fn return_one(
        &mut self,
        now: Duration,
        ticket: u64,
        index: usize,
        one: FinishedPiece,
    ) {
        if !self.tickets.contains_key(&ticket) {
            self.free_stray(one);
            return;
        }
        let again = another_try(&one).filter(|piece| !self.is_held(piece));
        let again = again.filter(|piece| self.may_send_again(now, piece));
        let is_late = one.result == Err(PieceFailure::Late);
        match again {
            Some(piece) => self.batches.add(piece, Origin::Peer { ticket, index }),
            // The peer must not take it for unmade.
            None if is_late && !is_unmade(&one) => {
                self.settle(ticket, index, Err(PieceFailure::Failed));
            }
            None => self.settle(ticket, index, one.result),
        }
    }

    /// Notes the result of a peer's piece, and returns all of them once they
    /// are there.
    fn settle(&mut self, ticket: u64, index: usize, result: PieceResult) {
        let Some(open) = self.tickets.get_mut(&ticket) else { return };
        open.results[index] = Some(result);
        if open.results.iter().any(Option::is_none) {
            return;
        }
        if let Some(open) = self.tickets.remove(&ticket) {
            let results = open.results.into_iter().flatten().collect();
            self.actions.push(Action::ReturnResults { ticket, results });
        }
    }

    pub(super) fn take_own(&mut self, now: Duration, key: ExchangeKey, one: FinishedPiece) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            self.free_stray(one);
            return;
        };
        exchange.has_run |= !is_unmade(&one);
        let is_old = one.piece.round != exchange.rounds;
        self.note_stage_time(now, key, &one);
        let exchange = &mut self.exchanges[key];
        match one.result {
            // Its round has been given up already.
            Err(_) if is_old => {}
            Ok(handle) => {
                let data_centre = self.directory.data_centre_of(&handle, one.endpoint);
                let made = LocatedResult { handle, data_centre };
                let (stage, number) = (usize::from(one.piece.stage), usize::from(one.piece.number));
                exchange.graph.record_result(stage, number, made);
            }
            Err(PieceFailure::Late) => self.give_up(now, key, Refusal::Infeasible),
            Err(PieceFailure::InputGone) => self.restart_stages(now, key),
            Err(_) => {
                let piece = another_try(&one);
                let piece = piece.filter(|piece| self.may_send_again(now, piece));
                match piece {
                    Some(piece) => self.batches.add(piece, Origin::Local(key)),
                    None => self.give_up(now, key, Refusal::Failed),
                }
            }
        }
    }

    /// Watches how long a stage took whose piece has come back.
    fn note_stage_time(&mut self, now: Duration, key: ExchangeKey, one: &FinishedPiece) {
        let starts = &mut self.exchanges[key].stage_starts;
        let stage = usize::from(one.piece.stage);
        let Some(idx) = starts.iter().position(|(known, _)| *known == stage) else { return };
        let (_, started) = starts.swap_remove(idx);
        self.stage_times.note(now, &one.piece.service, now.saturating_sub(started));
    }

    /// Pieces of a failed call wait again. `is_safe` if they certainly did not
    /// arrive anywhere as work.
    pub(super) fn requeue(&mut self, now: Duration, finished: Vec<FinishedPiece>, is_safe: bool) {
        let mut lost = Vec::new();
        for one in finished {
            let is_wanted = match one.origin {
                Origin::Local(key) => self.exchanges.contains_key(key),
                Origin::Peer { ticket, .. } => self.tickets.contains_key(&ticket),
            };
            if !is_wanted {
                continue;
            }
            let may_wait = !self.is_held(&one.piece);
            if may_wait && (is_safe || self.spend(now, &one.piece.service.clone(), 1)) {
                self.batches.add(one.piece, one.origin);
            } else {
                lost.push(one);
            }
        }
        self.take_finished(now, lost);
    }

    pub(super) fn after_pieces(&mut self, now: Duration, key: ExchangeKey) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let route = exchange.route.clone();
        let used = exchange.graph.take_unneeded(&route);
        self.free(&route, used);
        let is_calling = self.exchanges[key].call.is_some();
        if !is_calling {
            self.advance(now, key);
        }
    }

    /// Where the call will probably go, if large results should lie near it.
    pub(super) fn find_home(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &self.exchanges[key];
        let has_large = exchange.route.stages.iter().any(|stage| stage.bytes >= LARGE_RESULT_BYTES);
        if exchange.destination.is_some() || !has_large {
            return;
        }
        let Some(chosen) = self.choose(now, key, &[]) else { return };
        let home = self.directory.get(chosen.endpoint).map(|known| known.entry.data_centre.clone());
        self.exchanges[key].destination = home;
    }

    /// The results of an exchange's stages are gone: they are made again.
    pub(super) fn restart_stages(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &mut self.exchanges[key];
        if exchange.route.stages.is_empty() {
            return;
        }
        exchange.rounds += 1;
        if exchange.rounds >= MAX_ROUNDS {
            self.give_up(now, key, Refusal::Failed);
            return;
        }
        let used = exchange.graph.take_unfreed();
        let (route, pieces) = (exchange.route.clone(), exchange.arrival.pieces.clone());
        exchange.graph = StageGraph::new(&route, &pieces);
        self.free(&route, used);
        self.advance(now, key);
    }

    /// Whether a piece's request is held back.
    fn is_held(&self, piece: &Piece) -> bool {
        self.quarantine.get(piece.content).is_some()
    }

    /// Pays for sending a piece again that was or may have been made.
    pub(super) fn may_send_again(&mut self, now: Duration, piece: &Piece) -> bool {
        !piece.is_repeat || self.spend(now, &piece.service.clone(), 1)
    }
}

/// Whether nothing was made of a piece that is late. One whose call brought no
/// answer may have been made all the same.
fn is_unmade(one: &FinishedPiece) -> bool {
    one.result == Err(PieceFailure::Late) && !one.piece.is_repeat
}

/// A piece of a request that is held back.
fn not_made((piece, origin): (Piece, Origin)) -> FinishedPiece {
    FinishedPiece { origin, piece, result: Err(PieceFailure::Failed), endpoint: None }
}

/// The piece, if another call may do better.
fn another_try(one: &FinishedPiece) -> Option<Piece> {
    let may_do_better = matches!(one.result, Err(PieceFailure::NoRoom | PieceFailure::Failed));
    let piece = &one.piece;
    let is_repeat = one.result != Err(PieceFailure::NoRoom);
    let tries = piece.tries.saturating_add(u8::from(is_repeat));
    (may_do_better && tries < MAX_TRIES).then(|| Piece { tries, is_repeat, ..piece.clone() })
}
