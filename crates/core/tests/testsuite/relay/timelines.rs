//! Copies of a log that came back from an older copy of its own.

use std::sync::Arc;

use bytes::Bytes;
use peatdeck_core::relay::{
    catch_up::{CatchUp, PortionEffect},
    position::{Position, Timeline},
    table::{Record, Table},
};

fn record(key: &str, offset: u64, value: Option<&'static str>) -> Record {
    Record { key: Arc::from(key), offset, value: value.map(Bytes::from) }
}

fn at(timeline: u64, offset: u64) -> Position {
    Position { timeline: Timeline(timeline), offset }
}

/// What changes, `key=value` or `key` for a removal.
fn told(mut records: Vec<Record>) -> Vec<String> {
    records.sort_by(|one, other| one.key.cmp(&other.key));
    let text = |value: Bytes| format!("={}", String::from_utf8_lossy(&value));
    let name =
        |record: Record| format!("{}{}", record.key, record.value.map(text).unwrap_or_default());
    records.into_iter().map(name).collect()
}

fn awaited(table: &Table) -> Vec<String> {
    told(table.carried_over().cloned().collect())
}

/// A copy at offset 6 of the first timeline.
fn known() -> Table {
    let mut table = Table::default();
    table.replace(vec![record("a", 1, Some("1")), record("b", 3, Some("3"))], 4);
    table.apply_changes(vec![record("a", 4, Some("4")), record("b", 5, None)], 6);
    table
}

fn step(catch_up: &mut CatchUp, table: &mut Table, teller: &Table) -> PortionEffect {
    let portion = teller.read_portion(&catch_up.next_request(table), 1000);
    catch_up.apply(table, portion)
}

#[test]
fn a_later_timeline_counts_whatever_its_offsets() {
    let mut table = known();
    let changed = table.apply_listing(vec![record("a", 2, Some("new"))], at(1, 3));
    assert_eq!(told(changed), ["a=new"]);
    assert_eq!(table.position(), at(1, 3));
    assert_eq!(told(table.apply_changes(vec![record("a", 3, Some("newer"))], 4)), ["a=newer"]);
}

#[test]
fn an_earlier_timeline_changes_nothing() {
    let mut table = known();
    table.apply_listing(vec![record("a", 2, Some("new"))], at(2, 3));
    assert_eq!(told(table.apply_listing(vec![record("a", 8, Some("old"))], at(1, 9))), [""; 0]);
    assert_eq!(table.position(), at(2, 3));
}

#[test]
fn a_record_that_is_the_same_in_a_later_timeline_is_no_news() {
    let mut table = known();
    assert_eq!(told(table.apply_listing(vec![record("a", 4, Some("4"))], at(1, 5))), [""; 0]);
    assert_eq!(awaited(&table), [""; 0]);
    // At another offset it was written again.
    assert_eq!(told(table.apply_listing(vec![record("a", 3, Some("4"))], at(2, 5))), ["a=4"]);
}

#[test]
fn a_key_that_a_later_timeline_lacks_is_in_force_until_it_is_given_up() {
    let mut table = known();
    assert_eq!(told(table.apply_listing(Vec::new(), at(1, 0))), [""; 0]);
    assert_eq!(awaited(&table), ["a=4"]);
    // A further timeline, still without it.
    assert_eq!(told(table.apply_listing(Vec::new(), at(2, 0))), [""; 0]);
    assert_eq!(told(table.drop_carried_over()), ["a"]);
    assert_eq!(awaited(&table), [""; 0]);
}

/// It was written again and removed, all before the copy was read.
#[test]
fn a_removal_since_the_log_came_back_is_found_in_it() {
    let mut table = known();
    table.apply_changes(vec![record("c", 6, Some("6"))], 7);
    let changed = table.apply_listing(vec![record("a", 4, Some("4"))], at(1, 7));
    assert_eq!((told(changed), awaited(&table)), (vec![], vec!["c=6".to_owned()]));
    assert_eq!(table.position(), at(1, 5));
    let log = vec![record("c", 5, Some("6")), record("c", 6, None)];
    assert_eq!(told(table.apply_changes(log, 7)), ["c=6", "c"]);
    assert_eq!((awaited(&table), table.position()), (vec![], at(1, 7)));
    // Whoever learns it from here hears of the removal too.
    let (mut other, mut catch_up) = (known(), CatchUp::default());
    other.apply_changes(vec![record("c", 6, Some("6"))], 7);
    assert_eq!(told(step(&mut catch_up, &mut other, &table).changed), ["c"]);
}

#[test]
fn a_key_that_is_written_again_is_not_awaited_any_more() {
    let mut table = known();
    table.apply_listing(Vec::new(), at(1, 0));
    assert_eq!(told(table.apply_changes(vec![record("a", 0, Some("4"))], 1)), ["a=4"]);
    assert_eq!(awaited(&table), [""; 0]);
    assert_eq!(told(table.drop_carried_over()), [""; 0]);
}

#[test]
fn a_removal_that_a_later_timeline_undid_holds_until_it_is_given_up() {
    let mut table = known();
    let copy = || vec![record("a", 1, Some("1")), record("b", 3, Some("3"))];
    assert_eq!(told(table.apply_listing(copy(), at(1, 4))), ["a=1"]);
    assert_eq!(awaited(&table), ["b"]);
    assert_eq!(told(table.apply_listing(copy(), at(2, 4))), [""; 0]);
    assert_eq!(told(table.drop_carried_over()), ["b=3"]);
}

#[test]
fn a_key_that_was_written_anew_after_its_removal_was_lost_counts() {
    let mut table = known();
    assert_eq!(told(table.apply_listing(vec![record("b", 4, Some("anew"))], at(1, 5))), ["b=anew"]);
}

#[test]
fn a_peer_in_a_later_timeline_is_listened_to() {
    let (mut table, mut catch_up) = (known(), CatchUp::default());
    let mut teller = known();
    teller.apply_listing(vec![record("a", 2, Some("new"))], at(1, 3));
    let learned = step(&mut catch_up, &mut table, &teller);
    assert!(learned.is_caught_up);
    assert_eq!(told(learned.changed), ["a=new"]);
    assert_eq!(table.position(), at(1, 3));
}

#[test]
fn a_peer_in_an_earlier_timeline_is_neither_listened_to_nor_level() {
    let (mut table, mut catch_up) = (known(), CatchUp::default());
    table.apply_listing(vec![record("a", 2, Some("new"))], at(1, 3));
    let learned = step(&mut catch_up, &mut table, &known());
    assert!(learned.changed.is_empty() && !learned.is_caught_up && !learned.has_more);
    // One that has not been restored stays where it is for a peer without any table.
    let learned = step(&mut CatchUp::default(), &mut table, &Table::default());
    assert!(learned.changed.is_empty());
}

/// A slice of a record, and one of another record that got its offset.
#[test]
fn slices_of_two_timelines_are_not_joined() {
    const SIZE: usize = 2500;
    let large = |byte| Record {
        key: Arc::from("a"),
        offset: 6,
        value: Some(Bytes::from(vec![byte; SIZE])),
    };
    let (mut before, mut after) = (known(), known());
    before.apply_changes(vec![large(1)], 7);
    after.apply_listing(vec![record("a", 2, Some("new"))], at(1, 6));
    after.apply_changes(vec![large(2)], 7);
    let (mut table, mut catch_up) = (known(), CatchUp::default());
    assert!(step(&mut catch_up, &mut table, &before).has_more);
    let mut changed = Vec::new();
    for _ in 0..10 {
        changed.extend(step(&mut catch_up, &mut table, &after).changed);
    }
    let value = changed.pop().and_then(|record| record.value).unwrap();
    assert_eq!(value, Bytes::from(vec![2; SIZE]));
    assert_eq!(table.position(), at(1, 7));
}
