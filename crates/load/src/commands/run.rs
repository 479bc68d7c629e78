//! `run`: sends planned requests and reports what became of them.

use bpaf::{Parser, construct};
use peatdeck_macros::data;

use crate::{
    args, error,
    experiment::{self, Outcome},
    output,
    preset::Preset,
};

/// Flags.
#[data]
pub struct Args {
    /// What is tried.
    pub system: args::System,
    /// What is sent.
    pub traffic: args::Traffic,
    /// Where results go.
    pub output: args::Output,
}

/// Parses the flags.
pub fn cli() -> impl Parser<Args> {
    let system = args::system();
    let traffic = args::traffic();
    let output = args::output();
    construct!(Args { system, traffic, output })
}

/// Runs.
///
/// # Errors
/// If something is missing or breaks, or if answers contradict the records.
pub fn exec(args: &Args) -> error::Result<()> {
    let faults = args.traffic.faults()?;
    let preset = args.system.started.preset()?;
    let workload = args.traffic.workload(preset.as_ref())?;
    let arrivals = args.traffic.plan(preset.as_ref(), &faults)?.draw(&workload);
    let setup = args.traffic.setup(&label(preset.as_ref()), preset.as_ref(), faults);
    let (mut target, _) = args.system.target()?;
    let outcome: Outcome = experiment::run(&mut target, &setup, &arrivals)?;
    output::write(&args.output, &outcome)
}

/// What is run, in a few words.
pub fn label(preset: Option<&Preset>) -> String {
    match preset {
        Some(preset) => format!("{}, {} entries", preset.name, preset.entries),
        None => "given entries".to_owned(),
    }
}
