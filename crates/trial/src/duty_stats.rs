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
struct Hold<'a> {
    holder: Option<&'a str>,
    since: u64,
    /// When it was lost, and how.
    lost: Option<(u64, LossKind)>,
    total: u64,
}

impl Hold<'_> {
    fn is(&self, process: &str) -> bool {
        self.holder == Some(process)
    }

    fn lose(&mut self, at: u64, how: LossKind) {
        if self.holder.take().is_some() {
            self.lost = Some((at, how));
            self.total += at.saturating_sub(self.since);
        }
    }
}

/// How long after it was told to end a holder's letting go counts as handing on, in microseconds.
const HANDS_ON: u64 = 2_000_000;

/// Counts a history.
#[must_use]
pub fn duty_stats(history: &[Event]) -> DutyStats {
    let mut found = DutyStats::default();
    let mut hold = Hold::default();
    let mut still: BTreeMap<&str, u64> = BTreeMap::new();
    let mut terms: BTreeMap<&str, u64> = BTreeMap::new();
    let mut first = None;
    let end = history.last().map_or(0, |event| event.at);
    for Event { at, what } in history {
        match what {
            EventKind::DutyEffect { accepted: true, .. } => found.effects += 1,
            EventKind::DutyEffect { accepted: false, .. } => found.fenced += 1,
            EventKind::FaultInjected { fault: Fault::Kill { process } } if hold.is(process) => {
                hold.lose(*at, LossKind::Kill)
            }
            EventKind::FaultInjected { fault: Fault::Stop { process } } => {
                still.insert(process, *at);
            }
            EventKind::FaultInjected { fault: Fault::Continue { process } } => {
                still.remove(process.as_str());
            }
            EventKind::FaultInjected { fault: Fault::Term { process } } => {
                terms.insert(process, *at);
            }
            EventKind::DutyReleased { process, .. } if hold.is(process) => {
                let term = terms.get(process.as_str()).filter(|term| *at < **term + HANDS_ON);
                hold.lose(*at, if term.is_some() { LossKind::Term } else { LossKind::Other });
            }
            EventKind::Down { process, .. } if hold.is(process) => hold.lose(*at, LossKind::Other),
            EventKind::DutyAcquired { process, .. } => {
                found.grants += 1;
                // One that stands still says nothing of its loss: it began when it stood still.
                if let Some(stood) = hold.holder.and_then(|before| still.get(before)) {
                    hold.lose(*stood, LossKind::Stall);
                }
                if let Some((gone, how)) = hold.lost.take() {
                    found.takeovers_ms.entry(how).or_default().push((at - gone) as f64 / 1e3);
                }
                first.get_or_insert(*at);
                (hold.holder, hold.since) = (Some(process.as_str()), *at);
            }
            _ => {}
        }
    }
    hold.lose(end, LossKind::Other);
    found.held_fraction = first.map_or(0.0, |first| hold.total as f64 / (end - first).max(1) as f64);
    found
}
