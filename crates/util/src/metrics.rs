//! Counters, gauges and timings over UDP in the statsd format.

use std::{
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

/// Prefix of every metric's name.
pub const PREFIX: &str = "peatdeck";

/// A sink of metrics; one that goes nowhere when no address is set.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Rc<StatsdClient>,
}

impl Metrics {
    /// Metrics that go nowhere.
    pub fn off() -> Metrics {
        Metrics { client: Rc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)) }
    }

    /// Metrics sent to `addr`. Sending never blocks; what cannot be sent is dropped.
    ///
    /// # Errors
    /// If no UDP socket can be had.
    pub fn to(addr: SocketAddr) -> std::io::Result<Metrics> {
        let any = if addr.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
        Ok(Metrics { client: Rc::new(StatsdClient::from_sink(PREFIX, sink)) })
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
