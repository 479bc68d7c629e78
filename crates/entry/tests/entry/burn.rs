use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use expect_test::{Expect, expect};
use peatdeck_core::model::{
    Answer, Invalid, Outcome, Refusal, RefusalKind, Uncertainty, UncertaintyKind,
};
use peatdeck_entry::burn::{MAX_ROWS, MAX_SLOTS, OutcomeHistory, SLOT_SECONDS};

fn at(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(seconds)
}

fn answered() -> Outcome {
    Outcome::Answered(Answer { output: Arc::from(""), stages: Vec::new() })
}

fn record(
    history: &mut OutcomeHistory,
    seconds: u64,
    pipeline: &str,
    team: &str,
    outcome: &Outcome,
) {
    history.record(at(seconds), &Arc::from(pipeline), &Arc::from(team), outcome);
}

fn check(history: &OutcomeHistory, since: u64, expected: Expect) {
    let rows = history.rows(since);
    let lines: Vec<_> = rows
        .iter()
        .map(|row| {
            let stage = row.stage.as_deref().unwrap_or("-");
            let (pipeline, team) = (&row.pipeline, &row.team);
            format!("{} [{pipeline}] [{team}] {} {stage} {}", row.slot, row.outcome, row.count)
        })
        .collect();
    expected.assert_eq(&lines.join("\n"));
}

#[test]
fn outcomes_are_counted_by_minute_and_kind() {
    let mut history = OutcomeHistory::default();
    let refusal = Refusal { kind: RefusalKind::Infeasible, retry_after: Duration::ZERO };
    let stage = Some(Arc::from("generate"));
    let uncertainty = Uncertainty { kind: UncertaintyKind::TimedOut, stage, retry_after: None };
    record(&mut history, 60, "p", "t", &answered());
    record(&mut history, 119, "p", "t", &answered());
    record(&mut history, 119, "p", "t", &Outcome::NotRun(refusal));
    record(&mut history, 120, "p", "u", &Outcome::MayHaveRun(uncertainty));
    check(
        &history,
        0,
        expect![[r#"
        60 [p] [t] answered - 2
        60 [p] [t] infeasible - 1
        120 [p] [u] timed_out generate 1"#]],
    );
    check(&history, 120, expect!["120 [p] [u] timed_out generate 1"]);
}

#[test]
fn unknown_pipeline_and_team_names_are_not_stored() {
    let mut history = OutcomeHistory::default();
    record(&mut history, 0, "made-up-1", "t", &Outcome::Invalid(Invalid::UnknownPipeline));
    record(&mut history, 0, "p", "made-up-2", &Outcome::Invalid(Invalid::UnknownTeam));
    check(
        &history,
        0,
        expect![[r#"
        0 [] [] unknown_pipeline - 1
        0 [] [] unknown_team - 1"#]],
    );
}

#[test]
fn a_clock_that_jumps_back_counts_in_the_newest_slot() {
    let mut history = OutcomeHistory::default();
    record(&mut history, 600, "p", "t", &answered());
    record(&mut history, 10, "p", "t", &answered());
    check(&history, 0, expect!["600 [p] [t] answered - 2"]);
}

#[test]
fn only_the_last_day_is_kept() {
    let mut history = OutcomeHistory::default();
    for slot in 0..=MAX_SLOTS as u64 {
        record(&mut history, slot * SLOT_SECONDS, "p", "t", &answered());
    }
    let rows = history.rows(0);
    assert_eq!(rows.len(), MAX_SLOTS);
    assert_eq!(rows[0].slot, SLOT_SECONDS);
}

#[test]
fn a_minute_has_a_bounded_number_of_rows_and_loses_no_count() {
    let mut history = OutcomeHistory::default();
    let total = 2 * MAX_ROWS;
    for idx in 0..total {
        record(&mut history, 0, "p", &format!("t{idx}"), &answered());
    }
    let rows = history.rows(0);
    assert!(rows.len() <= MAX_ROWS + 1, "{}", rows.len());
    assert_eq!(rows.iter().map(|row| row.count).sum::<u64>(), total as u64);
}
