//! Groups the pieces of all exchanges into calls.
//!
//! A call to an endpoint costs a fixed time and a little for each piece, so throughput comes from
//! full calls. Pieces therefore queue at the batcher, not at an endpoint, and a call is put
//! together only when an endpoint is about to become idle. The queue is ordered by the times by
//! which pieces must finish for their requests to meet their target times; pieces that can't meet
//! theirs any more come after all that still can.

mod admission;
mod canary;
pub mod drain;
mod places;
pub mod queue;
mod reads;
mod worker;

use std::{collections::HashMap, time::Duration};

use peatdeck_macros::id;
use slotmap::SlotMap;

use crate::relay::{
    batch::{
        drain::DrainRate,
        places::EndpointLocations,
        queue::{CallCapacity, Group, Queue, SizeClass},
        worker::Worker,
    },
    config::Pieces,
    directory::Directory,
    fingerprint::Fingerprint,
    model::{
        CallKey, EndpointKey, ExchangeKey, Handle, Piece, PieceFailure, PieceResult, ServiceName,
    },
    pool::Pool,
};

/// An endpoint that is slower than expected by this factor only gets pieces that the others have no
/// time for.
const SLOW_FACTOR: f64 = 2.0;
/// A call that takes longer than expected by this factor is a straggler: its pieces are run at
/// another endpoint as well. The factor is large because in a burst duplicated work costs more than
/// it saves.
const STRAGGLER_FACTOR: f64 = 4.0;
/// Added to a straggler's threshold: time for connecting, and for an instance under load.
const STRAGGLER_SLACK: Duration = Duration::from_millis(100);

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

/// A call that the event loop has to make.
#[derive(Debug)]
pub struct PlannedCall {
    /// The endpoint to call.
    pub endpoint: EndpointKey,
    /// The pieces of the call.
    pub pieces: Vec<Piece>,
    keys: Vec<PieceKey>,
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

/// The queued and running pieces of the services that this instance batches.
#[derive(Debug, Default)]
pub struct Batcher {
    pieces: SlotMap<PieceKey, TrackedPiece>,
    queues: HashMap<ServiceName, Queue>,
    drain_rates: HashMap<ServiceName, DrainRate>,
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
        let service = piece.service.clone();
        let (is_requeued, is_cancelled) = (false, false);
        let entry = TrackedPiece { piece, origin, call: None, is_requeued, is_cancelled };
        let key = self.pieces.insert(entry);
        self.by_requester.entry(origin.requester()).or_default().push(key);
        self.queues.entry(service).or_default().push(key, &self.pieces[key].piece);
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

    /// The services that have queued pieces.
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        let non_empty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        non_empty.map(|(service, _)| service.clone()).collect()
    }

    /// The number of queued pieces of a service.
    pub fn waiting_count(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, Queue::len)
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

    /// The expected time of a call with this many pieces.
    pub fn call_time(config: &Pieces, pieces: usize) -> Duration {
        config.call_time + config.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
    }

    /// Plans the calls to make now. Each must be confirmed with [`Batcher::record_start`].
    pub fn plan(
        &mut self,
        now: Duration,
        service: &str,
        config: &Pieces,
        directory: &Directory,
    ) -> Vec<PlannedCall> {
        self.record_waiting(now, service);
        let usable = directory.usable(now, Pool::of(service));
        let idle = self.idle_endpoints(now, &usable, config, directory);
        if idle.is_empty() {
            return Vec::new();
        }
        let done = now + Batcher::call_time(config, config.batch as usize);
        if let Some(queue) = self.queues.get_mut(service) {
            queue.demote_late(done);
        }
        let locations = EndpointLocations::new(done, &usable, directory);
        let mut calls = Vec::new();
        for (position, endpoint) in idle.iter().enumerate() {
            if self.waiting_count(service) == 0 {
                break;
            }
            if self.is_too_slow(now, *endpoint, service, config, &usable) {
                continue;
            }
            let others = idle.len() - position;
            let keys = self.take_pieces_for(now, *endpoint, service, config, &locations, others);
            if !keys.is_empty() {
                let pieces = keys.iter().map(|key| self.pieces[*key].piece.clone()).collect();
                calls.push(PlannedCall { endpoint: *endpoint, pieces, keys });
            }
        }
        calls
    }

    /// Records that a planned call has been sent.
    pub fn record_start(
        &mut self,
        now: Duration,
        call: CallKey,
        planned: &PlannedCall,
        config: &Pieces,
    ) {
        for key in &planned.keys {
            self.pieces[*key].call = Some(call);
        }
        let worker = self.workers.entry(planned.endpoint).or_default();
        worker.calls += 1;
        worker.reserved_bytes += planned.pieces.iter().map(|piece| piece.bytes).sum::<u64>();
        let expected = Batcher::call_time(config, planned.pieces.len());
        let usual = expected.mul_f64(self.slowdown(now, &planned.endpoint).max(1.0));
        let straggler_at = Some(now + usual.mul_f64(STRAGGLER_FACTOR) + STRAGGLER_SLACK);
        let (endpoint, keys, lease) = (planned.endpoint, planned.keys.clone(), config.lease);
        let has_inputs = planned.pieces.iter().any(|piece| !piece.inputs.is_empty());
        let read_by = has_inputs.then(|| now + self.read_time.estimate());
        let running = RunningCall {
            endpoint,
            keys,
            started_at: now,
            expected,
            lease,
            straggler_at,
            has_inputs,
            read_by,
        };
        self.running.insert(call, running);
    }

    /// Sends the endpoint no further call until the given time.
    pub fn hold_endpoint(&mut self, endpoint: EndpointKey, until: Duration) {
        let worker = self.workers.entry(endpoint).or_default();
        worker.on_hold_until = until;
    }

    /// Returns each call that has just become a straggler, with the number of its unfinished
    /// pieces.
    pub fn take_stragglers(&mut self, now: Duration) -> Vec<(CallKey, ServiceName, u32)> {
        let pieces = &self.pieces;
        let stragglers = self
            .running
            .iter_mut()
            .filter(|(_, running)| running.straggler_at.is_some_and(|at| at <= now));
        let unfinished = stragglers.filter_map(|(call, running)| {
            running.straggler_at = None;
            let unfinished = running.keys.iter().filter_map(|key| pieces.get(*key));
            let mut unfinished = unfinished.filter(|entry| !entry.is_cancelled).peekable();
            let service = unfinished.peek()?.piece.service.clone();
            Some((*call, service, unfinished.count() as u32))
        });
        unfinished.collect()
    }

    /// Queues the pieces of a straggler again, to be run at another endpoint as well. The first
    /// result of a piece counts.
    pub fn requeue(&mut self, call: CallKey) {
        let Some(running) = self.running.get(&call) else { return };
        for key in running.keys.clone() {
            let Some(entry) = self.pieces.get_mut(key).filter(|it| !it.is_cancelled) else {
                continue;
            };
            entry.call = None;
            entry.is_requeued = true;
            entry.piece.is_repeat = true;
            let service = entry.piece.service.clone();
            self.queues.entry(service).or_default().push(key, &entry.piece);
        }
    }

    /// Records the results of a call, in the order of its pieces. Results of pieces that are no
    /// longer tracked are returned separately, to be freed.
    pub fn record_results(
        &mut self,
        now: Duration,
        call: CallKey,
        results: Vec<PieceResult>,
    ) -> (Vec<FinishedPiece>, Vec<Handle>) {
        let Some(running) = self.running.remove(&call) else { return Default::default() };
        let is_gone = |key: &PieceKey| !self.pieces.contains_key(*key);
        let pairs = running.keys.iter().zip(&results);
        let unclaimed =
            pairs.filter(|(key, _)| is_gone(key)).filter_map(|(_, result)| result.clone().ok());
        let unclaimed = unclaimed.collect();
        self.release(&running);
        if running.has_inputs {
            self.read_time.record_call(running.read_by.is_none(), &results);
        }
        self.record_completed(now, &running, &results);
        let worker = self.workers.entry(running.endpoint).or_default();
        worker.record_duration(now, now.saturating_sub(running.started_at), running.expected);
        let had_some = results.iter().any(Result::is_ok);
        for (key, result) in running.keys.iter().zip(&results) {
            let bytes = self.pieces.get(*key).map_or(0, |entry| entry.piece.bytes);
            match result {
                Ok(handle) => worker.add_result(now, handle.clone(), bytes, now + running.lease),
                Err(PieceFailure::NoRoom) => worker.record_no_room(now, bytes, had_some),
                Err(_) => {}
            }
        }
        (self.finish(running, results), unclaimed)
    }

    /// Records that results have been freed at their endpoint.
    pub fn record_freed(&mut self, handles: &[Handle]) {
        for worker in self.workers.values_mut() {
            worker.remove_results(handles);
        }
    }

    /// Marks results as evictable: every piece that needs them has probably read them.
    pub fn mark_evictable(&mut self, handles: &[Handle]) {
        for worker in self.workers.values_mut() {
            worker.mark_evictable(handles);
        }
    }

    /// The evictable results to free because queued pieces need their memory: those of all
    /// endpoints if large results are queued, else those of endpoints that lack the memory for a
    /// full call.
    pub fn results_to_evict(
        &self,
        now: Duration,
        service: &str,
        config: &Pieces,
        directory: &Directory,
    ) -> Vec<Handle> {
        let Some(queue) = self.queues.get(service) else { return Vec::new() };
        let is_large = queue.len_in(SizeClass::Large) > 0;
        let Some(bytes) = queue.first_bytes(SizeClass::Small).or(is_large.then_some(0)) else {
            return Vec::new();
        };
        let needed = bytes.saturating_mul(u64::from(config.batch));
        let lacks_memory = |worker: &&Worker| is_large || worker.free_bytes(now, config) < needed;
        let endpoints = directory.usable(now, Pool::of(service)).into_iter();
        let workers = endpoints.filter_map(|key| self.workers.get(&key)).filter(lacks_memory);
        workers.flat_map(Worker::evictable).cloned().collect()
    }

    /// Records the failure of a call and returns all its pieces; `is_unrun` says that the endpoint
    /// refused it.
    pub fn record_failure(
        &mut self,
        now: Duration,
        call: CallKey,
        is_unrun: bool,
    ) -> Vec<FinishedPiece> {
        let Some(running) = self.running.remove(&call) else { return Vec::new() };
        self.release(&running);
        if is_unrun {
            self.workers.entry(running.endpoint).or_default().record_refusal(now);
        }
        // Pieces that are queued again or run in another call stay there.
        let keys = running.keys.iter().copied();
        let keys = keys.filter(|key| self.pieces.get(*key).is_some_and(|it| it.call == Some(call)));
        let running = RunningCall { keys: keys.collect(), ..running };
        let results = running.keys.iter().map(|_| Err(PieceFailure::Failed)).collect();
        self.finish(running, results)
    }

    /// Drops the state of endpoints that the directory no longer contains.
    pub fn forget_removed(&mut self, directory: &Directory) {
        self.workers.retain(|key, _| directory.get(*key).is_some());
    }

    fn release(&mut self, running: &RunningCall) {
        let bytes = running.keys.iter().filter_map(|key| self.pieces.get(*key));
        let bytes: u64 = bytes.map(|entry| entry.piece.bytes).sum();
        let worker = self.workers.entry(running.endpoint).or_default();
        worker.calls = worker.calls.saturating_sub(1);
        worker.reserved_bytes = worker.reserved_bytes.saturating_sub(bytes);
    }

    fn finish(&mut self, running: RunningCall, results: Vec<PieceResult>) -> Vec<FinishedPiece> {
        let endpoint = Some(running.endpoint);
        let entries = running.keys.into_iter().zip(results);
        let entries = entries.filter_map(|(key, result)| {
            // A straggler's pieces may be queued again.
            self.dequeue(key);
            Some((self.remove_piece(key)?, result))
        });
        entries.map(|(entry, result)| entry.finished(result, endpoint)).collect()
    }

    /// Takes a piece out of its queue; false if it is not queued.
    fn dequeue(&mut self, key: PieceKey) -> bool {
        let Some(entry) = self.pieces.get(key) else { return false };
        let queue = self.queues.get_mut(&entry.piece.service);
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

    /// The endpoints that can take a call, fastest first.
    fn idle_endpoints(
        &self,
        now: Duration,
        usable: &[EndpointKey],
        config: &Pieces,
        directory: &Directory,
    ) -> Vec<EndpointKey> {
        let is_idle = |key: &&EndpointKey| {
            let is_paused = directory.get(**key).is_some_and(|endpoint| endpoint.is_paused(now));
            let is_busy = self.workers.get(key).is_some_and(|worker| {
                let is_full = worker.calls >= config.slots as usize;
                is_full || worker.backoff.is_paused(now) || now < worker.on_hold_until
            });
            !is_busy && !is_paused
        };
        let mut idle: Vec<_> = usable.iter().filter(is_idle).copied().collect();
        idle.sort_by(|a, b| self.slowdown(now, a).total_cmp(&self.slowdown(now, b)));
        idle
    }

    fn slowdown(&self, now: Duration, endpoint: &EndpointKey) -> f64 {
        self.workers.get(endpoint).map_or(1.0, |worker| worker.slowdown(now))
    }

    /// Whether the other endpoints would finish the queued pieces sooner.
    fn is_too_slow(
        &self,
        now: Duration,
        endpoint: EndpointKey,
        service: &str,
        config: &Pieces,
        usable: &[EndpointKey],
    ) -> bool {
        let own = self.slowdown(now, &endpoint);
        if own < SLOW_FACTOR {
            return false;
        }
        let fast = usable.iter().filter(|key| self.slowdown(now, key) < SLOW_FACTOR).count();
        let rounds = self.waiting_count(service) as f64 / (fast as f64 * f64::from(config.batch));
        fast > 0 && rounds + 1.0 < own
    }

    /// Takes the pieces of an endpoint's next call off the queue: the most urgent ones whose
    /// results fit into its memory and that may run there. The `idle` endpoints share the queue as
    /// long as each gets at least half a call.
    fn take_pieces_for(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        service: &str,
        config: &Pieces,
        locations: &EndpointLocations<'_>,
        idle: usize,
    ) -> Vec<PieceKey> {
        let max_pieces = config.batch as usize;
        let free_bytes = self.workers.entry(endpoint).or_default().free_bytes(now, config);
        let Some(queue) = self.queues.get_mut(service) else { return Vec::new() };
        let wanted_pieces = queue.len().div_ceil(idle).max(max_pieces / 2).min(max_pieces);
        let accepts = |group: &Group| locations.may_run_at(group, endpoint);
        let keys = queue.select(&CallCapacity {
            wanted_pieces,
            max_pieces,
            free_bytes,
            accepts: &accepts,
        });
        for key in &keys {
            queue.remove(*key, &self.pieces[*key].piece);
        }
        keys
    }
}

impl TrackedPiece {
    fn finished(self, result: PieceResult, endpoint: Option<EndpointKey>) -> FinishedPiece {
        FinishedPiece { origin: self.origin, piece: self.piece, result, endpoint }
    }
}
