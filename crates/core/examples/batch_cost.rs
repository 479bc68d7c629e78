//! Processor time of the batcher of a service, by the number of waiting pieces.
//!
//! A peer hands over the two pieces of one request and recalls them, while the
//! pieces of other requests wait: for endpoints that are all busy, or for free
//! result memory at endpoints that are idle. Sockets and logs are not included.
//!
//! `cargo run --release -p peatdeck-core --example batch_cost`

use std::{collections::HashMap, sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        Relay, Settings,
        allowance::RetryBudgetConfig,
        config::{Config, Limits, Pieces, Service},
        directory::{Change, Entry},
        fingerprint::Fingerprint,
        model::Piece,
    },
};
use peatdeck_util::cost::{self, Sampling};

const SAMPLING: Sampling = Sampling { cpu_time: Duration::from_millis(500), max_batch: 200 };
/// Endpoints of the service, as in a large deployment.
const ENDPOINTS: usize = 18;
/// Data centres of the endpoints.
const DATA_CENTRES: usize = 4;
/// Numbers of requests that wait during a measurement.
const WAITING: [u64; 4] = [0, 100, 500, 2000];
const SERVICE: &str = "ledger";

fn main() {
    for (label, room) in [("busy", 1 << 40), ("no room", 3_000_000)] {
        for waiting in WAITING {
            let micros = hand_over(room, waiting);
            println!("{label:8} {waiting:5} requests wait: {micros:7.1} us a hand-over");
        }
    }
}

/// Processor time of one hand-over of two pieces and its recall, in microseconds.
fn hand_over(room: u64, waiting: u64) -> f64 {
    let mut relay = relay(room);
    // Each endpoint gets a call, or as many results as fit into its result memory.
    for ticket in 0..ENDPOINTS as u64 {
        relay.on_handover(Duration::ZERO, ticket, pieces(ticket, 1_000_000));
    }
    relay.take_actions();
    for ticket in 1000..1000 + waiting {
        relay.on_handover(Duration::ZERO, ticket, pieces(ticket, 1_500_000));
    }
    relay.take_actions();
    let mut ticket = 1_000_000;
    cost::cpu_micros(SAMPLING, || {
        ticket += 1;
        relay.on_handover(Duration::ZERO, ticket, pieces(ticket, 1_500_000));
        relay.on_handover_recall(ticket);
        relay.take_actions()
    })
}

fn relay(room: u64) -> Relay {
    let retry_budget =
        RetryBudgetConfig { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
    let settings = Settings {
        name: Arc::from("own"),
        data_centre: Arc::from("dc-0"),
        retry_budget,
        min_instances: 74,
        millicores: 120,
        regions: Default::default(),
        rollout: None,
        entry_interval: Duration::from_millis(1200),
    };
    let mut relay = Relay::new(settings, 1);
    let slots = if room < 1 << 40 { 2 } else { 1 };
    let pieces = Pieces {
        slots,
        queue: 2,
        batch: 10,
        call_time: Duration::from_millis(200),
        piece_time: Duration::from_millis(17),
        room,
        lease: Duration::from_secs(4),
    };
    let service =
        Service { connections: 640, engine: None, pieces: Some(pieces), cold_interval: None };
    relay.configure(Arc::new(Config {
        version: 1,
        routes: Vec::new(),
        services: HashMap::from([(Arc::from(SERVICE), service)]),
        keys: None,
        limits: Limits { max_body: 1 << 20, idle_timeout: Duration::from_secs(15) },
    }));
    for idx in 0..ENDPOINTS {
        let entry = Entry {
            name: Arc::from(format!("endpoint-{idx}")),
            incarnation: Incarnation(1),
            number: 1,
            service: Arc::from(SERVICE),
            addr: Arc::from(format!("10.0.0.{idx}:80")),
            data_centre: Arc::from(format!("dc-{}", idx % DATA_CENTRES)),
            version: "v1".into(),
            slots: 1,
            is_leaving: false,
            cold_left: None,
        };
        relay.apply_change(Duration::ZERO, Change::Put(entry));
    }
    relay
}

/// The two pieces of one request.
fn pieces(request: u64, bytes: u64) -> Vec<Piece> {
    let piece = |number| Piece {
        service: Arc::from(SERVICE),
        region: None,
        route: Arc::from("route"),
        request: Arc::from(format!("{request:016x}")),
        stage: 0,
        number,
        key: Some(Arc::from("key")),
        inputs: Vec::new(),
        bytes,
        deadline: Duration::from_secs(600),
        target: Duration::from_secs(300) + Duration::from_millis(request % 1000),
        priority: 0,
        destination: Some(Arc::from(format!("dc-{}", request % DATA_CENTRES as u64))),
        round: 0,
        tries: 0,
        is_repeat: false,
        is_begun: false,
        is_resumed: false,
        content: Fingerprint(u128::from(request)),
        is_isolated: false,
        is_last_reader: false,
    };
    vec![piece(0), piece(1)]
}
