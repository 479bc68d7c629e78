//! `peatdeck restore`: puts a file in force after the log has lost the configuration.

use std::sync::Arc;

use bpaf::{OptionParser, Parser, construct, long, positional};
use peatdeck_core::record::Version;
use peatdeck_wire::admin::RestoreBody;

use crate::{
    commands::{self, ChangeArgs, publish},
    error::Error,
    ops::source,
    shell::{Environment, Output},
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    change: ChangeArgs,
    version: Version,
    id: Option<String>,
    file: String,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let change = commands::change_args();
    let version = long("version")
        .help("Newest version that was ever in force; the file becomes the next version")
        .argument::<Version>("N");
    let id = long("id")
        .help("Id of the restore, to repeat one that got no response; by default a new id")
        .argument::<String>("ID")
        .optional();
    let file = positional::<String>("FILE").help("Configuration file in TOML");
    construct!(Args { change, version, id, file })
        .to_options()
        .descr("Put a configuration file in force after the log has lost the previous one.")
        .footer(
            "Use this only if publishes are refused with `no_state` and no instance has the \
             configuration any more. Only one operator must run it, and only once.\n \
             Example:\n   peatdeck restore fleet.toml --version 12 --author mair",
        )
}

/// Runs the command.
///
/// # Errors
/// Any [`Error`] of the API; [`Error::File`] or [`Error::Source`] for the file.
pub async fn exec(env: &Environment, args: Args) -> Result<Output, Error> {
    let document = source::load(&args.file)?;
    let client = commands::connect(env, &args.change.admin).await?;
    let id = args.id.unwrap_or_else(|| publish::new_id("r"));
    let body = RestoreBody {
        id: id.into(),
        version: args.version,
        author: args.change.author.into(),
        document: Arc::new(document),
    };
    let reply = client.restore(&body).await?;
    publish::output(args.change.format, "restore", &reply)
}
