//! Compares the cost and the crash detection time of gossip with those of
//! heartbeats from all to all and around a ring.
//!
//! The simulation has virtual time and a fixed seed; messages take 0.5 to 2 ms.
//! Sizes are those of the Cap'n Proto messages, without RPC and TCP framing.
//! Processor time is real: that of the state machine, and that for encoding and
//! decoding each message.
//!
//! ```text
//! cargo run --release -p peatdeck-wire --example peer_cost [members ...]
//! ```

#![allow(clippy::unchecked_time_subtraction)]

mod gossip;
mod heartbeats;
mod network;
mod report;

use std::time::Duration;

/// Time in which the members discover each other before anything is measured.
const WARM_UP: Duration = Duration::from_secs(20);
/// Period over which the cost is measured.
const MEASURED: Duration = Duration::from_secs(60);
/// Interval of the heartbeats, as in the settings of gossip.
const TICK: Duration = Duration::from_millis(500);
/// A member that sends nothing for this long is considered dead, as in the settings
/// of gossip.
const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Numbers of members of the runs, unless arguments give others.
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
