//! A day's result: what was wanted and what became of it, by second and by cause, and what it cost over the whole fleet.

use crate::audit::Violation;
use crate::cold_start::ColdArrivals;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why a request was not served in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// Sent where nobody could answer: gone, cut off, silent, broken.
    Unreachable,
    /// It waited too long at a warm node, or found its queue full.
    Queueing,
    /// The same at a cold node.
    Cold,
    /// Its caller left, and a node worked for nobody.
    Wasted,
    /// Refused.
    Refused,
    /// Served after its aim.
    Late,
    /// No instance was there to take it.
    NoInstance,
}

impl Loss {
    /// All of them, as they are told.
    pub const ALL: [(Loss, &'static str); 7] = [
        (Loss::Unreachable, "no sight"),
        (Loss::Queueing, "queueing"),
        (Loss::Cold, "cold"),
        (Loss::Wasted, "wasted"),
        (Loss::Refused, "refused"),
        (Loss::Late, "late"),
        (Loss::NoInstance, "away"),
    ];

    /// Its name.
    #[must_use]
    pub fn name(self) -> &'static str {
        Loss::ALL.iter().find(|(loss, _)| *loss == self).map_or("", |(_, name)| name)
    }
}

/// One second of a day, over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// The worth that callers wanted, of requests first asked for in it.
    pub wanted: f64,
    /// Of it, what was served: all in time, a half until the deadline.
    pub served: f64,
    /// What was lost, by cause.
    pub lost: BTreeMap<String, f64>,
    /// Connections opened.
    pub opened: u64,
    /// Connections held at its end.
    pub held: u64,
    /// Probes sent.
    pub probes: u64,
    /// Calls for lists.
    pub calls: u64,
    /// Attempts that arrived at each node.
    pub arrived: Vec<u32>,
}

/// What went wrong, for the marks of a plot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The fault's name.
    pub name: String,
    /// When it began and ended, in seconds.
    pub from_s: f64,
    /// The same.
    pub to_s: f64,
}

/// A day's result. Figures are simulated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The version of this format.
    pub v: u32,
    /// The scenario.
    pub scenario: String,
    /// What was under test.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Requests that callers wanted served, with or without a second try.
    pub wanted: u64,
    /// The worth served, as a part of the worth wanted: all in time, a half until the deadline.
    pub worth: f64,
    /// Parts of those wanted, by how they ended.
    pub in_time: f64,
    /// Served after the aim.
    pub late: f64,
    /// Refused in the end.
    pub refused: f64,
    /// Failed in the end.
    pub failed: f64,
    /// Attempts for each request wanted.
    pub attempts: f64,
    /// Probes for each request wanted.
    pub probes: f64,
    /// Connections opened for each request wanted.
    pub connections: f64,
    /// Calls for lists by each instance in a minute.
    pub list_calls: f64,
    /// Calls for lists that were turned away, as a part of all.
    pub list_refused: f64,
    /// Milliseconds until served, from the first try.
    pub p50_ms: f64,
    /// The same at the 99th percentile.
    pub p99_ms: f64,
    /// From the end of the last cause until two seconds on end served 95% of what was before the first; nothing where no
    /// cause was planned, or where that was not seen before the end.
    pub recovery_s: Option<f64>,
    /// The most that a cold node was sent, against what pushes it over.
    pub worst_cold: f64,
    /// What came nearest to the limit of a cold node over all instances, or went furthest beyond, of what instances that
    /// had been told of its start answer for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_peak: Option<ColdArrivals>,
    /// The most connections at one node.
    pub most_connections: usize,
    /// The most requests that one instance held.
    pub held: usize,
    /// The worth lost by cause, as a part of the worth wanted.
    pub losses: BTreeMap<String, f64>,
    /// Attempts by how they ended.
    pub outcomes: BTreeMap<String, u64>,
    /// The part of the worth wanted in each second that was served.
    pub worth_by_second: Vec<f64>,
    /// How often each rule was broken.
    pub broken: BTreeMap<String, u64>,
    /// The first cases.
    pub cases: Vec<Violation>,
    /// Each second, where that was asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seconds: Vec<Second>,
    /// What went wrong when, with the seconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub marks: Vec<Mark>,
}

/// From the end of the last cause, in seconds, until two seconds on end served 95% of the goodput before the first.
#[must_use]
pub fn recovery_seconds(seconds: &[Second], troubled: Option<(u64, u64)>, lasts: u64) -> Option<f64> {
    let (first, over) = troubled?;
    let part = |seconds: &[Second]| {
        let (served, wanted) = seconds.iter().fold((0.0, 0.0), |(s, w), n| (s + n.served, w + n.wanted));
        if wanted > 0.0 { served / wanted } else { 1.0 }
    };
    let second = |us: u64| (us as f64 / 1e6).ceil() as usize;
    // The first second warms up.
    let before = part(seconds.get(1..(first / 1_000_000) as usize).filter(|s| !s.is_empty())?);
    let last = (lasts / 1_000_000) as usize;
    let from = second(over);
    (from..last.saturating_sub(1))
        .find(|n| seconds.get(*n..n + 2).is_some_and(|two| part(two) >= 0.95 * before))
        .map(|n| (n as f64 - over as f64 / 1e6).max(0.0))
}

#[cfg(test)]
mod tests;
