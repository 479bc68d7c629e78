//! The event loop's own counters, beside those of the machine.

use std::cell::Cell;

/// A counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// How many so far.
    pub fn total(&self) -> u64 {
        self.0.get()
    }
}

/// What the event loop counts.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests whose form was wrong.
    pub rejected_requests: Counter,
    /// Callers that went away before their outcome.
    pub callers_gone: Counter,
    /// Outcomes whose caller had gone.
    pub unclaimed_outcomes: Counter,
    /// Events of calls that had been cancelled.
    pub stale_events: Counter,
    /// Reads of the log that failed.
    pub reads_failed: Counter,
    /// Appends to the log that failed or went unanswered.
    pub appends_failed: Counter,
    /// Reads of the list that failed.
    pub lists_failed: Counter,
    /// Gossip messages and questions that did not reach their peer.
    pub peers_failed: Counter,
    /// Messages from peers that could not be read.
    pub malformed_peer_messages: Counter,
    /// Cancels that did not reach their endpoint.
    pub cancels_failed: Counter,
}

impl Counts {
    /// All counters by name.
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
