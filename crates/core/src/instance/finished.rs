//! Outcomes of finished non-idempotent requests, kept for repeats.
//!
//! Bounded: the oldest goes first. What is gone from here is still protected
//! by its claim in the log; only its answer can no longer be told.

use std::collections::{HashMap, VecDeque};

use peatdeck_macros::data;

use crate::model::{Outcome, RequestId};

/// A finished request.
#[data]
pub struct FinishedRequest {
    /// Digest of the request.
    pub digest: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// The newest finished requests.
#[derive(Debug)]
pub struct FinishedRequests {
    outcomes: HashMap<RequestId, FinishedRequest>,
    order: VecDeque<RequestId>,
    capacity: usize,
}

impl FinishedRequests {
    /// Room for `capacity` outcomes.
    pub fn new(capacity: usize) -> FinishedRequests {
        FinishedRequests { outcomes: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// Keeps an outcome.
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

    /// What became of a request.
    pub fn get(&self, key: &RequestId) -> Option<&FinishedRequest> {
        self.outcomes.get(key)
    }
}
