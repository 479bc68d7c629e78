//! The machine and everything it holds, on one thread.
//!
//! [`Driver::feed`] is the only way in: it takes the time, runs the machine
//! and carries out the actions in order. Carrying out an action never feeds
//! an input by itself; it hands over to a channel or starts a task, and the
//! task feeds later. So the machine is never entered twice.

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
    /// A peer's question that waits for the machine's answer.
    struct QueryKey;
}

/// Clients of the platform and the endpoints.
#[derive(Debug, Clone)]
pub struct Clients {
    /// The log.
    pub log: log::Client,
    /// The list.
    pub list: list::Client,
    /// All endpoints.
    pub endpoints: endpoint::Client,
}

/// The machine and everything it holds.
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
    /// A driver of that machine, which has taken no input yet.
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

    /// Feeds one input to the machine and carries out what it wants done.
    pub fn feed(self: &Rc<Self>, input: Input) {
        for action in self.handle(input) {
            self.perform(action);
        }
        self.rearm.notify_one();
    }

    /// Feeds a peer's gossip. The machine's reply to it, if it has one, is
    /// returned instead of sent.
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

    /// Hands a request to the machine. Its parts come through the waiter.
    pub fn submit(self: &Rc<Self>, request: Request) -> ReplyReceiver {
        let (key, parts) =
            self.callers.borrow_mut().add(request.pipeline.clone(), request.id.team.clone());
        let waiter = ReplyReceiver { parts, _guard: DisconnectGuard { driver: self.clone(), key } };
        match self.is_closed.get() {
            true => self.answer(key.id(), admit::outcome_after_exit(&request)),
            false => self.feed(Input::Submit { caller: key.id(), request }),
        }
        waiter
    }

    /// Asks the machine a peer's question.
    pub async fn query_outcome(self: &Rc<Self>, key: RequestId) -> PeerOutcome {
        let (tx, rx) = oneshot::channel();
        let question = self.queries.borrow_mut().insert(tx);
        self.feed(Input::OutcomeAsked { question: question.data().as_ffi(), key });
        rx.await.unwrap_or(PeerOutcome::Unknown)
    }

    /// The time as the machine sees it: whole microseconds, as a trace holds.
    pub fn now(&self) -> Duration {
        let micros = u64::try_from(self.clock.now().as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(micros)
    }

    /// When the machine wants a tick.
    pub fn next_wake(&self) -> Option<Duration> {
        self.machine.borrow().next_wake()
    }

    /// Returns after the next input, when the wake may have changed.
    pub async fn rearmed(&self) {
        self.rearm.notified().await;
    }

    /// Returns when the machine has finished what it held after a stop.
    pub async fn exited(&self) {
        self.exit.notified().await;
    }

    /// Takes no input from now on. Requests are told that nothing ran.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// Where the next read of a stream starts.
    pub fn next_offset(&self, stream: Stream) -> Offset {
        match stream {
            Stream::Config => self.machine.borrow().next_config_offset(),
            Stream::Claims => self.machine.borrow().next_claims_offset(),
        }
    }

    /// Reads the machine. It must not be fed meanwhile.
    pub fn with_machine<T>(&self, read: impl FnOnce(&Instance) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Reads the outcomes by minute.
    pub fn with_outcomes<T>(&self, read: impl FnOnce(&OutcomeHistory) -> T) -> T {
        read(&self.outcomes.borrow())
    }

    /// The clock.
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

/// One caller's side: what it is sent. Dropping it before the outcome tells
/// the machine that the caller has gone.
pub struct ReplyReceiver {
    parts: mpsc::UnboundedReceiver<ReplyPart>,
    _guard: DisconnectGuard,
}

impl ReplyReceiver {
    /// The parts as they come; the last one is [`Part::End`].
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
