//! Results of a run, and the table in which they are printed.

use std::time::Duration;

use crate::MEASURED;

/// Header of the table.
pub const HEADER: &str = "\
| members | way | bytes/s sent | messages/s sent | processor µs/s | largest message | \
detected first | by half | by all | wrong, short pauses | wrong, long pauses |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Results of a run.
#[derive(Default)]
pub struct Figures {
    /// Bytes that all members sent in the measured period.
    pub bytes: u64,
    /// Messages that all members sent in the measured period.
    pub messages: u64,
    /// Size of the largest message, in bytes.
    pub largest: u64,
    /// Processor time that all members used in the measured period.
    pub processor: Duration,
    /// Time from the crash until each member considered the crashed one dead.
    pub detected: Vec<Option<Duration>>,
    /// Pairs of observer and member in which the member was considered dead outside
    /// a long pause.
    pub wrong_short: usize,
    /// Pairs of observer and member in which the member was considered dead in or
    /// shortly after a long pause.
    pub wrong_long: usize,
}

impl Figures {
    /// Counts a sent message.
    pub fn record_sent(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.messages += 1;
        self.largest = self.largest.max(bytes as u64);
    }
}

/// One row of the table.
pub fn row(members: usize, way: &str, figures: &Figures) -> String {
    let share = members as f64 * MEASURED.as_secs_f64();
    let mut detected = figures.detected.clone();
    detected.sort_unstable_by_key(|at| at.unwrap_or(Duration::MAX));
    let at = |idx: usize| match detected.get(idx) {
        Some(Some(at)) => format!("{:.1} s", at.as_secs_f64()),
        _ => "never".to_owned(),
    };
    format!(
        "| {members} | {way} | {:.0} | {:.1} | {:.0} | {} | {} | {} | {} | {} | {} |",
        figures.bytes as f64 / share,
        figures.messages as f64 / share,
        figures.processor.as_secs_f64() * 1e6 / share,
        figures.largest,
        at(0),
        at(detected.len() / 2),
        at(detected.len().saturating_sub(1)),
        figures.wrong_short,
        figures.wrong_long,
    )
}
