//! The headers of a dialect, and who may set them.
//!
//! Endpoints act on many headers. Callers set some, the relay sets others, and some
//! control an endpoint in a way that the relay never uses: whose memory it reads, what
//! it keeps and for how long. A caller that set one of these could interfere with the
//! requests of others. Each header of a dialect therefore has a [`HeaderRule`], and the
//! headers of calls and replies are filtered by these rules.

use http::{HeaderMap, HeaderName};

/// Which side sets a header of a call to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setter {
    /// The caller; the header is forwarded unchanged.
    Caller,
    /// The relay; a header of this name from the caller is dropped.
    Relay,
    /// Neither side; a header of this name from the caller is dropped.
    Nobody,
}

/// How one header is handled in calls and replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderRule<'a> {
    /// Name of the header.
    pub name: &'a HeaderName,
    /// Which side sets it in calls.
    pub setter: Setter,
    /// Whether it is forwarded to callers in replies.
    pub is_forwarded: bool,
}

/// Names of the headers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The caller's id of the request; endpoints echo it.
    pub request: HeaderName,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline: HeaderName,
    /// The caller's key. It is never forwarded to endpoints.
    pub key: HeaderName,
    /// The caller's team, sent to endpoints.
    pub team: HeaderName,
    /// The endpoint that a call is addressed to.
    pub endpoint: HeaderName,
    /// Id of the last event of a stream that the caller has received.
    pub resume: HeaderName,
    /// Id of the attempt that brought the first event of a stream that the caller takes up.
    pub first_attempt: HeaderName,
    /// States that an endpoint did not run the request.
    pub not_run: HeaderName,
    /// An endpoint's load: running calls, queued calls, slots.
    pub load: HeaderName,
    /// Marks a whole reply that the endpoint itself produced.
    pub seal: HeaderName,
    /// Priority of a call in an engine's queue.
    pub rank: HeaderName,
    /// Number of tokens of the prompt, and most tokens of the output.
    pub tokens: HeaderName,
    /// Parts of the prompt, `id:tokens`, in order.
    pub parts: HeaderName,
    /// Number of pieces of each stage.
    pub pieces: HeaderName,
    /// Key of the input of pieces whose stage follows no other.
    pub piece_key: HeaderName,
    /// Handles of the results that are inputs of a call.
    pub inputs: HeaderName,
    /// Address of the engine to copy missing prompt parts from, `ip:port`.
    pub source: HeaderName,
    /// How much longer an endpoint is cold, in milliseconds.
    pub cold: HeaderName,
    /// Calls per second that an endpoint accepts from all instances together.
    pub limit: HeaderName,
    /// States that an endpoint accepts no new work any more.
    pub leaving: HeaderName,
    /// The number of calls per second that an endpoint may refuse without falling over.
    pub max_refusals: HeaderName,
    /// Further headers that callers may set for endpoints.
    pub extra: Vec<HeaderName>,
    /// Further headers that endpoints act on and that neither side may set.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// The rule of each header.
    pub fn rules(&self) -> impl Iterator<Item = HeaderRule<'_>> {
        // Without `..`, so that a new field does not compile until it has a rule.
        let HeaderNames {
            request,
            deadline,
            key,
            team,
            endpoint,
            resume,
            first_attempt,
            not_run,
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
            max_refusals,
            extra,
            reserved,
        } = self;
        let rule = |name, setter, is_forwarded| HeaderRule { name, setter, is_forwarded };
        let known = [
            rule(request, Setter::Caller, true),
            rule(deadline, Setter::Relay, false),
            rule(key, Setter::Nobody, false),
            rule(team, Setter::Relay, false),
            rule(endpoint, Setter::Relay, false),
            rule(resume, Setter::Relay, false),
            rule(first_attempt, Setter::Caller, false),
            // Replies only: whether a request ran and the load concern the relay alone.
            rule(not_run, Setter::Nobody, false),
            rule(load, Setter::Nobody, false),
            rule(seal, Setter::Nobody, true),
            rule(rank, Setter::Relay, false),
            rule(tokens, Setter::Caller, false),
            rule(parts, Setter::Caller, false),
            rule(pieces, Setter::Caller, false),
            rule(piece_key, Setter::Caller, false),
            rule(inputs, Setter::Relay, false),
            rule(source, Setter::Relay, false),
            rule(cold, Setter::Nobody, false),
            rule(limit, Setter::Nobody, false),
            rule(leaving, Setter::Nobody, false),
            rule(max_refusals, Setter::Nobody, false),
        ];
        let extra = extra.iter().map(move |name| rule(name, Setter::Caller, true));
        let reserved = reserved.iter().map(move |name| rule(name, Setter::Nobody, false));
        known.into_iter().chain(extra).chain(reserved)
    }

    /// Removes the headers that a caller may not set.
    pub fn retain_caller_headers(&self, headers: &mut HeaderMap) {
        for rule in self.rules().filter(|rule| rule.setter != Setter::Caller) {
            headers.remove(rule.name);
        }
    }

    /// Removes the headers of a reply that are not forwarded to callers.
    pub fn retain_reply_headers(&self, headers: &mut HeaderMap) {
        for rule in self.rules().filter(|rule| !rule.is_forwarded) {
            headers.remove(rule.name);
        }
    }
}
