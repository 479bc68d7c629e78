//! Which requesters have pieces at an endpoint.

use crate::relay::batch::{Batcher, Requester};

impl Batcher {
    /// Whether a call that is under way runs a piece of this requester.
    pub fn has_running(&self, requester: Requester) -> bool {
        let keys = self.by_requester.get(&requester).map_or(&[][..], Vec::as_slice);
        let is_running = |key| {
            self.pieces.get(key).is_some_and(|entry| entry.call.is_some() || entry.is_requeued)
        };
        keys.iter().any(|key| is_running(*key))
    }
}
