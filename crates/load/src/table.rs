//! Formats reports as text tables.

use std::fmt::{self, Display, Formatter};

use crate::{
    report::{Quantiles, Report, Share, StageCost},
    work::{USES, Use},
};

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        head(self, f)?;
        shares(self, f)?;
        endings(self, f)?;
        times(self, f)?;
        costs(self, f)?;
        events(self, f)?;
        violations(self, f)
    }
}

fn head(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(f, "{} (seed {}, {:.0} s counted)", report.label, report.seed, report.seconds)?;
    write!(f, "offered {:.1}/s", report.offered)?;
    if let Some(capacity) = report.capacity {
        write!(f, " = {:.2} x capacity {capacity:.1}/s", report.offered / capacity)?;
    }
    writeln!(f, ", goodput {:.1}/s, sends {:.3} a request", report.goodput, report.sends)
}

fn shares(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "\n{:<28} {:>8} {:>9} {:>8} {:>8} {:>11} {:>9}",
        "", "planned", "answered", "in time", "not run", "attainment", "of share"
    )?;
    share("all", &report.total, None, f)?;
    for (team, part) in &report.teams {
        share(&format!("team {team}"), part, report.of_share.get(team), f)?;
    }
    for (pipeline, part) in &report.pipelines {
        share(&format!("pipeline {pipeline}"), part, None, f)?;
    }
    Ok(())
}

fn share(name: &str, share: &Share, ratio: Option<&f64>, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
        f,
        "{name:<28} {:>8} {:>9} {:>8} {:>8} {:>10.2}%",
        share.planned,
        share.answered,
        share.in_time,
        share.not_run,
        PERCENT * share.attainment(),
    )?;
    match ratio {
        Some(ratio) => writeln!(f, " {ratio:>9.3}"),
        None => writeln!(f),
    }
}

fn endings(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(f, "\nendings")?;
    for (ending, count) in &report.endings {
        writeln!(f, "  {ending:<32} {count:>8}")?;
    }
    Ok(())
}

fn times(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "\n{:<16} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "times, ms", "count", "p50", "p90", "p99", "p99.9", "max"
    )?;
    quantiles("answer", &report.latency, f)?;
    quantiles("first token", &report.first_token, f)?;
    quantiles("tool's delay", &report.lag, f)
}

fn quantiles(name: &str, times: &Quantiles, f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "{name:<16} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
        times.count, times.p50, times.p90, times.p99, times.p999, times.max,
    )
}

fn costs(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    let Some(waste) = report.waste else {
        return writeln!(f, "\nno records of the endpoints: cost and waste unknown");
    };
    write!(f, "\n{:<34} {:>7} {:>13}", "stage work", "calls", "ms/in time")?;
    for usage in USES {
        write!(f, " {:>10}", usage.label())?;
    }
    writeln!(f)?;
    for stage in &report.stages {
        cost(stage, f)?;
    }
    writeln!(f, "waste {:.2}% of stage work", PERCENT * waste)
}

fn cost(stage: &StageCost, f: &mut Formatter<'_>) -> fmt::Result {
    let name = format!("{}/{}", stage.pipeline, stage.stage);
    let cost = stage.cost_ms.map_or_else(|| "-".to_owned(), |cost| format!("{cost:.1}"));
    write!(f, "{name:<34} {:>7} {cost:>13}", stage.calls)?;
    for usage in USES {
        write!(f, " {:>9.2}%", PERCENT * part(stage, usage))?;
    }
    writeln!(f)
}

fn part(stage: &StageCost, usage: Use) -> f64 {
    let busy = stage.uses.get(&usage).copied().unwrap_or_default();
    if stage.busy_ms == 0.0 { 0.0 } else { busy / stage.busy_ms }
}

fn events(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    for event in &report.events {
        writeln!(f, "at {:.1} s: {}", event.at.as_secs_f64(), event.what)?;
    }
    Ok(())
}

fn violations(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    if let Some(unread) = &report.blind {
        writeln!(f, "records are incomplete (no records of: {})", unread.join(", "))?;
    }
    if report.violations.is_empty() {
        return writeln!(f, "violations: none");
    }
    writeln!(f, "VIOLATIONS: {}", report.violations.len())?;
    for violation in &report.violations {
        writeln!(f, "  {violation:?}")?;
    }
    Ok(())
}

/// Factor from a share to a percentage.
const PERCENT: f64 = 100.0;
