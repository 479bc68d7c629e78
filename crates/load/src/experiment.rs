//! A whole run: sends requests, injects faults, reads the records and computes a report.

use std::{
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use peatdeck_core::{document::Document, model::Listing};
use peatdeck_macros::data;

use crate::{
    arrivals::Arrival,
    balancer::Balancer,
    driver::{Driver, Route},
    error, fairness,
    records::{self, Records},
    report::{Event, Report, ReportParams},
    sample::Sample,
    schedule::{Fault, FaultKind},
    system::System,
    verify::Verifier,
    work::CallIndex,
};

/// Time for the threads to set up before the plan starts.
const START_DELAY: Duration = Duration::from_millis(300);
/// Time for endpoints to end calls for which no caller waits any more, before the records are read.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The system that requests are sent to.
#[derive(Debug)]
pub enum Target {
    /// Processes that the tool did not start.
    External(ExternalSystem),
    /// A system that the tool started.
    Started(Box<System>),
}

/// A system that the tool did not start.
#[data]
#[derive(Default)]
pub struct ExternalSystem {
    /// URLs of the entry instances, `http://ip:port`.
    pub entries: Vec<Arc<str>>,
    /// URL of the platform's list, through which the endpoints' records are found.
    pub list: Option<Arc<str>>,
    /// The configuration in force, to verify answers.
    pub document: Option<Arc<Document>>,
}

/// How requests are sent and results computed.
#[data]
pub struct Setup {
    /// Label of the run in reports.
    pub label: Arc<str>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length of the plan.
    pub length: Duration,
    /// Time at the start that is left out of the results.
    pub warm_up: Duration,
    /// The capacity in requests a second; `None` if it is not known.
    pub capacity: Option<f64>,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Most resends of one request.
    pub resends: u32,
    /// Number of sending threads.
    pub threads: usize,
    /// Whether requests go directly to the endpoints.
    pub is_direct: bool,
    /// Whether the endpoints' records are read; needed for costs and contradictions.
    pub reads_records: bool,
}

/// Result of a run.
#[data]
pub struct Outcome {
    /// The report.
    pub report: Report,
    /// One sample for each request.
    pub samples: Vec<Sample>,
}

impl Target {
    /// URLs of the entries.
    pub fn entries(&self) -> Vec<Arc<str>> {
        match self {
            Target::External(external) => external.entries.clone(),
            Target::Started(system) => system.entries(),
        }
    }

    /// The configuration in force; `None` if it is not known.
    pub fn document(&self) -> Option<Arc<Document>> {
        match self {
            Target::External(external) => external.document.clone(),
            Target::Started(system) => Some(system.document()),
        }
    }

    /// The platform's list; empty if its URL is not known.
    ///
    /// # Errors
    /// If it cannot be read.
    pub fn listing(&self) -> error::Result<Listing> {
        match self {
            Target::External(external) => {
                external.list.as_deref().map_or_else(|| Ok(Listing::default()), records::listing)
            }
            Target::Started(system) => records::listing(&system.list()),
        }
    }

    /// The endpoints' records; `None` if the URL of the list is not known.
    fn records(&self) -> error::Result<Option<Records>> {
        match self {
            Target::External(ExternalSystem { list: None, .. }) => Ok(None),
            Target::External(_) => Ok(Some(records::read(&self.listing()?.endpoints))),
            Target::Started(system) => Ok(Some(system.records())),
        }
    }
}

/// Sends the arrivals to a target and computes the report.
///
/// # Errors
/// If a fault cannot be injected, or the list of endpoints cannot be read.
pub fn run(target: &mut Target, setup: &Setup, arrivals: &[Arrival]) -> error::Result<Outcome> {
    check_faults(target, &setup.faults)?;
    let driver = driver(target, setup)?;
    let start = Instant::now() + START_DELAY;
    let events = Mutex::new(Vec::new());
    let samples = thread::scope(|scope| {
        let sending = scope.spawn(|| driver.run(arrivals, start));
        let injected = inject_faults(target, &setup.faults, start, &events);
        let samples = sending.join().expect("the sending threads do not panic");
        injected.map(|()| samples)
    })?;
    let events = events.into_inner().unwrap_or_else(PoisonError::into_inner);
    if let Target::Started(system) = target {
        system.revert_all()?;
    }
    thread::sleep(SETTLE_TIME);
    let report = report(target, setup, &samples, events)?;
    Ok(Outcome { report, samples })
}

fn driver(target: &Target, setup: &Setup) -> error::Result<Driver> {
    let document = target.document();
    let verifier = document.clone().map_or_else(Verifier::disabled, Verifier::for_standins);
    let route = match (setup.is_direct, document) {
        (true, Some(document)) => {
            let client = crate::direct::DirectClient::new(document, &target.listing()?);
            Route::Direct(Arc::new(client))
        }
        _ => Route::Entries(Arc::new(Balancer::new(&target.entries()))),
    };
    Ok(Driver { route, verifier, resends: setup.resends, threads: setup.threads })
}

/// Checks that all faults can be injected. Bursts are part of the arrivals; any other fault needs
/// a system that the tool started.
fn check_faults(target: &Target, faults: &[Fault]) -> error::Result<()> {
    match target {
        Target::Started(system) => faults.iter().try_for_each(|fault| system.check(&fault.kind)),
        Target::External(_) => {
            let other = faults.iter().find(|fault| !matches!(fault.kind, FaultKind::Burst { .. }));
            match other {
                Some(fault) => Err(error::Error::NeedsPreset(fault.kind.label())),
                None => Ok(()),
            }
        }
    }
}

/// One step of the schedule: the start or the end of a fault.
struct Step {
    at: Duration,
    kind: FaultKind,
    is_start: bool,
}

fn steps(faults: &[Fault]) -> Vec<Step> {
    let mut steps = Vec::new();
    for fault in faults {
        steps.push(Step { at: fault.at, kind: fault.kind.clone(), is_start: true });
        if let Some(length) = fault.kind.length() {
            steps.push(Step { at: fault.at + length, kind: fault.kind.clone(), is_start: false });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn inject_faults(
    target: &mut Target,
    faults: &[Fault],
    start: Instant,
    events: &Mutex<Vec<Event>>,
) -> error::Result<()> {
    for step in steps(faults) {
        thread::sleep((start + step.at).saturating_duration_since(Instant::now()));
        let what = match target {
            Target::Started(system) if step.is_start => system.inject(&step.kind)?,
            Target::Started(system) => system.revert(&step.kind)?,
            Target::External(_) => step.kind.label(),
        };
        let what = if step.is_start { what } else { format!("end of {what}") };
        let event = Event { at: start.elapsed(), what: what.into() };
        events.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }
    Ok(())
}

fn report(
    target: &Target,
    setup: &Setup,
    samples: &[Sample],
    events: Vec<Event>,
) -> error::Result<Report> {
    let document = target.document().unwrap_or_default();
    let params = ReportParams {
        label: setup.label.clone(),
        seed: setup.seed,
        length: setup.length,
        warm_up: setup.warm_up,
        capacity: setup.capacity,
        events,
        weights: fairness::weights(&document),
    };
    let records = if setup.reads_records { target.records()? } else { None };
    let Some(records) = records else {
        let violations = CallIndex::new([]).violations(samples, &document);
        return Ok(Report::new(&params, samples, None, violations));
    };
    let missing = records.dropped + records.unread.len() as u64;
    let unread = records.unread;
    let index = CallIndex::new(records.calls);
    let violations = index.violations(samples, &document);
    let report = Report::new(&params, samples, Some(&index), violations);
    Ok(Report { blind: (missing > 0).then_some(unread), ..report })
}
