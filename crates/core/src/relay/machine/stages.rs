//! Stages: their pieces are started, batched here or handed over to a peer (`handovers`), and their
//! results collected.

use std::time::Duration;

use crate::{
    model::Load,
    relay::{
        batch::{Batcher, FinishedPiece, Origin, PlannedCall, queue::LARGE_RESULT_BYTES},
        config::Pieces,
        exchange::{CallPurpose, CallState},
        graph::{LocatedResult, StageGraph},
        machine::{MAX_ROUNDS, Relay},
        model::{
            Action, CallKey, ExchangeKey, Failure, Piece, PieceFailure, PieceResult, Refusal, Step,
        },
        pool::{PoolKey, Track},
    },
};

/// How often a piece is sent at most.
const MAX_TRIES: u8 = 3;

impl Relay {
    /// A call for pieces returned results.
    pub fn on_pieces_made(
        &mut self,
        now: Duration,
        call: CallKey,
        results: Vec<PieceResult>,
        load: Option<Load>,
    ) {
        self.record_answer(now, call, load);
        let pool = self.pool_of_call(call);
        self.count_piece_results(now, call, &results);
        self.end_call(now, call, Step::Ended);
        let (finished, unclaimed) = self.batcher.record_results(now, call, results);
        if let (Some(pool), false) = (pool, unclaimed.is_empty()) {
            self.free_through_batcher(pool.pool(), unclaimed);
        }
        self.process_finished(now, finished);
        self.dispatch_all(now);
    }

    /// The pool of the endpoint that a call went to.
    pub(super) fn pool_of_call(&self, call: CallKey) -> Option<PoolKey> {
        let endpoint = self.directory.get(self.calls.get(call)?.endpoint)?;
        Some(self.directory.pool_of(endpoint))
    }

    /// Sends the pieces of stragglers to other endpoints too, within the retry budget.
    pub(super) fn duplicate_stragglers(&mut self, now: Duration) {
        for (call, service, count) in self.batcher.take_stragglers(now) {
            if self.try_withdraw(now, &service, count) {
                self.batcher.requeue(call);
            }
        }
    }

    /// A call for pieces failed. `is_not_run` if the endpoint stated that it did not run the
    /// call.
    pub fn on_pieces_failure(
        &mut self,
        now: Duration,
        call: CallKey,
        failure: Failure,
        is_not_run: bool,
    ) {
        let step = if is_not_run { Step::Refused(None) } else { Step::Failed(failure) };
        let is_cut = !is_not_run && failure == Failure::Cut;
        if let Some(state) = self.calls.get(call).filter(|_| is_cut) {
            let (endpoint, runs) = (state.endpoint, self.runs_of_call(now, call));
            self.on_cut(now, endpoint, runs);
        }
        if !is_not_run {
            self.count_piece_failure(now, call, failure);
        }
        self.end_call(now, call, step);
        let mut finished = self.batcher.record_failure(now, call, is_not_run);
        let is_safe = is_not_run || failure == Failure::Unsent;
        for outcome in &mut finished {
            outcome.piece.is_repeat |= !is_safe;
            outcome.piece.is_isolated |= is_cut;
            if let (Origin::Local(key), false) = (outcome.origin, is_safe) {
                self.mark_may_have_run(key);
            }
        }
        self.requeue(now, finished, is_safe);
        self.dispatch_all(now);
    }

    pub(super) fn start_stages(&mut self, now: Duration, key: ExchangeKey) {
        self.predict_destination(now, key);
        // Starting a stage may end the exchange if too little time is left.
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
        for pool in self.batcher.waiting_pools() {
            self.dispatch(now, &pool);
        }
    }

    pub(super) fn start_stage(&mut self, now: Duration, key: ExchangeKey, stage: usize) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let pool = exchange.stage_pool(stage);
        let pieces = exchange.new_pieces(stage, self.remaining_time(exchange, stage));
        self.exchanges[key].stage_starts.push((stage, now));
        match self.batcher_peer(pool.pool()) {
            None => {
                self.deposit(now, &pool.service, pieces.len() as u32);
                let pieces = pieces.into_iter().map(|piece| (piece, Origin::Local(key)));
                self.admit_pieces(now, pieces.collect());
            }
            Some(peer) => self.hand_over(key, peer, pieces),
        }
    }

    /// Queues pieces, except those that cannot be made in time. They are refused at once,
    /// while their callers still have time to retry.
    pub(super) fn admit_pieces(&mut self, now: Duration, pieces: Vec<(Piece, Origin)>) {
        let mut late = Vec::new();
        let mut last_decision: Option<(Duration, Duration, bool)> = None;
        for (piece, origin) in pieces {
            // One decision holds for all pieces of a stage.
            let known = last_decision.filter(|(target, deadline, _)| {
                (*target, *deadline) == (piece.target, piece.deadline)
            });
            let is_feasible = match known {
                Some((_, _, is_feasible)) => is_feasible,
                None => self.is_feasible(now, &piece),
            };
            last_decision = Some((piece.target, piece.deadline, is_feasible));
            match is_feasible {
                true => self.batcher.add(piece, origin),
                false => late.push(Batcher::reject_late(piece, origin)),
            }
        }
        self.process_finished(now, late);
    }

    fn is_feasible(&self, now: Duration, piece: &Piece) -> bool {
        let config = self.piece_config(&piece.service);
        config.is_none_or(|config| self.batcher.is_feasible(now, piece, &config, &self.directory))
    }

    pub(super) fn piece_config(&self, service: &str) -> Option<Pieces> {
        self.config.as_ref()?.services.get(service)?.pieces
    }

    pub(super) fn dispatch_all(&mut self, now: Duration) {
        self.has_freed_memory = false;
        for pool in self.batcher.waiting_pools() {
            self.dispatch(now, &pool);
        }
    }

    /// Sends queued pieces of a pool to its idle endpoints.
    pub(super) fn dispatch(&mut self, now: Duration, pool: &PoolKey) {
        let Some(config) = self.piece_config(&pool.service) else { return };
        let evictable = self.batcher.results_to_evict(now, pool, &config, &self.directory);
        if !evictable.is_empty() {
            self.free_at_endpoints(evictable);
        }
        let late = match self.directory.is_evacuated(now, pool.pool()) {
            true => self.batcher.take_waiting(pool),
            false => self.batcher.take_late(now, pool, &config, &self.directory),
        };
        self.process_finished(now, late);
        if let Some((endpoints, max_pieces)) = self.piece_canaries(now, pool, &config) {
            let limits = (&endpoints[..], max_pieces);
            let planned = self.batcher.plan_canary(now, pool, &config, &self.directory, limits);
            self.send_pieces(
                now,
                &pool.service,
                &config,
                planned.into_iter().collect(),
                Track::Canary,
            );
        }
        let planned = self.batcher.plan(now, pool, &config, &self.directory);
        self.send_pieces(now, &pool.service, &config, planned, Track::Stable);
    }

    /// Sends planned calls for pieces.
    fn send_pieces(
        &mut self,
        now: Duration,
        service: &str,
        config: &Pieces,
        planned: Vec<PlannedCall>,
        track: Track,
    ) {
        for order in planned {
            self.count_pieces(now, service, order.pieces.len(), track);
            let endpoint = order.endpoint;
            let via = self.detour_to(now, endpoint);
            let call = self.calls.insert(CallState {
                purpose: CallPurpose::Pieces,
                endpoint,
                version: self.version_of(endpoint),
                started_at: now,
                tokens: 0,
                run: None,
                placer: None,
                via: via.clone(),
                answered_at: None,
                overdue_at: None,
                is_counted: false,
            });
            if via.is_none() {
                self.record_waiting(now, call);
            }
            self.batcher.record_start(now, call, &order, config);
            self.pace_call(now, endpoint);
            let target =
                self.directory.get_mut(endpoint).expect("the directory has the planned endpoint");
            target.record_sent();
            let (endpoint, addr) = (target.entry.name.clone(), target.entry.addr.clone());
            let pieces = order.pieces;
            self.actions.push(Action::MakePieces { call, endpoint, addr, via, pieces });
        }
    }

    pub(super) fn process_finished(&mut self, now: Duration, finished: Vec<FinishedPiece>) {
        let mut affected = Vec::new();
        // The first outcome may end an exchange, whose refusal depends on all of them.
        for outcome in &finished {
            if let (Origin::Local(key), false) = (outcome.origin, is_unmade(outcome)) {
                self.mark_may_have_run(key);
            }
        }
        for outcome in finished {
            match outcome.origin {
                Origin::Peer { ticket, index } => self.return_to_peer(now, ticket, index, outcome),
                Origin::Local(key) => {
                    self.process_own_piece(now, key, outcome);
                    if !affected.contains(&key) {
                        affected.push(key);
                    }
                }
            }
        }
        for key in affected {
            self.advance_after_pieces(now, key);
        }
    }

    pub(super) fn process_own_piece(
        &mut self,
        now: Duration,
        key: ExchangeKey,
        outcome: FinishedPiece,
    ) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            self.free_unclaimed(outcome);
            return;
        };
        if outcome.piece.region != exchange.region {
            // The exchange has moved since, and its results may not be stored there any more.
            self.free_unclaimed(outcome);
            return;
        }
        let is_stale = outcome.piece.round != exchange.rounds;
        self.record_stage_time(now, key, &outcome);
        let exchange = &mut self.exchanges[key];
        match outcome.result {
            // The round of this piece has been abandoned already.
            Err(_) if is_stale => {}
            Ok(handle) => {
                let data_centre = self.directory.data_centre_of(&handle, outcome.endpoint);
                let made = LocatedResult { handle, data_centre };
                let (stage, number) =
                    (usize::from(outcome.piece.stage), usize::from(outcome.piece.number));
                exchange.graph.record_result(stage, number, made);
            }
            Err(PieceFailure::Late) => {
                if exchange.has_run || !self.leave_full_region(now, key) {
                    self.give_up(now, key, Refusal::Infeasible);
                }
            }
            Err(PieceFailure::InputGone) => self.restart_stages(now, key),
            Err(_) => {
                let piece = retry_piece(&outcome);
                let piece = piece.filter(|piece| self.withdraw_for_retry(now, piece));
                match piece {
                    Some(piece) => self.batcher.add(piece, Origin::Local(key)),
                    None => self.give_up(now, key, Refusal::Failed),
                }
            }
        }
    }

    /// Records how long a stage took when the first of its pieces has come back.
    fn record_stage_time(&mut self, now: Duration, key: ExchangeKey, outcome: &FinishedPiece) {
        let starts = &mut self.exchanges[key].stage_starts;
        let stage = usize::from(outcome.piece.stage);
        let Some(idx) = starts.iter().position(|(known, _)| *known == stage) else { return };
        let (_, started) = starts.swap_remove(idx);
        if outcome.piece.region.is_some() && is_unmade(outcome) {
            // A full region would look like a fast one to the requests that leave another.
            return;
        }
        self.stage_times.record(now, PoolKey::of(&outcome.piece), now.saturating_sub(started));
    }

    /// Queues the pieces of a failed call again. `is_safe` if certainly no endpoint received
    /// them as work.
    pub(super) fn requeue(&mut self, now: Duration, finished: Vec<FinishedPiece>, is_safe: bool) {
        let mut failed = Vec::new();
        for outcome in finished {
            let is_wanted = match outcome.origin {
                Origin::Local(key) => {
                    let exchange = self.exchanges.get(key);
                    // An exchange that has moved makes its stages again in another region.
                    exchange.is_some_and(|exchange| exchange.region == outcome.piece.region)
                }
                Origin::Peer { ticket, .. } => self.tickets.contains_key(&ticket),
            };
            if !is_wanted {
                continue;
            }
            let may_wait = !self.is_quarantined(&outcome.piece);
            if may_wait && (is_safe || self.try_withdraw(now, &outcome.piece.service.clone(), 1)) {
                self.batcher.add(outcome.piece, outcome.origin);
            } else {
                failed.push(outcome);
            }
        }
        self.process_finished(now, failed);
    }

    pub(super) fn advance_after_pieces(&mut self, now: Duration, key: ExchangeKey) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let (route, region) = (exchange.route.clone(), exchange.region.clone());
        let used = exchange.graph.take_unneeded(&route);
        self.free(&route, region.as_deref(), used);
        let has_call = self.exchanges[key].call.is_some();
        if !has_call {
            self.advance(now, key);
        }
    }

    /// Predicts the data centre of the call, if large results should be made near it.
    pub(super) fn predict_destination(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &self.exchanges[key];
        let has_large = exchange.route.stages.iter().any(|stage| stage.bytes >= LARGE_RESULT_BYTES);
        if exchange.destination.is_some() || !has_large {
            return;
        }
        let Some(chosen) = self.choose(now, key, &[]) else { return };
        let destination =
            self.directory.get(chosen.endpoint).map(|known| known.entry.data_centre.clone());
        self.exchanges[key].destination = destination;
    }

    /// Makes the stages of an exchange again after their results were lost.
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
        let (route, region) = (exchange.route.clone(), exchange.region.clone());
        exchange.graph = StageGraph::new(&route, &exchange.arrival.pieces);
        self.free(&route, region.as_deref(), used);
        self.advance(now, key);
    }

    /// Whether the content of a piece's request is quarantined.
    pub(super) fn is_quarantined(&self, piece: &Piece) -> bool {
        self.quarantine.get(piece.content).is_some()
    }

    /// Withdraws from the retry budget if a piece was or may have been made before. Returns
    /// whether it may be sent.
    pub(super) fn withdraw_for_retry(&mut self, now: Duration, piece: &Piece) -> bool {
        !piece.is_repeat || self.try_withdraw(now, &piece.service.clone(), 1)
    }
}

/// Whether a late piece was certainly not made. A piece whose call brought no answer may have
/// been made all the same.
pub(super) fn is_unmade(outcome: &FinishedPiece) -> bool {
    outcome.result == Err(PieceFailure::Late) && !outcome.piece.is_repeat
}

/// The piece for another attempt, if that may succeed.
pub(super) fn retry_piece(outcome: &FinishedPiece) -> Option<Piece> {
    let may_succeed = matches!(outcome.result, Err(PieceFailure::NoRoom | PieceFailure::Failed));
    let piece = &outcome.piece;
    let is_repeat = outcome.result != Err(PieceFailure::NoRoom);
    let tries = piece.tries.saturating_add(u8::from(is_repeat));
    (may_succeed && tries < MAX_TRIES).then(|| Piece { tries, is_repeat, ..piece.clone() })
}
