//! The region in messages between instances, and records of the log of streams.

use std::{sync::Arc, time::Duration};

use capnp::message;
use peatdeck_core::relay::{
    fingerprint::Fingerprint,
    model::{Piece, PlacementRequest, Prompt},
    region::RegionName,
    streams::{StreamId, StreamRecord},
};
use peatdeck_wire::{
    relay as wire,
    relay_capnp::relay,
    streams::{LoggedStreams, read_logged, write_logged},
};

const NOW: Duration = Duration::from_secs(5);

fn piece(region: Option<&str>) -> Piece {
    Piece {
        route: Default::default(),
        service: "maker".into(),
        request: "r".into(),
        stage: 0,
        number: 1,
        key: Some("k".into()),
        inputs: Vec::new(),
        bytes: 10,
        deadline: NOW + Duration::from_secs(1),
        target: NOW + Duration::from_secs(1),
        priority: 0,
        destination: None,
        round: 0,
        tries: 0,
        is_repeat: false,
        is_begun: false,
        is_resumed: false,
        content: Fingerprint(7),
        is_isolated: false,
        is_last_reader: false,
        region: region.map(Arc::from),
    }
}

fn request(region: Option<&str>) -> PlacementRequest {
    PlacementRequest {
        service: "llm".into(),
        prompt: Prompt { parts: Vec::new(), input: 4, output: 5 },
        inputs: Vec::new(),
        excluded: Vec::new(),
        region: region.map(Arc::from),
    }
}

// A region that is lost on the way lets a bound request run anywhere.
#[test]
fn the_region_of_a_piece_and_of_a_placement_request_is_sent() {
    for region in [Some("south"), None] {
        let mut message = message::Builder::new_default();
        let mut params = message.init_root::<relay::make_params::Builder<'_>>();
        wire::write_pieces(NOW, &[piece(region)], params.reborrow().init_pieces(1));
        let pieces = wire::read_pieces(NOW, params.into_reader().get_pieces().unwrap()).unwrap();
        assert_eq!(pieces, [piece(region)]);

        let mut message = message::Builder::new_default();
        let mut params = message.init_root::<relay::place_params::Builder<'_>>();
        wire::write_placement_request(&request(region), params.reborrow().init_question());
        let question = params.into_reader().get_question().unwrap();
        assert_eq!(wire::read_placement_request(question).unwrap(), request(region));
    }
}

// Guards against an update of one instance after another in which earlier builds' messages are
// refused: they have no field for the region.
#[test]
fn messages_of_the_build_before_name_no_region() {
    let mut message = message::Builder::new_default();
    let mut params = message.init_root::<relay::make_params::Builder<'_>>();
    params.reborrow().init_pieces(1).get(0).set_service("maker");
    let pieces = wire::read_pieces(NOW, params.into_reader().get_pieces().unwrap()).unwrap();
    let region: Option<RegionName> = pieces[0].region.clone();
    assert_eq!((&*pieces[0].service, region), ("maker", None));
}

/// A record of the log with this number of streams of two versions.
fn logged(count: u64) -> LoggedStreams {
    let record = |idx: u64| {
        let version = Arc::from(if idx < count / 2 { "v1" } else { "v2" });
        StreamRecord { stream: StreamId::from_short(idx + 1), version }
    };
    LoggedStreams { records: (0..count).map(record).collect(), written: NOW }
}

// A second of streams at the design size must cost less than a third of 2 kB.
#[test]
fn a_record_of_the_log_of_streams_is_read_as_it_was_written() {
    let bytes = write_logged(&logged(62));
    assert_eq!(read_logged(&bytes).unwrap(), logged(62));
    assert!(bytes.len() < 650, "{} bytes", bytes.len());
}

// Any process may write to the platform's topics.
#[test]
fn a_record_of_the_log_that_is_cut_or_foreign_is_an_error() {
    let bytes = write_logged(&logged(62));
    for len in [0, 1, 40, bytes.len() - 8] {
        assert!(read_logged(&bytes[..len]).is_err(), "{len} bytes");
    }
    assert!(read_logged(b"{\"not\": \"ours\"}").is_err());
}
