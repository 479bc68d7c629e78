//! Size and CPU time of one gossip message, by its content.
//!
//! Prints one line per kind of content: the size in bytes, and the CPU time to
//! encode it as Cap'n Proto and to decode it. The CPU time of the process is
//! read from `/proc/self/stat`, over enough rounds that its resolution of 10 ms
//! is at most 1 % of the total.
//!
//! `cargo run --release -p peatdeck-wire --example gossip_cost`

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    membership::{ConfigMark, EndpointState, Gossip, LeavingMark, MemberState},
    model::{Incarnation, Load},
};
use peatdeck_util::cost::{self, Sampling};
use peatdeck_wire::{peer, peer_capnp};

/// For how long each figure is measured.
const SAMPLING: Sampling = Sampling { cpu_time: Duration::from_secs(1), max_batch: 500 };

fn main() {
    println!("{:<24} {:>8} {:>10} {:>10}", "content", "bytes", "write_us", "read_us");
    report("empty", &message(0, 0, 0));
    for count in [10, 100, 390] {
        report(&format!("members {count}"), &message(count, 0, 0));
    }
    for count in [10, 100, 390] {
        report(&format!("leaving {count}"), &message(0, count, 0));
    }
    for count in [10, 100, 500, 2000] {
        report(&format!("endpoints {count}"), &message(0, 0, count));
    }
}

fn report(name: &str, gossip: &Gossip) {
    let bytes = write(gossip);
    let write_us = cost::cpu_micros(SAMPLING, || write(gossip).len());
    let read_us = cost::cpu_micros(SAMPLING, || read(&bytes).members.len());
    println!("{name:<24} {:>8} {write_us:>10.2} {read_us:>10.2}", bytes.len());
}

fn message(members: usize, leaving: usize, endpoints: usize) -> Gossip {
    Gossip {
        from: name("entry", 1),
        wants_reply: true,
        mark: ConfigMark { version: 100, offset: Some(1000) },
        snapshot: None,
        wants_snapshot: false,
        members: (0..members).map(member).collect(),
        leaving: (0..leaving).map(mark).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
    }
}

fn member(idx: usize) -> MemberState {
    MemberState {
        name: name("entry", idx),
        incarnation: Incarnation(1_700_000_000_000),
        heartbeat: 86_400,
        version: 100,
        ready: true,
    }
}

fn mark(idx: usize) -> LeavingMark {
    LeavingMark { endpoint: name("engine", idx), incarnation: Incarnation(1_700_000_000_000) }
}

fn endpoint(idx: usize) -> EndpointState {
    let load = Load { running: 12, queued: 3, places: 16, age_ms: 900 };
    EndpointState { endpoint: name("engine", idx), in_flight: 4, load: Some(load) }
}

/// A name of typical length, 14 to 16 bytes.
fn name(kind: &str, idx: usize) -> Arc<str> {
    Arc::from(format!("{kind}-dc07-{idx:03}"))
}

fn write(gossip: &Gossip) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    peer::write_gossip(gossip, message.init_root::<peer_capnp::gossip::Builder<'_>>())
        .expect("the message can be encoded");
    capnp::serialize::write_message_to_words(&message)
}

fn read(bytes: &[u8]) -> Gossip {
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize::read_message(bytes, options).expect("the message is valid");
    let root = message.get_root().expect("the message has a root");
    peer::read_gossip(root).expect("the message is valid")
}
