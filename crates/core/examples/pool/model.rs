//! Variants and scenarios of the trials, and their outcomes.

use std::time::Duration;

/// How an instance chooses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// A random free endpoint.
    Random,
    /// The routing of `peatdeck_core`.
    BuiltIn,
}

/// Which mechanisms are enabled.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    /// Name in the table.
    pub name: &'static str,
    /// How an instance chooses an endpoint.
    pub choice: Choice,
    /// Whether peers exchange their counts of calls in flight.
    pub peers: bool,
    /// Whether load reports of endpoints are used.
    pub reports: bool,
    /// Whether concurrency limits adapt.
    pub adaptive: bool,
    /// Whether infeasible requests are refused.
    pub admission: bool,
    /// Whether stragglers are hedged.
    pub hedges: bool,
    /// Whether failing endpoints are ejected.
    pub ejection: bool,
}

impl Variant {
    /// All mechanisms enabled.
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

    /// All mechanisms disabled.
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

/// Fault of a trial; it begins after a third of the trial unless stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The service times of one endpoint are ten times as long.
    Straggler,
    /// Two endpoints refuse connections.
    Killed,
    /// Load reports arrive five seconds late, from the start of the trial.
    LateReports,
}

impl Fault {
    /// Name in the table.
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
    /// Rate of arrivals divided by the capacity of the pool.
    pub load: f64,
    /// Mean service time.
    pub mean: Duration,
    /// Fault during the trial.
    pub fault: Fault,
}

impl Scenario {
    /// Name in the table.
    pub fn name(&self) -> String {
        let (load, mean, fault) = (self.load, self.mean, self.fault.name());
        format!("load {load} of capacity, calls of {mean:?}, {fault}")
    }
}

/// Result of a trial.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Latencies of the requests answered in time.
    pub times: Vec<Duration>,
    /// Time that endpoints spent on calls.
    pub work: Duration,
    /// Time that endpoints spent on calls whose reply was used.
    pub useful: Duration,
}

impl Outcome {
    /// Share of requests answered in time.
    pub fn in_time_share(&self) -> f64 {
        self.times.len() as f64 / self.arrived as f64
    }

    /// Share of the endpoints' time spent on calls whose reply was not used.
    pub fn wasted_share(&self) -> f64 {
        1.0 - self.useful.as_secs_f64() / self.work.as_secs_f64()
    }

    /// The 99th percentile of the latencies, in seconds.
    pub fn p99(&self) -> f64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        times.get(times.len() * 99 / 100).map_or(0.0, Duration::as_secs_f64)
    }
}
