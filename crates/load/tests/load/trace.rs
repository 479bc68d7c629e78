#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use expect_test::{Expect, expect};
use peatdeck_load::{arrivals::Arrival, trace};

fn arrivals() -> Vec<Arrival> {
    let arrival = |at: u64, id: &str| Arrival {
        at: Duration::from_micros(at),
        id: id.into(),
        team: "big".into(),
        pipeline: "draft".into(),
        idempotent: true,
        stream: false,
        deadline: Duration::from_millis(800),
        input: Arc::from("a \"quoted\"\nline"),
    };
    vec![arrival(0, "a"), arrival(1_250, "b")]
}

fn refused(text: &str, expected: &Expect) {
    expected.assert_eq(&trace::read(text.as_bytes()).expect_err("it is not a trace").to_string());
}

#[test]
fn a_written_trace_is_read_back() {
    let mut written = Vec::new();
    trace::write(&mut written, &arrivals()).unwrap();
    assert_eq!(trace::read(written.as_slice()).unwrap(), arrivals());
}

#[test]
fn the_format_is_as_documented() {
    let mut written = Vec::new();
    trace::write(&mut written, &arrivals()[..1]).unwrap();
    expect![[r#"
        {"peatdeck_trace":1}
        {"at_us":0,"id":"a","team":"big","pipeline":"draft","idempotent":true,"stream":false,"deadline_ms":800,"input":"a \"quoted\"\nline"}
    "#]]
    .assert_eq(&String::from_utf8(written).unwrap());
}

#[test]
fn errors_contain_the_line_number() {
    let head = "{\"peatdeck_trace\":1}\n";
    refused(
        "",
        &expect![
            "line 1 of the trace cannot be read: there is no request in it; correct the line, or record the trace again with `peatdeck-load record`"
        ],
    );
    refused(
        "{\"peatdeck_trace\":2}\n",
        &expect![
            "line 1 of the trace cannot be read: version 2 of the format is not known; correct the line, or record the trace again with `peatdeck-load record`"
        ],
    );
    refused(
        &format!("{head}{{\"at_us\":1}}\n"),
        &expect![
            "line 2 of the trace cannot be read: missing field `id` at line 1 column 11; correct the line, or record the trace again with `peatdeck-load record`"
        ],
    );
}

#[test]
fn decreasing_times_are_refused() {
    let mut written = Vec::new();
    let mut backwards = arrivals();
    backwards.reverse();
    trace::write(&mut written, &backwards).unwrap();
    let error = trace::read(written.as_slice()).unwrap_err();
    expect!["line 3 of the trace cannot be read: `at_us` is smaller than on the line before; correct the line, or record the trace again with `peatdeck-load record`"]
        .assert_eq(&error.to_string());
}
