use expect_test::{Expect, expect};
use peatdeck_entry::intake;
use peatdeck_wire::caller::RequestBody;
use serde_json::{Value, json};

fn valid_body() -> Value {
    json!({"id": "r1", "team": "t", "deadline_ms": 1500, "input": "x"})
}

/// The valid body with one field set, or removed by `null`.
fn with(field: &str, value: Value) -> String {
    let mut body = valid_body();
    match value {
        Value::Null => {
            body.as_object_mut().unwrap().remove(field);
        }
        value => body[field] = value,
    }
    body.to_string()
}

fn check_at(pipeline: &str, body: &str, expected: Expect) {
    let seen = match intake::parse(pipeline, body.as_bytes()) {
        Ok(request) => format!("{request:?}"),
        Err(failure) => {
            let body = failure.body;
            assert_eq!(&*body.outcome, "invalid");
            let id = body.id.as_deref().unwrap_or("-");
            let status = failure.status.as_u16();
            format!("{status} {} id {id}: {} -> {}", body.code, body.message, body.remedy)
        }
    };
    expected.assert_eq(&seen);
}

fn check(body: &str, expected: Expect) {
    check_at("p", body, expected);
}

#[test]
fn a_valid_body_becomes_a_request() {
    check(
        &valid_body().to_string(),
        expect![[
            r#"Request { id: RequestId { team: "t", id: "r1" }, pipeline: "p", deadline: 1.5s, idempotent: false, repeat: false, stream: false, input: "x" }"#
        ]],
    );
}

#[test]
fn a_body_that_is_not_json_is_reported() {
    check(
        "{\"id\":",
        expect![
            "400 malformed_json id -: the body is not JSON: EOF while parsing a value at line 1 column 6; nothing ran -> send one JSON object"
        ],
    );
    check(
        "",
        expect![
            "400 malformed_json id -: the body is not JSON: EOF while parsing a value at line 1 column 0; nothing ran -> send one JSON object"
        ],
    );
    check(
        "[1]",
        expect![
            "400 malformed_json id -: the body is JSON, but not an object; nothing ran -> send one JSON object"
        ],
    );
    check(
        &format!("{} trailing", valid_body()),
        expect![
            "400 malformed_json id -: the body is not JSON: trailing characters at line 1 column 55; nothing ran -> send one JSON object"
        ],
    );
}

#[test]
fn an_unknown_field_is_named() {
    check(
        &with("dead_line", json!(1)),
        expect![
            "400 unknown_field id -: the body has the unknown field `dead_line`; nothing ran -> remove the field, or correct its name"
        ],
    );
}

#[test]
fn a_long_unknown_field_is_truncated_in_the_message() {
    check(
        &with(&"f".repeat(500), json!(1)),
        expect![
            "400 unknown_field id -: the body has the unknown field `ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff`; nothing ran -> remove the field, or correct its name"
        ],
    );
}

#[test]
fn each_missing_field_has_its_own_code() {
    check(
        &with("id", Value::Null),
        expect![
            "400 id_missing id -: the field `id` is missing; nothing ran -> give `id`: the request's id, unique within the team"
        ],
    );
    check(
        &with("team", Value::Null),
        expect![
            "400 team_missing id -: the field `team` is missing; nothing ran -> give `team`: the team's name"
        ],
    );
    check(
        &with("deadline_ms", Value::Null),
        expect![
            "400 deadline_missing id -: the field `deadline_ms` is missing; nothing ran -> give `deadline_ms`: how long the caller waits, in milliseconds"
        ],
    );
    check(
        &with("input", Value::Null),
        expect![
            "400 input_missing id -: the field `input` is missing; nothing ran -> give `input`: the first stage's input"
        ],
    );
}

#[test]
fn a_field_of_the_wrong_type_is_named() {
    check(
        &with("input", json!(1)),
        expect![
            "400 field_type id -: a field has the wrong type: invalid type: integer `1`, expected a string at line 1 column 39; nothing ran -> correct the field's type"
        ],
    );
    check(
        &with("deadline_ms", json!(1.5)),
        expect![
            "400 field_type id -: a field has the wrong type: invalid type: floating point `1.5`, expected i64 at line 1 column 18; nothing ran -> correct the field's type"
        ],
    );
}

#[test]
fn invalid_deadlines_are_refused() {
    check(
        &with("deadline_ms", json!(0)),
        expect![
            "400 deadline_zero id r1: the deadline is zero, so no answer could come in time; nothing ran -> give in `deadline_ms` how long the caller waits"
        ],
    );
    check(
        &with("deadline_ms", json!(-1)),
        expect![
            "400 deadline_passed id r1: the deadline is negative: it has already passed; nothing ran -> give in `deadline_ms` how long the caller still waits"
        ],
    );
    check(
        &with("deadline_ms", json!(600_001)),
        expect![
            "400 deadline_absurd id r1: the deadline is over 600000 ms; nothing ran -> give `deadline_ms` in milliseconds from now, not as a point in time"
        ],
    );
    check(
        &with("deadline_ms", json!(1_796_221_847_891_u64)),
        expect![
            "400 deadline_absurd id r1: the deadline is over 600000 ms; nothing ran -> give `deadline_ms` in milliseconds from now, not as a point in time"
        ],
    );
    check(
        &with("deadline_ms", json!(u64::MAX)),
        expect![
            "400 deadline_absurd id -: the deadline is over 600000 ms; nothing ran -> give `deadline_ms` in milliseconds from now, not as a point in time"
        ],
    );
}

#[test]
fn the_longest_deadline_is_accepted() {
    assert!(intake::parse("p", with("deadline_ms", json!(600_000)).as_bytes()).is_ok());
}

#[test]
fn invalid_ids_are_refused() {
    check(
        &with("id", json!("")),
        expect![
            "400 id_missing id -: the field `id` is empty; nothing ran -> give each request an id that is unique within its team"
        ],
    );
    check(
        &with("id", json!("x".repeat(129))),
        expect![
            "400 id_too_long id -: the field `id` is over 128 bytes; nothing ran -> use a shorter id, such as a UUID"
        ],
    );
    check(
        &with("id", json!("a\nb")),
        expect![
            "400 id_control id -: the field `id` holds a control character; nothing ran -> use printable characters only"
        ],
    );
}

#[test]
fn the_longest_id_is_accepted() {
    assert!(intake::parse("p", with("id", json!("x".repeat(128))).as_bytes()).is_ok());
}

#[test]
fn invalid_names_are_refused() {
    check(
        &with("team", json!("")),
        expect![
            "400 team_missing id r1: the team is empty; nothing ran -> name a team of the configuration in force"
        ],
    );
    check(
        &with("team", json!("t".repeat(200))),
        expect![
            "400 team_invalid id r1: the team's name is over 128 bytes or holds a control character; nothing ran -> name a team of the configuration in force"
        ],
    );
    check_at(
        &"p".repeat(200),
        &valid_body().to_string(),
        expect![
            "400 pipeline_invalid id r1: the pipeline's name is over 128 bytes or holds a control character; nothing ran -> name a pipeline of the configuration in force"
        ],
    );
}

#[test]
fn every_field_of_the_format_is_known_when_another_is_wrong() {
    let body: RequestBody = serde_json::from_value(valid_body()).unwrap();
    let mut body = serde_json::to_value(body).unwrap();
    body["stream"] = json!("yes");
    check(
        &body.to_string(),
        expect![[
            r#"400 field_type id -: a field has the wrong type: invalid type: string "yes", expected a boolean at line 1 column 90; nothing ran -> correct the field's type"#
        ]],
    );
}

#[test]
fn a_body_over_the_limit_has_its_own_status() {
    let failure = intake::too_large(10);
    expect!["413 body_too_large"].assert_eq(&format!(
        "{} {}",
        failure.status.as_u16(),
        failure.body.code
    ));
}
