//! Deadlines of the stages, and the pieces that they consist of.

use std::time::Duration;

use crate::{
    model::DataCentre,
    relay::{
        batch::{Batcher, queue::LARGE_RESULT_BYTES},
        config::Route,
        exchange::Exchange,
        machine::Relay,
        model::{Piece, ServiceName},
        reading::PrefillSpeed,
    },
};

/// Minimum share of the usual time that the work after a stage takes.
const MIN_TIME_SHARE: f64 = 0.5;
/// Share of the objective that a plan reserves for the generation at most. If engines need
/// longer, all pieces would be late from the start and the target times would give no useful
/// order.
const GENERATION_SHARE: f64 = 0.5;

/// Share of the objective by which the stages of a chain are planned to be done early. In a burst the
/// queues settle where requests are just in time by the plan. Without a reserve, half of them missed
/// the objective by a few milliseconds after work for them had displaced others.
const CHAIN_RESERVE_SHARE: f64 = 0.05;
/// Time on top of a stage's call, as a share of the time of a call without pieces.
const HANDLING_SHARE: f64 = 0.33;

impl Relay {
    /// Time that the work after a stage needs.
    pub(super) fn remaining_time(&self, exchange: &Exchange, stage: usize) -> RemainingTime {
        RemainingTime {
            usual: self.remaining_after(exchange, stage, &|time| time),
            minimum: self.remaining_after(exchange, stage, &|time| time.mul_f64(MIN_TIME_SHARE)),
        }
    }

    /// Time from the end of a stage until the first byte of the answer. `adapt` scales the
    /// usual time of each stage.
    pub(super) fn remaining_after(
        &self,
        exchange: &Exchange,
        stage: usize,
        adapt: &dyn Fn(Duration) -> Duration,
    ) -> Duration {
        self.remaining_after_with(exchange, stage, adapt, &|service| self.stage_time(service))
    }

    /// Like [`Relay::remaining_after`], with the stage times of the services given by
    /// `stage_time`.
    pub(super) fn remaining_after_with(
        &self,
        exchange: &Exchange,
        stage: usize,
        adapt: &dyn Fn(Duration) -> Duration,
        stage_time: &dyn Fn(&ServiceName) -> Duration,
    ) -> Duration {
        let route = &exchange.route;
        let followers = (0..route.stages.len()).filter(|next| {
            route.stages[*next].after.contains(&stage) && exchange.graph.piece_count(*next) > 0
        });
        let longest = followers.map(|next| {
            let time = adapt(stage_time(&route.stages[next].service));
            time + self.remaining_after_with(exchange, next, adapt, stage_time)
        });
        longest.max().unwrap_or_else(|| adapt(self.generation_time(exchange)))
    }

    /// Usual time from the end of the last stage to the first token, if the engine has read
    /// the shared parts already.
    pub(super) fn generation_time(&self, exchange: &Exchange) -> Duration {
        let Some(prompt) = &exchange.arrival.prompt else { return Duration::ZERO };
        let own = prompt.own_tokens();
        let speed = self.prefill_speeds.get(&exchange.service);
        let first_token = |speed: &PrefillSpeed| speed.time_to_first_token(own);
        let usual = speed.map_or_else(|| first_token(&PrefillSpeed::default()), first_token);
        usual.min(exchange.route.objective.mul_f64(GENERATION_SHARE))
    }

    /// Usual time of a stage: a full call, and the time to hand pieces over, read their inputs and
    /// return their results.
    pub(super) fn stage_time(&self, service: &str) -> Duration {
        let Some(config) = self.piece_config(service) else { return Duration::ZERO };
        Batcher::call_time(&config, config.batch as usize)
            + config.call_time.mul_f64(HANDLING_SHARE)
    }
}

/// Time from the end of a stage until the first byte of the answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct RemainingTime {
    usual: Duration,
    minimum: Duration,
}

impl Exchange {
    /// Creates the pieces of a stage. `remaining` is the time that the work after it needs.
    pub(super) fn new_pieces(&self, stage: usize, remaining: RemainingTime) -> Vec<Piece> {
        let Route { stages, .. } = &*self.route;
        let inputs = self.graph.inputs(&self.route, stage);
        let key = if inputs.is_empty() { self.arrival.piece_key.clone() } else { None };
        let destination = self.destination_of(stage);
        let is_begun = self.has_run || self.graph.progress().0 > 0;
        let is_last_reader = self.graph.is_last_reader(&self.route, stage);
        let piece = |number| Piece {
            service: stages[stage].service.clone(),
            region: self.region.clone(),
            route: self.route.name.clone(),
            request: self.arrival.id.clone(),
            stage: stage as u16,
            number,
            key: key.clone(),
            inputs: inputs.clone(),
            bytes: stages[stage].bytes,
            deadline: self.deadline.saturating_sub(remaining.minimum),
            target: self.target.saturating_sub(remaining.usual + self.reserve()),
            priority: self.priority,
            destination: destination.clone(),
            round: self.rounds,
            tries: 0,
            is_repeat: self.rounds > 0,
            is_begun,
            is_resumed: self.is_resumed(),
            content: self.content,
            is_isolated: false,
            is_last_reader,
        };
        (0..self.graph.piece_count(stage) as u16).map(piece).collect()
    }

    /// Time by which its stages should be done before they must be.
    fn reserve(&self) -> Duration {
        if !self.graph.has_dependent_stages(&self.route) {
            return Duration::ZERO;
        }
        self.route.objective.mul_f64(CHAIN_RESERVE_SHARE)
    }

    /// Data centre where a stage should be made: where most of its inputs lie, or where its
    /// results will be used, if either is large.
    fn destination_of(&self, stage: usize) -> Option<DataCentre> {
        let inputs = self.graph.inputs_by_data_centre(&self.route, stage);
        let largest = inputs.into_iter().max_by_key(|(_, bytes)| *bytes);
        let near_inputs = largest
            .filter(|(_, bytes)| *bytes >= LARGE_RESULT_BYTES)
            .map(|(data_centre, _)| data_centre);
        let has_large = self.route.stages[stage].bytes >= LARGE_RESULT_BYTES;
        near_inputs.or_else(|| self.destination.clone().filter(|_| has_large))
    }
}
