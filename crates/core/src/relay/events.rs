//! Splits a stream of server-sent events into whole events.
//!
//! A stream may break off anywhere. It is passed on one whole event at a time, so that
//! the caller never receives part of an event and another endpoint can resume after
//! the number of the last event.

use bytes::{Buf, Bytes, BytesMut};

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
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: number(&bytes), bytes })
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
