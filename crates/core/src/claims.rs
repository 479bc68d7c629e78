//! Runs a non-idempotent request at most once, as agreed through the log.
//!
//! Before an instance runs such a request, it appends a *claim* to the claims stream and reads the
//! stream. The claim has won if no other claim with the same key precedes it at the position where
//! it is read back. Neither the acknowledgement of an append nor the loss of the acknowledgement
//! proves anything.
//!
//! The exact rule: let `h` be the horizon, by the log's own clock. A claim that is read at time `t`
//! wins if
//!
//! 1. every record since `t - h` was read (none of them expired before it was read), and
//! 2. every other claim with the same key that was read since `t - h` is void, and
//! 3. the claim itself is not void, is not too old, and its instance still wants it.
//!
//! A claim is void once the instance that appended it has also appended a void for it, which states
//! that the request never ran and never will. The void counts wherever it is in the stream, even
//! before a delayed copy of the claim. An instance voids each of its claims that has not won, so
//! such a claim can never win later, and the key is free again when the claim that blocked it is
//! void. The next claim that is *appended* wins then, never one that has lost before, since its
//! caller has already been answered.
//!
//! Why two claims with one key cannot both run within the horizon: of the two positions at which
//! they were read back as won, one is later. The instance of the later claim has read the earlier
//! one (rule 1), and the earlier one is not void since it ran; so the later claim has not won (rule
//! 2). The argument needs no agreement on ownership, no clock but the log's, and no bound on how
//! long a process was paused.
//!
//! Pitfalls:
//!
//! - The driver must not run a claim past the request's deadline, which is far below the horizon
//!   ([`Settings::horizon`]).
//! - Records that expired before they were read are assumed to be older than the retention in the
//!   settings. If the stream itself shows that the actual retention is shorter, the setting is no
//!   longer used and the instance waits for a whole horizon.
//!
//! Submodules: `window` holds the claims of each key within the horizon, `coverage` tracks which
//! part of the stream was read, `attempts` holds the state of this instance's own claims, and
//! `outbox` the facts that it still has to append.

mod attempts;
mod coverage;
mod outbox;
pub mod settings;
mod window;

use std::time::Duration;

use peatdeck_macros::data;

use crate::{
    instance::input::Identity,
    model::{Incarnation, InstanceName, RequestId},
    record::{Batch, ClaimBatch, ClaimFact, Entry, Offset},
};

use attempts::State;
pub use settings::Settings;

/// The state of an attempt to claim.
#[data]
pub enum Verdict {
    /// The claim has not been read back yet.
    Waiting,
    /// The claim precedes every other one of its key; the request may run.
    Won,
    /// Another claim holds the key.
    Lost(Holder),
    /// The key was used with a request that differs from this one.
    Mismatch,
    /// This instance cannot decide claims at present. Nothing ran.
    Unready(UnreadyKind),
}

/// Why an instance cannot decide claims.
#[data]
#[derive(Copy, Eq, Hash)]
pub enum UnreadyKind {
    /// The claims stream has not been read to its end since the process started.
    CatchingUp,
    /// A claim within the horizon may have expired before it was read, or the claim was read back
    /// too late.
    HistoryIncomplete,
    /// Appends to the log or reads of it fail.
    LogUnavailable,
}

/// The claim that holds a key.
#[data]
pub struct Holder {
    /// The instance that appended the claim.
    pub instance: InstanceName,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// The nonce of its attempt.
    pub nonce: u64,
    /// The digest of the request, as in the claim.
    pub digest: u64,
    /// `None` until the request has ended; then, whether it ended in a complete answer.
    pub finished: Option<bool>,
}

impl Holder {
    fn owner(&self) -> (&InstanceName, Incarnation) {
        (&self.instance, self.incarnation)
    }
}

/// A decision on an attempt that was waiting.
#[data]
pub struct ClaimDecision {
    /// The key of the claimed request.
    pub key: RequestId,
    /// The nonce of the attempt.
    pub nonce: u64,
    /// The decision; never [`Verdict::Waiting`].
    pub verdict: Verdict,
}

/// The claims of one instance, and what it has read of the claims of others.
pub struct Claims {
    identity: Identity,
    window: window::Window,
    coverage: coverage::Coverage,
    attempts: attempts::Attempts,
    outbox: outbox::Outbox,
    settings: Settings,
}

impl Claims {
    /// The state of an instance that has neither claimed nor read anything.
    pub fn new(identity: Identity, settings: Settings) -> Claims {
        Claims {
            window: window::Window::new(settings.horizon_ms()),
            coverage: coverage::Coverage::new(&settings),
            attempts: attempts::Attempts::default(),
            outbox: outbox::Outbox::new(&settings),
            identity,
            settings,
        }
    }

    /// Starts an attempt to claim a request. `Waiting` is followed by a [`ClaimDecision`], unless
    /// the attempt is given up first. With any other verdict, no attempt was started.
    pub fn request(&mut self, now: Duration, key: RequestId, digest: u64, nonce: u64) -> Verdict {
        if let Some(kind) = self.unready() {
            return Verdict::Unready(kind);
        }
        if let Some(holder) = self.blocker_for(&key) {
            return losing_verdict(holder, digest);
        }
        self.attempts.start(nonce, &key, digest);
        self.outbox.push(now, ClaimFact::Claim { key, nonce, digest });
        Verdict::Waiting
    }

    /// Applies a batch that was read from the stream, and decides attempts by it.
    pub fn read(&mut self, now: Duration, batch: &Batch<ClaimBatch>) -> Vec<ClaimDecision> {
        let mut decisions = Vec::new();
        if !self.coverage.start_batch(batch) {
            return decisions;
        }
        for entry in &batch.entries {
            if self.coverage.advance(entry.offset, entry.time_ms) {
                self.apply_entry(now, batch.now_ms, entry, &mut decisions);
            }
        }
        self.coverage.end_batch(batch);
        decisions
    }

    /// Gives up an attempt that is undecided, or that has won but was certainly not started. Its
    /// request never runs; the void is appended when the log is available.
    pub fn give_up(&mut self, now: Duration, key: &RequestId, nonce: u64) {
        if !self.attempts.give_up(nonce) {
            return;
        }
        if self.outbox.withdraw_claim(key, nonce) {
            self.attempts.remove(nonce);
            return;
        }
        self.outbox.push(now, ClaimFact::Void { key: key.clone(), nonce });
    }

    /// Records that a won attempt has ended after its request was started.
    pub fn finished(&mut self, now: Duration, key: &RequestId, nonce: u64, answered: bool) {
        if !self.attempts.finish(nonce) {
            return;
        }
        self.outbox.push(now, ClaimFact::Finished { key: key.clone(), nonce, answered });
    }

    /// The facts to append now, if any: those that have waited for the linger time, and those that
    /// were sent but not read back in time. The caller reports the result of the append through
    /// [`Claims::append_ended`].
    pub fn flush(&mut self, now: Duration) -> Option<Vec<ClaimFact>> {
        self.outbox.flush(now)
    }

    /// Records whether the append of the last flush was acknowledged or failed.
    pub fn append_ended(&mut self, now: Duration, ok: bool) {
        self.outbox.append_ended(now, ok);
    }

    /// When [`Claims::flush`] should be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        self.outbox.next_wake()
    }

    /// The offset at which the next read of the stream starts.
    pub fn next_offset(&self) -> Offset {
        self.coverage.position()
    }

    /// Whether nothing is left to append, so that a stopping instance may exit.
    pub fn is_flushed(&self) -> bool {
        self.outbox.is_empty()
    }

    /// The claim that holds a key, as far as the stream was read.
    pub fn holder(&self, key: &RequestId) -> Option<&Holder> {
        self.window.holder(key, self.coverage.log_now(), |_| false)
    }

    /// Records that a read of the stream failed.
    pub fn read_failed(&mut self) {
        self.coverage.read_failed();
    }

    /// Whether the stream has been read to its end since the process started.
    pub fn is_caught_up(&self) -> bool {
        self.coverage.has_reached_end()
    }

    /// Why the instance cannot accept requests that need a claim; `None` if it can.
    pub fn unready(&self) -> Option<UnreadyKind> {
        if !self.coverage.has_reached_end() {
            return Some(UnreadyKind::CatchingUp);
        }
        if !self.coverage.covers(self.coverage.log_now()) {
            return Some(UnreadyKind::HistoryIncomplete);
        }
        if self.outbox.is_failing() || self.coverage.is_failing() {
            return Some(UnreadyKind::LogUnavailable);
        }
        None
    }

    /// Number of claims that are kept in memory.
    pub fn claim_count(&self) -> usize {
        self.window.len()
    }

    /// The claim that blocks a new attempt: one of this instance that still waits, or one in the
    /// stream. Claims that this instance has given up don't block, since their voids are appended
    /// before the new claim.
    fn blocker_for(&self, key: &RequestId) -> Option<Holder> {
        if let Some((nonce, digest)) = self.attempts.waiting_for(key) {
            return Some(self.own_holder(nonce, digest));
        }
        let is_given_up =
            |claim: &Holder| self.is_own(claim.owner()) && self.attempts.is_given_up(claim.nonce);
        self.window.holder(key, self.coverage.log_now(), is_given_up).cloned()
    }

    fn own_holder(&self, nonce: u64, digest: u64) -> Holder {
        Holder {
            instance: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            nonce,
            digest,
            finished: None,
        }
    }

    fn is_own(&self, (instance, incarnation): (&InstanceName, Incarnation)) -> bool {
        incarnation == self.identity.incarnation && *instance == self.identity.name
    }

    fn apply_entry(
        &mut self,
        now: Duration,
        now_ms: u64,
        entry: &Entry<ClaimBatch>,
        decisions: &mut Vec<ClaimDecision>,
    ) {
        let time_ms = self.window.advance(entry.time_ms);
        let batch = &entry.record;
        let is_own = self.is_own((&batch.instance, batch.incarnation));
        for fact in &batch.facts {
            let standing = self.window.apply(batch, fact);
            if !is_own {
                continue;
            }
            self.outbox.confirm(fact);
            match fact {
                ClaimFact::Claim { key, nonce, digest } => {
                    let age_ms = now_ms.saturating_sub(time_ms);
                    let verdict = self.verdict_for(standing, *nonce, *digest, time_ms, age_ms);
                    decisions.extend(self.apply_verdict(now, key, *nonce, verdict));
                }
                ClaimFact::Void { nonce, .. } | ClaimFact::Finished { nonce, .. } => {
                    self.attempts.remove(*nonce);
                }
            }
        }
    }

    /// The verdict on a claim of this instance that was just read; `None` if the claim was decided
    /// before.
    fn verdict_for(
        &self,
        standing: window::Standing,
        nonce: u64,
        digest: u64,
        time_ms: u64,
        age_ms: u64,
    ) -> Option<Verdict> {
        let blocker = match standing {
            window::Standing::Repeat | window::Standing::Void => return None,
            window::Standing::First => None,
            window::Standing::Blocked(holder) => Some(holder),
        };
        match self.attempts.state(nonce)? {
            State::Won | State::Finished => return None,
            State::GivenUp => return Some(Verdict::Unready(UnreadyKind::HistoryIncomplete)),
            State::Waiting => {}
        }
        if !self.coverage.covers(time_ms) || age_ms > self.settings.max_age_ms() {
            return Some(Verdict::Unready(UnreadyKind::HistoryIncomplete));
        }
        Some(blocker.map_or(Verdict::Won, |holder| losing_verdict(holder, digest)))
    }

    /// Acts on the verdict on a claim of this instance. A claim that has not won is voided.
    fn apply_verdict(
        &mut self,
        now: Duration,
        key: &RequestId,
        nonce: u64,
        verdict: Option<Verdict>,
    ) -> Option<ClaimDecision> {
        let verdict = verdict?;
        if verdict == Verdict::Won {
            self.attempts.win(nonce);
            return Some(ClaimDecision { key: key.clone(), nonce, verdict });
        }
        let was_wanted = self.attempts.give_up(nonce);
        self.outbox.push(now, ClaimFact::Void { key: key.clone(), nonce });
        was_wanted.then(|| ClaimDecision { key: key.clone(), nonce, verdict })
    }
}

fn losing_verdict(holder: Holder, digest: u64) -> Verdict {
    if holder.digest != digest {
        return Verdict::Mismatch;
    }
    Verdict::Lost(holder)
}
