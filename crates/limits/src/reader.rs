//! Parses the text of an operator's file into typed sections. A key that can't be read is reported as a fault with its
//! position, and parsing continues, so that all faults of a file are reported at once.

use crate::codes::Code;
use crate::duration::parse_duration;
use crate::fault::{Faults, Severity};
use crate::file::{
    DutySection, FleetSection, HedgeDelay, LimitsFile, Located, PoolSection, RetryBudget, RouteMatch,
    RouteOptions, RouteSection, VoterSection, WeightRange,
};
use dunlincleat::api::Span;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The version of the format that this program reads.
const FORMAT_VERSION: u32 = 1;

const ATTEMPTS: RangeInclusive<u32> = 1..=100;
const CONCURRENT_REQUESTS: RangeInclusive<u32> = 0..=10_000_000;
const PRIORITIES: RangeInclusive<u32> = 0..=9;
const HEDGE_QUANTILES: RangeInclusive<f64> = 0.5..=0.9999;
const RETRIES_PER_ATTEMPT: RangeInclusive<f64> = 0.0..=100.0;
const RETRIES_PER_SECOND: RangeInclusive<f64> = 0.0..=1e6;
const WEIGHTS: RangeInclusive<f64> = 0.0..=1e6;
const FRACTIONS: RangeInclusive<f64> = 0.0..=1.0;
const ANY_INTEGER: RangeInclusive<u32> = 0..=u32::MAX;

/// The largest edit distance from an unknown key to a known one that is suggested instead.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Parses a file. Whatever could be read is returned despite faults, so that validation can find further ones.
pub fn read<'a>(text: &'a str, faults: &mut Faults<'a>) -> LimitsFile {
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        let reason = error.message().replace('\n', "; ");
        faults.add(Code::Syntax, Severity::Error, "the file", offset, reason, String::new());
    }
    let root = Section { key: String::new(), offset: 0, table: root.get_ref(), known_keys: Vec::new() };
    Reader { faults }.file(root)
}

type Value<'a> = Spanned<DeValue<'a>>;

/// A table that is being read. Records the keys that were read; all others are unknown keys.
struct Section<'a, 'b> {
    key: String,
    offset: usize,
    table: &'b DeTable<'a>,
    known_keys: Vec<&'static str>,
}

impl<'a, 'b> Section<'a, 'b> {
    fn key_of(&self, name: &str) -> String {
        if self.key.is_empty() { name.to_owned() } else { format!("{}.{name}", self.key) }
    }

    /// Looks up a key, which counts as known from now on, and returns its full name and its value.
    fn take(&mut self, name: &'static str) -> Option<(String, &'b Value<'a>)> {
        self.known_keys.push(name);
        let value = self.table.get(name)?;
        Some((self.key_of(name), value))
    }

    fn located<T>(&self, value: T) -> Located<T> {
        Located { value, key: self.key.clone(), offset: self.offset }
    }
}

struct Reader<'a, 'f> {
    faults: &'f mut Faults<'a>,
}

impl<'a> Reader<'a, '_> {
    fn file(&mut self, mut root: Section<'a, '_>) -> LimitsFile {
        self.version(&mut root);
        let file = LimitsFile {
            defaults: self.defaults(&mut root),
            routes: self.sections(&mut root, "route").into_iter().map(|route| self.route(route)).collect(),
            pools: self.sections(&mut root, "pool").into_iter().map(|pool| self.pool(pool)).collect(),
            fleet: self.section(&mut root, "fleet").map(|fleet| self.fleet(fleet)),
            duties: self.sections(&mut root, "duty").into_iter().map(|duty| self.duty(duty)).collect(),
        };
        self.report_unknown_keys(&root);
        file
    }

    fn version(&mut self, root: &mut Section<'a, '_>) {
        let Some(version) = self.integer(root, "version", ANY_INTEGER) else { return };
        if version.value != FORMAT_VERSION {
            let reason = format!("version {} is not supported", version.value);
            let allowed = format!("version = {FORMAT_VERSION}");
            self.faults.error(Code::UnsupportedVersion, &version, reason, allowed);
        }
    }

    fn defaults(&mut self, root: &mut Section<'a, '_>) -> RouteOptions {
        let Some(mut section) = self.section(root, "defaults") else { return RouteOptions::default() };
        let options = self.options(&mut section);
        self.report_unknown_keys(&section);
        options
    }

    fn route(&mut self, mut section: Section<'a, '_>) -> RouteSection {
        let name = self.name(&mut section);
        let conditions = self.conditions(&mut section);
        let options = self.options(&mut section);
        self.report_unknown_keys(&section);
        RouteSection { name, conditions, options }
    }

    fn options(&mut self, section: &mut Section<'a, '_>) -> RouteOptions {
        RouteOptions {
            attempt_timeout: self.duration(section, "attempt_timeout"),
            timeout: self.duration(section, "timeout"),
            connect_timeout: self.duration(section, "connect_timeout"),
            attempts: self.integer(section, "attempts", ATTEMPTS),
            hedge_delay: self.hedge(section),
            retry_budget: self.retry_budget(section),
            max_in_hand: self.integer(section, "max_in_hand", CONCURRENT_REQUESTS),
            max_waiting: self.integer(section, "max_waiting", CONCURRENT_REQUESTS),
            priority: self.integer(section, "priority", PRIORITIES),
            pool: self.string(section, "pool"),
        }
    }

    fn hedge(&mut self, parent: &mut Section<'a, '_>) -> Option<Located<HedgeDelay>> {
        let mut section = self.section(parent, "second_copy")?;
        let after = self.duration(&mut section, "after");
        let quantile = self.number(&mut section, "after_quantile", HEDGE_QUANTILES);
        self.report_unknown_keys(&section);
        let has_after = section.table.contains_key("after");
        let has_quantile = section.table.contains_key("after_quantile");
        if has_after == has_quantile {
            let reason = if has_after {
                "both after and after_quantile are set"
            } else {
                "neither after nor after_quantile is set"
            };
            let allowed = "either after = \"60ms\" or after_quantile = 0.95";
            self.faults.error(Code::WrongType, &section.located(()), reason, allowed);
            return None;
        }
        let delay = after.map(|after| HedgeDelay::Fixed(after.value));
        let delay = delay.or(quantile.map(|quantile| HedgeDelay::Quantile(quantile.value)))?;
        Some(section.located(delay))
    }

    fn retry_budget(&mut self, parent: &mut Section<'a, '_>) -> Option<Located<RetryBudget>> {
        let mut section = self.section(parent, "retry_budget")?;
        let part = self.number(&mut section, "part", RETRIES_PER_ATTEMPT);
        let least_per_s = self.number(&mut section, "least_per_s", RETRIES_PER_SECOND);
        self.report_unknown_keys(&section);
        let budget = RetryBudget {
            retries_per_attempt: part.map_or(0.0, |part| part.value),
            min_retries_per_s: least_per_s.map_or(0.0, |rate| rate.value),
        };
        Some(section.located(budget))
    }

    fn conditions(&mut self, parent: &mut Section<'a, '_>) -> RouteMatch {
        let Some(mut section) = self.section(parent, "match") else { return RouteMatch::default() };
        let conditions = RouteMatch {
            path: self.string(&mut section, "path"),
            method: self.string(&mut section, "method"),
            class: self.string(&mut section, "class"),
            tenant: self.string(&mut section, "tenant"),
            headers: self.headers(&mut section),
        };
        self.report_unknown_keys(&section);
        conditions
    }

    fn headers(&mut self, parent: &mut Section<'a, '_>) -> BTreeMap<String, Located<String>> {
        let mut headers = BTreeMap::new();
        let Some(section) = self.section(parent, "header") else { return headers };
        for (key, value) in section.table.iter() {
            let name: &str = key.get_ref();
            let full_key = format!("{}.{name}", section.key);
            if !is_header_name(name) {
                let at = Located { value: (), key: full_key.clone(), offset: key.span().start };
                let reason = format!("'{name}' is not a header name");
                self.faults.error(Code::InvalidHeader, &at, reason, "for example X-Venue");
            }
            if let Some(value) = self.string_value(full_key, value) {
                headers.insert(name.to_ascii_lowercase(), value);
            }
        }
        headers
    }

    fn pool(&mut self, mut section: Section<'a, '_>) -> PoolSection {
        let weight = self.weight(&mut section);
        let pool = PoolSection {
            name: self.name(&mut section),
            zones: self.list(&mut section, "zones", Reader::string_value),
            models: self.list(&mut section, "models", Reader::string_value),
            cells: self.list(&mut section, "cells", |reader, key, value| {
                reader.integer_value(key, value, ANY_INTEGER)
            }),
            weight,
            fall_back: self.list(&mut section, "fall_back", Reader::string_value),
            least_healthy: self.number(&mut section, "least_healthy", FRACTIONS),
        };
        self.report_unknown_keys(&section);
        pool
    }

    fn weight(&mut self, parent: &mut Section<'a, '_>) -> Option<Located<WeightRange>> {
        let mut section = self.section(parent, "weight")?;
        let least = self.number(&mut section, "least", WEIGHTS);
        let most = self.number(&mut section, "most", WEIGHTS);
        self.report_unknown_keys(&section);
        let range = WeightRange {
            least: least.map_or(0.0, |least| least.value),
            most: most.map_or(f64::INFINITY, |most| most.value),
        };
        Some(section.located(range))
    }

    fn fleet(&mut self, mut section: Section<'a, '_>) -> FleetSection {
        let fleet = FleetSection {
            name: self.name(&mut section),
            listen: self.string(&mut section, "listen"),
            lease: self.duration(&mut section, "lease"),
            drift: self.number(&mut section, "drift", FRACTIONS),
            voters: self.sections(&mut section, "voter").into_iter().map(|voter| self.voter(voter)).collect(),
        };
        self.report_unknown_keys(&section);
        fleet
    }

    fn voter(&mut self, mut section: Section<'a, '_>) -> VoterSection {
        let name = self.name(&mut section);
        let address = self.string(&mut section, "at");
        self.report_unknown_keys(&section);
        VoterSection { name, address }
    }

    fn duty(&mut self, mut section: Section<'a, '_>) -> DutySection {
        let duty = DutySection {
            name: self.name(&mut section),
            path: self.string(&mut section, "path"),
            period: self.duration(&mut section, "period"),
            missed: self.string(&mut section, "missed"),
        };
        self.report_unknown_keys(&section);
        duty
    }

    /// Reads the name of a section. A missing or empty one is reported at the section and read as an empty name.
    fn name(&mut self, section: &mut Section<'a, '_>) -> Located<String> {
        let name = self.string(section, "name");
        if let Some(name) = name.filter(|name| !name.value.trim().is_empty()) {
            return name;
        }
        let at = section.located(String::new());
        // A name of another type was already reported as such.
        let is_string = |value: &Value<'_>| matches!(value.get_ref(), DeValue::String(_));
        if section.table.get("name").is_none_or(is_string) {
            self.faults.error(Code::MissingName, &at, "the name is missing or empty", "name = \"…\"");
        }
        at
    }

    fn section<'b>(&mut self, parent: &mut Section<'a, 'b>, name: &'static str) -> Option<Section<'a, 'b>> {
        let (key, value) = parent.take(name)?;
        self.section_value(key, value)
    }

    fn section_value<'b>(&mut self, key: String, value: &'b Value<'a>) -> Option<Section<'a, 'b>> {
        match value.get_ref() {
            DeValue::Table(table) => {
                Some(Section { key, offset: value.span().start, table, known_keys: Vec::new() })
            }
            _ => {
                self.report_type(&key, value, "a table");
                None
            }
        }
    }

    fn sections<'b>(&mut self, parent: &mut Section<'a, 'b>, name: &'static str) -> Vec<Section<'a, 'b>> {
        let Some((key, value)) = parent.take(name) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            self.report_type(&key, value, &format!("a list of tables, each beginning with [[{name}]]"));
            return Vec::new();
        };
        let items = items.iter().enumerate();
        items.filter_map(|(n, item)| self.section_value(format!("{key}[{n}]"), item)).collect()
    }

    fn list<T>(
        &mut self,
        section: &mut Section<'a, '_>,
        name: &'static str,
        mut read_item: impl FnMut(&mut Self, String, &Value<'a>) -> Option<Located<T>>,
    ) -> Option<Located<Vec<T>>> {
        let (key, value) = section.take(name)?;
        let DeValue::Array(items) = value.get_ref() else {
            self.report_type(&key, value, "a list");
            return None;
        };
        let mut values = Vec::new();
        for (n, item) in items.iter().enumerate() {
            let item = read_item(self, format!("{key}[{n}]"), item);
            values.extend(item.map(|item| item.value));
        }
        Some(Located { value: values, key, offset: value.span().start })
    }

    fn string(&mut self, section: &mut Section<'a, '_>, name: &'static str) -> Option<Located<String>> {
        let (key, value) = section.take(name)?;
        self.string_value(key, value)
    }

    fn string_value(&mut self, key: String, value: &Value<'_>) -> Option<Located<String>> {
        match value.get_ref() {
            DeValue::String(text) => {
                Some(Located { value: text.to_string(), key, offset: value.span().start })
            }
            _ => {
                self.report_type(&key, value, "a string");
                None
            }
        }
    }

    fn duration(&mut self, section: &mut Section<'a, '_>, name: &'static str) -> Option<Located<Span>> {
        let (key, value) = section.take(name)?;
        let offset = value.span().start;
        let DeValue::String(text) = value.get_ref() else {
            self.report_type(&key, value, "a duration, for example \"80ms\"");
            return None;
        };
        let Some(span) = parse_duration(text) else {
            let reason = format!("'{text}' is not a duration");
            let allowed = "for example \"250us\", \"80ms\" or \"1.5s\"".to_owned();
            self.faults.add(Code::InvalidDuration, Severity::Error, &key, offset, reason, allowed);
            return None;
        };
        Some(Located { value: span, key, offset })
    }

    fn integer(
        &mut self,
        section: &mut Section<'a, '_>,
        name: &'static str,
        range: RangeInclusive<u32>,
    ) -> Option<Located<u32>> {
        let (key, value) = section.take(name)?;
        self.integer_value(key, value, range)
    }

    fn integer_value(
        &mut self,
        key: String,
        value: &Value<'_>,
        range: RangeInclusive<u32>,
    ) -> Option<Located<u32>> {
        if !matches!(value.get_ref(), DeValue::Integer(_)) {
            self.report_type(&key, value, "an integer");
            return None;
        }
        let range = f64::from(*range.start())..=f64::from(*range.end());
        let number = self.number_value(key, value, range)?;
        Some(number.with_value(number.value as u32))
    }

    fn number(
        &mut self,
        section: &mut Section<'a, '_>,
        name: &'static str,
        range: RangeInclusive<f64>,
    ) -> Option<Located<f64>> {
        let (key, value) = section.take(name)?;
        self.number_value(key, value, range)
    }

    fn number_value(
        &mut self,
        key: String,
        value: &Value<'_>,
        range: RangeInclusive<f64>,
    ) -> Option<Located<f64>> {
        let number = match value.get_ref() {
            DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
            DeValue::Float(n) => n.as_str().parse::<f64>().ok(),
            _ => {
                self.report_type(&key, value, "a number");
                return None;
            }
        };
        let offset = value.span().start;
        let Some(value) = number.filter(|n| range.contains(n)) else {
            let reason = "the number is out of range".to_owned();
            let allowed = format!("from {} to {}", range.start(), range.end());
            self.faults.add(Code::OutOfRange, Severity::Error, &key, offset, reason, allowed);
            return None;
        };
        Some(Located { value, key, offset })
    }

    fn report_type(&mut self, key: &str, value: &Value<'_>, expected: &str) {
        let found = match value.get_ref() {
            DeValue::String(_) => "a string",
            DeValue::Integer(_) => "an integer",
            DeValue::Float(_) => "a number",
            DeValue::Boolean(_) => "a boolean",
            DeValue::Datetime(_) => "a date",
            DeValue::Array(_) => "a list",
            DeValue::Table(_) => "a table",
        };
        let reason = format!("the value is {found}");
        let allowed = format!("expected {expected}");
        self.faults.add(Code::WrongType, Severity::Error, key, value.span().start, reason, allowed);
    }

    /// Reports each key of a table that was not read.
    fn report_unknown_keys(&mut self, section: &Section<'a, '_>) {
        for (key, _) in section.table.iter() {
            let name: &str = key.get_ref();
            if section.known_keys.contains(&name) {
                continue;
            }
            let closest = section.known_keys.iter().min_by_key(|known| edit_distance(known, name));
            let suggestion = closest.filter(|known| edit_distance(known, name) <= MAX_SUGGESTION_DISTANCE);
            let allowed = match suggestion {
                Some(known) => format!("did you mean '{known}'?"),
                None => format!("one of {}", section.known_keys.join(", ")),
            };
            let full_key = section.key_of(name);
            let reason = format!("'{name}' is not a known key");
            let offset = key.span().start;
            self.faults.add(Code::UnknownKey, Severity::Error, &full_key, offset, reason, allowed);
        }
    }
}

fn is_header_name(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_')
}

/// The Levenshtein distance of two names.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row.last().copied().unwrap_or(0)
}
