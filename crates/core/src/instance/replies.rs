//! What comes back from calls: pieces, whole replies, refusals, failures.
//!
//! One reply a stage is taken. For an engine the first call to bring a piece
//! is the one whose text counts; its siblings are cancelled then, so pieces of
//! two generations are never mixed. When it is cut, the pieces are kept and
//! another engine goes on behind them.

use std::time::Duration;

use crate::{
    endpoints::CallResult,
    instance::{
        Instance,
        action::Action,
        held::{CallKey, Flight, MAX_EARLY, Progress, RequestKey},
        input::{CallEvent, CallFailure, RefuseReason},
        stages::MAX_ATTEMPTS,
        timers::Timer,
    },
    model::{Answer, CallId, Echo, Load, Outcome, StageReport, Text},
};

/// How long a stream may be silent between two pieces before another engine
/// takes it up, as a multiple of the stage's usual time for all its pieces.
const STALL_FACTOR: f64 = 0.5;
/// A stream is never taken for stalled sooner than this.
const MIN_STALL: Duration = Duration::from_millis(250);

impl Instance {
    pub(super) fn call_event(&mut self, call: CallId, event: CallEvent) {
        let key = CallKey::from(call);
        if !self.calls.contains_key(key) {
            self.counters.late_replies += 1;
            return;
        }
        match event {
            CallEvent::Chunk { echo, index, text } => self.chunk(key, &echo, index, text),
            CallEvent::Reply { echo, output, tokens, load } => {
                self.report(key, load);
                self.reply(key, &echo, output, tokens);
            }
            CallEvent::Refused { reason, load } => {
                self.report(key, load);
                self.refused_call(key, reason);
            }
            CallEvent::Failed(failure) => self.failed(key, failure),
        }
    }

    fn report(&mut self, call: CallKey, load: Option<Load>) {
        let Some(load) = load else { return };
        let endpoint = self.calls[call].endpoint.clone();
        self.table.load_reported(self.now, &endpoint, load);
    }

    /// False, and the endpoint distrusted, if the echo is another call's.
    fn check_echo(&mut self, call: CallKey, echo: &Echo) -> bool {
        if self.echo(&self.calls[call]) == *echo {
            return true;
        }
        self.counters.echo_mismatch += 1;
        self.actions.push(Action::Cancel(call.id()));
        self.fail(call, CallResult::Mismatched);
        false
    }

    fn chunk(&mut self, call: CallKey, echo: &Echo, index: u32, text: Text) {
        if !self.check_echo(call, echo) {
            return;
        }
        let key = self.calls[call].request;
        self.lead(key, call);
        let next = u32::try_from(self.held[key].progress.pieces.len()).unwrap_or(u32::MAX);
        if index < next || self.calls[call].early.contains_key(&index) {
            self.counters.duplicate_pieces += 1;
            return;
        }
        if self.calls[call].early.len() >= MAX_EARLY {
            self.counters.torn_streams += 1;
            return self.fail(call, CallResult::Failed);
        }
        let flight = &mut self.calls[call];
        let is_first = flight.heard.is_none();
        flight.heard = Some(self.now);
        flight.pieces += 1;
        flight.early.insert(index, text);
        self.take_pieces(key, call);
        if is_first {
            self.watch_silence(key, call);
        }
    }

    /// Makes a call the one whose text counts.
    fn lead(&mut self, key: RequestKey, call: CallKey) {
        if self.held[key].progress.calls.len() == 1 {
            return;
        }
        let calls = std::mem::replace(&mut self.held[key].progress.calls, vec![call]);
        for other in calls.into_iter().filter(|other| *other != call) {
            self.cancel(other);
        }
    }

    /// Moves pieces whose turn has come to the request, and on to its caller.
    fn take_pieces(&mut self, key: RequestKey, call: CallKey) {
        let held = &mut self.held[key];
        let early = &mut self.calls[call].early;
        let last = held.progress.stage + 1 == held.pipeline.stages.len();
        let caller = held.caller.filter(|_| held.request.stream && last);
        while let Some((index, text)) = early.pop_first() {
            if index as usize != held.progress.pieces.len() {
                early.insert(index, text);
                return;
            }
            held.progress.pieces.push(text.clone());
            if let Some(caller) = caller {
                self.actions.push(Action::Stream { caller, text });
            }
        }
    }

    /// Sets the timer by which a stream must have brought another piece. There
    /// is one a stream: it is set again when it fires.
    fn watch_silence(&mut self, key: RequestKey, call: CallKey) {
        if !self.settings.decisions.hedging || !self.held[key].request.idempotent {
            return;
        }
        if let Some(wait) = self.longest_silence(key) {
            self.timers.set(self.now + wait, Timer::Stall(call));
        }
    }

    /// How long a stream of the current stage may be silent; `None` if too
    /// little is known.
    fn longest_silence(&self, key: RequestKey) -> Option<Duration> {
        let held = &self.held[key];
        let usual = self.estimator(&held.pipeline.name, &held.stage().name)?.quantile(0.5)?;
        Some(usual.mul_f64(STALL_FACTOR).max(MIN_STALL))
    }

    /// A stream may have fallen silent: another engine takes it up, if there is
    /// room for the call and the budget allows it.
    pub(super) fn stalled(&mut self, call: CallKey) {
        let Some(flight) = self.calls.get(call) else { return };
        let key = flight.request;
        let Some(wait) = self.longest_silence(key) else { return };
        let silent = flight.heard.unwrap_or(flight.sent) + wait;
        if self.now < silent {
            return self.timers.set(silent, Timer::Stall(call));
        }
        let progress = &self.held[key].progress;
        let pool = self.held[key].stage().pool.clone();
        let tired = progress.attempts >= MAX_ATTEMPTS;
        if tired || self.table.pool_free_slots(self.now, &pool) == 0 || !self.spend() {
            return self.timers.set(self.now + wait, Timer::Stall(call));
        }
        self.actions.push(Action::Cancel(call.id()));
        self.counters.cancelled += 1;
        self.counters.resumes += 1;
        self.drop_call(call, CallResult::Failed);
        self.begin_stage(key);
    }

    fn reply(&mut self, call: CallKey, echo: &Echo, output: Option<Text>, tokens: Option<u32>) {
        if !self.check_echo(call, echo) {
            return;
        }
        let key = self.calls[call].request;
        let Some(output) = output.or_else(|| self.whole_text(key, call, tokens)) else {
            self.counters.torn_streams += 1;
            return self.fail(call, CallResult::Failed);
        };
        self.lead(key, call);
        let flight = self.calls.remove(call).expect("the call was found above");
        self.end_call(&flight, CallResult::Ok, tokens);
        self.stage_done(key, &flight, output);
    }

    /// The text of an engine's stream, if its end says that it is whole.
    fn whole_text(&self, key: RequestKey, call: CallKey, tokens: Option<u32>) -> Option<Text> {
        let pieces = &self.held[key].progress.pieces;
        let whole = tokens? as usize == pieces.len() && self.calls[call].early.is_empty();
        whole.then(|| pieces.concat().into())
    }

    fn stage_done(&mut self, key: RequestKey, flight: &Flight, output: Text) {
        let now = self.now;
        let held = &mut self.held[key];
        let stage = held.stage().name.clone();
        let took = now.saturating_sub(held.progress.since);
        let (pipeline, name) = (held.pipeline.name.clone(), stage.clone());
        held.reports.push(StageReport {
            stage,
            endpoint: flight.endpoint.clone(),
            attempts: held.progress.attempts,
            took,
        });
        let run = now.saturating_sub(flight.sent);
        let next = held.progress.stage + 1;
        held.progress = Progress::new(next, output.clone(), now);
        let done = next == held.pipeline.stages.len();
        let known = self.latencies.entry(pipeline).or_default().entry(name).or_default();
        known.record(now, run);
        if !done {
            return self.begin_stage(key);
        }
        let stages = std::mem::take(&mut self.held[key].reports);
        self.conclude(key, Outcome::Answered(Answer { output, stages }));
    }

    /// The endpoint says that it did not run the call. That it is leaving, the
    /// table notes with the call's end.
    fn refused_call(&mut self, call: CallKey, reason: RefuseReason) {
        self.counters.refused_calls += 1;
        self.unrun_call(call, CallResult::Refused(reason));
    }

    fn failed(&mut self, call: CallKey, failure: CallFailure) {
        self.counters.failed_calls += 1;
        match failure {
            CallFailure::NotSent => self.unrun_call(call, CallResult::Failed),
            CallFailure::Cut | CallFailure::Malformed => self.fail(call, CallResult::Failed),
        }
    }

    /// A call ended of which nothing ran.
    fn unrun_call(&mut self, call: CallKey, result: CallResult) {
        let flight = self.drop_call(call, result);
        let held = &mut self.held[flight.request];
        held.written -= 1;
        self.retry_unrun(flight.request);
    }

    /// A call ended without a usable reply. It may have run.
    fn fail(&mut self, call: CallKey, result: CallResult) {
        let flight = self.drop_call(call, result);
        self.retry_failed(flight.request);
    }

    fn drop_call(&mut self, call: CallKey, result: CallResult) -> Flight {
        let flight = self.calls.remove(call).expect("callers looked the call up");
        self.end_call(&flight, result, None);
        self.held[flight.request].progress.calls.retain(|other| *other != call);
        flight
    }
}
