//! A voter: what it promised for each duty, and whether it may speak. It owns its promises; nothing else changes them.

use crate::protocol::{Fence, LeaseConfig, Message, Moment, Progress};
use std::collections::{BTreeMap, BTreeSet};

/// How many duties a voter keeps; one more is refused. Bounds its memory.
const DUTIES: usize = 4096;
/// How many duties fit into one word of what it knows.
const TOLD: usize = 12;
/// Askers beside the holder that a voter hears in a lease once they are spread, and the longest spread in leases: what is left
/// of a fleet that has mostly died asks within that.
const ASKED: u64 = 8;
const SPREAD: u64 = 32;
/// After so many leases of silence a voter that could not learn from enough others speaks all the same, and says so.
const PATIENCE: u64 = 5;
/// Who holds a lease: a member and its life.
pub type MemberId = (String, u64);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Promise {
    /// The highest fence granted, and to whom.
    highest: Fence,
    of: Option<MemberId>,
    /// The lease on it, where it was not let go.
    until: Option<Moment>,
    mark: Progress,
    /// When the mark's period was first heard of.
    marked: Moment,
    /// Asked by others since then, and over how long they are told to spread their asking.
    counts: Moment,
    asked: u64,
    spread: u64,
    /// An effect under a fence of this duty was carried out: its receiver has seen no higher one.
    proved: bool,
}

/// Whether it may speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Memory {
    /// It remembers all that it ever promised, or has learnt all that it must.
    Whole,
    /// It began without: silent until then at the least, and until it has learnt enough, but no longer than the second.
    Silent { least: Moment, most: Moment },
    /// It could not learn enough in time, speaks all the same, and goes on learning.
    Unproven,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    terms: LeaseConfig,
    duties: BTreeMap<String, Promise>,
    memory: Memory,
    /// The others that remember and have told all, and those that have lost their memory too.
    learnt: BTreeSet<String>,
    lost: BTreeSet<String>,
    /// Too many had lost it for what they promised together to be known.
    bereft: bool,
    /// How far each other voter has told what it knows.
    told: BTreeMap<String, String>,
}

impl Voter {
    /// One that starts without what it promised before, if it ever did.
    #[must_use]
    pub fn begin(terms: LeaseConfig, now: Moment) -> Voter {
        let memory =
            Memory::Silent { least: now.after(terms.kept()), most: now.after(PATIENCE * terms.kept()) };
        Voter {
            terms,
            duties: BTreeMap::new(),
            memory,
            learnt: BTreeSet::new(),
            lost: BTreeSet::new(),
            bereft: false,
            told: BTreeMap::new(),
        }
    }

    /// The first start of the fleet, where nothing was ever promised: for the exploration.
    #[must_use]
    pub fn first(terms: LeaseConfig) -> Voter {
        Voter { memory: Memory::Whole, ..Voter::begin(terms, Moment::default()) }
    }

    #[cfg(feature = "plant")]
    pub(crate) fn plant(&mut self, plant: crate::fault::Fault) {
        if plant == crate::fault::Fault::VotesAtOnce {
            self.memory = Memory::Whole;
        }
    }

    /// Whether it votes now.
    #[must_use]
    pub fn speaks(&self) -> bool {
        !matches!(self.memory, Memory::Silent { .. })
    }

    /// It is not known to remember all that the voters ever promised together.
    #[must_use]
    pub fn unproven(&self) -> bool {
        self.memory == Memory::Unproven || self.bereft
    }

    /// Looks at whether its silence is over. What it still has to ask of others is given.
    pub fn tick(&mut self, now: Moment, me: &str) -> Vec<(usize, Message)> {
        let others = self.terms.voters.iter().filter(|name| *name != me);
        // A majority that it was in before has one of a majority of the others in it; or all that is left has been heard.
        let enough = self.learnt.len() >= self.terms.majority();
        let all = others.clone().all(|name| self.learnt.contains(name) || self.lost.contains(name));
        match self.memory {
            Memory::Whole => return Vec::new(),
            Memory::Silent { least, .. } if now < least => {}
            Memory::Silent { .. } | Memory::Unproven if enough || all => {
                self.bereft = !enough;
                self.memory = Memory::Whole;
                return Vec::new();
            }
            Memory::Silent { most, .. } if now >= most => self.memory = Memory::Unproven,
            Memory::Silent { .. } | Memory::Unproven => {}
        }
        let open = others.filter(|name| !self.learnt.contains(*name));
        let number = |name: &String| self.terms.voters.iter().position(|voter| voter == name);
        let learn = |name: &String| {
            Some((
                number(name)?,
                Message::SyncRequest { after: self.told.get(name).cloned().unwrap_or_default() },
            ))
        };
        open.filter_map(learn).collect()
    }

    /// How long its silence lasts, at the least and at the most; none where it speaks.
    #[must_use]
    pub fn silent(&self) -> Option<(Moment, Moment)> {
        match self.memory {
            Memory::Silent { least, most } => Some((least, most)),
            Memory::Whole | Memory::Unproven => None,
        }
    }

    /// It has still to learn from others.
    #[must_use]
    pub fn learns(&self) -> bool {
        self.memory != Memory::Whole
    }

    /// A candidate or holder asks.
    pub fn ask(
        &mut self,
        now: Moment,
        by: &MemberId,
        duty: &str,
        fence: Fence,
        round: u64,
        mark: Progress,
    ) -> Option<Message> {
        if !self.speaks() || !self.duties.contains_key(duty) && self.duties.len() >= DUTIES {
            return None;
        }
        let promise = self.duties.entry(duty.to_owned()).or_default();
        // The holder may raise its own fence: a candidate that failed elsewhere has left a higher one behind at some voters, which
        // else would never renew the holder's again.
        let same = promise.of.as_ref() == Some(by);
        let mine = same && promise.highest == fence;
        let live = promise.until.filter(|until| now < *until);
        let name = duty.to_owned();
        let held =
            live.filter(|_| !same).and_then(|until| Some((promise.of.as_ref()?.0.clone(), until.since(now))));
        // One that was let go is never granted again: its word may come late.
        let gone = mine && promise.until.is_none();
        if held.is_some() || gone || !mine && fence <= promise.highest {
            let spread = promise.crowd(now, self.terms.lease);
            return Some(Message::Refusal {
                duty: name,
                round,
                highest: promise.highest,
                holder: held,
                spread,
            });
        }
        (promise.highest, promise.of) = (fence, Some(by.clone()));
        promise.until = Some(now.after(self.terms.kept()));
        promise.note(now, mark);
        let (mark, age) = (promise.mark, now.since(promise.marked));
        let proved = promise.proved;
        Some(Message::Grant { duty: name, fence, round, mark, age, unproven: self.unproven() && !proved })
    }

    /// A holder or candidate lets a fence go.
    pub fn release(&mut self, now: Moment, by: &MemberId, duty: &str, fence: Fence, mark: Progress) {
        if let Some(promise) = self.duties.get_mut(duty)
            && promise.highest <= fence
            && promise.of.as_ref() == Some(by)
        {
            promise.until = None;
            promise.note(now, mark);
        }
    }

    /// Another voter asks what this one knows.
    #[must_use]
    pub fn teach(&self, after: &str) -> Message {
        let mut behind = self.duties.iter().filter(|(name, _)| name.as_str() > after);
        let duties = behind.by_ref().take(TOLD).map(|(name, p)| (name.clone(), p.highest, p.mark)).collect();
        let (more, whole) = (behind.next().is_some(), self.memory == Memory::Whole);
        Message::SyncReply { after: after.to_owned(), duties, more, whole }
    }

    /// Another voter tells what it knows, behind a duty that it had told up to.
    pub fn learn(
        &mut self,
        now: Moment,
        from: &str,
        after: &str,
        known: &[(String, Fence, Progress)],
        end: Told,
    ) {
        // Only of voters is anything kept: other names would have no bound.
        if self.memory == Memory::Whole || !self.terms.voters.iter().any(|name| name == from) {
            return;
        }
        let told = self.told.entry(from.to_owned()).or_default();
        if told != after {
            return;
        }
        for (name, fence, mark) in known.iter().take(TOLD) {
            if self.duties.len() >= DUTIES && !self.duties.contains_key(name) {
                continue;
            }
            let promise = self.duties.entry(name.clone()).or_default();
            if *fence > promise.highest {
                (promise.highest, promise.of, promise.until) = (*fence, None, None);
            }
            promise.note(now, *mark);
            *told = name.clone();
        }
        match end {
            Told::More => {}
            Told::AllOfIt => drop(self.learnt.insert(from.to_owned())),
            Told::AllThatIsLeft => {
                self.lost.insert(from.to_owned());
                // It may learn more itself, and is asked again from the first.
                self.told.remove(from);
            }
        }
    }
}

/// How a word of what another voter knows ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// There is more to ask for.
    More,
    /// That was all that it ever promised.
    AllOfIt,
    /// That was all that is left to it: it has lost its memory.
    AllThatIsLeft,
}

impl Promise {
    /// One more asker; gives over how long it is to spread its asking.
    fn crowd(&mut self, now: Moment, lease: u64) -> u64 {
        let least = (lease / 4).max(1);
        self.spread = self.spread.max(least);
        self.asked += 1;
        if now.since(self.counts) >= lease {
            // As many times longer as there were too many of them, or shorter by half at the most.
            let wanted = self.spread.saturating_mul(self.asked) / ASKED;
            self.spread = wanted.clamp((self.spread / 2).max(least), SPREAD * lease);
            (self.counts, self.asked) = (now, 0);
        }
        self.spread
    }

    fn note(&mut self, now: Moment, mark: Progress) {
        if mark.period > self.mark.period {
            self.marked = now;
        }
        self.mark = self.mark.max(mark);
        self.proved |= mark.done && mark.period > 0;
    }
}
