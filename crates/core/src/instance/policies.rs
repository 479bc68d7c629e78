//! Operators' programs at the points where they may decide.
//!
//! A program only ever chooses among what the built-in rules allow: whom to
//! refuse although there is room, which waiting call goes first within a team,
//! which usable endpoint is taken, when a refused caller should come back. It
//! cannot make a request run twice, or on an endpoint that is leaving.

use std::{rc::Rc, time::Duration};

use crate::{
    admission::{self, Estimate},
    endpoints::Endpoint,
    instance::{Instance, held::RequestKey, plan::Plan},
    model::{Refusal, RefusalKind, Request},
    policy::{Decision, EndpointFacts, Facts, Program},
};

impl Instance {
    /// Admission: the built-in decision, and what the pipeline's program makes of it.
    pub(super) fn decide(
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
        let admitted = self.noted(program.admit(&facts)).unwrap_or(built_in.is_ok());
        if admitted {
            return Ok(());
        }
        let kind = built_in.as_ref().err().map_or(RefusalKind::Policy, |refusal| refusal.kind);
        let wait = built_in.err().map_or(estimate.wait, |refusal| refusal.retry_after);
        let wait = self.noted(program.refuse(&facts)).unwrap_or(wait);
        Err(admission::refusal(kind, wait))
    }

    /// The priority that a program gives the current stage's call.
    pub(super) fn priority(&mut self, key: RequestKey) -> f64 {
        let Some(program) = self.program(key) else { return 0.0 };
        let facts = self.stage_facts(key);
        self.noted(program.order(&facts)).unwrap_or(0.0)
    }

    /// The program that decides for a held request.
    pub(super) fn program(&self, key: RequestKey) -> Option<Rc<Program>> {
        let plan = self.plan.as_ref()?;
        plan.program(&self.held[key].pipeline).cloned()
    }

    /// What a program is told of a held request and its current stage.
    pub(super) fn stage_facts(&self, key: RequestKey) -> Facts {
        let held = &self.held[key];
        let stage = held.stage();
        let left = held.due.saturating_sub(self.now);
        let estimate = self.estimate(&held.request, &held.pipeline, held.weight, None);
        let costs = held.pipeline.stages.iter().map(|stage| self.cost(&stage.pool));
        let costs: Vec<f64> = costs.collect();
        let (spent, cost) = costs.split_at(held.progress.stage);
        Facts {
            team: held.request.id.team.clone(),
            pipeline: held.pipeline.name.clone(),
            stage: stage.name.clone(),
            stage_index: u32::try_from(held.progress.stage).unwrap_or(u32::MAX),
            idempotent: held.request.idempotent,
            left,
            wait: estimate.wait,
            work: estimate.work,
            cost: cost.iter().sum(),
            spent: spent.iter().sum(),
            waiting: u32::try_from(self.lanes.len(&stage.pool)).unwrap_or(u32::MAX),
            free: self.table.pool_free_slots(self.now, &stage.pool),
            team_held: estimate.share.active,
            team_share: estimate.share.weight,
            would_admit: estimate.wait + estimate.work <= left,
            retry_after: Duration::ZERO,
        }
    }

    /// What a program is told of an endpoint.
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

    /// Cost of one call to a pool, by the configuration in force.
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
            waiting: u32::try_from(self.lanes.len(pool)).unwrap_or(u32::MAX),
            free: self.table.pool_free_slots(self.now, pool),
            team_held: estimate.share.active,
            team_share: estimate.share.weight,
            would_admit: built_in.is_ok(),
            retry_after: built_in.as_ref().err().map_or(Duration::ZERO, |r| r.retry_after),
        }
    }

    /// A program's decision; one that failed is counted and passed over.
    fn noted<T>(&mut self, decision: Decision<T>) -> Option<T> {
        self.counters.policy_errors += u64::from(matches!(decision, Decision::Failed(_)));
        decision.given()
    }
}
