//! `record`: writes the arrivals that a run would send as a trace.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use peatdeck_macros::data;

use crate::{args, error, trace};

/// Flags.
#[data]
pub struct Args {
    /// The preset whose mix and capacity are used.
    pub started: args::Started,
    /// What would be sent.
    pub traffic: args::Traffic,
    /// Where the trace goes.
    pub trace: PathBuf,
}

/// Parses the flags.
pub fn cli() -> impl Parser<Args> {
    let started = args::started();
    let traffic = args::traffic();
    let trace = long("trace").help("The file to write").argument::<PathBuf>("FILE");
    construct!(Args { started, traffic, trace })
}

/// Records.
///
/// # Errors
/// If the plan is not clear or the file cannot be written.
pub fn exec(args: &Args) -> error::Result<()> {
    let preset = args.started.preset()?;
    let faults = args.traffic.faults()?;
    let workload = args.traffic.workload(preset.as_ref())?;
    let arrivals = args.traffic.plan(preset.as_ref(), &faults)?.draw(&workload);
    let file = |source| error::Error::File { path: args.trace.display().to_string(), source };
    let out = std::fs::File::create(&args.trace).map_err(file)?;
    trace::write(&mut std::io::BufWriter::new(out), &arrivals).map_err(file)?;
    println!("{} requests recorded in {}", arrivals.len(), args.trace.display());
    Ok(())
}
