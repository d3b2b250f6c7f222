//! Statistics of a history with duties: effects carried out, and how long a duty had no holder after each kind of loss.
//! The holder is taken from the sidecars' logs, since it is not visible from outside; no verdict depends on these
//! figures. Pure.

use crate::history::{Event, EventKind};
use crate::schedule::Fault;
use serde::Serialize;
use std::collections::BTreeMap;

/// How a holder was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossKind {
    /// It was killed.
    Kill,
    /// It was stopped for longer than its lease.
    Stall,
    /// It was requested to terminate: a planned handover.
    Term,
    /// Any other reason: cut off, superseded by the voters, late itself.
    Other,
}

/// The statistics of one trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DutyStats {
    /// Effects that were carried out.
    pub effects: u64,
    /// Effects that a receiver refused for their fence.
    pub fenced: u64,
    /// Number of times the duty was acquired.
    pub grants: u64,
    /// Milliseconds from the loss of a holder to the next grant, by kind of loss.
    pub takeovers_ms: BTreeMap<LossKind, Vec<f64>>,
    /// The fraction of the time between the first grant and the last event in which a live instance held the duty
    /// according to the logs.
    #[serde(rename = "held")]
    pub held_fraction: f64,
}

/// When and how a holder was lost.
struct Loss {
    at: u64,
    kind: LossKind,
}

/// The holder of the duty, and its last loss.
#[derive(Default)]
struct HolderTracker<'a> {
    holder: Option<&'a str>,
    since: u64,
    last_loss: Option<Loss>,
    held_total: u64,
}

impl HolderTracker<'_> {
    fn is_held_by(&self, process: &str) -> bool {
        self.holder == Some(process)
    }

    fn lose(&mut self, at: u64, kind: LossKind) {
        if self.holder.take().is_some() {
            self.last_loss = Some(Loss { at, kind });
            self.held_total += at.saturating_sub(self.since);
        }
    }
}

/// A release within this time after the request to terminate counts as a handover, in microseconds.
const HANDOVER_US: u64 = 2_000_000;

/// Computes the statistics of a history.
#[must_use]
pub fn duty_stats(history: &[Event]) -> DutyStats {
    let mut stats = DutyStats::default();
    let mut tracker = HolderTracker::default();
    let mut stopped_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut terminating_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut first = None;
    let end = history.last().map_or(0, |event| event.at);
    for Event { at, what } in history {
        match what {
            EventKind::DutyEffect { accepted: true, .. } => stats.effects += 1,
            EventKind::DutyEffect { accepted: false, .. } => stats.fenced += 1,
            EventKind::FaultInjected { fault: Fault::Kill { process } } if tracker.is_held_by(process) => {
                tracker.lose(*at, LossKind::Kill)
            }
            EventKind::FaultInjected { fault: Fault::Stop { process } } => {
                stopped_since.insert(process, *at);
            }
            EventKind::FaultInjected { fault: Fault::Continue { process } } => {
                stopped_since.remove(process.as_str());
            }
            EventKind::FaultInjected { fault: Fault::Term { process } } => {
                terminating_since.insert(process, *at);
            }
            EventKind::DutyReleased { process, .. } if tracker.is_held_by(process) => {
                let handover =
                    terminating_since.get(process.as_str()).filter(|term| *at < **term + HANDOVER_US);
                tracker.lose(*at, if handover.is_some() { LossKind::Term } else { LossKind::Other });
            }
            EventKind::Down { process, .. } if tracker.is_held_by(process) => {
                tracker.lose(*at, LossKind::Other)
            }
            EventKind::DutyAcquired { process, .. } => {
                stats.grants += 1;
                // A stopped holder does not log its loss; the loss dates from when it was stopped.
                if let Some(stopped) = tracker.holder.and_then(|before| stopped_since.get(before)) {
                    tracker.lose(*stopped, LossKind::Stall);
                }
                if let Some(loss) = tracker.last_loss.take() {
                    stats.takeovers_ms.entry(loss.kind).or_default().push((at - loss.at) as f64 / 1e3);
                }
                first.get_or_insert(*at);
                tracker.holder = Some(process.as_str());
                tracker.since = *at;
            }
            _ => {}
        }
    }
    tracker.lose(end, LossKind::Other);
    stats.held_fraction = first.map_or(0.0, |first| tracker.held_total as f64 / (end - first).max(1) as f64);
    stats
}
