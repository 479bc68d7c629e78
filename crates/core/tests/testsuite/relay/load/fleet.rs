//! A simulation of several instances, four piece endpoints and some engines in virtual time.

mod engine;
mod limited;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use peatdeck_core::relay::{
    Relay, Settings,
    allowance::RetryBudgetConfig,
    config::{Engine, Pieces, RequestKind, Route, Transfer},
    directory::{Change, Entry},
    model::{
        Action, Arrival, Call, CallKey, EndpointKey, ExchangeKey, Handle, HandoverKey, HeldParts,
        Part, Peer, Piece, PieceFailure, PieceResult, Placement, PlacementRequest, Progress,
        Prompt, ReplyHead,
    },
    terms::{Notice, Terms},
};

use engine::SimulatedEngine;
pub use limited::LimitedEngine;

use crate::relay::fixture::{ConfigBuilder, arrival, entry, head, ms, not_run, route, stage};

/// Network delay of a message.
const ONE_WAY_DELAY: Duration = Duration::from_micros(1400);
/// Time after which an unanswered request to a placer fails.
const PLACE_TIMEOUT: Duration = Duration::from_millis(80);
const DATA_CENTRES: [&str; 3] = ["east", "west", "north"];
/// Size of a result, in bytes.
const RESULT_BYTES: u64 = 1_500_000;
/// Number of results that fit the memory of a piece endpoint.
const MAX_RESULTS: usize = 9;
const TRANSFER: Transfer = Transfer { token_bytes: 160_000.0, rate: 32e6 };
/// Tokens of the part of a prompt that no other prompt shares.
const OWN_TOKENS: u64 = 2900;
/// Tokens of a whole prompt.
const PROMPT_TOKENS: u64 = 9200;
/// Least time between two calls to a cold engine.
pub const COLD_INTERVAL: Duration = Duration::from_millis(150);
const OBJECTIVE: Duration = Duration::from_millis(1100);
const DEADLINE: Duration = Duration::from_secs(6);

/// A simulated request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub id: u64,
    /// Number of pieces of its stage.
    pub pieces: u16,
    /// Selects the second shared part of its prompt.
    pub shared: u64,
}

impl Request {
    /// The prompt parts that it shares with other requests, with their numbers of tokens.
    fn shared_parts(&self) -> [(u64, u64); 2] {
        [(1 + self.shared % 4, 2500), (1000 + self.shared, 3800)]
    }
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests whose answer began within the objective.
    pub on_time: usize,
    pub late: usize,
    /// Requests refused before anything ran.
    pub refused: usize,
    /// Requests that failed after some of their work may have run.
    pub failed: usize,
    pub unanswered: usize,
    /// The mean time until a request was refused or failed.
    pub mean_refusal_time: Duration,
    /// Shared parts that an engine prefilled although another one held them.
    pub prefilled_again: usize,
    /// Instances that sent calls for pieces.
    pub batchers: HashSet<usize>,
    /// Calls to the busiest engine, relative to the mean of all engines.
    pub peak_load: f64,
    /// The times at which each engine was sent calls, by its address.
    pub calls_by_engine: HashMap<Arc<str>, Vec<Duration>>,
    /// Engines that stated a limit.
    pub limited: Vec<LimitedEngine>,
}

impl Outcome {
    pub fn on_time_ratio(&self) -> f64 {
        let all = self.on_time + self.late + self.refused + self.failed + self.unanswered;
        self.on_time as f64 / all as f64
    }
}

enum Event {
    Arrive(usize, Request),
    Tick(usize),
    SetPeers(usize),
    HandOver { to: usize, from: usize, key: HandoverKey, pieces: Vec<Piece> },
    Return { to: usize, key: HandoverKey, results: Vec<PieceResult> },
    Place { to: usize, from: usize, key: ExchangeKey, placement_request: PlacementRequest },
    Placed { to: usize, by: usize, key: ExchangeKey, placement: Option<Placement>, is_answer: bool },
    Report { to: usize, from: usize, progress: Vec<Progress>, notices: Vec<Notice> },
    Gossip(usize),
    FreeViaPeer { to: usize, handles: Vec<Handle>, is_deferred: bool },
    RunPieces { from: usize, call: CallKey, addr: Arc<str>, pieces: Vec<Piece> },
    PiecesDone { to: usize, call: CallKey, results: Vec<PieceResult> },
    Free { addr: Arc<str>, handles: Vec<Handle> },
    Send { from: usize, call: Call },
    InputsGone { to: usize, call: CallKey },
    FirstToken { to: usize, call: CallKey, terms: Terms },
    Finished { to: usize, call: CallKey },
    PartsListed { to: usize, endpoint: EndpointKey },
    Change { to: usize, change: Change },
    Backlog { to: usize, service: Arc<str> },
}

#[derive(Default)]
struct PieceEndpoint {
    free_at: Duration,
    held: HashSet<Handle>,
}

struct OpenRequest {
    request: Request,
    since: Duration,
}

pub struct Fleet {
    now: Duration,
    relays: Vec<Relay>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    piece_endpoints: HashMap<Arc<str>, PieceEndpoint>,
    engine_states: HashMap<Arc<str>, SimulatedEngine>,
    engines: usize,
    /// When each instance has its next tick; `None` if none is scheduled.
    wakes: Vec<Option<Duration>>,
    open: HashMap<(usize, ExchangeKey), OpenRequest>,
    tickets: HashMap<u64, (usize, HandoverKey)>,
    unresponsive: Option<(usize, Range<Duration>)>,
    outcome: Outcome,
    refusal_times: Vec<Duration>,
}

impl Fleet {
    /// A fleet in which all instances know their peers.
    pub fn new(instances: usize, engines: usize) -> Fleet {
        let mut fleet = Fleet::without_peers(instances, engines);
        for idx in 0..instances {
            fleet.set_peers(idx);
        }
        fleet
    }

    /// A fleet whose instances have just started; each receives its list of peers some tenths of a
    /// second later.
    pub fn restarted(instances: usize, engines: usize) -> Fleet {
        let mut fleet = Fleet::without_peers(instances, engines);
        for idx in 0..instances {
            fleet.relays[idx].hold_for_peers(ms(1500));
            fleet.schedule(ms(200 + idx as u64 * 7 % 200), Event::SetPeers(idx));
        }
        fleet
    }

    fn without_peers(instances: usize, engines: usize) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            relays: (0..instances).map(relay).collect(),
            events: BTreeMap::new(),
            sequence: 0,
            piece_endpoints: HashMap::new(),
            engine_states: HashMap::new(),
            engines,
            wakes: vec![None; instances],
            open: HashMap::new(),
            tickets: HashMap::new(),
            unresponsive: None,
            outcome: Outcome::default(),
            refusal_times: Vec::new(),
        };
        for relay in &mut fleet.relays {
            for entry in endpoints(engines) {
                relay.apply_change(Duration::ZERO, Change::Put(entry));
            }
        }
        fleet
    }

    /// An instance receives the list of its peers.
    fn set_peers(&mut self, idx: usize) {
        let (now, count) = (self.now, self.relays.len());
        let peers = (0..count).filter(|other| *other != idx);
        let peers = peers
            .map(|idx| Peer { name: name(idx), millicores: 250, data_centre: "east".into() })
            .collect();
        self.with_relay(idx, |relay| {
            relay.set_peers(now, peers, count);
            relay.mark_peers_known(now);
        });
    }

    /// Schedules a request at one of the instances.
    pub fn schedule_request(&mut self, at: Duration, request: Request) {
        let idx = (request.id * 5 % self.relays.len() as u64) as usize;
        self.schedule(at, Event::Arrive(idx, request));
    }

    /// Schedules a change of the directory, which instances receive with different delays.
    pub fn schedule_change(&mut self, at: Duration, change: Change) {
        for to in 0..self.relays.len() {
            let later = ms(to as u64 * 13 % 400);
            self.schedule(at + later, Event::Change { to, change: change.clone() });
        }
    }

    /// Adds an engine that states a limit in its replies, and makes instances gossip.
    pub fn add_limited_engine(&mut self, limited: LimitedEngine) {
        if self.outcome.limited.is_empty() {
            for idx in 0..self.relays.len() {
                self.schedule(ms(idx as u64 * 7 % 400), Event::Gossip(idx));
            }
        }
        self.outcome.limited.push(limited);
    }

    /// An instance sends its notices on endpoints to another one.
    fn gossip(&mut self, idx: usize) {
        let (now, count) = (self.now, self.relays.len());
        let other = (idx + 1 + (self.sequence * 31 % (count as u64 - 1)) as usize) % count;
        let notices = self.relays[idx].peer_notices(now);
        self.with_relay(other, |relay| relay.on_peer_notices(now, &name(idx), &notices));
        if now < ms(30_000) {
            self.schedule(now + ms(400), Event::Gossip(idx));
        }
    }

    /// Makes an instance ignore the placement requests of its peers for a while.
    pub fn make_unresponsive(&mut self, idx: usize, span: Range<Duration>) {
        self.unresponsive = Some((idx, span));
    }

    pub fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if at > Duration::from_secs(60) {
                break;
            }
            self.handle(event);
        }
        self.outcome.unanswered = self.open.len();
        let sum: Duration = self.refusal_times.iter().sum();
        self.outcome.mean_refusal_time = sum / self.refusal_times.len().max(1) as u32;
        let calls: Vec<usize> = self.engine_states.values().map(|engine| engine.calls).collect();
        let mean = calls.iter().sum::<usize>() as f64 / self.engines as f64;
        self.outcome.peak_load = calls.into_iter().max().unwrap_or_default() as f64 / mean;
        self.outcome
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn after_hop(&mut self, event: Event) {
        self.schedule(self.now + ONE_WAY_DELAY, event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive(idx, request) => self.submit(idx, request),
            Event::Tick(idx) => {
                self.wakes[idx] = None;
                self.with_relay(idx, |relay| relay.tick(now));
            }
            Event::Finished { to, call } => {
                self.with_relay(to, |relay| relay.on_stream_end(now, call))
            }
            Event::SetPeers(idx) => self.set_peers(idx),
            Event::Backlog { to, service } => {
                self.with_relay(to, |relay| relay.on_backlog_notice(now, service));
            }
            Event::Change { to, change } => self.with_relay(to, |relay| {
                relay.apply_change(now, change);
            }),
            Event::HandOver { to, from, key, pieces } => {
                let ticket = self.sequence;
                self.tickets.insert(ticket, (from, key));
                self.with_relay(to, |relay| relay.on_handover(now, ticket, pieces));
            }
            Event::Return { to, key, results } => {
                self.with_relay(to, |relay| relay.on_handover_return(now, key, Some(results)));
            }
            Event::Place { to, from, key, placement_request } => {
                self.place(to, from, key, &placement_request)
            }
            Event::Placed { to, by, key, placement, is_answer } => self.with_relay(to, |relay| {
                if !is_answer {
                    relay.on_placer_failure(now, &name(by));
                }
                relay.on_placement(now, key, &name(by), placement);
            }),
            Event::Gossip(idx) => self.gossip(idx),
            Event::Report { to, from, progress, notices } => self.with_relay(to, |relay| {
                relay.on_peer_notices(now, &name(from), &notices);
                for one in progress {
                    relay.on_progress(now, one);
                }
            }),
            Event::FreeViaPeer { to, handles, is_deferred } => {
                self.with_relay(to, |relay| match is_deferred {
                    true => relay.mark_evictable(handles),
                    false => relay.free_at_endpoints(handles),
                })
            }
            Event::RunPieces { from, call, addr, pieces } => {
                self.run_pieces(from, call, &addr, &pieces)
            }
            Event::PiecesDone { to, call, results } => {
                self.with_relay(to, |relay| relay.on_pieces_made(now, call, results, None));
            }
            Event::Free { addr, handles } => {
                let endpoint = self.piece_endpoints.entry(addr).or_default();
                endpoint.held.retain(|handle| !handles.contains(handle));
            }
            Event::Send { from, call } => self.send(from, call),
            Event::InputsGone { to, call } => {
                self.with_relay(to, |relay| relay.on_reply(now, call, &not_run(409)));
            }
            Event::FirstToken { to, call, terms } => self.with_relay(to, |relay| {
                if relay.on_reply_head(now, call, &ReplyHead { terms, ..head(200) }) {
                    relay.on_stream_event(now, call, Some(1));
                }
            }),
            Event::PartsListed { to, endpoint } => {
                self.with_relay(to, |relay| {
                    relay.on_parts_listed(
                        now,
                        endpoint,
                        &HeldParts { incarnation: None, parts: Vec::new() },
                    )
                });
            }
        }
    }

    fn submit(&mut self, idx: usize, request: Request) {
        let shared = request.shared_parts().map(|(id, tokens)| (id, tokens));
        let own = (1_000_000 + request.id, OWN_TOKENS);
        let parts = shared.into_iter().chain([own]);
        let parts = parts.map(|(id, tokens)| Part { id, tokens: tokens as u32 }).collect();
        let arrival = Arrival {
            prompt: Some(Prompt { parts, input: PROMPT_TOKENS as u32, output: 50 }),
            pieces: vec![request.pieces],
            deadline: Some(DEADLINE),
            ..arrival(&request.id.to_string(), "r")
        };
        let key = self.relays[idx].on_request(self.now, arrival).expect("the relay is configured");
        self.open.insert((idx, key), OpenRequest { request, since: self.now });
        self.with_relay(idx, |_| ());
    }

    /// Runs `run` on the relay of an instance, performs its actions and schedules its next tick.
    fn with_relay(&mut self, idx: usize, run: impl FnOnce(&mut Relay)) {
        run(&mut self.relays[idx]);
        for action in self.relays[idx].take_actions() {
            self.perform(idx, action);
        }
        let wake = self.relays[idx].next_wake(self.now);
        let wake = wake.max(self.now + Duration::from_micros(100));
        if self.wakes[idx].is_none_or(|known| wake < known) {
            self.wakes[idx] = Some(wake);
            self.schedule(wake, Event::Tick(idx));
        }
    }

    fn perform(&mut self, idx: usize, action: Action) {
        match action {
            Action::MakePieces { call, addr, pieces, .. } => {
                self.outcome.batchers.insert(idx);
                self.after_hop(Event::RunPieces { from: idx, call, addr, pieces });
            }
            Action::HandOverPieces { key, peer, pieces } => {
                self.after_hop(Event::HandOver { to: index_of(&peer), from: idx, key, pieces });
            }
            Action::ReturnResults { ticket, results } => {
                let (to, key) =
                    self.tickets.remove(&ticket).expect("the ticket belongs to a handover");
                self.after_hop(Event::Return { to, key, results });
            }
            Action::FreeViaPeer { peer, handles, is_evictable } => {
                self.after_hop(Event::FreeViaPeer {
                    to: index_of(&peer),
                    handles,
                    is_deferred: is_evictable,
                });
            }
            Action::FreeResults { addr, handles } => self.after_hop(Event::Free { addr, handles }),
            Action::RequestPlacement { exchange, peer, request } => {
                let (to, key) = (index_of(&peer), exchange);
                self.after_hop(Event::Place { to, from: idx, key, placement_request: request });
            }
            Action::Disconnect(_) => {}
            Action::ListParts { endpoint, .. } => {
                self.after_hop(Event::PartsListed { to: idx, endpoint });
            }
            Action::AnnounceQueue { peer, service } => {
                self.after_hop(Event::Backlog { to: index_of(&peer), service });
            }
            Action::ReportProgress { peer, progress, notices } => {
                self.after_hop(Event::Report { to: index_of(&peer), from: idx, progress, notices });
            }
            Action::Send(call) => self.after_hop(Event::Send { from: idx, call }),
            Action::BeginStream { exchange, .. } => self.record_answer(idx, exchange),
            Action::Refuse { exchange, refusal, .. } => {
                self.record_refusal(idx, exchange, refusal.status())
            }
            Action::AbortStream(exchange) => self.record_refusal(idx, exchange, 502),
            Action::FinishStream(_)
            | Action::Answer { .. }
            | Action::Cancel(_)
            | Action::EndpointLimit { .. }
            | Action::EndpointLeaving { .. }
            | Action::RecallPieces(_) => {}
            // No endpoint of this fleet crashes, and nothing is rolled out.
            Action::Probe { .. }
            | Action::EndpointCrashed { .. }
            | Action::ReportCrashes { .. }
            | Action::QueryAnswered { .. }
            | Action::SuspicionCleared(_)
            | Action::Quarantined { .. }
            | Action::AnnounceQuarantine { .. }
            | Action::WriteQuarantine { .. }
            | Action::DeleteQuarantine(_)
            | Action::Released(_)
            | Action::ReportEvidence { .. }
            | Action::WriteRollout(_)
            | Action::RolloutHalted { .. } => unreachable!("{action:?}"),
        }
    }

    fn place(
        &mut self,
        to: usize,
        from: usize,
        key: ExchangeKey,
        placement_request: &PlacementRequest,
    ) {
        let is_unresponsive = self
            .unresponsive
            .as_ref()
            .is_some_and(|(idx, span)| *idx == to && span.contains(&self.now));
        if is_unresponsive {
            let event = Event::Placed { to: from, by: to, key, placement: None, is_answer: false };
            self.schedule(self.now + PLACE_TIMEOUT, event);
            return;
        }
        let mut placement = None;
        let now = self.now;
        self.with_relay(to, |relay| placement = relay.place_prompt(now, placement_request));
        self.after_hop(Event::Placed { to: from, by: to, key, placement, is_answer: true });
    }

    fn run_pieces(&mut self, from: usize, call: CallKey, addr: &Arc<str>, pieces: &[Piece]) {
        let endpoint = self.piece_endpoints.entry(addr.clone()).or_default();
        let start = endpoint.free_at.max(self.now);
        endpoint.free_at = start + ms(200) + ms(21) * pieces.len() as u32;
        let done = endpoint.free_at;
        let results = pieces.iter().map(|piece| {
            if endpoint.held.len() >= MAX_RESULTS {
                return Err(PieceFailure::NoRoom);
            }
            let handle: Handle = format!("{addr}/{}-{}", piece.request, piece.number).into();
            endpoint.held.insert(handle.clone());
            Ok(handle)
        });
        let results = results.collect();
        self.schedule(done + ONE_WAY_DELAY, Event::PiecesDone { to: from, call, results });
    }

    fn send(&mut self, from: usize, call: Call) {
        let Some(open) = self.open.get(&(from, call.exchange)) else { return };
        let request = open.request;
        let is_held = |handle: &Handle| {
            let (addr, _) =
                handle.split_once('/').expect("a handle starts with the address of its endpoint");
            self.piece_endpoints.get(addr).is_some_and(|endpoint| endpoint.held.contains(handle))
        };
        if !call.inputs.iter().all(is_held) {
            self.after_hop(Event::InputsGone { to: from, call: call.key });
            return;
        }
        let held_anywhere: HashSet<u64> =
            self.engine_states.values().flat_map(|it| &it.parts).copied().collect();
        let source_parts = call.source.as_ref().and_then(|addr| self.engine_states.get(addr));
        let source_parts: HashSet<u64> =
            source_parts.map(|it| it.parts.clone()).unwrap_or_default();
        self.outcome.calls_by_engine.entry(call.addr.clone()).or_default().push(self.now);
        let engine = self.engine_states.entry(call.addr.clone()).or_default();
        let (mut prefill, mut copied) = (OWN_TOKENS, 0);
        for (part, tokens) in request.shared_parts() {
            if !engine.parts.insert(part) {
                continue;
            }
            match source_parts.contains(&part) {
                true => copied += tokens,
                false => prefill += tokens,
            }
            self.outcome.prefilled_again +=
                usize::from(!source_parts.contains(&part) && held_anywhere.contains(&part));
        }
        let copy_time = Duration::from_secs_f64(TRANSFER.millis(copied) / 1000.0);
        let mut at = self.now;
        if let (true, Some(source)) = (copied > 0, &call.source) {
            let source = self.engine_states.get_mut(source).expect("it holds the parts");
            at = source.copy(at, copy_time);
        }
        let engine = self.engine_states.get_mut(&call.addr).expect("it was inserted above");
        let run = engine.run(self.now, at, prefill, PROMPT_TOKENS);
        let mut terms = Terms::default();
        for limited in &mut self.outcome.limited {
            limited.record_call(self.now, from, &call.addr);
            if let Some(limit) = limited.state_limit(run.first, from, &call.addr) {
                terms.limit = Some(limit);
            }
        }
        let first = Event::FirstToken { to: from, call: call.key, terms };
        self.schedule(run.first + ONE_WAY_DELAY, first);
        self.schedule(run.end + ONE_WAY_DELAY, Event::Finished { to: from, call: call.key });
    }

    fn record_answer(&mut self, idx: usize, key: ExchangeKey) {
        let Some(open) = self.open.remove(&(idx, key)) else { return };
        match self.now - open.since <= OBJECTIVE {
            true => self.outcome.on_time += 1,
            false => self.outcome.late += 1,
        }
    }

    fn record_refusal(&mut self, idx: usize, key: ExchangeKey, status: u16) {
        let Some(open) = self.open.remove(&(idx, key)) else { return };
        self.refusal_times.push(self.now - open.since);
        match status {
            503 => self.outcome.refused += 1,
            _ => self.outcome.failed += 1,
        }
    }
}

fn name(idx: usize) -> Arc<str> {
    Arc::from(format!("relay-{idx}"))
}

fn index_of(name: &str) -> usize {
    name.strip_prefix("relay-").and_then(|idx| idx.parse().ok()).expect("the name of an instance")
}

fn relay(idx: usize) -> Relay {
    let settings = Settings {
        name: name(idx),
        data_centre: Arc::from(DATA_CENTRES[idx % 3]),
        retry_budget: RetryBudgetConfig { ratio: 0.2, slack: 50.0, window: ms(10_000) },
        min_instances: 1,
        millicores: 250,
        regions: Default::default(),
        rollout: None,
    };
    let mut relay = Relay::new(settings, idx as u64);
    relay.mark_quarantine_read();
    let pieces = Pieces {
        slots: 1,
        queue: 2,
        batch: 8,
        call_time: ms(200),
        piece_time: ms(21),
        room: MAX_RESULTS as u64 * RESULT_BYTES,
        lease: ms(4000),
    };
    let engine =
        Engine { slots: 48, memory: engine::MEMORY, max_gap: None, transfer: Some(TRANSFER) };
    let route = Route {
        stages: vec![stage("maker", &[], RESULT_BYTES)],
        objective: OBJECTIVE,
        timeout: DEADLINE,
        ..route("r", RequestKind::Resumable, "llm")
    };
    let config =
        ConfigBuilder::new(1).engine_service("llm", engine).piece_service_with("maker", pieces);
    let config = config.cold_interval("llm", COLD_INTERVAL).route(route);
    relay.configure(config.build());
    relay
}

fn endpoints(engines: usize) -> Vec<Entry> {
    let piece_endpoints = (0..4).map(|idx| in_data_centre(entry(&format!("m{idx}"), "maker"), idx));
    piece_endpoints.chain((0..engines).map(engine_entry)).collect()
}

/// The entry of an engine; every third one is in the same data centre.
pub fn engine_entry(idx: usize) -> Entry {
    in_data_centre(entry(&format!("e{idx}"), "llm"), idx)
}

fn in_data_centre(entry: Entry, idx: usize) -> Entry {
    Entry { data_centre: Arc::from(DATA_CENTRES[idx % 3]), ..entry }
}
