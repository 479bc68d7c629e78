//! How fast the queue of one service moves, as it is observed.
//!
//! The load that this answers is a burst: more comes than can be made, and what
//! decides whether a request gets its turn is not how much waits now but how
//! much faster the queue is worked off than it is filled up with requests that
//! go first. Both rates are counted over a short window, for each lane apart:
//! large results are made as fast as room for them becomes free, small ones as
//! fast as calls follow each other.

use std::time::Duration;

use crate::relay::batch::queue::{SIZE_CLASSES, SizeClass};

/// The span that rates are counted over: some calls long, so that one call
/// more or less does not matter, and short against a burst of some seconds.
const WINDOW: Duration = Duration::from_secs(2);
/// Steps that the window is counted in.
const BUCKETS: usize = 10;

/// What happened within one step.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    /// Pieces that were made, by lane.
    produced: [u32; SIZE_CLASSES.len()],
    /// Whether pieces of the lane waited when the step was last touched.
    had_waiting: [bool; SIZE_CLASSES.len()],
}

/// How fast the queue of one service moves.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    buckets: [Bucket; BUCKETS],
    /// Since when there is always a piece of the lane that waits.
    waiting_since: [Option<Duration>; SIZE_CLASSES.len()],
}

impl DrainRate {
    /// Pieces were made.
    pub fn record_produced(&mut self, now: Duration, class: SizeClass, count: u32) {
        self.bucket(now).produced[class as usize] += count;
    }

    /// Notes whether pieces of a lane wait now.
    pub fn record_waiting(&mut self, now: Duration, class: SizeClass, is_waiting: bool) {
        self.bucket(now).had_waiting[class as usize] = is_waiting;
        let since = &mut self.waiting_since[class as usize];
        *since = is_waiting.then(|| since.unwrap_or(now));
    }

    /// How long it takes until a piece gets its turn that stands behind `ahead`
    /// others. `expected` is the rate at which pieces can be made as far as the
    /// configuration says, in pieces a second; it counts as long as the queue
    /// has not shown its own.
    pub fn expected_wait(
        &self,
        now: Duration,
        class: SizeClass,
        ahead: usize,
        configured_rate: f64,
    ) -> Duration {
        let rate = self.rate(now, class, configured_rate);
        from_secs(ahead as f64 / rate.max(f64::MIN_POSITIVE))
    }

    /// The same for a late piece, which all that come meanwhile and can be in
    /// good time overtake: what keeps it from its turn is taken to go on for as
    /// long as it has gone on already.
    pub fn expected_late_wait(
        &self,
        now: Duration,
        class: SizeClass,
        ahead: usize,
        configured_rate: f64,
    ) -> Duration {
        let since = self.waiting_since[class as usize].unwrap_or(now);
        now.saturating_sub(since) + self.expected_wait(now, class, ahead, configured_rate)
    }

    /// Pieces a second that are made while there is always one that waits.
    fn rate(&self, now: Duration, class: SizeClass, configured_rate: f64) -> f64 {
        let recent = || self.recent(now);
        let is_measured = recent().count() == BUCKETS
            && recent().all(|bucket| bucket.had_waiting[class as usize]);
        if !is_measured {
            return configured_rate;
        }
        let made: u32 = recent().map(|bucket| bucket.produced[class as usize]).sum();
        f64::from(made) / WINDOW.as_secs_f64()
    }

    /// The steps of the window that ends now.
    fn recent(&self, now: Duration) -> impl Iterator<Item = &Bucket> {
        let newest = index(now);
        let is_recent =
            move |bucket: &&Bucket| bucket.index > 0 && bucket.index + BUCKETS as u64 > newest;
        self.buckets.iter().filter(is_recent)
    }

    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        let index = index(now);
        let bucket = &mut self.buckets[index as usize % BUCKETS];
        if bucket.index != index {
            *bucket = Bucket { index, ..Bucket::default() };
        }
        bucket
    }
}

/// The number of a moment's step, from 1.
fn index(now: Duration) -> u64 {
    let width = WINDOW / BUCKETS as u32;
    (now.as_micros() / width.as_micros()) as u64 + 1
}

fn from_secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX / 4)
}
