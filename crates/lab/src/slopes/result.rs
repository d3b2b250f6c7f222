//! A run of slopes as JSON: what was measured, by size and round, and the line through it. The capacity page is written
//! from this form; a change of it is another `v`.

use serde::{Deserialize, Serialize};

/// The version of this form.
pub const VERSION: u32 = 1;
/// What `kind` says.
pub const KIND: &str = "slopes";

/// One run: every figure from one command on one machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// The version of this form.
    pub v: u32,
    /// Always [`KIND`].
    pub kind: String,
    /// The commit that it was built from, as git abbreviates it; empty where that is not known.
    pub commit: String,
    /// How it was called.
    pub command: String,
    /// The processors of the machine.
    pub cores: usize,
    /// How often each size was measured.
    pub rounds: usize,
    /// `release` or `debug`, of the measuring program.
    pub profile: String,
    /// The figures, by name once each.
    pub figures: Vec<Figure>,
}

/// One figure against one driver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Its name, once in a run.
    pub name: String,
    /// What it is held against, as `known-servers`.
    pub driver: String,
    /// The unit of its values.
    pub unit: Unit,
    /// What it is, in one sentence.
    pub what: String,
    /// The values by size of the driver.
    pub points: Vec<Point>,
    /// What it grows like.
    pub form: Form,
    /// Where the line through the points begins.
    pub intercept: f64,
    /// What the line rises by for one more of the driver.
    pub slope: f64,
    /// The 95% interval of the slope, over the rounds.
    pub slope_low: f64,
    /// The same, its upper end.
    pub slope_high: f64,
    /// How far the points are from the line: root of the mean square, each as a part of its point.
    pub residual: f64,
}

/// The values at one size of the driver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub at: f64,
    /// One value a round.
    pub values: Vec<f64>,
}

/// What a value counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Microseconds of processor time.
    #[serde(rename = "us")]
    Micros,
    /// Bytes.
    #[serde(rename = "bytes")]
    Bytes,
    /// Messages.
    #[serde(rename = "messages")]
    Messages,
    /// Processor time over time: 1 is one core.
    #[serde(rename = "part-of-core")]
    PartOfCore,
}

/// What a figure grows like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// Not at all.
    Constant,
    /// Like the driver.
    Linear,
    /// Like the driver times its logarithm.
    NLogN,
    /// Like its square.
    Quadratic,
    /// The points do not tell.
    NotClear,
}
