//! One entry instance as a state machine: it turns inputs into actions.
//!
//! The event loop owns the sockets. It passes every [`Input`] with its time to [`Instance::handle`]
//! and carries out the returned [`Action`]s in order. It takes no decisions.
//!
//! A request is *active* from its arrival until its one outcome is sent. A non-idempotent request
//! first waits for its claim. Each stage of a request then waits in its pool's queue and runs as
//! one or more calls. Rules:
//!
//! - Timers are handled before the input, so that a process that was paused past a deadline cannot
//!   act on a late reply or a late claim.
//! - A call counts as possibly run from the moment it is handed to the event loop until the event
//!   loop or the endpoint proves that nothing of it ran. The outcome is `NotRun` only while no call
//!   of the request counts as possibly run.
//! - A reply is accepted only if its echo matches the call; no other content of it is trusted.
//!
//! Submodules in the order in which they handle a request: [`admit`], [`claiming`], [`stages`],
//! [`replies`], [`ending`]. Others: [`platform`] (log and list), [`peers`], [`plan`], [`policies`],
//! [`estimates`], [`status`]. State: [`held`], [`lanes`], [`timers`], [`finished`], [`counters`],
//! [`settings`].

pub mod action;
pub mod admit;
pub mod claiming;
pub mod counters;
pub mod ending;
pub mod estimates;
pub mod finished;
pub mod held;
pub mod input;
pub mod lanes;
pub mod peers;
pub mod plan;
pub mod platform;
pub mod policies;
pub mod replies;
pub mod settings;
pub mod stages;
pub mod status;
pub mod timers;

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    admission::probe::ProbePacer,
    budget, claims, config_log,
    content::Content,
    endpoints,
    instance::{
        action::Action,
        counters::Counters,
        estimates::{Latencies, TeamUsage},
        finished::FinishedRequests,
        held::{ActiveRequest, CallInFlight, CallKey, RequestKey},
        input::{Identity, Input},
        lanes::PoolQueues,
        plan::Plan,
        settings::Settings,
        timers::{Timer, Timers},
    },
    membership,
    model::{AppendId, CallerId, PipelineName, RequestId, TeamName},
    record::{Offset, Snapshot, Stream},
};

/// One entry instance.
pub struct Instance {
    identity: Identity,
    settings: Settings,
    content: Content,
    now: Duration,
    rng: SmallRng,
    config_reader: config_log::ConfigReader,
    plan: Option<Rc<Plan>>,
    /// Why the version in force cannot be used; `None` if it can.
    plan_error: Option<Arc<str>>,
    claims: claims::Claims,
    members: membership::Members,
    table: endpoints::Table,
    requests: SlotMap<RequestKey, ActiveRequest>,
    calls: SlotMap<CallKey, CallInFlight>,
    callers: HashMap<CallerId, RequestKey>,
    /// Active non-idempotent requests by their id.
    claimants: HashMap<RequestId, RequestKey>,
    probes: HashMap<PipelineName, ProbePacer>,
    teams: HashMap<TeamName, TeamUsage>,
    queues: PoolQueues,
    latencies: Latencies,
    budget: budget::RetryBudget,
    timers: Timers,
    finished: FinishedRequests,
    counters: Counters,
    pending_appends: HashMap<AppendId, AppendKind>,
    last_append: u64,
    last_log_read: Option<Duration>,
    has_listing: bool,
    stopping: Option<Stopping>,
    actions: Vec<Action>,
}

/// What a pending append contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendKind {
    Snapshot,
    Claims,
}

/// A planned stop in progress.
#[derive(Debug, Clone, Copy)]
struct Stopping {
    since: Duration,
    idle_since: Option<Duration>,
    has_exited: bool,
}

impl Instance {
    /// An instance without any state. `seed` seeds its random choices and the nonces of its claims,
    /// so it must differ between incarnations.
    pub fn new(identity: Identity, settings: Settings, seed: u64) -> Instance {
        Instance {
            rng: SmallRng::seed_from_u64(seed),
            content: Content::Keep,
            now: Duration::ZERO,
            config_reader: config_log::ConfigReader::new(),
            plan: None,
            plan_error: None,
            claims: claims::Claims::new(identity.clone(), settings.claims()),
            members: membership::Members::new(identity.clone(), settings.membership(), seed),
            table: endpoints::Table::new(settings.endpoints()),
            requests: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            callers: HashMap::new(),
            claimants: HashMap::new(),
            probes: HashMap::new(),
            teams: HashMap::new(),
            queues: PoolQueues::new(settings.decisions.fair_queue),
            latencies: Latencies::new(),
            budget: budget::RetryBudget::new(budget::Settings::default()),
            timers: Timers::default(),
            finished: FinishedRequests::new(settings.finished),
            counters: Counters::default(),
            pending_appends: HashMap::new(),
            last_append: 0,
            last_log_read: None,
            has_listing: false,
            stopping: None,
            actions: Vec::new(),
            identity,
            settings,
        }
    }

    /// Sets how texts are treated; a replay may have only their hashes.
    #[must_use]
    pub fn with_content(self, content: Content) -> Instance {
        Instance { content, ..self }
    }

    /// Handles one input and returns the actions to carry out, in order.
    ///
    /// `now` is monotonic; it may jump ahead by any amount.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        self.table.tick(self.now);
        self.fire_timers();
        self.apply_input(input);
        self.send_gossip();
        self.dispatch_all();
        self.flush_claims();
        self.check_stop();
        std::mem::take(&mut self.actions)
    }

    /// When [`Input::Tick`] should be passed at the latest, as a time for [`Instance::handle`].
    pub fn next_wake(&self) -> Option<Duration> {
        [
            self.timers.next(),
            self.members.next_wake(),
            self.claims.next_wake(),
            self.table.next_wake(),
            self.stop_wake(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Offset at which the next read of the configuration stream starts.
    pub fn next_config_offset(&self) -> Offset {
        self.config_reader.next_offset()
    }

    /// Offset at which the next read of the claims stream starts.
    pub fn next_claims_offset(&self) -> Offset {
        self.claims.next_offset()
    }

    /// The configuration in force; `None` while it is unknown.
    pub fn in_force(&self) -> Option<&Snapshot> {
        self.config_reader.current()
    }

    /// Whether a stream has been read to its end at least once. Until then it should be read
    /// without waiting for new records: only an empty read shows the end, and under load a read
    /// that waits always returns some.
    pub fn has_reached_end(&self, stream: Stream) -> bool {
        match stream {
            Stream::Config => self.config_reader.has_reached_end(),
            Stream::Claims => self.claims.is_caught_up(),
        }
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn apply_input(&mut self, input: Input) {
        match input {
            Input::Submit { caller, request } => self.on_submit(caller, request),
            Input::CallerGone(caller) => self.on_caller_gone(caller),
            Input::Call { call, event } => self.on_call_event(call, event),
            Input::ConfigRead(batch) => self.on_config_read(&batch),
            Input::ClaimsRead(batch) => self.on_claims_read(&batch),
            Input::ReadFailed(stream) => self.on_read_failure(stream),
            Input::Appended { append, .. } => self.on_append_end(append, true),
            Input::AppendFailed(append) => self.on_append_end(append, false),
            Input::Listed(listing) => self.on_listing(&listing),
            Input::ListFailed | Input::Tick => {}
            Input::Gossip(message) => self.on_gossip(&message),
            Input::PeerFailed(peer) => self.members.send_failed(self.now, &peer),
            Input::OutcomeAsked { question, key } => self.on_outcome_query(question, &key),
            Input::OutcomeTold { key, answer, .. } => self.on_outcome_reply(&key, answer),
            Input::Stop => self.on_stop(),
        }
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Deadline(key) => self.on_deadline(key),
                Timer::Hedge(call) => self.on_hedge_timer(call),
                Timer::Stall(call) => self.on_stall_timer(call),
                Timer::Requeue(key) => self.on_requeue_timer(key),
                Timer::WinnerReply(key) => self.on_winner_timeout(key),
            }
        }
    }
}
