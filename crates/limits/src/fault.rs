//! Faults of an operator's file, with their positions in its text.

use crate::codes::Code;
use crate::file::Located;
use serde::Serialize;

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
    #[serde(serialize_with = "serialize_code")]
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

fn serialize_code<S: serde::Serializer>(code: &Code, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(code.name())
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let severity = if self.severity == Severity::Error { "error" } else { "warning" };
        let Fault { code, key, line, column, reason, allowed, .. } = self;
        write!(f, "{line}:{column}: {severity} {code}: {key}: {reason}")?;
        if allowed.is_empty() { Ok(()) } else { write!(f, "; {allowed}") }
    }
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
        at: &Located<T>,
        reason: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.add(code, Severity::Error, &at.key, at.offset, reason.into(), allowed.into());
    }

    /// Adds a warning at a value.
    pub fn warn<T>(
        &mut self,
        code: Code,
        at: &Located<T>,
        reason: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.add(code, Severity::Warning, &at.key, at.offset, reason.into(), allowed.into());
    }

    /// Returns all faults without duplicates, in the order of their positions.
    #[must_use]
    pub fn into_sorted(mut self) -> Vec<Fault> {
        self.found
            .sort_by(|a, b| (a.line, a.column, a.code, &a.key).cmp(&(b.line, b.column, b.code, &b.key)));
        self.found.dedup();
        self.found
    }
}
