//! `peatdeck-entry`: an entry instance.

use std::process::ExitCode;

use peatdeck_entry::{server, settings};
use peatdeck_util::{logging, process};

#[ntex::main]
async fn main() -> ExitCode {
    process::abort_on_panic();
    let flags = settings::parser().run();
    let settings = match flags.check() {
        Ok(settings) => settings,
        Err(problems) => return process::fail(problems.into()),
    };
    logging::init(settings.log_format, &settings.log_filter);
    match server::run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => process::fail(report),
    }
}
