//! What a call has added by its sidecar: the result file of `added`, that pages are written from.

use serde::{Deserialize, Serialize};

/// The version of the result file.
pub const VERSION: u32 = 1;

/// What the letter allows a sidecar to add to a call, for 99 in 100, in microseconds.
pub const LIMIT_US: f64 = 1600.0;

/// The result file of `added`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Added {
    /// The version of this format.
    pub v: u32,
    /// `added`.
    pub kind: String,
    /// The commit that was measured, empty where it is not known.
    pub commit: String,
    /// How it was called.
    pub command: String,
    /// Processors of the machine.
    pub cores: usize,
    /// The seed.
    pub seed: u64,
    /// How often each point was played.
    pub rounds: usize,
    /// `release` or `debug`.
    pub profile: String,
    /// A point for each number of servers known.
    pub points: Vec<Point>,
}

/// What was measured of one number of servers known, over all rounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Servers on the list that a sidecar is told.
    pub known: usize,
    /// Calls a second through each sidecar, and as many the direct way.
    pub rate: f64,
    /// Sidecars that a call goes through.
    pub depth: usize,
    /// Sidecars beside one another, each with a caller of its own.
    pub real: usize,
    /// Its configuration names the services that it calls.
    pub interest: bool,
    /// The direct way to the same stand-in servers: the median, in microseconds from when a call was due.
    pub direct_p50_us: f64,
    /// The direct way, 99 in 100.
    pub direct_p99_us: f64,
    /// Through the sidecar: the median of those served.
    pub through_p50_us: f64,
    /// Through the sidecar, 99 in 100 of those served.
    pub through_p99_us: f64,
    /// The difference of the medians.
    pub added_p50_us: f64,
    /// The difference of what 99 in 100 had.
    pub added_p99_us: f64,
    /// The lower end of its 95% interval.
    pub added_p99_low_us: f64,
    /// The upper end of its 95% interval.
    pub added_p99_high_us: f64,
    /// Processor time of a sidecar for each call through it, with what it does besides calls.
    pub cpu_us_a_call: f64,
    /// The most memory a sidecar had resident at the end of a round, in bytes.
    pub rss_bytes: u64,
    /// Calls through sidecars that were served.
    pub answered: u64,
    /// Calls through sidecars that were answered 429 or 503.
    pub refused: u64,
    /// Calls through sidecars with any other answer, with none, or not sent as too many were out.
    pub lost: u64,
    /// What can be said.
    pub verdict: Said,
    /// Why it is not kept.
    pub why: Vec<String>,
}

/// What can be said of a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Said {
    /// Every limit and rule held.
    Kept,
    /// One did not.
    Broken,
    /// Nothing can be said.
    Void,
}
