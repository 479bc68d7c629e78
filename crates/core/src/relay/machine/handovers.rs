//! Pieces that are handed over between instances: the batcher of a service queues those of all.

use std::time::Duration;

use crate::{
    model::InstanceName,
    relay::{
        batch::{FinishedPiece, Origin, Requester},
        config::MAX_SIZE,
        machine::{Handover, Relay, Ticket, stages},
        model::{Action, ExchangeKey, HandoverKey, Piece, PieceFailure, PieceResult},
        pool::PoolKey,
    },
};

/// A peer that did not answer a hand-over gets no pieces for this long. After that its
/// liveness counter shows whether it is alive.
const AVOID_TIME: Duration = Duration::from_secs(2);

impl Relay {
    /// A peer hands over pieces. Their results are returned under `ticket`.
    pub fn on_handover(&mut self, now: Duration, ticket: u64, mut pieces: Vec<Piece>) {
        for piece in &mut pieces {
            // Sums of sizes within the bound of a configuration do not overflow.
            piece.bytes = piece.bytes.min(MAX_SIZE);
        }
        self.tickets.insert(ticket, Ticket { results: vec![None; pieces.len()] });
        for piece in &pieces {
            self.deposit(now, &piece.service, 1);
        }
        let origin = |index| Origin::Peer { ticket, index };
        let pieces = pieces.into_iter().enumerate();
        let pieces = pieces.map(|(index, piece)| (piece, origin(index)));
        let (quarantined, others) = pieces.partition(|(piece, _)| self.is_quarantined(piece));
        self.admit_pieces(now, others);
        self.process_finished(now, quarantined.into_iter().map(failed_piece).collect());
        self.dispatch_all(now);
    }

    /// A peer no longer needs the pieces that it handed over.
    pub fn on_handover_recall(&mut self, ticket: u64) {
        self.tickets.remove(&ticket);
        self.batcher.cancel(Requester::Ticket(ticket));
    }

    /// A peer returned the results of pieces; `None` if it could not be reached.
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
                self.process_finished(now, finished);
            }
            None => {
                // The peer may have had some of them made.
                self.mark_may_have_run(exchange);
                self.unresponsive_peers.insert(peer, now + AVOID_TIME);
                self.hand_over_again(exchange, pieces);
            }
        }
        self.dispatch_all(now);
    }

    /// Hands pieces that a peer did not make to the peer that ranks next. Other instances
    /// that handed pieces to the failed peer do the same, so that one instance batches all of
    /// them again.
    fn hand_over_again(&mut self, exchange: ExchangeKey, pieces: Vec<Piece>) {
        let Some(first) = pieces.first() else { return };
        match self.batcher_peer(PoolKey::of(first).pool()) {
            Some(peer) => self.hand_over(exchange, peer, pieces),
            None => {
                for piece in pieces {
                    self.batcher.add(piece, Origin::Local(exchange));
                }
            }
        }
    }

    pub(super) fn hand_over(&mut self, key: ExchangeKey, peer: InstanceName, pieces: Vec<Piece>) {
        let handover = Handover { exchange: key, peer: peer.clone(), pieces: pieces.clone() };
        let handover = self.handovers.insert(handover);
        self.exchanges[key].handovers.push(handover);
        self.actions.push(Action::HandOverPieces { key: handover, peer, pieces });
    }

    pub(super) fn return_to_peer(
        &mut self,
        now: Duration,
        ticket: u64,
        index: usize,
        outcome: FinishedPiece,
    ) {
        if !self.tickets.contains_key(&ticket) {
            self.free_unclaimed(outcome);
            return;
        }
        let retry = stages::retry_piece(&outcome).filter(|piece| !self.is_quarantined(piece));
        let retry = retry.filter(|piece| self.withdraw_for_retry(now, piece));
        let is_late = outcome.result == Err(PieceFailure::Late);
        match retry {
            Some(piece) => self.batcher.add(piece, Origin::Peer { ticket, index }),
            // The peer must not assume that the piece was never made.
            None if is_late && !stages::is_unmade(&outcome) => {
                self.record_ticket_result(ticket, index, Err(PieceFailure::Failed));
            }
            None => self.record_ticket_result(ticket, index, outcome.result),
        }
    }

    /// Records the result of a peer's piece, and returns all results once they are complete.
    fn record_ticket_result(&mut self, ticket: u64, index: usize, result: PieceResult) {
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
}

/// The result of a piece whose content is quarantined.
fn failed_piece((piece, origin): (Piece, Origin)) -> FinishedPiece {
    FinishedPiece { origin, piece, result: Err(PieceFailure::Failed), endpoint: None }
}
