//! Behaviour of the configuration reader that fuzzing does not check.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use expect_test::expect;
use peatdeck_core::{
    config_log::{Change, ConfigReader, MAX_DRAINS, MAX_EVACUATED, Verdict},
    document::Document,
    model::Incarnation,
    record::{Batch, ConfigRecord, Drain, Entry, Evacuation, Publish, Snapshot},
};

const RETENTION: Duration = Duration::from_secs(6_400);

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

fn drain(endpoint: &str, incarnation: u64) -> ConfigRecord {
    ConfigRecord::Drain(Drain {
        endpoint: Arc::from(endpoint),
        incarnation: Incarnation(incarnation),
        author: Arc::from("op"),
    })
}

fn evacuation(data_centre: &str, is_over: bool) -> ConfigRecord {
    ConfigRecord::Evacuation(Evacuation {
        data_centre: Arc::from(data_centre),
        is_over,
        author: Arc::from("op"),
    })
}

fn evacuated(reader: &ConfigReader) -> Vec<&str> {
    reader.current().unwrap().evacuated.iter().map(|known| &*known.data_centre).collect()
}

/// A reader that has read `records` to the end of the stream.
fn reader_of(records: Vec<ConfigRecord>) -> ConfigReader {
    let mut reader = ConfigReader::new();
    reader.read(&batch(0, 0, records));
    reader.read(&batch(reader.next_offset(), 0, Vec::new()));
    reader
}

#[test]
fn only_the_first_publish_for_a_base_is_accepted() {
    let reader =
        reader_of(vec![publish("a", 0), publish("b", 0), publish("a", 0), publish("c", 1)]);
    let verdicts = ["a", "b", "c", "d"].map(|id| reader.verdict(id));
    expect![[r#"
        [Some(Accepted { version: 1 }), Some(Conflict { current: 1 }), Some(Accepted { version: 2 }), None]"#]]
    .assert_eq(&format!("{verdicts:?}"));
    assert_eq!(reader.verdict("b"), Some(Verdict::Conflict { current: 1 }));
}

#[test]
fn no_version_is_in_force_before_the_end_is_read() {
    let mut reader = ConfigReader::new();
    assert_eq!(reader.read(&batch(0, 0, vec![publish("a", 0)])), Vec::new());
    assert!(reader.current().is_none());
    let changes = reader.read(&batch(1, 0, Vec::new()));
    assert!(matches!(changes[..], [Change::InForce(_, 1)]));
}

#[test]
fn an_unknown_record_is_skipped() {
    let mut reader = reader_of(vec![publish("a", 0)]);
    let foreign = Batch { next: 3, ..batch(1, 0, Vec::new()) };
    reader.read(&foreign);
    assert_eq!(reader.next_offset(), 3);
    assert!(!reader.is_gapped());
}

/// A snapshot that an operator restored.
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

/// A reader that has read `batches` to the end of a stream whose first five records have expired.
fn late_reader_of(batches: Vec<Vec<ConfigRecord>>) -> ConfigReader {
    let late = |batch| Batch { earliest: 5, ..batch };
    let mut reader = ConfigReader::new();
    reader.read(&late(Batch { next: 5, ..batch(0, 0, Vec::new()) }));
    for records in batches {
        reader.read(&late(batch(reader.next_offset(), 0, records)));
    }
    reader.read(&late(batch(reader.next_offset(), 0, Vec::new())));
    reader
}

#[test]
fn the_first_of_two_equal_restored_snapshots_is_used() {
    let at_once = late_reader_of(vec![vec![restored("a"), restored("b")]]);
    let singly = late_reader_of(vec![vec![restored("a")], vec![restored("b")]]);
    for reader in [at_once, singly] {
        assert_eq!(reader.current().unwrap().publish.as_deref(), Some("a"));
    }
}

#[test]
fn a_restored_version_names_its_restorer_until_the_next_publish() {
    let reader = late_reader_of(vec![vec![restored("a")]]);
    assert_eq!(reader.current().unwrap().restorer.as_deref(), Some("op"));
    let reader = late_reader_of(vec![vec![restored("a"), publish("b", 9)]]);
    let current = reader.current().unwrap();
    assert_eq!((current.version, &current.restorer), (10, &None));
}

#[test]
fn the_newest_incarnation_drained_is_kept_and_drains_are_bounded() {
    let reader = reader_of(vec![drain("x", 2), drain("x", 3), drain("y", 1), drain("x", 1)]);
    let current = reader.current().unwrap();
    let incarnations: Vec<_> =
        current.drains.iter().map(|d| (&*d.endpoint, d.incarnation.0)).collect();
    assert_eq!(incarnations, [("x", 3), ("y", 1)]);
    let many = (0..=MAX_DRAINS).map(|idx| drain(&format!("endpoint-{idx}"), 1)).collect();
    assert_eq!(reader_of(many).current().unwrap().drains.len(), MAX_DRAINS);
}

#[test]
fn the_first_instance_appends_the_snapshot_and_the_others_wait() {
    let reader = reader_of(vec![publish("a", 0)]);
    let due = |secs: u64, rank| reader.snapshot_due(secs * 1_000, RETENTION, rank).is_some();
    assert_eq!([due(1_599, 0), due(1_600, 0)], [false, true]);
    assert_eq!([due(1_699, 1), due(1_700, 1)], [false, true]);
    assert_eq!([due(3_199, 999), due(3_200, 999)], [false, true]);
}

#[test]
fn the_newest_evacuation_record_of_a_data_centre_applies() {
    let orders = vec![evacuation("a", false), evacuation("b", false), evacuation("a", false)];
    assert_eq!(evacuated(&reader_of(orders.clone())), ["a", "b"]);
    let back = [orders, vec![evacuation("a", true), evacuation("c", true)]].concat();
    assert_eq!(evacuated(&reader_of(back.clone())), ["b"]);
    let again = [back, vec![evacuation("a", false)]].concat();
    assert_eq!(evacuated(&reader_of(again)), ["b", "a"]);
}

/// An evacuation beyond the limit is ignored: dropping an earlier one for it would silently end
/// that evacuation.
#[test]
fn evacuations_beyond_the_limit_are_ignored() {
    let many = (0..=MAX_EVACUATED).map(|idx| evacuation(&format!("dc-{idx}"), false));
    let reader = reader_of(many.collect());
    assert_eq!(evacuated(&reader).len(), MAX_EVACUATED);
    assert_eq!(evacuated(&reader)[0], "dc-0");
}

#[test]
fn an_adopted_snapshot_includes_evacuations() {
    let known = reader_of(vec![publish("p", 0), evacuation("a", false)]);
    let mut reader = ConfigReader::new();
    let changes = reader.adopt(known.current().unwrap());
    assert!(changes.contains(&Change::Evacuated(vec!["a".into()])), "{changes:?}");
    assert_eq!(evacuated(&reader), ["a"]);
    // A later publish keeps the evacuations.
    let records = vec![publish("p", 0), evacuation("a", false), publish("q", 1)];
    assert_eq!(evacuated(&reader_of(records)), ["a"]);
}

#[test]
fn a_snapshot_of_an_earlier_version_has_no_evacuations() {
    let text = r#"{"as_of":null,"version":1,"publish":null,"document":{},"drains":[]}"#;
    let snapshot: Snapshot = serde_json::from_str(text).unwrap();
    assert!(snapshot.evacuated.is_empty());
    let again = serde_json::to_string(&snapshot).unwrap();
    assert!(!again.contains("evacuated"), "{again}");
}
