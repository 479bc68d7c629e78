//! `peatdeck replay`: replays a recorded trace locally and compares the replies
//! to callers.

use std::{fs::File, io::BufReader};

use bpaf::{OptionParser, Parser, construct, positional};
use peatdeck_core::trace::{self, OutcomeKind, Report};

use crate::{
    commands,
    error::Error,
    exit,
    shell::{self, Environment, Format, Output},
    table::Table,
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    file: String,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let file = positional::<String>("FILE").help("Trace written by peatdeck-entry --trace");
    construct!(Args { format, file })
        .to_options()
        .descr("Replay a recorded trace and compare the replies to callers.")
        .footer("Example:\n   peatdeck replay entry-1.trace")
}

/// Runs the command.
///
/// # Errors
/// [`Error::File`] if the trace cannot be opened, [`Error::Trace`] if it is invalid.
pub async fn exec(_: &Environment, args: Args) -> Result<Output, Error> {
    let path = args.file;
    let file = File::open(&path).map_err(|cause| Error::File { path: path.clone(), cause })?;
    let report = trace::replay(BufReader::new(file));
    let report = report.map_err(|cause| Error::Trace { path, cause })?;
    let text = match args.format {
        Format::Json => shell::json(&report)?,
        Format::Table => render(&report),
    };
    let code = if report.is_clean() { exit::Code::Done } else { exit::Code::Differs };
    Ok(Output { text, code })
}

fn render(report: &Report) -> String {
    let mut table = Table::new(["CALLER", "TEAM", "REQUEST", "CALLS", "TOLD", "REPLAY TELLS"]);
    for line in &report.callers {
        table.row([
            line.caller.0.to_string(),
            line.key.team.to_string(),
            line.key.id.to_string(),
            line.calls.to_string(),
            describe(line.recorded),
            describe(line.replayed),
        ]);
    }
    let mut text = table.render();
    for finding in &report.faults {
        text.push_str(&format!("line {}: {}\n", finding.line, finding.fault));
    }
    let (name, faults) = (&report.identity.name, report.faults.len());
    let truncated = if report.torn { "; the last line is truncated" } else { "" };
    text.push_str(&format!(
        "{name}: {} inputs, {} calls, {faults} differences{truncated}\n",
        report.inputs, report.calls
    ));
    text
}

fn describe(kind: Option<OutcomeKind>) -> String {
    kind.map_or("nothing", OutcomeKind::name).replace('_', " ")
}
