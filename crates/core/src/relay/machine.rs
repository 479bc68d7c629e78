//! The relay as a state machine: what happened goes in by methods, what is to
//! be done comes out as actions.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use peatdeck_macros::data;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;
use xxhash_rust::xxh3;

use crate::{
    model::{DataCentre, InstanceName, Load, TeamName},
    relay::{
        allowance::{Allowance, Bound},
        batch::{Batches, Finished, Origin},
        choice,
        config::{Config, Pieces, Route},
        directory::{Change, Directory},
        exchange::{CallState, Exchange, ExchangeOf},
        graph::{Graph, Made},
        model::{
            Action, Arrival, Basis, Call, CallKey, EndpointKey, ExchangeKey, Failure, Handle,
            HandoverKey, Piece, PieceFailure, PieceResult, Refusal, ReplyHead, ServiceName,
        },
    },
};

/// Pause before an exchange looks again for a usable endpoint.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// Share of its objective that an exchange waits for a usable endpoint. The
/// users take a refusal within a quarter for an early one.
const PATIENCE_SHARE: f64 = 0.2;
/// Share of the remaining time that a caller may be told to stay away.
const AWAY_SHARE: f64 = 0.3;
/// Shortest time that a caller is told to stay away.
const SHORTEST_AWAY: Duration = Duration::from_millis(50);
/// Time until an endpoint that failed is usable again, as callers are told.
const USUAL_AWAY: Duration = Duration::from_millis(400);
/// Time until a queue that is too long has got shorter, as callers are told:
/// about half of a burst.
const LONG_AWAY: Duration = Duration::from_secs(3);
/// Share of the usual time behind a stage that is needed at the least.
const LEAST_SHARE: f64 = 0.5;
/// Nothing is sent to an endpoint with less time than this.
const SHORTEST_CALL: Duration = Duration::from_millis(5);
/// Time that a generation needs behind its stages until its first token, on
/// top of reading its prompt. From the sheets: 64 ms, and a step or two.
const FIRST_TOKEN: Duration = Duration::from_millis(120);
/// Prompt tokens that an engine reads in a millisecond while it serves others.
const READ_TOKENS_PER_MS: u32 = 20;
/// How often an exchange's pieces are made at the most.
const MAX_ROUNDS: u8 = 2;
/// How often a piece is sent at the most.
const MAX_TRIES: u8 = 3;
/// A result of at least this size is made where it will be used.
const LARGE_RESULT: u64 = 200_000;
/// Pause between two clean-ups of what is not needed any more.
const CLEAN_UP: Duration = Duration::from_secs(5);
/// Idle time of a caller that does not say how long it waits.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);

/// How the relay works; given once at the start.
#[data]
pub struct Settings {
    /// This instance.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The bound on repetition.
    pub bound: Bound,
    /// Instances that share the bound while no more are known.
    pub instances: usize,
}

/// The relay.
pub struct Relay {
    settings: Settings,
    rng: SmallRng,
    config: Option<Arc<Config>>,
    directory: Directory,
    memory: choice::Memory,
    exchanges: SlotMap<ExchangeKey, Exchange>,
    calls: SlotMap<CallKey, CallState>,
    handovers: SlotMap<HandoverKey, Vec<(ExchangeKey, Piece)>>,
    batches: Batches,
    tickets: HashMap<u64, Ticket>,
    allowances: HashMap<ServiceName, Allowance>,
    peers: Vec<InstanceName>,
    is_batching: bool,
    /// Room has become free that waiting pieces may need.
    has_room: bool,
    due: BTreeSet<(Duration, ExchangeKey)>,
    searching: BTreeSet<ExchangeKey>,
    next_search: Duration,
    next_clean: Duration,
    actions: Vec<Action>,
}

/// What an arrival was taken in as.
#[data]
pub struct Taken {
    /// The route.
    pub route: Arc<str>,
    /// The service that is to answer.
    pub service: ServiceName,
    /// The team.
    pub team: Option<TeamName>,
    /// How long it is kept waiting at the most.
    pub wait: Duration,
    /// Pieces of each stage.
    pub pieces: Vec<u16>,
}

/// Time that is needed behind a stage until the first byte of an answer.
#[derive(Debug, Clone, Copy)]
struct Rest {
    usual: Duration,
    least: Duration,
}

/// A peer's pieces that are being made here.
#[derive(Debug)]
struct Ticket {
    results: Vec<Option<PieceResult>>,
}

impl Relay {
    /// A relay that knows nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Relay {
        Relay {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            config: None,
            directory: Directory::default(),
            memory: choice::Memory::default(),
            exchanges: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            handovers: SlotMap::with_key(),
            batches: Batches::default(),
            tickets: HashMap::new(),
            allowances: HashMap::new(),
            peers: Vec::new(),
            is_batching: true,
            has_room: false,
            due: BTreeSet::new(),
            searching: BTreeSet::new(),
            next_search: Duration::ZERO,
            next_clean: Duration::ZERO,
            actions: Vec::new(),
        }
    }

    /// What is to be done since the last time this was asked.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Endpoints, as far as they are known.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// What became of an arrival, for a log line: its route, service, team and
    /// whether it was taken in at all.
    pub fn describe(&self, key: ExchangeKey) -> Option<Taken> {
        let exchange = self.exchanges.get(key)?;
        Some(Taken {
            route: exchange.route.name.clone(),
            service: exchange.service.clone(),
            team: exchange.team.clone(),
            wait: exchange.due.saturating_sub(exchange.started),
            pieces: exchange.arrival.pieces.clone(),
        })
    }

    /// Exchanges that have not ended.
    pub fn open_exchanges(&self) -> usize {
        self.exchanges.len()
    }

    /// Pieces of peers that are being made here.
    pub fn open_tickets(&self) -> usize {
        self.tickets.len()
    }

    /// When [`Relay::tick`] should be called next.
    pub fn next_wake(&self, now: Duration) -> Duration {
        if self.has_room && !self.batches.services().is_empty() {
            return now;
        }
        let due = self.due.first().map(|(at, _)| *at);
        let search = (!self.searching.is_empty()).then_some(self.next_search);
        let batch = self.batches.next_wake(now);
        [due, search, batch].into_iter().flatten().min().unwrap_or(self.next_clean)
    }

    /// Takes in a configuration. An older one is passed over; false then.
    pub fn configure(&mut self, config: Arc<Config>) -> bool {
        if self.config.as_ref().is_some_and(|known| known.version >= config.version) {
            return false;
        }
        self.config = Some(config);
        true
    }

    /// Takes in a change of the directory; false if it says nothing new.
    pub fn change(&mut self, now: Duration, change: Change) -> bool {
        let is_new = self.directory.change(now, change);
        if is_new {
            self.search(now);
            self.make_all(now);
        }
        is_new
    }

    /// Hands no piece to itself any more where a peer can batch it: its peers
    /// do not count on this instance from now on.
    pub fn stop_batching(&mut self) {
        self.is_batching = false;
    }

    /// Takes in which peers are taken for alive.
    pub fn set_peers(&mut self, peers: Vec<InstanceName>) {
        self.peers = peers;
    }

    /// A caller's request has been read whole.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> Result<ExchangeKey, Refusal> {
        let config = self.config.clone().ok_or(Refusal::NotReady)?;
        let route = config.route(&arrival.host, &arrival.path).ok_or(Refusal::NoRoute)?;
        let team = config.team(arrival.key.as_deref());
        if config.needs_key() && !route.is_public && team.is_none() {
            return Err(Refusal::UnknownKey);
        }
        let service = route.target(self.rng.random()).ok_or(Refusal::Unserved)?.clone();
        let wait = arrival.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        let exchange = Exchange {
            graph: Graph::new(route, &arrival.pieces),
            route: route.clone(),
            service,
            team: team.map(|team| team.name.clone()),
            priority: team.and_then(|team| team.priority).unwrap_or(route.priority),
            started: now,
            due: now + wait,
            aim: now + route.objective.min(wait),
            home: None,
            handovers: Vec::new(),
            call: None,
            tried: Vec::new(),
            attempts: 0,
            has_run: false,
            was_called: false,
            last_event: arrival.resume,
            has_begun: false,
            rounds: 0,
            patience: None,
            arrival,
        };
        self.earn(now, &exchange.service, 1);
        let due = exchange.due;
        let key = self.exchanges.insert(exchange);
        self.due.insert((due, key));
        self.advance(now, key);
        Ok(key)
    }

    /// Ends all exchanges: the instance is about to end. Callers that hold no
    /// part of an answer are told, instead of being cut off.
    pub fn end_all(&mut self, now: Duration) {
        for key in self.exchanges.keys().collect::<Vec<_>>() {
            if let Some(call) = self.exchanges[key].call {
                self.cancel(now, call);
                self.note_run(key);
            }
            if !self.exchanges[key].graph.is_complete() {
                self.note_run(key);
            }
            self.give_up(now, key, Refusal::Unserved);
        }
    }

    /// A caller has gone before its answer was whole.
    pub fn leave(&mut self, now: Duration, key: ExchangeKey) {
        if let Some(call) = self.exchanges.get(key).and_then(|exchange| exchange.call) {
            self.cancel(now, call);
        }
        self.close(key);
    }

    /// The head of a reply came. True if its body is a stream whose events are
    /// to be asked about one by one with [`Relay::pass_event`]; false if the
    /// body is to be read whole first.
    pub fn opened(&mut self, now: Duration, call: CallKey, head: &ReplyHead) -> bool {
        let Some(exchange) = self.exchange_of(call) else { return false };
        let is_stream = self.exchanges[exchange].route.kind.is_stream();
        let is_success = (200..300).contains(&head.status);
        if is_stream && is_success {
            self.exchanges[exchange].was_called = true;
            self.note_answer(now, call, head.load);
        }
        is_stream && is_success
    }

    /// Whether a stream's event goes to the caller.
    pub fn pass_event(&mut self, now: Duration, call: CallKey, id: Option<u64>) -> bool {
        let Some(key) = self.exchange_of(call) else { return false };
        self.note_read(call);
        let exchange = &mut self.exchanges[key];
        if let (Some(id), Some(last)) = (id, exchange.last_event)
            && id <= last
        {
            return false;
        }
        exchange.last_event = id.or(exchange.last_event);
        let is_first = !std::mem::replace(&mut exchange.has_begun, true);
        if is_first {
            self.actions.push(Action::Begin { exchange: key, call });
            self.free_results(key);
        }
        self.tick_quietly(now);
        true
    }

    /// A stream ended whole.
    pub fn ended(&mut self, _now: Duration, call: CallKey) {
        let Some(key) = self.exchange_of(call) else { return };
        self.end_call(call);
        if !self.exchanges[key].has_begun {
            self.actions.push(Action::Begin { exchange: key, call });
        }
        self.actions.push(Action::Finish(key));
        self.close(key);
    }

    /// A reply came whole.
    pub fn replied(&mut self, now: Duration, call: CallKey, head: &ReplyHead) {
        let Some(key) = self.exchange_of(call) else { return };
        self.note_answer(now, call, head.load);
        let endpoint = self.calls[call].endpoint;
        self.end_call(call);
        if head.status == 421 {
            self.directory.leaves(now, endpoint);
        }
        let is_success = (200..300).contains(&head.status);
        let is_failure = head.status >= 500 || head.is_unrun;
        if !is_failure && (!is_success || head.is_sealed) {
            self.actions.push(Action::Answer { exchange: key, call });
            self.close(key);
            return;
        }
        let has_inputs = !self.exchanges[key].route.stages.is_empty();
        let inputs_gone = head.is_unrun && head.status == 409 && has_inputs;
        if inputs_gone {
            self.exchanges[key].attempts -= 1;
            self.restart_stages(now, key);
            return;
        }
        let exchange = &mut self.exchanges[key];
        if head.is_unrun && head.status == 421 {
            exchange.attempts -= 1;
        }
        exchange.was_called |= !head.is_unrun;
        let own_answer = (!head.is_unrun && head.is_sealed).then_some(call);
        self.repeat(now, key, own_answer);
    }

    /// A call failed without a whole reply.
    pub fn failed(&mut self, now: Duration, call: CallKey, failure: Failure) {
        let Some(key) = self.exchange_of(call) else { return };
        let endpoint = self.calls[call].endpoint;
        self.end_call(call);
        if let Some(endpoint) = self.directory.get_mut(endpoint) {
            endpoint.failed(now, failure);
        }
        let exchange = &mut self.exchanges[key];
        match failure {
            Failure::Unsent => exchange.attempts -= 1,
            Failure::Cut | Failure::Foreign => exchange.was_called = true,
        }
        self.repeat(now, key, None);
    }

    /// A call for pieces brought results.
    pub fn made(
        &mut self,
        now: Duration,
        call: CallKey,
        results: Vec<PieceResult>,
        load: Option<Load>,
    ) {
        self.note_answer(now, call, load);
        let service = self.service_of(call);
        self.end_call(call);
        let (finished, strays) = self.batches.made(now, call, results);
        if let (Some(service), false) = (service, strays.is_empty()) {
            self.free_at(&service, strays);
        }
        self.take_finished(now, finished);
        self.make_all(now);
    }

    /// The service of the endpoint that a call went to.
    fn service_of(&self, call: CallKey) -> Option<ServiceName> {
        let endpoint = self.directory.get(self.calls.get(call)?.endpoint)?;
        Some(endpoint.entry.service.clone())
    }

    /// Has the pieces of stragglers made elsewhere too, as far as the bound on
    /// repetition allows.
    fn make_stragglers_again(&mut self, now: Duration) {
        for (call, service, count) in self.batches.take_stragglers(now) {
            if self.spend(now, &service, count) {
                self.batches.make_again(call);
            }
        }
    }

    /// A call for pieces failed; `is_unrun` if the endpoint said that it did
    /// not run.
    pub fn make_failed(&mut self, now: Duration, call: CallKey, failure: Failure, is_unrun: bool) {
        let endpoint = self.calls.get(call).map(|state| state.endpoint);
        self.end_call(call);
        let endpoint = endpoint.and_then(|key| self.directory.get_mut(key));
        if let (Some(endpoint), false) = (endpoint, is_unrun) {
            endpoint.failed(now, failure);
        }
        let mut finished = self.batches.failed(now, call, is_unrun);
        let is_safe = is_unrun || failure == Failure::Unsent;
        for one in &mut finished {
            one.piece.is_repeat |= !is_safe;
        }
        self.requeue(now, finished, is_safe);
        self.make_all(now);
    }

    /// A peer hands over pieces. Their results are returned under `ticket`.
    pub fn take_over(&mut self, now: Duration, ticket: u64, pieces: Vec<Piece>) {
        self.tickets.insert(ticket, Ticket { results: vec![None; pieces.len()] });
        for piece in &pieces {
            self.earn(now, &piece.service, 1);
        }
        let origin = |index| Origin::Peer { ticket, index };
        let pieces = pieces.into_iter().enumerate();
        self.admit(now, pieces.map(|(index, piece)| (piece, origin(index))).collect());
        self.make_all(now);
    }

    /// A peer does not want its pieces any more.
    pub fn recalled(&mut self, ticket: u64) {
        self.tickets.remove(&ticket);
        let is_gone =
            |origin: &Origin| matches!(origin, Origin::Peer { ticket: t, .. } if *t == ticket);
        self.batches.drop_waiting(is_gone);
    }

    /// A peer returned the results of pieces; `None` if it cannot be reached.
    pub fn returned(&mut self, now: Duration, key: HandoverKey, results: Option<Vec<PieceResult>>) {
        let Some(pieces) = self.handovers.remove(key) else { return };
        let Some((exchange, _)) = pieces.first() else { return };
        if let Some(exchange) = self.exchanges.get_mut(*exchange) {
            exchange.handovers.retain(|other| *other != key);
        }
        match results {
            Some(results) => {
                let finished =
                    pieces.into_iter().zip(results).map(|((exchange, piece), result)| {
                        let origin = Origin::Own(exchange);
                        Finished { origin, piece, result, endpoint: None }
                    });
                let finished = finished.collect();
                self.take_finished(now, finished);
            }
            None => {
                for (exchange, piece) in pieces {
                    // The peer may have had some of them made.
                    self.note_run(exchange);
                    self.batches.add(piece, Origin::Own(exchange));
                }
            }
        }
        self.make_all(now);
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Duration) {
        self.tick_quietly(now);
        if now >= self.next_search && !self.searching.is_empty() {
            self.search(now);
        }
        self.make_stragglers_again(now);
        self.make_all(now);
        if now >= self.next_clean {
            self.next_clean = now + CLEAN_UP;
            self.directory.forget(now);
            self.batches.forget(&self.directory);
        }
    }

    fn tick_quietly(&mut self, now: Duration) {
        while let Some(&(at, key)) = self.due.first()
            && at <= now
        {
            self.due.remove(&(at, key));
            self.time_out(now, key);
        }
    }

    fn time_out(&mut self, now: Duration, key: ExchangeKey) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let is_making = !exchange.graph.is_complete();
        let (has_run, call) = (is_making || exchange.has_run || exchange.was_called, exchange.call);
        if let Some(call) = call {
            self.cancel(now, call);
        }
        let refusal =
            if has_run || call.is_some() { Refusal::TimedOut } else { Refusal::Infeasible };
        self.give_up(now, key, refusal);
    }

    /// Some of an exchange's work may have been done.
    fn note_run(&mut self, key: ExchangeKey) {
        if let Some(exchange) = self.exchanges.get_mut(key) {
            exchange.has_run = true;
        }
    }

    /// Goes on with an exchange: its next stages, or its call.
    fn advance(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &mut self.exchanges[key];
        if !exchange.graph.is_complete() {
            self.start_stages(now, key);
            return;
        }
        self.call(now, key);
    }

    fn start_stages(&mut self, now: Duration, key: ExchangeKey) {
        self.find_home(now, key);
        // Starting a stage may end the exchange: there may be no time for it.
        while let Some(exchange) = self.exchanges.get_mut(key) {
            let route = exchange.route.clone();
            let ready = exchange.graph.start_ready(&route, LARGE_RESULT);
            if ready.is_empty() {
                break;
            }
            for stage in ready {
                self.start_stage(now, key, stage);
            }
        }
        let services = self.batches.services();
        for service in services {
            self.make(now, &service);
        }
    }

    fn start_stage(&mut self, now: Duration, key: ExchangeKey, stage: usize) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let service = exchange.route.stages[stage].service.clone();
        let rest = Rest {
            usual: self.rest_after(exchange, stage, &|time| time),
            least: self.rest_after(exchange, stage, &|time| time.mul_f64(LEAST_SHARE)),
        };
        let pieces = exchange.new_pieces(stage, rest);
        match self.owner(&service) {
            None => {
                self.earn(now, &service, pieces.len() as u32);
                let pieces = pieces.into_iter().map(|piece| (piece, Origin::Own(key)));
                self.admit(now, pieces.collect());
            }
            Some(peer) => self.hand_over(key, peer, pieces),
        }
    }

    fn hand_over(&mut self, key: ExchangeKey, peer: InstanceName, pieces: Vec<Piece>) {
        let held = pieces.iter().map(|piece| (key, piece.clone())).collect();
        let handover = self.handovers.insert(held);
        self.exchanges[key].handovers.push(handover);
        self.actions.push(Action::HandOver { key: handover, peer, pieces });
    }

    /// The peer that batches a service's pieces; `None` if this instance does.
    fn owner(&self, service: &str) -> Option<InstanceName> {
        let weight = |name: &str| {
            xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(service.as_bytes()))
        };
        let own = weight(&self.settings.name);
        let best = self.peers.iter().max_by_key(|name| weight(name))?;
        (weight(best) > own || !self.is_batching).then(|| best.clone())
    }

    /// Takes in pieces, but those that cannot be made in time: their callers
    /// hear it at once, while they can still come back.
    fn admit(&mut self, now: Duration, pieces: Vec<(Piece, Origin)>) {
        let mut late = Vec::new();
        for (piece, origin) in pieces {
            let is_feasible = self
                .shape(&piece.service)
                .is_none_or(|shape| self.batches.is_feasible(now, &piece, &shape, &self.directory));
            match is_feasible {
                true => self.batches.add(piece, origin),
                false => late.push(Batches::turn_away(piece, origin)),
            }
        }
        self.take_finished(now, late);
    }

    fn shape(&self, service: &str) -> Option<Pieces> {
        self.config.as_ref()?.services.get(service)?.pieces
    }

    /// Time that is needed behind a stage until the first byte of an answer.
    /// `adapt` turns a stage's usual time into the one that counts.
    fn rest_after(
        &self,
        exchange: &Exchange,
        stage: usize,
        adapt: &dyn Fn(Duration) -> Duration,
    ) -> Duration {
        let route = &exchange.route;
        let followers = (0..route.stages.len()).filter(|next| {
            route.stages[*next].after.contains(&stage) && exchange.graph.pieces(*next) > 0
        });
        let longest = followers.map(|next| {
            let time = adapt(self.stage_time(&route.stages[next].service));
            time + self.rest_after(exchange, next, adapt)
        });
        longest.max().unwrap_or_else(|| adapt(generation_time(exchange)))
    }

    /// The usual time of a stage: half a call's wait and a half full call.
    fn stage_time(&self, service: &str) -> Duration {
        let Some(shape) = self.shape(service) else { return Duration::ZERO };
        Batches::call_time(&shape, shape.batch as usize / 2) + shape.call_time / 2
    }

    fn make_all(&mut self, now: Duration) {
        self.has_room = false;
        for service in self.batches.services() {
            self.make(now, &service);
        }
    }

    /// Sends what waits for a service to its idle endpoints.
    fn make(&mut self, now: Duration, service: &str) {
        let Some(shape) = self.shape(service) else { return };
        let late = self.batches.take_late(now, service, &shape);
        self.take_finished(now, late);
        for order in self.batches.plan(now, service, &shape, &self.directory) {
            let endpoint = order.endpoint;
            let call = self.calls.insert(CallState {
                exchange: ExchangeOf::Pieces,
                endpoint,
                started: now,
                tokens: 0,
                is_answered: false,
            });
            self.batches.started(now, call, &order, &shape);
            let target = self.directory.get_mut(endpoint).expect("a planned endpoint is known");
            target.sent(0);
            let (endpoint, addr) = (target.entry.name.clone(), target.entry.addr.clone());
            self.actions.push(Action::Make { call, endpoint, addr, pieces: order.pieces });
        }
    }

    fn take_finished(&mut self, now: Duration, finished: Vec<Finished>) {
        let mut touched = Vec::new();
        for one in finished {
            match one.origin {
                Origin::Peer { ticket, index } => self.return_one(now, ticket, index, one),
                Origin::Own(key) => {
                    self.take_own(now, key, one);
                    if !touched.contains(&key) {
                        touched.push(key);
                    }
                }
            }
        }
        for key in touched {
            self.after_pieces(now, key);
        }
    }

    fn return_one(&mut self, now: Duration, ticket: u64, index: usize, one: Finished) {
        let Some(open) = self.tickets.get_mut(&ticket) else {
            self.free_stray(one);
            return;
        };
        if let Some(piece) = another_try(&one) {
            if self.may_send_again(now, &piece) {
                self.batches.add(piece, Origin::Peer { ticket, index });
                return;
            }
            if let Some(open) = self.tickets.get_mut(&ticket) {
                open.results[index] = Some(one.result);
            }
        } else {
            open.results[index] = Some(one.result);
        }
        let open = &self.tickets[&ticket];
        if open.results.iter().all(Option::is_some) {
            let open = self.tickets.remove(&ticket).expect("it was just seen");
            let results = open.results.into_iter().flatten().collect();
            self.actions.push(Action::Return { ticket, results });
        }
    }

    fn take_own(&mut self, now: Duration, key: ExchangeKey, one: Finished) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            self.free_stray(one);
            return;
        };
        exchange.has_run |= one.result != Err(PieceFailure::Late);
        let is_old = one.piece.round != exchange.rounds;
        match one.result {
            // Its round has been given up already.
            Err(_) if is_old => {}
            Ok(handle) => {
                let place = self.directory.place_of(&handle, one.endpoint);
                let made = Made { handle, place };
                let (stage, number) = (usize::from(one.piece.stage), usize::from(one.piece.number));
                exchange.graph.made(stage, number, made);
            }
            Err(PieceFailure::Late) => self.give_up(now, key, Refusal::Infeasible),
            Err(PieceFailure::InputGone) => self.restart_stages(now, key),
            Err(_) => {
                let piece = another_try(&one);
                let piece = piece.filter(|piece| self.may_send_again(now, piece));
                match piece {
                    Some(piece) => self.batches.add(piece, Origin::Own(key)),
                    None => self.give_up(now, key, Refusal::Failed),
                }
            }
        }
    }

    /// Pieces of a failed call wait again. `is_safe` if they certainly did not
    /// arrive anywhere as work.
    fn requeue(&mut self, now: Duration, finished: Vec<Finished>, is_safe: bool) {
        let mut lost = Vec::new();
        for one in finished {
            let is_wanted = match one.origin {
                Origin::Own(key) => self.exchanges.contains_key(key),
                Origin::Peer { ticket, .. } => self.tickets.contains_key(&ticket),
            };
            if !is_wanted {
                continue;
            }
            if is_safe || self.spend(now, &one.piece.service.clone(), 1) {
                self.batches.add(one.piece, one.origin);
            } else {
                lost.push(one);
            }
        }
        self.take_finished(now, lost);
    }

    fn after_pieces(&mut self, now: Duration, key: ExchangeKey) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let route = exchange.route.clone();
        let used = exchange.graph.take_used(&route);
        self.free(&route, used);
        let is_calling = self.exchanges[key].call.is_some();
        if !is_calling {
            self.advance(now, key);
        }
    }

    /// Where the call will probably go, if large results should lie near it.
    fn find_home(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &self.exchanges[key];
        let has_large = exchange.route.stages.iter().any(|stage| stage.bytes >= LARGE_RESULT);
        if exchange.home.is_some() || !has_large {
            return;
        }
        let Some((endpoint, _)) = self.choose(now, key, &[]) else { return };
        let home = self.directory.get(endpoint).map(|known| known.entry.data_centre.clone());
        self.exchanges[key].home = home;
    }

    fn choose(
        &mut self,
        now: Duration,
        key: ExchangeKey,
        inputs: &[(DataCentre, u64)],
    ) -> Option<(EndpointKey, u64)> {
        let exchange = &self.exchanges[key];
        let wanted = choice::Wanted {
            home: &self.settings.data_centre,
            tried: &exchange.tried,
            inputs,
            limit: self.connection_limit(&exchange.service),
        };
        match &exchange.arrival.prompt {
            Some(prompt) => choice::engine(
                &self.directory,
                &self.memory,
                now,
                &exchange.service,
                prompt,
                wanted,
            ),
            None => {
                let rng = &mut self.rng;
                let jitter = || rng.random();
                let chosen = choice::plain(&self.directory, now, &exchange.service, wanted, jitter);
                chosen.map(|endpoint| (endpoint, 0))
            }
        }
    }

    /// This instance's share of the connections that an endpoint accepts.
    fn connection_limit(&self, service: &str) -> u32 {
        let service = self.config.as_ref().and_then(|config| config.services.get(service));
        let all = service.map_or(u32::MAX, |service| service.connections);
        (all / self.instances() as u32).max(1)
    }

    /// Instances that may be alive.
    fn instances(&self) -> usize {
        (self.peers.len() + 1).max(self.settings.instances)
    }

    /// Calls an endpoint with an exchange whose stages are complete.
    fn call(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &self.exchanges[key];
        if exchange.due < now + SHORTEST_CALL {
            self.time_out(now, key);
            return;
        }
        let places = exchange.graph.output_places(&exchange.route);
        let Some((endpoint, tokens)) = self.choose(now, key, &places) else {
            self.wait_for_endpoint(now, key);
            return;
        };
        self.searching.remove(&key);
        let basis = self.basis(now, key, endpoint, tokens);
        let call = self.calls.insert(CallState {
            exchange: ExchangeOf::Exchange(key),
            endpoint,
            started: now,
            tokens,
            is_answered: false,
        });
        let exchange = &mut self.exchanges[key];
        exchange.call = Some(call);
        exchange.attempts += 1;
        exchange.tried.push(endpoint);
        exchange.patience = None;
        if let Some(prompt) = &exchange.arrival.prompt {
            self.memory.sent(now, endpoint, prompt);
        }
        let target = self.directory.get_mut(endpoint).expect("a chosen endpoint is known");
        target.sent(tokens);
        let call = Call {
            key: call,
            exchange: key,
            endpoint: target.entry.name.clone(),
            addr: target.entry.addr.clone(),
            remaining: exchange.due - now,
            team: exchange.team.clone(),
            inputs: exchange.graph.outputs(&exchange.route),
            resume: exchange.last_event,
            rank: exchange.arrival.prompt.as_ref().map(|_| exchange.priority.min(9)),
            attempt: exchange.attempts,
            basis,
        };
        self.actions.push(Action::Send(call));
    }

    fn basis(&self, now: Duration, key: ExchangeKey, endpoint: EndpointKey, tokens: u64) -> Basis {
        let known = self.directory.get(endpoint);
        Basis {
            version: self.config.as_ref().map_or(0, |config| config.version),
            calls: known.map_or(0, |known| known.calls(now)),
            load_age: known.and_then(|known| known.load_age(now)),
            tokens,
            usable: self.directory.usable(now, &self.exchanges[key].service).len(),
        }
    }

    fn wait_for_endpoint(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &mut self.exchanges[key];
        let patience = exchange.route.objective.mul_f64(PATIENCE_SHARE);
        let until = *exchange.patience.get_or_insert(now + patience);
        if now >= until {
            self.searching.remove(&key);
            let has_run = exchange.has_run || exchange.was_called;
            let refusal = if has_run { Refusal::Failed } else { Refusal::Unserved };
            self.give_up(now, key, refusal);
            return;
        }
        if self.searching.is_empty() {
            self.next_search = now + LOOK_AGAIN;
        }
        self.searching.insert(key);
    }

    /// Tries again for the exchanges that found no endpoint.
    fn search(&mut self, now: Duration) {
        self.next_search = now + LOOK_AGAIN;
        for key in std::mem::take(&mut self.searching) {
            if self.exchanges.contains_key(key) {
                self.call(now, key);
            }
        }
    }

    /// Sends an exchange to another endpoint, or ends it. `answer` is the
    /// endpoint's own failure, which is passed on if it stays at that.
    fn repeat(&mut self, now: Duration, key: ExchangeKey, answer: Option<CallKey>) {
        let exchange = &self.exchanges[key];
        let kind = exchange.route.kind;
        let may_run = kind.may_repeat() || !exchange.was_called;
        let can_go_on = !exchange.has_begun || kind.may_repeat();
        let has_attempts = exchange.attempts < exchange.route.max_attempts;
        let has_time = exchange.due > now + SHORTEST_CALL;
        let is_first = exchange.attempts == 0;
        let service = exchange.service.clone();
        let may_try = may_run && can_go_on && has_attempts && has_time;
        if may_try && (is_first || self.spend(now, &service, 1)) {
            if self.exchanges[key].has_begun {
                self.restart_stages(now, key);
            }
            if self.exchanges.get(key).is_some_and(|exchange| exchange.call.is_none()) {
                self.advance(now, key);
            }
            return;
        }
        let exchange = &self.exchanges[key];
        match answer {
            Some(call) if !exchange.has_begun => {
                self.actions.push(Action::Answer { exchange: key, call });
                self.close(key);
            }
            _ => {
                let has_run = exchange.has_run || exchange.was_called;
                let refusal = if has_run { Refusal::Failed } else { Refusal::Unserved };
                self.give_up(now, key, refusal);
            }
        }
    }

    /// The results of an exchange's stages are gone: they are made again.
    fn restart_stages(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &mut self.exchanges[key];
        if exchange.route.stages.is_empty() {
            return;
        }
        exchange.rounds += 1;
        if exchange.rounds >= MAX_ROUNDS {
            self.give_up(now, key, Refusal::Failed);
            return;
        }
        let used = exchange.graph.take_all();
        let (route, pieces) = (exchange.route.clone(), exchange.arrival.pieces.clone());
        exchange.graph = Graph::new(&route, &pieces);
        self.free(&route, used);
        self.advance(now, key);
    }

    /// Ends an exchange without an endpoint's answer.
    fn give_up(&mut self, now: Duration, key: ExchangeKey, refusal: Refusal) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        if exchange.has_begun {
            self.actions.push(Action::Break(key));
            self.close(key);
            return;
        }
        let has_run = exchange.has_run || exchange.was_called || refusal == Refusal::TimedOut;
        let refusal = match refusal {
            Refusal::Infeasible | Refusal::Unserved if has_run => Refusal::Failed,
            other => other,
        };
        let usual = if refusal == Refusal::Infeasible { LONG_AWAY } else { USUAL_AWAY };
        let may_come_back = !has_run || exchange.route.kind.may_repeat();
        let remaining = exchange.due.saturating_sub(now);
        let away = usual.min(remaining.mul_f64(AWAY_SHARE));
        let retry_after = (may_come_back && away >= SHORTEST_AWAY).then_some(away);
        self.actions.push(Action::Refuse { exchange: key, refusal, retry_after });
        self.close(key);
    }

    /// Forgets an exchange and gives up all that it holds.
    fn close(&mut self, key: ExchangeKey) {
        let Some(mut exchange) = self.exchanges.remove(key) else { return };
        self.due.remove(&(exchange.due, key));
        self.searching.remove(&key);
        self.batches.drop_waiting(|origin| *origin == Origin::Own(key));
        for handover in exchange.handovers.drain(..) {
            self.handovers.remove(handover);
            self.actions.push(Action::Recall(handover));
        }
        let held = exchange.graph.take_all();
        self.free(&exchange.route, held);
    }

    fn free_results(&mut self, key: ExchangeKey) {
        let exchange = &mut self.exchanges[key];
        let (route, held) = (exchange.route.clone(), exchange.graph.take_all());
        self.free(&route, held);
    }

    fn free_stray(&mut self, one: Finished) {
        if let Ok(handle) = one.result {
            self.free_at(&one.piece.service, vec![handle]);
        }
    }

    /// Gives up results of an exchange's stages.
    fn free(&mut self, route: &Route, results: Vec<(usize, Handle)>) {
        let mut by_service: Vec<(ServiceName, Vec<Handle>)> = Vec::new();
        for (stage, handle) in results {
            let service = &route.stages[stage].service;
            match by_service.iter_mut().find(|(known, _)| known == service) {
                Some((_, handles)) => handles.push(handle),
                None => by_service.push((service.clone(), vec![handle])),
            }
        }
        for (service, handles) in by_service {
            self.free_at(&service, handles);
        }
    }

    /// Gives results up through the instance that batches their service, so
    /// that it knows how much room its endpoints have.
    fn free_at(&mut self, service: &str, handles: Vec<Handle>) {
        match self.owner(service) {
            Some(peer) => self.actions.push(Action::FreeThrough { peer, handles }),
            None => self.free_here(handles),
        }
    }

    /// Gives results up at the endpoints that hold them.
    pub fn free_here(&mut self, handles: Vec<Handle>) {
        self.batches.freed(&handles);
        self.has_room = true;
        let mut by_addr: Vec<(Arc<str>, Vec<Handle>)> = Vec::new();
        for handle in handles {
            let Some(addr) = holder(&handle) else { continue };
            match by_addr.iter_mut().find(|(known, _)| **known == *addr) {
                Some((_, list)) => list.push(handle),
                None => by_addr.push((Arc::from(addr), vec![handle.clone()])),
            }
        }
        let actions = by_addr.into_iter().map(|(addr, handles)| Action::Free { addr, handles });
        self.actions.extend(actions);
    }

    fn exchange_of(&self, call: CallKey) -> Option<ExchangeKey> {
        match self.calls.get(call)?.exchange {
            ExchangeOf::Exchange(key) if self.exchanges.contains_key(key) => Some(key),
            _ => None,
        }
    }

    fn note_answer(&mut self, now: Duration, call: CallKey, load: Option<Load>) {
        let Some(state) = self.calls.get_mut(call) else { return };
        if std::mem::replace(&mut state.is_answered, true) {
            return;
        }
        let took = now.saturating_sub(state.started);
        if let Some(endpoint) = self.directory.get_mut(state.endpoint) {
            endpoint.answered(now, took, load);
        }
    }

    fn note_read(&mut self, call: CallKey) {
        let Some(state) = self.calls.get_mut(call) else { return };
        let tokens = std::mem::take(&mut state.tokens);
        if let Some(endpoint) = self.directory.get_mut(state.endpoint) {
            endpoint.read(tokens);
        }
    }

    fn cancel(&mut self, _now: Duration, call: CallKey) {
        self.actions.push(Action::Cancel(call));
        self.end_call(call);
    }

    fn end_call(&mut self, call: CallKey) {
        self.note_read(call);
        let Some(state) = self.calls.remove(call) else { return };
        if let Some(endpoint) = self.directory.get_mut(state.endpoint) {
            endpoint.ended();
        }
        if let ExchangeOf::Exchange(key) = state.exchange
            && let Some(exchange) = self.exchanges.get_mut(key)
        {
            exchange.call = None;
        }
    }

    /// Pays for sending a piece again that was or may have been made.
    fn may_send_again(&mut self, now: Duration, piece: &Piece) -> bool {
        !piece.is_repeat || self.spend(now, &piece.service.clone(), 1)
    }

    fn earn(&mut self, now: Duration, service: &ServiceName, count: u32) {
        self.allowance(service).earn(now, count);
    }

    fn spend(&mut self, now: Duration, service: &ServiceName, count: u32) -> bool {
        let instances = self.instances();
        self.allowance(service).spend(now, count, instances)
    }

    fn allowance(&mut self, service: &ServiceName) -> &mut Allowance {
        let bound = self.settings.bound;
        self.allowances.entry(service.clone()).or_insert_with(|| Allowance::new(bound))
    }
}

impl Exchange {
    /// The pieces of a stage. `rest` is the time that is needed behind it.
    fn new_pieces(&self, stage: usize, rest: Rest) -> Vec<Piece> {
        let Route { stages, .. } = &*self.route;
        let inputs = self.graph.inputs(&self.route, stage);
        let key = if inputs.is_empty() { self.arrival.piece_key.clone() } else { None };
        let home = self.home_of(stage);
        let piece = |number| Piece {
            service: stages[stage].service.clone(),
            request: self.arrival.id.clone(),
            stage: stage as u16,
            number,
            key: key.clone(),
            inputs: inputs.clone(),
            bytes: stages[stage].bytes,
            due: self.due.saturating_sub(rest.least),
            aim: self.aim.saturating_sub(rest.usual),
            priority: self.priority,
            home: home.clone(),
            round: self.rounds,
            tries: 0,
            is_repeat: self.rounds > 0,
        };
        (0..self.graph.pieces(stage) as u16).map(piece).collect()
    }

    /// Where a stage should be done: where most of what it takes in lies, or
    /// where its results will be taken in, if either is large.
    fn home_of(&self, stage: usize) -> Option<DataCentre> {
        let inputs = self.graph.input_places(&self.route, stage);
        let most = inputs.into_iter().max_by_key(|(_, bytes)| *bytes);
        let near_inputs = most.filter(|(_, bytes)| *bytes >= LARGE_RESULT).map(|(place, _)| place);
        let has_large = self.route.stages[stage].bytes >= LARGE_RESULT;
        near_inputs.or_else(|| self.home.clone().filter(|_| has_large))
    }
}

/// The piece, if another call may do better.
fn another_try(one: &Finished) -> Option<Piece> {
    let may_do_better = matches!(one.result, Err(PieceFailure::NoRoom | PieceFailure::Failed));
    let piece = &one.piece;
    let is_repeat = one.result != Err(PieceFailure::NoRoom);
    let tries = piece.tries + u8::from(is_repeat);
    (may_do_better && tries < MAX_TRIES).then(|| Piece { tries, is_repeat, ..piece.clone() })
}

/// Time from the last stage to the first token.
fn generation_time(exchange: &Exchange) -> Duration {
    let Some(prompt) = &exchange.arrival.prompt else { return Duration::ZERO };
    FIRST_TOKEN + Duration::from_millis(u64::from(prompt.input / READ_TOKENS_PER_MS))
}

/// The address of the endpoint that holds a result: a handle begins with it.
fn holder(handle: &str) -> Option<&str> {
    handle.split_once('/').map(|(addr, _)| addr)
}
