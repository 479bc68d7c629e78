//! Prints and writes the results of runs.

use crate::{args, error, experiment::Outcome, files, plot, report::Report};

/// Prints the report of a run and writes the requested files.
///
/// # Errors
/// If a file cannot be written, or if the report has contradictions.
pub fn write(output: &args::OutputArgs, outcome: &Outcome) -> error::Result<()> {
    println!("{}", outcome.report);
    if let Some(path) = &output.json {
        files::write(path, &json(&outcome.report))?;
    }
    if let Some(path) = &output.svg {
        files::write(path, &plot::attainment(&[&outcome.report]))?;
    }
    if let Some(path) = &output.samples {
        let lines: String =
            outcome.samples.iter().map(|sample| format!("{}\n", line(sample))).collect();
        files::write(path, &lines)?;
    }
    fail_on_violations([&outcome.report])
}

/// Fails if any report has contradictions, so that the exit code shows them.
///
/// # Errors
/// [`error::Error::Violations`].
pub fn fail_on_violations<'a>(reports: impl IntoIterator<Item = &'a Report>) -> error::Result<()> {
    let count = reports.into_iter().map(|report| report.violations.len()).sum();
    if count == 0 { Ok(()) } else { Err(error::Error::Violations(count)) }
}

/// Formats a value as indented JSON.
pub fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).expect("reports have string keys only")
}

fn line(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("samples have string keys only")
}
