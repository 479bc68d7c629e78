//! One incarnation of an endpoint: its state, load, speed and failures.

use std::time::Duration;

use peatdeck_macros::data;

use crate::{
    model::Load,
    relay::{
        backoff::{self, Backoff, Delays},
        directory::{Entry, identity::Identity},
        engine::EngineModel,
        model::{EndpointId, Failure, RunNumber, Step},
        region::RegionName,
        terms::{LimitReport, Notice, Rate},
    },
};

/// How long an endpoint is avoided after its calls failed.
const FAILURE_DELAYS: Delays =
    Delays { initial: Duration::from_millis(400), max: Duration::from_secs(4) };
/// The weight of a new response time in the moving average.
const NEW_TIME_WEIGHT: f64 = 0.2;
/// The time without an answer after which a slow endpoint receives a trial call. Slow
/// endpoints are avoided, so no other call would show that it is fast again.
const TRIAL_INTERVAL: Duration = Duration::from_secs(3);
/// The longest such time. It doubles with each trial call that was still slow.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(48);
/// How long an endpoint counts as fragile after the last reply that stated it.
const FRAGILE_TIME: Duration = Duration::from_secs(10);
/// Range of the time for which an instance avoids a fragile endpoint that refused a call.
const MIN_FRAGILE_PAUSE: Duration = Duration::from_millis(400);
const MAX_FRAGILE_PAUSE: Duration = Duration::from_secs(5);
/// The age beyond which a load report is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Whether an endpoint accepts new work, and since when it does not.
#[data]
#[derive(Copy)]
pub(super) enum State {
    /// It accepts new work.
    Ready,
    /// Its entry has disappeared.
    Missing(Duration),
    /// Its entry was overwritten with an invalid one.
    Suspended(Duration),
    /// Nothing listens at its address.
    Gone(Duration),
    /// Its entry may have been written late; the next one has not been seen.
    Unproven(Duration),
    /// It is leaving, or has left.
    Leaving(Duration),
}

/// One incarnation of an endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its entry in the directory.
    pub entry: Entry,
    /// The region of its data centre; `None` if the deployment's regions have no names.
    pub(super) region: Option<RegionName>,
    /// This instance's calls in flight.
    pub in_flight: u32,
    /// The model of its load, if it generates, from the calls that this instance placed
    /// there for itself and for peers.
    pub engine: EngineModel,
    /// Moving average of the time to the first byte of an answer; `None` before the first
    /// answer.
    pub response_time: Option<Duration>,
    answered_at: Duration,
    /// How long after the last answer it receives a trial call.
    trial_interval: Duration,
    pub(super) state: State,
    /// Whether a further entry has followed the one that was seen first, or that was the first one
    /// of the incarnation.
    pub(super) is_proven: bool,
    /// Whether a further entry has followed the one that was seen first.
    pub(super) has_advanced: bool,
    /// Whether its process is at its address.
    pub(super) identity: Identity,
    load: Option<(Duration, Load)>,
    sent_since_report: u32,
    failures: Backoff,
    refusals: Backoff,
    cold_until: Duration,
    /// Until when it asked this instance to send it nothing.
    pub(in crate::relay) hold_until: Duration,
    /// When this instance received the endpoint's own statement that it is leaving.
    pub(in crate::relay) leaving_at: Option<Duration>,
    /// What it last stated about its limit; `None` if it never stated one.
    pub(in crate::relay) limit_report: Option<LimitReport>,
    /// How many refusals per second it survives, and until when that is believed.
    max_refusals: Option<(u32, Duration)>,
    /// The last time slot used for a call, if the rate of its calls is limited.
    pub(in crate::relay) last_slot: Option<Duration>,
}

impl Endpoint {
    /// An endpoint whose entry has just been read for the first time.
    pub(super) fn new(now: Duration, entry: Entry, region: Option<RegionName>) -> Endpoint {
        Endpoint {
            cold_until: now + entry.cold_left.unwrap_or_default(),
            hold_until: Duration::ZERO,
            leaving_at: None,
            limit_report: None,
            last_slot: None,
            max_refusals: None,
            entry,
            region,
            in_flight: 0,
            engine: EngineModel::default(),
            response_time: None,
            answered_at: Duration::ZERO,
            trial_interval: TRIAL_INTERVAL,
            state: State::Ready,
            is_proven: true,
            has_advanced: false,
            identity: Identity::default(),
            load: None,
            sent_since_report: 0,
            failures: Backoff::default(),
            refusals: Backoff::default(),
        }
    }

    /// Its name and incarnation.
    pub fn id(&self) -> EndpointId {
        EndpointId { name: self.entry.name.clone(), incarnation: self.entry.incarnation }
    }

    /// Whether it accepts new work.
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Whether it is cold: more than a few calls per second would crash it.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Sends it nothing for the duration `hold` that it asked for. Refusals of several calls
    /// may each ask for a hold; the one that ends last applies.
    pub fn extend_hold(&mut self, now: Duration, hold: Duration) {
        self.hold_until = self.hold_until.max(now + hold);
    }

    /// Whether it asked this instance to send it nothing now.
    pub fn is_on_hold(&self, now: Duration) -> bool {
        now < self.hold_until
    }

    /// How much longer it is on hold.
    pub fn hold_left(&self, now: Duration) -> Duration {
        self.hold_until.saturating_sub(now)
    }

    /// Whether it stated itself, to this instance or a peer, that it is leaving.
    pub fn has_announced_leaving(&self) -> bool {
        self.leaving_at.is_some()
    }

    /// Whether a call now would be too soon after the last time slot, at one call per
    /// `interval`.
    pub fn is_throttled(&self, now: Duration, interval: Duration) -> bool {
        self.last_slot.is_some_and(|slot| now < slot + interval)
    }

    /// The report on it for peers.
    pub fn notice(&self, now: Duration) -> Notice {
        Notice {
            endpoint: self.id(),
            is_leaving: self.has_announced_leaving(),
            limit: self.limit(),
            age: self.limit_report.map_or(Duration::ZERO, |report| now.saturating_sub(report.at)),
        }
    }

    /// The rate of calls that it accepts from all instances together; `None` if it states no
    /// limit.
    pub fn limit(&self) -> Option<Rate> {
        self.limit_report?.limit
    }

    /// Applies what it stated about its limit, unless a newer statement is known. Returns
    /// whether the limit changed.
    pub fn update_limit(&mut self, report: LimitReport) -> bool {
        let known = self.limit_report;
        let is_old = known.is_some_and(|known| report.at < known.at);
        if is_old || (known.is_none() && report.limit.is_none()) {
            return false;
        }
        let before = self.limit();
        self.limit_report = Some(report);
        if before.is_none() {
            // Calls sent before the limit was known count as its first call.
            self.last_slot = Some(report.at);
        }
        before != report.limit
    }

    /// Applies what a reply states about the refusals that it survives.
    pub fn set_max_refusals(&mut self, now: Duration, max_refusals: Option<u32>) {
        self.max_refusals = max_refusals.map(|max| (max, now + FRAGILE_TIME));
    }

    /// How many refusals per second it survives; `None` if it is not fragile.
    pub fn max_refusals(&self, now: Duration) -> Option<u32> {
        self.max_refusals.filter(|(_, until)| now < *until).map(|(max, _)| max)
    }

    /// Whether it is fragile and probably has no room for another call of this instance, which
    /// may use `share` of its slots.
    pub fn is_fragile_and_full(&self, now: Duration, share: u32) -> bool {
        let is_full = || self.calls(now) >= self.entry.slots || self.in_flight >= share;
        self.max_refusals(now).is_some() && is_full()
    }

    /// Avoids it after a refusal, so that `instances` callers cause no more refusals than it
    /// survives.
    pub fn avoid_refusals(&mut self, now: Duration, instances: u32) {
        let Some(max) = self.max_refusals(now) else { return };
        let pause = Duration::from_secs(u64::from(instances)) / max.max(1);
        self.extend_hold(now, pause.clamp(MIN_FRAGILE_PAUSE, MAX_FRAGILE_PAUSE));
    }

    /// Marks it as cold for `left` from now on, as it states itself. Returns whether it was
    /// not cold before.
    pub fn set_cold(&mut self, now: Duration, left: Duration) -> bool {
        let was_cold = self.is_cold(now);
        self.cold_until = now + left;
        !was_cold && self.is_cold(now)
    }

    /// Uses a time slot for a call, at one call per `interval`. Unused time is credited up to
    /// `slack`.
    pub fn take_slot(&mut self, now: Duration, interval: Duration, slack: Duration) {
        let due = self.last_slot.map_or(now, |slot| (slot + interval).min(now));
        self.last_slot = Some(due.max(now.saturating_sub(slack)));
    }

    /// Since when its entry has been missing; `None` if that is not why it is not used.
    pub(super) fn missing_since(&self) -> Option<Duration> {
        if let State::Missing(since) = self.state { Some(since) } else { None }
    }

    /// Whether it is avoided because its last calls failed or were refused. After failures,
    /// one call at a time probes whether it works again.
    pub fn is_paused(&self, now: Duration) -> bool {
        let is_probed =
            || self.in_flight > 0 || self.engine.has_pending_probe(now, self.failures.until());
        let is_failing =
            self.failures.is_paused(now) || (self.failures.has_failed() && is_probed());
        is_failing || self.refusals.is_paused(now)
    }

    /// The estimated number of calls that it runs or queues.
    pub fn calls(&self, now: Duration) -> u32 {
        let placed = self.in_flight.max(self.engine.run_count());
        let Some((at, load)) = self.load else { return placed };
        if now > at + MAX_LOAD_AGE {
            return placed;
        }
        placed.max(load.running.saturating_add(load.queued).saturating_add(self.sent_since_report))
    }

    /// The age of its newest load report; `None` if there was none.
    pub fn load_age(&self, now: Duration) -> Option<Duration> {
        self.load.map(|(at, _)| now.saturating_sub(at))
    }

    /// Its calls per slot; above 1 if calls are queued.
    pub fn utilisation(&self, now: Duration) -> f64 {
        f64::from(self.calls(now)) / f64::from(self.entry.slots.max(1))
    }

    /// Records that a call is sent to it.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Records that a peer's call was placed there.
    pub fn record_placed(&mut self) {
        self.sent_since_report += 1;
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: Duration, load: Load) {
        self.load = Some((now, load));
        self.sent_since_report = 0;
    }

    /// Records the first byte of an answer, `took` after the call was sent.
    pub fn record_answer(&mut self, now: Duration, took: Duration, load: Option<Load>) {
        self.failures.record_success();
        self.refusals.record_success();
        if let Some(load) = load {
            self.record_load(now, load);
        }
        let was_trial = now >= self.answered_at + self.trial_interval;
        let known = self.response_time.filter(|_| !was_trial);
        let is_still_slow = self.response_time.is_some_and(|before| took > before / 2);
        self.trial_interval = match was_trial && is_still_slow {
            true => (self.trial_interval * 2).min(MAX_TRIAL_INTERVAL),
            false => TRIAL_INTERVAL,
        };
        self.response_time = Some(match known {
            None => took,
            Some(average) => average.mul_f64(1.0 - NEW_TIME_WEIGHT) + took.mul_f64(NEW_TIME_WEIGHT),
        });
        self.answered_at = now;
    }

    /// Whether it should receive a trial call because its last answer is `waits` trial
    /// intervals ago and it may be fast again.
    pub fn is_trial_due(&self, now: Duration, waits: u32) -> bool {
        self.in_flight == 0 && now >= self.answered_at + self.trial_interval * waits
    }

    /// Records the progress of a call, `took` after it was sent.
    pub fn record_step(&mut self, now: Duration, took: Duration, step: Step) {
        match step {
            Step::Answered(load) => self.record_answer(now, took, load),
            Step::Refused(load) => self.record_refusal(now, load),
            Step::Ended => {}
            Step::Failed(failure) => drop(self.record_failure(now, failure)),
        }
    }

    /// Records that it refused a call. Without a pause it would be chosen again at once,
    /// because the refusal lowers its load.
    fn record_refusal(&mut self, now: Duration, load: Option<Load>) {
        self.refusals.record_failure(now, backoff::REFUSAL_DELAYS);
        if let Some(load) = load {
            self.record_load(now, load);
        }
    }

    /// Records that a call has ended, successfully or not.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether it has answered another call since a call was placed there.
    pub fn has_answered_since(&self, number: RunNumber) -> bool {
        let placed_at = self.engine.placed_at(number);
        self.response_time.is_some() && placed_at.is_some_and(|at| self.answered_at > at)
    }

    /// Forgets that calls failed: not the endpoint, but the path to it was the cause.
    pub fn clear_failures(&mut self) {
        self.failures = Backoff::default();
    }

    /// Records that a call failed. Returns whether that begins or extends a pause.
    pub fn record_failure(&mut self, now: Duration, failure: Failure) -> bool {
        if self.failures.is_paused(now) && failure != Failure::Unsent {
            return false;
        }
        self.failures.record_failure(now, FAILURE_DELAYS);
        true
    }
}
