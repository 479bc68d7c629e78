//! A child process that is started from a built binary and killed on drop.

use std::{
    collections::VecDeque,
    env,
    io::{BufRead, BufReader, Read},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError, mpsc},
    thread,
    time::Duration,
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

use crate::{
    error::{Error, Result},
    wait,
};

/// Time limit for a process to print the next line after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of lines of standard error that are stored.
const LOG_LINES: usize = 200;

/// Command line and environment of a process.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Name among the processes of a test.
    pub name: String,
    /// File name of the program.
    pub binary: &'static str,
    /// Command-line arguments.
    pub args: Vec<String>,
    /// Environment variables in addition to the inherited ones.
    pub env: Vec<(String, String)>,
}

impl Spec {
    /// Creates a specification without arguments.
    pub fn new(name: &str, binary: &'static str) -> Spec {
        Spec { name: name.to_owned(), binary, args: Vec::new(), env: Vec::new() }
    }

    /// Adds arguments.
    #[must_use]
    pub fn args<S: ToString>(mut self, args: impl IntoIterator<Item = S>) -> Spec {
        self.args.extend(args.into_iter().map(|arg| arg.to_string()));
        self
    }

    /// Adds an environment variable.
    #[must_use]
    pub fn env(mut self, name: &str, value: &str) -> Spec {
        self.env.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    lines: mpsc::Receiver<String>,
    log: Arc<Mutex<VecDeque<String>>>,
}

impl Process {
    /// Starts a process.
    ///
    /// # Errors
    /// If the binary has not been built or cannot be started.
    pub fn start(spec: &Spec) -> Result<Process> {
        let path = binary(spec.binary)?;
        let mut child = Command::new(path)
            .args(&spec.args)
            .envs(spec.env.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| Error::Process { name: spec.name.clone(), source })?;
        let stdout = child.stdout.take().expect("standard output is a pipe");
        let stderr = child.stderr.take().expect("standard error is a pipe");
        let log = Arc::default();
        keep_log(stderr, Arc::clone(&log));
        Ok(Process { name: spec.name.clone(), child, lines: read_lines(stdout), log })
    }

    /// Waits for a line of standard output that starts with `prefix`, and returns the rest
    /// of it.
    ///
    /// # Errors
    /// If no such line is printed in time, or the process ends.
    pub fn line(&mut self, prefix: &str) -> Result<String> {
        loop {
            let Ok(line) = self.lines.recv_timeout(START_TIMEOUT) else {
                let log = self.log();
                let prefix = prefix.to_owned();
                return Err(Error::MissingLine { name: self.name.clone(), prefix, log });
            };
            if let Some(rest) = line.strip_prefix(prefix) {
                return Ok(rest.trim().to_owned());
            }
        }
    }

    /// The last lines of standard error.
    pub fn log(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().map(String::as_str).collect::<Vec<&str>>().join("\n")
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    ///
    /// # Errors
    /// If the process cannot be signalled or waited for.
    pub fn kill(&mut self) -> Result<()> {
        let name = &self.name;
        let fail = |source| Error::Process { name: name.clone(), source };
        self.child.kill().map_err(fail)?;
        self.child.wait().map_err(fail).map(drop)
    }

    /// Suspends the process (SIGSTOP) until [`Process::thaw`].
    ///
    /// # Errors
    /// If the process cannot be signalled.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes the process (SIGCONT).
    ///
    /// # Errors
    /// If the process cannot be signalled.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests the process to stop (SIGTERM).
    ///
    /// # Errors
    /// If the process cannot be signalled.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    /// If the process still runs after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let what = format!("the end of {}", self.name);
        let child = &mut self.child;
        wait::until(&what, timeout, async || child.try_wait().ok().flatten()).await
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = i32::try_from(self.id()).expect("the kernel's process ids fit");
        signal::kill(Pid::from_raw(pid), signal)
            .map_err(|errno| Error::Process { name: self.name.clone(), source: errno.into() })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Path of a built binary. It is searched for in the directory of the running
/// program and in the parent, since test programs are one directory below the
/// binaries.
///
/// # Errors
/// [`Error::NotBuilt`] if no such file exists.
pub fn binary(name: &str) -> Result<PathBuf> {
    let own = env::current_exe().unwrap_or_default();
    let folders = own.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(name));
    let found = paths.find(|path| path.is_file());
    found.ok_or_else(|| Error::NotBuilt(PathBuf::from(name)))
}

/// Reads all lines in a thread, so that the process never blocks on a full pipe.
fn read_lines(stdout: impl Read + Send + 'static) -> mpsc::Receiver<String> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(std::result::Result::ok) {
            tx.send(line).ok();
        }
    });
    rx
}

fn keep_log(stderr: impl Read + Send + 'static, log: Arc<Mutex<VecDeque<String>>>) {
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(std::result::Result::ok) {
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.push_back(line);
            if log.len() > LOG_LINES {
                log.pop_front();
            }
        }
    });
}
