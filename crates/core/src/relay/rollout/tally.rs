//! Tests the new version of a service on the counts that instances report.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    model::InstanceName,
    relay::{
        ids::EndpointId,
        rollout::{
            Counts, Evidence, RouteCounts,
            sprt::{Outcome, Sprt},
        },
    },
};

/// Time over which the rate of the version in force is averaged. Its replies of the newest reports
/// alone count too if their rate is higher, since an outage begins for both versions at once.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Replies at the lowest rate that are added to the measured ones, so that a few replies do not
/// show a high rate.
const PRIOR_REPLIES: f64 = 5.0;
const PRIOR_BAD: f64 = 0.1;
/// A route with fewer replies of the new version does not have to be accepted on its own. The test
/// accepts after 46 to 69 replies, depending on the number of routes and on a bad one among them.
const MIN_ROUTE_REPLIES: u32 = 70;
/// From this number of endpoints of the new version on, one of them alone is no evidence.
const MIN_ENDPOINTS: usize = 3;
/// An endpoint stands out if it has more bad replies than the mean of the others by this factor.
const OUTLIER_FACTOR: f64 = 2.0;

/// One test and the counts for its next step.
#[derive(Debug, Clone, Default)]
struct RouteTest {
    sprt: Sprt,
    stable: Counts,
    canary: Counts,
    recent: VecDeque<(Duration, Counts)>,
    canary_replies: u32,
}

impl RouteTest {
    fn add(&mut self, stable: Counts, canary: Counts) {
        self.stable.add(stable);
        self.canary.add(canary);
        self.canary_replies += canary.all();
    }

    /// Adds the counts since the last step to the test. `weight` is the share of the bad replies
    /// that counts.
    fn step(&mut self, now: Duration, weight: f64, tests: usize) {
        let stable = std::mem::take(&mut self.stable);
        let canary = std::mem::take(&mut self.canary);
        self.recent.push_back((now, stable));
        while self.recent.front().is_some_and(|(at, _)| *at + RATE_WINDOW < now) {
            self.recent.pop_front();
        }
        let mut window = Counts::default();
        for (_, counts) in &self.recent {
            window.add(*counts);
        }
        let rate = rate(window).max(rate(stable));
        let bad = f64::from(canary.bad()) * weight;
        self.sprt.add(f64::from(canary.good), bad, rate, tests);
    }
}

fn rate(counts: Counts) -> f64 {
    (f64::from(counts.bad()) + PRIOR_BAD) / (f64::from(counts.all()) + PRIOR_REPLIES)
}

/// The counts of some instances, and the tests on them.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// The newest report of each instance, also of those that have ended since.
    reports: HashMap<InstanceName, Evidence>,
    overall: RouteTest,
    routes: BTreeMap<Arc<str>, RouteTest>,
    /// The endpoints of the new version that have replied.
    endpoints: HashSet<EndpointId>,
    /// Counts by endpoint since the last step.
    newest: EndpointCounts,
    /// Those of the steps within [`RATE_WINDOW`].
    recent: VecDeque<(Duration, EndpointCounts)>,
}

type EndpointCounts = Vec<(EndpointId, Counts)>;

impl Tally {
    /// Takes in a report. Its counts replace those of the instance's last report, unless they are
    /// lower: then the instance has restarted and counts anew. A report that was overtaken by a
    /// later one is ignored.
    pub fn record(&mut self, from: &InstanceName, evidence: &Evidence) {
        let previous = self.reports.get(from);
        if previous.is_some_and(|previous| evidence.age < previous.age) {
            return;
        }
        let previous = previous.filter(|previous| !has_restarted(previous, evidence));
        let known = previous.cloned();
        for counts in &evidence.routes {
            let before = known.as_ref().and_then(|it| route_counts(it, &counts.route));
            let (stable, canary) =
                before.map_or_else(Default::default, |it| (it.stable, it.canary));
            let (stable, canary) = (counts.stable.since(stable), counts.canary.since(canary));
            self.overall.add(stable, canary);
            self.routes.entry(counts.route.clone()).or_default().add(stable, canary);
        }
        for (endpoint, counts) in &evidence.endpoints {
            let before = known.as_ref().and_then(|it| endpoint_counts(it, endpoint));
            let add = counts.since(before.unwrap_or_default());
            self.endpoints.insert(endpoint.clone());
            if add.bad() > 0 {
                self.newest.push((endpoint.clone(), add));
            }
        }
        self.reports.insert(from.clone(), evidence.clone());
    }

    /// Runs the tests on the reports since the last call. `shares` is the number of instances that
    /// test on their own, which share the error rates.
    pub fn test(&mut self, now: Duration, shares: usize) -> Outcome {
        let tests = (self.routes.len() + 1) * shares;
        let weight = self.weight(now);
        let all = self.routes.values_mut().chain([&mut self.overall]);
        all.for_each(|test| test.step(now, weight, tests));
        let is_needed = |test: &&RouteTest| test.canary_replies >= MIN_ROUTE_REPLIES;
        let outcomes = self.routes.values().map(|test| test.sprt.outcome(tests));
        let overall = self.overall.sprt.outcome(tests);
        if outcomes.chain([overall]).any(|it| it == Outcome::Rejected) {
            return Outcome::Rejected;
        }
        let mut needed = self.routes.values().filter(is_needed);
        let are_accepted = needed.all(|test| test.sprt.outcome(tests) == Outcome::Accepted);
        match overall == Outcome::Accepted && are_accepted {
            true => Outcome::Accepted,
            false => Outcome::Undecided,
        }
    }

    /// The share of the newest bad replies that counts: those of an endpoint that stands out among
    /// three or more do not. If it contributed half of those that count, 12 of 1,000 good versions
    /// with a slow endpoint were rejected. Only recent replies are compared: failures of all
    /// endpoints in an earlier outage would let those of a single one count later.
    fn weight(&mut self, now: Duration) -> f64 {
        let newest = std::mem::take(&mut self.newest);
        self.recent.push_back((now, newest));
        while self.recent.front().is_some_and(|(at, _)| *at + RATE_WINDOW < now) {
            self.recent.pop_front();
        }
        let Some(outlier) = self.outlier() else { return 1.0 };
        let newest = self.recent.back().map_or(&[][..], |(_, counts)| counts);
        let bad =
            |counts: &[&(EndpointId, Counts)]| counts.iter().map(|it| it.1.bad()).sum::<u32>();
        let all = bad(&newest.iter().collect::<Vec<_>>());
        let others = bad(&newest.iter().filter(|it| it.0 != outlier).collect::<Vec<_>>());
        if all == 0 { 1.0 } else { f64::from(others) / f64::from(all) }
    }

    /// The endpoint with more than twice as many recent bad replies as the mean of the others.
    fn outlier(&self) -> Option<EndpointId> {
        let mut bad: HashMap<&EndpointId, u32> = HashMap::new();
        for (endpoint, counts) in self.recent.iter().flat_map(|(_, counts)| counts) {
            *bad.entry(endpoint).or_default() += counts.bad();
        }
        let others = self.endpoints.len().checked_sub(1).filter(|it| it + 1 >= MIN_ENDPOINTS)?;
        let all: u32 = bad.values().sum();
        let (endpoint, most) = bad.into_iter().max_by_key(|(endpoint, bad)| (*bad, *endpoint))?;
        let mean = f64::from(all - most) / others as f64;
        (f64::from(most) > OUTLIER_FACTOR * mean).then(|| endpoint.clone())
    }
}

fn route_counts<'a>(evidence: &'a Evidence, route: &str) -> Option<&'a RouteCounts> {
    evidence.routes.iter().find(|it| *it.route == *route)
}

fn endpoint_counts(evidence: &Evidence, endpoint: &EndpointId) -> Option<Counts> {
    evidence.endpoints.iter().find(|(it, _)| it == endpoint).map(|(_, counts)| *counts)
}

fn has_restarted(previous: &Evidence, evidence: &Evidence) -> bool {
    let is_lower = |before: &RouteCounts| {
        let Some(after) = route_counts(evidence, &before.route) else { return true };
        !after.stable.has_all_of(before.stable) || !after.canary.has_all_of(before.canary)
    };
    previous.routes.iter().any(is_lower)
}
