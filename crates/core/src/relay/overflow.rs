//! Decides whether a request that its own region has no time for goes to another region.

use std::time::Duration;

use crate::relay::region::RegionName;

/// Time that a request takes longer in another region: two messages of 30 ms.
pub const REMOTE_TIME: Duration = Duration::from_millis(60);

/// The region that is expected to serve a request first, if that is within `objective`. `expected`
/// holds the time that each region needs for the work.
pub fn best_region(
    objective: Duration,
    expected: impl IntoIterator<Item = (RegionName, Duration)>,
) -> Option<RegionName> {
    let meets = |time: Duration| time.saturating_add(REMOTE_TIME) <= objective;
    let in_time = expected.into_iter().filter(|(_, time)| meets(*time));
    let (best, _) = in_time.min_by(|(a, x), (b, y)| (x, a).cmp(&(y, b)))?;
    Some(best)
}
