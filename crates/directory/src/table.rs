//! The current list of servers and how updates from discovery change it. Owns the entries and the tombstones of
//! removed servers; tombstones are bounded here.
//!
//! Rules for applying updates (docs/list.md weighs the alternatives):
//! - A drain or removal applies whatever its revision; a server is added or made ready only by an update whose
//!   revision is not behind the current one.
//! - A full list with a lower revision starts a new sequence of revisions (discovery restarted or moved). Servers
//!   that were draining or removed before stay excluded until a later update of the new sequence.
//! - Of two servers at one address, the one that started last owns it.
//! - A start time in the future is replaced by the time at which it was first received.
//! - A server of a service outside the interest set is ignored; one that leaves the interest set counts as removed.

use crate::entry::{Entry, Listing};
use crate::interest::Interest;
use dunlincleat::api::{ListKind, State, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const MICROS_PER_MS: u64 = 1000;
/// The most removed servers that are remembered.
const MAX_TOMBSTONES: usize = 1024;
/// The most bytes that the names of remembered servers may take: thousands of long names once filled the memory of a
/// small instance.
const MAX_TOMBSTONE_NAME_BYTES: usize = 256 << 10;

/// The fewest ready servers of which the loss of more than half in one update is reported.
const MIN_SERVERS_FOR_MASS_REMOVAL: usize = 4;

/// The effect of an update from discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// Whether `entries` is the full list or changes.
    pub kind: ListKind,
    /// The revision after the update.
    pub rev: u64,
    /// The resulting entries: all of a full list, otherwise those that were mentioned or changed.
    pub entries: Vec<Entry>,
    /// Irregularities found in the update.
    pub anomalies: Vec<Anomaly>,
}

/// An irregularity in an update from discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Anomaly {
    /// Changes of an old revision: only drains and removals were applied, and the full list must be requested.
    StaleChanges {
        /// The revision received.
        received: u64,
        /// The current revision.
        current: u64,
    },
    /// A full list of a lower revision: a new sequence of revisions started.
    RevisionReset {
        /// The revision received.
        received: u64,
        /// The revision before.
        previous: u64,
        /// Servers listed as up that stay excluded because they were draining or removed before.
        suppressed: usize,
    },
    /// More than half of the ready servers were lost in one update. It was applied, and the full list must be
    /// requested.
    MassRemoval {
        /// Ready servers before the update.
        before: usize,
        /// Ready servers after the update.
        after: usize,
    },
    /// Two servers at one address.
    SharedAddress {
        /// The shared address.
        endpoint: SocketAddr,
        /// The server that started last, which keeps the address.
        owner: String,
        /// The server that is treated as removed.
        displaced: String,
    },
    /// The start time of a server is in the future.
    StartInFuture {
        /// The name of the server.
        uid: String,
        /// How far in the future, in milliseconds.
        ahead_ms: u64,
    },
    /// An entry could not be decoded, with the reason.
    InvalidEntry(String),
    /// A full list has no server of the services in the interest set.
    NoServerWanted {
        /// The number of servers listed.
        listed: usize,
    },
}

impl std::fmt::Display for Anomaly {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Anomaly::StaleChanges { received, current } => {
                write!(
                    f,
                    "changes of revision {received} behind {current}: only drains and removals are applied"
                )
            }
            Anomaly::RevisionReset { received, previous, suppressed } => write!(
                f,
                "full list of revision {received} after {previous}: a new sequence of revisions started; \
                 {suppressed} servers drained or removed before stay excluded"
            ),
            Anomaly::MassRemoval { before, after } => {
                write!(
                    f,
                    "{after} of {before} ready servers are left after one update: applied, and the full list is \
                     requested"
                )
            }
            Anomaly::SharedAddress { endpoint, owner, displaced } => {
                write!(
                    f,
                    "servers {owner} and {displaced} share the address {endpoint}: {displaced} is treated as removed"
                )
            }
            Anomaly::StartInFuture { uid, ahead_ms } => {
                write!(f, "server {uid}: its start time is {ahead_ms} ms in the future, treated as now")
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
    /// `boot_ms` as received, before a value in the future is replaced.
    reported_boot_ms: u64,
    /// Position in the order of updates; decides who owns an address if start times are equal.
    sequence: u64,
}

impl Record {
    /// Of two records at one address, the one with the greater value owns it.
    fn recency(&self) -> (u64, u64) {
        (self.entry.boot_ms, self.sequence)
    }
}

/// What is remembered of a removed server.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    reported_boot_ms: u64,
    sequence: u64,
}

/// Two servers that claim one address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AddressConflict {
    owner: String,
    displaced: String,
}

/// The current list of servers.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    interest: Interest,
    rev: u64,
    records: BTreeMap<String, Record>,
    tombstones: BTreeMap<String, Tombstone>,
    /// Total bytes of the names in `tombstones`.
    tombstone_name_bytes: usize,
    /// Listed as up by the first list of a new sequence of revisions, and excluded because they were draining or
    /// removed before.
    suppressed: BTreeSet<String>,
    /// The entries as last delivered.
    delivered: BTreeMap<String, Entry>,
    /// Conflicts already reported, so that each is logged once.
    reported_conflicts: BTreeSet<AddressConflict>,
    sequence: u64,
}

impl ServerTable {
    /// A table initialised with a known list, and its first delivery.
    #[must_use]
    pub fn new(now: Time, known: Listing) -> (ServerTable, Delivery) {
        ServerTable::with_interest(now, known, Interest::default())
    }

    /// The same, restricted to an interest set.
    #[must_use]
    pub fn with_interest(now: Time, known: Listing, interest: Interest) -> (ServerTable, Delivery) {
        let mut table = ServerTable { interest, ..ServerTable::default() };
        let known = Listing { whole: true, ..known };
        let delivery = table.apply(now, known, false);
        (table, Delivery { kind: ListKind::Cached, ..delivery })
    }

    /// The current revision.
    #[must_use]
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The number of ready servers, as delivered.
    #[must_use]
    pub fn ready(&self) -> usize {
        self.delivered.values().filter(|entry| entry.state == State::Ready).count()
    }

    /// Whether servers are excluded that the last full list listed as up.
    #[must_use]
    pub fn has_suppressed(&self) -> bool {
        !self.suppressed.is_empty()
    }

    /// The current list.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let entries =
            self.delivered.values().filter(|entry| entry.state != State::Removed).cloned().collect();
        Listing { rev: self.rev, whole: true, entries, decode_errors: Vec::new() }
    }

    /// Applies an update from discovery. `from_new_address` is set for the first full list from another address, whose
    /// revisions may be unrelated.
    pub fn apply(&mut self, now: Time, listing: Listing, from_new_address: bool) -> Delivery {
        let Listing { rev, whole, entries, decode_errors } = listing;
        let mut anomalies: Vec<Anomaly> = decode_errors.into_iter().map(Anomaly::InvalidEntry).collect();
        let listed = entries.len();
        let entries = self.filter_interest(entries);
        if whole && listed > 0 && !entries.iter().any(|entry| self.interest.wants(entry)) {
            anomalies.push(Anomaly::NoServerWanted { listed });
        }
        let previous_rev = self.rev;
        let before = self.ready();
        let revision_reset = whole && (from_new_address || rev < previous_rev);
        let stale = rev < previous_rev && !revision_reset;
        if whole {
            self.suppressed.clear();
        }
        if stale {
            anomalies.push(Anomaly::StaleChanges { received: rev, current: previous_rev });
        } else {
            self.rev = rev;
        }
        let mentioned: BTreeSet<String> = entries.iter().map(|entry| entry.uid.clone()).collect();
        for entry in entries {
            if self.admit(&entry, revision_reset, stale) {
                self.record(now, entry, &mut anomalies);
            }
        }
        if whole {
            self.remove_missing(&mentioned);
        }
        if revision_reset && rev < previous_rev {
            let suppressed = self.suppressed.len();
            anomalies.push(Anomaly::RevisionReset { received: rev, previous: previous_rev, suppressed });
        }
        let entries = self.delivery_entries(whole, &mentioned, &mut anomalies);
        let after = self.ready();
        if before >= MIN_SERVERS_FOR_MASS_REMOVAL && after * 2 < before {
            anomalies.push(Anomaly::MassRemoval { before, after });
        }
        let kind = if whole { ListKind::Full } else { ListKind::Changes };
        Delivery { kind, rev: self.rev, entries, anomalies }
    }

    /// Decides whether an entry of the current update applies, and tracks the servers excluded. Drains and removals
    /// always apply.
    fn admit(&mut self, entry: &Entry, revision_reset: bool, stale: bool) -> bool {
        if entry.state != State::Ready {
            return true;
        }
        if revision_reset && self.has_left(entry) {
            self.suppressed.insert(entry.uid.clone());
            return false;
        }
        if stale {
            return false;
        }
        self.suppressed.remove(&entry.uid);
        true
    }

    /// Removes the servers that a full list does not mention.
    fn remove_missing(&mut self, mentioned: &BTreeSet<String>) {
        let missing = self.records.keys().filter(|uid| !mentioned.contains(*uid));
        let missing: Vec<String> = missing.cloned().collect();
        for uid in missing {
            self.remove(&uid);
        }
    }

    /// Drops the entries of other services, except those at the address of a wanted server: that server is then
    /// removed and must not receive requests under its old name.
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
        // All entries of a relevant server are kept, even those that name another service or none.
        let names: BTreeSet<String> = counts.map(|entry| entry.uid.clone()).collect();
        entries.retain(|entry| names.contains(&entry.uid) || self.records.contains_key(&entry.uid));
        entries
    }

    /// Whether this incarnation of the server is already known to be draining or removed.
    fn has_left(&self, entry: &Entry) -> bool {
        let record = self.records.get(&entry.uid).filter(|record| record.entry.state != State::Ready);
        let tombstone = self.tombstones.get(&entry.uid);
        let draining_boot_ms = record.map(|record| record.reported_boot_ms);
        let removed_boot_ms = tombstone.map(|tombstone| tombstone.reported_boot_ms);
        draining_boot_ms.or(removed_boot_ms) == Some(entry.boot_ms)
    }

    fn record(&mut self, now: Time, mut entry: Entry, anomalies: &mut Vec<Anomaly>) {
        self.sequence += 1;
        if entry.state == State::Removed {
            return self.remove(&entry.uid);
        }
        let record = self.records.get(&entry.uid);
        // Only the state was readable: everything else stays as it was.
        if let (None, Some(record)) = (entry.endpoint, record) {
            entry = Entry { state: entry.state, ..record.entry.clone() };
            entry.boot_ms = record.reported_boot_ms;
        }
        let reported_boot_ms = entry.boot_ms;
        let now_ms = now.0 / MICROS_PER_MS;
        entry.boot_ms = match record.filter(|record| record.reported_boot_ms == reported_boot_ms) {
            Some(record) => record.entry.boot_ms,
            // A process with a start time of tomorrow would count as cold until then.
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

    /// The wanted entries with conflicts resolved: of two at one address, the one that started last, or was updated
    /// last, owns it and the other is removed.
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
                let state = if is_owner(record) { record.entry.state } else { State::Removed };
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
        // Removals come first: a new server may have taken the address.
        for (uid, entry) in &self.delivered {
            if !effective.contains_key(uid) && entry.state != State::Removed {
                entries.push(Entry { state: State::Removed, ..entry.clone() });
            }
        }
        for (uid, entry) in &effective {
            let changed = self.delivered.get(uid) != Some(entry);
            if whole || mentioned.contains(uid) || changed {
                entries.push(entry.clone());
            }
        }
        // Reported as removed while unknown or already removed.
        for uid in mentioned.iter().filter(|uid| !effective.contains_key(*uid)) {
            let already_removed = self.delivered.get(uid).is_none_or(|entry| entry.state == State::Removed);
            if already_removed && !whole {
                entries.push(Entry::leaving(uid.clone(), State::Removed));
            }
        }
        self.delivered = effective;
        entries
    }
}
