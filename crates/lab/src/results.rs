//! The file of results that `run` writes: a first line that says what was asked for, then a line a day as it is done. One
//! that was cut off is read up to its last whole line, and is known to be a part.

use anyhow::{Context, Result, bail};
use dunlincleat_fleet::report::Report;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

/// The version of this format.
const VERSION: u32 = 2;

/// The first line of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunHeader {
    /// The version.
    pub v: u32,
    /// The scenario's file.
    pub plan: String,
    /// The policy.
    pub policy: String,
    /// The seeds that were to be played.
    pub seeds: Vec<u64>,
}

/// A run that was read.
#[derive(Clone, Debug)]
pub struct Run {
    /// What was asked for.
    pub plan: RunHeader,
    /// What is there.
    pub days: Vec<Report>,
}

impl Run {
    /// Not all that was asked for is there.
    pub fn partial(&self) -> bool {
        self.days.len() < self.plan.seeds.len()
    }
}

/// Writes results as they come.
pub struct Writer(File);

impl Writer {
    /// Begins a run at the end of a file.
    pub fn begin(path: &Path, plan: &str, policy: &str, seeds: &[u64]) -> Result<Writer> {
        let location = || path.display().to_string();
        let cut_off = std::fs::read(path).is_ok_and(|bytes| bytes.last().is_some_and(|last| *last != b'\n'));
        let mut file = OpenOptions::new().create(true).append(true).open(path).with_context(location)?;
        if cut_off {
            // The plan would else be a part of the line that the run before did not finish.
            file.write_all(b"\n").with_context(location)?;
        }
        let mut writer = Writer(file);
        let plan = RunHeader { v: VERSION, plan: plan.into(), policy: policy.into(), seeds: seeds.to_vec() };
        writer.line(&plan)?;
        Ok(writer)
    }

    /// Adds a line, whole or not at all as far as one write is.
    pub fn line(&mut self, value: &impl Serialize) -> Result<()> {
        let mut line = serde_json::to_vec(value)?;
        line.push(b'\n');
        self.0.write_all(&line).context("the results can't be written")
    }
}

/// Reads the runs of a file.
///
/// # Errors
///
/// Names the line that is at fault, but for the last one of a run, which may be cut off.
pub fn read(path: &Path) -> Result<Vec<Run>> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let mut runs: Vec<Run> = Vec::new();
    let lines: Vec<&str> = text.lines().collect();
    for (n, line) in lines.iter().enumerate() {
        let location = || format!("{}: line {}", path.display(), n + 1);
        // The last line of a run that was ended by hand, at the end of the file or before the next run's plan.
        let cut_off = match lines.get(n + 1) {
            None => !text.ends_with('\n'),
            Some(next) => serde_json::from_str::<RunHeader>(next).is_ok(),
        };
        if let Ok(plan) = serde_json::from_str::<RunHeader>(line) {
            if plan.v != VERSION {
                bail!(
                    "{}: v: {} is not a version that is read; right would be {VERSION}",
                    location(),
                    plan.v
                );
            }
            runs.push(Run { plan, days: Vec::new() });
            continue;
        }
        let Some(run) = runs.last_mut() else {
            bail!("{}: a day before any plan; right would be a file that `run --out` wrote", location());
        };
        match serde_json::from_str::<Report>(line) {
            Ok(day) => run.days.push(day),
            Err(_) if cut_off => {}
            Err(error) => {
                return Err(error).with_context(|| format!("{}: it is no day's result", location()));
            }
        }
    }
    Ok(runs)
}

#[cfg(test)]
mod tests;
