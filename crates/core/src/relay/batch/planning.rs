//! Puts calls together for the endpoints of a pool that are idle.

use std::time::Duration;

use crate::relay::{
    batch::{
        Batcher, PieceKey, RunningCall,
        places::EndpointLocations,
        queue::{CallCapacity, Group},
        stragglers,
    },
    config::Pieces,
    directory::Directory,
    model::{CallKey, EndpointKey, Piece},
    pool::PoolKey,
};

/// An endpoint that is slower than expected by this factor only gets pieces that the others have no
/// time for.
const SLOW_FACTOR: f64 = 2.0;

/// A call that the event loop has to make.
#[derive(Debug)]
pub struct PlannedCall {
    /// The endpoint to call.
    pub endpoint: EndpointKey,
    /// The pieces of the call.
    pub pieces: Vec<Piece>,
    pub(super) keys: Vec<PieceKey>,
}

impl Batcher {
    /// The expected time of a call with this many pieces.
    pub fn call_time(config: &Pieces, pieces: usize) -> Duration {
        config.call_time + config.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
    }

    /// Plans the calls to make now. Each must be confirmed with [`Batcher::record_start`].
    pub fn plan(
        &mut self,
        now: Duration,
        pool: &PoolKey,
        config: &Pieces,
        directory: &Directory,
    ) -> Vec<PlannedCall> {
        self.record_waiting(now, pool);
        let usable = directory.usable(now, pool.pool());
        let idle = self.idle_endpoints(now, &usable, config, directory);
        if idle.is_empty() {
            return Vec::new();
        }
        let done = now + Batcher::call_time(config, config.batch as usize);
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.demote_late(done);
        }
        let locations = EndpointLocations::new(done, &usable, directory);
        let mut calls = Vec::new();
        for (position, endpoint) in idle.iter().enumerate() {
            if self.waiting_count(pool) == 0 {
                break;
            }
            if self.is_too_slow(now, *endpoint, pool, config, &usable) {
                continue;
            }
            let others = idle.len() - position;
            let keys = self.take_pieces_for(now, *endpoint, pool, config, &locations, others);
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
        let straggler_at = Some(stragglers::straggler_at(now, usual));
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

    /// The endpoints that can take a call, fastest first.
    pub(super) fn idle_endpoints(
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

    pub(super) fn slowdown(&self, now: Duration, endpoint: &EndpointKey) -> f64 {
        self.workers.get(endpoint).map_or(1.0, |worker| worker.slowdown(now))
    }

    /// Whether the other endpoints would finish the queued pieces sooner.
    fn is_too_slow(
        &self,
        now: Duration,
        endpoint: EndpointKey,
        pool: &PoolKey,
        config: &Pieces,
        usable: &[EndpointKey],
    ) -> bool {
        let own = self.slowdown(now, &endpoint);
        if own < SLOW_FACTOR {
            return false;
        }
        let fast = usable.iter().filter(|key| self.slowdown(now, key) < SLOW_FACTOR).count();
        let rounds = self.waiting_count(pool) as f64 / (fast as f64 * f64::from(config.batch));
        fast > 0 && rounds + 1.0 < own
    }

    /// Takes the pieces of an endpoint's next call off the queue: the most urgent ones whose
    /// results fit into its memory and that may run there. The `idle` endpoints share the queue as
    /// long as each gets at least half a call.
    fn take_pieces_for(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        pool: &PoolKey,
        config: &Pieces,
        locations: &EndpointLocations<'_>,
        idle: usize,
    ) -> Vec<PieceKey> {
        let max_pieces = config.batch as usize;
        let free_bytes = self.workers.entry(endpoint).or_default().free_bytes(now, config);
        let Some(queue) = self.queues.get_mut(pool) else { return Vec::new() };
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
