//! Formats amounts with three significant digits and a suitable unit prefix.

/// Prefixes of large amounts.
const LARGE: [(f64, &str); 4] = [(1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k")];
/// Prefixes of small amounts.
const SMALL: [(f64, &str); 4] = [(1.0, ""), (1e-3, "m"), (1e-6, "µ"), (1e-9, "n")];

/// Formats an amount with its unit.
///
/// `B` and `B/s` get a decimal prefix, `s` one for small amounts, `core` is
/// shown in percent of a core and `share` in percent. Any other unit is shown
/// as it is; an empty one is a bare number.
pub fn show(amount: f64, unit: &str) -> String {
    match unit {
        "core" => format!("{} % of a core", digits(amount * 100.0)),
        "share" => format!("{} %", digits(amount * 100.0)),
        "" => digits(amount),
        "B" | "B/s" => scaled(amount, unit, &LARGE),
        "s" if amount < 1.0 => scaled(amount, unit, &SMALL),
        _ => format!("{} {unit}", digits(amount)),
    }
}

fn scaled(amount: f64, unit: &str, prefixes: &[(f64, &str)]) -> String {
    match prefixes.iter().find(|(scale, _)| amount >= *scale) {
        Some((scale, prefix)) => format!("{} {prefix}{unit}", digits(amount / scale)),
        None => format!("{} {unit}", digits(amount)),
    }
}

/// Formats a number with three significant digits, and whole numbers with thousands
/// separators.
pub fn digits(amount: f64) -> String {
    if amount == 0.0 {
        return "0".to_owned();
    }
    let magnitude = amount.abs().log10().floor() as i32;
    if magnitude < -4 {
        return format!("{amount:.1e}");
    }
    let decimals = 2 - magnitude;
    if decimals > 0 {
        let text = format!("{amount:.*}", decimals as usize);
        return text.trim_end_matches('0').trim_end_matches('.').to_owned();
    }
    let step = 10_f64.powi(-decimals);
    thousands(((amount / step).round() * step) as i64)
}

fn thousands(number: i64) -> String {
    let plain = number.abs().to_string();
    let mut text = String::new();
    for (idx, digit) in plain.chars().enumerate() {
        if idx > 0 && (plain.len() - idx).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if number < 0 { format!("-{text}") } else { text }
}
