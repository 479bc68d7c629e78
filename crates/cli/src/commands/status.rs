//! `peatdeck status`: shows the status that all instances report.

use std::{collections::BTreeMap, fmt::Write, sync::Arc};

use bpaf::{OptionParser, Parser, construct, long};
use peatdeck_wire::admin::StatusReply;

use crate::{
    commands,
    error::Error,
    shell::{self, Environment, Format, Output},
    table::Table,
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    admin: String,
    endpoints: bool,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let admin = commands::admin();
    let endpoints =
        long("endpoints").help("Show the state of endpoints as reported by the instances").switch();
    construct!(Args { format, admin, endpoints })
        .to_options()
        .descr("Show the status of all instances.")
        .footer("Examples:\n   peatdeck status\n   peatdeck status --endpoints")
}

/// Runs the command.
///
/// # Errors
/// Any [`Error`] of the API.
pub async fn exec(env: &Environment, args: Args) -> Result<Output, Error> {
    let client = commands::connect(env, &args.admin).await?;
    let status = client.status().await?;
    let text = match args.format {
        Format::Json => shell::json(&status)?,
        Format::Table if args.endpoints => with_missing(endpoint_table(&status), &status),
        Format::Table => with_missing(instance_table(&status), &status),
    };
    Ok(Output::partial_unless(status.missing.is_empty(), text))
}

fn instance_table(status: &StatusReply) -> String {
    let titles = ["INSTANCE", "DATA CENTRE", "READY", "VERSION", "RUNNING", "PEERS", "REASONS"];
    let mut rows = Table::new(titles);
    for entry in &status.entries {
        rows.row([
            entry.instance.to_string(),
            entry.data_centre.to_string(),
            if entry.ready { "yes" } else { "no" }.to_owned(),
            entry.version.to_string(),
            entry.running.to_string(),
            entry.peers.len().to_string(),
            entry.reasons.join("; "),
        ]);
    }
    rows.render()
}

/// The combined reports of all instances on one endpoint.
#[derive(Debug, Default)]
struct EndpointSummary {
    pool: Arc<str>,
    incarnation: u64,
    states: BTreeMap<Arc<str>, usize>,
    in_flight: u32,
}

fn endpoint_table(status: &StatusReply) -> String {
    let mut summaries: BTreeMap<Arc<str>, EndpointSummary> = BTreeMap::new();
    for endpoint in status.entries.iter().flat_map(|entry| &entry.endpoints) {
        let summary = summaries.entry(Arc::clone(&endpoint.endpoint)).or_default();
        summary.pool = Arc::clone(&endpoint.pool);
        summary.incarnation = summary.incarnation.max(endpoint.incarnation.0);
        *summary.states.entry(Arc::clone(&endpoint.state)).or_default() += 1;
        summary.in_flight += endpoint.in_flight;
    }
    let mut rows = Table::new(["ENDPOINT", "POOL", "INCARNATION", "STATE", "IN FLIGHT"]);
    for (name, summary) in summaries {
        let (pool, incarnation) = (summary.pool.to_string(), summary.incarnation.to_string());
        rows.row([
            name.to_string(),
            pool,
            incarnation,
            states(&summary.states),
            summary.in_flight.to_string(),
        ]);
    }
    rows.render()
}

/// The state if all instances report the same one, else each state with the number
/// of instances that report it.
fn states(states: &BTreeMap<Arc<str>, usize>) -> String {
    match states.iter().next() {
        Some((state, _)) if states.len() == 1 => state.to_string(),
        _ => {
            let counted: Vec<_> =
                states.iter().map(|(s, count)| format!("{s} on {count}")).collect();
            counted.join(", ")
        }
    }
}

fn with_missing(mut text: String, status: &StatusReply) -> String {
    for missing in &status.missing {
        let _ = writeln!(text, "no response from {}: {}", missing.instance, missing.reason);
    }
    text
}
