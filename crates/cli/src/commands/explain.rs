//! `peatdeck explain`: finds the log lines of one request in collected log files.

use bpaf::{OptionParser, Parser, construct, positional};

use crate::{
    commands,
    error::Error,
    ops::explain,
    shell::{self, Environment, Format, Output},
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    id: String,
    files: Vec<String>,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let id = positional::<String>("ID").help("Id of the request, as given by the caller");
    let files = positional::<String>("FILE")
        .help("Log files of all relay instances, since any instance may run pieces of the request")
        .some("give at least one log file");
    construct!(Args { format, id, files })
        .to_options()
        .descr("Show how a request was processed, from the logs of all relay instances.")
        .footer("Example:\n   peatdeck explain 9c41d07be2a35f68 edge-*.log")
}

/// Runs the command.
///
/// # Errors
/// [`Error::File`] if a file cannot be read, [`Error::RequestNotFound`] if no line
/// refers to the request.
pub async fn exec(_: &Environment, args: Args) -> Result<Output, Error> {
    let lines = explain::find_lines(&args.id, &args.files)?;
    if lines.is_empty() {
        return Err(Error::RequestNotFound { id: args.id });
    }
    let text = match args.format {
        Format::Json => shell::json(&lines)?,
        Format::Table => explain::render(&lines),
    };
    Ok(Output::done(text))
}
