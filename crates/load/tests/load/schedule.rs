#![allow(clippy::unwrap_used)]

use expect_test::{Expect, expect};
use peatdeck_load::schedule;

fn read(text: &str, expected: &Expect) {
    let shown = match schedule::parse_flag(text) {
        Ok(fault) => format!("{:?} {:?}", fault.at, fault.kind),
        Err(err) => err.to_string(),
    };
    expected.assert_eq(&shown);
}

#[test]
fn flags_are_read() {
    read(
        "straggler@5s,factor=10,length=10s",
        &expect!["5s Straggler { endpoint: None, factor: 10.0, length: Some(10s) }"],
    );
    read("kill-engines@8s,count=2", &expect!["8s KillEngines { count: 2 }"]);
    read("kill-entry@250ms", &expect!["250ms KillEntry { count: 1 }"]);
    read("burst@5s,length=10s", &expect!["5s Burst { factor: 5.0, length: 10s }"]);
    read("late-load@0s,delay=5s", &expect!["0ns LateLoad { delay: 5s, length: None }"]);
    read("log-outage@1m", &expect!["60s LogOutage { length: None }"]);
    read("drain@1s,endpoint=e-1", &expect![[r#"1s Drain { endpoint: "e-1" }"#]]);
}

#[test]
fn errors_contain_the_expected_form() {
    read(
        "straggler",
        &expect![
            "fault `straggler` cannot be read: there is no `@` with a time; write it as KIND@AT[,KEY=VALUE]…, such as `straggler@5s,factor=10,length=10s` or `kill-engines@8s,count=2`"
        ],
    );
    read(
        "straggler@5",
        &expect![
            "fault `straggler@5` cannot be read: `5` is not a time; write it as `5s` or `250ms`; write it as KIND@AT[,KEY=VALUE]…, such as `straggler@5s,factor=10,length=10s` or `kill-engines@8s,count=2`"
        ],
    );
    read(
        "storm@5s",
        &expect![
            "fault `storm@5s` cannot be read: there is no kind `storm`; the kinds are straggler, kill-engines, kill-entry, burst, late-load, log-outage, drain; write it as KIND@AT[,KEY=VALUE]…, such as `straggler@5s,factor=10,length=10s` or `kill-engines@8s,count=2`"
        ],
    );
    read(
        "burst@5s",
        &expect![
            "fault `burst@5s` cannot be read: a burst needs `length`; write it as KIND@AT[,KEY=VALUE]…, such as `straggler@5s,factor=10,length=10s` or `kill-engines@8s,count=2`"
        ],
    );
    read(
        "kill-entry@5s,length=2s",
        &expect![
            "fault `kill-entry@5s,length=2s` cannot be read: `kill-entry` does not read `length`; write it as KIND@AT[,KEY=VALUE]…, such as `straggler@5s,factor=10,length=10s` or `kill-engines@8s,count=2`"
        ],
    );
    read(
        "straggler@5s,factor=-1",
        &expect![
            "fault `straggler@5s,factor=-1` cannot be read: `factor` must be above 0; write it as KIND@AT[,KEY=VALUE]…, such as `straggler@5s,factor=10,length=10s` or `kill-engines@8s,count=2`"
        ],
    );
}

#[test]
fn files_use_the_same_keys_as_flags() {
    let text = "[[fault]]\nat = \"5s\"\nkind = \"burst\"\nfactor = 3.0\nlength = \"10s\"\n";
    let faults = schedule::parse_file(text).unwrap();
    assert_eq!(faults, [schedule::parse_flag("burst@5s,factor=3,length=10s").unwrap()]);
    assert_eq!(schedule::bursts(&faults).len(), 1);
}

#[test]
fn a_misspelt_key_of_a_file_is_an_error() {
    let text = "[[fault]]\nat = \"5s\"\nkind = \"burst\"\nfaktor = 3.0\n";
    let error = schedule::parse_file(text).unwrap_err().to_string();
    expect!["the fault schedule cannot be read: unknown field `faktor`, expected one of `at`, `kind`, `endpoint`, `factor`, `length`, `delay`, `count`; give each fault as `[[fault]]` with `at`, `kind` and what the kind needs (see docs/reference/load.md)"]
        .assert_eq(&error);
}
