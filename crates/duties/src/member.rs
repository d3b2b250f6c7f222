//! The state machine of a member: its role in each duty, as candidate and holder, and its voter if it is one. It owns
//! all of this state. An I/O adapter delivers messages, wakes it when [`Member::wake_at`] is reached, and carries out
//! effects under the [`EffectPermit`] of each [`Output::RunEffect`].

use crate::duty::{Duty, KnownHolder, Role, Round, RunningEffect};
#[cfg(feature = "plant")]
use crate::fault::Fault;
use crate::interface::{
    Destination, DutySpec, DutyStatus, EffectOutcome, EffectPermit, Input, Notice, Output,
};
use crate::protocol::{
    CurrentHolder, Fence, Grant, LeaseConfig, LeaseRequest, Message, Moment, Progress, Refusal, Release,
};
use crate::voter::{MemberId, Voter};
use rustc_hash::FxHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

/// How many times the receiver of a handover retries at once, as the previous holder's release may reach voters later
/// than its request.
const HANDOVER_RETRIES: u8 = 8;
/// The exponential backoff after failed rounds doubles this many times at most.
const MAX_BACKOFF_DOUBLINGS: u64 = 4;
/// The longest interval for spreading requests that is accepted from a voter, in leases.
const MAX_ACCEPTED_SPREAD_LEASES: u64 = 64;

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    name: String,
    incarnation: u64,
    config: LeaseConfig,
    voter: Option<Voter>,
    duties: BTreeMap<String, Duty>,
    /// Voters that have replied to a lease request of any duty: candidates for a handover.
    responsive_voters: BTreeSet<usize>,
    next_sync: Moment,
    wake_at: Moment,
    shutting_down: bool,
    #[cfg(feature = "plant")]
    fault: Fault,
}

impl Member {
    /// A member whose process starts now, as a candidate for these duties. `first_start` says that no promise was ever
    /// made in the fleet, which only a simulation can know.
    #[must_use]
    pub fn new(
        name: &str,
        incarnation: u64,
        config: LeaseConfig,
        duties: &[DutySpec],
        now: Moment,
        first_start: bool,
    ) -> Member {
        let is_voter = config.voter_index(name).is_some();
        let voter =
            if first_start { Voter::first_start(config.clone()) } else { Voter::start(config.clone(), now) };
        let mut member = Member {
            name: name.to_owned(),
            incarnation,
            voter: is_voter.then_some(voter),
            config,
            duties: BTreeMap::new(),
            responsive_voters: BTreeSet::new(),
            next_sync: now,
            wake_at: now,
            shutting_down: false,
            #[cfg(feature = "plant")]
            fault: Fault::None,
        };
        for spec in duties {
            let request_at = now.after(member.jitter(&spec.name, 0, member.config.lease_us / 4));
            let duty = Duty {
                role: Role::Idle { request_at },
                schedule: spec.schedule,
                highest: Fence(0),
                progress: Progress::default(),
                period_started: now,
                running: None,
                rounds: 0,
                failed_rounds: 0,
                spread_us: 0,
                handover_retries: 0,
                known_holder: None,
                unproven: false,
                reason: "never held",
                changed_at: now,
            };
            member.duties.insert(spec.name.clone(), duty);
        }
        member.schedule_wake(now);
        member
    }

    /// Injects a fault.
    #[cfg(feature = "plant")]
    #[must_use]
    pub fn with_fault(mut self, fault: Fault) -> Member {
        self.fault = fault;
        if let Some(voter) = &mut self.voter {
            voter.inject(fault);
        }
        self
    }

    /// The incarnation of this member.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The latest moment for the next [`Input::Tick`].
    #[must_use]
    pub fn wake_at(&self) -> Moment {
        self.wake_at
    }

    /// The fence under which this member holds a duty at this moment; none if it does not hold it.
    #[must_use]
    pub fn held_fence(&self, duty: &str, now: Moment) -> Option<Fence> {
        match self.duties.get(duty)?.role {
            Role::Holder { fence, until, .. } if now < until => Some(fence),
            _ => None,
        }
    }

    /// The state of each duty.
    pub fn duty_statuses(&self, now: Moment) -> impl Iterator<Item = DutyStatus<'_>> {
        self.duties.iter().map(move |(name, duty)| {
            let (holder, remaining_us) = match (&duty.role, &duty.known_holder) {
                (Role::Holder { until, .. }, _) if now < *until => {
                    (Some(self.name.as_str()), until.since(now))
                }
                (_, Some(known)) if now < known.until => (Some(known.name.as_str()), known.until.since(now)),
                _ => (None, 0),
            };
            DutyStatus {
                duty: name,
                holder,
                fence: duty.highest,
                remaining_us,
                since_us: now.since(duty.changed_at),
                reason: duty.reason,
                progress: duty.progress,
                unproven: duty.unproven,
            }
        })
    }

    /// Whether its voter votes at present; none if it is not a voter.
    #[must_use]
    pub fn voter_active(&self) -> Option<bool> {
        self.voter.as_ref().map(Voter::is_active)
    }

    /// A number below `bound` that differs between members, duties and attempts, and is the same for the same
    /// arguments.
    fn jitter(&self, duty: &str, attempt: u64, bound: u64) -> u64 {
        let mut hasher = FxHasher::default();
        (&self.name, duty, attempt, self.incarnation).hash(&mut hasher);
        // Only the high bits are well spread; the low bits follow the last value hashed.
        ((u128::from(hasher.finish()) * u128::from(bound.max(1))) >> 64) as u64
    }

    /// How long a round waits for replies before it has failed.
    fn round_timeout(&self) -> u64 {
        self.config.lease_us / 8
    }

    /// Handles one input and appends the resulting outputs in order.
    pub fn handle(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        // Messages to the member's own voter are delivered directly; its replies are handled like those of other
        // voters.
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let first = out.len();
            self.handle_one(now, input, out);
            for message in self.take_own_messages(first, out) {
                let own_id = MemberId { name: self.name.clone(), incarnation: self.incarnation };
                if let Some(message) = self.deliver_to_voter(now, &own_id, message) {
                    inputs.push_back(Input::Received {
                        from: own_id.name,
                        incarnation: self.incarnation,
                        in_reply_to: self.incarnation,
                        message,
                    });
                }
            }
        }
        self.schedule_wake(now);
    }

    /// Removes the messages to this member's own voter from the outputs that start at `first`.
    fn take_own_messages(&self, first: usize, out: &mut Vec<Output>) -> Vec<Message> {
        let own = self.config.voter_index(&self.name);
        let is_own = |output: &Output| match output {
            Output::Send { to: Destination::Voter(voter), .. } => Some(*voter) == own,
            _ => false,
        };
        let mut messages = Vec::new();
        let mut n = first;
        while n < out.len() {
            if !is_own(&out[n]) {
                n += 1;
            } else if let Output::Send { message, .. } = out.remove(n) {
                messages.push(message);
            }
        }
        messages
    }

    fn handle_one(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Received { from, incarnation, in_reply_to, message } => {
                let is_reply =
                    matches!(message, Message::Grant(_) | Message::Refusal(_) | Message::SyncReply(_));
                // Replies to an earlier incarnation of this member are ignored.
                if is_reply && in_reply_to != self.incarnation {
                    return;
                }
                self.receive(now, MemberId { name: from, incarnation }, message, out);
            }
            Input::EffectFinished { duty, fence, period, outcome } => {
                self.on_effect_finished(now, &duty, RunningEffect { fence, period }, outcome, out);
            }
            Input::HandOver { duty, to } => self.hand_over(now, &duty, to.as_deref(), "handed on", out),
            Input::Shutdown => {
                self.shutting_down = true;
                let names: Vec<String> = self.duties.keys().cloned().collect();
                for name in names {
                    let successor = self.successor(&name);
                    self.hand_over(now, &name, successor.as_deref(), "told to end", out);
                }
            }
        }
    }

    /// Another voter that is known to reply, chosen by a hash so that duties spread over the voters.
    fn successor(&self, duty: &str) -> Option<String> {
        let names = self
            .responsive_voters
            .iter()
            .filter_map(|voter| self.config.voters.get(*voter))
            .filter(|name| **name != self.name);
        let weight = |name: &&String| {
            let mut hasher = FxHasher::default();
            (*name, duty).hash(&mut hasher);
            hasher.finish()
        };
        names.max_by_key(weight).cloned()
    }

    /// Has this member's voter handle a message. Returns its reply.
    fn deliver_to_voter(&mut self, now: Moment, from: &MemberId, message: Message) -> Option<Message> {
        let voter = self.voter.as_mut()?;
        match message {
            Message::LeaseRequest(request) => voter.handle_request(now, from, request),
            Message::Release(release) => {
                voter.handle_release(now, from, &release);
                None
            }
            Message::SyncRequest { after } => Some(Message::SyncReply(voter.sync_reply(&after))),
            Message::SyncReply(reply) => {
                voter.handle_sync_reply(now, &from.name, &reply);
                None
            }
            Message::Grant(_) | Message::Refusal(_) | Message::HandOver { .. } => None,
        }
    }

    fn receive(&mut self, now: Moment, from: MemberId, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::LeaseRequest(_)
            | Message::Release(_)
            | Message::SyncRequest { .. }
            | Message::SyncReply(_) => {
                let is_sync_reply = matches!(message, Message::SyncReply(_));
                if let Some(message) = self.deliver_to_voter(now, &from, message) {
                    let in_reply_to = from.incarnation;
                    out.push(Output::Send { to: Destination::Sender, in_reply_to, message });
                }
                if is_sync_reply {
                    self.sync_voter(now, out);
                }
            }
            Message::Grant(grant) => {
                let Some(voter) = self.config.voter_index(&from.name) else { return };
                self.responsive_voters.insert(voter);
                self.on_grant(now, voter, &grant, out);
            }
            Message::Refusal(refusal) => {
                let Some(voter) = self.config.voter_index(&from.name) else { return };
                self.responsive_voters.insert(voter);
                self.on_refusal(now, voter, refusal, out);
            }
            Message::HandOver { duty, fence } => self.on_hand_over(now, &duty, fence, out),
        }
    }

    /// Requests the lease of a duty that was handed over to this member.
    fn on_hand_over(&mut self, now: Moment, name: &str, fence: Fence, out: &mut Vec<Output>) {
        if self.shutting_down {
            return;
        }
        let Some(duty) = self.duties.get_mut(name) else { return };
        duty.highest = duty.highest.max(fence);
        if let Role::Idle { request_at } = &mut duty.role {
            *request_at = now;
            duty.failed_rounds = 0;
            duty.handover_retries = HANDOVER_RETRIES;
        }
        self.tick(now, out);
    }

    fn on_grant(&mut self, now: Moment, voter: usize, grant: &Grant, out: &mut Vec<Output>) {
        let name = &grant.duty;
        let Some(duty) = self.duties.get_mut(name) else { return };
        let is_candidate = matches!(duty.role, Role::Candidate { .. });
        let round = match &mut duty.role {
            Role::Candidate { round, .. } | Role::Holder { round: Some(round), .. } => round,
            Role::Holder { .. } | Role::Idle { .. } => return,
        };
        if round.fence != grant.fence || round.number != grant.round {
            return;
        }
        round.granted.insert(voter);
        // The latest start of the period that any voter knows is used: the next period is rather late than early.
        let started = Moment(now.0.saturating_sub(grant.age_us));
        if grant.progress.period > duty.progress.period {
            duty.period_started = started;
        } else if grant.progress.period == duty.progress.period && is_candidate {
            duty.period_started = duty.period_started.max(started);
        }
        let progress_before = duty.progress;
        duty.progress = duty.progress.max(grant.progress);
        let has_majority = round.granted.len() >= self.config.majority();
        #[cfg(feature = "plant")]
        let has_majority = has_majority
            || self.fault == Fault::MajorityOfTheLiving && round.granted.len() > round.refused.len();
        let round_started = round.started;
        let requested = round.progress;
        duty.unproven |= grant.unproven;
        if !has_majority {
            return;
        }
        #[cfg(feature = "plant")]
        let round_started = if self.fault == Fault::LeaseFromAnswer { now } else { round_started };
        let until = round_started.after(self.config.holder_lease_us());
        if now >= until {
            // The majority came so late that the lease has already expired.
            return;
        }
        let renew_at = round_started.after(self.config.lease_us / 3);
        duty.role = Role::Holder { fence: grant.fence, until, renew_at, round: None };
        duty.failed_rounds = 0;
        if is_candidate {
            duty.running = None;
            duty.handover_retries = 0;
            duty.known_holder = None;
            duty.changed_at = now;
            duty.reason = "asked and won";
            out.push(Output::Notify(Notice::Acquired {
                duty: name.clone(),
                fence: grant.fence,
                unproven: duty.unproven,
            }));
            if duty.progress.period > 0 && !duty.progress.done {
                out.push(Output::Notify(Notice::OutcomeUnknown {
                    duty: name.clone(),
                    period: duty.progress.period,
                }));
                #[cfg(feature = "plant")]
                if self.fault == Fault::PeriodAgain {
                    duty.progress.period -= 1;
                }
                // Nobody runs that period again.
                duty.progress.done = true;
            }
        } else if requested.period > 0
            && !requested.done
            && requested == progress_before
            && duty.progress == requested
            && duty.running.is_none()
        {
            // A majority has recorded the number of the period, in the same round that proved the lease. The effect may
            // run only now.
            duty.running = Some(RunningEffect { fence: grant.fence, period: requested.period });
            out.push(Output::RunEffect(EffectPermit {
                duty: name.clone(),
                fence: grant.fence,
                period: requested.period,
                until,
            }));
        }
    }

    fn on_refusal(&mut self, now: Moment, voter: usize, refusal: Refusal, out: &mut Vec<Output>) {
        let Refusal { duty: name, round: number, highest, holder, spread_us } = refusal;
        let Some(duty) = self.duties.get_mut(&name) else { return };
        duty.highest = duty.highest.max(highest);
        duty.spread_us = spread_us.min(MAX_ACCEPTED_SPREAD_LEASES * self.config.lease_us);
        if let Some(CurrentHolder { name: holder, remaining_us }) = holder
            && holder != self.name
        {
            let until = now.after(remaining_us);
            if duty.known_holder.as_ref().is_none_or(|known| until > known.until) {
                duty.known_holder = Some(KnownHolder { name: holder, until });
            }
        }
        let (round, is_holder) = match &mut duty.role {
            Role::Candidate { round, .. } => (round, false),
            Role::Holder { round: Some(round), .. } => (round, true),
            Role::Holder { .. } | Role::Idle { .. } => return,
        };
        if round.number != number {
            return;
        }
        round.refused.insert(voter);
        let majority_possible = round.refused.len() + self.config.majority() <= self.config.voters.len();
        if majority_possible {
            return;
        }
        if is_holder {
            // The fence has become too low: the next round requests a higher one. Meanwhile the current lease stays in
            // force until it expires.
            let soon = now.after((self.config.lease_us / 16).max(1));
            if let Role::Holder { renew_at, round, .. } = &mut duty.role {
                *renew_at = soon;
                *round = None;
            }
        } else {
            self.abandon_candidacy(now, &name, out);
        }
    }

    /// Ends a failed candidacy: releases what was granted and schedules the next request after a backoff.
    fn abandon_candidacy(&mut self, now: Moment, name: &str, out: &mut Vec<Output>) {
        let lease_us = self.config.lease_us;
        let Some(duty) = self.duties.get_mut(name) else { return };
        let Role::Candidate { fence, round } = &duty.role else { return };
        let fence = *fence;
        let refused = round.refused.clone();
        duty.failed_rounds = (duty.failed_rounds + 1).min(MAX_BACKOFF_DOUBLINGS);
        duty.rounds += 1;
        let progress = duty.progress;
        let retries_at_once = duty.handover_retries > 0;
        duty.handover_retries = duty.handover_retries.saturating_sub(1);
        let lease_remaining = duty.known_holder.as_ref().map_or(0, |known| known.until.since(now));
        let spread = if lease_remaining > 0 {
            duty.spread_us.max(lease_us / 4)
        } else {
            (lease_us / 8) << duty.failed_rounds
        };
        let attempt = duty.rounds;
        let wait = if retries_at_once {
            lease_us / 300
        } else {
            lease_remaining + self.jitter(name, attempt, spread)
        };
        let request_at = now.after(1 + wait);
        if let Some(duty) = self.duties.get_mut(name) {
            duty.role = Role::Idle { request_at };
        }
        // A voter whose reply is still on its way keeps its grant until it is released or expires. One that refused
        // granted nothing.
        let voters = self.config.voters.len();
        for voter in (0..voters).filter(|voter| !refused.contains(voter)) {
            self.send_release(voter, name, fence, progress, out);
        }
    }

    /// Releases a held duty; the release carries the progress.
    fn release(&mut self, now: Moment, name: &str, reason: &'static str, out: &mut Vec<Output>) {
        let lease_us = self.config.lease_us;
        let Some(duty) = self.duties.get_mut(name) else { return };
        let Role::Holder { fence, round, .. } = &duty.role else { return };
        let fence = *fence;
        // Some voters may already have granted the higher fence of the round in flight.
        let last_fence = round.as_ref().map_or(fence, |round| round.fence.max(fence));
        duty.rounds += 1;
        duty.reason = reason;
        duty.changed_at = now;
        duty.known_holder = None;
        let progress = duty.progress;
        let attempt = duty.rounds;
        // It does not request the duty again at once: another member has the time of a lease to acquire it.
        let request_at = now.after(lease_us + self.jitter(name, attempt, lease_us / 4));
        if let Some(duty) = self.duties.get_mut(name) {
            duty.role = Role::Idle { request_at };
        }
        out.push(Output::Notify(Notice::Released { duty: name.to_owned(), fence, reason }));
        for voter in 0..self.config.voters.len() {
            self.send_release(voter, name, last_fence, progress, out);
        }
    }

    fn send_release(
        &self,
        voter: usize,
        duty: &str,
        fence: Fence,
        progress: Progress,
        out: &mut Vec<Output>,
    ) {
        let message = Message::Release(Release { duty: duty.to_owned(), fence, progress });
        out.push(Output::Send { to: Destination::Voter(voter), in_reply_to: 0, message });
    }

    /// Releases a duty, and tells its successor to request it if one is named.
    fn hand_over(
        &mut self,
        now: Moment,
        name: &str,
        to: Option<&str>,
        reason: &'static str,
        out: &mut Vec<Output>,
    ) {
        let Some(duty) = self.duties.get(name) else { return };
        let fence = match duty.role {
            Role::Holder { fence, .. } => fence,
            Role::Candidate { .. } => return self.abandon_candidacy(now, name, out),
            Role::Idle { .. } => return,
        };
        #[cfg(feature = "plant")]
        if self.fault == Fault::ReleaseWithoutStopping {
            let unreleased = duty.clone();
            self.release(now, name, reason, out);
            self.duties.insert(name.to_owned(), unreleased);
            return;
        }
        self.release(now, name, reason, out);
        let successor = to.filter(|to| *to != self.name).and_then(|to| self.config.voter_index(to));
        if let Some(voter) = successor {
            let message = Message::HandOver { duty: name.to_owned(), fence };
            out.push(Output::Send { to: Destination::Voter(voter), in_reply_to: 0, message });
        }
    }

    fn on_effect_finished(
        &mut self,
        now: Moment,
        name: &str,
        effect: RunningEffect,
        outcome: EffectOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(duty) = self.duties.get_mut(name) else { return };
        // Effects of an earlier grant were settled when that grant ended.
        if duty.running != Some(effect) {
            return;
        }
        duty.running = None;
        match outcome {
            // An unknown outcome settles the period too: it is never run again.
            EffectOutcome::Done | EffectOutcome::Unknown => duty.progress.done = true,
            EffectOutcome::NotStarted => {
                // Nothing ran under this number, so it can be reused, but only this grant knows that.
                if let Role::Holder { renew_at, .. } = &mut duty.role {
                    *renew_at = now.after(self.config.lease_us / 8);
                } else {
                    duty.progress.done = true;
                }
            }
            EffectOutcome::Fenced { highest, period } => {
                duty.highest = duty.highest.max(highest);
                if period > duty.progress.period {
                    duty.progress.period = period;
                    duty.period_started = now;
                }
                duty.progress.done = true;
                let outdated = matches!(
                    duty.role,
                    Role::Holder { fence, .. } if fence == effect.fence && fence <= highest
                );
                if outdated {
                    self.release(now, name, "a receiver has seen a higher fence", out);
                    // Nobody else knows of that fence: the duty is requested at once under a higher one.
                    if let Some(duty) = self.duties.get_mut(name) {
                        duty.role = Role::Idle { request_at: now };
                    }
                }
            }
        }
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.sync_voter(now, out);
        // If this process was woken this late, anything else in it may be late as well: it releases what it holds
        // before the lease expires.
        let woken_late = now.since(self.wake_at) > self.config.lease_us / 4;
        let round_timeout = self.round_timeout();
        let names: Vec<String> = self.duties.keys().cloned().collect();
        for name in names {
            let Some(duty) = self.duties.get(&name) else { continue };
            match duty.role {
                Role::Idle { request_at } if now >= request_at && !self.shutting_down => {
                    self.start_candidacy(now, &name, out);
                }
                Role::Candidate { ref round, .. } if now.since(round.started) > round_timeout => {
                    self.abandon_candidacy(now, &name, out);
                }
                Role::Holder { until, .. } if now >= until => {
                    self.release(now, &name, "its lease was over before it was renewed", out);
                }
                Role::Holder { .. } if woken_late => {
                    self.release(now, &name, "it was late itself", out);
                }
                Role::Holder { .. } => self.maintain(now, &name, out),
                Role::Idle { .. } | Role::Candidate { .. } => {}
            }
        }
    }

    /// Has the voter end its silence if it is time to, and requests promises that it still has to learn.
    fn sync_voter(&mut self, now: Moment, out: &mut Vec<Output>) {
        let Some(voter) = &mut self.voter else { return };
        let targets = voter.tick(now, &self.name);
        if now < self.next_sync {
            return;
        }
        self.next_sync = now.after((self.config.lease_us / 4).max(1));
        for target in targets {
            let message = Message::SyncRequest { after: target.after };
            out.push(Output::Send { to: Destination::Voter(target.voter), in_reply_to: 0, message });
        }
    }

    /// Requests the lease of a duty that has no holder as far as this member knows.
    fn start_candidacy(&mut self, now: Moment, name: &str, out: &mut Vec<Output>) {
        let Some(duty) = self.duties.get_mut(name) else { return };
        duty.rounds += 1;
        let fence = Fence(duty.highest.0 + 1);
        #[cfg(feature = "plant")]
        let fence = if self.fault == Fault::FenceAnew { Fence(1 + duty.failed_rounds) } else { fence };
        duty.highest = fence;
        duty.unproven = false;
        let round = Round::new(duty.rounds, fence, now, Progress::default());
        duty.role = Role::Candidate { fence, round: round.clone() };
        self.send_requests(name, &round, out);
    }

    /// Sends the lease requests of a round to all voters.
    fn send_requests(&self, duty: &str, round: &Round, out: &mut Vec<Output>) {
        for voter in 0..self.config.voters.len() {
            let message = Message::LeaseRequest(LeaseRequest {
                duty: duty.to_owned(),
                fence: round.fence,
                round: round.number,
                progress: round.progress,
            });
            out.push(Output::Send { to: Destination::Voter(voter), in_reply_to: 0, message });
        }
    }

    /// Renews a held lease and starts a period that is due, both in one round.
    fn maintain(&mut self, now: Moment, name: &str, out: &mut Vec<Output>) {
        let round_timeout = self.round_timeout();
        let Some(duty) = self.duties.get_mut(name) else { return };
        let Role::Holder { fence, renew_at, ref round, .. } = duty.role else { return };
        if round.as_ref().is_some_and(|round| now.since(round.started) <= round_timeout) {
            return;
        }
        let due_schedule = duty.schedule.filter(|schedule| duty.period_is_due(now, *schedule));
        if now < renew_at && due_schedule.is_none() {
            return;
        }
        if let Some(schedule) = due_schedule {
            let skipped = duty.start_period(now, schedule);
            if skipped > 0 {
                let notice = Notice::PeriodsSkipped { duty: name.to_owned(), count: skipped };
                out.push(Output::Notify(notice));
            }
        }
        duty.rounds += 1;
        // Voters may have promised a higher fence to a candidate that failed; they renew only a fence above that.
        let round_fence = if duty.highest > fence { Fence(duty.highest.0 + 1) } else { fence };
        duty.highest = round_fence;
        duty.unproven = false;
        let next_round = Round::new(duty.rounds, round_fence, now, duty.progress);
        if let Role::Holder { renew_at, round, .. } = &mut duty.role {
            *renew_at = now.after(round_timeout.max(1));
            *round = Some(next_round.clone());
        }
        self.send_requests(name, &next_round, out);
    }

    /// Sets when this member is to be woken.
    fn schedule_wake(&mut self, now: Moment) {
        let round_timeout = self.round_timeout();
        let duties = self.duties.values();
        let duty_events = duties.filter_map(|duty| duty.next_event(self.shutting_down, round_timeout));
        let next_event = duty_events.chain(self.next_voter_event()).min().unwrap_or(Moment(u64::MAX));
        // Lateness is counted from now at the earliest. Otherwise every wait that ended long ago would count as
        // lateness of this process.
        self.wake_at = next_event.max(now);
    }

    fn next_voter_event(&self) -> Option<Moment> {
        let voter = self.voter.as_ref()?;
        match voter.silence() {
            Some(silence) if self.next_sync < silence.earliest_end => Some(self.next_sync),
            Some(silence) => Some(silence.latest_end.min(self.next_sync)),
            None => voter.is_learning().then_some(self.next_sync),
        }
    }
}
