//! The simulation: instances, endpoints and the queue of events.

mod fresh;
mod reports;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::{
    admission::{self, Estimate, Share, drain::DrainRate, probe::ProbePacer},
    budget::RetryBudget,
    endpoints::{CallEnd, CallResult, Table},
    latency::Estimator,
    model::EndpointName,
    queue::{Queue, WaitingCall},
    routing::{self, Criteria},
    timing,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::model::{Choice, Fault, Outcome, Scenario, Variant};

const POOL: &str = "pool";
const INSTANCES: usize = 6;
const ENDPOINTS: usize = 12;
const SLOTS: usize = 4;
/// Standard deviation of the logarithm of service times.
const SIGMA: f64 = 0.7;
/// Deadline as a multiple of the mean service time.
const DEADLINE_FACTOR: u32 = 10;
/// Length of a trial as a multiple of the mean service time, at least `MIN_LENGTH`.
const LENGTH_FACTOR: u32 = 60;
const MIN_LENGTH: Duration = Duration::from_secs(60);
const SLOW_FACTOR: f64 = 10.0;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_LAG: Duration = Duration::from_millis(1000);
const LATE_REPORT_LAG: Duration = Duration::from_secs(5);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of calls for a request, hedges included.
const MAX_ATTEMPTS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Finish { call: usize },
    Refuse { call: usize },
    Hedge { request: usize },
    Expire { request: usize },
    Report,
    Deliver { endpoint: usize, queued: u32, running: u32 },
    Gossip,
}

struct Request {
    instance: usize,
    arrived: Duration,
    /// Service time of each attempt, in seconds.
    service: [f64; MAX_ATTEMPTS],
    calls: Vec<usize>,
    done: bool,
    /// Whether it was admitted as a probe although its estimate does not fit its deadline.
    probe: bool,
}

struct Call {
    request: usize,
    endpoint: usize,
    sent: Duration,
    service: Duration,
    started: Option<Duration>,
    has_ended: bool,
}

struct Instance {
    table: Table,
    queue: Queue<usize>,
    drain: DrainRate,
    probe: ProbePacer,
    latency: Estimator,
    budget: RetryBudget,
    peers: HashMap<EndpointName, u32>,
}

#[derive(Default)]
struct Endpoint {
    running: usize,
    waiting: VecDeque<usize>,
}

/// State of one trial.
pub struct World<'a> {
    scenario: &'a Scenario,
    variant: &'a Variant,
    now: Duration,
    seq: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    arrivals: SmallRng,
    choices: SmallRng,
    names: Vec<EndpointName>,
    instances: Vec<Instance>,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    outcome: Outcome,
}

impl<'a> World<'a> {
    /// Creates a trial at virtual time zero.
    pub fn new(scenario: &'a Scenario, variant: &'a Variant, seed: u64) -> World<'a> {
        let names: Vec<EndpointName> =
            (0..ENDPOINTS).map(|idx| Arc::from(format!("endpoint-{idx}"))).collect();
        let mut world = World {
            scenario,
            variant,
            now: Duration::ZERO,
            seq: 0,
            events: BinaryHeap::new(),
            arrivals: SmallRng::seed_from_u64(seed),
            choices: SmallRng::seed_from_u64(seed + 1_000_000),
            instances: (0..INSTANCES).map(|_| fresh::instance(variant, &names)).collect(),
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            names,
            requests: Vec::new(),
            calls: Vec::new(),
            outcome: Outcome::default(),
        };
        world.schedule(Duration::ZERO, Event::Arrive);
        world.schedule(REPORT_INTERVAL, Event::Report);
        world.schedule(GOSSIP_INTERVAL, Event::Gossip);
        world
    }

    /// Handles all events of the trial.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Finish { call } => self.finish(call),
            Event::Refuse { call } => self.end_call(call, CallResult::Failed),
            Event::Hedge { request } => self.hedge(request),
            Event::Expire { request } => self.expire(request),
            Event::Report => self.report(),
            Event::Deliver { endpoint, queued, running } => self.deliver(endpoint, queued, running),
            Event::Gossip => self.gossip(),
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + delay, self.seq, event)));
    }

    fn deadline(&self) -> Duration {
        self.scenario.mean * DEADLINE_FACTOR
    }

    fn length(&self) -> Duration {
        MIN_LENGTH.max(self.scenario.mean * LENGTH_FACTOR)
    }

    fn is_over(&self) -> bool {
        self.now > self.length()
    }

    fn arrive(&mut self) {
        if self.is_over() {
            return;
        }
        let rate =
            (ENDPOINTS * SLOTS) as f64 / self.scenario.mean.as_secs_f64() * self.scenario.load;
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / rate;
        let mean = self.scenario.mean.as_secs_f64();
        let service = std::array::from_fn(|_| fresh::lognormal(&mut self.arrivals, mean));
        let instance = self.arrivals.random_range(0..INSTANCES);
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        self.outcome.arrived += 1;
        let Some(probe) = self.admit(instance) else { return };
        let request = self.requests.len();
        let arrived = self.now;
        let calls = Vec::new();
        self.requests.push(Request { instance, arrived, service, calls, done: false, probe });
        self.instances[instance].budget.deposit();
        self.schedule(self.deadline(), Event::Expire { request });
        self.enqueue(request);
    }

    /// Decides whether to admit a request: `None` if not, else whether as a probe.
    fn admit(&mut self, instance: usize) -> Option<bool> {
        if !self.variant.admission {
            return Some(false);
        }
        let Instance { queue, drain, latency, table, probe, .. } = &self.instances[instance];
        let deadline = self.now + self.deadline();
        let ahead = queue.cost_ahead("team", deadline);
        let slots = table.pool_slots(self.now, POOL);
        let service = latency.quantile(0.5).unwrap_or_default();
        let guess = || admission::expected_wait(ahead, slots, service);
        let wait = drain.time_to_drain(self.now, ahead).unwrap_or_else(guess);
        let (work, least_work) = (timing::work(&[latency]), timing::min_work(&[latency]));
        let left = self.deadline();
        let estimate = Estimate { left, wait, work, min_work: least_work, share: Share::default() };
        let fits = admission::decide(&estimate).is_ok();
        if !fits && !probe.is_due(self.now) {
            return None;
        }
        self.instances[instance].probe.record_admission(self.now);
        Some(!fits)
    }

    fn enqueue(&mut self, request: usize) {
        let Request { instance, arrived, .. } = self.requests[request];
        let now = self.now;
        let deadline = arrived + self.deadline();
        let inst = &mut self.instances[instance];
        inst.queue.push(WaitingCall {
            key: request,
            team: Arc::from("team"),
            weight: 1,
            deadline,
            cost: 1.0,
            priority: 0.0,
        });
        inst.drain.set_waiting(now, true);
        self.dispatch(instance);
    }

    fn dispatch(&mut self, instance: usize) {
        while self.instances[instance].table.pool_free_slots(self.now, POOL) > 0 {
            let Some(request) = self.instances[instance].queue.pop(self.now) else { break };
            let inst = &mut self.instances[instance];
            inst.drain.record_dispatch(self.now, 1.0);
            inst.drain.set_waiting(self.now, !inst.queue.is_empty());
            if self.requests[request].done || !self.is_in_time(request) {
                continue;
            }
            self.call(request);
        }
    }

    /// Whether the request can still be answered before its deadline.
    fn is_in_time(&self, request: usize) -> bool {
        let Request { instance, arrived, probe, .. } = self.requests[request];
        let left = (arrived + self.deadline()).saturating_sub(self.now);
        let latency = &self.instances[instance].latency;
        !self.variant.admission || probe || timing::stage_time(left, latency, &[]).is_some()
    }

    fn call(&mut self, request: usize) -> bool {
        let instance = self.requests[request].instance;
        let Some(name) = self.choose(request) else { return false };
        let endpoint = self.names.iter().position(|other| *other == name).expect("a known name");
        let attempt = self.requests[request].calls.len();
        let slow = self.scenario.fault == Fault::Straggler && self.is_faulty(endpoint, 1);
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        let service = Duration::from_secs_f64(self.requests[request].service[attempt] * factor);
        let call = self.calls.len();
        let sent = self.now;
        self.calls.push(Call { request, endpoint, sent, service, started: None, has_ended: false });
        self.requests[request].calls.push(call);
        self.instances[instance].table.call_started(self.now, &name);
        self.plan_hedge(request);
        if self.scenario.fault == Fault::Killed && self.is_faulty(endpoint, 2) {
            self.schedule(Duration::from_millis(1), Event::Refuse { call });
            return true;
        }
        self.endpoints[endpoint].waiting.push_back(call);
        self.start_waiting(endpoint);
        true
    }

    fn plan_hedge(&mut self, request: usize) {
        let Request { instance, arrived, ref calls, .. } = self.requests[request];
        if !self.variant.hedges || calls.len() >= MAX_ATTEMPTS {
            return;
        }
        let left = (arrived + self.deadline()).saturating_sub(self.now);
        if let Some(delay) = timing::hedge_delay(&self.instances[instance].latency, left) {
            self.schedule(delay, Event::Hedge { request });
        }
    }

    fn is_faulty(&self, endpoint: usize, count: usize) -> bool {
        self.now >= self.length() / 3 && endpoint < count
    }

    fn choose(&mut self, request: usize) -> Option<EndpointName> {
        let calls = self.requests[request].calls.iter();
        let tried: Vec<EndpointName> =
            calls.map(|call| self.names[self.calls[*call].endpoint].clone()).collect();
        let inst = &self.instances[self.requests[request].instance];
        if self.variant.choice == Choice::Random {
            let free = inst.table.pool(POOL).filter(|endpoint| endpoint.free(self.now) > 0);
            let names: Vec<&EndpointName> = free.map(|endpoint| &endpoint.name).collect();
            return names.choose(&mut self.choices).map(|name| (*name).clone());
        }
        let peers = |name: &str| inst.peers.get(name).copied().unwrap_or(0);
        let criteria =
            Criteria { pool: POOL, prefix: None, exclude: &tried, software: None, peers: &peers };
        routing::choose(&inst.table, self.now, &criteria, &mut self.choices)
    }

    fn start_waiting(&mut self, endpoint: usize) {
        while self.endpoints[endpoint].running < SLOTS {
            let Some(call) = self.endpoints[endpoint].waiting.pop_front() else { return };
            if self.calls[call].has_ended {
                continue;
            }
            self.endpoints[endpoint].running += 1;
            self.calls[call].started = Some(self.now);
            self.schedule(self.calls[call].service, Event::Finish { call });
        }
    }

    fn finish(&mut self, call: usize) {
        if self.calls[call].has_ended {
            return;
        }
        let Call { request, sent, service, .. } = self.calls[call];
        self.outcome.useful += service;
        let Request { instance, arrived, .. } = self.requests[request];
        self.instances[instance].latency.record(self.now, self.now - sent);
        self.outcome.times.push(self.now - arrived);
        self.requests[request].done = true;
        self.end_call(call, CallResult::Ok);
        self.cancel_all(request);
    }

    /// Ends a call and frees its slot; a failed call is retried.
    fn end_call(&mut self, call: usize, result: CallResult) {
        if std::mem::replace(&mut self.calls[call].has_ended, true) {
            return;
        }
        let Call { request, endpoint, sent, started, .. } = self.calls[call];
        let instance = self.requests[request].instance;
        let end = CallEnd { took: self.now - sent, result, tokens: None };
        self.instances[instance].table.call_ended(self.now, &self.names[endpoint], end);
        if let Some(started) = started {
            self.outcome.work += self.now - started;
            self.endpoints[endpoint].running -= 1;
            self.start_waiting(endpoint);
        }
        if result == CallResult::Failed {
            self.retry(request);
        }
        self.dispatch(instance);
    }

    fn cancel_all(&mut self, request: usize) {
        for call in self.requests[request].calls.clone() {
            self.end_call(call, CallResult::Cancelled);
        }
    }

    fn hedge(&mut self, request: usize) {
        let calls = &self.requests[request].calls;
        let is_running = calls.iter().any(|call| !self.calls[*call].has_ended);
        if is_running {
            self.retry(request);
        }
    }

    fn retry(&mut self, request: usize) {
        let Request { instance, ref calls, done, .. } = self.requests[request];
        if done || calls.len() >= MAX_ATTEMPTS {
            return;
        }
        if self.instances[instance].budget.try_withdraw() {
            self.call(request);
        }
    }

    fn expire(&mut self, request: usize) {
        if std::mem::replace(&mut self.requests[request].done, true) {
            return;
        }
        let inst = &mut self.instances[self.requests[request].instance];
        inst.queue.remove(request);
        inst.drain.set_waiting(self.now, !inst.queue.is_empty());

        self.cancel_all(request);
    }
}
