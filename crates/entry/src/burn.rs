//! Outcomes by minute, for the error budget burn report.
//!
//! Memory is bounded in two ways: only the last day is kept, and each minute
//! has a bounded number of distinct rows. Names that are not in the
//! configuration are not kept, since callers could send any number of them.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use peatdeck_core::model::{Invalid, Outcome, PipelineName, StageName, TeamName};
use peatdeck_wire::admin::OutcomeCount;

use crate::outcome;

/// Length of a time slot, in seconds.
pub const SLOT_SECONDS: u64 = 60;
/// Maximum number of slots kept: one day.
pub const MAX_SLOTS: usize = 24 * 60;
/// Maximum number of distinct rows in a slot; counts beyond it go to a row
/// without names.
pub const MAX_ROWS: usize = 512;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Row {
    pipeline: PipelineName,
    team: TeamName,
    outcome: &'static str,
    stage: Option<StageName>,
}

#[derive(Debug)]
struct Slot {
    start: u64,
    rows: HashMap<Row, u64>,
}

/// Number of outcomes of each kind by minute, for the last day.
#[derive(Debug, Default)]
pub struct OutcomeHistory {
    slots: VecDeque<Slot>,
}

impl OutcomeHistory {
    /// Counts one outcome in the slot of the time `wall`.
    pub fn record(
        &mut self,
        wall: SystemTime,
        pipeline: &PipelineName,
        team: &TeamName,
        outcome: &Outcome,
    ) {
        let row = row(pipeline, team, outcome);
        let rows = &mut self.slot(wall).rows;
        let row = match rows.contains_key(&row) || rows.len() < MAX_ROWS {
            true => row,
            false => Row { pipeline: empty_name(), team: empty_name(), stage: None, ..row },
        };
        *rows.entry(row).or_default() += 1;
    }

    /// All rows of slots that start at `since` (seconds of Unix time) or later.
    pub fn rows(&self, since: u64) -> Vec<OutcomeCount> {
        let slots = self.slots.iter().filter(|slot| slot.start >= since);
        let mut rows: Vec<OutcomeCount> = slots.flat_map(slot_rows).collect();
        rows.sort_by(|left, right| sort_key(left).cmp(&sort_key(right)));
        rows
    }

    /// The slot of the time `wall`. After the wall clock jumped back, outcomes
    /// are counted in the newest slot, so that slots stay in order.
    fn slot(&mut self, wall: SystemTime) -> &mut Slot {
        let seconds = wall.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
        let start = seconds - seconds % SLOT_SECONDS;
        if self.slots.back().is_none_or(|slot| slot.start < start) {
            self.slots.push_back(Slot { start, rows: HashMap::new() });
        }
        if self.slots.len() > MAX_SLOTS {
            self.slots.pop_front();
        }
        self.slots.back_mut().expect("a slot has been pushed if there was none")
    }
}

fn row(pipeline: &PipelineName, team: &TeamName, outcome: &Outcome) -> Row {
    let (pipeline, team) = match outcome {
        Outcome::Invalid(Invalid::UnknownPipeline | Invalid::UnknownTeam) => {
            (empty_name(), empty_name())
        }
        _ => (pipeline.clone(), team.clone()),
    };
    let stage = match outcome {
        Outcome::MayHaveRun(doubt) => doubt.stage.clone(),
        _ => None,
    };
    Row { pipeline, team, outcome: outcome::code(outcome), stage }
}

fn slot_rows(slot: &Slot) -> impl Iterator<Item = OutcomeCount> {
    slot.rows.iter().map(|(row, count)| OutcomeCount {
        slot: slot.start,
        pipeline: row.pipeline.clone(),
        team: row.team.clone(),
        outcome: Arc::from(row.outcome),
        stage: row.stage.clone(),
        count: *count,
    })
}

fn sort_key(row: &OutcomeCount) -> (u64, &str, &str, &str, Option<&str>) {
    (row.slot, &row.pipeline, &row.team, &row.outcome, row.stage.as_deref())
}

fn empty_name() -> Arc<str> {
    Arc::from("")
}
