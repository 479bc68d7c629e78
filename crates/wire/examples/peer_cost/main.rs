//! What gossip costs an instance, and how soon it shows a death, beside
//! heartbeats from all to all and around a ring.
//!
//! Virtual time and a fixed seed; messages take 0.5 to 2 ms. Bytes are those of
//! the Cap'n Proto messages, without RPC and TCP framing. Processor time is
//! real: the state machine's, and writing and reading each message.
//!
//! ```text
//! cargo run --release -p peatdeck-wire --example peer_cost [members ...]
//! ```

mod gossip;
mod heartbeats;
mod network;
mod report;

use std::time::Duration;

/// Time for all to meet before anything is measured.
const WARM_UP: Duration = Duration::from_secs(20);
/// Time over which the cost is measured.
const MEASURED: Duration = Duration::from_secs(60);
/// Time between two heartbeats, as in the gossip's settings.
const TICK: Duration = Duration::from_millis(500);
/// A member is taken for dead after this silence, as in the gossip's settings.
const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Members in the runs, unless arguments name others.
const MEMBERS: [usize; 7] = [4, 8, 16, 32, 64, 128, 390];

fn main() {
    let mut members: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    if members.is_empty() {
        members = MEMBERS.to_vec();
    }
    println!("{}", report::HEADER);
    for &count in &members {
        println!("{}", report::row(count, "gossip, liveness only", &gossip::run(count, 0)));
        println!("{}", report::row(count, "gossip, 60 endpoints", &gossip::run(count, 60)));
        println!("{}", report::row(count, "all to all", &heartbeats::all_to_all(count)));
        println!("{}", report::row(count, "ring", &heartbeats::ring(count)));
    }
}
