//! Bytes and processor time of the log's records, by their content.
//!
//! Prints, for documents of several sizes, the bytes of a publish as JSON, the
//! bytes of the same publish inside an append (JSON within JSON), the processor
//! time to write and to parse it, and the memory of a parsed document; then the
//! same for claim facts and the platform's list, without memory. Processor time
//! and resident memory are read from `/proc/self`.
//!
//! `cargo run --release -p peatdeck-core --example record_cost`
//!
//! With a number of teams as argument, it writes the publish of a document with
//! that many teams to standard output instead, so that its compressed size can
//! be measured:
//! `… --example record_cost -- 2800 | gzip -6 | wc -c`

use std::{env, sync::Arc, time::Duration};

use peatdeck_core::{
    document::{Document, Pipeline, Policy, Pool, PoolKind, Stage, Team},
    model::{EndpointEntry, Incarnation, InstanceEntry, Listing, Presence, RequestId},
    record::{ClaimBatch, ClaimFact, ConfigRecord, Publish},
};
use peatdeck_util::cost::{self, Sampling};

const SAMPLING: Sampling = Sampling { cpu_time: Duration::from_secs(1), max_batch: 20_000 };
/// Number of copies of a document whose memory is measured together.
const COPIES: usize = 50;
/// A policy script of typical length.
const SCRIPT: &str = "fn admit(request) {\n    if request.estimate_ms > \
     request.deadline_ms * 0.9 { refuse(\"infeasible\") } else { accept() }\n}\n\
     fn order(request) { request.deadline_ms - request.estimate_ms }\n";

fn main() {
    if let Some(teams) = env::args().nth(1) {
        let teams = teams.parse().expect("the argument is a number of teams");
        println!("{}", json(&publish(21, teams)));
        return;
    }
    documents();
    claims();
    lists();
}

fn documents() {
    println!(
        "{:<28} {:>9} {:>9} {:>9} {:>9} {:>10}",
        "publish", "bytes", "append", "write_us", "parse_us", "memory"
    );
    let sizes = [(0, 0), (5, 5), (21, 5), (21, 100), (21, 1000), (21, 2800)];
    // Memory is measured first: values would reuse memory that other measurements have
    // freed, and resident memory would not grow.
    let texts = sizes.map(|(pipelines, teams)| json(&publish(pipelines, teams)));
    let memory = texts.each_ref().map(|text| memory(|| parse(text)));
    for ((pipelines, teams), memory) in sizes.into_iter().zip(memory) {
        let record = publish(pipelines, teams);
        let text = json(&record);
        let append = serde_json::to_string(&text).expect("a string is JSON");
        let write_us = cost::cpu_micros(SAMPLING, || json(&record).len());
        let parse_us = cost::cpu_micros(SAMPLING, || match parse(&text) {
            ConfigRecord::Publish(publish) => publish.document.teams.len(),
            _ => 0,
        });
        println!(
            "{:<28} {:>9} {:>9} {write_us:>9.1} {parse_us:>9.1} {memory:>10.0}",
            format!("{pipelines} pipelines, {teams} teams"),
            text.len(),
            append.len()
        );
    }
}

fn claims() {
    println!(
        "\n{:<28} {:>9} {:>9} {:>9} {:>9}",
        "claims", "bytes", "append", "write_us", "parse_us"
    );
    for count in [0, 1, 10, 100, 1000] {
        for kind in ["claim", "finished"] {
            let batch = batch(kind, count);
            let text = json(&batch);
            let append = serde_json::to_string(&text).expect("a string is JSON");
            let write_us = cost::cpu_micros(SAMPLING, || json(&batch).len());
            let parse_us = cost::cpu_micros(SAMPLING, || {
                let batch: ClaimBatch = serde_json::from_str(&text).expect("written above");
                batch.facts.len()
            });
            println!(
                "{:<28} {:>9} {:>9} {write_us:>9.2} {parse_us:>9.2}",
                format!("{count} {kind}"),
                text.len(),
                append.len()
            );
        }
    }
}

fn lists() {
    println!("\n{:<28} {:>9} {:>9}", "list", "bytes", "parse_us");
    for (instances, endpoints) in [(0, 0), (8, 30), (390, 0), (0, 500), (0, 2000), (390, 2000)] {
        let listing = Listing {
            instances: (0..instances).map(instance).collect(),
            endpoints: (0..endpoints).map(endpoint).collect(),
        };
        let text = json(&listing);
        let parse_us = cost::cpu_micros(SAMPLING, || {
            let listing: Listing = serde_json::from_str(&text).expect("written above");
            listing.endpoints.len()
        });
        println!(
            "{:<28} {:>9} {parse_us:>9.1}",
            format!("{instances} instances, {endpoints} endpoints"),
            text.len()
        );
    }
}

fn instance(idx: usize) -> InstanceEntry {
    InstanceEntry {
        name: name("entry-dc07", idx),
        peer_addr: Arc::from(format!("10.7.{}.{}:7400", idx / 256, idx % 256)),
        http_addr: Arc::from(format!("10.7.{}.{}:7480", idx / 256, idx % 256)),
        data_centre: Arc::from("dc07"),
        presence: Presence::Live,
    }
}

fn endpoint(idx: usize) -> EndpointEntry {
    EndpointEntry {
        name: name("engine-dc07", idx),
        pool: name("pool", idx % 16),
        addr: Arc::from(format!("10.7.{}.{}:9000", idx / 256, idx % 256)),
        data_centre: Arc::from("dc07"),
        incarnation: Incarnation(1_700_000_000_000),
        presence: Presence::Live,
        software: Arc::default(),
    }
}

fn publish(pipelines: usize, teams: usize) -> ConfigRecord {
    let document = Document {
        pools: (0..pipelines.min(16)).map(pool).collect(),
        pipelines: (0..pipelines).map(pipeline).collect(),
        teams: (0..teams).map(team).collect(),
        policies: (0..pipelines.min(6)).map(policy).collect(),
    };
    ConfigRecord::Publish(Publish {
        id: Arc::from("7d4f2c81-93aa-4e1f-b5c0-6f0f7a1b2c3d"),
        base: 1999,
        author: Arc::from("operator@example.org"),
        document: Arc::new(document),
    })
}

fn pool(idx: usize) -> Pool {
    let kind = if idx < 12 { PoolKind::Engine } else { PoolKind::Service };
    Pool { name: name("pool", idx), kind, cost: 1.5, fenced: idx.is_multiple_of(2) }
}

/// A pipeline of three to six stages, depending on the index.
fn pipeline(idx: usize) -> Pipeline {
    Pipeline {
        name: name("pipeline", idx),
        max_deadline_ms: 12_000,
        objective: 0.995,
        policy: Some(name("policy", idx % 6)),
        stages: (0..3 + idx % 4).map(stage).collect(),
    }
}

fn stage(idx: usize) -> Stage {
    Stage {
        name: name("stage", idx),
        pool: name("pool", idx),
        repeatable: idx.is_multiple_of(2),
        max_tokens: Some(512),
    }
}

fn team(idx: usize) -> Team {
    let digest = idx as u32 * 0x9e37_79b1;
    let name = Arc::from(format!("team-{digest:08x}"));
    Team { name, weight: 1 + digest % 8, max_running: Some(8 + digest % 57) }
}

fn policy(idx: usize) -> Policy {
    Policy { name: name("policy", idx), script: Arc::from(SCRIPT) }
}

fn batch(kind: &str, count: usize) -> ClaimBatch {
    let fact = |idx| {
        let key = RequestId {
            team: name("team", idx),
            id: Arc::from(format!("7d4f2c81-93aa-4e1f-b5c0-{idx:012}")),
        };
        let nonce = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(idx as u64 + 1);
        match kind {
            "claim" => ClaimFact::Claim { key, nonce, digest: nonce.rotate_left(17) },
            _ => ClaimFact::Finished { key, nonce, answered: true },
        }
    };
    ClaimBatch {
        instance: name("entry-dc07", 1),
        incarnation: Incarnation(1_700_000_000_000),
        facts: (0..count).map(fact).collect(),
    }
}

fn name(kind: &str, idx: usize) -> Arc<str> {
    Arc::from(format!("{kind}-{idx:04}"))
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("records can be written as JSON")
}

fn parse(text: &str) -> ConfigRecord {
    serde_json::from_str(text).expect("the record was written above")
}

/// Memory of one value in bytes: the growth of the process for many copies, divided
/// by their number.
fn memory<T>(mut make: impl FnMut() -> T) -> f64 {
    drop(make());
    let start = cost::resident_bytes();
    let copies: Vec<T> = (0..COPIES).map(|_| make()).collect();
    let grown = cost::resident_bytes() - start;
    // The copies are leaked, so that the next measurement cannot reuse their memory.
    std::mem::forget(copies);
    grown / COPIES as f64
}
