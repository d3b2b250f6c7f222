//! Stage: a scenario's text to one deployment. Every number and duration may be written as a range,
//! `{ from = 0.5, to = 0.7 }`; a seed draws each from its range, so that seeds are different deployments.
//!
//! The drawn value takes the range's place in the text, on its own line, so that faults told later still name the line
//! that was written. Each range draws by its seed and its key alone: one more range moves no other. The way not taken is
//! a type for ranges in every field: it would make each field two things, and both hosts of a field ask which.

use anyhow::{Context, Result, bail};
use dunlincleat_limits::{format_duration, parse_duration};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A text with ranges.
#[derive(Clone, Debug)]
pub struct Template {
    text: String,
    ranges: Vec<Drawn>,
}

#[derive(Clone, Debug)]
struct Drawn {
    at: Range<usize>,
    key: String,
    between: Between,
}

#[derive(Clone, Copy, Debug)]
enum Between {
    Whole(i64, i64),
    Real(f64, f64),
    /// Microseconds.
    Time(u64, u64),
}

impl Template {
    /// Finds the ranges of a text.
    ///
    /// # Errors
    ///
    /// It is no TOML, or a range is at fault: its line, key, value and what would be right.
    pub fn read(text: &str) -> Result<Template> {
        let table = DeTable::parse(text).context("it is no TOML")?;
        let mut ranges = Vec::new();
        walk_table(text, "", table.get_ref(), &mut ranges)?;
        ranges.sort_by_key(|range| range.at.start);
        Ok(Template { text: text.to_owned(), ranges })
    }

    /// Ranges that it has.
    #[must_use]
    pub fn ranges(&self) -> usize {
        self.ranges.len()
    }

    /// The text with each range drawn by this seed.
    #[must_use]
    pub fn sample(&self, seed: u64) -> String {
        self.with(|key, between| {
            let mut hasher = FxHasher::default();
            (seed, key).hash(&mut hasher);
            let mut rng = SmallRng::seed_from_u64(hasher.finish());
            match between {
                Between::Whole(from, to) => rng.random_range(from..=to).to_string(),
                Between::Real(from, to) => real(rng.random_range(from..=to)),
                Between::Time(from, to) => {
                    format_duration(dunlincleat::api::Span(rng.random_range(from..=to)))
                }
            }
        })
    }

    /// The text with all ranges at one end: what holds at both is checked before any day is played.
    #[must_use]
    pub fn at_bound(&self, upper: bool) -> String {
        self.with(|_, between| match between {
            Between::Whole(from, to) => if upper { to } else { from }.to_string(),
            Between::Real(from, to) => real(if upper { to } else { from }),
            Between::Time(from, to) => format_duration(dunlincleat::api::Span(if upper { to } else { from })),
        })
    }

    fn with(&self, value: impl Fn(&str, Between) -> String) -> String {
        let (mut text, mut done) = (String::with_capacity(self.text.len()), 0);
        for Drawn { at, key, between } in &self.ranges {
            text.push_str(&self.text[done..at.start]);
            let value = value(key, *between);
            match between {
                Between::Time(..) => text.push_str(&format!("\"{value}\"")),
                Between::Whole(..) | Between::Real(..) => text.push_str(&value),
            }
            // An inline table may span lines: those after it keep their numbers.
            text.extend(self.text[at.clone()].chars().filter(|c| *c == '\n'));
            done = at.end;
        }
        text.push_str(&self.text[done..]);
        text
    }
}

/// A float that TOML reads as one.
fn real(value: f64) -> String {
    let text = format!("{value:.6}");
    let text = text.trim_end_matches('0');
    if text.ends_with('.') { format!("{text}0") } else { text.to_owned() }
}

/// The number of the line at a place in a text, from 1.
#[must_use]
pub fn line_at(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count()
}

/// The line on which a key stands, as `fault[2].at` or `fleet.nodes`; that of its nearest known part else.
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

fn walk_table(text: &str, key: &str, table: &DeTable, ranges: &mut Vec<Drawn>) -> Result<()> {
    for (name, value) in table {
        let key =
            if key.is_empty() { name.get_ref().to_string() } else { format!("{key}.{}", name.get_ref()) };
        walk(text, &key, value, ranges)?;
    }
    Ok(())
}

fn walk(text: &str, key: &str, value: &Spanned<DeValue>, ranges: &mut Vec<Drawn>) -> Result<()> {
    match value.get_ref() {
        DeValue::Array(all) => {
            all.iter().enumerate().try_for_each(|(n, one)| walk(text, &format!("{key}[{n}]"), one, ranges))
        }
        DeValue::Table(table) if is_range(table) => {
            let line = line_at(text, value.span().start);
            let between = between(table).with_context(|| format!("line {line}: {key}"))?;
            ranges.push(Drawn { at: value.span(), key: key.to_owned(), between });
            Ok(())
        }
        DeValue::Table(table) => walk_table(text, key, table, ranges),
        DeValue::String(_)
        | DeValue::Integer(_)
        | DeValue::Float(_)
        | DeValue::Boolean(_)
        | DeValue::Datetime(_) => Ok(()),
    }
}

/// `from` and `to` alone make a range; a way cut has both as zones, beside other keys.
fn is_range(table: &DeTable) -> bool {
    let mut keys: Vec<&str> = table.keys().map(|key| key.get_ref().as_ref()).collect();
    keys.sort_unstable();
    keys == ["from", "to"]
}

fn between(table: &DeTable) -> Result<Between> {
    let end = |name: &str| table.get(name).map(|value| value.get_ref().clone());
    let (Some(from), Some(to)) = (end("from"), end("to")) else { bail!("a range has from and to") };
    let number = |value: &DeValue| match value {
        DeValue::Integer(n) => n.as_str().replace('_', "").parse::<f64>().ok(),
        DeValue::Float(n) => n.as_str().replace('_', "").parse::<f64>().ok(),
        _ => None,
    };
    let between = match (&from, &to) {
        (DeValue::Integer(a), DeValue::Integer(b)) => {
            let whole = |text: &str| text.replace('_', "").parse::<i64>().ok();
            let (Some(a), Some(b)) = (whole(a.as_str()), whole(b.as_str())) else {
                bail!("{} to {}: whole numbers are written in tens", a.as_str(), b.as_str())
            };
            Between::Whole(a, b)
        }
        (DeValue::String(a), DeValue::String(b)) => {
            let (Some(x), Some(y)) = (parse_duration(a), parse_duration(b)) else {
                bail!("from '{a}' to '{b}': both ends are durations, as \"80ms\"")
            };
            Between::Time(x.0, y.0)
        }
        (a, b) => match (number(a), number(b)) {
            (Some(a), Some(b)) if a.is_finite() && b.is_finite() => Between::Real(a, b),
            _ => bail!(
                "a range from {} to {}: both ends are numbers, or both are durations",
                from.type_str(),
                to.type_str()
            ),
        },
    };
    match between {
        Between::Whole(from, to) if from > to => bail!("from {from} to {to}: from is at most to"),
        Between::Real(from, to) if from > to => bail!("from {from} to {to}: from is at most to"),
        Between::Time(a, b) if a > b => {
            let text = |us| format_duration(dunlincleat::api::Span(us));
            bail!("from {} to {}: from is at most to", text(a), text(b))
        }
        fine => Ok(fine),
    }
}

#[cfg(test)]
mod tests;
