//! Settings of the claims of an instance.

use std::time::Duration;

use peatdeck_macros::data;

use crate::model::MAX_DEADLINE;

/// The shortest horizon. A claim that is read back after more than half of its horizon is not run,
/// and no request may run past its deadline.
pub const MIN_HORIZON: Duration = MAX_DEADLINE.saturating_mul(2);

/// How long a claim is kept in memory, unless configured otherwise.
const DEFAULT_HORIZON: Duration = Duration::from_secs(6 * 60 * 60);
/// How long the log keeps a record, unless configured otherwise.
const DEFAULT_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// How long the first fact of an append waits for others.
const DEFAULT_LINGER: Duration = Duration::from_millis(5);
/// The shortest time between two appends of one instance.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(40);
/// The most facts in one append.
const DEFAULT_MAX_FACTS: usize = 256;
/// After how long an acknowledged fact that was not read back is appended again.
const DEFAULT_CONFIRM: Duration = Duration::from_secs(2);
/// The delay before a failed append is retried; it doubles with each consecutive failure.
const DEFAULT_RETRY: Duration = Duration::from_millis(100);
/// The longest delay before a failed append is retried.
const DEFAULT_MAX_RETRY: Duration = Duration::from_secs(2);

/// Settings of the claims of an instance. Each has a default.
#[data]
pub struct Settings {
    horizon: Duration,
    /// How long the log keeps a record, as its operators state it.
    pub retention: Duration,
    /// How long the first fact of an append waits for others.
    pub linger: Duration,
    /// The shortest time between two appends of one instance.
    pub interval: Duration,
    /// The most facts in one append.
    pub max_facts: usize,
    /// After how long an acknowledged fact that was not read back is appended again.
    pub confirm: Duration,
    /// The delay before a failed append is retried; it doubles with each consecutive failure.
    pub retry: Duration,
    /// The longest delay before a failed append is retried.
    pub max_retry: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            horizon: DEFAULT_HORIZON,
            retention: DEFAULT_RETENTION,
            linger: DEFAULT_LINGER,
            interval: DEFAULT_INTERVAL,
            max_facts: DEFAULT_MAX_FACTS,
            confirm: DEFAULT_CONFIRM,
            retry: DEFAULT_RETRY,
            max_retry: DEFAULT_MAX_RETRY,
        }
    }
}

impl Settings {
    /// Sets how long a claim is kept in memory; at least [`MIN_HORIZON`].
    pub fn with_horizon(mut self, horizon: Duration) -> Settings {
        self.horizon = horizon.max(MIN_HORIZON);
        self
    }

    /// Sets how long the log keeps a record.
    pub fn with_retention(mut self, retention: Duration) -> Settings {
        self.retention = retention;
        self
    }

    /// How long a claim is kept in memory, by the log's clock. A request that is sent again later
    /// than that may run again.
    pub fn horizon(&self) -> Duration {
        self.horizon
    }

    /// The greatest age at which a claim may still win when it is read back.
    pub(super) fn max_age_ms(&self) -> u64 {
        millis(self.horizon / 2)
    }

    /// [`Settings::horizon`] in milliseconds, the log's unit.
    pub(super) fn horizon_ms(&self) -> u64 {
        millis(self.horizon)
    }

    /// [`Settings::retention`] in milliseconds, the log's unit.
    pub(super) fn retention_ms(&self) -> u64 {
        millis(self.retention)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
