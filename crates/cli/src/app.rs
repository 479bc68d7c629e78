//! The whole command line.

use bpaf::{OptionParser, Parser, construct};

use crate::{
    commands::{check, drain, publish, show, status},
    error::Error,
    shell::{Output, Shell},
};

/// A command with its flags.
#[derive(Debug, Clone)]
pub enum Command {
    /// `check`.
    Check(check::Args),
    /// `publish`.
    Publish(publish::Args),
    /// `show`.
    Show(show::Args),
    /// `drain`.
    Drain(drain::Args),
    /// `status`.
    Status(status::Args),
}

/// The command line.
pub fn options() -> OptionParser<Command> {
    let check = check::cli().command("check").map(Command::Check);
    let publish = publish::cli().command("publish").map(Command::Publish);
    let show = show::cli().command("show").map(Command::Show);
    let drain = drain::cli().command("drain").map(Command::Drain);
    let status = status::cli().command("status").map(Command::Status);
    construct!([check, publish, show, drain, status])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operate peatdeck: publish configurations, drain endpoints, see what happens.")
        .footer(
            "The operators' token is read from PEATDECK_ADMIN_TOKEN.\n\n\
             Exit codes: 0 done; 1 failed, nothing took effect; 2 wrong usage; 3 the document is\n\
             not valid; 4 conflict, nothing took effect; 5 it may have taken effect; 6 done, but\n\
             some instances did not answer.\n\n\
             Examples:\n  peatdeck check fleet.toml\n  peatdeck publish fleet.toml --base 12",
        )
}

/// Runs a command.
///
/// # Errors
/// Any [`Error`].
pub async fn exec(shell: &Shell, command: Command) -> Result<Output, Error> {
    match command {
        Command::Check(args) => check::exec(shell, args).await,
        Command::Publish(args) => publish::exec(shell, args).await,
        Command::Show(args) => show::exec(shell, args).await,
        Command::Drain(args) => drain::exec(shell, args).await,
        Command::Status(args) => status::exec(shell, args).await,
    }
}
