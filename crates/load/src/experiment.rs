//! One run, whole: requests sent, faults brought about, records read, a report.

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
    report::{Event, Frame, Report},
    sample::Sample,
    schedule::{Fault, Kind},
    system::System,
    verify::Verifier,
    work::Ledger,
};

/// Time that the threads get to set up before the first request is due.
const SET_UP: Duration = Duration::from_millis(300);
/// Time that endpoints get to end what callers no longer wait for.
const SETTLE: Duration = Duration::from_millis(500);

/// What is tried.
#[derive(Debug)]
pub enum Target {
    /// Processes that somebody else started.
    Given(Given),
    /// A system that the tool started.
    Started(Box<System>),
}

/// Processes that somebody else started.
#[data]
#[derive(Default)]
pub struct Given {
    /// Entry instances, `http://ip:port`.
    pub entries: Vec<Arc<str>>,
    /// The platform's list, to find the endpoints' records by.
    pub list: Option<Arc<str>>,
    /// The configuration in force, to compare answers by.
    pub document: Option<Arc<Document>>,
}

/// How the requests are sent and counted.
#[data]
pub struct Setup {
    /// What is run, in a few words.
    pub label: Arc<str>,
    /// The seed of the arrivals.
    pub seed: u64,
    /// How long requests are planned for.
    pub length: Duration,
    /// The time at the start that does not count.
    pub warm_up: Duration,
    /// The capacity, where it is known.
    pub capacity: Option<f64>,
    /// What is done to the system.
    pub faults: Vec<Fault>,
    /// How often a caller sends again.
    pub resends: u32,
    /// Threads that send.
    pub threads: usize,
    /// Whether requests go past the entries.
    pub direct: bool,
    /// Whether the endpoints' records are read: cost and contradictions need them.
    pub records: bool,
}

/// What a run gave.
#[data]
pub struct Outcome {
    /// The report.
    pub report: Report,
    /// Every request's end.
    pub samples: Vec<Sample>,
}

impl Target {
    /// The entries' URLs.
    pub fn entries(&self) -> Vec<Arc<str>> {
        match self {
            Target::Given(given) => given.entries.clone(),
            Target::Started(system) => system.entries(),
        }
    }

    /// The configuration in force, where it is known.
    pub fn document(&self) -> Option<Arc<Document>> {
        match self {
            Target::Given(given) => given.document.clone(),
            Target::Started(system) => Some(system.document()),
        }
    }

    /// The platform's list; empty where its URL is not known.
    ///
    /// # Errors
    /// If it cannot be read.
    pub fn listing(&self) -> error::Result<Listing> {
        match self {
            Target::Given(given) => {
                given.list.as_deref().map_or_else(|| Ok(Listing::default()), records::listing)
            }
            Target::Started(system) => records::listing(&system.list()),
        }
    }

    /// The endpoints' records; `None` where they are not to be had.
    fn records(&self) -> error::Result<Option<Records>> {
        match self {
            Target::Given(Given { list: None, .. }) => Ok(None),
            Target::Given(_) => Ok(Some(records::read(&self.listing()?.endpoints))),
            Target::Started(system) => Ok(Some(system.records())),
        }
    }
}

/// Runs a plan against a target.
///
/// # Errors
/// If a fault cannot be brought about or the records cannot be read.
pub fn run(target: &mut Target, setup: &Setup, arrivals: &[Arrival]) -> error::Result<Outcome> {
    check_faults(target, &setup.faults)?;
    let driver = driver(target, setup)?;
    let start = Instant::now() + SET_UP;
    let events = Mutex::new(Vec::new());
    let samples = thread::scope(|scope| {
        let sending = scope.spawn(|| driver.run(arrivals, start));
        let brought = bring(target, &setup.faults, start, &events);
        let samples = sending.join().expect("the sending threads do not panic");
        brought.map(|()| samples)
    })?;
    let events = events.into_inner().unwrap_or_else(PoisonError::into_inner);
    if let Target::Started(system) = target {
        system.mend()?;
    }
    thread::sleep(SETTLE);
    let report = report(target, setup, &samples, events)?;
    Ok(Outcome { report, samples })
}

fn driver(target: &Target, setup: &Setup) -> error::Result<Driver> {
    let document = target.document();
    let verifier = document.clone().map_or_else(Verifier::off, Verifier::standins);
    let route = match (setup.direct, document) {
        (true, Some(document)) => {
            let chains = crate::direct::Chains::new(document, &target.listing()?);
            Route::Direct(Arc::new(chains))
        }
        _ => Route::Entries(Arc::new(Balancer::new(&target.entries()))),
    };
    Ok(Driver { route, verifier, resends: setup.resends, threads: setup.threads })
}

/// Bursts are part of the arrivals; everything else needs a started system.
fn check_faults(target: &Target, faults: &[Fault]) -> error::Result<()> {
    match target {
        Target::Started(system) => faults.iter().try_for_each(|fault| system.check(&fault.kind)),
        Target::Given(_) => {
            let other = faults.iter().find(|fault| !matches!(fault.kind, Kind::Burst { .. }));
            match other {
                Some(fault) => Err(error::Error::NeedsPreset(fault.kind.label())),
                None => Ok(()),
            }
        }
    }
}

/// One step of the schedule: a fault begins, or ends.
struct Step {
    at: Duration,
    kind: Kind,
    begins: bool,
}

fn steps(faults: &[Fault]) -> Vec<Step> {
    let mut steps = Vec::new();
    for fault in faults {
        steps.push(Step { at: fault.at, kind: fault.kind.clone(), begins: true });
        if let Some(length) = fault.kind.length() {
            steps.push(Step { at: fault.at + length, kind: fault.kind.clone(), begins: false });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn bring(
    target: &mut Target,
    faults: &[Fault],
    start: Instant,
    events: &Mutex<Vec<Event>>,
) -> error::Result<()> {
    for step in steps(faults) {
        thread::sleep((start + step.at).saturating_duration_since(Instant::now()));
        let what = match target {
            Target::Started(system) if step.begins => system.bring(&step.kind)?,
            Target::Started(system) => system.end(&step.kind)?,
            Target::Given(_) => step.kind.label(),
        };
        let what = if step.begins { what } else { format!("end of {what}") };
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
    let frame = Frame {
        label: setup.label.clone(),
        seed: setup.seed,
        length: setup.length,
        warm_up: setup.warm_up,
        capacity: setup.capacity,
        events,
        weights: fairness::weights(&document),
    };
    let records = if setup.records { target.records()? } else { None };
    let Some(records) = records else {
        let violations = Ledger::new([]).violations(samples, &document);
        return Ok(Report::new(&frame, samples, None, violations));
    };
    let blind = records.dropped + records.unread.len() as u64;
    let unread = records.unread;
    let ledger = Ledger::new(records.works);
    let violations = ledger.violations(samples, &document);
    let report = Report::new(&frame, samples, Some(&ledger), violations);
    Ok(Report { blind: (blind > 0).then_some(unread), ..report })
}
