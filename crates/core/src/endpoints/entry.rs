//! One endpoint: its incarnation, its calls and its load.

use std::{sync::Arc, time::Duration};

use super::{
    CallEnd, CallResult, Settings,
    health::{Health, Phase},
};
use crate::{
    instance::input::RefuseReason,
    limits::AdaptiveLimit,
    membership::EndpointState,
    model::{
        DataCentre, EndpointEntry, EndpointName, Incarnation, Load, PoolName, SoftwareVersion,
    },
};

/// Whether an endpoint gets calls, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It gets calls.
    Usable,
    /// It gets no calls for the rest of this incarnation.
    Leaving,
    /// It gets no calls for a while because earlier calls failed, or its single probe is in flight
    /// or due.
    Ejected,
    /// It has been missing from the list for too long.
    Gone,
    /// Its data centre is evacuated.
    Evacuated,
}

impl State {
    /// The name of the state in a status report.
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

/// One endpoint, as seen by this instance.
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
    /// The version of its software.
    pub software: SoftwareVersion,
    /// The newest incarnation that was listed.
    pub incarnation: Incarnation,
    /// Calls of this instance that are in flight to this incarnation.
    pub in_flight: u32,
    /// Calls in flight that were sent to an earlier incarnation.
    stale_calls: u32,
    is_leaving: bool,
    is_evacuated: bool,
    is_gone: bool,
    /// When it was first missing from the list; `None` while it is listed.
    absent_since: Option<Duration>,
    /// When this instance first saw this incarnation.
    started_at: Duration,
    /// When its slow start began; `None` if it had none.
    ramp_start: Option<Duration>,
    slow_start: Duration,
    health: Health,
    limit: AdaptiveLimit,
    latency: LatencyStats,
    report: Option<Report>,
}

/// What is needed of an endpoint's pool when one of its calls ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolView {
    /// Whether one more endpoint may be ejected.
    pub may_eject: bool,
    /// The median time of successful calls over the endpoints of the pool; `None` if not known.
    pub median_latency: Option<Duration>,
}

/// A load report, and when the endpoint measured it.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    measured_at: Duration,
}

/// Moving averages over recent calls.
#[derive(Debug, Clone, Copy, Default)]
struct LatencyStats {
    /// Seconds for a call, or for one token if the endpoint reports tokens.
    unit_secs: Option<f64>,
    /// Seconds for a whole call.
    call_secs: Option<f64>,
    /// When the last call ended.
    last_end: Duration,
    /// Whether the endpoint reports how many tokens it generated.
    is_per_token: bool,
    /// Share of calls that succeeded.
    success_rate: f64,
}

/// Weight of the newest call in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// A cancelled call counts as failed after this many times the pool's median call time.
const HUNG_FACTOR: f64 = 5.0;
/// Share of its limit at which a new endpoint starts.
const INITIAL_SHARE: f64 = 0.1;
/// Half-life of a reported queue length, where nothing newer is known.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Number of wake-ups over a slow start, so that queued calls use the slots that it frees.
const SLOW_START_STEPS: u32 = 10;

impl Endpoint {
    /// An endpoint at the beginning of an incarnation, with a slow start.
    pub(super) fn new(now: Duration, entry: &EndpointEntry, settings: &Settings) -> Endpoint {
        Endpoint {
            name: entry.name.clone(),
            pool: entry.pool.clone(),
            addr: entry.addr.clone(),
            data_centre: entry.data_centre.clone(),
            software: entry.software.clone(),
            incarnation: entry.incarnation,
            in_flight: 0,
            stale_calls: 0,
            is_leaving: false,
            is_evacuated: false,
            is_gone: false,
            absent_since: None,
            started_at: now,
            ramp_start: Some(now),
            slow_start: settings.slow_start,
            health: Health::new(settings.health),
            limit: AdaptiveLimit::new(settings.limit),
            latency: LatencyStats { success_rate: 1.0, ..LatencyStats::default() },
            report: None,
        }
    }

    /// Removes the slow start: this instance is new, not the endpoint.
    pub(super) fn skip_slow_start(&mut self) {
        self.ramp_start = None;
    }

    /// Whether it gets calls, and if not, why.
    pub fn state(&self) -> State {
        if self.is_leaving {
            return State::Leaving;
        }
        if self.is_gone {
            return State::Gone;
        }
        if self.is_evacuated {
            return State::Evacuated;
        }
        match self.health.phase() {
            Phase::Healthy => State::Usable,
            Phase::Ejected { .. } | Phase::Probing { .. } => State::Ejected,
        }
    }

    /// Whether it may get a call now, apart from its limit. This includes the probe of an ejected
    /// endpoint.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.is_leaving && !self.is_evacuated && !self.is_gone && self.health.is_open(now)
    }

    /// Whether the next call to it is the probe that may end its ejection.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        self.is_usable(now) && self.health.is_probe_due(now)
    }

    /// The most calls of this instance that may run there at the same time.
    pub fn limit(&self, now: Duration) -> u32 {
        let full = f64::from(self.limit.value());
        let share = self.slow_start_share(now);
        ((full * share) as u32).max(1)
    }

    /// The number of calls that may be sent to it now.
    pub fn free(&self, now: Duration) -> u32 {
        if !self.is_usable(now) {
            return 0;
        }
        let free = self.limit(now).saturating_sub(self.in_flight);
        if self.is_probe_due(now) { free.min(1) } else { free }
    }

    /// The number of calls that it reported as queued, and the age of the report.
    pub fn reported_queue(&self, now: Duration) -> Option<(u32, Duration)> {
        self.report.map(|report| (report.load.queued, now.saturating_sub(report.measured_at)))
    }

    /// The number of calls that it reported as queued, reduced exponentially with the age of the
    /// report.
    pub fn decayed_queue(&self, now: Duration) -> f64 {
        let Some((queued, age)) = self.reported_queue(now) else { return 0.0 };
        f64::from(queued) * (-age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// The number of calls that it can run at the same time, if it has reported it.
    pub fn places(&self) -> Option<u32> {
        self.report.map(|report| report.load.places.max(1))
    }

    /// The average time of its recent calls (per token, for an engine), and when the last one
    /// ended.
    pub fn latency(&self) -> Option<(Duration, Duration)> {
        self.latency.unit_secs.map(|took| (Duration::from_secs_f64(took), self.latency.last_end))
    }

    /// The average time of its recent calls as a whole.
    pub fn call_latency(&self) -> Option<Duration> {
        self.latency.call_secs.map(Duration::from_secs_f64)
    }

    /// Share of its recent calls that succeeded.
    pub fn success_rate(&self) -> f64 {
        self.latency.success_rate
    }

    /// Applies its entry of the list. A larger incarnation resets everything known of the endpoint.
    pub(super) fn update(&mut self, now: Duration, entry: &EndpointEntry, settings: &Settings) {
        if entry.incarnation < self.incarnation {
            return;
        }
        if entry.incarnation > self.incarnation {
            let stale_calls = self.stale_calls + self.in_flight;
            *self = Endpoint { stale_calls, ..Endpoint::new(now, entry, settings) };
            return;
        }
        self.pool = entry.pool.clone();
        self.addr = entry.addr.clone();
        self.data_centre = entry.data_centre.clone();
        self.software = entry.software.clone();
    }

    /// Records whether the newest list has it; it counts as gone once it was missing for `after`.
    pub(super) fn set_listed(&mut self, now: Duration, listed: bool, after: Duration) {
        if listed {
            self.absent_since = None;
            self.is_gone = false;
            return;
        }
        let since = *self.absent_since.get_or_insert(now);
        self.is_gone = now.saturating_sub(since) >= after;
    }

    pub(super) fn set_evacuated(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
    }

    pub(super) fn mark_leaving(&mut self, incarnation: Incarnation) {
        self.is_leaving |= incarnation >= self.incarnation;
    }

    pub(super) fn started(&mut self, now: Duration) {
        self.in_flight += 1;
        self.health.started(now);
    }

    pub(super) fn ended(&mut self, now: Duration, end: &CallEnd, pool: PoolView) {
        let sent = now.saturating_sub(end.took);
        let is_stale = self.stale_calls > 0 && (sent < self.started_at || self.in_flight == 0);
        if is_stale {
            self.stale_calls -= 1;
            return;
        }
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        match end.result {
            CallResult::Ok => self.succeeded(now, sent, end, in_flight),
            CallResult::Refused(reason) => self.refused(now, sent, reason),
            CallResult::Failed => self.failed(now, sent, pool.may_eject),
            CallResult::Cancelled => self.cancelled(now, end, in_flight, pool),
            CallResult::Mismatched => self.mismatched(now),
        }
    }

    pub(super) fn reported(&mut self, now: Duration, load: Load) {
        let measured_at = now.saturating_sub(Duration::from_millis(u64::from(load.age_ms)));
        if self.report.is_some_and(|known| known.measured_at > measured_at) {
            return;
        }
        self.report = Some(Report { load, measured_at });
        self.limit.record_report(now, measured_at, load.queued, load.places.max(1));
    }

    pub(super) fn has_news(&self) -> bool {
        self.in_flight > 0 || self.report.is_some()
    }

    pub(super) fn to_state(&self, now: Duration) -> EndpointState {
        let load = self.report.map(|report| {
            let age = now.saturating_sub(report.measured_at).as_millis();
            Load { age_ms: u32::try_from(age).unwrap_or(u32::MAX), ..report.load }
        });
        EndpointState { endpoint: self.name.clone(), in_flight: self.in_flight, load }
    }

    pub(super) fn is_removable(&self) -> bool {
        self.is_gone && self.in_flight == 0 && self.stale_calls == 0
    }

    pub(super) fn next_wake(&self, now: Duration) -> Option<Duration> {
        if self.is_leaving || self.is_gone {
            return None;
        }
        if let Phase::Ejected { until } = self.health.phase() {
            return (until > now).then_some(until);
        }
        let end = self.ramp_start? + self.slow_start;
        (now < end).then(|| end.min(now + self.slow_start / SLOW_START_STEPS))
    }

    /// The share of the limit that the slow start allows by now.
    fn slow_start_share(&self, now: Duration) -> f64 {
        let Some(ramp) = self.ramp_start else { return 1.0 };
        if self.slow_start.is_zero() {
            return 1.0;
        }
        let done = now.saturating_sub(ramp).as_secs_f64() / self.slow_start.as_secs_f64();
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * done).min(1.0)
    }

    fn succeeded(&mut self, now: Duration, sent: Duration, end: &CallEnd, in_flight: u32) {
        if self.health.succeeded(sent) {
            self.ramp_start = Some(now);
        }
        let unit = unit_time(end);
        self.latency.is_per_token |= end.tokens.is_some();
        self.limit.record_completion(now, unit, in_flight);
        self.latency.record(now, unit, end.took);
    }

    fn refused(&mut self, now: Duration, sent: Duration, reason: RefuseReason) {
        self.health.probe_inconclusive(now, sent);
        if reason == RefuseReason::Busy {
            self.limit.record_refusal(now, sent);
        }
    }

    /// A cancelled call doesn't count against the endpoint, unless it took so long that it must
    /// have hung.
    fn cancelled(&mut self, now: Duration, end: &CallEnd, in_flight: u32, pool: PoolView) {
        let sent = now.saturating_sub(end.took);
        let has_hung =
            pool.median_latency.is_some_and(|median| end.took > median.mul_f64(HUNG_FACTOR));
        if has_hung {
            self.failed(now, sent, pool.may_eject);
        } else {
            self.health.probe_inconclusive(now, sent);
        }
        if !self.latency.is_per_token || end.tokens.is_some() {
            self.limit.record_cancellation(now, unit_time(end), in_flight);
        }
    }

    fn failed(&mut self, now: Duration, sent: Duration, may_eject: bool) {
        self.latency.failed();
        self.health.failed(now, sent, may_eject);
    }

    fn mismatched(&mut self, now: Duration) {
        self.latency.failed();
        self.health.eject(now);
    }
}

impl LatencyStats {
    fn record(&mut self, now: Duration, unit: Duration, call: Duration) {
        self.unit_secs = Some(averaged(self.unit_secs, unit.as_secs_f64()));
        self.call_secs = Some(averaged(self.call_secs, call.as_secs_f64()));
        self.last_end = now;
        self.success_rate += (1.0 - self.success_rate) * NEWEST_WEIGHT;
    }

    fn failed(&mut self) {
        self.success_rate -= self.success_rate * NEWEST_WEIGHT;
    }
}

/// The time of a call, or per token if the endpoint reported tokens.
fn unit_time(end: &CallEnd) -> Duration {
    end.took.div_f64(f64::from(end.tokens.unwrap_or(1).max(1)))
}

fn averaged(old: Option<f64>, new: f64) -> f64 {
    let old = old.unwrap_or(new);
    old + (new - old) * NEWEST_WEIGHT
}
