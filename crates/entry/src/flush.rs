//! Knows when every response has left the process.
//!
//! A response that the handler gave to ntex may still be in the connection's
//! write buffer. Before the process exits, [`Flush::wait`] makes sure that
//! none is.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use ntex::io::IoRef;

/// How often the write buffers are looked at while the process stops.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How many connections are tracked before those with nothing to write are
/// forgotten.
const MAX_TRACKED: usize = 256;

/// Tracks responses from the request's arrival to its last byte.
#[derive(Debug, Default)]
pub struct FlushTracker {
    pending: Cell<usize>,
    connections: RefCell<Vec<IoRef>>,
}

/// One response that is not yet handed over to ntex.
#[derive(Debug)]
pub struct PendingResponse {
    flush: Rc<FlushTracker>,
    io: Option<IoRef>,
}

impl FlushTracker {
    /// Begins a response on that connection. Drop it when all of its body was
    /// handed over.
    pub fn track(self: &Rc<Self>, io: Option<IoRef>) -> PendingResponse {
        self.pending.set(self.pending.get() + 1);
        PendingResponse { flush: self.clone(), io }
    }

    /// Returns when all responses are written, or after `limit`. False if
    /// some were not.
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
