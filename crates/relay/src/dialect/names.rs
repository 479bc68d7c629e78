//! Which headers there are, and who may set them.
//!
//! Endpoints act on many headers. Some are the caller's to choose, some are the
//! relay's, and some steer an endpoint in a way that the relay never asks for:
//! whose memory it reads, what it keeps and for how long. A caller that could
//! set one of these would reach into the work of others. Each header that a
//! dialect knows therefore has a [`HeaderRule`], and calls and replies are put together
//! from the rows.

use http::{HeaderMap, HeaderName};

/// Who sets a header of a call to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setter {
    /// The caller; it is passed on as it came.
    Caller,
    /// The relay; what the caller sent under this name is dropped.
    Relay,
    /// Nobody; what the caller sent under this name is dropped.
    Nobody,
}

/// What becomes of one header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderRule<'a> {
    /// The header.
    pub name: &'a HeaderName,
    /// Who sets it in calls.
    pub setter: Setter,
    /// Whether callers get to see it in replies.
    pub is_forwarded: bool,
}

/// Names of the headers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The caller's id of the request; endpoints echo it.
    pub request: HeaderName,
    /// How long the caller still waits, in milliseconds.
    pub deadline: HeaderName,
    /// The caller's key. Endpoints never see it.
    pub key: HeaderName,
    /// The team, for endpoints.
    pub team: HeaderName,
    /// The endpoint that a call is meant for.
    pub endpoint: HeaderName,
    /// The last event of a stream that the caller holds.
    pub resume: HeaderName,
    /// States that an endpoint did not run the request.
    pub not_run: HeaderName,
    /// An endpoint's load: running, waiting, places.
    pub load: HeaderName,
    /// Marks an endpoint's own whole answer.
    pub seal: HeaderName,
    /// Urgency at an engine.
    pub rank: HeaderName,
    /// Tokens of the prompt and at most of the answer.
    pub tokens: HeaderName,
    /// Parts of the prompt, `id:tokens`, in order.
    pub parts: HeaderName,
    /// Pieces of each stage.
    pub pieces: HeaderName,
    /// What pieces without inputs are made from.
    pub piece_key: HeaderName,
    /// Results that a call takes in.
    pub inputs: HeaderName,
    /// The engine to fetch from what is lacking of a prompt, `ip:port`.
    pub source: HeaderName,
    /// How much longer an endpoint is cold, in milliseconds.
    pub cold: HeaderName,
    /// Calls a second that an endpoint takes from all instances together.
    pub limit: HeaderName,
    /// States that an endpoint takes no new work any more.
    pub leaving: HeaderName,
    /// Further headers that callers may set for endpoints.
    pub extra: Vec<HeaderName>,
    /// Further headers that endpoints act on and that are nobody's to set.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// What becomes of each header.
    pub fn rules(&self) -> impl Iterator<Item = HeaderRule<'_>> {
        // Without `..`: a new name does not compile until it has a row.
        let HeaderNames {
            request,
            deadline,
            key,
            team,
            endpoint,
            resume,
            not_run: unrun,
            load,
            seal,
            rank,
            tokens,
            parts,
            pieces,
            piece_key,
            inputs,
            source,
            cold,
            limit,
            leaving,
            extra: free,
            reserved,
        } = self;
        let row = |name, setter, is_told| HeaderRule { name, setter, is_forwarded: is_told };
        let known = [
            row(request, Setter::Caller, true),
            row(deadline, Setter::Relay, false),
            row(key, Setter::Nobody, false),
            row(team, Setter::Relay, false),
            row(endpoint, Setter::Relay, false),
            row(resume, Setter::Relay, false),
            // Replies only: the relay answers for what ran, and keeps loads.
            row(unrun, Setter::Nobody, false),
            row(load, Setter::Nobody, false),
            row(seal, Setter::Nobody, true),
            row(rank, Setter::Relay, false),
            row(tokens, Setter::Caller, false),
            row(parts, Setter::Caller, false),
            row(pieces, Setter::Caller, false),
            row(piece_key, Setter::Caller, false),
            row(inputs, Setter::Relay, false),
            row(source, Setter::Relay, false),
            row(cold, Setter::Nobody, false),
            row(limit, Setter::Nobody, false),
            row(leaving, Setter::Nobody, false),
        ];
        let free = free.iter().map(move |name| row(name, Setter::Caller, true));
        let reserved = reserved.iter().map(move |name| row(name, Setter::Nobody, false));
        known.into_iter().chain(free).chain(reserved)
    }

    /// Leaves of a caller's headers what the caller may set.
    pub fn retain_caller_headers(&self, headers: &mut HeaderMap) {
        for row in self.rules().filter(|row| row.setter != Setter::Caller) {
            headers.remove(row.name);
        }
    }

    /// Leaves of a reply's headers what callers may see.
    pub fn retain_reply_headers(&self, headers: &mut HeaderMap) {
        for row in self.rules().filter(|row| !row.is_forwarded) {
            headers.remove(row.name);
        }
    }
}
