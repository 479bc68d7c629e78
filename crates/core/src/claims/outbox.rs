//! The facts that this instance still has to append to the claims stream.
//!
//! A fact is kept until it is read back. Only one append is in progress at a time, and facts are
//! appended in the order in which they arose: a claim never precedes the void of an earlier attempt
//! with the same key.

use std::time::Duration;

use crate::{claims::Settings, model::RequestId, record::ClaimFact};

/// Consecutive failed appends after which the log counts as unavailable.
const FAILING_APPENDS: u32 = 2;

/// Facts that wait to be appended or to be read back.
pub struct Outbox {
    facts: Vec<Pending>,
    is_in_flight: bool,
    /// The next append does not start before this time.
    not_before: Duration,
    failures: u32,
    linger: Duration,
    interval: Duration,
    max_facts: usize,
    confirm: Duration,
    retry: Duration,
    max_retry: Duration,
}

struct Pending {
    fact: ClaimFact,
    /// When the fact should be appended, for the first time or again.
    due: Duration,
    was_sent: bool,
    is_in_flight: bool,
}

impl Outbox {
    /// An empty outbox.
    pub fn new(settings: &Settings) -> Outbox {
        Outbox {
            facts: Vec::new(),
            is_in_flight: false,
            not_before: Duration::ZERO,
            failures: 0,
            linger: settings.linger,
            interval: settings.interval,
            max_facts: settings.max_facts,
            confirm: settings.confirm,
            retry: settings.retry,
            max_retry: settings.max_retry,
        }
    }

    /// Whether every fact was read back.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Whether appends fail at present.
    pub fn is_failing(&self) -> bool {
        self.failures >= FAILING_APPENDS
    }

    /// Adds a fact, unless it is pending already.
    pub fn push(&mut self, now: Duration, fact: ClaimFact) {
        if self.facts.iter().any(|pending| pending.fact == fact) {
            return;
        }
        let due = now + self.linger;
        self.facts.push(Pending { fact, due, was_sent: false, is_in_flight: false });
    }

    /// Removes a claim, so that it is not appended again. Returns `true` if it was never sent.
    pub fn withdraw_claim(&mut self, key: &RequestId, nonce: u64) -> bool {
        let found = self.facts.iter().position(|pending| is_claim(&pending.fact, key, nonce));
        let Some(idx) = found else { return false };
        let pending = self.facts.remove(idx);
        !pending.was_sent
    }

    /// Removes a fact of this instance that was read back.
    pub fn confirm(&mut self, fact: &ClaimFact) {
        self.facts.retain(|pending| pending.fact != *fact);
        self.failures = 0;
    }

    /// The facts to append now, if an append is due and none is in progress.
    pub fn flush(&mut self, now: Duration) -> Option<Vec<ClaimFact>> {
        if self.next_wake()? > now {
            return None;
        }
        let waiting =
            self.facts.iter_mut().filter(|pending| !pending.was_sent || pending.due <= now);
        let mut facts = Vec::new();
        for pending in waiting.take(self.max_facts) {
            pending.was_sent = true;
            pending.is_in_flight = true;
            facts.push(pending.fact.clone());
        }
        self.is_in_flight = true;
        self.not_before = now + self.interval;
        Some(facts)
    }

    /// Records whether the append in progress was acknowledged or failed.
    pub fn append_ended(&mut self, now: Duration, ok: bool) {
        self.is_in_flight = false;
        self.failures = if ok { 0 } else { self.failures.saturating_add(1) };
        let pause = if ok { self.confirm } else { self.backoff() };
        for pending in self.facts.iter_mut().filter(|pending| pending.is_in_flight) {
            pending.is_in_flight = false;
            pending.due = now + pause;
        }
        if !ok {
            self.not_before = now + pause;
        }
    }

    /// When the next append should start; `None` while one is in progress.
    pub fn next_wake(&self) -> Option<Duration> {
        if self.is_in_flight {
            return None;
        }
        let due = self.facts.iter().map(|pending| pending.due).min()?;
        Some(due.max(self.not_before))
    }

    fn backoff(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        self.retry.saturating_mul(1 << doublings).min(self.max_retry)
    }
}

fn is_claim(fact: &ClaimFact, key: &RequestId, nonce: u64) -> bool {
    matches!(fact, ClaimFact::Claim { key: k, nonce: n, .. } if k == key && *n == nonce)
}
