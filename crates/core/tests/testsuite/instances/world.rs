//! Instances, their platform and their endpoints in virtual time.

mod document;
mod steps;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::{
    instance::{
        Instance,
        action::Call,
        input::{CallEvent, Identity, Input, PeerOutcome},
        settings::Settings,
    },
    model::{
        AppendId, CallId, CallerId, Incarnation, Listing, Outcome, Presence, Request, RequestId,
    },
    record::{ClaimBatch, ConfigRecord, Publish},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::document::document;
use super::{
    endpoints::{Endpoint, Fault},
    log::Log,
    oracle::{Life, Oracle, Submitted},
};

/// Entry instances.
const NODES: usize = 4;
/// Time between two reads of a stream, or of the list, by one instance.
const POLL: Duration = Duration::from_millis(60);
/// Time between two updates of the list.
const LIST_LAG: Duration = Duration::from_millis(1500);
/// Time after which a leaving endpoint gets nothing from a sound instance.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time after which an append without an answer counts as failed.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Events at one time beyond which an instance must be spinning.
const MAX_MOMENT: u32 = 10_000;
/// Time after which a started instance knows a configuration, if any
/// instance that it sees does, whatever the log does.
const INFORM_BOUND: Duration = Duration::from_secs(8);
/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Whether it must run at most once.
    pub single: bool,
    /// Which of a few ids it has, if single; others get fresh ones.
    pub key: u32,
    /// How long the caller waits.
    pub deadline: Duration,
}

/// What is to happen.
enum Event {
    Deliver(Life, Input),
    Wake(Life),
    PollConfig(Life),
    PollClaims(Life),
    PollList(Life),
    LandConfig { life: Life, append: AppendId, record: ConfigRecord },
    LandClaims { life: Life, append: AppendId, batch: ClaimBatch },
    CallArrives { life: Life, call: Call },
    Reply { life: Life, call: CallId, event: CallEvent },
    Told { question: u64, answer: PeerOutcome },
    RefreshList,
}

struct Node {
    life: u64,
    machine: Option<Instance>,
    born: Duration,
    frozen: Option<Duration>,
    thawed: Duration,
    inbox: VecDeque<Input>,
    wake: Option<Duration>,
}

/// Everything.
pub struct World {
    now: Duration,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: HashMap<u64, Event>,
    last: u64,
    /// Whether messages are never late.
    is_calm: bool,
    /// Events at this very time so far.
    moment: u32,
    nodes: Vec<Node>,
    listing: Listing,
    cuts: HashSet<(usize, usize)>,
    /// Since when all instances see each other.
    healed: Duration,
    questions: HashMap<u64, (Life, RequestId, usize)>,
    oracle: Oracle,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The log.
    pub log: Log,
}

impl World {
    /// Instances that have learnt of a first configuration.
    pub fn new(seed: u64) -> World {
        let pools = ["encode", "generate", "ledger"];
        let each = pools.iter().flat_map(|pool| [1, 2].map(|n| Endpoint::new(pool, n)));
        let mut world = World {
            now: Duration::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            last: 0,
            is_calm: false,
            moment: 0,
            nodes: Vec::new(),
            listing: Listing::default(),
            cuts: HashSet::new(),
            healed: Duration::ZERO,
            questions: HashMap::new(),
            oracle: Oracle::default(),
            endpoints: each.collect(),
            log: Log::new(),
        };
        world.publish(0);
        let node = || Node {
            life: 0,
            machine: None,
            born: Duration::ZERO,
            frozen: None,
            thawed: Duration::ZERO,
            inbox: VecDeque::new(),
            wake: None,
        };
        world.nodes.extend((0..NODES).map(|_| node()));
        world.refresh_list();
        (0..NODES).for_each(|node| world.start(node));
        world.advance(Duration::from_secs(3));
        world
    }

    /// Lets time pass.
    pub fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while let Some(Reverse((at, seq))) = self.events.peek().copied().filter(|e| e.0.0 <= end) {
            self.events.pop();
            self.moment = if at <= self.now { self.moment + 1 } else { 0 };
            assert!(self.moment < MAX_MOMENT, "an instance asks to be woken again and again");
            self.now = self.now.max(at);
            let event = self.bodies.remove(&seq).expect("every event has a body");
            self.happen(event);
        }
        self.now = end;
        self.oracle.check_due(end);
        self.check_informed();
    }

    /// A caller sends a request.
    pub fn submit(&mut self, node: usize, ask: Ask) {
        if self.nodes[node].machine.is_none() {
            return;
        }
        let life = self.life(node);
        self.last += 1;
        let caller = CallerId(self.last);
        let id =
            if ask.single { format!("single-{}", ask.key) } else { format!("draft-{caller:?}") };
        let input = format!("input of {id}");
        let repeat = self.oracle.submitted.values().any(|earlier| earlier.id == id);
        let request = Request {
            id: RequestId { team: "team".into(), id: id.as_str().into() },
            pipeline: if ask.single { "ticket" } else { "draft" }.into(),
            deadline: ask.deadline,
            idempotent: !ask.single,
            repeat,
            stream: !ask.single,
            input: input.as_str().into(),
        };
        let submitted = Submitted {
            life,
            id,
            input,
            due: self.now + ask.deadline,
            ask,
            repeat,
            streamed: String::new(),
            outcome: None,
            ran: false,
            excused: self.nodes[node].frozen.is_some(),
        };
        self.oracle.submitted.insert(caller, submitted);
        self.happen(Event::Deliver(life, Input::Submit { caller, request }));
    }

    /// A process dies.
    pub fn kill(&mut self, node: usize) {
        self.oracle.excuse(self.life(node));
        self.nodes[node].machine = None;
        self.nodes[node].inbox.clear();
    }

    /// A process starts, where none runs.
    pub fn start(&mut self, node: usize) {
        if self.nodes[node].machine.is_some() {
            return;
        }
        let seed = self.rng.random();
        let life = self.nodes[node].life + 1;
        let identity = Identity {
            name: name(node),
            incarnation: Incarnation(life),
            data_centre: "north".into(),
        };
        self.nodes[node] = Node {
            life,
            machine: Some(Instance::new(identity, Settings::default(), seed)),
            born: self.now,
            frozen: None,
            thawed: self.now,
            inbox: VecDeque::new(),
            wake: None,
        };
        let life = self.life(node);
        self.after(0, Event::PollConfig(life));
        self.after(1, Event::PollClaims(life));
        self.after(2, Event::PollList(life));
        self.feed(life, Input::Tick);
    }

    /// A process is paused.
    pub fn freeze(&mut self, node: usize) {
        if self.nodes[node].machine.is_some() {
            self.nodes[node].frozen.get_or_insert(self.now);
            self.oracle.excuse(self.life(node));
        }
    }

    /// A paused process goes on: all that came meanwhile comes at once.
    pub fn thaw(&mut self, node: usize) {
        if self.nodes[node].frozen.take().is_none() {
            return;
        }
        self.nodes[node].thawed = self.now;
        let life = self.life(node);
        while let Some(input) = self.nodes[node].inbox.pop_front() {
            self.feed(life, input);
        }
        self.feed(life, Input::Tick);
    }

    /// A process is told to stop.
    pub fn stop(&mut self, node: usize) {
        self.after(0, Event::Deliver(self.life(node), Input::Stop));
    }

    /// Drops half of a stream's records that are older than the horizon allows.
    pub fn expire(&mut self, config: bool) {
        // Only the configuration may lose records that are young: claims
        // promise no more than the stated retention.
        let before = self.now.saturating_sub(Duration::from_secs(8)).as_millis() as u64;
        if config {
            self.log.config.expire(before);
        }
    }

    /// Two instances lose sight of each other.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.healed = Duration::MAX;
        self.cuts.extend([(a, b), (b, a)]);
    }

    /// All instances see each other again.
    pub fn heal(&mut self) {
        if self.healed == Duration::MAX {
            self.healed = self.now;
        }
        self.cuts.clear();
    }

    /// An operator publishes on the version that is `behind` the newest.
    pub fn publish(&mut self, behind: u64) {
        if self.log.is_out {
            return;
        }
        let newest = self.log.chain().len() as u64;
        self.last += 1;
        let publish = Publish {
            id: format!("publish-{}", self.last).into(),
            base: newest.saturating_sub(behind),
            author: "operator".into(),
            document: Arc::new(document(self.last)),
        };
        self.log.config.append(millis(self.now), ConfigRecord::Publish(publish));
    }

    /// An endpoint is going away.
    pub fn leave(&mut self, endpoint: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.leaving.get_or_insert(now);
        endpoint.entry.presence = Presence::Leaving;
    }

    /// An endpoint comes back, restarted.
    pub fn bring_back(&mut self, endpoint: usize) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.leaving = None;
        endpoint.entry.presence = Presence::Live;
        endpoint.entry.incarnation.0 += 1;
    }

    /// Everything works again.
    pub fn mend(&mut self) {
        self.is_calm = true;
        self.log.is_out = false;
        self.log.lose_answers = 0;
        self.heal();
        for endpoint in 0..self.endpoints.len() {
            self.endpoints[endpoint].fault = Fault::None;
            if self.endpoints[endpoint].leaving.is_some() {
                self.bring_back(endpoint);
            }
        }
        (0..NODES).for_each(|node| self.thaw(node));
    }

    /// Nothing is owed, all agree, and requests are answered.
    pub fn check_rest(&mut self) {
        (0..NODES).for_each(|node| self.start(node));
        self.advance(Duration::from_secs(10));
        let chain = self.log.chain();
        for node in 0..NODES {
            let Some(machine) = &self.nodes[node].machine else { continue };
            let version = machine.status().version;
            assert_eq!(version, chain.len() as u64, "{} is behind", name(node));
            assert_eq!(
                machine.unready_reasons(),
                Vec::<Arc<str>>::new(),
                "{} is not ready",
                name(node)
            );
        }
        let before = self.last;
        for (node, single) in (0..NODES).flat_map(|node| [(node, false), (node, true)]) {
            let key = 1000 + u32::try_from(node).unwrap();
            self.submit(node, Ask { single, key, deadline: Duration::from_secs(5) });
        }
        self.advance(Duration::from_secs(6));
        for (caller, request) in &self.oracle.submitted {
            let fresh = caller.0 > before;
            let answered = matches!(request.outcome, Some(Outcome::Answered(_)));
            assert!(!fresh || answered, "at rest, {request:?} is not answered");
        }
    }

    fn life(&self, node: usize) -> Life {
        (node, self.nodes[node].life)
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.last += 1;
        self.events.push(Reverse((at, self.last)));
        self.bodies.insert(self.last, event);
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.at(self.now + Duration::from_millis(ms), event);
    }

    /// A delay in milliseconds: usually short, sometimes long.
    fn delay(&mut self) -> u64 {
        if !self.is_calm && self.rng.random_bool(0.03) {
            return self.rng.random_range(300..3000);
        }
        self.rng.random_range(1..8)
    }
}

fn name(node: usize) -> Arc<str> {
    format!("entry-{node}").into()
}

fn number(name: &str) -> usize {
    name.trim_start_matches("entry-").parse().unwrap()
}

fn millis(at: Duration) -> u64 {
    // The log's own clock: far from zero, so that its horizon has a past.
    let epoch = RETENTION * 2;
    (epoch + at).as_millis() as u64
}
