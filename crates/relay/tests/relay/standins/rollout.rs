//! The records of orders and states of rollouts in the tests' own format.
//!
//! The value of an order is the version and the duration in seconds, that of a state its
//! fields with a blank between them.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use peatdeck_core::relay::{
    operator::OperatorCommand,
    position::{Position, Timeline},
    rollout::{Order, Phase, RolloutRecord},
    table::Record,
};
use peatdeck_relay::surroundings::{CommandError, RolloutEntry, RolloutStatus};

pub use peatdeck_core::relay::rollout::Limits;

const ROLLOUT: &str = "rollout/";

/// The limits of the first deployment with rollouts.
pub const LIMITS: Limits =
    Limits { max_share: 0.1, slack: 50, rollback_time: Duration::from_millis(5000) };

const PHASES: [(&str, Phase); 4] = [
    ("canary", Phase::Canary),
    ("shifting", Phase::Shifting),
    ("completed", Phase::Completed),
    ("rolled_back", Phase::RolledBack),
];

pub fn read_order(record: &Record) -> Option<Result<OperatorCommand, CommandError>> {
    let service: Arc<str> = Arc::from(record.key.strip_prefix(ROLLOUT)?);
    let withdrawn = OperatorCommand::WithdrawRollout(service.clone());
    let Some(value) = &record.value else { return Some(Ok(withdrawn)) };
    let text = String::from_utf8_lossy(value);
    let Some((version, seconds)) = text.split_once(' ') else {
        let message = "the order lacks a version or a duration".to_owned();
        return Some(Err(CommandError { message, replacement: Some(Box::new(withdrawn)) }));
    };
    let position = Position { offset: record.offset, ..Position::default() };
    let order = |duration| {
        let (service, destination) = (service.clone(), Arc::from(version));
        OperatorCommand::RollOut(Order { service, destination, duration, position })
    };
    Some(match seconds.parse() {
        Ok(seconds) => Ok(order(Duration::from_secs_f64(seconds))),
        Err(_) => Err(CommandError {
            message: format!("`{seconds}` is no duration"),
            replacement: Some(Box::new(order(Duration::ZERO))),
        }),
    })
}

pub fn read_status(record: &Record) -> Result<Option<RolloutEntry>, String> {
    let Some(service) = record.key.strip_prefix(ROLLOUT) else { return Ok(None) };
    let service: Arc<str> = Arc::from(service);
    let Some(value) = &record.value else { return Ok(Some((service, None))) };
    let text = String::from_utf8_lossy(value).into_owned();
    let status = status(&service, &text).ok_or_else(|| format!("`{text}` is no state"))?;
    Ok(Some((service, Some(status))))
}

fn status(service: &Arc<str>, text: &str) -> Option<RolloutStatus> {
    let mut words = text.splitn(9, ' ');
    let phase = words.next()?;
    let (_, phase) = PHASES.into_iter().find(|(name, _)| *name == phase)?;
    let destination = Arc::from(words.next()?);
    let baseline = Some(words.next()?).filter(|name| *name != "-").map(Arc::from);
    let mut number = || words.next()?.parse::<u64>().ok();
    let duration = Duration::from_millis(number()?);
    let order = Position { timeline: Timeline(number()?), offset: number()? };
    let begun = SystemTime::UNIX_EPOCH + Duration::from_millis(number()?);
    let by = Arc::from(words.next()?);
    let reason = Arc::from(words.next()?);
    let service = service.clone();
    let age = Duration::ZERO;
    let record =
        RolloutRecord { service, phase, destination, baseline, duration, order, by, age, reason };
    Some(RolloutStatus { record, begun })
}

pub fn encode_status(status: &RolloutStatus) -> (Arc<str>, Bytes) {
    let RolloutStatus { record, begun } = status;
    let phase = PHASES.into_iter().find(|(_, phase)| *phase == record.phase).unwrap().0;
    let baseline = record.baseline.as_deref().unwrap_or("-");
    let begun = begun.duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis();
    let value = format!(
        "{phase} {} {baseline} {} {} {} {begun} {} {}",
        record.destination,
        record.duration.as_millis(),
        record.order.timeline.0,
        record.order.offset,
        record.by,
        record.reason
    );
    (Arc::from(format!("{ROLLOUT}{}", record.service)), Bytes::from(value))
}
