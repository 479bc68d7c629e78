//! Copies of the platform's tables.

use std::sync::Arc;

use bytes::Bytes;
use peatdeck_core::relay::table::{Record, Table};

fn record(key: &str, offset: u64, value: Option<&'static str>) -> Record {
    Record { key: Arc::from(key), offset, value: value.map(Bytes::from) }
}

fn keys(records: &[Record]) -> Vec<String> {
    let name = |record: &Record| match &record.value {
        Some(value) => format!("{}={}", record.key, String::from_utf8_lossy(value)),
        None => format!("{} gone", record.key),
    };
    let mut keys: Vec<_> = records.iter().map(name).collect();
    keys.sort();
    keys
}

fn known() -> Table {
    let mut table = Table::default();
    table.replace(vec![record("a", 1, Some("1")), record("b", 3, Some("3"))], 4);
    table
}

#[test]
fn an_older_record_changes_nothing() {
    let mut table = known();
    assert!(table.follow(vec![record("b", 2, Some("2"))], 4).is_empty());
    assert_eq!(keys(&table.follow(vec![record("b", 5, Some("5"))], 6)), ["b=5"]);
    assert_eq!(table.end(), 6);
}

#[test]
fn a_key_that_a_whole_reading_lacks_was_removed() {
    let mut table = known();
    assert_eq!(keys(&table.replace(vec![record("b", 3, Some("3"))], 9)), ["a gone"]);
}

#[test]
fn pages_are_no_snapshot() {
    let mut table = known();
    table.follow(vec![record("new", 10, Some("10"))], 11);
    // The pages began while the log ended at 9, so they cannot hold this one.
    let changed = table.replace(vec![record("a", 1, Some("1")), record("b", 3, Some("3"))], 9);
    assert_eq!(keys(&changed), Vec::<String>::new());
    assert_eq!(table.end(), 11);
}

#[test]
fn a_peer_fills_a_table_that_was_never_read() {
    let mut table = Table::default();
    assert_eq!(keys(&table.merge(known().delta(0))), ["a=1", "b=3"]);
    assert!(table.is_known());
    assert_eq!(table.end(), 4);
}

#[test]
fn what_leaves_a_gap_is_not_taken_in() {
    let mut other = known();
    other.follow(vec![record("c", 7, Some("7"))], 8);
    let mut table = known();
    assert!(table.merge(other.delta(6)).is_empty());
    assert_eq!(table.end(), 4);
    assert_eq!(keys(&table.merge(other.delta(4))), ["c=7"]);
}

#[test]
fn removals_reach_peers() {
    let mut other = known();
    other.follow(vec![record("a", 5, None)], 6);
    assert_eq!(keys(&known().merge(other.delta(4))), ["a gone"]);
}

/// An instance that starts after a key was removed, and after the log that
/// said so was dropped, has never seen that key.
#[test]
fn a_removal_is_found_in_what_a_new_copy_tells() {
    let mut table = known();
    let mut new = Table::default();
    new.replace(vec![record("b", 3, Some("3"))], 5);
    assert_eq!(keys(&table.merge(new.delta(4))), ["a gone"]);
}

#[test]
fn a_removal_that_was_found_missing_reaches_peers() {
    let mut other = known();
    other.replace(vec![record("b", 3, Some("3"))], 5);
    assert_eq!(keys(&known().merge(other.delta(4))), ["a gone"]);
}
