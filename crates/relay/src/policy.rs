//! The operators' policy, read from a file.

use std::{fs, sync::Arc};

use peatdeck_core::policy::{self, Program};

/// Why a policy is unusable.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("the policy {path} cannot be read: {cause}")]
    #[diagnostic(help("set the path of a readable file, or start without a policy"))]
    Unreadable {
        /// Path of the file.
        path: Arc<str>,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The file is not a valid policy.
    #[error("the policy {path} is invalid: {cause}")]
    #[diagnostic(help("correct the file; docs/reference/policies.md says what a policy may do"))]
    Invalid {
        /// Path of the file.
        path: Arc<str>,
        /// Error of compiling it or of running it on sample facts.
        cause: policy::Error,
    },
}

/// Reads and compiles a policy, and runs it on sample facts.
///
/// # Errors
/// Any [`Error`].
pub fn load(path: &Arc<str>) -> Result<Program, Error> {
    let unreadable = |cause| Error::Unreadable { path: path.clone(), cause };
    let script = fs::read_to_string(&**path).map_err(unreadable)?;
    let invalid = |cause| Error::Invalid { path: path.clone(), cause };
    policy::compile(&script).map_err(invalid)
}
