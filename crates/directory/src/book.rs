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

/// The most servers that left of which is remembered that they did, and the most bytes of their names.
const GRAVES: (usize, usize) = (1024, 256 << 10);

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
    pub odd: Vec<Odd>,
}

/// What may be odd about a word of discovery's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Odd {
    /// Changes of a version that is behind: only who leaves was followed; the whole list is to be asked for.
    Behind {
        /// The version told.
        told: u64,
        /// The version held.
        held: u64,
    },
    /// A whole list of a lower version: a new count of versions began.
    NewCount {
        /// The version told.
        told: u64,
        /// The version held until then.
        held: u64,
        /// Servers said to be up that stay left out, as they were told to leave.
        kept_out: usize,
    },
    /// More than half of the servers were lost at once. It is followed; the whole list is to be asked for.
    Loss {
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
        counts: String,
        /// The one that is taken as gone.
        gone: String,
    },
    /// A server's start lies ahead.
    StartAhead {
        /// Which.
        uid: String,
        /// By how many milliseconds.
        ms: u64,
    },
    /// An entry could not be read; why.
    PassedOver(String),
    /// A whole list has no server of the services that are wanted.
    NoneWanted {
        /// The servers that it has.
        told: usize,
    },
}

impl std::fmt::Display for Odd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Odd::Behind { told, held } => {
                write!(f, "changes of revision {told} behind {held}: only who leaves is followed")
            }
            Odd::NewCount { told, held, kept_out } => write!(
                f,
                "whole list of revision {told} after {held}: versions count anew; {kept_out} told to leave before \
                 stay out"
            ),
            Odd::Loss { before, after } => {
                write!(
                    f,
                    "of {before} servers up {after} are left at once: followed, the whole list is asked for"
                )
            }
            Odd::SharedAddress { endpoint, counts, gone } => {
                write!(f, "servers {counts} and {gone} at one address {endpoint}: {gone} is taken as gone")
            }
            Odd::StartAhead { uid, ms } => {
                write!(f, "server {uid}: its start lies {ms} ms ahead, taken as now")
            }
            Odd::PassedOver(what) => f.write_str(what),
            Odd::NoneWanted { told } => {
                write!(f, "none of the {told} servers listed is of a service named in sidecar.services")
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    entry: Entry,
    /// `boot_ms` as it was told.
    told_boot: u64,
    /// Grows with each word; the later word at one address counts where starts are alike.
    order: u64,
}

/// A server that was told to be gone.
#[derive(Clone, Copy, Debug)]
struct Grave {
    told_boot: u64,
    order: u64,
}

/// The list that is held.
#[derive(Clone, Debug, Default)]
pub struct Book {
    interest: Interest,
    rev: u64,
    held: BTreeMap<String, Held>,
    graves: BTreeMap<String, Grave>,
    /// The bytes of their names.
    grave_bytes: usize,
    /// Said to be up by the first list of a new count of versions, and left out as told to leave before.
    kept_out: BTreeSet<String>,
    /// As last delivered.
    delivered: BTreeMap<String, Entry>,
    /// Pairs at one address that were told of.
    shared: BTreeSet<(String, String)>,
    order: u64,
}

impl Book {
    /// A book that holds a list from before; what it delivers.
    #[must_use]
    pub fn new(now: Time, known: Listing) -> (Book, Delivery) {
        Book::of(now, known, Interest::default())
    }

    /// A book that keeps the servers of some services alone.
    #[must_use]
    pub fn of(now: Time, known: Listing, interest: Interest) -> (Book, Delivery) {
        let mut book = Book { interest, ..Book::default() };
        let known = Listing { whole: true, ..known };
        let delivery = book.apply(now, known, false);
        (book, Delivery { kind: ListKind::Cached, ..delivery })
    }

    /// The version held.
    #[must_use]
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Servers that take work, as delivered.
    #[must_use]
    pub fn ready(&self) -> usize {
        self.delivered.values().filter(|e| e.state == State::Ready).count()
    }

    /// Whether servers are left out that the last whole list said to be up.
    #[must_use]
    pub fn keeps_out(&self) -> bool {
        !self.kept_out.is_empty()
    }

    /// The whole list as it is held.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let entries = self.delivered.values().filter(|e| e.state != State::Removed).cloned().collect();
        Listing { rev: self.rev, whole: true, entries, passed_over: Vec::new() }
    }

    /// Takes a word of discovery's. `elsewhere` is set for the first whole list from another address, where
    /// versions may count differently.
    pub fn apply(&mut self, now: Time, listing: Listing, elsewhere: bool) -> Delivery {
        let Listing { rev, whole, entries, passed_over } = listing;
        let mut odd: Vec<Odd> = passed_over.into_iter().map(Odd::PassedOver).collect();
        let told = entries.len();
        let entries = self.of_interest(entries);
        if whole && told > 0 && !entries.iter().any(|entry| self.interest.wants(entry)) {
            odd.push(Odd::NoneWanted { told });
        }
        let (held_rev, before) = (self.rev, self.ready());
        let new_count = whole && (elsewhere || rev < held_rev);
        let behind = rev < held_rev && !new_count;
        if whole {
            self.kept_out.clear();
        }
        if behind {
            odd.push(Odd::Behind { told: rev, held: held_rev });
        } else {
            self.rev = rev;
        }
        let mut mentioned: BTreeSet<String> = BTreeSet::new();
        for entry in entries {
            mentioned.insert(entry.uid.clone());
            if entry.state == State::Ready {
                if new_count && self.told_to_leave(&entry) {
                    self.kept_out.insert(entry.uid);
                    continue;
                }
                if behind {
                    continue;
                }
                self.kept_out.remove(&entry.uid);
            }
            self.tell(now, entry, &mut odd);
        }
        if whole {
            let missing = self.held.keys().filter(|uid| !mentioned.contains(*uid)).cloned();
            for uid in missing.collect::<Vec<_>>() {
                self.bury(&uid);
            }
        }
        if new_count && rev < held_rev {
            odd.push(Odd::NewCount { told: rev, held: held_rev, kept_out: self.kept_out.len() });
        }
        let entries = self.deliver(whole, &mentioned, &mut odd);
        let after = self.ready();
        if before >= 4 && after * 2 < before {
            odd.push(Odd::Loss { before, after });
        }
        let kind = if whole { ListKind::Full } else { ListKind::Changes };
        Delivery { kind, rev: self.rev, entries, odd }
    }

    /// What of a word's entries counts here. One of another service is passed over, but where it takes the address of
    /// a server that is kept: that one is gone then, and must not be sent to under its old name.
    fn of_interest(&self, mut entries: Vec<Entry>) -> Vec<Entry> {
        if self.interest.services().is_none() {
            return entries;
        }
        let held = self.held.values().map(|held| &held.entry);
        let wanted = held.chain(&entries).filter(|entry| self.interest.wants(entry));
        let addresses: BTreeSet<SocketAddr> = wanted.filter_map(|entry| entry.endpoint).collect();
        let beside = |entry: &Entry| entry.endpoint.is_some_and(|endpoint| addresses.contains(&endpoint));
        let counts = entries.iter().filter(|entry| self.interest.wants(entry) || beside(entry));
        // Whatever else is told of a server that counts does so too, also where it names no service or another one.
        let names: BTreeSet<String> = counts.map(|entry| entry.uid.clone()).collect();
        entries.retain(|entry| names.contains(&entry.uid) || self.held.contains_key(&entry.uid));
        entries
    }

    /// Whether this very process was told to leave.
    fn told_to_leave(&self, entry: &Entry) -> bool {
        let held = self.held.get(&entry.uid).filter(|held| held.entry.state != State::Ready);
        let told = held.map(|held| held.told_boot);
        told.or_else(|| self.graves.get(&entry.uid).map(|g| g.told_boot)) == Some(entry.boot_ms)
    }

    fn tell(&mut self, now: Time, mut entry: Entry, odd: &mut Vec<Odd>) {
        self.order += 1;
        if entry.state == State::Removed {
            return self.bury(&entry.uid);
        }
        let held = self.held.get(&entry.uid);
        // Known to leave and no more: all else stays as it was.
        if let (None, Some(held)) = (entry.endpoint, held) {
            entry = Entry { state: entry.state, ..held.entry.clone() };
            entry.boot_ms = held.told_boot;
        }
        let told_boot = entry.boot_ms;
        entry.boot_ms = match held.filter(|held| held.told_boot == told_boot) {
            Some(held) => held.entry.boot_ms,
            // A process said to start tomorrow would count as cold until then.
            None if told_boot > now.0 / 1000 => {
                odd.push(Odd::StartAhead { uid: entry.uid.clone(), ms: told_boot - now.0 / 1000 });
                now.0 / 1000
            }
            None => told_boot,
        };
        self.dig_up(&entry.uid);
        self.held.insert(entry.uid.clone(), Held { entry, told_boot, order: self.order });
    }

    fn bury(&mut self, uid: &str) {
        let Some(held) = self.held.remove(uid) else { return };
        self.order += 1;
        self.dig_up(uid);
        self.graves.insert(uid.to_owned(), Grave { told_boot: held.told_boot, order: self.order });
        self.grave_bytes += uid.len();
        // Long names by thousands once filled the memory of a small instance.
        while self.graves.len() > GRAVES.0 || self.grave_bytes > GRAVES.1 {
            let oldest = self.graves.iter().min_by_key(|(_, grave)| grave.order);
            let Some(oldest) = oldest.map(|(uid, _)| uid.clone()) else { return };
            self.dig_up(&oldest);
        }
    }

    fn dig_up(&mut self, uid: &str) {
        if self.graves.remove(uid).is_some() {
            self.grave_bytes -= uid.len();
        }
    }

    /// Entries as they count: of two at one address, the one that started last, or was told of last, is there.
    fn effective(&mut self, odd: &mut Vec<Odd>) -> BTreeMap<String, Entry> {
        let mut owners: BTreeMap<SocketAddr, &Held> = BTreeMap::new();
        let mut shared = BTreeSet::new();
        for held in self.held.values() {
            let Some(endpoint) = held.entry.endpoint else { continue };
            let Some(other) = owners.insert(endpoint, held) else { continue };
            let key = |h: &Held| (h.entry.boot_ms, h.order);
            let (counts, gone) = if key(other) > key(held) { (other, held) } else { (held, other) };
            owners.insert(endpoint, counts);
            let pair = (counts.entry.uid.clone(), gone.entry.uid.clone());
            if gone.entry.state == State::Ready && !self.shared.contains(&pair) {
                let (counts, gone) = pair.clone();
                odd.push(Odd::SharedAddress { endpoint, counts, gone });
            }
            shared.insert(pair);
        }
        let there = |held: &Held| {
            let owner = held.entry.endpoint.and_then(|endpoint| owners.get(&endpoint));
            owner.is_none_or(|owner| owner.entry.uid == held.entry.uid)
        };
        let mine = self.held.values().filter(|held| self.interest.wants(&held.entry));
        let entries = mine.map(|held| {
            let state = if there(held) { held.entry.state } else { State::Removed };
            (held.entry.uid.clone(), Entry { state, ..held.entry.clone() })
        });
        let entries = entries.collect();
        self.shared = shared;
        entries
    }

    fn deliver(&mut self, whole: bool, mentioned: &BTreeSet<String>, odd: &mut Vec<Odd>) -> Vec<Entry> {
        let effective = self.effective(odd);
        let mut entries: Vec<Entry> = Vec::new();
        // Who went is told first: a newcomer may have its address.
        for (uid, entry) in &self.delivered {
            if !effective.contains_key(uid) && entry.state != State::Removed {
                entries.push(Entry { state: State::Removed, ..entry.clone() });
            }
        }
        for (uid, entry) in &effective {
            if whole || mentioned.contains(uid) || self.delivered.get(uid) != Some(entry) {
                entries.push(entry.clone());
            }
        }
        // Told to be gone, and never held or gone already.
        for uid in mentioned.iter().filter(|uid| !effective.contains_key(*uid)) {
            if self.delivered.get(uid).is_none_or(|entry| entry.state == State::Removed) && !whole {
                entries.push(Entry::leaving(uid.clone(), State::Removed));
            }
        }
        self.delivered = effective;
        entries
    }
}
