//! Keeps the outcomes of finished non-idempotent requests for repeats.
//!
//! The size is bounded and the oldest outcome is evicted first. After that the claim in the log
//! still prevents a second run, but the outcome is no longer available.

use std::collections::{HashMap, VecDeque};

use peatdeck_macros::data;

use crate::model::{Outcome, RequestId};

/// A finished request and its outcome.
#[data]
pub struct FinishedRequest {
    /// Digest of the request, to detect a reused key.
    pub digest: u64,
    /// The outcome that its caller got.
    pub outcome: Outcome,
}

/// The outcomes of the newest finished requests.
#[derive(Debug)]
pub struct FinishedRequests {
    outcomes: HashMap<RequestId, FinishedRequest>,
    order: VecDeque<RequestId>,
    capacity: usize,
}

impl FinishedRequests {
    /// An empty store with room for `capacity` outcomes.
    pub fn new(capacity: usize) -> FinishedRequests {
        FinishedRequests { outcomes: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// Stores an outcome and evicts the oldest one if the store is full.
    pub fn insert(&mut self, key: RequestId, ended: FinishedRequest) {
        if self.outcomes.insert(key.clone(), ended).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    /// The finished request with that key, unless it was evicted.
    pub fn get(&self, key: &RequestId) -> Option<&FinishedRequest> {
        self.outcomes.get(key)
    }
}
