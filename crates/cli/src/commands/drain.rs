//! `peatdeck drain`: stops new work for the current incarnation of an endpoint.

use bpaf::{OptionParser, Parser, construct, long, positional};
use peatdeck_core::model::Incarnation;
use peatdeck_wire::admin::DrainBody;

use crate::{
    commands::{self, ChangeArgs},
    error::Error,
    shell::{self, Environment, Format, Output},
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    change: ChangeArgs,
    incarnation: Option<u64>,
    endpoint: String,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let change = commands::change_args();
    let incarnation = long("incarnation")
        .help("Incarnation of the endpoint to drain; by default the listed one")
        .argument::<u64>("N")
        .optional();
    let endpoint =
        positional::<String>("ENDPOINT").help("Name of the endpoint in the platform's list");
    construct!(Args { change, incarnation, endpoint })
        .to_options()
        .descr("Drain an endpoint: it receives no new work until it restarts.")
        .footer("Example:\n   peatdeck drain engine-07 --author mair")
}

/// Runs the command.
///
/// # Errors
/// Any [`Error`] of the API.
pub async fn exec(env: &Environment, args: Args) -> Result<Output, Error> {
    let client = commands::connect(env, &args.change.admin).await?;
    let body = DrainBody {
        author: args.change.author.into(),
        incarnation: args.incarnation.map(Incarnation),
    };
    let reply = client.drain(&args.endpoint, &body).await?;
    Ok(Output::done(match args.change.format {
        Format::Json => shell::json(&reply)?,
        Format::Table => {
            format!(
                "accepted: {} receives no new work in incarnation {}\n",
                reply.endpoint, reply.incarnation.0
            )
        }
    }))
}
