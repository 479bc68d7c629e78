//! Evaluates operators' policy programs where they may decide.
//!
//! A program only chooses among what the built-in rules allow: which requests to refuse although
//! they fit, which call of a team leaves the queue first, which usable endpoint gets a call, and
//! when a refused caller should retry. It cannot make a request run twice or on a leaving endpoint.

use std::{rc::Rc, time::Duration};

use crate::{
    admission::{self, Estimate},
    endpoints::Endpoint,
    instance::{Instance, held::RequestKey, plan::Plan},
    model::{Refusal, RefusalKind, Request},
    policy::{Decision, EndpointFacts, Facts, Program},
};

impl Instance {
    /// Decides on admission: the built-in decision, modified by the pipeline's program.
    pub(super) fn decide_admission(
        &mut self,
        request: &Request,
        plan: &Plan,
        estimate: &Estimate,
    ) -> Result<(), Refusal> {
        let built_in = admission::decide(estimate);
        let pipeline = plan.pipeline(&request.pipeline).cloned();
        let Some(program) = pipeline.as_ref().and_then(|p| plan.program(p)).cloned() else {
            return built_in;
        };
        let facts = self.admission_facts(request, plan, estimate, &built_in);
        let admitted = self.count_failure(program.admit(&facts)).unwrap_or(built_in.is_ok());
        if admitted {
            return Ok(());
        }
        let kind = built_in.as_ref().err().map_or(RefusalKind::Policy, |refusal| refusal.kind);
        let wait = built_in.err().map_or(estimate.wait, |refusal| refusal.retry_after);
        let wait = self.count_failure(program.refuse(&facts)).unwrap_or(wait);
        Err(admission::refusal(kind, wait))
    }

    /// The priority that the program gives to the current stage's call; 0 without a program.
    pub(super) fn priority(&mut self, key: RequestKey) -> f64 {
        let Some(program) = self.program(key) else { return 0.0 };
        let facts = self.stage_facts(key);
        self.count_failure(program.order(&facts)).unwrap_or(0.0)
    }

    /// The policy program of an active request, from the configuration in force.
    pub(super) fn program(&self, key: RequestKey) -> Option<Rc<Program>> {
        let plan = self.plan.as_ref()?;
        plan.program(&self.requests[key].pipeline).cloned()
    }

    /// Facts that a program gets about an active request and its current stage.
    pub(super) fn stage_facts(&self, key: RequestKey) -> Facts {
        let active = &self.requests[key];
        let stage = active.stage();
        let left = active.deadline.saturating_sub(self.now);
        let estimate = self.estimate(&active.request, &active.pipeline, active.weight, None);
        let costs = active.pipeline.stages.iter().map(|stage| self.cost(&stage.pool));
        let costs: Vec<f64> = costs.collect();
        let (spent, cost) = costs.split_at(active.progress.stage);
        Facts {
            team: active.request.id.team.clone(),
            pipeline: active.pipeline.name.clone(),
            stage: stage.name.clone(),
            stage_index: u32::try_from(active.progress.stage).unwrap_or(u32::MAX),
            idempotent: active.request.idempotent,
            left,
            wait: estimate.wait,
            work: estimate.work,
            cost: cost.iter().sum(),
            spent: spent.iter().sum(),
            waiting: u32::try_from(self.queues.len(&stage.pool)).unwrap_or(u32::MAX),
            free: self.table.pool_free_slots(self.now, &stage.pool),
            team_held: estimate.share.active,
            team_share: estimate.share.weight,
            would_admit: estimate.wait + estimate.work <= left,
            retry_after: Duration::ZERO,
        }
    }

    /// Facts that a program gets about an endpoint.
    pub(super) fn endpoint_facts(&self, endpoint: &Endpoint) -> EndpointFacts {
        EndpointFacts {
            name: endpoint.name.clone(),
            data_centre: endpoint.data_centre.clone(),
            local: endpoint.data_centre == self.identity.data_centre,
            in_flight: endpoint.in_flight,
            peers: self.members.in_flight(self.now, &endpoint.name),
            queued: endpoint.decayed_queue(self.now),
            limit: endpoint.limit(self.now),
            took: endpoint.latency().map_or(Duration::ZERO, |(usual, _)| usual),
        }
    }

    /// Cost of one call to a pool in the configuration in force; 1 if that is unknown.
    pub(super) fn cost(&self, pool: &str) -> f64 {
        self.plan.as_ref().map_or(1.0, |plan| plan.cost(pool))
    }

    fn admission_facts(
        &self,
        request: &Request,
        plan: &Plan,
        estimate: &Estimate,
        built_in: &Result<(), Refusal>,
    ) -> Facts {
        let pipeline = plan.pipeline(&request.pipeline);
        let stages = pipeline.map_or(&[][..], |pipeline| &pipeline.stages);
        let first = stages.first();
        let pool = first.map_or("", |stage| &*stage.pool);
        Facts {
            team: request.id.team.clone(),
            pipeline: request.pipeline.clone(),
            stage: first.map_or_else(|| "".into(), |stage| stage.name.clone()),
            stage_index: 0,
            idempotent: request.idempotent,
            left: estimate.left,
            wait: estimate.wait,
            work: estimate.work,
            cost: stages.iter().map(|stage| plan.cost(&stage.pool)).sum(),
            spent: 0.0,
            waiting: u32::try_from(self.queues.len(pool)).unwrap_or(u32::MAX),
            free: self.table.pool_free_slots(self.now, pool),
            team_held: estimate.share.active,
            team_share: estimate.share.weight,
            would_admit: built_in.is_ok(),
            retry_after: built_in.as_ref().err().map_or(Duration::ZERO, |r| r.retry_after),
        }
    }

    /// Counts a failed evaluation; `None` then and if the program made no decision.
    fn count_failure<T>(&mut self, decision: Decision<T>) -> Option<T> {
        self.counters.policy_errors += u64::from(matches!(decision, Decision::Failed(_)));
        decision.given()
    }
}
