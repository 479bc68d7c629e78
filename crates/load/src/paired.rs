//! Compares two settings that run in turn (A B A B …), pair by pair.
//!
//! A slow change in the speed of the host affects both runs of a pair alike,
//! so the deviation is that of the differences, not that of the values.

use std::collections::BTreeMap;

use peatdeck_macros::message;

use crate::report::Report;

/// A metric over all pairs.
#[message]
pub struct Comparison {
    /// The value under A in each pair.
    pub a: Vec<f64>,
    /// The value under B in each pair.
    pub b: Vec<f64>,
    /// B minus A in each pair.
    pub differences: Vec<f64>,
    /// Mean of the differences.
    pub mean: f64,
    /// Sample standard deviation (n - 1) of the differences.
    pub deviation: f64,
    /// The smallest difference.
    pub least: f64,
    /// The largest difference.
    pub most: f64,
}

impl Comparison {
    /// Compares values; those at the same index form a pair.
    pub fn new(a: Vec<f64>, b: Vec<f64>) -> Comparison {
        let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let count = differences.len() as f64;
        let mean = differences.iter().sum::<f64>() / count;
        let squares: f64 = differences.iter().map(|value| (value - mean).powi(2)).sum();
        let deviation = if count > 1.0 { (squares / (count - 1.0)).sqrt() } else { 0.0 };
        let least = differences.iter().copied().fold(f64::INFINITY, f64::min);
        let most = differences.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        Comparison { a, b, differences, mean, deviation, least, most }
    }
}

/// Compares the reports of pairs, metric by metric.
pub fn compare(pairs: &[(Report, Report)]) -> BTreeMap<String, Comparison> {
    let mut columns: BTreeMap<String, (Vec<f64>, Vec<f64>)> = BTreeMap::new();
    for (a, b) in pairs {
        let (a, b) = (metrics(a), metrics(b));
        for (name, value) in &a {
            let Some(other) = b.get(name) else { continue };
            let column = columns.entry(name.clone()).or_default();
            column.0.push(*value);
            column.1.push(*other);
        }
    }
    columns.into_iter().map(|(name, (a, b))| (name, Comparison::new(a, b))).collect()
}

/// The compared metrics of a report, by name.
fn metrics(report: &Report) -> BTreeMap<String, f64> {
    let mut metrics = BTreeMap::new();
    let mut put = |name: String, value: f64| {
        metrics.insert(name, value);
    };
    put("attainment".to_owned(), report.total.attainment());
    put("goodput /s".to_owned(), report.goodput);
    put("latency p50 ms".to_owned(), report.latency.p50);
    put("latency p99 ms".to_owned(), report.latency.p99);
    if report.first_token.count > 0 {
        put("first token p99 ms".to_owned(), report.first_token.p99);
    }
    if let Some(waste) = report.waste {
        put("waste".to_owned(), waste);
    }
    for (team, share) in &report.teams {
        put(format!("attainment team {team}"), share.attainment());
    }
    let least = report.of_share.values().copied().reduce(f64::min);
    if let Some(least) = least {
        put("least team's part of its share".to_owned(), least);
    }
    for (pipeline, share) in &report.pipelines {
        put(format!("attainment pipeline {pipeline}"), share.attainment());
    }
    for stage in &report.stages {
        if let Some(cost) = stage.cost_ms {
            put(format!("cost ms {}/{}", stage.pipeline, stage.stage), cost);
        }
    }
    metrics
}
