//! Gossip between instances in Cap'n Proto form.
//!
//! [`write_gossip`] and [`read_gossip`] convert between the core's message and the
//! wire format. Configuration snapshots are sent as the same JSON as in the log, so
//! that only one format of them exists.

use std::sync::Arc;

use peatdeck_core::{
    membership::{ConfigMark, EndpointState, Gossip, LeavingMark, MemberState},
    model::{Incarnation, Load},
};

use crate::peer_capnp;

/// Error in encoding or decoding a message between peers.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The Cap'n Proto message is malformed.
    #[error(
        "a peer's message is malformed ({0}); check that all instances run compatible versions"
    )]
    Capnp(#[from] capnp::Error),
    /// A text is not UTF-8.
    #[error(
        "a peer's message contains text that is not UTF-8; check that all instances run compatible versions"
    )]
    Text(#[from] std::str::Utf8Error),
    /// JSON inside the message, such as the configuration, is not of the form that
    /// this version reads.
    #[error(
        "JSON in a peer's message cannot be decoded ({0}); upgrade this instance to the peers' version"
    )]
    Json(#[from] serde_json::Error),
}

/// Encodes a gossip message.
///
/// # Errors
/// [`Error::Json`] if the configuration cannot be serialised.
pub fn write_gossip(gossip: &Gossip, mut to: peer_capnp::gossip::Builder<'_>) -> Result<(), Error> {
    to.set_from(&*gossip.from);
    to.set_wants_reply(gossip.wants_reply);
    to.set_wants_snapshot(gossip.wants_snapshot);
    let mut mark = to.reborrow().init_mark();
    mark.set_version(gossip.mark.version);
    mark.set_offset(gossip.mark.offset.map_or(0, |offset| offset + 1));
    if let Some(snapshot) = &gossip.snapshot {
        to.set_snapshot(&serde_json::to_vec(&**snapshot)?);
    }
    write_members(&gossip.members, to.reborrow().init_members(len(&gossip.members)));
    write_leaving(&gossip.leaving, to.reborrow().init_leaving(len(&gossip.leaving)));
    write_endpoints(&gossip.endpoints, to.init_endpoints(len(&gossip.endpoints)));
    Ok(())
}

/// Decodes a gossip message.
///
/// # Errors
/// Any [`Error`]; no part of a malformed message is used.
pub fn read_gossip(from: peer_capnp::gossip::Reader<'_>) -> Result<Gossip, Error> {
    let mark = from.get_mark()?;
    let snapshot = match from.get_snapshot()? {
        [] => None,
        json => Some(Arc::new(serde_json::from_slice(json)?)),
    };
    Ok(Gossip {
        from: text(from.get_from()?)?,
        wants_reply: from.get_wants_reply(),
        mark: ConfigMark { version: mark.get_version(), offset: mark.get_offset().checked_sub(1) },
        snapshot,
        wants_snapshot: from.get_wants_snapshot(),
        members: from.get_members()?.iter().map(read_member).collect::<Result<_, _>>()?,
        leaving: from.get_leaving()?.iter().map(read_leaving).collect::<Result<_, _>>()?,
        endpoints: from.get_endpoints()?.iter().map(read_endpoint).collect::<Result<_, _>>()?,
    })
}

fn write_members(
    members: &[MemberState],
    mut list: capnp::struct_list::Builder<'_, peer_capnp::member_state::Owned>,
) {
    for (idx, member) in (0..).zip(members) {
        let mut to = list.reborrow().get(idx);
        to.set_name(&*member.name);
        to.set_incarnation(member.incarnation.0);
        to.set_heartbeat(member.heartbeat);
        to.set_version(member.version);
        to.set_ready(member.ready);
    }
}

fn write_leaving(
    marks: &[LeavingMark],
    mut list: capnp::struct_list::Builder<'_, peer_capnp::leaving_mark::Owned>,
) {
    for (idx, mark) in (0..).zip(marks) {
        let mut to = list.reborrow().get(idx);
        to.set_endpoint(&*mark.endpoint);
        to.set_incarnation(mark.incarnation.0);
    }
}

fn write_endpoints(
    states: &[EndpointState],
    mut list: capnp::struct_list::Builder<'_, peer_capnp::endpoint_state::Owned>,
) {
    for (idx, state) in (0..).zip(states) {
        let mut to = list.reborrow().get(idx);
        to.set_endpoint(&*state.endpoint);
        to.set_in_flight(state.in_flight);
        if let Some(load) = state.load {
            to.set_has_load(true);
            to.set_running(load.running);
            to.set_queued(load.queued);
            to.set_places(load.places);
            to.set_age_ms(load.age_ms);
        }
    }
}

fn read_member(from: peer_capnp::member_state::Reader<'_>) -> Result<MemberState, Error> {
    Ok(MemberState {
        name: text(from.get_name()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        heartbeat: from.get_heartbeat(),
        version: from.get_version(),
        ready: from.get_ready(),
    })
}

fn read_leaving(from: peer_capnp::leaving_mark::Reader<'_>) -> Result<LeavingMark, Error> {
    Ok(LeavingMark {
        endpoint: text(from.get_endpoint()?)?,
        incarnation: Incarnation(from.get_incarnation()),
    })
}

fn read_endpoint(from: peer_capnp::endpoint_state::Reader<'_>) -> Result<EndpointState, Error> {
    let load = from.get_has_load().then(|| Load {
        running: from.get_running(),
        queued: from.get_queued(),
        places: from.get_places(),
        age_ms: from.get_age_ms(),
    });
    Ok(EndpointState {
        endpoint: text(from.get_endpoint()?)?,
        in_flight: from.get_in_flight(),
        load,
    })
}

fn text(from: capnp::text::Reader<'_>) -> Result<Arc<str>, Error> {
    Ok(Arc::from(from.to_str()?))
}

fn len<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).expect("gossip is bounded far below 2^32 items")
}
