//! Tracks whether all responses have been written to their connections.
//!
//! A response that the handler has returned to ntex may still be in the
//! connection's write buffer. [`FlushTracker::wait`] waits until all buffers
//! are empty, so that the process does not exit before that.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use ntex::io::IoRef;

/// Interval at which the write buffers are checked while the process stops.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Number of tracked connections above which those with empty write buffers
/// are removed.
const MAX_TRACKED: usize = 256;

/// Tracks responses from the arrival of the request until the last byte is
/// written.
#[derive(Debug, Default)]
pub struct FlushTracker {
    pending: Cell<usize>,
    connections: RefCell<Vec<IoRef>>,
}

/// A response whose body has not yet been passed to ntex in full.
#[derive(Debug)]
pub struct PendingResponse {
    flush: Rc<FlushTracker>,
    io: Option<IoRef>,
}

impl FlushTracker {
    /// Starts to track a response on the connection `io`. The returned value
    /// must be dropped once the whole body has been passed to ntex.
    pub fn track(self: &Rc<Self>, io: Option<IoRef>) -> PendingResponse {
        self.pending.set(self.pending.get() + 1);
        PendingResponse { flush: self.clone(), io }
    }

    /// Waits until all responses are written, for at most `limit`. False on
    /// timeout.
    pub async fn wait(&self, limit: Duration) -> bool {
        let flushed = async {
            while !self.is_flushed() {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        tokio::time::timeout(limit, flushed).await.is_ok()
    }

    fn is_flushed(&self) -> bool {
        self.remove_written();
        self.pending.get() == 0 && self.connections.borrow().is_empty()
    }

    fn remove_written(&self) {
        self.connections.borrow_mut().retain(has_unwritten);
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.flush.pending.set(self.flush.pending.get() - 1);
        let Some(io) = self.io.take() else { return };
        if self.flush.connections.borrow().len() >= MAX_TRACKED {
            self.flush.remove_written();
        }
        self.flush.connections.borrow_mut().push(io);
    }
}

fn has_unwritten(io: &IoRef) -> bool {
    if io.is_closed() {
        return false;
    }
    let is_source_empty = io.with_write_buf(|buf| buf.is_empty()).unwrap_or(true);
    let is_target_empty = io.with_write_dst_buf(|buf| buf.is_empty());
    !(is_source_empty && is_target_empty)
}
