//! What operators see of rollouts: the list of an instance, and log lines of the counts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use peatdeck_core::relay::rollout::{Counts, Evidence, Phase, RouteCounts};
use peatdeck_wire::operators::{ReplyCounts, RolloutOverview, RouteEvidence};

use crate::{
    driver::Driver,
    rollouts::{self, Rollout},
};

/// Most routes whose counts are logged at a decision.
const MAX_ROUTES: usize = 12;

/// Lists the last rollout of each service, for operators, sorted by service.
pub fn list(driver: &Driver) -> Vec<RolloutOverview> {
    let now = driver.now();
    let services = driver.rollouts.services.borrow();
    let listed = services.iter().filter_map(|(service, rollout)| {
        let (state, phase) = state_and_phase(rollout);
        let reports = reports(driver, service, rollout);
        Some(RolloutOverview {
            service: service.clone(),
            version: version(rollout)?,
            state: Arc::from(state),
            phase: Arc::from(phase),
            age_ms: millis(age(rollout, now)),
            duration_ms: millis(duration(rollout)),
            baseline: rollout.state.as_ref().and_then(|(record, _)| record.baseline.clone()),
            by: rollout.state.as_ref().map(|(record, _)| record.by.clone()),
            reason: rollout.state.as_ref().map(|(record, _)| record.reason.clone()),
            halt: rollout.halt.clone(),
            instances: reports.len(),
            routes: routes(&reports),
        })
    });
    let mut listed: Vec<_> = listed.collect();
    listed.sort_by(|one, other| one.service.cmp(&other.service));
    listed
}

/// Logs the counts that this instance has of a service's rollout, a line for each route.
pub fn log_evidence(driver: &Driver, service: &str) {
    let services = driver.rollouts.services.borrow();
    let Some(rollout) = services.get(service) else { return };
    let reports = reports(driver, service, rollout);
    let (instances, order) = (reports.len(), rollout.order.as_ref());
    let version = order.map(|order| &*order.destination);
    for RouteEvidence { route, stable, canary } in routes(&reports).into_iter().take(MAX_ROUTES) {
        let (route, stable, canary) = (&*route, text(stable), text(canary));
        tracing::warn!(
            event = "rollout_evidence",
            service,
            version,
            route,
            stable,
            canary,
            instances
        );
    }
}

fn text(counts: ReplyCounts) -> String {
    let ReplyCounts { good, failed, slow } = counts;
    format!("{good} good {failed} failed {slow} slow")
}

/// Whether the state in force is that of the order.
fn is_of_order(rollout: &Rollout) -> bool {
    match (&rollout.order, &rollout.state) {
        (Some(order), Some((record, _))) => {
            order.destination == record.destination
                && order.duration == record.duration
                && rollouts::is_same_order(order.position, record.order)
        }
        (None, Some(_)) => true,
        (_, None) => false,
    }
}

fn version(rollout: &Rollout) -> Option<Arc<str>> {
    let ordered = rollout.order.as_ref().map(|order| order.destination.clone());
    ordered.or_else(|| rollout.state.as_ref().map(|(record, _)| record.destination.clone()))
}

fn state_and_phase(rollout: &Rollout) -> (&'static str, &'static str) {
    let record = rollout.state.as_ref().filter(|_| is_of_order(rollout));
    match record.map(|(record, _)| record.phase) {
        None => ("ordered", ""),
        Some(Phase::Canary) => ("active", "canary"),
        Some(Phase::Shifting) => ("active", "shifting"),
        Some(Phase::Completed) => ("completed", ""),
        Some(Phase::RolledBack) => ("rolled_back", ""),
    }
}

fn age(rollout: &Rollout, now: Duration) -> Duration {
    match &rollout.state {
        Some((record, received)) if is_of_order(rollout) => {
            record.age + now.saturating_sub(*received)
        }
        _ => now.saturating_sub(rollout.ordered_at),
    }
}

fn duration(rollout: &Rollout) -> Duration {
    let ordered = rollout.order.as_ref().map(|order| order.duration);
    let recorded = rollout.state.as_ref().map(|(record, _)| record.duration);
    ordered.or(recorded).unwrap_or_default()
}

/// The newest counts of each instance. Those of this instance are read from the machine, since
/// the deciding instance sends no report of its own.
fn reports(driver: &Driver, service: &str, rollout: &Rollout) -> Vec<Evidence> {
    let own_name = &driver.settings.name;
    let own = driver.inspect(|machine| machine.own_evidence(driver.now(), service));
    let own = own.or_else(|| rollout.reports.get(own_name).cloned());
    let others = rollout.reports.iter().filter(|(name, _)| *name != own_name);
    others.map(|(_, report)| report.clone()).chain(own).collect()
}

/// The counts of all reports together, by route.
fn routes(reports: &[Evidence]) -> Vec<RouteEvidence> {
    let mut sums: BTreeMap<Arc<str>, (ReplyCounts, ReplyCounts)> = BTreeMap::new();
    for RouteCounts { route, stable, canary } in reports.iter().flat_map(|report| &report.routes) {
        let sum = sums.entry(route.clone()).or_default();
        add(&mut sum.0, *stable);
        add(&mut sum.1, *canary);
    }
    let sums = sums.into_iter();
    sums.map(|(route, (stable, canary))| RouteEvidence { route, stable, canary }).collect()
}

fn add(sum: &mut ReplyCounts, counts: Counts) {
    sum.good += u64::from(counts.good);
    sum.failed += u64::from(counts.failed);
    sum.slow += u64::from(counts.slow);
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
