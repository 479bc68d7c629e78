//! Instances of one deployment in virtual time, with two versions of a service and a store.

use std::{collections::BTreeMap, ops::Range, sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        Relay,
        config::RequestKind,
        directory::{Change, Entry},
        model::{Action, Arrival, CallKey, Peer},
        operator::OperatorCommand,
        rollout::{Evidence, Phase, RolloutRecord, Verdict},
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::relay::{
    fixture::{ConfigBuilder, World, arrival, entry, head, ms, route},
    rollout::{
        faults::{Conditions, Fault},
        order, rollout_settings,
    },
};

/// When the order is written.
pub const ORDERED_AT: Duration = Duration::from_secs(2);
/// How long the rollout may take.
pub const DURATION: Duration = Duration::from_secs(12);
/// Endpoints of each version.
const ENDPOINTS: usize = 40;
/// How long a run goes on after the version was rolled back.
const AFTERMATH: Duration = Duration::from_millis(1500);
/// Time after which instances find that another one has ended.
const LIVENESS: Duration = Duration::from_millis(1500);
/// Messages between instances, and to the store, take this long.
const MESSAGE: Duration = Duration::from_millis(3);

enum Event {
    Arrive,
    Order,
    Register,
    Wake(usize),
    Reply {
        instance: usize,
        call: CallKey,
        endpoint: usize,
        status: u16,
    },
    Evidence {
        to: usize,
        from: usize,
        evidence: Evidence,
    },
    Verdict {
        to: usize,
        verdict: Option<Verdict>,
    },
    Write {
        from: usize,
        seen: u64,
        record: RolloutRecord,
    },
    Unwritten(usize),
    Read {
        to: usize,
        revision: u64,
    },
    /// The instance that wrote the last record ends.
    Kill,
    /// The others find that it has ended.
    Bury,
}

/// What a run showed.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Requests that reached the service from the order to its deadline or end.
    pub requests: u64,
    /// Those of them that reached the new version before it was completed.
    pub exposed: u64,
    /// The times of bad replies of the new version.
    pub bad_replies: Vec<Duration>,
    /// When the last request was sent to the new version.
    pub last_exposed: Duration,
    /// When calls began to move, after the order.
    pub shifted: Option<Duration>,
    /// The final phase, and when it was written, after the order.
    pub end: Option<(Phase, Duration)>,
    /// Why.
    pub reason: Option<Arc<str>>,
    /// Calls that ran on the old version when the new one was completed.
    pub lost: u32,
}

/// The deployment.
pub struct Fleet {
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    relays: Vec<Relay>,
    names: Vec<Arc<str>>,
    wakes: Vec<Duration>,
    /// The revision of the table that each instance has read.
    seen: Vec<u64>,
    revision: u64,
    record: Option<RolloutRecord>,
    in_flight: Vec<u32>,
    rng: SmallRng,
    fault: Fault,
    interval: Duration,
    outcome: Outcome,
    requests: u64,
    dead: Option<usize>,
    /// When the store is unreachable.
    outage: Range<Duration>,
}

impl Fleet {
    /// Instances that share `rate` requests a second.
    pub fn new(instances: usize, rate: u32, fault: Fault) -> Fleet {
        let names: Vec<Arc<str>> = (0..instances).map(|idx| format!("i{idx}").into()).collect();
        let config = ConfigBuilder::new(1).service("desk");
        let config = config.route(route("a", RequestKind::Idempotent, "desk"));
        let config = config.route(route("b", RequestKind::Idempotent, "desk")).build();
        let relay = |idx: usize| {
            let settings = rollout_settings(&names[idx]);
            let mut relay = World::seeded(config.clone(), settings, idx as u64).relay;
            relay.set_peers(Duration::ZERO, peers_of(&names, &names[idx], None), instances);
            for endpoint in 0..ENDPOINTS {
                relay.apply_change(Duration::ZERO, Change::Put(entry_of(endpoint)));
            }
            relay
        };
        let relays: Vec<_> = (0..instances).map(relay).collect();
        let mut fleet = Fleet {
            now: Duration::ZERO,
            events: BTreeMap::new(),
            count: 0,
            relays,
            names,
            wakes: vec![Duration::MAX; instances],
            seen: vec![0; instances],
            revision: 0,
            record: None,
            in_flight: vec![0; 2 * ENDPOINTS],
            rng: SmallRng::seed_from_u64(11),
            fault,
            interval: Duration::from_secs(1) / rate,
            outcome: Outcome::default(),
            requests: 0,
            dead: None,
            outage: Duration::ZERO..Duration::ZERO,
        };
        fleet.schedule(Duration::ZERO, Event::Arrive);
        fleet.schedule(ORDERED_AT, Event::Order);
        fleet.schedule(ORDERED_AT + ms(300), Event::Register);
        fleet
    }

    /// The deciding instance ends some time after the order.
    pub fn kill_deciding(mut self, after: Duration) -> Fleet {
        self.schedule(ORDERED_AT + after, Event::Kill);
        self.schedule(ORDERED_AT + after + LIVENESS, Event::Bury);
        self
    }

    /// The store is unreachable for all instances until some time after the order.
    pub fn with_outage(mut self, until: Duration) -> Fleet {
        self.outage = ORDERED_AT + ms(100)..ORDERED_AT + until;
        self
    }

    /// Runs until some time after the deadline, or after the version was rolled back.
    pub fn run(mut self) -> Outcome {
        let mut end = ORDERED_AT + DURATION + ms(500);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
            if let Some((Phase::RolledBack, at)) = self.outcome.end {
                end = ORDERED_AT + at + AFTERMATH;
            }
        }
        self.outcome
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let is_dead = |idx: usize| self.dead == Some(idx);
        match event {
            Event::Evidence { to, from, .. } if is_dead(to) => {
                self.schedule(MESSAGE, Event::Verdict { to: from, verdict: None });
            }
            Event::Wake(idx) | Event::Unwritten(idx) if is_dead(idx) => {}
            Event::Reply { instance, endpoint, .. } if is_dead(instance) => {
                self.in_flight[endpoint] -= 1;
            }
            Event::Verdict { to, .. } | Event::Read { to, .. } if is_dead(to) => {}
            Event::Kill => {
                let by = self.record.as_ref().map(|record| record.by.clone()).unwrap();
                self.dead = self.names.iter().position(|name| *name == by);
            }
            Event::Bury => self.bury(),
            Event::Write { from, .. } if self.outage.contains(&now) => {
                self.schedule(MESSAGE, Event::Unwritten(from));
            }
            Event::Arrive => self.arrive(),
            Event::Order => self.for_all(|relay| {
                let order = OperatorCommand::RollOut(order("v2", DURATION, 1));
                relay.apply_operator_changes(now, vec![order]);
                relay.mark_rollouts_read(now);
            }),
            Event::Register => self.for_all(|relay| {
                for endpoint in ENDPOINTS..2 * ENDPOINTS {
                    relay.apply_change(now, Change::Put(entry_of(endpoint)));
                }
            }),
            Event::Wake(idx) if self.wakes[idx] == now => {
                self.wakes[idx] = Duration::MAX;
                self.relays[idx].tick(now);
                self.carry_out(idx);
            }
            Event::Wake(_) => {}
            Event::Reply { instance, call, endpoint, status } => {
                self.in_flight[endpoint] -= 1;
                if endpoint >= ENDPOINTS && status == 500 {
                    self.outcome.bad_replies.push(now - ORDERED_AT);
                }
                let head = head(status);
                self.relays[instance].on_reply_head(now, call, &head);
                self.relays[instance].on_reply(now, call, &head);
                self.carry_out(instance);
            }
            Event::Evidence { to, from, evidence } => {
                let verdict = self.relays[to].on_evidence(now, &self.names[from], evidence);
                self.schedule(MESSAGE, Event::Verdict { to: from, verdict });
                self.carry_out(to);
            }
            Event::Verdict { to, verdict } => {
                self.relays[to].on_verdict(now, "desk", verdict);
                self.carry_out(to);
            }
            Event::Write { from, seen, record } if seen == self.revision => {
                self.write(record);
                self.schedule(MESSAGE, Event::Read { to: from, revision: self.revision });
            }
            Event::Write { from, .. } => self.schedule(MESSAGE, Event::Unwritten(from)),
            Event::Unwritten(idx) => {
                self.relays[idx].on_rollout_unwritten(now, "desk");
                self.schedule(MESSAGE, Event::Read { to: idx, revision: self.revision });
                self.carry_out(idx);
            }
            Event::Read { to, revision } => {
                self.seen[to] = self.seen[to].max(revision);
                self.relays[to].on_rollout_record(now, "desk", self.record.clone());
                self.carry_out(to);
            }
        }
    }

    fn for_all(&mut self, act: impl Fn(&mut Relay)) {
        for idx in 0..self.relays.len() {
            act(&mut self.relays[idx]);
            self.carry_out(idx);
        }
    }

    /// Appends a record. All instances read it within half a second.
    fn write(&mut self, record: RolloutRecord) {
        self.revision += 1;
        let after = self.now - ORDERED_AT;
        match record.phase {
            Phase::Shifting => self.outcome.shifted = Some(after),
            Phase::Completed => {
                self.outcome.lost = self.in_flight[..ENDPOINTS].iter().sum();
                self.outcome.end = Some((record.phase, after));
            }
            Phase::RolledBack => self.outcome.end = Some((record.phase, after)),
            Phase::Canary => {}
        }
        self.outcome.reason = Some(record.reason.clone());
        self.record = Some(record);
        for idx in 0..self.relays.len() {
            let delay = ms(self.rng.random_range(20..500));
            self.schedule(delay, Event::Read { to: idx, revision: self.revision });
        }
    }

    fn bury(&mut self) {
        let dead = self.dead.map(|idx| self.names[idx].clone());
        for (relay, own) in self.relays.iter_mut().zip(&self.names) {
            let peers = peers_of(&self.names, own, dead.as_ref());
            relay.set_peers(self.now, peers, self.names.len());
        }
    }

    fn arrive(&mut self) {
        self.schedule(self.interval, Event::Arrive);
        let instance = self.rng.random_range(0..self.relays.len());
        if self.dead == Some(instance) {
            return;
        }
        let name = if self.rng.random_bool(0.2) { "b" } else { "a" };
        self.requests += 1;
        let arrival = Arrival { piece_key: None, ..arrival(&self.requests.to_string(), name) };
        self.relays[instance].on_request(self.now, arrival).unwrap();
        self.carry_out(instance);
    }

    fn carry_out(&mut self, from: usize) {
        for action in self.relays[from].take_actions() {
            match action {
                Action::Send(call) => {
                    let route = self.relays[from].describe(call.exchange).unwrap().route;
                    let endpoint: usize = call.endpoint[1..].parse().unwrap();
                    self.send(from, call.key, endpoint, &route);
                }
                Action::ReportEvidence { peer, evidence } => {
                    let to = peer[1..].parse().unwrap();
                    self.schedule(MESSAGE, Event::Evidence { to, from, evidence });
                }
                Action::WriteRollout(record) => {
                    let seen = self.seen[from];
                    self.schedule(MESSAGE, Event::Write { from, seen, record });
                }
                _ => {}
            }
        }
        let wake = self.relays[from].next_wake(self.now).max(self.now + ms(1));
        if wake < self.wakes[from] {
            self.wakes[from] = wake;
            self.events.insert((wake, self.count), Event::Wake(from));
            self.count += 1;
        }
    }

    fn send(&mut self, instance: usize, call: CallKey, endpoint: usize, route: &str) {
        let is_new = endpoint >= ENDPOINTS;
        let is_open = self.now >= ORDERED_AT && self.now < ORDERED_AT + DURATION;
        self.outcome.requests += u64::from(is_open);
        if is_new {
            self.outcome.exposed += u64::from(is_open);
            self.outcome.last_exposed = self.now - ORDERED_AT;
        }
        let conditions = Conditions {
            age: self.now.saturating_sub(ORDERED_AT),
            is_busy: self.in_flight[endpoint] > 0,
            route,
            has_shifted: self.outcome.shifted.is_some(),
        };
        self.in_flight[endpoint] += 1;
        let fault = if is_new { self.fault } else { Fault::None };
        let (status, took) = fault.reply(&mut self.rng, &conditions);
        if fault == Fault::Slow {
            self.outcome.bad_replies.push(self.now + took - ORDERED_AT);
        }
        self.schedule(took, Event::Reply { instance, call, endpoint, status });
    }
}

/// The peers of an instance but for one that has ended.
fn peers_of(names: &[Arc<str>], own: &Arc<str>, dead: Option<&Arc<str>>) -> Vec<Peer> {
    let others = names.iter().filter(|name| *name != own && Some(*name) != dead);
    let peer =
        |name: &Arc<str>| Peer { name: name.clone(), millicores: 250, data_centre: "east".into() };
    others.map(peer).collect()
}

/// Endpoints from [`ENDPOINTS`] on are of the new version.
fn entry_of(idx: usize) -> Entry {
    let is_new = idx >= ENDPOINTS;
    Entry {
        incarnation: Incarnation(if is_new { 2 } else { 1 }),
        version: if is_new { "v2" } else { "v1" }.into(),
        slots: 16,
        ..entry(&format!("e{idx}"), "desk")
    }
}
