//! Measures how fast the queue of one pool drains.
//!
//! This matters in a burst, when pieces arrive faster than they can be run: whether a request gets
//! its turn then depends less on the length of the queue than on how much faster it drains than
//! more urgent requests fill it. Rates are measured over a short window for each size class, since
//! large results are limited by free result memory and small ones by the rate of calls.

use std::time::Duration;

use crate::relay::batch::queue::{SIZE_CLASSES, SizeClass};

/// The window of the measurement: several calls long, so that one call more or less does not
/// matter, and short compared to a burst of some seconds.
const WINDOW: Duration = Duration::from_secs(2);
/// Number of buckets that the window is divided into.
const BUCKETS: usize = 10;

/// Counts of one part of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    /// Completed pieces, by size class.
    completed: [u32; SIZE_CLASSES.len()],
    /// Whether pieces of the class were queued at the last update of this bucket.
    had_waiting: [bool; SIZE_CLASSES.len()],
}

/// Measured drain rate of one pool's queue.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    buckets: [Bucket; BUCKETS],
    /// The time from which on pieces of the class have always been queued; `None` if there are
    /// none.
    waiting_since: [Option<Duration>; SIZE_CLASSES.len()],
}

impl DrainRate {
    /// Counts completed pieces.
    pub fn record_completed(&mut self, now: Duration, class: SizeClass, count: u32) {
        self.bucket(now).completed[class as usize] += count;
    }

    /// Records whether pieces of a class are queued now.
    pub fn record_waiting(&mut self, now: Duration, class: SizeClass, is_waiting: bool) {
        self.bucket(now).had_waiting[class as usize] = is_waiting;
        let since = &mut self.waiting_since[class as usize];
        *since = is_waiting.then(|| since.unwrap_or(now));
    }

    /// Expected time until a piece behind `ahead` others gets its turn. `configured_rate` is the
    /// rate in pieces per second that the configuration promises; it is used until a rate has been
    /// measured.
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

    /// The same for a late piece, which every new piece that can meet its target time overtakes:
    /// the congestion is assumed to last for as long again as it has lasted.
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

    /// Completed pieces per second while some were queued all the time.
    fn rate(&self, now: Duration, class: SizeClass, configured_rate: f64) -> f64 {
        let recent = || self.recent(now);
        let is_measured = recent().count() == BUCKETS
            && recent().all(|bucket| bucket.had_waiting[class as usize]);
        if !is_measured {
            return configured_rate;
        }
        let completed: u32 = recent().map(|bucket| bucket.completed[class as usize]).sum();
        f64::from(completed) / WINDOW.as_secs_f64()
    }

    /// The buckets of the window that ends now.
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

/// The number of the bucket that a time falls into, from 1.
fn index(now: Duration) -> u64 {
    let width = WINDOW / BUCKETS as u32;
    (now.as_micros() / width.as_micros()) as u64 + 1
}

fn from_secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX / 4)
}
