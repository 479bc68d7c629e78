//! States of rollouts: their records in the platform's table, and the reports behind them.
//!
//! The table is read only while a rollout is ordered. Each write is conditional on the end
//! of the table's log, up to which this instance has read it, so that two deciding
//! instances never overwrite each other's decisions.

mod overview;
mod writing;

pub use overview::{list, log_evidence};
pub use writing::{rewrite, write};

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime},
};

use peatdeck_core::{
    model::InstanceName,
    relay::{
        model::ServiceName,
        operator::OperatorCommand,
        position::Position,
        rollout::{Evidence, Order, RolloutRecord, Verdict},
        table::Record,
    },
};

use crate::{driver::Driver, surroundings::RolloutStatus, tables};

/// Orders, states and reports of rollouts, by service.
#[derive(Debug, Default)]
pub struct Rollouts {
    services: RefCell<HashMap<ServiceName, Rollout>>,
    /// Held during a write: two writes at once would fail each other's conditions.
    write_turn: tokio::sync::Mutex<()>,
}

/// What is known of the last rollout of a service.
#[derive(Debug, Default)]
struct Rollout {
    order: Option<Order>,
    /// When the order was received.
    ordered_at: Duration,
    /// The state in force, and when it was received.
    state: Option<(RolloutRecord, Duration)>,
    /// Number of times that the record has changed.
    revision: u64,
    /// The newest counts of each instance. Only the deciding instance has those of others.
    reports: HashMap<InstanceName, Evidence>,
    /// Why this instance sends the new version nothing more.
    halt: Option<Arc<str>>,
}

impl Rollouts {
    /// Notes an operator's command that the machine has applied.
    pub fn on_command(&self, now: Duration, command: &OperatorCommand, is_accepted: bool) {
        let mut services = self.services.borrow_mut();
        match command {
            OperatorCommand::RollOut(order) if is_accepted => {
                let rollout = services.entry(order.service.clone()).or_default();
                rollout.order = Some(order.clone());
                rollout.ordered_at = now;
                rollout.reports.clear();
                rollout.halt = None;
            }
            OperatorCommand::WithdrawRollout(service) => {
                if let Some(rollout) = services.get_mut(service) {
                    rollout.order = None;
                }
            }
            _ => {}
        }
    }

    /// Notes why this instance sends the new version of a service nothing more.
    pub fn on_halted(&self, service: &str, reason: Arc<str>) {
        if let Some(rollout) = self.services.borrow_mut().get_mut(service) {
            rollout.halt = Some(reason);
        }
    }

    /// Notes the counts of an instance. Counts of another order are dropped.
    pub fn on_report(&self, from: &InstanceName, evidence: &Evidence) {
        let mut services = self.services.borrow_mut();
        let Some(rollout) = services.get_mut(&evidence.service) else { return };
        rollout.reports.retain(|_, report| {
            let is_equal = report.content == evidence.content;
            is_equal && is_same_order(report.order, evidence.order)
        });
        rollout.reports.insert(from.clone(), evidence.clone());
    }

    fn revision(&self, service: &str) -> u64 {
        self.services.borrow().get(service).map_or(0, |rollout| rollout.revision)
    }

    fn on_record(&self, now: Duration, service: &ServiceName, record: Option<RolloutRecord>) {
        let mut services = self.services.borrow_mut();
        let rollout = services.entry(service.clone()).or_default();
        rollout.revision += 1;
        rollout.state = record.map(|record| (record, now));
    }
}

/// Whether two positions are those of one order, if all else of it is equal. Offsets of
/// different timelines cannot be compared: instances that read the order before and after
/// the store was restored from an older copy have different positions of it.
fn is_same_order(one: Position, other: Position) -> bool {
    one == other || one.timeline != other.timeline
}

/// Reads the table of rollouts from now on if a rollout is ordered, else no more.
pub fn update_followed(driver: &Driver) {
    let is_wanted = driver.inspect(peatdeck_core::relay::Relay::has_rollout_orders);
    driver.peers.tables.follow_rollouts(driver.now(), is_wanted);
}

/// Passes records of the table to the machine. A record that cannot be read is ignored,
/// since anybody may write to the platform's tables.
pub fn apply(driver: &Rc<Driver>, records: &[Record]) {
    for record in records {
        match (driver.platform.read_rollout)(record) {
            Ok(Some((service, status))) => {
                let record = status.map(|status| with_age(driver.wall(), status));
                driver.rollouts.on_record(driver.now(), &service, record.clone());
                driver.feed(|machine, now| machine.on_rollout_record(now, &service, record));
            }
            Ok(None) => {}
            Err(error) => {
                driver.metrics.count("relay.rollouts_unreadable", 1);
                let (key, offset) = (tables::truncate(&record.key), record.offset);
                let error = tables::truncate(&error);
                tracing::warn!(event = "rollout_unreadable", key, offset, error);
            }
        }
    }
    if driver.peers.tables.has_read_rollouts() {
        driver.feed(|machine, now| machine.mark_rollouts_read(now));
    }
}

/// The state with the age of its order by the clock of this instance. The clocks of two
/// instances may differ by any amount, so the age is limited to the duration.
fn with_age(wall: SystemTime, status: RolloutStatus) -> RolloutRecord {
    let age = wall.duration_since(status.begun).unwrap_or_default();
    let age = age.min(status.record.duration);
    RolloutRecord { age, ..status.record }
}

/// A peer reports its counts. Returns the verdict if this instance decides on the service.
pub fn on_evidence(
    driver: &Rc<Driver>,
    from: &InstanceName,
    evidence: Evidence,
) -> Option<Verdict> {
    let report = evidence.clone();
    let verdict = driver.feed(|machine, now| machine.on_evidence(now, from, evidence));
    if verdict.is_some() {
        driver.rollouts.on_report(from, &report);
    }
    verdict
}
