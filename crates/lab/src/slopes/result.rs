//! JSON result of a `slopes` run: the measured values by size and round, and the line through them. The capacity page
//! reads this format; a change of the format needs another `v`.

use serde::{Deserialize, Serialize};

/// Version of this format.
pub const VERSION: u32 = 1;
/// Value of `kind`.
pub const KIND: &str = "slopes";

/// One run: all figures of one command on one machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// Format version, [`VERSION`].
    pub v: u32,
    /// Always [`KIND`].
    pub kind: String,
    /// Abbreviated commit of the working folder; empty where it is unknown.
    pub commit: String,
    /// The command line.
    pub command: String,
    /// Number of processors of the machine.
    pub cores: usize,
    /// Number of times each size was measured.
    pub rounds: usize,
    /// `release` or `debug`, of the measuring program.
    pub profile: String,
    /// The figures; each name occurs once.
    pub figures: Vec<Figure>,
}

/// One figure against one driver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Name, unique in a run.
    pub name: String,
    /// The quantity that is varied, such as `known-servers`.
    pub driver: String,
    /// Unit of the values.
    pub unit: Unit,
    /// Description in one sentence.
    pub what: String,
    /// Values by size of the driver.
    pub points: Vec<Point>,
    /// How it grows with the driver.
    pub form: Form,
    /// Intercept of the line through the points.
    pub intercept: f64,
    /// Slope of the line, for each unit of the driver.
    pub slope: f64,
    /// Lower end of the slope's 95% interval, over the rounds.
    pub slope_low: f64,
    /// Upper end of the slope's 95% interval.
    pub slope_high: f64,
    /// Root mean square distance of the points from the line, relative to each point.
    pub residual: f64,
}

/// Values at one size of the driver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub at: f64,
    /// One value for each round.
    pub values: Vec<f64>,
}

/// Unit of a value.
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

/// How a figure grows with its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// Does not grow.
    Constant,
    /// Proportional to the driver, plus a constant.
    Linear,
    /// Proportional to the driver times its logarithm, plus a constant.
    NLogN,
    /// Proportional to the driver's square, plus a constant.
    Quadratic,
    /// The points do not determine a form.
    NotClear,
}
