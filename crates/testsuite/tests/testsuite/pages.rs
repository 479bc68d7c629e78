//! Reference pages say what the code says.

#![allow(clippy::unwrap_used)]

use std::{fs, path::Path};

use peatdeck_core::instance::counters::Counters;
use peatdeck_entry::counts::Counts;

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    fs::read_to_string(path).expect("the page exists")
}

#[test]
fn metrics_page_has_every_counter_of_an_instance_with_its_meaning() {
    let rows =
        Counters::meanings().map(|(name, meaning)| format!("| `{name}` | {} |", meaning.trim()));
    let table = rows.collect::<Vec<_>>().join("\n");
    let page = page("reference/metrics.md");
    assert!(page.contains(&table), "docs/reference/metrics.md must hold these rows:\n{table}");
}

#[test]
fn metrics_page_has_every_counter_of_the_event_loop() {
    let page = page("reference/metrics.md");
    let counts = Counts::default();
    let missing: Vec<_> = counts
        .each()
        .map(|(name, _)| name)
        .filter(|name| !page.contains(&format!("| `{name}` | ")))
        .collect();
    assert!(missing.is_empty(), "docs/reference/metrics.md must name {missing:?}");
}
