//! Parses server-sent events from the bytes of a streamed answer.

use peatdeck_macros::data;

/// A server-sent event.
#[data]
pub struct Event {
    /// Value of the `event` field.
    pub name: String,
    /// Value of the `data` field.
    pub data: String,
}

/// Incremental parser. Stores the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: Vec<u8>,
}

/// Separator of events.
const SEPARATOR: &[u8] = b"\n\n";

impl Parser {
    /// Adds received bytes and returns the events that are now complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find(&self.buffer, SEPARATOR) {
            let block: Vec<u8> = self.buffer.drain(..end + SEPARATOR.len()).collect();
            events.push(parse(&String::from_utf8_lossy(&block)));
        }
        events
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn parse(block: &str) -> Event {
    let mut event = Event { name: String::new(), data: String::new() };
    for line in block.lines() {
        if let Some(name) = line.strip_prefix("event:") {
            event.name = name.trim_start().to_owned();
        }
        if let Some(data) = line.strip_prefix("data:") {
            event.data.push_str(data.trim_start());
        }
    }
    event
}
