//! What engines and services share: slots, call records, faults, load reports
//! and cancellation.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, UNIX_EPOCH},
};

use bpaf::Bpaf;
use peatdeck_core::{
    instance::input::RefuseReason,
    model::{Echo, Incarnation, Load},
};
use peatdeck_macros::{data, message};
use peatdeck_util::clock::{Clock, SystemClock};
use peatdeck_wire::endpoint::CallBody;
use slotmap::SlotMap;
use tokio::sync::oneshot;

use crate::{
    calls::{CallHistory, CallState},
    faults::EndpointFaults,
    load::LaggedLoad,
    places::{Slots, Ticket},
    prefix::PrefixCache,
    reply,
};

mod call;
mod routes;

pub use call::Call;
pub use routes::{configure, refusal};

/// Settings of an engine or a service.
#[data]
#[derive(Bpaf)]
pub struct Settings {
    /// Name of the endpoint
    #[bpaf(
        long("name"),
        env("PEATDECK_NAME"),
        argument("NAME"),
        fallback("endpoint".to_owned()),
        display_fallback
    )]
    pub name: String,
    /// Incarnation of the endpoint; larger after each restart
    #[bpaf(
        long("incarnation"),
        env("PEATDECK_INCARNATION"),
        argument("N"),
        fallback(1),
        display_fallback
    )]
    pub incarnation: u64,
    /// Calls that run concurrently
    #[bpaf(long("places"), env("PEATDECK_PLACES"), argument("N"), fallback(8), display_fallback)]
    pub places: u32,
    /// Calls that may queue; further calls are refused as busy
    #[bpaf(long("queue"), env("PEATDECK_QUEUE"), argument("N"), fallback(16), display_fallback)]
    pub queue: u32,
    /// Time that a service's call or an engine's prefill takes, in milliseconds
    #[bpaf(
        long("call-ms"),
        env("PEATDECK_CALL_MS"),
        argument("MS"),
        fallback(5.0),
        display_fallback
    )]
    pub call_ms: f64,
    /// Time to generate a token, in milliseconds; engines only
    #[bpaf(
        long("token-ms"),
        env("PEATDECK_TOKEN_MS"),
        argument("MS"),
        fallback(2.0),
        display_fallback
    )]
    pub token_ms: f64,
    /// Share by which each further running call slows down a token; engines only
    #[bpaf(
        long("batch-cost"),
        env("PEATDECK_BATCH_COST"),
        argument("SHARE"),
        fallback(0.02),
        display_fallback
    )]
    pub batch_cost: f64,
    /// Prompt prefixes that the cache holds; engines only
    #[bpaf(
        long("prefixes"),
        env("PEATDECK_PREFIXES"),
        argument("N"),
        fallback(64),
        display_fallback
    )]
    pub prefixes: usize,
    /// How old load reports are, in milliseconds
    #[bpaf(
        long("load-lag-ms"),
        env("PEATDECK_LOAD_LAG_MS"),
        argument("MS"),
        fallback(0),
        display_fallback
    )]
    pub load_lag_ms: u64,
    /// Number of call records that are kept
    #[bpaf(
        long("keep-calls"),
        env("PEATDECK_KEEP_CALLS"),
        argument("N"),
        fallback(200_000),
        display_fallback
    )]
    pub keep_calls: usize,
}

/// Body of `GET /control/state`.
#[message]
pub struct EndpointState {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Current load, without the lag of load reports.
    pub load: Load,
    /// Number of calls refused since the start.
    pub refused: u64,
    /// Number of kept call records that finished.
    pub finished: usize,
    /// Number of kept call records that were cancelled.
    pub cancelled: usize,
    /// Number of kept call records whose reply was cut.
    pub cut: usize,
    /// Faults that are set.
    pub faults: EndpointFaults,
}

/// An engine or a service: its settings, slots and calls.
#[derive(Debug)]
pub struct Endpoint {
    /// Settings from the command line.
    pub settings: Settings,
    name: Arc<str>,
    clock: SystemClock,
    slots: Arc<Slots>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    history: CallHistory,
    active: SlotMap<ActiveKey, Active>,
    faults: EndpointFaults,
    load: LaggedLoad,
    prefixes: PrefixCache,
    refused: u64,
}

slotmap::new_key_type! {
    /// A call that has not ended.
    struct ActiveKey;
}

#[derive(Debug)]
struct Active {
    echo: Echo,
    cancel: oneshot::Sender<()>,
}

/// A call that was accepted, its ticket for a slot, and its cancel signal.
#[derive(Debug)]
pub struct AcceptedCall {
    /// The call.
    pub call: Call,
    /// A slot, or the call's position in the queue.
    pub ticket: Ticket,
    /// Resolves with `Ok` when the caller cancels the call.
    pub cancelled: oneshot::Receiver<()>,
}

impl Endpoint {
    /// Creates an idle endpoint.
    pub fn new(settings: Settings) -> Arc<Endpoint> {
        let slots = Slots::new(settings.places, settings.queue);
        let lag = Duration::from_millis(settings.load_lag_ms);
        let state = State {
            history: CallHistory::new(settings.keep_calls),
            active: SlotMap::with_key(),
            faults: EndpointFaults::default(),
            load: LaggedLoad::new(lag, load_of(&slots)),
            prefixes: PrefixCache::new(settings.prefixes),
            refused: 0,
        };
        let name = Arc::from(settings.name.as_str());
        let clock = SystemClock::new();
        Arc::new(Endpoint { settings, name, clock, slots, state: Mutex::new(state) })
    }

    /// Accepts and records a call.
    ///
    /// # Errors
    /// The reason of the refusal, if a fault refuses the call or the queue is full.
    pub fn accept(self: &Arc<Endpoint>, body: CallBody) -> Result<AcceptedCall, RefuseReason> {
        let faults = reply::lock(&self.state).next_faults();
        if let Some(reason) = faults.refuse {
            return Err(self.refuse(reason));
        }
        let Some(ticket) = self.slots.enter() else {
            return Err(self.refuse(RefuseReason::Busy));
        };
        let (cancel, cancelled) = oneshot::channel();
        let mut state = reply::lock(&self.state);
        let seq = state.history.record_arrival(&body, self.now_ms());
        let key = state.active.insert(Active { echo: body.echo.clone(), cancel });
        drop(state);
        self.record_load();
        let call = Call::new(self.clone(), key, seq, body, faults);
        Ok(AcceptedCall { call, ticket, cancelled })
    }

    /// The load that is reported to callers, with its lag.
    pub fn reported_load(&self) -> Load {
        reply::lock(&self.state).load.report(self.clock.now())
    }

    /// Number of calls that run now.
    pub fn running(&self) -> u32 {
        self.slots.running()
    }

    /// Whether the prompt's prefix was cached; it is cached from now on.
    pub fn touch_prefix(&self, prompt: &str) -> bool {
        reply::lock(&self.state).prefixes.touch(prompt)
    }

    fn refuse(&self, reason: RefuseReason) -> RefuseReason {
        reply::lock(&self.state).refused += 1;
        reason
    }

    fn record_load(&self) {
        let load = load_of(&self.slots);
        reply::lock(&self.state).load.record(self.clock.now(), load);
    }

    fn now_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn set_faults(&self, faults: EndpointFaults) {
        let lag_ms = faults.load_lag_ms.unwrap_or(self.settings.load_lag_ms);
        let mut state = reply::lock(&self.state);
        state.load.set_lag(Duration::from_millis(lag_ms));
        state.faults = faults;
    }

    fn state(&self) -> EndpointState {
        let state = reply::lock(&self.state);
        EndpointState {
            name: self.name.clone(),
            incarnation: Incarnation(self.settings.incarnation),
            load: load_of(&self.slots),
            refused: state.refused,
            finished: state.history.count(CallState::Finished),
            cancelled: state.history.count(CallState::Cancelled),
            cut: state.history.count(CallState::Cut),
            faults: state.faults.clone(),
        }
    }

    fn cancel(&self, echo: &Echo) {
        let mut state = reply::lock(&self.state);
        let keys: Vec<ActiveKey> = state.active_of(echo).collect();
        for key in keys {
            if let Some(active) = state.active.remove(key) {
                active.cancel.send(()).ok();
            }
        }
    }
}

impl State {
    /// The faults that apply to the next call; counts that call.
    fn next_faults(&mut self) -> EndpointFaults {
        let faults = self.faults.clone();
        if let Some(calls) = &mut self.faults.calls {
            *calls = calls.saturating_sub(1);
        }
        if self.faults.calls == Some(0) {
            self.faults = EndpointFaults::default();
        }
        faults
    }

    fn active_of(&self, echo: &Echo) -> impl Iterator<Item = ActiveKey> {
        let calls = self.active.iter().filter(move |(_, active)| active.echo == *echo);
        calls.map(|(key, _)| key)
    }
}

fn load_of(slots: &Slots) -> Load {
    Load { running: slots.running(), queued: slots.waiting(), places: slots.limit(), age_ms: 0 }
}
