//! The pieces of one service that wait, in the order in which they are made.
//!
//! Pieces of one stage of one request are a *group*: they are made together,
//! since results that wait for the others only take up room. Groups that can
//! still be done in good time come first, the most urgent in front; late ones
//! follow by the priority of their requests.
//!
//! The instance that batches a service looks at its queue with every event, so
//! nothing here goes through the whole queue. Groups with large and with small
//! results stand in lanes of their own: where large results have no room, the
//! small ones behind them are found at once.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    sync::Arc,
    time::Duration,
};

use peatdeck_macros::{data, id};
use slotmap::SecondaryMap;

use crate::{
    model::DataCentre,
    relay::{batch::PieceKey, model::Piece},
};

/// Results of at least this size are large: their room is what is scarce.
pub const LARGE_RESULT_BYTES: u64 = 200_000;
/// Groups that do not fit a call before the rest of their lane is taken not to
/// fit either. With four data centres one group in four belongs to an endpoint,
/// so that a few of them are still looked at.
const MAX_SKIPPED_GROUPS: usize = 32;
/// All lanes, in their order.
pub const SIZE_CLASSES: [SizeClass; 2] = [SizeClass::Small, SizeClass::Large];

/// Pieces by the size of their results.
#[id]
#[derive(Copy)]
pub enum SizeClass {
    /// Room for the result is no matter.
    Small,
    /// Room for the result is what is scarce.
    Large,
}

impl SizeClass {
    /// The lane of a result of so many bytes.
    pub fn of(bytes: u64) -> SizeClass {
        if bytes >= LARGE_RESULT_BYTES { SizeClass::Large } else { SizeClass::Small }
    }
}

/// The place of a group in the queue. Late groups rank behind all others.
#[id]
pub struct GroupKey {
    is_late: bool,
    /// Priority of the request if it is late, else 0.
    priority: u8,
    target: Duration,
    request: Arc<str>,
    stage: u16,
}

/// Pieces of one stage of one request.
#[data]
pub struct Group {
    /// The pieces.
    pub keys: Vec<PieceKey>,
    /// Size of one result, in bytes.
    pub bytes: u64,
    /// Where the results will be used, if that matters.
    pub preferred_data_centre: Option<DataCentre>,
    /// By when they should be done.
    pub target: Duration,
    deadline: Duration,
    is_begun: bool,
    /// Whether it is made without other groups.
    is_isolated: bool,
    priority: u8,
}

/// What a call can take.
pub struct CallCapacity<'a> {
    /// Pieces that it should take at the most.
    pub wanted_pieces: usize,
    /// Pieces that the endpoint accepts.
    pub max_pieces: usize,
    /// Bytes of results that the endpoint has room for.
    pub free_bytes: u64,
    /// Whether a group may be made at the endpoint.
    pub accepts: &'a dyn Fn(&Group) -> bool,
}

/// The pieces of one service that wait.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [BTreeMap<GroupKey, Group>; SIZE_CLASSES.len()],
    by_deadline: BTreeSet<(Duration, PieceKey)>,
    /// When late pieces are looked through next.
    pub next_starvation_check: Duration,
    group_keys: SecondaryMap<PieceKey, (usize, GroupKey)>,
    sizes: [usize; SIZE_CLASSES.len()],
}

impl Queue {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.group_keys.is_empty()
    }

    /// How many pieces wait.
    pub fn len(&self) -> usize {
        self.group_keys.len()
    }

    /// All pieces that wait.
    pub fn keys(&self) -> Vec<PieceKey> {
        self.by_deadline.iter().map(|(_, key)| *key).collect()
    }

    /// Whether that piece waits here.
    pub fn contains(&self, key: PieceKey) -> bool {
        self.group_keys.contains_key(key)
    }

    /// Takes in a piece.
    pub fn push(&mut self, key: PieceKey, piece: &Piece) {
        let group_key = GroupKey {
            is_late: false,
            priority: 0,
            target: piece.target,
            request: piece.request.clone(),
            stage: piece.stage,
        };
        let class = SizeClass::of(piece.bytes) as usize;
        let group = self.classes[class].entry(group_key.clone()).or_insert_with(|| Group {
            keys: Vec::new(),
            bytes: piece.bytes,
            preferred_data_centre: piece.preferred_data_centre.clone(),
            target: piece.target,
            deadline: piece.deadline,
            is_begun: piece.is_begun,
            is_isolated: false,
            priority: piece.priority,
        });
        group.is_isolated |= piece.is_isolated;
        group.keys.push(key);
        self.by_deadline.insert((piece.deadline, key));
        let is_new = self.group_keys.insert(key, (class, group_key)).is_none();
        self.sizes[class] += usize::from(is_new);
    }

    /// Takes out one piece; false if it does not wait here.
    pub fn remove(&mut self, key: PieceKey, piece: &Piece) -> bool {
        let Some((class, group_key)) = self.group_keys.remove(key) else { return false };
        self.sizes[class] -= 1;
        self.by_deadline.remove(&(piece.deadline, key));
        if let Entry::Occupied(mut group) = self.classes[class].entry(group_key) {
            group.get_mut().keys.retain(|other| *other != key);
            if group.get().keys.is_empty() {
                group.remove();
            }
        }
        true
    }

    /// Pieces of a lane that can be in good time and should be done by `aim` or
    /// before.
    pub fn count_ahead(&self, class: SizeClass, target: Duration) -> usize {
        let groups = self.classes[class as usize].iter();
        let ahead =
            groups.take_while(|(group_key, group)| !group_key.is_late && group.target <= target);
        ahead.map(|(_, group)| group.keys.len()).sum()
    }

    /// The size of a result of a lane's first group; `None` if none waits there.
    pub fn first_bytes(&self, class: SizeClass) -> Option<u64> {
        Some(self.classes[class as usize].first_key_value()?.1.bytes)
    }

    /// Pieces of a lane.
    pub fn len_in(&self, class: SizeClass) -> usize {
        self.sizes[class as usize]
    }

    /// The pieces that are due before a time.
    pub fn due_before(&self, time: Duration) -> Vec<PieceKey> {
        let due = self.by_deadline.iter().take_while(|(deadline, _)| *deadline < time);
        due.map(|(_, key)| *key).collect()
    }

    /// Late pieces that will not be reached before they are due, as far as
    /// `wait` tells how long so many pieces that go before them take. Requests
    /// that have been begun keep waiting: work was done for them.
    pub fn starved(
        &self,
        now: Duration,
        wait: impl Fn(SizeClass, usize) -> Duration,
    ) -> Vec<PieceKey> {
        let mut out = Vec::new();
        for (class, groups) in SIZE_CLASSES.into_iter().zip(&self.classes) {
            let mut ahead = 0;
            for (group_key, group) in groups {
                let may_starve = group_key.is_late && !group.is_begun;
                if may_starve && now + wait(class, ahead) > group.deadline {
                    out.extend(&group.keys);
                } else {
                    ahead += group.keys.len();
                }
            }
        }
        out
    }

    /// Puts the groups behind the others that cannot be done in good time any
    /// more: a call that begins now ends at `done`.
    pub fn demote_late(&mut self, done: Duration) {
        for (class, groups) in self.classes.iter_mut().enumerate() {
            while let Some(first) = groups.first_entry()
                && !first.key().is_late
                && first.key().target < done
            {
                let (group_key, group) = first.remove_entry();
                let late = GroupKey { is_late: true, priority: group.priority, ..group_key };
                for key in &group.keys {
                    self.group_keys.insert(*key, (class, late.clone()));
                }
                merge(groups, late, group);
            }
        }
    }

    /// The pieces of a call: the first groups that fit it. Of a group that is
    /// larger than any call, as many as a call takes.
    pub fn select(&self, capacity: &CallCapacity<'_>) -> Vec<PieceKey> {
        let mut classes = self.classes.each_ref().map(|groups| groups.iter().peekable());
        let mut skipped = [0; SIZE_CLASSES.len()];
        let (mut taken, mut free_bytes) = (Vec::new(), capacity.free_bytes);
        while taken.len() < capacity.wanted_pieces {
            let open = (0..SIZE_CLASSES.len()).filter(|class| skipped[*class] < MAX_SKIPPED_GROUPS);
            let first = open.filter_map(|class| Some((classes[class].peek()?.0, class))).min();
            let Some((_, class)) = first else { break };
            let Some((_, group)) = classes[class].next() else { break };
            let part = &group.keys[..group.keys.len().min(capacity.max_pieces)];
            let bytes = group.bytes * part.len() as u64;
            let has_capacity = match group.is_isolated {
                true => taken.is_empty(),
                false => taken.len() + part.len() <= capacity.max_pieces,
            };
            if has_capacity && bytes <= free_bytes && (capacity.accepts)(group) {
                free_bytes -= bytes;
                taken.extend(part);
                if group.is_isolated {
                    break;
                }
            } else {
                skipped[class] += 1;
            }
        }
        taken
    }
}

fn merge(groups: &mut BTreeMap<GroupKey, Group>, group_key: GroupKey, group: Group) {
    match groups.entry(group_key) {
        Entry::Vacant(place) => {
            place.insert(group);
        }
        Entry::Occupied(mut held) => held.get_mut().keys.extend(group.keys),
    }
}
