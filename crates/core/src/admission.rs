//! Decides whether a request is admitted.
//!
//! A request is admitted if the calls queued before it and the work of its stages, at a high
//! quantile, fit its deadline, and if its team is within its share. Otherwise it is refused before
//! anything of it runs, with the time after which a retry may succeed. That time is computed from
//! the rate at which the queue drains ([`drain`]).
//!
//! Estimates come from requests that ran. If they all say that deadlines can't be met, nothing runs
//! and the estimates never change again. [`probe`] therefore admits one request from time to time.

pub mod drain;
pub mod probe;

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};

use crate::model::{Refusal, RefusalKind};
#[cfg(doc)]
use crate::timing;

/// The values that an admission decision is based on.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimate {
    /// Time until the deadline.
    pub left: Duration,
    /// Time until the first stage gets a slot: the queue ahead over the drain rate.
    pub wait: Duration,
    /// Time that the remaining stages need, at a high quantile; see [`timing::work`].
    pub work: Duration,
    /// Time that the remaining stages need at the least; see [`timing::min_work`].
    pub min_work: Duration,
    /// The team's use of this instance.
    pub share: Share,
}

/// A team's use of this instance compared with other teams.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Share {
    /// Active requests of the team on this instance.
    pub active: u32,
    /// The most active requests that the configuration allows the team; `None` if unlimited.
    pub max_active: Option<u32>,
    /// Active requests of all teams on this instance.
    pub total: u32,
    /// The team's weight over the weights of all teams with active requests here, itself included.
    pub weight: f64,
    /// Whether requests of other teams wait long for slots that this request needs.
    pub is_contended: bool,
}

/// Factor by which a team may exceed its share while other teams wait.
const MAX_SHARE_FACTOR: f64 = 2.0;
/// Requests that a team may have whatever its share; so few can coincide by chance.
const MIN_ALLOWED: f64 = 4.0;
/// The shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The longest `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// The largest random extension of `retry_after`, as a fraction of it.
const MAX_JITTER: f64 = 0.25;

/// Decides whether to admit a request.
///
/// # Errors
/// Returns the refusal to send, with the time after which a retry may succeed.
pub fn decide(estimate: &Estimate) -> Result<(), Refusal> {
    if required_time(estimate) > estimate.left {
        return Err(refusal(RefusalKind::Infeasible, time_until_feasible(estimate)));
    }
    if is_over_share(&estimate.share) {
        return Err(refusal(RefusalKind::OverShare, time_until_within_share(estimate)));
    }
    Ok(())
}

/// Time that must be left until the deadline. While nothing waits, a request that turns out to be
/// late delays no other, so it only needs the time of a fast run.
fn required_time(estimate: &Estimate) -> Duration {
    if estimate.wait.is_zero() { estimate.min_work } else { estimate.wait + estimate.work }
}

/// Creates a refusal with `retry_after` limited to `MIN_RETRY_AFTER..=MAX_RETRY_AFTER`.
pub fn refusal(kind: RefusalKind, retry_after: Duration) -> Refusal {
    Refusal { kind, retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
}

/// Extends `retry_after` at random, so that callers that were refused together don't retry
/// together.
pub fn add_jitter(refusal: Refusal, rng: &mut SmallRng) -> Refusal {
    let factor = 1.0 + rng.random::<f64>() * MAX_JITTER;
    Refusal { retry_after: refusal.retry_after.mul_f64(factor), ..refusal }
}

/// Expected wait of a new call behind `ahead` calls, if `slots` calls run at once and each takes
/// `service_time` on average.
pub fn expected_wait(ahead: f64, slots: u32, service_time: Duration) -> Duration {
    // Without slots the quotient is infinite, which the limit below cuts off.
    let rounds = ahead.max(0.0) / f64::from(slots);
    Duration::try_from_secs_f64(service_time.as_secs_f64() * rounds)
        .unwrap_or(MAX_RETRY_AFTER)
        .min(MAX_RETRY_AFTER)
}

/// The queue shrinks as time passes, so the request fits once the excess has drained. If the work
/// alone exceeds the deadline, a retry can only succeed once the stages are faster, which is
/// estimated as the time until the queue has drained.
fn time_until_feasible(estimate: &Estimate) -> Duration {
    let needed = estimate.wait + estimate.work;
    if estimate.work > estimate.left {
        return needed;
    }
    needed.saturating_sub(estimate.left)
}

/// The team's requests finish at the rate of their work; those beyond its share have to finish
/// first.
fn time_until_within_share(estimate: &Estimate) -> Duration {
    let share = &estimate.share;
    let allowed = allowed_requests(share);
    let excess = (f64::from(share.active) + 1.0 - allowed).max(1.0);
    let turnover = (estimate.wait + estimate.work).as_secs_f64() / f64::from(share.active.max(1));
    Duration::try_from_secs_f64(turnover * excess).unwrap_or(MAX_RETRY_AFTER)
}

fn is_over_share(share: &Share) -> bool {
    f64::from(share.active) + 1.0 > allowed_requests(share)
}

/// Number of active requests that the team may have now.
fn allowed_requests(share: &Share) -> f64 {
    let most = share.max_active.map_or(f64::INFINITY, f64::from);
    if !share.is_contended {
        return most;
    }
    let fair = share.weight * f64::from(share.total + 1) * MAX_SHARE_FACTOR;
    most.min(fair.max(MIN_ALLOWED))
}
