//! How a request's remaining time is spent.
//!
//! All stages share one deadline. [`stage_time`] gives a stage what remains
//! less what the later stages need, and gives the request up once even a usual
//! run can't be in time. [`hedge_delay`] says how long to wait for a straggler
//! before a second call is worth its cost.

use std::time::Duration;

use crate::latency::Estimator;

/// Quantile that a later stage's time is reserved at.
const RESERVED_QUANTILE: f64 = 0.9;
/// Quantile of a quick run: with less time than that, a try isn't worth its cost.
const MIN_WORK_QUANTILE: f64 = 0.25;
/// Quantile of a stage's run that a call must still have time for.
const START_QUANTILE: f64 = 0.75;
/// Quantile of a usual run.
const MEDIAN: f64 = 0.5;
/// Quantile after which a call counts as a straggler.
const STRAGGLER_QUANTILE: f64 = 0.95;
/// Quantile of a run that a hedge should have time for.
const AMPLE_HEDGE_QUANTILE: f64 = 0.9;
/// Quantile of a run that a hedge must have time for.
const MIN_HEDGE_QUANTILE: f64 = 0.75;
/// How far a hedge is put off from the first moment that makes sense to the
/// last, as a share.
const POSTPONEMENT: f64 = 0.5;
/// Samples before a stage's quantiles are trusted for hedging.
const MIN_SAMPLES: u64 = 20;

/// Time that a stage may take; `None` if the request can't be in time any more.
pub fn stage_time(left: Duration, stage: &Estimator, later: &[&Estimator]) -> Option<Duration> {
    let least = quantile(stage, START_QUANTILE) + sum_quantiles(later, MEDIAN);
    if left.is_zero() || least > left {
        return None;
    }
    let usual = quantile(stage, MEDIAN);
    let time = left.saturating_sub(sum_quantiles(later, RESERVED_QUANTILE));
    if time >= usual && !time.is_zero() {
        return Some(time);
    }
    Some(proportional_share(left, usual, sum_quantiles(later, MEDIAN)))
}

/// Time that a request's stages need from here on, at a high quantile.
pub fn work(stages: &[&Estimator]) -> Duration {
    sum_quantiles(stages, RESERVED_QUANTILE)
}

/// Time that a request's stages need at least to have a chance.
pub fn min_work(stages: &[&Estimator]) -> Duration {
    sum_quantiles(stages, MIN_WORK_QUANTILE)
}

/// How long to wait for a call before a hedge is sent; `None` if a hedge isn't
/// worth it: too little is known, or it couldn't be in time.
///
/// A hedge is for the deadline's sake. While there is time, waiting on saves
/// its cost, since most stragglers end by themselves.
pub fn hedge_delay(stage: &Estimator, time: Duration) -> Option<Duration> {
    if stage.count() < MIN_SAMPLES {
        return None;
    }
    let straggler = stage.quantile(STRAGGLER_QUANTILE)?;
    let latest = time.saturating_sub(stage.quantile(AMPLE_HEDGE_QUANTILE)?);
    if latest >= straggler {
        return Some(straggler + (latest - straggler).mul_f64(POSTPONEMENT));
    }
    let run = stage.quantile(MIN_HEDGE_QUANTILE)?;
    let delay = straggler.min(time.checked_sub(run)?);
    (delay >= run).then_some(delay)
}

/// The stage's part of `left` when every stage has to hurry alike.
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

/// A stage without samples is taken to need no time: it has to be tried.
fn quantile(stage: &Estimator, q: f64) -> Duration {
    stage.quantile(q).unwrap_or_default()
}
