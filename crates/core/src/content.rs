//! Texts of callers, and what decisions need to know of them.
//!
//! Decisions never depend on the content of a text. They need to know only whether two requests are
//! the same, whether two prompts have the same prefix, and that pieces joined give the whole. A
//! text hash keeps all three, so that a recorded trace without the texts themselves still replays
//! to the same decisions.
//!
//! A text hash has the form `#HASH.BYTES.PREFIX.DIGEST;`. HASH is a polynomial hash, so the hashes
//! of consecutive pieces stand for the whole text. Only the inputs of requests have a DIGEST.
//!
//! Pitfalls:
//!
//! - A hash protects a text only from those who cannot guess it. Short or known texts can be found
//!   by trying candidates.
//! - The prefix of consecutive pieces is that of the first piece. Where an engine stage takes the
//!   output of another engine stage whose first piece is shorter than [`PREFIX_BYTES`], the replay
//!   may choose another engine.

use std::fmt::Write;

use peatdeck_macros::message;
use xxhash_rust::xxh3;

use crate::model::{Request, Text};

/// Length of the prompt prefix by which cached prompts are identified, in bytes.
pub const PREFIX_BYTES: usize = 64;
/// Modulus of the polynomial: a Mersenne prime.
const MODULUS: u64 = (1 << 61) - 1;
/// The base of the polynomial hash.
const BASE: u64 = 0x0f3a_91c5_4e27_d86b;

/// How an instance interprets the texts that it is given.
#[message]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// As plain text.
    #[default]
    Keep,
    /// As text hashes.
    Hash,
}

impl Content {
    /// Digest of what must be equal in two requests with the same key.
    pub fn digest(self, request: &Request) -> u64 {
        let parsed = match self {
            Content::Keep => None,
            Content::Hash => TextHash::parse(&request.input).and_then(|hash| hash.digest),
        };
        parsed.unwrap_or_else(|| digest(request))
    }

    /// Identifies the prompt prefix that an engine may have cached.
    pub fn prefix(self, text: &str) -> u64 {
        let parsed = match self {
            Content::Keep => None,
            Content::Hash => TextHash::parse(text).map(|hash| hash.prefix),
        };
        parsed.unwrap_or_else(|| prefix(text))
    }

    /// Whether two texts are the same, however they are split into pieces.
    pub fn is_same(self, one: &str, other: &str) -> bool {
        let whole = |text| TextHash::parse(text).map(|hash| (hash.hash, hash.bytes));
        match self {
            Content::Keep => one == other,
            Content::Hash => one == other || whole(one).is_some_and(|w| Some(w) == whole(other)),
        }
    }
}

/// The hash of a text, as a text.
pub fn hash_text(text: &str) -> Text {
    TextHash::of(text).to_text()
}

/// The hash of a request's input, as a text.
pub fn hash_input(request: &Request) -> Text {
    TextHash { digest: Some(digest(request)), ..TextHash::of(&request.input) }.to_text()
}

fn digest(request: &Request) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(request.pipeline.as_bytes());
    hasher.update(&[0, u8::from(request.idempotent)]);
    hasher.update(request.input.as_bytes());
    hasher.digest()
}

fn prefix(text: &str) -> u64 {
    let end = text.len().min(PREFIX_BYTES);
    xxh3::xxh3_64(&text.as_bytes()[..end])
}

/// What is kept of a hashed text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TextHash {
    hash: u64,
    bytes: u64,
    prefix: u64,
    digest: Option<u64>,
}

impl TextHash {
    fn of(text: &str) -> TextHash {
        let step = |hash, byte: &u8| add(multiply(hash, BASE), u64::from(*byte) + 1);
        TextHash {
            hash: text.as_bytes().iter().fold(0, step),
            bytes: text.len() as u64,
            prefix: prefix(text),
            digest: None,
        }
    }

    /// Parses one or several consecutive text hashes; `None` for any other text.
    fn parse(text: &str) -> Option<TextHash> {
        let hashes = text.strip_suffix(';')?.split(';').map(TextHash::parse_one);
        hashes.reduce(|one, next| Some(one?.join(next?)))?
    }

    fn parse_one(text: &str) -> Option<TextHash> {
        let mut parts = text.strip_prefix('#')?.split('.');
        let mut hex = || u64::from_str_radix(parts.next()?, 16).ok();
        Some(TextHash { hash: hex()?, bytes: hex()?, prefix: hex()?, digest: hex() })
    }

    fn join(self, next: TextHash) -> TextHash {
        let hash = add(multiply(self.hash, power(next.bytes)), next.hash);
        let prefix = if self.bytes == 0 { next.prefix } else { self.prefix };
        TextHash { hash, bytes: self.bytes + next.bytes, prefix, digest: None }
    }

    fn to_text(self) -> Text {
        let mut text = format!("#{:x}.{:x}.{:x}", self.hash, self.bytes, self.prefix);
        if let Some(digest) = self.digest {
            write!(text, ".{digest:x}").expect("writing to a string never fails");
        }
        text.push(';');
        text.into()
    }
}

fn add(one: u64, other: u64) -> u64 {
    (one + other) % MODULUS
}

fn multiply(one: u64, other: u64) -> u64 {
    let product = u128::from(one) * u128::from(other) % u128::from(MODULUS);
    u64::try_from(product).expect("a value below the modulus fits")
}

fn power(mut exponent: u64) -> u64 {
    let (mut result, mut base) = (1, BASE);
    while exponent > 0 {
        if exponent & 1 == 1 {
            result = multiply(result, base);
        }
        base = multiply(base, base);
        exponent >>= 1;
    }
    result
}
