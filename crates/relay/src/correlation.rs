//! Which reply is the reply to a call.
//!
//! HTTP/1.1 tells the replies on a connection apart by their place alone. An endpoint may send a
//! reply a second time, late, where the reply to the connection's next call is due. So the place
//! does not count: a reply belongs to a call only if both have the same id, or both have none, and
//! no connection carries two calls that this does not tell apart
//! ([`History`](crate::pool::History)).

use http::{HeaderMap, HeaderName};

/// How the reply to a call is told from other replies on its connection.
#[derive(Debug, Clone, Copy)]
pub enum Correlation<'a> {
    /// By the id in the header of this name, which the peer repeats in its reply.
    Id(&'a HeaderName),
    /// By its place: the peer sends each reply once.
    Place,
    /// Not at all: the reply is ignored.
    Ignored,
}

impl Correlation<'_> {
    /// The id of a call, or of a reply. An empty one is none.
    pub fn id<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str> {
        let Correlation::Id(name) = self else { return None };
        let id = headers.get(*name).and_then(|value| value.to_str().ok());
        id.filter(|id| !id.is_empty())
    }

    /// Compares the id of a call with that of a reply. Only [`Echo::Own`] is the call's reply.
    pub fn compare(&self, id: Option<&str>, reply: &HeaderMap) -> Echo {
        match self.id(reply) {
            echo if echo == id => Echo::Own,
            None => Echo::Missing,
            Some(_) => Echo::Other,
        }
    }
}

/// How the id of a reply compares with that of the call for whose reply it came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// Both have the same id, or none.
    Own,
    /// The reply has none, though the call has one.
    Missing,
    /// The reply has another id, or one though the call has none.
    Other,
}

impl Echo {
    /// Its name in the logs.
    pub fn name(self) -> &'static str {
        match self {
            Echo::Own => "own",
            Echo::Missing => "missing",
            Echo::Other => "other",
        }
    }
}
