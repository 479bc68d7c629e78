//! Exit of a program on panics and on errors.

use std::process::ExitCode;

/// Makes every panic abort the process. Otherwise a panic in one task would leave
/// the other tasks running on inconsistent state. After an abort, callers see a
/// closed connection, never a wrong answer.
pub fn abort_on_panic() {
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default(info);
        std::process::abort();
    }));
}

/// Prints the error to standard error and returns the exit code of a failure.
pub fn fail(report: miette::Report) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::FAILURE
}
