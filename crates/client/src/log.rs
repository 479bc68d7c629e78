//! Appends to and reads from the streams of the platform's log.
//!
//! An append that fails with any error except [`http::Error::Unreachable`] may
//! have taken effect. Only reading the stream shows whether it has.

use std::{sync::Arc, time::Duration};

use ntex::client;
use peatdeck_core::record::{Batch, Entry, Offset, Stream};
use peatdeck_wire::platform::{AppendBody, AppendReply, ReadReply, RecordBody};
use serde::{Serialize, de::DeserializeOwned};

use crate::http;

/// Maximum length of a reply to a read, in bytes.
const MAX_READ_BYTES: usize = 64 << 20;
/// Maximum length of a reply to an append, in bytes.
const MAX_APPEND_REPLY_BYTES: usize = 4 << 10;
/// Time to wait for the response to a read beyond its long poll, and for each
/// following chunk.
const MAX_READ_GAP: Duration = Duration::from_secs(3);

/// Why an append or a read failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The HTTP exchange failed.
    #[error("log: {0}")]
    Http(#[from] http::Error),
    /// The stream contains a record that this version cannot read.
    #[error(
        "record {offset} of {stream} is unreadable ({cause}); upgrade this instance to the version that wrote it"
    )]
    Unreadable {
        /// The stream's name.
        stream: &'static str,
        /// The record's offset.
        offset: Offset,
        /// The parser's error.
        cause: serde_json::Error,
    },
    /// The record cannot be serialised as JSON.
    #[error("a record for {stream} cannot be written as JSON ({cause}); report it as a bug")]
    Unwritable {
        /// The stream's name.
        stream: &'static str,
        /// The serialiser's error.
        cause: serde_json::Error,
    },
}

/// Which records to read.
#[derive(Debug, Clone, Copy)]
pub struct Range {
    /// The first offset to read.
    pub from: Offset,
    /// Maximum number of records.
    pub max: u32,
    /// How long the log waits for a first record.
    pub wait: Duration,
}

/// A client of the log.
#[derive(Debug, Clone)]
pub struct Client {
    http: client::Client,
    addr: Arc<str>,
}

impl Client {
    /// Creates a client of the log at `addr`, `ip:port`.
    pub fn new(http: client::Client, addr: Arc<str>) -> Client {
        Client { http, addr }
    }

    /// Appends one record and returns its offset. Fails after `limit`.
    ///
    /// # Errors
    /// Any [`Error`]. Unless [`http::Error::is_unsent`] holds, the record may have
    /// been appended.
    pub async fn append<R: Serialize>(
        &self,
        stream: Stream,
        record: &R,
        limit: Duration,
    ) -> Result<Offset, Error> {
        let data = serde_json::to_string(record)
            .map_err(|cause| Error::Unwritable { stream: stream.name(), cause })?;
        let body = AppendBody { data: Arc::from(data) };
        let path = format!("/v1/streams/{}/records", stream.name());
        let reply: AppendReply = http::within(&self.addr, limit, async {
            let response = http::post(&self.http, &self.addr, &path, &body).await?;
            http::json(&self.addr, response, MAX_APPEND_REPLY_BYTES).await
        })
        .await?;
        Ok(reply.offset)
    }

    /// Reads records; if there is none yet, waits up to [`Range::wait`] for the
    /// first one.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no side effect and may be repeated.
    pub async fn read<R: DeserializeOwned>(
        &self,
        stream: Stream,
        range: Range,
    ) -> Result<Batch<R>, Error> {
        let path = format!(
            "/v1/streams/{}/records?from={}&max={}&wait_ms={}",
            stream.name(),
            range.from,
            range.max,
            range.wait.as_millis()
        );
        let request = http::get(&self.http, &self.addr, &path);
        let response = http::within(&self.addr, range.wait + MAX_READ_GAP, request).await?;
        let reply: ReadReply =
            http::large_json(&self.addr, response, MAX_READ_BYTES, MAX_READ_GAP).await?;
        parse(stream, range.from, reply)
    }
}

/// Parses the records of a reply.
///
/// Records that are not JSON were written by other software and are skipped.
/// JSON that this version cannot read was written by another version of this
/// software: skipping it could make the state of this instance diverge from that
/// of the others, so it is an error.
fn parse<R: DeserializeOwned>(
    stream: Stream,
    from: Offset,
    reply: ReadReply,
) -> Result<Batch<R>, Error> {
    let mut entries = Vec::with_capacity(reply.records.len());
    for RecordBody { offset, time_ms, data } in reply.records {
        match serde_json::from_str(&data) {
            Ok(record) => entries.push(Entry { offset, time_ms, record }),
            Err(cause) if cause.is_data() => {
                return Err(Error::Unreadable { stream: stream.name(), offset, cause });
            }
            Err(_) => {}
        }
    }
    let ReadReply { earliest, next, now_ms, .. } = reply;
    Ok(Batch { from, earliest, next, now_ms, entries })
}
