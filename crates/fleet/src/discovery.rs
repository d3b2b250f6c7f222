//! The discovery service that notifies instances of servers, with its limits: calls are answered in order, the queue of
//! calls is bounded, and each call takes time whether or not its caller still waits. A pure state machine: it is given
//! calls and changes and returns which instance receives what, and when. It owns the open watches; one is closed by
//! [`DiscoveryService::close`] or when its instance ends.
//!
//! The other side is `crates/directory`, as in the sidecar. A model that notifies the engine directly, with a random
//! delay for each change, could not show how calls that are abandoned and repeated crowd out others.

use crate::node::NodeProcess;
use crate::scenario::DiscoveryLimits;
use dunlincleat::api::State;
use dunlincleat_directory::{CallKind, Entry, Listing, WatchId};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;

/// A change of the list, and the process that it is about, for the auditor.
#[derive(Clone, Debug)]
pub struct ListChange {
    /// The revision of the list.
    pub rev: u64,
    /// The entry as it is published.
    pub entry: Entry,
    /// The process that the entry is about.
    pub process: NodeProcess,
}

/// The state of a process as a line reports it.
#[derive(Clone, Copy, Debug)]
pub struct ListedProcess {
    /// The process.
    pub process: NodeProcess,
    /// Its state in the list.
    pub state: State,
}

impl ListedProcess {
    fn of(change: &ListChange) -> ListedProcess {
        ListedProcess { process: change.process, state: change.entry.state }
    }
}

/// A line on its way to an instance.
#[derive(Clone, Debug)]
pub struct Line {
    /// When it arrives.
    pub at: u64,
    /// The instance.
    pub instance: u32,
    /// The watch that it belongs to.
    pub watch: WatchId,
    /// What it announces; `None` for a heartbeat.
    pub listing: Option<Listing>,
    /// The processes that it reports.
    pub processes: Vec<ListedProcess>,
}

/// The outcome of a call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// It is answered with this line and is an open watch from then on.
    Opened(Line),
    /// It is refused at this time: the queue is full.
    Refused(u64),
    /// It is not answered: the service is silent.
    NoAnswer,
}

/// Calls since they were last counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// All calls.
    pub received: u64,
    /// Those of them that were refused.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    /// The last revision sent on it.
    rev: u64,
    /// When the last line arrives: lines of a watch keep their order.
    last: u64,
}

/// The discovery service.
pub struct DiscoveryService {
    limits: DiscoveryLimits,
    rev: u64,
    /// The latest change of each listed server.
    current: BTreeMap<String, ListChange>,
    /// All changes in order.
    log: Vec<ListChange>,
    watches: BTreeMap<(u32, WatchId), Watch>,
    /// When the last accepted call is completed.
    busy_until: f64,
    silent: bool,
    calls: CallCounts,
}

impl DiscoveryService {
    /// A service with an initial list.
    #[must_use]
    pub fn new(limits: DiscoveryLimits, listed: Vec<ListChange>) -> DiscoveryService {
        let current = listed.into_iter().map(|change| (change.entry.uid.clone(), change)).collect();
        DiscoveryService {
            limits,
            rev: 1,
            current,
            log: Vec::new(),
            watches: BTreeMap::new(),
            busy_until: 0.0,
            silent: false,
            calls: CallCounts::default(),
        }
    }

    /// The full list.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let entries = self.current.values().map(|change| change.entry.clone()).collect();
        Listing { rev: self.rev, whole: true, entries, decode_errors: Vec::new() }
    }

    /// The processes that are listed.
    pub fn listed_processes(&self) -> impl Iterator<Item = NodeProcess> + '_ {
        self.current.values().map(|change| change.process)
    }

    /// Returns and resets the counts of calls.
    pub fn take_calls(&mut self) -> CallCounts {
        std::mem::take(&mut self.calls)
    }

    /// Takes a call.
    pub fn call(&mut self, now: u64, instance: u32, watch: WatchId, kind: CallKind) -> CallOutcome {
        self.calls.received += 1;
        if self.silent {
            return CallOutcome::NoAnswer;
        }
        let service_time = 1e6 / self.limits.calls_per_s;
        let backlog = (self.busy_until - now as f64).max(0.0);
        if backlog / service_time >= self.limits.max_queued as f64 {
            self.calls.refused += 1;
            return CallOutcome::Refused(now + self.limits.delay.us() / 10);
        }
        self.busy_until = self.busy_until.max(now as f64) + service_time;
        let at = self.busy_until as u64 + self.limits.delay.us() / 10;
        let (listing, processes) = match kind {
            CallKind::ChangesAfter(rev)
                if self.log.first().is_none_or(|first| first.rev <= rev + 1) || rev >= self.rev =>
            {
                self.changes(rev)
            }
            CallKind::ChangesAfter(_) | CallKind::FullList | CallKind::Check => {
                (self.listing(), self.current.values().map(ListedProcess::of).collect())
            }
        };
        self.watches.insert((instance, watch), Watch { rev: self.rev, last: at });
        CallOutcome::Opened(Line { at, instance, watch, listing: Some(listing), processes })
    }

    /// The changes after a revision.
    fn changes(&self, after: u64) -> (Listing, Vec<ListedProcess>) {
        let first = self.log.partition_point(|change| change.rev <= after);
        let changes = &self.log[first..];
        let processes = changes.iter().map(ListedProcess::of).collect();
        let entries = changes.iter().map(|change| change.entry.clone()).collect();
        (Listing { rev: self.rev, whole: false, entries, decode_errors: Vec::new() }, processes)
    }

    /// Closes a watch that its instance gave up. The time that its call takes is not given back.
    pub fn close(&mut self, instance: u32, watch: WatchId) {
        self.watches.remove(&(instance, watch));
    }

    /// Closes all watches of an instance that ended.
    pub fn close_instance(&mut self, instance: u32) {
        self.watches.retain(|(owner, _), _| *owner != instance);
    }

    /// Whether a watch is open.
    #[must_use]
    pub fn is_open(&self, instance: u32, watch: WatchId) -> bool {
        self.watches.contains_key(&(instance, watch))
    }

    /// Changes the list; the change is sent by [`DiscoveryService::publish`].
    pub fn change(&mut self, process: NodeProcess, entry: Entry) {
        self.rev += 1;
        let change = ListChange { rev: self.rev, entry, process };
        if change.entry.state == State::Removed {
            self.current.remove(&change.entry.uid);
        } else {
            self.current.insert(change.entry.uid.clone(), change.clone());
        }
        self.log.push(change);
    }

    /// Sends each open watch the changes since its last line, each with its own delay; with `heartbeat`, an empty line
    /// where nothing changed.
    pub fn publish(&mut self, now: u64, heartbeat: bool, rng: &mut SmallRng, out: &mut Vec<Line>) {
        if self.silent {
            return;
        }
        let keys: Vec<(u32, WatchId)> = self.watches.keys().copied().collect();
        for (instance, watch) in keys {
            let Some(Watch { rev, last }) = self.watches.get(&(instance, watch)).copied() else { continue };
            let (listing, processes) = if rev < self.rev {
                let (listing, processes) = self.changes(rev);
                (Some(listing), processes)
            } else if heartbeat {
                (None, Vec::new())
            } else {
                continue;
            };
            // A heartbeat is not delayed by itself, but stays behind a change that is still on its way.
            let delay =
                listing.as_ref().map_or(0.0, |_| self.limits.delay.us() as f64 * rng.random_range(0.5..1.0));
            let at = (now + delay as u64).max(last);
            self.watches.insert((instance, watch), Watch { rev: self.rev, last: at });
            out.push(Line { at, instance, watch, listing, processes });
        }
    }

    /// Makes the service silent, or ends that. Changes made in the meantime are published afterwards.
    pub fn set_silent(&mut self, silent: bool) {
        self.silent = silent;
    }
}

#[cfg(test)]
mod tests;
