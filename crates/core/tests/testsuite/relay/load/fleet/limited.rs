//! A simulated engine that states a limit for a while and records the calls that it gets.

use std::{collections::HashMap, ops::Range, sync::Arc, time::Duration};

use peatdeck_core::relay::terms::Rate;

use crate::relay::fixture::ms;

/// The period in which calls are counted against the limit.
const WINDOW: Duration = Duration::from_secs(4);
/// An instance has to respect the limit this long after the first reply that stated it.
const GRACE: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub struct LimitedEngine {
    addr: Arc<str>,
    active: Range<Duration>,
    rate: f64,
    informed_at: HashMap<usize, Duration>,
    /// When it was called by instances that had to respect the limit.
    from_informed: Vec<Duration>,
    all_calls: Vec<Duration>,
}

impl LimitedEngine {
    /// An engine that accepts `rate` calls per second from all instances together.
    pub fn new(engine: usize, active: Range<Duration>, rate: f64) -> LimitedEngine {
        let addr = Arc::from(format!("e{engine}:80"));
        LimitedEngine {
            addr,
            active,
            rate,
            informed_at: HashMap::new(),
            from_informed: Vec::new(),
            all_calls: Vec::new(),
        }
    }

    /// Records a call if it goes to this engine.
    pub fn record_call(&mut self, now: Duration, from: usize, addr: &str) {
        if *self.addr != *addr {
            return;
        }
        self.all_calls.push(now);
        let is_informed = self.informed_at.get(&from).is_some_and(|at| now >= *at + GRACE);
        if is_informed && self.active.contains(&now) {
            self.from_informed.push(now);
        }
    }

    /// The limit that the reply to a call states; `None` if the call went to another engine or no
    /// limit is in force.
    pub fn state_limit(&mut self, now: Duration, to: usize, addr: &str) -> Option<Rate> {
        if *self.addr != *addr || !self.active.contains(&now) {
            return None;
        }
        let informed_at = self.informed_at.entry(to).or_insert(now);
        *informed_at = now.min(*informed_at);
        Rate::per_second(self.rate)
    }

    /// The most calls in any window from instances that had to respect the limit.
    pub fn peak(&self) -> usize {
        let within = |start: &Duration| {
            self.from_informed.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
        };
        self.from_informed.iter().map(within).max().unwrap_or_default()
    }

    /// The number of calls that a window allows.
    pub fn allowed(&self) -> usize {
        (1.5 * self.rate * WINDOW.as_secs_f64() + 5.0) as usize
    }

    /// Calls per second from all instances within a range of milliseconds.
    pub fn rate_in(&self, span: Range<u64>) -> f64 {
        let calls =
            self.all_calls.iter().filter(|at| **at >= ms(span.start) && **at < ms(span.end));
        calls.count() as f64 * 1000.0 / (span.end - span.start) as f64
    }
}
