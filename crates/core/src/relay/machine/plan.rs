//! When a stage has to be done, and which pieces it has.

use std::time::Duration;

use crate::{
    model::DataCentre,
    relay::{
        batch::{Batcher, queue::LARGE_RESULT_BYTES},
        config::Route,
        exchange::Exchange,
        machine::Relay,
        model::Piece,
        reading::PrefillSpeed,
    },
};

/// Share of the usual time behind a stage that is needed at the least.
const LEAST_SHARE: f64 = 0.5;
/// Share of the objective that a plan leaves for the generation at the most.
/// Where engines need longer, all would be late from the start, and the order
/// of the stages would go by nothing any more.
const GENERATION_SHARE: f64 = 0.5;

impl Relay {
    /// The time that is needed behind a stage.
    pub(super) fn rest(&self, exchange: &Exchange, stage: usize) -> Rest {
        Rest {
            usual: self.rest_after(exchange, stage, &|time| time),
            least: self.rest_after(exchange, stage, &|time| time.mul_f64(LEAST_SHARE)),
        }
    }

    /// Time that is needed behind a stage until the first byte of an answer.
    /// `adapt` turns a stage's usual time into the one that counts.
    pub(super) fn rest_after(
        &self,
        exchange: &Exchange,
        stage: usize,
        adapt: &dyn Fn(Duration) -> Duration,
    ) -> Duration {
        self.rest_after_with(exchange, stage, adapt, &|service| self.stage_time(service))
    }

    /// The same, where stages take what `stage_time` says for their services.
    pub(super) fn rest_after_with(
        &self,
        exchange: &Exchange,
        stage: usize,
        adapt: &dyn Fn(Duration) -> Duration,
        stage_time: &dyn Fn(&str) -> Duration,
    ) -> Duration {
        let route = &exchange.route;
        let followers = (0..route.stages.len()).filter(|next| {
            route.stages[*next].after.contains(&stage) && exchange.graph.piece_count(*next) > 0
        });
        let longest = followers.map(|next| {
            let time = adapt(stage_time(&route.stages[next].service));
            time + self.rest_after_with(exchange, next, adapt, stage_time)
        });
        longest.max().unwrap_or_else(|| adapt(self.generation_time(exchange)))
    }

    /// The usual time from the last stage to the first token. Shared parts are
    /// taken for read already.
    pub(super) fn generation_time(&self, exchange: &Exchange) -> Duration {
        let Some(prompt) = &exchange.arrival.prompt else { return Duration::ZERO };
        let own = prompt.own_tokens();
        let speed = self.speeds.get(&exchange.service);
        let first_token = |speed: &PrefillSpeed| speed.time_to_first_token(own);
        let usual = speed.map_or_else(|| first_token(&PrefillSpeed::default()), first_token);
        usual.min(exchange.route.objective.mul_f64(GENERATION_SHARE))
    }

    /// The usual time of a stage: half a call's wait and a half full call.
    pub(super) fn stage_time(&self, service: &str) -> Duration {
        let Some(shape) = self.shape(service) else { return Duration::ZERO };
        Batcher::call_time(&shape, shape.batch as usize / 2) + shape.call_time / 2
    }
}

/// Time that is needed behind a stage until the first byte of an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rest {
    usual: Duration,
    least: Duration,
}

impl Exchange {
    /// The pieces of a stage. `rest` is the time that is needed behind it.
    pub(super) fn new_pieces(&self, stage: usize, rest: Rest) -> Vec<Piece> {
        let Route { stages, .. } = &*self.route;
        let inputs = self.graph.inputs(&self.route, stage);
        let key = if inputs.is_empty() { self.arrival.piece_key.clone() } else { None };
        let home = self.home_of(stage);
        let is_begun = self.has_run || self.graph.progress().0 > 0;
        let is_last_reader = self.graph.is_last_reader(&self.route, stage);
        let piece = |number| Piece {
            service: stages[stage].service.clone(),
            request: self.arrival.id.clone(),
            stage: stage as u16,
            number,
            key: key.clone(),
            inputs: inputs.clone(),
            bytes: stages[stage].bytes,
            deadline: self.deadline.saturating_sub(rest.least),
            target: self.target.saturating_sub(rest.usual),
            priority: self.priority,
            destination: home.clone(),
            round: self.rounds,
            tries: 0,
            is_repeat: self.rounds > 0,
            is_begun,
            content: self.content,
            is_isolated: false,
            is_last_reader,
        };
        (0..self.graph.piece_count(stage) as u16).map(piece).collect()
    }

    /// Where a stage should be done: where most of what it takes in lies, or
    /// where its results will be taken in, if either is large.
    fn home_of(&self, stage: usize) -> Option<DataCentre> {
        let inputs = self.graph.inputs_by_data_centre(&self.route, stage);
        let most = inputs.into_iter().max_by_key(|(_, bytes)| *bytes);
        let near_inputs =
            most.filter(|(_, bytes)| *bytes >= LARGE_RESULT_BYTES).map(|(place, _)| place);
        let has_large = self.route.stages[stage].bytes >= LARGE_RESULT_BYTES;
        near_inputs.or_else(|| self.destination.clone().filter(|_| has_large))
    }
}
