//! Sends the state machine a tick at the time it asks for.

use std::{rc::Rc, time::Duration};

use peatdeck_core::instance::input::Input;

use crate::driver::Driver;

/// Minimum time between two ticks, so that a wake time that stays in the past
/// cannot starve the event loop.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum duration of a sleep. The operating system's timers do not count time in
/// which the host was suspended, so a tick is at most this late after a suspension.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Sends ticks for as long as the process runs.
pub async fn run(driver: Rc<Driver>) {
    loop {
        let Some(wake) = driver.next_wake() else {
            driver.rearmed().await;
            continue;
        };
        let left = wake.saturating_sub(driver.now());
        if left.is_zero() {
            driver.feed(Input::Tick);
            tokio::time::sleep(MIN_TICK_INTERVAL).await;
            continue;
        }
        tokio::select! {
            () = tokio::time::sleep(left.min(MAX_SLEEP)) => {}
            () = driver.rearmed() => {}
        }
    }
}
