//! Renders the report as a self-contained web page, without scripts, fonts or
//! other files.

use std::{
    fmt::Write,
    time::{Duration, SystemTime},
};

use crate::{
    ops::burn::{Alert, Cause, Kind, Report, Row, plot},
    table,
};

/// Maximum number of causes on the page.
const MAX_CAUSES: usize = 15;

/// Note on the counts that the report cannot include.
pub const COVERAGE_NOTE: &str = "The counts of an instance are lost when it stops: requests of \
                                 instances that have stopped or restarted are not included.";

const STYLE: &str = "\
:root { color-scheme: light dark; --ink: #1d2733; --soft: #66717f; --rule: #d7dde4; --bg: #fff; \
--line: #1f6fb2; --goal: #b26a00; --fast: #c0262d; --slow: #b26a00; }
@media (prefers-color-scheme: dark) { :root { --ink: #e6eaef; --soft: #9aa5b1; --rule: #39434e; \
--bg: #161b21; --line: #6db3ee; --goal: #e0a347; --fast: #ff7a7f; --slow: #e0a347; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--ink); background: var(--bg); \
max-width: 62rem; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: 0; } h2 { font-size: 1.1rem; margin-top: 2rem; }
h3 { font-size: 1rem; margin: 1.2rem 0 .2rem; }
p.sub, .soft { color: var(--soft); }
.wide { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { padding: .3rem .6rem; border-bottom: 1px solid var(--rule); text-align: right; \
white-space: nowrap; }
th { font-weight: 600; color: var(--soft); }
th.name, td.name { text-align: left; }
tr.all td { font-weight: 600; }
td.team { padding-left: 1.6rem; }
.fast { color: var(--fast); font-weight: 600; } .slow { color: var(--slow); font-weight: 600; }
.bar { display: inline-block; height: .7em; background: var(--line); }
svg { width: 100%; height: auto; }
svg text { font: 11px system-ui, sans-serif; fill: var(--soft); }
svg text.x { text-anchor: middle; } svg text.y { text-anchor: end; }
svg text.objective { fill: var(--goal); }
svg line.grid { stroke: var(--rule); } svg line.objective { stroke: var(--goal); \
stroke-dasharray: 5 4; }
svg .line { fill: none; stroke: var(--line); stroke-width: 1.8; } svg .dot { fill: var(--line); }
";

/// Renders the report as HTML.
pub fn render(report: &Report) -> String {
    let at = table::utc(SystemTime::UNIX_EPOCH + Duration::from_secs(report.at));
    let mut page = String::from("<!doctype html>\n<html lang=\"en\">\n<head>\n");
    let _ = writeln!(
        page,
        "<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n\
         <title>Service-level burn, {at}</title>\n<style>\n{STYLE}</style>\n</head>\n<body>\n\
         <h1>Service-level burn</h1>\n<p class=\"sub\">Six hours to {at}</p>"
    );
    coverage(&mut page, report);
    rows(&mut page, report);
    plots(&mut page, report);
    causes(&mut page, report);
    page.push_str("</body>\n</html>\n");
    page
}

fn coverage(page: &mut String, report: &Report) {
    let names: Vec<String> = report.instances.iter().map(|name| escape(name)).collect();
    let _ = writeln!(page, "<p>Counts of {} instance(s): {}.</p>", names.len(), names.join(", "));
    if !report.missing.is_empty() {
        page.push_str("<p class=\"fast\">No response; not included in these figures:</p>\n<ul>\n");
        for missing in &report.missing {
            let (instance, reason) = (escape(&missing.instance), escape(&missing.reason));
            let _ = writeln!(page, "<li>{instance}: {reason}</li>");
        }
        page.push_str("</ul>\n");
    }
    let _ = writeln!(page, "<p class=\"soft\">{COVERAGE_NOTE}</p>");
}

fn rows(page: &mut String, report: &Report) {
    page.push_str(
        "<h2>Pipelines and teams</h2>\n<div class=\"wide\"><table>\n<tr>\
         <th class=\"name\">Pipeline, team</th><th>Requests</th><th>Attainment</th>\
         <th>Objective</th><th>Budget left</th><th>Burn 5 min</th><th>1 h</th><th>6 h</th>\
         <th class=\"name\">Alert</th></tr>\n",
    );
    for row in &report.rows {
        page.push_str(&row_line(row));
    }
    page.push_str("</table></div>\n");
    if report.invalid > 0 {
        let _ = writeln!(
            page,
            "<p class=\"soft\">{} request(s) were invalid and are not counted.</p>",
            report.invalid
        );
    }
}

fn row_line(row: &Row) -> String {
    let (class, cell, name) = match &row.team {
        None => ("all", "name", table::name_or_placeholder(&row.pipeline)),
        Some(team) => ("", "name team", table::name_or_placeholder(team)),
    };
    let alert = match row.alert {
        Alert::Quiet => "",
        Alert::Slow => "<span class=\"slow\">slow burn</span>",
        Alert::Fast => "<span class=\"fast\">fast burn</span>",
    };
    let cells: String = row.figures().iter().map(|cell| format!("<td>{cell}</td>")).collect();
    let name = escape(name);
    format!(
        "<tr class=\"{class}\"><td class=\"{cell}\">{name}</td>{cells}\
         <td class=\"name\">{alert}</td></tr>\n"
    )
}

fn plots(page: &mut String, report: &Report) {
    page.push_str("<h2>Attainment over time</h2>\n");
    if report.series.is_empty() {
        page.push_str("<p>No requests.</p>\n");
    }
    for series in &report.series {
        let name = escape(table::name_or_placeholder(&series.pipeline));
        let _ = writeln!(page, "<h3>{name}</h3>\n{}", plot::attainment(series));
    }
}

fn causes(page: &mut String, report: &Report) {
    page.push_str("<h2>Largest causes of misses</h2>\n");
    if report.causes.is_empty() {
        page.push_str("<p>No request missed.</p>\n");
        return;
    }
    page.push_str(
        "<div class=\"wide\"><table>\n<tr><th class=\"name\">Pipeline</th>\
         <th class=\"name\">Team</th><th class=\"name\">Cause</th><th class=\"name\">Stage</th>\
         <th>Requests</th><th>Share</th><th class=\"name\"></th></tr>\n",
    );
    for cause in report.causes.iter().take(MAX_CAUSES) {
        page.push_str(&cause_line(cause));
    }
    page.push_str("</table></div>\n");
    let more = report.causes.len().saturating_sub(MAX_CAUSES);
    if more > 0 {
        let _ = writeln!(page, "<p class=\"soft\">{more} smaller cause(s) are not shown.</p>");
    }
}

fn cause_line(cause: &Cause) -> String {
    let (pipeline, team) =
        (table::name_or_placeholder(&cause.pipeline), table::name_or_placeholder(&cause.team));
    let what = format!("{}: {}", kind_text(cause.kind), cause.outcome);
    let stage = cause.stage.as_deref().unwrap_or("");
    let names = [pipeline, team, &what, stage];
    let cells: String =
        names.iter().map(|name| format!("<td class=\"name\">{}</td>", escape(name))).collect();
    let (count, share) = (cause.count, table::percent(Some(cause.share)));
    let width = cause.share * 100.0;
    format!(
        "<tr>{cells}<td>{count}</td><td>{share}</td>\
         <td class=\"name\"><span class=\"bar\" style=\"width:{width:.1}px\"></span></td></tr>\n"
    )
}

/// The name of a kind for people.
pub fn kind_text(kind: Kind) -> &'static str {
    match kind {
        Kind::Answered => "answered",
        Kind::NotRun => "not run",
        Kind::MayHaveRun => "may have run",
        Kind::Invalid => "invalid",
        Kind::Other => "other",
    }
}

fn escape(text: &str) -> String {
    let mut safe = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => safe.push_str("&amp;"),
            '<' => safe.push_str("&lt;"),
            '>' => safe.push_str("&gt;"),
            '"' => safe.push_str("&quot;"),
            '\'' => safe.push_str("&#39;"),
            c => safe.push(c),
        }
    }
    safe
}
