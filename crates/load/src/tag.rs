//! First parts of request ids.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

/// A first part of ids that no earlier run had.
pub fn fresh() -> Arc<str> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("{:x}", now.unwrap_or_default().as_micros()).into()
}
