//! Slots for running calls, and the bounded queue for them.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Slots for concurrent calls and a bounded queue of waiting ones.
#[derive(Debug)]
pub struct Slots {
    free: Arc<Semaphore>,
    limit: u32,
    queue: u32,
    waiting: AtomicU32,
}

/// A slot that is in use; dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// A slot, or a position in the queue for one.
#[derive(Debug)]
pub enum Ticket {
    /// A slot was free.
    Ready(Slot),
    /// The call waits in the queue.
    Waiting(QueuePosition),
}

/// A position in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub struct QueuePosition {
    slots: Arc<Slots>,
}

impl Slots {
    /// Creates `limit` slots and a queue for `queue` calls.
    pub fn new(limit: u32, queue: u32) -> Arc<Slots> {
        Arc::new(Slots {
            free: Arc::new(Semaphore::new(limit as usize)),
            limit,
            queue,
            waiting: AtomicU32::new(0),
        })
    }

    /// Takes a slot or a position in the queue; `None` when the queue is full.
    pub fn enter(self: &Arc<Slots>) -> Option<Ticket> {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            return Some(Ticket::Ready(Slot { _permit: permit }));
        }
        if self.waiting() >= self.queue {
            return None;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        Some(Ticket::Waiting(QueuePosition { slots: self.clone() }))
    }

    /// Number of slots, free and in use.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of slots in use.
    pub fn running(&self) -> u32 {
        let free = u32::try_from(self.free.available_permits()).unwrap_or(u32::MAX);
        self.limit.saturating_sub(free)
    }

    /// Number of calls in the queue.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }
}

impl Ticket {
    /// Waits for the slot, in order of arrival.
    pub async fn slot(self) -> Slot {
        match self {
            Ticket::Ready(slot) => slot,
            Ticket::Waiting(position) => position.slot().await,
        }
    }
}

impl QueuePosition {
    async fn slot(self) -> Slot {
        let free = self.slots.free.clone();
        let permit = free.acquire_owned().await.expect("the semaphore is never closed");
        Slot { _permit: permit }
    }
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        self.slots.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
