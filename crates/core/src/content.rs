//! Callers' texts, and what decisions need to know of them.
//!
//! Decisions never look into a text. They need three things of it: whether two
//! requests are the same, whether two prompts start alike, and that pieces
//! joined give the whole. A hashed text keeps all three, so that a recorded
//! trace may go without the texts themselves and still gives the same
//! decisions.
//!
//! A hashed text is a mark, `#HASH.BYTES.PREFIX.DIGEST;`. The hash is a
//! polynomial, so the marks of pieces in a row stand for the whole text. The
//! digest is there for requests only.
//!
//! The traps:
//!
//! - A hash hides a text only from those who cannot guess it. Short or known
//!   texts can be found by trying.
//! - The start of pieces in a row is that of the first piece. Where an engine
//!   stage takes another engine stage's text, and its first piece is shorter
//!   than [`PREFIX_BYTES`], the replayed choice of an engine may differ.

use std::fmt::Write;

use peatdeck_macros::message;
use xxhash_rust::xxh3;

use crate::model::{Request, Text};

/// Bytes of a prompt's start that name its cached prefix.
pub const PREFIX_BYTES: usize = 64;
/// Modulus of the polynomial: a Mersenne prime.
const MODULUS: u64 = (1 << 61) - 1;
/// Where the polynomial is taken.
const BASE: u64 = 0x0f3a_91c5_4e27_d86b;

/// How an instance reads the texts that it is given.
#[message]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// As they are.
    #[default]
    Keep,
    /// They are marks.
    Hash,
}

impl Content {
    /// Digest of what must be equal in two requests with the same key.
    pub fn digest(self, request: &Request) -> u64 {
        let marked = match self {
            Content::Keep => None,
            Content::Hash => Mark::read(&request.input).and_then(|mark| mark.digest),
        };
        marked.unwrap_or_else(|| digest(request))
    }

    /// Names the prefix that an engine may hold in its cache.
    pub fn prefix(self, text: &str) -> u64 {
        let marked = match self {
            Content::Keep => None,
            Content::Hash => Mark::read(text).map(|mark| mark.prefix),
        };
        marked.unwrap_or_else(|| prefix(text))
    }

    /// Whether two texts are the same, however they are cut into pieces.
    pub fn is_same(self, one: &str, other: &str) -> bool {
        let whole = |text| Mark::read(text).map(|mark| (mark.hash, mark.bytes));
        match self {
            Content::Keep => one == other,
            Content::Hash => one == other || whole(one).is_some_and(|w| Some(w) == whole(other)),
        }
    }
}

/// The mark of a text.
pub fn hash_text(text: &str) -> Text {
    Mark::of(text).write()
}

/// The mark of a request's input.
pub fn hash_input(request: &Request) -> Text {
    Mark { digest: Some(digest(request)), ..Mark::of(&request.input) }.write()
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

/// What stands for a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Mark {
    hash: u64,
    bytes: u64,
    prefix: u64,
    digest: Option<u64>,
}

impl Mark {
    fn of(text: &str) -> Mark {
        let step = |hash, byte: &u8| add(multiply(hash, BASE), u64::from(*byte) + 1);
        Mark {
            hash: text.as_bytes().iter().fold(0, step),
            bytes: text.len() as u64,
            prefix: prefix(text),
            digest: None,
        }
    }

    /// Reads one mark or several in a row; `None` for any other text.
    fn read(text: &str) -> Option<Mark> {
        let marks = text.strip_suffix(';')?.split(';').map(Mark::read_one);
        marks.reduce(|one, next| Some(one?.join(next?)))?
    }

    fn read_one(text: &str) -> Option<Mark> {
        let mut parts = text.strip_prefix('#')?.split('.');
        let mut hex = || u64::from_str_radix(parts.next()?, 16).ok();
        Some(Mark { hash: hex()?, bytes: hex()?, prefix: hex()?, digest: hex() })
    }

    fn join(self, next: Mark) -> Mark {
        let hash = add(multiply(self.hash, power(next.bytes)), next.hash);
        let prefix = if self.bytes == 0 { next.prefix } else { self.prefix };
        Mark { hash, bytes: self.bytes + next.bytes, prefix, digest: None }
    }

    fn write(self) -> Text {
        let mut text = format!("#{:x}.{:x}.{:x}", self.hash, self.bytes, self.prefix);
        if let Some(digest) = self.digest {
            write!(text, ".{digest:x}").expect("a string takes everything");
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
    u64::try_from(product).expect("the modulus fits")
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
