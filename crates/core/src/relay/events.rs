//! Splits a stream of server-sent events into whole events.
//!
//! A stream may break off anywhere. It is passed on one whole event at a time, so that
//! the caller never receives part of an event and another endpoint can resume after
//! the number of the last event.

use bytes::{Buf, Bytes, BytesMut};

/// The largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// The field that holds the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number; `None` if it has no `id` field, or one that is not a number.
    pub id: Option<u64>,
    /// Its bytes, including the empty line that ends it.
    pub bytes: Bytes,
}

/// An event is larger than any that is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event; `None` until more bytes are received.
    ///
    /// # Errors
    /// [`EventTooLong`] if the next event is too long, even if its end has not been received.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        let end = self.find_end();
        if end.unwrap_or(self.buffer.len()) > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let Some(end) = end else { return Ok(None) };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Event { id: number(&bytes), bytes }))
    }

    /// Received bytes that do not form a whole event yet.
    pub fn incomplete(&self) -> &[u8] {
        self.buffer.chunk()
    }

    /// The position after the first empty line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let start = self.scanned.saturating_sub(3);
        for at in start..bytes.len() {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.scanned = bytes.len();
        None
    }
}

fn number(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    text.trim().parse().ok()
}
