//! Groups the pieces of all exchanges into calls.
//!
//! A call to an endpoint costs a fixed time and a little for each piece, so throughput comes from
//! full calls. Pieces therefore queue at the batcher, not at an endpoint, and a call is put
//! together only when an endpoint is about to become idle. The queue is ordered by the times by
//! which pieces must finish for their requests to meet their target times; pieces that can't meet
//! theirs any more come after all that still can.
//!
//! This module tracks the pieces. `admission` decides which are queued, `planning` puts the calls
//! together, `outcomes` processes their results, `stragglers` repeats those that take too long, and
//! `memory` and `reads` keep account of the results that endpoints hold.

mod admission;
mod canary;
pub mod drain;
mod memory;
mod outcomes;
mod places;
mod planning;
pub mod queue;
mod reads;
mod running;
mod stragglers;
mod worker;

use std::{collections::HashMap, time::Duration};

use peatdeck_macros::id;
use slotmap::SlotMap;

use crate::relay::{
    batch::{drain::DrainRate, queue::Queue, worker::Worker},
    directory::Directory,
    fingerprint::Fingerprint,
    model::{CallKey, EndpointKey, ExchangeKey, Piece, PieceFailure, PieceResult},
    pool::PoolKey,
};

pub use planning::PlannedCall;

slotmap::new_key_type! {
    /// A piece that is queued or running at this batcher.
    pub struct PieceKey;
}

/// The recipient of a piece's result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// An exchange of this instance.
    Local(ExchangeKey),
    /// A peer that handed the piece over.
    Peer {
        /// The number that the event loop gave to the peer's hand-over.
        ticket: u64,
        /// The piece's position in the hand-over.
        index: usize,
    },
}

/// The owner of a set of pieces, which are cancelled together.
#[id]
#[derive(Copy)]
pub enum Requester {
    /// An exchange of this instance.
    Local(ExchangeKey),
    /// A peer's hand-over, by the number that the event loop gave it.
    Ticket(u64),
}

impl Origin {
    fn requester(self) -> Requester {
        match self {
            Origin::Local(key) => Requester::Local(key),
            Origin::Peer { ticket, .. } => Requester::Ticket(ticket),
        }
    }
}

/// A piece that has succeeded, failed or been rejected.
#[derive(Debug)]
pub struct FinishedPiece {
    /// The recipient of the result.
    pub origin: Origin,
    /// The piece as it was sent or queued.
    pub piece: Piece,
    /// The handle of the result, or why there is none.
    pub result: PieceResult,
    /// The endpoint that ran the piece; `None` if it was not sent to any.
    pub endpoint: Option<EndpointKey>,
}

#[derive(Debug)]
struct TrackedPiece {
    piece: Piece,
    origin: Origin,
    call: Option<CallKey>,
    /// Whether the piece was queued again while a call that became a straggler may still return it.
    is_requeued: bool,
    /// Whether its requester has cancelled it, so that it is not run again.
    is_cancelled: bool,
}

#[derive(Debug)]
struct RunningCall {
    endpoint: EndpointKey,
    keys: Vec<PieceKey>,
    started_at: Duration,
    expected: Duration,
    lease: Duration,
    /// When the call becomes a straggler; `None` once it has been treated as one.
    straggler_at: Option<Duration>,
    /// Whether any of the pieces takes results of earlier stages as inputs.
    has_inputs: bool,
    /// When the endpoint has probably read the inputs; `None` from then on.
    read_by: Option<Duration>,
}

/// The queued and running pieces of the services that this instance batches, in separate queues
/// for each region.
#[derive(Debug, Default)]
pub struct Batcher {
    pieces: SlotMap<PieceKey, TrackedPiece>,
    queues: HashMap<PoolKey, Queue>,
    drain_rates: HashMap<PoolKey, DrainRate>,
    by_requester: HashMap<Requester, Vec<PieceKey>>,
    running: HashMap<CallKey, RunningCall>,
    workers: HashMap<EndpointKey, Worker>,
    read_time: reads::ReadTime,
}

impl Batcher {
    /// Returns a piece that was not admitted since it can't finish in time.
    pub fn reject_late(piece: Piece, origin: Origin) -> FinishedPiece {
        FinishedPiece { origin, piece, result: Err(PieceFailure::Late), endpoint: None }
    }

    /// Queues a piece.
    pub fn add(&mut self, piece: Piece, origin: Origin) {
        let pool = PoolKey::of(&piece);
        let (is_requeued, is_cancelled) = (false, false);
        let entry = TrackedPiece { piece, origin, call: None, is_requeued, is_cancelled };
        let key = self.pieces.insert(entry);
        self.by_requester.entry(origin.requester()).or_default().push(key);
        self.queues.entry(pool).or_default().push(key, &self.pieces[key].piece);
    }

    /// Removes the queued pieces of a requester that no longer needs them. Running pieces can't be
    /// stopped, but are not run again.
    pub fn cancel(&mut self, requester: Requester) {
        let Some(keys) = self.by_requester.get(&requester).cloned() else { return };
        for key in keys {
            if self.dequeue(key) {
                self.remove_piece(key);
            } else if let Some(entry) = self.pieces.get_mut(key) {
                entry.is_cancelled = true;
            }
        }
    }

    /// The fingerprints of the requests whose pieces a call runs, each once.
    pub fn contents_of(&self, call: CallKey) -> Vec<Fingerprint> {
        let keys = self.running.get(&call).map_or(&[][..], |running| &running.keys);
        let pieces = keys.iter().filter_map(|key| self.pieces.get(*key));
        let mut contents: Vec<_> = pieces.map(|entry| entry.piece.content).collect();
        contents.sort_unstable();
        contents.dedup();
        contents
    }

    /// Removes, as failed, the queued pieces of the requests with a fingerprint. Their running pieces
    /// are not run again.
    pub fn take_content(&mut self, content: Fingerprint) -> Vec<FinishedPiece> {
        let mut keys = Vec::new();
        for (key, entry) in self.pieces.iter_mut().filter(|(_, it)| it.piece.content == content) {
            entry.is_cancelled = true;
            keys.extend(entry.call.is_none().then_some(key));
        }
        let entries = keys.into_iter().filter_map(|key| {
            self.dequeue(key);
            self.remove_piece(key)
        });
        entries.map(|entry| entry.finished(Err(PieceFailure::Failed), None)).collect()
    }

    /// The pools that have queued pieces.
    pub fn waiting_pools(&self) -> Vec<PoolKey> {
        let non_empty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        non_empty.map(|(pool, _)| pool.clone()).collect()
    }

    /// The number of queued pieces of a pool.
    pub fn waiting_count(&self, pool: &PoolKey) -> usize {
        self.queues.get(pool).map_or(0, Queue::len)
    }

    /// The next time at which `plan` or a check may have something to do: a call becomes a
    /// straggler or has read its inputs, or, while pieces are queued, an endpoint accepts calls
    /// again.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        let late = self.running.values().filter_map(|running| running.straggler_at);
        let read = self.running.values().filter_map(|running| running.read_by);
        let late = late.chain(read).min();
        if self.queues.values().all(Queue::is_empty) {
            return late;
        }
        let available_at = self.workers.values().map(|it| it.backoff.until().max(it.on_hold_until));
        let unaccounted = self.workers.values().filter_map(|worker| worker.unaccounted);
        let all = available_at.chain(unaccounted.map(|(_, until)| until));
        all.filter(|until| *until > now).chain(late).min()
    }

    /// Sends the endpoint no further call until the given time.
    pub fn hold_endpoint(&mut self, endpoint: EndpointKey, until: Duration) {
        let worker = self.workers.entry(endpoint).or_default();
        worker.on_hold_until = until;
    }

    /// Drops the state of endpoints that the directory no longer contains.
    pub fn forget_removed(&mut self, directory: &Directory) {
        self.workers.retain(|key, _| directory.get(*key).is_some());
    }

    /// Takes a piece out of its queue; false if it is not queued.
    fn dequeue(&mut self, key: PieceKey) -> bool {
        let Some(entry) = self.pieces.get(key) else { return false };
        let queue = self.queues.get_mut(&PoolKey::of(&entry.piece));
        queue.is_some_and(|queue| queue.remove(key, &entry.piece))
    }

    /// Stops tracking a piece that is not queued.
    fn remove_piece(&mut self, key: PieceKey) -> Option<TrackedPiece> {
        let entry = self.pieces.remove(key)?;
        let requester = entry.origin.requester();
        if let Some(keys) = self.by_requester.get_mut(&requester) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_requester.remove(&requester);
            }
        }
        Some(entry)
    }
}

impl TrackedPiece {
    fn finished(self, result: PieceResult, endpoint: Option<EndpointKey>) -> FinishedPiece {
        FinishedPiece { origin: self.origin, piece: self.piece, result, endpoint }
    }
}
