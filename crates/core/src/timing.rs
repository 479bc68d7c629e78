//! How a request's remaining time is spent.
//!
//! All stages share one deadline. [`stage_time`] gives a stage what remains
//! less what the later stages need, and gives the request up once even a usual
//! run can't be in time. [`hedge_delay`] says how long to wait for a straggler
//! before a second call is worth its cost.

use std::time::Duration;

use crate::latency::Estimator;

/// Quantile that a later stage's time is reserved at.
const RESERVED: f64 = 0.9;
/// Quantile of a quick run: with less time than that, a try isn't worth its cost.
const QUICK: f64 = 0.25;
/// Quantile of a stage's run that a call must still have time for.
const WORTH_STARTING: f64 = 0.75;
/// Quantile of a usual run.
const USUAL: f64 = 0.5;
/// Quantile after which a call counts as a straggler.
const STRAGGLER: f64 = 0.95;
/// Quantile of a run that a hedge should have time for.
const HEDGE_RUN: f64 = 0.9;
/// Quantile of a run that a hedge must have time for.
const SHORT_RUN: f64 = 0.75;
/// How far a hedge is put off from the first moment that makes sense to the
/// last, as a share.
const PATIENCE: f64 = 0.5;
/// Samples before a stage's quantiles are trusted for hedging.
const MIN_SAMPLES: u64 = 20;

/// Time that a stage may take; `None` if the request can't be in time any more.
pub fn stage_time(left: Duration, stage: &Estimator, later: &[&Estimator]) -> Option<Duration> {
    let least = at(stage, WORTH_STARTING) + sum(later, USUAL);
    if left.is_zero() || least > left {
        return None;
    }
    let usual = at(stage, USUAL);
    let time = left.saturating_sub(sum(later, RESERVED));
    if time >= usual && !time.is_zero() {
        return Some(time);
    }
    Some(proportion(left, usual, sum(later, USUAL)))
}

/// Time that a request's stages need from here on, at a high quantile.
pub fn work(stages: &[&Estimator]) -> Duration {
    sum(stages, RESERVED)
}

/// Time that a request's stages need at least to have a chance.
pub fn min_work(stages: &[&Estimator]) -> Duration {
    sum(stages, QUICK)
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
    let straggler = stage.quantile(STRAGGLER)?;
    let latest = time.saturating_sub(stage.quantile(HEDGE_RUN)?);
    if latest >= straggler {
        return Some(straggler + (latest - straggler).mul_f64(PATIENCE));
    }
    let run = stage.quantile(SHORT_RUN)?;
    let delay = straggler.min(time.checked_sub(run)?);
    (delay >= run).then_some(delay)
}

/// The stage's part of `left` when every stage has to hurry alike.
fn proportion(left: Duration, stage: Duration, later: Duration) -> Duration {
    let all = (stage + later).as_secs_f64();
    if all <= 0.0 {
        return left;
    }
    left.mul_f64(stage.as_secs_f64() / all)
}

fn sum(stages: &[&Estimator], q: f64) -> Duration {
    stages.iter().map(|stage| at(stage, q)).sum()
}

/// A stage without samples is taken to need no time: it has to be tried.
fn at(stage: &Estimator, q: f64) -> Duration {
    stage.quantile(q).unwrap_or_default()
}
