//! Reads and checks a configuration file, with errors that point into its text.
//!
//! The checker in the core works on a parsed document without source positions.
//! The path of a problem is therefore followed through the file's syntax tree to
//! find its span.

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

/// Why a file does not contain a valid document.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The file is not valid TOML or does not match the document's structure.
    #[error("{message}")]
    #[diagnostic(help("see the configuration reference for the tables and their fields"))]
    Syntax {
        /// The parser's message.
        message: String,
        /// The file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Span of the error; `None` if the parser gives none.
        #[label("here")]
        at: Option<SourceSpan>,
    },
    /// The document violates checks.
    #[error("{} has {} problem(s)", .source_code.name(), .problems.len())]
    Invalid {
        /// The file.
        #[source_code]
        source_code: NamedSource<String>,
        /// All problems found.
        #[related]
        problems: Vec<Located>,
    },
}

/// A problem with its position in the file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{}: {}", .problem.path, .problem.message)]
#[diagnostic(help("{}", .problem.remedy))]
pub struct Located {
    /// The problem, as reported by the checker.
    pub problem: Problem,
    /// Span of the problem; `None` if it concerns the whole document.
    #[label("here")]
    pub at: Option<SourceSpan>,
}

/// Reads and checks a configuration file.
///
/// # Errors
/// [`error::Error::File`] if the file cannot be read, [`error::Error::Source`] if it is
/// invalid.
pub fn load(path: &str) -> Result<Document, error::Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| error::Error::File { path: path.to_owned(), cause })?;
    Ok(parse(path, &text, check::compile)?)
}

/// Parses and checks a document. `name` is the file name in errors.
///
/// # Errors
/// [`Error`] with a syntax error or all problems found.
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

/// The span of a path: that of the field's value, else that of the table's name,
/// else that of the table.
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
