//! Pieces of all exchanges, put together into calls.
//!
//! An endpoint's call takes a fixed time and a little for each piece, so
//! capacity comes from full calls. A piece therefore waits here, not at an
//! endpoint, and a call is put together only when an endpoint is about to be
//! idle. Which pieces go first is decided by when they have to be done for
//! their callers to be served in good time; pieces that cannot be in good time
//! any more come behind all that still can.

use std::{collections::HashMap, time::Duration};

use slotmap::SlotMap;

use crate::relay::{
    config::Pieces,
    directory::Directory,
    model::{CallKey, EndpointKey, ExchangeKey, Piece, PieceFailure, PieceResult, ServiceName},
};

/// An endpoint that refused a call is left alone for so long: it is busy with
/// somebody else's.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
/// Weight of a new measurement of an endpoint's slowness.
const NEWEST_SHARE: f64 = 0.5;
/// An endpoint that is so much slower than it should be only gets pieces that
/// the others have no time for.
const SLOW_FACTOR: f64 = 2.0;
/// Time after which half of an endpoint's slowness is forgotten, so that it
/// is tried again.
const SLOW_HALF_LIFE: Duration = Duration::from_secs(3);
/// Calls to one endpoint at a time, on top of its slots.
const EXTRA_CALLS: usize = 0;

slotmap::new_key_type! {
    struct PieceKey;
}

/// Whom a piece's result is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// An exchange of this instance.
    Own(ExchangeKey),
    /// A peer's pieces, and the piece's position among them.
    Peer {
        /// The event loop's number for the peer's pieces.
        ticket: u64,
        /// The position.
        index: usize,
    },
}

/// A call that is to be made.
#[derive(Debug)]
pub struct Order {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its pieces.
    pub pieces: Vec<Piece>,
    keys: Vec<PieceKey>,
}

/// A piece that has its result.
#[derive(Debug)]
pub struct Finished {
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
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointKey,
    service: ServiceName,
    keys: Vec<PieceKey>,
    started: Duration,
    expected: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Worker {
    calls: usize,
    blocked_until: Duration,
    slowness: f64,
    slowed_at: Duration,
}

impl Worker {
    fn slowness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.slowed_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / SLOW_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0).max(0.0) * kept
    }
}

/// Pieces that wait or are being made.
#[derive(Debug, Default)]
pub struct Batches {
    pieces: SlotMap<PieceKey, Entry>,
    waiting: HashMap<ServiceName, Vec<PieceKey>>,
    running: HashMap<CallKey, Running>,
    workers: HashMap<EndpointKey, Worker>,
}

impl Batches {
    /// Takes in a piece.
    pub fn add(&mut self, piece: Piece, origin: Origin) {
        let service = piece.service.clone();
        let key = self.pieces.insert(Entry { piece, origin, call: None });
        self.waiting.entry(service).or_default().push(key);
    }

    /// Drops the waiting pieces that `is_gone` says nobody needs any more.
    /// Those that are being made cannot be taken back.
    pub fn drop_waiting(&mut self, is_gone: impl Fn(&Origin) -> bool) {
        let pieces = &mut self.pieces;
        for waiting in self.waiting.values_mut() {
            waiting.retain(|key| {
                let is_dropped = is_gone(&pieces[*key].origin);
                if is_dropped {
                    pieces.remove(*key);
                }
                !is_dropped
            });
        }
    }

    /// Services with waiting pieces.
    pub fn services(&self) -> Vec<ServiceName> {
        let busy = self.waiting.iter().filter(|(_, waiting)| !waiting.is_empty());
        busy.map(|(service, _)| service.clone()).collect()
    }

    /// How many pieces of a service wait.
    pub fn waiting(&self, service: &str) -> usize {
        self.waiting.get(service).map_or(0, Vec::len)
    }

    /// When a blocked endpoint is free again, if pieces wait.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        if self.waiting.values().all(Vec::is_empty) {
            return None;
        }
        let blocked = self.workers.values().map(|worker| worker.blocked_until);
        blocked.filter(|until| *until > now).min()
    }

    /// The time that a call of so many pieces takes.
    pub fn call_time(shape: &Pieces, pieces: usize) -> Duration {
        shape.call_time + shape.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
    }

    /// Takes out waiting pieces that cannot be made before their caller gives
    /// up.
    pub fn take_late(&mut self, now: Duration, service: &str, shape: &Pieces) -> Vec<Finished> {
        let Some(waiting) = self.waiting.get_mut(service) else { return Vec::new() };
        let earliest = now + Batches::call_time(shape, 1);
        let pieces = &mut self.pieces;
        let is_late = |key: &PieceKey| pieces[*key].piece.due < earliest;
        let (late, kept): (Vec<_>, Vec<_>) = waiting.iter().partition(|key| is_late(key));
        *waiting = kept;
        let entries = late.into_iter().filter_map(|key| pieces.remove(key));
        entries.map(|entry| entry.finished(Err(PieceFailure::Late), None)).collect()
    }

    /// The calls that are to be made now. Each has to be confirmed with
    /// [`Batches::started`].
    pub fn plan(
        &mut self,
        now: Duration,
        service: &str,
        shape: &Pieces,
        directory: &Directory,
    ) -> Vec<Order> {
        let mut idle = self.idle_workers(now, service, shape, directory);
        let mut orders = Vec::new();
        while !idle.is_empty() && self.waiting(service) > 0 {
            let size = self.call_size(service, shape, idle.len());
            let endpoint = self.pick_worker(now, service, &idle, directory);
            idle.retain(|other| *other != endpoint);
            if self.is_too_slow(now, endpoint, service, shape, directory) {
                continue;
            }
            let keys = self.take_urgent(now, service, shape, size);
            let pieces = keys.iter().map(|key| self.pieces[*key].piece.clone()).collect();
            orders.push(Order { endpoint, pieces, keys });
        }
        orders
    }

    /// A planned call is on its way.
    pub fn started(&mut self, now: Duration, call: CallKey, order: &Order, shape: &Pieces) {
        for key in &order.keys {
            self.pieces[*key].call = Some(call);
        }
        self.workers.entry(order.endpoint).or_default().calls += 1;
        let service = order.pieces[0].service.clone();
        let expected = Batches::call_time(shape, order.pieces.len());
        let (endpoint, keys) = (order.endpoint, order.keys.clone());
        let running = Running { endpoint, service, keys, started: now, expected };
        self.running.insert(call, running);
    }

    /// A call brought results, in the order of its pieces.
    pub fn made(
        &mut self,
        now: Duration,
        call: CallKey,
        results: Vec<PieceResult>,
    ) -> Vec<Finished> {
        let Some(running) = self.running.remove(&call) else { return Vec::new() };
        let worker = self.workers.entry(running.endpoint).or_default();
        worker.calls = worker.calls.saturating_sub(1);
        let took = now.saturating_sub(running.started).as_secs_f64();
        let factor = took / running.expected.as_secs_f64();
        let known = worker.slowness(now);
        worker.slowness = known * (1.0 - NEWEST_SHARE) + factor * NEWEST_SHARE;
        worker.slowed_at = now;
        self.finish(running, results)
    }

    /// A call failed; `is_unrun` says that the endpoint refused it. All its
    /// pieces come back.
    pub fn failed(&mut self, now: Duration, call: CallKey, is_unrun: bool) -> Vec<Finished> {
        let Some(running) = self.running.remove(&call) else { return Vec::new() };
        let worker = self.workers.entry(running.endpoint).or_default();
        worker.calls = worker.calls.saturating_sub(1);
        if is_unrun {
            worker.blocked_until = now + BUSY_PAUSE;
        }
        let results = running.keys.iter().map(|_| Err(PieceFailure::Failed)).collect();
        self.finish(running, results)
    }

    /// The service that a call is for.
    pub fn service_of(&self, call: CallKey) -> Option<&ServiceName> {
        self.running.get(&call).map(|running| &running.service)
    }

    /// The endpoint that a call went to.
    pub fn endpoint_of(&self, call: CallKey) -> Option<EndpointKey> {
        self.running.get(&call).map(|running| running.endpoint)
    }

    /// Forgets endpoints that the directory does not know any more.
    pub fn forget(&mut self, directory: &Directory) {
        self.workers.retain(|key, _| directory.get(*key).is_some());
    }

    fn finish(&mut self, running: Running, results: Vec<PieceResult>) -> Vec<Finished> {
        let entries = running.keys.into_iter().zip(results);
        let entries = entries.filter_map(|(key, result)| Some((self.pieces.remove(key)?, result)));
        let endpoint = Some(running.endpoint);
        entries.map(|(entry, result)| entry.finished(result, endpoint)).collect()
    }

    fn idle_workers(
        &self,
        now: Duration,
        service: &str,
        shape: &Pieces,
        directory: &Directory,
    ) -> Vec<EndpointKey> {
        let room = shape.slots as usize + EXTRA_CALLS;
        let mut keys = directory.usable(now, service);
        keys.retain(|key| {
            let worker = self.workers.get(key).copied().unwrap_or_default();
            let is_paused = directory.get(*key).is_some_and(|endpoint| endpoint.is_paused(now));
            worker.calls < room && now >= worker.blocked_until && !is_paused
        });
        keys
    }

    /// Pieces of one call: all that wait where they are few, an even share of
    /// them where they would fill several calls.
    fn call_size(&self, service: &str, shape: &Pieces, idle: usize) -> usize {
        let (waiting, batch) = (self.waiting(service), shape.batch as usize);
        waiting.div_ceil(idle).max(batch / 2).min(batch)
    }

    /// The idle endpoint for the most urgent pieces: where their results are
    /// needed, if that is known, and else the fastest.
    fn pick_worker(
        &self,
        now: Duration,
        service: &str,
        idle: &[EndpointKey],
        directory: &Directory,
    ) -> EndpointKey {
        let first = self.waiting[service].iter().min_by_key(|key| self.urgency(now, **key));
        let home = first.and_then(|key| self.pieces[*key].piece.home.clone());
        let cost = |key: &EndpointKey| {
            let slowness = self.workers.get(key).map_or(1.0, |worker| worker.slowness(now));
            let place = directory.get(*key).map(|endpoint| &endpoint.entry.data_centre);
            let is_far = home.is_some() && place != home.as_ref();
            slowness + if is_far { 0.5 } else { 0.0 }
        };
        let best = idle.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        *best.expect("the caller has an idle endpoint")
    }

    /// Whether the other endpoints make the waiting pieces sooner.
    fn is_too_slow(
        &self,
        now: Duration,
        endpoint: EndpointKey,
        service: &str,
        shape: &Pieces,
        directory: &Directory,
    ) -> bool {
        let slowness =
            |key: &EndpointKey| self.workers.get(key).map_or(1.0, |worker| worker.slowness(now));
        let own = slowness(&endpoint);
        if own < SLOW_FACTOR {
            return false;
        }
        let usable = directory.usable(now, service);
        let sound = usable.iter().filter(|key| slowness(key) < SLOW_FACTOR).count();
        let rounds = self.waiting(service) as f64 / (sound as f64 * f64::from(shape.batch));
        sound > 0 && rounds + 1.0 < own
    }

    fn take_urgent(
        &mut self,
        now: Duration,
        service: &str,
        shape: &Pieces,
        size: usize,
    ) -> Vec<PieceKey> {
        let mut keys = std::mem::take(self.waiting.get_mut(service).expect("pieces wait"));
        let horizon = now + Batches::call_time(shape, size);
        keys.sort_by_cached_key(|key| self.urgency(horizon, *key));
        let rest = keys.split_off(size.min(keys.len()));
        self.waiting.insert(ServiceName::from(service), rest);
        keys
    }

    /// Pieces that can be in good time come first, the most urgent in front.
    fn urgency(&self, done: Duration, key: PieceKey) -> (bool, u8, Duration) {
        let piece = &self.pieces[key].piece;
        let is_late = piece.aim < done;
        (is_late, if is_late { piece.priority } else { 0 }, piece.aim)
    }
}

impl Entry {
    fn finished(self, result: PieceResult, endpoint: Option<EndpointKey>) -> Finished {
        Finished { origin: self.origin, piece: self.piece, result, endpoint }
    }
}
