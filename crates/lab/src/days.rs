//! Days played on all cores, in the order in which they were asked for; what is read and written of them.

use anyhow::{Context, Result, anyhow, bail};
use dunlincleat_fleet::baseline::Choice;
use dunlincleat_fleet::report::Report;
use dunlincleat_fleet::scenario::Scenario;
use dunlincleat_fleet::template::Template;
use dunlincleat_fleet::world::{Mechanism, Policy, simulate_with_details};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A day that is to be played.
#[derive(Clone)]
pub struct Day {
    /// What happens.
    pub scenario: Scenario,
    /// What is under test.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
}

/// A scenario's file, with ranges.
pub struct File {
    /// Where it stands.
    pub path: PathBuf,
    template: Template,
}

impl File {
    /// Reads a file; its ranges hold at both ends.
    pub fn read(path: &Path) -> Result<File> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let at = || path.display().to_string();
        let template = Template::read(&text).with_context(at)?;
        for upper in [false, true] {
            Scenario::read_without_ranges(&template.at_bound(upper)).with_context(at)?;
        }
        Ok(File { path: path.to_owned(), template })
    }

    /// The files of a folder, by name.
    pub fn folder(folder: &Path) -> Result<Vec<File>> {
        let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
        let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
        paths.retain(|path| path.extension().is_some_and(|e| e == "toml") && !path.ends_with("gate.toml"));
        paths.sort();
        if paths.is_empty() {
            bail!("{}: no scenario in it, a file that ends with .toml", folder.display());
        }
        paths.iter().map(|path| File::read(path)).collect()
    }

    /// The scenario that a seed draws.
    pub fn drawn(&self, seed: u64) -> Result<Scenario> {
        let text = self.template.sample(seed);
        Scenario::read_without_ranges(&text).with_context(|| format!("{}, seed {seed}", self.path.display()))
    }
}

/// The policy of this name.
pub fn policy_of(name: &str) -> Result<Policy> {
    if name == "module" {
        return Ok(Policy::Module);
    }
    if let Some(without) = name.strip_prefix("without-") {
        return part_of(without).map(Policy::Without);
    }
    let known = Choice::ALL.map(|(name, _)| name).join(", ");
    let parts = Mechanism::ALL.map(|(name, _)| format!("without-{name}")).join(", ");
    Choice::named(name)
        .map(Policy::Baseline)
        .ok_or_else(|| anyhow!("no policy '{name}': right would be one of module, {known}, {parts}"))
}

/// What is to be taken out, by name.
pub fn part_of(name: &str) -> Result<Mechanism> {
    let known = Mechanism::ALL.map(|(name, _)| name).join(", ");
    let part = Mechanism::ALL.iter().find(|(known, _)| *known == name).map(|(_, part)| *part);
    part.ok_or_else(|| anyhow!("nothing called '{name}' can be taken out: right would be one of {known}"))
}

/// Plays days; `told` is handed each with its number as it is done, in any order.
pub fn play_all(days: &[Day], seconds: bool, told: impl Fn(usize, &Report) + Sync) -> Result<Vec<Report>> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new((0..days.len()).map(|_| None).collect::<Vec<Option<Result<Report>>>>());
    let workers = std::thread::available_parallelism().map_or(1, usize::from).min(days.len().max(1));
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let Some(day) = days.get(n) else { return };
                    let report = simulate_with_details(&day.scenario, day.policy, day.seed, seconds);
                    if let Ok(report) = &report {
                        told(n, report);
                    }
                    if let Ok(mut done) = done.lock() {
                        done[n] = Some(report);
                    }
                }
            });
        }
    });
    let done = done.into_inner().map_err(|_| anyhow!("a day ended in a fault of the tool"))?;
    done.into_iter().map(|report| report.context("a day was not played")?).collect()
}

/// The mean of some figures.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
