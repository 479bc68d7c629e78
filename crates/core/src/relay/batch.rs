//! Pieces of all exchanges, put together into calls.
//!
//! An endpoint's call takes a fixed time and a little for each piece, so
//! capacity comes from full calls. A piece therefore waits here, not at an
//! endpoint, and a call is put together only when an endpoint is about to be
//! idle. Which pieces go first is decided by when they have to be done for
//! their callers to be served in good time; pieces that cannot be in good time
//! any more come behind all that still can.

mod admission;
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
        drain::Drain,
        places::Places,
        queue::{Group, Lane, Queue, Space},
        worker::Worker,
    },
    config::Pieces,
    directory::Directory,
    fingerprint::Fingerprint,
    model::{
        CallKey, EndpointKey, ExchangeKey, Handle, Piece, PieceFailure, PieceResult, ServiceName,
    },
};

/// An endpoint that is so much slower than it should be only gets pieces that
/// the others have no time for.
const SLOW_FACTOR: f64 = 2.0;
/// A call that takes so much longer than it should is a straggler: its pieces
/// are made elsewhere too. A slow endpoint is waited for all the same: in a
/// burst, work done twice costs more than it saves.
const STRAGGLER_FACTOR: f64 = 4.0;
/// The same, as time on top: connections and a loaded instance.
const STRAGGLER_SLACK: Duration = Duration::from_millis(100);

slotmap::new_key_type! {
    /// A piece that waits or is being made here.
    pub struct PieceKey;
}

/// Whom a piece's result is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// An exchange of this instance.
    Local(ExchangeKey),
    /// A peer's pieces, and the piece's position among them.
    Peer {
        /// The event loop's number for the peer's pieces.
        ticket: u64,
        /// The position.
        index: usize,
    },
}

/// Who holds pieces: all of them go when it does.
#[id]
#[derive(Copy)]
pub enum Requester {
    /// An exchange of this instance.
    Local(ExchangeKey),
    /// A peer's hand-over, by the event loop's number.
    Ticket(u64),
}

impl Origin {
    fn holder(self) -> Requester {
        match self {
            Origin::Local(key) => Requester::Local(key),
            Origin::Peer { ticket, .. } => Requester::Ticket(ticket),
        }
    }
}

/// A call that is to be made.
#[derive(Debug)]
pub struct PlannedCall {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its pieces.
    pub pieces: Vec<Piece>,
    keys: Vec<PieceKey>,
}

/// A piece that has its result.
#[derive(Debug)]
pub struct FinishedPiece {
    /// Whom it is for.
    pub origin: Origin,
    /// The piece.
    pub piece: Piece,
    /// The result.
    pub result: PieceResult,
    /// The endpoint that made it or failed to.
    pub endpoint: Option<EndpointKey>,
}

#[derive(Debug)]
struct Entry {
    piece: Piece,
    origin: Origin,
    call: Option<CallKey>,
    /// Whether a call that takes too long may still bring it.
    is_straggler: bool,
    /// Whether nobody needs it any more. It is not made again then.
    is_dropped: bool,
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointKey,
    keys: Vec<PieceKey>,
    started: Duration,
    expected: Duration,
    lease: Duration,
    /// When it counts as a straggler; `None` once it was taken for one.
    late_at: Option<Duration>,
    /// Whether its pieces are made from results.
    has_inputs: bool,
    /// When it has probably read them; `None` afterwards.
    read_at: Option<Duration>,
}

/// Pieces that wait or are being made.
#[derive(Debug, Default)]
pub struct Batcher {
    pieces: SlotMap<PieceKey, Entry>,
    waiting: HashMap<ServiceName, Queue>,
    drains: HashMap<ServiceName, Drain>,
    held_by: HashMap<Requester, Vec<PieceKey>>,
    running: HashMap<CallKey, Running>,
    workers: HashMap<EndpointKey, Worker>,
    reads: reads::Reads,
}

impl Batcher {
    /// A piece that is not taken in, since it cannot be made in time.
    pub fn reject_late(piece: Piece, origin: Origin) -> FinishedPiece {
        FinishedPiece { origin, piece, result: Err(PieceFailure::Late), endpoint: None }
    }

    /// Takes in a piece.
    pub fn add(&mut self, piece: Piece, origin: Origin) {
        let service = piece.service.clone();
        let (is_straggler, is_dropped) = (false, false);
        let entry = Entry { piece, origin, call: None, is_straggler, is_dropped };
        let key = self.pieces.insert(entry);
        self.held_by.entry(origin.holder()).or_default().push(key);
        self.waiting.entry(service).or_default().push(key, &self.pieces[key].piece);
    }

    /// Drops the waiting pieces of a holder that does not need them any more.
    /// Those that are being made cannot be taken back, but are not made again.
    pub fn cancel(&mut self, holder: Requester) {
        let Some(keys) = self.held_by.get(&holder).cloned() else { return };
        for key in keys {
            if self.stop_waiting(key) {
                self.take_out(key);
            } else if let Some(entry) = self.pieces.get_mut(key) {
                entry.is_dropped = true;
            }
        }
    }

    /// The contents of the requests whose pieces a call has.
    pub fn contents_of(&self, call: CallKey) -> Vec<Fingerprint> {
        let keys = self.running.get(&call).map_or(&[][..], |running| &running.keys);
        let pieces = keys.iter().filter_map(|key| self.pieces.get(*key));
        let mut contents: Vec<_> = pieces.map(|entry| entry.piece.content).collect();
        contents.sort_unstable();
        contents.dedup();
        contents
    }

    /// Takes out the pieces of a content that wait. Those that are being made are not
    /// made again.
    pub fn take_content(&mut self, content: Fingerprint) -> Vec<FinishedPiece> {
        let mut keys = Vec::new();
        for (key, entry) in self.pieces.iter_mut().filter(|(_, it)| it.piece.content == content) {
            entry.is_dropped = true;
            keys.extend(entry.call.is_none().then_some(key));
        }
        let entries = keys.into_iter().filter_map(|key| {
            self.stop_waiting(key);
            self.take_out(key)
        });
        entries.map(|entry| entry.finished(Err(PieceFailure::Failed), None)).collect()
    }

    /// Services with waiting pieces.
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        let busy = self.waiting.iter().filter(|(_, waiting)| !waiting.is_empty());
        busy.map(|(service, _)| service.clone()).collect()
    }

    /// How many pieces of a service wait.
    pub fn waiting_count(&self, service: &str) -> usize {
        self.waiting.get(service).map_or(0, Queue::len)
    }

    /// When a call becomes a straggler or has read its inputs, or a blocked endpoint is
    /// free again while pieces wait.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        let late = self.running.values().filter_map(|running| running.late_at);
        let read = self.running.values().filter_map(|running| running.read_at);
        let late = late.chain(read).min();
        if self.waiting.values().all(Queue::is_empty) {
            return late;
        }
        let blocked = self.workers.values().map(|it| it.busy.until().max(it.rests_until));
        let unknown = self.workers.values().filter_map(|worker| worker.unknown);
        let all = blocked.chain(unknown.map(|(_, until)| until));
        all.filter(|until| *until > now).chain(late).min()
    }

    /// The time that a call of so many pieces takes.
    pub fn call_time(shape: &Pieces, pieces: usize) -> Duration {
        shape.call_time + shape.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
    }

    /// The calls that are to be made now. Each has to be confirmed with
    /// [`Batcher::record_start`].
    pub fn plan(
        &mut self,
        now: Duration,
        service: &str,
        shape: &Pieces,
        directory: &Directory,
    ) -> Vec<PlannedCall> {
        self.note_waiting(now, service);
        let usable = directory.usable(now, service);
        let idle = self.idle_workers(now, &usable, shape, directory);
        if idle.is_empty() {
            return Vec::new();
        }
        let done = now + Batcher::call_time(shape, shape.batch as usize);
        if let Some(queue) = self.waiting.get_mut(service) {
            queue.demote(done);
        }
        let places = Places::new(done, &usable, directory);
        let mut orders = Vec::new();
        for (position, endpoint) in idle.iter().enumerate() {
            if self.waiting_count(service) == 0 {
                break;
            }
            if self.is_too_slow(now, *endpoint, service, shape, &usable) {
                continue;
            }
            let others = idle.len() - position;
            let keys = self.take_for(now, *endpoint, service, shape, &places, others);
            if !keys.is_empty() {
                let pieces = keys.iter().map(|key| self.pieces[*key].piece.clone()).collect();
                orders.push(PlannedCall { endpoint: *endpoint, pieces, keys });
            }
        }
        orders
    }

    /// A planned call is on its way.
    pub fn record_start(
        &mut self,
        now: Duration,
        call: CallKey,
        order: &PlannedCall,
        shape: &Pieces,
    ) {
        for key in &order.keys {
            self.pieces[*key].call = Some(call);
        }
        let worker = self.workers.entry(order.endpoint).or_default();
        worker.calls += 1;
        worker.promised += order.pieces.iter().map(|piece| piece.bytes).sum::<u64>();
        let expected = Batcher::call_time(shape, order.pieces.len());
        let usual = expected.mul_f64(self.slowness(now, &order.endpoint).max(1.0));
        let late_at = Some(now + usual.mul_f64(STRAGGLER_FACTOR) + STRAGGLER_SLACK);
        let (endpoint, keys, lease) = (order.endpoint, order.keys.clone(), shape.lease);
        let has_inputs = order.pieces.iter().any(|piece| !piece.inputs.is_empty());
        let read_at = has_inputs.then(|| now + self.reads.time());
        let running =
            Running { endpoint, keys, started: now, expected, lease, late_at, has_inputs, read_at };
        self.running.insert(call, running);
    }

    /// An endpoint gets no further call until then.
    pub fn hold_endpoint(&mut self, endpoint: EndpointKey, until: Duration) {
        let worker = self.workers.entry(endpoint).or_default();
        worker.rests_until = until;
    }

    /// Takes out the calls that have become stragglers, with how many pieces
    /// each still owes.
    pub fn take_stragglers(&mut self, now: Duration) -> Vec<(CallKey, ServiceName, u32)> {
        let pieces = &self.pieces;
        let late = self
            .running
            .iter_mut()
            .filter(|(_, running)| running.late_at.is_some_and(|at| at <= now));
        let owed = late.filter_map(|(call, running)| {
            running.late_at = None;
            let owed = running.keys.iter().filter_map(|key| pieces.get(*key));
            let mut owed = owed.filter(|entry| !entry.is_dropped).peekable();
            let service = owed.peek()?.piece.service.clone();
            Some((*call, service, owed.count() as u32))
        });
        owed.collect()
    }

    /// The pieces of a straggler wait again, to be made elsewhere too. Whoever
    /// has a piece first counts.
    pub fn requeue(&mut self, call: CallKey) {
        let Some(running) = self.running.get(&call) else { return };
        for key in running.keys.clone() {
            let Some(entry) = self.pieces.get_mut(key).filter(|it| !it.is_dropped) else {
                continue;
            };
            entry.call = None;
            entry.is_straggler = true;
            entry.piece.is_repeat = true;
            let service = entry.piece.service.clone();
            self.waiting.entry(service).or_default().push(key, &entry.piece);
        }
    }

    /// A call brought results, in the order of its pieces. Results that nobody
    /// waits for any more come back apart.
    pub fn record_results(
        &mut self,
        now: Duration,
        call: CallKey,
        results: Vec<PieceResult>,
    ) -> (Vec<FinishedPiece>, Vec<Handle>) {
        let Some(running) = self.running.remove(&call) else { return Default::default() };
        let is_gone = |key: &PieceKey| !self.pieces.contains_key(*key);
        let pairs = running.keys.iter().zip(&results);
        let strays =
            pairs.filter(|(key, _)| is_gone(key)).filter_map(|(_, made)| made.clone().ok());
        let strays = strays.collect();
        self.release(&running);
        if running.has_inputs {
            self.reads.note(running.read_at.is_none(), &results);
        }
        self.note_made(now, &running, &results);
        let worker = self.workers.entry(running.endpoint).or_default();
        worker.took(now, now.saturating_sub(running.started), running.expected);
        let had_any = results.iter().any(Result::is_ok);
        for (key, result) in running.keys.iter().zip(&results) {
            let bytes = self.pieces.get(*key).map_or(0, |entry| entry.piece.bytes);
            match result {
                Ok(handle) => worker.hold(now, handle.clone(), bytes, now + running.lease),
                Err(PieceFailure::NoRoom) => worker.had_no_room(now, bytes, had_any),
                Err(_) => {}
            }
        }
        (self.finish(running, results), strays)
    }

    /// Results at an endpoint have been given up.
    pub fn record_freed(&mut self, handles: &[Handle]) {
        for worker in self.workers.values_mut() {
            worker.give_up(handles);
        }
    }

    /// Results have probably been read by all that need them.
    pub fn mark_evictable(&mut self, handles: &[Handle]) {
        for worker in self.workers.values_mut() {
            worker.spare(handles);
        }
    }

    /// Spare results that take up room while pieces wait for it: those with large
    /// results, or as many others as make a full call. They are to be given up.
    pub fn results_to_evict(
        &self,
        now: Duration,
        service: &str,
        shape: &Pieces,
        directory: &Directory,
    ) -> Vec<Handle> {
        let Some(queue) = self.waiting.get(service) else { return Vec::new() };
        let is_large = queue.len_of(Lane::Large) > 0;
        let Some(bytes) = queue.first_bytes(Lane::Small).or(is_large.then_some(0)) else {
            return Vec::new();
        };
        let needed = bytes.saturating_mul(u64::from(shape.batch));
        let lacks_room = |worker: &&Worker| is_large || worker.room(now, shape) < needed;
        let endpoints = directory.usable(now, service).into_iter();
        let workers = endpoints.filter_map(|key| self.workers.get(&key)).filter(lacks_room);
        workers.flat_map(Worker::spares).cloned().collect()
    }

    /// A call failed; `is_unrun` says that the endpoint refused it. All its
    /// pieces come back.
    pub fn record_failure(
        &mut self,
        now: Duration,
        call: CallKey,
        is_unrun: bool,
    ) -> Vec<FinishedPiece> {
        let Some(running) = self.running.remove(&call) else { return Vec::new() };
        self.release(&running);
        if is_unrun {
            self.workers.entry(running.endpoint).or_default().refused(now);
        }
        // Pieces that wait again already, or are made elsewhere, stay there.
        let keys = running.keys.iter().copied();
        let keys = keys.filter(|key| self.pieces.get(*key).is_some_and(|it| it.call == Some(call)));
        let running = Running { keys: keys.collect(), ..running };
        let results = running.keys.iter().map(|_| Err(PieceFailure::Failed)).collect();
        self.finish(running, results)
    }

    /// Forgets endpoints that the directory does not know any more.
    pub fn forget_removed(&mut self, directory: &Directory) {
        self.workers.retain(|key, _| directory.get(*key).is_some());
    }

    fn release(&mut self, running: &Running) {
        let bytes = running.keys.iter().filter_map(|key| self.pieces.get(*key));
        let bytes: u64 = bytes.map(|entry| entry.piece.bytes).sum();
        let worker = self.workers.entry(running.endpoint).or_default();
        worker.calls = worker.calls.saturating_sub(1);
        worker.promised = worker.promised.saturating_sub(bytes);
    }

    fn finish(&mut self, running: Running, results: Vec<PieceResult>) -> Vec<FinishedPiece> {
        let endpoint = Some(running.endpoint);
        let entries = running.keys.into_iter().zip(results);
        let entries = entries.filter_map(|(key, result)| {
            // A straggler's pieces may wait again.
            self.stop_waiting(key);
            Some((self.take_out(key)?, result))
        });
        entries.map(|(entry, result)| entry.finished(result, endpoint)).collect()
    }

    /// Takes a piece out of its queue; false if it does not wait.
    fn stop_waiting(&mut self, key: PieceKey) -> bool {
        let Some(entry) = self.pieces.get(key) else { return false };
        let queue = self.waiting.get_mut(&entry.piece.service);
        queue.is_some_and(|queue| queue.remove(key, &entry.piece))
    }

    /// Forgets a piece that does not wait.
    fn take_out(&mut self, key: PieceKey) -> Option<Entry> {
        let entry = self.pieces.remove(key)?;
        let holder = entry.origin.holder();
        if let Some(keys) = self.held_by.get_mut(&holder) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.held_by.remove(&holder);
            }
        }
        Some(entry)
    }

    /// Endpoints that can take a call, the fastest first.
    fn idle_workers(
        &self,
        now: Duration,
        usable: &[EndpointKey],
        shape: &Pieces,
        directory: &Directory,
    ) -> Vec<EndpointKey> {
        let is_idle = |key: &&EndpointKey| {
            let is_paused = directory.get(**key).is_some_and(|endpoint| endpoint.is_paused(now));
            let is_busy = self.workers.get(key).is_some_and(|worker| {
                let is_full = worker.calls >= shape.slots as usize;
                is_full || worker.busy.is_paused(now) || now < worker.rests_until
            });
            !is_busy && !is_paused
        };
        let mut idle: Vec<_> = usable.iter().filter(is_idle).copied().collect();
        idle.sort_by(|a, b| self.slowness(now, a).total_cmp(&self.slowness(now, b)));
        idle
    }

    fn slowness(&self, now: Duration, endpoint: &EndpointKey) -> f64 {
        self.workers.get(endpoint).map_or(1.0, |worker| worker.slowness(now))
    }

    /// Whether the other endpoints make the waiting pieces sooner.
    fn is_too_slow(
        &self,
        now: Duration,
        endpoint: EndpointKey,
        service: &str,
        shape: &Pieces,
        usable: &[EndpointKey],
    ) -> bool {
        let own = self.slowness(now, &endpoint);
        if own < SLOW_FACTOR {
            return false;
        }
        let sound = usable.iter().filter(|key| self.slowness(now, key) < SLOW_FACTOR).count();
        let rounds = self.waiting_count(service) as f64 / (sound as f64 * f64::from(shape.batch));
        sound > 0 && rounds + 1.0 < own
    }

    /// Takes the pieces of an endpoint's next call: the most urgent ones whose
    /// results have room there and do not belong elsewhere. `idle` endpoints
    /// share what waits, as long as that makes half a call or more for each.
    fn take_for(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        service: &str,
        shape: &Pieces,
        places: &Places<'_>,
        idle: usize,
    ) -> Vec<PieceKey> {
        let batch = shape.batch as usize;
        let room = self.workers.entry(endpoint).or_default().room(now, shape);
        let Some(queue) = self.waiting.get_mut(service) else { return Vec::new() };
        let size = queue.len().div_ceil(idle).max(batch / 2).min(batch);
        let belongs = |group: &Group| places.may_be_made_at(group, endpoint);
        let keys = queue.choose(&Space { size, batch, room, belongs: &belongs });
        for key in &keys {
            queue.remove(*key, &self.pieces[*key].piece);
        }
        keys
    }
}

impl Entry {
    fn finished(self, result: PieceResult, endpoint: Option<EndpointKey>) -> FinishedPiece {
        FinishedPiece { origin: self.origin, piece: self.piece, result, endpoint }
    }
}
