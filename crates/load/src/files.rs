//! Files that the commands read and write.

use std::{fs, path::Path};

use peatdeck_core::document::Document;

use crate::{arrivals::Arrival, error, trace};

/// Reads a text file.
///
/// # Errors
/// If it cannot be read.
pub fn read(path: &Path) -> error::Result<String> {
    fs::read_to_string(path)
        .map_err(|source| error::Error::File { path: path.display().to_string(), source })
}

/// Writes a text file.
///
/// # Errors
/// If it cannot be written.
pub fn write(path: &Path, text: &str) -> error::Result<()> {
    fs::write(path, text)
        .map_err(|source| error::Error::File { path: path.display().to_string(), source })
}

/// Reads a trace file.
///
/// # Errors
/// If it cannot be read or is not a valid trace.
pub fn read_trace(path: &Path) -> error::Result<Vec<Arrival>> {
    trace::read(read(path)?.as_bytes())
}

/// Reads a configuration file.
///
/// # Errors
/// If it cannot be read or is not a valid configuration.
pub fn read_document(path: &Path) -> error::Result<Document> {
    toml::from_str(&read(path)?).map_err(|err| error::Error::Setting {
        problem: format!("{} is not a configuration: {err}", path.display()),
        remedy: "correct it; `peatdeck check FILE` shows the errors".into(),
    })
}
