//! Parses the text of an operator's file into typed sections. A key that can't be read is reported as a fault with its
//! position, and parsing continues, so that all faults of a file are reported at once.

use crate::codes::Code;
use dunlincleat::api::Span;
use serde::Serialize;
use std::collections::BTreeMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The severity of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The value is safe, but does not have the effect that it seems to have.
    Warning,
    /// The file is rejected.
    Error,
}

/// A fault in an operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The stable code.
    #[serde(serialize_with = "code_name")]
    pub code: Code,
    /// The severity.
    pub severity: Severity,
    /// The full key, such as `route[2].second_copy.after`.
    pub key: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// What is wrong.
    pub reason: String,
    /// What would be accepted.
    pub allowed: String,
}

fn code_name<S: serde::Serializer>(code: &Code, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(code.name())
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let severity = if self.severity == Severity::Error { "error" } else { "warning" };
        let Fault { code, key, line, column, reason, allowed, .. } = self;
        write!(f, "{line}:{column}: {severity} {code}: {key}: {reason}")?;
        if allowed.is_empty() { Ok(()) } else { write!(f, "; {allowed}") }
    }
}

/// A value with its key and position, so that a fault found by later validation can be reported there.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    /// The value.
    pub value: T,
    /// The full key.
    pub key: String,
    /// The offset of the value in the text, in bytes.
    pub offset: usize,
}

/// When a hedged request, a second attempt beside the first, may be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum HedgeDelay {
    /// At a fixed delay after the first attempt.
    Fixed(Span),
    /// At this quantile of the measured latencies of the route.
    Quantile(f64),
}

/// A retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// The retries that each first attempt earns.
    pub retries_per_attempt: f64,
    /// The retries per second that are allowed in any case.
    pub min_retries_per_s: f64,
}

/// The options of a route; options that are not set come from the defaults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Knobs {
    /// The timeout of one attempt.
    pub attempt_timeout: Option<At<Span>>,
    /// The timeout of a request, over all attempts.
    pub timeout: Option<At<Span>>,
    /// The timeout for opening a connection.
    pub connect_timeout: Option<At<Span>>,
    /// The highest number of attempts.
    pub attempts: Option<At<u32>>,
    /// When a hedged request may be sent.
    pub second_copy: Option<At<HedgeDelay>>,
    /// The retry budget.
    pub retry_budget: Option<At<RetryBudget>>,
    /// The highest number of requests in progress.
    pub max_in_hand: Option<At<u32>>,
    /// The highest number of requests without an attempt in flight.
    pub max_waiting: Option<At<u32>>,
    /// The priority from 0, which is refused first when the instance is near its limit, to 9, which is refused last.
    pub priority: Option<At<u32>>,
    /// The pool of servers.
    pub pool: Option<At<String>>,
}

/// The conditions of a route; a request must meet all that are set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Match {
    /// The pattern of the path; see [`Code::BadPath`].
    pub path: Option<At<String>>,
    /// The method.
    pub method: Option<At<String>>,
    /// The name of the class.
    pub class: Option<At<String>>,
    /// The name of the tenant.
    pub tenant: Option<At<String>>,
    /// Headers that must be present: names in lower case, and their values.
    pub headers: BTreeMap<String, At<String>>,
}

impl Match {
    /// Whether every request matches.
    #[must_use]
    pub fn all(&self) -> bool {
        *self == Match::default()
    }
}

/// A section `[[route]]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: At<String>,
    /// Which requests it applies to.
    pub matches: Match,
    /// The options that it sets.
    pub knobs: Knobs,
}

/// A section `[[pool]]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: At<String>,
    /// The names of the zones; `None` for all.
    pub zones: Option<At<Vec<String>>>,
    /// The names of the server models; `None` for all.
    pub models: Option<At<Vec<String>>>,
    /// The cells; `None` for all.
    pub cells: Option<At<Vec<u32>>>,
    /// The lowest and the highest weight; `None` for all.
    pub weight: Option<At<(f64, f64)>>,
    /// The pools to use instead, in order, when too few servers of this one are healthy.
    pub fall_back: Option<At<Vec<String>>>,
    /// The part of the servers that must be healthy for the pool to be used.
    pub least_healthy: Option<At<f64>>,
}

/// A parsed file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct File {
    /// The options of routes that do not set them.
    pub defaults: Knobs,
    /// The routes, in the order in which they are matched.
    pub routes: Vec<Route>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The fleet.
    pub fleet: Option<FleetSection>,
    /// The duties.
    pub duties: Vec<DutySection>,
}

/// The section `[fleet]`.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSection {
    /// The name of the fleet.
    pub name: At<String>,
    /// The UDP address on which this member receives datagrams.
    pub listen: Option<At<String>>,
    /// The duration of a lease.
    pub lease: Option<At<Span>>,
    /// The highest tolerated clock drift, as a fraction.
    pub drift: Option<At<f64>>,
    /// The names and addresses of the voters.
    pub voters: Vec<(At<String>, Option<At<String>>)>,
}

/// A section `[[duty]]`.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySection {
    /// Its name.
    pub name: At<String>,
    /// The path that is called.
    pub path: Option<At<String>>,
    /// The time from one call to the next.
    pub period: Option<At<Span>>,
    /// How missed periods are treated.
    pub missed: Option<At<String>>,
}

/// Collects faults with their positions in the text.
#[derive(Debug)]
pub struct Faults<'a> {
    text: &'a str,
    found: Vec<Fault>,
}

impl<'a> Faults<'a> {
    /// An empty collection for the faults of `text`.
    #[must_use]
    pub fn new(text: &'a str) -> Faults<'a> {
        Faults { text, found: Vec::new() }
    }

    /// Adds a fault at a byte offset of the text.
    pub fn add(
        &mut self,
        code: Code,
        severity: Severity,
        key: &str,
        offset: usize,
        reason: String,
        allowed: String,
    ) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        let key = key.to_owned();
        self.found.push(Fault { code, severity, key, line, column, reason, allowed });
    }

    /// Adds an error, which rejects the file, at a value.
    pub fn error<T>(
        &mut self,
        code: Code,
        at: &At<T>,
        reason: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.add(code, Severity::Error, &at.key, at.offset, reason.into(), allowed.into());
    }

    /// Adds a warning at a value.
    pub fn warn<T>(&mut self, code: Code, at: &At<T>, reason: impl Into<String>, allowed: impl Into<String>) {
        self.add(code, Severity::Warning, &at.key, at.offset, reason.into(), allowed.into());
    }

    /// Returns all faults without duplicates, in the order of their positions.
    #[must_use]
    pub fn all(mut self) -> Vec<Fault> {
        self.found
            .sort_by(|a, b| (a.line, a.column, a.code, &a.key).cmp(&(b.line, b.column, b.code, &b.key)));
        self.found.dedup();
        self.found
    }
}

/// The longest duration that is accepted, in microseconds.
const DAY: f64 = 86_400e6;

/// Parses a duration with its unit, from 1 us to one day.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Span> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(digits);
    let unit = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "min" => 60e6,
        "h" => 3600e6,
        _ => return None,
    };
    let micros = number.parse::<f64>().ok()? * unit;
    (1.0..=DAY).contains(&micros).then_some(Span(micros as u64))
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

type Value<'a> = Spanned<DeValue<'a>>;

/// A table that is being read. Records the keys that were read; all others are unknown keys.
struct Table<'a, 'b> {
    key: String,
    table: &'b DeTable<'a>,
    taken: Vec<&'static str>,
}

struct Reader<'a, 'f> {
    faults: &'f mut Faults<'a>,
}

impl<'a> Reader<'a, '_> {
    fn type_fault(&mut self, key: &str, value: &Value<'_>, wanted: &str) {
        let found = match value.get_ref() {
            DeValue::String(_) => "a string",
            DeValue::Integer(_) => "an integer",
            DeValue::Float(_) => "a number",
            DeValue::Boolean(_) => "a boolean",
            DeValue::Datetime(_) => "a date",
            DeValue::Array(_) => "a list",
            DeValue::Table(_) => "a table",
        };
        let (reason, allowed) = (format!("the value is {found}"), format!("expected {wanted}"));
        self.faults.add(Code::WrongType, Severity::Error, key, value.span().start, reason, allowed);
    }

    fn get<'b>(&self, table: &mut Table<'a, 'b>, name: &'static str) -> Option<(String, &'b Value<'a>)> {
        table.taken.push(name);
        let key = if table.key.is_empty() { name.to_owned() } else { format!("{}.{name}", table.key) };
        table.table.get(name).map(|value| (key, value))
    }

    fn text(&mut self, table: &mut Table<'a, '_>, name: &'static str) -> Option<At<String>> {
        let (key, value) = self.get(table, name)?;
        self.text_of(key, value)
    }

    fn text_of(&mut self, key: String, value: &Value<'_>) -> Option<At<String>> {
        match value.get_ref() {
            DeValue::String(text) => Some(At { value: text.to_string(), key, offset: value.span().start }),
            _ => {
                self.type_fault(&key, value, "a string");
                None
            }
        }
    }

    fn span(&mut self, table: &mut Table<'a, '_>, name: &'static str) -> Option<At<Span>> {
        let (key, value) = self.get(table, name)?;
        let offset = value.span().start;
        let DeValue::String(text) = value.get_ref() else {
            self.type_fault(&key, value, "a duration, for example \"80ms\"");
            return None;
        };
        let Some(span) = parse_duration(text) else {
            let (reason, allowed) =
                (format!("'{text}' is not a duration"), "for example \"250us\", \"80ms\" or \"1.5s\"");
            self.faults.add(Code::BadDuration, Severity::Error, &key, offset, reason, allowed.to_owned());
            return None;
        };
        Some(At { value: span, key, offset })
    }

    fn number_of(&mut self, key: String, value: &Value<'_>, least: f64, most: f64) -> Option<At<f64>> {
        let read = match value.get_ref() {
            DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
            DeValue::Float(n) => n.as_str().parse::<f64>().ok(),
            _ => {
                self.type_fault(&key, value, "a number");
                return None;
            }
        };
        let offset = value.span().start;
        match read.filter(|n| (least..=most).contains(n)) {
            Some(value) => Some(At { value, key, offset }),
            None => {
                let (reason, allowed) =
                    ("the number is out of range".to_owned(), format!("from {least} to {most}"));
                self.faults.add(Code::OutOfRange, Severity::Error, &key, offset, reason, allowed);
                None
            }
        }
    }

    fn number(
        &mut self,
        table: &mut Table<'a, '_>,
        name: &'static str,
        least: f64,
        most: f64,
    ) -> Option<At<f64>> {
        let (key, value) = self.get(table, name)?;
        self.number_of(key, value, least, most)
    }

    fn whole_of(&mut self, key: String, value: &Value<'_>, least: u32, most: u32) -> Option<At<u32>> {
        if !matches!(value.get_ref(), DeValue::Integer(_)) {
            self.type_fault(&key, value, "an integer");
            return None;
        }
        let at = self.number_of(key, value, f64::from(least), f64::from(most))?;
        Some(At { value: at.value as u32, key: at.key, offset: at.offset })
    }

    fn whole(
        &mut self,
        table: &mut Table<'a, '_>,
        name: &'static str,
        least: u32,
        most: u32,
    ) -> Option<At<u32>> {
        let (key, value) = self.get(table, name)?;
        self.whole_of(key, value, least, most)
    }

    fn list<T>(
        &mut self,
        table: &mut Table<'a, '_>,
        name: &'static str,
        mut each: impl FnMut(&mut Self, String, &Value<'a>) -> Option<At<T>>,
    ) -> Option<At<Vec<T>>> {
        let (key, value) = self.get(table, name)?;
        let DeValue::Array(items) = value.get_ref() else {
            self.type_fault(&key, value, "a list");
            return None;
        };
        let items = items.iter().enumerate();
        let read = items.filter_map(|(n, item)| each(self, format!("{key}[{n}]"), item).map(|at| at.value));
        let value_read: Vec<T> = read.collect();
        Some(At { value: value_read, key, offset: value.span().start })
    }

    fn table<'b>(&mut self, table: &mut Table<'a, 'b>, name: &'static str) -> Option<(usize, Table<'a, 'b>)> {
        let (key, value) = self.get(table, name)?;
        match value.get_ref() {
            DeValue::Table(inner) => {
                Some((value.span().start, Table { key, table: inner, taken: Vec::new() }))
            }
            _ => {
                self.type_fault(&key, value, "a table");
                None
            }
        }
    }

    fn tables<'b>(&mut self, table: &mut Table<'a, 'b>, name: &'static str) -> Vec<(usize, Table<'a, 'b>)> {
        let Some((key, value)) = self.get(table, name) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            self.type_fault(&key, value, &format!("a list of tables, each beginning with [[{name}]]"));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (n, item) in items.iter().enumerate() {
            let key = format!("{key}[{n}]");
            match item.get_ref() {
                DeValue::Table(inner) => {
                    tables.push((item.span().start, Table { key, table: inner, taken: Vec::new() }));
                }
                _ => self.type_fault(&key, item, "a table"),
            }
        }
        tables
    }

    /// Reports each key of a table that was not read.
    fn finish(&mut self, table: Table<'a, '_>) {
        for (name, _) in table.table.iter() {
            let text: &str = name.get_ref();
            if table.taken.contains(&text) {
                continue;
            }
            let near = table.taken.iter().min_by_key(|known| distance(known, text));
            let near = near.filter(|known| distance(known, text) <= 3);
            let allowed = match near {
                Some(known) => format!("did you mean '{known}'?"),
                None => format!("one of {}", table.taken.join(", ")),
            };
            let key = if table.key.is_empty() { text.to_owned() } else { format!("{}.{text}", table.key) };
            let reason = format!("'{text}' is not a known key");
            self.faults.add(Code::UnknownKey, Severity::Error, &key, name.span().start, reason, allowed);
        }
    }

    fn name(&mut self, offset: usize, table: &mut Table<'a, '_>) -> At<String> {
        let had = table.table.contains_key("name");
        match self.text(table, "name").filter(|name| !name.value.trim().is_empty()) {
            Some(name) => name,
            None => {
                let at = At { value: String::new(), key: table.key.clone(), offset };
                if !had || table.table.get("name").is_some_and(|v| matches!(v.get_ref(), DeValue::String(_)))
                {
                    self.faults.error(Code::NoName, &at, "the name is missing or empty", "name = \"…\"");
                }
                at
            }
        }
    }

    fn knobs(&mut self, table: &mut Table<'a, '_>) -> Knobs {
        Knobs {
            attempt_timeout: self.span(table, "attempt_timeout"),
            timeout: self.span(table, "timeout"),
            connect_timeout: self.span(table, "connect_timeout"),
            attempts: self.whole(table, "attempts", 1, 100),
            second_copy: self.second_copy(table),
            retry_budget: self.retry_budget(table),
            max_in_hand: self.whole(table, "max_in_hand", 0, 10_000_000),
            max_waiting: self.whole(table, "max_waiting", 0, 10_000_000),
            priority: self.whole(table, "priority", 0, 9),
            pool: self.text(table, "pool"),
        }
    }

    fn fleet(&mut self, offset: usize, mut table: Table<'a, '_>) -> FleetSection {
        let name = self.name(offset, &mut table);
        let (listen, lease) = (self.text(&mut table, "listen"), self.span(&mut table, "lease"));
        let drift = self.number(&mut table, "drift", 0.0, 1.0);
        let mut voters = Vec::new();
        for (offset, mut voter) in self.tables(&mut table, "voter") {
            let name = self.name(offset, &mut voter);
            voters.push((name, self.text(&mut voter, "at")));
            self.finish(voter);
        }
        self.finish(table);
        FleetSection { name, listen, lease, drift, voters }
    }

    fn second_copy(&mut self, table: &mut Table<'a, '_>) -> Option<At<HedgeDelay>> {
        let (offset, mut inner) = self.table(table, "second_copy")?;
        let key = inner.key.clone();
        let after = self.span(&mut inner, "after");
        let quantile = self.number(&mut inner, "after_quantile", 0.5, 0.9999);
        let both = inner.table.contains_key("after") && inner.table.contains_key("after_quantile");
        let none = !inner.table.contains_key("after") && !inner.table.contains_key("after_quantile");
        self.finish(inner);
        if both || none {
            let at = At { value: (), key, offset };
            let reason = if both {
                "both after and after_quantile are set"
            } else {
                "neither after nor after_quantile is set"
            };
            self.faults.error(
                Code::WrongType,
                &at,
                reason,
                "either after = \"60ms\" or after_quantile = 0.95",
            );
            return None;
        }
        let value = match (after, quantile) {
            (Some(after), _) => HedgeDelay::Fixed(after.value),
            (None, Some(quantile)) => HedgeDelay::Quantile(quantile.value),
            (None, None) => return None,
        };
        Some(At { value, key, offset })
    }

    fn retry_budget(&mut self, table: &mut Table<'a, '_>) -> Option<At<RetryBudget>> {
        let (offset, mut inner) = self.table(table, "retry_budget")?;
        let key = inner.key.clone();
        let part = self.number(&mut inner, "part", 0.0, 100.0);
        let least = self.number(&mut inner, "least_per_s", 0.0, 1e6);
        self.finish(inner);
        let (part, least_per_s) = (part.map_or(0.0, |p| p.value), least.map_or(0.0, |l| l.value));
        Some(At {
            value: RetryBudget { retries_per_attempt: part, min_retries_per_s: least_per_s },
            key,
            offset,
        })
    }

    fn matches(&mut self, table: &mut Table<'a, '_>) -> Match {
        let Some((_, mut inner)) = self.table(table, "match") else { return Match::default() };
        let mut matches = Match {
            path: self.text(&mut inner, "path"),
            method: self.text(&mut inner, "method"),
            class: self.text(&mut inner, "class"),
            tenant: self.text(&mut inner, "tenant"),
            headers: BTreeMap::new(),
        };
        if let Some((_, headers)) = self.table(&mut inner, "header") {
            for (name, value) in headers.table.iter() {
                let text: &str = name.get_ref();
                let key = format!("{}.{text}", headers.key);
                if text.is_empty() || !text.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_')
                {
                    let at = At { value: (), key: key.clone(), offset: name.span().start };
                    self.faults.error(
                        Code::BadHeader,
                        &at,
                        format!("'{text}' is not a header name"),
                        "for example X-Venue",
                    );
                }
                if let Some(value) = self.text_of(key, value) {
                    matches.headers.insert(text.to_ascii_lowercase(), value);
                }
            }
        }
        self.finish(inner);
        matches
    }

    fn pool(&mut self, offset: usize, mut table: Table<'a, '_>) -> Pool {
        let weight = self.table(&mut table, "weight").map(|(offset, mut inner)| {
            let key = inner.key.clone();
            let least = self.number(&mut inner, "least", 0.0, 1e6).map_or(0.0, |n| n.value);
            let most = self.number(&mut inner, "most", 0.0, 1e6).map_or(f64::INFINITY, |n| n.value);
            self.finish(inner);
            At { value: (least, most), key, offset }
        });
        let pool = Pool {
            name: self.name(offset, &mut table),
            zones: self.list(&mut table, "zones", Reader::text_of),
            models: self.list(&mut table, "models", Reader::text_of),
            cells: self.list(&mut table, "cells", |r, key, value| r.whole_of(key, value, 0, u32::MAX)),
            weight,
            fall_back: self.list(&mut table, "fall_back", Reader::text_of),
            least_healthy: self.number(&mut table, "least_healthy", 0.0, 1.0),
        };
        self.finish(table);
        pool
    }
}

/// The Levenshtein distance of two names.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let cost = corner + usize::from(x != *y);
            corner = row[j + 1];
            row[j + 1] = cost.min(row[j] + 1).min(corner + 1);
        }
    }
    row.last().copied().unwrap_or(0)
}

/// Parses a file. Whatever could be read is returned despite faults, so that validation can find further ones.
pub fn read<'a>(text: &'a str, faults: &mut Faults<'a>) -> File {
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        let reason = error.message().replace('\n', "; ");
        faults.add(Code::Syntax, Severity::Error, "the file", offset, reason, String::new());
    }
    let mut reader = Reader { faults };
    let mut table = Table { key: String::new(), table: root.get_ref(), taken: Vec::new() };
    if let Some(version) = reader.whole(&mut table, "version", 0, u32::MAX)
        && version.value != 1
    {
        let reason = format!("version {} is not supported", version.value);
        reader.faults.error(Code::UnknownVersion, &version, reason, "version = 1");
    }
    let mut file = File::default();
    if let Some((_, mut defaults)) = reader.table(&mut table, "defaults") {
        file.defaults = reader.knobs(&mut defaults);
        reader.finish(defaults);
    }
    for (offset, mut route) in reader.tables(&mut table, "route") {
        let name = reader.name(offset, &mut route);
        let matches = reader.matches(&mut route);
        let knobs = reader.knobs(&mut route);
        reader.finish(route);
        file.routes.push(Route { name, matches, knobs });
    }
    for (offset, pool) in reader.tables(&mut table, "pool") {
        let pool = reader.pool(offset, pool);
        file.pools.push(pool);
    }
    file.fleet = reader.table(&mut table, "fleet").map(|(offset, fleet)| reader.fleet(offset, fleet));
    for (offset, mut duty) in reader.tables(&mut table, "duty") {
        let name = reader.name(offset, &mut duty);
        let (path, period) = (reader.text(&mut duty, "path"), reader.span(&mut duty, "period"));
        let missed = reader.text(&mut duty, "missed");
        reader.finish(duty);
        file.duties.push(DutySection { name, path, period, missed });
    }
    reader.finish(table);
    file
}
