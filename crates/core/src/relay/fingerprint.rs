//! Identifies requests for the same work, regardless of their ids.
//!
//! Each attempt of a caller has an id of its own, and so has each copy that another
//! caller sends. Two requests ask for the same work if method, host, path with query,
//! body and team are equal. Headers are left out: deadlines and positions to resume
//! from differ between attempts at the same work.
//!
//! A part that several prompts share has a fingerprint too, since it may be what makes
//! requests with different contents fail.

use std::fmt;

use peatdeck_macros::id;
use sha2::{Digest, Sha256};

/// Identifies the content of a request. Two contents with the same fingerprint would
/// be refused for each other's crashes, so it is 128 bits of a collision-resistant
/// hash. It includes the team, so that a caller cannot affect another team's requests.
#[id]
#[derive(Copy)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a request whose content is not known.
    pub const UNKNOWN: Fingerprint = Fingerprint(0);

    /// The fingerprint of a request as its caller sent it, without the team.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8]) -> Fingerprint {
        digest(&[method.as_bytes(), host.as_bytes(), target.as_bytes(), body])
    }

    /// The fingerprint of the same request from this team; `None` where callers need no
    /// key.
    pub fn for_team(self, team: Option<&str>) -> Fingerprint {
        digest(&[&self.0.to_be_bytes(), team.unwrap_or_default().as_bytes()])
    }

    /// The fingerprint of a part of prompts for a service. It includes no team: what a part
    /// does to an endpoint does not depend on who sends it.
    pub fn of_part(service: &str, part: u64) -> Fingerprint {
        digest(&[b"part", service.as_bytes(), &part.to_be_bytes()])
    }

    /// The fingerprint of the stream that an attempt began. Attempts of other teams may have the
    /// same id.
    pub fn of_stream(team: Option<&str>, attempt: &str) -> Fingerprint {
        let team = team.unwrap_or_default();
        digest(&[b"stream", team.as_bytes(), attempt.as_bytes()])
    }

    /// Parses the form that logs contain; `None` if `text` is not a fingerprint.
    pub fn parse(text: &str) -> Option<Fingerprint> {
        let is_whole = text.len() == 32;
        is_whole.then(|| u128::from_str_radix(text, 16).ok().map(Fingerprint))?
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Hashes the parts, each preceded by its length, so that different lists of parts are
/// never hashed as the same bytes.
fn digest(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let (first, _) = digest.split_at(16);
    Fingerprint(u128::from_be_bytes(first.try_into().expect("half of 32 bytes")))
}
