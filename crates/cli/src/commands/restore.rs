//! `peatdeck restore`: put a file in force when the log no longer tells what was.

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

/// The flags.
#[derive(Debug, Clone)]
pub struct Args {
    change: ChangeArgs,
    version: Version,
    id: Option<String>,
    file: String,
}

/// The command line.
pub fn cli() -> OptionParser<Args> {
    let change = commands::change_args();
    let version = long("version")
        .help("Newest version that was ever in force; the file becomes the next one")
        .argument::<Version>("N");
    let id = long("id")
        .help("Id of the restore, to send one again that got no answer; a new one if not given")
        .argument::<String>("ID")
        .optional();
    let file = positional::<String>("FILE").help("Configuration file in TOML");
    construct!(Args { change, version, id, file })
        .to_options()
        .descr("Put a configuration file in force when the log has lost what was.")
        .footer(
            "Only where publishes are refused with `no_state` and no instance has the \
             configuration any more. One operator does it, once.\n \
             Example:\n   peatdeck restore fleet.toml --version 12 --author mair",
        )
}

/// Runs the command.
///
/// # Errors
/// Any [`Error`].
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
