//! Requests of callers: the route that they are for, and the exchange that serves them.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::data;
use rand::Rng;

use crate::{
    model::TeamName,
    relay::{
        allowed::AllowedRegions,
        exchange::{Binding, Exchange},
        fingerprint::Fingerprint,
        graph::StageGraph,
        machine::Relay,
        model::{Arrival, ExchangeKey, Refusal, ServiceName},
        streams::StreamId,
    },
};

/// Number of parts of a prompt that are watched for crashes; callers may send any number.
const MAX_TRACKED_PARTS: usize = 16;
/// Time limit of a request that states no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);

/// Summary of an exchange, for a log line.
#[data]
pub struct ExchangeSummary {
    /// Name of the route.
    pub route: Arc<str>,
    /// The service that answers.
    pub service: ServiceName,
    /// The team of the caller's key; `None` without a known key.
    pub team: Option<TeamName>,
    /// Fingerprint of the request and its team.
    pub content: Fingerprint,
    /// Ids of the parts of its prompt, without the one of its own; empty without a prompt.
    pub parts: Vec<u64>,
    /// Time from the arrival to the deadline.
    pub wait: Duration,
    /// Number of pieces of each stage.
    pub pieces: Vec<u16>,
    /// The last event that the caller has of a stream that it takes up.
    pub resume: Option<u64>,
    /// The id of the attempt that brought the first event of that stream.
    pub first_attempt: Option<Arc<str>>,
}

impl Relay {
    /// Takes in a caller's request that has been read whole.
    pub fn on_request(&mut self, now: Duration, arrival: Arrival) -> Result<ExchangeKey, Refusal> {
        let config = self.config.clone().filter(|_| self.is_quarantine_read);
        let config = config.ok_or(Refusal::NotReady)?;
        let route = config.route(&arrival.host, &arrival.path).ok_or(Refusal::NoRoute)?;
        let team = config.team(arrival.key.as_deref());
        if config.needs_key() && !route.is_public && team.is_none() {
            return Err(Refusal::UnknownKey);
        }
        let service = route.target(self.rng.random()).ok_or(Refusal::Unserved)?.clone();
        let wait = arrival.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        let team_name = team.map(|team| &*team.name);
        let first_attempt = arrival.first_attempt.as_deref().unwrap_or(&arrival.id);
        let stream = StreamId::new(team_name, first_attempt);
        let parts = shared_parts(&arrival).into_iter().take(MAX_TRACKED_PARTS);
        let parts = parts.map(|part| Fingerprint::of_part(&service, part)).collect();
        let exchange = Exchange {
            graph: StageGraph::new(route, &arrival.pieces),
            route: route.clone(),
            service,
            allowed: AllowedRegions::intersect(
                route.allowed_regions.as_deref(),
                team.and_then(|team| team.allowed_regions.as_deref()),
            ),
            region: self.directory.regions().work_region(&self.settings.data_centre),
            team: team.map(|team| team.name.clone()),
            content: arrival.content.for_team(team_name),
            parts,
            priority: team.and_then(|team| team.priority).unwrap_or(route.priority),
            started_at: now,
            deadline: now + wait,
            target: now + route.objective.min(wait),
            destination: None,
            handovers: Vec::new(),
            call: None,
            track: None,
            is_placement_pending: false,
            tried: Vec::new(),
            attempts: 0,
            has_run: false,
            was_called: false,
            last_event: arrival.resume,
            stream,
            binding: Binding::of(route, &arrival),
            has_sent_head: false,
            all_answered: true,
            stage_starts: Vec::new(),
            has_evictable_results: false,
            rounds: 0,
            wait_until: None,
            arrival,
        };
        self.deposit(now, &exchange.service, 1);
        let deadline = exchange.deadline;
        let key = self.exchanges.insert(exchange);
        self.deadlines.insert((deadline, key));
        if !self.ensure_region(now, key) {
            return Ok(key);
        }
        if !self.admits(now, key) {
            self.give_up(now, key, Refusal::Infeasible);
        } else if self.policy_admits(now, key) {
            self.exchanges[key].priority = self.policy_priority(now, key);
            self.advance(now, key);
        } else {
            self.give_up(now, key, Refusal::Policy);
        }
        Ok(key)
    }

    /// Summarises an exchange for a log line; `None` once it has ended.
    pub fn describe(&self, key: ExchangeKey) -> Option<ExchangeSummary> {
        let exchange = self.exchanges.get(key)?;
        Some(ExchangeSummary {
            route: exchange.route.name.clone(),
            service: exchange.service.clone(),
            team: exchange.team.clone(),
            content: exchange.content,
            parts: shared_parts(&exchange.arrival),
            wait: exchange.deadline.saturating_sub(exchange.started_at),
            pieces: exchange.arrival.pieces.clone(),
            resume: exchange.arrival.resume,
            first_attempt: exchange.arrival.first_attempt.clone(),
        })
    }
}

/// Ids of the parts of a request's prompt, without the one of its own.
fn shared_parts(arrival: &Arrival) -> Vec<u64> {
    let parts = arrival.prompt.as_ref().map_or(&[][..], |prompt| prompt.shared());
    parts.iter().map(|part| part.id).collect()
}
