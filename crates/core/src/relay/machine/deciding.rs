//! The instance that decides on a rollout: its rank, its decisions, and their records.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{
    model::InstanceName,
    relay::{
        machine::Relay,
        model::{Action, ServiceName},
        pool::{Pool, Track},
        rollout::{
            Phase, RolloutRecord,
            controller::{Controller, Decision, Situation},
        },
    },
};

impl Relay {
    /// Halts an order that cannot be carried out.
    pub(super) fn check_order(&mut self, now: Duration, service: &ServiceName) {
        let Some(rollout) = self.rollouts.get(service) else { return };
        let services = self.config.as_ref().map(|config| &config.services);
        let is_unknown = services.is_some_and(|known| !known.contains_key(service));
        let reason = match rollout.order.duration.is_zero() {
            true => "the duration is zero; order it with a positive `duration-s`",
            false if is_unknown => "the service is unknown; order a service of the configuration",
            false => return,
        };
        self.halt_rollout(now, service, reason.into());
    }

    /// Decides on a rollout, and writes the decision if the record does not state it.
    pub(super) fn decide_rollout(&mut self, now: Duration, service: &ServiceName) {
        let Some(evidence) = self.evidence(now, service) else { return };
        let baseline = self.baseline(service);
        let names: Vec<_> = self.peers.iter().map(|peer| peer.name.clone()).collect();
        let own = self.settings.name.clone();
        let Some(rollout) = self.rollouts.by_service.get_mut(service) else { return };
        let controller = rollout.controller.get_or_insert_with(|| Controller::new(now));
        controller.on_evidence(now, &own, &evidence);
        if !controller.is_settled(now) {
            return;
        }
        let situation = Situation {
            age: evidence.age,
            duration: rollout.order.duration,
            phase: rollout.phase,
            is_withdrawn: rollout.is_withdrawn,
            halt: rollout.halt.clone(),
            is_in_force: baseline.as_ref() == Some(&rollout.order.destination),
            outcome: controller.tally.test(now, 1),
            long_call: rollout.replies.long_call(),
            has_moved: controller.have_moved(now, names.iter().chain([&own])),
        };
        let decision = situation.decide().map(|it| self.warn_of_few_slots(now, service, it));
        if let Some((Phase::RolledBack, reason)) = &decision {
            self.halt_rollout(now, service, reason.clone());
        }
        self.write_rollout(now, service, decision);
    }

    /// Adds a warning to the reason for moving all calls if the new endpoints can take few of them.
    fn warn_of_few_slots(
        &self,
        now: Duration,
        service: &str,
        (phase, reason): Decision,
    ) -> Decision {
        let slots = |track| {
            let usable = self.directory.usable(now, Pool { track, ..Pool::of(service) });
            let known = usable.into_iter().filter_map(|key| self.directory.get(key));
            known.map(|endpoint| u64::from(endpoint.entry.slots)).sum::<u64>()
        };
        let (old, new) = (slots(Track::Stable), slots(Track::Canary));
        if phase != Phase::Shifting || new * 2 >= old {
            return (phase, reason);
        }
        let warning = "the new endpoints have less than half of the old ones' slots; start more";
        (phase, format!("{reason}, but {warning}").into())
    }

    /// Writes the record of a decision, or of the phase in force if the record does not state it.
    fn write_rollout(&mut self, now: Duration, service: &ServiceName, decision: Option<Decision>) {
        let baseline = self.baseline(service);
        let by = self.settings.name.clone();
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        let (phase, reason) = decision.unwrap_or_else(|| (rollout.phase, "in progress".into()));
        let is_written = rollout.record.as_ref().is_some_and(|record| record.phase == phase);
        let Some(controller) = rollout.controller.as_mut() else { return };
        if is_written || !controller.begin_write(now, phase) {
            return;
        }
        let order = &rollout.order;
        let destination = order.destination.clone();
        let baseline = if phase == Phase::Completed { Some(destination.clone()) } else { baseline };
        let record = RolloutRecord {
            service: service.clone(),
            phase,
            destination,
            baseline,
            duration: order.duration,
            order: order.position,
            by,
            age: rollout.age(now),
            reason,
        };
        self.actions.push(Action::WriteRollout(record));
    }

    /// Whether this instance has all that decisions are based on.
    pub(super) fn may_decide(&self, now: Duration) -> bool {
        let is_stopping = !self.is_batching && !self.peers.is_empty();
        let are_peers_known = now >= self.peers_deadline && now >= self.tables_deadline;
        self.rollouts.are_records_read && are_peers_known && !is_stopping
    }

    /// The peer that decides on the rollout of a service; `None` if this instance does.
    pub(super) fn deciding_peer(&self, service: &str) -> Option<InstanceName> {
        let seed = xxh3::xxh3_64(service.as_bytes());
        let rank = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
        let best = self.peers.iter().max_by_key(|peer| rank(&peer.name))?;
        let is_first = rank(&best.name) > rank(&self.settings.name);
        (is_first || !self.is_batching).then(|| best.name.clone())
    }
}
