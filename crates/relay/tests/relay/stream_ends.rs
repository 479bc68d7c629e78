//! Streams whose replies have no length, so that they end with their connection.

use crate::standins::{Conn, ReceivedRequest, ScriptedEndpoint, Site, request_head, stream_head};

/// What ends a whole reply to a caller.
const END: &str = "0\r\n\r\n";
/// The header of a stream that is sent in chunks.
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Writes the head of a reply without a length and two events.
fn begin_unframed(conn: &mut Conn, request: &ReceivedRequest) {
    let head = stream_head(&request.id());
    assert!(head.contains(CHUNKED), "{head}");
    conn.write(&head.replace(CHUNKED, "connection: close\r\n"));
    conn.write("id: 1\ndata: token-1\n\nid: 2\ndata: token-2\n\n");
}

fn stream_from(endpoint: ScriptedEndpoint) -> String {
    let site = Site::start(&[endpoint]);
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request_head("/stream/x", "connection: close\r\n"));
    conn.read_to_end()
}

#[test]
fn a_stream_that_is_closed_by_its_endpoints_end_is_not_taken_for_whole() {
    let text = stream_from(ScriptedEndpoint::crashing_after("/stream/", begin_unframed));
    assert!(text.contains("token-2"), "{text}");
    assert!(!text.ends_with(END), "{text}");
}

#[test]
fn a_stream_without_length_is_whole_if_its_endpoint_closes_it_and_stays() {
    let endpoint = ScriptedEndpoint::start(|_, conn| {
        let Some(request) = conn.read_request() else { return };
        begin_unframed(conn, &request);
        conn.close();
    });
    let text = stream_from(endpoint);
    assert!(text.contains("token-2"), "{text}");
    assert!(text.ends_with(END), "{text}");
}
