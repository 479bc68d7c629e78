//! Splits a request's remaining time over its stages and times hedges.
//!
//! All stages share one deadline. [`stage_time`] gives a stage the remaining time less what the
//! later stages need, and gives up the request once even a median run would be late.
//! [`hedge_delay`] says how long to wait for a straggler before a second call is worth its cost.

use std::time::Duration;

use crate::latency::Estimator;

/// Quantile of a later stage's time that is reserved for it.
const RESERVED_QUANTILE: f64 = 0.9;
/// Quantile of a fast run; with less time than that, a request isn't worth its cost.
const MIN_WORK_QUANTILE: f64 = 0.25;
/// Quantile of a stage's time that must be left for a call to be started.
const START_QUANTILE: f64 = 0.75;
/// Quantile of a typical run.
const MEDIAN: f64 = 0.5;
/// Quantile after which a call counts as a straggler.
const STRAGGLER_QUANTILE: f64 = 0.95;
/// Quantile of a run that a hedge should have time for.
const AMPLE_HEDGE_QUANTILE: f64 = 0.9;
/// Quantile of a run that a hedge must have time for.
const MIN_HEDGE_QUANTILE: f64 = 0.75;
/// How far a hedge is postponed from the straggler time towards the latest useful time, as a
/// fraction.
const POSTPONEMENT: f64 = 0.5;
/// Share of a stage's time after which a call is hedged before its quantiles are trusted.
const EARLY_HEDGE_SHARE: f64 = 0.5;
/// Samples before a stage's quantiles are trusted for hedging.
const MIN_SAMPLES: u64 = 20;

/// Time that a stage may take; `None` if the request can no longer meet its deadline.
pub fn stage_time(left: Duration, stage: &Estimator, later: &[&Estimator]) -> Option<Duration> {
    let least = quantile(stage, START_QUANTILE) + sum_quantiles(later, MEDIAN);
    if left.is_zero() || least > left {
        return None;
    }
    let median = quantile(stage, MEDIAN);
    let time = left.saturating_sub(sum_quantiles(later, RESERVED_QUANTILE));
    if time >= median && !time.is_zero() {
        return Some(time);
    }
    Some(proportional_share(left, median, sum_quantiles(later, MEDIAN)))
}

/// Time that the given stages need, at a high quantile.
pub fn work(stages: &[&Estimator]) -> Duration {
    sum_quantiles(stages, RESERVED_QUANTILE)
}

/// Time that the given stages need for a chance to meet the deadline.
pub fn min_work(stages: &[&Estimator]) -> Duration {
    sum_quantiles(stages, MIN_WORK_QUANTILE)
}

/// How long to wait for a call before a hedge is sent; `None` if a hedge isn't worth its cost
/// because too little is known or it would be late.
///
/// A hedge serves to meet the deadline. While there is time, waiting saves the cost of a second
/// call, since most stragglers end by themselves.
pub fn hedge_delay(stage: &Estimator, time: Duration) -> Option<Duration> {
    if stage.count() < MIN_SAMPLES {
        return None;
    }
    let straggler = stage.quantile(STRAGGLER_QUANTILE)?;
    let latest = time.saturating_sub(stage.quantile(AMPLE_HEDGE_QUANTILE)?);
    if latest >= straggler {
        return Some(straggler + latest.saturating_sub(straggler).mul_f64(POSTPONEMENT));
    }
    let run = stage.quantile(MIN_HEDGE_QUANTILE)?;
    let delay = straggler.min(time.checked_sub(run)?);
    (delay >= run).then_some(delay)
}

/// The same for a stage of which too little is known to tell a straggler; `None` if enough is. A
/// call that takes half of its time may be one, and a hedge has the other half.
pub fn early_hedge_delay(stage: Option<&Estimator>, time: Duration) -> Option<Duration> {
    let samples = stage.map_or(0, Estimator::count);
    (samples < MIN_SAMPLES).then(|| time.mul_f64(EARLY_HEDGE_SHARE))
}

/// The stage's part of `left` if all stages have to run proportionally faster.
fn proportional_share(left: Duration, stage: Duration, later: Duration) -> Duration {
    let total = (stage + later).as_secs_f64();
    if total <= 0.0 {
        return left;
    }
    left.mul_f64(stage.as_secs_f64() / total)
}

fn sum_quantiles(stages: &[&Estimator], q: f64) -> Duration {
    stages.iter().map(|stage| quantile(stage, q)).sum()
}

/// The quantile, or zero for a stage without samples: such a stage has to be tried.
fn quantile(stage: &Estimator, q: f64) -> Duration {
    stage.quantile(q).unwrap_or_default()
}
