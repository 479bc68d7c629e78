//! The configurations that are published.

use peatdeck_core::document::{Document, Pipeline, Pool, PoolKind, Stage, Team};

use crate::instances::{
    endpoints,
    oracle::{DRAFT, TICKET},
};

/// A document that differs from every other by its mark.
pub fn document(mark: u64) -> Document {
    let pool = |name: &str, kind| Pool { name: name.into(), kind, cost: 1.0, fenced: false };
    let pipeline = |name: &str, stages: [(&str, bool, bool); 2]| Pipeline {
        name: name.into(),
        max_deadline_ms: 10_000,
        objective: 0.99,
        policy: None,
        stages: stages
            .iter()
            .map(|(stage, engine, single)| Stage {
                name: (*stage).into(),
                pool: (*stage).into(),
                repeatable: !single,
                max_tokens: engine.then_some(endpoints::TOKENS),
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
        teams: vec![team("team".into(), 1), team(format!("mark-{mark}"), 1)],
        policies: Vec::new(),
    }
}
