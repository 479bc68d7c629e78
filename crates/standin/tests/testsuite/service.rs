//! The plain service: one reply, records and faults.

#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
};

use peatdeck_core::instance::input::RefuseReason;
use peatdeck_standin::{
    answer,
    calls::CallState::{Cancelled, Cut, Finished, Running},
    faults::EndpointFaults,
};
use peatdeck_test_support::wait::TIMEOUT;
use peatdeck_wire::endpoint::{CallBody, ReplyBody};

use crate::support::{Standin, call, check_refused, key};

async fn start() -> Standin {
    Standin::start(&["service", "--call-ms", "0"]).await
}

fn output(body: &CallBody) -> String {
    answer::service_output(&body.stage, &body.echo.request, &body.input)
}

#[ntex::test]
async fn a_call_gets_its_one_derived_reply_and_is_recorded() {
    let service = start().await;
    let body = call("r1");
    let reply: ReplyBody = service.call(&body).await.json().unwrap();
    assert_eq!(reply.echo, body.echo);
    assert_eq!(*reply.output, *output(&body));
    assert!(reply.load.is_some());
    let calls = service.calls().await;
    assert_eq!(calls.len(), 1);
    assert_eq!((&calls[0].echo, calls[0].state), (&body.echo, Finished));
    assert_eq!(calls[0].input_hash, answer::input_hash("input"));
    assert!(calls[0].started_ms.is_some() && calls[0].ended_ms.is_some());
}

#[ntex::test]
async fn a_refused_call_leaves_no_record() {
    let service = start().await;
    for reason in [RefuseReason::Busy, RefuseReason::Leaving] {
        service.set_faults(&EndpointFaults { refuse: Some(reason), ..Default::default() }).await;
        check_refused(&service.call(&call("r1")).await, reason);
    }
    assert_eq!(service.calls().await, []);
    assert_eq!(service.state().await.refused, 2);
}

#[ntex::test]
async fn faults_apply_to_the_configured_number_of_calls() {
    let service = start().await;
    let refuse = Some(RefuseReason::Leaving);
    let faults = EndpointFaults { refuse, calls: Some(2), ..EndpointFaults::default() };
    service.set_faults(&faults).await;
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(service.call(&call("r1")).await.status);
    }
    assert_eq!(statuses, [503, 503, 200]);
}

#[ntex::test]
async fn the_work_continues_when_the_connection_is_lost() {
    let service = start().await;
    service.fail_next(EndpointFaults { delay_ms: 2_000, ..EndpointFaults::default() }).await;
    let stream = send_raw(&service, &call("r1"));
    service.wait_states(&[Running]).await;
    stream.shutdown(Shutdown::Both).unwrap();
    drop(stream);
    service.wait_states(&[Finished]).await;
}

#[ntex::test]
async fn a_call_that_hangs_runs_until_it_is_cancelled() {
    let service = start().await;
    service.fail_next(EndpointFaults { hang: true, ..EndpointFaults::default() }).await;
    let body = call("r1");
    let mut stream = send_raw(&service, &body);
    service.wait_states(&[Running]).await;
    service.cancel(&body).await;
    service.wait_states(&[Cancelled]).await;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok();
    assert_eq!(text, "");
}

#[ntex::test]
async fn a_cut_reply_is_truncated_although_the_work_was_done() {
    let service = start().await;
    let body = call("r1");
    for cut_after in [0, 20] {
        service
            .fail_next(EndpointFaults { cut_after: Some(cut_after), ..Default::default() })
            .await;
        assert!(service.http.post(&service.addr, "/v1/call", &body).await.is_err());
    }
    service.wait_states(&[Cut, Cut]).await;
}

#[ntex::test]
async fn a_duplicated_reply_is_sent_twice_on_the_connection() {
    let service = start().await;
    service.fail_next(EndpointFaults { duplicate: true, ..EndpointFaults::default() }).await;
    let mut text = String::new();
    send_raw(&service, &call("r1")).read_to_string(&mut text).unwrap();
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2);
    assert_eq!(text.matches(&output(&call("r1"))).count(), 2);
    service.wait_states(&[Finished]).await;
}

#[ntex::test]
async fn a_wrong_echo_and_a_swapped_output_are_the_newest_other_requests() {
    let service = start().await;
    let (first, second) = (call("r1"), call("r2"));
    service.call(&first).await;

    service.fail_next(EndpointFaults { wrong_echo: true, ..EndpointFaults::default() }).await;
    let reply: ReplyBody = service.call(&second).await.json().unwrap();
    assert_eq!(reply.echo, first.echo);
    assert_eq!(*reply.output, *output(&second));

    service.fail_next(EndpointFaults { swapped_output: true, ..EndpointFaults::default() }).await;
    let reply: ReplyBody = service.call(&second).await.json().unwrap();
    assert_eq!(reply.echo, second.echo);
    assert_eq!(*reply.output, *output(&first));
}

#[ntex::test]
async fn without_another_request_a_wrong_echo_has_an_invented_id() {
    let service = start().await;
    service.fail_next(EndpointFaults { wrong_echo: true, ..EndpointFaults::default() }).await;
    let reply: ReplyBody = service.call(&call("r1")).await.json().unwrap();
    assert_eq!(reply.echo.request, key("r1-other"));
}

/// Sends a call on a raw connection that the server closes after the reply.
fn send_raw(service: &Standin, body: &CallBody) -> TcpStream {
    let json = serde_json::to_string(body).unwrap();
    let head = "POST /v1/call HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
    let kind = "content-type: application/json";
    let mut stream = TcpStream::connect(&service.addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let length = json.len();
    write!(stream, "{head}{kind}\r\ncontent-length: {length}\r\n\r\n{json}").unwrap();
    stream
}
