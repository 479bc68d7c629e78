//! The headers that callers and endpoints speak.
//!
//! What a header's value looks like is the product's own; only the names
//! differ between platforms, so a [`Dialect`] is a table of names and two
//! functions for the bodies of piece calls.

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

pub use crate::dialect::names::{HeaderNames, HeaderRule, Setter};

/// Headers that concern one connection only and are never passed on.
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
/// The same, of those that have no constant.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A call's path and body.
#[derive(Debug, Clone)]
pub struct PostRequest {
    /// The path.
    pub path: &'static str,
    /// The body.
    pub body: Bytes,
}

/// How callers and endpoints are spoken to.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names of the headers.
    pub names: HeaderNames,
    /// Has pieces made. Given the time from now until each has to be done.
    pub encode_pieces: fn(&[Piece], Duration) -> PostRequest,
    /// Reads what came of it; `None` if it cannot be read.
    pub decode_results: fn(&[u8]) -> Option<Vec<PieceResult>>,
    /// Gives results up.
    pub encode_free: fn(&[Handle]) -> PostRequest,
    /// The path at which an engine tells which parts of prompts it holds.
    pub parts_path: &'static str,
    /// Reads them; `None` if they cannot be read.
    pub decode_parts: fn(&[u8]) -> Option<HeldParts>,
}

/// A request that cannot be passed on as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The header of the request's id is missing.
    #[error("the request has no id; send one that is new for each attempt")]
    Id,
    /// The header of the deadline is no number.
    #[error("the deadline is not a whole number of milliseconds; send one, or leave it out")]
    Deadline,
    /// The request names no host.
    #[error("the request names no host; send the header `Host`")]
    Host,
}

impl Dialect {
    /// What decisions need of a caller's request, but for its content.
    ///
    /// # Errors
    /// [`Malformed`] if something that every request needs is missing.
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
            prompt: self.prompt(headers),
            pieces: text(headers, &names.pieces).map(counts).unwrap_or_default(),
            piece_key: text(headers, &names.piece_key).map(Arc::from),
            content: Fingerprint::UNKNOWN,
        })
    }

    /// The headers of a call: the caller's own, and those that the relay sets
    /// whatever the caller sent.
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

    /// The headers of an endpoint's reply that go to the caller.
    pub fn reply_headers(&self, mut reply: HeaderMap) -> HeaderMap {
        strip_hop_headers(&mut reply);
        self.names.retain_reply_headers(&mut reply);
        reply
    }

    /// What decisions need of a reply to the request with that id.
    pub fn reply_head(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> ReplyHead {
        let names = &self.names;
        let echo = text(headers, &names.request);
        let is_unrun = headers.contains_key(&names.not_run) || status.as_u16() == 421;
        ReplyHead {
            status: status.as_u16(),
            has_request_id: echo.map_or(is_unrun, |echo| echo == id),
            is_not_run: is_unrun,
            is_sealed: headers.contains_key(&names.seal)
                && !headers.contains_key(header::CONTENT_ENCODING),
            load: text(headers, &names.load).and_then(load),
            terms: self.terms(status, headers),
        }
    }

    fn terms(&self, status: StatusCode, headers: &HeaderMap) -> Terms {
        let names = &self.names;
        let is_turned_away =
            [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&status);
        let rest = text(headers, &header::RETRY_AFTER).and_then(seconds);
        Terms {
            cold_left: text(headers, &names.cold).and_then(cold),
            limit: text(headers, &names.limit).and_then(rate),
            is_leaving: text(headers, &names.leaving).is_some_and(|text| text.trim() != "0"),
            hold: rest.filter(|_| is_turned_away),
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

/// Removes what concerns one connection only.
fn strip_hop_headers(headers: &mut HeaderMap) {
    let named = text(headers, &header::CONNECTION).unwrap_or_default();
    let named: Vec<_> =
        named.split(',').filter_map(|name| HeaderName::try_from(name.trim()).ok()).collect();
    for name in HOP_HEADERS.iter().chain([&KEEP_ALIVE]).chain(&named) {
        headers.remove(name);
    }
}

/// A header's value as text.
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

/// A part's identity, as it is written in hexadecimal.
pub fn part_id(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

/// A time in seconds, whole or not; `None` if it makes no sense. A longer one than any
/// that is reckoned with is cut to that.
fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let longest = config::MAX_TIME;
    (seconds >= 0.0).then(|| Duration::try_from_secs_f64(seconds).unwrap_or(longest).min(longest))
}

/// A rate in calls a second; `None` if it makes no sense.
fn rate(text: &str) -> Option<Rate> {
    Rate::per_second(text.trim().parse().ok()?)
}

/// A time in milliseconds, whole or not; `None` if it makes no sense.
fn cold(text: &str) -> Option<Duration> {
    let millis: f64 = text.trim().parse().ok()?;
    let left = Duration::try_from_secs_f64(millis / 1000.0).ok()?;
    (left <= config::MAX_TIME).then_some(left)
}

fn load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    Some(Load { running: next()?, queued: next()?, places: next()?, age_ms: 0 })
}
