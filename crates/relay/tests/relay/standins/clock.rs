//! A clock that leaps, as one does that counts the time of a suspension.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use peatdeck_util::clock::{Clock, SystemClock};

/// The system's clock, and what the test leaps it by. Clones leap together.
#[derive(Clone, Default)]
pub struct LeapingClock {
    system: SystemClock,
    leapt: Arc<AtomicU64>,
}

impl LeapingClock {
    pub fn leap(&self, by: Duration) {
        self.leapt.fetch_add(by.as_millis() as u64, Ordering::SeqCst);
    }
}

impl Clock for LeapingClock {
    fn now(&self) -> Duration {
        self.system.now() + Duration::from_millis(self.leapt.load(Ordering::SeqCst))
    }

    fn wall(&self) -> SystemTime {
        self.system.wall()
    }
}
