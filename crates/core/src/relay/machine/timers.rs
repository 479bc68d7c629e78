//! When the state machine has to be woken, and what is due then.

use std::time::Duration;

use crate::relay::machine::Relay;

/// Interval between two clean-ups of expired state.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

impl Relay {
    /// When [`Relay::tick`] should be called next.
    pub fn next_wake(&self, now: Duration) -> Duration {
        if self.has_freed_memory && !self.batcher.waiting_pools().is_empty() {
            return now;
        }
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let search = (!self.searching.is_empty()).then_some(self.next_search);
        let evictable = self.evictable_at.first().map(|(at, _)| *at);
        let batch = self.batcher.next_wake(now);
        let overdue = self.token_deadlines.first().map(|(at, _)| *at);
        let report = self.next_report();
        let backlog =
            (!self.batcher.waiting_pools().is_empty()).then_some(self.next_backlog.max(now));
        let rollout = self.rollouts.next_wake(now);
        let path = self.paths.next_check();
        let stream = self.next_stream_report();
        let log = self.stream_log.next_append();
        let silence = self.next_silence_check().filter(|_| !self.paths.is_cut_off());
        let work = [deadline, overdue, search, evictable, batch, report, backlog];
        let others = [rollout, path, stream, log, self.registry_at, silence];
        work.into_iter().chain(others).flatten().min().unwrap_or(self.next_cleanup)
    }

    /// Handles all timers that have expired.
    pub fn tick(&mut self, now: Duration) {
        self.time_out_due(now);
        self.tick_rollouts(now);
        if now >= self.next_search && !self.searching.is_empty() {
            self.search(now);
        }
        self.retry_overdue(now);
        self.send_reports(now);
        self.send_stream_records(now);
        self.log_streams(now);
        if self.registry_at.is_some_and(|at| at <= now) {
            self.register_versions(now);
        }
        self.report_evictable(now);
        self.report_backlogs(now);
        self.report_read_inputs(now);
        self.duplicate_stragglers(now);
        self.check_paths(now);
        self.check_silence(now);
        self.dispatch_all(now);
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.directory.forget(now);
            self.release_expired(now);
            self.forget_runs();
            self.streams.expire(now);
            self.prune_versions(now);
            self.forget_paths();
            self.expire_limits(now);
            self.batcher.forget_removed(&self.directory);
        }
    }
}
