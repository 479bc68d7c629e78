//! Appends a record and reads it back.
//!
//! A record takes effect when it is read, so the acknowledgement of an append
//! decides nothing. After an append whose response was lost, the stream is
//! read, and the record is appended again only if it does not appear. That is
//! safe because duplicate records of this stream take effect once.

use std::time::Duration;

use peatdeck_client::{http, log};
use peatdeck_core::record::{ConfigRecord, Stream};

use crate::{context::Context, reader::State};

/// How long the stream is read after an append without a response before the
/// append is repeated.
const RESEND_AFTER: Duration = Duration::from_secs(1);
/// HTTP status of an append that exceeds the log's rate limit; it has no effect.
const STATUS_OVER_RATE: u16 = 429;

/// Why a record was not confirmed.
#[derive(Debug)]
pub enum Failure {
    /// The record was not appended.
    NotAppended(log::Error),
    /// The record may have been appended.
    Unknown,
}

/// Appends `record` and reads the stream until `confirm` returns its effect.
///
/// # Errors
/// [`Failure::NotAppended`] if the first append certainly had no effect,
/// [`Failure::Unknown`] if no effect is read within `Timeouts::confirm`.
pub async fn append_and_confirm<T>(
    ctx: &Context,
    record: &ConfigRecord,
    confirm: impl Fn(&State) -> Option<T>,
) -> Result<T, Failure> {
    let end = ctx.clock.now() + ctx.timeouts.confirm;
    let mut may_be_appended = false;
    loop {
        let left = end.saturating_sub(ctx.clock.now());
        if left.is_zero() {
            ctx.metrics.count("admin.append.unknown", 1);
            return Err(Failure::Unknown);
        }
        let appended = ctx.log.append(Stream::Config, record, left.min(ctx.timeouts.append)).await;
        let left = end.saturating_sub(ctx.clock.now());
        let wait = match appended {
            Ok(_) => left,
            Err(error) if has_no_effect(&error) && !may_be_appended => {
                return Err(Failure::NotAppended(error));
            }
            Err(_) => left.min(RESEND_AFTER),
        };
        may_be_appended = true;
        if let Some(value) = ctx.reader.wait_for(&*ctx.clock, wait, &confirm).await {
            return Ok(value);
        }
    }
}

fn has_no_effect(error: &log::Error) -> bool {
    match error {
        log::Error::Http(error) => {
            error.is_unsent()
                || matches!(error, http::Error::Refused { status: STATUS_OVER_RATE, .. })
        }
        log::Error::Unwritable { .. } => true,
        log::Error::Unreadable { .. } => false,
    }
}
