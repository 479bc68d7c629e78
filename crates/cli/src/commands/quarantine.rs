//! `peatdeck quarantine`: lists the contents quarantined for crashing endpoints, or releases one.

use bpaf::{OptionParser, Parser, construct, long};
use peatdeck_wire::operators::QuarantinedContent;

use crate::{
    commands,
    error::Error,
    ops::quarantine,
    shell::{self, Environment, Format, Output},
    table::Table,
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    instance: String,
    release: Option<String>,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let instance = commands::instance();
    let release = long("release")
        .help("Release the content with this fingerprint at all instances")
        .argument::<String>("FINGERPRINT")
        .optional();
    construct!(Args { format, instance, release })
        .to_options()
        .descr("List the contents that relay instances have quarantined, or release one.")
        .footer("Example:\n   peatdeck quarantine --at 10.1.64.3:9464")
}

/// Runs the command.
///
/// # Errors
/// [`Error::Instance`] if the request fails, [`Error::NotQuarantined`] if the content to
/// release is not quarantined, [`Error::Unreadable`] if the response is invalid.
pub async fn exec(_: &Environment, args: Args) -> Result<Output, Error> {
    if let Some(content) = &args.release {
        quarantine::release(&args.instance, content).await?;
        let text = format!("released {content}; all instances apply this within seconds\n");
        return Ok(Output::done(text));
    }
    let contents = quarantine::list(&args.instance).await?;
    Ok(Output::done(match args.format {
        Format::Json => shell::json(&contents)?,
        Format::Table => table(&contents),
    }))
}

fn table(contents: &[QuarantinedContent]) -> String {
    if contents.is_empty() {
        return "no content is quarantined\n".to_owned();
    }
    let titles = ["CONTENT", "CRASHES", "HELD FOR", "LEFT", "REFUSED HERE"];
    let mut rows = Table::new(titles);
    for one in contents {
        rows.row([
            one.content.to_string(),
            one.crashes.to_string(),
            seconds(one.held_ms),
            seconds(one.left_ms),
            one.refused.to_string(),
        ]);
    }
    rows.render()
}

fn seconds(millis: u64) -> String {
    format!("{} s", millis / 1000)
}
