//! Operators' programs at the points where they may decide.
//!
//! A program only ever chooses among what the built-in rules allow: whom to
//! refuse although there is room, who is more urgent, which usable endpoint is
//! taken, when a refused caller should come back. It cannot make a request run
//! twice, or on an endpoint that is leaving. What it does not define, or fails
//! at, is decided by the built-in rules.

use std::{collections::HashSet, time::Duration};

use crate::{
    policy::{EndpointFacts, Facts, Function, Program},
    relay::{
        batch::Batcher,
        choice::{self, Candidate},
        directory::Endpoint,
        exchange::Exchange,
        machine::Relay,
        model::ExchangeKey,
    },
};

/// The least urgent rank of a request; 0 is the most urgent.
const LAST_RANK: f64 = 9.0;
/// Endpoints that a program is asked about, the cheapest ones.
const CHOICES: usize = 4;

impl Relay {
    /// Takes in the operators' program, instead of the one before.
    pub fn set_policy(&mut self, policy: Program) {
        self.policy = Some(policy);
    }

    /// Calls of the program's functions that failed.
    pub fn policy_failures(&self) -> u64 {
        self.policy.as_ref().map_or(0, Program::failures)
    }

    /// Whether a request is taken in that the built-in rules would take in.
    pub(super) fn policy_admits(&self, now: Duration, key: ExchangeKey) -> bool {
        let Some(program) = self.program(Function::Admit) else { return true };
        program.admit(&self.facts(now, &self.exchanges[key], Duration::ZERO)).or(true)
    }

    /// The rank of a request. A program gives larger numbers to what is more
    /// urgent; 9 is rank 0.
    pub(super) fn policy_priority(&self, now: Duration, key: ExchangeKey) -> u8 {
        let exchange = &self.exchanges[key];
        let Some(program) = self.program(Function::Order) else { return exchange.priority };
        let order = program.order(&self.facts(now, exchange, Duration::ZERO)).given();
        let rank = |order: f64| (LAST_RANK - order).clamp(0.0, LAST_RANK).round() as u8;
        order.map_or(exchange.priority, rank)
    }

    /// When a refused caller should come back.
    pub(super) fn policy_away(
        &self,
        now: Duration,
        key: ExchangeKey,
        built_in: Duration,
    ) -> Duration {
        let Some(program) = self.program(Function::Refuse) else { return built_in };
        program.refuse(&self.facts(now, &self.exchanges[key], built_in)).or(built_in)
    }

    /// The candidate that the program likes best, of the cheapest ones; `None`
    /// if it does not say.
    pub(super) fn policy_choice(
        &self,
        now: Duration,
        key: ExchangeKey,
        candidates: &[Candidate],
    ) -> Option<Candidate> {
        let program = self.program(Function::Route)?;
        let exchange = &self.exchanges[key];
        let facts = self.facts(now, exchange, Duration::ZERO);
        let mut best: Option<(f64, Candidate)> = None;
        for candidate in choice::cheapest_few(candidates, CHOICES) {
            let endpoint = self.directory.get(candidate.endpoint)?;
            let facts_of = self.endpoint_facts(now, endpoint);
            let score = program.route(&facts, &facts_of).given()?;
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Whether a program chooses endpoints.
    pub(super) fn has_route_policy(&self) -> bool {
        self.program(Function::Route).is_some()
    }

    fn program(&self, function: Function) -> Option<&Program> {
        self.policy.as_ref().filter(|program| program.defines(function))
    }

    fn facts(&self, now: Duration, exchange: &Exchange, retry_after: Duration) -> Facts {
        let stages = &exchange.route.stages;
        let next = exchange.graph.first_incomplete();
        let service = next.map_or(&exchange.service, |idx| &stages[idx].service);
        let (made, all) = exchange.graph.progress();
        let (left, wait) =
            (exchange.deadline.saturating_sub(now), self.expected_wait(now, service));
        let work = self.expected_work(exchange, next);
        let teams: HashSet<_> = self.exchanges.values().map(|other| &other.team).collect();
        let of_team = self.exchanges.values().filter(|other| other.team == exchange.team);
        Facts {
            team: exchange.team.clone().unwrap_or_else(|| "".into()),
            pipeline: exchange.route.name.clone(),
            stage: service.clone(),
            stage_index: next.unwrap_or(stages.len()) as u32,
            idempotent: exchange.route.kind.is_repeatable(),
            left,
            wait,
            work,
            // The call itself counts as one piece.
            cost: (all - made + 1) as f64,
            spent: made as f64,
            waiting: self.batches.waiting_count(service) as u32,
            free: self.free_places(now, service),
            team_held: of_team.count() as u32,
            team_share: 1.0 / teams.len().max(1) as f64,
            would_admit: wait + work <= left,
            retry_after,
        }
    }

    fn endpoint_facts(&self, now: Duration, endpoint: &Endpoint) -> EndpointFacts {
        EndpointFacts {
            name: endpoint.entry.name.clone(),
            data_centre: endpoint.entry.data_centre.clone(),
            local: endpoint.entry.data_centre == self.settings.data_centre,
            in_flight: endpoint.in_flight,
            peers: endpoint.calls(now).saturating_sub(endpoint.in_flight),
            queued: endpoint.calls(now).saturating_sub(endpoint.entry.slots).into(),
            limit: self.connection_limit(&endpoint.entry.service),
            took: endpoint.response_time.unwrap_or_default(),
        }
    }

    /// The wait behind the pieces that wait here.
    fn expected_wait(&self, now: Duration, service: &str) -> Duration {
        let Some(shape) = self.shape(service) else { return Duration::ZERO };
        let endpoints = self.directory.usable(now, service).len().max(1);
        let batch = shape.batch as usize;
        let calls = self.batches.waiting_count(service) as f64 / (endpoints * batch) as f64;
        Batcher::call_time(&shape, batch).mul_f64(calls)
    }

    /// The usual time until the first byte of an answer.
    fn expected_work(&self, exchange: &Exchange, next: Option<usize>) -> Duration {
        let Some(stage) = next else { return self.generation_time(exchange) };
        let service = &exchange.route.stages[stage].service;
        self.stage_time(service) + self.rest_after(exchange, stage, &|time| time)
    }

    fn free_places(&self, now: Duration, service: &str) -> u32 {
        let usable = self.directory.usable(now, service).into_iter();
        let known = usable.filter_map(|key| self.directory.get(key));
        known.map(|endpoint| endpoint.entry.slots.saturating_sub(endpoint.calls(now))).sum()
    }
}
