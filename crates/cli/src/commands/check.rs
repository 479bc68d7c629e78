//! `peatdeck check`: checks a configuration file locally.

use bpaf::{OptionParser, Parser, construct, positional};

use crate::{
    commands,
    error::Error,
    ops::source,
    shell::{self, Environment, Format, Output},
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
    let file = positional::<String>("FILE").help("Configuration file in TOML");
    construct!(Args { format, file })
        .to_options()
        .descr("Check a configuration file without publishing it.")
        .footer("Example:\n   peatdeck check fleet.toml")
}

/// Runs the command.
///
/// # Errors
/// [`Error::File`] if the file cannot be read, [`Error::Source`] if it is invalid.
pub async fn exec(_: &Environment, args: Args) -> Result<Output, Error> {
    let document = source::load(&args.file)?;
    let text = match args.format {
        Format::Json => shell::json(&document)?,
        Format::Table => format!(
            "{} is valid: {} pools, {} pipelines, {} teams, {} policies\n",
            args.file,
            document.pools.len(),
            document.pipelines.len(),
            document.teams.len(),
            document.policies.len()
        ),
    };
    Ok(Output::done(text))
}
