//! Time, passed in as an interface.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

/// Where time comes from.
pub trait Clock {
    /// Time since the clock was made; never goes back.
    fn now(&self) -> Duration;
    /// The wall clock. Only for reports; it may jump.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// A clock that starts now.
    pub fn new() -> SystemClock {
        SystemClock { start: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that a test moves by hand. Clones share their time.
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    now: Rc<Cell<Duration>>,
}

impl ManualClock {
    /// Moves the clock ahead.
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
