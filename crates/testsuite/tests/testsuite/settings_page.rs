//! The settings page contains the `--help` text of every program and command.

use bpaf::{Args, OptionParser};

/// The help text that `program command --help` prints.
fn help<T>(program: &str, options: &OptionParser<T>, command: Option<&str>) -> String {
    let args: Vec<&str> = command.into_iter().chain(["--help"]).collect();
    let failure = options
        .run_inner(Args::from(&args[..]).set_name(program))
        .err()
        .expect("--help is no command");
    let bpaf::ParseFailure::Stdout(doc, full) = failure else { panic!("--help succeeds") };
    let text = doc.monochrome(full);
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n").trim_end().to_owned()
}

/// Names of the commands listed in a help text.
fn commands(help: &str) -> Vec<String> {
    let indented = help.lines().filter_map(|line| line.strip_prefix("    "));
    let names = indented.filter_map(|line| line.split_once("  "));
    let names = names.map(|(name, _)| name);
    names
        .filter(|name| name.starts_with(|c: char| c.is_ascii_lowercase()))
        .map(str::to_owned)
        .collect()
}

/// Sections that the page must contain for one program.
fn blocks<T>(program: &str, options: OptionParser<T>) -> Vec<String> {
    let top = help(program, &options, None);
    let mut blocks = vec![block(program, &top)];
    for command in commands(&top) {
        blocks
            .push(block(&format!("{program} {command}"), &help(program, &options, Some(&command))));
    }
    blocks
}

fn block(title: &str, help: &str) -> String {
    format!("## `{title}`\n\n```text\n{help}\n```\n")
}

#[test]
fn the_settings_page_holds_every_help_text() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/reference/settings.md");
    let text = std::fs::read_to_string(page).expect("the page exists");
    let blocks = [
        blocks("peatdeck-entry", peatdeck_entry::settings::parser()),
        blocks("peatdeck-admin", peatdeck_admin::settings::options()),
        blocks("peatdeck", peatdeck::app::options()),
        blocks("peatdeck-load", peatdeck_load::cli::options()),
        blocks("peatdeck-standin", peatdeck_standin::cli::options()),
    ]
    .concat();
    let missing: Vec<String> = blocks.into_iter().filter(|block| !text.contains(block)).collect();
    assert!(missing.is_empty(), "docs/reference/settings.md lacks:\n\n{}", missing.join("\n"));
}
