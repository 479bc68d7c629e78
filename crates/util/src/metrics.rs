//! Counters, gauges and timings, sent over UDP in the statsd format or collected
//! in a [`Registry`] that is read over HTTP.

use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cadence::{Counted, Gauged, MetricSink, NopMetricSink, StatsdClient, Timed, UdpMetricSink};
use hdrhistogram::Histogram;

/// Prefix of every metric's name.
pub const PREFIX: &str = "peatdeck";

/// Records metrics and passes them to a UDP socket, a [`Registry`] or nowhere.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Rc<StatsdClient>,
}

impl Metrics {
    /// Discards all metrics.
    pub fn off() -> Metrics {
        Metrics { client: Rc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)) }
    }

    /// Sends metrics to `addr`. Sending never blocks; what cannot be sent is dropped.
    ///
    /// # Errors
    /// If no UDP socket can be opened.
    pub fn to(addr: SocketAddr) -> std::io::Result<Metrics> {
        let any = if addr.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
        Ok(Metrics { client: Rc::new(StatsdClient::from_sink(PREFIX, sink)) })
    }

    /// Collects metrics in a registry.
    pub fn into_registry(registry: &Arc<Registry>) -> Metrics {
        let sink = RegistrySink { registry: registry.clone() };
        Metrics { client: Rc::new(StatsdClient::from_sink(PREFIX, sink)) }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: u64) {
        let by = i64::try_from(by).unwrap_or(i64::MAX);
        self.client.count(name, by).ok();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge(name, value).ok();
    }

    /// Records a timing.
    pub fn time(&self, name: &str, took: Duration) {
        self.client.time(name, took).ok();
    }
}

/// Quantiles of a timing in [`Registry::render`].
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Maximum timing, in milliseconds; longer ones are recorded as this value.
const MAX_TIMING_MS: u64 = 600_000;

/// Counters, gauges and timings since the start of the process.
#[derive(Debug, Default)]
pub struct Registry {
    values: Mutex<Values>,
}

#[derive(Debug, Default)]
struct Values {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    timings: BTreeMap<String, Histogram<u32>>,
}

impl Registry {
    /// An empty registry.
    pub fn new() -> Arc<Registry> {
        Arc::default()
    }

    /// All values as text, with one name and value per line. A timing has a line
    /// for its count and one for each quantile, in milliseconds.
    pub fn render(&self) -> String {
        let values = self.lock();
        let mut text = String::new();
        for (name, value) in values.counters.iter().chain(&values.gauges) {
            writeln!(text, "{name} {value}").expect("writing to a string cannot fail");
        }
        for (name, timing) in &values.timings {
            writeln!(text, "{name}.count {}", timing.len())
                .expect("writing to a string cannot fail");
            for quantile in QUANTILES {
                let value = timing.value_at_quantile(quantile);
                writeln!(text, "{name}.p{} {value}", quantile * 100.0)
                    .expect("writing to a string cannot fail");
            }
        }
        text
    }

    /// Records one metric in the statsd format, `name:value|kind`. `None` if it is
    /// malformed.
    fn record(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let value: u64 = value.parse().ok()?;
        let mut values = self.lock();
        match kind {
            "c" => *values.counters.entry(name.to_owned()).or_default() += value,
            "g" => drop(values.gauges.insert(name.to_owned(), value)),
            _ => {
                let timing = values.timings.entry(name.to_owned()).or_insert_with(new_timing);
                timing.saturating_record(value);
            }
        }
        Some(())
    }

    fn lock(&self) -> MutexGuard<'_, Values> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_timing() -> Histogram<u32> {
    Histogram::new_with_max(MAX_TIMING_MS, 2).expect("the bounds are valid")
}

#[derive(Debug)]
struct RegistrySink {
    registry: Arc<Registry>,
}

impl MetricSink for RegistrySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.registry.record(metric);
        Ok(metric.len())
    }
}
