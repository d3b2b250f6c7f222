//! Number formats of the page.

use super::figures::Unit;

/// Three significant digits, thousands separated by commas.
pub fn digits(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return if value == 0.0 { "0".into() } else { "-".into() };
    }
    let places = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    if places == 0 {
        return count(value);
    }
    let text = format!("{value:.places$}");
    let text = text.trim_end_matches('0').trim_end_matches('.');
    if text.is_empty() || text == "-" { "0".into() } else { text.to_owned() }
}

/// A whole number, thousands separated by commas; a fractional number below 10 keeps its decimals.
pub fn count(value: f64) -> String {
    if value.fract() != 0.0 && value.abs() < 10.0 {
        return digits(value);
    }
    let whole = format!("{value:.0}");
    let (sign, body) = whole.strip_prefix('-').map_or(("", whole.as_str()), |body| ("-", body));
    let parts: Vec<&str> =
        body.as_bytes().rchunks(3).rev().filter_map(|part| std::str::from_utf8(part).ok()).collect();
    format!("{sign}{}", parts.join(","))
}

/// A fraction as a percentage.
pub fn part(value: f64) -> String {
    format!("{}%", digits(value * 100.0))
}

/// A figure with its unit; MB and KB are 1,000,000 and 1,000 bytes.
pub fn amount(value: f64, unit: Unit) -> String {
    let bytes = |value: f64| {
        let (scale, name) = match value.abs() {
            size if size >= 1e9 => (1e9, "GB"),
            size if size >= 1e6 => (1e6, "MB"),
            size if size >= 1e3 => (1e3, "KB"),
            _ => (1.0, "B"),
        };
        format!("{} {name}", digits(value / scale))
    };
    match unit {
        Unit::Bytes => bytes(value),
        Unit::BytesASecond => format!("{}/s", bytes(value)),
        Unit::MessagesASecond => format!("{}/s", digits(value)),
        Unit::PartOfCore => part(value),
        Unit::Seconds => format!("{} s", digits(value)),
        Unit::Millis => format!("{} ms", digits(value)),
        Unit::Count => count(value),
        Unit::Micros => format!("{} µs", digits(value)),
    }
}

/// A headroom, in bold where the limit is missed.
pub fn factor(headroom: f64) -> String {
    // A narrowly missed limit must not round to 1.
    if headroom < 1.0 { format!("**{} missed**", digits(headroom.min(0.999))) } else { digits(headroom) }
}
