//! Tests the new version of a service on the counts that instances report.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    model::InstanceName,
    relay::{
        model::EndpointId,
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
const PRIOR_REPLIES: f64 = 20.0;
const PRIOR_BAD: f64 = 0.4;
/// A route with fewer replies of the new version does not have to be accepted on its own.
const MIN_ROUTE_REPLIES: u32 = 20;
/// From this number of endpoints of the new version on, one of them alone is no evidence.
const MIN_ENDPOINTS: usize = 3;

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
    endpoints: Vec<(EndpointId, Counts)>,
}

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
            self.add_endpoint(endpoint, counts.since(before.unwrap_or_default()));
        }
        self.reports.insert(from.clone(), evidence.clone());
    }

    fn add_endpoint(&mut self, endpoint: &EndpointId, add: Counts) {
        match self.endpoints.iter_mut().find(|(known, _)| known == endpoint) {
            Some((_, counts)) => counts.add(add),
            None => self.endpoints.push((endpoint.clone(), add)),
        }
    }

    /// Runs the tests on the reports since the last call. `shares` is the number of instances that
    /// test on their own, which share the error rates.
    pub fn test(&mut self, now: Duration, shares: usize) -> Outcome {
        let tests = (self.routes.len() + 1) * shares;
        let weight = self.weight();
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

    /// The share of the bad replies that counts: one endpoint of several contributes at most as
    /// much as all others together.
    fn weight(&self) -> f64 {
        if self.endpoints.len() < MIN_ENDPOINTS {
            return 1.0;
        }
        let bad = || self.endpoints.iter().map(|(_, counts)| counts.bad());
        let (all, most) = (bad().sum::<u32>(), bad().max().unwrap_or_default());
        if all == 0 { 1.0 } else { f64::from((2 * (all - most)).min(all)) / f64::from(all) }
    }

    /// Counts of the new version's replies on all routes, for a log line.
    pub fn canary_counts(&self) -> Counts {
        let mut sum = Counts::default();
        self.endpoints.iter().for_each(|(_, counts)| sum.add(*counts));
        sum
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
