//! Figures of a run and how they are printed.

use std::time::Duration;

use crate::MEASURED;

/// The table's head.
pub const HEADER: &str = "\
| members | way | bytes/s sent | messages/s sent | processor µs/s | largest message | \
detected first | by half | by all | wrong, short pauses | wrong, long pauses |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// What a run has shown.
#[derive(Default)]
pub struct Figures {
    /// Bytes that all members sent while the cost was measured.
    pub bytes: u64,
    /// Messages that all members sent in that time.
    pub messages: u64,
    /// The largest message in bytes.
    pub largest: u64,
    /// Processor time that all members took.
    pub processor: Duration,
    /// Time from the death until each member took the victim for dead.
    pub detected: Vec<Option<Duration>>,
    /// Pairs in which a member was taken for dead that was not paused for long.
    pub wrong_short: usize,
    /// Pairs in which a member was taken for dead in a long pause.
    pub wrong_long: usize,
}

impl Figures {
    /// Counts a message.
    pub fn record_sent(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.messages += 1;
        self.largest = self.largest.max(bytes as u64);
    }
}

/// One line of the table.
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
