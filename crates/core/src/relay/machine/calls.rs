//! Calls to endpoints: where they go, how they end and which are retried.

use std::{sync::Arc, time::Duration};

use crate::{
    model::Load,
    relay::{
        choice,
        exchange::{CallPurpose, CallState, Exchange},
        machine::{Relay, placing::Placed},
        model::{
            Action, Basis, Call, CallKey, EndpointKey, ExchangeKey, Failure, Progress, Refusal,
            ReplyHead, RunNumber, Step,
        },
        pool::Track,
        quarantine,
        rollout::counting::Ending,
    },
};

/// Pause before an exchange searches again for a usable endpoint.
const SEARCH_INTERVAL: Duration = Duration::from_millis(40);
/// Share of its objective that an exchange waits for a usable endpoint. An endpoint that
/// restarts or whose connection broke is often usable again by then, and a caller that is
/// refused then still has most of its time left.
const PATIENCE_SHARE: f64 = 0.2;
/// No call is sent if less time than this is left.
const MIN_CALL_TIME: Duration = Duration::from_millis(5);

impl Relay {
    /// Takes in the head of a reply. Returns true if its body is a stream, each event of
    /// which is to be passed to [`Relay::on_stream_event`]; false if the body is to be read
    /// whole first.
    pub fn on_reply_head(&mut self, now: Duration, call: CallKey, head: &ReplyHead) -> bool {
        self.record_heard(now, call);
        self.on_reply_terms(now, call, head);
        let Some(exchange) = self.exchange_of(call) else { return false };
        let is_stream = self.exchanges[exchange].route.kind.is_stream();
        let is_success = (200..300).contains(&head.status);
        if is_stream && is_success {
            self.exchanges[exchange].was_called = true;
            self.record_answer(now, call, head.load);
        }
        is_stream && is_success
    }

    /// Takes in an event of a stream. Returns whether it is to be passed on to the caller.
    pub fn on_stream_event(&mut self, now: Duration, call: CallKey, id: Option<u64>) -> bool {
        self.record_heard(now, call);
        let Some(key) = self.exchange_of(call) else { return false };
        let exchange = &mut self.exchanges[key];
        if let (Some(id), Some(last)) = (id, exchange.last_event)
            && id <= last
        {
            return false;
        }
        exchange.last_event = id.or(exchange.last_event);
        exchange.was_called = true;
        let is_first = !std::mem::replace(&mut exchange.has_sent_head, true);
        if is_first {
            self.actions.push(Action::BeginStream { exchange: key, call });
            self.bind(now, key, call);
            self.free_results(key);
        }
        let answered_at = self.calls[call].answered_at;
        if answered_at.is_some_and(|at| now >= at + quarantine::EARLY_PERIOD) {
            self.record_survival(now, key);
        }
        self.time_out_due(now);
        true
    }

    /// A stream has ended completely.
    pub fn on_stream_end(&mut self, now: Duration, call: CallKey) {
        let Some(key) = self.exchange_of(call) else { return };
        self.quarantine.record_answer(now, self.exchanges[key].content);
        self.record_survival(now, key);
        self.count_ending(now, call, Ending::Complete);
        self.end_call(now, call, Step::Ended);
        if !self.exchanges[key].has_sent_head {
            self.actions.push(Action::BeginStream { exchange: key, call });
        }
        self.actions.push(Action::FinishStream(key));
        self.close(key);
    }

    /// A reply has been read whole.
    pub fn on_reply(&mut self, now: Duration, call: CallKey, head: &ReplyHead) {
        let Some(key) = self.exchange_of(call) else { return };
        let endpoint = self.calls[call].endpoint;
        self.count_reply(now, call, head);
        if head.is_refusal() {
            self.end_call(now, call, Step::Refused(head.load));
        } else if head.is_not_run {
            self.record_load(now, endpoint, head.load);
            self.end_call(now, call, Step::Ended);
        } else {
            self.record_answer(now, call, head.load);
            self.quarantine.record_answer(now, self.exchanges[key].content);
            self.end_call(now, call, Step::Ended);
        }
        if head.status == 421 {
            self.directory.mark_leaving(now, endpoint);
        }
        let is_success = (200..300).contains(&head.status);
        if is_success {
            self.record_survival(now, key);
        }
        let is_failure = head.status >= 500 || head.is_not_run;
        if !is_failure && (!is_success || head.is_sealed) {
            self.actions.push(Action::Answer { exchange: key, call });
            self.close(key);
            return;
        }
        let has_inputs = !self.exchanges[key].route.stages.is_empty();
        let inputs_gone = head.is_not_run && head.status == 409 && has_inputs;
        // An endpoint that has sent events has run the request, whatever a later head states.
        let has_run = self.exchanges[key].was_called;
        let may_run = self.exchanges[key].route.kind.is_repeatable() || !has_run;
        if inputs_gone && may_run {
            self.remake_inputs(now, key);
            return;
        }
        let exchange = &mut self.exchanges[key];
        if head.is_not_run && head.status == 421 {
            exchange.attempts -= 1;
        }
        exchange.was_called |= !head.is_not_run;
        let sealed_reply = (!head.is_not_run && head.is_sealed).then_some(call);
        self.retry(now, key, sealed_reply);
    }

    /// A call failed before its reply was complete.
    pub fn on_call_failure(&mut self, now: Duration, call: CallKey, failure: Failure) {
        let Some(key) = self.exchange_of(call) else { return };
        if failure == Failure::Cut {
            let runs = self.runs_of_call(now, call);
            self.on_cut(now, self.calls[call].endpoint, runs);
        }
        self.count_failure(now, call, failure);
        self.end_call(now, call, Step::Failed(failure));
        let exchange = &mut self.exchanges[key];
        match failure {
            Failure::Unsent => exchange.attempts -= 1,
            Failure::Cut | Failure::Foreign => exchange.was_called = true,
        }
        self.retry(now, key, None);
    }

    /// Makes the stages again after an engine refused a call because results that it needs
    /// are gone.
    fn remake_inputs(&mut self, now: Duration, key: ExchangeKey) {
        self.extend_read_delay(key);
        self.exchanges[key].attempts -= 1;
        let service = self.exchanges[key].service.clone();
        if self.try_withdraw(now, &service, 1) {
            self.restart_stages(now, key);
        } else {
            self.give_up(now, key, Refusal::Failed);
        }
    }

    /// This instance's share of the connections that an endpoint accepts.
    pub(super) fn connection_limit(&self, service: &str) -> u32 {
        let service = self.config.as_ref().and_then(|config| config.services.get(service));
        let all = service.map_or(u32::MAX, |service| service.connections);
        (all / self.instance_count() as u32).max(1)
    }

    /// Calls an endpoint for an exchange whose stages are complete. Its placer chooses the
    /// endpoint if there is one.
    pub(super) fn call(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &self.exchanges[key];
        if exchange.is_placement_pending {
            return;
        }
        if !self.has_time_for_call(now, key) {
            self.time_out(now, key);
            return;
        }
        if self.call_bound(now, key) {
            return;
        }
        self.choose_track(now, key);
        if !self.try_canary(now, key) && !self.ask_placer(now, key) {
            self.call_without_placer(now, key);
        }
    }

    /// Calls an endpoint of the version on trial if the request is to go there. Returns false if
    /// it is not, or if none can be called.
    fn try_canary(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        if exchange.track != Some(Track::Canary) {
            return false;
        }
        let inputs = exchange.graph.outputs_by_data_centre(&exchange.route);
        let Some(chosen) = self.choose(now, key, &inputs) else {
            self.exchanges[key].track = Some(Track::Stable);
            return false;
        };
        self.take_canary_call(key);
        let placed = Placed { chosen, source: self.addr_of(chosen.source), placer: None };
        self.send_call(now, key, placed);
        true
    }

    /// Whether enough time is left for a call.
    pub(super) fn has_time_for_call(&self, now: Duration, key: ExchangeKey) -> bool {
        self.exchanges[key].deadline >= now + MIN_CALL_TIME
    }

    /// Calls an endpoint that this instance chooses itself.
    pub(super) fn call_without_placer(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &self.exchanges[key];
        let inputs = exchange.graph.outputs_by_data_centre(&exchange.route);
        let Some(chosen) = self.choose(now, key, &inputs) else {
            self.wait_for_endpoint(now, key);
            return;
        };
        let placed = Placed { chosen, source: self.addr_of(chosen.source), placer: None };
        self.send_call(now, key, placed);
    }

    pub(super) fn addr_of(&self, endpoint: Option<EndpointKey>) -> Option<Arc<str>> {
        Some(self.directory.get(endpoint?)?.entry.addr.clone())
    }

    /// Sends the call of an exchange to the chosen endpoint.
    pub(super) fn send_call(&mut self, now: Duration, key: ExchangeKey, placed: Placed) {
        let Placed { chosen, source, placer } = placed;
        let choice::Candidate { endpoint, tokens, .. } = chosen;
        self.searching.remove(&key);
        let run = self.record_prompt(now, key, &chosen);
        let basis = self.choice_basis(now, key, endpoint, tokens);
        let via = self.detour_to(now, endpoint);
        let call = self.calls.insert(CallState {
            purpose: CallPurpose::Exchange(key),
            endpoint,
            version: self.version_of(endpoint),
            started_at: now,
            tokens,
            run,
            placer,
            via: via.clone(),
            answered_at: None,
            overdue_at: None,
            is_counted: false,
        });
        if self.calls[call].via.is_none() {
            self.record_waiting(now, call);
        }
        if run.is_some() {
            self.watch_first_token(now, call, &chosen);
        }
        self.pace_call(now, endpoint);
        let exchange = &mut self.exchanges[key];
        exchange.call = Some(call);
        exchange.attempts += 1;
        exchange.tried.push(endpoint);
        exchange.wait_until = None;
        let target =
            self.directory.get_mut(endpoint).expect("the directory has the chosen endpoint");
        target.record_sent();
        let call = Call {
            key: call,
            exchange: key,
            endpoint: target.entry.name.clone(),
            addr: target.entry.addr.clone(),
            software: target.entry.version.clone(),
            via,
            remaining: exchange.deadline.saturating_sub(now),
            team: exchange.team.clone(),
            inputs: exchange.graph.outputs(&exchange.route),
            source,
            resume: exchange.last_event,
            rank: exchange.arrival.prompt.as_ref().map(|_| exchange.priority.min(9)),
            attempt: exchange.attempts,
            may_repeat: exchange.route.kind.is_repeatable(),
            basis,
        };
        self.schedule_eviction(now + chosen.wait, key);
        self.actions.push(Action::Send(call));
    }

    /// Records the prompt that is sent to an engine.
    fn record_prompt(
        &mut self,
        now: Duration,
        key: ExchangeKey,
        chosen: &choice::Candidate,
    ) -> Option<RunNumber> {
        let Exchange { service, arrival, .. } = &self.exchanges[key];
        let prompt = arrival.prompt.clone()?;
        Some(self.record_placement(now, &service.clone(), chosen, &prompt))
    }

    pub(super) fn choice_basis(
        &self,
        now: Duration,
        key: ExchangeKey,
        endpoint: EndpointKey,
        tokens: u64,
    ) -> Basis {
        let target = self.directory.get(endpoint);
        Basis {
            version: self.config.as_ref().map_or(0, |config| config.version),
            calls: target.map_or(0, |target| target.calls(now)),
            load_age: target.and_then(|target| target.load_age(now)),
            tokens,
            usable: self.directory.usable(now, self.exchanges[key].pool()).len(),
        }
    }

    pub(super) fn wait_for_endpoint(&mut self, now: Duration, key: ExchangeKey) {
        let free = self.first_available(now, key);
        let exchange = &mut self.exchanges[key];
        let patience = exchange.route.objective.mul_f64(PATIENCE_SHARE);
        let until = *exchange.wait_until.get_or_insert(now + patience);
        if now >= until || free.is_some_and(|at| at >= until) {
            self.searching.remove(&key);
            let has_run = exchange.has_run || exchange.was_called;
            let refusal = if has_run { Refusal::Failed } else { Refusal::Unserved };
            self.give_up(now, key, refusal);
            return;
        }
        self.search_later(now, key);
    }

    /// Continues an exchange after [`SEARCH_INTERVAL`].
    pub(super) fn search_later(&mut self, now: Duration, key: ExchangeKey) {
        if self.searching.is_empty() {
            self.next_search = now + SEARCH_INTERVAL;
        }
        self.searching.insert(key);
    }

    /// Continues the exchanges that found no usable endpoint or wait for peers or tables.
    pub(super) fn search(&mut self, now: Duration) {
        self.next_search = now + SEARCH_INTERVAL;
        for key in std::mem::take(&mut self.searching) {
            if self.exchanges.contains_key(key) {
                self.advance(now, key);
            }
        }
    }

    /// Retries an exchange on another endpoint, or ends it. `answer` is a call whose error
    /// reply is passed on to the caller if no retry is possible.
    pub(super) fn retry(&mut self, now: Duration, key: ExchangeKey, answer: Option<CallKey>) {
        let exchange = &self.exchanges[key];
        let kind = exchange.route.kind;
        let may_run = kind.is_repeatable() || !exchange.was_called;
        let can_resume = !exchange.has_sent_head || kind.is_repeatable();
        let has_attempts = exchange.attempts < exchange.route.max_attempts;
        let has_time = exchange.deadline > now + MIN_CALL_TIME;
        let is_first = exchange.attempts == 0;
        let service = exchange.service.clone();
        let may_retry = may_run && can_resume && has_attempts && has_time;
        if may_retry && (is_first || self.try_withdraw(now, &service, 1)) {
            if self.exchanges[key].has_sent_head {
                self.restart_stages(now, key);
            }
            if self.exchanges.get(key).is_some_and(|exchange| exchange.call.is_none()) {
                self.advance(now, key);
            }
            return;
        }
        let exchange = &self.exchanges[key];
        match answer {
            Some(call) if !exchange.has_sent_head => {
                self.actions.push(Action::Answer { exchange: key, call });
                self.close(key);
            }
            _ => {
                let has_run = exchange.has_run || exchange.was_called;
                let refusal = if has_run { Refusal::Failed } else { Refusal::Unserved };
                self.give_up(now, key, refusal);
            }
        }
    }

    pub(super) fn exchange_of(&self, call: CallKey) -> Option<ExchangeKey> {
        match self.calls.get(call)?.purpose {
            CallPurpose::Exchange(key) if self.exchanges.contains_key(key) => Some(key),
            _ => None,
        }
    }

    fn record_load(&mut self, now: Duration, endpoint: EndpointKey, load: Option<Load>) {
        if let (Some(endpoint), Some(load)) = (self.directory.get_mut(endpoint), load) {
            endpoint.record_load(now, load);
        }
    }

    pub(super) fn record_answer(&mut self, now: Duration, call: CallKey, load: Option<Load>) {
        let Some(state) = self.calls.get_mut(call) else { return };
        if state.answered_at.replace(now).is_some() {
            return;
        }
        let took = now.saturating_sub(state.started_at);
        let (tokens, exchange) = (state.tokens, state.purpose);
        if let CallPurpose::Exchange(key) = exchange
            && let Some(Exchange { service, arrival, .. }) = self.exchanges.get(key)
            && arrival.prompt.is_some()
        {
            self.prefill_speeds.entry(service.clone()).or_default().record(now, tokens, took);
        }
        self.record_step(now, call, Step::Answered(load));
    }

    /// Records how far a call has got, and reports it to the peer that placed it.
    fn record_step(&mut self, now: Duration, call: CallKey, step: Step) {
        let Some(CallState { endpoint, started_at, run, placer, .. }) = self.calls.get(call) else {
            return;
        };
        let (endpoint, took) = (*endpoint, now.saturating_sub(*started_at));
        let (run, placer) = (*run, placer.clone());
        match (run, self.directory.get_mut(endpoint)) {
            (Some(number), _) => self.on_progress(now, Progress { number, step }),
            (None, Some(endpoint)) => endpoint.record_step(now, took, step),
            (None, None) => {}
        }
        if let Some((peer, number)) = placer {
            self.report(now, peer, Progress { number, step });
        }
    }

    pub(super) fn cancel(&mut self, now: Duration, call: CallKey) {
        self.actions.push(Action::Cancel(call));
        self.count_ending(now, call, Ending::Open);
        self.end_call(now, call, Step::Ended);
    }

    pub(super) fn end_call(&mut self, now: Duration, call: CallKey, step: Step) {
        self.record_step(now, call, step);
        let Some(state) = self.calls.remove(call) else { return };
        self.record_not_waiting(state.started_at, call);
        if let Some(detour) = &state.via {
            self.paths.record_end(&detour.peer);
        }
        if let Some(at) = state.overdue_at {
            self.token_deadlines.remove(&(at, call));
        }
        if let Some(endpoint) = self.directory.get_mut(state.endpoint) {
            endpoint.record_end();
        }
        if let CallPurpose::Exchange(key) = state.purpose
            && let Some(exchange) = self.exchanges.get_mut(key)
        {
            exchange.call = None;
            // A retry runs on the version in force.
            exchange.track = exchange.track.map(|_| Track::Stable);
        }
    }
}
