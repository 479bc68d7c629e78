//! Accounts for the memory that bodies and waiting events take.

use std::{cell::Cell, rc::Rc};

use tokio::sync::Notify;

/// Bytes of events that wait for a caller before its endpoint has to wait too.
const MAX_WAITING_BYTES: usize = 256 << 10;

/// Accounts for the bytes of the bodies that are held at the same time.
#[derive(Debug)]
pub struct BodyMemory {
    held: Cell<usize>,
    limit: usize,
}

impl BodyMemory {
    /// Memory for so many bytes.
    pub fn new(limit: usize) -> Rc<BodyMemory> {
        Rc::new(BodyMemory { held: Cell::new(0), limit })
    }

    /// The share of a body that is empty yet.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }
}

/// The share of one body in [`BodyMemory`], released when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl Reservation {
    /// The bytes that the memory has room for.
    pub fn limit(&self) -> usize {
        self.memory.limit
    }

    /// Makes room for more bytes. Returns false if the memory is exhausted.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let total = self.memory.held.get() + bytes;
        if total > self.memory.limit {
            return false;
        }
        self.memory.held.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.held.set(self.memory.held.get() - self.bytes);
    }
}

/// The events of a stream that its caller has not taken yet.
#[derive(Debug, Default)]
pub struct WaitingEvents {
    bytes: Cell<usize>,
    taken: Notify,
}

impl WaitingEvents {
    /// An event waits for the caller.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// The caller has taken an event.
    pub fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
        self.taken.notify_waiters();
    }

    /// Whether so many bytes wait that no more should be read.
    pub fn is_full(&self) -> bool {
        self.bytes.get() > MAX_WAITING_BYTES
    }

    /// Waits until the caller has taken enough.
    pub async fn wait_for_room(&self) {
        while self.is_full() {
            self.taken.notified().await;
        }
    }
}
