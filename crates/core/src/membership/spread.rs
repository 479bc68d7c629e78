//! Selects what goes into a gossip message when not everything fits.

use std::collections::{HashMap, HashSet};

use rand::{Rng, rngs::SmallRng};

use crate::{
    membership::{EndpointState, LeavingMark},
    model::{EndpointName, Incarnation},
};

/// Each instance sends an item this many times the number of rounds that the item needs to reach
/// all instances in the best case.
const SENDS_FACTOR: u32 = 3;
/// The greatest age of a load report that is still sent, in milliseconds.
const MAX_LOAD_AGE_MS: u32 = 5_000;

/// How often one instance sends an item in a group of the given size.
pub fn send_limit(members: usize) -> u32 {
    let doublings = usize::BITS - members.leading_zeros();
    SENDS_FACTOR * doublings.max(1)
}

/// The items that were sent least often, at most `max`. Ties are broken at random.
pub fn least_sent<T>(
    rng: &mut SmallRng,
    items: impl Iterator<Item = (T, u32)>,
    limit: u32,
    max: usize,
) -> Vec<T> {
    let candidates = items.filter(|&(_, sends)| sends < limit);
    let mut candidates: Vec<(u32, u32, T)> =
        candidates.map(|(item, sends)| (sends, rng.random(), item)).collect();
    candidates.sort_unstable_by_key(|&(sends, tie, _)| (sends, tie));
    candidates.into_iter().take(max).map(|(_, _, item)| item).collect()
}

/// Selects the leaving marks to send next. New ones go first; each message also has one old mark,
/// so that an instance that starts late receives them too.
#[derive(Default)]
pub struct LeavingSelector {
    sends: HashMap<(EndpointName, Incarnation), u32>,
    cursor: usize,
}

impl LeavingSelector {
    /// Selects marks for a message.
    pub fn pick(
        &mut self,
        rng: &mut SmallRng,
        marks: &[LeavingMark],
        limit: u32,
        max: usize,
    ) -> Vec<LeavingMark> {
        if self.sends.len() > marks.len() {
            self.prune(marks);
        }
        let sends = |mark: &LeavingMark| self.sends.get(&key_of(mark)).copied().unwrap_or(0);
        let items = marks.iter().map(|mark| (mark, sends(mark)));
        let mut picked = least_sent(rng, items, limit, max.saturating_sub(1));
        if let Some(old) = self.next_old(marks)
            && !picked.contains(&old)
        {
            picked.push(old);
        }
        for mark in &picked {
            *self.sends.entry(key_of(mark)).or_default() += 1;
        }
        picked.into_iter().cloned().collect()
    }

    fn next_old<'a>(&mut self, marks: &'a [LeavingMark]) -> Option<&'a LeavingMark> {
        self.cursor = self.cursor.wrapping_add(1);
        let idx = self.cursor.checked_rem(marks.len())?;
        marks.get(idx)
    }

    fn prune(&mut self, marks: &[LeavingMark]) {
        let known: HashSet<_> = marks.iter().map(key_of).collect();
        self.sends.retain(|key, _| known.contains(key));
    }
}

fn key_of(mark: &LeavingMark) -> (EndpointName, Incarnation) {
    (mark.endpoint.clone(), mark.incarnation)
}

/// Selects the endpoint states to send next: those with calls in flight or a recent load report, in
/// turn, and for a while those whose calls have just ended.
#[derive(Default)]
pub struct EndpointSelector {
    idle_sends: HashMap<EndpointName, u32>,
    cursor: usize,
}

impl EndpointSelector {
    /// Selects states for a message.
    pub fn pick(&mut self, states: &[EndpointState], limit: u32, max: usize) -> Vec<EndpointState> {
        let mut picked = Vec::new();
        let start = self.cursor;
        for step in 0..states.len() {
            let idx = (start + step) % states.len();
            if picked.len() == max {
                break;
            }
            self.cursor = idx + 1;
            if self.is_news(&states[idx], limit) {
                picked.push(states[idx].clone());
            }
        }
        picked
    }

    fn is_news(&mut self, state: &EndpointState, limit: u32) -> bool {
        if state.in_flight > 0 {
            self.idle_sends.insert(state.endpoint.clone(), 0);
            return true;
        }
        let has_load = state.load.is_some_and(|load| load.age_ms <= MAX_LOAD_AGE_MS);
        let Some(sends) = self.idle_sends.get_mut(&state.endpoint) else { return has_load };
        *sends += 1;
        if *sends >= limit {
            self.idle_sends.remove(&state.endpoint);
        }
        true
    }
}
