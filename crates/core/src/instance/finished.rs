//! Outcomes of finished non-idempotent requests, kept for repeats.
//!
//! Bounded: the oldest goes first. What is gone from here is still protected
//! by its claim in the log; only its answer can no longer be told.

use std::collections::{HashMap, VecDeque};

use peatdeck_macros::data;

use crate::model::{Outcome, RequestId};

/// A finished request.
#[data]
pub struct Ended {
    /// Digest of the request.
    pub digest: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// The newest finished requests.
#[derive(Debug)]
pub struct Finished {
    by_key: HashMap<RequestId, Ended>,
    order: VecDeque<RequestId>,
    capacity: usize,
}

impl Finished {
    /// Room for `capacity` outcomes.
    pub fn new(capacity: usize) -> Finished {
        Finished { by_key: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// Keeps an outcome.
    pub fn insert(&mut self, key: RequestId, ended: Ended) {
        if self.by_key.insert(key.clone(), ended).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_key.remove(&oldest);
        }
    }

    /// What became of a request.
    pub fn find(&self, key: &RequestId) -> Option<&Ended> {
        self.by_key.get(key)
    }
}
