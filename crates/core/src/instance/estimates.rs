//! Estimates of wait and work time for admission, hedging and `retry_after`.

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

/// Fraction of a request's remaining time above which a queue counts as long, so that team shares
/// are enforced.
const LONG_QUEUE_SHARE: f64 = 0.5;

/// Run times of each stage of each pipeline.
pub type Latencies = HashMap<PipelineName, HashMap<StageName, Estimator>>;

/// A team's use of this instance.
#[data]
#[derive(Copy, Default)]
pub struct TeamUsage {
    /// Number of active requests.
    pub active: u32,
    /// The team's weight in its newest request.
    pub weight: u32,
}

impl Instance {
    pub(super) fn estimator(&self, pipeline: &str, stage: &str) -> Option<&Estimator> {
        self.latencies.get(pipeline)?.get(stage)
    }

    /// The estimators of a pipeline's stages, beginning with stage `from`; stages that never ran
    /// have none.
    pub(super) fn estimators(&self, pipeline: &Pipeline, from: usize) -> Vec<&Estimator> {
        let stages = pipeline.stages.iter().skip(from);
        stages.filter_map(|stage| self.estimator(&pipeline.name, &stage.name)).collect()
    }

    /// Time that the current stage may take; `None` if the deadline can no longer be met.
    pub(super) fn stage_time(&self, key: RequestKey) -> Option<Duration> {
        let active = &self.requests[key];
        let left = active.deadline.saturating_sub(self.now);
        let stage = active.stage();
        let Some(estimator) = self.estimator(&active.pipeline.name, &stage.name) else {
            return Some(left);
        };
        let later = self.estimators(&active.pipeline, active.progress.stage + 1);
        timing::stage_time(left, estimator, &later)
    }

    /// The values that the admission decision on a request is based on.
    pub(super) fn estimate(
        &self,
        request: &Request,
        pipeline: &Pipeline,
        weight: u32,
        max_active: Option<u32>,
    ) -> admission::Estimate {
        let left = request.deadline.min(pipeline.max_deadline());
        let stages = pipeline.stages.iter();
        admission::Estimate {
            left,
            wait: stages.map(|stage| self.wait(stage, &request.id.team, self.now + left)).sum(),
            work: timing::work(&self.estimators(pipeline, 0)),
            min_work: timing::min_work(&self.estimators(pipeline, 0)),
            share: admission::Share {
                max_active,
                is_contended: self.is_contended(pipeline, &request.id.team, left),
                ..self.share(&request.id.team, weight)
            },
        }
    }

    fn share(&self, team: &TeamName, weight: u32) -> admission::Share {
        let active = self.teams.get(team).map_or(0, |usage| usage.active);
        let others = self.teams.iter().filter(|(name, usage)| *name != team && usage.active > 0);
        let others: f64 = others.map(|(_, usage)| f64::from(usage.weight)).sum();
        let weight = f64::from(weight);
        admission::Share {
            active,
            total: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            weight: weight / (weight + others).max(1.0),
            ..Default::default()
        }
    }

    /// Whether a request would take slots that other teams need: their calls wait long for a pool
    /// of its pipeline. A short queue arises by chance and all its calls are served in time.
    fn is_contended(&self, pipeline: &Pipeline, team: &TeamName, left: Duration) -> bool {
        let long = left.mul_f64(LONG_QUEUE_SHARE);
        let mut pools = pipeline.stages.iter().map(|stage| &*stage.pool);
        pools.any(|pool| {
            let backlog = self.queues.backlog(self.now, pool).unwrap_or_default();
            backlog > long && self.queues.has_other_teams(pool, team)
        })
    }

    /// Expected wait of a new call for a slot in a stage's pool.
    fn wait(&self, stage: &Stage, team: &TeamName, deadline: Duration) -> Duration {
        let cost = self.cost(&stage.pool);
        self.queues.wait(self.now, &stage.pool, &lanes::NewCall { team, deadline, cost })
    }

    /// When to retry: once the calls that are queued now have drained.
    pub(super) fn retry_after(&self, key: RequestKey) -> Duration {
        let active = &self.requests[key];
        let stages = active.pipeline.stages.iter().skip(active.progress.stage);
        let wait =
            stages.map(|stage| self.wait(stage, &active.request.id.team, active.deadline)).sum();
        admission::refusal(RefusalKind::Expired, wait).retry_after
    }

    /// Counts a new active request of a team.
    pub(super) fn add_team_request(&mut self, team: &TeamName, weight: u32) {
        let usage = self.teams.entry(team.clone()).or_default();
        usage.active += 1;
        usage.weight = weight;
    }

    /// Removes an active request of a team from the count.
    pub(super) fn remove_team_request(&mut self, team: &TeamName) {
        let Some(usage) = self.teams.get_mut(team) else { return };
        usage.active -= 1;
        if usage.active == 0 {
            self.teams.remove(team);
        }
    }
}
