//! The input of a policy's functions.
//!
//! Times are in milliseconds, as floating-point numbers; names are strings.

use std::{sync::Arc, time::Duration};

use rhai::{Dynamic, Map};

use crate::model::{DataCentre, EndpointName, PipelineName, StageName, TeamName};

/// Facts about a request and the stage that it is about to enter.
#[derive(Debug, Clone, PartialEq)]
pub struct Facts {
    /// `ctx.team`.
    pub team: TeamName,
    /// `ctx.pipeline`.
    pub pipeline: PipelineName,
    /// `ctx.stage`.
    pub stage: StageName,
    /// `ctx.stage_index`, from 0.
    pub stage_index: u32,
    /// `ctx.idempotent`.
    pub idempotent: bool,
    /// `ctx.left_ms`: time until the deadline.
    pub left: Duration,
    /// `ctx.wait_ms`: the expected wait for a slot.
    pub wait: Duration,
    /// `ctx.work_ms`: time that the remaining stages need, at a high quantile.
    pub work: Duration,
    /// `ctx.cost`: the cost of the remaining stages, in the pools' units.
    pub cost: f64,
    /// `ctx.spent`: the cost of the calls that were already made for the request.
    pub spent: f64,
    /// `ctx.waiting`: calls that wait for the stage's pool.
    pub waiting: u32,
    /// `ctx.free`: the number of free slots in that pool.
    pub free: u32,
    /// `ctx.team_held`: the number of active requests of the team at this instance.
    pub team_held: u32,
    /// `ctx.team_share`: the team's weight over the weights of all teams that have active requests
    /// here.
    pub team_share: f64,
    /// `ctx.would_admit`: whether the built-in rules would admit the request.
    pub would_admit: bool,
    /// `ctx.retry_after_ms`: how long the built-in rules would ask the caller to wait before it
    /// retries; 0 if they would not.
    pub retry_after: Duration,
}

/// Facts about a candidate endpoint of a call: `ctx.endpoint` in `route`.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointFacts {
    /// `name`.
    pub name: EndpointName,
    /// `data_centre`.
    pub data_centre: DataCentre,
    /// `local`: whether it is in the instance's own data centre.
    pub local: bool,
    /// `in_flight`: calls that this instance has in flight there.
    pub in_flight: u32,
    /// `peers`: calls that the peers have in flight there.
    pub peers: u32,
    /// `queued`: calls that the endpoint reported as queued, reduced with the age of the report.
    pub queued: f64,
    /// `limit`: the most calls that this instance may have in flight there.
    pub limit: u32,
    /// `took_ms`: the average time of its calls, per token for an engine; 0 if not known.
    pub took: Duration,
}

impl Facts {
    pub(super) fn to_map(&self) -> Map {
        let mut map = Map::new();
        map.insert("team".into(), text(&self.team));
        map.insert("pipeline".into(), text(&self.pipeline));
        map.insert("stage".into(), text(&self.stage));
        map.insert("stage_index".into(), count(self.stage_index));
        map.insert("idempotent".into(), Dynamic::from(self.idempotent));
        map.insert("left_ms".into(), ms(self.left));
        map.insert("wait_ms".into(), ms(self.wait));
        map.insert("work_ms".into(), ms(self.work));
        map.insert("cost".into(), Dynamic::from(self.cost));
        map.insert("spent".into(), Dynamic::from(self.spent));
        map.insert("waiting".into(), count(self.waiting));
        map.insert("free".into(), count(self.free));
        map.insert("team_held".into(), count(self.team_held));
        map.insert("team_share".into(), Dynamic::from(self.team_share));
        map.insert("would_admit".into(), Dynamic::from(self.would_admit));
        map.insert("retry_after_ms".into(), ms(self.retry_after));
        map
    }

    /// Sample facts that a script is checked with: an idle instance and an overloaded one.
    pub fn samples() -> [Facts; 2] {
        let quiet = Facts {
            team: Arc::from("team"),
            pipeline: Arc::from("pipeline"),
            stage: Arc::from("stage"),
            stage_index: 0,
            idempotent: true,
            left: Duration::from_secs(5),
            wait: Duration::ZERO,
            work: Duration::from_secs(1),
            cost: 4.0,
            spent: 0.0,
            waiting: 0,
            free: 8,
            team_held: 0,
            team_share: 1.0,
            would_admit: true,
            retry_after: Duration::ZERO,
        };
        let full = Facts {
            stage_index: 3,
            idempotent: false,
            left: Duration::ZERO,
            wait: Duration::from_secs(9),
            work: Duration::ZERO,
            cost: 0.0,
            spent: 12.0,
            waiting: 400,
            free: 0,
            team_held: 200,
            team_share: 0.0,
            would_admit: false,
            retry_after: Duration::from_secs(9),
            ..quiet.clone()
        };
        [quiet, full]
    }
}

impl EndpointFacts {
    pub(super) fn to_map(&self, facts: &Facts) -> Map {
        let mut endpoint = Map::new();
        endpoint.insert("name".into(), text(&self.name));
        endpoint.insert("data_centre".into(), text(&self.data_centre));
        endpoint.insert("local".into(), Dynamic::from(self.local));
        endpoint.insert("in_flight".into(), count(self.in_flight));
        endpoint.insert("peers".into(), count(self.peers));
        endpoint.insert("queued".into(), Dynamic::from(self.queued));
        endpoint.insert("limit".into(), count(self.limit));
        endpoint.insert("took_ms".into(), ms(self.took));
        let mut map = facts.to_map();
        map.insert("endpoint".into(), Dynamic::from(endpoint));
        map
    }

    /// Sample endpoints that a script is checked with: an idle one and a busy one.
    pub fn samples() -> [EndpointFacts; 2] {
        let idle = EndpointFacts {
            name: Arc::from("endpoint"),
            data_centre: Arc::from("data-centre"),
            local: true,
            in_flight: 0,
            peers: 0,
            queued: 0.0,
            limit: 8,
            took: Duration::ZERO,
        };
        let busy = EndpointFacts {
            local: false,
            in_flight: 8,
            peers: 40,
            queued: 7.5,
            took: Duration::from_millis(900),
            ..idle.clone()
        };
        [idle, busy]
    }
}

fn text(name: &str) -> Dynamic {
    Dynamic::from(name.to_owned())
}

fn count(value: u32) -> Dynamic {
    Dynamic::from(i64::from(value))
}

fn ms(span: Duration) -> Dynamic {
    Dynamic::from(span.as_secs_f64() * 1000.0)
}
