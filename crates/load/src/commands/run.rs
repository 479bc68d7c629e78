//! `run`: sends planned requests and reports their outcomes.

use bpaf::{Parser, construct};
use peatdeck_macros::data;

use crate::{
    args, error,
    experiment::{self, Outcome},
    output,
    preset::Preset,
};

/// Arguments of `run`.
#[data]
pub struct Args {
    /// The system to send to.
    pub system: args::TargetArgs,
    /// The requests and faults.
    pub traffic: args::TrafficArgs,
    /// Output files.
    pub output: args::OutputArgs,
}

/// Parses the arguments.
pub fn cli() -> impl Parser<Args> {
    let system = args::system();
    let traffic = args::traffic();
    let output = args::output();
    construct!(Args { system, traffic, output })
}

/// Sends the requests and prints the report.
///
/// # Errors
/// If the arguments are incomplete, the system does not start or fails, or answers contradict the
/// endpoints' records.
pub fn exec(args: &Args) -> error::Result<()> {
    let faults = args.traffic.faults()?;
    let preset = args.system.preset_args.preset()?;
    let workload = args.traffic.workload(preset.as_ref())?;
    let arrivals = args.traffic.plan(preset.as_ref(), &faults)?.draw(&workload);
    let setup = args.traffic.setup(&label(preset.as_ref()), preset.as_ref(), faults);
    let (mut target, _) = args.system.target()?;
    let outcome: Outcome = experiment::run(&mut target, &setup, &arrivals)?;
    output::write(&args.output, &outcome)
}

/// Label of the run in reports.
pub fn label(preset: Option<&Preset>) -> String {
    match preset {
        Some(preset) => format!("{}, {} entries", preset.name, preset.entries),
        None => "given entries".to_owned(),
    }
}
