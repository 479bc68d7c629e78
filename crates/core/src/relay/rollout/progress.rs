//! State of a rollout at one instance.

use std::{sync::Arc, time::Duration};

use crate::relay::rollout::{
    Limits, Order, Phase, RolloutRecord, Verdict, Version,
    controller::Controller,
    counting::ReplyCounter,
    exposure::{Exposure, USED_PART},
    gate::Gate,
    tally::Tally,
};

/// Time in which the share of the new version grows to all calls, so that its cold caches do not
/// all fill at once.
pub const RAMP: Duration = Duration::from_secs(1);
/// How long a verdict of the deciding instance holds. An instance that is cut off or was paused
/// has no newer one, and the version may have been found bad meanwhile.
const VERDICT_VALIDITY: Duration = Duration::from_secs(1);

/// A rollout that was ordered.
#[derive(Debug)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// The phase that is applied here.
    pub phase: Phase,
    /// Why the new version gets nothing more; `None` if it may.
    pub halt: Option<Arc<str>>,
    /// Whether an operator withdrew the order.
    pub is_withdrawn: bool,
    /// The record of this order, as it was last read.
    pub record: Option<RolloutRecord>,
    /// Which requests go to the new version.
    pub exposure: Exposure,
    /// Replies to this instance.
    pub replies: ReplyCounter,
    /// Tests on the replies to this instance alone.
    pub own_tests: Tally,
    /// When the counts are reported, or the deciding instance decides, next.
    pub next_report: Duration,
    /// State of the decision; `None` if another instance decides.
    pub controller: Option<Controller>,
    known_at: Duration,
    /// By how much the order is older than this instance has known it.
    lead: Duration,
    /// Whether the age was reported by a peer or is the instance's own from the start.
    is_age_known: bool,
    shifted_at: Option<Duration>,
    verdict_at: Option<Duration>,
}

impl Rollout {
    /// A rollout whose order has just been read.
    pub fn new(now: Duration, order: Order) -> Rollout {
        Rollout {
            order,
            phase: Phase::Canary,
            halt: None,
            is_withdrawn: false,
            record: None,
            exposure: Exposure::default(),
            replies: ReplyCounter::default(),
            own_tests: Tally::default(),
            next_report: now,
            controller: None,
            known_at: now,
            lead: Duration::ZERO,
            is_age_known: false,
            shifted_at: None,
            verdict_at: None,
        }
    }

    /// How long the order has been known.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.known_at) + self.lead
    }

    /// Adopts the age that a peer reports if it is larger.
    pub fn adopt_age(&mut self, now: Duration, age: Duration) {
        self.is_age_known = true;
        self.lead += age.saturating_sub(self.age(now));
    }

    /// Takes in the record of this order. Returns whether the phase has changed.
    ///
    /// The age in a record depends on the clocks of two machines, so it is used only while no
    /// peer has reported one.
    pub fn on_record(&mut self, now: Duration, record: RolloutRecord) -> bool {
        if !self.is_age_known {
            self.adopt_age(now, record.age.min(self.order.duration));
        }
        let phase = record.phase;
        self.record = Some(record);
        self.advance(now, phase)
    }

    /// Takes in the verdict of the deciding instance on this order. Returns whether the phase has
    /// changed.
    pub fn on_verdict(&mut self, now: Duration, verdict: &Verdict) -> bool {
        self.adopt_age(now, verdict.age);
        self.verdict_at = Some(now);
        self.advance(now, verdict.phase)
    }

    /// Enters a phase, unless that was done or the rollout has ended.
    fn advance(&mut self, now: Duration, phase: Phase) -> bool {
        if self.phase.is_final() || phase == self.phase || phase == Phase::Canary {
            return false;
        }
        self.phase = phase;
        if phase == Phase::Shifting {
            self.shifted_at = Some(now);
            self.next_report = self.next_report.min(now + RAMP);
        }
        true
    }

    /// Stops all work on the new version. Returns false if it was stopped before.
    pub fn halt(&mut self, reason: Arc<str>) -> bool {
        let is_new = self.halt.is_none() && !self.phase.is_final();
        if is_new {
            self.halt = Some(reason);
        }
        is_new
    }

    /// Whether the new version gets nothing more by this order.
    pub fn is_halted(&self) -> bool {
        self.halt.is_some() || self.is_withdrawn || self.phase == Phase::RolledBack
    }

    /// Whether the record states the phase that is applied here.
    pub fn is_recorded(&self) -> bool {
        self.record.as_ref().is_some_and(|record| record.phase == self.phase)
    }

    /// Discards the last verdict, after this instance was paused.
    pub fn forget_verdict(&mut self) {
        self.verdict_at = None;
        self.controller = None;
    }

    /// Which versions get work. `baseline` is the version in force besides the new one.
    pub fn gate(&self, now: Duration, baseline: Option<&Version>) -> Gate {
        let destination = Some(self.order.destination.clone());
        let stable = baseline.cloned();
        let is_stopped = self.is_halted() || stable == destination;
        match self.phase {
            Phase::Completed => Gate { stable: destination, ..Gate::default() },
            _ if is_stopped => Gate { stable, ..Gate::default() },
            Phase::Shifting if self.has_shifted(now) => {
                Gate { stable: destination, canary: None, previous: stable }
            }
            _ => Gate { stable, canary: destination, previous: None },
        }
    }

    /// Whether all new calls go to the new version.
    pub fn has_shifted(&self, now: Duration) -> bool {
        self.shifted_at.is_some_and(|at| now >= at + RAMP)
    }

    /// When counts are reported or decisions made after `now`, at this interval. The end of the ramp
    /// is reported at once, since the completion waits for it.
    pub fn schedule_report(&mut self, now: Duration, interval: Duration) {
        let next = now + interval;
        self.next_report = self.ramp_end(now).map_or(next, |end| end.min(next));
    }

    /// When the last calls start on the old version; `None` if that is not known or past.
    pub fn ramp_end(&self, now: Duration) -> Option<Duration> {
        self.shifted_at.map(|at| at + RAMP).filter(|end| *end > now && !self.phase.is_final())
    }

    /// Whether a limit on the endpoints in use holds for the new version.
    pub fn is_limited(&self) -> bool {
        self.phase == Phase::Canary
    }

    /// The share of the requests that go to the new version.
    pub fn share(&self, now: Duration, limits: &Limits) -> f64 {
        let share = limits.max_share * USED_PART;
        let Some(at) = self.shifted_at else { return share };
        let ramp = now.saturating_sub(at).as_secs_f64() / RAMP.as_secs_f64();
        share + (1.0 - share) * ramp.min(1.0)
    }

    /// Whether requests may go to the new version on trial.
    pub fn may_try(&self, now: Duration) -> bool {
        if self.is_halted() || self.phase.is_final() {
            return false;
        }
        if self.phase == Phase::Shifting {
            return true;
        }
        let has_verdict = self.verdict_at.is_some_and(|at| now < at + VERDICT_VALIDITY);
        let decides = self.controller.as_ref().is_some_and(|it| it.is_settled(now));
        self.age(now) < self.order.duration && (has_verdict || decides)
    }
}
