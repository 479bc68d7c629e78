//! Clocks behind a trait, so that tests can control the time.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, SystemTime},
};

use nix::time;

/// A source of time.
pub trait Clock {
    /// Time since the clock was created. Never goes back; includes the time in
    /// which the host was suspended.
    fn now(&self) -> Duration;
    /// The wall clock time. It may jump, so it is only for reports.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
///
/// Uses `CLOCK_BOOTTIME`, which advances while the host is suspended. The clock of
/// [`std::time::Instant`] stops then: after a suspension of some seconds, deadlines,
/// leases and the age of a configuration would not include that time.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Duration,
}

impl SystemClock {
    /// Creates a clock that starts now.
    pub fn new() -> SystemClock {
        SystemClock { start: SystemClock::since_boot() }
    }

    /// Creates a clock that starts now, as a trait object.
    pub fn shared() -> Rc<dyn Clock> {
        Rc::new(SystemClock::new())
    }

    /// Time since the host was booted, suspensions included.
    pub fn since_boot() -> Duration {
        let time = time::clock_gettime(time::ClockId::CLOCK_BOOTTIME);
        time.expect("Linux has had this clock since 2.6.39").into()
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        SystemClock::since_boot().saturating_sub(self.start)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that only advances on request. Clones share their time.
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    now: Rc<Cell<Duration>>,
}

impl ManualClock {
    /// Advances the clock.
    pub fn advance(&self, by: Duration) {
        self.now.set(self.now.get() + by);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        self.now.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now.get()
    }
}
