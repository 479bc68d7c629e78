//! The instances and endpoints of a simulation.

use std::{sync::Arc, time::Duration};

use peatdeck_core::relay::{
    Relay, Settings,
    allowance::RetryBudgetConfig,
    config::{Engine, Pieces, RequestKind, Route, Transfer},
    directory::Entry,
};

use super::engine;
use crate::relay::fixture::{ConfigBuilder, entry, ms, route, stage};

pub const DATA_CENTRES: [&str; 3] = ["east", "west", "north"];
/// Size of a result, in bytes.
pub const RESULT_BYTES: u64 = 1_500_000;
/// Number of results that fit the memory of a piece endpoint.
pub const MAX_RESULTS: usize = 9;
pub const TRANSFER: Transfer = Transfer { token_bytes: 160_000.0, rate: 32e6 };
/// Tokens of the part of a prompt that no other prompt shares.
pub const OWN_TOKENS: u64 = 2900;
/// Tokens of a whole prompt.
pub const PROMPT_TOKENS: u64 = 9200;
/// Least time between two calls to a cold engine.
pub const COLD_INTERVAL: Duration = Duration::from_millis(150);
pub const OBJECTIVE: Duration = Duration::from_millis(1100);
pub const DEADLINE: Duration = Duration::from_secs(6);

pub fn name(idx: usize) -> Arc<str> {
    Arc::from(format!("relay-{idx}"))
}

pub fn index_of(name: &str) -> usize {
    name.strip_prefix("relay-").and_then(|idx| idx.parse().ok()).expect("the name of an instance")
}

pub fn relay(idx: usize) -> Relay {
    let settings = Settings {
        name: name(idx),
        data_centre: Arc::from(DATA_CENTRES[idx % 3]),
        retry_budget: RetryBudgetConfig { ratio: 0.2, slack: 50.0, window: ms(10_000) },
        min_instances: 1,
        millicores: 250,
        regions: Default::default(),
        rollout: None,
        entry_interval: ms(1200),
    };
    let mut relay = Relay::new(settings, idx as u64);
    relay.mark_quarantine_read();
    let pieces = Pieces {
        slots: 1,
        queue: 2,
        batch: 8,
        call_time: ms(200),
        piece_time: ms(21),
        room: MAX_RESULTS as u64 * RESULT_BYTES,
        lease: ms(4000),
    };
    let engine =
        Engine { slots: 48, memory: engine::MEMORY, max_gap: None, transfer: Some(TRANSFER) };
    let route = Route {
        stages: vec![stage("maker", &[], RESULT_BYTES)],
        objective: OBJECTIVE,
        timeout: DEADLINE,
        ..route("r", RequestKind::Resumable, "llm")
    };
    let config =
        ConfigBuilder::new(1).engine_service("llm", engine).piece_service_with("maker", pieces);
    let config = config.cold_interval("llm", COLD_INTERVAL).route(route);
    relay.configure(config.build());
    relay
}

pub fn endpoints(engines: usize) -> Vec<Entry> {
    let piece_endpoints = (0..4).map(|idx| in_data_centre(entry(&format!("m{idx}"), "maker"), idx));
    piece_endpoints.chain((0..engines).map(engine_entry)).collect()
}

/// The entry of an engine; every third one is in the same data centre.
pub fn engine_entry(idx: usize) -> Entry {
    in_data_centre(entry(&format!("e{idx}"), "llm"), idx)
}

pub fn in_data_centre(entry: Entry, idx: usize) -> Entry {
    Entry { data_centre: Arc::from(DATA_CENTRES[idx % 3]), ..entry }
}
