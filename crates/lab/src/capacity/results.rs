//! Reads result files of `slopes`, `scale` and `added`, format version 1 of each. Another kind or version is an error that
//! names the file. Fields that the page does not use are ignored.

use anyhow::{Context, Result, bail};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// How a figure grows with its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    Constant,
    Linear,
    NLogN,
    Quadratic,
    NotClear,
}

impl Form {
    pub fn name(self) -> &'static str {
        match self {
            Form::Constant => "constant",
            Form::Linear => "linear",
            Form::NLogN => "n log n",
            Form::Quadratic => "quadratic",
            Form::NotClear => "not clear",
        }
    }
}

/// Values at one size of a driver, one for each round.
#[derive(Clone, Debug, Deserialize)]
pub struct At {
    pub at: f64,
    pub values: Vec<f64>,
}

/// A figure against one driver, and the line through its points.
#[derive(Clone, Debug, Deserialize)]
pub struct Slope {
    pub name: String,
    pub driver: String,
    pub unit: String,
    pub points: Vec<At>,
    pub form: Form,
    pub intercept: f64,
    pub slope: f64,
    pub slope_low: f64,
    pub slope_high: f64,
    pub residual: f64,
}

/// Verdict on a scenario or a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    Kept,
    Broken,
    Void,
}

impl Verdict {
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Kept => "kept",
            Verdict::Broken => "broken",
            Verdict::Void => "void",
        }
    }
}

/// A figure over all processes of a role in a scenario.
#[derive(Clone, Debug, Deserialize)]
pub struct Seen {
    pub role: String,
    pub name: String,
    pub unit: String,
    pub p50: Option<f64>,
    pub p99: Option<f64>,
    pub max: Option<f64>,
    pub mean: Option<f64>,
    pub most_1s: Option<f64>,
    pub most_10s: Option<f64>,
}

/// A scenario of a scale run.
#[derive(Clone, Debug, Deserialize)]
pub struct Day {
    pub name: String,
    pub lasts_s: f64,
    /// Factor by which its events were compressed in time, where recorded for the scenario.
    #[serde(default)]
    pub pressed: Option<f64>,
    pub verdict: Verdict,
    #[serde(default)]
    pub why: Vec<String>,
    pub figures: Vec<Seen>,
}

/// All scenarios at one size.
#[derive(Clone, Debug, Deserialize)]
pub struct Run {
    pub size: u32,
    pub hollow: u32,
    pub real: u32,
    pub interest: bool,
    pub pressed: f64,
    pub days: Vec<Day>,
}

impl Run {
    /// Factor by which a scenario's events were compressed in time; 1 for none.
    pub fn pressed(&self, day: &Day) -> f64 {
        day.pressed.unwrap_or(self.pressed)
    }
}

/// A hollow sidecar and a real one compared on the same inputs, in this order.
#[derive(Clone, Debug, Deserialize)]
pub struct HollowReal {
    pub messages: [u64; 2],
    pub bytes: [u64; 2],
    pub cpu_ratio: f64,
    pub memory_ratio: f64,
}

/// Latency that real sidecars added to a call.
#[derive(Clone, Debug, Deserialize)]
pub struct Added {
    /// Servers on the list, whatever the sidecar requests.
    pub known: u32,
    pub rate: f64,
    pub depth: u32,
    pub real: u32,
    pub interest: bool,
    pub direct_p99_us: f64,
    pub through_p99_us: f64,
    pub added_p50_us: f64,
    pub added_p99_us: f64,
    pub added_p99_low_us: f64,
    pub added_p99_high_us: f64,
    pub cpu_us_a_call: f64,
    pub rss_bytes: f64,
    pub answered: u64,
    pub refused: u64,
    pub lost: u64,
    pub verdict: Verdict,
    #[serde(default)]
    pub why: Vec<String>,
}

/// A result file, as named on the page.
#[derive(Clone, Debug)]
pub struct Source {
    /// File name without its extension.
    pub name: String,
    pub kind: String,
    pub commit: String,
    pub command: String,
    pub cores: u64,
    pub rounds: Option<u64>,
    pub seed: Option<u64>,
    /// `release` or `debug`, where recorded.
    pub profile: Option<String>,
}

/// All results, each with the name of its file.
#[derive(Default)]
pub struct Results {
    pub sources: Vec<Source>,
    /// Slopes by name, without the interest set and with it.
    pub slopes: [BTreeMap<String, (String, Slope)>; 2],
    pub runs: Vec<(String, Run)>,
    pub hollow_real: Vec<(String, HollowReal)>,
    pub added: Vec<(String, Added)>,
}

fn part<T: serde::de::DeserializeOwned>(value: &Value, key: &str) -> Result<T> {
    T::deserialize(value.get(key).unwrap_or(&Value::Null)).with_context(|| key.to_owned())
}

impl Results {
    /// Reads all files.
    ///
    /// # Errors
    ///
    /// A file cannot be read, has an unknown kind or version, or repeats a result of another file; with its name.
    pub fn read(paths: &[impl AsRef<Path>]) -> Result<Results> {
        let mut all = Results::default();
        for path in paths {
            let path = path.as_ref();
            all.add(path).with_context(|| path.display().to_string())?;
        }
        all.sources.sort_by(|a, b| a.name.cmp(&b.name));
        all.runs.sort_by_key(|(_, run)| (run.size, run.interest));
        all.hollow_real.sort_by(|a, b| a.0.cmp(&b.0));
        all.added.sort_by_key(|(_, a)| (a.depth, a.known, a.rate.to_bits(), a.interest));
        Ok(all)
    }

    fn add(&mut self, path: &Path) -> Result<()> {
        let value: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
        let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        let kind: String = part(&value, "kind")?;
        let version: u64 = part(&value, "v")?;
        if version != 1 {
            bail!("v: {version} is no version that is known; right would be 1");
        }
        if self.sources.iter().any(|source| source.name == name) {
            bail!("another file of this name was given");
        }
        match kind.as_str() {
            "slopes" => {
                let side = usize::from(name.ends_with("-interest"));
                for slope in part::<Vec<Slope>>(&value, "figures")? {
                    if slope.points.is_empty() || slope.points.iter().any(|point| point.values.is_empty()) {
                        bail!("{}: it has no values", slope.name);
                    }
                    let key = slope.name.clone();
                    if let Some((other, _)) = self.slopes[side].insert(key.clone(), (name.clone(), slope)) {
                        bail!("{key}: {other} has told it too; give one of them");
                    }
                }
            }
            "scale" => {
                for run in part::<Vec<Run>>(&value, "runs")? {
                    let same =
                        |other: &&(String, Run)| other.1.size == run.size && other.1.interest == run.interest;
                    if let Some((other, _)) = self.runs.iter().find(same) {
                        bail!("size {}: {other} has told it too; give one of them", run.size);
                    }
                    self.runs.push((name.clone(), run));
                }
                if let Some(ratio) = part::<Option<HollowReal>>(&value, "hollow_real")? {
                    self.hollow_real.push((name.clone(), ratio));
                }
            }
            "added" => {
                let points = part::<Vec<Added>>(&value, "points")?;
                self.added.extend(points.into_iter().map(|point| (name.clone(), point)));
            }
            _ => bail!("kind: '{kind}' isn't known; right would be slopes, scale or added"),
        }
        self.sources.push(Source {
            name,
            kind,
            commit: part::<Option<String>>(&value, "commit")?.unwrap_or_default(),
            command: part::<Option<String>>(&value, "command")?.unwrap_or_default(),
            cores: part(&value, "cores")?,
            rounds: part(&value, "rounds")?,
            seed: part(&value, "seed")?,
            profile: part(&value, "profile")?,
        });
        Ok(())
    }

    /// A slope by name; with `interest`, of a run with the interest set where one was given.
    pub fn slope(&self, name: &str, interest: bool) -> Option<(&str, &Slope)> {
        let of = |side: usize| self.slopes[side].get(name).map(|(file, slope)| (file.as_str(), slope));
        if interest { of(1).or_else(|| of(0)) } else { of(0) }
    }
}
