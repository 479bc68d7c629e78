//! The operators' program, at the points where it may decide.
//!
//! A program only chooses among what the built-in rules allow: which requests are refused
//! although there is capacity, which are more urgent, which usable endpoint is called, and
//! when a refused caller should retry. It cannot make a request run twice, or on an endpoint
//! that is leaving. The built-in rules decide wherever it defines no function or its function
//! fails.

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
        pool::{Pool, PoolKey},
    },
};

/// Rank of the least urgent requests; 0 is the most urgent.
const MAX_RANK: f64 = 9.0;
/// A program chooses among this many of the cheapest endpoints.
const MAX_CHOICES: usize = 4;

impl Relay {
    /// Replaces the operators' program.
    pub fn set_policy(&mut self, policy: Program) {
        self.policy = Some(policy);
    }

    /// Number of calls of the program's functions that failed.
    pub fn policy_failures(&self) -> u64 {
        self.policy.as_ref().map_or(0, Program::failures)
    }

    /// Whether the program admits a request that the built-in rules admit.
    pub(super) fn policy_admits(&self, now: Duration, key: ExchangeKey) -> bool {
        let Some(program) = self.program(Function::Admit) else { return true };
        program.admit(&self.facts(now, &self.exchanges[key], Duration::ZERO)).or(true)
    }

    /// The rank of a request. A program returns larger numbers for more urgent requests; 9 is
    /// rank 0.
    pub(super) fn policy_priority(&self, now: Duration, key: ExchangeKey) -> u8 {
        let exchange = &self.exchanges[key];
        let Some(program) = self.program(Function::Order) else { return exchange.priority };
        let order = program.order(&self.facts(now, exchange, Duration::ZERO)).given();
        let rank = |order: f64| (MAX_RANK - order).clamp(0.0, MAX_RANK).round() as u8;
        order.map_or(exchange.priority, rank)
    }

    /// The pause after which a refused caller should retry.
    pub(super) fn policy_retry_after(
        &self,
        now: Duration,
        key: ExchangeKey,
        built_in: Duration,
    ) -> Duration {
        let Some(program) = self.program(Function::Refuse) else { return built_in };
        program.refuse(&self.facts(now, &self.exchanges[key], built_in)).or(built_in)
    }

    /// The candidate that the program rates highest among the cheapest ones; `None` if it
    /// does not decide.
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
        for candidate in choice::cheapest_few(candidates, MAX_CHOICES) {
            let endpoint = self.directory.get(candidate.endpoint)?;
            let candidate_facts = self.endpoint_facts(now, endpoint);
            let score = program.route(&facts, &candidate_facts).given()?;
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Whether the program chooses endpoints.
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
        let pool = &exchange.pool_of(service);
        let (made, all) = exchange.graph.progress();
        let (left, wait) = (exchange.deadline.saturating_sub(now), self.expected_wait(now, pool));
        let work = self.expected_work(exchange, next);
        let teams: HashSet<_> = self.exchanges.values().map(|other| &other.team).collect();
        let team_exchanges = self.exchanges.values().filter(|other| other.team == exchange.team);
        Facts {
            team: exchange.team.clone().unwrap_or_else(|| "".into()),
            pipeline: exchange.route.name.clone(),
            stage: service.clone(),
            stage_index: next.unwrap_or(stages.len()) as u32,
            idempotent: exchange.route.kind.is_repeatable(),
            left,
            wait,
            work,
            // The call counts as one piece.
            cost: (all - made + 1) as f64,
            spent: made as f64,
            waiting: self.batcher.waiting_count(pool) as u32,
            free: self.free_slots(now, pool.pool()),
            team_held: team_exchanges.count() as u32,
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

    /// Estimated wait for the pieces that are queued here.
    fn expected_wait(&self, now: Duration, pool: &PoolKey) -> Duration {
        let Some(config) = self.piece_config(&pool.service) else { return Duration::ZERO };
        let endpoints = self.directory.usable(now, pool.pool()).len().max(1);
        let batch = config.batch as usize;
        let calls = self.batcher.waiting_count(pool) as f64 / (endpoints * batch) as f64;
        Batcher::call_time(&config, batch).mul_f64(calls)
    }

    /// Usual time until the first byte of the answer.
    fn expected_work(&self, exchange: &Exchange, next: Option<usize>) -> Duration {
        let Some(stage) = next else { return self.generation_time(exchange) };
        let service = &exchange.route.stages[stage].service;
        self.stage_time(service) + self.remaining_after(exchange, stage, &|time| time)
    }

    fn free_slots(&self, now: Duration, pool: Pool<'_>) -> u32 {
        let usable = self.directory.usable(now, pool).into_iter();
        let known = usable.filter_map(|key| self.directory.get(key));
        known.map(|endpoint| endpoint.entry.slots.saturating_sub(endpoint.calls(now))).sum()
    }
}
