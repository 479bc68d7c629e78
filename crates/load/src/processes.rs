//! The processes of a system, by name. They end with the value that holds them.

use std::{collections::BTreeMap, fs, path::PathBuf};

use peatdeck_test_support::{
    error::Error,
    process::{Process, Spec},
};

use crate::error;

/// What a process writes before the address for callers.
const LISTENING: &str = "listening ";
/// What it writes before the address for peers.
const PEERS: &str = "peers ";

/// Running processes. Dropping it kills them all.
#[derive(Debug, Default)]
pub struct Processes {
    running: BTreeMap<String, Process>,
    logs: Option<PathBuf>,
}

impl Processes {
    /// No process yet. The end of each one's log goes into a file in `logs`.
    ///
    /// # Errors
    /// If that folder cannot be made.
    pub fn new(logs: Option<PathBuf>) -> error::Result<Processes> {
        if let Some(logs) = &logs {
            fs::create_dir_all(logs).map_err(|source| error::Error::File {
                path: logs.display().to_string(),
                source,
            })?;
        }
        Ok(Processes { running: BTreeMap::new(), logs })
    }

    /// Starts a process; gives where it listens, `ip:port`.
    ///
    /// # Errors
    /// If it does not start, or does not say where it listens in time.
    pub fn start(&mut self, spec: &Spec) -> error::Result<String> {
        let process = Process::start(spec).map_err(failed)?;
        let process = self.running.entry(spec.name.clone()).insert_entry(process).into_mut();
        process.line(LISTENING).map_err(failed)
    }

    /// Where a process that was started listens for peers, `ip:port`.
    ///
    /// # Errors
    /// If it does not say so in time, or there is none of that name.
    pub fn peers(&mut self, name: &str) -> error::Result<String> {
        let process = self.running.get_mut(name);
        let process = process.ok_or_else(|| failed(Error::Unknown(name.to_owned())))?;
        process.line(PEERS).map_err(failed)
    }

    /// The id of a process.
    pub fn id(&self, name: &str) -> Option<u32> {
        self.running.get(name).map(Process::id)
    }

    /// Kills a process and waits for its end.
    ///
    /// # Errors
    /// If there is none, or it cannot be killed.
    pub fn kill(&mut self, name: &str) -> error::Result<()> {
        let fail =
            |message: String| error::Error::Control { what: format!("killing {name}"), message };
        let process = self.running.remove(name);
        let mut process = process.ok_or_else(|| fail("there is no such process".to_owned()))?;
        self.keep_log(name, &process);
        process.kill().map_err(|err| fail(err.to_string()))
    }

    fn keep_log(&self, name: &str, process: &Process) {
        let Some(logs) = &self.logs else { return };
        let path = logs.join(format!("{name}.log"));
        if let Err(cause) = fs::write(&path, process.log()) {
            tracing::warn!(path = %path.display(), %cause, "a log could not be written");
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for (name, process) in &self.running {
            self.keep_log(name, process);
        }
    }
}

fn failed(cause: Error) -> error::Error {
    error::Error::Start(cause.to_string())
}
