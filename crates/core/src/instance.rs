//! One entry instance as a state machine: inputs in, actions out.
//!
//! The event loop round it owns the sockets. It feeds every [`Input`] with its
//! time to [`Instance::handle`] and carries out the [`Action`]s in order. It
//! takes no decision of its own.
//!
//! A request is *held* from its arrival until its one outcome is sent. While
//! held it waits for its claim (non-idempotent requests only), then goes
//! through its stages: waiting in a pool's queue, then running as one or more
//! calls. The traps:
//!
//! - Timers fire before anything else is looked at, so that a process that
//!   was paused past a deadline cannot act on a late reply or a late claim.
//! - A call counts as *written* from the moment it is handed out, until the
//!   event loop or the endpoint proves that nothing of it ran. "Not run" is
//!   only said while no call counts as written.
//! - Nothing here trusts a reply's content further than its echo.
//!
//! Map of the submodules, in the order a request meets them: [`admit`],
//! [`claiming`], [`stages`], [`replies`], [`ending`]; beside them [`platform`]
//! (log and list), [`peers`], [`plan`], [`policies`], [`estimates`], [`status`];
//! and the state they work on: [`held`], [`lanes`], [`timers`], [`finished`],
//! [`counters`], [`settings`].

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
        estimates::{Latencies, TeamUse},
        finished::Finished,
        held::{CallKey, Flight, Held, RequestKey},
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
    fold: config_log::ConfigReader,
    plan: Option<Rc<Plan>>,
    broken: Option<Arc<str>>,
    claims: claims::Claims,
    members: membership::Members,
    table: endpoints::Table,
    held: SlotMap<RequestKey, Held>,
    calls: SlotMap<CallKey, Flight>,
    callers: HashMap<CallerId, RequestKey>,
    single: HashMap<RequestId, RequestKey>,
    probes: HashMap<PipelineName, ProbePacer>,
    teams: HashMap<TeamName, TeamUse>,
    lanes: PoolQueues,
    latencies: Latencies,
    budget: budget::RetryBudget,
    timers: Timers,
    finished: Finished,
    counters: Counters,
    appends: HashMap<AppendId, Append>,
    last_append: u64,
    last_read: Option<Duration>,
    was_listed: bool,
    stopping: Option<Stopping>,
    actions: Vec<Action>,
}

/// What an append carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Append {
    Snapshot,
    Claims,
}

/// A stop in progress.
#[derive(Debug, Clone, Copy)]
struct Stopping {
    since: Duration,
    idle: Option<Duration>,
    exited: bool,
}

impl Instance {
    /// An instance that knows nothing yet. `seed` feeds its random choices and
    /// the numbers of its claims, so it must differ between lives.
    pub fn new(identity: Identity, settings: Settings, seed: u64) -> Instance {
        Instance {
            rng: SmallRng::seed_from_u64(seed),
            content: Content::Keep,
            now: Duration::ZERO,
            fold: config_log::ConfigReader::new(),
            plan: None,
            broken: None,
            claims: claims::Claims::new(identity.clone(), settings.claims()),
            members: membership::Members::new(identity.clone(), settings.membership(), seed),
            table: endpoints::Table::new(settings.endpoints()),
            held: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            callers: HashMap::new(),
            single: HashMap::new(),
            probes: HashMap::new(),
            teams: HashMap::new(),
            lanes: PoolQueues::new(settings.decisions.fair_queue),
            latencies: Latencies::new(),
            budget: budget::RetryBudget::new(budget::Settings::default()),
            timers: Timers::default(),
            finished: Finished::new(settings.finished),
            counters: Counters::default(),
            appends: HashMap::new(),
            last_append: 0,
            last_read: None,
            was_listed: false,
            stopping: None,
            actions: Vec::new(),
            identity,
            settings,
        }
    }

    /// As [`Instance::new`], for a replay of texts that may be hashed.
    #[must_use]
    pub fn with_content(self, content: Content) -> Instance {
        Instance { content, ..self }
    }

    /// Takes one input and says what is to be done, in order.
    ///
    /// `now` never goes back; it may jump ahead by any amount.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        self.table.tick(self.now);
        self.fire_timers();
        self.take(input);
        self.gossip_round();
        self.pump_all();
        self.flush_claims();
        self.check_stop();
        std::mem::take(&mut self.actions)
    }

    /// When [`Input::Tick`] is wanted, on the clock of `handle`.
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

    /// Where the next read of the configuration stream starts.
    pub fn next_config_offset(&self) -> Offset {
        self.fold.next_offset()
    }

    /// Where the next read of the claims stream starts.
    pub fn next_claims_offset(&self) -> Offset {
        self.claims.next_offset()
    }

    /// The configuration in force as it was folded; `None` while it is not known.
    pub fn in_force(&self) -> Option<&Snapshot> {
        self.fold.current()
    }

    /// Whether a stream was once read to its end. Until then it should be read
    /// without waiting for new records: only a read that gives none shows the
    /// end, and under load a read that waits always gives some.
    pub fn has_reached_end(&self, stream: Stream) -> bool {
        match stream {
            Stream::Config => self.fold.has_reached_end(),
            Stream::Claims => self.claims.is_caught_up(),
        }
    }

    /// Events counted so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Submit { caller, request } => self.submit(caller, request),
            Input::CallerGone(caller) => self.caller_gone(caller),
            Input::Call { call, event } => self.call_event(call, event),
            Input::ConfigRead(batch) => self.config_read(&batch),
            Input::ClaimsRead(batch) => self.claims_read(&batch),
            Input::ReadFailed(stream) => self.read_failed(stream),
            Input::Appended { append, .. } => self.append_ended(append, true),
            Input::AppendFailed(append) => self.append_ended(append, false),
            Input::Listed(listing) => self.listed(&listing),
            Input::ListFailed | Input::Tick => {}
            Input::Gossip(message) => self.gossip(&message),
            Input::PeerFailed(peer) => self.members.send_failed(self.now, &peer),
            Input::OutcomeAsked { question, key } => self.outcome_asked(question, &key),
            Input::OutcomeTold { key, answer, .. } => self.outcome_told(&key, answer),
            Input::Stop => self.stop(),
        }
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.fire(self.now) {
            match timer {
                Timer::Due(key) => self.due(key),
                Timer::Hedge(call) => self.hedge(call),
                Timer::Stall(call) => self.stalled(call),
                Timer::Requeue(key) => self.requeue(key),
                Timer::Ask(key) => self.ask_expired(key),
            }
        }
    }
}
