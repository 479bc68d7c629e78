//! The relay as a state machine without I/O: its methods take in events, and the event loop
//! carries out the [`Action`]s that they queue.
//!
//! This module holds the state and what all submodules need. `calls`, `stages`, `handovers`,
//! `results` and `ending` implement the phases of an exchange; `moves` cancels calls and retries
//! them on other endpoints; `requests` takes them in, `intake` decides whether a request is
//! admitted; `plan` computes the deadlines of its stages; `queues` reports backlogs of pieces;
//! `placing` chooses engines for all instances, `runs` records the calls that go there;
//! `quarantine` stops requests that crash endpoints; `evacuation` keeps all requests away from
//! evacuated data centres; `ranking` selects the instance that does a task for all; `regions`
//! assigns each request to a region; `pace` limits the calls to endpoints that are cold or state a
//! limit; `paths` calls endpoints through peers that this instance cannot connect to, `silence`
//! finds connections that carry nothing; `surroundings` takes in the configuration, the directory
//! and the peers; `terms` processes what endpoints report of themselves; `unassigned` keeps
//! entries whose service is not configured; `policies` runs the operators' programs; `rollouts`
//! moves services to new versions: `canary` selects the requests that go there, `replies` counts
//! how they end, `deciding` writes what is decided; `streams` keeps a stream at the version that
//! began it, `stream_records` has others remember that version, and `versions` has the platform's
//! store list all versions.

mod calls;
mod canary;
mod deciding;
mod ending;
mod evacuation;
mod handovers;
mod intake;
mod moves;
mod pace;
mod paths;
mod placing;
mod plan;
mod policies;
mod quarantine;
mod queues;
mod ranking;
mod regions;
mod replies;
mod reply_ends;
mod requests;
mod results;
mod rollouts;
mod runs;
mod silence;
mod stages;
mod stream_records;
mod streams;
mod surroundings;
mod terms;
mod timers;
mod unassigned;
mod versions;

pub use requests::ExchangeSummary;
pub use streams::StoredOrigins;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use peatdeck_macros::data;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    model::{DataCentre, EndpointName, InstanceName},
    policy::Program,
    relay::{
        allowance::{RetryBudget, RetryBudgetConfig},
        batch::Batcher,
        choice,
        config::Config,
        directory::{Directory, Entry},
        exchange::{CallState, Exchange},
        model::{
            Action, CallKey, EndpointKey, ExchangeKey, HandoverKey, Peer, Piece, PieceResult,
            Progress, Refusal, RunNumber, ServiceName,
        },
        paths::Paths,
        peer_losses::PeerLosses,
        quarantine::Quarantine,
        reading::PrefillSpeed,
        region::RegionMap,
        registry::VersionRegistry,
        rollout,
        stream_log::StreamLog,
        streams::{StreamRecord, StreamVersions},
        terms::Notice,
    },
};

/// How often the stages of an exchange are started at most.
const MAX_ROUNDS: u8 = 2;
/// Settings of the state machine, fixed at its start.
#[data]
pub struct Settings {
    /// Name of this instance.
    pub name: InstanceName,
    /// Data centre of this instance.
    pub data_centre: DataCentre,
    /// The retry budget that all instances share.
    pub retry_budget: RetryBudgetConfig,
    /// Number of instances that share the retry budget while fewer are known.
    pub min_instances: usize,
    /// CPU share of this instance, in thousandths of a core.
    pub millicores: u32,
    /// The regions of the deployment.
    pub regions: RegionMap,
    /// Limits of rollouts; `None` if the deployment has none, and versions are ignored.
    pub rollout: Option<rollout::Limits>,
    /// How often endpoints write their entries in the directory at least.
    pub entry_interval: Duration,
}

/// The relay's state machine.
pub struct Relay {
    settings: Settings,
    rng: SmallRng,
    config: Option<Arc<Config>>,
    directory: Directory,
    /// The newest entry of each name that names no service of the configuration.
    unassigned: BTreeMap<EndpointName, Entry>,
    sent_parts: choice::prompts::SentParts,
    exchanges: SlotMap<ExchangeKey, Exchange>,
    calls: SlotMap<CallKey, CallState>,
    handovers: SlotMap<HandoverKey, Handover>,
    batcher: Batcher,
    tickets: HashMap<u64, Ticket>,
    retry_budgets: HashMap<ServiceName, RetryBudget>,
    /// How fast the engines of each service read prompts.
    prefill_speeds: HashMap<ServiceName, PrefillSpeed>,
    stage_times: intake::StageTimes,
    peers: Vec<Peer>,
    /// When peers have ended.
    losses: PeerLosses,
    /// Peers that did not answer a hand-over, and until when they get none.
    unresponsive_peers: HashMap<InstanceName, Duration>,
    announced_count: usize,
    /// Requests that need peers (for stages or prompts) wait until this time at the latest
    /// for the list of peers.
    peers_deadline: Duration,
    /// All requests wait until this time at the latest for the platform's tables to be read
    /// again.
    tables_deadline: Duration,
    /// Placers that did not answer, and until when this instance does not ask them.
    unresponsive_placers: HashMap<InstanceName, Duration>,
    /// Engines that this instance asked for the prompt parts that they hold, and when it last
    /// placed a prompt.
    queried_engines: HashSet<EndpointKey>,
    last_placement: Duration,
    /// The engines of the calls that this instance placed, by the numbers of the calls.
    runs: HashMap<RunNumber, EndpointKey>,
    next_run: RunNumber,
    /// Moving average of how long a call runs at an engine.
    average_run: Duration,
    /// Progress of calls that is to be sent to their placers at `report_at`.
    progress_reports: HashMap<InstanceName, Vec<Progress>>,
    /// Notices on endpoints that are sent with the progress reports.
    pending_notices: HashMap<InstanceName, Vec<Notice>>,
    report_at: Duration,
    is_batching: bool,
    paths: Paths,
    /// Calls on connections of this instance that have got no byte yet, by the time at which they
    /// were sent.
    waiting_calls: BTreeSet<(Duration, CallKey)>,
    /// When the last byte came from any endpoint.
    heard_at: Duration,
    /// When paths were last checked because no byte came from any endpoint.
    silence_checked_at: Duration,
    quarantine: Quarantine,
    /// Whether the quarantine table has been read. No request is admitted before.
    is_quarantine_read: bool,
    /// Runs whose connection was cut lately, by the incarnation of their endpoint.
    cut_runs: HashMap<EndpointKey, quarantine::CutRuns>,
    policy: Option<Program>,
    rollouts: rollouts::Rollouts,
    /// The versions that began streams, here or at peers that passed them on.
    streams: StreamVersions,
    /// Records of streams that are to be sent to peers at `streams_at`.
    stream_reports: HashMap<InstanceName, Vec<StreamRecord>>,
    streams_at: Duration,
    /// Records of streams that are to be appended to the store's log.
    stream_log: StreamLog,
    /// Exchanges that wait for the store to be read.
    readers: streams::OriginReaders,
    registry: VersionRegistry,
    /// When the store has to be asked to list versions again, or versions are held back no longer.
    registry_at: Option<Duration>,
    /// When the list of versions may be read again to see whether it is outdated.
    reread_at: Duration,
    /// Since when this instance has run without a suspension.
    observed_since: Duration,
    /// When the copy of the directory was last the same as the store's.
    directory_read_at: Duration,
    /// Whether result memory has become free that waiting pieces may need.
    has_freed_memory: bool,
    deadlines: BTreeSet<(Duration, ExchangeKey)>,
    /// When calls to engines that have not sent a first token become overdue.
    token_deadlines: BTreeSet<(Duration, CallKey)>,
    /// When the engines that were called with results have probably read them.
    evictable_at: BTreeSet<(Duration, ExchangeKey)>,
    /// When the batcher of each service last reported that pieces wait there.
    backlogs: HashMap<ServiceName, Duration>,
    /// When this instance next reports the backlogs of its own queues.
    next_backlog: Duration,
    /// How long after the start of a call an engine has probably read the results.
    read_delay: Duration,
    searching: BTreeSet<ExchangeKey>,
    next_search: Duration,
    next_cleanup: Duration,
    actions: Vec<Action>,
}

/// Pieces of an exchange that were handed to a peer, until it returns their results.
#[derive(Debug)]
struct Handover {
    exchange: ExchangeKey,
    peer: InstanceName,
    pieces: Vec<Piece>,
}

/// Pieces that a peer handed to this instance, with the results so far.
#[derive(Debug)]
struct Ticket {
    results: Vec<Option<PieceResult>>,
}

impl Relay {
    /// Creates a relay without configuration, endpoints or peers.
    pub fn new(settings: Settings, seed: u64) -> Relay {
        // Peers may still report progress under numbers of an earlier incarnation of this
        // instance.
        let next_run = u64::from(SmallRng::seed_from_u64(!seed).random::<u32>()) << 32;
        let mut directory = Directory::new(settings.regions.clone());
        directory.set_entry_interval(settings.entry_interval);
        if settings.rollout.is_some() {
            directory.heed_versions();
        }
        Relay {
            directory,
            settings,
            unassigned: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            config: None,
            sent_parts: choice::prompts::SentParts::default(),
            exchanges: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            handovers: SlotMap::with_key(),
            batcher: Batcher::default(),
            tickets: HashMap::new(),
            retry_budgets: HashMap::new(),
            prefill_speeds: HashMap::new(),
            stage_times: intake::StageTimes::default(),
            peers: Vec::new(),
            losses: PeerLosses::default(),
            unresponsive_peers: HashMap::new(),
            announced_count: 0,
            peers_deadline: Duration::ZERO,
            tables_deadline: Duration::ZERO,
            unresponsive_placers: HashMap::new(),
            queried_engines: HashSet::new(),
            last_placement: Duration::ZERO,
            runs: HashMap::new(),
            next_run,
            average_run: runs::INITIAL_RUN_TIME,
            progress_reports: HashMap::new(),
            pending_notices: HashMap::new(),
            report_at: Duration::ZERO,
            is_batching: true,
            paths: Paths::default(),
            waiting_calls: BTreeSet::new(),
            heard_at: Duration::ZERO,
            silence_checked_at: Duration::ZERO,
            quarantine: Quarantine::default(),
            is_quarantine_read: false,
            cut_runs: HashMap::new(),
            policy: None,
            rollouts: rollouts::Rollouts::default(),
            streams: StreamVersions::default(),
            stream_reports: HashMap::new(),
            streams_at: Duration::ZERO,
            stream_log: StreamLog::default(),
            readers: streams::OriginReaders::default(),
            registry: VersionRegistry::default(),
            registry_at: None,
            reread_at: Duration::ZERO,
            observed_since: Duration::ZERO,
            directory_read_at: Duration::ZERO,
            has_freed_memory: false,
            deadlines: BTreeSet::new(),
            token_deadlines: BTreeSet::new(),
            evictable_at: BTreeSet::new(),
            backlogs: HashMap::new(),
            next_backlog: Duration::ZERO,
            read_delay: results::INITIAL_READ_DELAY,
            searching: BTreeSet::new(),
            next_search: Duration::ZERO,
            next_cleanup: Duration::ZERO,
            actions: Vec::new(),
        }
    }

    /// Takes the actions that were queued since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The configuration in force; `None` until one has been read.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// The endpoints in this instance's directory.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Number of exchanges that have not ended.
    pub fn open_exchanges(&self) -> usize {
        self.exchanges.len()
    }

    /// Number of hand-overs from peers whose results have not been returned.
    pub fn open_tickets(&self) -> usize {
        self.tickets.len()
    }

    /// Continues an exchange: refuses it, starts its next stages or makes its call.
    fn advance(&mut self, now: Duration, key: ExchangeKey) {
        if self.quarantined_for(now, key).is_some() {
            self.refuse_quarantined(now, key);
            return;
        }
        if !self.ensure_region(now, key) || !self.ensure_bound(now, key) {
            return;
        }
        if self.needs_evacuated_service(now, key) {
            self.give_up(now, key, Refusal::Evacuated);
            return;
        }
        let exchange = &self.exchanges[key];
        let is_shared = !exchange.graph.is_complete() || exchange.arrival.prompt.is_some();
        if now < self.tables_deadline || (is_shared && now < self.peers_deadline) {
            self.search_later(now, key);
            return;
        }
        if !exchange.graph.is_complete() {
            self.start_stages(now, key);
            return;
        }
        self.call(now, key);
    }

    /// Upper bound of the live instances. Unreachable ones count, since they still spend from
    /// the shared retry budget.
    fn instance_count(&self) -> usize {
        (self.peers.len() + 1).max(self.announced_count).max(self.settings.min_instances)
    }

    fn deposit(&mut self, now: Duration, service: &ServiceName, count: u32) {
        self.retry_budget(service).deposit(now, count);
    }

    fn try_withdraw(&mut self, now: Duration, service: &ServiceName, count: u32) -> bool {
        let instances = self.instance_count();
        self.retry_budget(service).try_withdraw(now, count, instances)
    }

    fn retry_budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let config = self.settings.retry_budget;
        self.retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(config))
    }
}
