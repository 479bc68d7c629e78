//! Counts of the replies that one instance got since an order.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::relay::{
    fingerprint::Fingerprint,
    ids::EndpointId,
    pool::Track,
    rollout::{Counts, RouteCounts},
};

/// Reply times older than this are not compared with.
const WINDOW: Duration = Duration::from_secs(10);
/// The most reply times kept for a route.
const MAX_TIMES: usize = 512;
/// With fewer reply times the 90th percentile is not known well. The longest time takes its place,
/// so that no reply is slow by chance.
const MIN_TIMES: usize = 20;
/// With fewer reply times replies cannot be compared, and do not count. A canary call of an
/// instance comes after some 17 others, so this is rare.
const MIN_COMPARED: usize = 5;
/// A reply is slow if it takes longer than the 90th percentile of the stable replies by this
/// factor.
const SLOW_FACTOR: f64 = 2.0;
/// How long a computed percentile is used.
const LIMIT_VALIDITY: Duration = Duration::from_millis(100);

/// Reply times of the version in force.
#[derive(Debug, Clone, Default)]
struct Times {
    samples: VecDeque<(Duration, Duration)>,
    limit: Option<(Duration, Option<Duration>)>,
}

impl Times {
    fn record(&mut self, now: Duration, took: Duration) {
        if self.samples.len() >= MAX_TIMES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, took));
    }

    fn percentile(&self, share: f64) -> Option<Duration> {
        let mut times: Vec<_> = self.samples.iter().map(|(_, took)| *took).collect();
        times.sort_unstable();
        times.get((times.len() as f64 * share) as usize).copied()
    }

    /// From which time on a reply is slow; `None` if there are too few to compare with.
    fn slow_limit(&mut self, now: Duration) -> Option<Duration> {
        if let Some((at, limit)) = self.limit
            && now < at + LIMIT_VALIDITY
        {
            return limit;
        }
        while self.samples.front().is_some_and(|(at, _)| *at + WINDOW < now) {
            self.samples.pop_front();
        }
        let usual = match self.samples.len() {
            0..MIN_COMPARED => None,
            MIN_COMPARED..MIN_TIMES => self.samples.iter().map(|(_, took)| *took).max(),
            _ => self.percentile(0.9),
        };
        let limit = usual.map(|usual| usual.mul_f64(SLOW_FACTOR));
        self.limit = Some((now, limit));
        limit
    }
}

/// How a reply ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It was complete and no failure.
    Complete,
    /// It was a failure.
    Failed,
    /// It has not ended, or the caller did not wait for it.
    Open,
}

/// A reply to count.
#[derive(Debug, Clone, Copy)]
pub struct Reply<'a> {
    /// The route, or the stage for pieces.
    pub route: &'a Arc<str>,
    /// The track of the version that replied.
    pub track: Track,
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// Time until the reply began, or until now; `None` if only the whole time counts.
    pub first: Option<Duration>,
    /// Time until it ended, or until now.
    pub total: Duration,
    /// How it ended.
    pub ending: Ending,
}

#[derive(Debug, Clone, Default)]
struct Route {
    stable: Counts,
    canary: Counts,
    first: Times,
    total: Times,
}

/// Counts of one rollout.
#[derive(Debug, Clone, Default)]
pub struct ReplyCounter {
    routes: BTreeMap<Arc<str>, Route>,
    /// The new version's replies by endpoint.
    endpoints: Vec<(EndpointId, Counts)>,
    /// Requests whose calls were cut, each of which counts once.
    cut_contents: HashSet<Fingerprint>,
}

impl ReplyCounter {
    /// Counts a reply. Returns whether it was counted; one that has not ended counts only once it
    /// is slow.
    pub fn count(&mut self, now: Duration, reply: Reply<'_>) -> bool {
        let route = self.routes.entry(reply.route.clone()).or_default();
        let is_late = |times: &mut Times, took| times.slow_limit(now).map(|limit| took > limit);
        let total = is_late(&mut route.total, reply.total);
        let first = reply.first.and_then(|first| is_late(&mut route.first, first));
        if reply.ending == Ending::Complete && reply.track == Track::Stable {
            route.total.record(now, reply.total);
            if let Some(first) = reply.first {
                route.first.record(now, first);
            }
        }
        let is_slow = total == Some(true) || first == Some(true);
        let add = match reply.ending {
            Ending::Failed => Counts { failed: 1, ..Counts::default() },
            _ if is_slow => Counts { slow: 1, ..Counts::default() },
            // A reply that cannot be compared with others is no evidence for the version.
            Ending::Complete if total.is_some() => Counts { good: 1, ..Counts::default() },
            _ => return false,
        };
        match reply.track {
            Track::Stable => route.stable.add(add),
            Track::Canary => {
                route.canary.add(add);
                self.count_endpoint(reply.endpoint, add);
            }
        }
        true
    }

    fn count_endpoint(&mut self, endpoint: &EndpointId, add: Counts) {
        match self.endpoints.iter_mut().find(|(known, _)| known == endpoint) {
            Some((_, counts)) => counts.add(add),
            None => self.endpoints.push((endpoint.clone(), add)),
        }
    }

    /// Whether a reply of this time is slow on a route.
    pub fn is_slow(&mut self, now: Duration, route: &str, took: Duration) -> bool {
        let route = self.routes.get_mut(route);
        route.and_then(|it| it.total.slow_limit(now)).is_some_and(|limit| took > limit)
    }

    /// Bad replies of the new version.
    pub fn bad_canaries(&self) -> u32 {
        self.endpoints.iter().map(|(_, counts)| counts.bad()).sum()
    }

    /// Whether this is the first cut call of a request. A request that crashes endpoints would
    /// otherwise count as often as it is retried.
    pub fn is_first_cut(&mut self, content: Fingerprint) -> bool {
        self.cut_contents.insert(content)
    }

    /// A request was answered completely, so it does not crash endpoints: its cut calls count.
    pub fn record_answer(&mut self, content: Fingerprint) {
        self.cut_contents.remove(&content);
    }

    /// The counts by route.
    pub fn routes(&self) -> Vec<RouteCounts> {
        let counts = |(route, it): (&Arc<str>, &Route)| RouteCounts {
            route: route.clone(),
            stable: it.stable,
            canary: it.canary,
        };
        self.routes.iter().map(counts).collect()
    }

    /// Counts of the new version's replies by endpoint.
    pub fn endpoints(&self) -> &[(EndpointId, Counts)] {
        &self.endpoints
    }

    /// The 95th percentile of the times of the version in force, of the slowest route.
    pub fn long_call(&self) -> Duration {
        let times = self.routes.values().filter_map(|route| route.total.percentile(0.95));
        times.max().unwrap_or_default()
    }
}
