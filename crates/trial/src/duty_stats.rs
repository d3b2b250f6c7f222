//! Figures of a history with duties: what was carried out, and how long a duty was nobody's after each kind of loss. Who held it
//! is taken from the sidecars' logs, as nobody outside can see it; no verdict stands on them. Pure.

use crate::history::{Event, EventKind};
use crate::schedule::Fault;
use serde::Serialize;
use std::collections::BTreeMap;

/// How the holder was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossKind {
    /// Killed.
    Kill,
    /// It stood still for longer than it held.
    Stall,
    /// Told to end: a planned handover.
    Term,
    /// Anything else: cut off, out-voted, late itself.
    Other,
}

/// The figures of one trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DutyStats {
    /// Effects that were carried out.
    pub effects: u64,
    /// Effects that a receiver refused for their fence.
    pub fenced: u64,
    /// Grants.
    pub grants: u64,
    /// From the loss of a holder to the next grant, in milliseconds, by kind.
    pub takeovers_ms: BTreeMap<LossKind, Vec<f64>>,
    /// The part of the time from the first grant to the last event in which the logs name a holder that lives.
    #[serde(rename = "held")]
    pub held_fraction: f64,
}

/// Who holds it, and since when it is nobody's.
#[derive(Default)]
struct HolderTracker<'a> {
    holder: Option<&'a str>,
    since: u64,
    /// When it was lost, and how.
    lost: Option<(u64, LossKind)>,
    held_total: u64,
}

impl HolderTracker<'_> {
    fn is_held_by(&self, process: &str) -> bool {
        self.holder == Some(process)
    }

    fn lose(&mut self, at: u64, kind: LossKind) {
        if self.holder.take().is_some() {
            self.lost = Some((at, kind));
            self.held_total += at.saturating_sub(self.since);
        }
    }
}

/// How long after it was told to end a holder's letting go counts as handing on, in microseconds.
const HANDOVER_US: u64 = 2_000_000;

/// Counts a history.
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
                // One that stands still says nothing of its loss: it began when it stood still.
                if let Some(stopped) = tracker.holder.and_then(|before| stopped_since.get(before)) {
                    tracker.lose(*stopped, LossKind::Stall);
                }
                if let Some((lost_at, kind)) = tracker.lost.take() {
                    stats.takeovers_ms.entry(kind).or_default().push((at - lost_at) as f64 / 1e3);
                }
                first.get_or_insert(*at);
                (tracker.holder, tracker.since) = (Some(process.as_str()), *at);
            }
            _ => {}
        }
    }
    tracker.lose(end, LossKind::Other);
    stats.held_fraction = first.map_or(0.0, |first| tracker.held_total as f64 / (end - first).max(1) as f64);
    stats
}
