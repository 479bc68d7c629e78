//! Appends a record and reads it back.
//!
//! The acknowledgement of an append is not what counts: the record counts once
//! it was read. An append whose answer is lost is therefore settled by reading,
//! and sent again only while reading doesn't show it. The records of this
//! stream count once however often they stand, so that is harmless.

use std::time::Duration;

use peatdeck_client::{http, log};
use peatdeck_core::record::{ConfigRecord, Stream};

use crate::{context::Context, reader::State};

/// How long reading goes on before an append without an answer is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(1);
/// The status with which the log refuses an append over its rate: it has no effect.
const STATUS_OVER_RATE: u16 = 429;

/// Why a record could not be settled.
#[derive(Debug)]
pub enum Failure {
    /// It was certainly not appended.
    NotAppended(log::Error),
    /// It may have been appended.
    Unknown,
}

/// Appends `record` and reads on until `confirm` shows its effect.
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
