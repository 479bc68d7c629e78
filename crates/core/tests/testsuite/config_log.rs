//! What fuzzing does not judge of the configuration fold.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use expect_test::expect;
use peatdeck_core::{
    config_log::{Change, ConfigReader, MAX_DRAINS, MAX_EVACUATED, Verdict},
    document::Document,
    model::Incarnation,
    record::{Batch, ConfigRecord, Drain, Entry, Evacuation, Publish, Snapshot},
};

const KEEP: Duration = Duration::from_secs(6_400);

fn batch(from: u64, now_ms: u64, records: Vec<ConfigRecord>) -> Batch<ConfigRecord> {
    let entry = |(offset, record)| Entry { offset, time_ms: now_ms, record };
    let entries: Vec<_> = (from..).zip(records).map(entry).collect();
    let next = from + entries.len() as u64;
    Batch { from, earliest: 0, next, now_ms, entries }
}

fn publish(id: &str, base: u64) -> ConfigRecord {
    let document = Arc::new(Document::default());
    ConfigRecord::Publish(Publish { id: Arc::from(id), base, author: Arc::from("op"), document })
}

fn drain(endpoint: &str, life: u64) -> ConfigRecord {
    ConfigRecord::Drain(Drain {
        endpoint: Arc::from(endpoint),
        incarnation: Incarnation(life),
        author: Arc::from("op"),
    })
}

/// A fold that has read records to the end.
fn evacuation(data_centre: &str, is_over: bool) -> ConfigRecord {
    ConfigRecord::Evacuation(Evacuation {
        data_centre: Arc::from(data_centre),
        is_over,
        author: Arc::from("op"),
    })
}

fn evacuated(fold: &ConfigReader) -> Vec<&str> {
    fold.current().unwrap().evacuated.iter().map(|known| &*known.data_centre).collect()
}

fn fold_of(records: Vec<ConfigRecord>) -> ConfigReader {
    let mut fold = ConfigReader::new();
    fold.read(&batch(0, 0, records));
    fold.read(&batch(fold.next_offset(), 0, Vec::new()));
    fold
}

#[test]
fn one_publish_a_base_is_accepted() {
    let fold = fold_of(vec![publish("a", 0), publish("b", 0), publish("a", 0), publish("c", 1)]);
    let verdicts = ["a", "b", "c", "d"].map(|id| fold.verdict(id));
    expect![[r#"
        [Some(Accepted { version: 1 }), Some(Conflict { current: 1 }), Some(Accepted { version: 2 }), None]"#]]
    .assert_eq(&format!("{verdicts:?}"));
    assert_eq!(fold.verdict("b"), Some(Verdict::Conflict { current: 1 }));
}

#[test]
fn nothing_is_in_force_before_the_end_is_reached() {
    let mut fold = ConfigReader::new();
    assert_eq!(fold.read(&batch(0, 0, vec![publish("a", 0)])), Vec::new());
    assert!(fold.current().is_none());
    let changes = fold.read(&batch(1, 0, Vec::new()));
    assert!(matches!(changes[..], [Change::InForce(_, 1)]));
}

#[test]
fn a_foreign_record_is_passed_over() {
    let mut fold = fold_of(vec![publish("a", 0)]);
    let foreign = Batch { next: 3, ..batch(1, 0, Vec::new()) };
    fold.read(&foreign);
    assert_eq!(fold.next_offset(), 3);
    assert!(!fold.is_gapped());
}

/// The state that an operator restored, as the log's only record.
fn restored(id: &str) -> ConfigRecord {
    ConfigRecord::Snapshot(Snapshot {
        as_of: Some(4),
        version: 9,
        publish: Some(Arc::from(id)),
        document: Arc::default(),
        drains: Vec::new(),
        evacuated: Vec::new(),
        restorer: Some(Arc::from("op")),
    })
}

/// A fold that has read to the end, after five records that have expired.
fn late_fold_of(batches: Vec<Vec<ConfigRecord>>) -> ConfigReader {
    let late = |batch| Batch { earliest: 5, ..batch };
    let mut fold = ConfigReader::new();
    fold.read(&late(Batch { next: 5, ..batch(0, 0, Vec::new()) }));
    for records in batches {
        fold.read(&late(batch(fold.next_offset(), 0, records)));
    }
    fold.read(&late(batch(fold.next_offset(), 0, Vec::new())));
    fold
}

#[test]
fn of_equal_states_to_start_from_the_first_counts() {
    let at_once = late_fold_of(vec![vec![restored("a"), restored("b")]]);
    let singly = late_fold_of(vec![vec![restored("a")], vec![restored("b")]]);
    for fold in [at_once, singly] {
        assert_eq!(fold.current().unwrap().publish.as_deref(), Some("a"));
    }
}

#[test]
fn a_restored_version_names_its_restorer_until_the_next_publish() {
    let fold = late_fold_of(vec![vec![restored("a")]]);
    assert_eq!(fold.current().unwrap().restorer.as_deref(), Some("op"));
    let fold = late_fold_of(vec![vec![restored("a"), publish("b", 9)]]);
    let current = fold.current().unwrap();
    assert_eq!((current.version, &current.restorer), (10, &None));
}

#[test]
fn a_drain_holds_for_the_newest_life_and_drains_are_bounded() {
    let fold = fold_of(vec![drain("x", 2), drain("x", 3), drain("y", 1), drain("x", 1)]);
    let current = fold.current().unwrap();
    let lives: Vec<_> = current.drains.iter().map(|d| (&*d.endpoint, d.incarnation.0)).collect();
    assert_eq!(lives, [("x", 3), ("y", 1)]);
    let many = (0..=MAX_DRAINS).map(|idx| drain(&format!("endpoint-{idx}"), 1)).collect();
    assert_eq!(fold_of(many).current().unwrap().drains.len(), MAX_DRAINS);
}

#[test]
fn the_first_instance_appends_the_snapshot_and_the_others_wait() {
    let fold = fold_of(vec![publish("a", 0)]);
    let due = |secs: u64, rank| fold.snapshot_due(secs * 1_000, KEEP, rank).is_some();
    assert_eq!([due(1_599, 0), due(1_600, 0)], [false, true]);
    assert_eq!([due(1_699, 1), due(1_700, 1)], [false, true]);
    assert_eq!([due(3_199, 999), due(3_200, 999)], [false, true]);
}

#[test]
fn the_newest_order_for_a_data_centre_counts() {
    let orders = vec![evacuation("a", false), evacuation("b", false), evacuation("a", false)];
    assert_eq!(evacuated(&fold_of(orders.clone())), ["a", "b"]);
    let back = [orders, vec![evacuation("a", true), evacuation("c", true)]].concat();
    assert_eq!(evacuated(&fold_of(back.clone())), ["b"]);
    let again = [back, vec![evacuation("a", false)]].concat();
    assert_eq!(evacuated(&fold_of(again)), ["b", "a"]);
}

/// One too many is not taken in: an order that gave way would be undone unsaid.
#[test]
fn evacuations_are_bounded_and_none_gives_way() {
    let many = (0..=MAX_EVACUATED).map(|idx| evacuation(&format!("dc-{idx}"), false));
    let fold = fold_of(many.collect());
    assert_eq!(evacuated(&fold).len(), MAX_EVACUATED);
    assert_eq!(evacuated(&fold)[0], "dc-0");
}

#[test]
fn a_snapshot_carries_evacuations_to_whoever_starts_from_it() {
    let known = fold_of(vec![publish("p", 0), evacuation("a", false)]);
    let mut fold = ConfigReader::new();
    let changes = fold.adopt(known.current().unwrap());
    assert!(changes.contains(&Change::Evacuated(vec!["a".into()])), "{changes:?}");
    assert_eq!(evacuated(&fold), ["a"]);
    // A publish behind it changes nothing of that.
    let records = vec![publish("p", 0), evacuation("a", false), publish("q", 1)];
    assert_eq!(evacuated(&fold_of(records)), ["a"]);
}

#[test]
fn a_record_of_a_build_before_knows_no_evacuations() {
    let text = r#"{"as_of":null,"version":1,"publish":null,"document":{},"drains":[]}"#;
    let snapshot: Snapshot = serde_json::from_str(text).unwrap();
    assert!(snapshot.evacuated.is_empty());
    let again = serde_json::to_string(&snapshot).unwrap();
    assert!(!again.contains("evacuated"), "{again}");
}
