//! `cargo xtask soak`: builds the relay and soaks it with faults.

use std::{
    path::Path,
    process::{Command, ExitStatus},
};

/// Seconds that one seed takes beside its faults: start, calm and end.
const BESIDE: u64 = 12;
/// Seconds of faults in one seed.
const FAULTS: u64 = 12;

/// Why a soak failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A program could not be started.
    #[error("cannot start {program}: {cause}; check that it is installed")]
    Start {
        /// The program.
        program: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The build failed.
    #[error("the build failed; mend what it says")]
    Build,
    /// A promise was broken.
    #[error("a promise was broken; its seed and the place of its logs are above")]
    Broken,
    /// The flags are wrong.
    #[error("`{0}` is not a flag of the soak; use --seed N and --minutes M")]
    Flag(String),
}

/// Soaks for so many minutes, or one seed if none are given.
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
                seeds = (minutes * 60 / (FAULTS + BESIDE)).max(1);
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
    soak.args(["--seconds", &FAULTS.to_string(), "--seeds", &seeds.to_string()]);
    if let Some(seed) = seed {
        soak.args(["--seed", &seed]);
    }
    let soaked = call(&mut soak)?;
    if soaked.success() { Ok(()) } else { Err(Error::Broken) }
}

fn call(command: &mut Command) -> Result<ExitStatus, Error> {
    let program = command.get_program().to_string_lossy().into_owned();
    command.status().map_err(|cause| Error::Start { program, cause })
}
