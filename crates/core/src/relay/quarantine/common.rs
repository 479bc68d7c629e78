//! Crashes of many endpoints at one moment, which have one cause outside of what they ran: a
//! power loss, the failure of a rack, a common restart.

use std::{collections::HashMap, time::Duration};

use crate::relay::model::EndpointId;

/// The endpoints of a rack or pool crash within this time of each other.
const COMMON_PERIOD: Duration = Duration::from_millis(300);
/// How long after the first of them further crashes are attributed to the same cause, since some
/// are detected or reported late.
const COMMON_TAIL: Duration = Duration::from_secs(1);
/// The most endpoints whose crashes are stored: those of ten minutes at six a second, in some
/// 0.3 MB.
const MAX_ENDPOINTS: usize = 4096;

/// When endpoints crashed, whatever they ran.
#[derive(Debug, Default)]
pub(super) struct CrashTimes {
    by_endpoint: HashMap<EndpointId, Duration>,
}

impl CrashTimes {
    pub(super) fn add(&mut self, endpoint: &EndpointId, at: Duration) {
        if let Some(known) = self.by_endpoint.get_mut(endpoint) {
            *known = at.min(*known);
            return;
        }
        self.by_endpoint.insert(endpoint.clone(), at);
        if self.by_endpoint.len() > MAX_ENDPOINTS {
            let oldest = self.by_endpoint.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(endpoint, _)| endpoint.clone());
            oldest.and_then(|endpoint| self.by_endpoint.remove(&endpoint));
        }
    }

    /// Drops crashes before a time.
    pub(super) fn expire(&mut self, since: Duration) {
        self.by_endpoint.retain(|_, at| *at >= since);
    }

    /// The moments at which at least `min` endpoints crashed together.
    pub(super) fn moments(&self, min: usize) -> Moments {
        let mut times: Vec<_> = self.by_endpoint.values().copied().collect();
        times.sort_unstable();
        let is_common = |(idx, from): &(usize, &Duration)| {
            times[*idx..].partition_point(|at| *at <= **from + COMMON_PERIOD) >= min
        };
        let starts = times.iter().enumerate().filter(is_common);
        Moments { starts: starts.map(|(_, from)| *from).collect() }
    }
}

/// The moments at which endpoints crashed together.
#[derive(Debug, Default)]
pub(super) struct Moments {
    /// When each of them began, in order; they may overlap.
    starts: Vec<Duration>,
}

impl Moments {
    /// Until when crashes have the same cause as the one at this time; `None` if that has a
    /// cause of its own.
    pub(super) fn end(&self, at: Duration) -> Option<Duration> {
        let begun = self.starts.partition_point(|start| *start <= at);
        let end = *self.starts[..begun].last()? + COMMON_TAIL;
        (at <= end).then_some(end)
    }
}
