#![allow(clippy::unwrap_used)]

use expect_test::expect;
use peatdeck_load::{
    report::{Event, Report, ReportParams},
    sample::{Ending, Sample},
    work::{CallEnd, CallIndex, EndpointCall},
};

use crate::support::{answered, call, ms, params, sample};

/// Samples and recorded calls of a run with one request of each kind; the first is within the
/// warm-up.
pub fn recorded() -> (Vec<Sample>, Vec<EndpointCall>) {
    let small = |sample: Sample| Sample { team: "small".into(), ..sample };
    let samples = vec![
        answered("warm", 500, 100, "e-1"),
        answered("good", 1100, 200, "e-1"),
        Sample { first_token: Some(ms(30)), ..answered("hedged", 1500, 400, "e-2") },
        answered("late", 1900, 1200, "e-1"),
        sample("doubt", 2000, 1000, Ending::MayHaveRun("timed_out".into())),
        small(sample("refused", 2500, 5, Ending::NotRun("infeasible".into()))),
    ];
    let calls = vec![
        call("warm", 1, "e-1", 0, 90, CallEnd::Finished),
        call("good", 1, "e-1", 0, 100, CallEnd::Finished),
        call("hedged", 1, "e-1", 100, 200, CallEnd::Cancelled),
        call("hedged", 2, "e-2", 200, 100, CallEnd::Finished),
        call("late", 1, "e-1", 300, 100, CallEnd::Finished),
        call("doubt", 1, "e-1", 400, 300, CallEnd::Cancelled),
    ];
    (samples, calls)
}

/// The report of that run.
pub fn report() -> Report {
    let (samples, calls) = recorded();
    let event = Event { at: ms(1500), what: "killed <e-3> & e-4".into() };
    let params = ReportParams { events: vec![event], ..params() };
    Report::new(&params, &samples, Some(&CallIndex::new(calls)), Vec::new())
}

#[test]
fn the_table_shows_every_part() {
    expect![[r#"
        small (seed 7, 2 s counted)
        offered 2.5/s = 1.25 x capacity 2.0/s, goodput 1.0/s, sends 1.000 a request

                                      planned  answered  in time  not run  attainment  of share
        all                                 5         3        2        1      40.00%
        team big                            4         3        2        0      50.00%     2.000
        team small                          1         0        0        1       0.00%     0.000
        pipeline draft                      5         3        2        1      40.00%

        endings
          answered                                2
          answered_late                           1
          may_have_run/timed_out                  1
          not_run/infeasible                      1

        times, ms           count       p50       p90       p99     p99.9       max
        answer                  3    400.13   1200.13   1200.13   1200.13   1200.13
        first token             1     30.02     30.02     30.02     30.02     30.02
        tool's delay            5      0.00      0.00      0.00      0.00      0.00

        stage work                           calls    ms/in time     useful      hedge      retry  cancelled       late
        draft/generate                           5         400.0     25.00%      0.00%      0.00%     62.50%     12.50%
        waste 75.00% of stage work
        at 1.5 s: killed <e-3> & e-4
        violations: none
    "#]].assert_eq(&report().to_string());
}

#[test]
fn json_can_be_read_back() {
    let report = report();
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
}

#[test]
fn the_timeline_counts_by_planned_second_with_the_warm_up() {
    let slots: Vec<(u64, u64, u64)> =
        report().timeline.iter().map(|slot| (slot.planned, slot.in_time, slot.not_run)).collect();
    assert_eq!(slots, [(1, 1, 0), (3, 2, 0), (2, 0, 1)]);
}

#[test]
fn without_records_there_is_no_cost() {
    let (samples, _) = recorded();
    let report = Report::new(&params(), &samples, None, Vec::new());
    assert_eq!(report.waste, None);
    assert!(report.stages.is_empty());
}
