//! Slots to run in, and the bounded queue before them.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// How many calls run at once and how many may wait.
#[derive(Debug)]
pub struct Slots {
    free: Arc<Semaphore>,
    limit: u32,
    queue: u32,
    waiting: AtomicU32,
}

/// A place that is held; dropping it frees the place.
#[derive(Debug)]
pub struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// A position in the queue, or already a place.
#[derive(Debug)]
pub enum Ticket {
    /// A place was free.
    Ready(Slot),
    /// It waits.
    Waiting(QueuePosition),
}

/// A position in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub struct QueuePosition {
    slots: Arc<Slots>,
}

impl Slots {
    /// `limit` places and room for `queue` waiting calls.
    pub fn new(limit: u32, queue: u32) -> Arc<Slots> {
        Arc::new(Slots {
            free: Arc::new(Semaphore::new(limit as usize)),
            limit,
            queue,
            waiting: AtomicU32::new(0),
        })
    }

    /// A place, or a position in the queue; `None` when that is full.
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

    /// Slots in all.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Slots that are held.
    pub fn running(&self) -> u32 {
        let free = u32::try_from(self.free.available_permits()).unwrap_or(u32::MAX);
        self.limit.saturating_sub(free)
    }

    /// Calls in the queue.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }
}

impl Ticket {
    /// Waits for the place, first come first served.
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
