//! Collects the status and the outcome counts of all listed instances.
//!
//! Outcomes are requested only if needed, and each response is added to the
//! sums when it arrives: a status with the outcomes of a day takes megabytes.

use std::{collections::BTreeMap, pin::pin, sync::Arc, time::Duration};

use futures::{Stream, StreamExt, stream};
use peatdeck_client::entry;
use peatdeck_core::{
    model::{InstanceEntry, InstanceName, Presence},
    record::Version,
};
use peatdeck_macros::id;
use peatdeck_wire::admin::{
    EntryStatus, MissingInstance, OutcomeCount, OutcomesReply, StatusReply,
};

use crate::{context::Context, error::Error};

/// Maximum number of concurrent status requests.
const MAX_CONCURRENT: usize = 32;
/// Pause after the first round of polling the versions of instances; it doubles
/// with each round.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two rounds.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Value of `since` that excludes all outcomes.
const NO_OUTCOMES: u64 = u64::MAX;

/// Which instances have a version in force.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Instances that have it or a later one.
    pub in_force: Vec<InstanceName>,
    /// Live listed instances that have not confirmed it.
    pub missing: Vec<MissingInstance>,
}

/// Returns the status of every listed instance.
///
/// # Errors
/// [`Error::ListUnavailable`].
pub async fn status(ctx: &Context) -> Result<StatusReply, Error> {
    let listing =
        ctx.list.read().await.map_err(|cause| Error::ListUnavailable(cause.to_string()))?;
    let mut reply = StatusReply { entries: Vec::new(), missing: Vec::new() };
    let mut answers = pin!(fetch(ctx, &listing.instances, NO_OUTCOMES));
    while let Some((instance, answer)) = answers.next().await {
        match answer {
            Ok(status) => reply.entries.push(status),
            Err(reason) => reply.missing.push(MissingInstance { instance, reason: reason.into() }),
        }
    }
    reply.entries.sort_by(|a, b| a.instance.cmp(&b.instance));
    reply.missing.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok(reply)
}

/// Returns the outcome counts of all listed instances, summed over the instances, for slots
/// from `since` on.
///
/// # Errors
/// [`Error::ListUnavailable`].
pub async fn outcomes(ctx: &Context, since: u64) -> Result<OutcomesReply, Error> {
    let listing =
        ctx.list.read().await.map_err(|cause| Error::ListUnavailable(cause.to_string()))?;
    let (mut sums, mut instances, mut missing) = (BTreeMap::new(), Vec::new(), Vec::new());
    let mut answers = pin!(fetch(ctx, &listing.instances, since));
    while let Some((instance, answer)) = answers.next().await {
        match answer {
            Ok(status) => {
                instances.push(instance);
                add(&mut sums, status.outcomes);
            }
            Err(reason) => missing.push(MissingInstance { instance, reason: reason.into() }),
        }
    }
    instances.sort();
    missing.sort_by(|a, b| a.instance.cmp(&b.instance));
    let outcomes = sums.into_iter().map(|(key, count)| key.with(count)).collect();
    Ok(OutcomesReply { outcomes, instances, missing })
}

/// Identifies a row of outcome counts.
#[id]
struct Key {
    slot: u64,
    pipeline: Arc<str>,
    team: Arc<str>,
    outcome: Arc<str>,
    stage: Option<Arc<str>>,
}

impl Key {
    fn with(self, count: u64) -> OutcomeCount {
        let Key { slot, pipeline, team, outcome, stage } = self;
        OutcomeCount { slot, pipeline, team, outcome, stage, count }
    }
}

fn add(sums: &mut BTreeMap<Key, u64>, rows: Vec<OutcomeCount>) {
    for row in rows {
        let OutcomeCount { slot, pipeline, team, outcome, stage, count } = row;
        *sums.entry(Key { slot, pipeline, team, outcome, stage }).or_default() += count;
    }
}

/// Polls the live listed instances until all have `version` in force or
/// `Timeouts::in_force` has passed. Each round polls only those that have not
/// confirmed it. Leaving instances finish with the version they have and are not
/// waited for.
pub async fn wait_in_force(ctx: &Context, version: Version) -> Rollout {
    let end = ctx.clock.now() + ctx.timeouts.in_force;
    let mut rollout = Rollout::default();
    let mut pause = INITIAL_PAUSE;
    loop {
        let complete = poll_instances(ctx, version, &mut rollout).await;
        let left = end.saturating_sub(ctx.clock.now());
        if complete || left.is_zero() {
            rollout.in_force.sort();
            rollout.missing.sort_by(|a, b| a.instance.cmp(&b.instance));
            return rollout;
        }
        tokio::time::sleep(pause.min(left)).await;
        pause = MAX_PAUSE.min(pause * 2);
    }
}

/// Runs one round of polling. Returns whether no instance is missing.
async fn poll_instances(ctx: &Context, version: Version, rollout: &mut Rollout) -> bool {
    let Ok(listing) = ctx.list.read().await else {
        let reason = "the platform's list is out; it is not known who should answer";
        rollout.missing = vec![MissingInstance { instance: "*".into(), reason: reason.into() }];
        return false;
    };
    let is_pending = |instance: &InstanceEntry| {
        instance.presence == Presence::Live && !rollout.in_force.contains(&instance.name)
    };
    let instances: Vec<InstanceEntry> = listing.instances.into_iter().filter(is_pending).collect();
    let mut missing = BTreeMap::new();
    let mut answers = pin!(fetch(ctx, &instances, NO_OUTCOMES));
    while let Some((instance, answer)) = answers.next().await {
        match answer.and_then(|status| check_version(&status, version)) {
            Ok(()) => rollout.in_force.push(instance),
            Err(reason) => {
                missing.insert(instance, reason);
            }
        }
    }
    rollout.missing = missing
        .into_iter()
        .map(|(instance, reason)| MissingInstance { instance, reason: reason.into() })
        .collect();
    rollout.missing.is_empty()
}

fn check_version(status: &EntryStatus, version: Version) -> Result<(), String> {
    if status.version >= version {
        return Ok(());
    }
    match status.reasons.as_slice() {
        [] => Err(format!("has version {} in force", status.version)),
        [reason, ..] => Err(format!("has version {} in force: {reason}", status.version)),
    }
}

/// Requests the status of each instance, with outcomes from `since` on. The error
/// of an instance is the cause as text.
fn fetch(
    ctx: &Context,
    instances: &[InstanceEntry],
    since: u64,
) -> impl Stream<Item = (InstanceName, Result<EntryStatus, String>)> {
    stream::iter(instances)
        .map(move |instance| async move {
            let answer =
                entry::status(&ctx.http, &instance.http_addr, since, ctx.timeouts.status).await;
            (instance.name.clone(), answer.map_err(|cause| cause.to_string()))
        })
        .buffer_unordered(MAX_CONCURRENT)
}
