//! The command line.

use bpaf::{OptionParser, Parser, construct};
use peatdeck_macros::data;

use crate::{
    commands::{ceiling, claims, in_force, pair, record, replay, run},
    error,
};

/// A command with its arguments.
#[data]
pub enum Command {
    /// Sends planned requests.
    Run(run::Args),
    /// Writes planned requests to a trace file.
    Record(record::Args),
    /// Sends the requests of a trace.
    Replay(replay::Args),
    /// Compares two settings of the entries.
    Pair(pair::Args),
    /// Finds the highest rate that one entry sustains.
    Ceiling(ceiling::Args),
    /// Measures the time until a published configuration is in force.
    InForce(in_force::Args),
    /// Measures the latency that a claim adds.
    Claims(claims::Args),
}

const EXAMPLES: &str = "Examples:\n  \
    peatdeck-load run --preset wash-fleet --load 1.0 --length 20s --svg run.svg\n  \
    peatdeck-load run --preset guild --load 1.3 --fault straggler@5s,factor=10\n  \
    peatdeck-load run --entry http://10.0.0.5:8080 --workload mix.toml --rate 50\n  \
    peatdeck-load pair --preset guild --load 1.3 --a=--decisions=plain --b=--decisions=full\n  \
    peatdeck-load ceiling --preset thin";

/// Parser of the command line.
pub fn options() -> OptionParser<Command> {
    let run = command(run::cli().map(Command::Run), "run", "Send planned requests and report");
    let record = command(
        record::cli().map(Command::Record),
        "record",
        "Write the requests of a plan as a trace",
    );
    let replay =
        command(replay::cli().map(Command::Replay), "replay", "Send the requests of a trace");
    let pair = command(
        pair::cli().map(Command::Pair),
        "pair",
        "Run two settings of the entries in turn and compare them",
    );
    let ceiling = command(
        ceiling::cli().map(Command::Ceiling),
        "ceiling",
        "Find the highest rate that one entry sustains",
    );
    let in_force = command(
        in_force::cli().map(Command::InForce),
        "in-force",
        "Measure the time from when a version is accepted until it is in force",
    );
    let claims = command(
        claims::cli().map(Command::Claims),
        "claims",
        "Measure the latency that a claim adds at rising load",
    );
    construct!([run, record, replay, pair, ceiling, in_force, claims])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Load and experiments against real processes")
        .footer(EXAMPLES)
}

fn command(
    parser: impl Parser<Command> + 'static,
    name: &'static str,
    help: &'static str,
) -> impl Parser<Command> {
    parser.to_options().descr(help).command(name).help(help)
}

/// Runs a command.
///
/// # Errors
/// If the command fails; the error says what to do.
pub fn exec(command: &Command) -> error::Result<()> {
    match command {
        Command::Run(args) => run::exec(args),
        Command::Record(args) => record::exec(args),
        Command::Replay(args) => replay::exec(args),
        Command::Pair(args) => pair::exec(args),
        Command::Ceiling(args) => ceiling::exec(args),
        Command::InForce(args) => in_force::exec(args),
        Command::Claims(args) => claims::exec(args),
    }
}
