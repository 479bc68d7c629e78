//! `peatdeck`: the operator's command line.

use std::{process::ExitCode, time::SystemTime};

use bpaf::{Args, ParseFailure};
use peatdeck::{app, exit, shell::Environment};
use peatdeck_util::secret::Secret;

/// Width at which help texts are wrapped, in columns.
const HELP_WIDTH: usize = 100;

#[ntex::main]
async fn main() -> ExitCode {
    let command = match app::options().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(failure),
    };
    let token = std::env::var("PEATDECK_ADMIN_TOKEN").ok().map(Secret::from);
    let env = Environment { token, now: SystemTime::now() };
    match app::exec(&env, command).await {
        Ok(output) => {
            print!("{}", output.text);
            output.code.into()
        }
        Err(error) => {
            let code = error.code();
            eprintln!("{:?}", miette::Report::new(error));
            code.into()
        }
    }
}

/// Prints the help text or the error of the command line.
fn print_parse_failure(failure: ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure.exit_code() {
        0 => exit::Code::Done.into(),
        _ => exit::Code::Usage.into(),
    }
}
