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

use std::{sync::Arc, time::Duration};

use rand::Rng;
use xxhash_rust::xxh3;

use crate::{
    model::{DataCentre, InstanceName},
    relay::{
        choice::{self, Candidate, Chooser, prompts},
        config::Transfer,
        exchange::Exchange,
        machine::Relay,
        model::{Action, EndpointKey, ExchangeKey, Life, Listed, Placement, Prompt, Question},
        reading::Speed,
    },
};

/// Instances that share one placer: at 62 requests a second an instance, the
/// size to design for, a placer is asked 500 times a second.
const SHARED_BY: usize = 8;
/// A placer that did not answer is not asked for so long. Until then its
/// liveness counter shows whether it is there.
const AVOID_TIME: Duration = Duration::from_secs(2);

impl Relay {
    /// Asks the placer where an exchange's call should go. False if this
    /// instance chooses itself.
    pub(super) fn ask_placer(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let Some(prompt) = &exchange.arrival.prompt else { return false };
        if now < self.placers_avoided || self.has_route_policy() {
            return false;
        }
        let Some(peer) = self.placer(&exchange.service, prompt) else { return false };
        let question = Question {
            service: exchange.service.clone(),
            prompt: prompt.clone(),
            inputs: exchange.graph.output_places(&exchange.route),
            avoided: self.avoided_engines(now, key),
        };
        self.exchanges[key].is_placing = true;
        self.actions.push(Action::Ask { exchange: key, peer, question });
        true
    }

    /// A placer did not answer.
    pub fn placer_failed(&mut self, now: Duration) {
        self.placers_avoided = now + AVOID_TIME;
    }

    /// A placer answered, or did not: `None` then, or if it found no engine.
    pub fn placed(&mut self, now: Duration, key: ExchangeKey, placement: Option<Placement>) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        if !std::mem::take(&mut exchange.is_placing) {
            return;
        }
        let chosen = placement.and_then(|placement| self.candidate(now, key, &placement));
        match chosen {
            Some((chosen, source)) => self.call_at(now, key, chosen, source),
            None => self.call_alone(now, key),
        }
    }

    /// Asks the engines of a service what they hold, of which this instance does
    /// not know it: it has not placed prompts lately, or they are new. What was
    /// read before a placer started would otherwise be read again.
    fn list_parts(&mut self, now: Duration, service: &str) {
        if now > self.placed_at + prompts::HELD_FOR {
            self.listed.clear();
        }
        self.placed_at = now;
        for endpoint in self.directory.usable(now, service) {
            let Some(engine) = self.directory.get(endpoint) else { continue };
            if self.listed.insert(endpoint) {
                let addr = engine.entry.addr.clone();
                self.actions.push(Action::ListParts { endpoint, addr });
            }
        }
    }

    /// An engine told which parts it holds. What another life of it holds says
    /// nothing.
    pub fn parts_listed(&mut self, now: Duration, endpoint: EndpointKey, listed: &Listed) {
        let Some(engine) = self.directory.get(endpoint) else { return };
        if listed.incarnation.is_none_or(|told| told == engine.entry.incarnation) {
            self.memory.holds_parts(now, endpoint, listed.parts.iter().copied());
        }
    }

    /// Chooses for a peer. `None` if no engine can take the prompt.
    pub fn place(&mut self, now: Duration, question: &Question) -> Option<Placement> {
        if self.transfer(&question.service).is_some() {
            self.list_parts(now, &question.service);
        }
        let avoided = question.avoided.iter().filter_map(|life| self.directory.by_life(life));
        let avoided: Vec<_> = avoided.collect();
        let wanted = choice::Wanted {
            home: &self.settings.data_centre,
            tried: &avoided,
            inputs: &question.inputs,
            limit: u32::MAX,
            transfer: self.transfer(&question.service),
            token_millis: self.token_millis(&question.service),
            chooser: self.as_placer(&question.prompt),
        };
        let (service, prompt) = (&question.service, &question.prompt);
        let (directory, memory) = (&self.directory, &self.memory);
        let candidates = choice::engine(directory, memory, now, service, prompt, wanted);
        let chosen = choice::cheapest(&candidates)?;
        self.note_placed(now, service, &chosen, prompt);
        let source = self.addr_of(chosen.source);
        let engine = self.directory.get(chosen.endpoint)?;
        let Candidate { tokens, wait, .. } = chosen;
        Some(Placement { engine: engine.life(), source, tokens, wait })
    }

    /// This instance placed a prompt.
    pub(super) fn note_placed(
        &mut self,
        now: Duration,
        service: &str,
        chosen: &Candidate,
        prompt: &Prompt,
    ) {
        self.memory.sent(now, chosen.endpoint, prompt);
        let millis = chosen.tokens as f64 * self.token_millis(service);
        if let Some(engine) = self.directory.get_mut(chosen.endpoint) {
            engine.placed(now, Duration::from_secs_f64(millis / 1000.0));
        }
    }

    /// Milliseconds that the engines of a service take to read a token.
    fn token_millis(&self, service: &str) -> f64 {
        let speed = self.speeds.get(service);
        speed.map_or_else(|| Speed::default().token_millis(), Speed::token_millis)
    }

    pub(super) fn transfer(&self, service: &str) -> Option<Transfer> {
        self.config.as_ref()?.services.get(service)?.engine?.transfer
    }

    /// Whether this instance decides where a prompt goes.
    pub(super) fn is_placer(&self, service: &str, prompt: &Prompt) -> bool {
        self.placer(service, prompt).is_none()
    }

    /// The peer that places a prompt; `None` if this instance does.
    fn placer(&self, service: &str, prompt: &Prompt) -> Option<InstanceName> {
        let share = self.share_of(prompt);
        self.first_ranked(xxh3::xxh3_64_with_seed(service.as_bytes(), share + 1))
    }

    fn as_placer(&self, prompt: &Prompt) -> Chooser {
        Chooser::Placer { share: self.share_of(prompt), shares: self.shares() }
    }

    /// The share of the prompts that one belongs to, by its last shared part.
    fn share_of(&self, prompt: &Prompt) -> u64 {
        let part = prompt.shared().last().map_or(0, |part| part.id);
        xxh3::xxh3_64(&part.to_le_bytes()) % self.shares()
    }

    /// How many placers there are.
    fn shares(&self) -> u64 {
        (self.peers.len() + 1).div_ceil(SHARED_BY) as u64
    }

    /// Engines that this exchange does not go to: tried ones, and those that
    /// have just failed this instance.
    fn avoided_engines(&self, now: Duration, key: ExchangeKey) -> Vec<Life> {
        let exchange = &self.exchanges[key];
        let limit = self.connection_limit(&exchange.service);
        let known = self.directory.usable(now, &exchange.service).into_iter();
        let avoided = known.filter_map(|key| {
            let engine = self.directory.get(key)?;
            let is_full = engine.in_flight >= limit;
            let is_avoided = exchange.tried.contains(&key) || engine.is_paused(now) || is_full;
            is_avoided.then(|| engine.life())
        });
        avoided.collect()
    }

    /// The engine that a placer chose and its source's address, if this
    /// instance may use it.
    fn candidate(
        &self,
        now: Duration,
        key: ExchangeKey,
        placement: &Placement,
    ) -> Option<(Candidate, Option<Arc<str>>)> {
        let endpoint = self.directory.by_life(&placement.engine)?;
        let service = &self.exchanges[key].service;
        if !self.directory.usable(now, service).contains(&endpoint) {
            return None;
        }
        let Placement { tokens, wait, .. } = *placement;
        let candidate = Candidate { endpoint, tokens, source: None, wait, cost: 0.0 };
        Some((candidate, placement.source.clone()))
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
        let exchange = &self.exchanges[key];
        let wanted = choice::Wanted {
            home: &self.settings.data_centre,
            tried: &exchange.tried,
            inputs,
            limit: self.connection_limit(&service),
            transfer: self.transfer(&service),
            token_millis: self.token_millis(&service),
            chooser: match &prompt {
                Some(prompt) if is_placer => self.as_placer(prompt),
                _ => Chooser::Alone,
            },
        };
        let (directory, memory) = (&self.directory, &self.memory);
        let candidates = match &prompt {
            Some(prompt) => choice::engine(directory, memory, now, &service, prompt, wanted),
            None => {
                let rng = &mut self.rng;
                choice::plain(directory, now, &service, wanted, || rng.random())
            }
        };
        let chosen = self.policy_choice(now, key, &candidates);
        chosen.or_else(|| choice::cheapest(&candidates))
    }
}
