//! The result of a scale run, as it is kept in a file and read by whoever writes pages from it. Format 1.

use serde::{Deserialize, Serialize};

/// The version of the format.
pub const VERSION: u32 = 1;

/// A scale run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleResult {
    /// The version of the format.
    pub v: u32,
    /// `scale`.
    pub kind: String,
    /// The commit that was played; empty where it isn't known.
    pub commit: String,
    /// The command that played it.
    pub command: String,
    /// Cores of the machine.
    pub cores: usize,
    /// The seed of all that was drawn.
    pub seed: u64,
    /// A run for each size.
    pub runs: Vec<SizeRun>,
    /// One hollow sidecar against one real one, where that was played.
    pub hollow_real: Option<HollowReal>,
}

/// All days at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SizeRun {
    /// Endpoints listed.
    pub size: usize,
    /// Hollow sidecars that followed the list; fewer than endpoints where the run was shrunk.
    pub hollow: usize,
    /// Real ones beside them.
    pub real: usize,
    /// Control machines.
    #[serde(default)]
    pub controls: usize,
    /// Sidecars asked only for the services that they call.
    pub interest: bool,
    /// By what factor time was pressed together; 1 for none.
    pub pressed: f64,
    /// The days.
    pub days: Vec<ScenarioResult>,
}

/// What is said of a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// Every limit was kept.
    Kept,
    /// A limit was broken.
    Broken,
    /// The rig itself was late: nothing can be said.
    Void,
}

fn default_pressed() -> f64 {
    1.0
}

/// A day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioResult {
    /// Which.
    pub name: String,
    /// How long it was played, in seconds, with what came after its last change until that was in force.
    pub lasts_s: f64,
    /// By what factor its events were pressed together against the plan; 1 for none.
    #[serde(default = "default_pressed")]
    pub pressed: f64,
    /// What is said of it.
    pub verdict: Verdict,
    /// Why, with limit, seed, time and sidecar; empty where all was kept.
    pub why: Vec<String>,
    /// What was measured.
    pub figures: Vec<Figure>,
}

/// A figure over all of a role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// `sidecar`, `real` (a process of the program) or `control`.
    pub role: String,
    /// `in-force`, `bytes-in`, `messages-in`, `cpu`, `memory`; `bytes-out`, `messages-out` of control.
    pub name: String,
    /// `ms`, `bytes/s`, `messages/s`, `part-of-core` or `bytes`.
    pub unit: String,
    /// The median over the role.
    pub p50: Option<f64>,
    /// 99 in 100 are at or under this.
    pub p99: Option<f64>,
    /// The most of any.
    pub max: Option<f64>,
    /// The mean over the role.
    pub mean: Option<f64>,
    /// The most of any in any one second.
    pub most_1s: Option<f64>,
    /// The most of any in any 10 s, in the same unit; over the whole day where that was shorter.
    pub most_10s: Option<f64>,
    /// What it may be, where that is limited.
    pub limit: Option<f64>,
    /// The names of the last or largest ten.
    pub last: Vec<String>,
}

/// The same inputs to one hollow sidecar and one real one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowReal {
    /// Messages that discovery sent to the hollow and to the real one.
    pub messages: [u64; 2],
    /// Bytes that it sent.
    pub bytes: [u64; 2],
    /// Processor time of the hollow one as a part of the real one's.
    pub cpu_ratio: f64,
    /// Memory of the hollow one (allocated) as a part of the real one's (resident).
    pub memory_ratio: f64,
}
