//! `peatdeck rollouts`: lists the last rollout of each service, as a relay instance sees it.

use bpaf::{OptionParser, Parser, construct};
use peatdeck_wire::operators::{ROLLOUTS, ReplyCounts, RolloutOverview, RouteEvidence};

use crate::{
    commands,
    error::Error,
    ops::relay,
    shell::{self, Environment, Format, Output},
    table::Table,
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    instance: String,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let instance = commands::instance();
    construct!(Args { format, instance })
        .to_options()
        .descr("List the last rollout of each service, as one relay instance sees it.")
        .footer("Example:\n   peatdeck rollouts --at 10.1.64.3:9464")
}

/// Runs the command.
///
/// # Errors
/// [`Error::Instance`] if the request fails, [`Error::Unreadable`] if the response is
/// invalid.
pub async fn exec(_: &Environment, args: Args) -> Result<Output, Error> {
    let rollouts: Vec<RolloutOverview> = relay::list(&args.instance, ROLLOUTS).await?;
    Ok(Output::done(match args.format {
        Format::Json => shell::json(&rollouts)?,
        Format::Table => text(&rollouts),
    }))
}

/// The states as a table, followed by the counts behind each.
pub fn text(rollouts: &[RolloutOverview]) -> String {
    if rollouts.is_empty() {
        return "no rollout has been ordered\n".to_owned();
    }
    let mut rows =
        Table::new(["SERVICE", "VERSION", "STATE", "PHASE", "AGE", "OF", "DECIDED BY", "REASON"]);
    for one in rollouts {
        let seconds = |millis: u64| format!("{:.1} s", millis as f64 / 1000.0);
        let reason = one.halt.as_deref().map(|halt| format!("halted here: {halt}"));
        let reason = reason.or_else(|| one.reason.as_deref().map(str::to_owned));
        rows.row([
            one.service.to_string(),
            one.version.to_string(),
            one.state.to_string(),
            one.phase.to_string(),
            seconds(one.age_ms),
            seconds(one.duration_ms),
            one.by.as_deref().unwrap_or_default().to_owned(),
            reason.unwrap_or_default(),
        ]);
    }
    let counts: String = rollouts.iter().filter(|one| !one.routes.is_empty()).map(counts).collect();
    rows.render() + counts.as_str()
}

fn counts(rollout: &RolloutOverview) -> String {
    let RolloutOverview { service, version, instances, .. } = rollout;
    let mut rows = Table::new(["ROUTE", "TRACK", "GOOD", "FAILED", "SLOW"]);
    for RouteEvidence { route, stable, canary } in &rollout.routes {
        for (track, counts) in [("stable", stable), (&**version, canary)] {
            let ReplyCounts { good, failed, slow } = counts;
            let numbers = [good, failed, slow].map(u64::to_string);
            let [good, failed, slow] = numbers;
            rows.row([route.to_string(), track.to_owned(), good, failed, slow]);
        }
    }
    format!("\nreplies of {service}, from {instances} instances:\n{}", rows.render())
}
