//! Instances behind slow links that lack a large part of a table.
//!
//! Guards against instances that never receive a large configuration and keep the previous
//! version: they answer 404 for new routes and use the old targets of others. It happened
//! without any other fault when operators added 1,400 routes at a time, after the second or
//! third time, at instances behind 10 Mbit/s links. A configuration of 0.6 to 0.9 MB takes 0.5
//! to 0.7 s on such a link. In each gossip round an instance requested it from two peers, a peer
//! that was ahead, a reader and the store, and each sent everything that was missing. The copies
//! shared the link, none was complete within its time limit of 1.5 s, all were discarded, and
//! the next round began again. Pings failed too, so peers were considered dead and the store
//! unavailable.
//!
//! The inbound link of each such instance was full (1.1 to 1.2 MB/s of 1.25) for minutes after
//! the change. One instance was sent the same document 248 times and received it completely
//! once; in total 2.8 GB of tables were sent and 0.1 GB received completely.

use peatdeck_relay::surroundings::TableName;

use crate::{
    link::SlowLink,
    standins::{MemoryStore, Relay, ScriptedEndpoint, exchange, wait_for},
};

/// Size of a large configuration.
const LARGE_BYTES: usize = 600_000;
/// Data rate of the slow link. It transfers that configuration in 1.2 s, which is less than the
/// time limit of one transfer, but only if it carries nothing else.
const LINK_BYTES_PER_SECOND: u32 = 500_000;

/// A configuration of this version, padded with blanks.
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
        wait_for("the instance has found its peer", || relay.counter("peatdeck.relay.peers") == 1);
    }
    let unavailable = MemoryStore::default();
    unavailable.set_unavailable(true);
    let seeds = readers.each_ref().map(|relay| relay.peers);
    let start_without_store =
        |name| Relay::builder(name, &unavailable).millicores(1).seeds(&seeds).start();
    let others = ["c", "d", "e"].map(start_without_store);
    for relay in &others {
        relay.wait_ready();
        wait_for("the instance has found its peers", || relay.counter("peatdeck.relay.peers") >= 2);
    }

    let before = link.carried();
    shared.put(TableName::Config, "config", large(2));
    for relay in &others {
        wait_for("version 2 is in force", || exchange(relay.front, "/since-2/x", "").status == 200);
    }
    // One copy for each of the three, and one more each if they send it to one another.
    let carried = link.carried() - before;
    assert!(carried < 6 * LARGE_BYTES, "{carried} bytes");
}
