//! Wakes the machine when it asked to be.

use std::{rc::Rc, time::Duration};

use peatdeck_core::instance::input::Input;

use crate::driver::Driver;

/// The shortest time between two ticks, so that a wake that stays in the past
/// cannot starve the event loop.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// The longest sleep. The operating system's timers do not count the time that the
/// machine was suspended, so this is how late a wake is noticed after that.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Runs for as long as the process does.
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
