//! Result file of `run`, as JSON lines: a header with the request, then one line for each completed seed. A truncated run
//! is read up to its last complete line and recognized as partial.

use anyhow::{Context, Result, bail};
use dunlincleat_fleet::report::Report;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

/// Version of this format.
const VERSION: u32 = 2;

/// Header line of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunHeader {
    /// Format version, [`VERSION`].
    pub v: u32,
    /// Path of the scenario's file.
    pub plan: String,
    /// The policy.
    pub policy: String,
    /// The requested seeds.
    pub seeds: Vec<u64>,
}

/// A run read from a file.
#[derive(Clone, Debug)]
pub struct Run {
    /// The header.
    pub plan: RunHeader,
    /// The complete results.
    pub days: Vec<Report>,
}

impl Run {
    /// Whether results of requested seeds are missing.
    pub fn partial(&self) -> bool {
        self.days.len() < self.plan.seeds.len()
    }
}

/// Appends results to a file as they are completed.
pub struct Writer(File);

impl Writer {
    /// Appends a run's header to a file.
    pub fn begin(path: &Path, plan: &str, policy: &str, seeds: &[u64]) -> Result<Writer> {
        let location = || path.display().to_string();
        let cut_off = std::fs::read(path).is_ok_and(|bytes| bytes.last().is_some_and(|last| *last != b'\n'));
        let mut file = OpenOptions::new().create(true).append(true).open(path).with_context(location)?;
        if cut_off {
            // Otherwise the header would continue the line that the previous run left incomplete.
            file.write_all(b"\n").with_context(location)?;
        }
        let mut writer = Writer(file);
        let plan = RunHeader { v: VERSION, plan: plan.into(), policy: policy.into(), seeds: seeds.to_vec() };
        writer.line(&plan)?;
        Ok(writer)
    }

    /// Appends a line with a single write.
    pub fn line(&mut self, value: &impl Serialize) -> Result<()> {
        let mut line = serde_json::to_vec(value)?;
        line.push(b'\n');
        self.0.write_all(&line).context("cannot write the results")
    }
}

/// Reads the runs of a file.
///
/// # Errors
///
/// An invalid line, named by its number, unless it is the last one of a run, which may be truncated.
pub fn read(path: &Path) -> Result<Vec<Run>> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let mut runs: Vec<Run> = Vec::new();
    let lines: Vec<&str> = text.lines().collect();
    for (n, line) in lines.iter().enumerate() {
        let location = || format!("{}: line {}", path.display(), n + 1);
        // The last line of an interrupted run, at the end of the file or before the next run's header.
        let cut_off = match lines.get(n + 1) {
            None => !text.ends_with('\n'),
            Some(next) => serde_json::from_str::<RunHeader>(next).is_ok(),
        };
        if let Ok(plan) = serde_json::from_str::<RunHeader>(line) {
            if plan.v != VERSION {
                bail!("{}: v: {} is not a supported version; expected {VERSION}", location(), plan.v);
            }
            runs.push(Run { plan, days: Vec::new() });
            continue;
        }
        let Some(run) = runs.last_mut() else {
            bail!("{}: a result before any header; expected a file written by `run --out`", location());
        };
        match serde_json::from_str::<Report>(line) {
            Ok(day) => run.days.push(day),
            Err(_) if cut_off => {}
            Err(error) => {
                return Err(error).with_context(|| format!("{}: not a result", location()));
            }
        }
    }
    Ok(runs)
}

#[cfg(test)]
mod tests;
