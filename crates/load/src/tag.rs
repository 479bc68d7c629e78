//! Prefixes of request ids.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

/// A new prefix, derived from the clock, that no earlier run has used.
pub fn fresh() -> Arc<str> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("{:x}", now.unwrap_or_default().as_micros()).into()
}
