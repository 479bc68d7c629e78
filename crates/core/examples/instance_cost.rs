//! Memory and processor time of one instance, by the number of peers, endpoints
//! and teams.
//!
//! Creates an [`Instance`], passes it the inputs that the event loop would pass,
//! and prints the measurements. Sockets and the HTTP library are not included:
//! this is the cost of the state machine alone.
//!
//! `cargo run --release -p peatdeck-core --example instance_cost`

use std::{hint::black_box, sync::Arc, time::Duration};

use peatdeck_core::{
    claims::{self, Claims},
    document::{Document, Pipeline, Pool, PoolKind, Stage, Team},
    instance::{
        Instance,
        action::{Action, Call},
        input::{CallEvent, Identity, Input},
        plan::Plan,
        settings::Settings,
    },
    membership::{ConfigMark, EndpointState, Gossip, MemberState},
    model::{
        CallerId, EndpointEntry, Incarnation, InstanceEntry, Listing, Load, Presence, Request,
        RequestId, Text,
    },
    record::{Batch, ClaimBatch, ClaimFact, ConfigRecord, Entry, Publish},
};
use peatdeck_util::cost::{self, Sampling};

const SAMPLING: Sampling = Sampling { cpu_time: Duration::from_millis(500), max_batch: 500 };
/// Pools of the document, and stages of each of its pipelines.
const POOLS: usize = 4;
/// Pieces of text that the last stage generates.
const PIECES: u32 = 233;
/// Active requests whose memory is measured.
const ACTIVE_REQUESTS: u64 = 20_000;
/// Claims whose memory is measured.
const CLAIMS: u64 = 200_000;

fn main() {
    memory();
    compile();
    println!(
        "\n{:>6} {:>9} {:>6} {:>11} {:>11} {:>11} {:>11} {:>11}",
        "peers", "endpoints", "teams", "list_us", "gossip_us", "round_us", "request_us", "piece_us"
    );
    for (peers, endpoints, teams) in [
        (7, 30, 5),
        (7, 120, 5),
        (7, 500, 5),
        (7, 2000, 5),
        (100, 30, 5),
        (389, 30, 5),
        (389, 2000, 2800),
    ] {
        decisions(peers, endpoints, teams);
    }
}

fn memory() {
    println!("{:<40} {:>10}", "memory of one", "bytes");
    let start = cost::resident_bytes();
    let mut bench = Bench::new(0, 30, 5);
    let empty = cost::resident_bytes();
    println!("{:<40} {:>10.0}", "instance, 30 endpoints, 5 teams", empty - start);

    let input: Text = "x".repeat(2048).into();
    for idx in 0..ACTIVE_REQUESTS {
        bench.submit(idx, &input);
    }
    assert_eq!(
        u64::from(bench.instance.status().running),
        ACTIVE_REQUESTS,
        "none should be refused"
    );
    let per = (cost::resident_bytes() - empty) / ACTIVE_REQUESTS as f64;
    println!("{:<40} {per:>10.0}", "active request (input of 2 kB shared)");
    std::mem::forget(bench);

    let start = cost::resident_bytes();
    let peers = 5_000;
    let mut bench = Bench::new(0, 0, 5);
    bench.feed(Input::Listed(listing(peers, 0)));
    println!("{:<40} {:>10.0}", "listed peer", (cost::resident_bytes() - start) / peers as f64);
    std::mem::forget(bench);

    let start = cost::resident_bytes();
    let endpoints = 10_000;
    let bench = Bench::new(0, endpoints, 5);
    println!("{:<40} {:>10.0}", "endpoint", (cost::resident_bytes() - start) / endpoints as f64);
    std::mem::forget(bench);

    claims_memory();
}

fn claims_memory() {
    let start = cost::resident_bytes();
    let mut claims = Claims::new(identity(), claims::Settings::default());
    claims.read(Duration::from_secs(1), &claims_batch(0, 0));
    let before = cost::cpu_seconds();
    for idx in 0..CLAIMS / 100 {
        black_box(claims.read(Duration::from_secs(1), &claims_batch(idx, 100)));
    }
    let spent = (cost::cpu_seconds() - before) / CLAIMS as f64;
    println!(
        "{:<40} {:>10.0}",
        "claim with its outcome",
        (cost::resident_bytes() - start) / CLAIMS as f64
    );
    println!("{:<40} {:>10.2}", "  reading it, in µs (creation included)", spent * 1e6);
    std::mem::forget(claims);
}

/// A batch with one record, which has `count` claims and their outcomes.
fn claims_batch(offset: u64, count: u64) -> Batch<ClaimBatch> {
    let facts = (0..count).flat_map(|idx| {
        let nonce = offset * 100 + idx;
        let key = RequestId { team: name("team", 1), id: format!("{nonce:036}").into() };
        let claim = ClaimFact::Claim { key: key.clone(), nonce, digest: nonce };
        [claim, ClaimFact::Finished { key, nonce, answered: true }]
    });
    let record = ClaimBatch {
        instance: name("entry-dc07", (offset % 390) as usize),
        incarnation: Incarnation(1),
        facts: facts.collect(),
    };
    let entries = match count {
        0 => Vec::new(),
        _ => vec![Entry { offset, time_ms: offset, record }],
    };
    let next = offset + entries.len() as u64;
    Batch { from: offset, earliest: 0, next, now_ms: offset, entries }
}

fn compile() {
    println!("\n{:<40} {:>10}", "compile of a document", "µs");
    for teams in [5, 1000, 2800] {
        let document = Arc::new(document(teams));
        let us = cost::cpu_micros(SAMPLING, || {
            black_box(Plan::new(1, document.clone()).expect("it has no policy"));
        });
        println!("{:<40} {us:>10.1}", format!("{teams} teams"));
    }
}

fn decisions(peers: usize, endpoints: usize, teams: usize) {
    let mut bench = Bench::new(peers, endpoints, teams);
    let input: Text = "x".repeat(2048).into();
    let (request_us, piece_us) = bench.requests(&input);
    let listed = listing(peers, endpoints);
    let list_us = cost::cpu_micros(SAMPLING, || bench.feed(Input::Listed(listed.clone())));
    let mut heartbeat = 0;
    let gossip_us = cost::cpu_micros(SAMPLING, || {
        heartbeat += 1;
        let message = gossip(peers, endpoints, heartbeat);
        bench.feed(Input::Gossip(message));
    });
    let round_us = cost::cpu_micros(SAMPLING, || {
        bench.now += Duration::from_millis(500);
        bench.feed(Input::Tick);
    });
    println!(
        "{peers:>6} {endpoints:>9} {teams:>6} {list_us:>11.1} {gossip_us:>11.1} {round_us:>11.1} \
         {request_us:>11.1} {piece_us:>11.2}"
    );
}

struct Bench {
    instance: Instance,
    now: Duration,
    actions: Vec<Action>,
}

impl Bench {
    fn new(peers: usize, endpoints: usize, teams: usize) -> Bench {
        let instance = Instance::new(identity(), Settings::default(), 1);
        let mut bench = Bench { instance, now: Duration::from_secs(1), actions: Vec::new() };
        bench.feed(Input::ConfigRead(publish(teams)));
        let end = Batch { from: 1, earliest: 0, next: 1, now_ms: 0, entries: Vec::new() };
        bench.feed(Input::ConfigRead(end));
        bench.feed(Input::Listed(listing(peers, endpoints)));
        bench
    }

    /// Passes an input to the instance and reads its next wake-up, as the event loop does.
    fn feed(&mut self, input: Input) {
        self.actions = self.instance.handle(self.now, input);
        black_box(self.instance.next_wake());
    }

    fn submit(&mut self, idx: u64, input: &Text) {
        let request = Request {
            id: RequestId { team: name("team", 1), id: format!("{idx:036}").into() },
            pipeline: name("pipeline", 0),
            deadline: Duration::from_secs(12),
            idempotent: true,
            repeat: false,
            stream: true,
            input: input.clone(),
        };
        self.feed(Input::Submit { caller: CallerId(idx), request });
    }

    /// Runs requests through all stages. Returns the processor time of a request
    /// without its pieces, and of a piece, in microseconds.
    fn requests(&mut self, input: &Text) -> (f64, f64) {
        let (mut plain, mut idx) = (0.0, 0);
        for pieces in [0, PIECES] {
            let us = cost::cpu_micros(SAMPLING, || {
                idx += 1;
                self.request(idx, input, pieces);
            });
            if pieces == 0 {
                plain = us;
            } else {
                return (plain, (us - plain) / f64::from(pieces));
            }
        }
        unreachable!("the loop returns in its second round")
    }

    fn request(&mut self, idx: u64, input: &Text, pieces: u32) {
        // Without regular reads of the log, the instance would consider itself isolated.
        let next = self.instance.next_config_offset();
        let empty = Batch { from: next, earliest: 0, next, now_ms: 0, entries: Vec::new() };
        if idx.is_multiple_of(64) {
            self.feed(Input::ConfigRead(empty));
        }
        self.submit(idx, input);
        for stage in 0..POOLS {
            self.now += Duration::from_millis(2);
            let call = self.call();
            if stage + 1 == POOLS {
                self.send_pieces(&call, pieces);
            }
            let engine = stage + 1 == POOLS;
            let event = CallEvent::Reply {
                echo: call.echo.clone(),
                output: (!engine).then(|| input.clone()),
                tokens: engine.then_some(pieces),
                load: Some(load()),
            };
            self.feed(Input::Call { call: call.id, event });
        }
        let answered = self.actions.iter().any(|action| matches!(action, Action::Answer { .. }));
        assert!(answered, "the request should be answered: {:?}", self.actions);
    }

    fn send_pieces(&mut self, call: &Call, pieces: u32) {
        let text: Text = "word ".into();
        for index in 0..pieces {
            let event = CallEvent::Chunk { echo: call.echo.clone(), index, text: text.clone() };
            self.feed(Input::Call { call: call.id, event });
        }
    }

    fn call(&self) -> Call {
        let call = self.actions.iter().find_map(|action| match action {
            Action::Call(call) => Some(call.clone()),
            _ => None,
        });
        call.unwrap_or_else(|| panic!("a stage should begin: {:?}", self.actions))
    }
}

fn identity() -> Identity {
    Identity {
        name: name("entry-dc07", 9_999),
        incarnation: Incarnation(1),
        data_centre: Arc::from("dc07"),
    }
}

fn document(teams: usize) -> Document {
    let pool = |idx| Pool {
        name: name("pool", idx),
        kind: if idx + 1 == POOLS { PoolKind::Engine } else { PoolKind::Service },
        cost: 1.0,
        fenced: false,
    };
    let stage = |idx| Stage {
        name: name("stage", idx),
        pool: name("pool", idx),
        repeatable: true,
        max_tokens: None,
    };
    let pipeline = |idx| Pipeline {
        name: name("pipeline", idx),
        max_deadline_ms: 12_000,
        objective: 0.99,
        policy: None,
        stages: (0..POOLS).map(stage).collect(),
    };
    let team = |idx| Team { name: name("team", idx), weight: 1, max_running: None };
    Document {
        pools: (0..POOLS).map(pool).collect(),
        pipelines: (0..21).map(pipeline).collect(),
        teams: (0..teams).map(team).collect(),
        policies: Vec::new(),
    }
}

fn publish(teams: usize) -> Batch<ConfigRecord> {
    let publish = Publish {
        id: Arc::from("first"),
        base: 0,
        author: Arc::from("operator"),
        document: Arc::new(document(teams)),
    };
    let record = ConfigRecord::Publish(publish);
    let entries = vec![Entry { offset: 0, time_ms: 0, record }];
    Batch { from: 0, earliest: 0, next: 1, now_ms: 0, entries }
}

fn listing(peers: usize, endpoints: usize) -> Listing {
    let instance = |idx| InstanceEntry {
        name: name("entry-dc07", idx),
        peer_addr: Arc::from("10.7.0.1:7400"),
        http_addr: Arc::from("10.7.0.1:7480"),
        data_centre: Arc::from("dc07"),
        presence: Presence::Live,
    };
    let endpoint = |idx| EndpointEntry {
        name: name("engine-dc07", idx),
        pool: name("pool", idx % POOLS),
        addr: Arc::from("10.7.0.1:9000"),
        data_centre: Arc::from("dc07"),
        incarnation: Incarnation(1),
        presence: Presence::Live,
        software: Arc::default(),
    };
    Listing {
        instances: (0..peers).map(instance).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
    }
}

/// A gossip message of a peer, as large as the default limits allow.
fn gossip(peers: usize, endpoints: usize, heartbeat: u64) -> Gossip {
    let member = |idx| MemberState {
        name: name("entry-dc07", idx),
        incarnation: Incarnation(1),
        heartbeat,
        version: 1,
        ready: true,
    };
    let endpoint = |idx| EndpointState {
        endpoint: name("engine-dc07", idx),
        in_flight: 3,
        load: Some(load()),
    };
    Gossip {
        from: name("entry-dc07", 0),
        wants_reply: true,
        mark: ConfigMark { version: 1, offset: Some(0) },
        snapshot: None,
        wants_snapshot: false,
        members: (0..peers.min(64)).map(member).collect(),
        leaving: Vec::new(),
        endpoints: (0..endpoints.min(32)).map(endpoint).collect(),
    }
}

fn load() -> Load {
    Load { running: 3, queued: 0, places: 16, age_ms: 100 }
}

fn name(kind: &str, idx: usize) -> Arc<str> {
    Arc::from(format!("{kind}-{idx:04}"))
}
