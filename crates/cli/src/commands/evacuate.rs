//! `peatdeck evacuate`: stops new work for the endpoints of a data centre, or resumes it.

use bpaf::{OptionParser, Parser, construct, long, positional};
use peatdeck_wire::admin::{EvacuationBody, EvacuationReply};

use crate::{
    commands::{self, ChangeArgs},
    error::Error,
    shell::{self, Environment, Format, Output},
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    change: ChangeArgs,
    over: bool,
    data_centre: String,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let change = commands::change_args();
    let over =
        long("over").help("End the evacuation: the endpoints receive new work again").switch();
    let data_centre =
        positional::<String>("DATA-CENTRE").help("Name of the data centre in the platform's list");
    construct!(Args { change, over, data_centre })
        .to_options()
        .descr("Evacuate a data centre: its endpoints receive no new work until the evacuation ends.")
        .footer("Example:\n   peatdeck evacuate dc-2 --author mair\n   peatdeck evacuate dc-2 --over --author mair")
}

/// Runs the command.
///
/// # Errors
/// Any [`Error`] of the API.
pub async fn exec(env: &Environment, args: Args) -> Result<Output, Error> {
    let client = commands::connect(env, &args.change.admin).await?;
    let body = EvacuationBody { author: args.change.author.into(), is_over: args.over };
    let reply = client.evacuate(&args.data_centre, &body).await?;
    Ok(Output::done(match args.change.format {
        Format::Json => shell::json(&reply)?,
        Format::Table => describe(&reply),
    }))
}

fn describe(reply: &EvacuationReply) -> String {
    let EvacuationReply { data_centre, is_evacuated, endpoints } = reply;
    let what = match is_evacuated {
        true => "receive no new work",
        false => "receive new work again",
    };
    match endpoints {
        Some(0) => {
            format!("accepted: endpoints of {data_centre} {what}; none is listed\n")
        }
        Some(count) => format!("accepted: {count} endpoints of {data_centre} {what}\n"),
        None => format!("accepted: endpoints of {data_centre} {what}; the list is unavailable\n"),
    }
}
