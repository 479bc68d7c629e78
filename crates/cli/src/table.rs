//! Plain-text tables for terminals, with columns as wide as their widest cell.

use std::time::{Duration, SystemTime};

/// Spaces between two columns.
const GAP: usize = 2;
/// Seconds in a day.
const DAY: u64 = 86_400;

/// A table, rendered as a whole.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column titles.
    pub fn new<const N: usize>(titles: [&str; N]) -> Table {
        Table { rows: vec![titles.iter().map(ToString::to_string).collect()] }
    }

    /// Appends a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// Renders the table as text, one line per row.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(cell);
                line.extend(std::iter::repeat_n(' ', width + GAP - cell.chars().count()));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

/// Formats a share as a percentage, rounded down so that it is 100 % only if there
/// is no miss; `None` becomes a dash.
pub fn percent(share: Option<f64>) -> String {
    /// Steps of 0.001 % in a share of 1.
    const STEPS: f64 = 100_000.0;
    /// Compensates for binary fractions slightly below the decimal value.
    const ROUNDING_SLACK: f64 = 1e-6;
    match share {
        Some(share) => format!("{:.3} %", (share * STEPS + ROUNDING_SLACK).floor() / STEPS * 100.0),
        None => "–".to_owned(),
    }
}

/// Formats a burn rate; `None` becomes a dash.
pub fn rate(rate: Option<f64>) -> String {
    rate.map_or_else(|| "–".to_owned(), |rate| format!("{rate:.1}"))
}

/// The name, or a placeholder if it is empty.
pub fn name_or_placeholder(name: &str) -> &str {
    if name.is_empty() { "(not named)" } else { name }
}

/// Formats a time as `2026-03-01T06:30:00Z`.
pub fn utc(time: SystemTime) -> String {
    let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or(Duration::ZERO).as_secs();
    let (year, month, day) = date(since / DAY);
    let (hour, minute, second) = (since % DAY / 3600, since % 3600 / 60, since % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts a number of days since 1970-01-01 to year, month and day of the
/// Gregorian calendar. Eras of 400 years start on 1 March, so that the leap day
/// is the last day of its year.
fn date(days: u64) -> (u64, u64, u64) {
    const ERA_DAYS: u64 = 146_097;
    const DAYS_TO_1970: u64 = 719_468;
    let days = days + DAYS_TO_1970;
    let era = days / ERA_DAYS;
    let day_of_era = days % ERA_DAYS;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
