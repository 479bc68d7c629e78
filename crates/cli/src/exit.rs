//! The exit codes. Scripts rely on them, so their meanings never change.

/// The exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded completely.
    Done = 0,
    /// The command failed; nothing took effect.
    Failed = 1,
    /// The command line or a setting is wrong; nothing was attempted.
    Usage = 2,
    /// The document is invalid; nothing was published.
    Invalid = 3,
    /// Another publish took effect first; this one did not.
    Conflict = 4,
    /// The change may have taken effect; the message says how to find out.
    Unknown = 5,
    /// The command succeeded, but not every instance responded or has the version
    /// in force, or the log is unavailable.
    Partial = 6,
    /// A replay differs from its trace or violates an invariant.
    Differs = 7,
}

impl From<Code> for std::process::ExitCode {
    fn from(code: Code) -> std::process::ExitCode {
        std::process::ExitCode::from(code as u8)
    }
}
