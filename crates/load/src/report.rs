//! What a run came to: attainment, refusals, cost by stage, latency.
//!
//! A request counts as attained when its whole answer, and the right one, was
//! with its caller within the deadline, counted from the planned time.
//! Requests planned within the warm-up are left out everywhere but in the
//! timeline and the violations.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use peatdeck_macros::{data, message};

use crate::{
    fairness,
    sample::{Ending, Sample},
    work::{Ledger, USES, Use, Violation},
};

/// Length of a slot of the timeline.
pub const SLOT: Duration = Duration::from_secs(1);

/// How a report is worked out.
#[data]
pub struct Frame {
    /// What was run, in a few words.
    pub label: Arc<str>,
    /// The seed of the arrivals.
    pub seed: u64,
    /// How long requests were planned for.
    pub length: Duration,
    /// The time at the start that is left out.
    pub warm_up: Duration,
    /// The capacity, in requests a second, where it is known.
    pub capacity: Option<f64>,
    /// What was done to the system, and when.
    pub events: Vec<Event>,
    /// The teams' weights, where they are known.
    pub weights: BTreeMap<Arc<str>, u32>,
}

/// Something done to the system during the run.
#[message]
pub struct Event {
    /// When.
    pub at: Duration,
    /// What.
    pub what: Arc<str>,
}

/// A run's report.
#[message]
pub struct Report {
    /// What was run.
    pub label: Arc<str>,
    /// The seed of the arrivals.
    pub seed: u64,
    /// Seconds that count.
    pub seconds: f64,
    /// The capacity, in requests a second, where it is known.
    pub capacity: Option<f64>,
    /// Requests a second that were planned.
    pub offered: f64,
    /// Requests a second that were answered in time.
    pub goodput: f64,
    /// All requests.
    pub total: Share,
    /// By team.
    pub teams: BTreeMap<Arc<str>, Share>,
    /// What each team got of its share, see [`fairness`].
    pub of_share: BTreeMap<Arc<str>, f64>,
    /// By pipeline.
    pub pipelines: BTreeMap<Arc<str>, Share>,
    /// How many requests ended in each way.
    pub endings: BTreeMap<String, u64>,
    /// Cost by stage.
    pub stages: Vec<StageCost>,
    /// Share of all stage work that was wasted; `None` without records.
    pub waste: Option<f64>,
    /// From the planned time to the whole answer, of answers in time or late.
    pub latency: Quantiles,
    /// From the planned time to the first piece of a streamed answer.
    pub first_token: Quantiles,
    /// The tool's own delay before it sent.
    pub lag: Quantiles,
    /// Sends for each request: above 1 where callers sent again.
    pub sends: f64,
    /// Attainment over time.
    pub timeline: Vec<Slot>,
    /// What was done to the system.
    pub events: Vec<Event>,
    /// Contradictions between answers and records.
    pub violations: Vec<Violation>,
    /// Set where records are missing, so that contradictions may be unseen:
    /// the endpoints that gave none.
    pub blind: Option<Vec<Arc<str>>>,
}

/// How many of some requests were answered in time.
#[message]
#[derive(Default)]
pub struct Share {
    /// Requests planned.
    pub planned: u64,
    /// Answered whole, in time or not.
    pub answered: u64,
    /// Answered whole within the deadline.
    pub in_time: u64,
    /// Told "not run".
    pub not_run: u64,
}

impl Share {
    /// The attainment, between 0 and 1; 1 where nothing was asked.
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

/// Work spent on one stage.
#[message]
pub struct StageCost {
    /// The pipeline.
    pub pipeline: Arc<str>,
    /// The stage.
    pub stage: Arc<str>,
    /// The pool.
    pub pool: Arc<str>,
    /// Calls that endpoints took on.
    pub calls: u64,
    /// Place time of all calls, in milliseconds.
    pub busy_ms: f64,
    /// Place time by what became of it, in milliseconds.
    pub uses: BTreeMap<Use, f64>,
    /// Place time for each request of the pipeline that was answered in time,
    /// in milliseconds; `None` where none was.
    pub cost_ms: Option<f64>,
}

/// Quantiles, in milliseconds.
#[message]
#[derive(Default)]
pub struct Quantiles {
    /// How many values.
    pub count: u64,
    /// The middle.
    pub p50: f64,
    /// Nine tenths are at or below it.
    pub p90: f64,
    /// All but a hundredth are at or below it.
    pub p99: f64,
    /// All but a thousandth are at or below it.
    pub p999: f64,
    /// The largest.
    pub max: f64,
}

/// One second of the run.
#[message]
#[derive(Default)]
pub struct Slot {
    /// Requests planned in it.
    pub planned: u64,
    /// Of these, answered in time.
    pub in_time: u64,
    /// Of these, told "not run".
    pub not_run: u64,
}

impl Report {
    /// Works a report out.
    pub fn new(
        frame: &Frame,
        samples: &[Sample],
        ledger: Option<&Ledger>,
        violations: Vec<Violation>,
    ) -> Report {
        let counted: Vec<&Sample> =
            samples.iter().filter(|sample| sample.planned >= frame.warm_up).collect();
        let seconds = frame.length.saturating_sub(frame.warm_up).as_secs_f64();
        let mut total = Share::default();
        counted.iter().for_each(|sample| total.add(sample));
        let teams = shares(&counted, |sample| sample.team.clone());
        let stages = ledger.map_or_else(Vec::new, |ledger| stage_costs(&counted, ledger));
        Report {
            label: frame.label.clone(),
            seed: frame.seed,
            seconds,
            capacity: frame.capacity,
            offered: total.planned as f64 / seconds,
            goodput: total.in_time as f64 / seconds,
            of_share: fairness::of_share(&frame.weights, &teams),
            teams,
            pipelines: shares(&counted, |sample| sample.pipeline.clone()),
            endings: endings(&counted),
            waste: ledger.map(|_| waste(&stages)),
            stages,
            latency: answered(&counted, |sample| Some(sample.took)),
            first_token: answered(&counted, |sample| sample.first_token),
            lag: Quantiles::of(counted.iter().map(|sample| sample.lag)),
            sends: mean(counted.iter().map(|sample| f64::from(sample.sends))),
            timeline: timeline(frame.length, samples),
            events: frame.events.clone(),
            violations,
            blind: None,
            total,
        }
    }
}

impl Quantiles {
    /// Quantiles of durations.
    pub fn of(values: impl Iterator<Item = Duration>) -> Quantiles {
        let mut histogram = Histogram::<u64>::new_with_max(LONGEST, SIGNIFICANT)
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

/// The longest time that is told apart, in microseconds: an hour.
const LONGEST: u64 = 3_600_000_000;
/// Significant digits of recorded times.
const SIGNIFICANT: u8 = 3;
/// Microseconds in a millisecond.
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

fn stage_costs(samples: &[&Sample], ledger: &Ledger) -> Vec<StageCost> {
    let mut costs: BTreeMap<(Arc<str>, u32), StageCost> = BTreeMap::new();
    for sample in samples {
        for (work, usage) in ledger.uses(sample) {
            let key = (sample.pipeline.clone(), work.stage);
            let cost = costs.entry(key).or_insert_with(|| StageCost {
                pipeline: sample.pipeline.clone(),
                stage: work.name.clone(),
                pool: work.pool.clone(),
                calls: 0,
                busy_ms: 0.0,
                uses: USES.into_iter().map(|usage| (usage, 0.0)).collect(),
                cost_ms: None,
            });
            let busy = work.busy.as_secs_f64() * MICROS_IN_MILLI;
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

fn answered(samples: &[&Sample], time: impl Fn(&Sample) -> Option<Duration>) -> Quantiles {
    let answered = samples.iter().filter(|sample| sample.ending == Ending::Answered);
    Quantiles::of(answered.filter_map(|sample| time(sample)))
}

fn timeline(length: Duration, samples: &[Sample]) -> Vec<Slot> {
    let count = length.as_secs_f64() / SLOT.as_secs_f64();
    let mut slots = vec![Slot::default(); count.ceil() as usize];
    for sample in samples {
        let index = (sample.planned.as_secs_f64() / SLOT.as_secs_f64()) as usize;
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
