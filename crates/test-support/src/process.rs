//! One child process: started from a built binary, killed on drop.

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

/// How long a process may take to print where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Lines of standard error that are kept.
const LOG_LINES: usize = 200;

/// How to start a process.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Its name among the processes of a test.
    pub name: String,
    /// Its binary.
    pub binary: &'static str,
    /// Its arguments.
    pub args: Vec<String>,
    /// Its environment, beside what it inherits.
    pub env: Vec<(String, String)>,
}

impl Spec {
    /// A process without arguments.
    pub fn new(name: &str, binary: &'static str) -> Spec {
        Spec { name: name.to_owned(), binary, args: Vec::new(), env: Vec::new() }
    }

    /// The same with more arguments.
    #[must_use]
    pub fn args<S: ToString>(mut self, args: impl IntoIterator<Item = S>) -> Spec {
        self.args.extend(args.into_iter().map(|arg| arg.to_string()));
        self
    }

    /// The same with one more variable.
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
    /// If its binary was not built or does not start.
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

    /// Waits for a line that starts with `prefix` and gives what follows.
    ///
    /// # Errors
    /// If it does not come in time, or the process ends.
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

    /// The end of its standard error.
    pub fn log(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().map(String::as_str).collect::<Vec<&str>>().join("\n")
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it at once (SIGKILL) and waits for its end.
    ///
    /// # Errors
    /// If it cannot be signalled or waited for.
    pub fn kill(&mut self) -> Result<()> {
        let name = &self.name;
        let fail = |source| Error::Process { name: name.clone(), source };
        self.child.kill().map_err(fail)?;
        self.child.wait().map_err(fail).map(drop)
    }

    /// Stops it from running (SIGSTOP) until it is thawed.
    ///
    /// # Errors
    /// If it cannot be signalled.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets it run again (SIGCONT).
    ///
    /// # Errors
    /// If it cannot be signalled.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Tells it to stop (SIGTERM).
    ///
    /// # Errors
    /// If it cannot be signalled.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for its end by itself.
    ///
    /// # Errors
    /// If it still runs when `timeout` has passed.
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

/// Where a binary is: beside the running one, which is in the target
/// directory itself or, for a test, in a folder below it.
///
/// # Errors
/// [`Error::NotBuilt`] if it is not there.
pub fn binary(name: &str) -> Result<PathBuf> {
    let own = env::current_exe().unwrap_or_default();
    let folders = own.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(name));
    let found = paths.find(|path| path.is_file());
    found.ok_or_else(|| Error::NotBuilt(PathBuf::from(name)))
}

/// Reads lines to the end, so that the process never waits for a full pipe.
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
