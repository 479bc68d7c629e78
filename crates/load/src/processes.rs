//! The processes of a system, by name.

use std::{collections::BTreeMap, fs, path::PathBuf};

use peatdeck_test_support::{
    error::Error,
    process::{Process, Spec},
};

use crate::error;

/// Prefix of the output line with the address for callers.
const LISTEN_PREFIX: &str = "listening ";
/// Prefix of the output line with the address for peers.
const PEERS_PREFIX: &str = "peers ";

/// Running processes. Dropping it kills them all.
#[derive(Debug, Default)]
pub struct Processes {
    running: BTreeMap<String, Process>,
    logs: Option<PathBuf>,
}

impl Processes {
    /// Contains no process at first. The end of each process's log is written to a file in `logs`.
    ///
    /// # Errors
    /// If that directory cannot be created.
    pub fn new(logs: Option<PathBuf>) -> error::Result<Processes> {
        if let Some(logs) = &logs {
            fs::create_dir_all(logs).map_err(|source| error::Error::File {
                path: logs.display().to_string(),
                source,
            })?;
        }
        Ok(Processes { running: BTreeMap::new(), logs })
    }

    /// Starts a process and returns the address on which it listens, `ip:port`.
    ///
    /// # Errors
    /// If it does not start, or does not print its address in time.
    pub fn start(&mut self, spec: &Spec) -> error::Result<String> {
        let process = Process::start(spec).map_err(start_error)?;
        let process = self.running.entry(spec.name.clone()).insert_entry(process).into_mut();
        process.line(LISTEN_PREFIX).map_err(start_error)
    }

    /// The address on which a started process listens for peers, `ip:port`.
    ///
    /// # Errors
    /// If it does not print the address in time, or no process has that name.
    pub fn peer_addr(&mut self, name: &str) -> error::Result<String> {
        let process = self.running.get_mut(name);
        let process = process.ok_or_else(|| start_error(Error::Unknown(name.to_owned())))?;
        process.line(PEERS_PREFIX).map_err(start_error)
    }

    /// The process id; `None` if no process has that name.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.running.get(name).map(Process::id)
    }

    /// Kills a process and waits until it has exited.
    ///
    /// # Errors
    /// If no process has that name, or it cannot be killed.
    pub fn kill(&mut self, name: &str) -> error::Result<()> {
        let fail =
            |message: String| error::Error::Control { what: format!("killing {name}"), message };
        let process = self.running.remove(name);
        let mut process = process.ok_or_else(|| fail("there is no such process".to_owned()))?;
        self.write_log(name, &process);
        process.kill().map_err(|err| fail(err.to_string()))
    }

    fn write_log(&self, name: &str, process: &Process) {
        let Some(logs) = &self.logs else { return };
        let path = logs.join(format!("{name}.log"));
        if let Err(cause) = fs::write(&path, process.log()) {
            tracing::warn!(path = %path.display(), %cause, "cannot write the log of a process");
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for (name, process) in &self.running {
            self.write_log(name, process);
        }
    }
}

fn start_error(cause: Error) -> error::Error {
    error::Error::Start(cause.to_string())
}
