//! A voter: its promises for each duty, and whether it may vote. Promises are changed here only.

use crate::protocol::{
    CurrentHolder, Fence, Grant, LeaseConfig, LeaseRequest, Message, Moment, Progress, PromisedDuty, Refusal,
    Release, SyncReply,
};
use std::collections::{BTreeMap, BTreeSet};

/// The number of duties that a voter keeps, which bounds its memory; requests for further ones get no reply.
const MAX_DUTIES: usize = 4096;
/// The number of duties in a [`SyncReply`], so that it fits into one datagram.
const DUTIES_PER_SYNC_REPLY: usize = 12;
/// The number of requests beside the holder's that a voter aims to receive per lease.
const REQUESTS_PER_LEASE: u64 = 8;
/// The longest interval, in leases, over which candidates are told to spread their requests. The survivors of a fleet
/// that has mostly died send their requests within it.
const MAX_SPREAD_LEASES: u64 = 32;
/// A voter that could not learn from enough others votes after this many leases of silence, and marks its grants
/// unproven.
const MAX_SILENCE_LEASES: u64 = 5;

/// One incarnation of a member; leases are granted to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberId {
    /// The name of the member.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// What a voter has promised and recorded for one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Promise {
    /// The highest fence granted.
    highest: Fence,
    /// The member it was granted to.
    granted_to: Option<MemberId>,
    /// When the lease on it expires; none once it has been released.
    leased_until: Option<Moment>,
    progress: Progress,
    /// When the period in `progress` was first received.
    period_received: Moment,
    /// When the current count of refused requests began.
    count_started: Moment,
    /// Requests refused since then.
    refused_requests: u64,
    /// The interval over which candidates are told to spread their requests.
    spread_us: u64,
    /// An effect of this duty was carried out under a promised fence: its receiver has seen no higher one.
    proven: bool,
}

/// The interval in which a voter that lost its memory ends its silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Silence {
    /// It stays silent until this moment, when every lease it may have granted has expired.
    pub earliest_end: Moment,
    /// It votes from this moment on, even if it has not learnt enough.
    pub latest_end: Moment,
}

/// What a voter remembers of its promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Memory {
    /// It remembers all of its promises, or has learnt all that it needs.
    Complete,
    /// It started without memory and stays silent until it has learnt enough, within these bounds.
    Silent(Silence),
    /// It could not learn enough in time; it votes nevertheless and goes on learning.
    Unproven,
}

/// Another voter that is to be asked for its promises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncTarget {
    /// The position of the voter in the configured list.
    pub voter: usize,
    /// The last duty received from it.
    pub after: String,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    config: LeaseConfig,
    promises: BTreeMap<String, Promise>,
    memory: Memory,
    /// Other voters with complete memory that have sent all of their promises.
    learnt_from: BTreeSet<String>,
    /// Other voters that have lost their memory too.
    without_memory: BTreeSet<String>,
    /// So many voters had lost their memory that their joint promises are unknown.
    quorum_memory_lost: bool,
    /// The last duty received from each other voter.
    sync_positions: BTreeMap<String, String>,
}

impl Voter {
    /// A voter whose process starts now. It may have made promises in an earlier incarnation, so it starts silent.
    #[must_use]
    pub fn start(config: LeaseConfig, now: Moment) -> Voter {
        let silence = Silence {
            earliest_end: now.after(config.voter_lease_us()),
            latest_end: now.after(MAX_SILENCE_LEASES * config.voter_lease_us()),
        };
        Voter {
            config,
            promises: BTreeMap::new(),
            memory: Memory::Silent(silence),
            learnt_from: BTreeSet::new(),
            without_memory: BTreeSet::new(),
            quorum_memory_lost: false,
            sync_positions: BTreeMap::new(),
        }
    }

    /// A voter at the first start of a fleet, when no promise was ever made. Only simulations can know this.
    #[must_use]
    pub fn first_start(config: LeaseConfig) -> Voter {
        Voter { memory: Memory::Complete, ..Voter::start(config, Moment::default()) }
    }

    #[cfg(feature = "plant")]
    pub(crate) fn inject(&mut self, fault: crate::fault::Fault) {
        if fault == crate::fault::Fault::VotesAtOnce {
            self.memory = Memory::Complete;
        }
    }

    /// Whether it votes now.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !matches!(self.memory, Memory::Silent(_))
    }

    /// Whether promises that the voters made together may be unknown to it.
    #[must_use]
    pub fn is_unproven(&self) -> bool {
        self.memory == Memory::Unproven || self.quorum_memory_lost
    }

    /// Ends the silence if it is time to. Returns the voters that are still to be asked for their promises.
    pub fn tick(&mut self, now: Moment, own_name: &str) -> Vec<SyncTarget> {
        let others = self.config.voters.iter().filter(|name| *name != own_name);
        // Every majority that this voter was part of includes one of a majority of the others. If that many with memory
        // do not exist, the replies of all others are all there is to learn.
        let majority_learnt = self.learnt_from.len() >= self.config.majority();
        let all_replied =
            others.clone().all(|name| self.learnt_from.contains(name) || self.without_memory.contains(name));
        match self.memory {
            Memory::Complete => return Vec::new(),
            Memory::Silent(silence) if now < silence.earliest_end => {}
            Memory::Silent(_) | Memory::Unproven if majority_learnt || all_replied => {
                self.quorum_memory_lost = !majority_learnt;
                self.memory = Memory::Complete;
                return Vec::new();
            }
            Memory::Silent(silence) if now >= silence.latest_end => self.memory = Memory::Unproven,
            Memory::Silent(_) | Memory::Unproven => {}
        }
        let missing = others.filter(|name| !self.learnt_from.contains(*name));
        let target = |name: &String| {
            let voter = self.config.voter_index(name)?;
            let after = self.sync_positions.get(name).cloned().unwrap_or_default();
            Some(SyncTarget { voter, after })
        };
        missing.filter_map(target).collect()
    }

    /// The bounds of its silence; none if it votes.
    #[must_use]
    pub fn silence(&self) -> Option<Silence> {
        match self.memory {
            Memory::Silent(silence) => Some(silence),
            Memory::Complete | Memory::Unproven => None,
        }
    }

    /// Whether it still has promises to learn from others.
    #[must_use]
    pub fn is_learning(&self) -> bool {
        self.memory != Memory::Complete
    }

    /// Handles a lease request of a candidate or holder.
    pub fn handle_request(&mut self, now: Moment, by: &MemberId, request: LeaseRequest) -> Option<Message> {
        let LeaseRequest { duty, fence, round, progress } = request;
        if !self.is_active() || !self.promises.contains_key(&duty) && self.promises.len() >= MAX_DUTIES {
            return None;
        }
        let promise = self.promises.entry(duty.clone()).or_default();
        // The holder may raise its own fence: a candidate that failed elsewhere has left a higher one at some voters,
        // which otherwise would never renew the holder's lease again.
        let same_member = promise.granted_to.as_ref() == Some(by);
        let renewal = same_member && promise.highest == fence;
        let holder = if same_member { None } else { promise.current_holder(now) };
        // A released fence is never granted again, as the request may be a late one.
        let released = renewal && promise.leased_until.is_none();
        if holder.is_some() || released || !renewal && fence <= promise.highest {
            let highest = promise.highest;
            let spread_us = promise.count_refused_request(now, self.config.lease_us);
            return Some(Message::Refusal(Refusal { duty, round, highest, holder, spread_us }));
        }
        promise.highest = fence;
        promise.granted_to = Some(by.clone());
        promise.leased_until = Some(now.after(self.config.voter_lease_us()));
        promise.record(now, progress);
        let progress = promise.progress;
        let age_us = now.since(promise.period_received);
        let proven = promise.proven;
        let unproven = self.is_unproven() && !proven;
        Some(Message::Grant(Grant { duty, fence, round, progress, age_us, unproven }))
    }

    /// Handles the release of a lease by its holder or candidate.
    pub fn handle_release(&mut self, now: Moment, by: &MemberId, release: &Release) {
        if let Some(promise) = self.promises.get_mut(&release.duty)
            && promise.highest <= release.fence
            && promise.granted_to.as_ref() == Some(by)
        {
            promise.leased_until = None;
            promise.record(now, release.progress);
        }
    }

    /// The promises that follow a duty, for another voter that lost its memory.
    #[must_use]
    pub fn sync_reply(&self, after: &str) -> SyncReply {
        let mut following = self.promises.iter().filter(|(duty, _)| duty.as_str() > after);
        let promised = |(duty, promise): (&String, &Promise)| PromisedDuty {
            duty: duty.clone(),
            highest: promise.highest,
            progress: promise.progress,
        };
        let duties = following.by_ref().take(DUTIES_PER_SYNC_REPLY).map(promised).collect();
        SyncReply {
            after: after.to_owned(),
            duties,
            more: following.next().is_some(),
            complete: self.memory == Memory::Complete,
        }
    }

    /// Handles the promises sent by another voter.
    pub fn handle_sync_reply(&mut self, now: Moment, from: &str, reply: &SyncReply) {
        // Replies are kept from voters only: the number of other names has no bound.
        if self.memory == Memory::Complete || self.config.voter_index(from).is_none() {
            return;
        }
        let position = self.sync_positions.entry(from.to_owned()).or_default();
        if *position != reply.after {
            return;
        }
        for promised in reply.duties.iter().take(DUTIES_PER_SYNC_REPLY) {
            if self.promises.len() >= MAX_DUTIES && !self.promises.contains_key(&promised.duty) {
                continue;
            }
            let promise = self.promises.entry(promised.duty.clone()).or_default();
            if promised.highest > promise.highest {
                promise.highest = promised.highest;
                promise.granted_to = None;
                promise.leased_until = None;
            }
            promise.record(now, promised.progress);
            *position = promised.duty.clone();
        }
        if reply.more {
            return;
        }
        if reply.complete {
            self.learnt_from.insert(from.to_owned());
        } else {
            self.without_memory.insert(from.to_owned());
            // It may learn more itself, so it is asked again from the first duty.
            self.sync_positions.remove(from);
        }
    }
}

impl Promise {
    /// The holder of the lease, if it has not expired.
    fn current_holder(&self, now: Moment) -> Option<CurrentHolder> {
        let until = self.leased_until.filter(|until| now < *until)?;
        let holder = self.granted_to.as_ref()?;
        Some(CurrentHolder { name: holder.name.clone(), remaining_us: until.since(now) })
    }

    /// Counts a refused request. Returns the interval over which candidates are to spread their next requests.
    fn count_refused_request(&mut self, now: Moment, lease_us: u64) -> u64 {
        let shortest = (lease_us / 4).max(1);
        self.spread_us = self.spread_us.max(shortest);
        self.refused_requests += 1;
        if now.since(self.count_started) >= lease_us {
            // Scaled by the ratio of received to wanted requests, but at most halved.
            let scaled = self.spread_us.saturating_mul(self.refused_requests) / REQUESTS_PER_LEASE;
            let lower_bound = (self.spread_us / 2).max(shortest);
            self.spread_us = scaled.clamp(lower_bound, MAX_SPREAD_LEASES * lease_us);
            self.count_started = now;
            self.refused_requests = 0;
        }
        self.spread_us
    }

    fn record(&mut self, now: Moment, progress: Progress) {
        if progress.period > self.progress.period {
            self.period_received = now;
        }
        self.progress = self.progress.max(progress);
        self.proven |= progress.done && progress.period > 0;
    }
}
