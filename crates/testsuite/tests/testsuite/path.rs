//! Requests pass from callers through the entries to four pools of endpoints and back.

use std::collections::HashSet;

use peatdeck_core::document::Document;
use peatdeck_test_support::{
    fixture::{self, CERTIFICATE},
    processes::builder::Builder,
};

use crate::support::{self, Bench};

/// Requests in all, spread over both entries.
const REQUESTS: usize = 200;

/// The fixture's document without pool `ledger` and the pipeline that uses it.
fn four_pools() -> Document {
    let mut document = fixture::document();
    document.pools.retain(|pool| &*pool.name != "ledger");
    document.pipelines.retain(|pipeline| &*pipeline.name == CERTIFICATE);
    document
}

#[ntex::test]
async fn requests_over_two_entries_get_their_own_answers() {
    let bench = Bench::start(Builder::new(four_pools())).await;
    let responses = bench.request_all(CERTIFICATE, support::requests("path", REQUESTS)).await;
    let outputs: HashSet<_> = responses.iter().filter_map(|one| one.output()).collect();
    assert_eq!(outputs.len(), REQUESTS, "{:?}", bench.callers.tally());
    for pool in ["encode", "retrieve", "rerank", "generate"] {
        for endpoint in bench.system.pool(pool) {
            let calls = bench.system.calls(&endpoint).await.unwrap();
            assert!(!calls.is_empty(), "{endpoint} got no call");
        }
    }
    bench.finish().await;
}
