//! Creation of instances, and random service times.

use std::{collections::HashMap, sync::Arc, time::Duration};

use peatdeck_core::{
    admission::{drain::DrainRate, probe::ProbePacer},
    budget::{self, RetryBudget},
    endpoints::{self, Table},
    latency::Estimator,
    limits,
    model::{EndpointEntry, EndpointName, Incarnation, Presence},
    queue::Queue,
};
use rand::{Rng, rngs::SmallRng};

use super::{Instance, POOL, SIGMA};
use crate::model::Variant;

pub(super) fn instance(variant: &Variant, names: &[EndpointName]) -> Instance {
    let fixed = limits::Settings { initial: 64, min: 64, max: 64 };
    let limit = if variant.adaptive { limits::Settings::default() } else { fixed };
    let mut settings = endpoints::Settings { limit, ..endpoints::Settings::default() };
    if !variant.ejection {
        settings.health.max_share = 0.0;
    }
    let mut table = Table::new(settings);
    let entries: Vec<EndpointEntry> = names.iter().map(entry).collect();
    table.apply_listing(Duration::ZERO, &entries);
    Instance {
        table,
        queue: Queue::new(),
        drain: DrainRate::new(),
        probe: ProbePacer::new(),
        latency: Estimator::new(),
        budget: RetryBudget::new(budget::Settings::default()),
        peers: HashMap::new(),
    }
}

fn entry(name: &EndpointName) -> EndpointEntry {
    EndpointEntry {
        name: name.clone(),
        pool: Arc::from(POOL),
        addr: Arc::from("127.0.0.1:1"),
        data_centre: Arc::from("data-centre"),
        incarnation: Incarnation(1),
        presence: Presence::Live,
        software: Arc::default(),
    }
}

pub(super) fn lognormal(rng: &mut SmallRng, mean: f64) -> f64 {
    let (a, b) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}
