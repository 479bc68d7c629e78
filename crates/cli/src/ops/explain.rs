//! One request's story out of log files.
//!
//! A line tells of a request if it names its id, or if it tells of a call or a
//! hand-over that an earlier line of the same instance connected with it.
//! Those are followed too, so the pieces that another instance had made are
//! part of the story. So are the lines of crashes under the same content, whoever
//! sent it, and of its being held back; and the operators' evacuations, where it was
//! refused for one; what the endpoints that it was sent to say of themselves; and where
//! the instances that decided had tables of a store that came back from an older copy.

use std::{collections::HashSet, fs, path::Path};

use peatdeck_macros::message;
use serde_json::{Map, Value};

use crate::error::Error;

/// Fields that name something which later lines tell more about.
const LINK_FIELDS: [&str; 3] = ["call", "handover", "ticket"];
/// Fields that may hold the request's id.
const ID_FIELDS: [&str; 2] = ["id", "pieces"];

/// One line of the story.
#[message]
pub struct LogLine {
    /// When it was logged, by that instance's clock.
    pub time: String,
    /// The instance, as the file or the line's prefix names it.
    pub instance: String,
    /// What happened.
    pub event: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

/// The lines of all files that tell of a request, by time.
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
    let mut known = HashSet::new();
    let content = lines.iter().find_map(|line| content_of(line, id));
    let refused_by = lines.iter().find_map(|line| evacuation_refusal(line, id));
    let deciders: Vec<_> = lines.iter().filter_map(|line| decision(line, id)).collect();
    let called: HashSet<_> = lines.iter().filter_map(|line| called_endpoint(line, id)).collect();
    lines.retain(|line| {
        belongs_to(line, id, &mut known)
            || is_crash_or_quarantine(line, content.as_deref())
            || is_evacuation(line, refused_by.as_ref())
            || is_endpoint_terms(line, &called)
            || is_older_copy(line, &deciders)
    });
    Ok(lines)
}

/// The instance that refused a request since all that it needs is evacuated, and when.
fn evacuation_refusal(line: &LogLine, id: &str) -> Option<(String, String)> {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    let is_match = line.event == "refuse" && text("id") == Some(id);
    let is_evacuated = text("reason") == Some("evacuated");
    (is_match && is_evacuated).then(|| (line.instance.clone(), line.time.clone()))
}

/// Whether a line tells of an evacuation that its refuser knew of.
fn is_evacuation(line: &LogLine, refused_by: Option<&(String, String)>) -> bool {
    let Some((instance, time)) = refused_by else { return false };
    let is_order = matches!(line.event.as_str(), "evacuated" | "restored");
    is_order && line.instance == *instance && line.time <= *time
}

/// The endpoint that a request was sent to.
fn called_endpoint(line: &LogLine, id: &str) -> Option<String> {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    let is_match = line.event == "send" && text("id") == Some(id);
    is_match.then(|| text("endpoint").map(str::to_owned))?
}

/// Whether a line tells what one of these endpoints says of itself.
fn is_endpoint_terms(line: &LogLine, called: &HashSet<String>) -> bool {
    let is_term = matches!(line.event.as_str(), "endpoint_limit" | "endpoint_leaves");
    let endpoint = line.fields.get("endpoint").and_then(Value::as_str);
    is_term && endpoint.is_some_and(|endpoint| called.contains(endpoint))
}

/// The instance that decided on a request, and when.
fn decision(line: &LogLine, id: &str) -> Option<(String, String)> {
    let is_named = line.fields.get("id").and_then(Value::as_str) == Some(id);
    let is_decision = matches!(line.event.as_str(), "send" | "refuse");
    (is_named && is_decision).then(|| (line.instance.clone(), line.time.clone()))
}

/// Whether a line tells of an older copy that such an instance had heard of by then.
fn is_older_copy(line: &LogLine, deciders: &[(String, String)]) -> bool {
    let is_copy = matches!(line.event.as_str(), "table_copied" | "records_given_up");
    let is_match =
        |(instance, time): &(String, String)| line.instance == *instance && line.time <= *time;
    is_copy && deciders.iter().any(is_match)
}

/// The story as text.
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

/// Reads a line. A collector may have put a time and the instance's name in
/// front of the JSON.
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

fn belongs_to(line: &LogLine, id: &str, known: &mut HashSet<(String, String)>) -> bool {
    if line.event == "start" {
        // A new life of an instance numbers its calls anew.
        known.retain(|(instance, _)| *instance != line.instance);
        return false;
    }
    let field = |name: &str| line.fields.get(name);
    let text = |name: &str| field(name).map(|value| value.to_string());
    let link =
        |name: &str| text(name).map(|value| (line.instance.clone(), format!("{name} {value}")));
    let named_ids = ID_FIELDS.iter().filter_map(|name| field(name)?.as_str());
    let is_named = named_ids.flat_map(str::split_whitespace).any(|name| is_id_of(name, id));
    let is_linked =
        LINK_FIELDS.iter().filter_map(|name| link(name)).any(|link| known.contains(&link));
    if is_named {
        known.extend(LINK_FIELDS.iter().filter_map(|name| link(name)));
    }
    is_named || is_linked
}

/// What a request asks for, by the line of its arrival.
fn content_of(line: &LogLine, id: &str) -> Option<String> {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    let is_arrival = line.event == "arrive" && text("id") == Some(id);
    is_arrival.then(|| text("content").map(str::to_owned))?
}

/// Whether a line tells of crashes under a content, or of its being held back.
fn is_crash_or_quarantine(line: &LogLine, content: Option<&str>) -> bool {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    let Some(content) = content else { return false };
    match line.event.as_str() {
        "endpoint_crashed" => text("runs").is_some_and(|runs| runs.contains(content)),
        event => event.starts_with("quarantine") && text("content") == Some(content),
    }
}

/// Whether a name is the request's id, or that of one of its pieces.
fn is_id_of(name: &str, id: &str) -> bool {
    name.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
