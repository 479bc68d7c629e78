//! Property test: whatever orders, records, verdicts and replies arrive, and in whatever order, no
//! request is sent to a version that is neither in force nor ordered, the share on trial is kept,
//! and each exchange ends once.

use std::{collections::HashSet, sync::Arc};

use peatdeck_core::relay::{
    model::{Action, Call, Failure},
    operator::OperatorCommand,
    rollout::{Order, Phase, RolloutRecord, Verdict},
};
use proptest::prelude::*;

use super::{
    fixture::{World, arrival, head, ms},
    rollout::{order, rollout_settings, versioned, world},
};

#[derive(Debug, Clone)]
enum Step {
    Arrive(u8),
    Reply(u8, u8),
    Cut(u8),
    Wait(u16),
    /// An order for version 1, 2 or 3.
    Order(u8),
    Withdraw,
    /// The record of the order in force, or none.
    Record(Option<u8>),
    Verdict(u8, bool),
    Unwritten,
    Pause,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (1_u8..40).prop_map(Step::Arrive),
        8 => (any::<u8>(), 0_u8..10).prop_map(|(which, status)| Step::Reply(which, status)),
        1 => any::<u8>().prop_map(Step::Cut),
        6 => (1_u16..600).prop_map(Step::Wait),
        2 => (1_u8..4).prop_map(Step::Order),
        1 => Just(Step::Withdraw),
        2 => proptest::option::of(0_u8..4).prop_map(Step::Record),
        4 => (0_u8..8, proptest::bool::weighted(0.1)).prop_map(|(p, h)| Step::Verdict(p, h)),
        1 => Just(Step::Unwritten),
        1 => Just(Step::Pause),
    ]
}

fn phase(number: u8) -> Phase {
    match number {
        1 => Phase::Shifting,
        2 => Phase::Completed,
        3 => Phase::RolledBack,
        _ => Phase::Canary,
    }
}

/// What may be sent where.
struct Oracle {
    world: World,
    open: Vec<Call>,
    ended: HashSet<peatdeck_core::relay::model::ExchangeKey>,
    submitted: usize,
    baseline: Arc<str>,
    order: Option<Order>,
    phase: Phase,
    is_halted: bool,
    offset: u64,
    /// First calls since the order, and those of them on trial.
    first_calls: usize,
    canaries: usize,
}

impl Oracle {
    fn new() -> Oracle {
        let mut world = world();
        assert!(rollout_settings("own").rollout.is_some());
        world.put(versioned("e", "desk", 3));
        Oracle {
            world,
            open: Vec::new(),
            ended: HashSet::new(),
            submitted: 0,
            baseline: "v1".into(),
            order: None,
            phase: Phase::Canary,
            is_halted: false,
            offset: 0,
            first_calls: 0,
            canaries: 0,
        }
    }

    fn version_of(&self, endpoint: &str) -> Arc<str> {
        let directory = self.world.relay.directory();
        directory.get(directory.by_name(endpoint).unwrap()).unwrap().entry.version.clone()
    }

    fn may_try(&self, version: &str) -> bool {
        let is_open =
            !self.is_halted && !matches!(self.phase, Phase::Completed | Phase::RolledBack);
        self.order.as_ref().is_some_and(|order| is_open && *order.destination == *version)
    }

    fn enter(&mut self, next: Phase) {
        let is_final = matches!(self.phase, Phase::Completed | Phase::RolledBack);
        if self.order.is_none() || is_final || next == Phase::Canary {
            return;
        }
        self.phase = next;
        if let (Phase::Completed, Some(order)) = (next, &self.order) {
            self.baseline = order.destination.clone();
        }
    }

    fn record(&self, order: &Order, phase: Phase) -> RolloutRecord {
        let is_completed = phase == Phase::Completed;
        let baseline = if is_completed { &order.destination } else { &self.baseline };
        RolloutRecord {
            service: order.service.clone(),
            phase,
            destination: order.destination.clone(),
            baseline: Some(baseline.clone()),
            duration: order.duration,
            order: order.position,
            by: "peer".into(),
            age: ms(0),
            reason: "test".into(),
        }
    }

    fn run(&mut self, step: Step) {
        let now = self.world.now;
        match step {
            Step::Arrive(count) => {
                for _ in 0..count {
                    self.submitted += 1;
                    self.world.submit(arrival(&self.submitted.to_string(), "r"));
                    self.check();
                }
            }
            Step::Reply(which, status) if !self.open.is_empty() => {
                let call = self.open.remove(usize::from(which) % self.open.len());
                self.world.reply(call.key, &head(if status == 0 { 500 } else { 200 }));
            }
            Step::Cut(which) if !self.open.is_empty() => {
                let call = self.open.remove(usize::from(which) % self.open.len());
                self.world.fail(call.key, Failure::Cut);
            }
            Step::Reply(..) | Step::Cut(_) => {}
            Step::Wait(millis) => self.world.advance(ms(millis.into())),
            Step::Order(version) => self.write_order(version),
            Step::Withdraw => {
                self.is_halted = true;
                self.world.apply_command(OperatorCommand::WithdrawRollout("desk".into()));
                if matches!(self.phase, Phase::Completed | Phase::RolledBack) {
                    self.order = None;
                }
            }
            Step::Record(number) => {
                let order = self.order.clone();
                let record = order.zip(number).map(|(it, number)| self.record(&it, phase(number)));
                if let Some(record) = &record {
                    self.enter(record.phase);
                }
                self.world.relay.on_rollout_record(now, "desk", record);
            }
            Step::Verdict(number, is_halted) => self.give_verdict(phase(number), is_halted),
            Step::Unwritten => self.world.relay.on_rollout_unwritten(now, "desk"),
            Step::Pause => {
                self.world.relay.hold_for_tables(now + ms(5));
                self.world.relay.mark_tables_read(now);
            }
        }
        self.world.collect();
        self.check();
    }

    fn write_order(&mut self, version: u8) {
        self.offset += 1;
        let order = order(&format!("v{version}"), ms(6000), self.offset);
        (self.phase, self.is_halted) = (Phase::Canary, false);
        (self.first_calls, self.canaries) = (0, 0);
        self.order = Some(order.clone());
        self.world.apply_command(OperatorCommand::RollOut(order));
        self.world.relay.mark_rollouts_read(self.world.now);
    }

    fn give_verdict(&mut self, phase: Phase, is_halted: bool) {
        let Some(order) = self.order.clone() else { return };
        self.enter(phase);
        self.is_halted |= is_halted;
        let (content, service, order) = (order.content(), order.service, order.position);
        let verdict = Verdict { service, order, content, phase, is_halted, age: ms(0) };
        self.world.relay.on_verdict(self.world.now, "desk", Some(verdict));
    }

    fn check(&mut self) {
        for action in std::mem::take(&mut self.world.actions) {
            match action {
                Action::Send(call) => {
                    let version = self.version_of(&call.endpoint);
                    let is_in_force = version == self.baseline;
                    assert!(is_in_force || self.may_try(&version), "{version}");
                    self.first_calls += usize::from(call.attempt == 1);
                    self.canaries += usize::from(!is_in_force);
                    // An instance starts with half a call at most.
                    let max = 0.06 * self.first_calls as f64 + 0.5 + 1e-6;
                    assert!(self.phase != Phase::Canary || self.canaries as f64 <= max);
                    self.open.push(call);
                }
                Action::RolloutHalted { .. } => self.is_halted = true,
                Action::Cancel(call) => self.open.retain(|open| open.key != call),
                Action::Answer { exchange, .. } | Action::Refuse { exchange, .. } => {
                    assert!(self.ended.insert(exchange));
                }
                _ => {}
            }
        }
    }

    fn finish(&mut self) {
        for _ in 0..20 {
            self.run(Step::Wait(500));
        }
        assert_eq!(self.ended.len(), self.submitted);
        assert_eq!(self.world.relay.open_exchanges(), 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn only_versions_in_force_or_ordered_get_requests(
        steps in proptest::collection::vec(step(), 1..160)
    ) {
        let mut oracle = Oracle::new();
        for step in steps {
            oracle.run(step);
        }
        oracle.finish();
    }
}
