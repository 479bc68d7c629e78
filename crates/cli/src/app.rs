//! The command line of `peatdeck`: all commands and their dispatch.

use bpaf::{OptionParser, Parser, construct};

use crate::{
    commands::{
        burn, check, drain, evacuate, evacuations, explain, publish, quarantine, replay, restore,
        rollouts, show, status, terms,
    },
    error::Error,
    shell::{Environment, Output},
};

/// A parsed command with its flags.
#[derive(Debug, Clone)]
pub enum Command {
    /// `peatdeck check`.
    Check(check::Args),
    /// `peatdeck publish`.
    Publish(publish::Args),
    /// `peatdeck restore`.
    Restore(restore::Args),
    /// `peatdeck show`.
    Show(show::Args),
    /// `peatdeck drain`.
    Drain(drain::Args),
    /// `peatdeck status`.
    Status(status::Args),
    /// `peatdeck burn`.
    Burn(burn::Args),
    /// `peatdeck replay`.
    Replay(replay::Args),
    /// `peatdeck explain`.
    Explain(explain::Args),
    /// `peatdeck evacuate`.
    Evacuate(evacuate::Args),
    /// `peatdeck evacuations`.
    Evacuations(evacuations::Args),
    /// `peatdeck quarantine`.
    Quarantine(quarantine::Args),
    /// `peatdeck terms`.
    Terms(terms::Args),
    /// `peatdeck rollouts`.
    Rollouts(rollouts::Args),
}

/// The parser of the whole command line.
pub fn options() -> OptionParser<Command> {
    let check = check::cli().command("check").map(Command::Check);
    let publish = publish::cli().command("publish").map(Command::Publish);
    let restore = restore::cli().command("restore").map(Command::Restore);
    let show = show::cli().command("show").map(Command::Show);
    let drain = drain::cli().command("drain").map(Command::Drain);
    let status = status::cli().command("status").map(Command::Status);
    let burn = burn::cli().command("burn").map(Command::Burn);
    let replay = replay::cli().command("replay").map(Command::Replay);
    let explain = explain::cli().command("explain").map(Command::Explain);
    let evacuate = evacuate::cli().command("evacuate").map(Command::Evacuate);
    let evacuations = evacuations::cli().command("evacuations").map(Command::Evacuations);
    let quarantine = quarantine::cli().command("quarantine").map(Command::Quarantine);
    let terms = terms::cli().command("terms").map(Command::Terms);
    let rollouts = rollouts::cli().command("rollouts").map(Command::Rollouts);
    construct!([
        check,
        publish,
        restore,
        show,
        drain,
        evacuate,
        status,
        burn,
        replay,
        explain,
        quarantine,
        evacuations,
        terms,
        rollouts
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Operate peatdeck: publish configurations, drain endpoints, inspect instances.")
    .footer(
        "The operators' token is read from PEATDECK_ADMIN_TOKEN.\n \
             Exit codes:\n   \
             0  done\n   \
             1  failed, nothing took effect\n   \
             2  the command line or a setting is wrong\n   \
             3  the document is not valid\n   \
             4  conflict, nothing took effect\n   \
             5  it may have taken effect\n   \
             6  done, but not every instance answered, or the log is unavailable\n   \
             7  a replay differs from its trace\n \
             Examples:\n   peatdeck check fleet.toml\n   peatdeck publish fleet.toml --base 12",
    )
}

/// Runs a command.
///
/// # Errors
/// Any [`Error`] of the command.
pub async fn exec(env: &Environment, command: Command) -> Result<Output, Error> {
    match command {
        Command::Check(args) => check::exec(env, args).await,
        Command::Publish(args) => publish::exec(env, args).await,
        Command::Restore(args) => restore::exec(env, args).await,
        Command::Show(args) => show::exec(env, args).await,
        Command::Drain(args) => drain::exec(env, args).await,
        Command::Status(args) => status::exec(env, args).await,
        Command::Burn(args) => burn::exec(env, args).await,
        Command::Replay(args) => replay::exec(env, args).await,
        Command::Explain(args) => explain::exec(env, args).await,
        Command::Evacuate(args) => evacuate::exec(env, args).await,
        Command::Evacuations(args) => evacuations::exec(env, args).await,
        Command::Quarantine(args) => quarantine::exec(env, args).await,
        Command::Terms(args) => terms::exec(env, args).await,
        Command::Rollouts(args) => rollouts::exec(env, args).await,
    }
}
