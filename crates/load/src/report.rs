//! Computes the report of a run: attainment, refusals, cost by stage, latency.
//!
//! Attainment is the share of requests whose caller received the complete and
//! correct answer within the deadline, counted from the planned time. Requests
//! planned within the warm-up are included only in the timeline and the
//! violations.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use peatdeck_macros::{data, message};

use crate::{
    fairness,
    sample::{Ending, Sample},
    work::{CallIndex, USES, Use, Violation},
};

/// Length of a [`Slot`] of the timeline.
pub const SLOT_LENGTH: Duration = Duration::from_secs(1);

/// Parameters of a report.
#[data]
pub struct ReportParams {
    /// Label of the run.
    pub label: Arc<str>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length of the plan.
    pub length: Duration,
    /// Time at the start that is left out of the results.
    pub warm_up: Duration,
    /// The capacity in requests a second; `None` if it is not known.
    pub capacity: Option<f64>,
    /// Faults that were injected and reverted.
    pub events: Vec<Event>,
    /// Weights of the teams; empty if they are not known.
    pub weights: BTreeMap<Arc<str>, u32>,
}

/// Start or end of a fault during the run.
#[message]
pub struct Event {
    /// Time from the start of the run.
    pub at: Duration,
    /// Description of the fault.
    pub what: Arc<str>,
}

/// Report of a run.
#[message]
pub struct Report {
    /// Label of the run.
    pub label: Arc<str>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length of the run without the warm-up, in seconds.
    pub seconds: f64,
    /// The capacity in requests a second; `None` if it is not known.
    pub capacity: Option<f64>,
    /// Planned requests a second.
    pub offered: f64,
    /// Requests a second answered in time.
    pub goodput: f64,
    /// Counts over all requests.
    pub total: Share,
    /// Counts by team.
    pub teams: BTreeMap<Arc<str>, Share>,
    /// Ratio of each team's requests answered in time to its entitlement, see [`fairness`].
    pub of_share: BTreeMap<Arc<str>, f64>,
    /// Counts by pipeline.
    pub pipelines: BTreeMap<Arc<str>, Share>,
    /// Number of requests by [`Ending::label`]; late answers are `answered_late`.
    pub endings: BTreeMap<String, u64>,
    /// Cost by stage; empty without records.
    pub stages: Vec<StageCost>,
    /// Share of all slot time that was not [`Use::Useful`]; `None` without records.
    pub waste: Option<f64>,
    /// Time from the planned time to the complete answer, for answers in time or late.
    pub latency: Quantiles,
    /// Time from the planned time to the first piece of a streamed answer.
    pub first_token: Quantiles,
    /// Delay of the tool itself between the planned time and the first send.
    pub lag: Quantiles,
    /// Mean number of sends per request; above 1 if requests were resent.
    pub sends: f64,
    /// Attainment over time.
    pub timeline: Vec<Slot>,
    /// Faults that were injected and reverted.
    pub events: Vec<Event>,
    /// Contradictions between answers and the endpoints' records.
    pub violations: Vec<Violation>,
    /// Set if records are missing, so that contradictions may go undetected.
    /// Lists the endpoints whose records could not be read.
    pub blind: Option<Vec<Arc<str>>>,
}

/// Counts of a group of requests.
#[message]
#[derive(Default)]
pub struct Share {
    /// Planned requests.
    pub planned: u64,
    /// Answered completely and correctly, in time or late.
    pub answered: u64,
    /// Answered completely and correctly within the deadline.
    pub in_time: u64,
    /// Refused with the outcome "not run".
    pub not_run: u64,
}

impl Share {
    /// The attainment, between 0 and 1; 1 if no request was planned.
    pub fn attainment(&self) -> f64 {
        if self.planned == 0 { 1.0 } else { ratio(self.in_time, self.planned) }
    }

    fn add(&mut self, sample: &Sample) {
        self.planned += 1;
        self.answered += u64::from(sample.ending == Ending::Answered);
        self.in_time += u64::from(sample.in_time());
        self.not_run += u64::from(matches!(sample.ending, Ending::NotRun(_)));
    }
}

/// Endpoint time spent on one stage.
#[message]
pub struct StageCost {
    /// Name of the pipeline.
    pub pipeline: Arc<str>,
    /// Name of the stage.
    pub stage: Arc<str>,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Calls that endpoints ran.
    pub calls: u64,
    /// Slot time of all calls, in milliseconds.
    pub busy_ms: f64,
    /// Slot time by its use, in milliseconds.
    pub uses: BTreeMap<Use, f64>,
    /// Slot time per request of the pipeline that was answered in time, in
    /// milliseconds; `None` if none was.
    pub cost_ms: Option<f64>,
}

/// Quantiles of times, in milliseconds.
#[message]
#[derive(Default)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest value.
    pub max: f64,
}

/// One second of the run.
#[message]
#[derive(Default)]
pub struct Slot {
    /// Requests planned in this second.
    pub planned: u64,
    /// Of these, requests answered in time.
    pub in_time: u64,
    /// Of these, requests refused with the outcome "not run".
    pub not_run: u64,
}

impl Report {
    /// Computes the report. Without `index` it has no costs.
    pub fn new(
        params: &ReportParams,
        samples: &[Sample],
        index: Option<&CallIndex>,
        violations: Vec<Violation>,
    ) -> Report {
        let counted: Vec<&Sample> =
            samples.iter().filter(|sample| sample.planned >= params.warm_up).collect();
        let seconds = params.length.saturating_sub(params.warm_up).as_secs_f64();
        let mut total = Share::default();
        counted.iter().for_each(|sample| total.add(sample));
        let teams = shares(&counted, |sample| sample.team.clone());
        let stages = index.map_or_else(Vec::new, |index| stage_costs(&counted, index));
        Report {
            label: params.label.clone(),
            seed: params.seed,
            seconds,
            capacity: params.capacity,
            offered: total.planned as f64 / seconds,
            goodput: total.in_time as f64 / seconds,
            of_share: fairness::entitlement_ratios(&params.weights, &teams),
            teams,
            pipelines: shares(&counted, |sample| sample.pipeline.clone()),
            endings: endings(&counted),
            waste: index.map(|_| waste(&stages)),
            stages,
            latency: answer_quantiles(&counted, |sample| Some(sample.took)),
            first_token: answer_quantiles(&counted, |sample| sample.first_token),
            lag: Quantiles::from_durations(counted.iter().map(|sample| sample.lag)),
            sends: mean(counted.iter().map(|sample| f64::from(sample.sends))),
            timeline: timeline(params.length, samples),
            events: params.events.clone(),
            violations,
            blind: None,
            total,
        }
    }
}

impl Quantiles {
    /// Computes the quantiles of durations.
    pub fn from_durations(values: impl Iterator<Item = Duration>) -> Quantiles {
        let mut histogram = Histogram::<u64>::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS)
            .expect("the bounds are within what the histogram allows");
        for value in values {
            let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        if histogram.is_empty() {
            return Quantiles::default();
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_IN_MILLI;
        Quantiles {
            count: histogram.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / MICROS_IN_MILLI,
        }
    }
}

/// Longest time that the histogram distinguishes, in microseconds: an hour.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_IN_MILLI: f64 = 1000.0;

fn shares(samples: &[&Sample], key: impl Fn(&Sample) -> Arc<str>) -> BTreeMap<Arc<str>, Share> {
    let mut shares: BTreeMap<Arc<str>, Share> = BTreeMap::new();
    for sample in samples {
        shares.entry(key(sample)).or_default().add(sample);
    }
    shares
}

fn endings(samples: &[&Sample]) -> BTreeMap<String, u64> {
    let mut endings = BTreeMap::new();
    for sample in samples {
        let late = sample.ending == Ending::Answered && !sample.in_time();
        let label = if late { "answered_late".to_owned() } else { sample.ending.label() };
        *endings.entry(label).or_default() += 1;
    }
    endings
}

fn stage_costs(samples: &[&Sample], index: &CallIndex) -> Vec<StageCost> {
    let mut costs: BTreeMap<(Arc<str>, u32), StageCost> = BTreeMap::new();
    for sample in samples {
        for (call, usage) in index.uses(sample) {
            let key = (sample.pipeline.clone(), call.stage);
            let cost = costs.entry(key).or_insert_with(|| StageCost {
                pipeline: sample.pipeline.clone(),
                stage: call.name.clone(),
                pool: call.pool.clone(),
                calls: 0,
                busy_ms: 0.0,
                uses: USES.into_iter().map(|usage| (usage, 0.0)).collect(),
                cost_ms: None,
            });
            let busy = call.busy.as_secs_f64() * MICROS_IN_MILLI;
            cost.calls += 1;
            cost.busy_ms += busy;
            *cost.uses.entry(usage).or_default() += busy;
        }
    }
    let mut costs: Vec<StageCost> = costs.into_values().collect();
    for cost in &mut costs {
        let in_time = samples
            .iter()
            .filter(|sample| sample.pipeline == cost.pipeline && sample.in_time())
            .count();
        cost.cost_ms = (in_time > 0).then(|| cost.busy_ms / in_time as f64);
    }
    costs
}

fn waste(stages: &[StageCost]) -> f64 {
    let busy: f64 = stages.iter().map(|stage| stage.busy_ms).sum();
    let useful: f64 = stages.iter().filter_map(|stage| stage.uses.get(&Use::Useful)).sum();
    if busy == 0.0 { 0.0 } else { 1.0 - useful / busy }
}

fn answer_quantiles(samples: &[&Sample], time: impl Fn(&Sample) -> Option<Duration>) -> Quantiles {
    let answered = samples.iter().filter(|sample| sample.ending == Ending::Answered);
    Quantiles::from_durations(answered.filter_map(|sample| time(sample)))
}

fn timeline(length: Duration, samples: &[Sample]) -> Vec<Slot> {
    let count = length.as_secs_f64() / SLOT_LENGTH.as_secs_f64();
    let mut slots = vec![Slot::default(); count.ceil() as usize];
    for sample in samples {
        let index = (sample.planned.as_secs_f64() / SLOT_LENGTH.as_secs_f64()) as usize;
        let Some(slot) = slots.get_mut(index) else { continue };
        slot.planned += 1;
        slot.in_time += u64::from(sample.in_time());
        slot.not_run += u64::from(matches!(sample.ending, Ending::NotRun(_)));
    }
    slots
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len();
    if count == 0 { 0.0 } else { values.sum::<f64>() / count as f64 }
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
