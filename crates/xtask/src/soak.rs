//! `cargo xtask soak`: builds the relay and runs its soak test with faults.

use std::{
    path::Path,
    process::{Command, ExitStatus},
};

/// Seconds for each seed in addition to its faults: start, recovery and end.
const OVERHEAD_SECONDS: u64 = 12;
/// Seconds of faults for each seed.
const FAULT_SECONDS: u64 = 12;

/// Why a soak test failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A program could not be started.
    #[error("cannot start {program}: {cause}; check that it is installed")]
    Start {
        /// The program.
        program: String,
        /// The underlying error.
        cause: std::io::Error,
    },
    /// The build failed.
    #[error("the build failed; fix the errors it reports")]
    Build,
    /// The soak test found a violation.
    #[error(
        "the soak test found a violation; its seed and the directory of its logs are printed above"
    )]
    Violated,
    /// The flags are wrong.
    #[error("`{0}` is not a flag of `soak`; use --seed N and --minutes M")]
    Flag(String),
}

/// Runs the soak test for about the given minutes, or for one seed by default.
///
/// # Errors
/// Any [`Error`].
pub fn run(root: &Path, flags: &[&str]) -> Result<(), Error> {
    let (mut seed, mut seeds) = (None, 1);
    for pair in flags.chunks(2) {
        match pair {
            ["--seed", value] => seed = Some((*value).to_owned()),
            ["--minutes", value] => {
                let minutes: u64 = value.parse().map_err(|_| Error::Flag((*value).to_owned()))?;
                seeds = (minutes * 60 / (FAULT_SECONDS + OVERHEAD_SECONDS)).max(1);
            }
            other => return Err(Error::Flag(other.join(" "))),
        }
    }
    let packages = ["-p", "peatdeck-soak", "-p", "peatdeck-platform"];
    let build = call(Command::new("cargo").current_dir(root).arg("build").args(packages))?;
    if !build.success() {
        return Err(Error::Build);
    }
    let target = root.join("target/debug");
    let mut soak = Command::new(target.join("peatdeck-soak"));
    soak.arg("--binary").arg(target.join("peatdeck-edge"));
    soak.args(["--seconds", &FAULT_SECONDS.to_string(), "--seeds", &seeds.to_string()]);
    if let Some(seed) = seed {
        soak.args(["--seed", &seed]);
    }
    let soaked = call(&mut soak)?;
    if soaked.success() { Ok(()) } else { Err(Error::Violated) }
}

fn call(command: &mut Command) -> Result<ExitStatus, Error> {
    let program = command.get_program().to_string_lossy().into_owned();
    command.status().map_err(|cause| Error::Start { program, cause })
}
