//! Checks that are specific to the settings of an entry instance.

use peatdeck_core::{content::Content, instance::settings::Decisions};
use peatdeck_util::settings::Check;

use crate::settings::Settings;

/// Parses the set of decisions and removes those that are switched off.
pub(super) fn decisions(check: &mut Check, set: Option<&str>, without: Option<&str>) -> Decisions {
    let mut decisions = match set {
        None | Some("" | "full") => Decisions::full(),
        Some("plain") => Decisions::plain(),
        Some(other) => {
            let message = format!("`{}` is not a set of decisions", other.escape_debug());
            check.report("--decisions", message, "use `full` or `plain`");
            Decisions::full()
        }
    };
    let names = without.unwrap_or_default().split(',').filter(|name| !name.is_empty());
    for name in names {
        if !decisions.switch_off(name) {
            let message = format!("`{}` is not a decision", name.escape_debug());
            let remedy = format!("use some of {}", Decisions::NAMES.join(","));
            check.report("--without", message, remedy);
        }
    }
    decisions
}

/// Parses how callers' texts are recorded in a trace.
pub(super) fn content(check: &mut Check, value: Option<&str>) -> Content {
    match value {
        None | Some("" | "hash") => Content::Hash,
        Some("keep") => Content::Keep,
        Some(other) => {
            let message = format!("`{}` is not a way to record texts", other.escape_debug());
            check.report("--trace-content", message, "use `hash` or `keep`");
            Content::Hash
        }
    }
}

/// Checks that callers and peers connect to different addresses.
pub(super) fn distinct_addresses(check: &mut Check, settings: &Settings) {
    let is_fixed = settings.listen.port() != 0;
    if is_fixed && settings.listen == settings.peer_listen {
        check.report(
            "--peer-listen",
            "is the same address as --listen",
            "give callers and peers different ports",
        );
    }
}
