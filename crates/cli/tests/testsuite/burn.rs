//! The error budget burn report.

use expect_test::{Expect, expect};
use peatdeck::ops::burn::{self, Kind, page, plot};
use peatdeck_core::document::Document;
use peatdeck_wire::admin::{MissingInstance, OutcomeCount, OutcomesReply};

use crate::support::{Bench, NOW};

const FLEET: &str = r#"
[[pool]]
name = "encoders"
kind = "service"

[[pipeline]]
name = "ticket"
max_deadline_ms = 5000
objective = 0.99
stage = [{ name = "encode", pool = "encoders" }]

[[pipeline]]
name = "summary"
max_deadline_ms = 5000
objective = 0.9
stage = [{ name = "encode", pool = "encoders" }]
"#;

/// `count` outcomes, `age` seconds ago: `pipeline team outcome stage`.
fn rows(lines: &[(u64, u64, &str)]) -> Vec<OutcomeCount> {
    let row = |&(age, count, line): &(u64, u64, &str)| {
        let words: Vec<&str> = line.split(' ').collect();
        OutcomeCount {
            slot: NOW - age,
            pipeline: words[0].into(),
            team: words[1].into(),
            outcome: words[2].into(),
            stage: words.get(3).map(|&stage| stage.into()),
            count,
        }
    };
    lines.iter().map(row).collect()
}

fn report(lines: &[(u64, u64, &str)]) -> burn::Report {
    let document: Document = toml::from_str(FLEET).expect("valid TOML");
    let instances = vec!["entry-1".into()];
    let missing =
        vec![MissingInstance { instance: "entry-<2>".into(), reason: "no \"answer\"".into() }];
    burn::report(NOW, &document, OutcomesReply { outcomes: rows(lines), instances, missing })
}

/// Each row as `pipeline/team requests attainment budget burns alert`.
fn check(lines: &[(u64, u64, &str)], expected: Expect) {
    let shown = report(lines).rows.into_iter().map(|row| {
        let team = row.team.unwrap_or_else(|| "*".into());
        let rate = |rate: Option<f64>| rate.map_or("-".to_owned(), |rate| format!("{rate:.2}"));
        format!(
            "{}/{team} {} attained {} left {} burn {} {} {} {:?}\n",
            row.pipeline,
            row.requests,
            rate(row.attainment),
            rate(row.budget_left),
            rate(row.burn.short),
            rate(row.burn.middle),
            rate(row.burn.long),
            row.alert
        )
    });
    expected.assert_eq(&shown.collect::<String>());
}

#[test]
fn without_requests_there_is_no_burn_rate() {
    check(
        &[],
        expect![[r#"
        summary/* 0 attained - left - burn - - - Quiet
        ticket/* 0 attained - left - burn - - - Quiet
    "#]],
    );
}

#[test]
fn a_miss_counts_in_every_window_that_it_lies_in() {
    check(
        &[
            (60, 98, "ticket bala answered"),
            (60, 2, "ticket bala infeasible"),
            (1800, 100, "ticket bala answered"),
            (7200, 200, "ticket bala answered"),
        ],
        expect![[r#"
            summary/* 0 attained - left - burn - - - Quiet
            ticket/* 400 attained 0.99 left 0.50 burn 2.00 1.00 0.50 Quiet
            ticket/bala 400 attained 0.99 left 0.50 burn 2.00 1.00 0.50 Quiet
        "#]],
    );
}

#[test]
fn a_slot_leaves_a_window_when_it_is_as_old() {
    check(
        &[
            (299, 1, "ticket bala answered"),
            (300, 1, "ticket bala expired"),
            (3600, 1, "ticket bala expired"),
            (21_599, 1, "ticket bala answered"),
            (21_600, 9, "ticket bala expired"),
        ],
        expect![[r#"
            summary/* 0 attained - left - burn - - - Quiet
            ticket/* 4 attained 0.50 left -49.00 burn 0.00 50.00 50.00 Slow
            ticket/bala 4 attained 0.50 left -49.00 burn 0.00 50.00 50.00 Slow
        "#]],
    );
}

#[test]
fn teams_share_their_pipelines_objective() {
    check(
        &[
            (60, 50, "ticket bala answered"),
            (60, 50, "ticket corwen timed_out encode"),
            (60, 10, "gone bala answered"),
        ],
        expect![[r#"
            gone/* 10 attained 1.00 left - burn - - - Quiet
            gone/bala 10 attained 1.00 left - burn - - - Quiet
            summary/* 0 attained - left - burn - - - Quiet
            ticket/* 100 attained 0.50 left -49.00 burn 50.00 50.00 50.00 Fast
            ticket/bala 50 attained 1.00 left 1.00 burn 0.00 0.00 0.00 Quiet
            ticket/corwen 50 attained 0.00 left -99.00 burn 100.00 100.00 100.00 Fast
        "#]],
    );
}

#[test]
fn a_sustained_miss_rate_is_a_slow_burn() {
    check(
        &[
            (1800, 93, "ticket bala answered"),
            (1800, 7, "ticket bala expired"),
            (9000, 93, "ticket bala answered"),
            (9000, 7, "ticket bala expired"),
        ],
        expect![[r#"
            summary/* 0 attained - left - burn - - - Quiet
            ticket/* 200 attained 0.93 left -6.00 burn - 7.00 7.00 Slow
            ticket/bala 200 attained 0.93 left -6.00 burn - 7.00 7.00 Slow
        "#]],
    );
}

#[test]
fn invalid_requests_count_neither_as_hits_nor_as_misses() {
    let report = report(&[(60, 5, "ticket bala key_reused"), (60, 1, "ticket bala answered")]);
    assert_eq!(report.invalid, 5);
    assert_eq!(report.rows[1].requests, 1);
    assert!(report.causes.is_empty());
}

#[test]
fn codes_are_mapped_to_their_kind() {
    let codes = ["answered", "infeasible", "claim_horizon", "timed_out", "unknown_team", "new"];
    let kinds = codes.map(burn::kind);
    let expected =
        [Kind::Answered, Kind::NotRun, Kind::NotRun, Kind::MayHaveRun, Kind::Invalid, Kind::Other];
    assert_eq!(kinds, expected);
}

const OUTCOMES: [(u64, u64, &str); 8] = [
    (60, 180, "ticket bala answered"),
    (60, 20, "ticket bala infeasible"),
    (60, 6, "ticket corwen timed_out encode"),
    (120, 3, "ticket corwen timed_out encode"),
    (1500, 400, "ticket bala answered"),
    (1500, 2, "summary bala over_share"),
    (4000, 900, "summary bala answered"),
    (4000, 1, " bala unknown_pipeline"),
];

#[test]
fn the_page_is_whole_and_safe() {
    let html = page::render(&report(&OUTCOMES));
    let body = html.split_once("</style>").expect("a style").1;
    expect![[r#"

        </head>
        <body>
        <h1>Service-level burn</h1>
        <p class="sub">Six hours to 2026-03-01T06:30:00Z</p>
        <p>Counts of 1 instance(s): entry-1.</p>
        <p class="fast">No response; not included in these figures:</p>
        <ul>
        <li>entry-&lt;2&gt;: no &quot;answer&quot;</li>
        </ul>
        <p class="soft">The counts of an instance are lost when it stops: requests of instances that have stopped or restarted are not included.</p>
        <h2>Pipelines and teams</h2>
        <div class="wide"><table>
        <tr><th class="name">Pipeline, team</th><th>Requests</th><th>Attainment</th><th>Objective</th><th>Budget left</th><th>Burn 5 min</th><th>1 h</th><th>6 h</th><th class="name">Alert</th></tr>
        <tr class="all"><td class="name">summary</td><td>902</td><td>99.778 %</td><td>90.000 %</td><td>97.782 %</td><td>–</td><td>10.0</td><td>0.0</td><td class="name"></td></tr>
        <tr class=""><td class="name team">bala</td><td>902</td><td>99.778 %</td><td>90.000 %</td><td>97.782 %</td><td>–</td><td>10.0</td><td>0.0</td><td class="name"></td></tr>
        <tr class="all"><td class="name">ticket</td><td>609</td><td>95.238 %</td><td>99.000 %</td><td>-376.191 %</td><td>13.9</td><td>4.8</td><td>4.8</td><td class="name"></td></tr>
        <tr class=""><td class="name team">bala</td><td>600</td><td>96.666 %</td><td>99.000 %</td><td>-233.334 %</td><td>10.0</td><td>3.3</td><td>3.3</td><td class="name"></td></tr>
        <tr class=""><td class="name team">corwen</td><td>9</td><td>0.000 %</td><td>99.000 %</td><td>-9900.000 %</td><td>100.0</td><td>100.0</td><td>100.0</td><td class="name"><span class="fast">fast burn</span></td></tr>
        </table></div>
        <p class="soft">1 request(s) were invalid and are not counted.</p>
        <h2>Attainment over time</h2>
        <h3>summary</h3>
        <svg viewBox="0 0 720 170" role="img" aria-label="Attainment over time">
        <text x="653.9" y="164.0" class="x">now</text>
        <text x="554.5" y="164.0" class="x">−1 h</text>
        <text x="455.2" y="164.0" class="x">−2 h</text>
        <text x="355.9" y="164.0" class="x">−3 h</text>
        <text x="256.5" y="164.0" class="x">−4 h</text>
        <text x="157.2" y="164.0" class="x">−5 h</text>
        <text x="66.1" y="164.0" class="x">−6 h</text>
        <line x1="62" x2="658" y1="10.0" y2="10.0" class="grid"/>
        <text x="56" y="14.0" class="y grid">100.00 %</text>
        <line x1="62" x2="658" y1="146.0" y2="146.0" class="grid"/>
        <text x="56" y="150.0" class="y grid">0.00 %</text>
        <line x1="62" x2="658" y1="23.6" y2="23.6" class="objective"/>
        <text x="664" y="27.6" class="objective">90.00 %</text>
        <circle cx="546.2" cy="10.0" r="2.5" class="dot"/>
        <circle cx="612.5" cy="146.0" r="2.5" class="dot"/>
        </svg>

        <h3>ticket</h3>
        <svg viewBox="0 0 720 170" role="img" aria-label="Attainment over time">
        <text x="653.9" y="164.0" class="x">now</text>
        <text x="554.5" y="164.0" class="x">−1 h</text>
        <text x="455.2" y="164.0" class="x">−2 h</text>
        <text x="355.9" y="164.0" class="x">−3 h</text>
        <text x="256.5" y="164.0" class="x">−4 h</text>
        <text x="157.2" y="164.0" class="x">−5 h</text>
        <text x="66.1" y="164.0" class="x">−6 h</text>
        <line x1="62" x2="658" y1="10.0" y2="10.0" class="grid"/>
        <text x="56" y="14.0" class="y grid">100.00 %</text>
        <line x1="62" x2="658" y1="146.0" y2="146.0" class="grid"/>
        <text x="56" y="150.0" class="y grid">84.74 %</text>
        <line x1="62" x2="658" y1="18.9" y2="18.9" class="objective"/>
        <text x="664" y="22.9" class="objective">99.00 %</text>
        <circle cx="612.5" cy="10.0" r="2.5" class="dot"/>
        <circle cx="653.9" cy="133.6" r="2.5" class="dot"/>
        </svg>

        <h2>Largest causes of misses</h2>
        <div class="wide"><table>
        <tr><th class="name">Pipeline</th><th class="name">Team</th><th class="name">Cause</th><th class="name">Stage</th><th>Requests</th><th>Share</th><th class="name"></th></tr>
        <tr><td class="name">ticket</td><td class="name">bala</td><td class="name">not run: infeasible</td><td class="name"></td><td>20</td><td>64.516 %</td><td class="name"><span class="bar" style="width:64.5px"></span></td></tr>
        <tr><td class="name">ticket</td><td class="name">corwen</td><td class="name">may have run: timed_out</td><td class="name">encode</td><td>9</td><td>29.032 %</td><td class="name"><span class="bar" style="width:29.0px"></span></td></tr>
        <tr><td class="name">summary</td><td class="name">bala</td><td class="name">not run: over_share</td><td class="name"></td><td>2</td><td>6.451 %</td><td class="name"><span class="bar" style="width:6.5px"></span></td></tr>
        </table></div>
        </body>
        </html>
    "#]].assert_eq(body);
    for outside in ["http:", "https:", "<script", "src="] {
        assert!(!html.contains(outside), "the page refers to something outside it: {outside}");
    }
}

#[test]
fn a_plot_without_a_miss_still_has_a_scale() {
    let report = report(&[(60, 5, "gone bala answered")]);
    let svg = plot::attainment(&report.series[0]);
    assert!(!svg.contains("NaN") && !svg.contains("inf"), "{svg}");
}

#[peatdeck_macros::on_system]
async fn the_command_sums_the_counts_of_all_instances() {
    let bench = Bench::start("burn").await;
    let file = bench.file("fleet.toml", FLEET);
    bench.run(&["publish", "--author", "mair", &file]).await;
    bench.platform.state().outcomes = rows(&OUTCOMES);
    let _one = bench.platform.add_instance("entry-1");
    let _two = bench.platform.add_instance("entry-2");
    bench.platform.list_instance("entry-3", "127.0.0.1:1");
    let path = bench.file("burn.html", "");
    expect![[r#"
        exit 6
        Service-level burn, six hours to 2026-03-01T06:30:00Z

        PIPELINE  TEAM    REQUESTS  ATTAINMENT  OBJECTIVE  BUDGET LEFT  BURN 5 MIN  1 H    6 H    ALERT
        summary   (all)   1804      99.778 %    90.000 %   97.782 %     –           10.0   0.0
        summary   bala    1804      99.778 %    90.000 %   97.782 %     –           10.0   0.0
        ticket    (all)   1218      95.238 %    99.000 %   -376.191 %   13.9        4.8    4.8
        ticket    bala    1200      96.666 %    99.000 %   -233.334 %   10.0        3.3    3.3
        ticket    corwen  18        0.000 %     99.000 %   -9900.000 %  100.0       100.0  100.0  fast burn

        Largest causes of misses

        PIPELINE  TEAM    CAUSE                    STAGE   REQUESTS  SHARE
        ticket    bala    not run: infeasible              40        64.516 %
        ticket    corwen  may have run: timed_out  encode  18        29.032 %
        summary   bala    not run: over_share              4         6.451 %

        2 request(s) were invalid and are not counted.

        Counts of 2 instance(s): entry-1, entry-2.
        No response from entry-3: no connection to 127.0.0.1:1: Connection refused (os error 111); check the address and that the service runs
        The counts of an instance are lost when it stops: requests of instances that have stopped or restarted are not included.
    "#]].assert_eq(&bench.run(&["burn", "--html", &path]).await);
    assert!(bench.read("burn.html").starts_with("<!doctype html>"));
    let json = bench.run(&["burn", "--format", "json"]).await;
    assert!(json.contains("\"answered\": 1160"), "{json}");
}

#[peatdeck_macros::on_system]
async fn a_page_that_cannot_be_written_is_reported() {
    let bench = Bench::start("burn-write").await;
    let answer = bench.run(&["burn", "--html", "/nowhere/burn.html"]).await;
    expect![[r#"
        exit 1
          x cannot write /nowhere/burn.html: No such file or directory (os error 2)
          help: check that the directory exists and may be written to
    "#]]
    .assert_eq(&answer);
}
