//! `peatdeck terms`: lists endpoints that have announced a rate limit, a hold or that they leave.

use bpaf::{OptionParser, Parser, construct};
use peatdeck_wire::operators::{EndpointTerms, TERMS};

use crate::{
    commands,
    error::Error,
    ops::relay,
    shell::{self, Environment, Format, Output},
    table::Table,
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    instance: String,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let instance = commands::instance();
    construct!(Args { format, instance })
        .to_options()
        .descr("List the terms that endpoints have announced to one relay instance.")
        .footer("Example:\n   peatdeck terms --at 10.1.64.3:9464")
}

/// Runs the command.
///
/// # Errors
/// [`Error::Instance`] if the request fails, [`Error::Unreadable`] if the response is
/// invalid.
pub async fn exec(_: &Environment, args: Args) -> Result<Output, Error> {
    let terms = relay::list(&args.instance, TERMS).await?;
    Ok(Output::done(match args.format {
        Format::Json => shell::json(&terms)?,
        Format::Table => table(&terms),
    }))
}

fn table(terms: &[EndpointTerms]) -> String {
    if terms.is_empty() {
        return "no endpoint has announced a rate limit, a hold or that it is leaving\n".to_owned();
    }
    let mut rows = Table::new(["ENDPOINT", "SERVICE", "CALLS A SECOND", "RESTS FOR", "LEAVES"]);
    for one in terms {
        let limit = one.limit.map_or_else(String::new, |limit| limit.to_string());
        let hold = if one.rest_ms > 0 { format!("{} ms", one.rest_ms) } else { String::new() };
        let leaving = if one.is_leaving { "yes" } else { "" };
        rows.row([one.endpoint.to_string(), one.service.to_string(), limit, hold, leaving.into()]);
    }
    rows.render()
}
