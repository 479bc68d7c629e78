//! The configuration document and requests that tests use.
//!
//! The document has the service pools `encode`, `retrieve`, `rerank` and
//! `ledger`, the engine pool `generate`, the team `station`, and two pipelines:
//! `certificate` with four repeatable stages, and `ticket` with the stages
//! `encode`, `generate` and `ledger`, the last of which is not repeatable.

use std::sync::Arc;

use peatdeck_core::{
    document::{Document, Pipeline, Pool, PoolKind, Stage, Team},
    model::RequestId,
};
use peatdeck_wire::caller::RequestBody;

/// The team of every request.
pub const TEAM: &str = "station";
/// The pipeline whose stages are all repeatable.
pub const CERTIFICATE: &str = "certificate";
/// The pipeline whose last stage is not repeatable.
pub const TICKET: &str = "ticket";
/// Largest deadline that both pipelines allow, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 60_000;
/// Limit on the tokens of a generation.
const MAX_TOKENS: u32 = 12;

/// The document described above.
pub fn document() -> Document {
    let services = ["encode", "retrieve", "rerank", "ledger"];
    let services = services.map(|name| pool(name, PoolKind::Service));
    let generate = stage("generate", true, Some(MAX_TOKENS));
    let certificate = vec![
        stage("encode", true, None),
        stage("retrieve", true, None),
        stage("rerank", true, None),
        generate.clone(),
    ];
    let ticket = vec![stage("encode", true, None), generate, stage("ledger", false, None)];
    Document {
        pools: services.into_iter().chain([pool("generate", PoolKind::Engine)]).collect(),
        pipelines: vec![pipeline(CERTIFICATE, certificate), pipeline(TICKET, ticket)],
        teams: vec![Team { name: TEAM.into(), weight: 1, max_running: None }],
        policies: Vec::new(),
    }
}

/// A pool with cost 1 that is not fenced.
pub fn pool(name: &str, kind: PoolKind) -> Pool {
    Pool { name: name.into(), kind, cost: 1.0, fenced: false }
}

/// A stage in the pool of the same name.
pub fn stage(name: &str, repeatable: bool, max_tokens: Option<u32>) -> Stage {
    Stage { name: name.into(), pool: name.into(), repeatable, max_tokens }
}

/// A pipeline without a policy.
pub fn pipeline(name: &str, stages: Vec<Stage>) -> Pipeline {
    Pipeline {
        name: name.into(),
        max_deadline_ms: MAX_DEADLINE_MS,
        objective: 0.99,
        policy: None,
        stages,
    }
}

/// The body of an idempotent request.
pub fn request(id: &str, input: &str) -> RequestBody {
    let body = serde_json::json!({
        "id": id, "team": TEAM, "deadline_ms": 20_000, "idempotent": true, "input": input,
    });
    serde_json::from_value(body).expect("the body has the format's fields")
}

/// The body of a request that is not idempotent and so runs at most once.
pub fn once(id: &str, input: &str) -> RequestBody {
    RequestBody { idempotent: false, ..request(id, input) }
}

/// The id of a request of [`TEAM`], as instances store it.
pub fn key(id: &str) -> RequestId {
    RequestId { team: Arc::from(TEAM), id: Arc::from(id) }
}
