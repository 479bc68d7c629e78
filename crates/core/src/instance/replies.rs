//! Handles the events of calls: pieces, complete replies, refusals and failures.
//!
//! Each stage takes one reply. For an engine, the first call that delivers a piece is selected and
//! the other calls are cancelled, so that pieces of two generations are never mixed. If that call
//! is cut, the pieces are kept and another engine continues after them.

use std::time::Duration;

use crate::{
    endpoints::CallResult,
    instance::{
        Instance,
        action::Action,
        held::{CallInFlight, CallKey, MAX_OUT_OF_ORDER, RequestKey, StageProgress},
        input::{CallEvent, CallFailure, RefuseReason},
        stages::MAX_ATTEMPTS,
        timers::Timer,
    },
    model::{Answer, CallId, Echo, Load, Outcome, StageReport, Text},
};

/// Time between two pieces after which another engine continues the stream, as a fraction of the
/// stage's median run time.
const STALL_FACTOR: f64 = 0.5;
/// The shortest time after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(250);

impl Instance {
    pub(super) fn on_call_event(&mut self, call: CallId, event: CallEvent) {
        let key = CallKey::from(call);
        if !self.calls.contains_key(key) {
            self.counters.late_replies += 1;
            return;
        }
        match event {
            CallEvent::Chunk { echo, index, text } => self.on_piece(key, &echo, index, text),
            CallEvent::Reply { echo, output, tokens, load } => {
                if self.check_echo(key, &echo) {
                    self.record_load(key, load);
                    self.on_reply(key, output, tokens);
                }
            }
            CallEvent::Refused { reason, load } => {
                self.record_load(key, load);
                self.on_refusal(key, reason);
            }
            CallEvent::Failed(failure) => self.on_call_failure(key, failure),
        }
    }

    fn record_load(&mut self, call: CallKey, load: Option<Load>) {
        let Some(load) = load else { return };
        let endpoint = self.calls[call].endpoint.clone();
        self.table.load_reported(self.now, &endpoint, load);
    }

    /// Compares a reply's echo with its call. If they differ, ends the call as mismatched and
    /// returns false.
    fn check_echo(&mut self, call: CallKey, echo: &Echo) -> bool {
        if self.echo(&self.calls[call]) == *echo {
            return true;
        }
        self.counters.echo_mismatch += 1;
        self.actions.push(Action::Cancel(call.id()));
        self.end_failed_call(call, CallResult::Mismatched);
        false
    }

    fn on_piece(&mut self, call: CallKey, echo: &Echo, index: u32, text: Text) {
        if !self.check_echo(call, echo) {
            return;
        }
        let key = self.calls[call].request;
        self.select_call(key, call);
        let next = u32::try_from(self.requests[key].progress.pieces.len()).unwrap_or(u32::MAX);
        if index < next || self.calls[call].out_of_order.contains_key(&index) {
            self.counters.duplicate_pieces += 1;
            return;
        }
        if self.calls[call].out_of_order.len() >= MAX_OUT_OF_ORDER {
            self.counters.torn_streams += 1;
            return self.end_failed_call(call, CallResult::Failed);
        }
        let flight = &mut self.calls[call];
        let is_first = flight.last_piece_at.is_none();
        flight.last_piece_at = Some(self.now);
        flight.pieces += 1;
        flight.out_of_order.insert(index, text);
        self.deliver_pieces(key, call);
        if is_first {
            self.set_stall_timer(key, call);
        }
    }

    /// Selects a call as the source of the text and cancels the others.
    fn select_call(&mut self, key: RequestKey, call: CallKey) {
        if self.requests[key].progress.calls.len() == 1 {
            return;
        }
        let calls = std::mem::replace(&mut self.requests[key].progress.calls, vec![call]);
        for other in calls.into_iter().filter(|other| *other != call) {
            self.cancel(other);
        }
    }

    /// Moves the pieces that are next in order to the request and streams them to its caller.
    fn deliver_pieces(&mut self, key: RequestKey, call: CallKey) {
        let active = &mut self.requests[key];
        let flight = &mut self.calls[call];
        let (out_of_order, software) = (&mut flight.out_of_order, &flight.software);
        let is_last = active.progress.stage + 1 == active.pipeline.stages.len();
        let caller = active.caller.filter(|_| active.request.stream && is_last);
        while let Some((index, text)) = out_of_order.pop_first() {
            if index as usize != active.progress.pieces.len() {
                out_of_order.insert(index, text);
                return;
            }
            active.progress.pieces.push(text.clone());
            active.progress.software.get_or_insert_with(|| software.clone());
            if let Some(caller) = caller {
                self.actions.push(Action::Stream { caller, text });
            }
        }
    }

    /// Sets the timer that detects a stalled stream. Each stream has one, which is set again when
    /// it fires.
    fn set_stall_timer(&mut self, key: RequestKey, call: CallKey) {
        if !self.settings.decisions.hedging || !self.requests[key].request.idempotent {
            return;
        }
        if let Some(wait) = self.stall_timeout(key) {
            self.timers.set(self.now + wait, Timer::Stall(call));
        }
    }

    /// Time without a piece after which a stream of the current stage counts as stalled; `None`
    /// without samples of the stage.
    fn stall_timeout(&self, key: RequestKey) -> Option<Duration> {
        let active = &self.requests[key];
        let median = self.estimator(&active.pipeline.name, &active.stage().name)?.quantile(0.5)?;
        Some(median.mul_f64(STALL_FACTOR).max(MIN_STALL_TIMEOUT))
    }

    /// Continues a stalled stream on another engine if the pool has a free slot and the retry
    /// budget allows it.
    pub(super) fn on_stall_timer(&mut self, call: CallKey) {
        let Some(flight) = self.calls.get(call) else { return };
        let key = flight.request;
        let Some(wait) = self.stall_timeout(key) else { return };
        let stalled_at = flight.last_piece_at.unwrap_or(flight.sent_at) + wait;
        if self.now < stalled_at {
            return self.timers.set(stalled_at, Timer::Stall(call));
        }
        let progress = &self.requests[key].progress;
        let pool = self.requests[key].stage().pool.clone();
        let is_exhausted = progress.attempts >= MAX_ATTEMPTS;
        if is_exhausted || self.table.pool_free_slots(self.now, &pool) == 0 || !self.try_withdraw()
        {
            return self.timers.set(self.now + wait, Timer::Stall(call));
        }
        self.actions.push(Action::Cancel(call.id()));
        self.counters.cancelled += 1;
        self.counters.resumes += 1;
        self.remove_call(call, CallResult::Failed);
        self.begin_stage(key);
    }

    fn on_reply(&mut self, call: CallKey, output: Option<Text>, tokens: Option<u32>) {
        let key = self.calls[call].request;
        let Some(output) = output.or_else(|| self.complete_text(key, call, tokens)) else {
            self.counters.torn_streams += 1;
            return self.end_failed_call(call, CallResult::Failed);
        };
        self.select_call(key, call);
        let flight = self.calls.remove(call).expect("check_echo has found the call");
        self.end_call(&flight, CallResult::Ok, tokens);
        self.finish_stage(key, &flight, output);
    }

    /// The text of an engine's stream; `None` if its end reports other pieces than were received.
    fn complete_text(&self, key: RequestKey, call: CallKey, tokens: Option<u32>) -> Option<Text> {
        let pieces = &self.requests[key].progress.pieces;
        let is_complete =
            tokens? as usize == pieces.len() && self.calls[call].out_of_order.is_empty();
        is_complete.then(|| pieces.concat().into())
    }

    fn finish_stage(&mut self, key: RequestKey, flight: &CallInFlight, output: Text) {
        let now = self.now;
        let active = &mut self.requests[key];
        let stage = active.stage().name.clone();
        let took = now.saturating_sub(active.progress.started_at);
        let (pipeline, name) = (active.pipeline.name.clone(), stage.clone());
        active.reports.push(StageReport {
            stage,
            endpoint: flight.endpoint.clone(),
            attempts: active.progress.attempts,
            took,
        });
        let run = now.saturating_sub(flight.sent_at);
        let next = active.progress.stage + 1;
        active.progress = StageProgress::new(next, output.clone(), now);
        let is_done = next == active.pipeline.stages.len();
        let estimator = self.latencies.entry(pipeline).or_default().entry(name).or_default();
        estimator.record(now, run);
        if !is_done {
            return self.begin_stage(key);
        }
        let stages = std::mem::take(&mut self.requests[key].reports);
        self.conclude(key, Outcome::Answered(Answer { output, stages }));
    }

    /// The endpoint refused the call and did not run it. If the endpoint is leaving, the table
    /// records that when the call is ended.
    fn on_refusal(&mut self, call: CallKey, reason: RefuseReason) {
        self.counters.refused_calls += 1;
        self.end_unrun_call(call, CallResult::Refused(reason));
    }

    fn on_call_failure(&mut self, call: CallKey, failure: CallFailure) {
        self.counters.failed_calls += 1;
        match failure {
            CallFailure::NotSent => self.end_unrun_call(call, CallResult::Failed),
            CallFailure::Cut | CallFailure::Malformed => {
                self.end_failed_call(call, CallResult::Failed)
            }
        }
    }

    /// Ends a call of which nothing ran.
    fn end_unrun_call(&mut self, call: CallKey, result: CallResult) {
        let flight = self.remove_call(call, result);
        let active = &mut self.requests[flight.request];
        active.possible_runs -= 1;
        self.retry_not_run(flight.request);
    }

    /// Ends a call without a usable reply, which may have run.
    fn end_failed_call(&mut self, call: CallKey, result: CallResult) {
        let flight = self.remove_call(call, result);
        self.retry_failed(flight.request);
    }

    fn remove_call(&mut self, call: CallKey, result: CallResult) -> CallInFlight {
        let flight = self.calls.remove(call).expect("callers checked that the call is in flight");
        self.end_call(&flight, result, None);
        self.requests[flight.request].progress.calls.retain(|other| *other != call);
        flight
    }
}
