//! The operators' policy, read from a file.

use std::{fs, sync::Arc};

use peatdeck_core::policy::{self, Program};

/// Why a policy cannot be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// Its file cannot be read.
    #[error("the policy {path} cannot be read: {cause}")]
    #[diagnostic(help("give the path of a file that can be read, or leave the policy out"))]
    Unreadable {
        /// Its path.
        path: Arc<str>,
        /// What the system said.
        cause: std::io::Error,
    },
    /// It is not a valid policy.
    #[error("the policy {path} is wrong: {cause}")]
    #[diagnostic(help("correct the file; docs/reference/policies.md says what a policy may do"))]
    Invalid {
        /// Its path.
        path: Arc<str>,
        /// What is wrong.
        cause: policy::Error,
    },
}

/// Reads a policy and tries it on sample facts.
///
/// # Errors
/// Any [`Error`].
pub fn load(path: &Arc<str>) -> Result<Program, Error> {
    let unreadable = |cause| Error::Unreadable { path: path.clone(), cause };
    let script = fs::read_to_string(&**path).map_err(unreadable)?;
    let invalid = |cause| Error::Invalid { path: path.clone(), cause };
    policy::compile(&script).map_err(invalid)
}
