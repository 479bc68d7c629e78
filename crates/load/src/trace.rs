//! Traces: recorded arrivals, one line of JSON per request.
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
//! Lines are in order of `at_us`. Unknown fields are errors.

use std::{
    io::{BufRead, Write},
    sync::Arc,
    time::Duration,
};

use peatdeck_macros::message;

use crate::{arrivals::Arrival, error};

/// Version of the format; no other version can be read.
pub const VERSION: u32 = 1;

/// First line of a trace.
#[message]
#[serde(deny_unknown_fields)]
struct Header {
    peatdeck_trace: u32,
}

/// A line with a request.
#[message]
#[serde(deny_unknown_fields)]
struct RequestLine {
    at_us: u64,
    id: Arc<str>,
    team: Arc<str>,
    pipeline: Arc<str>,
    idempotent: bool,
    stream: bool,
    deadline_ms: u64,
    input: Arc<str>,
}

/// Writes arrivals in the trace format.
///
/// # Errors
/// If writing to `out` fails.
pub fn write(out: &mut impl Write, arrivals: &[Arrival]) -> std::io::Result<()> {
    serde_json::to_writer(&mut *out, &Header { peatdeck_trace: VERSION })?;
    out.write_all(b"\n")?;
    for arrival in arrivals {
        serde_json::to_writer(&mut *out, &RequestLine::from(arrival))?;
        out.write_all(b"\n")?;
    }
    out.flush()
}

/// Reads a whole trace.
///
/// # Errors
/// If a line is invalid; the error contains its number.
pub fn read(input: impl BufRead) -> Result<Vec<Arrival>, error::Error> {
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.map_err(|err| line_error(number, err.to_string()))?;
        if index == 0 {
            check_header(&line)?;
            continue;
        }
        let line: RequestLine =
            serde_json::from_str(&line).map_err(|err| line_error(number, err.to_string()))?;
        let arrival = Arrival::from(line);
        if arrivals.last().is_some_and(|last| last.at > arrival.at) {
            return Err(line_error(
                number,
                "`at_us` is smaller than on the line before".to_owned(),
            ));
        }
        arrivals.push(arrival);
    }
    if arrivals.is_empty() {
        return Err(line_error(1, "there is no request in it".to_owned()));
    }
    Ok(arrivals)
}

fn check_header(line: &str) -> Result<(), error::Error> {
    let header: Header =
        serde_json::from_str(line).map_err(|err| line_error(1, err.to_string()))?;
    if header.peatdeck_trace != VERSION {
        let message = format!("version {} of the format is not known", header.peatdeck_trace);
        return Err(line_error(1, message));
    }
    Ok(())
}

fn line_error(line: usize, message: String) -> error::Error {
    error::Error::Trace { line, message }
}

impl From<&Arrival> for RequestLine {
    fn from(arrival: &Arrival) -> RequestLine {
        RequestLine {
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

impl From<RequestLine> for Arrival {
    fn from(line: RequestLine) -> Arrival {
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
