//! Recomputes the figures of `docs/CAPACITY.md` from `docs/capacity.toml`.
//!
//! The data file has three kinds of entries, each with a name that formulas can
//! use:
//!
//! - a **size**: an input that is given or assumed;
//! - a **slope**: a measured figure, with the command and the range;
//! - a **line**: a formula of sizes, slopes and earlier lines.
//!
//! [`Sheet::evaluate`] evaluates the lines in order and derives the basis of each
//! result. [`page`] writes the results between markers of the page, so that the
//! page has no result that does not follow from the data file.

pub mod page;
pub mod quantity;

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    path::{Path, PathBuf},
};

use serde::Deserialize;

/// Path of the data file, relative to the root of the repository.
pub const DATA: &str = "docs/capacity.toml";
/// Path of the page, relative to the root of the repository.
pub const PAGE: &str = "docs/CAPACITY.md";

/// Why the page could not be recomputed or does not agree with the data file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("{path}: {source}; run from within the repository")]
    File {
        /// The file.
        path: PathBuf,
        /// The underlying cause.
        source: io::Error,
    },
    /// The data file is not valid.
    #[error("{DATA} cannot be read: {0}; mend the entry")]
    Data(#[from] toml::de::Error),
    /// Two entries share a name.
    #[error("{DATA} names `{0}` twice; rename one")]
    Duplicate(String),
    /// A formula cannot be evaluated.
    #[error(
        "{DATA}: formula of `{name}`: {reason}; use names that stand above it and plain arithmetic"
    )]
    Formula {
        /// Name of the line.
        name: String,
        /// The underlying cause.
        reason: String,
    },
    /// A marker in the page has a name that the data file does not define.
    #[error("{PAGE} has a marker for `{0}`, which {DATA} does not name; add it or drop the marker")]
    Marker(String),
    /// A marker in the page has no closing marker.
    #[error("{PAGE} has a marker for `{0}` without its end; add the closing marker")]
    Unclosed(String),
    /// The page has figures that do not follow from the data file.
    #[error("{PAGE} and {DATA} have drifted apart; run `cargo xtask capacity`")]
    Drift,
}

/// An input that is given or assumed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Name in formulas.
    pub name: String,
    /// Value in the base unit.
    pub value: f64,
    /// Base unit, such as `B` or `s`.
    pub unit: String,
    /// Description in the page.
    pub what: String,
    /// Whether the value is neither given nor measured.
    #[serde(default)]
    pub assumed: bool,
}

/// A measured figure.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Name in formulas.
    pub name: String,
    /// Value in the base unit.
    pub value: f64,
    /// Base unit, such as `B` or `s`.
    pub unit: String,
    /// Description in the page.
    pub what: String,
    /// The command that measured it.
    pub command: String,
    /// The range in which it was measured.
    pub range: String,
    /// Date of the measurement.
    pub date: String,
    /// Whether the page uses the figure beyond that range.
    #[serde(default)]
    pub extrapolated: bool,
}

/// A computed result.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Name in formulas and markers.
    pub name: String,
    /// The table that shows it; `None` if only other formulas use it.
    #[serde(default)]
    pub table: Option<String>,
    /// Description in the page.
    pub what: String,
    /// Expression over the names of other entries.
    pub formula: String,
    /// Base unit, such as `B` or `s`.
    pub unit: String,
    /// Name of the entry that it must not exceed.
    #[serde(default)]
    pub limit: Option<String>,
    /// The mechanism that carries this load; may be empty.
    #[serde(default)]
    pub by: String,
}

/// The data file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Entries `size`.
    #[serde(rename = "size", default)]
    pub sizes: Vec<Size>,
    /// Entries `slope`.
    #[serde(rename = "slope", default)]
    pub slopes: Vec<Slope>,
    /// Entries `line`; each uses only names of sizes, slopes and earlier lines.
    #[serde(rename = "line", default)]
    pub lines: Vec<Line>,
}

/// How reliable a value is; a result has the least reliable basis of its inputs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// All inputs are given.
    Given,
    /// Measurements are used within their range.
    Measured,
    /// Measurements are used beyond their range.
    Extrapolated,
    /// A size is assumed.
    Assumed,
}

/// A value with its unit and basis.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Amount in the base unit.
    pub amount: f64,
    /// Base unit, such as `B` or `s`.
    pub unit: String,
    /// The least reliable basis of its inputs.
    pub basis: Basis,
}

/// All values by name.
pub type Values = BTreeMap<String, Value>;

impl Sheet {
    /// Parses the text of the data file.
    ///
    /// # Errors
    /// [`Error::Data`] if it is not valid.
    pub fn parse(text: &str) -> Result<Sheet, Error> {
        Ok(toml::from_str(text)?)
    }

    /// Evaluates all lines.
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

/// All identifiers in a formula.
fn names(formula: &str) -> BTreeSet<&str> {
    formula
        .split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .filter(|word| word.starts_with(|c: char| c.is_ascii_alphabetic()))
        .collect()
}

/// Recomputes the page of the repository at `root`; with `check`, only compares it.
///
/// # Errors
/// Any [`Error`]; [`Error::Drift`] if the check finds a difference.
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
