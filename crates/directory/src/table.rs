//! The list that is held, and what each word of discovery's does to it. Owns the entries and the memory of servers
//! that left; both are bounded here.
//!
//! What is judged, and how (docs/list.md weighs the ways):
//! - A word that a server leaves counts whatever version it comes with; a word that one is up counts only from a
//!   version that is not behind.
//! - A whole list of a lower version begins a new count of versions (discovery restarted or moved). What was told
//!   to leave before stays so until a later word of that count.
//! - Of two servers at one address the one that started last is there.
//! - A start that lies ahead is taken as the time at which it was first heard.
//! - A server of a service that is not wanted is passed over; one that was wanted and is no more is gone.

use crate::entry::{Entry, Listing};
use crate::interest::Interest;
use dunlincleat::api::{ListKind, State, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The most servers that left of which is remembered that they did.
const MAX_TOMBSTONES: usize = 1024;
/// The most bytes of their names.
const MAX_TOMBSTONE_NAME_BYTES: usize = 256 << 10;

/// What a word of discovery's comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// The whole list, or changes.
    pub kind: ListKind,
    /// The version then held.
    pub rev: u64,
    /// The entries as they are to count: all of a whole list, else those told of and those that changed.
    pub entries: Vec<Entry>,
    /// What was odd about it.
    pub odd: Vec<Anomaly>,
}

/// What may be odd about a word of discovery's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Anomaly {
    /// Changes of a version that is behind: only who leaves was followed; the whole list is to be asked for.
    StaleChanges {
        /// The version told.
        received: u64,
        /// The version held.
        current: u64,
    },
    /// A whole list of a lower version: a new count of versions began.
    RevisionReset {
        /// The version told.
        received: u64,
        /// The version held until then.
        previous: u64,
        /// Servers said to be up that stay left out, as they were told to leave.
        suppressed: usize,
    },
    /// More than half of the servers were lost at once. It is followed; the whole list is to be asked for.
    MassRemoval {
        /// Servers that took work before.
        before: usize,
        /// And after.
        after: usize,
    },
    /// Two servers at one address.
    SharedAddress {
        /// The address.
        endpoint: SocketAddr,
        /// The one that started last, which counts.
        owner: String,
        /// The one that is taken as gone.
        displaced: String,
    },
    /// A server's start lies ahead.
    StartInFuture {
        /// Which.
        uid: String,
        /// By how many milliseconds.
        ahead_ms: u64,
    },
    /// An entry could not be read; why.
    InvalidEntry(String),
    /// A whole list has no server of the services that are wanted.
    NoServerWanted {
        /// The servers that it has.
        listed: usize,
    },
}

impl std::fmt::Display for Anomaly {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Anomaly::StaleChanges { received, current } => {
                write!(f, "changes of revision {received} behind {current}: only who leaves is followed")
            }
            Anomaly::RevisionReset { received, previous, suppressed } => write!(
                f,
                "whole list of revision {received} after {previous}: versions count anew; {suppressed} told to leave before \
                 stay out"
            ),
            Anomaly::MassRemoval { before, after } => {
                write!(
                    f,
                    "of {before} servers up {after} are left at once: followed, the whole list is asked for"
                )
            }
            Anomaly::SharedAddress { endpoint, owner, displaced } => {
                write!(
                    f,
                    "servers {owner} and {displaced} at one address {endpoint}: {displaced} is taken as gone"
                )
            }
            Anomaly::StartInFuture { uid, ahead_ms } => {
                write!(f, "server {uid}: its start lies {ahead_ms} ms ahead, taken as now")
            }
            Anomaly::InvalidEntry(what) => f.write_str(what),
            Anomaly::NoServerWanted { listed } => {
                write!(f, "none of the {listed} servers listed is of a service named in sidecar.services")
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Record {
    entry: Entry,
    /// `boot_ms` as it was told.
    reported_boot_ms: u64,
    /// Grows with each word; the later word at one address counts where starts are alike.
    sequence: u64,
}

impl Record {
    /// Of two records at one address the one with the greater value counts.
    fn recency(&self) -> (u64, u64) {
        (self.entry.boot_ms, self.sequence)
    }
}

/// A server that was told to be gone.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    reported_boot_ms: u64,
    sequence: u64,
}

/// Two servers at one address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AddressConflict {
    owner: String,
    displaced: String,
}

/// The list that is held.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    interest: Interest,
    rev: u64,
    records: BTreeMap<String, Record>,
    tombstones: BTreeMap<String, Tombstone>,
    /// The bytes of their names.
    tombstone_name_bytes: usize,
    /// Said to be up by the first list of a new count of versions, and left out as told to leave before.
    suppressed: BTreeSet<String>,
    /// As last delivered.
    delivered: BTreeMap<String, Entry>,
    /// Pairs at one address that were told of.
    reported_conflicts: BTreeSet<AddressConflict>,
    sequence: u64,
}

impl ServerTable {
    /// A book that holds a list from before; what it delivers.
    #[must_use]
    pub fn new(now: Time, known: Listing) -> (ServerTable, Delivery) {
        ServerTable::of(now, known, Interest::default())
    }

    /// A book that keeps the servers of some services alone.
    #[must_use]
    pub fn of(now: Time, known: Listing, interest: Interest) -> (ServerTable, Delivery) {
        let mut table = ServerTable { interest, ..ServerTable::default() };
        let known = Listing { whole: true, ..known };
        let delivery = table.apply(now, known, false);
        (table, Delivery { kind: ListKind::Cached, ..delivery })
    }

    /// The version held.
    #[must_use]
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Servers that take work, as delivered.
    #[must_use]
    pub fn ready(&self) -> usize {
        self.delivered.values().filter(|entry| entry.state == State::Ready).count()
    }

    /// Whether servers are left out that the last whole list said to be up.
    #[must_use]
    pub fn has_suppressed(&self) -> bool {
        !self.suppressed.is_empty()
    }

    /// The whole list as it is held.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let entries = self.delivered.values().filter(|entry| entry.state != State::Gone).cloned().collect();
        Listing { rev: self.rev, whole: true, entries, passed_over: Vec::new() }
    }

    /// Takes a word of discovery's. `from_new_address` is set for the first whole list from another address, where
    /// versions may count differently.
    pub fn apply(&mut self, now: Time, listing: Listing, from_new_address: bool) -> Delivery {
        let Listing { rev, whole, entries, passed_over } = listing;
        let mut anomalies: Vec<Anomaly> = passed_over.into_iter().map(Anomaly::InvalidEntry).collect();
        let listed = entries.len();
        let entries = self.filter_interest(entries);
        if whole && listed > 0 && !entries.iter().any(|entry| self.interest.wants(entry)) {
            anomalies.push(Anomaly::NoServerWanted { listed });
        }
        let previous_rev = self.rev;
        let before = self.ready();
        let revision_reset = whole && (from_new_address || rev < previous_rev);
        let behind = rev < previous_rev && !revision_reset;
        if whole {
            self.suppressed.clear();
        }
        if behind {
            anomalies.push(Anomaly::StaleChanges { received: rev, current: previous_rev });
        } else {
            self.rev = rev;
        }
        let mut mentioned: BTreeSet<String> = BTreeSet::new();
        for entry in entries {
            mentioned.insert(entry.uid.clone());
            if entry.state == State::Ready {
                if revision_reset && self.has_left(&entry) {
                    self.suppressed.insert(entry.uid);
                    continue;
                }
                if behind {
                    continue;
                }
                self.suppressed.remove(&entry.uid);
            }
            self.record(now, entry, &mut anomalies);
        }
        if whole {
            let missing = self.records.keys().filter(|uid| !mentioned.contains(*uid)).cloned();
            for uid in missing.collect::<Vec<_>>() {
                self.remove(&uid);
            }
        }
        if revision_reset && rev < previous_rev {
            let suppressed = self.suppressed.len();
            anomalies.push(Anomaly::RevisionReset { received: rev, previous: previous_rev, suppressed });
        }
        let entries = self.delivery_entries(whole, &mentioned, &mut anomalies);
        let after = self.ready();
        if before >= 4 && after * 2 < before {
            anomalies.push(Anomaly::MassRemoval { before, after });
        }
        let kind = if whole { ListKind::Whole } else { ListKind::Changes };
        Delivery { kind, rev: self.rev, entries, odd: anomalies }
    }

    /// What of a word's entries counts here. One of another service is passed over, but where it takes the address of
    /// a server that is kept: that one is gone then, and must not be sent to under its old name.
    fn filter_interest(&self, mut entries: Vec<Entry>) -> Vec<Entry> {
        if self.interest.services().is_none() {
            return entries;
        }
        let current = self.records.values().map(|record| &record.entry);
        let wanted = current.chain(&entries).filter(|entry| self.interest.wants(entry));
        let addresses: BTreeSet<SocketAddr> = wanted.filter_map(|entry| entry.endpoint).collect();
        let shares_address =
            |entry: &Entry| entry.endpoint.is_some_and(|endpoint| addresses.contains(&endpoint));
        let counts = entries.iter().filter(|entry| self.interest.wants(entry) || shares_address(entry));
        // Whatever else is told of a server that counts does so too, also where it names no service or another one.
        let names: BTreeSet<String> = counts.map(|entry| entry.uid.clone()).collect();
        entries.retain(|entry| names.contains(&entry.uid) || self.records.contains_key(&entry.uid));
        entries
    }

    /// Whether this very process was told to leave.
    fn has_left(&self, entry: &Entry) -> bool {
        let record = self.records.get(&entry.uid).filter(|record| record.entry.state != State::Ready);
        let tombstone = self.tombstones.get(&entry.uid);
        let draining_boot_ms = record.map(|record| record.reported_boot_ms);
        let removed_boot_ms = tombstone.map(|tombstone| tombstone.reported_boot_ms);
        draining_boot_ms.or(removed_boot_ms) == Some(entry.boot_ms)
    }

    fn record(&mut self, now: Time, mut entry: Entry, anomalies: &mut Vec<Anomaly>) {
        self.sequence += 1;
        if entry.state == State::Gone {
            return self.remove(&entry.uid);
        }
        let record = self.records.get(&entry.uid);
        // Known to leave and no more: all else stays as it was.
        if let (None, Some(record)) = (entry.endpoint, record) {
            entry = Entry { state: entry.state, ..record.entry.clone() };
            entry.boot_ms = record.reported_boot_ms;
        }
        let reported_boot_ms = entry.boot_ms;
        let now_ms = now.0 / 1000;
        entry.boot_ms = match record.filter(|record| record.reported_boot_ms == reported_boot_ms) {
            Some(record) => record.entry.boot_ms,
            // A process said to start tomorrow would count as cold until then.
            None if reported_boot_ms > now_ms => {
                let ahead_ms = reported_boot_ms - now_ms;
                anomalies.push(Anomaly::StartInFuture { uid: entry.uid.clone(), ahead_ms });
                now_ms
            }
            None => reported_boot_ms,
        };
        self.clear_tombstone(&entry.uid);
        self.records.insert(entry.uid.clone(), Record { entry, reported_boot_ms, sequence: self.sequence });
    }

    fn remove(&mut self, uid: &str) {
        let Some(record) = self.records.remove(uid) else { return };
        self.sequence += 1;
        self.clear_tombstone(uid);
        let tombstone = Tombstone { reported_boot_ms: record.reported_boot_ms, sequence: self.sequence };
        self.tombstones.insert(uid.to_owned(), tombstone);
        self.tombstone_name_bytes += uid.len();
        // Long names by thousands once filled the memory of a small instance.
        while self.tombstones.len() > MAX_TOMBSTONES || self.tombstone_name_bytes > MAX_TOMBSTONE_NAME_BYTES {
            let oldest = self.tombstones.iter().min_by_key(|(_, tombstone)| tombstone.sequence);
            let Some(oldest) = oldest.map(|(uid, _)| uid.clone()) else { return };
            self.clear_tombstone(&oldest);
        }
    }

    fn clear_tombstone(&mut self, uid: &str) {
        if self.tombstones.remove(uid).is_some() {
            self.tombstone_name_bytes -= uid.len();
        }
    }

    /// Entries as they count: of two at one address, the one that started last, or was told of last, is there.
    fn effective_entries(&mut self, anomalies: &mut Vec<Anomaly>) -> BTreeMap<String, Entry> {
        let mut owners: BTreeMap<SocketAddr, &Record> = BTreeMap::new();
        let mut conflicts = BTreeSet::new();
        for record in self.records.values() {
            let Some(endpoint) = record.entry.endpoint else { continue };
            let Some(other) = owners.insert(endpoint, record) else { continue };
            let (owner, displaced) =
                if other.recency() > record.recency() { (other, record) } else { (record, other) };
            owners.insert(endpoint, owner);
            let conflict =
                AddressConflict { owner: owner.entry.uid.clone(), displaced: displaced.entry.uid.clone() };
            if displaced.entry.state == State::Ready && !self.reported_conflicts.contains(&conflict) {
                let AddressConflict { owner, displaced } = conflict.clone();
                anomalies.push(Anomaly::SharedAddress { endpoint, owner, displaced });
            }
            conflicts.insert(conflict);
        }
        let is_owner = |record: &Record| {
            let owner = record.entry.endpoint.and_then(|endpoint| owners.get(&endpoint));
            owner.is_none_or(|owner| owner.entry.uid == record.entry.uid)
        };
        let wanted = self.records.values().filter(|record| self.interest.wants(&record.entry));
        let entries = wanted
            .map(|record| {
                let state = if is_owner(record) { record.entry.state } else { State::Gone };
                (record.entry.uid.clone(), Entry { state, ..record.entry.clone() })
            })
            .collect();
        self.reported_conflicts = conflicts;
        entries
    }

    fn delivery_entries(
        &mut self,
        whole: bool,
        mentioned: &BTreeSet<String>,
        anomalies: &mut Vec<Anomaly>,
    ) -> Vec<Entry> {
        let effective = self.effective_entries(anomalies);
        let mut entries: Vec<Entry> = Vec::new();
        // Who went is told first: a newcomer may have its address.
        for (uid, entry) in &self.delivered {
            if !effective.contains_key(uid) && entry.state != State::Gone {
                entries.push(Entry { state: State::Gone, ..entry.clone() });
            }
        }
        for (uid, entry) in &effective {
            let changed = self.delivered.get(uid) != Some(entry);
            if whole || mentioned.contains(uid) || changed {
                entries.push(entry.clone());
            }
        }
        // Told to be gone, and never held or gone already.
        for uid in mentioned.iter().filter(|uid| !effective.contains_key(*uid)) {
            let already_gone = self.delivered.get(uid).is_none_or(|entry| entry.state == State::Gone);
            if already_gone && !whole {
                entries.push(Entry::leaving(uid.clone(), State::Gone));
            }
        }
        self.delivered = effective;
        entries
    }
}
