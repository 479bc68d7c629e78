//! Invariants that are checked on traces, comparison of hashed contents, and errors in traces.

use std::time::Duration;

use expect_test::{Expect, expect};
use peatdeck_core::{
    content::{self, Content},
    instance::{
        Instance,
        action::{Action, Call},
        input::{Identity, Input},
        settings::Settings,
    },
    model::{CallId, CallerId, Echo, Incarnation, Request, RequestId},
    trace::{self, Header, invariants::InvariantChecker},
};
use serde_json::{Value, json};

fn identity() -> Identity {
    Identity { name: "n".into(), incarnation: Incarnation(1), data_centre: "d".into() }
}

fn key() -> RequestId {
    RequestId { team: "t".into(), id: "r".into() }
}

fn request(idempotent: bool, input: &str) -> Request {
    Request {
        id: key(),
        pipeline: "p".into(),
        deadline: Duration::from_secs(1),
        idempotent,
        repeat: false,
        stream: false,
        input: input.into(),
    }
}

/// An input or action passed to the invariant checker.
enum Step {
    In(Input),
    Out(Action),
}

fn input(value: Value) -> Step {
    Step::In(serde_json::from_value(value).unwrap())
}

fn submit(caller: u64, idempotent: bool) -> Step {
    Step::In(Input::Submit { caller: CallerId(caller), request: request(idempotent, "input") })
}

fn call(id: u64) -> Step {
    Step::Out(Action::Call(Call {
        id: CallId(id),
        endpoint: "e".into(),
        addr: "a".into(),
        echo: Echo { request: key(), stage: 0, attempt: 1 },
        stage: "s".into(),
        input: "input".into(),
        deadline: Duration::from_secs(1),
        engine: false,
        max_tokens: None,
        resume: Vec::new(),
    }))
}

fn failed(call: u64, failure: &str) -> Step {
    input(json!({"Call": {"call": call, "event": {"Failed": failure}}}))
}

fn not_run(caller: u64) -> Step {
    let refusal = json!({"kind": "expired", "retry_after": {"secs": 0, "nanos": 0}});
    let outcome = serde_json::from_value(json!({"NotRun": refusal})).unwrap();
    Step::Out(Action::Answer { caller: CallerId(caller), outcome })
}

fn listed(incarnation: u64) -> Step {
    input(json!({"Listed": {"instances": [], "endpoints": [{
        "name": "e", "pool": "s", "addr": "a", "data_centre": "d", "incarnation": incarnation,
        "presence": "live",
    }]}}))
}

fn leaving_mark(incarnation: u64) -> Step {
    input(json!({"Gossip": {
        "from": "m", "wants_reply": false, "mark": {"version": 0, "offset": null},
        "snapshot": null, "members": [], "endpoints": [],
        "leaving": [{"endpoint": "e", "incarnation": incarnation}],
    }}))
}

fn check<const N: usize>(steps: [Step; N], expected: Expect) {
    let instance = Instance::new(identity(), Settings::default(), 1);
    let mut checker = InvariantChecker::default();
    for step in steps {
        match step {
            Step::In(input) => {
                checker.before_input(&input, &instance);
                checker.update_endpoints(&input);
            }
            Step::Out(action) => checker.apply_action(&action),
        }
    }
    let faults: Vec<String> = checker.take_faults().iter().map(ToString::to_string).collect();
    expected.assert_eq(&faults.join("\n"));
}

#[test]
fn a_second_outcome_and_one_without_a_request_are_found() {
    check(
        [submit(1, true), not_run(1), not_run(1), not_run(2)],
        expect![[r#"
            caller 1 is sent a second outcome
            caller 2 is sent an outcome but never sent a request"#]],
    );
}

#[test]
fn not_run_is_valid_only_if_no_call_may_have_run() {
    check([submit(1, true), call(1), failed(1, "NotSent"), not_run(1)], expect![""]);
    let found = expect![[r#"caller 1 is sent "not run", but a call of r may have run"#]];
    check([submit(1, true), call(1), failed(1, "Cut"), not_run(1)], found);
}

#[test]
fn not_run_of_a_request_that_runs_once_covers_its_earlier_attempts() {
    let caller_gone = input(json!({"CallerGone": 1}));
    let found = expect![[r#"caller 2 is sent "not run", but a call of r may have run"#]];
    check([submit(1, false), call(1), caller_gone, submit(2, false), not_run(2)], found);
}

#[test]
fn a_stage_that_runs_once_is_called_again_only_if_the_first_call_was_not_sent() {
    check([submit(1, false), call(1), failed(1, "NotSent"), call(2)], expect![""]);
    let found = expect!["stage s of r may run only once, but is called again"];
    check([submit(1, false), call(1), failed(1, "Cut"), call(2)], found);
    check([submit(1, true), call(1), failed(1, "Cut"), call(2)], expect![""]);
}

#[test]
fn a_call_after_the_outcome_is_found() {
    let found = expect!["stage s of r is called after the request has ended"];
    check([submit(1, true), not_run(1), call(1)], found);
}

#[test]
fn a_call_to_a_leaving_incarnation_is_found() {
    let found = expect!["e is known to be leaving, but is called"];
    check([listed(1), leaving_mark(1), submit(1, true), call(1)], found);
    check([listed(2), leaving_mark(1), submit(1, true), call(1)], expect![""]);
}

#[test]
fn a_version_that_goes_back_is_found() {
    let mut checker = InvariantChecker::default();
    for version in [2, 3, 2] {
        let snapshot = json!({
            "as_of": null, "version": version, "publish": null, "document": {}, "drains": [],
        });
        assert_eq!(checker.take_faults(), []);
        checker.check_version(Some(&serde_json::from_value(snapshot).unwrap()));
    }
    let [fault] = &checker.take_faults()[..] else { panic!("one fault") };
    assert_eq!(fault.to_string(), "the version in force goes back from 3 to 2");
}

#[test]
fn hashes_of_pieces_are_comparable_with_the_hash_of_the_whole_text() {
    let long = "a long text, whose start is what an engine may hold in its cache, and more";
    let pieces: String =
        [&long[..3], "", &long[3..]].map(|piece| content::hash_text(piece).to_string()).concat();
    assert!(Content::Hash.is_same(&pieces, &content::hash_text(long)));
    assert!(!Content::Hash.is_same(&pieces, &content::hash_text(&long[1..])));
    let hash = content::hash_text(long);
    assert_eq!(Content::Hash.prefix(&hash), Content::Keep.prefix(long));
    let original = request(true, long);
    let hashed = Request { input: content::hash_input(&original), ..original.clone() };
    assert_eq!(Content::Hash.digest(&hashed), Content::Keep.digest(&original));
    assert!(!hashed.input.contains("long"));
}

fn check_error(lines: &[&str], expected: Expect) {
    let header = Header {
        peatdeck_inputs: trace::VERSION,
        content: Content::Hash,
        identity: identity(),
        settings: Settings::default(),
        seed: 1,
    };
    let header = serde_json::to_string(&header).unwrap();
    let text: String = [&[&*header], lines].concat().join("\n");
    let actual = match trace::replay(text.as_bytes()) {
        Ok(report) => format!("{} inputs, torn {}", report.inputs, report.torn),
        Err(error) => error.to_string(),
    };
    expected.assert_eq(&actual);
}

#[test]
fn errors_in_a_trace_state_the_line() {
    check_error(
        &["{\"at_us\":1,\"input\":\"Tick\"}", "{\"at_us\":1,\"inp"],
        expect!["1 inputs, torn true"],
    );
    check_error(
        &["{\"at_us\":1,\"what\":2}", ""],
        expect![
            "line 2 is no valid trace record: unknown field `what`, expected one of `at_us`, `input`, `answer`, `outcome`, `expect` at line 1 column 17; correct or remove it"
        ],
    );
    check_error(
        &["{\"at_us\":1}", ""],
        expect![
            "line 2 is no valid trace record: its fields cannot be combined; correct or remove it"
        ],
    );
}
