//! A simulation of several instances, four piece endpoints and some engines in virtual time.

mod actions;
mod calls;
mod engine;
mod limited;
mod outcome;
mod setup;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use peatdeck_core::relay::{
    Relay,
    directory::Change,
    model::{
        Arrival, Call, CallKey, EndpointKey, ExchangeKey, Handle, HandoverKey, HeldParts, Part,
        Peer, Piece, PieceResult, Placement, PlacementRequest, Progress, Prompt, ReplyHead,
    },
    terms::{Notice, Terms},
};

use engine::SimulatedEngine;
pub use limited::LimitedEngine;
pub use outcome::{Outcome, Request};
pub use setup::{COLD_INTERVAL, engine_entry};
use setup::{DEADLINE, OBJECTIVE, OWN_TOKENS, PROMPT_TOKENS, endpoints, name, relay};

use crate::relay::fixture::{arrival, head, ms, not_run};

/// Network delay of a message.
const ONE_WAY_DELAY: Duration = Duration::from_micros(1400);

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
    PathChecked { to: usize, endpoint: EndpointKey },
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
            Event::PathChecked { to, endpoint } => {
                self.with_relay(to, |relay| relay.on_answer_check(now, endpoint, true));
            }
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
