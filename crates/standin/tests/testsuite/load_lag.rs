//! Load reports lag by the value that was set last.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_core::model::Load;
use peatdeck_standin::load::LaggedLoad;

fn load(running: u32) -> Load {
    Load { running, queued: 0, places: 4, age_ms: 0 }
}

#[test]
fn a_lag_set_later_applies_from_then_on() {
    let mut lagged = LaggedLoad::new(Duration::ZERO, load(0));
    lagged.record(Duration::from_secs(1), load(1));
    lagged.set_lag(Duration::from_secs(5));
    lagged.record(Duration::from_secs(2), load(2));
    assert_eq!(lagged.report(Duration::from_secs(3)), Load { age_ms: 5000, ..load(1) });
    assert_eq!(lagged.report(Duration::from_secs(7)), Load { age_ms: 5000, ..load(2) });
}
