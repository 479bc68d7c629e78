//! Records the inputs of the state machine, for tests and incident analysis.
//!
//! Disabled unless a file is given. Recording never stops the instance from
//! serving: if the file cannot be created or written, a warning is logged and
//! the process continues without a trace.

use std::{
    fs::{File, OpenOptions},
    io,
    os::unix::fs::OpenOptionsExt,
    path::PathBuf,
    time::Duration,
};

use peatdeck_core::{
    content::Content,
    instance::{action::Action, input::Input},
    trace,
};
use peatdeck_macros::data;

/// Permissions of a trace file: only the user that the process runs as has access.
const FILE_MODE: u32 = 0o600;

/// Where the inputs are recorded, and how.
#[data]
pub struct Settings {
    /// The trace file, which must not exist yet.
    pub file: PathBuf,
    /// Whether callers' texts are recorded as they are or as hashes.
    pub content: Content,
}

/// The trace that is being written, if recording is enabled.
#[derive(Debug, Default)]
pub struct Trace {
    recorder: Option<trace::Recorder<File>>,
}

impl Trace {
    /// Creates the file and writes the header. Without a file, nothing is recorded.
    pub fn start(settings: &Settings, header: &trace::Header) -> Trace {
        let mut options = OpenOptions::new();
        let file = options.write(true).create_new(true).mode(FILE_MODE).open(&settings.file);
        match file.and_then(|file| trace::Recorder::new(file, header)) {
            Ok(recorder) => Trace { recorder: Some(recorder) },
            Err(error) => {
                let file = settings.file.display();
                tracing::warn!(%file, %error, "cannot create the trace file, so no trace is recorded; name a file that does not exist in a writable directory");
                Trace::default()
            }
        }
    }

    /// Records an input that is about to be fed to the machine.
    pub fn input(&mut self, now: Duration, input: &Input) {
        self.record(|recorder| recorder.input(now, input));
    }

    /// Records the outcomes that are sent to callers.
    pub fn answers(&mut self, now: Duration, actions: &[Action]) {
        self.record(|recorder| recorder.answers(now, actions));
    }

    fn record(&mut self, write: impl FnOnce(&mut trace::Recorder<File>) -> io::Result<()>) {
        let Some(recorder) = &mut self.recorder else { return };
        if let Err(error) = write(recorder) {
            tracing::warn!(%error, "cannot write to the trace file, so recording stops; check the free disk space");
            self.recorder = None;
        }
    }
}
