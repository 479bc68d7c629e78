//! `record`: writes the arrivals that `run` would send to a trace file.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use peatdeck_macros::data;

use crate::{args, error, trace};

/// Arguments of `record`.
#[data]
pub struct Args {
    /// The preset that supplies the mix and the capacity.
    pub preset_args: args::PresetArgs,
    /// The requests to draw.
    pub traffic: args::TrafficArgs,
    /// The trace file to write.
    pub trace: PathBuf,
}

/// Parses the arguments.
pub fn cli() -> impl Parser<Args> {
    let preset_args = args::preset_args();
    let traffic = args::traffic();
    let trace = long("trace").help("The file to write").argument::<PathBuf>("FILE");
    construct!(Args { preset_args, traffic, trace })
}

/// Draws the arrivals and writes the trace.
///
/// # Errors
/// If the arguments do not determine a plan, or the file cannot be written.
pub fn exec(args: &Args) -> error::Result<()> {
    let preset = args.preset_args.preset()?;
    let faults = args.traffic.faults()?;
    let workload = args.traffic.workload(preset.as_ref())?;
    let arrivals = args.traffic.plan(preset.as_ref(), &faults)?.draw(&workload);
    let file = |source| error::Error::File { path: args.trace.display().to_string(), source };
    let out = std::fs::File::create(&args.trace).map_err(file)?;
    trace::write(&mut std::io::BufWriter::new(out), &arrivals).map_err(file)?;
    println!("{} requests recorded in {}", arrivals.len(), args.trace.display());
    Ok(())
}
