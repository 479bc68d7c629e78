//! Open-loop arrivals: a Poisson process with bursts of a different rate.
//!
//! The whole plan is drawn from a seed before the first request is sent, so the
//! answers have no influence on it: a slow system receives the same requests at
//! the same times as a fast one. Latency therefore includes all waiting, part
//! of which is missed if a sender waits for an answer before the next request.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::{data, message};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::workload::{Class, Workload};

/// One planned request.
#[message]
pub struct Arrival {
    /// When it is to be sent, from the start of the run.
    pub at: Duration,
    /// Id that the caller gives it.
    pub id: Arc<str>,
    /// The team that sends it.
    pub team: Arc<str>,
    /// The pipeline that it is sent to.
    pub pipeline: Arc<str>,
    /// Whether it is idempotent.
    pub idempotent: bool,
    /// Whether its answer is streamed.
    pub stream: bool,
    /// How long its caller waits.
    pub deadline: Duration,
    /// Input of the first stage.
    pub input: Arc<str>,
}

/// A period of higher (or lower) rate.
#[message]
#[derive(Copy)]
pub struct Burst {
    /// Start, from the start of the run.
    pub at: Duration,
    /// Duration.
    pub length: Duration,
    /// Factor by which the rate is multiplied.
    pub factor: f64,
}

/// Parameters from which arrivals are drawn.
#[data]
pub struct Plan {
    /// Requests a second outside bursts.
    pub rate: f64,
    /// Length of the plan.
    pub length: Duration,
    /// The bursts; the factors of overlapping bursts multiply.
    pub bursts: Vec<Burst>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Prefix of every id. Runs against the same system need different prefixes.
    pub tag: Arc<str>,
}

impl Plan {
    /// Draws the arrivals, in order of time.
    pub fn draw(&self, workload: &Workload) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at = self.advance(at, exponential(&mut rng));
            if at >= self.length.as_secs_f64() {
                return arrivals;
            }
            let number = arrivals.len();
            arrivals.push(self.arrival(workload, &mut rng, at, number));
        }
    }

    /// The time after `from` by which `amount` arrivals are expected.
    fn advance(&self, from: f64, amount: f64) -> f64 {
        let mut now = from;
        let mut left = amount;
        loop {
            let rate = self.rate_at(now);
            let boundary = self.next_boundary(now);
            let piece = (boundary - now) * rate;
            if left < piece || boundary.is_infinite() {
                return now + left / rate;
            }
            left -= piece;
            now = boundary;
        }
    }

    fn rate_at(&self, now: f64) -> f64 {
        let factor: f64 = self
            .bursts
            .iter()
            .filter(|burst| burst.start() <= now && now < burst.end())
            .map(|burst| burst.factor)
            .product();
        self.rate * factor
    }

    fn next_boundary(&self, now: f64) -> f64 {
        self.bursts
            .iter()
            .flat_map(|burst| [burst.start(), burst.end()])
            .filter(|boundary| *boundary > now)
            .fold(f64::INFINITY, f64::min)
    }

    fn arrival(&self, workload: &Workload, rng: &mut StdRng, at: f64, number: usize) -> Arrival {
        let team = pick(&workload.teams, |team| team.share, rng);
        let class = pick(&workload.classes, |class| class.share, rng);
        Arrival {
            at: Duration::from_secs_f64(at),
            id: format!("{}-{number}", self.tag).into(),
            team: team.name.clone(),
            pipeline: class.pipeline.clone(),
            idempotent: class.idempotent,
            stream: class.stream,
            deadline: class.deadline(),
            input: input(class, rng),
        }
    }
}

impl Burst {
    fn start(&self) -> f64 {
        self.at.as_secs_f64()
    }

    fn end(&self) -> f64 {
        (self.at + self.length).as_secs_f64()
    }
}

/// Draws the time between two arrivals of a Poisson process of rate 1.
fn exponential(rng: &mut StdRng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}

fn pick<'a, T>(items: &'a [T], share: impl Fn(&T) -> f64, rng: &mut StdRng) -> &'a T {
    let total: f64 = items.iter().map(&share).sum();
    let mut left = rng.random::<f64>() * total;
    for item in items {
        left -= share(item);
        if left < 0.0 {
            return item;
        }
    }
    items.last().expect("a checked workload has teams and classes")
}

fn input(class: &Class, rng: &mut StdRng) -> Arc<str> {
    let mut text = String::with_capacity(class.prefix_bytes + class.input_bytes);
    if class.prefixes > 0 {
        let prefix = rng.random_range(0..class.prefixes);
        text.push_str(&prefix_text(&class.pipeline, prefix, class.prefix_bytes));
    }
    for _ in 0..class.input_bytes {
        text.push(char::from(rng.random_range(b'a'..=b'z')));
    }
    text.into()
}

/// The text of prefix `number`, the same each time.
fn prefix_text(pipeline: &str, number: u32, bytes: usize) -> String {
    let unit = format!("{pipeline}/{number} ");
    unit.chars().cycle().take(bytes).collect()
}
