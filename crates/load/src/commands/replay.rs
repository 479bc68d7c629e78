//! `replay`: sends the requests of a trace at their recorded times.

use std::{path::PathBuf, sync::Arc, time::Duration};

use bpaf::{Parser, construct, long};
use peatdeck_macros::data;

use crate::{args, arrivals::Arrival, commands::run, error, experiment, files, output};

/// Arguments of `replay`.
#[data]
pub struct Args {
    /// The system to send to.
    pub system: args::TargetArgs,
    /// Faults, warm-up and how requests are sent; rate and mix come from the trace.
    pub traffic: args::TrafficArgs,
    /// Output files.
    pub output: args::OutputArgs,
    /// The trace file to read.
    pub trace: PathBuf,
    /// Factor by which the requests are sent faster than recorded.
    pub speed: f64,
    /// Whether the ids of the trace are sent unchanged; otherwise each gets a prefix.
    pub keep_ids: bool,
}

/// Parses the arguments.
pub fn cli() -> impl Parser<Args> {
    let system = args::system();
    let traffic = args::traffic();
    let output = args::output();
    let trace = long("trace").help("The file to read").argument::<PathBuf>("FILE");
    let speed = long("speed")
        .help("Factor by which the requests are sent faster than recorded")
        .argument::<f64>("FACTOR")
        .fallback(1.0)
        .display_fallback();
    let keep_ids = long("keep-ids")
        .help("Send the ids of the trace unchanged; otherwise each gets a new prefix")
        .switch();
    construct!(Args { system, traffic, output, trace, speed, keep_ids })
}

/// Sends the requests of the trace and prints the report.
///
/// # Errors
/// If the trace cannot be read, or for the reasons of [`run::exec`].
pub fn exec(args: &Args) -> error::Result<()> {
    if !args.speed.is_finite() || args.speed <= 0.0 {
        return Err(error::Error::Setting {
            problem: format!("--speed {} is not above 0", args.speed),
            remedy: "give a factor such as 2".into(),
        });
    }
    let tag = (!args.keep_ids).then(|| args.traffic.tag());
    let arrivals = rescale(files::read_trace(&args.trace)?, args.speed, tag.as_deref());
    let preset = args.system.preset_args.preset()?;
    let label = format!("replay on {}", run::label(preset.as_ref()));
    let mut setup = args.traffic.setup(&label, preset.as_ref(), args.traffic.faults()?);
    setup.length = length(&arrivals);
    let (mut target, _) = args.system.target()?;
    let outcome = experiment::run(&mut target, &setup, &arrivals)?;
    output::write(&args.output, &outcome)
}

fn rescale(mut arrivals: Vec<Arrival>, speed: f64, tag: Option<&str>) -> Vec<Arrival> {
    for arrival in &mut arrivals {
        arrival.at = arrival.at.div_f64(speed);
        if let Some(tag) = tag {
            arrival.id = Arc::from(format!("{tag}-{}", arrival.id));
        }
    }
    arrivals
}

/// Length of the run: the time of the last request in whole seconds, plus one.
fn length(arrivals: &[Arrival]) -> Duration {
    let last = arrivals.last().map_or(Duration::ZERO, |arrival| arrival.at);
    Duration::from_secs(last.as_secs() + 1)
}
