//! The service that tells instances of the servers, with its limits: calls wait in turn, a queue holds so many, and each
//! call is work whether or not its caller still waits. Pure: it is told of calls and changes and says who hears what, and
//! when. It owns the open watches; one is given back by [`DiscoveryService::close`] or when its instance ends.
//!
//! `crates/directory` stands on the other side, as it does in the sidecar: the way not taken drew a delay for each change
//! and told the engine itself, and a call that was given up and asked again could not crowd anybody out.

use crate::scenario::DiscoveryLimits;
use dunlincleat::api::State;
use dunlincleat_directory::{CallKind, Entry, Listing, WatchId};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;

/// A change, and which process of which node it is about, for whoever checks what was told.
#[derive(Clone, Debug)]
pub struct ListChange {
    /// Its version.
    pub rev: u64,
    /// As it is told.
    pub entry: Entry,
    /// The node.
    pub node: usize,
    /// Which of its processes.
    pub incarnation: u32,
}

/// A line that an instance will hear.
#[derive(Clone, Debug)]
pub struct Line {
    /// When.
    pub at: u64,
    /// Which instance.
    pub instance: u32,
    /// On which watch.
    pub watch: WatchId,
    /// What; nothing for an empty line.
    pub listing: Option<Listing>,
    /// What it says of each node.
    pub nodes: Vec<(usize, u32, State)>,
}

/// What becomes of a call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// It is answered at that time with this line, and is a watch from then on.
    Opened(Line),
    /// The queue is full: turned away at that time.
    Refused(u64),
    /// Nobody answers while the service is silent.
    NoAnswer,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    /// The last version told on it, and when the last line comes: lines keep their order.
    rev: u64,
    last: u64,
}

/// The service.
pub struct DiscoveryService {
    limits: DiscoveryLimits,
    rev: u64,
    /// The latest word on each server that is listed, and all changes in order.
    current: BTreeMap<String, ListChange>,
    log: Vec<ListChange>,
    watches: BTreeMap<(u32, WatchId), Watch>,
    /// When the call that came last is done with.
    busy_until: f64,
    silent: bool,
    calls: u64,
    refused: u64,
}

impl DiscoveryService {
    /// A service that lists these.
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
            calls: 0,
            refused: 0,
        }
    }

    /// The whole list.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let entries = self.current.values().map(|change| change.entry.clone()).collect();
        Listing { rev: self.rev, whole: true, entries, decode_errors: Vec::new() }
    }

    /// The nodes that it lists, each with which of its processes.
    pub fn listed_incarnations(&self) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.current.values().map(|change| (change.node, change.incarnation))
    }

    /// Calls taken since the last time, and those of them that were turned away.
    pub fn take_calls(&mut self) -> (u64, u64) {
        (std::mem::take(&mut self.calls), std::mem::take(&mut self.refused))
    }

    /// A call.
    pub fn call(&mut self, now: u64, instance: u32, watch: WatchId, kind: CallKind) -> CallOutcome {
        self.calls += 1;
        if self.silent {
            return CallOutcome::NoAnswer;
        }
        let service_time = 1e6 / self.limits.calls_per_s;
        let backlog = (self.busy_until - now as f64).max(0.0);
        if backlog / service_time >= self.limits.max_queued as f64 {
            self.refused += 1;
            return CallOutcome::Refused(now + self.limits.delay.us() / 10);
        }
        self.busy_until = self.busy_until.max(now as f64) + service_time;
        let at = self.busy_until as u64 + self.limits.delay.us() / 10;
        let (listing, nodes) = match kind {
            CallKind::ChangesAfter(rev)
                if self.log.first().is_none_or(|first| first.rev <= rev + 1) || rev >= self.rev =>
            {
                self.changes(rev)
            }
            CallKind::ChangesAfter(_) | CallKind::FullList | CallKind::Check => {
                let nodes =
                    self.current.values().map(|change| (change.node, change.incarnation, change.entry.state));
                (self.listing(), nodes.collect())
            }
        };
        self.watches.insert((instance, watch), Watch { rev: self.rev, last: at });
        CallOutcome::Opened(Line { at, instance, watch, listing: Some(listing), nodes })
    }

    fn changes(&self, after: u64) -> (Listing, Vec<(usize, u32, State)>) {
        let first = self.log.partition_point(|change| change.rev <= after);
        let changes = &self.log[first..];
        let nodes =
            changes.iter().map(|change| (change.node, change.incarnation, change.entry.state)).collect();
        let entries = changes.iter().map(|change| change.entry.clone()).collect();
        (Listing { rev: self.rev, whole: false, entries, decode_errors: Vec::new() }, nodes)
    }

    /// A watch is dropped by its instance. What was put in work for it is not taken back.
    pub fn close(&mut self, instance: u32, watch: WatchId) {
        self.watches.remove(&(instance, watch));
    }

    /// An instance ends, and all its watches with it.
    pub fn close_instance(&mut self, instance: u32) {
        self.watches.retain(|(of, _), _| *of != instance);
    }

    /// Whether a watch is open.
    #[must_use]
    pub fn is_open(&self, instance: u32, watch: WatchId) -> bool {
        self.watches.contains_key(&(instance, watch))
    }

    /// Something changes.
    pub fn change(&mut self, node: usize, incarnation: u32, entry: Entry) {
        self.rev += 1;
        let change = ListChange { rev: self.rev, entry, node, incarnation };
        if change.entry.state == State::Removed {
            self.current.remove(&change.entry.uid);
        } else {
            self.current.insert(change.entry.uid.clone(), change.clone());
        }
        self.log.push(change);
    }

    /// What the open watches hear of what changed since they last heard, each at its own time; with `beat` an empty line
    /// where nothing did.
    pub fn publish(&mut self, now: u64, heartbeat: bool, rng: &mut SmallRng, out: &mut Vec<Line>) {
        if self.silent {
            return;
        }
        let keys: Vec<(u32, WatchId)> = self.watches.keys().copied().collect();
        for (instance, watch) in keys {
            let Some(Watch { rev, last }) = self.watches.get(&(instance, watch)).copied() else { continue };
            let (listing, nodes) = if rev < self.rev {
                let (listing, nodes) = self.changes(rev);
                (Some(listing), nodes)
            } else if heartbeat {
                (None, Vec::new())
            } else {
                continue;
            };
            // A sign of life says nothing that could be late; behind a change that still comes it waits its turn.
            let delay =
                listing.as_ref().map_or(0.0, |_| self.limits.delay.us() as f64 * rng.random_range(0.5..1.0));
            let at = (now + delay as u64).max(last);
            self.watches.insert((instance, watch), Watch { rev: self.rev, last: at });
            out.push(Line { at, instance, watch, listing, nodes });
        }
    }

    /// It falls silent, or speaks again: what happened meanwhile is told then.
    pub fn set_silent(&mut self, silent: bool) {
        self.silent = silent;
    }
}

#[cfg(test)]
mod tests;
