//! Parses durations such as `5s`, `250ms` and `2m`.

use std::time::Duration;

/// Units in seconds. `ms` precedes `s`, in which it ends.
const UNITS: [(&str, f64); 3] = [("ms", 0.001), ("s", 1.0), ("m", 60.0)];

/// Parses a duration.
///
/// # Errors
/// A message that states the expected form.
pub fn parse(text: &str) -> Result<Duration, String> {
    for (suffix, seconds) in UNITS {
        let Some(number) = text.strip_suffix(suffix) else { continue };
        if let Some(span) = number.parse::<f64>().ok().and_then(|count| span(count * seconds)) {
            return Ok(span);
        }
    }
    Err(format!("`{text}` is not a time; write it as `5s` or `250ms`"))
}

fn span(seconds: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(seconds).ok()
}
