//! Records the process's inputs, for tests and incidents.
//!
//! Off unless a file is named. Recording never stops the instance from
//! serving: where the file cannot be made or written, a line is logged and the
//! process goes on without.

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

/// Who may read a trace: the user that the process runs as.
const FILE_MODE: u32 = 0o600;

/// What is recorded, and where.
#[data]
pub struct Settings {
    /// The file; it must not be there yet.
    pub file: PathBuf,
    /// Whether callers' texts are kept.
    pub content: Content,
}

/// A trace that is being written, or none.
#[derive(Debug, Default)]
pub struct Trace {
    recorder: Option<trace::Recorder<File>>,
}

impl Trace {
    /// Starts a trace.
    pub fn start(settings: &Settings, header: &trace::Header) -> Trace {
        let mut options = OpenOptions::new();
        let file = options.write(true).create_new(true).mode(FILE_MODE).open(&settings.file);
        match file.and_then(|file| trace::Recorder::new(file, header)) {
            Ok(recorder) => Trace { recorder: Some(recorder) },
            Err(error) => {
                let file = settings.file.display();
                tracing::warn!(%file, %error, "no trace is recorded; name a file that does not exist in a folder that can be written");
                Trace::default()
            }
        }
    }

    /// Records an input that the machine is about to take.
    pub fn input(&mut self, now: Duration, input: &Input) {
        self.record(|recorder| recorder.input(now, input));
    }

    /// Records what callers are told.
    pub fn answers(&mut self, now: Duration, actions: &[Action]) {
        self.record(|recorder| recorder.answers(now, actions));
    }

    fn record(&mut self, write: impl FnOnce(&mut trace::Recorder<File>) -> io::Result<()>) {
        let Some(recorder) = &mut self.recorder else { return };
        if let Err(error) = write(recorder) {
            tracing::warn!(%error, "the trace ends here; make room for the next one");
            self.recorder = None;
        }
    }
}
