//! What makes two requests the same, whatever their ids.
//!
//! Each try of a caller has an id of its own, and so does each copy that another
//! caller sends. Whether they ask for the same work is told by what they are: method,
//! host, path with its query, body, and the team that sends them. Headers are left
//! out: deadlines and places to resume at differ between tries of the same work.

use std::fmt;

use peatdeck_macros::id;
use sha2::{Digest, Sha256};

/// Stands for a request's content. Two contents that meet in one fingerprint would
/// be answered for each other's failures, so it is 128 bits of a hash that nobody
/// can find two inputs for, and a caller cannot reach another team's requests.
#[id]
#[derive(Copy)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Of a content that was not told.
    pub const UNKNOWN: Fingerprint = Fingerprint(0);

    /// That of a request as its caller sent it.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8]) -> Fingerprint {
        digest(&[method.as_bytes(), host.as_bytes(), target.as_bytes(), body])
    }

    /// That of the same request from this team; nobody's where no key is needed.
    pub fn for_team(self, team: Option<&str>) -> Fingerprint {
        digest(&[&self.0.to_be_bytes(), team.unwrap_or_default().as_bytes()])
    }

    /// Reads it as it is written in logs; `None` if that is none.
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

/// The digest of parts, each with its length, so that none can pass for another.
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
