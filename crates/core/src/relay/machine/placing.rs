//! Placement of prompts: one instance chooses the engines for all.
//!
//! Instances that choose on their own have no record of what the others have just sent. Two
//! long prompts go to one engine while another is idle; prompt parts that one engine has read
//! are read again by the next; and a part that no engine has read goes to the one engine that
//! all instances agree on, however far it is from the results that the call needs. Therefore
//! one instance, the *placer*, chooses for all: it records which prompts each engine was
//! given, and which parts it holds.
//!
//! Like the batcher of a service, the placer is not required for progress: an instance sends
//! it one short message for each request, and chooses on its own if it gets no answer. In
//! larger installations several placers divide the prompts by their last shared part, so that
//! the work and traffic of one placer stay the same. Their number follows the number of
//! engines, not of instances: the fewer engines a placer has, the less evenly it can spread
//! its prompts. With one placer for each eight of 295 instances, each had about four of 160
//! engines; ten engines were overloaded while the others read at a fifth of their speed.
//!
//! Instances report the progress of placed calls to the placer (`runs`).

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3;

use crate::{
    model::{DataCentre, InstanceName},
    relay::{
        choice::{self, Candidate, Chooser, prompts},
        config::{self, Transfer},
        directory,
        exchange::Exchange,
        machine::Relay,
        model::{
            Action, EndpointId, EndpointKey, ExchangeKey, HeldParts, Placement, PlacementRequest,
            Progress, Prompt, RunNumber, Step,
        },
        pool::{Pool, Track},
        reading::PrefillSpeed,
    },
};

/// Number of engines for each placer. At the design load of twelve prompts a second at each
/// engine, a placer gets 480 requests a second.
const ENGINES_PER_PLACER: usize = 40;
/// A placer that did not answer gets no requests of an instance for this long. After that its
/// liveness counter shows whether it is alive.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Where the call of an exchange goes.
#[derive(Debug, Clone)]
pub(super) struct Placed {
    pub(super) chosen: Candidate,
    /// Address of the engine from which the chosen one fetches prompt parts.
    pub(super) source: Option<Arc<str>>,
    /// The peer that placed the call, and the number that it gave the call.
    pub(super) placer: Option<(InstanceName, RunNumber)>,
}

impl Relay {
    /// Asks the placer where an exchange's call should go. Returns false if this instance
    /// chooses itself.
    pub(super) fn ask_placer(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let Some(prompt) = &exchange.arrival.prompt else { return false };
        if self.has_route_policy() {
            return false;
        }
        let Some(peer) = self.placer(exchange.pool(), prompt) else { return false };
        if self.unresponsive_placers.get(&peer).is_some_and(|until| now < *until) {
            return false;
        }
        let request = PlacementRequest {
            service: exchange.service.clone(),
            region: exchange.region.clone(),
            prompt: prompt.clone(),
            inputs: exchange.graph.outputs_by_data_centre(&exchange.route),
            excluded: self.excluded_engines(now, key),
        };
        self.exchanges[key].is_placement_pending = true;
        self.actions.push(Action::RequestPlacement { exchange: key, peer, request });
        true
    }

    /// A placer did not answer.
    pub fn on_placer_failure(&mut self, now: Duration, peer: &InstanceName) {
        self.unresponsive_placers.insert(peer.clone(), now + AVOID_TIME);
    }

    /// Takes in a placer's answer. `None` if it did not answer or found no engine.
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
        // The timer of the deadline may be handled after this answer.
        let chosen = chosen.filter(|_| self.has_time_for_call(now, key));
        let is_wanted = is_wanted && self.ensure_bound(now, key);
        let chosen = chosen.filter(|_| is_wanted);
        let chosen = chosen.and_then(|placement| self.check_placement(now, key, peer, placement));
        if let (None, Some(number)) = (&chosen, number) {
            // The placer accounts for a call that is not made.
            self.report(now, peer.clone(), Progress { number, step: Step::Ended });
        }
        match chosen {
            Some(placed) => self.send_call(now, key, placed),
            None if is_wanted => self.call_in_time(now, key),
            None => {}
        }
    }

    /// Calls an endpoint without a placer, unless too little time is left.
    fn call_in_time(&mut self, now: Duration, key: ExchangeKey) {
        if self.has_time_for_call(now, key) {
            self.call_without_placer(now, key);
        } else {
            self.time_out(now, key);
        }
    }

    /// Asks engines of a pool which prompt parts they hold, if this instance has no record
    /// of that: it has placed no prompts lately, or the engines are new. Otherwise parts that
    /// were read before a placer started would be read again.
    fn query_parts(&mut self, now: Duration, pool: Pool<'_>) {
        if now > self.last_placement + prompts::RETENTION {
            self.queried_engines.clear();
        }
        self.last_placement = now;
        for endpoint in self.directory.usable(now, pool) {
            let Some(engine) = self.directory.get(endpoint) else { continue };
            // This request counts as a call too.
            let is_limited = engine.is_on_hold(now) || engine.limit().is_some();
            let is_reached = !self.paths.is_interrupted(endpoint);
            if !is_limited && is_reached && self.queried_engines.insert(endpoint) {
                let addr = engine.entry.addr.clone();
                self.actions.push(Action::ListParts { endpoint, addr });
            }
        }
    }

    /// An engine reported which prompt parts it holds. A report of another incarnation is
    /// ignored.
    pub fn on_parts_listed(&mut self, now: Duration, endpoint: EndpointKey, listed: &HeldParts) {
        let Some(engine) = self.directory.get(endpoint) else { return };
        if listed.incarnation.is_none_or(|reported| reported == engine.entry.incarnation) {
            self.sent_parts.record_parts(now, endpoint, listed.parts.iter().copied());
        }
    }

    /// Chooses an engine for a peer. `None` if no engine can take the prompt.
    pub fn place_prompt(&mut self, now: Duration, request: &PlacementRequest) -> Option<Placement> {
        let PlacementRequest { service, region, prompt, .. } = request;
        let pool = Pool { region: region.as_deref(), ..Pool::of(service) };
        if self.transfer(service).is_some() {
            self.query_parts(now, pool);
        }
        let excluded = request.excluded.iter().filter_map(|id| self.directory.by_id(id));
        let excluded: Vec<_> = excluded.collect();
        let chooser = self.placer_chooser(pool, prompt);
        let withheld = self.withheld(now, pool, chooser);
        let criteria = choice::Criteria {
            tried: &excluded,
            withheld: &withheld,
            max_in_flight: u32::MAX,
            chooser,
            ..self.criteria(service, &request.inputs)
        };
        let (directory, sent_parts) = (&self.directory, &self.sent_parts);
        let candidates =
            choice::engine_candidates(directory, sent_parts, now, pool, prompt, criteria);
        let chosen = choice::cheapest(&candidates)?;
        let number = self.record_placement(now, service, &chosen, prompt);
        let source = self.addr_of(chosen.source);
        self.pace_call(now, chosen.endpoint);
        let engine = self.directory.get_mut(chosen.endpoint)?;
        engine.record_placed();
        let Candidate { tokens, wait, .. } = chosen;
        Some(Placement { engine: engine.id(), source, tokens, wait, number })
    }

    /// The inputs of a choice for a service, but for those that depend on the exchange.
    fn criteria<'a>(
        &'a self,
        service: &str,
        inputs: &'a [(DataCentre, u64)],
    ) -> choice::Criteria<'a> {
        let engine = self.engine_config(service);
        choice::Criteria {
            data_centre: &self.settings.data_centre,
            tried: &[],
            withheld: &[],
            inputs,
            max_in_flight: self.connection_limit(service),
            transfer: engine.and_then(|engine| engine.transfer),
            engine,
            token_millis: self.token_millis(service),
            run_time: self.average_run,
            chooser: Chooser::Independent,
            instances: self.instance_count(),
        }
    }

    /// Time in milliseconds that an engine of a service takes to read a token.
    fn token_millis(&self, service: &str) -> f64 {
        let speed = self.prefill_speeds.get(service);
        speed.map_or_else(|| PrefillSpeed::default().token_millis(), PrefillSpeed::token_millis)
    }

    fn engine_config(&self, service: &str) -> Option<config::Engine> {
        self.config.as_ref()?.services.get(service)?.engine
    }

    pub(super) fn has_engines(&self, service: &str) -> bool {
        self.engine_config(service).is_some()
    }

    pub(super) fn transfer(&self, service: &str) -> Option<Transfer> {
        self.engine_config(service)?.transfer
    }

    /// Whether this instance chooses the engine for a prompt.
    pub(super) fn is_placer(&self, pool: Pool<'_>, prompt: &Prompt) -> bool {
        self.placer(pool, prompt).is_none()
    }

    /// The peer that places a prompt; `None` if this instance does.
    fn placer(&self, pool: Pool<'_>, prompt: &Prompt) -> Option<InstanceName> {
        let share = share_of(prompt, self.placer_count(pool));
        let seed = xxh3::xxh3_64_with_seed(pool.service.as_bytes(), share + 1);
        self.first_ranked(pool.region, seed)
    }

    fn placer_chooser(&self, pool: Pool<'_>, prompt: &Prompt) -> Chooser {
        let shares = self.placer_count(pool);
        Chooser::Placer { share: share_of(prompt, shares), shares }
    }

    /// Number of placers of a pool.
    fn placer_count(&self, pool: Pool<'_>) -> u64 {
        let engines = self.directory.ready_count_of(pool);
        let instances = self.instances_for(pool.region);
        engines.div_ceil(ENGINES_PER_PLACER).clamp(1, instances) as u64
    }

    /// Engines that may not be chosen for an exchange: those already tried, and those that
    /// have just failed calls of this instance, are on hold or have no connection left for
    /// it.
    fn excluded_engines(&self, now: Duration, key: ExchangeKey) -> Vec<EndpointId> {
        let exchange = &self.exchanges[key];
        let limit = self.connection_limit(&exchange.service);
        let known = self.directory.usable(now, exchange.pool()).into_iter();
        let excluded = known.filter_map(|key| {
            let engine = self.directory.get(key)?;
            let is_full = engine.in_flight >= limit;
            let is_unavailable = engine.is_paused(now) || engine.is_on_hold(now);
            let is_excluded = exchange.tried.contains(&key) || is_unavailable || is_full;
            is_excluded.then(|| engine.id())
        });
        excluded.collect()
    }

    /// Turns a placer's answer into a candidate; `None` if this instance may not use the
    /// engine.
    fn check_placement(
        &self,
        now: Duration,
        key: ExchangeKey,
        peer: &InstanceName,
        placement: Placement,
    ) -> Option<Placed> {
        let endpoint = self.directory.by_id(&placement.engine)?;
        let pool = self.exchanges[key].pool();
        let is_usable = self.directory.usable(now, pool).contains(&endpoint);
        let wants_rest = self.directory.get(endpoint).is_some_and(|it| it.is_on_hold(now));
        if !is_usable || wants_rest || !self.may_serve(key, endpoint) {
            return None;
        }
        let Placement { tokens, wait, source, number, .. } = placement;
        // Times are estimated from the tokens and added up, so a peer's number must be bounded.
        let prompt = &self.exchanges[key].arrival.prompt;
        let input = prompt.as_ref().map_or(0, |prompt| prompt.input);
        let tokens = tokens.min(u64::from(input));
        let is_source = |addr: &Arc<str>| {
            self.is_source_in(addr, pool.region) && self.may_fetch(endpoint, addr)
        };
        let source = source.filter(is_source);
        let copy_time = Duration::ZERO;
        let chosen = Candidate { endpoint, tokens, source: None, wait, copy_time, cost: 0.0 };
        Some(Placed { chosen, source, placer: Some((peer.clone(), number)) })
    }

    /// Whether prompt parts may be fetched from an address for work of a region.
    fn is_source_in(&self, addr: &str, region: Option<&str>) -> bool {
        let source = || self.directory.pool_at(addr);
        region.is_none() || source().is_some_and(|pool| pool.region.as_deref() == region)
    }

    /// Whether an engine may fetch prompt parts from an address. A placer that has not read an
    /// entry yet may name an engine of another version.
    fn may_fetch(&self, engine: EndpointKey, addr: &str) -> bool {
        let Some(engine) = self.directory.get(engine) else { return false };
        let has_several = self.directory.version_count(&engine.entry.service) > 1;
        let is_other = |source: &directory::Endpoint| {
            *source.entry.addr == *addr && source.entry.version != engine.entry.version
        };
        !has_several || !self.directory.all().any(is_other)
    }

    pub(super) fn choose(
        &mut self,
        now: Duration,
        key: ExchangeKey,
        inputs: &[(DataCentre, u64)],
    ) -> Option<Candidate> {
        let Exchange { service, arrival, track, binding, .. } = &self.exchanges[key];
        let (pool, prompt) = (self.exchanges[key].pool_of(service), arrival.prompt.clone());
        let (track, binding) = (track.unwrap_or_default(), binding.clone());
        let version = binding.version();
        let (service, pool) = (&pool.service, Pool { track, version, ..pool.pool() });
        let is_placer = track == Track::Stable
            && version.is_none()
            && prompt.as_ref().is_some_and(|prompt| self.is_placer(pool, prompt));
        if is_placer && self.transfer(service).is_some() {
            self.query_parts(now, pool);
        }
        let mut rng = SmallRng::seed_from_u64(self.rng.random());
        let chooser = match &prompt {
            Some(prompt) if is_placer => self.placer_chooser(pool, prompt),
            _ => Chooser::Independent,
        };
        let mut withheld = self.withheld(now, pool, chooser);
        if !self.exchanges[key].route.kind.is_repeatable() {
            withheld.extend(self.directory.unproven_beside_others(now, pool));
        }
        let criteria = choice::Criteria {
            tried: &self.exchanges[key].tried,
            withheld: &withheld,
            chooser,
            ..self.criteria(service, inputs)
        };
        let (directory, sent_parts) = (&self.directory, &self.sent_parts);
        let mut candidates = match &prompt {
            Some(prompt) => {
                choice::engine_candidates(directory, sent_parts, now, pool, prompt, criteria)
            }
            None => choice::plain_candidates(directory, now, pool, criteria, || rng.random()),
        };
        candidates.retain(|candidate| self.may_serve(key, candidate.endpoint));
        let chosen = self.policy_choice(now, key, &candidates);
        chosen.or_else(|| choice::cheapest(&candidates))
    }
}

/// The placer's share that a prompt belongs to, by its last shared part. A change of the
/// number of shares moves few prompts to another placer, which has no record of the engines
/// that hold their parts.
fn share_of(prompt: &Prompt, shares: u64) -> u64 {
    let part = prompt.shared().last().map_or(0, |part| part.id);
    let weight = |share: &u64| xxh3::xxh3_64_with_seed(&part.to_le_bytes(), *share);
    (0..shares).max_by_key(weight).unwrap_or_default()
}
