//! Calls at engines that this instance placed, for itself or for peers, and the reports on how
//! they get on.

use std::time::Duration;

use crate::{
    model::InstanceName,
    relay::{
        choice::Candidate,
        engine::CallEstimate,
        machine::Relay,
        model::{Action, EndpointKey, Failure, Progress, Prompt, RunNumber, Step},
    },
};

/// How long an instance collects progress reports before it sends them to the placers.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Assumed time of a call at an engine before any has been measured.
pub(super) const INITIAL_RUN_TIME: Duration = Duration::from_millis(1500);
/// Weight of the newest time in the moving average of that.
const NEWEST_WEIGHT: f64 = 0.05;

impl Relay {
    /// Records that a prompt goes to an engine, for this instance or a peer. Returns the
    /// number of the call.
    pub(super) fn record_placement(
        &mut self,
        now: Duration,
        service: &str,
        chosen: &Candidate,
        prompt: &Prompt,
    ) -> RunNumber {
        self.sent_parts.record_prompt(now, chosen.endpoint, prompt);
        self.next_run += 1;
        let number = self.next_run;
        let speed = self.prefill_speeds.get(service).cloned().unwrap_or_default();
        let copy_time = chosen.copy_time;
        let (prefill, first_token) = (speed.prefill_time(chosen.tokens), speed.median_overhead());
        if let Some(source) = chosen.source.and_then(|key| self.directory.get_mut(key)) {
            source.engine.add_copy(now, copy_time);
        }
        if let Some(endpoint) = self.directory.get_mut(chosen.endpoint) {
            endpoint.engine.add_run(
                now,
                number,
                prompt,
                CallEstimate { prefill, copy_time, first_token },
            );
            self.runs.insert(number, chosen.endpoint);
        }
        number
    }

    /// Takes in a peer's report on a call that this instance placed. A peer that could not
    /// connect to an engine which has answered others meanwhile has an interrupted path; the
    /// engine is not avoided for that.
    pub fn on_peer_progress(&mut self, now: Duration, progress: Progress) {
        let Progress { number, step } = progress;
        let engine = self.runs.get(&number).and_then(|key| self.directory.get_mut(*key));
        if let (Some(engine), Step::Failed(Failure::Unsent)) = (engine, step)
            && engine.has_answered_since(number)
        {
            engine.engine.remove_run(now, number);
            self.runs.remove(&number);
            return;
        }
        self.on_progress(now, progress);
    }

    /// Takes in the progress of a call that this instance placed.
    pub fn on_progress(&mut self, now: Duration, progress: Progress) {
        let Progress { number, step } = progress;
        let Some(&key) = self.runs.get(&number) else { return };
        let Some(endpoint) = self.directory.get_mut(key) else { return };
        if let Step::Answered(_) = step {
            let took = endpoint.engine.record_first_token(now, number).unwrap_or_default();
            endpoint.record_step(now, took, step);
            return;
        }
        self.runs.remove(&number);
        let took = endpoint.engine.remove_run(now, number).unwrap_or_default();
        endpoint.record_step(now, took, step);
        if let Step::Ended = step {
            let kept = self.average_run.mul_f64(1.0 - NEWEST_WEIGHT);
            self.average_run = kept + took.mul_f64(NEWEST_WEIGHT);
        }
    }

    pub(super) fn report(&mut self, now: Duration, peer: InstanceName, progress: Progress) {
        if self.progress_reports.is_empty() {
            self.report_at = now + REPORT_INTERVAL;
        }
        self.progress_reports.entry(peer).or_default().push(progress);
    }

    /// When progress is to be reported to placers; `None` if there is none.
    pub(super) fn next_report(&self) -> Option<Duration> {
        (!self.progress_reports.is_empty()).then_some(self.report_at)
    }

    /// Sends the collected progress reports to the placers.
    pub(super) fn send_reports(&mut self, now: Duration) {
        if now < self.report_at {
            return;
        }
        for (peer, progress) in std::mem::take(&mut self.progress_reports) {
            let notices = self.pending_notices.remove(&peer).unwrap_or_default();
            self.actions.push(Action::ReportProgress { peer, progress, notices });
        }
    }

    /// Removes the numbers of calls that their engine's record has dropped without a report
    /// of their end.
    pub(super) fn forget_runs(&mut self) {
        let directory = &self.directory;
        let is_known = |number: &RunNumber, key: &EndpointKey| {
            directory.get(*key).is_some_and(|endpoint| endpoint.engine.has_run(*number))
        };
        self.runs.retain(|number, key| is_known(number, key));
    }
}
