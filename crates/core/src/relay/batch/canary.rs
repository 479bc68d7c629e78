//! Calls for pieces to a version on trial.

use std::{sync::Arc, time::Duration};

use crate::relay::{
    batch::{Batcher, PieceKey, PlannedCall, queue::CallCapacity},
    config::Pieces,
    directory::Directory,
    fingerprint::Fingerprint,
    model::{CallKey, EndpointKey, Piece},
    pool::PoolKey,
};

impl Batcher {
    /// Plans a call of at most `max_pieces` pieces to an idle one of the endpoints of a version on
    /// trial. Pieces that may have run before do not go there.
    pub fn plan_canary(
        &mut self,
        now: Duration,
        pool: &PoolKey,
        config: &Pieces,
        directory: &Directory,
        (endpoints, max_pieces): (&[EndpointKey], usize),
    ) -> Option<PlannedCall> {
        let endpoint = *self.idle_endpoints(now, endpoints, config, directory).first()?;
        let free_bytes = self.workers.entry(endpoint).or_default().free_bytes(now, config);
        let queue = self.queues.get_mut(pool)?;
        let keys = queue.select(&CallCapacity {
            wanted_pieces: max_pieces,
            max_pieces,
            free_bytes,
            accepts: &|group| !group.has_repeats,
        });
        for key in &keys {
            queue.remove(*key, &self.pieces[*key].piece);
        }
        let pieces: Vec<_> = keys.iter().map(|key| self.pieces[*key].piece.clone()).collect();
        (!keys.is_empty()).then_some(PlannedCall { endpoint, pieces, keys })
    }

    /// Stage with its route, and content, of each piece of a running call, in the order of their
    /// results; `None` for pieces that are no longer tracked.
    pub fn running_pieces(&self, call: CallKey) -> Vec<Option<(Arc<str>, Fingerprint)>> {
        let keys = self.running.get(&call).map_or(&[][..], |running| &running.keys);
        let piece = |key: &PieceKey| self.pieces.get(*key).map(|entry| &entry.piece);
        let label = |it: &Piece| format!("{} stage {}", it.route, it.stage).into();
        keys.iter().map(|key| piece(key).map(|it| (label(it), it.content))).collect()
    }

    /// The expected time of a running call.
    pub fn expected_time(&self, call: CallKey) -> Option<Duration> {
        Some(self.running.get(&call)?.expected)
    }
}
