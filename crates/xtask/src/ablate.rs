//! Disables one mechanism in a scratch copy of the repository.
//!
//! Each ablation replaces one text in one file, as listed in `ablations.toml`. It
//! is applied to a copy, never to this checkout; both are then built and
//! compared. A test checks that each ablation still matches the code, without
//! applying it.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use serde::Deserialize;

const LIST: &str = include_str!("../ablations.toml");

/// A mechanism that can be disabled.
#[derive(Debug, Deserialize)]
pub struct Ablation {
    /// Name on the command line.
    pub name: String,
    /// Description of the mechanism that is disabled.
    pub what: String,
    /// Path of the file, relative to the root of the repository.
    pub file: PathBuf,
    /// The text that is replaced; it must occur in the file exactly once.
    pub from: String,
    /// The replacement.
    pub to: String,
}

#[derive(Deserialize)]
struct List {
    ablation: Vec<Ablation>,
}

/// Why an ablation was not applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No ablation has that name.
    #[error("there is no ablation `{0}`; `cargo xtask ablate` lists them")]
    Unknown(String),
    /// The text to replace does not occur exactly once in the file.
    #[error(
        "`{name}` does not match {file}: its text occurs there {count} times; update the ablation"
    )]
    Mismatch {
        /// Name of the ablation.
        name: String,
        /// The file.
        file: PathBuf,
        /// How often the text occurs.
        count: usize,
    },
    /// The given copy is this checkout itself.
    #[error("{0} is this checkout; give the path of a copy")]
    SameCheckout(PathBuf),
    /// A file cannot be read or written.
    #[error("{file}: {source}; check that it is a checkout of this repository")]
    Io {
        /// The file.
        file: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
}

/// All ablations.
///
/// # Panics
/// If the list that was compiled in is not valid.
pub fn list() -> Vec<Ablation> {
    let list: List = toml::from_str(LIST).expect("a test reads the list");
    list.ablation
}

/// Prints all ablations.
///
/// # Errors
/// None; all commands have this return type.
pub fn print() -> Result<(), Error> {
    for Ablation { name, what, .. } in list() {
        println!("{name:18} {what}");
    }
    Ok(())
}

/// Applies an ablation to a copy of the repository.
///
/// # Errors
/// Any [`Error`]; the copy is unchanged unless writing the file fails.
pub fn run(root: &Path, name: &str, copy: &Path) -> Result<(), Error> {
    let unknown = || Error::Unknown(name.to_owned());
    let ablation = list().into_iter().find(|known| known.name == name).ok_or_else(unknown)?;
    if canonical(copy)? == canonical(root)? {
        return Err(Error::SameCheckout(copy.to_owned()));
    }
    let text = ablation.apply(copy)?;
    let file = copy.join(&ablation.file);
    fs::write(&file, text).map_err(|source| Error::Io { file, source })
}

impl Ablation {
    /// Returns the text of the file with the mechanism disabled.
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn apply(&self, root: &Path) -> Result<String, Error> {
        let file = root.join(&self.file);
        let text =
            fs::read_to_string(&file).map_err(|source| Error::Io { file: file.clone(), source })?;
        let count = text.matches(&self.from).count();
        if count != 1 {
            return Err(Error::Mismatch { name: self.name.clone(), file, count });
        }
        Ok(text.replace(&self.from, &self.to))
    }
}

fn canonical(path: &Path) -> Result<PathBuf, Error> {
    path.canonicalize().map_err(|source| Error::Io { file: path.to_owned(), source })
}
