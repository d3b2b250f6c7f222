//! Reading the parts of a line.

use anyhow::{Context, Result, bail};
use dunlincleat::api::{Span, Status, Time};
use std::str::FromStr;

/// The parts of one line, taken in order; `-` marks an absent one.
pub struct Parts<'a> {
    rest: Option<&'a str>,
}

impl<'a> Parts<'a> {
    /// The parts of a line.
    pub fn new(line: &'a str) -> Parts<'a> {
        Parts { rest: Some(line) }
    }

    /// The next part as it stands.
    pub fn text(&mut self, what: &str) -> Result<&'a str> {
        let Some(rest) = self.rest else { bail!("{what} is missing") };
        let (part, rest) = match rest.split_once(' ') {
            Some((part, rest)) => (part, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if part.is_empty() {
            bail!("{what} is empty");
        }
        Ok(part)
    }

    /// All that is left of the line.
    pub fn remainder(&mut self, what: &str) -> Result<&'a str> {
        self.rest.take().with_context(|| format!("{what} is missing"))
    }

    /// The next part, read as a value.
    pub fn value<T: FromStr>(&mut self, what: &str) -> Result<T> {
        let part = self.text(what)?;
        part.parse().ok().with_context(|| format!("{what} is not a value: '{}'", shortened(part)))
    }

    /// The next part, none where it is marked absent or the line has ended.
    pub fn maybe<T: FromStr>(&mut self, what: &str) -> Result<Option<T>> {
        if self.rest.is_none_or(|rest| rest == "-" || rest.starts_with("- ")) {
            self.rest = self.rest.and_then(|rest| rest.strip_prefix("- "));
            return Ok(None);
        }
        self.value(what).map(Some)
    }

    /// The next part as a length of time.
    pub fn span(&mut self, what: &str) -> Result<Span> {
        self.value(what).map(Span)
    }

    /// The next part as a point in time; absent stands for 0.
    pub fn time(&mut self, what: &str) -> Result<Time> {
        Ok(Time(self.maybe(what)?.unwrap_or(0)))
    }

    /// The next part as a yes or no.
    pub fn flag(&mut self, what: &str) -> Result<bool> {
        match self.text(what)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => bail!("{what} is neither 0 nor 1: '{}'", shortened(other)),
        }
    }

    /// The next part as a completion code.
    pub fn status(&mut self, what: &str) -> Result<Status> {
        Ok(match self.value::<u32>(what)? {
            0 => Status::Ok,
            255 => Status::Error,
            254 => Status::Rejected,
            253 => Status::Timeout,
            252 => Status::ConnectFailed,
            251 => Status::Reset,
            250 => Status::Cancelled,
            249 => Status::NotSent,
            other => bail!("{what} is no known code: {other}"),
        })
    }

    /// The next part as a load report; a value marked absent becomes no number.
    pub fn load(&mut self, what: &str, into: &mut Vec<f64>) -> Result<()> {
        into.clear();
        let Some(row) = self.rest.take() else { return Ok(()) };
        let (row, rest) = row.split_once(' ').map_or((row, None), |(row, rest)| (row, Some(rest)));
        self.rest = rest;
        if row == "-" || row.is_empty() {
            return Ok(());
        }
        for value in row.split(',') {
            if value == "-" || value.is_empty() {
                into.push(f64::NAN);
                continue;
            }
            into.push(value.parse().ok().with_context(|| format!("{what} holds '{}'", shortened(value)))?);
        }
        Ok(())
    }
}

/// A part of the input, short enough for a message.
pub fn shortened(text: &str) -> String {
    text.chars().take(60).collect()
}
