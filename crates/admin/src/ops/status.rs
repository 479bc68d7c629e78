//! Gathers the status of all listed instances.

use std::{collections::BTreeMap, time::Duration};

use futures::{StreamExt, stream};
use peatdeck_core::{
    model::{InstanceEntry, InstanceName},
    record::Version,
};
use peatdeck_platform::entry;
use peatdeck_wire::admin::{EntryStatus, Missing, StatusReply};

use crate::{context::Context, error::Error};

/// Instances asked at the same time.
const PARALLEL: usize = 32;
/// First pause between two rounds of asking who has a version in force.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Who has a version in force.
#[derive(Debug, Default)]
pub struct Spread {
    /// Instances that have it or a later one.
    pub in_force: Vec<InstanceName>,
    /// Listed instances that did not say so.
    pub missing: Vec<Missing>,
}

/// The status of every listed instance.
///
/// # Errors
/// [`Error::ListOut`].
pub async fn status(ctx: &Context) -> Result<StatusReply, Error> {
    let listing = ctx.list.read().await.map_err(|cause| Error::ListOut(cause.to_string()))?;
    let mut reply = StatusReply { entries: Vec::new(), missing: Vec::new() };
    for (instance, answer) in ask(ctx, &listing.instances).await {
        match answer {
            Ok(status) => reply.entries.push(status),
            Err(reason) => reply.missing.push(Missing { instance, reason: reason.into() }),
        }
    }
    reply.entries.sort_by(|a, b| a.instance.cmp(&b.instance));
    reply.missing.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok(reply)
}

/// Asks until all listed instances have `version` in force, for a bounded time.
/// Only those that haven't said so are asked again.
pub async fn wait_in_force(ctx: &Context, version: Version) -> Spread {
    let end = ctx.clock.now() + ctx.bounds.in_force;
    let mut spread = Spread::default();
    let mut pause = FIRST_PAUSE;
    loop {
        let complete = round(ctx, version, &mut spread).await;
        let left = end.saturating_sub(ctx.clock.now());
        if complete || left.is_zero() {
            spread.in_force.sort();
            spread.missing.sort_by(|a, b| a.instance.cmp(&b.instance));
            return spread;
        }
        tokio::time::sleep(pause.min(left)).await;
        pause = MAX_PAUSE.min(pause * 2);
    }
}

/// One round of asking. Whether nobody is missing.
async fn round(ctx: &Context, version: Version, spread: &mut Spread) -> bool {
    let Ok(listing) = ctx.list.read().await else {
        let reason = "the platform's list is out; it is not known who should answer";
        spread.missing = vec![Missing { instance: "*".into(), reason: reason.into() }];
        return false;
    };
    let instances: Vec<InstanceEntry> =
        listing.instances.into_iter().filter(|i| !spread.in_force.contains(&i.name)).collect();
    let mut missing = BTreeMap::new();
    for (instance, answer) in ask(ctx, &instances).await {
        match answer.and_then(|status| has_version(&status, version)) {
            Ok(()) => spread.in_force.push(instance),
            Err(reason) => {
                missing.insert(instance, reason);
            }
        }
    }
    spread.missing = missing
        .into_iter()
        .map(|(instance, reason)| Missing { instance, reason: reason.into() })
        .collect();
    spread.missing.is_empty()
}

fn has_version(status: &EntryStatus, version: Version) -> Result<(), String> {
    if status.version >= version {
        return Ok(());
    }
    match status.reasons.as_slice() {
        [] => Err(format!("has version {} in force", status.version)),
        [reason, ..] => Err(format!("has version {} in force: {reason}", status.version)),
    }
}

/// Each instance's status, or why there is none.
async fn ask(
    ctx: &Context,
    instances: &[InstanceEntry],
) -> Vec<(InstanceName, Result<EntryStatus, String>)> {
    stream::iter(instances)
        .map(|instance| async {
            let answer = entry::status(&ctx.http, &instance.http_addr, ctx.bounds.status).await;
            (instance.name.clone(), answer.map_err(|cause| cause.to_string()))
        })
        .buffer_unordered(PARALLEL)
        .collect()
        .await
}
