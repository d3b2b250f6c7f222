//! Turns the text of a scenario into one deployment. Every number and duration can be given as a range such as
//! `{ from = 0.5, to = 0.7 }`; a seed draws each value from its range, so that each seed is a different deployment.
//!
//! The drawn value replaces the range in the text, on the same line, so that later errors name the line as written.
//! Each value is drawn from the seed and its key alone: adding a range changes no other value. A range type in every
//! field would be the alternative: every use of a field would then have to distinguish a range from a value.

use anyhow::{Context, Result, bail};
use dunlincleat_limits::{format_duration, parse_duration};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A scenario text with ranges.
#[derive(Clone, Debug)]
pub struct Template {
    text: String,
    ranges: Vec<RangeField>,
}

#[derive(Clone, Debug)]
struct RangeField {
    span: Range<usize>,
    key: String,
    bounds: Bounds,
}

#[derive(Clone, Copy, Debug)]
enum Bounds {
    Integer(i64, i64),
    Float(f64, f64),
    /// Microseconds.
    Duration(u64, u64),
}

impl Template {
    /// Finds the ranges of a text.
    ///
    /// # Errors
    ///
    /// The text is not TOML, or a range is invalid: its line, key and value, and what is valid.
    pub fn read(text: &str) -> Result<Template> {
        let table = DeTable::parse(text).context("not valid TOML")?;
        let mut ranges = Vec::new();
        collect_table(text, "", table.get_ref(), &mut ranges)?;
        ranges.sort_by_key(|range| range.span.start);
        Ok(Template { text: text.to_owned(), ranges })
    }

    /// The number of ranges.
    #[must_use]
    pub fn ranges(&self) -> usize {
        self.ranges.len()
    }

    /// The text with each range replaced by the value that this seed draws.
    #[must_use]
    pub fn sample(&self, seed: u64) -> String {
        self.substitute(|key, bounds| {
            let mut hasher = FxHasher::default();
            (seed, key).hash(&mut hasher);
            let mut rng = SmallRng::seed_from_u64(hasher.finish());
            match bounds {
                Bounds::Integer(from, to) => rng.random_range(from..=to).to_string(),
                Bounds::Float(from, to) => format_float(rng.random_range(from..=to)),
                Bounds::Duration(from, to) => {
                    format_duration(dunlincleat::api::Span(rng.random_range(from..=to)))
                }
            }
        })
    }

    /// The text with all ranges replaced by their lower or upper ends. Both are checked before any simulation starts.
    #[must_use]
    pub fn at_bound(&self, upper: bool) -> String {
        self.substitute(|_, bounds| match bounds {
            Bounds::Integer(from, to) => if upper { to } else { from }.to_string(),
            Bounds::Float(from, to) => format_float(if upper { to } else { from }),
            Bounds::Duration(from, to) => {
                format_duration(dunlincleat::api::Span(if upper { to } else { from }))
            }
        })
    }

    fn substitute(&self, value: impl Fn(&str, Bounds) -> String) -> String {
        let (mut text, mut done) = (String::with_capacity(self.text.len()), 0);
        for RangeField { span, key, bounds } in &self.ranges {
            text.push_str(&self.text[done..span.start]);
            let value = value(key, *bounds);
            match bounds {
                Bounds::Duration(..) => text.push_str(&format!("\"{value}\"")),
                Bounds::Integer(..) | Bounds::Float(..) => text.push_str(&value),
            }
            // An inline table can span lines: the lines after it keep their numbers.
            text.extend(self.text[span.clone()].chars().filter(|c| *c == '\n'));
            done = span.end;
        }
        text.push_str(&self.text[done..]);
        text
    }
}

/// Formats a number so that TOML reads it as a float.
fn format_float(value: f64) -> String {
    let text = format!("{value:.6}");
    let text = text.trim_end_matches('0');
    if text.ends_with('.') { format!("{text}0") } else { text.to_owned() }
}

/// The line number of a byte offset in a text, from 1.
#[must_use]
pub fn line_at(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count()
}

/// The line number of a key such as `fault[2].at` or `fleet.nodes`, or of its longest known prefix.
#[must_use]
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let table = DeTable::parse(text).ok()?;
    let mut at = None;
    let mut here = table.get_ref().iter().collect::<Vec<_>>();
    for part in key.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, index)) => (name, index.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let Some((known, value)) = here.into_iter().find(|(known, _)| known.get_ref() == name) else { break };
        let mut value: &Spanned<DeValue> = value;
        at = Some(known.span().start);
        if let (Some(index), DeValue::Array(all)) = (index, value.get_ref()) {
            let Some(one) = all.get(index) else { break };
            (value, at) = (one, Some(one.span().start));
        }
        let Some(inner) = value.get_ref().as_table() else { break };
        here = inner.iter().collect();
    }
    at.map(|at| line_at(text, at))
}

fn collect_table(text: &str, key: &str, table: &DeTable, ranges: &mut Vec<RangeField>) -> Result<()> {
    for (name, value) in table {
        let key =
            if key.is_empty() { name.get_ref().to_string() } else { format!("{key}.{}", name.get_ref()) };
        collect(text, &key, value, ranges)?;
    }
    Ok(())
}

fn collect(text: &str, key: &str, value: &Spanned<DeValue>, ranges: &mut Vec<RangeField>) -> Result<()> {
    match value.get_ref() {
        DeValue::Array(all) => {
            all.iter().enumerate().try_for_each(|(n, one)| collect(text, &format!("{key}[{n}]"), one, ranges))
        }
        DeValue::Table(table) if is_range(table) => {
            let line = line_at(text, value.span().start);
            let bounds = bounds(table).with_context(|| format!("line {line}: {key}"))?;
            ranges.push(RangeField { span: value.span(), key: key.to_owned(), bounds });
            Ok(())
        }
        DeValue::Table(table) => collect_table(text, key, table, ranges),
        DeValue::String(_)
        | DeValue::Integer(_)
        | DeValue::Float(_)
        | DeValue::Boolean(_)
        | DeValue::Datetime(_) => Ok(()),
    }
}

/// A range has exactly `from` and `to`; a `cut` fault has both as zones, beside other keys.
fn is_range(table: &DeTable) -> bool {
    let mut keys: Vec<&str> = table.keys().map(|key| key.get_ref().as_ref()).collect();
    keys.sort_unstable();
    keys == ["from", "to"]
}

fn bounds(table: &DeTable) -> Result<Bounds> {
    let bound = |name: &str| table.get(name).map(|value| value.get_ref().clone());
    let (Some(from), Some(to)) = (bound("from"), bound("to")) else { bail!("a range needs from and to") };
    let number = |value: &DeValue| match value {
        DeValue::Integer(n) => n.as_str().replace('_', "").parse::<f64>().ok(),
        DeValue::Float(n) => n.as_str().replace('_', "").parse::<f64>().ok(),
        _ => None,
    };
    let bounds = match (&from, &to) {
        (DeValue::Integer(a), DeValue::Integer(b)) => {
            let whole = |text: &str| text.replace('_', "").parse::<i64>().ok();
            let (Some(a), Some(b)) = (whole(a.as_str()), whole(b.as_str())) else {
                bail!("{} to {}: both ends must be decimal integers", a.as_str(), b.as_str())
            };
            Bounds::Integer(a, b)
        }
        (DeValue::String(a), DeValue::String(b)) => {
            let (Some(x), Some(y)) = (parse_duration(a), parse_duration(b)) else {
                bail!("from '{a}' to '{b}': both ends must be durations such as \"80ms\"")
            };
            Bounds::Duration(x.0, y.0)
        }
        (a, b) => match (number(a), number(b)) {
            (Some(a), Some(b)) if a.is_finite() && b.is_finite() => Bounds::Float(a, b),
            _ => bail!(
                "a range from {} to {}: both ends must be numbers, or both durations",
                from.type_str(),
                to.type_str()
            ),
        },
    };
    match bounds {
        Bounds::Integer(from, to) if from > to => bail!("from {from} to {to}: from must not exceed to"),
        Bounds::Float(from, to) if from > to => bail!("from {from} to {to}: from must not exceed to"),
        Bounds::Duration(a, b) if a > b => {
            let text = |us| format_duration(dunlincleat::api::Span(us));
            bail!("from {} to {}: from must not exceed to", text(a), text(b))
        }
        fine => Ok(fine),
    }
}

#[cfg(test)]
mod tests;
