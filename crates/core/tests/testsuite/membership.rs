//! Which peers are considered alive, and what a gossip message contains.

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

/// A snapshot with `version` in force.
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

/// A message of `from`, which has `in_flight` calls to the endpoint.
fn message(from: &mut Members, at: Duration, in_flight: u32) -> Envelope {
    let endpoint = Arc::from("endpoint");
    let states = [EndpointState { endpoint, in_flight, load: None }];
    from.tick(at, &local(&[], &states)).remove(0)
}

#[test]
fn a_silent_peer_is_considered_dead_but_not_because_of_a_pause_of_the_local_process() {
    let (mut a, mut b) = (member("a", &["a", "b"]), member("b", &["a", "b"]));
    assert!(a.alive(secs(0)).is_empty());
    a.receive(secs(1), &message(&mut b, secs(1), 0).message, &local(&[], &[]));
    assert_eq!(a.alive(secs(1)), [Arc::from("b")]);
    // The process was paused, so it could not have received anything from the peer.
    assert_eq!(a.alive(secs(1_000)), [Arc::from("b")]);
    a.tick(secs(1_000), &local(&[], &[]));
    assert_eq!(a.alive(secs(1_000)), [Arc::from("b")]);
    for half in 2_001..2_012 {
        a.tick(Duration::from_millis(half * 500), &local(&[], &[]));
    }
    assert!(a.alive(secs(1_006)).is_empty());
}

#[test]
fn an_unreachable_peer_is_considered_dead_until_a_message_of_it_arrives() {
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
fn calls_in_flight_of_peers_are_summed_and_expire() {
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
        let mut greeting = message(&mut member(name, &["a"]), secs(1), 0).message;
        greeting.wants_reply = false;
        a.receive(secs(1), &greeting, &local(&[], &[]));
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

/// Whether `a` considers its only peer usable once it has run for `run_time`.
fn is_usable(a: &Members, run_time: Duration) -> bool {
    a.peer_statuses(run_time)[0].is_usable(run_time)
}

#[test]
fn a_new_instance_considers_peers_usable_before_their_first_message() {
    let (mut a, mut b) = (member("a", &["a", "b"]), member("b", &["a", "b"]));
    assert!(is_usable(&a, secs(1)));
    assert!(!is_usable(&a, secs(3)), "its first message would have arrived by then");
    a.receive(secs(3), &message(&mut b, secs(3), 0).message, &local(&[], &[]));
    assert!(is_usable(&a, secs(3)));
}

#[test]
fn a_new_instance_considers_a_peer_unusable_after_a_failed_message() {
    let mut a = member("a", &["a", "b"]);
    a.send_failed(secs(1), &Arc::from("b"));
    assert!(!is_usable(&a, secs(1)));
}

/// Each round of gossip reaches two or three peers with a newer version. If all of them sent the
/// document, the copies would compete for bandwidth.
#[test]
fn a_document_is_requested_from_one_peer_at_a_time() {
    let all = ["a", "b", "c", "d", "e"];
    let snapshot = Arc::new(snapshot(2));
    let mark = ConfigMark { version: 2, offset: Some(7) };
    let ahead = || LocalState { mark, snapshot: Some(snapshot.clone()), ..local(&[], &[]) };
    let mut peers: Vec<_> = all[1..].iter().map(|name| member(name, &all)).collect();
    let mut a = member("a", &all);
    for peer in &mut peers {
        let greeting = peer.tick(secs(1), &ahead()).remove(0);
        a.receive(secs(1), &Gossip { wants_reply: false, ..greeting.message }, &local(&[], &[]));
    }
    // Replies of the peers are lost.
    let mut sent = Vec::new();
    for tenth in 10..60 {
        let now = Duration::from_millis(tenth * 100);
        for request in a.tick(now, &local(&[], &[])) {
            let peer = peers.iter_mut().find(|peer| peer.identity().name == request.to).unwrap();
            let reply = peer.receive(now, &request.message, &ahead()).unwrap();
            sent.extend(reply.message.snapshot.map(|_| now));
        }
    }
    assert!(!sent.is_empty());
    let limit = Settings::default().snapshot_timeout;
    assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= limit), "{sent:?}");
}

#[test]
fn a_document_is_requested_again_once_a_message_has_failed() {
    let all = ["a", "b"];
    let snapshot = Arc::new(snapshot(2));
    let mark = ConfigMark { version: 2, offset: Some(7) };
    let ahead = LocalState { mark, snapshot: Some(snapshot), ..local(&[], &[]) };
    let (mut a, mut b) = (member("a", &all), member("b", &all));
    a.receive(secs(1), &b.tick(secs(1), &ahead).remove(0).message, &local(&[], &[]));
    let mut requests_snapshot = |at: Duration| {
        let sent = a.tick(at, &local(&[], &[]));
        let requests_snapshot = sent.iter().any(|envelope| envelope.message.wants_snapshot);
        a.send_failed(at, &Arc::from("b"));
        requests_snapshot
    };
    assert!(requests_snapshot(secs(2)) && requests_snapshot(secs(3)));
}
