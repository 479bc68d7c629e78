#![allow(clippy::unwrap_used)]

use peatdeck_load::events::{Event, Parser};

fn event(name: &str, data: &str) -> Event {
    Event { name: name.to_owned(), data: data.to_owned() }
}

#[test]
fn events_are_returned_once_complete() {
    let mut parser = Parser::default();
    assert_eq!(parser.feed(b"event: text\nda"), []);
    assert_eq!(
        parser.feed(b"ta: {\"a\":1}\n\nevent: answer\ndata: x\n\nevent"),
        [event("text", "{\"a\":1}"), event("answer", "x")]
    );
    assert_eq!(parser.feed(b": error\ndata: y\n\n"), [event("error", "y")]);
}
