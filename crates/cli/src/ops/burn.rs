//! Computes how fast the error budget of each pipeline is used up.
//!
//! [`report`] is a pure function from outcomes by minute, the objectives and the
//! time to a [`Report`]. [`page`] renders it as a web page.
//!
//! Attainment is the share of requests that were answered completely in time.
//! The error budget is the share that may miss: 1 minus the objective. The burn
//! rate of a window is the share that missed divided by the budget: at 1 the
//! budget lasts exactly, at 10 it is used up in a tenth of the time. An alert
//! requires a high rate in both a shorter and a longer window, which
//! distinguishes a spike from a lasting fault.
//!
//! Invalid requests are not counted, since no system could answer them.

pub mod page;
pub mod plot;

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use peatdeck_core::{
    document::Document,
    model::{Invalid, RefusalKind, UncertaintyKind},
};
use peatdeck_macros::{id, message};
use peatdeck_wire::{
    admin::{MissingInstance, OutcomeCount, OutcomesReply},
    caller::ANSWERED,
};
use serde::de::DeserializeOwned;

use crate::table;

/// Length of the short window, in seconds.
pub const SHORT_WINDOW: u64 = 5 * 60;
/// Length of the middle window, in seconds.
pub const MIDDLE_WINDOW: u64 = 60 * 60;
/// Length of the long window, in seconds. Attainment and remaining budget refer to it.
pub const LONG_WINDOW: u64 = 6 * 60 * 60;
/// Time covered by one point of a plot, in seconds.
pub const POINT_SECONDS: u64 = 5 * 60;
/// Number of points of a plot.
const POINT_COUNT: usize = (LONG_WINDOW / POINT_SECONDS) as usize;
/// Burn rate in both the short and the middle window that raises [`Alert::Fast`].
const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate in both the middle and the long window that raises [`Alert::Slow`].
const SLOW_BURN_RATE: f64 = 6.0;

/// The error budget burn report on all pipelines and teams.
#[message]
pub struct Report {
    /// Time of the report, in seconds of Unix time.
    pub at: u64,
    /// A row for each pipeline, followed by one for each of its teams.
    pub rows: Vec<Row>,
    /// Causes of misses, the most frequent first.
    pub causes: Vec<Cause>,
    /// Attainment over time, one series per pipeline with requests.
    pub series: Vec<Series>,
    /// Number of invalid requests, which are not counted elsewhere.
    pub invalid: u64,
    /// Instances whose counts are included.
    pub instances: Vec<Arc<str>>,
    /// Instances that did not respond, with the reason.
    pub missing: Vec<MissingInstance>,
}

/// The figures of a pipeline, or of one team in it.
#[message]
pub struct Row {
    /// The pipeline.
    pub pipeline: Arc<str>,
    /// The team; `None` for all teams together.
    pub team: Option<Arc<str>>,
    /// Number of requests in the long window.
    pub requests: u64,
    /// How many of them were answered completely in time.
    pub answered: u64,
    /// Share of requests answered in time; `None` without requests.
    pub attainment: Option<f64>,
    /// The objective for the attainment; `None` if the configuration does not
    /// contain the pipeline.
    pub objective: Option<f64>,
    /// Remaining share of the error budget of the long window; negative if the
    /// budget is exceeded.
    pub budget_left: Option<f64>,
    /// Burn rates by window.
    pub burn: Burn,
    /// The alert that the burn rates raise.
    pub alert: Alert,
}

impl Row {
    /// The figures as text: requests, attainment, objective, remaining budget, and
    /// the burn rates over the short, middle and long window.
    pub fn figures(&self) -> [String; 7] {
        [
            self.requests.to_string(),
            table::percent(self.attainment),
            table::percent(self.objective),
            table::percent(self.budget_left),
            table::rate(self.burn.short),
            table::rate(self.burn.middle),
            table::rate(self.burn.long),
        ]
    }
}

/// Burn rates by window; `None` without requests or without an objective.
#[message]
#[derive(Copy)]
pub struct Burn {
    /// Over the last five minutes.
    pub short: Option<f64>,
    /// Over the last hour.
    pub middle: Option<f64>,
    /// Over the last six hours.
    pub long: Option<f64>,
}

/// The alert level of burn rates.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No alert.
    Quiet,
    /// The budget is used up too fast over hours.
    Slow,
    /// The budget is being used up very fast, in the last minutes too.
    Fast,
}

/// A cause of misses: outcomes of one code in one pipeline, team and stage.
#[message]
pub struct Cause {
    /// The pipeline.
    pub pipeline: Arc<str>,
    /// The team.
    pub team: Arc<str>,
    /// Class of the outcome.
    pub kind: Kind,
    /// The code of the refusal or of the uncertainty.
    pub outcome: Arc<str>,
    /// The stage that caused the miss; `None` if no single stage did.
    pub stage: Option<Arc<str>>,
    /// Number of requests.
    pub count: u64,
    /// Share of all misses.
    pub share: f64,
}

/// The class of an outcome.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request was answered completely in time.
    Answered,
    /// The request was refused before anything ran.
    NotRun,
    /// The request failed after part of it may have run.
    MayHaveRun,
    /// The request was invalid.
    Invalid,
    /// This version does not know the code; it counts as a miss.
    Other,
}

/// A pipeline's attainment over time.
#[message]
pub struct Series {
    /// The pipeline.
    pub pipeline: Arc<str>,
    /// The objective; `None` if the configuration does not contain the pipeline.
    pub objective: Option<f64>,
    /// Counts of each point, oldest first.
    pub points: Vec<Count>,
}

/// Counts of requests in an interval.
#[message]
#[derive(Copy, Eq, Default)]
pub struct Count {
    /// All requests.
    pub requests: u64,
    /// Requests that were answered completely in time.
    pub answered: u64,
}

impl Count {
    /// Share of requests answered completely in time; `None` without requests.
    pub fn attainment(self) -> Option<f64> {
        (self.requests > 0).then(|| self.answered as f64 / self.requests as f64)
    }

    fn add(&mut self, kind: Kind, count: u64) {
        self.requests += count;
        if kind == Kind::Answered {
            self.answered += count;
        }
    }
}

/// The counts of a pipeline or team in the three windows.
#[derive(Debug, Default)]
struct Windows {
    short: Count,
    middle: Count,
    long: Count,
}

/// The pipeline or team of a row. The row of a pipeline sorts before those of its teams.
#[id]
struct Subject {
    pipeline: Arc<str>,
    team: Option<Arc<str>>,
}

/// Computes the report. `now` is in seconds of Unix time.
pub fn report(now: u64, document: &Document, reply: OutcomesReply) -> Report {
    let rows: Vec<OutcomeCount> =
        reply.outcomes.into_iter().filter(|row| is_within(row, LONG_WINDOW, now)).collect();
    let (invalid, counted): (Vec<_>, Vec<_>) =
        rows.into_iter().partition(|row| kind(&row.outcome) == Kind::Invalid);
    Report {
        at: now,
        rows: subjects(now, document, &counted),
        causes: causes(&counted),
        series: series(now, document, &counted),
        invalid: invalid.iter().map(|row| row.count).sum(),
        instances: reply.instances,
        missing: reply.missing,
    }
}

/// Classifies the code of an outcome.
pub fn kind(code: &str) -> Kind {
    match code {
        ANSWERED => Kind::Answered,
        code if is_one_of::<RefusalKind>(code) => Kind::NotRun,
        code if is_one_of::<UncertaintyKind>(code) => Kind::MayHaveRun,
        code if is_one_of::<Invalid>(code) => Kind::Invalid,
        _ => Kind::Other,
    }
}

/// Whether the code is the serialised name of a variant of `T`.
fn is_one_of<T: DeserializeOwned>(code: &str) -> bool {
    serde_json::from_value::<T>(serde_json::Value::from(code)).is_ok()
}

fn is_within(row: &OutcomeCount, window: u64, now: u64) -> bool {
    row.slot + window > now
}

fn subjects(now: u64, document: &Document, counted: &[OutcomeCount]) -> Vec<Row> {
    let mut windows: BTreeMap<Subject, Windows> = BTreeMap::new();
    for pipeline in &document.pipelines {
        let pipeline = Arc::clone(&pipeline.name);
        windows.insert(Subject { pipeline, team: None }, Windows::default());
    }
    for row in counted {
        for team in [None, Some(Arc::clone(&row.team))] {
            let subject = Subject { pipeline: Arc::clone(&row.pipeline), team };
            let counts = windows.entry(subject).or_default();
            let kind = kind(&row.outcome);
            counts.long.add(kind, row.count);
            if is_within(row, MIDDLE_WINDOW, now) {
                counts.middle.add(kind, row.count);
            }
            if is_within(row, SHORT_WINDOW, now) {
                counts.short.add(kind, row.count);
            }
        }
    }
    windows.into_iter().map(|(subject, counts)| row(document, subject, &counts)).collect()
}

fn row(document: &Document, subject: Subject, counts: &Windows) -> Row {
    let objective = objective(document, &subject.pipeline);
    let rate = |count: Count| Some((1.0 - count.attainment()?) / (1.0 - objective?));
    let burn =
        Burn { short: rate(counts.short), middle: rate(counts.middle), long: rate(counts.long) };
    Row {
        pipeline: subject.pipeline,
        team: subject.team,
        requests: counts.long.requests,
        answered: counts.long.answered,
        attainment: counts.long.attainment(),
        objective,
        budget_left: burn.long.map(|rate| 1.0 - rate),
        burn,
        alert: alert(burn),
    }
}

fn alert(burn: Burn) -> Alert {
    let both = |a: Option<f64>, b: Option<f64>, limit: f64| {
        a.is_some_and(|rate| rate >= limit) && b.is_some_and(|rate| rate >= limit)
    };
    if both(burn.short, burn.middle, FAST_BURN_RATE) {
        return Alert::Fast;
    }
    if both(burn.middle, burn.long, SLOW_BURN_RATE) { Alert::Slow } else { Alert::Quiet }
}

fn causes(counted: &[OutcomeCount]) -> Vec<Cause> {
    let misses = counted.iter().filter(|row| kind(&row.outcome) != Kind::Answered);
    let mut sums: BTreeMap<_, u64> = BTreeMap::new();
    for row in misses {
        let key = (&row.pipeline, &row.team, &row.outcome, &row.stage);
        *sums.entry(key).or_default() += row.count;
    }
    let all: u64 = sums.values().sum();
    let mut causes: Vec<Cause> = sums
        .into_iter()
        .map(|((pipeline, team, outcome, stage), count)| Cause {
            pipeline: Arc::clone(pipeline),
            team: Arc::clone(team),
            kind: kind(outcome),
            outcome: Arc::clone(outcome),
            stage: stage.clone(),
            count,
            share: count as f64 / all as f64,
        })
        .collect();
    causes.sort_by_key(|cause| Reverse(cause.count));
    causes
}

fn series(now: u64, document: &Document, counted: &[OutcomeCount]) -> Vec<Series> {
    let mut by_pipeline: BTreeMap<&Arc<str>, Vec<Count>> = BTreeMap::new();
    for row in counted {
        let points =
            by_pipeline.entry(&row.pipeline).or_insert_with(|| vec![Count::default(); POINT_COUNT]);
        points[point(row.slot, now)].add(kind(&row.outcome), row.count);
    }
    by_pipeline
        .into_iter()
        .map(|(pipeline, points)| Series {
            pipeline: Arc::clone(pipeline),
            objective: objective(document, pipeline),
            points,
        })
        .collect()
}

/// The index of the point that a slot belongs to. A slot in the future, from an instance
/// whose clock is ahead, belongs to the newest point.
fn point(slot: u64, now: u64) -> usize {
    let age = usize::try_from(now.saturating_sub(slot) / POINT_SECONDS).unwrap_or(usize::MAX);
    (POINT_COUNT - 1).saturating_sub(age)
}

fn objective(document: &Document, pipeline: &str) -> Option<f64> {
    document.pipeline(pipeline).map(|pipeline| pipeline.objective)
}
