//! Versions that began streams, between instances in Cap'n Proto form.

use std::{collections::BTreeMap, sync::Arc};

use peatdeck_core::relay::{
    fingerprint::Fingerprint,
    rollout::Version,
    streams::{Origin, StreamId, StreamRecord},
};

use crate::{
    peer::Error,
    relay::{read_content, write_content},
    relay_capnp::{self, stream_records},
};

/// Size of a stream's id in bytes.
const ID_BYTES: usize = 16;

/// Encodes a stream's id.
pub fn write_stream(stream: StreamId) -> [u8; ID_BYTES] {
    write_content(stream.0)
}

/// Decodes a stream's id; an id of another length is that of no stream.
pub fn read_stream(from: &[u8]) -> StreamId {
    StreamId(read_content(from))
}

/// The records by version, as a message has them.
pub fn group_records(records: &[StreamRecord]) -> BTreeMap<&Version, Vec<u8>> {
    let mut groups: BTreeMap<_, Vec<u8>> = BTreeMap::new();
    for record in records {
        groups.entry(&record.version).or_default().extend(write_stream(record.stream));
    }
    groups
}

/// Encodes grouped records.
pub fn write_records(
    groups: &BTreeMap<&Version, Vec<u8>>,
    mut list: capnp::struct_list::Builder<'_, stream_records::Owned>,
) {
    for (idx, (version, streams)) in (0..).zip(groups) {
        let mut to = list.reborrow().get(idx);
        to.set_version(&***version);
        to.set_streams(streams);
    }
}

/// Decodes records.
///
/// # Errors
/// Any [`Error`]; no part of a malformed message is used.
pub fn read_records(
    list: capnp::struct_list::Reader<'_, stream_records::Owned>,
) -> Result<Vec<StreamRecord>, Error> {
    let mut records = Vec::new();
    for from in list {
        let version: Version = Arc::from(from.get_version()?.to_str()?);
        let streams = from.get_streams()?.chunks_exact(ID_BYTES);
        let record = |id| StreamRecord { stream: read_stream(id), version: version.clone() };
        records.extend(streams.map(record).filter(|it| it.stream.0 != Fingerprint::UNKNOWN));
    }
    Ok(records)
}

/// Encodes what an instance knows of a stream, and the version if it knows that.
pub fn write_origin(origin: &Origin) -> (relay_capnp::Origin, &str) {
    match origin {
        Origin::Version(version) => (relay_capnp::Origin::Version, version),
        Origin::Ambiguous => (relay_capnp::Origin::Ambiguous, ""),
        Origin::Unrecorded => (relay_capnp::Origin::Unrecorded, ""),
    }
}

/// Decodes what a peer knows of a stream.
pub fn read_origin(origin: relay_capnp::Origin, version: &str) -> Origin {
    match origin {
        relay_capnp::Origin::Version => Origin::Version(Arc::from(version)),
        relay_capnp::Origin::Ambiguous => Origin::Ambiguous,
        relay_capnp::Origin::Unrecorded => Origin::Unrecorded,
    }
}
