//! `peatdeck terms`: endpoints that bear little, want rest or leave, as they say themselves.

use bpaf::{OptionParser, Parser, construct};
use peatdeck_wire::operators::{EndpointTerms, TERMS};

use crate::{
    commands,
    error::Error,
    ops::relay,
    shell::{self, Environment, Format, Output},
    table::Table,
};

/// The flags.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    instance: String,
}

/// The command line.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let instance = commands::instance();
    construct!(Args { format, instance })
        .to_options()
        .descr("List what endpoints say of themselves, as one relay instance has heard it.")
        .footer("Example:\n   peatdeck terms --at 10.1.64.3:9464")
}

/// Runs the command.
///
/// # Errors
/// [`Error::Instance`], [`Error::Unreadable`].
pub async fn exec(_: &Environment, args: Args) -> Result<Output, Error> {
    let terms = relay::list(&args.instance, TERMS).await?;
    Ok(Output::done(match args.format {
        Format::Json => shell::json(&terms)?,
        Format::Table => table(&terms),
    }))
}

fn table(terms: &[EndpointTerms]) -> String {
    if terms.is_empty() {
        return "no endpoint names a limit, wants rest or says that it leaves\n".to_owned();
    }
    let mut rows = Table::new(["ENDPOINT", "SERVICE", "CALLS A SECOND", "RESTS FOR", "LEAVES"]);
    for one in terms {
        let limit = one.limit.map_or_else(String::new, |limit| limit.to_string());
        let rest = if one.rest_ms > 0 { format!("{} ms", one.rest_ms) } else { String::new() };
        let leaves = if one.is_leaving { "yes" } else { "" };
        rows.row([one.endpoint.to_string(), one.service.to_string(), limit, rest, leaves.into()]);
    }
    rows.render()
}
