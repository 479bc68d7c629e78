//! Splitting a byte stream into server-sent events.

use peatdeck_core::relay::events::{EventTooLong, Splitter};

fn split(chunks: &[&str]) -> (Vec<(Option<u64>, String)>, String) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes());
        while let Some(event) = splitter.next_event().unwrap() {
            events.push((event.id, String::from_utf8(event.bytes.to_vec()).unwrap()));
        }
    }
    (events, String::from_utf8(splitter.incomplete().to_vec()).unwrap())
}

#[test]
fn an_event_ends_with_an_empty_line() {
    let (events, incomplete) = split(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n"]);
    assert_eq!(
        events,
        [(Some(1), "id: 1\ndata: a\n\n".to_owned()), (Some(2), "id: 2\ndata: b\n\n".to_owned())]
    );
    assert_eq!(incomplete, "id: 3\n");
}

#[test]
fn chunk_boundaries_make_no_difference() {
    let text = "id: 7\ndata: x\n\ndata: without a number\r\n\r\nid:8\n\n";
    let whole = split(&[text]);
    for at in 0..text.len() {
        assert_eq!(split(&[&text[..at], &text[at..]]), whole, "split at {at}");
    }
    assert_eq!(whole.0.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [Some(7), None, Some(8)]);
}

#[test]
fn an_event_without_end_is_given_up() {
    let mut splitter = Splitter::default();
    let chunk = [b'x'; 1 << 10];
    let chunks = (0..).take_while(|_| {
        splitter.push(&chunk);
        splitter.next_event() != Err(EventTooLong)
    });
    assert_eq!(chunks.count(), 256);
}
