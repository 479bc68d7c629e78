//! Versions that began streams in Cap'n Proto form: between instances, and in the platform's log.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use capnp::message::ReaderOptions;

use peatdeck_core::relay::{
    fingerprint::Fingerprint,
    rollout::Version,
    streams::{Origin, StreamId, StreamRecord},
};

use crate::{
    peer::Error,
    relay::{read_content, write_content},
    relay_capnp::{self, logged_streams, stream_records},
};

/// Size of a stream's id in bytes.
const ID_BYTES: usize = 16;
/// Size of a stream's id in the platform's log, in bytes.
const SHORT_ID_BYTES: usize = 8;

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

/// A record of the platform's log of streams.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedStreams {
    /// The versions that began streams. Of each id only the part that the log has is known.
    pub records: Vec<StreamRecord>,
    /// When the record was written, since the Unix epoch by the writer's clock.
    pub written: Duration,
}

/// Encodes a record of the platform's log.
pub fn write_logged(logged: &LoggedStreams) -> Vec<u8> {
    let mut groups: BTreeMap<_, Vec<u8>> = BTreeMap::new();
    for record in &logged.records {
        groups.entry(&record.version).or_default().extend(record.stream.short().to_be_bytes());
    }
    let mut message = capnp::message::Builder::new_default();
    let mut root = message.init_root::<logged_streams::Builder<'_>>();
    root.set_written_ms(u64::try_from(logged.written.as_millis()).unwrap_or(u64::MAX));
    write_records(&groups, root.init_records(groups.len() as u32));
    capnp::serialize::write_message_to_words(&message)
}

/// Decodes a record of the platform's log.
///
/// # Errors
/// Any [`Error`]; no part of a malformed record is used.
pub fn read_logged(mut bytes: &[u8]) -> Result<LoggedStreams, Error> {
    let message = capnp::serialize::read_message(&mut bytes, ReaderOptions::new())?;
    let root = message.get_root::<logged_streams::Reader<'_>>()?;
    let mut records = Vec::new();
    for from in root.get_records()? {
        let version: Version = Arc::from(from.get_version()?.to_str()?);
        let (ids, _) = from.get_streams()?.as_chunks::<SHORT_ID_BYTES>();
        let streams = ids.iter().map(|id| StreamId::from_short(u64::from_be_bytes(*id)));
        records.extend(streams.map(|stream| StreamRecord { stream, version: version.clone() }));
    }
    Ok(LoggedStreams { records, written: Duration::from_millis(root.get_written_ms()) })
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
