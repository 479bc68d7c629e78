//! Finds the log lines of one request in the log files of all instances.
//!
//! A line belongs to a request if it contains the request's id, or a call, hand-over or
//! ticket that an earlier line of the same instance linked to the request. Pieces that
//! another instance ran are thus included. These lines are included as well:
//!
//! - crashes under the same content, whichever request had it, and its quarantine;
//! - if the request was refused because of an evacuation, the evacuations that the refusing
//!   instance had applied or ended before;
//! - the rollouts of the services that the request used;
//! - the limits and departures announced by the endpoints that the request was sent to;
//! - reports that the platform's store was restored from an older copy, from the instances
//!   that sent or refused the request, up to that decision.

use std::{collections::HashSet, fs, path::Path};

use peatdeck_macros::message;
use serde_json::{Map, Value};

use crate::error::Error;

/// Fields whose values link later lines of the same instance to the request.
const LINK_FIELDS: [&str; 3] = ["call", "handover", "ticket"];
/// Fields that may contain the request's id.
const ID_FIELDS: [&str; 2] = ["id", "pieces"];

/// A parsed log line.
#[message]
pub struct LogLine {
    /// Timestamp by the clock of the instance.
    pub time: String,
    /// Name of the instance, from the line's prefix or else from the file name.
    pub instance: String,
    /// The value of the field `event`.
    pub event: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

/// Returns the lines of all files that concern a request, sorted by time.
///
/// # Errors
/// [`Error::File`] if a file cannot be read.
pub fn find_lines(id: &str, files: &[String]) -> Result<Vec<LogLine>, Error> {
    let mut lines = Vec::new();
    for path in files {
        let text =
            fs::read_to_string(path).map_err(|cause| Error::File { path: path.clone(), cause })?;
        let name = Path::new(path).file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(text.lines().filter_map(|line| parse(&name, line)));
    }
    lines.sort_by(|a: &LogLine, b| a.time.cmp(&b.time));
    let mut links = HashSet::new();
    let content = lines.iter().find_map(|line| content_of(line, id));
    let refused_by = lines.iter().find_map(|line| evacuation_refusal(line, id));
    let deciders: Vec<_> = lines.iter().filter_map(|line| decision(line, id)).collect();
    let services = services_of(&lines, id);
    let called: HashSet<_> = lines.iter().filter_map(|line| called_endpoint(line, id)).collect();
    lines.retain(|line| {
        belongs_to(line, id, &mut links)
            || is_crash_or_quarantine(line, content.as_deref())
            || is_evacuation(line, refused_by.as_ref())
            || is_rollout(line, &services)
            || is_endpoint_terms(line, &called)
            || is_older_copy(line, &deciders)
    });
    Ok(lines)
}

/// The instance and time of a refusal because of an evacuation.
fn evacuation_refusal(line: &LogLine, id: &str) -> Option<(String, String)> {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    let is_match = line.event == "refuse" && text("id") == Some(id);
    let is_evacuated = text("reason") == Some("evacuated");
    (is_match && is_evacuated).then(|| (line.instance.clone(), line.time.clone()))
}

/// Whether a line reports the start or end of an evacuation at the refusing instance, before the
/// refusal.
fn is_evacuation(line: &LogLine, refused_by: Option<&(String, String)>) -> bool {
    let Some((instance, time)) = refused_by else { return false };
    let is_order = matches!(line.event.as_str(), "evacuated" | "restored");
    is_order && line.instance == *instance && line.time <= *time
}

/// The services that the request, or its pieces, were to run on.
fn services_of(lines: &[LogLine], id: &str) -> HashSet<String> {
    let mut links = HashSet::new();
    let text = |line: &LogLine| line.fields.get("service")?.as_str().map(str::to_owned);
    let own = lines.iter().filter(|line| belongs_to(line, id, &mut links));
    own.filter_map(text).collect()
}

/// Whether a line reports on a rollout of one of these services.
fn is_rollout(line: &LogLine, services: &HashSet<String>) -> bool {
    let service = line.fields.get("service").and_then(Value::as_str);
    line.event.starts_with("rollout_") && service.is_some_and(|name| services.contains(name))
}

/// The endpoint that the request was sent to.
fn called_endpoint(line: &LogLine, id: &str) -> Option<String> {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    let is_match = line.event == "send" && text("id") == Some(id);
    is_match.then(|| text("endpoint").map(str::to_owned))?
}

/// Whether a line reports terms that one of these endpoints announced.
fn is_endpoint_terms(line: &LogLine, called: &HashSet<String>) -> bool {
    let is_term = matches!(line.event.as_str(), "endpoint_limit" | "endpoint_leaves");
    let endpoint = line.fields.get("endpoint").and_then(Value::as_str);
    is_term && endpoint.is_some_and(|endpoint| called.contains(endpoint))
}

/// The instance and time of a decision to send or refuse the request.
fn decision(line: &LogLine, id: &str) -> Option<(String, String)> {
    let is_named = line.fields.get("id").and_then(Value::as_str) == Some(id);
    let is_decision = matches!(line.event.as_str(), "send" | "refuse");
    (is_named && is_decision).then(|| (line.instance.clone(), line.time.clone()))
}

/// Whether a line reports that a deciding instance had detected an older copy of the store, or had
/// dropped records because of it, before its decision.
fn is_older_copy(line: &LogLine, deciders: &[(String, String)]) -> bool {
    let is_copy = matches!(line.event.as_str(), "table_copied" | "records_given_up");
    let is_match =
        |(instance, time): &(String, String)| line.instance == *instance && line.time <= *time;
    is_copy && deciders.iter().any(is_match)
}

/// Formats the lines as text.
pub fn render(lines: &[LogLine]) -> String {
    let width = lines.iter().map(|line| line.instance.len()).max().unwrap_or(0);
    let mut text = String::new();
    for line in lines {
        let LogLine { time, instance, event, .. } = line;
        let clock = time.split_once('T').map_or(&**time, |(_, clock)| clock);
        text += &format!("{clock}  {instance:width$}  {event:14}{}\n", render_fields(&line.fields));
    }
    text
}

fn render_fields(fields: &Map<String, Value>) -> String {
    let shown = fields.iter().filter(|(_, value)| !value.is_null());
    let field = |(name, value): (&String, &Value)| match value {
        Value::String(text) => format!(" {name}={text}"),
        other => format!(" {name}={other}"),
    };
    shown.map(field).collect()
}

/// Parses a line; `None` if it is not a log line with an event. A log collector may
/// have prefixed the JSON with a time and the instance's name.
fn parse(file: &str, line: &str) -> Option<LogLine> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let take = |fields: &mut Map<String, Value>, name: &str| {
        fields.remove(name).and_then(|value| value.as_str().map(str::to_owned))
    };
    let time = take(&mut fields, "timestamp")?;
    let event = take(&mut fields, "event")?;
    let instance = prefix.split_whitespace().last().unwrap_or(file).to_owned();
    Some(LogLine { time, instance, event, fields })
}

fn belongs_to(line: &LogLine, id: &str, links: &mut HashSet<(String, String)>) -> bool {
    if line.event == "start" {
        // A restarted instance numbers its calls from the beginning.
        links.retain(|(instance, _)| *instance != line.instance);
        return false;
    }
    let field = |name: &str| line.fields.get(name);
    let text = |name: &str| field(name).map(|value| value.to_string());
    let link =
        |name: &str| text(name).map(|value| (line.instance.clone(), format!("{name} {value}")));
    let named_ids = ID_FIELDS.iter().filter_map(|name| field(name)?.as_str());
    let is_named = named_ids.flat_map(str::split_whitespace).any(|name| is_id_of(name, id));
    let is_linked =
        LINK_FIELDS.iter().filter_map(|name| link(name)).any(|link| links.contains(&link));
    if is_named {
        links.extend(LINK_FIELDS.iter().filter_map(|name| link(name)));
    }
    is_named || is_linked
}

/// The content fingerprint of the request, from the line of its arrival.
fn content_of(line: &LogLine, id: &str) -> Option<String> {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    let is_arrival = line.event == "arrive" && text("id") == Some(id);
    is_arrival.then(|| text("content").map(str::to_owned))?
}

/// Whether a line reports a crash under the content or its quarantine.
fn is_crash_or_quarantine(line: &LogLine, content: Option<&str>) -> bool {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    let Some(content) = content else { return false };
    match line.event.as_str() {
        "endpoint_crashed" => text("runs").is_some_and(|runs| runs.contains(content)),
        event => event.starts_with("quarantine") && text("content") == Some(content),
    }
}

/// Whether `name` is the request's id or the id of one of its pieces.
fn is_id_of(name: &str, id: &str) -> bool {
    name.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
