//! Whether days at size still go as they did: each figure of each seed against a stored band, and the worth against that
//! of the baselines on the same seeds. The band is a file beside the scenarios, `gate.toml`.

use crate::days::{Day, File, mean, play_all, policy_of};
use crate::memory;
use anyhow::{Context, Result, bail};
use dunlincleat_fleet::report::Report;
use dunlincleat_fleet::scenario::Scenario;
use dunlincleat_fleet::template::{line_at, line_of};
use dunlincleat_fleet::world::Policy;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// The file of bands.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Bands {
    /// The part of the fleet that is played.
    scale: f64,
    /// The seeds of each scenario.
    seeds: Vec<u64>,
    #[serde(rename = "day")]
    days: Vec<Band>,
}

/// What one scenario has to keep to.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Band {
    /// The scenario's file, without its ending.
    scenario: String,
    /// The part of the fleet that is played, where it is another.
    scale: Option<f64>,
    /// The policies that it serves at least as well as, in the mean of the seeds.
    #[serde(default)]
    beats: Vec<String>,
    /// Bounds, by figure.
    band: BTreeMap<String, Bound>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct Bound {
    least: Option<f64>,
    most: Option<f64>,
}

/// A figure of a report and of the memory that was measured beside it; nothing where it was not seen.
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

impl Bands {
    fn read(path: &Path) -> Result<Bands> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let bands: Bands = toml::from_str(&text).with_context(|| path.display().to_string())?;
        let wrong = |key: String, what: String| {
            let line = line_of(&text, &key).unwrap_or_else(|| line_at(&text, 0));
            Err(anyhow::anyhow!("{}: line {line}: {key}: {what}", path.display()))
        };
        if !(0.005..=1.0).contains(&bands.scale) {
            return wrong("scale".into(), format!("{} is not from 0.005 to 1", bands.scale));
        }
        if bands.seeds.is_empty() {
            return wrong("seeds".into(), "none; there is at least one".into());
        }
        for (n, day) in bands.days.iter().enumerate() {
            if day.scale.is_some_and(|scale| !(0.005..=1.0).contains(&scale)) {
                let scale = day.scale.unwrap_or(0.0);
                return wrong(format!("day[{n}].scale"), format!("{scale} is not from 0.005 to 1"));
            }
            for name in &day.beats {
                if let Err(error) = policy_of(name) {
                    return wrong(format!("day[{n}].beats"), error.to_string());
                }
            }
            let known = FIGURES.map(|(name, _)| name).join(", ");
            for (name, bound) in &day.band {
                let key = format!("day[{n}].band.{name}");
                if figure(name).is_none() {
                    return wrong(key, format!("no such figure; right would be one of {known}"));
                }
                if bound.least.is_none() && bound.most.is_none() {
                    return wrong(key, "neither least nor most; there is one of them at the least".into());
                }
            }
        }
        Ok(bands)
    }
}

/// Plays the gate of a folder. Gives what it shows, line by line, and what fails.
pub fn gate(folder: &Path, policy: Policy) -> Result<(Vec<String>, Vec<String>)> {
    let path = folder.join("gate.toml");
    let bands = Bands::read(&path)?;
    let mut days: Vec<Day> = Vec::new();
    let mut slots = Vec::new();
    for band in &bands.days {
        let file = File::read(&folder.join(format!("{}.toml", band.scenario)))?;
        let scenario =
            |seed| -> Result<Scenario> { Ok(file.drawn(seed)?.scaled(band.scale.unwrap_or(bands.scale))) };
        let mut policies = vec![policy];
        policies.extend(band.beats.iter().map(|name| policy_of(name)).collect::<Result<Vec<_>>>()?);
        let first = days.len();
        for policy in policies {
            for seed in &bands.seeds {
                days.push(Day { scenario: scenario(*seed)?, policy, seed: *seed });
            }
        }
        slots.push(first);
    }
    if days.is_empty() {
        bail!("{}: day: none; there is at least one", path.display());
    }
    let reports = play_all(&days, false, |_, _| {})?;
    let (mut shown, mut fails) = (Vec::new(), Vec::new());
    let seeds = bands.seeds.len();
    for (band, first) in bands.days.iter().zip(slots) {
        let memory_kb = if band.band.contains_key("memory_kb") {
            let Day { scenario, policy, seed } = &days[first];
            Some(memory::an_instance(scenario, *policy, *seed)? / 1024.0)
        } else {
            None
        };
        let own = &reports[first..first + seeds];
        for report in own {
            let at = format!("{}, seed {}", band.scenario, report.seed);
            for (name, Bound { least, most }) in &band.band {
                let value = figure(name).and_then(|figure| figure(report, memory_kb));
                let told = value.map_or("not seen".to_owned(), |value| format!("{value:.3}"));
                if least.is_some_and(|least| value.is_none_or(|value| value < least)) {
                    fails.push(format!("{at}: {name} is {told}, least {}", least.unwrap_or(0.0)));
                }
                if most.is_some_and(|most| value.is_none_or(|value| value > most)) {
                    fails.push(format!("{at}: {name} is {told}, most {}", most.unwrap_or(0.0)));
                }
            }
            let cases = report.cases.first().map_or(String::new(), |case| format!(", first {}", case.what));
            fails.extend(
                report.broken.iter().map(|(rule, n)| format!("{at}: rule '{rule}' broken {n} times{cases}")),
            );
        }
        let worth = |reports: &[Report]| mean(&reports.iter().map(|r| r.worth).collect::<Vec<_>>());
        for (n, name) in band.beats.iter().enumerate() {
            let from = first + (n + 1) * seeds;
            let theirs = worth(&reports[from..from + seeds]);
            if worth(own) < theirs {
                let all = bands.seeds.iter().map(u64::to_string).collect::<Vec<_>>().join(", ");
                fails.push(format!(
                    "{}, seeds {all}: worth is {:.3}, {name} serves {theirs:.3}",
                    band.scenario,
                    worth(own)
                ));
            }
        }
        let figures = band.band.keys().map(|name| {
            let values = own.iter().map(|report| figure(name).and_then(|figure| figure(report, memory_kb)));
            let values: Vec<String> = values.map(|v| v.map_or("-".into(), |v| format!("{v:.3}"))).collect();
            format!("{name} {}", values.join(" "))
        });
        shown.push(format!("{}: {}", band.scenario, figures.collect::<Vec<_>>().join("; ")));
    }
    Ok((shown, fails))
}
