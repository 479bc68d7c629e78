//! A configuration file: reading it, and errors that point into it.
//!
//! The checker in the core knows a document, not its text. A problem's path is
//! therefore walked again through the file's syntax tree to find the span.

use std::ops::Range;

use miette::{Diagnostic, NamedSource, SourceSpan};
use peatdeck_core::{
    check::{self, Path, Problem},
    document::Document,
};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::error;

/// Why a file holds no valid document.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// It is not TOML, or has fields that a document doesn't have.
    #[error("{message}")]
    #[diagnostic(help("see the configuration reference for the tables and their fields"))]
    Syntax {
        /// What the parser said.
        message: String,
        /// The file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Where.
        #[label("here")]
        at: Option<SourceSpan>,
    },
    /// The document is not valid.
    #[error("{} has {} problem(s)", .source_code.name(), .problems.len())]
    Invalid {
        /// The file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Everything that is wrong with it.
        #[related]
        problems: Vec<Located>,
    },
}

/// A problem and its place in the file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{}: {}", .problem.path, .problem.message)]
#[diagnostic(help("{}", .problem.remedy))]
pub struct Located {
    /// The problem.
    pub problem: Problem,
    /// Its place; `None` for the document as a whole.
    #[label("here")]
    pub at: Option<SourceSpan>,
}

/// Reads and checks a configuration file.
///
/// # Errors
/// [`error::Error::File`], [`error::Error::Source`].
pub fn load(path: &str) -> Result<Document, error::Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| error::Error::File { path: path.to_owned(), cause })?;
    Ok(parse(path, &text, check::compile)?)
}

/// Reads and checks a document. `name` is the file's name, for errors.
///
/// # Errors
/// [`Error`], with everything that is wrong.
pub fn parse(
    name: &str,
    text: &str,
    compile: impl Fn(&str) -> Result<(), String>,
) -> Result<Document, Error> {
    let source_code = || NamedSource::new(name, text.to_owned()).with_language("toml");
    let document: Document = toml::from_str(text).map_err(|error| Error::Syntax {
        message: error.message().to_owned(),
        source_code: source_code(),
        at: error.span().map(SourceSpan::from),
    })?;
    let problems = check::check(&document, compile);
    if problems.is_empty() {
        return Ok(document);
    }
    let tree = DeTable::parse(text).ok();
    let locate = |path: &Path| locate(tree.as_ref()?, path).map(SourceSpan::from);
    let problems = problems
        .into_iter()
        .map(|problem| Located { at: locate(&problem.path), problem })
        .collect();
    Err(Error::Invalid { source_code: source_code(), problems })
}

/// The span of a path: of its field's value, else of the name of its table,
/// else of the table.
fn locate(tree: &Spanned<DeTable<'_>>, path: &Path) -> Option<Range<usize>> {
    let mut table = tree.get_ref();
    let mut span = None;
    for step in &path.steps {
        let value = find(table, &step.table)?.get_ref().as_array()?.get(step.index)?;
        span = Some(value.span());
        table = value.get_ref().as_table()?;
    }
    let field = path.field.as_deref().unwrap_or("name");
    find(table, field).map(Spanned::span).or(span)
}

fn find<'t, 'i>(table: &'t DeTable<'i>, key: &str) -> Option<&'t Spanned<DeValue<'i>>> {
    table.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
}
