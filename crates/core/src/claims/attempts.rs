//! The state of this instance's own attempts to claim.

use std::collections::HashMap;

use crate::model::RequestId;

/// The state of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The claim has not been read back yet.
    Waiting,
    /// The claim has won; its request may be running.
    Won,
    /// The request never ran and never will.
    GivenUp,
    /// The request has ended.
    Finished,
}

/// The instance's own attempts for which the stream holds no void and no end yet.
#[derive(Default)]
pub struct Attempts {
    by_nonce: HashMap<u64, Attempt>,
    waiting: HashMap<RequestId, u64>,
}

struct Attempt {
    key: RequestId,
    digest: u64,
    state: State,
}

impl Attempts {
    /// Adds a new attempt.
    pub fn start(&mut self, nonce: u64, key: &RequestId, digest: u64) {
        let attempt = Attempt { key: key.clone(), digest, state: State::Waiting };
        self.by_nonce.insert(nonce, attempt);
        self.waiting.insert(key.clone(), nonce);
    }

    /// Nonce and digest of the attempt that waits for a decision on a key.
    pub fn waiting_for(&self, key: &RequestId) -> Option<(u64, u64)> {
        let nonce = *self.waiting.get(key)?;
        let attempt = self.by_nonce.get(&nonce)?;
        Some((nonce, attempt.digest))
    }

    /// The state of an attempt; `None` for an unknown or removed one.
    pub fn state(&self, nonce: u64) -> Option<State> {
        self.by_nonce.get(&nonce).map(|attempt| attempt.state)
    }

    /// Whether an attempt was given up and its void was not read back yet.
    pub fn is_given_up(&self, nonce: u64) -> bool {
        self.state(nonce) == Some(State::GivenUp)
    }

    /// Marks a waiting attempt as won.
    pub fn win(&mut self, nonce: u64) {
        self.transition(nonce, State::Won, |state| state == State::Waiting);
    }

    /// Gives an attempt up. Returns `false` if no such attempt is waiting or won.
    pub fn give_up(&mut self, nonce: u64) -> bool {
        self.transition(nonce, State::GivenUp, |state| matches!(state, State::Waiting | State::Won))
    }

    /// Marks a won attempt as finished. Returns `false` if there is no such attempt.
    pub fn finish(&mut self, nonce: u64) -> bool {
        self.transition(nonce, State::Finished, |state| state == State::Won)
    }

    /// Removes an attempt, once its void or its end was read back from the stream.
    pub fn remove(&mut self, nonce: u64) {
        let Some(attempt) = self.by_nonce.remove(&nonce) else { return };
        self.stop_waiting(&attempt.key, nonce);
    }

    fn transition(&mut self, nonce: u64, to: State, allows: impl Fn(State) -> bool) -> bool {
        let Some(attempt) = self.by_nonce.get_mut(&nonce) else { return false };
        if !allows(attempt.state) {
            return false;
        }
        attempt.state = to;
        let key = attempt.key.clone();
        self.stop_waiting(&key, nonce);
        true
    }

    fn stop_waiting(&mut self, key: &RequestId, nonce: u64) {
        if self.waiting.get(key) == Some(&nonce) {
            self.waiting.remove(key);
        }
    }
}
