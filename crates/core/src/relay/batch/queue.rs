//! The queued pieces of one service, in the order in which they are run.
//!
//! The pieces of one stage of one request are a *group* and are run together, since results that
//! wait for the rest of their stage only take up memory. Groups of streams that have begun come
//! first: if they are not run, all that their callers have got is lost. Groups that can still meet
//! their target times follow, the most urgent one in front; late groups come last, by the priority
//! of their requests.
//!
//! The batcher of a service uses the queue on every event, so no frequent operation scans all of
//! it. Groups with large and with small results are kept apart: if there is no memory for large
//! results, the small ones behind them are found at once.

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

/// Results of at least this size are large: memory for them is what limits the rate.
pub const LARGE_RESULT_BYTES: u64 = 200_000;
/// Groups of a size class that may be skipped as unfit for a call before the rest of the class is
/// taken to be unfit too. With four data centres one group in four may run at an endpoint, so
/// several have to be tried.
const MAX_SKIPPED_GROUPS: usize = 32;
/// All size classes, in order.
pub const SIZE_CLASSES: [SizeClass; 2] = [SizeClass::Small, SizeClass::Large];

/// Size class of a piece's result.
#[id]
#[derive(Copy)]
pub enum SizeClass {
    /// Memory for the result is never the limit.
    Small,
    /// Memory for the result is what limits the rate.
    Large,
}

impl SizeClass {
    /// The class of a result of this many bytes.
    pub fn of(bytes: u64) -> SizeClass {
        if bytes >= LARGE_RESULT_BYTES { SizeClass::Large } else { SizeClass::Small }
    }
}

/// What a group's position in the queue depends on first.
#[id]
#[derive(Copy)]
enum Rank {
    /// Its request goes on with a stream that has begun.
    Resumed,
    /// It can meet its target time.
    Timely,
    /// It cannot meet its target time.
    Late,
}

/// Position of a group in the queue.
#[id]
pub struct GroupKey {
    rank: Rank,
    /// Priority of the request if the group is late, else 0.
    priority: u8,
    target: Duration,
    request: Arc<str>,
    stage: u16,
}

/// The queued pieces of one stage of one request.
#[data]
pub struct Group {
    /// The pieces in order of arrival.
    pub keys: Vec<PieceKey>,
    /// Size of one result, in bytes.
    pub bytes: u64,
    /// The data centre in which the results will be used, if that is known and matters.
    pub destination: Option<DataCentre>,
    /// When the pieces should finish for the request to meet its target time.
    pub target: Duration,
    deadline: Duration,
    is_begun: bool,
    /// Whether it must run in a call without other groups.
    is_isolated: bool,
    /// Whether some of its pieces ran or may have run before.
    pub has_repeats: bool,
    priority: u8,
}

/// Limits of the call that pieces are selected for.
pub struct CallCapacity<'a> {
    /// The number of pieces at which no further group is added.
    pub wanted_pieces: usize,
    /// The largest number of pieces that the endpoint accepts in a call.
    pub max_pieces: usize,
    /// Free result memory of the endpoint, in bytes.
    pub free_bytes: u64,
    /// Whether a group may run at the endpoint.
    pub accepts: &'a dyn Fn(&Group) -> bool,
}

/// The queued pieces of one service.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [BTreeMap<GroupKey, Group>; SIZE_CLASSES.len()],
    by_deadline: BTreeSet<(Duration, PieceKey)>,
    /// When the batcher next searches for starved pieces.
    pub next_starvation_check: Duration,
    group_keys: SecondaryMap<PieceKey, (usize, GroupKey)>,
    sizes: [usize; SIZE_CLASSES.len()],
}

impl Queue {
    /// Whether no piece is queued.
    pub fn is_empty(&self) -> bool {
        self.group_keys.is_empty()
    }

    /// The number of queued pieces.
    pub fn len(&self) -> usize {
        self.group_keys.len()
    }

    /// All queued pieces, by deadline.
    pub fn keys(&self) -> Vec<PieceKey> {
        self.by_deadline.iter().map(|(_, key)| *key).collect()
    }

    /// Whether the piece is queued here.
    pub fn contains(&self, key: PieceKey) -> bool {
        self.group_keys.contains_key(key)
    }

    /// Adds a piece to the group of its stage.
    pub fn push(&mut self, key: PieceKey, piece: &Piece) {
        let group_key = GroupKey {
            rank: if piece.is_resumed { Rank::Resumed } else { Rank::Timely },
            priority: 0,
            target: piece.target,
            request: piece.request.clone(),
            stage: piece.stage,
        };
        let class = SizeClass::of(piece.bytes) as usize;
        let group = self.classes[class].entry(group_key.clone()).or_insert_with(|| Group {
            keys: Vec::new(),
            bytes: piece.bytes,
            destination: piece.destination.clone(),
            target: piece.target,
            deadline: piece.deadline,
            is_begun: piece.is_begun,
            is_isolated: false,
            has_repeats: false,
            priority: piece.priority,
        });
        group.is_isolated |= piece.is_isolated;
        group.has_repeats |= piece.is_repeat || piece.tries > 0;
        group.keys.push(key);
        self.by_deadline.insert((piece.deadline, key));
        let is_new = self.group_keys.insert(key, (class, group_key)).is_none();
        self.sizes[class] += usize::from(is_new);
    }

    /// Removes a piece; false if it is not queued here.
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

    /// The number of pieces in a class that a new one with this target time comes after.
    pub fn count_ahead(&self, class: SizeClass, target: Duration) -> usize {
        self.count_first(class, |group_key| match group_key.rank {
            Rank::Resumed => true,
            Rank::Timely => group_key.target <= target,
            Rank::Late => false,
        })
    }

    /// The number of pieces in a class of streams that have begun.
    pub fn resumed_count(&self, class: SizeClass) -> usize {
        self.count_first(class, |group_key| group_key.rank == Rank::Resumed)
    }

    fn count_first(&self, class: SizeClass, is_first: impl Fn(&GroupKey) -> bool) -> usize {
        let groups = self.classes[class as usize].iter();
        let first = groups.take_while(|(group_key, _)| is_first(group_key));
        first.map(|(_, group)| group.keys.len()).sum()
    }

    /// Size of one result of a class's first group; `None` if the class is empty.
    pub fn first_bytes(&self, class: SizeClass) -> Option<u64> {
        Some(self.classes[class as usize].first_key_value()?.1.bytes)
    }

    /// The number of queued pieces in a class.
    pub fn len_in(&self, class: SizeClass) -> usize {
        self.sizes[class as usize]
    }

    /// The pieces with deadlines before a time.
    pub fn expiring_before(&self, time: Duration) -> Vec<PieceKey> {
        let expiring = self.by_deadline.iter().take_while(|(deadline, _)| *deadline < time);
        expiring.map(|(_, key)| *key).collect()
    }

    /// Late pieces that will not get their turn before their deadlines. `wait` returns how long
    /// this many pieces ahead take. Pieces of requests that other work has been done for stay
    /// queued.
    pub fn starved(
        &self,
        now: Duration,
        wait: impl Fn(SizeClass, usize) -> Duration,
    ) -> Vec<PieceKey> {
        let mut out = Vec::new();
        for (class, groups) in SIZE_CLASSES.into_iter().zip(&self.classes) {
            let mut ahead = 0;
            for (group_key, group) in groups {
                let may_starve = group_key.rank == Rank::Late && !group.is_begun;
                if may_starve && now + wait(class, ahead) > group.deadline {
                    out.extend(&group.keys);
                } else {
                    ahead += group.keys.len();
                }
            }
        }
        out
    }

    /// Marks the groups as late that can't meet their target times any more: a call that starts now
    /// ends at `done`.
    pub fn demote_late(&mut self, done: Duration) {
        for (class, groups) in self.classes.iter_mut().enumerate() {
            while let Some(group_key) = first_timely(groups).filter(|first| first.target < done) {
                let Some(group) = groups.remove(&group_key) else { break };
                let late = GroupKey { rank: Rank::Late, priority: group.priority, ..group_key };
                for key in &group.keys {
                    self.group_keys.insert(*key, (class, late.clone()));
                }
                merge(groups, late, group);
            }
        }
    }

    /// Selects the pieces of a call: the first groups that fit. Of a group that is larger than a
    /// call, as many pieces as a call takes.
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

/// The first group behind those of streams that have begun, if it is not late.
fn first_timely(groups: &BTreeMap<GroupKey, Group>) -> Option<GroupKey> {
    let from = GroupKey {
        rank: Rank::Timely,
        priority: 0,
        target: Duration::ZERO,
        request: Arc::from(""),
        stage: 0,
    };
    let (first, _) = groups.range(from..).next()?;
    (first.rank == Rank::Timely).then(|| first.clone())
}

fn merge(groups: &mut BTreeMap<GroupKey, Group>, group_key: GroupKey, group: Group) {
    match groups.entry(group_key) {
        Entry::Vacant(vacant) => {
            vacant.insert(group);
        }
        Entry::Occupied(mut existing) => existing.get_mut().keys.extend(group.keys),
    }
}
