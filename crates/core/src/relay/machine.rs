//! The relay as a state machine: what happened goes in by methods, what is to
//! be done comes out as actions.
//!
//! This module holds the state and what every part needs; `calls`, `stages`,
//! `results` and `ending` are the parts of an exchange's life, `moves` gives calls
//! up and makes them elsewhere, `intake` decides whether it begins, `plan` by when
//! its stages have to be done, `queues` where pieces wait, `placing` finds engines for all instances,
//! `quarantine` keeps requests from endpoints that end under them, `evacuation` all
//! requests from data centres that operators have emptied, `pace` most of them from
//! endpoints that bear few, `terms` what endpoints say of themselves,
//! `policies` is where operators' programs decide.

mod calls;
mod ending;
mod evacuation;
mod intake;
mod moves;
mod pace;
mod placing;
mod plan;
mod policies;
mod quarantine;
mod queues;
mod results;
mod stages;
mod terms;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use peatdeck_macros::data;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    model::{DataCentre, InstanceName, TeamName},
    policy::Program,
    relay::{
        allowance::{RetryBudget, RetryBudgetConfig},
        batch::Batcher,
        choice,
        config::Config,
        directory::{Change, ChangeEffect, Directory, EndedEndpoint},
        exchange::{CallState, Exchange},
        fingerprint::Fingerprint,
        graph::StageGraph,
        model::{
            Action, Arrival, CallKey, EndpointKey, ExchangeKey, HandoverKey, Peer, Piece,
            PieceResult, Progress, Refusal, RunNumber, ServiceName,
        },
        quarantine::Quarantine,
        reading::PrefillSpeed,
        terms::Notice,
    },
};

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
    pub bound: RetryBudgetConfig,
    /// Instances that share the bound while no more are known.
    pub instances: usize,
    /// Its processor's share, in thousandths of a core.
    pub strength: u32,
}

/// The relay.
pub struct Relay {
    settings: Settings,
    rng: SmallRng,
    config: Option<Arc<Config>>,
    directory: Directory,
    memory: choice::prompts::SentParts,
    exchanges: SlotMap<ExchangeKey, Exchange>,
    calls: SlotMap<CallKey, CallState>,
    handovers: SlotMap<HandoverKey, Handover>,
    batches: Batcher,
    tickets: HashMap<u64, Ticket>,
    allowances: HashMap<ServiceName, RetryBudget>,
    /// How fast engines read.
    speeds: HashMap<ServiceName, PrefillSpeed>,
    stage_times: intake::StageTimes,
    peers: Vec<Peer>,
    /// Peers that did not answer a hand-over, and until when they get none.
    avoided: HashMap<InstanceName, Duration>,
    announced: usize,
    /// Until when requests that peers may have a part in wait for word of them.
    peers_by: Duration,
    /// Until when all requests wait for word of what is in force.
    news_by: Duration,
    /// Placers that did not answer, and until when they are not asked.
    mute_placers: HashMap<InstanceName, Duration>,
    /// Engines that were asked what they hold, and when this instance last
    /// placed a prompt.
    listed: HashSet<EndpointKey>,
    placed_at: Duration,
    /// The engines of the calls that this instance placed, by their numbers.
    runs: HashMap<RunNumber, EndpointKey>,
    next_run: RunNumber,
    /// How long calls are at engines, as a moving average.
    run_time: Duration,
    /// What placers are to be told, and when.
    reports: HashMap<InstanceName, Vec<Progress>>,
    /// Limits that go with these.
    notices: HashMap<InstanceName, Vec<Notice>>,
    report_at: Duration,
    is_batching: bool,
    quarantine: Quarantine,
    /// Whether it is known what is held back. Nothing is sent before.
    knows_quarantine: bool,
    /// Runs that were cut lately, by the endpoint's life.
    cuts: HashMap<EndpointKey, quarantine::Cuts>,
    policy: Option<Program>,
    /// Room has become free that waiting pieces may need.
    has_room: bool,
    due: BTreeSet<(Duration, ExchangeKey)>,
    /// When first tokens of engines are overdue.
    overdue: BTreeSet<(Duration, CallKey)>,
    /// When the engines that are called with results have probably read them.
    spare_at: BTreeSet<(Duration, ExchangeKey)>,
    /// When who batches a service told last that pieces wait there.
    queues: HashMap<ServiceName, Duration>,
    /// When this instance tells of its own queues next.
    next_word: Duration,
    /// How long after its call an engine has probably read them.
    read_time: Duration,
    searching: BTreeSet<ExchangeKey>,
    next_search: Duration,
    next_clean: Duration,
    actions: Vec<Action>,
}

/// What an arrival was taken in as.
#[data]
pub struct ExchangeSummary {
    /// The route.
    pub route: Arc<str>,
    /// The service that is to answer.
    pub service: ServiceName,
    /// The team.
    pub team: Option<TeamName>,
    /// What it asks for, and for whom.
    pub content: Fingerprint,
    /// How long it is kept waiting at the most.
    pub wait: Duration,
    /// Pieces of each stage.
    pub pieces: Vec<u16>,
}

/// Pieces of an exchange that were handed to a peer, until it returns them.
#[derive(Debug)]
struct Handover {
    exchange: ExchangeKey,
    peer: InstanceName,
    pieces: Vec<Piece>,
}

/// A peer's pieces that are being made here.
#[derive(Debug)]
struct Ticket {
    results: Vec<Option<PieceResult>>,
}

impl Relay {
    /// A relay that knows nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Relay {
        // Numbers of an earlier life of this instance may still be reported.
        let next_run = u64::from(SmallRng::seed_from_u64(!seed).random::<u32>()) << 32;
        Relay {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            config: None,
            directory: Directory::default(),
            memory: choice::prompts::SentParts::default(),
            exchanges: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            handovers: SlotMap::with_key(),
            batches: Batcher::default(),
            tickets: HashMap::new(),
            allowances: HashMap::new(),
            speeds: HashMap::new(),
            stage_times: intake::StageTimes::default(),
            peers: Vec::new(),
            avoided: HashMap::new(),
            announced: 0,
            peers_by: Duration::ZERO,
            news_by: Duration::ZERO,
            mute_placers: HashMap::new(),
            listed: HashSet::new(),
            placed_at: Duration::ZERO,
            runs: HashMap::new(),
            next_run,
            run_time: placing::FIRST_RUN_TIME,
            reports: HashMap::new(),
            notices: HashMap::new(),
            report_at: Duration::ZERO,
            is_batching: true,
            quarantine: Quarantine::default(),
            knows_quarantine: false,
            cuts: HashMap::new(),
            policy: None,
            has_room: false,
            due: BTreeSet::new(),
            overdue: BTreeSet::new(),
            spare_at: BTreeSet::new(),
            queues: HashMap::new(),
            next_word: Duration::ZERO,
            read_time: results::FIRST_READ_TIME,
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
    pub fn describe(&self, key: ExchangeKey) -> Option<ExchangeSummary> {
        let exchange = self.exchanges.get(key)?;
        Some(ExchangeSummary {
            route: exchange.route.name.clone(),
            service: exchange.service.clone(),
            team: exchange.team.clone(),
            content: exchange.content,
            wait: exchange.deadline.saturating_sub(exchange.started_at),
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
        if self.has_room && !self.batches.waiting_services().is_empty() {
            return now;
        }
        let due = self.due.first().map(|(at, _)| *at);
        let search = (!self.searching.is_empty()).then_some(self.next_search);
        let spare = self.spare_at.first().map(|(at, _)| *at);
        let batch = self.batches.next_wake(now);
        let overdue = self.overdue.first().map(|(at, _)| *at);
        let report = self.next_report();
        let word = (!self.batches.waiting_services().is_empty()).then_some(self.next_word.max(now));
        [due, overdue, search, spare, batch, report, word]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.next_clean)
    }

    /// Takes in a configuration. An older one is passed over; false then.
    pub fn configure(&mut self, config: Arc<Config>) -> bool {
        if self.config.as_ref().is_some_and(|known| known.version >= config.version) {
            return false;
        }
        self.config = Some(config);
        true
    }

    /// Takes in a change of the directory.
    pub fn apply_change(&mut self, now: Duration, change: Change) -> ChangeEffect {
        let change = self.unless_strange(change);
        let changed = self.directory.apply_change(now, change);
        if let Some(EndedEndpoint { endpoint, is_planned }) = changed.ended {
            self.end_life(now, endpoint, is_planned);
        }
        if changed.is_new {
            self.search(now);
            self.make_all(now);
        }
        changed
    }

    /// An entry that moves a known endpoint to a service that the configuration does
    /// not name is nobody's: anybody may write to the directory.
    fn unless_strange(&self, change: Change) -> Change {
        let Change::Put(entry) = &change else { return change };
        let Some(config) = &self.config else { return change };
        let known = self.directory.service_of(&entry.name);
        let is_moved = known.is_some_and(|known| *known != entry.service);
        match is_moved && !config.services.contains_key(&entry.service) {
            true => Change::Unreadable(entry.name.clone()),
            false => change,
        }
    }

    /// Hands no piece to itself any more where a peer can batch it: its peers
    /// do not count on this instance from now on.
    pub fn stop_batching(&mut self) {
        self.is_batching = false;
    }

    /// Takes in which peers are taken for alive, and how many instances there
    /// are at the most: those that ever announced themselves.
    pub fn set_peers(&mut self, now: Duration, peers: Vec<Peer>, announced: usize) {
        self.avoided.retain(|_, until| now < *until);
        self.mute_placers.retain(|_, until| now < *until);
        let is_known = |peer: &Peer| self.peers.iter().any(|known| known.name == peer.name);
        let has_joined = !peers.iter().all(is_known);
        self.peers = peers;
        self.announced = announced;
        if has_joined {
            self.tell_joined();
        }
    }

    /// An instance that has just started does not know its peers yet: until then,
    /// or until that time, requests with stages or prompts wait. After a common
    /// restart of 295 instances, 173 of them sent calls for pieces themselves in
    /// the fifth of a second before they knew each other, and 8,000 of these found
    /// their endpoint full.
    pub fn hold_for_peers(&mut self, until: Duration) {
        self.peers_by = until;
    }

    /// This instance stood still and does not know what is in force: until it does,
    /// or until that time, all requests wait. An instance that was suspended for half
    /// a minute sent by the routes of before until its first look at the tables.
    pub fn hold_for_tables(&mut self, until: Duration) {
        self.news_by = until;
    }

    /// What is in force is known again.
    pub fn mark_tables_read(&mut self, now: Duration) {
        if now < std::mem::take(&mut self.news_by) {
            self.search(now);
        }
    }

    /// The peers are known now.
    pub fn mark_peers_known(&mut self, now: Duration) {
        if now < std::mem::take(&mut self.peers_by) {
            self.search(now);
        }
    }

    /// A caller's request has been read whole.
    pub fn on_request(&mut self, now: Duration, arrival: Arrival) -> Result<ExchangeKey, Refusal> {
        let config = self.config.clone().filter(|_| self.knows_quarantine);
        let config = config.ok_or(Refusal::NotReady)?;
        let route = config.route(&arrival.host, &arrival.path).ok_or(Refusal::NoRoute)?;
        let team = config.team(arrival.key.as_deref());
        if config.needs_key() && !route.is_public && team.is_none() {
            return Err(Refusal::UnknownKey);
        }
        let service = route.target(self.rng.random()).ok_or(Refusal::Unserved)?.clone();
        let wait = arrival.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        let exchange = Exchange {
            graph: StageGraph::new(route, &arrival.pieces),
            route: route.clone(),
            service,
            team: team.map(|team| team.name.clone()),
            content: arrival.content.for_team(team.map(|team| &*team.name)),
            priority: team.and_then(|team| team.priority).unwrap_or(route.priority),
            started_at: now,
            deadline: now + wait,
            target: now + route.objective.min(wait),
            destination: None,
            handovers: Vec::new(),
            call: None,
            is_placement_pending: false,
            tried: Vec::new(),
            attempts: 0,
            has_run: false,
            was_called: false,
            last_event: arrival.resume,
            has_sent_head: false,
            stage_starts: Vec::new(),
            has_evictable_results: false,
            rounds: 0,
            wait_until: None,
            arrival,
        };
        self.earn(now, &exchange.service, 1);
        let due = exchange.deadline;
        let key = self.exchanges.insert(exchange);
        self.due.insert((due, key));
        if !self.takes_in(now, key) {
            self.give_up(now, key, Refusal::Infeasible);
        } else if self.policy_admits(now, key) {
            self.exchanges[key].priority = self.policy_priority(now, key);
            self.advance(now, key);
        } else {
            self.give_up(now, key, Refusal::Policy);
        }
        Ok(key)
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Duration) {
        self.tick_quietly(now);
        if now >= self.next_search && !self.searching.is_empty() {
            self.search(now);
        }
        self.move_overdue(now);
        self.send_reports(now);
        self.spare_results(now);
        self.tell_queues(now);
        self.spare_inputs(now);
        self.make_stragglers_again(now);
        self.make_all(now);
        if now >= self.next_clean {
            self.next_clean = now + CLEAN_UP;
            self.directory.forget(now);
            self.release_old(now);
            self.forget_runs();
            self.forget_limits(now);
            self.batches.forget_removed(&self.directory);
        }
    }

    /// Goes on with an exchange: its next stages, or its call.
    fn advance(&mut self, now: Duration, key: ExchangeKey) {
        if self.held_for(now, key).is_some() {
            self.refuse_held(now, key);
            return;
        }
        if self.needs_evacuated(now, key) {
            self.give_up(now, key, Refusal::Evacuated);
            return;
        }
        let exchange = &self.exchanges[key];
        let is_shared = !exchange.graph.is_complete() || exchange.arrival.prompt.is_some();
        if now < self.news_by || (is_shared && now < self.peers_by) {
            self.look_again(now, key);
            return;
        }
        if !exchange.graph.is_complete() {
            self.start_stages(now, key);
            return;
        }
        self.call(now, key);
    }

    /// Instances that may be alive. Those that are only out of sight count: they
    /// repeat out of the same bound.
    fn instances(&self) -> usize {
        (self.peers.len() + 1).max(self.announced).max(self.settings.instances)
    }

    fn earn(&mut self, now: Duration, service: &ServiceName, count: u32) {
        self.allowance(service).deposit(now, count);
    }

    fn spend(&mut self, now: Duration, service: &ServiceName, count: u32) -> bool {
        let instances = self.instances();
        self.allowance(service).try_withdraw(now, count, instances)
    }

    fn allowance(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let bound = self.settings.bound;
        self.allowances.entry(service.clone()).or_insert_with(|| RetryBudget::new(bound))
    }
}
