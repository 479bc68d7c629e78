//! Switches one mechanism off in a scratch copy of the repository.
//!
//! Each ablation is one replacement in one file, listed in `ablations.toml`. It
//! is applied to a copy, never to this checkout; both are then built and played
//! against each other. A test applies none but looks whether each still fits.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use serde::Deserialize;

const LIST: &str = include_str!("../ablations.toml");

/// A mechanism that can be switched off.
#[derive(Debug, Deserialize)]
pub struct Ablation {
    /// Its name.
    pub name: String,
    /// What is switched off.
    pub what: String,
    /// The file, from the root of the repository.
    pub file: PathBuf,
    /// The text that is replaced; it stands in the file once.
    pub from: String,
    /// What stands there instead.
    pub to: String,
}

#[derive(Deserialize)]
struct List {
    ablation: Vec<Ablation>,
}

/// Why an ablation was not applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is none of that name.
    #[error("there is no ablation `{0}`; `cargo xtask ablate` lists them")]
    Unknown(String),
    /// The text is not there, or more than once.
    #[error(
        "`{name}` does not fit {file}: its text stands there {count} times; bring it up to date"
    )]
    Misfit {
        /// The ablation.
        name: String,
        /// The file.
        file: PathBuf,
        /// How often the text stands there.
        count: usize,
    },
    /// The copy is this checkout.
    #[error("{0} is this checkout; give a copy of it")]
    NoCopy(PathBuf),
    /// A file cannot be read or written.
    #[error("{file}: {source}; check that it is a checkout of this repository")]
    Io {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
}

/// All ablations.
///
/// # Panics
/// If the list of this build is no TOML.
pub fn list() -> Vec<Ablation> {
    let list: List = toml::from_str(LIST).expect("a test reads the list");
    list.ablation
}

/// Prints all ablations.
///
/// # Errors
/// None; the type is what all chores have.
pub fn print() -> Result<(), Error> {
    for Ablation { name, what, .. } in list() {
        println!("{name:18} {what}");
    }
    Ok(())
}

/// Applies an ablation to a copy of the repository.
///
/// # Errors
/// Any [`Error`]; nothing is changed then.
pub fn run(root: &Path, name: &str, copy: &Path) -> Result<(), Error> {
    let unknown = || Error::Unknown(name.to_owned());
    let ablation = list().into_iter().find(|known| known.name == name).ok_or_else(unknown)?;
    if canonical(copy)? == canonical(root)? {
        return Err(Error::NoCopy(copy.to_owned()));
    }
    let text = ablation.apply(copy)?;
    let file = copy.join(&ablation.file);
    fs::write(&file, text).map_err(|source| Error::Io { file, source })
}

impl Ablation {
    /// The text of the file with the mechanism switched off.
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn apply(&self, root: &Path) -> Result<String, Error> {
        let file = root.join(&self.file);
        let text =
            fs::read_to_string(&file).map_err(|source| Error::Io { file: file.clone(), source })?;
        let count = text.matches(&self.from).count();
        if count != 1 {
            return Err(Error::Misfit { name: self.name.clone(), file, count });
        }
        Ok(text.replace(&self.from, &self.to))
    }
}

fn canonical(path: &Path) -> Result<PathBuf, Error> {
    path.canonicalize().map_err(|source| Error::Io { file: path.to_owned(), source })
}
