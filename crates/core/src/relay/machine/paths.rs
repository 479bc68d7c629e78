//! Endpoints that this instance cannot open connections to.

use std::time::Duration;

use crate::relay::{
    machine::Relay,
    model::{Action, EndpointKey},
};

impl Relay {
    /// Number of endpoints that this instance could not connect to when it last tried.
    pub fn unreachable_count(&self) -> usize {
        self.paths.unreachable_count()
    }

    /// A new connection to an address was opened, or could not be. Addresses of no endpoint
    /// are ignored.
    pub fn on_connection(&mut self, now: Duration, addr: &str, is_open: bool) {
        let Some(endpoint) = self.directory.at_addr(addr) else { return };
        let has_changed = match is_open {
            true => self.paths.record_connected(endpoint),
            false => self.paths.record_failure(now, endpoint),
        };
        if has_changed {
            self.report_path(endpoint, is_open);
        }
    }

    fn report_path(&mut self, endpoint: EndpointKey, is_open: bool) {
        let Some(known) = self.directory.get(endpoint) else { return };
        let endpoint = known.entry.name.clone();
        let (unreachable, ready) = (self.paths.unreachable_count(), self.directory.ready_count());
        self.actions.push(Action::PathChanged { endpoint, is_open, unreachable, ready });
    }

    /// Drops the paths to endpoints that accept no work any more.
    pub(super) fn forget_paths(&mut self) {
        let directory = &self.directory;
        self.paths.retain(|key| directory.get(key).is_some_and(|endpoint| endpoint.is_ready()));
    }
}
