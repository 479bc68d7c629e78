//! Drives the state machine on one thread and carries out its actions.
//!
//! All inputs go through [`Driver::feed`] or [`Driver::feed_gossip`], which
//! read the clock, run the machine and carry out the actions in order.
//! Carrying out an action never feeds an input directly: it sends on a channel
//! or starts a task, and the task feeds an input later. So the machine is
//! never entered recursively.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use futures::{
    channel::{mpsc, oneshot},
    future::{AbortHandle, Abortable},
};
use peatdeck_client::{endpoint, list, log};
use peatdeck_core::{
    instance::{
        Instance,
        action::{Action, Call},
        admit,
        input::{CallEvent, Input, PeerOutcome},
    },
    membership::Gossip,
    model::{AppendId, CallId, CallerId, InstanceName, Outcome, Request, RequestId},
    record::{Offset, Stream},
};
use peatdeck_util::clock::Clock;
use slotmap::{Key, KeyData, SlotMap};
use tokio::sync::Notify;

use crate::{
    burn::OutcomeHistory,
    callers::{CallerKey, Callers, ReplyPart},
    calls::{Calls, RunningCall},
    counts::Counts,
    peers::Peers,
    platform_tasks,
    trace::Trace,
};

slotmap::new_key_type! {
    /// A peer's outcome query that waits for the machine's answer.
    struct QueryKey;
}

/// Clients of the platform and the endpoints.
#[derive(Debug, Clone)]
pub struct Clients {
    /// Client of the log service.
    pub log: log::Client,
    /// Client of the instance list.
    pub list: list::Client,
    /// Client for calls to any endpoint.
    pub endpoints: endpoint::Client,
}

/// The state machine and the callers, calls and connections that it acts on.
pub struct Driver {
    machine: RefCell<Instance>,
    trace: RefCell<Trace>,
    clock: Rc<dyn Clock>,
    callers: RefCell<Callers>,
    calls: RefCell<Calls>,
    queries: RefCell<SlotMap<QueryKey, oneshot::Sender<PeerOutcome>>>,
    outcomes: RefCell<OutcomeHistory>,
    peers: Peers,
    rearm: Notify,
    exit: Notify,
    is_closed: Cell<bool>,
    /// Clients of the platform and the endpoints.
    pub clients: Clients,
    /// The event loop's own counters.
    pub counts: Counts,
}

impl Driver {
    /// Creates a driver of `machine`, which must not have had an input yet.
    pub fn new(
        machine: Instance,
        trace: Trace,
        clock: Rc<dyn Clock>,
        clients: Clients,
    ) -> Rc<Driver> {
        Rc::new(Driver {
            machine: RefCell::new(machine),
            trace: RefCell::new(trace),
            clock,
            callers: RefCell::default(),
            calls: RefCell::default(),
            queries: RefCell::default(),
            outcomes: RefCell::default(),
            peers: Peers::default(),
            rearm: Notify::new(),
            exit: Notify::new(),
            is_closed: Cell::new(false),
            clients,
            counts: Counts::default(),
        })
    }

    /// Feeds one input to the machine and carries out the resulting actions.
    pub fn feed(self: &Rc<Self>, input: Input) {
        for action in self.handle(input) {
            self.perform(action);
        }
        self.rearm.notify_one();
    }

    /// Feeds a peer's gossip. The machine's reply to that peer, if any, is
    /// returned instead of being sent in a message of its own.
    pub fn feed_gossip(self: &Rc<Self>, message: Gossip) -> Option<Gossip> {
        let from = message.from.clone();
        let mut reply = None;
        for action in self.handle(Input::Gossip(message)) {
            match action {
                Action::Gossip { to, message, .. }
                    if reply.is_none() && to == from && !message.wants_reply =>
                {
                    reply = Some(message);
                }
                other => self.perform(other),
            }
        }
        self.rearm.notify_one();
        reply
    }

    /// Submits a request to the machine. The reply arrives through the returned
    /// receiver.
    pub fn submit(self: &Rc<Self>, request: Request) -> ReplyReceiver {
        let (key, parts) =
            self.callers.borrow_mut().add(request.pipeline.clone(), request.id.team.clone());
        let receiver =
            ReplyReceiver { parts, _guard: DisconnectGuard { driver: self.clone(), key } };
        match self.is_closed.get() {
            true => self.answer(key.id(), admit::outcome_after_exit(&request)),
            false => self.feed(Input::Submit { caller: key.id(), request }),
        }
        receiver
    }

    /// Asks the machine for the outcome of a request, on behalf of a peer.
    pub async fn query_outcome(self: &Rc<Self>, key: RequestId) -> PeerOutcome {
        let (tx, rx) = oneshot::channel();
        let question = self.queries.borrow_mut().insert(tx);
        self.feed(Input::OutcomeAsked { question: question.data().as_ffi(), key });
        rx.await.unwrap_or(PeerOutcome::Unknown)
    }

    /// The time that the machine is given, in whole microseconds, the resolution
    /// of a trace.
    pub fn now(&self) -> Duration {
        let micros = u64::try_from(self.clock.now().as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(micros)
    }

    /// When the machine needs its next tick; `None` if it needs none.
    pub fn next_wake(&self) -> Option<Duration> {
        self.machine.borrow().next_wake()
    }

    /// Waits for the next input, after which [`Driver::next_wake`] may have
    /// changed.
    pub async fn rearmed(&self) {
        self.rearm.notified().await;
    }

    /// Waits until the machine, after a stop, has finished its active requests.
    pub async fn exited(&self) {
        self.exit.notified().await;
    }

    /// Ignores all later inputs. New requests get the outcome of
    /// [`admit::outcome_after_exit`].
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// The offset at which the next read of a stream starts.
    pub fn next_offset(&self, stream: Stream) -> Offset {
        match stream {
            Stream::Config => self.machine.borrow().next_config_offset(),
            Stream::Claims => self.machine.borrow().next_claims_offset(),
        }
    }

    /// Calls `read` with the machine. `read` must not feed an input, which would
    /// borrow the machine a second time and panic.
    pub fn with_machine<T>(&self, read: impl FnOnce(&Instance) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Calls `read` with the outcomes by minute.
    pub fn with_outcomes<T>(&self, read: impl FnOnce(&OutcomeHistory) -> T) -> T {
        read(&self.outcomes.borrow())
    }

    /// The clock that the machine's time is read from.
    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// The connections to peers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    fn handle(&self, input: Input) -> Vec<Action> {
        if self.is_closed.get() {
            return Vec::new();
        }
        let now = self.now();
        let mut trace = self.trace.borrow_mut();
        trace.input(now, &input);
        let actions = self.machine.borrow_mut().handle(now, input);
        trace.answers(now, &actions);
        actions
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Answer { caller, outcome } => self.answer(caller, outcome),
            Action::Stream { caller, text } => {
                self.callers.borrow().send_text(caller.into(), text);
            }
            Action::Call(call) => self.start_call(call),
            Action::Cancel(call) => self.cancel_call(call),
            Action::AppendConfig { append, record } => {
                self.start_append(append, Stream::Config, record);
            }
            Action::AppendClaims { append, batch } => {
                self.start_append(append, Stream::Claims, batch);
            }
            Action::Gossip { to, addr, message } => self.start_gossip(to, addr, message),
            Action::AskOutcome { to, addr, key } => self.start_outcome_query(to, addr, key),
            Action::TellOutcome { question, answer } => self.answer_query(question, answer),
            Action::Exit => self.exit.notify_one(),
        }
    }

    fn answer(&self, caller: CallerId, outcome: Outcome) {
        let mut outcomes = self.outcomes.borrow_mut();
        let ended = outcome.clone();
        let Some(caller) = self.callers.borrow_mut().send_outcome(caller.into(), outcome) else {
            self.counts.unclaimed_outcomes.increment();
            return;
        };
        outcomes.record(self.clock.wall(), &caller.pipeline, &caller.team, &ended);
    }

    fn start_call(self: &Rc<Self>, call: Call) {
        let (abort, registration) = AbortHandle::new_pair();
        let running = RunningCall { addr: call.addr.clone(), echo: call.echo.clone(), abort };
        self.calls.borrow_mut().add(call.id, running);
        let driver = self.clone();
        let task = async move {
            let client = driver.clients.endpoints.clone();
            client.call(&call, |event| driver.on_call_event(call.id, event)).await;
        };
        ntex::rt::spawn(Abortable::new(task, registration));
    }

    fn on_call_event(self: &Rc<Self>, call: CallId, event: CallEvent) {
        if !self.calls.borrow_mut().accept(call, &event) {
            self.counts.stale_events.increment();
            return;
        }
        self.feed(Input::Call { call, event });
    }

    fn cancel_call(self: &Rc<Self>, call: CallId) {
        let Some(running) = self.calls.borrow_mut().remove(call) else { return };
        running.abort.abort();
        let driver = self.clone();
        ntex::rt::spawn(async move {
            let RunningCall { addr, echo, .. } = running;
            if driver.clients.endpoints.cancel(&addr, echo).await.is_err() {
                driver.counts.cancels_failed.increment();
            }
        });
    }

    fn start_append<R: serde::Serialize + 'static>(
        self: &Rc<Self>,
        append: AppendId,
        stream: Stream,
        record: R,
    ) {
        let driver = self.clone();
        ntex::rt::spawn(async move {
            let input = platform_tasks::append(&driver, append, stream, &record).await;
            driver.feed(input);
        });
    }

    fn start_gossip(self: &Rc<Self>, to: InstanceName, addr: Arc<str>, message: Gossip) {
        let driver = self.clone();
        ntex::rt::spawn(async move {
            match driver.peers.gossip(&addr, &message).await {
                Ok(Some(reply)) => driver.feed(Input::Gossip(reply)),
                Ok(None) => {}
                Err(_) => {
                    driver.counts.peers_failed.increment();
                    driver.feed(Input::PeerFailed(to));
                }
            }
        });
    }

    fn start_outcome_query(self: &Rc<Self>, peer: InstanceName, addr: Arc<str>, key: RequestId) {
        let driver = self.clone();
        ntex::rt::spawn(async move {
            let answer = driver.peers.outcome(&addr, &key).await.ok();
            if answer.is_none() {
                driver.counts.peers_failed.increment();
            }
            driver.feed(Input::OutcomeTold { key, peer, answer });
        });
    }

    fn answer_query(&self, question: u64, answer: PeerOutcome) {
        let key = QueryKey::from(KeyData::from_ffi(question));
        if let Some(tx) = self.queries.borrow_mut().remove(key) {
            tx.send(answer).ok();
        }
    }

    fn on_caller_gone(self: &Rc<Self>, key: CallerKey) {
        let was_waiting = self.callers.borrow_mut().remove(key);
        if was_waiting {
            self.counts.callers_gone.increment();
            self.feed(Input::CallerGone(key.id()));
        }
    }
}

/// Receives the reply to one caller. Dropping it before the outcome arrives
/// reports to the machine that the caller has disconnected.
pub struct ReplyReceiver {
    parts: mpsc::UnboundedReceiver<ReplyPart>,
    _guard: DisconnectGuard,
}

impl ReplyReceiver {
    /// The channel of reply parts; the last one is [`ReplyPart::End`].
    pub fn parts(&mut self) -> &mut mpsc::UnboundedReceiver<ReplyPart> {
        &mut self.parts
    }
}

struct DisconnectGuard {
    driver: Rc<Driver>,
    key: CallerKey,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.driver.on_caller_gone(self.key);
    }
}
