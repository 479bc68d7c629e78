//! Server-sent events cut into whole ones.
//!
//! A stream that may be cut anywhere is passed on event by event, so that a
//! caller never holds half of one and the number of the last whole event says
//! where another endpoint goes on.

use bytes::{Buf, Bytes, BytesMut};

/// The field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
}

/// Cuts a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Takes in bytes as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: number(&bytes), bytes })
    }

    /// Bytes that are held back because they do not make a whole event.
    pub fn incomplete(&self) -> &[u8] {
        self.buffer.chunk()
    }

    /// Position behind the first empty line.
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
