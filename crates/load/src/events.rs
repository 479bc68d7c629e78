//! Server-sent events, cut out of the bytes of a streamed answer.

use peatdeck_macros::data;

/// One event.
#[data]
pub struct Event {
    /// Its name.
    pub name: String,
    /// Its data.
    pub data: String,
}

/// Holds the bytes of an event that has not come whole yet.
#[derive(Debug, Default)]
pub struct Parser {
    rest: Vec<u8>,
}

/// What separates two events.
const SEPARATOR: &[u8] = b"\n\n";

impl Parser {
    /// Takes in bytes; gives the events that are whole now.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find(&self.rest, SEPARATOR) {
            let block: Vec<u8> = self.rest.drain(..end + SEPARATOR.len()).collect();
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
