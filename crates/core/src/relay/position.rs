//! The position of a table's copy in the log of the platform's store.

use peatdeck_macros::id;

/// One history of the platform's store. The store may be restored from an older copy
/// of itself: later writes are lost, and their offsets are assigned again. Each
/// restoration begins a new timeline with a larger number. Offsets of different
/// timelines cannot be compared.
#[id]
#[derive(Copy, Default)]
pub struct Timeline(pub u64);

/// A position in a table's log. Positions are ordered by timeline first, then by offset.
#[id]
#[derive(Copy, Default)]
pub struct Position {
    /// The timeline that the offset belongs to.
    pub timeline: Timeline,
    /// The offset in the log.
    pub offset: u64,
}
