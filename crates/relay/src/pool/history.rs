//! What a connection has carried, and what it may carry next.
//!
//! A reply may come a second time where the next one is due. So a connection carries no second
//! call whose reply such a copy could be taken for: no id twice, and nothing besides a call
//! without an id, unless its replies are ignored.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::correlation::Correlation;

/// Most calls with an id that a connection carries. Their ids take 2 kB.
const MAX_IDS: usize = 256;

/// What a connection had carried when it was used for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Time since the connection was opened.
    pub age: Duration,
    /// Calls that it had carried before.
    pub calls: usize,
    /// Whether one of these had the id of this call.
    pub had_id: bool,
}

/// What tells the replies on a connection apart.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Carried {
    /// It has carried no call.
    Nothing,
    /// Hashes of the ids of its calls.
    Ids(Vec<u64>),
    /// It has carried a call without an id.
    Unidentified,
    /// The peer sends each reply once.
    InOrder,
    /// The replies are ignored.
    Ignored,
}

/// The calls that a connection has carried.
#[derive(Debug)]
pub struct History {
    opened_at: Duration,
    calls: usize,
    carried: Carried,
}

impl History {
    /// A connection that is opened now has carried nothing.
    pub fn new(now: Duration) -> History {
        History { opened_at: now, calls: 0, carried: Carried::Nothing }
    }

    /// Whether no earlier reply can be taken for the reply to a call with this id.
    pub fn may_carry(&self, correlation: Correlation<'_>, id: Option<&str>) -> bool {
        match (&self.carried, correlation) {
            (Carried::Nothing, _) => true,
            (Carried::Ids(ids), Correlation::Id(_)) => {
                id.is_some_and(|id| !ids.contains(&hash(id))) && ids.len() < MAX_IDS
            }
            (Carried::InOrder, Correlation::Place) | (Carried::Ignored, Correlation::Ignored) => {
                true
            }
            _ => false,
        }
    }

    /// Whether every earlier reply bears an id, so that none can be taken for the reply to a
    /// question without one.
    pub fn has_only_ids(&self) -> bool {
        matches!(self.carried, Carried::Nothing | Carried::Ids(_))
    }

    /// Whether the connection may carry any further call.
    pub fn is_reusable(&self) -> bool {
        match &self.carried {
            Carried::Ids(ids) => ids.len() < MAX_IDS,
            Carried::Unidentified => false,
            Carried::Nothing | Carried::InOrder | Carried::Ignored => true,
        }
    }

    /// Records a call that is sent on the connection. Returns what it had carried before.
    pub fn record(
        &mut self,
        now: Duration,
        correlation: Correlation<'_>,
        id: Option<&str>,
    ) -> ConnectionUse {
        let age = now.saturating_sub(self.opened_at);
        let earlier = ConnectionUse { age, calls: self.calls, had_id: self.has_carried(id) };
        self.calls += 1;
        match (correlation, id) {
            (Correlation::Id(_), Some(id)) => self.add_id(hash(id)),
            (Correlation::Id(_), None) => self.carried = Carried::Unidentified,
            (Correlation::Place, _) => self.carried = Carried::InOrder,
            (Correlation::Ignored, _) => self.carried = Carried::Ignored,
        }
        earlier
    }

    fn add_id(&mut self, id: u64) {
        match &mut self.carried {
            Carried::Ids(ids) => ids.push(id),
            carried => *carried = Carried::Ids(vec![id]),
        }
    }

    fn has_carried(&self, id: Option<&str>) -> bool {
        let Carried::Ids(ids) = &self.carried else { return false };
        id.is_some_and(|id| ids.contains(&hash(id)))
    }
}

fn hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}
