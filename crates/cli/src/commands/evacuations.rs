//! `peatdeck evacuations`: lists the evacuated data centres that a relay instance has in force.

use bpaf::{OptionParser, Parser, construct};
use peatdeck_wire::operators::{EVACUATIONS, EvacuatedDataCentre};

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
        .descr("List the evacuated data centres that one relay instance has in force.")
        .footer("Example:\n   peatdeck evacuations --at 10.1.64.3:9464")
}

/// Runs the command.
///
/// # Errors
/// [`Error::Instance`] if the request fails, [`Error::Unreadable`] if the response is
/// invalid.
pub async fn exec(_: &Environment, args: Args) -> Result<Output, Error> {
    let evacuated = relay::list(&args.instance, EVACUATIONS).await?;
    Ok(Output::done(match args.format {
        Format::Json => shell::json(&evacuated)?,
        Format::Table => table(&evacuated),
    }))
}

fn table(evacuated: &[EvacuatedDataCentre]) -> String {
    if evacuated.is_empty() {
        return "no data centre is evacuated\n".to_owned();
    }
    let mut rows = Table::new(["DATA CENTRE", "ENDPOINTS LEFT IDLE"]);
    for one in evacuated {
        rows.row([one.data_centre.to_string(), one.endpoints.to_string()]);
    }
    rows.render()
}
