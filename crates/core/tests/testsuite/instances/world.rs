//! Instances, their log and listing, and their endpoints in virtual time.

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
    oracle::{Oracle, Process, Submitted},
};

/// Number of nodes, each of which runs at most one process of an instance.
const NODES: usize = 4;
/// Time between two reads of a stream by a process; it reads the listing every fifth time.
const POLL: Duration = Duration::from_millis(60);
/// Time between two updates of the listing.
const LISTING_INTERVAL: Duration = Duration::from_millis(1500);
/// Time after which a leaving endpoint receives no calls from a process that is not paused.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time after which an append without an acknowledgement counts as failed.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of events at one time above which an instance must be in an endless loop.
const MAX_SIMULTANEOUS: u32 = 10_000;
/// Time after which a process has a configuration if any process that it can reach has one,
/// whatever the state of the log.
const CONFIG_BOUND: Duration = Duration::from_secs(8);
/// How long the log retains records.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// What a caller requests.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Whether the request runs at most once.
    pub runs_once: bool,
    /// Which of a few ids it has, if it runs at most once; other requests get new ids.
    pub key: u32,
    /// How long the caller waits for the outcome.
    pub deadline: Duration,
}

/// A scheduled event.
enum Event {
    Deliver(Process, Input),
    Wake(Process),
    PollConfig(Process),
    PollClaims(Process),
    PollListing(Process),
    AppendConfig { process: Process, append: AppendId, record: ConfigRecord },
    AppendClaims { process: Process, append: AppendId, batch: ClaimBatch },
    DeliverCall { process: Process, call: Call },
    Reply { process: Process, call: CallId, event: CallEvent },
    OutcomeReply { query: u64, answer: PeerOutcome },
    RefreshListing,
}

struct Node {
    incarnation: u64,
    instance: Option<Instance>,
    started_at: Duration,
    paused_at: Option<Duration>,
    resumed_at: Duration,
    /// Inputs that arrived during a pause.
    inbox: VecDeque<Input>,
    wake_at: Option<Duration>,
}

/// All instances, endpoints and the log.
pub struct World {
    now: Duration,
    rng: SmallRng,
    /// Times and ids of the scheduled events, which `event_bodies` contains by id.
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    event_bodies: HashMap<u64, Event>,
    /// The last id of an event, caller, query, publish or document.
    last_id: u64,
    /// Whether no message has a long delay.
    has_short_delays: bool,
    /// Number of events so far at the current time.
    simultaneous_events: u32,
    nodes: Vec<Node>,
    listing: Listing,
    /// Pairs of nodes that can't reach each other.
    disconnected: HashSet<(usize, usize)>,
    /// Since when all instances can reach each other; the maximum while some can't.
    healed_at: Duration,
    /// By id: the process that queries, the request, and the node that was queried.
    outcome_queries: HashMap<u64, (Process, RequestId, usize)>,
    oracle: Oracle,
    /// The fake endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The fake log.
    pub log: Log,
}

impl World {
    /// Instances that have a first configuration in force.
    pub fn new(seed: u64) -> World {
        let pools = ["encode", "generate", "ledger"];
        let each = pools.iter().flat_map(|pool| [1, 2].map(|n| Endpoint::new(pool, n)));
        let mut world = World {
            now: Duration::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            event_bodies: HashMap::new(),
            last_id: 0,
            has_short_delays: false,
            simultaneous_events: 0,
            nodes: Vec::new(),
            listing: Listing::default(),
            disconnected: HashSet::new(),
            healed_at: Duration::ZERO,
            outcome_queries: HashMap::new(),
            oracle: Oracle::default(),
            endpoints: each.collect(),
            log: Log::new(),
        };
        world.publish(0);
        let node = || Node {
            incarnation: 0,
            instance: None,
            started_at: Duration::ZERO,
            paused_at: None,
            resumed_at: Duration::ZERO,
            inbox: VecDeque::new(),
            wake_at: None,
        };
        world.nodes.extend((0..NODES).map(|_| node()));
        world.refresh_listing();
        (0..NODES).for_each(|node| world.start(node));
        world.advance(Duration::from_secs(3));
        world
    }

    /// Advances the clock, and handles the events that become due.
    pub fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while let Some(Reverse((at, id))) = self.events.peek().copied().filter(|e| e.0.0 <= end) {
            self.events.pop();
            self.simultaneous_events =
                if at <= self.now { self.simultaneous_events + 1 } else { 0 };
            assert!(
                self.simultaneous_events < MAX_SIMULTANEOUS,
                "an instance requests a wake again and again"
            );
            self.now = self.now.max(at);
            let event = self.event_bodies.remove(&id).expect("every scheduled event is stored");
            self.handle_event(event);
        }
        self.now = end;
        self.oracle.check_deadlines(end);
        self.check_configured();
    }

    /// A caller sends a request.
    pub fn submit(&mut self, node: usize, spec: RequestSpec) {
        if self.nodes[node].instance.is_none() {
            return;
        }
        let process = self.process(node);
        self.last_id += 1;
        let caller = CallerId(self.last_id);
        let id = if spec.runs_once {
            format!("single-{}", spec.key)
        } else {
            format!("draft-{caller:?}")
        };
        let input = format!("input of {id}");
        let is_repeat = self.oracle.submitted.values().any(|earlier| earlier.id == id);
        let request = Request {
            id: RequestId { team: "team".into(), id: id.as_str().into() },
            pipeline: if spec.runs_once { "ticket" } else { "draft" }.into(),
            deadline: spec.deadline,
            idempotent: !spec.runs_once,
            repeat: is_repeat,
            stream: !spec.runs_once,
            input: input.as_str().into(),
        };
        let submitted = Submitted {
            process,
            id,
            input,
            deadline: self.now + spec.deadline,
            spec,
            is_repeat,
            streamed: String::new(),
            outcome: None,
            has_run: false,
            is_exempt: self.nodes[node].paused_at.is_some(),
        };
        self.oracle.submitted.insert(caller, submitted);
        self.handle_event(Event::Deliver(process, Input::Submit { caller, request }));
    }

    /// A process crashes.
    pub fn crash(&mut self, node: usize) {
        self.oracle.exempt(self.process(node));
        self.nodes[node].instance = None;
        self.nodes[node].inbox.clear();
    }

    /// Starts a process unless the node runs one.
    pub fn start(&mut self, node: usize) {
        if self.nodes[node].instance.is_some() {
            return;
        }
        let seed = self.rng.random();
        let incarnation = self.nodes[node].incarnation + 1;
        let identity = Identity {
            name: name(node),
            incarnation: Incarnation(incarnation),
            data_centre: "north".into(),
        };
        self.nodes[node] = Node {
            incarnation,
            instance: Some(Instance::new(identity, Settings::default(), seed)),
            started_at: self.now,
            paused_at: None,
            resumed_at: self.now,
            inbox: VecDeque::new(),
            wake_at: None,
        };
        let process = self.process(node);
        self.schedule_in(0, Event::PollConfig(process));
        self.schedule_in(1, Event::PollClaims(process));
        self.schedule_in(2, Event::PollListing(process));
        self.handle_input(process, Input::Tick);
    }

    /// Pauses a process.
    pub fn pause(&mut self, node: usize) {
        if self.nodes[node].instance.is_some() {
            self.nodes[node].paused_at.get_or_insert(self.now);
            self.oracle.exempt(self.process(node));
        }
    }

    /// Resumes a paused process, which receives at once all inputs that arrived during the pause.
    pub fn resume(&mut self, node: usize) {
        if self.nodes[node].paused_at.take().is_none() {
            return;
        }
        self.nodes[node].resumed_at = self.now;
        let process = self.process(node);
        while let Some(input) = self.nodes[node].inbox.pop_front() {
            self.handle_input(process, input);
        }
        self.handle_input(process, Input::Tick);
    }

    /// Begins a planned stop of a process.
    pub fn stop(&mut self, node: usize) {
        self.schedule_in(0, Event::Deliver(self.process(node), Input::Stop));
    }

    /// Expires records of the configuration stream older than eight seconds, if `is_config`.
    pub fn expire(&mut self, is_config: bool) {
        // Claims are correct only if their records are kept for the stated retention time.
        let before = self.now.saturating_sub(Duration::from_secs(8)).as_millis() as u64;
        if is_config {
            self.log.config.expire(before);
        }
    }

    /// Cuts the connection between two nodes.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.healed_at = Duration::MAX;
        self.disconnected.extend([(a, b), (b, a)]);
    }

    /// Restores all connections between nodes.
    pub fn heal(&mut self) {
        if self.healed_at == Duration::MAX {
            self.healed_at = self.now;
        }
        self.disconnected.clear();
    }

    /// An operator publishes on the version that is `behind` versions older than the newest.
    pub fn publish(&mut self, behind: u64) {
        if self.log.is_out {
            return;
        }
        let newest = self.log.versions().len() as u64;
        self.last_id += 1;
        let publish = Publish {
            id: format!("publish-{}", self.last_id).into(),
            base: newest.saturating_sub(behind),
            author: "operator".into(),
            document: Arc::new(document(self.last_id)),
        };
        self.log.config.append(millis(self.now), ConfigRecord::Publish(publish));
    }

    /// An endpoint begins to leave.
    pub fn start_leaving(&mut self, endpoint: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.leaving.get_or_insert(now);
        endpoint.entry.presence = Presence::Leaving;
    }

    /// An endpoint restarts in a new incarnation.
    pub fn restart_endpoint(&mut self, endpoint: usize) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.leaving = None;
        endpoint.entry.presence = Presence::Live;
        endpoint.entry.incarnation.0 += 1;
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.has_short_delays = true;
        self.log.is_out = false;
        self.log.lose_acks = 0;
        self.heal();
        for endpoint in 0..self.endpoints.len() {
            self.endpoints[endpoint].fault = Fault::None;
            if self.endpoints[endpoint].leaving.is_some() {
                self.restart_endpoint(endpoint);
            }
        }
        (0..NODES).for_each(|node| self.resume(node));
    }

    /// Checks that all instances are ready with the newest version, and that new requests are
    /// answered.
    pub fn check_recovery(&mut self) {
        (0..NODES).for_each(|node| self.start(node));
        self.advance(Duration::from_secs(10));
        let versions = self.log.versions();
        for node in 0..NODES {
            let Some(instance) = &self.nodes[node].instance else { continue };
            let version = instance.status().version;
            assert_eq!(version, versions.len() as u64, "{} is behind", name(node));
            assert_eq!(
                instance.unready_reasons(),
                Vec::<Arc<str>>::new(),
                "{} is not ready",
                name(node)
            );
        }
        let before = self.last_id;
        for (node, runs_once) in (0..NODES).flat_map(|node| [(node, false), (node, true)]) {
            let key = 1000 + u32::try_from(node).unwrap();
            self.submit(node, RequestSpec { runs_once, key, deadline: Duration::from_secs(5) });
        }
        self.advance(Duration::from_secs(6));
        for (caller, request) in &self.oracle.submitted {
            let is_new = caller.0 > before;
            let is_answered = matches!(request.outcome, Some(Outcome::Answered(_)));
            assert!(!is_new || is_answered, "after recovery, {request:?} is not answered");
        }
    }

    fn process(&self, node: usize) -> Process {
        (node, self.nodes[node].incarnation)
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_id += 1;
        self.events.push(Reverse((at, self.last_id)));
        self.event_bodies.insert(self.last_id, event);
    }

    fn schedule_in(&mut self, ms: u64, event: Event) {
        self.schedule(self.now + Duration::from_millis(ms), event);
    }

    /// A delay in milliseconds: usually short, sometimes long.
    fn delay(&mut self) -> u64 {
        if !self.has_short_delays && self.rng.random_bool(0.03) {
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
    // The log's clock starts far from zero, so that the horizon of claims does not reach below it.
    let epoch = RETENTION * 2;
    (epoch + at).as_millis() as u64
}
