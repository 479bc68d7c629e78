//! Copies of the platform's tables.

use std::sync::Arc;

use bytes::Bytes;
use peatdeck_core::relay::{
    catch_up::CatchUp,
    position::{Position, Timeline},
    table::{Record, Table},
};

fn record(key: &str, offset: u64, value: Option<&'static str>) -> Record {
    Record { key: Arc::from(key), offset, value: value.map(Bytes::from) }
}

fn describe(records: &[Record]) -> Vec<String> {
    let name = |record: &Record| match &record.value {
        Some(value) => format!("{}={}", record.key, String::from_utf8_lossy(value)),
        None => format!("{} gone", record.key),
    };
    let mut lines: Vec<_> = records.iter().map(name).collect();
    lines.sort();
    lines
}

fn loaded() -> Table {
    let mut table = Table::default();
    table.replace(vec![record("a", 1, Some("1")), record("b", 3, Some("3"))], 4);
    table
}

/// Brings a copy up to date with another one in portions of several sizes. Returns the changes,
/// which are the same for each size.
fn sync(table: &mut Table, source: &Table) -> Vec<Record> {
    let sizes = [1, 2, 3, 1000];
    let synced = sizes.map(|size| {
        let mut copy = table.clone();
        let changed = sync_in_portions(&mut copy, source, size);
        (describe(&changed), changed, copy)
    });
    let [(first, changed, copy), rest @ ..] = synced;
    assert!(rest.iter().all(|(lines, _, copied)| *lines == first && copied.end() == copy.end()));
    *table = copy;
    changed
}

fn sync_in_portions(table: &mut Table, source: &Table, size: usize) -> Vec<Record> {
    let (mut catch_up, mut changed) = (CatchUp::default(), Vec::new());
    for _ in 0..100 {
        let synced =
            catch_up.apply(table, source.read_portion(&catch_up.next_request(table), size));
        changed.extend(synced.changed);
        if !synced.has_more {
            return changed;
        }
    }
    panic!("it never ends in portions of {size} bytes");
}

#[test]
fn an_older_record_changes_nothing() {
    let mut table = loaded();
    assert!(table.apply_changes(vec![record("b", 2, Some("2"))], 4).is_empty());
    assert_eq!(describe(&table.apply_changes(vec![record("b", 5, Some("5"))], 6)), ["b=5"]);
    assert_eq!(table.end(), 6);
}

#[test]
fn a_key_missing_from_a_complete_listing_was_removed() {
    let mut table = loaded();
    assert_eq!(describe(&table.replace(vec![record("b", 3, Some("3"))], 9)), ["a gone"]);
}

#[test]
fn a_listing_is_no_snapshot() {
    let mut table = loaded();
    table.apply_changes(vec![record("new", 10, Some("10"))], 11);
    // The listing began while the log ended at 9, so it cannot contain this record.
    let changed = table.replace(vec![record("a", 1, Some("1")), record("b", 3, Some("3"))], 9);
    assert_eq!(describe(&changed), Vec::<String>::new());
    assert_eq!(table.end(), 11);
}

/// The listing began before the copy got its latest changes, and contains a key that was removed
/// since. The removal is in the log after the end of the listing, so the copy has to continue
/// from there.
#[test]
fn after_an_outdated_listing_the_copy_continues_from_its_end() {
    let mut table = loaded();
    let mut new = Table::default();
    new.replace(vec![record("b", 3, Some("3"))], 12);
    assert_eq!(describe(&sync(&mut table, &new)), ["a gone"]);
    assert_eq!(table.end(), 12);
    table.replace(vec![record("b", 3, Some("3")), record("c", 8, Some("8"))], 9);
    assert_eq!(table.end(), 9);
    assert_eq!(describe(&table.apply_changes(vec![record("c", 10, None)], 12)), ["c gone"]);
}

#[test]
fn a_peer_fills_an_empty_table() {
    let mut table = Table::default();
    assert_eq!(describe(&sync(&mut table, &loaded())), ["a=1", "b=3"]);
    assert!(table.is_loaded());
    assert_eq!(table.end(), 4);
}

#[test]
fn a_portion_that_leaves_a_gap_is_not_applied() {
    let mut ahead = loaded();
    ahead.apply_changes(vec![record("c", 7, Some("7"))], 8);
    let mut other = loaded();
    other.apply_changes(vec![record("c", 7, Some("7")), record("d", 9, Some("9"))], 10);
    let portion = other.read_portion(&CatchUp::default().next_request(&ahead), 1000);
    let mut table = loaded();
    let synced = CatchUp::default().apply(&mut table, portion);
    assert!(synced.changed.is_empty() && !synced.is_caught_up);
    assert_eq!(table.end(), 4);
    assert_eq!(describe(&sync(&mut table, &other)), ["c=7", "d=9"]);
}

#[test]
fn removals_are_sent_to_peers() {
    let mut other = loaded();
    other.apply_changes(vec![record("a", 5, None)], 6);
    assert_eq!(describe(&sync(&mut loaded(), &other)), ["a gone"]);
}

/// Guards against instances that do not learn that an endpoint has left, since an earlier record of
/// it was written late.
#[test]
fn a_removal_is_sent_to_peers_though_the_key_was_written_again() {
    let mut other = loaded();
    other.apply_changes(vec![record("a", 5, None), record("a", 6, Some("6"))], 7);
    assert_eq!(describe(&sync(&mut loaded(), &other)), ["a gone", "a=6"]);
    assert_eq!(describe(&sync(&mut Table::default(), &other)), ["a=6", "b=3"]);
    other.apply_changes(vec![record("a", 7, None)], 8);
    assert_eq!(describe(&sync(&mut loaded(), &other)), ["a gone"]);
}

/// An instance that starts after the removal of a key has been dropped from the log has never seen
/// that key.
#[test]
fn a_removal_is_detected_in_the_listing_of_a_new_copy() {
    let mut table = loaded();
    let mut new = Table::default();
    new.replace(vec![record("b", 3, Some("3"))], 5);
    assert_eq!(describe(&sync(&mut table, &new)), ["a gone"]);
}

#[test]
fn a_removal_detected_in_a_listing_is_sent_to_peers() {
    let mut other = loaded();
    other.replace(vec![record("b", 3, Some("3"))], 5);
    assert_eq!(describe(&sync(&mut loaded(), &other)), ["a gone"]);
}

/// Guards against an overflow of the offset after the last one that exists.
#[test]
fn a_record_at_the_largest_offset_is_passed_on() {
    let mut source = Table::default();
    source.replace(vec![record("a", u64::MAX, Some("long"))], u64::MAX);
    let mut table = Table::default();
    assert_eq!(describe(&sync(&mut table, &source)), ["a=long"]);
    let mut later = Table::default();
    later.replace(vec![record("b", u64::MAX, Some("2"))], 1);
    let position = Position { timeline: Timeline(1), offset: 2 };
    let listed = vec![record("b", u64::MAX, Some("2")), record("c", 1, Some("3"))];
    later.apply_listing(listed, position);
    assert_eq!(later.end(), 2);
}
