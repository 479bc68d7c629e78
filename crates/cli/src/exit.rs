//! The exit codes. Scripts rely on them; they never change their meaning.

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Done, wholly.
    Done = 0,
    /// Failed; nothing took effect.
    Failed = 1,
    /// The command line or a setting is wrong; nothing was tried.
    Usage = 2,
    /// The document is not valid; nothing was published.
    Invalid = 3,
    /// Another publish came first; nothing took effect.
    Conflict = 4,
    /// It may have taken effect; the message says how to find out.
    Unknown = 5,
    /// Done, but not every instance answered or has the version in force.
    Partial = 6,
    /// A replay differs from its trace, or breaks what must hold.
    Differs = 7,
}

impl From<Code> for std::process::ExitCode {
    fn from(code: Code) -> std::process::ExitCode {
        std::process::ExitCode::from(code as u8)
    }
}
