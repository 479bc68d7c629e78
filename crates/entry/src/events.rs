//! An answer as a stream of server-sent events.
//!
//! Text events, then exactly one `answer` or `error` event. ntex drops the
//! stream when the caller goes away, even while no text comes; dropping it
//! tells the machine.

use std::{convert::Infallible, sync::Arc};

use futures::{Stream, StreamExt};
use ntex::util::Bytes;
use peatdeck_core::model::Outcome;
use peatdeck_wire::caller::TextEvent;
use serde::Serialize;

use crate::{callers::ReplyPart, driver::ReplyReceiver, outcome};

/// Everything that a stream needs to go on.
pub struct StreamState {
    /// The request's id.
    pub id: Arc<str>,
    /// What the caller is sent.
    pub waiter: ReplyReceiver,
    /// The part that was taken to find out whether to stream.
    pub first_part: Option<ReplyPart>,
}

/// The events of one answer.
pub fn stream(state: StreamState) -> impl Stream<Item = Result<Bytes, Infallible>> {
    futures::stream::unfold(Some(state), async |state| {
        let mut state = state?;
        match next_part(&mut state).await? {
            ReplyPart::Text(text) => {
                let event = encode("text", &TextEvent { text });
                Some((Ok(event), Some(state)))
            }
            ReplyPart::End(outcome) => Some((Ok(final_event(&state.id, outcome)), None)),
        }
    })
}

/// The event that ends a stream.
fn final_event(id: &Arc<str>, outcome: Outcome) -> Bytes {
    match outcome::render(id, outcome) {
        Ok(body) => encode("answer", &body),
        Err(failure) => encode("error", &failure.body),
    }
}

/// The next part; `None` if the machine ended without an outcome.
async fn next_part(state: &mut StreamState) -> Option<ReplyPart> {
    match state.first_part.take() {
        Some(part) => Some(part),
        None => state.waiter.parts().next().await,
    }
}

/// Writes one event. JSON holds no line break, so one `data` line is enough.
fn encode<T: Serialize>(event: &str, body: &T) -> Bytes {
    let json = serde_json::to_string(body).expect("wire types have string keys only");
    Bytes::from(format!("event: {event}\ndata: {json}\n\n"))
}
