//! What this instance wants of its own claims.

use std::collections::HashMap;

use crate::model::RequestId;

/// Where an own attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Wanted, not read back yet.
    Waiting,
    /// Won; its request may be running.
    Won,
    /// It never ran and never will.
    GivenUp,
    /// Its request has ended.
    Finished,
}

/// The own attempts that the stream has not settled yet.
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
    /// Notes a new attempt.
    pub fn start(&mut self, nonce: u64, key: &RequestId, digest: u64) {
        let attempt = Attempt { key: key.clone(), digest, state: State::Waiting };
        self.by_nonce.insert(nonce, attempt);
        self.waiting.insert(key.clone(), nonce);
    }

    /// Nonce and digest of the attempt that waits for a key.
    pub fn waiting_for(&self, key: &RequestId) -> Option<(u64, u64)> {
        let nonce = *self.waiting.get(key)?;
        let attempt = self.by_nonce.get(&nonce)?;
        Some((nonce, attempt.digest))
    }

    /// Where an attempt is; `None` if it is not known or settled.
    pub fn state(&self, nonce: u64) -> Option<State> {
        self.by_nonce.get(&nonce).map(|attempt| attempt.state)
    }

    /// Whether an attempt was given up and its void is not read back.
    pub fn is_given_up(&self, nonce: u64) -> bool {
        self.state(nonce) == Some(State::GivenUp)
    }

    /// A waiting attempt has won.
    pub fn win(&mut self, nonce: u64) {
        self.transition(nonce, State::Won, |state| state == State::Waiting);
    }

    /// Gives an attempt up. `false` if there is none that can be.
    pub fn give_up(&mut self, nonce: u64) -> bool {
        self.transition(nonce, State::GivenUp, |state| matches!(state, State::Waiting | State::Won))
    }

    /// A won attempt has ended. `false` if there is no such.
    pub fn finish(&mut self, nonce: u64) -> bool {
        self.transition(nonce, State::Finished, |state| state == State::Won)
    }

    /// The stream has settled an attempt.
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
