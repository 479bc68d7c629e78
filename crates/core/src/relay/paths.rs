//! Paths to endpoints: which ones this instance can connect to, and which it reaches only
//! through a peer.
//!
//! A connection that is refused or times out does not show whether the endpoint has ended or
//! only the network between it and this instance is interrupted. A peer that connects to the
//! endpoint at the same time shows that it runs: the path is *interrupted*, and calls to it
//! take a detour through a peer until a new connection succeeds. After several interrupted
//! paths in a row, without a connection that succeeded, the instance is *cut off*: all calls
//! take a detour, so that not every endpoint has to fail first.
//!
//! Endpoints that no peer reaches either are not interrupted; how their failures are treated
//! does not concern this module.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use peatdeck_macros::{data, id};

use crate::{
    model::InstanceName,
    relay::ids::{EndpointId, EndpointKey},
};

/// Interrupted paths in a row after which an instance is cut off.
const CUT_OFF_COUNT: usize = 2;
/// Interval at which peers are asked about the same endpoint.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between attempts to connect to unreachable endpoints.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same after an attempt that succeeded: the other paths probably work again too.
const NEXT_CHECK: Duration = Duration::from_millis(25);
/// Successful attempts after which the path to an endpoint works again. A single connection may
/// be reset only later.
const REQUIRED_SUCCESSES: u32 = 2;
/// How long a peer that could not make a call for this instance gets none.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// A peer's answer to the question whether it can connect to an endpoint.
#[id]
#[derive(Copy)]
pub enum Reach {
    /// It did not answer, or does not use the endpoint.
    Unknown,
    /// It can connect to the endpoint.
    Reached,
    /// It cannot, but it can connect to other endpoints.
    Unreached,
    /// It cannot connect to any endpoint that it tried.
    CutOff,
    /// The endpoint answered it just now.
    Answered,
}

/// How a call reaches an endpoint that this instance cannot connect to.
#[data]
pub struct Detour {
    /// The peer that makes the call.
    pub peer: InstanceName,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// An endpoint to which the last new connection failed.
#[derive(Debug, Default)]
struct FailedPath {
    /// Whether a peer reached it meanwhile.
    is_interrupted: bool,
    /// Whether connections open and carry nothing, so that only an answer shows that they work.
    is_silent: bool,
    asked_at: Option<Duration>,
    checked_at: Duration,
    /// Attempts to connect in a row that succeeded.
    successes: u32,
}

/// A peer that makes calls for this instance.
#[derive(Debug, Default)]
struct Helper {
    in_flight: usize,
    /// Whether it reached an endpoint when it last tried.
    is_proved: bool,
    avoided_until: Duration,
}

/// The paths of one instance.
#[derive(Debug, Default)]
pub struct Paths {
    failed: HashMap<EndpointKey, FailedPath>,
    /// Endpoints whose paths were found interrupted since a connection last succeeded.
    streak: HashSet<EndpointKey>,
    is_cut_off: bool,
    next_check: Duration,
    helpers: HashMap<InstanceName, Helper>,
}

impl Paths {
    /// Records that a connection was opened. Returns whether the endpoint was unreachable.
    pub fn record_connected(&mut self, now: Duration, endpoint: EndpointKey) -> bool {
        self.streak.clear();
        self.is_cut_off = false;
        self.next_check = self.next_check.min(now + NEXT_CHECK);
        self.failed.remove(&endpoint).is_some()
    }

    /// Records that no connection could be opened. Returns whether the endpoint was reachable.
    pub fn record_failure(&mut self, now: Duration, endpoint: EndpointKey) -> bool {
        let is_new = !self.failed.contains_key(&endpoint);
        if self.failed.is_empty() {
            self.next_check = now + CHECK_INTERVAL;
        }
        let path = self.failed.entry(endpoint).or_default();
        path.checked_at = now;
        is_new
    }

    /// Whether peers are to be asked about an endpoint now, to which a connection failed.
    pub fn take_question(&mut self, now: Duration, endpoint: EndpointKey) -> bool {
        if self.is_interrupted(endpoint) {
            return false;
        }
        let Some(path) = self.failed.get_mut(&endpoint) else { return false };
        let is_due = path.asked_at.is_none_or(|at| now >= at + ASK_INTERVAL);
        if is_due {
            path.asked_at = Some(now);
        }
        is_due
    }

    /// Records that a peer reaches an endpoint that this instance cannot connect to. Returns
    /// whether this instance is cut off and was not before.
    pub fn record_interruption(&mut self, now: Duration, endpoint: EndpointKey) -> bool {
        let path = self.failed.entry(endpoint).or_default();
        path.is_interrupted = true;
        path.checked_at = now;
        // Paths are found silent only while nothing comes from any endpoint.
        let hears_nothing = path.is_silent;
        self.next_check = now + CHECK_INTERVAL;
        self.streak.insert(endpoint);
        let was_cut_off = self.is_cut_off;
        self.is_cut_off |= hears_nothing || self.streak.len() >= CUT_OFF_COUNT;
        self.is_cut_off && !was_cut_off
    }

    /// Records that connections to an endpoint open and carry nothing.
    pub fn record_silence(&mut self, now: Duration, endpoint: EndpointKey) {
        self.record_failure(now, endpoint);
        let path = self.failed.entry(endpoint).or_default();
        path.is_silent = true;
        path.successes = 0;
    }

    /// Whether connections of this instance were found to carry nothing, so that one that opens
    /// proves nothing.
    pub fn has_silent(&self) -> bool {
        self.failed.values().any(|path| path.is_silent)
    }

    /// Whether a peer reached an endpoint when it last tried.
    pub fn is_proved(&self, peer: &InstanceName) -> bool {
        self.helpers.get(peer).is_some_and(|helper| helper.is_proved)
    }

    /// Whether connections to an endpoint were found to carry nothing.
    pub fn is_silent(&self, endpoint: EndpointKey) -> bool {
        self.failed.get(&endpoint).is_some_and(|path| path.is_silent)
    }

    /// Whether calls to an endpoint need a detour.
    pub fn is_interrupted(&self, endpoint: EndpointKey) -> bool {
        self.is_cut_off || self.failed.get(&endpoint).is_some_and(|path| path.is_interrupted)
    }

    /// Whether this instance probably reaches no endpoint.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Number of endpoints to which the last new connection failed.
    pub fn unreachable_count(&self) -> usize {
        self.failed.len()
    }

    /// When the path to an unreachable endpoint is to be checked next; `None` if there is none.
    pub fn next_check(&self) -> Option<Duration> {
        (!self.failed.is_empty()).then_some(self.next_check)
    }

    /// The endpoint to which a connection is to be tried now, to find out whether the path
    /// works again.
    pub fn take_check(&mut self, now: Duration) -> Option<EndpointKey> {
        if now < self.next_check {
            return None;
        }
        let (endpoint, path) = self.failed.iter_mut().min_by_key(|(_, path)| path.checked_at)?;
        path.checked_at = now;
        self.next_check = now + CHECK_INTERVAL;
        Some(*endpoint)
    }

    /// Records how such an attempt ended. Returns whether the path works again.
    pub fn record_check(&mut self, now: Duration, endpoint: EndpointKey, is_open: bool) -> bool {
        let Some(path) = self.failed.get_mut(&endpoint) else { return is_open };
        path.successes = if is_open { path.successes + 1 } else { 0 };
        if is_open {
            path.checked_at = Duration::ZERO;
            self.next_check = self.next_check.min(now + NEXT_CHECK);
        }
        path.successes >= REQUIRED_SUCCESSES
    }

    /// Forgets the endpoints that are not to be kept.
    pub fn retain(&mut self, is_kept: impl Fn(EndpointKey) -> bool) {
        self.failed.retain(|endpoint, _| is_kept(*endpoint));
        self.streak.retain(|endpoint| is_kept(*endpoint));
        self.is_cut_off &= self.failed.values().any(|path| path.is_interrupted);
        self.helpers.retain(|_, helper| helper.in_flight > 0 || helper.is_proved);
    }

    /// Whether a peer may be asked or make calls now.
    pub fn is_available(&self, now: Duration, peer: &InstanceName) -> bool {
        self.helpers.get(peer).is_none_or(|helper| now >= helper.avoided_until)
    }

    /// The better one of two peers for a detour: one that reached an endpoint when it last
    /// tried, then one that makes fewer calls for this instance.
    pub fn better<'a>(&self, a: &'a InstanceName, b: &'a InstanceName) -> &'a InstanceName {
        let rank =
            |peer| self.helpers.get(peer).map_or((true, 0), |it| (!it.is_proved, it.in_flight));
        if rank(a) <= rank(b) { a } else { b }
    }

    /// Records whether a peer reaches endpoints. One that does not is avoided for a while.
    pub fn record_help(&mut self, now: Duration, peer: &InstanceName, is_proved: bool) {
        let helper = self.helpers.entry(peer.clone()).or_default();
        helper.is_proved = is_proved;
        helper.avoided_until = if is_proved { Duration::ZERO } else { now + AVOID_TIME };
    }

    /// Records that a peer makes a call for this instance.
    pub fn record_sent(&mut self, peer: &InstanceName) {
        self.helpers.entry(peer.clone()).or_default().in_flight += 1;
    }

    /// Records that such a call has ended.
    pub fn record_end(&mut self, peer: &InstanceName) {
        if let Some(helper) = self.helpers.get_mut(peer) {
            helper.in_flight = helper.in_flight.saturating_sub(1);
        }
    }
}
