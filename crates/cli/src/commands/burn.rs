//! `peatdeck burn`: reports how fast error budgets are used up.

use std::{
    fmt::Write,
    time::{Duration, SystemTime},
};

use bpaf::{OptionParser, Parser, construct, long};

use crate::{
    commands,
    error::Error,
    ops::burn::{self, Alert, Report, page},
    shell::{self, Environment, Format, Output},
    table::{self, Table},
};

/// Maximum number of causes in the table.
const MAX_CAUSES: usize = 10;

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    admin: String,
    html: Option<String>,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let admin = commands::admin();
    let html = long("html")
        .help("Also write the report as a web page to this file")
        .argument::<String>("FILE")
        .optional();
    construct!(Args { format, admin, html })
        .to_options()
        .descr("Report how fast each pipeline and team uses up its error budget.")
        .footer("Examples:\n   peatdeck burn\n   peatdeck burn --html burn.html")
}

/// Runs the command.
///
/// # Errors
/// Any [`Error`] of the API; [`Error::Write`] if the web page cannot be written.
pub async fn exec(env: &Environment, args: Args) -> Result<Output, Error> {
    let client = commands::connect(env, &args.admin).await?;
    let now = env.now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs();
    let config = client.config().await?;
    let outcomes = client.outcomes(now.saturating_sub(burn::LONG_WINDOW)).await?;
    let report = burn::report(now, &config.document, outcomes);
    if let Some(path) = args.html {
        std::fs::write(&path, page::render(&report))
            .map_err(|cause| Error::Write { path, cause })?;
    }
    let text = match args.format {
        Format::Json => shell::json(&report)?,
        Format::Table => describe(&report),
    };
    Ok(Output::partial_unless(report.missing.is_empty(), text))
}

fn describe(report: &Report) -> String {
    let at = table::utc(SystemTime::UNIX_EPOCH + Duration::from_secs(report.at));
    let mut text = format!("Service-level burn, six hours to {at}\n\n{}", rows(report));
    if !report.causes.is_empty() {
        let _ = write!(text, "\nLargest causes of misses\n\n{}", causes(report));
    }
    if report.invalid > 0 {
        let _ = writeln!(text, "\n{} request(s) were invalid and are not counted.", report.invalid);
    }
    let _ = writeln!(
        text,
        "\nCounts of {} instance(s): {}.",
        report.instances.len(),
        report.instances.join(", ")
    );
    for missing in &report.missing {
        let _ = writeln!(text, "No response from {}: {}", missing.instance, missing.reason);
    }
    let _ = writeln!(text, "{}", page::COVERAGE_NOTE);
    text
}

fn rows(report: &Report) -> String {
    let mut rows = Table::new([
        "PIPELINE",
        "TEAM",
        "REQUESTS",
        "ATTAINMENT",
        "OBJECTIVE",
        "BUDGET LEFT",
        "BURN 5 MIN",
        "1 H",
        "6 H",
        "ALERT",
    ]);
    for row in &report.rows {
        let pipeline = table::name_or_placeholder(&row.pipeline).to_owned();
        let team = row.team.as_deref().map_or("(all)", table::name_or_placeholder).to_owned();
        let [requests, attained, objective, left, short, middle, long] = row.figures();
        let alert = alert(row.alert).to_owned();
        rows.row([pipeline, team, requests, attained, objective, left, short, middle, long, alert]);
    }
    rows.render()
}

fn causes(report: &Report) -> String {
    let mut rows = Table::new(["PIPELINE", "TEAM", "CAUSE", "STAGE", "REQUESTS", "SHARE"]);
    for cause in report.causes.iter().take(MAX_CAUSES) {
        rows.row([
            table::name_or_placeholder(&cause.pipeline).to_owned(),
            table::name_or_placeholder(&cause.team).to_owned(),
            format!("{}: {}", page::kind_text(cause.kind), cause.outcome),
            cause.stage.as_deref().unwrap_or("").to_owned(),
            cause.count.to_string(),
            table::percent(Some(cause.share)),
        ]);
    }
    rows.render()
}

fn alert(alert: Alert) -> &'static str {
    match alert {
        Alert::Quiet => "",
        Alert::Slow => "slow burn",
        Alert::Fast => "fast burn",
    }
}
