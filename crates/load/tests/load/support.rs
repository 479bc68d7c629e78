//! Builders of samples and recorded calls.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    document::{Document, Pipeline, Stage},
    model::RequestId,
};
use peatdeck_load::{
    report::ReportParams,
    sample::{Ending, Sample},
    work::{CallEnd, EndpointCall},
};
use peatdeck_wire::caller::StageBody;

/// A duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An idempotent request of team `big`, planned at `at` ms and ended `took` ms later.
pub fn sample(id: &str, at: u64, took: u64, ending: Ending) -> Sample {
    Sample {
        id: id.into(),
        team: "big".into(),
        pipeline: "draft".into(),
        idempotent: true,
        planned: ms(at),
        lag: Duration::ZERO,
        deadline: ms(1000),
        took: ms(took),
        first_token: None,
        sends: 1,
        doubted: false,
        ending,
        stages: Vec::new(),
    }
}

/// The same request, answered by one stage at `endpoint`.
pub fn answered(id: &str, at: u64, took: u64, endpoint: &str) -> Sample {
    let stage = StageBody {
        stage: "generate".into(),
        endpoint: endpoint.into(),
        attempts: 1,
        took_ms: took as f64,
    };
    Sample { stages: vec![stage], ..sample(id, at, took, Ending::Answered) }
}

/// A recorded call of the first stage; `began` and `busy` in milliseconds.
pub fn call(
    id: &str,
    attempt: u32,
    endpoint: &str,
    began: u64,
    busy: u64,
    end: CallEnd,
) -> EndpointCall {
    EndpointCall {
        endpoint: endpoint.into(),
        pool: "engines".into(),
        number: u64::from(attempt),
        request: RequestId { team: "big".into(), id: id.into() },
        stage: 0,
        name: "generate".into(),
        attempt,
        began: ms(began),
        busy: ms(busy),
        end,
    }
}

/// A configuration with a single stage, which may not be repeated.
pub fn document() -> Document {
    let stage = Stage {
        name: "generate".into(),
        pool: "engines".into(),
        repeatable: false,
        max_tokens: None,
    };
    let pipeline = Pipeline {
        name: "draft".into(),
        max_deadline_ms: 1000,
        objective: 0.99,
        policy: None,
        stages: vec![stage],
    };
    Document { pipelines: vec![pipeline], ..Document::default() }
}

/// Parameters of a run of three seconds with a warm-up of one.
pub fn params() -> ReportParams {
    ReportParams {
        label: Arc::from("small"),
        seed: 7,
        length: ms(3000),
        warm_up: ms(1000),
        capacity: Some(2.0),
        events: Vec::new(),
        weights: [("big".into(), 1), ("small".into(), 1)].into(),
    }
}
