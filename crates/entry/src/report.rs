//! Status and metrics.

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

use peatdeck_core::instance::input::Identity;
use peatdeck_util::metrics::Metrics;
use peatdeck_wire::admin::{EndpointStatus, EntryStatus};

use crate::driver::Driver;

/// Interval at which metrics are sent.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// An hour, in seconds.
const HOUR_SECONDS: u64 = 60 * 60;

/// The instance's status, with outcomes of the slots that start at `since`
/// (seconds of Unix time) or later.
pub fn status(driver: &Driver, identity: &Identity, since: u64) -> EntryStatus {
    let (status, reasons) =
        driver.with_machine(|machine| (machine.status(), machine.unready_reasons()));
    let endpoints = status.endpoints.into_iter().map(|endpoint| EndpointStatus {
        endpoint: endpoint.name,
        pool: endpoint.pool,
        incarnation: endpoint.incarnation,
        state: Arc::from(endpoint.state.name()),
        in_flight: endpoint.in_flight,
        limit: endpoint.limit,
    });
    EntryStatus {
        instance: identity.name.clone(),
        incarnation: identity.incarnation,
        data_centre: identity.data_centre.clone(),
        ready: reasons.is_empty(),
        reasons,
        version: status.version,
        running: status.running,
        peers: status.peers,
        endpoints: endpoints.collect(),
        counters: totals(driver).into_iter().map(|(name, n)| (Arc::from(name), n)).collect(),
        outcomes: driver.with_outcomes(|outcomes| outcomes.rows(since)),
    }
}

/// The time one hour ago, in seconds of Unix time. The default for status
/// queries, so that frequent ones stay small; outcomes of the whole day are
/// available with an explicit `since`.
pub fn last_hour(driver: &Driver) -> u64 {
    let wall = driver.clock().wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    wall.as_secs().saturating_sub(HOUR_SECONDS)
}

/// Sends the increments of the counters once a second for as long as the
/// process runs.
pub async fn send_metrics(driver: Rc<Driver>, metrics: Metrics) {
    let mut sent = BTreeMap::new();
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        send_increments(&driver, &metrics, &mut sent);
    }
}

/// Sends each counter's increment since the last call, and the gauges. `sent`
/// holds the totals of the last call.
pub fn send_increments(driver: &Driver, metrics: &Metrics, sent: &mut BTreeMap<&'static str, u64>) {
    for (name, total) in totals(driver) {
        let before = sent.insert(name, total).unwrap_or(0);
        if total > before {
            metrics.count(name, total - before);
        }
    }
    let running = driver.with_machine(|machine| machine.status().running);
    metrics.gauge("running", u64::from(running));
}

/// Totals of all counters of the state machine and of the event loop.
fn totals(driver: &Driver) -> BTreeMap<&'static str, u64> {
    let of_machine = driver.with_machine(|machine| machine.counters().each().collect::<Vec<_>>());
    of_machine.into_iter().chain(driver.counts.each()).collect()
}
