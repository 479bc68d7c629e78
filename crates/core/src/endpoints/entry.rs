//! One endpoint: its life, its calls, its load.

use std::{sync::Arc, time::Duration};

use super::{
    CallEnd, CallResult, Settings,
    health::{Health, Phase},
};
use crate::{
    instance::input::RefuseReason,
    limits::AdaptiveLimit,
    membership::EndpointState,
    model::{DataCentre, EndpointEntry, EndpointName, Incarnation, Load, PoolName},
};

/// Whether an endpoint gets calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Usable,
    /// It doesn't, for the rest of this incarnation.
    Leaving,
    /// It doesn't for a while, because its calls went badly; or it gets one probe.
    Ejected,
    /// The list has missed it for long.
    Gone,
    /// Its data centre is evacuated.
    Evacuated,
}

impl State {
    /// Its name in a status report.
    pub fn name(self) -> &'static str {
        match self {
            State::Usable => "usable",
            State::Leaving => "leaving",
            State::Ejected => "ejected",
            State::Gone => "gone",
            State::Evacuated => "evacuated",
        }
    }
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: EndpointName,
    /// Its pool.
    pub pool: PoolName,
    /// Where it listens, `ip:port`.
    pub addr: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its life.
    pub incarnation: Incarnation,
    /// Calls of this instance that are under way there, in this life.
    pub in_flight: u32,
    /// Calls under way that were sent to an earlier life.
    stale: u32,
    leaving: bool,
    evacuated: bool,
    gone: bool,
    /// Since when the list has missed it.
    absent: Option<Duration>,
    /// When this life began, as far as this instance knows.
    since: Duration,
    /// When its slow start began; `None` if it had none.
    ramp: Option<Duration>,
    slow_start: Duration,
    health: Health,
    limit: AdaptiveLimit,
    speed: Speed,
    report: Option<Report>,
}

/// What an endpoint has to know of its pool when a call ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolView {
    /// Whether one more endpoint may be ejected.
    pub may_eject: bool,
    /// How long whole calls take in the pool; `None` if not known.
    pub usual: Option<Duration>,
}

/// A load report, and when it was true.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    at: Duration,
}

/// How long calls take, as a moving average.
#[derive(Debug, Clone, Copy, Default)]
struct Speed {
    /// Seconds a call, or a token for an engine.
    took: Option<f64>,
    /// Seconds a whole call.
    whole: Option<f64>,
    at: Duration,
    /// Whether the endpoint says how many tokens it made.
    by_token: bool,
    /// Share of calls that went well.
    good: f64,
}

/// Weight of the newest call in the averages.
const NEWEST: f64 = 0.1;
/// Times the pool's usual time after which a cancelled call counts as failed.
const HUNG_FACTOR: f64 = 5.0;
/// Share of its limit that a new endpoint starts with.
const FIRST_SHARE: f64 = 0.1;
/// Age at which a reported queue counts half, where nothing else is known.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Steps of a slow start, for waking up.
const RAMP_STEPS: u32 = 10;

impl Endpoint {
    /// A new life, with a slow start.
    pub(super) fn new(now: Duration, entry: &EndpointEntry, settings: &Settings) -> Endpoint {
        Endpoint {
            name: entry.name.clone(),
            pool: entry.pool.clone(),
            addr: entry.addr.clone(),
            data_centre: entry.data_centre.clone(),
            incarnation: entry.incarnation,
            in_flight: 0,
            stale: 0,
            leaving: false,
            evacuated: false,
            gone: false,
            absent: None,
            since: now,
            ramp: Some(now),
            slow_start: settings.slow_start,
            health: Health::new(settings.health),
            limit: AdaptiveLimit::new(settings.limit),
            speed: Speed { good: 1.0, ..Speed::default() },
            report: None,
        }
    }

    /// Starts at full speed: it isn't new, this instance is.
    pub(super) fn skip_slow_start(&mut self) {
        self.ramp = None;
    }

    /// Whether it gets calls.
    pub fn state(&self) -> State {
        if self.leaving {
            return State::Leaving;
        }
        if self.gone {
            return State::Gone;
        }
        if self.evacuated {
            return State::Evacuated;
        }
        match self.health.phase() {
            Phase::Healthy => State::Usable,
            Phase::Ejected { .. } | Phase::Probing { .. } => State::Ejected,
        }
    }

    /// Whether it may get a call now, but for its limit. True for one probe of an ejected one.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.leaving && !self.evacuated && !self.gone && self.health.is_open(now)
    }

    /// Whether its next call is the probe that may bring it back.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        self.is_usable(now) && self.health.is_probe_due(now)
    }

    /// Calls of this instance that may run there at once.
    pub fn limit(&self, now: Duration) -> u32 {
        let full = f64::from(self.limit.value());
        let share = self.ramp_share(now);
        ((full * share) as u32).max(1)
    }

    /// Calls that may be sent to it now.
    pub fn free(&self, now: Duration) -> u32 {
        if !self.is_usable(now) {
            return 0;
        }
        let free = self.limit(now).saturating_sub(self.in_flight);
        if self.is_probe_due(now) { free.min(1) } else { free }
    }

    /// Calls that it reported as waiting, and how old the report is.
    pub fn reported_queue(&self, now: Duration) -> Option<(u32, Duration)> {
        self.report.map(|report| (report.load.queued, now.saturating_sub(report.at)))
    }

    /// Calls that it reported as waiting, worth less the older the report is.
    pub fn decayed_queue(&self, now: Duration) -> f64 {
        let Some((queued, age)) = self.reported_queue(now) else { return 0.0 };
        f64::from(queued) * (-age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Calls that it can work on at once, where it reported that.
    pub fn places(&self) -> Option<u32> {
        self.report.map(|report| report.load.places.max(1))
    }

    /// How long its calls took lately, for an engine per token, and when the last one ended.
    pub fn latency(&self) -> Option<(Duration, Duration)> {
        self.speed.took.map(|took| (Duration::from_secs_f64(took), self.speed.at))
    }

    /// How long its whole calls took lately.
    pub fn call_latency(&self) -> Option<Duration> {
        self.speed.whole.map(Duration::from_secs_f64)
    }

    /// Share of its recent calls that went well.
    pub fn success_rate(&self) -> f64 {
        self.speed.good
    }

    /// Takes in its entry of the list; a larger incarnation starts a new life.
    pub(super) fn list(&mut self, now: Duration, entry: &EndpointEntry, settings: &Settings) {
        if entry.incarnation < self.incarnation {
            return;
        }
        if entry.incarnation > self.incarnation {
            let stale = self.stale + self.in_flight;
            *self = Endpoint { stale, ..Endpoint::new(now, entry, settings) };
            return;
        }
        self.pool = entry.pool.clone();
        self.addr = entry.addr.clone();
        self.data_centre = entry.data_centre.clone();
    }

    /// Says whether the newest list has it.
    pub(super) fn set_listed(&mut self, now: Duration, listed: bool, after: Duration) {
        if listed {
            self.absent = None;
            self.gone = false;
            return;
        }
        let since = *self.absent.get_or_insert(now);
        self.gone = now.saturating_sub(since) >= after;
    }

    pub(super) fn set_evacuated(&mut self, is_evacuated: bool) {
        self.evacuated = is_evacuated;
    }

    pub(super) fn mark_leaving(&mut self, incarnation: Incarnation) {
        self.leaving |= incarnation >= self.incarnation;
    }

    pub(super) fn started(&mut self, now: Duration) {
        self.in_flight += 1;
        self.health.started(now);
    }

    pub(super) fn ended(&mut self, now: Duration, end: &CallEnd, pool: PoolView) {
        let sent = now.saturating_sub(end.took);
        let is_stale = self.stale > 0 && (sent < self.since || self.in_flight == 0);
        if is_stale {
            self.stale -= 1;
            return;
        }
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        match end.result {
            CallResult::Ok => self.succeeded(now, sent, end, in_flight),
            CallResult::Refused(reason) => self.refused(now, sent, reason),
            CallResult::Failed => self.failed(now, sent, pool.may_eject),
            CallResult::Cancelled => self.cancelled(now, end, in_flight, pool),
            CallResult::Mismatched => self.distrusted(now),
        }
    }

    pub(super) fn reported(&mut self, now: Duration, load: Load) {
        let at = now.saturating_sub(Duration::from_millis(u64::from(load.age_ms)));
        if self.report.is_some_and(|known| known.at > at) {
            return;
        }
        self.report = Some(Report { load, at });
        self.limit.record_report(now, at, load.queued, load.places.max(1));
    }

    pub(super) fn is_worth_telling(&self) -> bool {
        self.in_flight > 0 || self.report.is_some()
    }

    pub(super) fn told(&self, now: Duration) -> EndpointState {
        let load = self.report.map(|report| {
            let age = now.saturating_sub(report.at).as_millis();
            Load { age_ms: u32::try_from(age).unwrap_or(u32::MAX), ..report.load }
        });
        EndpointState { endpoint: self.name.clone(), in_flight: self.in_flight, load }
    }

    pub(super) fn is_forgettable(&self) -> bool {
        self.gone && self.in_flight == 0 && self.stale == 0
    }

    pub(super) fn next_wake(&self, now: Duration) -> Option<Duration> {
        if self.leaving || self.gone {
            return None;
        }
        if let Phase::Ejected { until } = self.health.phase() {
            return (until > now).then_some(until);
        }
        let end = self.ramp? + self.slow_start;
        (now < end).then(|| end.min(now + self.slow_start / RAMP_STEPS))
    }

    /// Share of the limit that a slow start allows by now.
    fn ramp_share(&self, now: Duration) -> f64 {
        let Some(ramp) = self.ramp else { return 1.0 };
        if self.slow_start.is_zero() {
            return 1.0;
        }
        let done = now.saturating_sub(ramp).as_secs_f64() / self.slow_start.as_secs_f64();
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * done).min(1.0)
    }

    fn succeeded(&mut self, now: Duration, sent: Duration, end: &CallEnd, in_flight: u32) {
        if self.health.succeeded(sent) {
            self.ramp = Some(now);
        }
        let unit = unit(end);
        self.speed.by_token |= end.tokens.is_some();
        self.limit.record_completion(now, unit, in_flight);
        self.speed.record(now, unit, end.took);
    }

    fn refused(&mut self, now: Duration, sent: Duration, reason: RefuseReason) {
        self.health.probe_inconclusive(now, sent);
        if reason == RefuseReason::Busy {
            self.limit.record_refusal(now, sent);
        }
    }

    /// A cancelled call tells nothing, unless it took so long that it hung.
    fn cancelled(&mut self, now: Duration, end: &CallEnd, in_flight: u32, pool: PoolView) {
        let sent = now.saturating_sub(end.took);
        let hung = pool.usual.is_some_and(|usual| end.took > usual.mul_f64(HUNG_FACTOR));
        if hung {
            self.failed(now, sent, pool.may_eject);
        } else {
            self.health.probe_inconclusive(now, sent);
        }
        if !self.speed.by_token || end.tokens.is_some() {
            self.limit.record_cancellation(now, unit(end), in_flight);
        }
    }

    fn failed(&mut self, now: Duration, sent: Duration, may_eject: bool) {
        self.speed.failed();
        self.health.failed(now, sent, may_eject);
    }

    fn distrusted(&mut self, now: Duration) {
        self.speed.failed();
        self.health.eject(now);
    }
}

impl Speed {
    fn record(&mut self, now: Duration, unit: Duration, whole: Duration) {
        self.took = Some(averaged(self.took, unit.as_secs_f64()));
        self.whole = Some(averaged(self.whole, whole.as_secs_f64()));
        self.at = now;
        self.good += (1.0 - self.good) * NEWEST;
    }

    fn failed(&mut self) {
        self.good -= self.good * NEWEST;
    }
}

/// The time of a call, for an engine per token.
fn unit(end: &CallEnd) -> Duration {
    end.took.div_f64(f64::from(end.tokens.unwrap_or(1).max(1)))
}

fn averaged(old: Option<f64>, new: f64) -> f64 {
    let old = old.unwrap_or(new);
    old + (new - old) * NEWEST
}
