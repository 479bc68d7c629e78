//! Policy scripts: what they decide, how they are limited, and the examples of the reference page.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use expect_test::{Expect, expect};
use peatdeck_core::policy::{self, Decision, EndpointFacts, Facts, Function, Program};

const REFERENCE: &str = include_str!("../../../../docs/reference/policies.md");

fn facts() -> Facts {
    Facts::samples()[0].clone()
}

fn program(script: &str) -> Program {
    policy::compile(script).expect("the script compiles")
}

fn check_error(script: &str, expected: Expect) {
    expected.assert_eq(&policy::compile(script).expect_err("the script is wrong").to_string());
}

#[test]
fn each_function_returns_its_decision() {
    let program = program(
        "fn admit(ctx) { ctx.left_ms > 1000 }
         fn order(ctx) { if ctx.idempotent { 2 } else { 0.5 } }
         fn route(ctx) { if ctx.endpoint.local { 1.0 } else { 0.0 } }
         fn refuse(ctx) { ctx.wait_ms + 250.0 }",
    );
    let endpoint = EndpointFacts::samples()[0].clone();
    assert_eq!(program.admit(&facts()), Decision::Given(true));
    assert_eq!(program.order(&facts()), Decision::Given(2.0));
    assert_eq!(program.route(&facts(), &endpoint), Decision::Given(1.0));
    assert_eq!(program.refuse(&facts()), Decision::Given(Duration::from_millis(250)));
    assert_eq!(program.failures(), 0);
}

#[test]
fn a_missing_function_or_result_falls_back_to_the_built_in_decision() {
    let program = program(
        "fn admit(ctx) { if never(ctx) { true } } fn never(x) { false }
                           fn order(ctx) { }",
    );
    assert_eq!(program.order(&facts()), Decision::BuiltIn);
    assert_eq!(program.refuse(&facts()), Decision::BuiltIn);
    assert!(!program.defines(Function::Route));
    assert!(program.admit(&facts()).or(true));
}

#[test]
fn an_error_is_a_failed_decision_and_is_counted() {
    let program = program("fn admit(ctx) { if ctx.team == \"odd\" { throw \"no\" } true }");
    let odd = Facts { team: "odd".into(), ..facts() };
    assert!(matches!(program.admit(&odd), Decision::Failed(_)));
    assert!(matches!(program.clone().admit(&odd), Decision::Failed(_)));
    assert_eq!(program.admit(&facts()), Decision::Given(true));
    assert_eq!(program.failures(), 2);
}

#[test]
fn an_invalid_value_is_a_failed_decision() {
    let program = program(
        "fn order(ctx) { if ctx.team == \"odd\" { 0.0 / 0.0 } else { 1 } }
         fn refuse(ctx) { if ctx.team == \"odd\" { -5 } else { 5 } }",
    );
    let odd = Facts { team: "odd".into(), ..facts() };
    assert!(matches!(program.order(&odd), Decision::Failed(_)));
    assert!(matches!(program.refuse(&odd), Decision::Failed(_)));
}

#[test]
fn errors_state_the_remedy() {
    check_error(
        "fn admit(ctx) { ",
        expect![
            "the policy doesn't compile (Expecting '}' to terminate this block (line 1, position 17)); correct the script at that position"
        ],
    );
    check_error(
        "let x = 1;",
        expect![
            "the policy defines no function; define admit, order, route or refuse, each with one parameter"
        ],
    );
    check_error(
        "fn admit(ctx, more) { true }",
        expect!["the policy's function `admit` takes 2 parameters; give it exactly one, the facts"],
    );
    check_error(
        "fn admit(ctx) { ctx.lefft_ms > 0 }",
        expect![
            "the policy's function `admit` fails on sample facts (Property not found: lefft_ms (line 1, position 21)); correct it and check again"
        ],
    );
    check_error(
        "fn admit(ctx) { \"yes\" }",
        expect![
            "the policy's function `admit` fails on sample facts (`admit` gave a value of type string); correct it and check again"
        ],
    );
}

#[test]
fn endless_scripts_are_stopped() {
    for body in [
        "loop { }",
        "let x = 0; while true { x += 1; } true",
        "admit(ctx)",
        "let s = \"x\"; loop { s += s; }",
        "let a = [1]; loop { a += a; }",
        "let m = #{}; let i = 0; loop { m[i.to_string()] = i; i += 1; }",
    ] {
        let script = format!("fn admit(ctx) {{ {body} }}");
        assert!(matches!(policy::compile(&script), Err(policy::Error::Trial(..))), "{body}");
    }
}

#[test]
fn scripts_have_no_side_effects() {
    for body in [
        "eval(\"true\")",
        "sleep(1); true",
        "timestamp(); true",
        "import \"x\" as y; true",
        "print(\"x\"); true",
        "debug(\"x\"); true",
        "rand(); true",
        "open_file(\"x\"); true",
    ] {
        let script = format!("fn admit(ctx) {{ {body} }}");
        assert!(policy::compile(&script).is_err(), "{body}");
    }
}

#[test]
fn a_script_has_constants_and_no_state() {
    let program = program(
        "const FIRST = 7; let n = 0; n += 1;
         fn order(ctx) { ctx.waiting += 1; global::FIRST + ctx.waiting }",
    );
    assert_eq!(program.order(&facts()), Decision::Given(8.0));
    assert_eq!(program.order(&facts()), Decision::Given(8.0));
}

/// The scripts of the reference page, each with its heading.
fn examples() -> Vec<(&'static str, &'static str)> {
    let mut examples = Vec::new();
    for section in REFERENCE.split("\n## ").skip(1) {
        let title = section.lines().next().expect("a heading");
        let script = section.split("```rhai\n").nth(1).and_then(|rest| rest.split("```").next());
        examples.extend(script.map(|script| (title, script)));
    }
    examples
}

#[test]
fn the_examples_of_the_reference_compile() {
    let examples = examples();
    assert_eq!(examples.len(), 2);
    for (title, script) in examples {
        if let Err(error) = policy::compile(script) {
            panic!("{title}: {error}");
        }
    }
}
