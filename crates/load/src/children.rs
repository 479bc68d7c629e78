//! Child processes that say on standard output where they listen, and that
//! end with the value that holds them.

use std::{
    fmt::Display,
    fs::File,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, ChildStdout, Stdio},
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use peatdeck_macros::data;

use crate::error;

/// How long a process gets to say where it listens.
const START_TIME: Duration = Duration::from_secs(20);
/// What it writes before the address for callers.
const LISTENING: &str = "listening ";
/// What it writes before the address for peers.
const PEERS: &str = "peers ";

/// A process to start.
#[data]
pub struct Command {
    /// Its binary.
    pub binary: &'static str,
    /// Its name among the children.
    pub name: String,
    /// Its arguments.
    pub args: Vec<String>,
    /// Its environment, beside what it inherits.
    pub env: Vec<(String, String)>,
}

impl Command {
    /// A process without arguments.
    pub fn new(binary: &'static str, name: &str) -> Command {
        Command { binary, name: name.to_owned(), args: Vec::new(), env: Vec::new() }
    }

    /// The same with one more argument.
    #[must_use]
    pub fn arg(mut self, arg: impl Display) -> Command {
        self.args.push(arg.to_string());
        self
    }

    /// The same with a flag and its value.
    #[must_use]
    pub fn pair(self, flag: &str, value: impl Display) -> Command {
        self.arg(flag).arg(value)
    }

    /// The same with one more variable.
    #[must_use]
    pub fn env(mut self, name: &str, value: &str) -> Command {
        self.env.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// A process that listens for callers and for peers.
#[data]
pub struct Started {
    /// Its process.
    pub pid: u32,
    /// Where callers reach it, `ip:port`.
    pub addr: Arc<str>,
    /// Where peers reach it, `ip:port`.
    pub peers: Arc<str>,
}

/// Processes that run. Dropping it kills them all.
#[derive(Debug)]
pub struct Children {
    bin_dir: PathBuf,
    logs: Option<PathBuf>,
    children: Vec<(String, Child)>,
}

impl Children {
    /// No process yet. Binaries are taken from `bin_dir`, or from the folder
    /// of the running one.
    ///
    /// # Errors
    /// If that folder is not known, or the one for logs cannot be made.
    pub fn new(bin_dir: Option<PathBuf>, logs: Option<PathBuf>) -> error::Result<Children> {
        let bin_dir = match bin_dir {
            Some(bin_dir) => bin_dir,
            None => own_dir()?,
        };
        if let Some(logs) = &logs {
            std::fs::create_dir_all(logs).map_err(|source| error::Error::File {
                path: logs.display().to_string(),
                source,
            })?;
        }
        Ok(Children { bin_dir, logs, children: Vec::new() })
    }

    /// Starts a process; gives where it listens, `ip:port`.
    ///
    /// # Errors
    /// If it does not start, or does not say where it listens in time.
    pub fn start(&mut self, command: Command) -> error::Result<Arc<str>> {
        let name = command.name.clone();
        let lines = self.spawn(command)?;
        wait_for(&lines, LISTENING, &name)
    }

    /// Starts a process that listens for peers too.
    ///
    /// # Errors
    /// As with [`Children::start`].
    pub fn start_peer(&mut self, command: Command) -> error::Result<Started> {
        let name = command.name.clone();
        let lines = self.spawn(command)?;
        let addr = wait_for(&lines, LISTENING, &name)?;
        let peers = wait_for(&lines, PEERS, &name)?;
        let pid = self.children.last().map_or(0, |(_, child)| child.id());
        Ok(Started { pid, addr, peers })
    }

    /// Kills the process of that name, and waits for its end.
    ///
    /// # Errors
    /// If there is none, or it cannot be killed.
    pub fn kill(&mut self, name: &str) -> Result<(), String> {
        let found = self.children.iter().position(|(known, _)| known == name);
        let idx = found.ok_or_else(|| format!("there is no process `{name}`"))?;
        let (_, mut child) = self.children.remove(idx);
        child.kill().and_then(|()| child.wait()).map(drop).map_err(|err| err.to_string())
    }

    fn spawn(&mut self, command: Command) -> error::Result<mpsc::Receiver<String>> {
        let fail = |err: std::io::Error| {
            error::Error::Start(format!("{} ({}): {err}", command.name, command.binary))
        };
        let stderr = match &self.logs {
            Some(logs) => {
                let path = logs.join(format!("{}.log", command.name));
                Stdio::from(File::create(path).map_err(fail)?)
            }
            None => Stdio::null(),
        };
        let mut child = std::process::Command::new(self.bin_dir.join(command.binary))
            .args(&command.args)
            .envs(command.env.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .map_err(fail)?;
        let stdout = child.stdout.take().expect("standard output is a pipe");
        self.children.push((command.name, child));
        Ok(lines(stdout))
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            child.kill().ok();
        }
        for (_, child) in &mut self.children {
            child.wait().ok();
        }
    }
}

/// The lines that a process writes. They are read to the end, so that it never
/// waits for a full pipe.
fn lines(stdout: ChildStdout) -> mpsc::Receiver<String> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            tx.send(line).ok();
        }
    });
    rx
}

fn wait_for(lines: &mpsc::Receiver<String>, start: &str, name: &str) -> error::Result<Arc<str>> {
    loop {
        let Ok(line) = lines.recv_timeout(START_TIME) else {
            let message = format!("{name} did not write `{}…`", start);
            return Err(error::Error::Start(message));
        };
        if let Some(addr) = line.strip_prefix(start) {
            return Ok(addr.trim().into());
        }
    }
}

fn own_dir() -> error::Result<PathBuf> {
    let binary = std::env::current_exe()
        .map_err(|source| error::Error::File { path: "this binary".to_owned(), source })?;
    Ok(binary.parent().map_or_else(PathBuf::new, PathBuf::from))
}
