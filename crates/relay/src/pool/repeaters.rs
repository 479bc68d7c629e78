//! Addresses at which replies come a second time.
//!
//! A second reply costs the next call on its connection. So for a while after one was noticed,
//! each connection to its address carries a single call.

use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

/// How long connections to an address carry a single call each.
const SINGLE_CALL_PERIOD: Duration = Duration::from_secs(30);

/// Addresses at which replies came a second time, and until when that counts.
#[derive(Debug, Default)]
pub(super) struct Repeaters {
    until: RefCell<HashMap<Arc<str>, Duration>>,
}

impl Repeaters {
    /// A reply to another request came from an address.
    pub(super) fn mark(&self, addr: &Arc<str>, now: Duration) {
        self.until.borrow_mut().insert(addr.clone(), now + SINGLE_CALL_PERIOD);
    }

    /// Whether a connection to an address may carry several calls.
    pub(super) fn may_share(&self, addr: &str, now: Duration) -> bool {
        self.until.borrow().get(addr).is_none_or(|until| now >= *until)
    }

    /// Forgets what does not count any more.
    pub(super) fn prune(&self, now: Duration) {
        self.until.borrow_mut().retain(|_, until| now < *until);
    }
}
