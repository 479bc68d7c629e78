//! `peatdeck drain`: an endpoint gets no new work in its present incarnation.

use bpaf::{OptionParser, Parser, construct, long, positional};
use peatdeck_core::model::Incarnation;
use peatdeck_wire::admin::DrainBody;

use crate::{
    commands::{self, ChangeArgs},
    error::Error,
    shell::{self, Environment, Format, Output},
};

/// The flags.
#[derive(Debug, Clone)]
pub struct Args {
    change: ChangeArgs,
    incarnation: Option<u64>,
    endpoint: String,
}

/// The command line.
pub fn cli() -> OptionParser<Args> {
    let change = commands::change_args();
    let incarnation = long("incarnation")
        .help("Incarnation of the endpoint that it holds for; the listed one if not given")
        .argument::<u64>("N")
        .optional();
    let endpoint =
        positional::<String>("ENDPOINT").help("Endpoint, as the platform's list names it");
    construct!(Args { change, incarnation, endpoint })
        .to_options()
        .descr("Drain an endpoint: it gets no new work until it is started again.")
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
                "accepted: {} gets no new work in incarnation {}\n",
                reply.endpoint, reply.incarnation.0
            )
        }
    }))
}
