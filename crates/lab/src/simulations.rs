//! Reads scenario files and simulates them on all cores; reports are returned in the order of the simulations.

use anyhow::{Context, Result, anyhow, bail};
use dunlincleat_fleet::baseline::Choice;
use dunlincleat_fleet::report::Report;
use dunlincleat_fleet::scenario::Scenario;
use dunlincleat_fleet::template::Template;
use dunlincleat_fleet::world::{Mechanism, Policy, simulate_with_details};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A simulation to be run.
#[derive(Clone)]
pub struct Simulation {
    /// The scenario, sampled and scaled.
    pub scenario: Scenario,
    /// The policy under test.
    pub policy: Policy,
    /// Seed of the simulation.
    pub seed: u64,
}

/// A scenario file, whose values may be ranges.
pub struct ScenarioFile {
    /// Path of the file.
    pub path: PathBuf,
    template: Template,
}

impl ScenarioFile {
    /// Reads a file and checks that the scenario is valid with all ranges at their lower and at their upper bounds.
    pub fn read(path: &Path) -> Result<ScenarioFile> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let at = || path.display().to_string();
        let template = Template::read(&text).with_context(at)?;
        for upper in [false, true] {
            Scenario::read_without_ranges(&template.at_bound(upper)).with_context(at)?;
        }
        Ok(ScenarioFile { path: path.to_owned(), template })
    }

    /// Reads the scenario files of a directory, sorted by path; `gate.toml` is skipped.
    pub fn read_folder(folder: &Path) -> Result<Vec<ScenarioFile>> {
        let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
        let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
        paths.retain(|path| path.extension().is_some_and(|e| e == "toml") && !path.ends_with("gate.toml"));
        paths.sort();
        if paths.is_empty() {
            bail!("{}: contains no scenario file (*.toml)", folder.display());
        }
        paths.iter().map(|path| ScenarioFile::read(path)).collect()
    }

    /// Samples the scenario's ranges with a seed.
    pub fn sample(&self, seed: u64) -> Result<Scenario> {
        let text = self.template.sample(seed);
        Scenario::read_without_ranges(&text).with_context(|| format!("{}, seed {seed}", self.path.display()))
    }
}

/// Parses the name of a policy: `module`, a baseline, or `without-` and a mechanism.
pub fn parse_policy(name: &str) -> Result<Policy> {
    if name == "module" {
        return Ok(Policy::Module);
    }
    if let Some(mechanism) = name.strip_prefix("without-") {
        return parse_mechanism(mechanism).map(Policy::Without);
    }
    let known = Choice::ALL.map(|(name, _)| name).join(", ");
    let ablations = Mechanism::ALL.map(|(name, _)| format!("without-{name}")).join(", ");
    Choice::named(name)
        .map(Policy::Baseline)
        .ok_or_else(|| anyhow!("unknown policy '{name}': must be one of module, {known}, {ablations}"))
}

/// Parses the name of a mechanism that can be disabled.
pub fn parse_mechanism(name: &str) -> Result<Mechanism> {
    let known = Mechanism::ALL.map(|(name, _)| name).join(", ");
    let mechanism = Mechanism::ALL.iter().find(|(known, _)| *known == name).map(|(_, mechanism)| *mechanism);
    mechanism.ok_or_else(|| anyhow!("unknown mechanism '{name}': must be one of {known}"))
}

/// Runs simulations on all cores. `on_report` is called with the index and report of each as it completes, in any order.
pub fn simulate_all(
    simulations: &[Simulation],
    keep_seconds: bool,
    on_report: impl Fn(usize, &Report) + Sync,
) -> Result<Vec<Report>> {
    let next = AtomicUsize::new(0);
    let reports = Mutex::new((0..simulations.len()).map(|_| None).collect::<Vec<Option<Result<Report>>>>());
    let workers = std::thread::available_parallelism().map_or(1, usize::from).min(simulations.len().max(1));
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(simulation) = simulations.get(index) else { return };
                    let report = simulate_with_details(
                        &simulation.scenario,
                        simulation.policy,
                        simulation.seed,
                        keep_seconds,
                    );
                    if let Ok(report) = &report {
                        on_report(index, report);
                    }
                    if let Ok(mut reports) = reports.lock() {
                        reports[index] = Some(report);
                    }
                }
            });
        }
    });
    let reports = reports.into_inner().map_err(|_| anyhow!("a simulation thread panicked"))?;
    reports.into_iter().map(|report| report.context("a simulation was not run")?).collect()
}

/// Returns the mean of the values, or 0 if there are none.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
