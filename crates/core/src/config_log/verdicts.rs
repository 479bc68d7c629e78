//! The verdicts on recent publishes. The first verdict on an id is final.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::config_log::Verdict;

/// The most verdicts that are kept.
const MAX_VERDICTS: usize = 1024;

/// The verdicts on the newest publishes, up to [`MAX_VERDICTS`].
#[derive(Default)]
pub struct Verdicts {
    by_id: HashMap<Arc<str>, Verdict>,
    order: VecDeque<Arc<str>>,
}

impl Verdicts {
    /// The verdict on a publish; `None` if there is none or it was dropped.
    pub fn find(&self, publish: &str) -> Option<Verdict> {
        self.by_id.get(publish).copied()
    }

    /// Adds a verdict, unless the publish has one already.
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
