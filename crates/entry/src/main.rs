//! `peatdeck-entry`: an entry instance.

use std::process::ExitCode;

use peatdeck_entry::{server, settings};
use peatdeck_util::logging;

#[ntex::main]
async fn main() -> ExitCode {
    abort_on_panic();
    let flags = settings::parser().run();
    let settings = match flags.check() {
        Ok(settings) => settings,
        Err(problems) => return fail(problems.into()),
    };
    logging::start(settings.log_format, &settings.log_filter);
    match server::run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => fail(report),
    }
}

/// A panic in one task would leave the others running on half a state. The
/// process ends instead; its callers see a cut, never a wrong answer.
fn abort_on_panic() {
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default(info);
        std::process::abort();
    }));
}

fn fail(report: miette::Report) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::FAILURE
}
