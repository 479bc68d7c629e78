//! The machine and everything it holds, on one thread.
//!
//! Each entry point takes the time, tells the machine what happened and carries
//! out the actions that come back. Carrying out an action never calls the
//! machine again by itself; it starts a task, which does so later.

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

use bytes::Bytes;
use futures::{
    channel::mpsc,
    future::{AbortHandle, Abortable},
};
use http::{HeaderMap, Method, StatusCode};
use peatdeck_core::relay::{
    Relay,
    fingerprint::Fingerprint,
    model::{
        Action, Arrival, CallKey, ExchangeKey, Failure, HandoverKey, PieceResult, Refusal,
        ReplyHead,
    },
};
use peatdeck_util::{clock::Clock, metrics::Metrics};
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::{
    calls, decisions, follow,
    peers::Peers,
    pool::Pool,
    records,
    settings::Settings,
    surroundings::{Surroundings, TableName},
};

/// After being told to stop, an instance takes requests for so long. The
/// balancer needs two questions a second apart to notice, and a moment more.
const OPEN_AFTER_STOP: Duration = Duration::from_millis(2900);

/// Gossip turns the event loop every 400 ms, so one that did nothing for five times
/// as long was stopped, or its machine was suspended.
const STANDSTILL: Duration = Duration::from_secs(2);
/// What is in force is known so long after that at the most, if anybody tells it:
/// two readings of the tables.
const NEWS_WITHIN: Duration = Duration::from_secs(1);
/// The longest sleep until the machine's next wake. The operating system's timers do
/// not count a suspension, so this is how late a deadline is noticed after one.
const LONGEST_SLEEP: Duration = Duration::from_millis(250);

/// A caller's request, as it is passed on.
#[derive(Debug)]
pub struct Request {
    /// The caller's id of it.
    pub id: Arc<str>,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers, as the caller sent them.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Request {
    fn content(&self, host: &str) -> Fingerprint {
        Fingerprint::of(self.method.as_str(), host, &self.target, &self.body)
    }
}

/// A part of what a caller is sent.
#[derive(Debug)]
pub enum Part {
    /// An endpoint's whole answer.
    Whole(Reply),
    /// The head of a stream.
    Head(Reply),
    /// A whole event of it.
    Event(Bytes),
    /// The stream has ended whole.
    End,
    /// The stream has ended without being whole.
    Broken,
    /// No endpoint's answer comes.
    Refused {
        /// Why.
        refusal: Refusal,
        /// When to come back.
        retry_after: Option<Duration>,
    },
}

/// An endpoint's reply; without a body if that follows as events.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

struct Caller {
    request: Rc<Request>,
    parts: mpsc::UnboundedSender<Part>,
    arrived: Duration,
}

/// What other threads see of the event loop.
#[derive(Debug, Default)]
pub struct Shared {
    /// Whether the instance takes requests.
    pub is_ready: AtomicBool,
}

/// The machine and everything it holds.
pub struct Driver {
    machine: RefCell<Relay>,
    clock: Rc<dyn Clock>,
    callers: RefCell<SecondaryMap<ExchangeKey, Caller>>,
    calls: RefCell<SecondaryMap<CallKey, AbortHandle>>,
    replies: RefCell<HashMap<CallKey, Reply>>,
    rearm: Notify,
    /// When the event loop last dealt with something.
    turned: Cell<Duration>,
    /// When it went on after it had stood still, until the tables were looked at.
    resumed: Cell<Option<Duration>>,
    /// Whoever waits for that.
    news: Notify,
    stopping: Cell<Option<Duration>>,
    /// Connections to endpoints.
    pub pool: Rc<Pool>,
    /// The platform.
    pub surroundings: Surroundings,
    /// The settings.
    pub settings: Settings,
    /// The other instances.
    pub peers: Peers,
    /// Counters and timings.
    pub metrics: Metrics,
    /// What other threads see.
    pub shared: Arc<Shared>,
}

/// What a driver is made of.
pub struct Parts {
    /// The machine.
    pub machine: Relay,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The platform.
    pub surroundings: Surroundings,
    /// The settings.
    pub settings: Settings,
    /// Connections.
    pub pool: Rc<Pool>,
    /// Counters and timings.
    pub metrics: Metrics,
    /// What other threads see.
    pub shared: Arc<Shared>,
}

impl Driver {
    /// A driver whose machine knows nothing yet.
    pub fn new(parts: Parts) -> Rc<Driver> {
        let peers = Peers::new(&parts.settings);
        let turned = Cell::new(parts.clock.now());
        Rc::new(Driver {
            machine: RefCell::new(parts.machine),
            clock: parts.clock,
            callers: RefCell::default(),
            calls: RefCell::default(),
            replies: RefCell::default(),
            rearm: Notify::new(),
            turned,
            resumed: Cell::new(None),
            news: Notify::new(),
            stopping: Cell::new(None),
            pool: parts.pool,
            surroundings: parts.surroundings,
            settings: parts.settings,
            peers,
            metrics: parts.metrics,
            shared: parts.shared,
        })
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The time of day. Only for records that people read.
    pub fn wall(&self) -> SystemTime {
        self.clock.wall()
    }

    /// Tells the machine something and carries out what it wants done.
    pub fn feed<T>(self: &Rc<Self>, tell: impl FnOnce(&mut Relay, Duration) -> T) -> T {
        let now = self.turn();
        let mut machine = self.machine.borrow_mut();
        let told = tell(&mut machine, now);
        let actions = machine.take_actions();
        drop(machine);
        for action in actions {
            self.perform(action);
        }
        self.rearm.notify_one();
        told
    }

    /// The time at which the event loop deals with something. Where it stood still
    /// for long before, nothing is sent until it has looked at what is in force:
    /// routes may have moved, keys been revoked and endpoints gone meanwhile, and
    /// whatever comes first may be an old request.
    fn turn(self: &Rc<Self>) -> Duration {
        let now = self.now();
        let stood = now.saturating_sub(self.turned.replace(now));
        if stood < STANDSTILL {
            return now;
        }
        let stood_ms = u64::try_from(stood.as_millis()).unwrap_or(u64::MAX);
        tracing::warn!(event = "resumed", stood_ms);
        self.metrics.count("relay.resumed", 1);
        self.pool.clear();
        self.resumed.set(Some(now));
        self.machine.borrow_mut().hold_for_tables(now + NEWS_WITHIN);
        ntex::rt::spawn(follow::look(self.clone()));
        now
    }

    /// Tables were read or heard of. Requests go on that wait for that since the
    /// event loop stood still.
    pub fn note_news(self: &Rc<Self>) {
        let Some(resumed) = self.resumed.get() else { return };
        let now = self.now();
        let is_fresh = |age: Duration| age <= now.saturating_sub(resumed);
        if self.peers.tables.age(now).is_some_and(is_fresh) {
            self.resumed.set(None);
            self.feed(Relay::mark_tables_read);
            self.news.notify_waiters();
        }
    }

    /// Waits until requests may be taken in: which route is theirs, and whether their
    /// key is known, is decided once. Returns how long that took.
    pub async fn settled(self: &Rc<Self>) -> Duration {
        let asked = self.turn();
        while let Some(resumed) = self.resumed.get() {
            let left = (resumed + NEWS_WITHIN).saturating_sub(self.now());
            if left.is_zero() {
                break;
            }
            // Either ends the wait.
            tokio::time::timeout(left, self.news.notified()).await.ok();
        }
        self.now().saturating_sub(asked)
    }

    /// Looks at the machine.
    pub fn look<T>(&self, look: impl FnOnce(&Relay) -> T) -> T {
        look(&self.machine.borrow())
    }

    /// Wakes the machine whenever it asked to be.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let now = self.now();
            let wake = self.look(|machine| machine.next_wake(now));
            let pause = tokio::time::sleep(wake.saturating_sub(now).min(LONGEST_SLEEP));
            futures::future::select(Box::pin(pause), Box::pin(self.rearm.notified())).await;
            let now = self.now();
            if self.look(|machine| machine.next_wake(now)) <= now {
                self.feed(Relay::tick);
            }
        }
    }

    /// Hands a caller's request to the machine.
    ///
    /// # Errors
    /// The refusal, if the machine does not take it.
    pub fn submit(self: &Rc<Self>, arrival: Arrival, request: Request) -> Result<Waiter, Refusal> {
        let id = arrival.id.clone();
        let arrival = Arrival { content: request.content(&arrival.host), ..arrival };
        self.metrics.count("relay.requests", 1);
        let (tx, parts) = mpsc::unbounded();
        let request = Rc::new(request);
        let now = self.turn();
        let mut machine = self.machine.borrow_mut();
        let arrived = machine.on_request(now, arrival);
        let actions = machine.take_actions();
        drop(machine);
        let key = arrived.inspect_err(|refusal| self.note_refusal(&id, *refusal))?;
        if let Some(taken) = self.look(|machine| machine.describe(key)) {
            decisions::log_taken(&id, &taken, self.belief());
        }
        let caller = Caller { request, parts: tx, arrived: now };
        self.callers.borrow_mut().insert(key, caller);
        for action in actions {
            self.perform(action);
        }
        self.rearm.notify_one();
        Ok(Waiter { parts, guard: Guard { driver: self.clone(), key } })
    }

    /// Whether the instance was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Whether the balancer has had time to notice that the instance stops. A
    /// request that still comes is told so: it might not be finished in time.
    pub fn is_closed(&self) -> bool {
        self.stopping.get().is_some_and(|since| self.now() > since + OPEN_AFTER_STOP)
    }

    /// Takes no new callers from the balancer from now on.
    pub fn stop(self: &Rc<Self>) {
        if self.stopping.get().is_none() {
            self.stopping.set(Some(self.now()));
            self.feed(|machine, _| machine.stop_batching());
            self.update_ready();
        }
    }

    /// Works out whether the instance takes requests.
    pub fn update_ready(&self) {
        let knows_quarantine = self.peers.tables.is_known(TableName::Quarantine);
        let knows_others = self
            .look(|machine| machine.config().is_some() && machine.directory().ready_count() > 0);
        let knows_enough = knows_quarantine && knows_others;
        let is_ready = knows_enough && !self.is_stopping();
        let was_ready = self.shared.is_ready.swap(is_ready, Ordering::Relaxed);
        if was_ready != is_ready {
            let stopping = self.is_stopping();
            tracing::info!(event = "ready", ready = is_ready, stopping, knows_enough);
        }
    }

    /// The request of a running call.
    pub fn request_of(&self, exchange: ExchangeKey) -> Option<Rc<Request>> {
        self.callers.borrow().get(exchange).map(|caller| caller.request.clone())
    }

    /// A whole reply came.
    pub fn replied(self: &Rc<Self>, call: CallKey, head: &ReplyHead, reply: Reply) {
        self.replies.borrow_mut().insert(call, reply);
        self.forget_call(call);
        self.feed(|machine, now| machine.on_reply(now, call, head));
        self.replies.borrow_mut().remove(&call);
    }

    /// A call failed.
    pub fn failed(self: &Rc<Self>, call: CallKey, failure: Failure) {
        self.forget_call(call);
        self.feed(|machine, now| machine.on_call_failure(now, call, failure));
    }

    /// A call's task has ended by itself.
    pub fn forget_call(&self, call: CallKey) {
        self.calls.borrow_mut().remove(call);
    }

    /// Sends a caller an event.
    pub fn send_event(&self, exchange: ExchangeKey, bytes: Bytes) {
        self.send(exchange, Part::Event(bytes));
    }

    /// Keeps the head of a stream until the machine begins it.
    pub fn hold_head(&self, call: CallKey, reply: Reply) {
        self.replies.borrow_mut().insert(call, reply);
    }

    fn send(&self, exchange: ExchangeKey, part: Part) {
        if let Some(caller) = self.callers.borrow().get(exchange) {
            // A caller that has gone is noticed by its guard.
            caller.parts.unbounded_send(part).ok();
        }
    }

    /// Sends a caller its last part.
    fn end(&self, exchange: ExchangeKey, part: Part) {
        let Some(caller) = self.callers.borrow_mut().remove(exchange) else { return };
        let took = self.now().saturating_sub(caller.arrived);
        self.metrics.time("relay.exchange", took);
        caller.parts.unbounded_send(part).ok();
    }

    fn perform(self: &Rc<Self>, action: Action) {
        self.log(&action);
        match action {
            Action::Send(call) => {
                let key = call.key;
                self.spawn(key, calls::run(self.clone(), call));
            }
            Action::Cancel(call) => {
                self.metrics.count("relay.cancelled", 1);
                self.replies.borrow_mut().remove(&call);
                if let Some(task) = self.calls.borrow_mut().remove(call) {
                    task.abort();
                }
            }
            Action::Answer { exchange, call } => {
                let reply = self.replies.borrow_mut().remove(&call);
                let reply = reply.expect("the machine answers while it is told of the reply");
                self.metrics.count("relay.answered", 1);
                self.end(exchange, Part::Whole(reply));
            }
            Action::BeginStream { exchange, call } => {
                if let Some(head) = self.replies.borrow_mut().remove(&call) {
                    self.send(exchange, Part::Head(head));
                }
            }
            Action::FinishStream(exchange) => {
                self.metrics.count("relay.answered", 1);
                self.end(exchange, Part::End);
            }
            Action::AbortStream(exchange) => {
                self.metrics.count("relay.broken", 1);
                self.end(exchange, Part::Broken);
            }
            Action::Refuse { exchange, refusal, retry_after } => {
                self.count_refusal(refusal);
                self.end(exchange, Part::Refused { refusal, retry_after });
            }
            Action::MakePieces { call, endpoint, addr, pieces } => {
                self.metrics.count("relay.piece_calls", 1);
                self.metrics.count("relay.pieces", pieces.len() as u64);
                self.spawn(call, calls::make(self.clone(), call, endpoint, addr, pieces));
            }
            Action::FreeResults { addr, handles } => {
                ntex::rt::spawn(calls::free(self.clone(), addr, handles));
            }
            Action::Disconnect(addr) => self.pool.disconnect(&addr),
            Action::ListParts { endpoint, addr } => {
                ntex::rt::spawn(calls::list_parts(self.clone(), endpoint, addr));
            }
            Action::HandOverPieces { key, peer, pieces } => {
                self.metrics.count("relay.handed_over", pieces.len() as u64);
                self.peers.hand_over(self, key, peer, pieces);
            }
            Action::FreeViaPeer { peer, handles, is_evictable } => {
                self.peers.free_through(self, peer, handles, is_evictable);
            }
            Action::RequestPlacement { exchange, peer, request } => {
                self.metrics.count("relay.placements_asked", 1);
                self.peers.ask_place(self, exchange, peer, request);
            }
            Action::AnnounceQueue { peer, service } => self.peers.tell_queue(self, peer, service),
            Action::ReportProgress { peer, progress, notices } => {
                self.peers.report(self, peer, progress, notices);
            }
            Action::Probe { endpoint, addr } => {
                ntex::rt::spawn(calls::probe(self.clone(), endpoint, addr));
            }
            Action::EndpointCrashed { crashes, .. } => {
                self.metrics.count("relay.crashed_runs", crashes.len() as u64);
            }
            Action::ReportCrashes { peer, crashes } => self.peers.accuse(self, peer, crashes),
            Action::QueryAnswered { content, since } => self.peers.consult(self, content, since),
            Action::AnnounceQuarantine { content, crashes } => {
                self.metrics.count("relay.quarantines_raised", 1);
                self.peers.quarantine(self, content, crashes);
                ntex::rt::spawn(records::write(self.clone(), content, Some(crashes)));
            }
            Action::WriteQuarantine { content, crashes } => {
                ntex::rt::spawn(records::write(self.clone(), content, Some(crashes)));
            }
            Action::DeleteQuarantine(content) => {
                ntex::rt::spawn(records::write(self.clone(), content, None));
            }
            Action::Quarantined { .. } | Action::Released(_) => {
                let held = self.look(|machine| machine.quarantined().count());
                self.metrics.gauge("relay.quarantined", held as u64);
            }
            Action::SuspicionCleared(_) => self.metrics.count("relay.quarantines_dropped", 1),
            Action::EndpointLeaving { .. } => self.metrics.count("relay.endpoints_leaving", 1),
            Action::EndpointLimit { .. } => {
                let limited = self.look(Relay::limited_count);
                self.metrics.gauge("relay.endpoints_limited", limited as u64);
            }
            Action::RecallPieces(key) => self.peers.recall(key),
            Action::ReturnResults { ticket, results } => self.peers.give_back(ticket, results),
        }
    }

    fn spawn(self: &Rc<Self>, call: CallKey, task: impl Future<Output = ()> + 'static) {
        let (abort, registration) = AbortHandle::new_pair();
        self.calls.borrow_mut().insert(call, abort);
        ntex::rt::spawn(Abortable::new(task, registration));
    }

    fn log(&self, action: &Action) {
        let exchange = match action {
            Action::Send(call) => Some(call.exchange),
            Action::Answer { exchange, .. }
            | Action::BeginStream { exchange, .. }
            | Action::Refuse { exchange, .. }
            | Action::FinishStream(exchange)
            | Action::AbortStream(exchange) => Some(*exchange),
            _ => None,
        };
        let request = exchange.and_then(|key| self.request_of(key));
        let id = match action {
            Action::HandOverPieces { pieces, .. } => {
                pieces.first().map(|piece| piece.request.clone())
            }
            _ => request.map(|request| request.id.clone()),
        };
        decisions::log_action(action, id.as_deref().unwrap_or_default(), self.belief());
    }

    fn note_refusal(&self, id: &str, refusal: Refusal) {
        self.count_refusal(refusal);
        decisions::log_refusal(id, refusal, None, self.belief());
    }

    fn belief(&self) -> decisions::Belief {
        decisions::Belief {
            version: self.look(|machine| machine.config().map_or(0, |config| config.version)),
            age: self.peers.tables.age(self.now()),
        }
    }

    fn count_refusal(&self, refusal: Refusal) {
        self.metrics.count(&format!("relay.refused.{}", refusal.name()), 1);
    }

    fn caller_gone(self: &Rc<Self>, key: ExchangeKey) {
        let Some(caller) = self.callers.borrow_mut().remove(key) else { return };
        self.metrics.count("relay.callers_gone", 1);
        tracing::info!(event = "caller_gone", id = &*caller.request.id);
        self.feed(|machine, now| machine.on_caller_disconnect(now, key));
    }

    /// A peer returned pieces, or cannot be reached.
    pub fn handed_back(self: &Rc<Self>, key: HandoverKey, results: Option<Vec<PieceResult>>) {
        self.feed(|machine, now| machine.on_handover_return(now, key, results));
    }
}

/// One caller's side: what it is sent. Dropping it before the last part tells
/// the machine that the caller has gone.
pub struct Waiter {
    /// The parts as they come.
    pub parts: mpsc::UnboundedReceiver<Part>,
    /// Tells the machine when the caller goes.
    pub guard: Guard,
}

/// Tells the machine when the caller goes.
pub struct Guard {
    driver: Rc<Driver>,
    key: ExchangeKey,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.driver.caller_gone(self.key);
    }
}
