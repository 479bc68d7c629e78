//! `peatdeck quarantine`: requests that are held back, since endpoints crash under them.

use bpaf::{OptionParser, Parser, construct, long};
use peatdeck_wire::operators::Held;

use crate::{
    commands,
    error::Error,
    ops::quarantine,
    shell::{self, Environment, Format, Output},
    table::Table,
};

/// The flags.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    instance: String,
    release: Option<String>,
}

/// The command line.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let instance = commands::instance();
    let release = long("release")
        .help("Release this content at all instances; its fingerprint as it is listed")
        .argument::<String>("FINGERPRINT")
        .optional();
    construct!(Args { format, instance, release })
        .to_options()
        .descr("List the requests that relay instances hold back, or release one.")
        .footer("Example:\n   peatdeck quarantine --at 10.1.64.3:9464")
}

/// Runs the command.
///
/// # Errors
/// [`Error::Instance`], [`Error::NotQuarantined`].
pub async fn exec(_: &Environment, args: Args) -> Result<Output, Error> {
    if let Some(content) = &args.release {
        quarantine::release(&args.instance, content).await?;
        let text = format!("released {content}; all instances know within seconds\n");
        return Ok(Output::done(text));
    }
    let held = quarantine::list(&args.instance).await?;
    Ok(Output::done(match args.format {
        Format::Json => shell::json(&held)?,
        Format::Table => table(&held),
    }))
}

fn table(held: &[Held]) -> String {
    if held.is_empty() {
        return "nothing is held back\n".to_owned();
    }
    let titles = ["CONTENT", "CRASHES", "HELD FOR", "LEFT", "REFUSED HERE"];
    let mut rows = Table::new(titles);
    for one in held {
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
