//! Whether a request is taken in.
//!
//! A request is admitted if what waits before it and what its stages need, at
//! a high quantile, fit its deadline, and if its team is within its share.
//! Otherwise it is refused at once, before anything of it runs, and told when
//! coming back would help. That time is worked out from how fast the queue
//! drains; it isn't a constant.
//!
//! [`drain`] measures that rate.
//!
//! The trap: estimates come from requests that ran. If they say that nothing
//! can be in time, nothing runs, and they never change again. [`probe`] lets
//! one request through from time to time.

pub mod drain;
pub mod probe;

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};

use crate::model::{Refusal, RefusalKind};
#[cfg(doc)]
use crate::timing;

/// What a decision rests on.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimate {
    /// Time until the deadline.
    pub left: Duration,
    /// Time until the first stage gets a place: the queue ahead over the drain rate.
    pub wait: Duration,
    /// Time that the remaining stages need, at a high quantile: [`timing::work`].
    pub work: Duration,
    /// Time that they need at least: [`timing::min_work`].
    pub min_work: Duration,
    /// How the team stands.
    pub share: Share,
}

/// How a team stands among the others on this instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Share {
    /// Requests of the team that the instance holds.
    pub active: u32,
    /// Requests of it that the configuration allows at the most.
    pub max_active: Option<u32>,
    /// Requests that the instance holds of all teams.
    pub total: u32,
    /// The team's weight over the weights of all teams that have requests here, itself included.
    pub weight: f64,
    /// Whether requests of other teams wait long for places that this one needs.
    pub is_contended: bool,
}

/// How far beyond its share a team may go while others wait.
const LENT_SHARE: f64 = 2.0;
/// Requests that a team may hold whatever its share: so few are chance.
const FEW: f64 = 4.0;
/// The soonest that a caller is asked back.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// The latest that a caller is asked back.
const MAX_RETRY: Duration = Duration::from_secs(60);
/// The most that a time to come back is stretched by, as a share of it.
const SPREAD: f64 = 0.25;

/// Decides.
///
/// # Errors
/// The refusal to send, with the time after which a repeat has a chance.
pub fn decide(estimate: &Estimate) -> Result<(), Refusal> {
    if needed(estimate) > estimate.left {
        return Err(refusal(RefusalKind::Infeasible, until_feasible(estimate)));
    }
    if is_over_share(&estimate.share) {
        return Err(refusal(RefusalKind::OverShare, until_within_share(estimate)));
    }
    Ok(())
}

/// While nothing waits, a try costs nobody anything: it needs a chance only.
fn needed(estimate: &Estimate) -> Duration {
    if estimate.wait.is_zero() { estimate.min_work } else { estimate.wait + estimate.work }
}

/// A refusal whose time to come back is kept within sensible bounds.
pub fn refusal(kind: RefusalKind, retry_after: Duration) -> Refusal {
    Refusal { kind, retry_after: retry_after.clamp(MIN_RETRY, MAX_RETRY) }
}

/// Stretches the time to come back at random, so that callers refused together
/// don't return together.
pub fn add_jitter(refusal: Refusal, rng: &mut SmallRng) -> Refusal {
    let factor = 1.0 + rng.random::<f64>() * SPREAD;
    Refusal { retry_after: refusal.retry_after.mul_f64(factor), ..refusal }
}

/// How long `ahead` calls keep a new one waiting when `places` work on them
/// at once and a call takes `service` on average.
pub fn expected_wait(ahead: f64, places: u32, service: Duration) -> Duration {
    // Without places it is for ever, which the bound below cuts off.
    let rounds = ahead.max(0.0) / f64::from(places);
    Duration::try_from_secs_f64(service.as_secs_f64() * rounds).unwrap_or(MAX_RETRY).min(MAX_RETRY)
}

/// The queue shortens as time passes, so the request fits once the excess is
/// gone. Where the work alone is too much for the deadline, only quieter
/// stages help: when the queue is gone.
fn until_feasible(estimate: &Estimate) -> Duration {
    let needed = estimate.wait + estimate.work;
    if estimate.work > estimate.left {
        return needed;
    }
    needed.saturating_sub(estimate.left)
}

/// Requests leave at the rate of their work; the excess has to leave first.
fn until_within_share(estimate: &Estimate) -> Duration {
    let share = &estimate.share;
    let allowed = allowed(share);
    let excess = (f64::from(share.active) + 1.0 - allowed).max(1.0);
    let turnover = (estimate.wait + estimate.work).as_secs_f64() / f64::from(share.active.max(1));
    Duration::try_from_secs_f64(turnover * excess).unwrap_or(MAX_RETRY)
}

fn is_over_share(share: &Share) -> bool {
    f64::from(share.active) + 1.0 > allowed(share)
}

/// Requests that the team may hold now.
fn allowed(share: &Share) -> f64 {
    let most = share.max_active.map_or(f64::INFINITY, f64::from);
    if !share.is_contended {
        return most;
    }
    let fair = share.weight * f64::from(share.total + 1) * LENT_SHARE;
    most.min(fair.max(FEW))
}
