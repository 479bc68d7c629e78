#![allow(clippy::unwrap_used)]

use expect_test::expect;
use peatdeck_load::paired::{self, Comparison};

use crate::report::report;

#[test]
fn the_deviation_is_that_of_the_differences() {
    let comparison = Comparison::new(vec![1.0, 10.0, 100.0], vec![2.0, 12.0, 103.0]);
    expect![[r#"
        Comparison {
            a: [
                1.0,
                10.0,
                100.0,
            ],
            b: [
                2.0,
                12.0,
                103.0,
            ],
            differences: [
                1.0,
                2.0,
                3.0,
            ],
            mean: 2.0,
            deviation: 1.0,
            least: 1.0,
            most: 3.0,
        }
    "#]]
    .assert_debug_eq(&comparison);
}

#[test]
fn every_number_of_a_report_is_compared() {
    let names: Vec<String> = paired::compare(&[(report(), report())]).into_keys().collect();
    expect![[r#"
        attainment
        attainment pipeline draft
        attainment team big
        attainment team small
        cost ms draft/generate
        first token p99 ms
        goodput /s
        latency p50 ms
        latency p99 ms
        least team's part of its share
        waste"#]]
    .assert_eq(&names.join("\n"));
}
