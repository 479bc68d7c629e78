//! Tests of the process fixture itself: starting, signals, list and records.

#![allow(clippy::unwrap_used)]

use peatdeck_core::{instance::input::RefuseReason, model::Presence};
use peatdeck_standin::{calls::CallState, endpoint::EndpointState, faults::EndpointFaults};
use peatdeck_test_support::{
    fixture::{self, CERTIFICATE, TICKET},
    processes::{System, builder::Builder},
    wait::{self, TIMEOUT},
};
use peatdeck_wire::caller::{AnswerBody, RequestBody};

async fn check_answer(system: &System, entry: &str, pipeline: &str, body: &RequestBody) {
    let reply = system.request(entry, pipeline, body).await.unwrap();
    let answer = reply.json::<AnswerBody>().unwrap_or_else(|| panic!("{}", reply.text()));
    let expected = system.expected(pipeline, &body.id, &body.input);
    assert_eq!(Some(answer.output.to_string()), expected);
}

#[ntex::test]
async fn both_pipelines_are_answered_and_the_ledger_runs_once() {
    let system = Builder::default().start().await.unwrap();
    for entry in system.entries() {
        let body = fixture::request(&format!("c-{entry}"), "input");
        check_answer(&system, &entry, CERTIFICATE, &body).await;
    }
    check_answer(&system, "entry-1", TICKET, &fixture::once("t", "input")).await;
    let calls = system.calls_for("t").await.unwrap();
    let ledger = calls.iter().filter(|(name, _)| name.starts_with("ledger"));
    let states: Vec<CallState> = ledger.map(|(_, call)| call.state).collect();
    assert_eq!(states, [CallState::Finished]);
}

#[ntex::test]
async fn a_killed_endpoint_restarts_as_a_later_incarnation() {
    let mut system = Builder::default().without_admin().entries(1).start().await.unwrap();
    system.kill("encode-1").unwrap();
    assert!(system.calls("encode-1").await.is_err());
    system.restart("encode-1").await.unwrap();
    assert_eq!(system.calls("encode-1").await.unwrap(), []);
    let listed = system.listing().endpoints;
    let incarnations = listed.iter().filter(|entry| &*entry.name == "encode-1");
    assert_eq!(incarnations.map(|entry| entry.incarnation.0).collect::<Vec<u64>>(), [2]);
    let addr = system.addr("encode-1").unwrap();
    let state: EndpointState = system.http.get_json(addr, "/control/state").await.unwrap();
    assert_eq!(state.incarnation.0, 2);
}

#[ntex::test]
async fn a_frozen_entry_serves_again_once_thawed() {
    let mut system = Builder::default().without_admin().entries(1).start().await.unwrap();
    system.freeze("entry-1").unwrap();
    let pid = system.process("entry-1").unwrap().id();
    let poll = async || is_stopped(pid).then_some(());
    wait::until("the entry being frozen", TIMEOUT, poll).await.unwrap();
    system.thaw("entry-1").unwrap();
    system.wait_ready("entry-1").await.unwrap();
    check_answer(&system, "entry-1", CERTIFICATE, &fixture::request("r", "input")).await;
}

#[ntex::test]
async fn a_terminated_entry_exits_by_itself() {
    let mut system = Builder::default().without_admin().start().await.unwrap();
    system.set_presence("entry-2", Presence::Leaving).await.unwrap();
    system.terminate("entry-2").unwrap();
    let end = system.process("entry-2").unwrap().wait(TIMEOUT).await.unwrap();
    assert!(end.success());
}

#[ntex::test]
async fn a_pool_that_refuses_runs_nothing_by_its_records() {
    let system = Builder::default().without_admin().entries(1).start().await.unwrap();
    let faults = EndpointFaults { refuse: Some(RefuseReason::Busy), ..Default::default() };
    system.set_pool_faults("encode", &faults).await.unwrap();
    let body = RequestBody { deadline_ms: 500, ..fixture::request("r", "input") };
    let reply = system.request("entry-1", CERTIFICATE, &body).await.unwrap();
    assert_ne!(reply.status, 200);
    assert!(system.calls_for("r").await.unwrap().is_empty());
}

fn is_stopped(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    status.lines().any(|line| line.starts_with("State:\tT"))
}
