//! Copies of the platform's tables.

use std::sync::Arc;

use bytes::Bytes;
use peatdeck_core::relay::{
    catch_up::CatchUp,
    table::{Record, Table},
};

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

/// Has a copy learn all that another one has, in portions of every size.
/// Returns what changed, which is the same for each.
fn learn(table: &mut Table, teller: &Table) -> Vec<Record> {
    let sizes = [1, 2, 3, 1000];
    let learned = sizes.map(|size| {
        let mut copy = table.clone();
        let changed = learn_in(&mut copy, teller, size);
        (keys(&changed), changed, copy)
    });
    let [(first, changed, copy), rest @ ..] = learned;
    assert!(rest.iter().all(|(keys, _, copied)| *keys == first && copied.end() == copy.end()));
    *table = copy;
    changed
}

fn learn_in(table: &mut Table, teller: &Table, size: usize) -> Vec<Record> {
    let (mut catch_up, mut changed) = (CatchUp::default(), Vec::new());
    for _ in 0..100 {
        let learned =
            catch_up.apply(table, teller.read_portion(&catch_up.next_request(table), size));
        changed.extend(learned.changed);
        if !learned.has_more {
            return changed;
        }
    }
    panic!("it never ends in portions of {size} bytes");
}

#[test]
fn an_older_record_changes_nothing() {
    let mut table = known();
    assert!(table.apply_changes(vec![record("b", 2, Some("2"))], 4).is_empty());
    assert_eq!(keys(&table.apply_changes(vec![record("b", 5, Some("5"))], 6)), ["b=5"]);
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
    table.apply_changes(vec![record("new", 10, Some("10"))], 11);
    // The pages began while the log ended at 9, so they cannot hold this one.
    let changed = table.replace(vec![record("a", 1, Some("1")), record("b", 3, Some("3"))], 9);
    assert_eq!(keys(&changed), Vec::<String>::new());
    assert_eq!(table.end(), 11);
}

/// The reading began before what the copy learned meanwhile, and one of its
/// pages has a key that was removed since. The removal is in the log behind the
/// reading's end, so that is where the copy has to go on.
#[test]
fn a_reading_that_was_overtaken_goes_on_from_its_own_end() {
    let mut table = known();
    let mut new = Table::default();
    new.replace(vec![record("b", 3, Some("3"))], 12);
    assert_eq!(keys(&learn(&mut table, &new)), ["a gone"]);
    assert_eq!(table.end(), 12);
    table.replace(vec![record("b", 3, Some("3")), record("c", 8, Some("8"))], 9);
    assert_eq!(table.end(), 9);
    assert_eq!(keys(&table.apply_changes(vec![record("c", 10, None)], 12)), ["c gone"]);
}

#[test]
fn a_peer_fills_a_table_that_was_never_read() {
    let mut table = Table::default();
    assert_eq!(keys(&learn(&mut table, &known())), ["a=1", "b=3"]);
    assert!(table.is_loaded());
    assert_eq!(table.end(), 4);
}

#[test]
fn what_leaves_a_gap_is_not_taken_in() {
    let mut ahead = known();
    ahead.apply_changes(vec![record("c", 7, Some("7"))], 8);
    let mut other = known();
    other.apply_changes(vec![record("c", 7, Some("7")), record("d", 9, Some("9"))], 10);
    let portion = other.read_portion(&CatchUp::default().next_request(&ahead), 1000);
    let mut table = known();
    let learned = CatchUp::default().apply(&mut table, portion);
    assert!(learned.changed.is_empty() && !learned.is_caught_up);
    assert_eq!(table.end(), 4);
    assert_eq!(keys(&learn(&mut table, &other)), ["c=7", "d=9"]);
}

#[test]
fn removals_reach_peers() {
    let mut other = known();
    other.apply_changes(vec![record("a", 5, None)], 6);
    assert_eq!(keys(&learn(&mut known(), &other)), ["a gone"]);
}

/// An instance that starts after a key was removed, and after the log that
/// said so was dropped, has never seen that key.
#[test]
fn a_removal_is_found_in_what_a_new_copy_tells() {
    let mut table = known();
    let mut new = Table::default();
    new.replace(vec![record("b", 3, Some("3"))], 5);
    assert_eq!(keys(&learn(&mut table, &new)), ["a gone"]);
}

#[test]
fn a_removal_that_was_found_missing_reaches_peers() {
    let mut other = known();
    other.replace(vec![record("b", 3, Some("3"))], 5);
    assert_eq!(keys(&learn(&mut known(), &other)), ["a gone"]);
}
