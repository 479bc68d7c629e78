//! `peatdeck explain`: one request's story out of collected log files.

use bpaf::{OptionParser, Parser, construct, positional};

use crate::{
    commands,
    error::Error,
    ops::explain,
    shell::{self, Environment, Format, Output},
};

/// The flags.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    id: String,
    files: Vec<String>,
}

/// The command line.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let id = positional::<String>("ID").help("The caller's id of the request");
    let files = positional::<String>("FILE")
        .help("Log files of relay instances; all of them, since pieces are made by any")
        .some("give at least one log file");
    construct!(Args { format, id, files })
        .to_options()
        .descr("Tell what became of a request, from the logs of all relay instances.")
        .footer("Example:\n   peatdeck explain 9c41d07be2a35f68 edge-*.log")
}

/// Runs the command.
///
/// # Errors
/// [`Error::File`], [`Error::RequestNotFound`].
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
