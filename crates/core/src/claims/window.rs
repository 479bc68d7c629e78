//! The claims of each key within the horizon, as read from the claims stream.
//!
//! The content depends only on the records of the last horizon, never on what was decided about
//! older ones. So an instance that starts to read in the middle of the stream has, once it has read
//! a whole horizon, the same window as one that has read from the first record on.

use std::collections::{HashMap, VecDeque};

use crate::{
    claims::Holder,
    model::RequestId,
    record::{ClaimBatch, ClaimFact},
};

/// How a fact relates to the other facts of its key.
#[derive(Debug, Clone, PartialEq)]
pub enum Standing {
    /// A claim that no other one blocks.
    First,
    /// A claim that follows another one that is not void.
    Blocked(Holder),
    /// A claim that was read before, or the end of its request.
    Repeat,
    /// A void, or a claim whose void was read before.
    Void,
}

/// The claims of the last horizon.
pub struct Window {
    keys: HashMap<RequestId, Vec<TrackedClaim>>,
    expiry: VecDeque<Expiration>,
    horizon_ms: u64,
    time_ms: u64,
}

/// One claim. The claims of a key are kept in the order in which they were first read.
struct TrackedClaim {
    claim: Holder,
    /// Time of its newest copy; `None` while only its void was read.
    claimed_ms: Option<u64>,
    /// Time of its newest void.
    voided_ms: Option<u64>,
}

/// Keeps a claim in the window until one horizon after a fact about it.
struct Expiration {
    time_ms: u64,
    key: RequestId,
    nonce: u64,
}

impl Window {
    /// An empty window.
    pub fn new(horizon_ms: u64) -> Window {
        Window { keys: HashMap::new(), expiry: VecDeque::new(), horizon_ms, time_ms: 0 }
    }

    /// Number of claims in the window.
    pub fn len(&self) -> usize {
        self.keys.values().map(Vec::len).sum()
    }

    /// Advances to the time of the next record and drops the claims that have left the horizon. The
    /// window's time never goes back. Returns it.
    pub fn advance(&mut self, time_ms: u64) -> u64 {
        self.time_ms = self.time_ms.max(time_ms);
        while let Some(expiration) = self.expiry.front() {
            if expiration.time_ms.saturating_add(self.horizon_ms) > self.time_ms {
                break;
            }
            let expiration = self.expiry.pop_front().expect("the queue is not empty");
            self.drop_expired(&expiration);
        }
        self.time_ms
    }

    /// Applies a fact of a record, at the time of the last [`Window::advance`].
    pub fn apply(&mut self, batch: &ClaimBatch, fact: &ClaimFact) -> Standing {
        match fact {
            ClaimFact::Claim { key, nonce, digest } => {
                self.schedule_expiration(key, *nonce);
                self.claim(key, holder_in(batch, *nonce, *digest))
            }
            ClaimFact::Void { key, nonce } => {
                self.schedule_expiration(key, *nonce);
                self.void(key, holder_in(batch, *nonce, 0));
                Standing::Void
            }
            ClaimFact::Finished { key, nonce, answered } => {
                self.finish(key, &holder_in(batch, *nonce, 0), *answered);
                Standing::Repeat
            }
        }
    }

    /// The claim that holds a key at a time: the first one that is neither void nor ignored by
    /// `is_ignored`.
    pub fn holder(
        &self,
        key: &RequestId,
        time_ms: u64,
        mut is_ignored: impl FnMut(&Holder) -> bool,
    ) -> Option<&Holder> {
        let tracked = self.keys.get(key)?.iter();
        let mut blocking =
            tracked.filter(|tracked| self.blocks(tracked, time_ms)).map(|tracked| &tracked.claim);
        blocking.find(|claim| !is_ignored(claim))
    }

    fn blocks(&self, tracked: &TrackedClaim, time_ms: u64) -> bool {
        let Some(claimed) = tracked.claimed_ms else { return false };
        tracked.voided_ms.is_none() && claimed.saturating_add(self.horizon_ms) > time_ms
    }

    fn schedule_expiration(&mut self, key: &RequestId, nonce: u64) {
        self.expiry.push_back(Expiration { time_ms: self.time_ms, key: key.clone(), nonce });
    }

    fn claim(&mut self, key: &RequestId, claim: Holder) -> Standing {
        let time_ms = self.time_ms;
        let holder = self.holder(key, time_ms, |_| false).cloned();
        let tracked = self.tracked(key, claim);
        let was_claimed = tracked.claimed_ms.replace(time_ms).is_some();
        if was_claimed {
            return Standing::Repeat;
        }
        if tracked.voided_ms.is_some() {
            return Standing::Void;
        }
        holder.map_or(Standing::First, Standing::Blocked)
    }

    fn void(&mut self, key: &RequestId, claim: Holder) {
        let time_ms = self.time_ms;
        let tracked = self.tracked(key, claim);
        if tracked.claim.finished.is_none() {
            tracked.voided_ms = Some(time_ms);
        }
    }

    fn finish(&mut self, key: &RequestId, claim: &Holder, answered: bool) {
        let Some(all) = self.keys.get_mut(key) else { return };
        let Some(tracked) = all.iter_mut().find(|it| is_same(&it.claim, claim)) else { return };
        if tracked.claimed_ms.is_some() && tracked.voided_ms.is_none() {
            tracked.claim.finished = Some(answered);
        }
    }

    /// The entry of a claim, which is added if it is new.
    fn tracked(&mut self, key: &RequestId, claim: Holder) -> &mut TrackedClaim {
        let all = self.keys.entry(key.clone()).or_default();
        let idx = match all.iter().position(|it| is_same(&it.claim, &claim)) {
            Some(idx) => idx,
            None => {
                all.push(TrackedClaim { claim, claimed_ms: None, voided_ms: None });
                all.len() - 1
            }
        };
        &mut all[idx]
    }

    fn drop_expired(&mut self, expiration: &Expiration) {
        let Some(all) = self.keys.get_mut(&expiration.key) else { return };
        all.retain(|tracked| {
            tracked.claim.nonce != expiration.nonce || tracked.newest_ms() > expiration.time_ms
        });
        if all.is_empty() {
            self.keys.remove(&expiration.key);
        }
    }
}

impl TrackedClaim {
    fn newest_ms(&self) -> u64 {
        self.claimed_ms.max(self.voided_ms).unwrap_or(0)
    }
}

fn holder_in(batch: &ClaimBatch, nonce: u64, digest: u64) -> Holder {
    Holder {
        instance: batch.instance.clone(),
        incarnation: batch.incarnation,
        nonce,
        digest,
        finished: None,
    }
}

fn is_same(a: &Holder, b: &Holder) -> bool {
    a.nonce == b.nonce && a.incarnation == b.incarnation && a.instance == b.instance
}
