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

use crate::{callers::Part, driver::Waiter, outcome};

/// Everything that a stream needs to go on.
pub struct Source {
    /// The request's id.
    pub id: Arc<str>,
    /// What the caller is sent.
    pub waiter: Waiter,
    /// The part that was taken to find out whether to stream.
    pub first: Option<Part>,
}

/// The events of one answer.
pub fn stream(source: Source) -> impl Stream<Item = Result<Bytes, Infallible>> {
    futures::stream::unfold(Some(source), async |source| {
        let mut source = source?;
        match next_part(&mut source).await? {
            Part::Text(text) => {
                let event = encode("text", &TextEvent { text });
                Some((Ok(event), Some(source)))
            }
            Part::End(outcome) => Some((Ok(end(&source.id, outcome)), None)),
        }
    })
}

/// The event that ends a stream.
fn end(id: &Arc<str>, outcome: Outcome) -> Bytes {
    match outcome::render(id, outcome) {
        Ok(body) => encode("answer", &body),
        Err(failure) => encode("error", &failure.body),
    }
}

/// The next part; `None` if the machine ended without an outcome.
async fn next_part(source: &mut Source) -> Option<Part> {
    match source.first.take() {
        Some(part) => Some(part),
        None => source.waiter.parts().next().await,
    }
}

/// Writes one event. JSON holds no line break, so one `data` line is enough.
fn encode<T: Serialize>(event: &str, body: &T) -> Bytes {
    let json = serde_json::to_string(body).expect("wire types have string keys only");
    Bytes::from(format!("event: {event}\ndata: {json}\n\n"))
}
