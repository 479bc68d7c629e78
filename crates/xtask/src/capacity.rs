//! The arithmetic of `docs/CAPACITY.md`, recomputed from `docs/capacity.toml`.
//!
//! The data file holds three kinds of entry, each with a name that formulas
//! may use:
//!
//! - a **size**: given from outside, or assumed;
//! - a **slope**: a figure that was measured, with the command and the range;
//! - a **line**: a formula over sizes, slopes and earlier lines.
//!
//! [`Sheet::evaluate`] works the lines out in order and derives what each
//! rests on. [`page`] writes the results into the page between markers, so the
//! page states no result that the data file does not give.

pub mod page;
pub mod quantity;

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    path::{Path, PathBuf},
};

use serde::Deserialize;

/// The data file, from the root of the repository.
pub const DATA: &str = "docs/capacity.toml";
/// The page, from the root of the repository.
pub const PAGE: &str = "docs/CAPACITY.md";

/// What can go wrong.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("{path}: {source}; run from within the repository")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The data file is not what is expected.
    #[error("{DATA} cannot be read: {0}; mend the entry")]
    Data(#[from] toml::de::Error),
    /// Two entries share a name.
    #[error("{DATA} names `{0}` twice; rename one")]
    Duplicate(String),
    /// A formula cannot be worked out.
    #[error(
        "{DATA}: formula of `{name}`: {reason}; use names that stand above it and plain arithmetic"
    )]
    Formula {
        /// The line.
        name: String,
        /// Why.
        reason: String,
    },
    /// A marker in the page names nothing.
    #[error("{PAGE} has a marker for `{0}`, which {DATA} does not name; add it or drop the marker")]
    Marker(String),
    /// A marker in the page is not closed.
    #[error("{PAGE} has a marker for `{0}` without its end; add the closing marker")]
    Unclosed(String),
    /// The page shows figures that the data file does not give.
    #[error("{PAGE} and {DATA} have drifted apart; run `cargo xtask capacity`")]
    Drift,
}

/// A size: given from outside, or assumed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Its name in formulas.
    pub name: String,
    /// Its value in the base unit.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// What it is.
    pub what: String,
    /// Whether nobody has given or measured it.
    #[serde(default)]
    pub assumed: bool,
}

/// A measured figure.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Its name in formulas.
    pub name: String,
    /// Its value in the base unit.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// What it is.
    pub what: String,
    /// The command that measured it.
    pub command: String,
    /// The range it was measured over.
    pub range: String,
    /// When.
    pub date: String,
    /// Whether the page uses it beyond that range.
    #[serde(default)]
    pub extrapolated: bool,
}

/// A result.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Its name in formulas and markers.
    pub name: String,
    /// The table it stands in; none where only other formulas use it.
    #[serde(default)]
    pub table: Option<String>,
    /// What it is.
    pub what: String,
    /// How it is worked out.
    pub formula: String,
    /// Its unit.
    pub unit: String,
    /// The entry it must stay under.
    #[serde(default)]
    pub limit: Option<String>,
    /// The mechanism that carries it.
    #[serde(default)]
    pub by: String,
}

/// The data file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Sizes.
    #[serde(rename = "size", default)]
    pub sizes: Vec<Size>,
    /// Slopes.
    #[serde(rename = "slope", default)]
    pub slopes: Vec<Slope>,
    /// Lines, in the order of their dependence.
    #[serde(rename = "line", default)]
    pub lines: Vec<Line>,
}

/// What a value rests on, the weakest of all that goes into it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// Sizes that were given.
    Given,
    /// Measurements within their range.
    Measured,
    /// Measurements used beyond their range.
    Extrapolated,
    /// A size that was assumed.
    Assumed,
}

/// A value that was worked out.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// The value in the base unit.
    pub amount: f64,
    /// Its unit.
    pub unit: String,
    /// What it rests on.
    pub basis: Basis,
}

/// Every value by name.
pub type Values = BTreeMap<String, Value>;

impl Sheet {
    /// Reads the data file's text.
    ///
    /// # Errors
    /// [`Error::Data`] if it is not what is expected.
    pub fn parse(text: &str) -> Result<Sheet, Error> {
        Ok(toml::from_str(text)?)
    }

    /// Works every line out.
    ///
    /// # Errors
    /// [`Error::Duplicate`] or [`Error::Formula`].
    pub fn evaluate(&self) -> Result<Values, Error> {
        let mut values = Values::new();
        for size in &self.sizes {
            let basis = if size.assumed { Basis::Assumed } else { Basis::Given };
            insert(&mut values, &size.name, size.value, &size.unit, basis)?;
        }
        for slope in &self.slopes {
            let basis = if slope.extrapolated { Basis::Extrapolated } else { Basis::Measured };
            insert(&mut values, &slope.name, slope.value, &slope.unit, basis)?;
        }
        for line in &self.lines {
            let (amount, basis) = work_out(line, &values)?;
            insert(&mut values, &line.name, amount, &line.unit, basis)?;
        }
        Ok(values)
    }
}

fn insert(
    values: &mut Values,
    name: &str,
    amount: f64,
    unit: &str,
    basis: Basis,
) -> Result<(), Error> {
    let value = Value { amount, unit: unit.to_owned(), basis };
    match values.insert(name.to_owned(), value) {
        None => Ok(()),
        Some(_) => Err(Error::Duplicate(name.to_owned())),
    }
}

fn work_out(line: &Line, values: &Values) -> Result<(f64, Basis), Error> {
    let error = |reason: String| Error::Formula { name: line.name.clone(), reason };
    let mut scope = rhai::Scope::new();
    let mut basis = Basis::Given;
    for name in names(&line.formula) {
        let Some(value) = values.get(name) else { continue };
        scope.push(name, value.amount);
        basis = basis.max(value.basis);
    }
    let result = rhai::Engine::new()
        .eval_expression_with_scope::<rhai::Dynamic>(&mut scope, &line.formula)
        .map_err(|source| error(source.to_string()))?;
    let amount = match result.as_float() {
        Ok(amount) => amount,
        Err(_) => result.as_int().map_err(|kind| error(format!("gives a {kind}")))? as f64,
    };
    if !amount.is_finite() {
        return Err(error(format!("gives {amount}")));
    }
    Ok((amount, basis))
}

/// The names that a formula uses.
fn names(formula: &str) -> BTreeSet<&str> {
    formula
        .split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .filter(|word| word.starts_with(|c: char| c.is_ascii_alphabetic()))
        .collect()
}

/// Recomputes the page under `root`; with `check`, only compares.
///
/// # Errors
/// Any [`Error`]; [`Error::Drift`] where a check finds a difference.
pub fn run(root: &Path, check: bool) -> Result<(), Error> {
    let sheet = Sheet::parse(&read(&root.join(DATA))?)?;
    let path = root.join(PAGE);
    let old = read(&path)?;
    let new = page::regenerate(&old, &sheet)?;
    if old == new {
        return Ok(());
    }
    if check {
        return Err(Error::Drift);
    }
    fs::write(&path, new).map_err(|source| Error::File { path, source })
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::File { path: path.to_owned(), source })
}
