//! Offsets, retention and rate, in virtual time.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_standin::{
    prefix::PrefixCache,
    rate::TokenBucket,
    streams::{Retention, Streams},
};

fn streams(age_ms: u64, count: usize) -> Streams {
    Streams::new(Retention { age: Duration::from_millis(age_ms), count })
}

fn offsets(streams: &mut Streams, from: u64, now_ms: u64) -> (u64, u64, Vec<u64>) {
    let read = streams.read("a", from, 100, now_ms);
    (read.earliest, read.next, read.records.iter().map(|record| record.offset).collect())
}

#[test]
fn each_stream_counts_from_zero_without_gaps() {
    let mut streams = streams(1_000, 100);
    assert_eq!(streams.append("a", "x".into(), 0), 0);
    assert_eq!(streams.append("b", "x".into(), 0), 0);
    assert_eq!(streams.append("a", "x".into(), 0), 1);
    assert_eq!(offsets(&mut streams, 0, 0), (0, 2, vec![0, 1]));
    assert_eq!(offsets(&mut streams, 1, 0), (0, 2, vec![1]));
    assert_eq!(offsets(&mut streams, 2, 0), (0, 2, vec![]));
}

#[test]
fn a_read_stops_at_its_limit_and_returns_the_next_offset() {
    let mut streams = streams(1_000, 100);
    for _ in 0..5 {
        streams.append("a", "x".into(), 0);
    }
    let read = streams.read("a", 1, 2, 0);
    assert_eq!(read.next, 3);
    assert_eq!(read.records.len(), 2);
}

#[test]
fn records_expire_by_count_and_offsets_continue() {
    let mut streams = streams(1_000, 2);
    for _ in 0..5 {
        streams.append("a", "x".into(), 0);
    }
    assert_eq!(offsets(&mut streams, 0, 0), (3, 5, vec![3, 4]));
}

#[test]
fn records_expire_by_age_even_without_appends() {
    let mut streams = streams(1_000, 100);
    streams.append("a", "x".into(), 0);
    streams.append("a", "x".into(), 600);
    assert_eq!(offsets(&mut streams, 0, 1_000), (0, 2, vec![0, 1]));
    assert_eq!(offsets(&mut streams, 0, 1_001), (1, 2, vec![1]));
    assert_eq!(offsets(&mut streams, 0, 9_999), (2, 2, vec![]));
    assert_eq!(streams.append("a", "x".into(), 9_999), 2);
}

#[test]
fn expiry_on_demand_never_passes_the_end() {
    let mut streams = streams(1_000, 100);
    for _ in 0..3 {
        streams.append("a", "x".into(), 0);
    }
    streams.expire("a", 2);
    assert_eq!(offsets(&mut streams, 0, 0), (2, 3, vec![2]));
    streams.expire("a", 99);
    assert_eq!(offsets(&mut streams, 0, 0), (3, 3, vec![]));
}

#[test]
fn record_times_never_decrease() {
    let mut streams = streams(1_000, 100);
    streams.append("a", "x".into(), 500);
    streams.append("a", "x".into(), 400);
    let read = streams.read("a", 0, 100, 500);
    assert_eq!(read.records[1].time_ms, 500);
}

#[test]
fn a_rate_allows_its_burst_then_its_average() {
    let mut bucket = TokenBucket::new(10, 3);
    let mut taken = |ms| bucket.try_take(Duration::from_millis(ms));
    assert_eq!([taken(0), taken(0), taken(0), taken(0)], [true, true, true, false]);
    assert_eq!([taken(99), taken(101), taken(101)], [false, true, false]);
}

#[test]
fn the_prefix_cache_evicts_the_least_recently_used() {
    let mut cache = PrefixCache::new(2);
    assert!(!cache.touch("a"));
    assert!(!cache.touch("b"));
    assert!(cache.touch("a"));
    assert!(cache.touch("a"));
    assert!(cache.touch("b"));
    assert!(cache.touch("a"));
    assert!(!cache.touch("c"));
    assert!(cache.touch("a"));
    assert!(!cache.touch("b"));
}

#[test]
fn prompts_that_start_alike_share_a_prefix() {
    let mut cache = PrefixCache::new(2);
    let start = "s".repeat(64);
    assert!(!cache.touch(&format!("{start} one")));
    assert!(cache.touch(&format!("{start} two")));
}
