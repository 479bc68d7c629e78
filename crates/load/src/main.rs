//! `peatdeck-load`: load tests and experiments against real processes.

use peatdeck_load::cli;
use peatdeck_util::logging;

fn main() -> miette::Result<()> {
    let command = cli::options().run();
    logging::init(logging::Format::Text, "warn");
    Ok(cli::exec(&command)?)
}
