//! An answer as a stream of server-sent events.
//!
//! Text events, then exactly one `answer` or `error` event. A caller that
//! goes away is noticed even while no text comes, and the machine is told.

use std::{convert::Infallible, sync::Arc};

use futures::{Stream, StreamExt, future::Either};
use ntex::{io::OnDisconnect, util::Bytes};
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
    /// Resolves when the caller's connection closes.
    pub gone: Option<OnDisconnect>,
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

/// The next part; `None` when the caller has gone.
async fn next_part(source: &mut Source) -> Option<Part> {
    if let Some(part) = source.first.take() {
        return Some(part);
    }
    let Some(gone) = &mut source.gone else {
        return source.waiter.parts().next().await;
    };
    match futures::future::select(source.waiter.parts().next(), gone).await {
        Either::Left((part, _)) => part,
        Either::Right(_) => None,
    }
}

/// Writes one event. JSON holds no line break, so one `data` line is enough.
fn encode<T: Serialize>(event: &str, body: &T) -> Bytes {
    let json = serde_json::to_string(body).expect("wire types have string keys only");
    Bytes::from(format!("event: {event}\ndata: {json}\n\n"))
}
