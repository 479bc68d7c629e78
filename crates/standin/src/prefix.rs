//! An engine's cache of prompt prefixes.

use std::collections::VecDeque;

use xxhash_rust::xxh3;

/// Bytes of a prompt that count as its prefix.
pub const PREFIX_BYTES: usize = 64;

/// The most recently used prefixes, up to a limit.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    recent: VecDeque<u64>,
}

impl PrefixCache {
    /// An empty cache for `limit` prefixes; 0 turns it off.
    pub fn new(limit: usize) -> PrefixCache {
        PrefixCache { limit, recent: VecDeque::new() }
    }

    /// Whether the prompt's prefix was cached; it is from now on.
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
