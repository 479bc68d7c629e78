//! Which engine reads which prompt, decided in one place for all instances.
//!
//! Instances that choose alone do not know what the others have just sent: two
//! long prompts meet at one engine while another one is idle, parts that one
//! engine has read are read again by the next, and a part that nobody has read
//! goes to the engine that all agree on, however far that is from the results
//! that the call takes in. Therefore one instance, the *placer*, chooses for
//! all: it knows what each engine was given to read, and what it holds.
//!
//! The placer is soft like the instance that batches pieces: it is asked with
//! one short question a request, and an instance that gets no answer chooses
//! alone. At larger sizes the prompts are shared out among several placers by
//! their last shared part, so that a placer's work and traffic stay the same.
//! There are as many as the engines need, not as many as there are instances:
//! the fewer engines a placer has, the less evenly it can spread what its
//! prompts ask for. With one placer for each eight of 295 instances, each had
//! about four of 160 engines, and ten engines drowned while the others read at
//! a fifth of their speed.
//!
//! Instances tell the placer how the calls go on that it placed.

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3;

use crate::{
    model::{DataCentre, InstanceName},
    relay::{
        choice::{self, Candidate, Chooser, prompts},
        config::{self, Transfer},
        engine::CallEstimate,
        exchange::Exchange,
        machine::Relay,
        model::{
            Action, EndpointId, EndpointKey, ExchangeKey, HeldParts, Placement, PlacementRequest,
            Progress, Prompt, RunNumber, Step,
        },
        reading::PrefillSpeed,
    },
};

/// Engines of one placer. At twelve prompts a second an engine, the size to
/// design for, a placer is asked 480 times a second.
const ENGINES: usize = 40;
/// Pause in which an instance gathers what it tells a placer of its calls.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// How long a call is at an engine before any call has shown it.
pub(super) const FIRST_RUN_TIME: Duration = Duration::from_millis(1500);
/// Weight of a new time in the moving average of that.
const NEWEST_SHARE: f64 = 0.05;
/// A placer that did not answer is not asked for so long. Until then its
/// liveness counter shows whether it is there.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Where an exchange's call goes.
#[derive(Debug, Clone)]
pub(super) struct Placed {
    pub(super) chosen: Candidate,
    /// The address that the engine fetches from.
    pub(super) source: Option<Arc<str>>,
    /// The peer that chose, and its number of the call.
    pub(super) placer: Option<(InstanceName, RunNumber)>,
}

impl Relay {
    /// Asks the placer where an exchange's call should go. False if this
    /// instance chooses itself.
    pub(super) fn ask_placer(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let Some(prompt) = &exchange.arrival.prompt else { return false };
        if self.has_route_policy() {
            return false;
        }
        let Some(peer) = self.placer(&exchange.service, prompt) else { return false };
        if self.mute_placers.get(&peer).is_some_and(|until| now < *until) {
            return false;
        }
        let question = PlacementRequest {
            service: exchange.service.clone(),
            prompt: prompt.clone(),
            inputs: exchange.graph.outputs_by_data_centre(&exchange.route),
            excluded: self.avoided_engines(now, key),
        };
        self.exchanges[key].is_placement_pending = true;
        self.actions.push(Action::RequestPlacement { exchange: key, peer, request: question });
        true
    }

    /// A placer did not answer.
    pub fn on_placer_failure(&mut self, now: Duration, peer: &InstanceName) {
        self.mute_placers.insert(peer.clone(), now + AVOID_TIME);
    }

    /// A placer answered, or did not: `None` then, or if it found no engine.
    pub fn on_placement(
        &mut self,
        now: Duration,
        key: ExchangeKey,
        peer: &InstanceName,
        placement: Option<Placement>,
    ) {
        let exchange = self.exchanges.get_mut(key);
        let is_wanted = exchange.is_some_and(|it| std::mem::take(&mut it.is_placement_pending));
        let number = placement.as_ref().map(|placement| placement.number);
        let chosen = placement.filter(|_| is_wanted);
        let chosen = chosen.and_then(|placement| self.candidate(now, key, peer, placement));
        if let (None, Some(number)) = (&chosen, number) {
            // The placer reckons with a call that is not made.
            self.report(now, peer.clone(), Progress { number, step: Step::Ended });
        }
        match chosen {
            Some(placed) => self.call_at(now, key, placed),
            None if is_wanted => self.call_alone(now, key),
            None => {}
        }
    }

    /// Asks the engines of a service what they hold, of which this instance does
    /// not know it: it has not placed prompts lately, or they are new. What was
    /// read before a placer started would otherwise be read again.
    fn list_parts(&mut self, now: Duration, service: &str) {
        if now > self.placed_at + prompts::RETENTION {
            self.listed.clear();
        }
        self.placed_at = now;
        for endpoint in self.directory.usable(now, service) {
            let Some(engine) = self.directory.get(endpoint) else { continue };
            // The question is a call too.
            let is_spared = engine.is_on_hold(now) || engine.limit().is_some();
            if !is_spared && self.listed.insert(endpoint) {
                let addr = engine.entry.addr.clone();
                self.actions.push(Action::ListParts { endpoint, addr });
            }
        }
    }

    /// An engine told which parts it holds. What another life of it holds says
    /// nothing.
    pub fn on_parts_listed(&mut self, now: Duration, endpoint: EndpointKey, listed: &HeldParts) {
        let Some(engine) = self.directory.get(endpoint) else { return };
        if listed.incarnation.is_none_or(|told| told == engine.entry.incarnation) {
            self.memory.record_parts(now, endpoint, listed.parts.iter().copied());
        }
    }

    /// Chooses for a peer. `None` if no engine can take the prompt.
    pub fn place_prompt(
        &mut self,
        now: Duration,
        question: &PlacementRequest,
    ) -> Option<Placement> {
        if self.transfer(&question.service).is_some() {
            self.list_parts(now, &question.service);
        }
        let avoided = question.excluded.iter().filter_map(|life| self.directory.by_id(life));
        let avoided: Vec<_> = avoided.collect();
        let chooser = self.as_placer(&question.service, &question.prompt);
        let withheld = self.withheld(now, &question.service, chooser);
        let wanted = choice::Criteria {
            tried: &avoided,
            withheld: &withheld,
            max_in_flight: u32::MAX,
            chooser,
            ..self.wanted(&question.service, &question.inputs)
        };
        let (service, prompt) = (&question.service, &question.prompt);
        let (directory, memory) = (&self.directory, &self.memory);
        let candidates = choice::engine_candidates(directory, memory, now, service, prompt, wanted);
        let chosen = choice::cheapest(&candidates)?;
        let number = self.note_placed(now, service, &chosen, prompt);
        let source = self.addr_of(chosen.source);
        self.pace_call(now, chosen.endpoint);
        let engine = self.directory.get_mut(chosen.endpoint)?;
        engine.record_placed();
        let Candidate { tokens, wait, .. } = chosen;
        Some(Placement { engine: engine.id(), source, tokens, wait, number })
    }

    /// A prompt goes to an engine, for this instance or a peer. Returns the
    /// number of its run.
    pub(super) fn note_placed(
        &mut self,
        now: Duration,
        service: &str,
        chosen: &Candidate,
        prompt: &Prompt,
    ) -> RunNumber {
        self.memory.record_prompt(now, chosen.endpoint, prompt);
        self.next_run += 1;
        let number = self.next_run;
        let speed = self.speeds.get(service).cloned().unwrap_or_default();
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

    /// Takes in how a call goes on that this instance placed.
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
            let kept = self.run_time.mul_f64(1.0 - NEWEST_SHARE);
            self.run_time = kept + took.mul_f64(NEWEST_SHARE);
        }
    }

    pub(super) fn report(&mut self, now: Duration, peer: InstanceName, progress: Progress) {
        if self.reports.is_empty() {
            self.report_at = now + REPORT_PAUSE;
        }
        self.reports.entry(peer).or_default().push(progress);
    }

    /// When placers are to be told of calls, if there is anything to tell.
    pub(super) fn next_report(&self) -> Option<Duration> {
        (!self.reports.is_empty()).then_some(self.report_at)
    }

    /// Tells placers what was gathered for them.
    pub(super) fn send_reports(&mut self, now: Duration) {
        if now < self.report_at {
            return;
        }
        for (peer, progress) in std::mem::take(&mut self.reports) {
            let notices = self.notices.remove(&peer).unwrap_or_default();
            self.actions.push(Action::ReportProgress { peer, progress, notices });
        }
    }

    /// Forgets runs of which no end was heard.
    pub(super) fn forget_runs(&mut self) {
        let directory = &self.directory;
        let is_there = |number: &RunNumber, key: &EndpointKey| {
            directory.get(*key).is_some_and(|endpoint| endpoint.engine.has_run(*number))
        };
        self.runs.retain(|number, key| is_there(number, key));
    }

    /// What a choice of engines goes by, but for who asks.
    fn wanted<'a>(
        &'a self,
        service: &str,
        inputs: &'a [(DataCentre, u64)],
    ) -> choice::Criteria<'a> {
        let engine = self.engine(service);
        choice::Criteria {
            data_centre: &self.settings.data_centre,
            tried: &[],
            withheld: &[],
            inputs,
            max_in_flight: self.connection_limit(service),
            transfer: engine.and_then(|engine| engine.transfer),
            engine,
            token_millis: self.token_millis(service),
            run_time: self.run_time,
            chooser: Chooser::Independent,
            instances: self.instances(),
        }
    }

    /// Milliseconds that the engines of a service take to read a token.
    fn token_millis(&self, service: &str) -> f64 {
        let speed = self.speeds.get(service);
        speed.map_or_else(|| PrefillSpeed::default().token_millis(), PrefillSpeed::token_millis)
    }

    fn engine(&self, service: &str) -> Option<config::Engine> {
        self.config.as_ref()?.services.get(service)?.engine
    }

    pub(super) fn has_engines(&self, service: &str) -> bool {
        self.engine(service).is_some()
    }

    pub(super) fn transfer(&self, service: &str) -> Option<Transfer> {
        self.engine(service)?.transfer
    }

    /// Whether this instance decides where a prompt goes.
    pub(super) fn is_placer(&self, service: &str, prompt: &Prompt) -> bool {
        self.placer(service, prompt).is_none()
    }

    /// The peer that places a prompt; `None` if this instance does.
    fn placer(&self, service: &str, prompt: &Prompt) -> Option<InstanceName> {
        let share = share_of(prompt, self.shares(service));
        self.first_ranked(xxh3::xxh3_64_with_seed(service.as_bytes(), share + 1))
    }

    fn as_placer(&self, service: &str, prompt: &Prompt) -> Chooser {
        let shares = self.shares(service);
        Chooser::Placer { share: share_of(prompt, shares), shares }
    }

    /// How many placers a service has.
    fn shares(&self, service: &str) -> u64 {
        let engines = self.directory.ready_count_of(service);
        let instances = self.peers.len() + 1;
        engines.div_ceil(ENGINES).clamp(1, instances) as u64
    }

    /// Engines that this exchange does not go to: tried ones, and those that
    /// have just failed this instance or want nothing from it.
    fn avoided_engines(&self, now: Duration, key: ExchangeKey) -> Vec<EndpointId> {
        let exchange = &self.exchanges[key];
        let limit = self.connection_limit(&exchange.service);
        let known = self.directory.usable(now, &exchange.service).into_iter();
        let avoided = known.filter_map(|key| {
            let engine = self.directory.get(key)?;
            let is_full = engine.in_flight >= limit;
            let is_unwilling = engine.is_paused(now) || engine.is_on_hold(now);
            let is_avoided = exchange.tried.contains(&key) || is_unwilling || is_full;
            is_avoided.then(|| engine.id())
        });
        avoided.collect()
    }

    /// The engine that a placer chose, if this instance may use it.
    fn candidate(
        &self,
        now: Duration,
        key: ExchangeKey,
        peer: &InstanceName,
        placement: Placement,
    ) -> Option<Placed> {
        let endpoint = self.directory.by_id(&placement.engine)?;
        let service = &self.exchanges[key].service;
        let is_usable = self.directory.usable(now, service).contains(&endpoint);
        let wants_rest = self.directory.get(endpoint).is_some_and(|it| it.is_on_hold(now));
        if !is_usable || wants_rest {
            return None;
        }
        let Placement { tokens, wait, source, number, .. } = placement;
        let copy_time = Duration::ZERO;
        let chosen = Candidate { endpoint, tokens, source: None, wait, copy_time, cost: 0.0 };
        Some(Placed { chosen, source, placer: Some((peer.clone(), number)) })
    }

    pub(super) fn choose(
        &mut self,
        now: Duration,
        key: ExchangeKey,
        inputs: &[(DataCentre, u64)],
    ) -> Option<Candidate> {
        let Exchange { service, arrival, .. } = &self.exchanges[key];
        let (service, prompt) = (service.clone(), arrival.prompt.clone());
        let is_placer = prompt.as_ref().is_some_and(|prompt| self.is_placer(&service, prompt));
        if is_placer && self.transfer(&service).is_some() {
            self.list_parts(now, &service);
        }
        let mut rng = SmallRng::seed_from_u64(self.rng.random());
        let chooser = match &prompt {
            Some(prompt) if is_placer => self.as_placer(&service, prompt),
            _ => Chooser::Independent,
        };
        let withheld = self.withheld(now, &service, chooser);
        let wanted = choice::Criteria {
            tried: &self.exchanges[key].tried,
            withheld: &withheld,
            chooser,
            ..self.wanted(&service, inputs)
        };
        let (directory, memory) = (&self.directory, &self.memory);
        let candidates = match &prompt {
            Some(prompt) => {
                choice::engine_candidates(directory, memory, now, &service, prompt, wanted)
            }
            None => choice::plain_candidates(directory, now, &service, wanted, || rng.random()),
        };
        let chosen = self.policy_choice(now, key, &candidates);
        chosen.or_else(|| choice::cheapest(&candidates))
    }
}

/// The share of the prompts that one belongs to, by its last shared part. One
/// share more or less moves few prompts to another placer, which does not know
/// where their parts are.
fn share_of(prompt: &Prompt, shares: u64) -> u64 {
    let part = prompt.shared().last().map_or(0, |part| part.id);
    let weight = |share: &u64| xxh3::xxh3_64_with_seed(&part.to_le_bytes(), *share);
    (0..shares).max_by_key(weight).unwrap_or_default()
}
