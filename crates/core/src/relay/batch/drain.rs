//! How fast the queue of one service moves, as it is observed.
//!
//! The load that this answers is a burst: more comes than can be made, and what
//! decides whether a request gets its turn is not how much waits now but how
//! much faster the queue is worked off than it is filled up with requests that
//! go first. Both rates are counted over a short window, for each lane apart:
//! large results are made as fast as room for them becomes free, small ones as
//! fast as calls follow each other.

use std::time::Duration;

use crate::relay::batch::queue::{LANES, Lane};

/// The span that rates are counted over: some calls long, so that one call
/// more or less does not matter, and short against a burst of some seconds.
const WINDOW: Duration = Duration::from_secs(2);
/// Steps that the window is counted in.
const STEPS: usize = 10;

/// What happened within one step.
#[derive(Debug, Clone, Copy, Default)]
struct Step {
    index: u64,
    /// Pieces that were made, by lane.
    made: [u32; LANES.len()],
    /// Whether pieces of the lane waited when the step was last touched.
    waited: [bool; LANES.len()],
}

/// How fast the queue of one service moves.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    steps: [Step; STEPS],
    /// Since when there is always a piece of the lane that waits.
    since: [Option<Duration>; LANES.len()],
}

impl Drain {
    /// Pieces were made.
    pub fn made(&mut self, now: Duration, lane: Lane, count: u32) {
        self.step(now).made[lane as usize] += count;
    }

    /// Notes whether pieces of a lane wait now.
    pub fn waits(&mut self, now: Duration, lane: Lane, is_waiting: bool) {
        self.step(now).waited[lane as usize] = is_waiting;
        let since = &mut self.since[lane as usize];
        *since = is_waiting.then(|| since.unwrap_or(now));
    }

    /// How long it takes until a piece gets its turn that stands behind `ahead`
    /// others. `expected` is the rate at which pieces can be made as far as the
    /// configuration says, in pieces a second; it counts as long as the queue
    /// has not shown its own.
    pub fn wait(&self, now: Duration, lane: Lane, ahead: usize, expected: f64) -> Duration {
        let rate = self.rate(now, lane, expected);
        seconds(ahead as f64 / rate.max(f64::MIN_POSITIVE))
    }

    /// The same for a late piece, which all that come meanwhile and can be in
    /// good time overtake: what keeps it from its turn is taken to go on for as
    /// long as it has gone on already.
    pub fn late_wait(&self, now: Duration, lane: Lane, ahead: usize, expected: f64) -> Duration {
        let since = self.since[lane as usize].unwrap_or(now);
        now.saturating_sub(since) + self.wait(now, lane, ahead, expected)
    }

    /// Pieces a second that are made while there is always one that waits.
    fn rate(&self, now: Duration, lane: Lane, expected: f64) -> f64 {
        let recent = || self.recent(now);
        let is_shown = recent().count() == STEPS && recent().all(|step| step.waited[lane as usize]);
        if !is_shown {
            return expected;
        }
        let made: u32 = recent().map(|step| step.made[lane as usize]).sum();
        f64::from(made) / WINDOW.as_secs_f64()
    }

    /// The steps of the window that ends now.
    fn recent(&self, now: Duration) -> impl Iterator<Item = &Step> {
        let newest = index(now);
        let is_recent = move |step: &&Step| step.index > 0 && step.index + STEPS as u64 > newest;
        self.steps.iter().filter(is_recent)
    }

    fn step(&mut self, now: Duration) -> &mut Step {
        let index = index(now);
        let step = &mut self.steps[index as usize % STEPS];
        if step.index != index {
            *step = Step { index, ..Step::default() };
        }
        step
    }
}

/// The number of a moment's step, from 1.
fn index(now: Duration) -> u64 {
    let width = WINDOW / STEPS as u32;
    (now.as_micros() / width.as_micros()) as u64 + 1
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX / 4)
}
