//! Service-level burn: how fast the error budget of each pipeline is used up.
//!
//! Pure: outcomes by minute, the objectives and the time go in, a [`Report`]
//! comes out. [`page`] draws it as a web page.
//!
//! The terms are the usual ones. Attainment is the share of requests that were
//! answered whole in time. The objective leaves an error budget, the share that
//! may miss. The burn rate of a window is the share that missed over that
//! budget: at 1 the budget lasts exactly, at 10 it is gone in a tenth of the
//! time. A short and a long window together tell a spike from a lasting fault.
//!
//! Requests that were wrong in themselves count neither way: no system can
//! answer them.

pub mod page;
pub mod plot;

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use peatdeck_core::{
    document::Document,
    model::{Invalid, RefusalKind, UncertaintyKind},
};
use peatdeck_macros::{id, message};
use peatdeck_wire::{
    admin::{Missing, OutcomeCount, OutcomesReply},
    caller::ANSWERED,
};
use serde::de::DeserializeOwned;

use crate::table;

/// The short window, in seconds.
pub const SHORT_WINDOW: u64 = 5 * 60;
/// The middle window, in seconds.
pub const MIDDLE_WINDOW: u64 = 60 * 60;
/// The long window, in seconds. Attainment and budget are over this one.
pub const LONG_WINDOW: u64 = 6 * 60 * 60;
/// Length of a point of the plots, in seconds.
pub const POINT_SECONDS: u64 = 5 * 60;
/// Points of a plot.
const POINT_COUNT: usize = (LONG_WINDOW / POINT_SECONDS) as usize;
/// Burn rate over the short and the middle window that is an alert.
const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate over the middle and the long window that is an alert.
const SLOW_BURN_RATE: f64 = 6.0;

/// The whole report.
#[message]
pub struct Report {
    /// When it was made, in seconds of Unix time.
    pub at: u64,
    /// A row for each pipeline, and below it one for each of its teams.
    pub rows: Vec<Row>,
    /// Why requests missed, the largest first.
    pub causes: Vec<Cause>,
    /// Attainment over time, by pipeline.
    pub series: Vec<Series>,
    /// Requests that were wrong in themselves.
    pub invalid: u64,
    /// Instances whose counts are in the report.
    pub instances: Vec<Arc<str>>,
    /// Instances that did not answer.
    pub missing: Vec<Missing>,
}

/// One pipeline, or one team's part of it.
#[message]
pub struct Row {
    /// The pipeline.
    pub pipeline: Arc<str>,
    /// The team; `None` for all of them.
    pub team: Option<Arc<str>>,
    /// Requests in the long window.
    pub requests: u64,
    /// Of those, the ones answered whole in time.
    pub answered: u64,
    /// Their share; `None` without requests.
    pub attainment: Option<f64>,
    /// The share that should be; `None` if the configuration has no such pipeline.
    pub objective: Option<f64>,
    /// Share of the long window's error budget that is left; below 0 when overspent.
    pub budget_left: Option<f64>,
    /// Burn rates.
    pub burn: Burn,
    /// Whether the rates are an alert.
    pub alert: Alert,
}

impl Row {
    /// Its figures as text: requests, attainment, objective, budget left, and
    /// the burn rates over the short, the middle and the long window.
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

/// Burn rates; `None` without requests or without an objective.
#[message]
#[derive(Copy)]
pub struct Burn {
    /// Over five minutes.
    pub short: Option<f64>,
    /// Over an hour.
    pub middle: Option<f64>,
    /// Over six hours.
    pub long: Option<f64>,
}

/// Whether burn rates are an alert.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No.
    Quiet,
    /// The budget goes steadily.
    Slow,
    /// The budget goes fast, and still does.
    Fast,
}

/// One reason for misses.
#[message]
pub struct Cause {
    /// The pipeline.
    pub pipeline: Arc<str>,
    /// The team.
    pub team: Arc<str>,
    /// What it says of the request.
    pub kind: Kind,
    /// The code of the refusal or the doubt.
    pub outcome: Arc<str>,
    /// The stage, where one is to blame.
    pub stage: Option<Arc<str>>,
    /// How many requests.
    pub count: u64,
    /// Their share of all misses.
    pub share: f64,
}

/// What an outcome says of its request.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Answered whole in time.
    Answered,
    /// Refused before anything ran.
    NotRun,
    /// Given up after something may have run.
    MayHaveRun,
    /// Wrong in itself.
    Invalid,
    /// A code that this version does not know; counted as a miss.
    Other,
}

/// A pipeline's attainment over time.
#[message]
pub struct Series {
    /// The pipeline.
    pub pipeline: Arc<str>,
    /// The share that should be.
    pub objective: Option<f64>,
    /// Requests and answers of each point, oldest first.
    pub points: Vec<Count>,
}

/// Requests, and those answered whole in time.
#[message]
#[derive(Copy, Eq, Default)]
pub struct Count {
    /// Requests.
    pub requests: u64,
    /// Of those, the ones answered whole in time.
    pub answered: u64,
}

impl Count {
    /// Share of requests answered whole in time.
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

/// One pipeline's, or one team's, counts over the three windows.
#[derive(Debug, Default)]
struct Windows {
    short: Count,
    middle: Count,
    long: Count,
}

/// What a row is about. All teams of a pipeline sort before each of them.
#[id]
struct Subject {
    pipeline: Arc<str>,
    team: Option<Arc<str>>,
}

/// Makes the report. `now` is in seconds of Unix time.
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

/// What an outcome's code says.
pub fn kind(code: &str) -> Kind {
    match code {
        ANSWERED => Kind::Answered,
        code if is_one_of::<RefusalKind>(code) => Kind::NotRun,
        code if is_one_of::<UncertaintyKind>(code) => Kind::MayHaveRun,
        code if is_one_of::<Invalid>(code) => Kind::Invalid,
        _ => Kind::Other,
    }
}

/// Whether the code is a name of one of the enum's variants.
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

/// The point that a slot falls in; a clock that is ahead counts as now.
fn point(slot: u64, now: u64) -> usize {
    let age = usize::try_from(now.saturating_sub(slot) / POINT_SECONDS).unwrap_or(usize::MAX);
    (POINT_COUNT - 1).saturating_sub(age)
}

fn objective(document: &Document, pipeline: &str) -> Option<f64> {
    document.pipeline(pipeline).map(|pipeline| pipeline.objective)
}
