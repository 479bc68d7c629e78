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
const MISFITS: usize = 32;
/// All lanes, in their order.
pub const LANES: [Lane; 2] = [Lane::Small, Lane::Large];

/// Pieces by the size of their results.
#[id]
#[derive(Copy)]
pub enum Lane {
    /// Room for the result is no matter.
    Small,
    /// Room for the result is what is scarce.
    Large,
}

impl Lane {
    /// The lane of a result of so many bytes.
    pub fn of(bytes: u64) -> Lane {
        if bytes >= LARGE_RESULT_BYTES { Lane::Large } else { Lane::Small }
    }
}

/// The place of a group in the queue. Late groups rank behind all others.
#[id]
pub struct Rank {
    is_late: bool,
    /// Priority of the request if it is late, else 0.
    priority: u8,
    aim: Duration,
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
    pub home: Option<DataCentre>,
    /// By when they should be done.
    pub aim: Duration,
    due: Duration,
    is_begun: bool,
    /// Whether it is made without other groups.
    is_apart: bool,
    priority: u8,
}

/// What a call can take.
pub struct Space<'a> {
    /// Pieces that it should take at the most.
    pub size: usize,
    /// Pieces that the endpoint accepts.
    pub batch: usize,
    /// Bytes of results that the endpoint has room for.
    pub room: u64,
    /// Whether a group may be made at the endpoint.
    pub belongs: &'a dyn Fn(&Group) -> bool,
}

/// The pieces of one service that wait.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: [BTreeMap<Rank, Group>; LANES.len()],
    by_due: BTreeSet<(Duration, PieceKey)>,
    /// When late pieces are looked through next.
    pub next_review: Duration,
    ranks: SecondaryMap<PieceKey, (usize, Rank)>,
    sizes: [usize; LANES.len()],
}

impl Queue {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// How many pieces wait.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// All pieces that wait.
    pub fn keys(&self) -> Vec<PieceKey> {
        self.by_due.iter().map(|(_, key)| *key).collect()
    }

    /// Whether that piece waits here.
    pub fn contains(&self, key: PieceKey) -> bool {
        self.ranks.contains_key(key)
    }

    /// Takes in a piece.
    pub fn push(&mut self, key: PieceKey, piece: &Piece) {
        let rank = Rank {
            is_late: false,
            priority: 0,
            aim: piece.target,
            request: piece.request.clone(),
            stage: piece.stage,
        };
        let lane = Lane::of(piece.bytes) as usize;
        let group = self.lanes[lane].entry(rank.clone()).or_insert_with(|| Group {
            keys: Vec::new(),
            bytes: piece.bytes,
            home: piece.preferred_data_centre.clone(),
            aim: piece.target,
            due: piece.deadline,
            is_begun: piece.is_begun,
            is_apart: false,
            priority: piece.priority,
        });
        group.is_apart |= piece.is_isolated;
        group.keys.push(key);
        self.by_due.insert((piece.deadline, key));
        let is_new = self.ranks.insert(key, (lane, rank)).is_none();
        self.sizes[lane] += usize::from(is_new);
    }

    /// Takes out one piece; false if it does not wait here.
    pub fn remove(&mut self, key: PieceKey, piece: &Piece) -> bool {
        let Some((lane, rank)) = self.ranks.remove(key) else { return false };
        self.sizes[lane] -= 1;
        self.by_due.remove(&(piece.deadline, key));
        if let Entry::Occupied(mut group) = self.lanes[lane].entry(rank) {
            group.get_mut().keys.retain(|other| *other != key);
            if group.get().keys.is_empty() {
                group.remove();
            }
        }
        true
    }

    /// Pieces of a lane that can be in good time and should be done by `aim` or
    /// before.
    pub fn ahead_of(&self, lane: Lane, aim: Duration) -> usize {
        let groups = self.lanes[lane as usize].iter();
        let ahead = groups.take_while(|(rank, group)| !rank.is_late && group.aim <= aim);
        ahead.map(|(_, group)| group.keys.len()).sum()
    }

    /// The size of a result of a lane's first group; `None` if none waits there.
    pub fn first_bytes(&self, lane: Lane) -> Option<u64> {
        Some(self.lanes[lane as usize].first_key_value()?.1.bytes)
    }

    /// Pieces of a lane.
    pub fn len_of(&self, lane: Lane) -> usize {
        self.sizes[lane as usize]
    }

    /// The pieces that are due before a time.
    pub fn due_before(&self, time: Duration) -> Vec<PieceKey> {
        let due = self.by_due.iter().take_while(|(due, _)| *due < time);
        due.map(|(_, key)| *key).collect()
    }

    /// Late pieces that will not be reached before they are due, as far as
    /// `wait` tells how long so many pieces that go before them take. Requests
    /// that have been begun keep waiting: work was done for them.
    pub fn hopeless(&self, now: Duration, wait: impl Fn(Lane, usize) -> Duration) -> Vec<PieceKey> {
        let mut out = Vec::new();
        for (lane, groups) in LANES.into_iter().zip(&self.lanes) {
            let mut ahead = 0;
            for (rank, group) in groups {
                let is_doubtful = rank.is_late && !group.is_begun;
                if is_doubtful && now + wait(lane, ahead) > group.due {
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
    pub fn demote(&mut self, done: Duration) {
        for (lane, groups) in self.lanes.iter_mut().enumerate() {
            while let Some(first) = groups.first_entry()
                && !first.key().is_late
                && first.key().aim < done
            {
                let (rank, group) = first.remove_entry();
                let late = Rank { is_late: true, priority: group.priority, ..rank };
                for key in &group.keys {
                    self.ranks.insert(*key, (lane, late.clone()));
                }
                merge(groups, late, group);
            }
        }
    }

    /// The pieces of a call: the first groups that fit it. Of a group that is
    /// larger than any call, as many as a call takes.
    pub fn choose(&self, space: &Space<'_>) -> Vec<PieceKey> {
        let mut lanes = self.lanes.each_ref().map(|groups| groups.iter().peekable());
        let mut misfits = [0; LANES.len()];
        let (mut taken, mut room) = (Vec::new(), space.room);
        while taken.len() < space.size {
            let open = (0..LANES.len()).filter(|lane| misfits[*lane] < MISFITS);
            let first = open.filter_map(|lane| Some((lanes[lane].peek()?.0, lane))).min();
            let Some((_, lane)) = first else { break };
            let Some((_, group)) = lanes[lane].next() else { break };
            let part = &group.keys[..group.keys.len().min(space.batch)];
            let bytes = group.bytes * part.len() as u64;
            let has_place = match group.is_apart {
                true => taken.is_empty(),
                false => taken.len() + part.len() <= space.batch,
            };
            if has_place && bytes <= room && (space.belongs)(group) {
                room -= bytes;
                taken.extend(part);
                if group.is_apart {
                    break;
                }
            } else {
                misfits[lane] += 1;
            }
        }
        taken
    }
}

fn merge(groups: &mut BTreeMap<Rank, Group>, rank: Rank, group: Group) {
    match groups.entry(rank) {
        Entry::Vacant(place) => {
            place.insert(group);
        }
        Entry::Occupied(mut held) => held.get_mut().keys.extend(group.keys),
    }
}
