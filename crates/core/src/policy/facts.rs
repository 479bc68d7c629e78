//! What a script sees.
//!
//! Times are in milliseconds, as floating-point numbers; names are strings.

use std::{sync::Arc, time::Duration};

use rhai::{Dynamic, Map};

use crate::model::{DataCentre, EndpointName, PipelineName, StageName, TeamName};

/// Facts of a request, and of the stage that it is about to enter.
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
    /// `ctx.wait_ms`: expected wait for a place.
    pub wait: Duration,
    /// `ctx.work_ms`: time that the remaining stages need, at a high quantile.
    pub work: Duration,
    /// `ctx.cost`: cost of the remaining stages, in the pools' units.
    pub cost: f64,
    /// `ctx.spent`: cost of what already ran for the request.
    pub spent: f64,
    /// `ctx.waiting`: calls that wait for the stage's pool.
    pub waiting: u32,
    /// `ctx.free`: places free in that pool.
    pub free: u32,
    /// `ctx.team_held`: requests of the team that the instance holds.
    pub team_held: u32,
    /// `ctx.team_share`: the team's weight over the weights of all teams that have requests here.
    pub team_share: f64,
    /// `ctx.would_admit`: the built-in decision.
    pub would_admit: bool,
    /// `ctx.retry_after_ms`: the built-in time to come back; 0 where there is none.
    pub retry_after: Duration,
}

/// Facts of an endpoint that a call could go to: `ctx.endpoint` in `route`.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointFacts {
    /// `name`.
    pub name: EndpointName,
    /// `data_centre`.
    pub data_centre: DataCentre,
    /// `local`: whether it is in the instance's own data centre.
    pub local: bool,
    /// `in_flight`: calls of this instance there.
    pub in_flight: u32,
    /// `peers`: calls of the peers there.
    pub peers: u32,
    /// `queued`: calls that it reported as waiting, worth less with age.
    pub queued: f64,
    /// `limit`: calls that this instance may have there.
    pub limit: u32,
    /// `took_ms`: how long its calls take; 0 if not known. For an engine, per token.
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

    /// Facts that a script is tried on: a quiet instance and a full one.
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

    /// Endpoints that a script is tried on: an idle one and a busy one.
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
