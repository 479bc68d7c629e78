//! Parsing of the simulator's output, and which results count as regressions.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use xtask::regress::{self, Args, Row};

const SCORE: &str = "\
day                  own/srv  score  worth served refused failed  weakest part
quiet-1              295/287   1.00  0.655  0.871   0.000  0.022  worst windows 0.74
trouble-1            295/287   1.00  0.603  0.869   0.007  0.043  worst windows 0.58
scale-1              295/287   0.97  0.524  0.792   0.006  0.052  worst windows 0.62
fresh-c976           295/287   1.00  0.553  0.852   0.008  0.053  worst windows 0.52
GATE passed
";

#[test]
fn a_score_is_read() {
    let days = [("quiet-1", 0.655), ("trouble-1", 0.603), ("scale-1", 0.524)];
    let days = days.map(|(day, worth)| (day.to_owned(), worth));
    assert_eq!(regress::worths(SCORE), days);
    assert_eq!((regress::machines(SCORE), regress::gate(SCORE)), (Some(295), Some(true)));
    assert_eq!(regress::gate("GATE failed: trouble-1"), Some(false));
    assert_eq!(regress::gate("it was cut off"), None);
}

#[test]
fn a_hunt_is_read() {
    let text = "3 days, 1 at a time\n3 days on golchfa-net, 1 with a rule broken\n";
    assert_eq!(regress::broken(text), Some((3, 1)));
    assert_eq!(regress::broken("3 days, 1 at a time\n"), None);
}

#[test]
fn a_regressed_site_is_marked() {
    let passing = || Row {
        site: "small".to_owned(),
        gate: Some(true),
        worth: Some(0.7),
        hunt: Some((40, 0)),
        difference: Some(-0.03),
    };
    let rows = [
        passing(),
        Row { gate: Some(false), ..passing() },
        Row { gate: None, worth: None, ..passing() },
        Row { hunt: Some((40, 1)), ..passing() },
        Row { hunt: None, ..passing() },
        Row { difference: Some(-0.031), ..passing() },
        Row { difference: None, ..passing() },
    ];
    let table = rows.iter().map(|row| format!("{row}\n")).collect::<String>();
    expect![[r#"
        small                    passed      0.700   0 of 40  -0.030
        small                    FAILED      0.700   0 of 40  -0.030  <- look
        small                    not ended       -   0 of 40  -0.030  <- look
        small                    passed      0.700   1 of 40  -0.030  <- look
        small                    passed      0.700         -  -0.030  <- look
        small                    passed      0.700   0 of 40  -0.031  <- look
        small                    passed      0.700   0 of 40       -
    "#]]
    .assert_eq(&table);
}

#[test]
fn wrong_arguments_are_named() {
    let text = |args: &[&str]| Args::read(args).unwrap_err().to_string();
    assert!(text(&[]).starts_with("no program is given"));
    assert!(text(&["program"]).starts_with("no folder is given"));
    assert!(text(&["program", "sites", "--base"]).starts_with("`--base` lacks its path"));
    assert!(Args::read(&["program", "sites", "large", "--base", "old"]).is_ok());
}
