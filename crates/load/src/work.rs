//! Compares the calls that endpoints recorded with the outcomes that callers received.
//!
//! The stand-ins record every call. The comparison shows which calls were
//! wasted, and which replies were wrong: a request with the outcome "not run"
//! must have no call, and one that is not idempotent must not have run twice.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::{document::Document, model::RequestId};
use peatdeck_macros::{data, message};

use crate::sample::{Ending, Sample};

/// A call that an endpoint ran.
#[message]
pub struct EndpointCall {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Pool of the endpoint.
    pub pool: Arc<str>,
    /// Sequence number of the call at the endpoint.
    pub number: u64,
    /// The request that the call belongs to.
    pub request: RequestId,
    /// Index of the stage in the pipeline.
    pub stage: u32,
    /// Name of the stage.
    pub name: Arc<str>,
    /// Number of the attempt.
    pub attempt: u32,
    /// Start of the call, on a clock that all endpoints share.
    pub began: Duration,
    /// How long it occupied a slot.
    pub busy: Duration,
    /// How it ended.
    pub end: CallEnd,
}

/// How a call ended at its endpoint.
#[message]
#[derive(Copy, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// It ran to completion.
    Finished,
    /// The instance that made the call cancelled it.
    Cancelled,
    /// It failed, lost its connection, or had not ended when the record was read.
    Broken,
}

/// What the slot time of a call was used for.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Use {
    /// Its reply is part of an answer in time.
    Useful,
    /// It ran concurrently with another call of the same stage.
    Hedge,
    /// It was one of several consecutive calls of the same stage.
    Retry,
    /// It was cancelled, whether or not the request was answered in time.
    Cancelled,
    /// It ran for a request that was not answered in time.
    Late,
}

/// All uses, in the order of the reports.
pub const USES: [Use; 5] = [Use::Useful, Use::Hedge, Use::Retry, Use::Cancelled, Use::Late];

impl Use {
    /// Name in the reports.
    pub fn label(self) -> &'static str {
        match self {
            Use::Useful => "useful",
            Use::Hedge => "hedge",
            Use::Retry => "retry",
            Use::Cancelled => "cancelled",
            Use::Late => "late",
        }
    }
}

/// A reply that contradicts the endpoints' records or is not correct.
#[message]
#[derive(Eq)]
#[serde(tag = "violation", rename_all = "snake_case")]
pub enum Violation {
    /// Endpoints ran calls of a request with the outcome "not run".
    RanAfterNotRun {
        /// Id of the request.
        id: Arc<str>,
        /// The outcome that the caller received.
        told: Arc<str>,
        /// The calls, each as `stage N attempt N at ENDPOINT`.
        calls: Vec<Arc<str>>,
    },
    /// A stage that may not be repeated ran more than once for a request that is not idempotent.
    RanTwice {
        /// Id of the request.
        id: Arc<str>,
        /// Name of the stage.
        stage: Arc<str>,
        /// The calls, in the same form.
        calls: Vec<Arc<str>>,
    },
    /// The answer is not correct for this request.
    WrongAnswer {
        /// Id of the request.
        id: Arc<str>,
        /// Description of the difference.
        difference: Arc<str>,
    },
}

/// The endpoints' records, indexed by request.
#[data]
pub struct CallIndex {
    by_request: HashMap<RequestId, Vec<EndpointCall>>,
}

impl CallIndex {
    /// Indexes records.
    pub fn new(calls: impl IntoIterator<Item = EndpointCall>) -> CallIndex {
        let mut by_request: HashMap<RequestId, Vec<EndpointCall>> = HashMap::new();
        for call in calls {
            by_request.entry(call.request.clone()).or_default().push(call);
        }
        CallIndex { by_request }
    }

    /// The recorded calls of a request.
    pub fn calls_of(&self, sample: &Sample) -> &[EndpointCall] {
        let key = RequestId { team: sample.team.clone(), id: sample.id.clone() };
        self.by_request.get(&key).map_or(&[], Vec::as_slice)
    }

    /// The recorded calls of a request, each with its use.
    pub fn uses<'a>(&'a self, sample: &'a Sample) -> impl Iterator<Item = (&'a EndpointCall, Use)> {
        let calls = self.calls_of(sample);
        let used = used(sample, calls);
        calls.iter().map(move |call| (call, use_of(sample, calls, call, &used)))
    }

    /// Every contradiction between the samples and the records.
    ///
    /// `document` defines which stages may be repeated.
    pub fn violations(&self, samples: &[Sample], document: &Document) -> Vec<Violation> {
        samples.iter().flat_map(|sample| self.violations_of(sample, document)).collect()
    }

    fn violations_of(&self, sample: &Sample, document: &Document) -> Vec<Violation> {
        let calls = self.calls_of(sample);
        let mut found = Vec::new();
        if let Ending::Wrong(difference) = &sample.ending {
            let difference = difference.clone();
            found.push(Violation::WrongAnswer { id: sample.id.clone(), difference });
        }
        if let Ending::NotRun(_) = &sample.ending
            && !sample.doubted
            && !calls.is_empty()
        {
            found.push(Violation::RanAfterNotRun {
                id: sample.id.clone(),
                told: sample.ending.label().into(),
                calls: calls.iter().map(describe_call).collect(),
            });
        }
        if !sample.idempotent {
            found.extend(repeated_stages(sample, calls, document));
        }
        found
    }
}

/// Stage and attempt of the calls whose replies make up an answer in time, one per stage.
fn used(sample: &Sample, calls: &[EndpointCall]) -> HashSet<(u32, u32)> {
    let mut used = HashSet::new();
    if !sample.in_time() {
        return used;
    }
    for (index, stage) in sample.stages.iter().enumerate() {
        let last = calls
            .iter()
            .filter(|call| call.stage as usize == index && call.endpoint == stage.endpoint)
            .filter(|call| call.end == CallEnd::Finished)
            .max_by_key(|call| call.attempt);
        used.extend(last.map(|call| (call.stage, call.attempt)));
    }
    used
}

fn use_of(
    sample: &Sample,
    calls: &[EndpointCall],
    call: &EndpointCall,
    used: &HashSet<(u32, u32)>,
) -> Use {
    if used.contains(&(call.stage, call.attempt)) {
        return Use::Useful;
    }
    if call.end == CallEnd::Cancelled {
        return Use::Cancelled;
    }
    if !sample.in_time() {
        return Use::Late;
    }
    let beside = calls
        .iter()
        .filter(|other| other.stage == call.stage && other.attempt != call.attempt)
        .any(|other| overlap(call, other));
    if beside { Use::Hedge } else { Use::Retry }
}

fn overlap(one: &EndpointCall, other: &EndpointCall) -> bool {
    one.began < other.began + other.busy && other.began < one.began + one.busy
}

/// Violations by stages that ran more than once although they may not be repeated.
fn repeated_stages(sample: &Sample, calls: &[EndpointCall], document: &Document) -> Vec<Violation> {
    let Some(pipeline) = document.pipeline(&sample.pipeline) else { return Vec::new() };
    let stages = pipeline.stages.iter().enumerate().filter(|(_, stage)| !stage.repeatable);
    stages
        .filter_map(|(index, stage)| {
            let runs: Vec<&EndpointCall> =
                calls.iter().filter(|call| call.stage as usize == index).collect();
            (runs.len() > 1).then(|| Violation::RanTwice {
                id: sample.id.clone(),
                stage: stage.name.clone(),
                calls: runs.into_iter().map(describe_call).collect(),
            })
        })
        .collect()
}

fn describe_call(call: &EndpointCall) -> Arc<str> {
    format!("stage {} attempt {} at {}", call.stage, call.attempt, call.endpoint).into()
}
