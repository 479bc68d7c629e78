//! Splits newline-delimited text into lines as bytes arrive.
//!
//! Chunks of a stream end anywhere, even within a character; a line is
//! returned only once its newline has arrived. Bytes that remain at the end of
//! the stream are a truncated line and are never returned.

/// Splits chunks into lines. Memory is bounded by the longest line and one chunk.
#[derive(Debug)]
pub struct Lines {
    buf: Vec<u8>,
    start: usize,
    scanned: usize,
    limit: usize,
}

/// A line that is longer than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a line is longer than {0} bytes; raise the limit or shorten the lines sent")]
pub struct LineTooLong(pub usize);

impl Lines {
    /// Creates a splitter for lines of at most `limit` bytes, not counting the
    /// newline.
    pub fn new(limit: usize) -> Lines {
        Lines { buf: Vec::new(), start: 0, scanned: 0, limit }
    }

    /// Appends a chunk to the buffer.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.drain(..self.start);
        self.scanned -= self.start;
        self.start = 0;
        self.buf.extend_from_slice(chunk);
    }

    /// The next complete line without its newline; `None` until more bytes
    /// arrive. Blank lines are skipped.
    ///
    /// # Errors
    /// [`LineTooLong`] as soon as a line exceeds the limit.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        loop {
            let Some(len) = self.buf[self.scanned..].iter().position(|&byte| byte == b'\n') else {
                self.scanned = self.buf.len();
                return match self.is_too_long(self.start..self.scanned) {
                    true => Err(LineTooLong(self.limit)),
                    false => Ok(None),
                };
            };
            let line = self.start..self.scanned + len;
            self.start = line.end + 1;
            self.scanned = self.start;
            if self.is_too_long(line.clone()) {
                return Err(LineTooLong(self.limit));
            }
            if !self.buf[line.clone()].trim_ascii().is_empty() {
                return Ok(Some(self.buf[line].trim_ascii()));
            }
        }
    }

    /// Whether the buffer contains bytes of an incomplete line.
    pub fn has_partial_line(&self) -> bool {
        self.start < self.buf.len()
    }

    fn is_too_long(&self, line: std::ops::Range<usize>) -> bool {
        line.len() > self.limit
    }
}
