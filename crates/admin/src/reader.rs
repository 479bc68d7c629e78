//! What the configuration stream says, read on demand.
//!
//! Handlers share one [`Reader`]. Nothing is held across a read, so two of
//! them may read the same records at once; the batch that comes second no
//! longer starts where the fold stands and is dropped.

use std::{cell::RefCell, time::Duration};

use peatdeck_client::log;
use peatdeck_core::{
    config_log::ConfigReader,
    record::{ConfigRecord, Snapshot, Stream},
};
use peatdeck_util::clock::Clock;

use crate::history::History;

/// Records asked for in one read.
const READ_RECORDS: u32 = 64;
/// The longest single wait for a record.
const LONG_POLL: Duration = Duration::from_secs(1);
/// Pause after a read that failed.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// What the configuration stream has said so far.
pub struct Reader {
    log: log::Client,
    state: RefCell<State>,
}

/// The fold and the history over the same records.
#[derive(Default)]
pub struct State {
    /// Which configuration is in force.
    pub config: ConfigReader,
    /// Who did what.
    pub history: History,
}

impl State {
    /// The configuration in force; `None` where the log no longer tells.
    pub fn current(&self) -> Option<&Snapshot> {
        self.config.current()
    }
}

impl Reader {
    /// A reader that has read nothing yet.
    pub fn new(log: log::Client) -> Reader {
        Reader { log, state: RefCell::default() }
    }

    /// Looks at what was read so far.
    pub fn inspect<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Reads to the stream's present end.
    ///
    /// # Errors
    /// Whatever the log says; what was read before it counts.
    pub async fn catch_up(&self) -> Result<(), log::Error> {
        while self.read(Duration::ZERO).await? {}
        Ok(())
    }

    /// Reads on until `read` gives something, for at most `limit`.
    pub async fn wait_for<T>(
        &self,
        clock: &dyn Clock,
        limit: Duration,
        read: impl Fn(&State) -> Option<T>,
    ) -> Option<T> {
        let end = clock.now() + limit;
        loop {
            if let Some(value) = self.inspect(&read) {
                return Some(value);
            }
            let left = end.saturating_sub(clock.now());
            if left.is_zero() {
                return None;
            }
            let read = tokio::time::timeout(left, self.read(left.min(LONG_POLL)));
            if !matches!(read.await, Ok(Ok(_))) {
                tokio::time::sleep(left.min(READ_PAUSE)).await;
            }
        }
    }

    /// One read. Whether there may be more to read: a read that gives nothing
    /// but moves on is not the end.
    async fn read(&self, wait: Duration) -> Result<bool, log::Error> {
        let from = self.inspect(|state| state.config.next_offset());
        let range = log::Range { from, max: READ_RECORDS, wait };
        let batch = self.log.read::<ConfigRecord>(Stream::Config, range).await?;
        let mut state = self.state.borrow_mut();
        let State { config, history } = &mut *state;
        if config.next_offset() != from {
            return Ok(true);
        }
        config.read(&batch);
        history.apply(&batch, config);
        Ok(!batch.shows_end_at(from))
    }
}
