//! Updates the results in the page.
//!
//! A table is enclosed in `<!-- table NAME -->` and `<!-- end -->`; the names
//! `sizes` and `slopes` show the inputs, any other name the lines of that
//! table. A single figure is enclosed in `<!--=NAME-->` and `<!--/-->`.

use std::fmt::Write as _;

use crate::capacity::{Basis, Error, Line, Sheet, Values, quantity};

/// Begins a table.
const TABLE: &str = "<!-- table ";
/// Ends a table.
const TABLE_END: &str = "<!-- end -->";
/// Begins a figure.
const FIGURE: &str = "<!--=";
/// Ends a figure.
const FIGURE_END: &str = "<!--/-->";

/// Returns the page with all tables and figures recomputed.
///
/// # Errors
/// Any [`Error`] of the data file or of the page's markers.
pub fn regenerate(page: &str, sheet: &Sheet) -> Result<String, Error> {
    let values = sheet.evaluate()?;
    let page = replace(page, TABLE, " -->", TABLE_END, |name| {
        Ok(format!("\n\n{}\n", table(name, sheet, &values)?))
    })?;
    replace(&page, FIGURE, "-->", FIGURE_END, |name| {
        let value = values.get(name).ok_or_else(|| Error::Marker(name.to_owned()))?;
        Ok(quantity::show(value.amount, &value.unit))
    })
}

/// Replaces the text between each opening marker and its closing marker.
fn replace(
    page: &str,
    open: &str,
    close: &str,
    end: &str,
    content: impl Fn(&str) -> Result<String, Error>,
) -> Result<String, Error> {
    let mut out = String::with_capacity(page.len());
    let mut rest = page;
    while let Some((before, after)) = rest.split_once(open) {
        let (name, after) =
            after.split_once(close).ok_or_else(|| Error::Unclosed(open.to_owned()))?;
        let (_, after) = after.split_once(end).ok_or_else(|| Error::Unclosed(name.to_owned()))?;
        write!(out, "{before}{open}{name}{close}{}{end}", content(name)?)
            .expect("writing to a string succeeds");
        rest = after;
    }
    out.push_str(rest);
    Ok(out)
}

fn table(name: &str, sheet: &Sheet, values: &Values) -> Result<String, Error> {
    match name {
        "sizes" => Ok(sizes(sheet)),
        "slopes" => Ok(slopes(sheet)),
        _ => lines(name, sheet, values),
    }
}

fn sizes(sheet: &Sheet) -> String {
    let rows = sheet.sizes.iter().map(|size| {
        let basis = if size.assumed { "assumed" } else { "given" };
        let value = quantity::show(size.value, &size.unit);
        format!("| `{}` | {} | {value} | {basis} |", size.name, size.what)
    });
    join("| name | what | value | basis |\n| --- | --- | ---: | --- |", rows)
}

fn slopes(sheet: &Sheet) -> String {
    let rows = sheet.slopes.iter().map(|slope| {
        let value = quantity::show(slope.value, &slope.unit);
        let beyond = if slope.extrapolated { "; **used beyond it**" } else { "" };
        format!(
            "| `{}` | {} | {value} | {} | {}{beyond} | {} |",
            slope.name, slope.what, slope.command, slope.range, slope.date
        )
    });
    join(
        "| name | what | value | command | range measured | date |\n\
         | --- | --- | ---: | --- | --- | --- |",
        rows,
    )
}

fn lines(table: &str, sheet: &Sheet, values: &Values) -> Result<String, Error> {
    let chosen: Vec<&Line> =
        sheet.lines.iter().filter(|line| line.table.as_deref() == Some(table)).collect();
    if chosen.is_empty() {
        return Err(Error::Marker(table.to_owned()));
    }
    let rows = chosen.iter().map(|line| row(line, values)).collect::<Result<Vec<_>, _>>()?;
    let head = "| what | worked out as | value | rests on | against the limit | carried by |\n\
                | --- | --- | ---: | --- | --- | --- |";
    Ok(join(head, rows.into_iter()))
}

fn row(line: &Line, values: &Values) -> Result<String, Error> {
    let value = &values[&line.name];
    Ok(format!(
        "| {} | `{}` = `{}` | {} | {} | {} | {} |",
        line.what,
        line.name,
        line.formula,
        quantity::show(value.amount, &value.unit),
        basis(value.basis),
        verdict(line, value.amount, values)?,
        line.by
    ))
}

fn basis(basis: Basis) -> &'static str {
    match basis {
        Basis::Given => "given",
        Basis::Measured => "measured",
        Basis::Extrapolated => "extrapolated",
        Basis::Assumed => "assumed",
    }
}

fn verdict(line: &Line, amount: f64, values: &Values) -> Result<String, Error> {
    let Some(name) = &line.limit else { return Ok(String::new()) };
    let limit = values.get(name).ok_or_else(|| Error::Formula {
        name: line.name.clone(),
        reason: format!("the limit `{name}` is not named"),
    })?;
    let ratio = amount / limit.amount;
    let shown = quantity::show(limit.amount, &limit.unit);
    if ratio <= 1.0 {
        return Ok(format!("fits: {} % of {shown}", quantity::digits(ratio * 100.0)));
    }
    Ok(format!("**does not fit**: {} times {shown}", quantity::digits(ratio)))
}

fn join(head: &str, rows: impl Iterator<Item = String>) -> String {
    rows.fold(head.to_owned(), |text, row| text + "\n" + row.as_str())
}
