//! Measures the CPU time and memory of idle entry instances.
//!
//! For each size, the example starts a log, a list and some entries as
//! processes, lists endpoints that do not run (none is called), publishes a
//! configuration, waits until the entries are ready, and then measures their
//! CPU time and memory over some seconds. It prints the mean over the entries,
//! one line per size.
//!
//! `cargo build --release --workspace`, then
//! `cargo run --release -p peatdeck-load --example rest_cost`
//!
//! Sizes are given as arguments `ENTRIES,ENDPOINTS,TEAMS`; without any, a default set is used.

#![allow(clippy::unchecked_time_subtraction)]

use std::{collections::BTreeMap, env, sync::Arc, thread, time::Duration};

use peatdeck_core::{
    document::{Document, Pipeline, Pool, PoolKind, Stage, Team},
    model::{EndpointEntry, Incarnation, InstanceEntry, Listing, Presence},
    record::{ConfigRecord, Publish, Stream},
};
use peatdeck_load::{control::Request, process, runtime};
use peatdeck_test_support::process::{Process, Spec};
use peatdeck_wire::{admin::EntryStatus, platform::AppendBody};

/// Time for connections and gossip to settle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Length of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(20);
/// Time limit for an entry to become ready, in tenths of a second.
const READY_TRIES: u32 = 300;
/// Number of pools over which the endpoints are distributed.
const POOLS: usize = 16;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// A running entry and its addresses.
struct RunningEntry {
    process: Process,
    addr: Arc<str>,
    peers: Arc<str>,
}

/// Means over the entries of one size: share of a CPU core, resident bytes, and counters a second.
struct Measurement {
    core: f64,
    resident: f64,
    counters: BTreeMap<Arc<str>, f64>,
}

fn main() -> Result<()> {
    println!(
        "{:>7} {:>9} {:>6} {:>9} {:>9} {:>9} {:>9}",
        "entries", "endpoints", "teams", "core_%", "MB", "sent/s", "received/s"
    );
    for (entries, endpoints, teams) in sizes()? {
        let found = measure(entries, endpoints, teams)?;
        let rate = |name| found.counters.get(name).copied().unwrap_or(0.0);
        println!(
            "{entries:>7} {endpoints:>9} {teams:>6} {:>9.3} {:>9.1} {:>9.1} {:>9.1}",
            found.core * 100.0,
            found.resident / 1e6,
            rate("gossip_sent"),
            rate("gossip_received"),
        );
    }
    Ok(())
}

fn sizes() -> Result<Vec<(usize, usize, usize)>> {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.is_empty() {
        let usual = [(1, 30, 5), (8, 30, 5), (32, 30, 5), (8, 500, 5), (8, 2000, 5), (8, 30, 2800)];
        return Ok(usual.to_vec());
    }
    args.iter().map(|arg| size(arg)).collect()
}

fn size(arg: &str) -> Result<(usize, usize, usize)> {
    let numbers: Vec<usize> =
        arg.split(',').map(str::parse).collect::<std::result::Result<_, _>>()?;
    match numbers[..] {
        [entries, endpoints, teams] => Ok((entries, endpoints, teams)),
        _ => Err(format!("`{arg}` is not a size; give ENTRIES,ENDPOINTS,TEAMS").into()),
    }
}

fn measure(entries: usize, endpoints: usize, teams: usize) -> Result<Measurement> {
    let (_log, log) = standin("log")?;
    let (_list, list) = standin("list")?;
    append(&log, teams)?;
    let started =
        (0..entries).map(|idx| start(idx, &log, &list)).collect::<Result<Vec<RunningEntry>>>()?;
    Request::put(format!("http://{list}/control/list"), &listing(&started, endpoints)).send()?;
    started.iter().try_for_each(wait_ready)?;
    thread::sleep(SETTLE_TIME);
    let before = started.iter().map(usage).collect::<Result<Vec<_>>>()?;
    thread::sleep(MEASURE_TIME);
    let after = started.iter().map(usage).collect::<Result<Vec<_>>>()?;
    Ok(mean(&before, &after))
}

/// CPU time, resident bytes and counters of one entry.
type Usage = (Duration, f64, BTreeMap<Arc<str>, u64>);

fn usage(started: &RunningEntry) -> Result<Usage> {
    let usage = process::usage(started.process.id()).ok_or("an entry has exited")?;
    let status: EntryStatus = Request::get(format!("http://{}/v1/status", started.addr)).json()?;
    Ok((usage.processor, usage.resident_kib as f64 * 1024.0, status.counters))
}

fn mean(before: &[Usage], after: &[Usage]) -> Measurement {
    let count = before.len() as f64;
    let seconds = MEASURE_TIME.as_secs_f64();
    let pairs = || before.iter().zip(after);
    let core = pairs().map(|(b, a)| (a.0 - b.0).as_secs_f64() / seconds).sum::<f64>() / count;
    let resident = after.iter().map(|used| used.1).sum::<f64>() / count;
    let mut counters = BTreeMap::new();
    for (before, after) in pairs() {
        for (name, total) in &after.2 {
            let grown = total - before.2.get(name).copied().unwrap_or(0);
            *counters.entry(name.clone()).or_insert(0.0) += grown as f64 / seconds / count;
        }
    }
    Measurement { core, resident, counters }
}

fn wait_ready(started: &RunningEntry) -> Result<()> {
    for _ in 0..READY_TRIES {
        if runtime::get(&format!("http://{}/readyz", started.addr)).is_some() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("the entry at {} was not ready in time", started.addr).into())
}

fn standin(role: &str) -> Result<(Process, String)> {
    let spec = Spec::new(role, "peatdeck-standin").args([role, "--listen", "127.0.0.1:0"]);
    let mut process = Process::start(&spec)?;
    let addr = process.line("listening ")?;
    Ok((process, addr))
}

fn start(idx: usize, log: &str, list: &str) -> Result<RunningEntry> {
    let name = entry_name(idx);
    let spec = Spec::new(&name, "peatdeck-entry")
        .args(["--name", &name, "--data-centre", "dc07", "--log", log, "--list", list])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"]);
    let mut process = Process::start(&spec)?;
    let addr = process.line("listening ")?.into();
    let peers = process.line("peers ")?.into();
    Ok(RunningEntry { process, addr, peers })
}

fn append(log: &str, teams: usize) -> Result<()> {
    let record = ConfigRecord::Publish(Publish {
        id: Arc::from("first"),
        base: 0,
        author: Arc::from("operator"),
        document: Arc::new(document(teams)),
    });
    let body = AppendBody { data: serde_json::to_string(&record)?.into() };
    let stream = Stream::Config.name();
    Request::post(format!("http://{log}/v1/streams/{stream}/records"), &body).send()?;
    Ok(())
}

fn listing(started: &[RunningEntry], endpoints: usize) -> Listing {
    let instance = |(idx, started): (usize, &RunningEntry)| InstanceEntry {
        name: entry_name(idx),
        peer_addr: started.peers.clone(),
        http_addr: started.addr.clone(),
        data_centre: Arc::from("dc07"),
        presence: Presence::Live,
    };
    let endpoint = |idx| EndpointEntry {
        name: format!("engine-dc07-{idx:04}").into(),
        pool: format!("pool-{:04}", idx % POOLS).into(),
        addr: Arc::from("127.0.0.1:9"),
        data_centre: Arc::from("dc07"),
        incarnation: Incarnation(1),
        presence: Presence::Live,
        software: Arc::default(),
    };
    Listing {
        instances: started.iter().enumerate().map(instance).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
    }
}

fn document(teams: usize) -> Document {
    let pool = |idx: usize| Pool {
        name: format!("pool-{idx:04}").into(),
        kind: PoolKind::Service,
        cost: 1.0,
        fenced: false,
    };
    let stage = |idx: usize| Stage {
        name: format!("stage-{idx}").into(),
        pool: format!("pool-{idx:04}").into(),
        repeatable: true,
        max_tokens: None,
    };
    let pipeline = |idx: usize| Pipeline {
        name: format!("pipeline-{idx:02}").into(),
        max_deadline_ms: 12_000,
        objective: 0.99,
        policy: None,
        stages: (0..3 + idx % 4).map(stage).collect(),
    };
    let team =
        |idx: usize| Team { name: format!("team-{idx:04}").into(), weight: 1, max_running: None };
    Document {
        pools: (0..POOLS).map(pool).collect(),
        pipelines: (0..21).map(pipeline).collect(),
        teams: (0..teams).map(team).collect(),
        policies: Vec::new(),
    }
}

fn entry_name(idx: usize) -> Arc<str> {
    format!("entry-dc07-{idx:03}").into()
}
