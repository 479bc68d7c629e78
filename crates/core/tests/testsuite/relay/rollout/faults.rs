//! How endpoints of good and bad versions reply.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};

use crate::relay::fixture::ms;

/// Usual time of a reply.
const REPLY_MS: u64 = 30;

/// How the new version replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// As well as the old one.
    None,
    /// Half of the replies are failures.
    Failing,
    /// Replies take five times as long.
    Slow,
    /// Half of the replies are failures from five seconds after the order on.
    AfterWhile,
    /// A reply is a failure if the endpoint has another call.
    UnderLoad,
    /// Half of the replies of the rarer route are failures.
    OneRoute,
    /// Half of the replies are failures once calls have begun to move.
    AfterShift,
}

/// What a reply depends on.
pub struct Conditions<'a> {
    /// Time since the order.
    pub age: Duration,
    /// Whether the endpoint has another call.
    pub is_busy: bool,
    pub route: &'a str,
    /// Whether calls have begun to move.
    pub has_shifted: bool,
}

impl Fault {
    /// The status of a reply, and how long it takes.
    pub fn reply(self, rng: &mut SmallRng, conditions: &Conditions<'_>) -> (u16, Duration) {
        let may_fail = match self {
            Fault::None | Fault::Slow => false,
            Fault::Failing => true,
            Fault::AfterWhile => conditions.age > ms(5000),
            Fault::UnderLoad => conditions.is_busy,
            Fault::OneRoute => conditions.route == "b",
            Fault::AfterShift => conditions.has_shifted,
        };
        let has_failed = may_fail && (self == Fault::UnderLoad || rng.random_bool(0.5));
        let factor = if self == Fault::Slow { 5 } else { 1 };
        let took = ms(rng.random_range(REPLY_MS / 2..REPLY_MS * 3 / 2) * factor);
        (if has_failed { 500 } else { 200 }, took)
    }
}
