//! What the endpoints say they worked on, and which of it was of use.
//!
//! The stand-ins keep a record of every call. Set beside what callers were
//! told, it shows where work was wasted, and whether an answer was untrue: a
//! request that "did not run" must have no call, and one that is not
//! idempotent must not have run twice.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::{document::Document, model::RequestId};
use peatdeck_macros::{data, message};

use crate::sample::{Ending, Sample};

/// One call that an endpoint took on.
#[message]
pub struct Work {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// The call's number at the endpoint.
    pub number: u64,
    /// The request.
    pub request: RequestId,
    /// The stage's position.
    pub stage: u32,
    /// The stage's name.
    pub name: Arc<str>,
    /// The attempt.
    pub attempt: u32,
    /// When it began to run, on a clock that all endpoints share.
    pub began: Duration,
    /// How long it held a place.
    pub busy: Duration,
    /// How it ended.
    pub end: End,
}

/// How a call ended at its endpoint.
#[message]
#[derive(Copy, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It ran to its end.
    Finished,
    /// It was stopped by its caller.
    Cancelled,
    /// It failed, was cut, or had not ended when the record was read.
    Broken,
}

/// What became of a call's work.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Use {
    /// Its reply is part of an answer that came in time.
    Useful,
    /// It ran beside another call of the same stage.
    Hedge,
    /// It was one of several calls of the same stage, one after the other.
    Retry,
    /// It was stopped, of whatever request.
    Cancelled,
    /// It ran for a request that was not answered in time.
    Late,
}

/// All kinds of use, in the order of the reports.
pub const USES: [Use; 5] = [Use::Useful, Use::Hedge, Use::Retry, Use::Cancelled, Use::Late];

impl Use {
    /// Its name in the reports.
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

/// An answer that the endpoints' records contradict.
#[message]
#[derive(Eq)]
#[serde(tag = "violation", rename_all = "snake_case")]
pub enum Violation {
    /// The caller was told that nothing ran.
    RanAfterNotRun {
        /// The request.
        id: Arc<str>,
        /// What the caller was told.
        told: Arc<str>,
        /// The calls, as `stage N at ENDPOINT`.
        calls: Vec<Arc<str>>,
    },
    /// A stage that may not be repeated ran more than once.
    RanTwice {
        /// The request.
        id: Arc<str>,
        /// The stage.
        stage: Arc<str>,
        /// The calls.
        calls: Vec<Arc<str>>,
    },
    /// The answer was not this request's.
    WrongAnswer {
        /// The request.
        id: Arc<str>,
        /// The difference.
        difference: Arc<str>,
    },
}

/// The records by request.
#[data]
pub struct Ledger {
    calls: HashMap<RequestId, Vec<Work>>,
}

impl Ledger {
    /// A ledger of these records.
    pub fn new(works: impl IntoIterator<Item = Work>) -> Ledger {
        let mut calls: HashMap<RequestId, Vec<Work>> = HashMap::new();
        for work in works {
            calls.entry(work.request.clone()).or_default().push(work);
        }
        Ledger { calls }
    }

    /// The calls made for a request.
    pub fn of(&self, sample: &Sample) -> &[Work] {
        let key = RequestId { team: sample.team.clone(), id: sample.id.clone() };
        self.calls.get(&key).map_or(&[], Vec::as_slice)
    }

    /// What became of each call made for a request.
    pub fn uses<'a>(&'a self, sample: &'a Sample) -> impl Iterator<Item = (&'a Work, Use)> {
        let works = self.of(sample);
        let taken = taken(sample, works);
        works.iter().map(move |work| (work, use_of(sample, works, work, &taken)))
    }

    /// Every contradiction between the samples and the records.
    ///
    /// `document` tells which stages may be repeated.
    pub fn violations(&self, samples: &[Sample], document: &Document) -> Vec<Violation> {
        samples.iter().flat_map(|sample| self.violations_of(sample, document)).collect()
    }

    fn violations_of(&self, sample: &Sample, document: &Document) -> Vec<Violation> {
        let works = self.of(sample);
        let mut found = Vec::new();
        if let Ending::Wrong(difference) = &sample.ending {
            let difference = difference.clone();
            found.push(Violation::WrongAnswer { id: sample.id.clone(), difference });
        }
        if let Ending::NotRun(_) = &sample.ending
            && !sample.doubted
            && !works.is_empty()
        {
            found.push(Violation::RanAfterNotRun {
                id: sample.id.clone(),
                told: sample.ending.label().into(),
                calls: works.iter().map(place).collect(),
            });
        }
        if !sample.idempotent {
            found.extend(repeated(sample, works, document));
        }
        found
    }
}

/// The calls whose replies make up an answer in time: one a stage.
fn taken(sample: &Sample, works: &[Work]) -> HashSet<(u32, u32)> {
    let mut taken = HashSet::new();
    if !sample.in_time() {
        return taken;
    }
    for (index, stage) in sample.stages.iter().enumerate() {
        let last = works
            .iter()
            .filter(|work| work.stage as usize == index && work.endpoint == stage.endpoint)
            .filter(|work| work.end == End::Finished)
            .max_by_key(|work| work.attempt);
        taken.extend(last.map(|work| (work.stage, work.attempt)));
    }
    taken
}

fn use_of(sample: &Sample, works: &[Work], work: &Work, taken: &HashSet<(u32, u32)>) -> Use {
    if taken.contains(&(work.stage, work.attempt)) {
        return Use::Useful;
    }
    if work.end == End::Cancelled {
        return Use::Cancelled;
    }
    if !sample.in_time() {
        return Use::Late;
    }
    let beside = works
        .iter()
        .filter(|other| other.stage == work.stage && other.attempt != work.attempt)
        .any(|other| overlap(work, other));
    if beside { Use::Hedge } else { Use::Retry }
}

fn overlap(one: &Work, other: &Work) -> bool {
    one.began < other.began + other.busy && other.began < one.began + one.busy
}

/// Stages that ran more than once though they may not be repeated.
fn repeated(sample: &Sample, works: &[Work], document: &Document) -> Vec<Violation> {
    let Some(pipeline) = document.pipeline(&sample.pipeline) else { return Vec::new() };
    let stages = pipeline.stages.iter().enumerate().filter(|(_, stage)| !stage.repeatable);
    stages
        .filter_map(|(index, stage)| {
            let runs: Vec<&Work> =
                works.iter().filter(|work| work.stage as usize == index).collect();
            (runs.len() > 1).then(|| Violation::RanTwice {
                id: sample.id.clone(),
                stage: stage.name.clone(),
                calls: runs.into_iter().map(place).collect(),
            })
        })
        .collect()
}

fn place(work: &Work) -> Arc<str> {
    format!("stage {} attempt {} at {}", work.stage, work.attempt, work.endpoint).into()
}
