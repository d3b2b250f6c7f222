//! Result file of a scale run, format version 1. The capacity page is written from it.

use serde::{Deserialize, Serialize};

/// Version of the format.
pub const VERSION: u32 = 1;

/// Result of a scale run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleResult {
    /// Format version, [`VERSION`].
    pub v: u32,
    /// `scale`.
    pub kind: String,
    /// The commit that was run; empty where it is unknown.
    pub commit: String,
    /// The command line.
    pub command: String,
    /// Number of processors of the machine.
    pub cores: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// One entry for each size.
    pub runs: Vec<SizeRun>,
    /// Comparison of a hollow sidecar with a real one, where real ones were run.
    pub hollow_real: Option<HollowReal>,
}

/// All scenarios at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SizeRun {
    /// Number of endpoints on the list.
    pub size: usize,
    /// Number of hollow sidecars; fewer than endpoints where `--shrink` was given.
    pub hollow: usize,
    /// Number of real sidecars.
    pub real: usize,
    /// Number of control machines.
    #[serde(default)]
    pub controls: usize,
    /// Sidecars requested only the services that they call.
    pub interest: bool,
    /// Factor by which time was compressed; 1 for none.
    pub pressed: f64,
    /// The scenarios.
    pub days: Vec<ScenarioResult>,
}

/// Verdict on a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// All limits were met.
    Kept,
    /// A limit was exceeded.
    Broken,
    /// Timers of the rig itself were late, so nothing can be concluded.
    Void,
}

fn default_pressed() -> f64 {
    1.0
}

/// Result of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub name: String,
    /// Duration in seconds, including the time until its last change was in force.
    pub lasts_s: f64,
    /// Factor by which events followed each other faster than in the plan; 1 for none.
    #[serde(default = "default_pressed")]
    pub pressed: f64,
    /// The verdict.
    pub verdict: Verdict,
    /// Reasons, with limit, seed, time and sidecar; empty where all limits were met.
    pub why: Vec<String>,
    /// Measured figures.
    pub figures: Vec<Figure>,
}

/// A figure over all processes of a role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// `sidecar`, `real` (a process of the program) or `control`.
    pub role: String,
    /// `in-force`, `bytes-in`, `messages-in`, `cpu`, `memory`; `bytes-out`, `messages-out` of control.
    pub name: String,
    /// `ms`, `bytes/s`, `messages/s`, `part-of-core` or `bytes`.
    pub unit: String,
    /// Median over the role.
    pub p50: Option<f64>,
    /// 99th percentile over the role.
    pub p99: Option<f64>,
    /// Largest value of any process.
    pub max: Option<f64>,
    /// Mean over the role.
    pub mean: Option<f64>,
    /// Largest value of any process in any second.
    pub most_1s: Option<f64>,
    /// Largest value of any process in any 10 s, in the same unit; over the whole scenario where that was shorter.
    pub most_10s: Option<f64>,
    /// The limit, where there is one.
    pub limit: Option<f64>,
    /// Names of the ten latest or largest.
    pub last: Vec<String>,
}

/// A hollow sidecar and a real one compared on the same inputs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowReal {
    /// Messages that discovery sent to the hollow sidecar and to the real one.
    pub messages: [u64; 2],
    /// Bytes that discovery sent to each.
    pub bytes: [u64; 2],
    /// Processor time of the hollow sidecar divided by the real one's.
    pub cpu_ratio: f64,
    /// Memory of the hollow sidecar (allocated) divided by the real one's (resident).
    pub memory_ratio: f64,
}
