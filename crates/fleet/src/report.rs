//! The result of a simulation: the wanted and served worth by second, losses by cause, and the costs of the whole
//! fleet.

use crate::audit::Violation;
use crate::cold_start::ColdArrivals;
use crate::scenario::Period;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why a request was not served in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// Sent to a server that could not answer: dead, unreachable, unresponsive or failing.
    Unreachable,
    /// It waited too long at a warm node, or the queue of the node was full.
    Queueing,
    /// The same at a cold node.
    Cold,
    /// Its caller disconnected, and the work was wasted.
    Wasted,
    /// Refused.
    Refused,
    /// Served after its aim.
    Late,
    /// The caller had no instance.
    NoInstance,
}

impl Loss {
    /// All causes with their names in reports.
    pub const ALL: [(Loss, &'static str); 7] = [
        (Loss::Unreachable, "no sight"),
        (Loss::Queueing, "queueing"),
        (Loss::Cold, "cold"),
        (Loss::Wasted, "wasted"),
        (Loss::Refused, "refused"),
        (Loss::Late, "late"),
        (Loss::NoInstance, "away"),
    ];

    /// Its name in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        Loss::ALL.iter().find(|(loss, _)| *loss == self).map_or("", |(_, name)| name)
    }
}

/// One second of a simulation, over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// The worth wanted by callers, of requests first sent in this second.
    pub wanted: f64,
    /// The worth served: the full worth in time, half of it until the deadline.
    pub served: f64,
    /// The worth lost, by cause.
    pub lost: BTreeMap<String, f64>,
    /// Connections opened.
    pub opened: u64,
    /// Connections open at its end.
    pub held: u64,
    /// Probes sent.
    pub probes: u64,
    /// Calls to discovery.
    pub calls: u64,
    /// Attempts that arrived at each node.
    pub arrived: Vec<u32>,
}

/// A fault, for the marks of a plot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The fault's name.
    pub name: String,
    /// When it began, in seconds.
    pub from_s: f64,
    /// When it ended, in seconds.
    pub to_s: f64,
}

/// The result of a simulation. Its figures are simulated, not measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The version of this format.
    pub v: u32,
    /// The scenario.
    pub scenario: String,
    /// The policy under test.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Requests of callers, each counted once whatever its retries.
    pub wanted: u64,
    /// The worth served, as a part of the worth wanted: the full worth in time, half of it until the deadline.
    pub worth: f64,
    /// The part of requests served in time.
    pub in_time: f64,
    /// The part of requests served after the aim.
    pub late: f64,
    /// The part of requests refused after all retries.
    pub refused: f64,
    /// The part of requests failed after all retries.
    pub failed: f64,
    /// Attempts per request.
    pub attempts: f64,
    /// Probes per request.
    pub probes: f64,
    /// Connections opened per request.
    pub connections: f64,
    /// Calls to discovery per instance and minute.
    pub list_calls: f64,
    /// The part of calls to discovery that were refused.
    pub list_refused: f64,
    /// The median latency in milliseconds, from the first try.
    pub p50_ms: f64,
    /// The 99th percentile of latency in milliseconds.
    pub p99_ms: f64,
    /// Seconds from the end of the last fault until two consecutive seconds served 95% of what was served before the
    /// first fault; `None` if there was no fault or no recovery before the end.
    pub recovery_s: Option<f64>,
    /// The highest ratio of the work sent to a cold node to the work that overloads it.
    pub worst_cold: f64,
    /// The arrivals that came closest to the limit of a cold node, over all instances, or exceeded it most, among those
    /// that notified instances are responsible for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_peak: Option<ColdArrivals>,
    /// The highest number of open connections of a node.
    pub most_connections: usize,
    /// The highest number of open requests of an instance.
    pub held: usize,
    /// The worth lost by cause, as a part of the worth wanted.
    pub losses: BTreeMap<String, f64>,
    /// Attempts by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// The part of the worth wanted in each second that was served.
    pub worth_by_second: Vec<f64>,
    /// The number of violations of each rule.
    pub broken: BTreeMap<String, u64>,
    /// The first violations.
    pub cases: Vec<Violation>,
    /// Each second, if requested.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seconds: Vec<Second>,
    /// The faults, if seconds are requested.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub marks: Vec<Mark>,
}

/// The part of the goodput before the first fault at which the fleet has recovered.
const RECOVERED_PART: f64 = 0.95;

/// Seconds from the end of the last fault until two consecutive seconds served 95% of the goodput before the first
/// fault.
#[must_use]
pub fn recovery_seconds(seconds: &[Second], faults: Option<Period>, lasts: u64) -> Option<f64> {
    let Period { begin, end } = faults?;
    let part = |seconds: &[Second]| {
        let (served, wanted) = seconds.iter().fold((0.0, 0.0), |(s, w), n| (s + n.served, w + n.wanted));
        if wanted > 0.0 { served / wanted } else { 1.0 }
    };
    let second = |us: u64| (us as f64 / 1e6).ceil() as usize;
    // The first second is excluded: the simulation warms up.
    let before = part(seconds.get(1..(begin / 1_000_000) as usize).filter(|s| !s.is_empty())?);
    let last = (lasts / 1_000_000) as usize;
    let from = second(end);
    (from..last.saturating_sub(1))
        .find(|n| seconds.get(*n..n + 2).is_some_and(|two| part(two) >= RECOVERED_PART * before))
        .map(|n| (n as f64 - end as f64 / 1e6).max(0.0))
}

#[cfg(test)]
mod tests;
