//! An engine's cache of prompt prefixes.

use std::collections::VecDeque;

use xxhash_rust::xxh3;

/// Number of bytes of a prompt that form its prefix.
pub const PREFIX_BYTES: usize = 64;

/// The most recently used prefixes, up to a limit.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    recent: VecDeque<u64>,
}

impl PrefixCache {
    /// Creates an empty cache for `limit` prefixes; 0 turns it off.
    pub fn new(limit: usize) -> PrefixCache {
        PrefixCache { limit, recent: VecDeque::new() }
    }

    /// Whether the prompt's prefix was cached; it is cached from now on.
    pub fn touch(&mut self, prompt: &str) -> bool {
        let prompt = prompt.as_bytes();
        let prefix = xxh3::xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)]);
        let found = self.recent.iter().position(|cached| *cached == prefix);
        if let Some(idx) = found {
            self.recent.remove(idx);
        }
        self.recent.push_front(prefix);
        self.recent.truncate(self.limit);
        found.is_some()
    }
}
