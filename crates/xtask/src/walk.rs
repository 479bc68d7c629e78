//! `cargo xtask walk`: runs the commands in the README and updates their output
//! in it.
//!
//! In a block that begins with "```console", a line that begins with `$ ` is a
//! command, and the lines that begin with `> ` after it continue it; all other
//! lines are output and are replaced. The commands run in order, each in its own
//! shell, in the root of the repository, against the system of [`up`].

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::Command,
};

use crate::{demo::Error, up};

/// Path of the page, relative to the root of the repository.
const PAGE: &str = "README.md";
/// Begins a block of commands.
const OPEN: &str = "```console\n";
/// Ends a block.
const CLOSE: &str = "```";
/// Begins a command.
const PROMPT: &str = "$ ";
/// Begins a continuation line of a command.
const CONTINUATION: &str = "> ";
/// Author of the operator's actions in the page.
const AUTHOR: &str = "mair";

/// Runs the page's commands and updates their output.
///
/// # Errors
/// If the system does not start, or the page cannot be read or written.
pub fn run(root: &Path) -> Result<(), Error> {
    let path = root.join(PAGE);
    up::with_system(root, move |root, system| {
        let variables = up::variables(system)?;
        let page = fs::read_to_string(&path).map_err(|error| unwritable(&path, &error))?;
        let run = |command: &str| shell(root, &variables, command);
        let page = replace(&page, run).map_err(|error| unwritable(&path, &error))?;
        fs::write(&path, page).map_err(|error| unwritable(&path, &error))
    })
}

fn unwritable(path: &Path, error: &std::io::Error) -> Error {
    Error::File { path: path.display().to_string(), cause: error.to_string() }
}

/// Returns the page with the output that `run` returns for each command.
///
/// # Errors
/// Any error of `run`.
pub fn replace<E>(page: &str, mut run: impl FnMut(&str) -> Result<String, E>) -> Result<String, E> {
    let mut out = String::new();
    let mut rest = page;
    while let Some((before, block)) = rest.split_once(OPEN) {
        let (block, after) = block.split_once(CLOSE).unwrap_or((block, ""));
        out.push_str(before);
        out.push_str(OPEN);
        for command in commands(block) {
            let printed = run(&command)?;
            out.push_str(&format!("{PROMPT}{}\n{printed}", shown(&command)));
        }
        out.push_str(CLOSE);
        rest = after;
    }
    out.push_str(rest);
    Ok(out)
}

/// A command as the page shows it, without trailing white space.
fn shown(command: &str) -> String {
    let text = command.replace('\n', &format!("\n{CONTINUATION}"));
    text.lines().map(str::trim_end).collect::<Vec<_>>().join("\n")
}

/// The commands of a block.
fn commands(block: &str) -> Vec<String> {
    let mut commands: Vec<String> = Vec::new();
    let mut is_open = false;
    for line in block.lines() {
        if let Some(command) = line.strip_prefix(PROMPT) {
            commands.push(command.to_owned());
            is_open = true;
        } else if let (Some(more), true) = (line.strip_prefix(CONTINUATION.trim_end()), is_open) {
            let last = commands.last_mut().expect("a command is open");
            last.push('\n');
            last.push_str(more.strip_prefix(' ').unwrap_or(more));
        } else {
            is_open = false;
        }
    }
    commands
}

/// Output of a command including standard error, with its exit code if it fails.
fn shell(root: &Path, variables: &str, command: &str) -> std::io::Result<String> {
    let script = format!("exec 2>&1\n{variables}\nexport PEATDECK_AUTHOR={AUTHOR}\n{command}\n");
    let output = Command::new("sh").arg("-c").arg(script).current_dir(root).output()?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    let folder = env::current_exe()?.parent().map(PathBuf::from).unwrap_or_default();
    let text = text.replace(&folder.display().to_string(), "target/debug");
    match output.status.code() {
        Some(0) => Ok(text),
        code => Ok(format!("{text}(exit code {})\n", code.unwrap_or(-1))),
    }
}
