//! The engine: streams, resume, cancel, slots and faults.

use peatdeck_core::{instance::input::RefuseReason, model::Echo};
use peatdeck_standin::{
    answer,
    calls::CallState::{Cancelled, Cut, Finished, Running, Waiting},
    faults::EndpointFaults,
};
use peatdeck_wire::endpoint::{CallBody, EngineLine};

use crate::support::{self, Standin, call, check_refused, key};

async fn start() -> Standin {
    Standin::start(&["engine", "--call-ms", "0", "--token-ms", "0"]).await
}

fn tokens(body: &CallBody) -> Vec<String> {
    answer::tokens(&body.stage, &body.echo.request, &body.input, body.max_tokens)
}

/// Index and text of each chunk; `None` for the last line.
fn chunks(lines: &[EngineLine]) -> Vec<Option<(u32, String)>> {
    let chunk = |line: &EngineLine| match line {
        EngineLine::Chunk { index, text, .. } => Some((*index, text.to_string())),
        EngineLine::Done { .. } => None,
    };
    lines.iter().map(chunk).collect()
}

/// Chunks of a correct stream from index `from` on, and its last line.
fn expected_chunks(body: &CallBody, from: usize) -> Vec<Option<(u32, String)>> {
    let chunks = (0..).zip(tokens(body)).skip(from).map(Some);
    chunks.chain([None]).collect()
}

fn echoes(lines: &[EngineLine]) -> impl Iterator<Item = &Echo> {
    lines.iter().map(|line| match line {
        EngineLine::Chunk { echo, .. } | EngineLine::Done { echo, .. } => echo,
    })
}

#[ntex::test]
async fn a_stream_sends_every_token_once_and_then_its_end() {
    let engine = start().await;
    let body = call("r1");
    let (lines, is_whole) = engine.lines(&body).await;
    assert!(is_whole);
    assert_eq!(chunks(&lines), expected_chunks(&body, 0));
    assert!(echoes(&lines).all(|echo| *echo == body.echo));
    let total = tokens(&body).len() as u32;
    let Some(EngineLine::Done { tokens, .. }) = lines.last() else { panic!("no end") };
    assert_eq!(*tokens, total);
    let calls = engine.calls().await;
    assert_eq!((calls[0].state, calls[0].tokens, calls[0].resumed), (Finished, total, 0));
    assert!(calls[0].has_run());
}

#[ntex::test]
async fn a_resumed_stream_continues_after_the_chunks_received() {
    let engine = start().await;
    let mut body = call("r1");
    body.resume = tokens(&body).iter().take(3).map(|piece| piece.as_str().into()).collect();
    let (lines, _) = engine.lines(&body).await;
    assert_eq!(chunks(&lines), expected_chunks(&body, 3));
    let Some(EngineLine::Done { tokens: total, .. }) = lines.last() else { panic!("no end") };
    assert_eq!(*total as usize, tokens(&body).len());
    let calls = engine.calls().await;
    assert_eq!((calls[0].tokens, calls[0].resumed), (total - 3, 3));
}

#[ntex::test]
async fn a_cancelled_call_stops_and_its_stream_is_cut() {
    let engine = start().await;
    engine.fail_next(EndpointFaults { hang: true, ..EndpointFaults::default() }).await;
    let body = call("r1");
    let stream = engine.open(&body).await;
    engine.wait_states(&[Running]).await;
    engine.cancel(&body).await;
    let (lines, is_whole) = support::read_lines(stream).await;
    assert_eq!((lines.len(), is_whole), (0, false));
    engine.wait_states(&[Cancelled]).await;
    assert_eq!(engine.state().await.load.running, 0);
}

#[ntex::test]
async fn a_cancel_of_another_attempt_changes_nothing() {
    let engine = start().await;
    engine.fail_next(EndpointFaults { hang: true, ..EndpointFaults::default() }).await;
    let body = call("r1");
    let _stream = engine.open(&body).await;
    engine.wait_states(&[Running]).await;
    let other = Echo { attempt: 2, ..body.echo.clone() };
    engine.cancel(&CallBody { echo: other, ..body }).await;
    assert_eq!(engine.calls().await[0].state, Running);
}

#[ntex::test]
async fn a_closed_connection_cancels_a_silent_call() {
    let engine = start().await;
    engine.fail_next(EndpointFaults { hang: true, ..EndpointFaults::default() }).await;
    let stream = engine.open(&call("r1")).await;
    engine.wait_states(&[Running]).await;
    drop(stream);
    engine.wait_states(&[Cancelled]).await;
}

#[ntex::test]
async fn calls_beyond_the_slots_wait_and_beyond_the_queue_are_refused() {
    let engine = Standin::start(&["engine", "--places", "1", "--queue", "1"]).await;
    engine.fail_next(EndpointFaults { hang: true, ..EndpointFaults::default() }).await;
    let first = call("r1");
    let _stream = engine.open(&first).await;
    let second = call("r2");
    let waiting = engine.open(&second).await;
    engine.wait_states(&[Running, Waiting]).await;
    let load = engine.state().await.load;
    assert_eq!((load.running, load.queued, load.places), (1, 1, 1));
    check_refused(&engine.call(&call("r3")).await, RefuseReason::Busy);
    engine.cancel(&first).await;
    let (lines, _) = support::read_lines(waiting).await;
    assert_eq!(chunks(&lines), expected_chunks(&second, 0));
    engine.wait_states(&[Cancelled, Finished]).await;
}

#[ntex::test]
async fn a_call_cancelled_in_the_queue_never_ran() {
    let engine = Standin::start(&["engine", "--places", "1"]).await;
    engine.fail_next(EndpointFaults { hang: true, ..EndpointFaults::default() }).await;
    let _stream = engine.open(&call("r1")).await;
    let body = call("r2");
    let _waiting = engine.open(&body).await;
    engine.wait_states(&[Running, Waiting]).await;
    engine.cancel(&body).await;
    engine.wait_states(&[Running, Cancelled]).await;
    assert!(!engine.calls().await[1].has_run());
}

#[ntex::test]
async fn a_cut_stream_stops_after_the_configured_chunks_without_its_end() {
    let engine = start().await;
    engine.fail_next(EndpointFaults { cut_after: Some(3), ..EndpointFaults::default() }).await;
    let body = call("r1");
    let (lines, is_whole) = engine.lines(&body).await;
    assert_eq!(chunks(&lines), expected_chunks(&body, 0)[..3]);
    assert!(!is_whole);
    engine.wait_states(&[Cut]).await;
    assert_eq!(chunks(&engine.lines(&body).await.0), expected_chunks(&body, 0));
}

#[ntex::test]
async fn each_fault_breaks_the_stream_in_its_way() {
    let engine = start().await;
    let body = call("r1");
    let expected = expected_chunks(&body, 0);

    engine.fail_next(EndpointFaults { duplicate: true, ..EndpointFaults::default() }).await;
    let twice = expected.iter().flat_map(|chunk| [chunk.clone(), chunk.clone()]);
    assert_eq!(chunks(&engine.lines(&body).await.0), twice.collect::<Vec<_>>());

    engine.fail_next(EndpointFaults { reorder: true, ..EndpointFaults::default() }).await;
    let (lines, _) = engine.lines(&body).await;
    let broken = chunks(&lines);
    assert_eq!((&broken[0], &broken[1]), (&expected[1], &expected[0]));
    let mut sorted = broken.clone();
    sorted.sort_by_key(|chunk| chunk.as_ref().map_or(u32::MAX, |(index, _)| *index));
    assert_eq!(sorted, expected);

    engine.fail_next(EndpointFaults { wrong_echo: true, ..EndpointFaults::default() }).await;
    let (lines, _) = engine.lines(&body).await;
    assert!(echoes(&lines).all(|echo| echo.request == key("r1-other")));
    assert_eq!(chunks(&lines), expected);

    engine.fail_next(EndpointFaults { swapped_output: true, ..EndpointFaults::default() }).await;
    let (lines, _) = engine.lines(&body).await;
    assert!(echoes(&lines).all(|echo| *echo == body.echo));
    assert_ne!(chunks(&lines), expected);
}
