//! Which pieces are admitted to a queue, and which queued pieces are dropped.

use std::time::Duration;

use crate::relay::{
    batch::{
        Batcher, FinishedPiece, RunningCall,
        queue::{Queue, SIZE_CLASSES, SizeClass},
    },
    config::Pieces,
    directory::Directory,
    model::{Piece, PieceFailure, PieceResult},
    pool::PoolKey,
};

/// Interval between two searches for late pieces that are starved by more urgent ones.
const STARVATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Batcher {
    /// Whether a new piece will be run before its deadline. A piece that can meet its target time
    /// is queued behind the more urgent ones; any other is queued behind all pieces, at the pace
    /// that new ones leave it. A piece whose request has been worked on only needs the time of its
    /// own call. A piece of a stream that has begun only waits for others of such streams.
    pub fn is_feasible(
        &self,
        now: Duration,
        piece: &Piece,
        config: &Pieces,
        directory: &Directory,
    ) -> bool {
        let done = now + Batcher::call_time(config, 1);
        let pool = &PoolKey::of(piece);
        let (Some(queue), Some(drain_rate)) = (self.queues.get(pool), self.drain_rates.get(pool))
        else {
            return done <= piece.deadline;
        };
        let class = SizeClass::of(piece.bytes);
        let configured = configured_rate(now, pool, config, directory);
        if piece.is_resumed {
            let ahead = queue.resumed_count(class);
            let wait = drain_rate.expected_wait(now, class, ahead, configured);
            return done + wait <= piece.deadline;
        }
        let wait = drain_rate.expected_wait(
            now,
            class,
            queue.count_ahead(class, piece.target),
            configured,
        );
        if done + wait <= piece.target {
            return true;
        }
        if piece.is_begun {
            return done <= piece.deadline;
        }
        let wait = drain_rate.expected_late_wait(now, class, queue.len_in(class), configured);
        done + wait <= piece.deadline
    }

    /// How long a new piece with a small result that can meet its target time would wait in a
    /// pool; `None` if no pieces are queued there.
    pub fn backlog(
        &self,
        now: Duration,
        pool: &PoolKey,
        config: &Pieces,
        directory: &Directory,
    ) -> Option<Duration> {
        let queue = self.queues.get(pool).filter(|queue| !queue.is_empty())?;
        let configured = configured_rate(now, pool, config, directory);
        let ahead = queue.count_ahead(SizeClass::Small, Duration::MAX);
        Some(self.drain_rates.get(pool)?.expected_wait(now, SizeClass::Small, ahead, configured))
    }

    /// Removes the queued pieces that can't finish before their deadlines, and late pieces that are
    /// starved by more urgent ones.
    pub fn take_late(
        &mut self,
        now: Duration,
        pool: &PoolKey,
        config: &Pieces,
        directory: &Directory,
    ) -> Vec<FinishedPiece> {
        let Some(queue) = self.queues.get_mut(pool) else { return Vec::new() };
        let mut late = queue.expiring_before(now + Batcher::call_time(config, 1));
        let batch = config.batch as usize;
        if queue.len() > batch && now >= queue.next_starvation_check {
            queue.next_starvation_check = now + STARVATION_CHECK_INTERVAL;
            queue.demote_late(now + Batcher::call_time(config, batch));
            let configured = configured_rate(now, pool, config, directory);
            let drain_rate = self.drain_rates.entry(pool.clone()).or_default();
            let call_time = Batcher::call_time(config, 1);
            let wait = |class, ahead| {
                drain_rate.expected_late_wait(now, class, ahead, configured) + call_time
            };
            let starved = queue.starved(now, wait).into_iter();
            late.extend(starved.filter(|key| !self.pieces[*key].is_requeued));
        }
        let entries = late.into_iter().filter_map(|key| {
            self.dequeue(key);
            self.remove_piece(key)
        });
        entries.map(|entry| entry.finished(Err(PieceFailure::Late), None)).collect()
    }

    /// Removes all queued pieces of a pool that no endpoint may run.
    pub fn take_waiting(&mut self, pool: &PoolKey) -> Vec<FinishedPiece> {
        let keys = self.queues.get(pool).map(Queue::keys).unwrap_or_default();
        let entries = keys.into_iter().filter_map(|key| {
            self.dequeue(key);
            self.remove_piece(key)
        });
        entries.map(|entry| entry.finished(Err(PieceFailure::Late), None)).collect()
    }

    pub(super) fn record_waiting(&mut self, now: Duration, pool: &PoolKey) {
        let Some(queue) = self.queues.get(pool) else { return };
        let Some(drain_rate) = self.drain_rates.get_mut(pool) else { return };
        for class in SIZE_CLASSES {
            drain_rate.record_waiting(now, class, queue.len_in(class) > 0);
        }
    }

    pub(super) fn record_completed(
        &mut self,
        now: Duration,
        running: &RunningCall,
        results: &[PieceResult],
    ) {
        let completed = running.keys.iter().zip(results).filter(|(_, result)| result.is_ok());
        for piece in completed.filter_map(|(key, _)| Some(&self.pieces.get(*key)?.piece)) {
            let drain_rate = self.drain_rates.entry(PoolKey::of(piece)).or_default();
            drain_rate.record_completed(now, SizeClass::of(piece.bytes), 1);
        }
    }
}

/// Pieces per second that the endpoints of a pool complete in full calls according to the
/// configuration.
fn configured_rate(now: Duration, pool: &PoolKey, config: &Pieces, directory: &Directory) -> f64 {
    let endpoints = directory.usable(now, pool.pool()).len().max(1);
    let batch = config.batch as usize;
    (endpoints * batch) as f64 / Batcher::call_time(config, batch).as_secs_f64()
}
