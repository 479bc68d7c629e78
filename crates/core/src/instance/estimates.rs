//! How long things will take: what admission, hedging and callers are told by.

use std::{collections::HashMap, time::Duration};

use peatdeck_macros::data;

use crate::{
    admission,
    document::{Pipeline, Stage},
    instance::{Instance, held::RequestKey, lanes},
    latency::Estimator,
    model::{PipelineName, RefusalKind, Request, StageName, TeamName},
    timing,
};

/// Part of a request's time from which on a queue is long: shares are held to.
const LONG_QUEUE: f64 = 0.5;

/// Times of each stage of each pipeline.
pub type Latencies = HashMap<PipelineName, HashMap<StageName, Estimator>>;

/// What a team holds here.
#[data]
#[derive(Copy, Default)]
pub struct TeamUse {
    /// Requests held.
    pub held: u32,
    /// The team's weight.
    pub weight: u32,
}

impl Instance {
    pub(super) fn estimator(&self, pipeline: &str, stage: &str) -> Option<&Estimator> {
        self.latencies.get(pipeline)?.get(stage)
    }

    /// What is known of a pipeline's stages, from one on.
    pub(super) fn known(&self, pipeline: &Pipeline, from: usize) -> Vec<&Estimator> {
        let stages = pipeline.stages.iter().skip(from);
        stages.filter_map(|stage| self.estimator(&pipeline.name, &stage.name)).collect()
    }

    /// Time left for the current stage; `None` if it cannot be in time any more.
    pub(super) fn stage_time(&self, key: RequestKey) -> Option<Duration> {
        let held = &self.held[key];
        let left = held.due.saturating_sub(self.now);
        let stage = held.stage();
        let Some(known) = self.estimator(&held.pipeline.name, &stage.name) else {
            return Some(left);
        };
        let later = self.known(&held.pipeline, held.progress.stage + 1);
        timing::stage_time(left, known, &later)
    }

    /// What admission needs to know of a request.
    pub(super) fn estimate(
        &self,
        request: &Request,
        pipeline: &Pipeline,
        weight: u32,
        max_held: Option<u32>,
    ) -> admission::Estimate {
        let left = request.deadline.min(pipeline.max_deadline());
        let stages = pipeline.stages.iter();
        admission::Estimate {
            left,
            wait: stages.map(|stage| self.wait(stage, &request.id.team, self.now + left)).sum(),
            work: timing::work(&self.known(pipeline, 0)),
            min_work: timing::min_work(&self.known(pipeline, 0)),
            share: admission::Share {
                max_active: max_held,
                is_contended: self.is_contended(pipeline, &request.id.team, left),
                ..self.share(&request.id.team, weight)
            },
        }
    }

    fn share(&self, team: &TeamName, weight: u32) -> admission::Share {
        let held = self.teams.get(team).map_or(0, |using| using.held);
        let others = self.teams.iter().filter(|(name, using)| *name != team && using.held > 0);
        let others: u32 = others.map(|(_, using)| using.weight).sum();
        admission::Share {
            active: held,
            total: u32::try_from(self.held.len()).unwrap_or(u32::MAX),
            weight: f64::from(weight) / f64::from((weight + others).max(1)),
            ..Default::default()
        }
    }

    /// Whether a request would take places that other teams need: they wait in
    /// a pool of its pipeline, and long. A short queue is the chance of
    /// arrivals, and all in it are served in time.
    fn is_contended(&self, pipeline: &Pipeline, team: &TeamName, left: Duration) -> bool {
        let long = left.mul_f64(LONG_QUEUE);
        let mut pools = pipeline.stages.iter().map(|stage| &*stage.pool);
        pools.any(|pool| {
            let backlog = self.lanes.backlog(self.now, pool).unwrap_or_default();
            backlog > long && self.lanes.has_other_teams(pool, team)
        })
    }

    /// How long a new call would wait for a place in a stage's pool.
    fn wait(&self, stage: &Stage, team: &TeamName, deadline: Duration) -> Duration {
        let cost = self.cost(&stage.pool);
        self.lanes.wait(self.now, &stage.pool, &lanes::NewCall { team, deadline, cost })
    }

    /// When to come back: once what waits ahead now has drained.
    pub(super) fn retry_after(&self, key: RequestKey) -> Duration {
        let held = &self.held[key];
        let stages = held.pipeline.stages.iter().skip(held.progress.stage);
        let wait = stages.map(|stage| self.wait(stage, &held.request.id.team, held.due)).sum();
        admission::refusal(RefusalKind::Expired, wait).retry_after
    }

    /// Counts a request of a team in.
    pub(super) fn team_in(&mut self, team: &TeamName, weight: u32) {
        let using = self.teams.entry(team.clone()).or_default();
        using.held += 1;
        using.weight = weight;
    }

    /// Counts a request of a team out.
    pub(super) fn team_out(&mut self, team: &TeamName) {
        let Some(using) = self.teams.get_mut(team) else { return };
        using.held -= 1;
        if using.held == 0 {
            self.teams.remove(team);
        }
    }
}
