//! An answer as a stream of server-sent events.
//!
//! Any number of `text` events, then exactly one `answer` or `error` event.
//! ntex drops the stream when the caller disconnects, even while no text is
//! sent; dropping it reports the disconnect to the state machine.

use std::{convert::Infallible, sync::Arc};

use futures::{Stream, StreamExt};
use ntex::util::Bytes;
use peatdeck_core::model::Outcome;
use peatdeck_wire::caller::TextEvent;
use serde::Serialize;

use crate::{callers::ReplyPart, driver::ReplyReceiver, outcome};

/// State of one event stream.
pub struct StreamState {
    /// The request's id.
    pub id: Arc<str>,
    /// Receives the parts of the reply.
    pub receiver: ReplyReceiver,
    /// The first part, which was already received to decide whether to stream.
    pub first_part: Option<ReplyPart>,
}

/// Encodes the parts of one reply as events.
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

/// The next part; `None` if the channel closed without an outcome.
async fn next_part(state: &mut StreamState) -> Option<ReplyPart> {
    match state.first_part.take() {
        Some(part) => Some(part),
        None => state.receiver.parts().next().await,
    }
}

/// Encodes one event. JSON contains no line break, so one `data` line is enough.
fn encode<T: Serialize>(event: &str, body: &T) -> Bytes {
    let json = serde_json::to_string(body).expect("wire types have string keys only");
    Bytes::from(format!("event: {event}\ndata: {json}\n\n"))
}
