//! Decisions of the instance that decides on a rollout, and when it writes them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    model::InstanceName,
    relay::{
        backoff::{Backoff, Delays},
        rollout::{Evidence, Phase, sprt::Outcome, tally::Tally},
    },
};

/// A new deciding instance first collects the reports of all instances for this long: two of their
/// intervals.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Age from which a report no longer shows what an instance does.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);
/// Added to the time of long calls for the time that the new version takes over, which is at least
/// this.
const SWITCH_OVER_SLACK: Duration = Duration::from_secs(2);
/// A rollout that is in phase `shifting` is completed when this is left until the deadline, though
/// calls still run on the old version.
const COMPLETION_RESERVE: Duration = Duration::from_millis(500);
/// Delays between attempts to write a record.
const WRITE_DELAYS: Delays =
    Delays { initial: Duration::from_millis(100), max: Duration::from_secs(2) };
/// A write without any result is repeated after this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a decision depends on.
#[derive(Debug, Clone)]
pub struct Situation {
    /// How long the order has been known.
    pub age: Duration,
    /// How long the rollout may take.
    pub duration: Duration,
    /// The phase in force.
    pub phase: Phase,
    /// Whether an operator withdrew the order.
    pub is_withdrawn: bool,
    /// Why the new version gets nothing more; `None` if it may.
    pub halt: Option<Arc<str>>,
    /// Whether the destination is the version in force already.
    pub is_in_force: bool,
    /// The result of the tests.
    pub outcome: Outcome,
    /// How long calls of the version in force take at most, but for a few.
    pub long_call: Duration,
    /// Whether no instance has a call on an old endpoint, and none will start one.
    pub has_moved: bool,
}

/// A phase to enter, and why.
pub type Decision = (Phase, Arc<str>);

impl Situation {
    /// The phase to enter now; `None` to stay.
    pub fn decide(&self) -> Option<Decision> {
        let left = self.duration.saturating_sub(self.age);
        let (phase, reason) = match self.phase {
            Phase::Completed | Phase::RolledBack => return None,
            _ if self.is_withdrawn => (Phase::RolledBack, "the order was withdrawn"),
            _ if self.halt.is_some() => {
                return self.halt.clone().map(|reason| (Phase::RolledBack, reason));
            }
            _ if self.is_in_force => (Phase::Completed, "the version is in force already"),
            _ if self.outcome == Outcome::Rejected => {
                (Phase::RolledBack, "more replies failed or were slow than of the old version")
            }
            Phase::Canary if left.is_zero() => {
                (Phase::RolledBack, "the deadline passed before the calls could be moved")
            }
            Phase::Canary if left > self.switch_over() => return None,
            Phase::Canary if self.outcome == Outcome::Accepted => {
                (Phase::Shifting, "the replies are as good as those of the old version")
            }
            Phase::Canary => (
                Phase::RolledBack,
                "too few replies to judge the version; order it again with a longer duration",
            ),
            Phase::Shifting if self.has_moved => (Phase::Completed, "all calls have moved"),
            Phase::Shifting if left <= COMPLETION_RESERVE => {
                (Phase::Completed, "the deadline is near; calls on the old version are lost")
            }
            Phase::Shifting => return None,
        };
        Some((phase, reason.into()))
    }

    /// Time before the deadline at which calls begin to move.
    fn switch_over(&self) -> Duration {
        (self.long_call + SWITCH_OVER_SLACK).min(self.duration / 2)
    }
}

/// What an instance last reported of its calls.
#[derive(Debug, Clone, Copy)]
struct PeerState {
    at: Duration,
    phase: Phase,
    old_calls: u32,
}

/// State of the decision on one rollout.
#[derive(Debug)]
pub struct Controller {
    /// The tests on the counts of all instances.
    pub tally: Tally,
    since: Duration,
    states: HashMap<InstanceName, PeerState>,
    backoff: Backoff,
    /// The phase that was last written and until when its result is awaited.
    written: Option<(Phase, Duration)>,
}

impl Controller {
    /// The state when an instance becomes the deciding one.
    pub fn new(now: Duration) -> Controller {
        Controller {
            tally: Tally::default(),
            since: now,
            states: HashMap::new(),
            backoff: Backoff::default(),
            written: None,
        }
    }

    /// Whether the reports of all instances have had time to arrive.
    pub fn is_settled(&self, now: Duration) -> bool {
        now >= self.since + SETTLE_TIME
    }

    /// Takes in the report of an instance, which may be this one.
    pub fn on_evidence(&mut self, now: Duration, from: &InstanceName, evidence: &Evidence) {
        self.tally.record(from, evidence);
        let state = PeerState { at: now, phase: evidence.phase, old_calls: evidence.old_calls };
        self.states.insert(from.clone(), state);
    }

    /// Whether all of these instances have reported lately that they have no call on the old
    /// version and start none.
    pub fn have_moved<'a>(
        &self,
        now: Duration,
        mut instances: impl Iterator<Item = &'a InstanceName>,
    ) -> bool {
        let has_moved = |state: &PeerState| {
            let is_fresh = now < state.at + REPORT_VALIDITY;
            is_fresh && state.phase == Phase::Shifting && state.old_calls == 0
        };
        instances.all(|name| self.states.get(name).is_some_and(has_moved))
    }

    /// Whether the record of a phase may be written now; if so, it counts as written.
    pub fn begin_write(&mut self, now: Duration, phase: Phase) -> bool {
        let is_awaited = self.written.is_some_and(|(it, until)| it == phase && now < until);
        if is_awaited || self.backoff.is_paused(now) {
            return false;
        }
        self.written = Some((phase, now + WRITE_TIMEOUT));
        true
    }

    /// A write failed.
    pub fn on_unwritten(&mut self, now: Duration) {
        self.written = None;
        self.backoff.record_failure(now, WRITE_DELAYS);
    }

    /// A record was read that this instance may have written.
    pub fn on_read(&mut self) {
        self.written = None;
        self.backoff.record_success();
    }
}
