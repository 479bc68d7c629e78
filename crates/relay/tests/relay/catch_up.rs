//! Instances that have much to learn from others.
//!
//! Operators added 1,400 routes at a time. After the second or third time some
//! instances, all behind 10 Mbit/s links, stayed on the version before for as
//! long as they ran: new routes were answered 404, old ones went where they
//! had gone before. In order: a configuration of 0.6 to 0.9 MB is published,
//! 0.5 to 0.7 s of such a link. An instance behind it asks two peers in each
//! round of gossip, one that is ahead, a reader, and the store; each answers
//! with all that is lacking. The copies share the link, none is whole when its
//! time limit of 1.5 s is over, all are thrown away, and the next round asks
//! again. Meanwhile nothing else gets through either: pings fail, peers are
//! taken for dead, the store seems lost.
//!
//! Evidence: the inbound link of each such instance was full (1.1 to 1.2 MB/s
//! of 1.25) until the end, minutes after the change; one of them was sent the
//! same document 248 times and heard it whole once; altogether 2.8 GB of
//! tables were sent and 0.1 GB heard whole. No fault is needed for it.

use peatdeck_relay::surroundings::TableName;

use crate::{
    link::SlowLink,
    standins::{MemoryStore, Relay, ScriptedEndpoint, exchange, wait_for},
};

/// Bytes of a large configuration.
const LARGE_BYTES: usize = 600_000;
/// Bytes a second of the narrow link: it needs 1.2 s for that configuration,
/// less than the time limit of an exchange, but only where it carries nothing
/// else.
const LINK_BYTES_PER_SECOND: u32 = 500_000;

/// A configuration of that version, padded.
fn large(version: u64) -> Vec<u8> {
    let mut value = vec![b' '; LARGE_BYTES];
    value.extend(version.to_string().bytes());
    value
}

#[test]
fn a_large_configuration_is_received_over_a_slow_link() {
    let shared = MemoryStore::default();
    shared.put(TableName::Config, "config", b"1".to_vec());
    shared.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
    let link = SlowLink::new(LINK_BYTES_PER_SECOND);
    let readers = ["a", "b"].map(|name| Relay::builder(name, &shared).behind_link(&link).start());
    for relay in &readers {
        wait_for("it knows its peer", || relay.counter("peatdeck.relay.peers") == 1);
    }
    let unavailable = MemoryStore::default();
    unavailable.set_unavailable(true);
    let seeds = readers.each_ref().map(|relay| relay.peers);
    let start_without_store =
        |name| Relay::builder(name, &unavailable).millicores(1).seeds(&seeds).start();
    let others = ["c", "d", "e"].map(start_without_store);
    for relay in &others {
        relay.wait_ready();
        wait_for("it knows its peers", || relay.counter("peatdeck.relay.peers") >= 2);
    }

    let before = link.carried();
    shared.put(TableName::Config, "config", large(2));
    for relay in &others {
        wait_for("version 2 is in force", || exchange(relay.front, "/since-2/x", "").status == 200);
    }
    // Once for each of the three, and once each if the others tell one another.
    let carried = link.carried() - before;
    assert!(carried < 6 * LARGE_BYTES, "{carried} bytes");
}
