//! `replay`: sends the requests of a trace at their times.

use std::{path::PathBuf, sync::Arc, time::Duration};

use bpaf::{Parser, construct, long};
use peatdeck_macros::data;

use crate::{args, arrivals::Arrival, commands::run, error, experiment, files, output};

/// Flags.
#[data]
pub struct Args {
    /// What is tried.
    pub system: args::System,
    /// Faults, warm-up and how requests are sent; rate and mix are the trace's.
    pub traffic: args::Traffic,
    /// Where results go.
    pub output: args::Output,
    /// The trace.
    pub trace: PathBuf,
    /// How many times as fast.
    pub speed: f64,
    /// Whether ids are taken as they stand.
    pub keep_ids: bool,
}

/// Parses the flags.
pub fn cli() -> impl Parser<Args> {
    let system = args::system();
    let traffic = args::traffic();
    let output = args::output();
    let trace = long("trace").help("The file to read").argument::<PathBuf>("FILE");
    let speed = long("speed")
        .help("How many times as fast the requests follow each other")
        .argument::<f64>("FACTOR")
        .fallback(1.0)
        .display_fallback();
    let keep_ids = long("keep-ids")
        .help("Send the ids of the trace; a fresh first part is put before them otherwise")
        .switch();
    construct!(Args { system, traffic, output, trace, speed, keep_ids })
}

/// Replays.
///
/// # Errors
/// If the trace cannot be read, or as with `run`.
pub fn exec(args: &Args) -> error::Result<()> {
    if !args.speed.is_finite() || args.speed <= 0.0 {
        return Err(error::Error::Setting {
            problem: format!("--speed {} is not above 0", args.speed),
            remedy: "give a factor such as 2".into(),
        });
    }
    let tag = (!args.keep_ids).then(|| args.traffic.tag());
    let arrivals = prepared(files::read_trace(&args.trace)?, args.speed, tag.as_deref());
    let preset = args.system.started.preset()?;
    let label = format!("replay on {}", run::label(preset.as_ref()));
    let mut setup = args.traffic.setup(&label, preset.as_ref(), args.traffic.faults()?);
    setup.length = length(&arrivals);
    let (mut target, _) = args.system.target()?;
    let outcome = experiment::run(&mut target, &setup, &arrivals)?;
    output::write(&args.output, &outcome)
}

fn prepared(mut arrivals: Vec<Arrival>, speed: f64, tag: Option<&str>) -> Vec<Arrival> {
    for arrival in &mut arrivals {
        arrival.at = arrival.at.div_f64(speed);
        if let Some(tag) = tag {
            arrival.id = Arc::from(format!("{tag}-{}", arrival.id));
        }
    }
    arrivals
}

/// The time of the last request, as whole seconds.
fn length(arrivals: &[Arrival]) -> Duration {
    let last = arrivals.last().map_or(Duration::ZERO, |arrival| arrival.at);
    Duration::from_secs(last.as_secs() + 1)
}
