//! Counters of the event loop, in addition to those of the state machine.

use std::cell::Cell;

/// A counter that only increases.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one to the total.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The total since the start of the process.
    pub fn total(&self) -> u64 {
        self.0.get()
    }
}

/// All counters of the event loop.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests that failed validation.
    pub rejected_requests: Counter,
    /// Callers that disconnected before their outcome was sent.
    pub callers_gone: Counter,
    /// Outcomes whose caller had already disconnected.
    pub unclaimed_outcomes: Counter,
    /// Events of calls that had already been cancelled.
    pub stale_events: Counter,
    /// Failed reads of the log.
    pub reads_failed: Counter,
    /// Appends to the log that failed or timed out.
    pub appends_failed: Counter,
    /// Failed reads of the list.
    pub lists_failed: Counter,
    /// Gossip messages and outcome queries that could not be delivered to a peer or
    /// were not answered.
    pub peers_failed: Counter,
    /// Messages from peers that could not be decoded.
    pub malformed_peer_messages: Counter,
    /// Cancellations that could not be delivered to the endpoint.
    pub cancels_failed: Counter,
}

impl Counts {
    /// Name and total of each counter.
    pub fn each(&self) -> impl Iterator<Item = (&'static str, u64)> {
        [
            ("entry.rejected", &self.rejected_requests),
            ("entry.caller_gone", &self.callers_gone),
            ("entry.answer_unclaimed", &self.unclaimed_outcomes),
            ("entry.call_stale", &self.stale_events),
            ("entry.log_read_failed", &self.reads_failed),
            ("entry.log_append_failed", &self.appends_failed),
            ("entry.list_failed", &self.lists_failed),
            ("entry.peer_failed", &self.peers_failed),
            ("entry.peer_damaged", &self.malformed_peer_messages),
            ("entry.cancel_failed", &self.cancels_failed),
        ]
        .into_iter()
        .map(|(name, counter)| (name, counter.total()))
    }
}
