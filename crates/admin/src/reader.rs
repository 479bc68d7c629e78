//! Reads the configuration stream on demand.
//!
//! Handlers share one [`Reader`]. Its state is not borrowed across a read, so
//! two handlers may read the same records concurrently; the second batch no
//! longer starts at the next offset and is dropped.

use std::{cell::RefCell, time::Duration};

use peatdeck_client::log;
use peatdeck_core::{
    config_log::ConfigReader,
    record::{ConfigRecord, Snapshot, Stream},
};
use peatdeck_util::clock::Clock;

use crate::history::History;

/// Maximum number of records in one read.
const READ_RECORDS: u32 = 64;
/// Longest wait of one long poll.
const LONG_POLL: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Reads the configuration stream and keeps the resulting state.
pub struct Reader {
    log: log::Client,
    state: RefCell<State>,
}

/// The configuration and the history after the records read so far.
#[derive(Default)]
pub struct State {
    /// Determines the configuration in force.
    pub config: ConfigReader,
    /// The history of changes.
    pub history: History,
}

impl State {
    /// The configuration in force; `None` if the log does not determine it.
    pub fn current(&self) -> Option<&Snapshot> {
        self.config.current()
    }
}

impl Reader {
    /// Creates a reader without reading anything.
    pub fn new(log: log::Client) -> Reader {
        Reader { log, state: RefCell::default() }
    }

    /// Calls `read` with the state after the records read so far.
    pub fn inspect<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Reads to the current end of the stream.
    ///
    /// # Errors
    /// If a read of the log fails; batches read before that remain applied.
    pub async fn catch_up(&self) -> Result<(), log::Error> {
        while self.read(Duration::ZERO).await? {}
        Ok(())
    }

    /// Reads the stream until `read` returns a value; `None` after `limit`.
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

    /// Reads one batch. Returns whether there may be more to read: an empty
    /// batch that advances the offset is not the end.
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
