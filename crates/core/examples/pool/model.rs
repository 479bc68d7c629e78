//! What a trial varies, and what comes of it.

use std::time::Duration;

/// How an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Any free one.
    Random,
    /// As the product does.
    BuiltIn,
}

/// Which decisions are on.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    /// Its name in the table.
    pub name: &'static str,
    /// How an endpoint is chosen.
    pub choice: Choice,
    /// Whether peers tell their calls in flight.
    pub peers: bool,
    /// Whether endpoints' reports are heeded.
    pub reports: bool,
    /// Whether limits adapt.
    pub adaptive: bool,
    /// Whether infeasible requests are refused.
    pub admission: bool,
    /// Whether stragglers are hedged.
    pub hedges: bool,
    /// Whether failing endpoints are ejected.
    pub ejection: bool,
}

impl Variant {
    /// Everything on.
    pub fn full() -> Variant {
        Variant {
            name: "full",
            choice: Choice::BuiltIn,
            peers: true,
            reports: true,
            adaptive: true,
            admission: true,
            hedges: true,
            ejection: true,
        }
    }

    /// Everything off.
    pub fn baseline() -> Variant {
        Variant {
            name: "baseline",
            choice: Choice::Random,
            peers: false,
            reports: false,
            adaptive: false,
            admission: false,
            hedges: false,
            ejection: false,
        }
    }
}

/// What goes wrong, from a third of the trial on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One endpoint takes ten times its time.
    Straggler,
    /// Two endpoints refuse connections.
    Killed,
    /// Load reports are five seconds late, from the start.
    LateReports,
}

impl Fault {
    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Fault::None => "quiet",
            Fault::Straggler => "one endpoint at ten times its time",
            Fault::Killed => "two endpoints killed",
            Fault::LateReports => "load reports 5 s late",
        }
    }
}

/// Load and fault of a trial.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Arrivals over capacity.
    pub load: f64,
    /// Mean service time.
    pub mean: Duration,
    /// The fault.
    pub fault: Fault,
}

impl Scenario {
    /// Its name in the table.
    pub fn name(&self) -> String {
        let (load, mean, fault) = (self.load, self.mean, self.fault.name());
        format!("load {load} of capacity, calls of {mean:?}, {fault}")
    }
}

/// What came of a trial.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests that arrived.
    pub arrived: u64,
    /// Times of those answered in time.
    pub times: Vec<Duration>,
    /// Endpoint work done.
    pub work: Duration,
    /// Endpoint work whose reply was taken.
    pub useful: Duration,
}

impl Outcome {
    /// Share answered in time.
    pub fn attained(&self) -> f64 {
        self.times.len() as f64 / self.arrived as f64
    }

    /// Share of endpoint work that no reply was taken from.
    pub fn wasted(&self) -> f64 {
        1.0 - self.useful.as_secs_f64() / self.work.as_secs_f64()
    }

    /// The 99th percentile of the times, in seconds.
    pub fn p99(&self) -> f64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        times.get(times.len() * 99 / 100).map_or(0.0, Duration::as_secs_f64)
    }
}
