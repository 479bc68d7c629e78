//! Runs the state machine of an instance on one thread.
//!
//! Each entry point reads the clock, passes an event to the machine and carries
//! out the actions that the machine returns. Carrying out an action never calls
//! the machine directly; it starts a task, which does so later (`actions`).

mod actions;
mod callers;
mod suspension;

pub use callers::{DisconnectGuard, Reply, ReplyPart, ReplyReceiver, Request};

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use futures::{channel::mpsc, future::AbortHandle};
use peatdeck_core::relay::{
    Relay,
    model::{Arrival, CallKey, ExchangeKey, Failure, HandoverKey, PieceResult, Refusal, ReplyHead},
};
use peatdeck_util::{clock::Clock, metrics::Metrics};
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::{
    decisions,
    memory::{BodyMemory, WaitingEvents},
    origins::Origins,
    peers::Peers,
    pool::{ConnectionEvent, Pool},
    rollouts::Rollouts,
    settings::Settings,
    surroundings::{Platform, TableName},
};

/// How long an instance still accepts requests after it was told to stop. The
/// balancer notices by two readiness checks a second apart; the rest is margin.
const SERVE_AFTER_STOP: Duration = Duration::from_millis(2900);

/// Longest sleep before the timer checks the machine's next wake time. The operating
/// system's timers do not count a suspension, so a deadline that passed during one is
/// noticed this late.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// State of the event loop that other threads read.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Whether the instance accepts requests.
    pub is_ready: AtomicBool,
}

/// The state machine with the connections, tasks and callers that its actions refer to.
pub struct Driver {
    machine: RefCell<Relay>,
    clock: Rc<dyn Clock>,
    callers: RefCell<SecondaryMap<ExchangeKey, callers::Caller>>,
    calls: RefCell<SecondaryMap<CallKey, AbortHandle>>,
    replies: RefCell<HashMap<CallKey, Reply>>,
    rearm: Notify,
    /// When the event loop last handled an event.
    last_active: Cell<Duration>,
    /// When the event loop resumed after a suspension; `None` once the tables were
    /// read after it.
    resumed_at: Cell<Option<Duration>>,
    /// Wakes the requests that wait for the tables to be read.
    tables_read: Notify,
    /// When the instance was told to stop.
    stopping_since: Cell<Option<Duration>>,
    /// Connections to endpoints.
    pub pool: Rc<Pool>,
    /// The platform that the instance runs on.
    pub platform: Platform,
    /// The instance's settings.
    pub settings: Settings,
    /// The other instances.
    pub peers: Peers,
    /// Orders and states of rollouts.
    pub rollouts: Rollouts,
    /// The platform's log of streams.
    pub origins: Origins,
    /// Memory for replies that are read whole.
    pub reply_memory: Rc<BodyMemory>,
    /// Counters and timings.
    pub metrics: Metrics,
    /// State that other threads read.
    pub shared: Arc<SharedState>,
}

/// What a [`Driver`] is built from.
pub struct Components {
    /// The state machine.
    pub machine: Relay,
    /// The source of all times.
    pub clock: Rc<dyn Clock>,
    /// The platform that the instance runs on.
    pub platform: Platform,
    /// The instance's settings.
    pub settings: Settings,
    /// Connections to endpoints and the platform.
    pub pool: Rc<Pool>,
    /// Counters and timings.
    pub metrics: Metrics,
    /// State that other threads read.
    pub shared: Arc<SharedState>,
}

impl Driver {
    /// Creates a driver without peers, callers or calls.
    pub fn new(parts: Components) -> Rc<Driver> {
        let peers = Peers::new(&parts.settings);
        let last_active = Cell::new(parts.clock.now());
        let reply_memory = BodyMemory::new(parts.settings.body_memory);
        let driver = Rc::new(Driver {
            machine: RefCell::new(parts.machine),
            clock: parts.clock,
            callers: RefCell::default(),
            calls: RefCell::default(),
            replies: RefCell::default(),
            rearm: Notify::new(),
            last_active,
            resumed_at: Cell::new(None),
            tables_read: Notify::new(),
            stopping_since: Cell::new(None),
            pool: parts.pool,
            platform: parts.platform,
            settings: parts.settings,
            peers,
            rollouts: Rollouts::default(),
            origins: Origins::default(),
            reply_memory,
            metrics: parts.metrics,
            shared: parts.shared,
        });
        let observer = Rc::downgrade(&driver);
        driver.pool.observe(Box::new(move |addr, event| {
            let Some(driver) = observer.upgrade() else { return };
            driver.feed(|machine, now| match event {
                ConnectionEvent::Served => machine.on_connection(now, addr, true),
                ConnectionEvent::Unopened => machine.on_connection(now, addr, false),
                ConnectionEvent::IdleClosed => machine.on_idle_closed(now, addr),
            });
        }));
        driver
    }

    /// Time since the start of the clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The time of day; used only in records that people read.
    pub fn wall(&self) -> SystemTime {
        self.clock.wall()
    }

    /// Passes an event to the machine and carries out the actions that it returns.
    pub fn feed<T>(self: &Rc<Self>, event: impl FnOnce(&mut Relay, Duration) -> T) -> T {
        let now = self.check_suspension();
        let mut machine = self.machine.borrow_mut();
        self.mark_directory_read(&mut machine);
        let output = event(&mut machine, now);
        let actions = machine.take_actions();
        drop(machine);
        for action in actions {
            self.perform(action);
        }
        self.rearm.notify_one();
        output
    }

    /// Tells the machine how old the copy of the directory is.
    fn mark_directory_read(&self, machine: &mut Relay) {
        if let Some(at) = self.peers.tables.compared_at(TableName::Endpoints) {
            machine.mark_directory_read(at);
        }
    }

    /// Reads state of the machine.
    pub fn inspect<T>(&self, read: impl FnOnce(&Relay) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Ticks the machine at the wake times that it states.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let now = self.now();
            let wake = self.inspect(|machine| machine.next_wake(now));
            let pause = tokio::time::sleep(wake.saturating_sub(now).min(MAX_SLEEP));
            futures::future::select(Box::pin(pause), Box::pin(self.rearm.notified())).await;
            let now = self.now();
            if self.inspect(|machine| machine.next_wake(now)) <= now {
                self.feed(Relay::tick);
            }
        }
    }

    /// Passes a caller's request to the machine.
    ///
    /// # Errors
    /// The refusal, if the machine does not admit the request.
    pub fn submit(
        self: &Rc<Self>,
        arrival: Arrival,
        request: Request,
    ) -> Result<ReplyReceiver, Refusal> {
        let id = arrival.id.clone();
        let arrival = Arrival { content: request.content(&arrival.host), ..arrival };
        self.metrics.count("relay.requests", 1);
        let (tx, parts) = mpsc::unbounded();
        let request = Rc::new(request);
        let now = self.check_suspension();
        let mut machine = self.machine.borrow_mut();
        self.mark_directory_read(&mut machine);
        let admitted = machine.on_request(now, arrival);
        let actions = machine.take_actions();
        drop(machine);
        let key = admitted.inspect_err(|refusal| self.note_refusal(&id, *refusal))?;
        if let Some(summary) = self.inspect(|machine| machine.describe(key)) {
            decisions::log_admitted(&id, &summary, self.config_state());
        }
        let waiting = Rc::new(WaitingEvents::default());
        let caller = callers::Caller { request, parts: tx, waiting: waiting.clone(), arrived: now };
        self.callers.borrow_mut().insert(key, caller);
        for action in actions {
            self.perform(action);
        }
        self.rearm.notify_one();
        let guard = DisconnectGuard { driver: self.clone(), key };
        Ok(ReplyReceiver { parts, waiting, guard })
    }

    /// Whether the instance was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Whether the balancer has had time to notice that the instance is stopping. Requests
    /// that still arrive are refused, since they might not finish before the process ends.
    pub fn is_refusing(&self) -> bool {
        self.stopping_since.get().is_some_and(|since| self.now() > since + SERVE_AFTER_STOP)
    }

    /// Reports itself as not ready to the balancer and stops batching for other instances.
    pub fn stop(self: &Rc<Self>) {
        if self.stopping_since.get().is_none() {
            self.stopping_since.set(Some(self.now()));
            self.feed(|machine, _| machine.stop_batching());
            self.update_ready();
        }
    }

    /// Updates whether the instance accepts requests: it has read the quarantine table and,
    /// at its start with an ordered rollout, the table of rollouts, has a configuration and
    /// at least one ready endpoint, and is not stopping.
    pub fn update_ready(&self) {
        let (tables, shared) = (&self.peers.tables, &self.shared);
        let knows_quarantine = tables.is_loaded(TableName::Quarantine);
        // An order must not take an instance out of service that already serves.
        let knows_rollouts = shared.is_ready.load(Ordering::Relaxed)
            || tables.rollouts_since().is_none()
            || tables.has_read_rollouts();
        let has_endpoints = self
            .inspect(|machine| machine.config().is_some() && machine.directory().ready_count() > 0);
        let knows_enough = knows_quarantine && knows_rollouts && has_endpoints;
        let is_ready = knows_enough && !self.is_stopping();
        let was_ready = shared.is_ready.swap(is_ready, Ordering::Relaxed);
        if was_ready != is_ready {
            let stopping = self.is_stopping();
            tracing::info!(event = "ready", ready = is_ready, stopping, knows_enough);
        }
    }

    /// A call's reply has been read whole.
    pub fn on_reply(self: &Rc<Self>, call: CallKey, head: &ReplyHead, reply: Reply) {
        self.replies.borrow_mut().insert(call, reply);
        self.forget_call(call);
        self.feed(|machine, now| machine.on_reply(now, call, head));
        self.replies.borrow_mut().remove(&call);
    }

    /// A call failed before its reply was complete.
    pub fn on_call_failure(
        self: &Rc<Self>,
        call: CallKey,
        failure: Failure,
        is_detour_refused: bool,
    ) {
        self.forget_call(call);
        self.feed(|machine, now| match is_detour_refused {
            true => machine.on_detour_refused(now, call),
            false => machine.on_call_failure(now, call, failure),
        });
    }

    /// A call's task has finished and need not be aborted any more.
    pub fn forget_call(&self, call: CallKey) {
        self.calls.borrow_mut().remove(call);
    }

    /// Stores the head of a stream until the machine returns [`Action::BeginStream`](peatdeck_core::relay::model::Action::BeginStream).
    pub fn store_head(&self, call: CallKey, reply: Reply) {
        self.replies.borrow_mut().insert(call, reply);
    }

    fn note_refusal(&self, id: &str, refusal: Refusal) {
        self.count_refusal(refusal);
        decisions::log_refusal(id, refusal, None, self.config_state());
    }

    fn config_state(&self) -> decisions::ConfigState {
        decisions::ConfigState {
            version: self.inspect(|machine| machine.config().map_or(0, |config| config.version)),
            age: self.peers.tables.age(self.now()),
        }
    }

    fn count_refusal(&self, refusal: Refusal) {
        self.metrics.count(&format!("relay.refused.{}", refusal.name()), 1);
    }

    /// A peer returned the results of pieces that were handed over to it; `None` if it
    /// failed or could not be reached.
    pub fn on_handover_return(
        self: &Rc<Self>,
        key: HandoverKey,
        results: Option<Vec<PieceResult>>,
    ) {
        self.feed(|machine, now| machine.on_handover_return(now, key, results));
    }
}
