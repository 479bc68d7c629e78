//! How a program ends when it cannot go on.

use std::process::ExitCode;

/// A panic in one task would leave the others running on half a state. The
/// process ends instead; its callers see a cut, never a wrong answer.
pub fn abort_on_panic() {
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default(info);
        std::process::abort();
    }));
}

/// Shows on standard error why the program failed.
pub fn fail(report: miette::Report) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::FAILURE
}
