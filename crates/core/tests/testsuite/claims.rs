//! Behaviour of claims that fuzzing does not check: when facts are appended, and which verdicts
//! callers receive.

#![allow(clippy::unwrap_used)]

use std::{fmt::Write, sync::Arc, time::Duration};

use expect_test::expect;
use peatdeck_core::{
    claims::{Claims, Settings, UnreadyKind, Verdict},
    instance::input::Identity,
    model::{Incarnation, RequestId},
    record::{Batch, ClaimBatch, ClaimFact, Entry},
};

const HOUR_MS: u64 = 3_600_000;
const NOW_MS: u64 = 1_000 * HOUR_MS;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(id: &str) -> RequestId {
    RequestId { team: Arc::from("team"), id: Arc::from(id) }
}

fn new_claims(settings: Settings) -> Claims {
    let identity = Identity {
        name: Arc::from("a"),
        incarnation: Incarnation(1),
        data_centre: Arc::from("dc"),
    };
    Claims::new(identity, settings)
}

/// Claims that have read an empty stream to its end.
fn ready_claims() -> Claims {
    let mut claims = new_claims(Settings::default());
    claims.read(ms(0), &batch(0, 0, NOW_MS, Vec::new()));
    claims
}

fn batch(
    from: u64,
    earliest: u64,
    now_ms: u64,
    facts: Vec<(u64, &str, ClaimFact)>,
) -> Batch<ClaimBatch> {
    let entries: Vec<_> = (from.max(earliest)..)
        .zip(facts)
        .map(|(offset, (time_ms, instance, fact))| {
            let (instance, incarnation) = (Arc::from(instance), Incarnation(1));
            let record = ClaimBatch { instance, incarnation, facts: vec![fact] };
            Entry { offset, time_ms, record }
        })
        .collect();
    let next = from.max(earliest) + entries.len() as u64;
    Batch { from, earliest, next, now_ms, entries }
}

fn claim(id: &str, nonce: u64) -> ClaimFact {
    ClaimFact::Claim { key: key(id), nonce, digest: 0 }
}

fn void(id: &str, nonce: u64) -> ClaimFact {
    ClaimFact::Void { key: key(id), nonce }
}

#[test]
fn facts_are_batched_and_appended_again_until_read_back() {
    let mut claims = ready_claims();
    let mut out = String::new();
    claims.request(ms(0), key("x"), 0, 1);
    claims.request(ms(3), key("y"), 0, 2);
    let mut flush = |claims: &mut Claims, at| {
        let nonces = claims.flush(ms(at)).map(|facts| facts.len());
        writeln!(out, "{at}: {nonces:?}, wake {:?}", claims.next_wake()).unwrap();
    };
    flush(&mut claims, 4);
    flush(&mut claims, 5);
    claims.append_ended(ms(15), true);
    claims.request(ms(16), key("z"), 0, 3);
    flush(&mut claims, 30);
    flush(&mut claims, 45);
    claims.append_ended(ms(50), false);
    flush(&mut claims, 51);
    flush(&mut claims, 150);
    claims.append_ended(ms(151), true);
    claims.read(ms(160), &batch(0, 0, NOW_MS, vec![(NOW_MS, "a", claim("x", 1))]));
    flush(&mut claims, 161);
    flush(&mut claims, 2_020);
    expect![[r#"
        4: None, wake Some(5ms)
        5: Some(2), wake None
        30: None, wake Some(45ms)
        45: Some(1), wake None
        51: None, wake Some(150ms)
        150: Some(1), wake None
        161: None, wake Some(2.015s)
        2020: Some(1), wake None
    "#]]
    .assert_eq(&out);
}

#[test]
fn a_claim_that_was_not_appended_needs_no_void() {
    let mut claims = ready_claims();
    claims.request(ms(0), key("x"), 0, 1);
    claims.give_up(ms(1), &key("x"), 1);
    assert!(claims.is_flushed());
}

#[test]
fn a_new_claim_is_appended_after_the_void_of_the_previous_one() {
    let mut claims = ready_claims();
    claims.request(ms(0), key("x"), 0, 1);
    claims.flush(ms(5));
    claims.append_ended(ms(6), false);
    claims.give_up(ms(7), &key("x"), 1);
    assert_eq!(claims.request(ms(8), key("x"), 0, 2), Verdict::Waiting);
    assert_eq!(claims.flush(ms(200)), Some(vec![void("x", 1), claim("x", 2)]));
}

#[test]
fn a_claim_after_its_void_has_no_effect() {
    let mut claims = ready_claims();
    let facts = vec![(NOW_MS, "b", void("x", 1)), (NOW_MS, "b", claim("x", 1))];
    claims.read(ms(1), &batch(0, 0, NOW_MS, facts));
    assert_eq!(claims.holder(&key("x")), None);
}

#[test]
fn a_reused_key_with_another_body_is_a_mismatch() {
    let mut claims = ready_claims();
    claims.read(ms(1), &batch(0, 0, NOW_MS, vec![(NOW_MS, "b", claim("x", 1))]));
    assert_eq!(claims.request(ms(2), key("x"), 7, 2), Verdict::Mismatch);
    let Verdict::Lost(holder) = claims.request(ms(2), key("x"), 0, 3) else { panic!("not lost") };
    assert_eq!((&*holder.instance, holder.nonce), ("b", 1));
}

#[test]
fn requests_are_refused_while_the_log_fails() {
    let mut claims = ready_claims();
    claims.request(ms(0), key("x"), 0, 1);
    for at in [100, 1_000] {
        assert!(claims.flush(ms(at)).is_some());
        claims.append_ended(ms(at + 1), false);
    }
    let out = Verdict::Unready(UnreadyKind::LogUnavailable);
    assert_eq!(claims.request(ms(1_100), key("y"), 0, 2), out);
    claims.read(ms(1_200), &batch(0, 0, NOW_MS, vec![(NOW_MS, "a", claim("x", 1))]));
    assert_eq!(claims.request(ms(1_300), key("y"), 0, 3), Verdict::Waiting);
}

/// Checks what keeps a new instance from deciding claims once it has caught up. The log retains
/// records for `keep_hours`, has lost those before offset 5, and contains at most one, of
/// `first_ms`.
fn check_start(keep_hours: u64, first_ms: Option<u64>, expected: Option<UnreadyKind>) {
    let keep = ms(keep_hours * HOUR_MS);
    let mut claims =
        new_claims(Settings::default().with_horizon(ms(6 * HOUR_MS)).with_retention(keep));
    let facts: Vec<_> = first_ms.map(|at| (at, "b", claim("x", 1))).into_iter().collect();
    let next = 5 + facts.len() as u64;
    claims.read(ms(0), &batch(0, 5, NOW_MS, facts));
    assert_eq!(claims.unready(), Some(UnreadyKind::CatchingUp));
    claims.read(ms(1), &batch(next, 5, NOW_MS, Vec::new()));
    assert_eq!(claims.unready(), expected);
}

#[test]
fn an_instance_is_ready_once_no_record_within_the_horizon_can_be_missing() {
    check_start(24, None, None);
    check_start(24, Some(NOW_MS - HOUR_MS), None);
    check_start(3, None, Some(UnreadyKind::HistoryIncomplete));
    check_start(3, Some(NOW_MS - 3 * HOUR_MS), Some(UnreadyKind::HistoryIncomplete));
    check_start(3, Some(NOW_MS - 7 * HOUR_MS), None);
}

#[test]
fn expired_records_within_the_stated_retention_make_the_history_incomplete() {
    let mut claims = ready_claims();
    let soon = NOW_MS + HOUR_MS;
    claims.read(ms(1), &batch(0, 4, soon, Vec::new()));
    claims.read(ms(2), &batch(4, 4, soon, Vec::new()));
    assert_eq!(claims.unready(), Some(UnreadyKind::HistoryIncomplete));
    claims.read(ms(3), &batch(4, 4, soon + 6 * HOUR_MS, Vec::new()));
    assert_eq!(claims.unready(), None);
}

#[test]
fn claims_older_than_the_horizon_are_dropped() {
    let mut claims = ready_claims();
    for hour in 0..40 {
        let at = NOW_MS + hour * HOUR_MS;
        let fact = (at, "b", claim(&hour.to_string(), hour));
        claims.read(ms(hour * HOUR_MS), &batch(hour, 0, at, vec![fact]));
    }
    assert_eq!(claims.claim_count(), 6);
}

#[test]
fn a_repeated_read_is_not_taken_for_the_end_of_the_stream() {
    let mut claims = new_claims(Settings::default());
    let first = batch(0, 0, NOW_MS, vec![(NOW_MS, "b", claim("x", 1))]);
    claims.read(ms(0), &first);
    claims.read(ms(1), &first);
    assert!(!claims.is_caught_up());
}
