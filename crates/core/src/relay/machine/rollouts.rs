//! Rollouts: orders, records and counts of replies are passed to [`rollout`](crate::relay::rollout),
//! and its decisions carried out.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3;

use crate::{
    model::InstanceName,
    relay::{
        machine::Relay,
        model::{Action, ServiceName},
        rollout::{
            Evidence, Order, Phase, RolloutRecord, Verdict, Version, controller::Controller,
            exposure::Exposure, gate::Gate, progress::Rollout, sprt::Outcome,
        },
    },
};

/// How often counts are reported and decisions made.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The rollouts that were ordered.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    pub(super) by_service: BTreeMap<ServiceName, Rollout>,
    /// The versions in force by the last records.
    baselines: HashMap<ServiceName, Version>,
    /// Whether the records have been read since there were orders. Until then an order may have
    /// ended already.
    pub(super) are_records_read: bool,
}

impl Rollouts {
    /// The rollout of a service.
    pub(super) fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// The rollout of a service.
    pub(super) fn get_mut(&mut self, service: &str) -> Option<&mut Rollout> {
        self.by_service.get_mut(service)
    }

    /// Discards what may have changed while this instance was paused.
    pub(super) fn forget_verdicts(&mut self) {
        self.by_service.values_mut().for_each(Rollout::forget_verdict);
    }

    /// When a rollout has something to do next.
    pub(super) fn next_wake(&self, now: Duration) -> Option<Duration> {
        let open = self.by_service.values().filter(|it| !it.phase.is_final() || !it.is_recorded());
        let wakes = open.flat_map(|it| [Some(it.next_report), it.ramp_end(now)]);
        wakes.flatten().min()
    }
}

impl Relay {
    /// Applies an operator's order. Returns whether it is new.
    pub(super) fn apply_order(&mut self, now: Duration, order: Order) -> bool {
        if self.settings.rollout.is_none() {
            return false;
        }
        let service = order.service.clone();
        if let Some(known) = self.rollouts.get_mut(&service).filter(|it| it.order.is_same(&order)) {
            known.is_withdrawn &= known.order.position == order.position;
            known.order = order;
            return false;
        }
        if self.rollouts.by_service.is_empty() {
            self.rollouts.are_records_read = false;
        }
        let mut rollout = Rollout::new(now, order);
        let seed = xxh3::xxh3_64(service.as_bytes());
        let hash = xxh3::xxh3_64_with_seed(self.settings.name.as_bytes(), seed);
        let position = hash as f64 / u64::MAX as f64;
        rollout.exposure = Exposure::new(self.instance_count(), position);
        self.rollouts.by_service.insert(service, rollout);
        true
    }

    /// An operator has withdrawn the order for a service. Returns whether there was one.
    pub(super) fn withdraw_order(&mut self, service: &str) -> bool {
        let Some(rollout) = self.rollouts.get_mut(service) else { return false };
        let was_withdrawn = std::mem::replace(&mut rollout.is_withdrawn, true);
        if rollout.phase.is_final() {
            self.rollouts.by_service.remove(service);
        }
        !was_withdrawn
    }

    /// Whether the operators' table holds an order that the status table has to be read for.
    pub fn has_rollout_orders(&self) -> bool {
        !self.rollouts.by_service.is_empty()
    }

    /// What this instance has counted of the replies of a service since its last order; `None`
    /// without an order.
    pub fn own_evidence(&self, now: Duration, service: &str) -> Option<Evidence> {
        self.evidence(now, service)
    }

    /// Takes in the record of a service's rollout; `None` if it was removed.
    pub fn on_rollout_record(
        &mut self,
        now: Duration,
        service: &str,
        record: Option<RolloutRecord>,
    ) {
        if self.settings.rollout.is_none() {
            return;
        }
        match record {
            Some(record) => self.read_record(now, service, record),
            None => {
                if let Some(rollout) = self.rollouts.get_mut(service) {
                    rollout.record = None;
                }
            }
        }
        self.refresh_gates(now);
    }

    fn read_record(&mut self, now: Duration, service: &str, record: RolloutRecord) {
        let baseline = match record.phase {
            Phase::Completed => Some(record.destination.clone()),
            _ => record.baseline.clone(),
        };
        if let Some(rollout) = self.rollouts.get_mut(service) {
            if let Some(controller) = &mut rollout.controller {
                controller.on_read();
            }
            let is_own = rollout.order.is_of(&record);
            // A store that was restored from an older copy returns an older record.
            let is_newer = record.order > rollout.order.position;
            let is_older = match is_own {
                true => rollout.phase.is_final() && record.phase != rollout.phase,
                false => rollout.record.is_some() && !is_newer,
            };
            if is_older {
                rollout.record = is_own.then_some(record);
                return;
            }
            if is_own {
                rollout.on_record(now, record);
            }
        }
        if let Some(baseline) = baseline {
            self.rollouts.baselines.insert(service.into(), baseline);
        }
    }

    /// The status table has been read whole.
    pub fn mark_rollouts_read(&mut self, now: Duration) {
        self.rollouts.are_records_read = true;
        self.refresh_gates(now);
    }

    /// A record could not be written: the store failed, or the table has changed meanwhile.
    pub fn on_rollout_unwritten(&mut self, now: Duration, service: &str) {
        let rollout = self.rollouts.get_mut(service);
        if let Some(controller) = rollout.and_then(|it| it.controller.as_mut()) {
            controller.on_unwritten(now);
        }
    }

    /// A peer reports what it has counted. Returns the verdict of this instance if it decides on
    /// the service.
    pub fn on_evidence(
        &mut self,
        now: Duration,
        from: &InstanceName,
        evidence: Evidence,
    ) -> Option<Verdict> {
        let service = evidence.service.clone();
        if !self.may_decide(now) || self.deciding_peer(&service).is_some() {
            return None;
        }
        let rollout = self.rollouts.get_mut(&service)?;
        if !rollout.order.is_meant(evidence.order, evidence.content) {
            return None;
        }
        rollout.adopt_age(now, evidence.age);
        let controller = rollout.controller.get_or_insert_with(|| Controller::new(now));
        controller.on_evidence(now, from, &evidence);
        if evidence.is_halted {
            self.halt_rollout(now, &service, format!("halted by {from}").into());
        }
        let rollout = self.rollouts.get(&service)?;
        Some(Verdict {
            service,
            order: evidence.order,
            content: evidence.content,
            phase: rollout.phase,
            is_halted: rollout.is_halted(),
            age: rollout.age(now),
        })
    }

    /// The deciding instance has replied to a report; `None` if it could not be reached.
    pub fn on_verdict(&mut self, now: Duration, service: &str, verdict: Option<Verdict>) {
        let Some(verdict) = verdict else { return };
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        if !rollout.order.is_meant(verdict.order, verdict.content) {
            return;
        }
        rollout.on_verdict(now, &verdict);
        if rollout.phase == Phase::Completed {
            // The record may not have been read yet when the next order is.
            let destination = rollout.order.destination.clone();
            self.rollouts.baselines.insert(service.into(), destination);
        }
        if verdict.is_halted {
            self.halt_rollout(now, service, "halted by the deciding instance".into());
        }
        self.refresh_gates(now);
    }

    /// Stops all work on the new version of a service.
    pub(super) fn halt_rollout(&mut self, now: Duration, service: &str, reason: Arc<str>) {
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        if rollout.halt(reason.clone()) {
            rollout.next_report = now;
            let service = rollout.order.service.clone();
            self.actions.push(Action::RolloutHalted { service, reason });
            self.refresh_gates(now);
        }
    }

    /// Reports counts, and decides where this instance is the deciding one.
    pub(super) fn tick_rollouts(&mut self, now: Duration) {
        let due = self.rollouts.by_service.iter().filter(|(_, it)| now >= it.next_report);
        let due: Vec<_> = due.map(|(service, _)| service.clone()).collect();
        for service in due {
            self.tick_rollout(now, &service);
        }
        let has_ended = |it: &Rollout| it.is_withdrawn && it.phase.is_final() && it.is_recorded();
        self.rollouts.by_service.retain(|_, rollout| !has_ended(rollout));
        self.refresh_gates(now);
    }

    fn tick_rollout(&mut self, now: Duration, service: &ServiceName) {
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        rollout.schedule_report(now, REPORT_INTERVAL);
        let is_open = !rollout.phase.is_final();
        if is_open {
            self.check_order(now, service);
            self.count_open_calls(now, service);
            self.test_own_replies(now, service);
        }
        match self.deciding_peer(service) {
            Some(peer) => {
                let evidence = self.evidence(now, service).filter(|_| is_open);
                let report = evidence.map(|evidence| Action::ReportEvidence { peer, evidence });
                self.actions.extend(report);
                if let Some(rollout) = self.rollouts.get_mut(service) {
                    rollout.controller = None;
                }
            }
            None if self.may_decide(now) => self.decide_rollout(now, service),
            None => {}
        }
    }

    /// Tests the replies to this instance alone, so that it stops at once if they are bad.
    pub(super) fn test_own_replies(&mut self, now: Duration, service: &str) {
        let Some(evidence) = self.evidence(now, service) else { return };
        let (name, shares) = (self.settings.name.clone(), self.instance_count() + 1);
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        rollout.own_tests.record(&name, &evidence);
        if rollout.own_tests.test(now, shares) == Outcome::Rejected {
            let reason =
                "more replies to this instance failed or were slow than of the old version";
            self.halt_rollout(now, service, reason.into());
        }
    }

    /// The version of a service in force besides one that is being rolled out.
    pub(super) fn baseline(&self, service: &str) -> Option<Version> {
        if let Some(recorded) = self.rollouts.baselines.get(service) {
            return Some(recorded.clone());
        }
        let destination = self.rollouts.get(service).map(|it| &it.order.destination);
        self.directory.first_version(service, destination).cloned()
    }

    /// Applies the versions that get work; exchanges and pieces that wait for them go on.
    pub(super) fn refresh_gates(&mut self, now: Duration) {
        let ordered = self.rollouts.by_service.keys();
        let services = ordered.chain(self.rollouts.baselines.keys()).cloned();
        let mut has_changed = false;
        for service in services.collect::<Vec<_>>() {
            let stable = self.baseline(&service);
            let gate = match self.rollouts.get(&service) {
                Some(rollout) => rollout.gate(now, stable.as_ref()),
                None => Gate { stable, ..Gate::default() },
            };
            has_changed |= self.directory.set_gate(&service, gate);
        }
        if has_changed {
            self.search(now);
            self.dispatch_all(now);
        }
    }
}
