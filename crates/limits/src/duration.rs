//! Durations as they are written in an operator's file.

use dunlincleat::api::Span;

/// The longest duration that is accepted, in microseconds: one day.
const MAX_DURATION_US: f64 = 86_400e6;

/// Parses a duration with its unit, from 1 us to one day.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Span> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_start);
    let unit_us = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "min" => 60e6,
        "h" => 3600e6,
        _ => return None,
    };
    let micros = number.parse::<f64>().ok()? * unit_us;
    (1.0..=MAX_DURATION_US).contains(&micros).then_some(Span(micros as u64))
}

/// Formats a duration such that [`parse_duration`] parses it.
#[must_use]
pub fn format_duration(Span(us): Span) -> String {
    match us {
        us if us % 1_000_000 == 0 => format!("{}s", us / 1_000_000),
        us if us % 1000 == 0 => format!("{}ms", us / 1000),
        us => format!("{us}us"),
    }
}
