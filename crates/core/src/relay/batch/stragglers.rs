//! Calls that take much longer than expected.

use std::time::Duration;

use crate::relay::{
    batch::Batcher,
    model::{CallKey, ServiceName},
    pool::PoolKey,
};

/// A call that takes longer than expected by this factor is a straggler: its pieces are run at
/// another endpoint as well. The factor is large because in a burst duplicated work costs more than
/// it saves.
const STRAGGLER_FACTOR: f64 = 4.0;
/// Added to a straggler's threshold: time for connecting, and for an instance under load.
const STRAGGLER_SLACK: Duration = Duration::from_millis(100);

/// When a call that starts now and usually takes `usual` becomes a straggler.
pub(super) fn straggler_at(now: Duration, usual: Duration) -> Duration {
    now + usual.mul_f64(STRAGGLER_FACTOR) + STRAGGLER_SLACK
}

impl Batcher {
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
            let pool = PoolKey::of(&entry.piece);
            self.queues.entry(pool).or_default().push(key, &entry.piece);
        }
    }
}
