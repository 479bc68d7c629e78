//! Time, passed in as an interface.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, SystemTime},
};

use nix::time;

/// Where time comes from.
pub trait Clock {
    /// Time since the clock was made; never goes back, and leaps ahead where the
    /// machine was suspended.
    fn now(&self) -> Duration;
    /// The wall clock. Only for reports; it may jump.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
///
/// Time goes on while the machine is suspended. The clock of [`std::time::Instant`]
/// stands still then: after a suspension of some seconds a deadline, a lease or the
/// age of a configuration would be as young as before.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Duration,
}

impl SystemClock {
    /// A clock that starts now.
    pub fn new() -> SystemClock {
        SystemClock { start: SystemClock::since_boot() }
    }

    /// One that starts now, as an interface.
    pub fn shared() -> Rc<dyn Clock> {
        Rc::new(SystemClock::new())
    }

    /// Time since the machine was started, suspensions included.
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
