//! A clock that jumps ahead, as the system clock does after a suspension.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use peatdeck_util::clock::{Clock, SystemClock};

/// The system clock plus an offset that the test increases. Clones share the offset.
#[derive(Clone, Default)]
pub struct JumpingClock {
    system: SystemClock,
    jumped_ms: Arc<AtomicU64>,
}

impl JumpingClock {
    pub fn jump(&self, by: Duration) {
        self.jumped_ms.fetch_add(by.as_millis() as u64, Ordering::SeqCst);
    }
}

impl Clock for JumpingClock {
    fn now(&self) -> Duration {
        self.system.now() + Duration::from_millis(self.jumped_ms.load(Ordering::SeqCst))
    }

    fn wall(&self) -> SystemTime {
        self.system.wall()
    }
}
