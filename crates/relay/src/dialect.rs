//! Headers and bodies exchanged with callers and endpoints.
//!
//! The format of header values is the same on every platform; only the names
//! differ. A [`Dialect`] is therefore a table of names, with functions for the
//! bodies of the calls that the relay makes itself.

mod names;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use peatdeck_core::{
    model::Load,
    relay::{
        config,
        fingerprint::Fingerprint,
        model::{Arrival, Call, Handle, HeldParts, Part, Piece, PieceResult, Prompt, ReplyHead},
        terms::{Rate, Terms},
    },
};

use crate::correlation::Correlation;

pub use crate::dialect::names::{HeaderNames, HeaderRule, Setter};

/// Hop-by-hop headers, which concern one connection only and are never forwarded.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::CONTENT_LENGTH,
];
/// A hop-by-hop header for which the `http` crate has no constant.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Path and body of a `POST` that the relay makes itself.
#[derive(Debug, Clone)]
pub struct PostRequest {
    /// Path at the endpoint.
    pub path: &'static str,
    /// Body, in JSON.
    pub body: Bytes,
}

/// The HTTP interface to callers and endpoints on one platform.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names of the headers.
    pub names: HeaderNames,
    /// The call that runs pieces; the second argument is the current time.
    pub encode_pieces: fn(&[Piece], Duration) -> PostRequest,
    /// Parses the reply to a call for pieces; `None` if it is malformed.
    pub decode_results: fn(&[u8]) -> Option<Vec<PieceResult>>,
    /// The call that frees results.
    pub encode_free: fn(&[Handle]) -> PostRequest,
    /// Path at which an engine lists the prompt parts that it holds.
    pub parts_path: &'static str,
    /// Parses that list; `None` if it is malformed.
    pub decode_parts: fn(&[u8]) -> Option<HeldParts>,
}

/// Why a caller's request is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The header with the request's id is missing.
    #[error("the request has no id; send one that is new for each attempt")]
    Id,
    /// The header with the deadline is not a number.
    #[error("the deadline is not a whole number of milliseconds; send one, or leave it out")]
    Deadline,
    /// The `Host` header is missing.
    #[error("the request names no host; send the header `Host`")]
    Host,
}

impl Dialect {
    /// Parses the headers of a caller's request; the fingerprint of its content is left
    /// unknown.
    ///
    /// # Errors
    /// [`Malformed`] if a required header is missing or invalid.
    pub fn arrival(&self, path: &str, headers: &HeaderMap) -> Result<Arrival, Malformed> {
        let names = &self.names;
        let deadline = match text(headers, &names.deadline) {
            None => None,
            Some(text) => Some(text.trim().parse().map_err(|_| Malformed::Deadline)?),
        };
        let host = text(headers, &header::HOST).ok_or(Malformed::Host)?;
        let host = host.split_once(':').map_or(host, |(host, _)| host);
        Ok(Arrival {
            id: Arc::from(text(headers, &names.request).ok_or(Malformed::Id)?),
            host: Arc::from(host),
            path: Arc::from(path),
            key: text(headers, &names.key).map(Arc::from),
            deadline: deadline.map(Duration::from_millis),
            resume: text(headers, &names.resume).and_then(|text| text.trim().parse().ok()),
            first_attempt: text(headers, &names.first_attempt).map(Arc::from),
            prompt: self.prompt(headers),
            pieces: text(headers, &names.pieces).map(counts).unwrap_or_default(),
            piece_key: text(headers, &names.piece_key).map(Arc::from),
            content: Fingerprint::UNKNOWN,
        })
    }

    /// The headers of a call: the caller's own, with those that the relay sets replaced.
    pub fn call_headers(&self, call: &Call, caller: &HeaderMap) -> HeaderMap {
        let names = &self.names;
        let mut headers = caller.clone();
        strip_hop_headers(&mut headers);
        names.retain_caller_headers(&mut headers);
        let millis = call.remaining.as_millis().max(1);
        set(&mut headers, &names.deadline, &millis.to_string());
        set(&mut headers, &names.endpoint, &call.endpoint);
        if let Some(team) = &call.team {
            set(&mut headers, &names.team, team);
        }
        if !call.inputs.is_empty() {
            set(&mut headers, &names.inputs, &call.inputs.join(","));
        }
        if let Some(source) = &call.source {
            set(&mut headers, &names.source, source);
        }
        if let Some(rank) = call.rank {
            set(&mut headers, &names.rank, &rank.to_string());
        }
        if let Some(event) = call.resume {
            set(&mut headers, &names.resume, &event.to_string());
        }
        headers
    }

    /// The headers of an endpoint's reply that are forwarded to the caller.
    pub fn reply_headers(&self, mut reply: HeaderMap) -> HeaderMap {
        strip_hop_headers(&mut reply);
        self.names.retain_reply_headers(&mut reply);
        reply
    }

    /// How replies of endpoints are told apart: by the id of the request.
    pub fn correlation(&self) -> Correlation<'_> {
        Correlation::Id(&self.names.request)
    }

    /// Parses the head of a reply.
    pub fn reply_head(&self, status: StatusCode, headers: &HeaderMap) -> ReplyHead {
        let names = &self.names;
        ReplyHead {
            status: status.as_u16(),
            is_not_run: headers.contains_key(&names.not_run) || status.as_u16() == 421,
            is_sealed: headers.contains_key(&names.seal)
                && !headers.contains_key(header::CONTENT_ENCODING),
            load: text(headers, &names.load).and_then(load),
            terms: self.terms(status, headers),
        }
    }

    fn terms(&self, status: StatusCode, headers: &HeaderMap) -> Terms {
        let names = &self.names;
        let is_refusal =
            [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&status);
        let hold = text(headers, &header::RETRY_AFTER).and_then(seconds);
        Terms {
            cold_left: text(headers, &names.cold).and_then(cold_left),
            limit: text(headers, &names.limit).and_then(rate),
            max_refusals: text(headers, &names.max_refusals)
                .and_then(|text| text.trim().parse().ok()),
            is_leaving: text(headers, &names.leaving).is_some_and(|text| text.trim() != "0"),
            hold: hold.filter(|_| is_refusal),
        }
    }

    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt> {
        let tokens = text(headers, &self.names.tokens)?;
        let (input, output) = tokens.split_once(',')?;
        let parts = text(headers, &self.names.parts).unwrap_or_default();
        Some(Prompt {
            parts: parts.split(',').filter_map(part).collect(),
            input: input.trim().parse().ok()?,
            output: output.trim().parse().ok()?,
        })
    }
}

/// Removes hop-by-hop headers, those that `Connection` names among them.
fn strip_hop_headers(headers: &mut HeaderMap) {
    let named = text(headers, &header::CONNECTION).unwrap_or_default();
    let named: Vec<_> =
        named.split(',').filter_map(|name| HeaderName::try_from(name.trim()).ok()).collect();
    for name in HOP_HEADERS.iter().chain([&KEEP_ALIVE]).chain(&named) {
        headers.remove(name);
    }
}

/// A header's value as text; `None` if it is missing or not ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn counts(text: &str) -> Vec<u16> {
    text.split(',').map(|count| count.trim().parse().unwrap_or(0)).collect()
}

fn part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part { id: part_id(id)?, tokens: tokens.parse().ok()? })
}

/// Parses the id of a prompt part, written in hexadecimal.
pub fn part_id(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

/// Parses a time in seconds, which may be fractional; `None` if it is invalid. Times
/// above [`config::MAX_TIME`] are cut to that.
fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let max = config::MAX_TIME;
    (seconds >= 0.0).then(|| Duration::try_from_secs_f64(seconds).unwrap_or(max).min(max))
}

/// Parses a rate in calls per second; `None` if it is invalid.
fn rate(text: &str) -> Option<Rate> {
    Rate::per_second(text.trim().parse().ok()?)
}

/// Parses a time in milliseconds, which may be fractional; `None` if it is invalid or above
/// [`config::MAX_TIME`].
fn cold_left(text: &str) -> Option<Duration> {
    let millis: f64 = text.trim().parse().ok()?;
    let left = Duration::try_from_secs_f64(millis / 1000.0).ok()?;
    (left <= config::MAX_TIME).then_some(left)
}

fn load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    Some(Load { running: next()?, queued: next()?, places: next()?, age_ms: 0 })
}
