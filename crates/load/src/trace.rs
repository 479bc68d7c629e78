//! Recorded arrivals: a line of JSON a request.
//!
//! The first line is a header, `{"peatdeck_trace":1}`; its number is the
//! format's version. Every other line is one request:
//!
//! | field | meaning |
//! | --- | --- |
//! | `at_us` | when it was sent, in microseconds from the start of the trace |
//! | `id` | the caller's id |
//! | `team`, `pipeline` | as the configuration names them |
//! | `idempotent`, `stream` | as in the request |
//! | `deadline_ms` | how long the caller waits |
//! | `input` | the input |
//!
//! Lines are by rising `at_us`. Unknown fields are errors.

use std::{
    io::{BufRead, Write},
    sync::Arc,
    time::Duration,
};

use peatdeck_macros::message;

use crate::{arrivals::Arrival, error};

/// Version of the format that is written, and the only one that is read.
pub const VERSION: u32 = 1;

/// The first line.
#[message]
#[serde(deny_unknown_fields)]
struct Header {
    peatdeck_trace: u32,
}

/// Any other line.
#[message]
#[serde(deny_unknown_fields)]
struct Line {
    at_us: u64,
    id: Arc<str>,
    team: Arc<str>,
    pipeline: Arc<str>,
    idempotent: bool,
    stream: bool,
    deadline_ms: u64,
    input: Arc<str>,
}

/// Writes arrivals as a trace.
///
/// # Errors
/// If `out` fails.
pub fn write(out: &mut impl Write, arrivals: &[Arrival]) -> std::io::Result<()> {
    serde_json::to_writer(&mut *out, &Header { peatdeck_trace: VERSION })?;
    out.write_all(b"\n")?;
    for arrival in arrivals {
        serde_json::to_writer(&mut *out, &Line::from(arrival))?;
        out.write_all(b"\n")?;
    }
    out.flush()
}

/// Reads a trace whole.
///
/// # Errors
/// If a line is not of the format; the error names it.
pub fn read(input: impl BufRead) -> Result<Vec<Arrival>, error::Error> {
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.map_err(|err| bad(number, err.to_string()))?;
        if index == 0 {
            check_header(&line)?;
            continue;
        }
        let line: Line = serde_json::from_str(&line).map_err(|err| bad(number, err.to_string()))?;
        let arrival = Arrival::from(line);
        if arrivals.last().is_some_and(|last| last.at > arrival.at) {
            return Err(bad(number, "`at_us` is smaller than on the line before".to_owned()));
        }
        arrivals.push(arrival);
    }
    if arrivals.is_empty() {
        return Err(bad(1, "there is no request in it".to_owned()));
    }
    Ok(arrivals)
}

fn check_header(line: &str) -> Result<(), error::Error> {
    let header: Header = serde_json::from_str(line).map_err(|err| bad(1, err.to_string()))?;
    if header.peatdeck_trace != VERSION {
        let message = format!("version {} of the format is not known", header.peatdeck_trace);
        return Err(bad(1, message));
    }
    Ok(())
}

fn bad(line: usize, message: String) -> error::Error {
    error::Error::Trace { line, message }
}

impl From<&Arrival> for Line {
    fn from(arrival: &Arrival) -> Line {
        Line {
            at_us: u64::try_from(arrival.at.as_micros()).unwrap_or(u64::MAX),
            id: arrival.id.clone(),
            team: arrival.team.clone(),
            pipeline: arrival.pipeline.clone(),
            idempotent: arrival.idempotent,
            stream: arrival.stream,
            deadline_ms: u64::try_from(arrival.deadline.as_millis()).unwrap_or(u64::MAX),
            input: arrival.input.clone(),
        }
    }
}

impl From<Line> for Arrival {
    fn from(line: Line) -> Arrival {
        Arrival {
            at: Duration::from_micros(line.at_us),
            id: line.id,
            team: line.team,
            pipeline: line.pipeline,
            idempotent: line.idempotent,
            stream: line.stream,
            deadline: Duration::from_millis(line.deadline_ms),
            input: line.input,
        }
    }
}
