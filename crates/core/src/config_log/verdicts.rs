//! What became of recent publishes. The first verdict on an id stands.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::config_log::Verdict;

/// Verdicts kept at the most.
const MAX_VERDICTS: usize = 1024;

/// A bounded memory of verdicts.
#[derive(Default)]
pub struct Verdicts {
    by_id: HashMap<Arc<str>, Verdict>,
    order: VecDeque<Arc<str>>,
}

impl Verdicts {
    /// The verdict on a publish, if it is remembered.
    pub fn find(&self, publish: &str) -> Option<Verdict> {
        self.by_id.get(publish).copied()
    }

    /// Notes a verdict, unless the publish has one already.
    pub fn record(&mut self, publish: Arc<str>, verdict: Verdict) {
        if self.by_id.contains_key(&publish) {
            return;
        }
        if self.order.len() == MAX_VERDICTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
        self.order.push_back(publish.clone());
        self.by_id.insert(publish, verdict);
    }
}
