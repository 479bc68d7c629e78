//! Who is taken for alive, and what goes into a message.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    instance::input::Identity,
    membership::{
        ConfigMark, EndpointState, Envelope, Gossip, LeavingMark, LocalState, Members, Settings,
    },
    model::{Incarnation, InstanceEntry, Presence},
    record::Snapshot,
};

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn entry(name: &str) -> InstanceEntry {
    InstanceEntry {
        name: Arc::from(name),
        peer_addr: Arc::from(format!("{name}:1")),
        http_addr: Arc::from(format!("{name}:2")),
        data_centre: Arc::from("dc"),
        presence: Presence::Live,
    }
}

fn local<'a>(leaving: &'a [LeavingMark], endpoints: &'a [EndpointState]) -> LocalState<'a> {
    LocalState { mark: ConfigMark::default(), snapshot: None, ready: true, leaving, endpoints }
}

/// What is in force where that version is.
fn snapshot(version: u64) -> Snapshot {
    Snapshot {
        as_of: Some(7),
        version,
        publish: None,
        document: Arc::default(),
        drains: Vec::new(),
        evacuated: Vec::new(),
        restorer: None,
    }
}

fn member(name: &str, all: &[&str]) -> Members {
    let name = Arc::from(name);
    let identity = Identity { name, incarnation: Incarnation(1), data_centre: Arc::from("dc") };
    let mut members = Members::new(identity, Settings::default(), 1);
    let entries: Vec<_> = all.iter().map(|name| entry(name)).collect();
    members.apply_listing(secs(0), &entries);
    members
}

/// One message from `from`, which counts `in_flight` calls to an endpoint.
fn message(from: &mut Members, at: Duration, in_flight: u32) -> Envelope {
    let endpoint = Arc::from("endpoint");
    let states = [EndpointState { endpoint, in_flight, load: None }];
    from.tick(at, &local(&[], &states)).remove(0)
}

#[test]
fn a_silent_peer_is_taken_for_dead_but_not_after_a_pause_of_ones_own() {
    let (mut a, mut b) = (member("a", &["a", "b"]), member("b", &["a", "b"]));
    assert!(a.alive(secs(0)).is_empty());
    a.receive(secs(1), &message(&mut b, secs(1), 0).message, &local(&[], &[]));
    assert_eq!(a.alive(secs(1)), [Arc::from("b")]);
    // Paused for long: no time in which the peer could have been heard.
    assert_eq!(a.alive(secs(1_000)), [Arc::from("b")]);
    a.tick(secs(1_000), &local(&[], &[]));
    assert_eq!(a.alive(secs(1_000)), [Arc::from("b")]);
    for half in 2_001..2_012 {
        a.tick(Duration::from_millis(half * 500), &local(&[], &[]));
    }
    assert!(a.alive(secs(1_006)).is_empty());
}

#[test]
fn a_peer_that_cannot_be_reached_is_dead_until_it_is_heard_of() {
    let (mut a, mut b) = (member("a", &["a", "b"]), member("b", &["a", "b"]));
    a.receive(secs(1), &message(&mut b, secs(1), 0).message, &local(&[], &[]));
    for _ in 0..3 {
        a.send_failed(secs(1), &Arc::from("b"));
    }
    assert!(a.alive(secs(1)).is_empty());
    a.receive(secs(2), &message(&mut b, secs(2), 0).message, &local(&[], &[]));
    assert_eq!(a.alive(secs(2)).len(), 1);
}

#[test]
fn calls_in_flight_are_summed_and_age_out() {
    let all = ["a", "b", "c"];
    let (mut a, mut b, mut c) = (member("a", &all), member("b", &all), member("c", &all));
    let (old, new) = (message(&mut b, secs(1), 9), message(&mut b, secs(2), 3));
    let other = message(&mut c, secs(2), 4);
    for envelope in [&new, &other, &old] {
        a.receive(secs(2), &envelope.message, &local(&[], &[]));
    }
    assert_eq!(a.in_flight(secs(2), "endpoint"), 7);
    for at in [4, 6, 8] {
        let heartbeat = b.tick(secs(at), &local(&[], &[])).remove(0);
        a.receive(secs(at), &heartbeat.message, &local(&[], &[]));
    }
    assert_eq!(a.alive(secs(8)), [Arc::from("b")]);
    assert_eq!(a.in_flight(secs(8), "endpoint"), 0);
}

#[test]
fn a_message_is_bounded() {
    let names: Vec<String> = (0..400).map(|idx| format!("peer-{idx}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut a = member("a", &all);
    for name in &all {
        let mut hello = message(&mut member(name, &["a"]), secs(1), 0).message;
        hello.wants_reply = false;
        a.receive(secs(1), &hello, &local(&[], &[]));
    }
    let mark = |idx| LeavingMark {
        endpoint: Arc::from(format!("endpoint-{idx}")),
        incarnation: Incarnation(1),
    };
    let leaving: Vec<_> = (0..500).map(mark).collect();
    let state = |idx| EndpointState {
        endpoint: Arc::from(format!("endpoint-{idx}")),
        in_flight: 1,
        load: None,
    };
    let endpoints: Vec<_> = (0..500).map(state).collect();
    let envelope = a.tick(secs(2), &local(&leaving, &endpoints)).remove(0);
    let message = envelope.message;
    let sizes = (message.members.len(), message.leaving.len(), message.endpoints.len());
    assert_eq!(sizes, (64, 32, 32));
}

/// Whether `a` hands work to its only peer after having run for so long.
fn is_usable(a: &Members, run_time: Duration) -> bool {
    a.peer_statuses(run_time)[0].is_usable(run_time)
}

#[test]
fn an_instance_that_has_just_started_counts_on_peers_it_has_not_heard_of() {
    let (mut a, mut b) = (member("a", &["a", "b"]), member("b", &["a", "b"]));
    assert!(is_usable(&a, secs(1)));
    assert!(!is_usable(&a, secs(3)), "by then it would have heard of it");
    a.receive(secs(3), &message(&mut b, secs(3), 0).message, &local(&[], &[]));
    assert!(is_usable(&a, secs(3)));
}

#[test]
fn a_peer_to_which_a_message_failed_is_not_counted_on() {
    let mut a = member("a", &["a", "b"]);
    a.send_failed(secs(1), &Arc::from("b"));
    assert!(!is_usable(&a, secs(1)));
}

/// Each round asks two or three peers that are ahead. While one of them is
/// sending the document, copies from the others would only be in its way.
#[test]
fn a_document_is_asked_of_one_peer_at_a_time() {
    let all = ["a", "b", "c", "d", "e"];
    let snapshot = Arc::new(snapshot(2));
    let mark = ConfigMark { version: 2, offset: Some(7) };
    let ahead = || LocalState { mark, snapshot: Some(snapshot.clone()), ..local(&[], &[]) };
    let mut peers: Vec<_> = all[1..].iter().map(|name| member(name, &all)).collect();
    let mut a = member("a", &all);
    for peer in &mut peers {
        let hello = peer.tick(secs(1), &ahead()).remove(0);
        a.receive(secs(1), &Gossip { wants_reply: false, ..hello.message }, &local(&[], &[]));
    }
    // Nothing that they send arrives.
    let mut sent = Vec::new();
    for tenth in 10..60 {
        let now = Duration::from_millis(tenth * 100);
        for question in a.tick(now, &local(&[], &[])) {
            let peer = peers.iter_mut().find(|peer| peer.identity().name == question.to).unwrap();
            let reply = peer.receive(now, &question.message, &ahead()).unwrap();
            sent.extend(reply.message.snapshot.map(|_| now));
        }
    }
    assert!(!sent.is_empty());
    let limit = Settings::default().snapshot_timeout;
    assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= limit), "{sent:?}");
}

#[test]
fn a_document_is_asked_of_another_peer_once_one_has_failed() {
    let all = ["a", "b"];
    let snapshot = Arc::new(snapshot(2));
    let mark = ConfigMark { version: 2, offset: Some(7) };
    let ahead = LocalState { mark, snapshot: Some(snapshot), ..local(&[], &[]) };
    let (mut a, mut b) = (member("a", &all), member("b", &all));
    a.receive(secs(1), &b.tick(secs(1), &ahead).remove(0).message, &local(&[], &[]));
    let mut asks = |at: Duration| {
        let sent = a.tick(at, &local(&[], &[]));
        let asks = sent.iter().any(|envelope| envelope.message.wants_snapshot);
        a.send_failed(at, &Arc::from("b"));
        asks
    };
    assert!(asks(secs(2)) && asks(secs(3)));
}
