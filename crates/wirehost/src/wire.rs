//! Parsing the fields of a line.

use anyhow::{Context, Result, bail};
use dunlincleat::api::{Span, Status, Time};
use std::str::FromStr;

/// The fields of one line, read in order; `-` marks an absent field.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Starts reading a line.
    pub fn new(line: &'a str) -> Fields<'a> {
        Fields { rest: Some(line) }
    }

    /// The next field as text.
    pub fn text(&mut self, name: &str) -> Result<&'a str> {
        let Some(rest) = self.rest else { bail!("{name} is missing") };
        let (field, rest) = match rest.split_once(' ') {
            Some((field, rest)) => (field, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if field.is_empty() {
            bail!("{name} is empty");
        }
        Ok(field)
    }

    /// The rest of the line.
    pub fn remainder(&mut self, name: &str) -> Result<&'a str> {
        self.rest.take().with_context(|| format!("{name} is missing"))
    }

    /// The next field, parsed.
    pub fn value<T: FromStr>(&mut self, name: &str) -> Result<T> {
        let field = self.text(name)?;
        field.parse().ok().with_context(|| format!("{name} is not valid: '{}'", truncated(field)))
    }

    /// The next field, parsed; none if it is marked absent or the line has ended.
    pub fn optional<T: FromStr>(&mut self, name: &str) -> Result<Option<T>> {
        if self.rest.is_none_or(|rest| rest == "-" || rest.starts_with("- ")) {
            self.rest = self.rest.and_then(|rest| rest.strip_prefix("- "));
            return Ok(None);
        }
        self.value(name).map(Some)
    }

    /// The next field as a duration in microseconds.
    pub fn duration(&mut self, name: &str) -> Result<Span> {
        self.value(name).map(Span)
    }

    /// The next field as a point in time; 0 if absent.
    pub fn time(&mut self, name: &str) -> Result<Time> {
        Ok(Time(self.optional(name)?.unwrap_or(0)))
    }

    /// The next field as a boolean, 0 or 1.
    pub fn boolean(&mut self, name: &str) -> Result<bool> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => bail!("{name} is neither 0 nor 1: '{}'", truncated(other)),
        }
    }

    /// The next field as a completion code.
    pub fn status(&mut self, name: &str) -> Result<Status> {
        Ok(match self.value::<u32>(name)? {
            0 => Status::Ok,
            255 => Status::Error,
            254 => Status::Rejected,
            253 => Status::Timeout,
            252 => Status::ConnectFailed,
            251 => Status::Reset,
            250 => Status::Cancelled,
            249 => Status::NotSent,
            other => bail!("{name} is not a known completion code: {other}"),
        })
    }

    /// The next field as a load report; a value marked absent becomes NaN.
    pub fn load_report(&mut self, name: &str, values: &mut Vec<f64>) -> Result<()> {
        values.clear();
        let Some(report) = self.rest.take() else { return Ok(()) };
        let (report, rest) =
            report.split_once(' ').map_or((report, None), |(report, rest)| (report, Some(rest)));
        self.rest = rest;
        if report == "-" || report.is_empty() {
            return Ok(());
        }
        for value in report.split(',') {
            if value == "-" || value.is_empty() {
                values.push(f64::NAN);
                continue;
            }
            values.push(
                value
                    .parse()
                    .ok()
                    .with_context(|| format!("{name} contains the invalid value '{}'", truncated(value)))?,
            );
        }
        Ok(())
    }
}

/// A piece of the input, truncated for an error message.
pub fn truncated(text: &str) -> String {
    text.chars().take(60).collect()
}
