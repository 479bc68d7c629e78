//! Copies of a log that was restored from a backup.

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

/// The changes as `key=value`, or `key` for a removal.
fn describe(mut records: Vec<Record>) -> Vec<String> {
    records.sort_by(|one, other| one.key.cmp(&other.key));
    let text = |value: Bytes| format!("={}", String::from_utf8_lossy(&value));
    let name =
        |record: Record| format!("{}{}", record.key, record.value.map(text).unwrap_or_default());
    records.into_iter().map(name).collect()
}

fn carried_over(table: &Table) -> Vec<String> {
    describe(table.carried_over().cloned().collect())
}

/// A copy at offset 6 of the first timeline.
fn loaded() -> Table {
    let mut table = Table::default();
    table.replace(vec![record("a", 1, Some("1")), record("b", 3, Some("3"))], 4);
    table.apply_changes(vec![record("a", 4, Some("4")), record("b", 5, None)], 6);
    table
}

fn step(catch_up: &mut CatchUp, table: &mut Table, source: &Table) -> PortionEffect {
    let portion = source.read_portion(&catch_up.next_request(table), 1000);
    catch_up.apply(table, portion)
}

#[test]
fn a_later_timeline_takes_precedence_whatever_its_offsets() {
    let mut table = loaded();
    let changed = table.apply_listing(vec![record("a", 2, Some("new"))], at(1, 3));
    assert_eq!(describe(changed), ["a=new"]);
    assert_eq!(table.position(), at(1, 3));
    assert_eq!(describe(table.apply_changes(vec![record("a", 3, Some("newer"))], 4)), ["a=newer"]);
}

#[test]
fn an_earlier_timeline_changes_nothing() {
    let mut table = loaded();
    table.apply_listing(vec![record("a", 2, Some("new"))], at(2, 3));
    assert_eq!(describe(table.apply_listing(vec![record("a", 8, Some("old"))], at(1, 9))), [""; 0]);
    assert_eq!(table.position(), at(2, 3));
}

#[test]
fn an_identical_record_in_a_later_timeline_is_no_change() {
    let mut table = loaded();
    assert_eq!(describe(table.apply_listing(vec![record("a", 4, Some("4"))], at(1, 5))), [""; 0]);
    assert_eq!(carried_over(&table), [""; 0]);
    // At another offset it was written again.
    assert_eq!(describe(table.apply_listing(vec![record("a", 3, Some("4"))], at(2, 5))), ["a=4"]);
}

#[test]
fn a_key_missing_from_a_later_timeline_is_carried_over_until_it_is_dropped() {
    let mut table = loaded();
    assert_eq!(describe(table.apply_listing(Vec::new(), at(1, 0))), [""; 0]);
    assert_eq!(carried_over(&table), ["a=4"]);
    // The next timeline lacks it too.
    assert_eq!(describe(table.apply_listing(Vec::new(), at(2, 0))), [""; 0]);
    assert_eq!(describe(table.drop_carried_over()), ["a"]);
    assert_eq!(carried_over(&table), [""; 0]);
}

/// The key was written again and removed before the copy was updated.
#[test]
fn a_removal_since_the_log_was_restored_is_found_in_it() {
    let mut table = loaded();
    table.apply_changes(vec![record("c", 6, Some("6"))], 7);
    let changed = table.apply_listing(vec![record("a", 4, Some("4"))], at(1, 7));
    assert_eq!((describe(changed), carried_over(&table)), (vec![], vec!["c=6".to_owned()]));
    assert_eq!(table.position(), at(1, 5));
    let log = vec![record("c", 5, Some("6")), record("c", 6, None)];
    assert_eq!(describe(table.apply_changes(log, 7)), ["c=6", "c"]);
    assert_eq!((carried_over(&table), table.position()), (vec![], at(1, 7)));
    // A copy that catches up from this one receives the removal too.
    let (mut other, mut catch_up) = (loaded(), CatchUp::default());
    other.apply_changes(vec![record("c", 6, Some("6"))], 7);
    assert_eq!(describe(step(&mut catch_up, &mut other, &table).changed), ["c"]);
}

#[test]
fn a_key_that_is_written_again_is_no_longer_carried_over() {
    let mut table = loaded();
    table.apply_listing(Vec::new(), at(1, 0));
    assert_eq!(describe(table.apply_changes(vec![record("a", 0, Some("4"))], 1)), ["a=4"]);
    assert_eq!(carried_over(&table), [""; 0]);
    assert_eq!(describe(table.drop_carried_over()), [""; 0]);
}

#[test]
fn a_removal_missing_from_a_later_timeline_is_carried_over_until_it_is_dropped() {
    let mut table = loaded();
    let copy = || vec![record("a", 1, Some("1")), record("b", 3, Some("3"))];
    assert_eq!(describe(table.apply_listing(copy(), at(1, 4))), ["a=1"]);
    assert_eq!(carried_over(&table), ["b"]);
    assert_eq!(describe(table.apply_listing(copy(), at(2, 4))), [""; 0]);
    assert_eq!(describe(table.drop_carried_over()), ["b=3"]);
}

#[test]
fn a_key_that_is_written_after_its_removal_was_lost_counts() {
    let mut table = loaded();
    assert_eq!(
        describe(table.apply_listing(vec![record("b", 4, Some("anew"))], at(1, 5))),
        ["b=anew"]
    );
}

#[test]
fn portions_of_a_later_timeline_are_applied() {
    let (mut table, mut catch_up) = (loaded(), CatchUp::default());
    let mut source = loaded();
    source.apply_listing(vec![record("a", 2, Some("new"))], at(1, 3));
    let effect = step(&mut catch_up, &mut table, &source);
    assert!(effect.is_caught_up);
    assert_eq!(describe(effect.changed), ["a=new"]);
    assert_eq!(table.position(), at(1, 3));
}

#[test]
fn portions_of_an_earlier_timeline_are_not_applied() {
    let (mut table, mut catch_up) = (loaded(), CatchUp::default());
    table.apply_listing(vec![record("a", 2, Some("new"))], at(1, 3));
    let effect = step(&mut catch_up, &mut table, &loaded());
    assert!(effect.changed.is_empty() && !effect.is_caught_up && !effect.has_more);
    // An empty source changes nothing either.
    let effect = step(&mut CatchUp::default(), &mut table, &Table::default());
    assert!(effect.changed.is_empty());
}

/// The copy gets a slice of a record, then one of another record with the same offset.
#[test]
fn slices_of_two_timelines_are_not_joined() {
    const SIZE: usize = 2500;
    let large = |byte| Record {
        key: Arc::from("a"),
        offset: 6,
        value: Some(Bytes::from(vec![byte; SIZE])),
    };
    let (mut before, mut after) = (loaded(), loaded());
    before.apply_changes(vec![large(1)], 7);
    after.apply_listing(vec![record("a", 2, Some("new"))], at(1, 6));
    after.apply_changes(vec![large(2)], 7);
    let (mut table, mut catch_up) = (loaded(), CatchUp::default());
    assert!(step(&mut catch_up, &mut table, &before).has_more);
    let mut changed = Vec::new();
    for _ in 0..10 {
        changed.extend(step(&mut catch_up, &mut table, &after).changed);
    }
    let value = changed.pop().and_then(|record| record.value).unwrap();
    assert_eq!(value, Bytes::from(vec![2; SIZE]));
    assert_eq!(table.position(), at(1, 7));
}
