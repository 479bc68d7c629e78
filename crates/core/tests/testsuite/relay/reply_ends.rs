//! Which replies that have ended are taken for whole.

use peatdeck_core::relay::{
    config::RequestKind,
    model::{
        BodyEnd::{self, Cut, Framed, Likely, Outlived, Unknown},
        Failure, ReplyContent,
    },
};

use super::fixture::{World, arrival};

/// The ends with which a reply is whole, if so many calls of two failed before.
fn whole_ends(kind: RequestKind, failed: usize, content: ReplyContent) -> Vec<BodyEnd> {
    let mut world = World::plain(kind);
    let key = world.submit(arrival("1", "r"));
    for _ in 0..failed {
        let call = world.call();
        world.fail(call.key, Failure::Cut);
    }
    let ends = [Framed, Outlived, Likely, Cut, Unknown];
    ends.into_iter().filter(|end| world.relay.is_whole(key, *end, content)).collect()
}

#[test]
fn a_stream_without_length_and_events_is_not_whole() {
    let none = ReplyContent::Events(0);
    assert_eq!(whole_ends(RequestKind::Stream, 0, none), [Framed]);
    assert_eq!(whole_ends(RequestKind::Resumable, 0, none), [Framed]);
    assert_eq!(whole_ends(RequestKind::Resumable, 1, none), [Framed]);
}

#[test]
fn a_stream_without_length_is_whole_if_its_endpoint_has_outlived_it() {
    let events = ReplyContent::Events(3);
    assert_eq!(whole_ends(RequestKind::Stream, 0, events), [Framed, Outlived, Likely, Unknown]);
    assert_eq!(whole_ends(RequestKind::Resumable, 0, events), [Framed, Outlived]);
    assert_eq!(whole_ends(RequestKind::Resumable, 1, events), [Framed, Outlived, Likely]);
}

#[test]
fn an_empty_success_without_length_is_whole_only_if_it_may_not_be_repeated() {
    let empty = ReplyContent::EmptySuccess;
    assert_eq!(whole_ends(RequestKind::Idempotent, 0, empty), [Framed]);
    assert_eq!(whole_ends(RequestKind::Idempotent, 1, empty), [Framed]);
    assert_eq!(whole_ends(RequestKind::Once, 0, empty), [Framed, Outlived, Likely, Unknown]);
}

#[test]
fn any_other_reply_without_length_is_whole_if_its_endpoint_has_outlived_it() {
    let whole = ReplyContent::Whole;
    assert_eq!(whole_ends(RequestKind::Idempotent, 0, whole), [Framed, Outlived, Likely]);
    assert_eq!(whole_ends(RequestKind::Once, 0, whole), [Framed, Outlived, Likely, Unknown]);
}
