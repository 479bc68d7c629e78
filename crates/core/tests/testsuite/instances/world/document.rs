//! The configuration documents that are published.

use peatdeck_core::document::{Document, Pipeline, Pool, PoolKind, Stage, Team};

use crate::instances::{
    endpoints,
    oracle::{DRAFT, TICKET},
};

/// A document that is unique because of a team named after `number`.
pub fn document(number: u64) -> Document {
    let pool = |name: &str, kind| Pool { name: name.into(), kind, cost: 1.0, fenced: false };
    let pipeline = |name: &str, stages: [(&str, bool, bool); 2]| Pipeline {
        name: name.into(),
        max_deadline_ms: 10_000,
        objective: 0.99,
        policy: None,
        stages: stages
            .iter()
            .map(|(stage, is_engine, runs_once)| Stage {
                name: (*stage).into(),
                pool: (*stage).into(),
                repeatable: !runs_once,
                max_tokens: is_engine.then_some(endpoints::TOKENS),
            })
            .collect(),
    };
    let team = |name: String, weight| Team { name: name.into(), weight, max_running: None };
    Document {
        pools: vec![
            pool("encode", PoolKind::Service),
            pool("generate", PoolKind::Engine),
            pool("ledger", PoolKind::Service),
        ],
        pipelines: vec![pipeline("draft", DRAFT), pipeline("ticket", TICKET)],
        teams: vec![team("team".into(), 1), team(format!("mark-{number}"), 1)],
        policies: Vec::new(),
    }
}
