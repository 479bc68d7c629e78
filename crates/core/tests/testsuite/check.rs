//! Validation of a configuration document.

#![allow(clippy::unwrap_used)]

use expect_test::{Expect, expect};
use peatdeck_core::{check, document::Document};

const VALID: &str = r#"
[[pool]]
name = "encoders"
kind = "service"
[[pool]]
name = "writers"
kind = "engine"
[[team]]
name = "bala"
[[policy]]
name = "gate"
script = "fn admit() { true }"
[[pipeline]]
name = "ticket"
max_deadline_ms = 5000
policy = "gate"
[[pipeline.stage]]
name = "encode"
pool = "encoders"
[[pipeline.stage]]
name = "write"
pool = "writers"
max_tokens = 64
"#;

/// Accepts every script that does not contain `broken`.
fn compile(script: &str) -> Result<(), String> {
    if script.contains("broken") { Err("line 1: not a program".to_owned()) } else { Ok(()) }
}

fn problems(source: &str) -> String {
    let document: Document = toml::from_str(source).expect("the test document is TOML");
    let problems = check::check(&document, compile);
    let lines = problems.iter().map(|p| format!("{}: {}; {}\n", p.path, p.message, p.remedy));
    lines.collect()
}

/// The problems of the valid document with `from` replaced by `to`.
fn check(from: &str, to: &str, expected: Expect) {
    assert!(VALID.contains(from), "the valid document contains {from}");
    expected.assert_eq(&problems(&VALID.replacen(from, to, 1)));
}

#[test]
fn a_valid_document_has_no_problem() {
    assert_eq!(problems(VALID), "");
}

#[test]
fn an_empty_document_has_no_problem() {
    assert_eq!(problems(""), "");
}

#[test]
fn a_duplicate_name_is_reported_at_its_second_use() {
    check(
        "\"writers\"",
        "\"encoders\"",
        expect![[r#"
            pool "encoders" name: another pool before it has the same name; give each a name of its own, or remove one
            pipeline "ticket" stage "write" pool: no pool is named "writers"; add a [[pool]] of that name, or use one of "encoders", "encoders"
        "#]],
    );
    check(
        "\"write\"",
        "\"encode\"",
        expect![[r#"
            pipeline "ticket" stage "encode" name: another stage before it has the same name; give each a name of its own, or remove one
        "#]],
    );
}

#[test]
fn names_must_be_short_printable_and_not_empty() {
    check(
        "\"bala\"",
        "\"\"",
        expect![[r#"
            team "" name: the name is empty; give it a name
        "#]],
    );
    check(
        "\"bala\"",
        "\"a\\u0007\"",
        expect![[r#"
            team "a\u{7}" name: the name holds a control character; use printable characters only
        "#]],
    );
    let long = problems(&VALID.replacen("bala", &"a".repeat(129), 1));
    assert!(long.contains("the name takes 129 bytes, 128 are allowed"), "{long}");
}

#[test]
fn a_stage_must_name_a_pool() {
    check(
        "pool = \"encoders\"",
        "pool = \"encodres\"",
        expect![[r#"
            pipeline "ticket" stage "encode" pool: no pool is named "encodres"; add a [[pool]] of that name, or use one of "encoders", "writers"
        "#]],
    );
}

#[test]
fn a_pipeline_needs_a_stage() {
    let source = "[[pipeline]]\nname = \"ticket\"\nmax_deadline_ms = 1\nstage = []\n";
    expect![[r#"
        pipeline "ticket": the pipeline has no stage; add a [[pipeline.stage]]
    "#]]
    .assert_eq(&problems(source));
}

#[test]
fn the_deadline_is_bounded() {
    check(
        "5000",
        "0",
        expect![[r#"
            pipeline "ticket" max_deadline_ms: the longest deadline is 0 ms; set `max_deadline_ms` between 1 and 600000
        "#]],
    );
    check(
        "5000",
        "600001",
        expect![[r#"
            pipeline "ticket" max_deadline_ms: the longest deadline is 600001 ms; set `max_deadline_ms` between 1 and 600000
        "#]],
    );
    check("5000", "600000", expect![""]);
}

#[test]
fn the_objective_lies_between_0_and_1() {
    for wrong in ["0.0", "1.0", "1.5", "-0.1", "nan"] {
        let line = format!("max_deadline_ms = 5000\nobjective = {wrong}");
        let found = problems(&VALID.replacen("max_deadline_ms = 5000", &line, 1));
        assert!(found.contains("is not between 0 and 1"), "{wrong}: {found}");
    }
}

#[test]
fn a_weight_of_0_is_reported() {
    check(
        "\"bala\"",
        "\"bala\"\nweight = 0",
        expect![[r#"
            team "bala" weight: the weight is 0, so the team would never get a share; set `weight` to 1 or more, or remove the team
        "#]],
    );
}

#[test]
fn a_cost_is_finite_and_not_negative() {
    check(
        "\"service\"",
        "\"service\"\ncost = -1.0",
        expect![[r#"
            pool "encoders" cost: the cost -1 is not a number from 0 up; set `cost` to 0 or more
        "#]],
    );
    check(
        "\"service\"",
        "\"service\"\ncost = inf",
        expect![[r#"
            pool "encoders" cost: the cost inf is not a number from 0 up; set `cost` to 0 or more
        "#]],
    );
}

#[test]
fn max_tokens_is_for_engines_only() {
    check(
        "\"encoders\"\n[[pipeline.stage]]",
        "\"encoders\"\nmax_tokens = 5\n[[pipeline.stage]]",
        expect![[r#"
            pipeline "ticket" stage "encode" max_tokens: pool "encoders" holds services, which generate no tokens; remove `max_tokens`, or set the pool's `kind` to "engine"
        "#]],
    );
    check(
        "max_tokens = 64",
        "",
        expect![[r#"
            pipeline "ticket" stage "write": pool "writers" holds engines, but the stage has no max_tokens; set `max_tokens` to the most tokens that the stage may generate
        "#]],
    );
    check(
        "max_tokens = 64",
        "max_tokens = 0",
        expect![[r#"
            pipeline "ticket" stage "write" max_tokens: the stage may generate no token; set `max_tokens` to 1 or more
        "#]],
    );
}

#[test]
fn a_policy_must_exist_and_compile() {
    check(
        "policy = \"gate\"",
        "policy = \"gait\"",
        expect![[r#"
            pipeline "ticket" policy: no policy is named "gait"; add a [[policy]] of that name, or use one of "gate"
        "#]],
    );
    check(
        "fn admit() { true }",
        "broken",
        expect![[r#"
            policy "gate" script: line 1: not a program; mend the script, then check again
        "#]],
    );
}

#[test]
fn every_problem_is_reported_at_once() {
    let source = VALID.replace("5000", "0").replace("\"bala\"", "\"\"").replace("64", "0");
    assert_eq!(problems(&source).lines().count(), 3);
}

#[test]
fn a_document_is_bounded_in_size() {
    let script = "x".repeat(check::MAX_DOCUMENT_BYTES);
    let found = problems(&VALID.replacen("fn admit() { true }", &script, 1));
    expect![[r#"
        document: the document takes 262611 bytes, 262144 are allowed; shorten policies or remove what is unused
    "#]]
    .assert_eq(&found);
}
