//! The regression gate for simulated scenarios: compares each figure of each seed with stored bounds, and the mean worth with
//! that of the baselines on the same seeds. The bounds are in `gate.toml` in the directory of the scenarios.

use crate::memory;
use crate::simulations::{ScenarioFile, Simulation, mean, parse_policy, simulate_all};
use anyhow::{Context, Result, bail};
use dunlincleat_fleet::report::Report;
use dunlincleat_fleet::scenario::Scenario;
use dunlincleat_fleet::template::{line_at, line_of};
use dunlincleat_fleet::world::Policy;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// The contents of `gate.toml`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GateConfig {
    /// Scale of the fleet.
    scale: f64,
    /// Seeds of each scenario.
    seeds: Vec<u64>,
    #[serde(rename = "day")]
    scenarios: Vec<ScenarioBand>,
}

/// The bounds of one scenario.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ScenarioBand {
    /// Name of the scenario file, without its extension.
    scenario: String,
    /// Scale of the fleet, if it differs from that of the file.
    scale: Option<f64>,
    /// Policies whose mean worth over the seeds the policy under test must reach.
    #[serde(default, rename = "beats")]
    baselines: Vec<String>,
    /// Bounds by name of the figure.
    #[serde(rename = "band")]
    bounds: BTreeMap<String, Bound>,
}

/// The bounds of a figure, inclusive; at least one is set.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct Bound {
    #[serde(rename = "least")]
    min: Option<f64>,
    #[serde(rename = "most")]
    max: Option<f64>,
}

/// Extracts a figure from a report, or from the memory of an instance in KiB; `None` if it was not observed.
type Figure = fn(&Report, Option<f64>) -> Option<f64>;

const FIGURES: [(&str, Figure); 12] = [
    ("worth", |report, _| Some(report.worth)),
    ("in_time", |report, _| Some(report.in_time)),
    ("recovery_s", |report, _| report.recovery_s),
    ("attempts", |report, _| Some(report.attempts)),
    ("probes", |report, _| Some(report.probes)),
    ("connections", |report, _| Some(report.connections)),
    ("list_calls", |report, _| Some(report.list_calls)),
    ("list_refused", |report, _| Some(report.list_refused)),
    ("worst_cold", |report, _| Some(report.worst_cold)),
    ("most_connections", |report, _| Some(report.most_connections as f64)),
    ("held", |report, _| Some(report.held as f64)),
    ("memory_kb", |_, memory_kb| memory_kb),
];

fn figure(name: &str) -> Option<Figure> {
    FIGURES.iter().find(|(known, _)| *known == name).map(|(_, figure)| *figure)
}

impl GateConfig {
    /// Reads and validates the file; errors name the line and the key.
    fn read(path: &Path) -> Result<GateConfig> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let config: GateConfig = toml::from_str(&text).with_context(|| path.display().to_string())?;
        let invalid = |key: String, what: String| {
            let line = line_of(&text, &key).unwrap_or_else(|| line_at(&text, 0));
            Err(anyhow::anyhow!("{}: line {line}: {key}: {what}", path.display()))
        };
        if !(0.005..=1.0).contains(&config.scale) {
            return invalid("scale".into(), format!("{} is not from 0.005 to 1", config.scale));
        }
        if config.seeds.is_empty() {
            return invalid("seeds".into(), "none; at least one is required".into());
        }
        for (n, band) in config.scenarios.iter().enumerate() {
            if band.scale.is_some_and(|scale| !(0.005..=1.0).contains(&scale)) {
                let scale = band.scale.unwrap_or(0.0);
                return invalid(format!("day[{n}].scale"), format!("{scale} is not from 0.005 to 1"));
            }
            for name in &band.baselines {
                if let Err(error) = parse_policy(name) {
                    return invalid(format!("day[{n}].beats"), error.to_string());
                }
            }
            let known = FIGURES.map(|(name, _)| name).join(", ");
            for (name, bound) in &band.bounds {
                let key = format!("day[{n}].band.{name}");
                if figure(name).is_none() {
                    return invalid(key, format!("unknown figure; must be one of {known}"));
                }
                if bound.min.is_none() && bound.max.is_none() {
                    return invalid(key, "neither least nor most; at least one is required".into());
                }
            }
        }
        Ok(config)
    }
}

/// Simulates the scenarios of the directory's gate. Returns a summary line for each scenario, and the failures.
pub fn run_gate(folder: &Path, policy: Policy) -> Result<(Vec<String>, Vec<String>)> {
    let path = folder.join("gate.toml");
    let config = GateConfig::read(&path)?;
    let mut simulations: Vec<Simulation> = Vec::new();
    let mut first_indices = Vec::new();
    for band in &config.scenarios {
        let file = ScenarioFile::read(&folder.join(format!("{}.toml", band.scenario)))?;
        let scenario =
            |seed| -> Result<Scenario> { Ok(file.sample(seed)?.scaled(band.scale.unwrap_or(config.scale))) };
        let mut policies = vec![policy];
        policies.extend(band.baselines.iter().map(|name| parse_policy(name)).collect::<Result<Vec<_>>>()?);
        let first = simulations.len();
        for policy in policies {
            for seed in &config.seeds {
                simulations.push(Simulation { scenario: scenario(*seed)?, policy, seed: *seed });
            }
        }
        first_indices.push(first);
    }
    if simulations.is_empty() {
        bail!("{}: day: none; at least one is required", path.display());
    }
    let reports = simulate_all(&simulations, false, |_, _| {})?;
    let (mut summary, mut failures) = (Vec::new(), Vec::new());
    let seeds = config.seeds.len();
    for (band, first) in config.scenarios.iter().zip(first_indices) {
        let memory_kb = if band.bounds.contains_key("memory_kb") {
            let Simulation { scenario, policy, seed } = &simulations[first];
            Some(memory::mean_instance_bytes(scenario, *policy, *seed)? / 1024.0)
        } else {
            None
        };
        let own_reports = &reports[first..first + seeds];
        for report in own_reports {
            let at = format!("{}, seed {}", band.scenario, report.seed);
            for (name, Bound { min, max }) in &band.bounds {
                let value = figure(name).and_then(|figure| figure(report, memory_kb));
                let shown_value = value.map_or("not seen".to_owned(), |value| format!("{value:.3}"));
                if min.is_some_and(|least| value.is_none_or(|value| value < least)) {
                    failures.push(format!("{at}: {name} is {shown_value}, least {}", min.unwrap_or(0.0)));
                }
                if max.is_some_and(|most| value.is_none_or(|value| value > most)) {
                    failures.push(format!("{at}: {name} is {shown_value}, most {}", max.unwrap_or(0.0)));
                }
            }
            let cases = report.cases.first().map_or(String::new(), |case| format!(", first {}", case.what));
            failures.extend(
                report.broken.iter().map(|(rule, n)| format!("{at}: rule '{rule}' broken {n} times{cases}")),
            );
        }
        let worth = |reports: &[Report]| mean(&reports.iter().map(|r| r.worth).collect::<Vec<_>>());
        for (n, name) in band.baselines.iter().enumerate() {
            let from = first + (n + 1) * seeds;
            let baseline_worth = worth(&reports[from..from + seeds]);
            if worth(own_reports) < baseline_worth {
                let all = config.seeds.iter().map(u64::to_string).collect::<Vec<_>>().join(", ");
                failures.push(format!(
                    "{}, seeds {all}: worth is {:.3}, {name} serves {baseline_worth:.3}",
                    band.scenario,
                    worth(own_reports)
                ));
            }
        }
        let figures = band.bounds.keys().map(|name| {
            let values =
                own_reports.iter().map(|report| figure(name).and_then(|figure| figure(report, memory_kb)));
            let values: Vec<String> = values.map(|v| v.map_or("-".into(), |v| format!("{v:.3}"))).collect();
            format!("{name} {}", values.join(" "))
        });
        summary.push(format!("{}: {}", band.scenario, figures.collect::<Vec<_>>().join("; ")));
    }
    Ok((summary, failures))
}
