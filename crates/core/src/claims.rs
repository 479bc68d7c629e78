//! At most one run of a non-idempotent request, agreed through the log.
//!
//! Before it runs such a request, an instance appends a *claim* to the claims
//! stream and reads the stream. The claim has won if, at the place where it is
//! read back, no other claim of the same key stands before it. Neither the
//! acknowledgement of an append nor its loss proves anything.
//!
//! The rule, exactly. Let `h` be the horizon, by the log's own clock. A claim
//! read at time `t` wins if
//!
//! 1. every record since `t - h` was read (nothing in it was lost unread), and
//! 2. each other claim of the key that was read since `t - h` is void, and
//! 3. the claim itself is not void, is young, and its instance still wants it.
//!
//! A claim is void once its own instance has appended that it never ran and
//! never will; the void counts wherever it lands, also before a delayed copy of
//! the claim. A claim that did not win is voided by its instance, so it can
//! never win later, and the key is free again when the claim in its way is
//! void. The next claim that is *appended* wins then, never one that has lost
//! before: its caller was answered already.
//!
//! Why two claims of a key cannot both run within the horizon: of the places
//! where they were read back as won, one is later. Its instance has read the
//! earlier one, by rule 1, and it is not void, since it ran; so the later one
//! has not won, by rule 2. The argument uses no agreement on who holds what, no
//! clock but the log's, and nothing about how long a process was paused.
//!
//! Traps:
//!
//! - The driver must not run a claim past the request's deadline, which is far
//!   below the horizon ([`Settings::horizon`]).
//! - Records that expired unread were older than the retention that the
//!   settings state. Where the stream itself shows that to be wrong, the
//!   statement is not trusted any more and the instance waits for a horizon.
//!
//! Submodules: `window` is what the stream says of each key within the
//! horizon, `coverage` which part of it was read, `attempts` what this instance
//! wants, `outbox` the facts that it still has to append.

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

/// Where an attempt to claim stands.
#[data]
pub enum Verdict {
    /// The claim is not read back yet.
    Waiting,
    /// The claim is the first; the request may run.
    Won,
    /// Another claim holds the key.
    Lost(Holder),
    /// The key was used with another body.
    Mismatch,
    /// This instance cannot decide claims now. Nothing ran.
    Unready(UnreadyKind),
}

/// Why an instance cannot decide claims.
#[data]
#[derive(Copy, Eq, Hash)]
pub enum UnreadyKind {
    /// The claims stream was not read to its end since the start.
    CatchingUp,
    /// A claim within the horizon may have been lost unread.
    HistoryIncomplete,
    /// Appends to the log fail.
    LogUnavailable,
}

/// The claim that holds a key.
#[data]
pub struct Holder {
    /// The instance that claimed.
    pub instance: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its attempt.
    pub nonce: u64,
    /// The digest that it claimed with.
    pub digest: u64,
    /// Whether it ended, and if so, whether in a whole answer.
    pub finished: Option<bool>,
}

impl Holder {
    fn instance_life(&self) -> (&InstanceName, Incarnation) {
        (&self.instance, self.incarnation)
    }
}

/// A decision on an attempt that was waiting.
#[data]
pub struct ClaimDecision {
    /// The request.
    pub key: RequestId,
    /// The attempt.
    pub nonce: u64,
    /// Never [`Verdict::Waiting`].
    pub verdict: Verdict,
}

/// The claims of one instance, and what it read of the others'.
pub struct Claims {
    identity: Identity,
    window: window::Window,
    coverage: coverage::Coverage,
    attempts: attempts::Attempts,
    outbox: outbox::Outbox,
    settings: Settings,
}

impl Claims {
    /// An instance that has claimed and read nothing.
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

    /// Asks to run a request. `Waiting` is followed by a [`Decided`], unless
    /// the attempt is given up first. No other verdict has an effect.
    pub fn request(&mut self, now: Duration, key: RequestId, digest: u64, nonce: u64) -> Verdict {
        if let Some(kind) = self.unready() {
            return Verdict::Unready(kind);
        }
        if let Some(holder) = self.holder_for(&key) {
            return lost_to(holder, digest);
        }
        self.attempts.start(nonce, &key, digest);
        self.outbox.push(now, ClaimFact::Claim { key, nonce, digest });
        Verdict::Waiting
    }

    /// Takes in what was read of the stream, and decides attempts by it.
    pub fn read(&mut self, now: Duration, batch: &Batch<ClaimBatch>) -> Vec<ClaimDecision> {
        let mut decided = Vec::new();
        if !self.coverage.start_batch(batch) {
            return decided;
        }
        for entry in &batch.entries {
            if self.coverage.take(entry.offset, entry.time_ms) {
                self.read_entry(now, batch.now_ms, entry, &mut decided);
            }
        }
        self.coverage.end_batch(batch);
        decided
    }

    /// Gives up an attempt that is undecided, or won and surely never started.
    /// It never runs; its void goes out when the log takes it.
    pub fn give_up(&mut self, now: Duration, key: &RequestId, nonce: u64) {
        if !self.attempts.give_up(nonce) {
            return;
        }
        if self.outbox.withdraw_claim(key, nonce) {
            self.attempts.forget(nonce);
            return;
        }
        self.outbox.push(now, ClaimFact::Void { key: key.clone(), nonce });
    }

    /// Notes that a won attempt has ended after it was started.
    pub fn finished(&mut self, now: Duration, key: &RequestId, nonce: u64, answered: bool) {
        if !self.attempts.finish(nonce) {
            return;
        }
        self.outbox.push(now, ClaimFact::Finished { key: key.clone(), nonce, answered });
    }

    /// The facts to append now, if any: those that have waited for the linger
    /// time, and those that were sent but not read back in time. To be followed
    /// by [`Claims::append_ended`].
    pub fn flush(&mut self, now: Duration) -> Option<Vec<ClaimFact>> {
        self.outbox.flush(now)
    }

    /// Notes that the append of the last flush was acknowledged or failed.
    pub fn append_ended(&mut self, now: Duration, ok: bool) {
        self.outbox.append_ended(now, ok);
    }

    /// When [`Claims::flush`] should be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        self.outbox.next_wake()
    }

    /// Where the next read of the stream starts.
    pub fn next_offset(&self) -> Offset {
        self.coverage.position()
    }

    /// Whether nothing is left to append, so that a stopping instance may exit.
    pub fn is_flushed(&self) -> bool {
        self.outbox.is_empty()
    }

    /// The claim that holds a key as far as the stream was read.
    pub fn holder(&self, key: &RequestId) -> Option<&Holder> {
        self.window.holder(key, self.coverage.log_now(), |_| false)
    }

    /// Notes that the stream could not be read.
    pub fn read_failed(&mut self) {
        self.coverage.read_failed();
    }

    /// Whether the stream was read to its end since the start.
    pub fn is_caught_up(&self) -> bool {
        self.coverage.has_reached_end()
    }

    /// Why the instance cannot take requests to claim now, if it cannot.
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

    /// Number of claims that are remembered.
    pub fn claim_count(&self) -> usize {
        self.window.len()
    }

    /// The claim in the way of a new attempt: one that waits here, or one of
    /// the stream. Those that this instance has given up are not in the way,
    /// since their voids go out before the new claim.
    fn holder_for(&self, key: &RequestId) -> Option<Holder> {
        if let Some((nonce, digest)) = self.attempts.waiting_for(key) {
            return Some(self.own_holder(nonce, digest));
        }
        let is_given_up = |claim: &Holder| {
            self.is_own(claim.instance_life()) && self.attempts.is_given_up(claim.nonce)
        };
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

    fn read_entry(
        &mut self,
        now: Duration,
        now_ms: u64,
        entry: &Entry<ClaimBatch>,
        decided: &mut Vec<ClaimDecision>,
    ) {
        let time_ms = self.window.advance(entry.time_ms);
        let batch = &entry.record;
        let is_own = self.is_own((&batch.instance, batch.incarnation));
        for fact in &batch.facts {
            let place = self.window.take(batch, fact);
            if !is_own {
                continue;
            }
            self.outbox.confirm(fact);
            match fact {
                ClaimFact::Claim { key, nonce, digest } => {
                    let age_ms = now_ms.saturating_sub(time_ms);
                    let verdict = self.judge(place, *nonce, *digest, time_ms, age_ms);
                    decided.extend(self.settle(now, key, *nonce, verdict));
                }
                ClaimFact::Void { nonce, .. } | ClaimFact::Finished { nonce, .. } => {
                    self.attempts.forget(*nonce);
                }
            }
        }
    }

    /// What the place where an own claim was read makes of it; `None` where it
    /// was decided before.
    fn judge(
        &self,
        place: window::Place,
        nonce: u64,
        digest: u64,
        time_ms: u64,
        age_ms: u64,
    ) -> Option<Verdict> {
        let blocker = match place {
            window::Place::Repeat | window::Place::Void => return None,
            window::Place::First => None,
            window::Place::Behind(holder) => Some(holder),
        };
        match self.attempts.state(nonce)? {
            State::Won | State::Finished => return None,
            State::GivenUp => return Some(Verdict::Unready(UnreadyKind::HistoryIncomplete)),
            State::Waiting => {}
        }
        if !self.coverage.covers(time_ms) || age_ms > self.settings.max_age_ms() {
            return Some(Verdict::Unready(UnreadyKind::HistoryIncomplete));
        }
        Some(blocker.map_or(Verdict::Won, |holder| lost_to(holder, digest)))
    }

    /// Acts on the verdict on an own claim. One that has not won is voided.
    fn settle(
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

fn lost_to(holder: Holder, digest: u64) -> Verdict {
    if holder.digest != digest {
        return Verdict::Mismatch;
    }
    Verdict::Lost(holder)
}
