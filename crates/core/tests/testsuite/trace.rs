use std::{sync::Arc, time::Duration};

use expect_test::{Expect, expect};
use peatdeck_core::{
    content::{self, Content},
    document::Document,
    instance::{
        Instance,
        action::{Action, Call},
        input::{CallEvent, CallFailure, Identity, Input},
        settings::Settings,
    },
    membership::{ConfigMark, Gossip, LeavingMark},
    model::{
        CallId, CallerId, Echo, EndpointEntry, Incarnation, Listing, Outcome, Presence, Refusal,
        RefusalKind, Request, RequestId,
    },
    record::Snapshot,
    trace::{self, Header, invariants::Account},
};

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

fn submit(caller: u64, idempotent: bool) -> Input {
    Input::Submit { caller: CallerId(caller), request: request(idempotent, "input") }
}

fn call(id: u64) -> Action {
    Action::Call(Call {
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
    })
}

fn failed(id: u64, failure: CallFailure) -> Input {
    Input::Call { call: CallId(id), event: CallEvent::Failed(failure) }
}

fn not_run(caller: u64) -> Action {
    let refusal = Refusal { kind: RefusalKind::Expired, retry_after: Duration::ZERO };
    Action::Answer { caller: CallerId(caller), outcome: Outcome::NotRun(refusal) }
}

fn listed(incarnation: u64) -> Input {
    let entry = EndpointEntry {
        name: "e".into(),
        pool: "s".into(),
        addr: "a".into(),
        data_centre: "d".into(),
        incarnation: Incarnation(incarnation),
        presence: Presence::Live,
    };
    Input::Listed(Listing { instances: Vec::new(), endpoints: vec![entry] })
}

fn left(incarnation: u64) -> Input {
    let mark = LeavingMark { endpoint: "e".into(), incarnation: Incarnation(incarnation) };
    Input::Gossip(Gossip {
        from: "m".into(),
        wants_reply: false,
        mark: ConfigMark::default(),
        snapshot: None,
        members: Vec::new(),
        leaving: vec![mark],
        endpoints: Vec::new(),
    })
}

/// One thing that an account is told.
enum Step {
    In(Input),
    Out(Action),
}

fn check(steps: Vec<Step>, expected: Expect) {
    let instance = Instance::new(identity(), Settings::default(), 1);
    let mut account = Account::default();
    for step in steps {
        match step {
            Step::In(input) => {
                account.before(&input, &instance);
                account.learn(&input);
            }
            Step::Out(action) => account.action(&action),
        }
    }
    let faults: Vec<String> = account.take_faults().iter().map(ToString::to_string).collect();
    expected.assert_eq(&faults.join("\n"));
}

use Step::{In, Out};

#[test]
fn a_second_outcome_and_one_for_nobody_are_found() {
    let steps = vec![In(submit(1, true)), Out(not_run(1)), Out(not_run(1)), Out(not_run(2))];
    check(
        steps,
        expect![[r#"
        caller 1 is told a second outcome
        caller 2 is told an outcome and never asked"#]],
    );
}

#[test]
fn not_run_is_true_only_while_nothing_was_written() {
    let unsent = failed(1, CallFailure::NotSent);
    check(vec![In(submit(1, true)), Out(call(1)), In(unsent), Out(not_run(1))], expect![""]);
    let cut = failed(1, CallFailure::Cut);
    check(
        vec![In(submit(1, true)), Out(call(1)), In(cut), Out(not_run(1))],
        expect![[r#"caller 1 is told "not run", and a call of r was written"#]],
    );
}

#[test]
fn not_run_of_a_single_request_speaks_for_earlier_sendings() {
    let gone = Input::CallerGone(CallerId(1));
    let steps =
        vec![In(submit(1, false)), Out(call(1)), In(gone), In(submit(2, false)), Out(not_run(2))];
    check(steps, expect![[r#"caller 2 is told "not run", and a call of r was written"#]]);
}

#[test]
fn a_single_stage_is_called_again_only_if_the_first_call_was_not_written() {
    let unsent = failed(1, CallFailure::NotSent);
    check(vec![In(submit(1, false)), Out(call(1)), In(unsent), Out(call(2))], expect![""]);
    let cut = failed(1, CallFailure::Cut);
    check(
        vec![In(submit(1, false)), Out(call(1)), In(cut.clone()), Out(call(2))],
        expect!["stage s of r may run once, and is called again"],
    );
    check(vec![In(submit(1, true)), Out(call(1)), In(cut), Out(call(2))], expect![""]);
}

#[test]
fn a_call_after_the_end_is_found() {
    check(
        vec![In(submit(1, true)), Out(not_run(1)), Out(call(1))],
        expect!["stage s of r is called after its end"],
    );
}

#[test]
fn a_call_to_a_leaving_life_is_found() {
    check(
        vec![In(listed(1)), In(left(1)), In(submit(1, true)), Out(call(1))],
        expect!["e is known to be leaving, and is called"],
    );
    check(vec![In(listed(2)), In(left(1)), In(submit(1, true)), Out(call(1))], expect![""]);
}

#[test]
fn a_version_that_goes_back_is_found() {
    let snapshot = |version| Snapshot {
        as_of: Some(version),
        version,
        publish: None,
        document: Arc::new(Document::default()),
        drains: Vec::new(),
    };
    let mut account = Account::default();
    account.in_force(Some(&snapshot(2)));
    account.in_force(Some(&snapshot(3)));
    assert_eq!(account.take_faults(), []);
    account.in_force(Some(&snapshot(2)));
    expect!["the version in force goes back from 3 to 2"]
        .assert_eq(&account.take_faults()[0].to_string());
}

#[test]
fn marks_of_pieces_stand_for_the_whole_text() {
    let long = "a long text, whose start is what an engine may hold in its cache, and more";
    let pieces: String =
        [&long[..3], "", &long[3..]].map(|piece| content::hashed(piece).to_string()).concat();
    assert!(Content::Hash.is_same(&pieces, &content::hashed(long)));
    assert!(!Content::Hash.is_same(&pieces, &content::hashed(&long[1..])));
    let mark = content::hashed(long);
    assert_eq!(Content::Hash.prefix(&mark), Content::Keep.prefix(long));
    let one = request(true, long);
    let hashed = Request { input: content::hashed_input(&one), ..one.clone() };
    assert_eq!(Content::Hash.digest(&hashed), Content::Keep.digest(&one));
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
    let seen = match trace::replay(text.as_bytes()) {
        Ok(report) => format!("{} inputs, torn {}", report.inputs, report.torn),
        Err(error) => error.to_string(),
    };
    expected.assert_eq(&seen);
}

#[test]
fn what_is_no_trace_is_told_with_its_line() {
    check_error(
        &["{\"at_us\":1,\"input\":\"Tick\"}", "{\"at_us\":1,\"inp"],
        expect!["1 inputs, torn true"],
    );
    check_error(
        &["{\"at_us\":1,\"what\":2}", ""],
        expect![
            "line 2 is no record of a trace: unknown field `what`, expected one of `at_us`, `input`, `answer`, `outcome`, `expect` at line 1 column 17; mend or remove it"
        ],
    );
    check_error(
        &["{\"at_us\":1}", ""],
        expect!["line 2 is no record of a trace: its fields do not go together; mend or remove it"],
    );
}
