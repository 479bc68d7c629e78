//! Records new versions of the traces in `crates/testsuite/traces` from real
//! processes under faults:
//! `cargo run -p peatdeck-testsuite --example record FOLDER`.
//!
//! The `expect` lines are then appended by hand.

#![allow(clippy::unwrap_used)]

use std::{fs, path::Path, process::Command, time::Duration};

use ntex::time;
use peatdeck_core::{instance::input::RefuseReason, model::Presence};
use peatdeck_standin::faults::{EndpointFaults, LogFaults};
use peatdeck_test_support::{
    fixture::{self, CERTIFICATE, TICKET},
    processes::{System, builder::Builder},
    wait::{self, TIMEOUT},
};
use peatdeck_wire::{admin::EntryStatus, caller::RequestBody};

/// Deadline of requests that should expire.
const SHORT_MS: i64 = 1_500;
/// Delay of a stage that should outlast the grace period of a stop.
const SLOW_MS: u64 = 1_500;
/// Pause of a caller before it retries a request.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

#[ntex::main]
async fn main() {
    let folder = std::env::args().nth(1).expect("give the folder for the traces");
    let folder = Path::new(&folder);
    killed_peer(folder).await;
    log_out(folder).await;
    cut_stream(folder).await;
    wrong_echo(folder).await;
    refused(folder).await;
    drain(folder).await;
}

/// Starts a system, runs a scenario, and stores the trace of `entry-1`.
async fn record(folder: &Path, name: &str, builder: Builder, run: impl AsyncFnOnce(&mut System)) {
    let own = folder.join(name);
    fs::create_dir_all(&own).unwrap();
    let builder = builder.without_admin().entry_flags(&["--grace", "100"]).traces(&own);
    let mut system = builder.start().await.unwrap();
    run(&mut system).await;
    drop(system);
    fs::rename(own.join("entry-1.trace"), folder.join(format!("{name}.trace"))).unwrap();
    fs::remove_dir_all(own).unwrap();
}

/// `entry-2` is killed while its ledger call runs; the caller retries at `entry-1`.
async fn killed_peer(folder: &Path) {
    record(folder, "killed-neighbour", Builder::default(), async |system| {
        let hang = EndpointFaults { hang: true, ..Default::default() };
        system.set_pool_faults("ledger", &hang).await.unwrap();
        let body = fixture::once("paid", "input");
        let asked = system.request("entry-2", TICKET, &body);
        let run = async {
            let poll = async || {
                let calls = system.calls_for("paid").await.ok()?;
                calls.iter().any(|(name, _)| name.starts_with("ledger")).then_some(())
            };
            wait::until("the ledger call", TIMEOUT, poll).await.unwrap();
        };
        let (asked, run) = (Box::pin(asked), Box::pin(run));
        let left = futures::future::select(asked, run).await;
        assert!(matches!(left, futures::future::Either::Right(_)), "the ledger hangs");
        drop(left);
        system.kill("entry-2").unwrap();
        system.set_pool_faults("ledger", &EndpointFaults::default()).await.unwrap();
        send_and_print(system, TICKET, &RequestBody { repeat: true, ..body }).await;
        send_and_print(system, TICKET, &fixture::once("other", "input")).await;
        send_and_print(system, CERTIFICATE, &fixture::request("read", "input")).await;
    })
    .await;
}

/// A second version is published and another publish on the same base is
/// rejected; then the log has an outage.
async fn log_out(folder: &Path) {
    record(folder, "log-out", Builder::default().entries(1), async |system| {
        send_and_print(system, TICKET, &fixture::once("before", "input")).await;
        let document = system.document.clone();
        system.append_publish("second", 1, &document).await.unwrap();
        system.append_publish("late", 1, &document).await.unwrap();
        system.wait_version(2).await.unwrap();
        let out = LogFaults { outage: true, ..Default::default() };
        system.set_log_faults(&out).await.unwrap();
        let body = RequestBody { deadline_ms: SHORT_MS, ..fixture::once("during", "input") };
        send_and_print(system, TICKET, &body).await;
        send_and_print(system, TICKET, &fixture::once("at-once", "input")).await;
        send_and_print(system, CERTIFICATE, &fixture::request("read", "input")).await;
        system.set_log_faults(&LogFaults::default()).await.unwrap();
        let poll = async || {
            let reply = system.request("entry-1", TICKET, &fixture::once("during", "input")).await;
            let taken = reply.ok().filter(|reply| reply.status == 200);
            if taken.is_none() {
                time::sleep(RETRY_PAUSE).await;
            }
            taken
        };
        wait::until("claims being taken again", TIMEOUT, poll).await.unwrap();
    })
    .await;
}

/// An engine cuts its stream in the middle; another one resumes it.
async fn cut_stream(folder: &Path) {
    let builder = Builder::default().entries(1).entry_flags(&["--trace-content", "keep"]);
    record(folder, "cut-stream", builder, async |system| {
        let cut = EndpointFaults { cut_after: Some(4), calls: Some(1), ..Default::default() };
        system.set_pool_faults("generate", &cut).await.unwrap();
        for id in ["first", "second", "third"] {
            send_and_print(system, CERTIFICATE, &fixture::request(id, "input")).await;
        }
        let cut = EndpointFaults { cut_after: Some(1), ..Default::default() };
        system.set_pool_faults("ledger", &cut).await.unwrap();
        send_and_print(system, TICKET, &fixture::once("paid", "input")).await;
        send_and_print(
            system,
            TICKET,
            &RequestBody { repeat: true, ..fixture::once("paid", "input") },
        )
        .await;
    })
    .await;
}

/// Endpoints send replies that belong to other calls.
async fn wrong_echo(folder: &Path) {
    record(folder, "wrong-echo", Builder::default().entries(1), async |system| {
        let wrong = EndpointFaults { wrong_echo: true, ..Default::default() };
        system.set_faults("encode-1", &wrong).await.unwrap();
        system.set_faults("generate-2", &wrong).await.unwrap();
        for id in ["first", "second", "third", "fourth"] {
            send_and_print(system, CERTIFICATE, &fixture::request(id, id)).await;
        }
        system.set_pool_faults("ledger", &wrong).await.unwrap();
        send_and_print(system, TICKET, &fixture::once("paid", "input")).await;
    })
    .await;
}

/// All endpoints of a pool refuse calls, or have been killed.
async fn refused(folder: &Path) {
    record(folder, "refused", Builder::default().entries(1), async |system| {
        let busy = EndpointFaults { refuse: Some(RefuseReason::Busy), ..Default::default() };
        system.set_pool_faults("encode", &busy).await.unwrap();
        let body = RequestBody { deadline_ms: SHORT_MS, ..fixture::request("read", "input") };
        send_and_print(system, CERTIFICATE, &body).await;
        let body = RequestBody { deadline_ms: SHORT_MS, ..fixture::once("paid", "input") };
        send_and_print(system, TICKET, &body).await;
        system.set_pool_faults("encode", &EndpointFaults::default()).await.unwrap();
        send_and_print(
            system,
            TICKET,
            &RequestBody { repeat: true, ..fixture::once("paid", "input") },
        )
        .await;
        system.kill("rerank-1").unwrap();
        system.kill("rerank-2").unwrap();
        let body = RequestBody { deadline_ms: SHORT_MS, ..fixture::request("late", "input") };
        send_and_print(system, CERTIFICATE, &body).await;
    })
    .await;
}

/// Endpoints leave, as the list or they themselves report; then the entry stops.
async fn drain(folder: &Path) {
    record(folder, "drain", Builder::default().entries(1), async |system| {
        send_and_print(system, CERTIFICATE, &fixture::request("before", "input")).await;
        let leaving = Some(RefuseReason::Leaving);
        let leaving = EndpointFaults { refuse: leaving, ..Default::default() };
        system.set_faults("ledger-1", &leaving).await.unwrap();
        system.set_faults("rerank-2", &leaving).await.unwrap();
        system.set_presence("encode-1", Presence::Leaving).await.unwrap();
        let what = "encode-1 being known as leaving";
        let left = |status: &EntryStatus| {
            let mut endpoints = status.endpoints.iter();
            endpoints.any(|known| &*known.endpoint == "encode-1" && &*known.state == "leaving")
        };
        system.wait_status("entry-1", what, TIMEOUT, left).await.unwrap();
        for id in ["one", "two", "three", "four"] {
            send_and_print(system, TICKET, &fixture::once(&format!("pay-{id}"), "input")).await;
            send_and_print(system, CERTIFICATE, &fixture::request(id, "input")).await;
        }
        let slow = EndpointFaults { delay_ms: SLOW_MS, ..Default::default() };
        system.set_pool_faults("retrieve", &slow).await.unwrap();
        let pid = system.process("entry-1").unwrap().id();
        let held = fixture::request("held", "input");
        let held = system.request("entry-1", CERTIFICATE, &held);
        let late = async {
            let poll = async || system.calls_for("held").await.ok().filter(|calls| calls.len() > 1);
            wait::until("the held request's second stage", TIMEOUT, poll).await.unwrap();
            terminate(pid);
            let poll = async || {
                let body = fixture::request("late", "input");
                let reply = system.request("entry-1", TICKET, &body).await;
                reply.ok().filter(|reply| reply.status == 503)
            };
            wait::until("the end of the grace", TIMEOUT, poll).await.unwrap();
        };
        let (held, ()) = futures::join!(held, late);
        println!("held: {}", held.unwrap().status);
        system.process("entry-1").unwrap().wait(TIMEOUT).await.unwrap();
    })
    .await;
}

fn terminate(pid: u32) {
    let status = Command::new("kill").args(["-TERM", &pid.to_string()]).status();
    assert!(status.unwrap().success());
}

async fn send_and_print(system: &System, pipeline: &str, body: &RequestBody) {
    let reply = system.request("entry-1", pipeline, body).await.unwrap();
    println!("{}: {}", body.id, reply.status);
}
