//! The capacity page agrees with its data file, and its figures are computed correctly.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use expect_test::{Expect, expect};
use xtask::capacity::{self, Sheet, page, quantity};

fn sheet(lines: &str) -> Sheet {
    let inputs = r#"
        [[size]]
        name = "nodes"
        value = 390
        unit = ""
        what = "instances"

        [[size]]
        name = "share"
        value = 0.1
        unit = "share"
        what = "requests that must not run twice"
        assumed = true

        [[size]]
        name = "budget"
        value = 2000
        unit = "B/s"
        what = "bytes a node"

        [[slope]]
        name = "member_bytes"
        value = 56
        unit = "B"
        what = "one member in a message"
        command = "`gossip_cost`"
        range = "10 to 390 members"
        date = "2026-12-02"
    "#;
    Sheet::parse(&format!("{inputs}\n{lines}")).expect("the data is well-formed")
}

const GOSSIP: &str = r#"
    [[line]]
    table = "entry"
    name = "gossip"
    what = "Every member once a second"
    formula = "nodes * member_bytes"
    unit = "B/s"
    limit = "budget"
    by = "gossip"
"#;

fn check(page: &str, lines: &str, expected: Expect) {
    let text = page::regenerate(page, &sheet(lines)).unwrap_or_else(|error| error.to_string());
    expected.assert_eq(&text);
}

#[test]
fn page_agrees_with_its_data() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    capacity::run(&root, true).unwrap();
}

#[test]
fn table_replaces_what_stood_between_its_markers() {
    check(
        "before\n<!-- table entry -->\nstale\n<!-- end -->\nafter",
        GOSSIP,
        expect![[r#"
            before
            <!-- table entry -->

            | what | worked out as | value | rests on | against the limit | carried by |
            | --- | --- | ---: | --- | --- | --- |
            | Every member once a second | `gossip` = `nodes * member_bytes` | 21.8 kB/s | measured | **does not fit**: 10.9 times 2 kB/s | gossip |
            <!-- end -->
            after"#]],
    );
}

#[test]
fn figure_in_a_sentence_is_worked_out() {
    check(
        "it takes <!--=gossip-->1 B<!--/--> in all",
        GOSSIP,
        expect!["it takes <!--=gossip-->21.8 kB/s<!--/--> in all"],
    );
}

#[test]
fn line_rests_on_the_weakest_of_its_inputs() {
    let lines = r#"
        [[line]]
        table = "entry"
        name = "first"
        what = "assumed through a size"
        formula = "nodes * share * 1.0"
        unit = ""

        [[line]]
        table = "entry"
        name = "second"
        what = "assumed through a line"
        formula = "first * member_bytes"
        unit = "B"
        limit = "budget"
    "#;
    check(
        "<!-- table entry --><!-- end -->",
        lines,
        expect![[r#"
            <!-- table entry -->

            | what | worked out as | value | rests on | against the limit | carried by |
            | --- | --- | ---: | --- | --- | --- |
            | assumed through a size | `first` = `nodes * share * 1.0` | 39 | assumed |  |  |
            | assumed through a line | `second` = `first * member_bytes` | 2.18 kB | assumed | **does not fit**: 1.09 times 2 kB/s |  |
            <!-- end -->"#]],
    );
}

#[test]
fn errors_name_the_remedy() {
    let unknown = GOSSIP.replace("nodes *", "noodles *");
    check(
        "",
        &unknown,
        expect![
            "docs/capacity.toml: formula of `gossip`: Variable not found: noodles (line 1, position 1); use names that stand above it and plain arithmetic"
        ],
    );
    check(
        "",
        &format!("{GOSSIP}{GOSSIP}"),
        expect!["docs/capacity.toml names `gossip` twice; rename one"],
    );
    check(
        "<!--=nothing--><!--/-->",
        GOSSIP,
        expect![
            "docs/CAPACITY.md has a marker for `nothing`, which docs/capacity.toml does not name; add it or drop the marker"
        ],
    );
    check(
        "<!-- table entry -->",
        GOSSIP,
        expect![
            "docs/CAPACITY.md has a marker for `entry` without its end; add the closing marker"
        ],
    );
}

#[test]
fn amounts_get_a_fitting_unit() {
    let shown = [
        quantity::show(0.036, "core"),
        quantity::show(256e6, "B"),
        quantity::show(1999.6, "B/s"),
        quantity::show(0.0, "B"),
        quantity::show(1.544e-3, "s"),
        quantity::show(12.0, "s"),
        quantity::show(24_000.0, "/s"),
        quantity::show(5_584_000.0, ""),
        quantity::show(0.00001, ""),
    ];
    expect![[r#"
        3.6 % of a core
        256 MB
        2 kB/s
        0 B
        1.54 ms
        12 s
        24,000 /s
        5,580,000
        1.0e-5"#]]
    .assert_eq(&shown.join("\n"));
}
