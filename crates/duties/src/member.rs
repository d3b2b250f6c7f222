//! A member: its part in each duty, as candidate and as holder, and its voter where it is one. It owns all of it; a shell
//! carries messages, wakes it, and carries out effects under the [`EffectPermit`](crate::Output::RunEffect) value that it is given.

#[cfg(feature = "plant")]
use crate::fault::Fault;
use crate::protocol::{Fence, LeaseConfig, Message, Moment, Progress};
use crate::voter::{MemberId, Told, Voter};
use rustc_hash::FxHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

/// Missed periods that are caught up with at the most.
const CAUGHT_UP: u64 = 100;
/// How often one that a duty was handed to asks again at once.
const HANDED: u8 = 8;

/// An effect on a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Schedule {
    /// How often, in microseconds.
    pub period: u64,
    /// A missed period is run late; else it is told and left out.
    pub catch_up: bool,
}

/// Permission to carry out one effect: a value with a deadline, asked at the effect itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EffectPermit {
    /// The duty.
    pub duty: String,
    /// The fence that goes with the effect.
    pub fence: Fence,
    /// The period's number.
    pub period: u64,
    until: Moment,
}

impl EffectPermit {
    /// Whether the effect may begin at this moment.
    #[must_use]
    pub fn is_valid_at(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Until when it may.
    #[must_use]
    pub fn valid_until(&self) -> Moment {
        self.until
    }
}

/// How an effect ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EffectOutcome {
    /// It is done.
    Done,
    /// It may have been done, or may yet be.
    Unknown,
    /// It never began: it may be tried again.
    NotStarted,
    /// Its receiver has seen this higher fence, and a period where it tells one.
    Fenced(Fence, u64),
}

/// What a member is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Another member said something.
    Received {
        /// Its name.
        from: String,
        /// Its life.
        life: u64,
        /// The life of this member that it answers; 0 where it answers nothing.
        to: u64,
        /// What.
        message: Message,
    },
    /// An effect ended.
    EffectFinished {
        /// The duty.
        duty: String,
        /// The fence that it was begun under.
        fence: Fence,
        /// The period's number.
        period: u64,
        /// How.
        ended: EffectOutcome,
    },
    /// It is to let a duty go, to another where one is named, and not to ask for it for a while.
    HandOver {
        /// The duty.
        duty: String,
        /// The next holder.
        to: Option<String>,
    },
    /// It ends: all is let go.
    Shutdown,
}

/// Where a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Destination {
    /// To a voter, by its place in the list.
    Voter(usize),
    /// To where the message came from that is answered.
    Sender,
}

/// What a member wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send this; `answers` is the life that it answers, or 0.
    Send {
        /// To whom.
        to: Destination,
        /// The life that it answers.
        answers: u64,
        /// What.
        message: Message,
    },
    /// Carry out an effect, if the value says so when it begins, and tell how it ended.
    RunEffect(EffectPermit),
    /// For the log and the view.
    Notify(Notice),
}

/// What happened to a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// This member holds it now, under this fence; too many voters may have lost their memory for the fence to be proved.
    Acquired(String, Fence, bool),
    /// It holds it no more, and why.
    Released(String, Fence, &'static str),
    /// The holder before began this period, and whether it was done is not known: it is not run again.
    OutcomeUnknown(String, u64),
    /// So many periods passed without a holder, and are left out.
    PeriodsSkipped(String, u64),
}

/// One round of asking every voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u64,
    fence: Fence,
    since: Moment,
    mark: Progress,
    yes: BTreeSet<usize>,
    no: BTreeSet<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// Not held by this member; it asks then.
    Idle { asks: Moment },
    /// Asking under this fence.
    Asking { fence: Fence, round: Round },
    /// Held.
    Holding { fence: Fence, until: Moment, renews: Moment, round: Option<Round> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Duty {
    stage: Stage,
    effect: Option<Schedule>,
    /// The highest fence heard of.
    seen: Fence,
    /// How far the periods are known to be, and since when at the latest.
    mark: Progress,
    marked: Moment,
    /// The effect that is out: its fence and period.
    out: Option<(Fence, u64)>,
    /// Rounds asked in this life, and how often asking failed in a row.
    rounds: u64,
    failed: u64,
    /// Over how long a voter last said to spread the next asking.
    spread: u64,
    /// It was handed to this member: so often it asks again at once, as the word of its release may come behind that.
    handed: u8,
    /// Who holds it, by the voters' word, and until when by this clock.
    holder: Option<(String, Moment)>,
    unproven: bool,
    why: &'static str,
    since: Moment,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    me: String,
    life: u64,
    terms: LeaseConfig,
    voter: Option<Voter>,
    duties: BTreeMap<String, Duty>,
    /// Voters that answered the last round of any duty, to know whom a duty can be handed to.
    answered: BTreeSet<usize>,
    learns: Moment,
    due: Moment,
    ends: bool,
    #[cfg(feature = "plant")]
    plant: Fault,
}

/// What operators see of a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyStatus<'a> {
    /// The duty.
    pub duty: &'a str,
    /// Who holds it, as far as this member knows.
    pub holder: Option<&'a str>,
    /// The highest fence it has heard of.
    pub fence: Fence,
    /// For how much longer it is held, in microseconds.
    pub left: u64,
    /// For how long that has been so, in microseconds, by this member's own word.
    pub since: u64,
    /// Why it changed hands last here.
    pub why: &'a str,
    /// How far the periods are.
    pub mark: Progress,
    /// Whether the fence is proved.
    pub unproven: bool,
}

impl Member {
    /// A member that starts now, with these duties to stand for. `first` says that nothing was ever promised before, which
    /// only an exploration can know.
    #[must_use]
    pub fn new(
        me: &str,
        life: u64,
        terms: LeaseConfig,
        duties: &[(String, Option<Schedule>)],
        now: Moment,
        first: bool,
    ) -> Member {
        let votes = terms.voters.iter().any(|name| name == me);
        let voter = if first { Voter::first(terms.clone()) } else { Voter::begin(terms.clone(), now) };
        let mut member = Member {
            me: me.to_owned(),
            life,
            voter: votes.then_some(voter),
            terms,
            duties: BTreeMap::new(),
            answered: BTreeSet::new(),
            learns: now,
            due: now,
            ends: false,
            #[cfg(feature = "plant")]
            plant: Fault::None,
        };
        for (name, effect) in duties {
            let asks = now.after(member.drawn(name, 0, member.terms.lease / 4));
            let duty = Duty {
                stage: Stage::Idle { asks },
                effect: *effect,
                seen: Fence(0),
                mark: Progress::default(),
                marked: now,
                out: None,
                rounds: 0,
                failed: 0,
                spread: 0,
                handed: 0,
                holder: None,
                unproven: false,
                why: "never held",
                since: now,
            };
            member.duties.insert(name.clone(), duty);
        }
        member.plan(now);
        member
    }

    /// Plants a fault.
    #[cfg(feature = "plant")]
    #[must_use]
    pub fn with_fault(mut self, fault: Fault) -> Member {
        self.plant = fault;
        if let Some(voter) = &mut self.voter {
            voter.plant(fault);
        }
        self
    }

    /// Its life.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.life
    }

    /// When it is to be woken at the latest.
    #[must_use]
    pub fn wake_at(&self) -> Moment {
        self.due
    }

    /// Whether it holds a duty at this moment, and under which fence.
    #[must_use]
    pub fn held_fence(&self, duty: &str, now: Moment) -> Option<Fence> {
        match self.duties.get(duty)?.stage {
            Stage::Holding { fence, until, .. } if now < until => Some(fence),
            _ => None,
        }
    }

    /// What is known of each duty.
    pub fn duty_statuses(&self, now: Moment) -> impl Iterator<Item = DutyStatus<'_>> {
        self.duties.iter().map(move |(name, duty)| {
            let (holder, left) = match (&duty.stage, &duty.holder) {
                (Stage::Holding { until, .. }, _) if now < *until => {
                    (Some(self.me.as_str()), until.since(now))
                }
                (_, Some((holder, until))) if now < *until => (Some(holder.as_str()), until.since(now)),
                _ => (None, 0),
            };
            let (fence, mark, why, unproven) = (duty.seen, duty.mark, duty.why, duty.unproven);
            DutyStatus { duty: name, holder, fence, left, since: now.since(duty.since), why, mark, unproven }
        })
    }

    /// Whether it is a voter, and one that speaks.
    #[must_use]
    pub fn voter_active(&self) -> Option<bool> {
        self.voter.as_ref().map(Voter::speaks)
    }

    /// A number under a bound that differs from member to member, duty to duty and try to try, and is the same each time.
    fn drawn(&self, duty: &str, tries: u64, under: u64) -> u64 {
        let mut hasher = FxHasher::default();
        (&self.me, duty, tries, self.life).hash(&mut hasher);
        // Its low bits follow the last word hashed: the high ones are spread.
        ((u128::from(hasher.finish()) * u128::from(under.max(1))) >> 64) as u64
    }

    /// Takes one input at a time; what it wants done is added in order.
    pub fn handle(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        // What is for its own voter goes straight there, and comes back as from any other.
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let first = out.len();
            self.take(now, input, out);
            let own = self.terms.voters.iter().position(|name| *name == self.me);
            let mut n = first;
            while n < out.len() {
                match &out[n] {
                    Output::Send { to: Destination::Voter(voter), .. } if Some(*voter) == own => {
                        let Output::Send { message, .. } = out.remove(n) else { continue };
                        let by = (self.me.clone(), self.life);
                        if let Some(message) = self.vote(now, &by, message) {
                            let (from, life, to) = (self.me.clone(), self.life, self.life);
                            inputs.push_back(Input::Received { from, life, to, message });
                        }
                    }
                    _ => n += 1,
                }
            }
        }
        self.plan(now);
    }

    fn take(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Received { from, life, to, message } => {
                let answer = matches!(
                    message,
                    Message::Grant { .. } | Message::Refusal { .. } | Message::SyncReply { .. }
                );
                // What answers an earlier life of this member is none of this one's.
                if answer && to != self.life {
                    return;
                }
                self.heard(now, from, life, message, out);
            }
            Input::EffectFinished { duty, fence, period, ended } => {
                self.ran(now, &duty, (fence, period), ended, out)
            }
            Input::HandOver { duty, to } => self.hand(now, &duty, to.as_deref(), "handed on", out),
            Input::Shutdown => {
                self.ends = true;
                let names: Vec<String> = self.duties.keys().cloned().collect();
                for name in names {
                    let next = self.next(&name);
                    self.hand(now, &name, next.as_deref(), "told to end", out);
                }
            }
        }
    }

    /// Another voter that answered last, in an order that differs from duty to duty.
    fn next(&self, duty: &str) -> Option<String> {
        let names =
            self.answered.iter().filter_map(|n| self.terms.voters.get(*n)).filter(|name| **name != self.me);
        let weight = |name: &&String| {
            let mut hasher = FxHasher::default();
            (*name, duty).hash(&mut hasher);
            hasher.finish()
        };
        names.max_by_key(weight).cloned()
    }

    fn vote(&mut self, now: Moment, by: &MemberId, message: Message) -> Option<Message> {
        let voter = self.voter.as_mut()?;
        match message {
            Message::LeaseRequest { duty, fence, round, mark } => {
                voter.ask(now, by, &duty, fence, round, mark)
            }
            Message::Release { duty, fence, mark } => {
                voter.release(now, by, &duty, fence, mark);
                None
            }
            Message::SyncRequest { after } => Some(voter.teach(&after)),
            Message::SyncReply { after, duties, more, whole } => {
                let end = match (more, whole) {
                    (true, _) => Told::More,
                    (false, true) => Told::AllOfIt,
                    (false, false) => Told::AllThatIsLeft,
                };
                voter.learn(now, &by.0, &after, &duties, end);
                None
            }
            Message::Grant { .. } | Message::Refusal { .. } | Message::HandOver { .. } => None,
        }
    }

    fn heard(&mut self, now: Moment, from: String, life: u64, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::LeaseRequest { .. }
            | Message::Release { .. }
            | Message::SyncRequest { .. }
            | Message::SyncReply { .. } => {
                let known = matches!(message, Message::SyncReply { .. });
                if let Some(message) = self.vote(now, &(from, life), message) {
                    out.push(Output::Send { to: Destination::Sender, answers: life, message });
                }
                if known {
                    self.learn(now, out);
                }
            }
            Message::Grant { duty, fence, round, mark, age, unproven } => {
                let Some(voter) = self.terms.voters.iter().position(|name| *name == from) else { return };
                self.answered.insert(voter);
                self.yes(now, voter, &duty, (fence, round), (mark, age, unproven), out);
            }
            Message::Refusal { duty, round, highest, holder, spread } => {
                let Some(voter) = self.terms.voters.iter().position(|name| *name == from) else { return };
                self.answered.insert(voter);
                self.no(now, voter, &duty, (round, spread), highest, holder, out);
            }
            Message::HandOver { duty, fence } => {
                if let Some(duty) = self.duties.get_mut(&duty).filter(|_| !self.ends) {
                    duty.seen = duty.seen.max(fence);
                    if let Stage::Idle { asks } = &mut duty.stage {
                        (*asks, duty.failed, duty.handed) = (now, 0, HANDED);
                    }
                    self.tick(now, out);
                }
            }
        }
    }

    fn yes(
        &mut self,
        now: Moment,
        voter: usize,
        name: &str,
        (fence, number): (Fence, u64),
        (mark, age, unproven): (Progress, u64, bool),
        out: &mut Vec<Output>,
    ) {
        let Some(duty) = self.duties.get_mut(name) else { return };
        let asking = matches!(duty.stage, Stage::Asking { .. });
        let round = match &mut duty.stage {
            Stage::Asking { round, .. } | Stage::Holding { round: Some(round), .. } => round,
            Stage::Holding { .. } | Stage::Idle { .. } => return,
        };
        if round.fence != fence || round.number != number {
            return;
        }
        round.yes.insert(voter);
        // When the last period was begun, at the latest that any voter knows: the next is rather late than early.
        let begun = Moment(now.0.saturating_sub(age));
        if mark.period > duty.mark.period {
            duty.marked = begun;
        } else if mark.period == duty.mark.period && asking {
            duty.marked = duty.marked.max(begun);
        }
        let noted = duty.mark;
        duty.mark = duty.mark.max(mark);
        let enough = round.yes.len() >= self.terms.majority();
        #[cfg(feature = "plant")]
        let enough = enough || self.plant == Fault::MajorityOfTheLiving && round.yes.len() > round.no.len();
        let (since, asked) = (round.since, round.mark);
        duty.unproven |= unproven;
        if !enough {
            return;
        }
        #[cfg(feature = "plant")]
        let since = if self.plant == Fault::LeaseFromAnswer { now } else { since };
        let until = since.after(self.terms.held());
        if now >= until {
            // Proved too late to be worth anything: it is over before it began.
            return;
        }
        let renews = since.after(self.terms.lease / 3);
        duty.stage = Stage::Holding { fence, until, renews, round: None };
        duty.failed = 0;
        if asking {
            (duty.out, duty.handed) = (None, 0);
            (duty.holder, duty.since, duty.why) = (None, now, "asked and won");
            out.push(Output::Notify(Notice::Acquired(name.to_owned(), fence, duty.unproven)));
            if duty.mark.period > 0 && !duty.mark.done {
                out.push(Output::Notify(Notice::OutcomeUnknown(name.to_owned(), duty.mark.period)));
                #[cfg(feature = "plant")]
                if self.plant == Fault::PeriodAgain {
                    duty.mark.period -= 1;
                }
                // Its fate is settled: nobody runs it again.
                duty.mark.done = true;
            }
        } else if asked.period > 0
            && !asked.done
            && asked == noted
            && duty.mark == asked
            && duty.out.is_none()
        {
            // A majority has the period's number, under a lease that this same round proved: now, and only now, it may run.
            duty.out = Some((fence, asked.period));
            let held = EffectPermit { duty: name.to_owned(), fence, period: asked.period, until };
            out.push(Output::RunEffect(held));
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn no(
        &mut self,
        now: Moment,
        voter: usize,
        name: &str,
        (number, spread): (u64, u64),
        highest: Fence,
        holder: Option<(String, u64)>,
        out: &mut Vec<Output>,
    ) {
        let Some(duty) = self.duties.get_mut(name) else { return };
        duty.seen = duty.seen.max(highest);
        duty.spread = spread.min(64 * self.terms.lease);
        let own = matches!(&holder, Some((who, _)) if *who == self.me);
        if let Some((who, left)) = holder.filter(|_| !own) {
            let until = now.after(left);
            if duty.holder.as_ref().is_none_or(|(_, known)| until > *known) {
                duty.holder = Some((who, until));
            }
        }
        let (round, holding) = match &mut duty.stage {
            Stage::Asking { round, .. } => (round, false),
            Stage::Holding { round: Some(round), .. } => (round, true),
            Stage::Holding { .. } | Stage::Idle { .. } => return,
        };
        if round.number != number {
            return;
        }
        round.no.insert(voter);
        // So many say no that no majority can be left.
        if round.no.len() + self.terms.majority() > self.terms.voters.len() {
            if holding {
                // Under a fence that is too low by now: asked again under a higher one. Its lease runs on meanwhile, or out.
                let soon = now.after((self.terms.lease / 16).max(1));
                if let Stage::Holding { renews, round, .. } = &mut duty.stage {
                    (*renews, *round) = (soon, None);
                }
            } else {
                self.give_up(now, name, out);
            }
        }
    }

    /// Asking has failed: what was granted is given back, and it asks again later, when others are done.
    fn give_up(&mut self, now: Moment, name: &str, out: &mut Vec<Output>) {
        let lease = self.terms.lease;
        let Some(duty) = self.duties.get_mut(name) else { return };
        let Stage::Asking { fence, round } = &duty.stage else { return };
        let (fence, refused) = (*fence, round.no.clone());
        duty.failed = (duty.failed + 1).min(4);
        duty.rounds += 1;
        let (mark, handed) = (duty.mark, duty.handed > 0);
        duty.handed = duty.handed.saturating_sub(1);
        let left = duty.holder.as_ref().map_or(0, |(_, until)| until.since(now));
        let busy = duty.spread.max(lease / 4);
        let (tries, spread) = (duty.rounds, if left > 0 { busy } else { (lease / 8) << duty.failed });
        let wait = if handed { lease / 300 } else { left + self.drawn(name, tries, spread) };
        let asks = now.after(1 + wait);
        if let Some(duty) = self.duties.get_mut(name) {
            duty.stage = Stage::Idle { asks };
        }
        // A voter whose word is still on its way keeps to its grant until it is over; one that said no gave none.
        let voters = self.terms.voters.len();
        for voter in (0..voters).filter(|voter| !refused.contains(voter)) {
            let message = Message::Release { duty: name.to_owned(), fence, mark };
            out.push(Output::Send { to: Destination::Voter(voter), answers: 0, message });
        }
    }

    /// Holds it no more. What was begun is told with it.
    fn let_go(&mut self, now: Moment, name: &str, why: &'static str, out: &mut Vec<Output>) {
        let lease = self.terms.lease;
        let Some(duty) = self.duties.get_mut(name) else { return };
        let Stage::Holding { fence, round, .. } = &duty.stage else { return };
        // Some voters may have granted the higher one of the round that is out.
        let (fence, last) = (*fence, round.as_ref().map_or(*fence, |round| round.fence.max(*fence)));
        duty.rounds += 1;
        (duty.why, duty.since, duty.holder) = (why, now, None);
        let (mark, tries) = (duty.mark, duty.rounds);
        // It takes nothing back at once: another has the time of a lease to come in.
        let asks = now.after(lease + self.drawn(name, tries, lease / 4));
        if let Some(duty) = self.duties.get_mut(name) {
            duty.stage = Stage::Idle { asks };
        }
        out.push(Output::Notify(Notice::Released(name.to_owned(), fence, why)));
        for voter in 0..self.terms.voters.len() {
            let message = Message::Release { duty: name.to_owned(), fence: last, mark };
            out.push(Output::Send { to: Destination::Voter(voter), answers: 0, message });
        }
    }

    /// Lets a duty go, to another where one is named.
    fn hand(&mut self, now: Moment, name: &str, to: Option<&str>, why: &'static str, out: &mut Vec<Output>) {
        let Some(duty) = self.duties.get(name) else { return };
        let fence = match duty.stage {
            Stage::Holding { fence, .. } => fence,
            Stage::Asking { .. } => return self.give_up(now, name, out),
            Stage::Idle { .. } => return,
        };
        #[cfg(feature = "plant")]
        if self.plant == Fault::ReleaseWithoutStopping {
            let stays = duty.clone();
            self.let_go(now, name, why, out);
            self.duties.insert(name.to_owned(), stays);
            return;
        }
        self.let_go(now, name, why, out);
        let next = to.and_then(|to| self.terms.voters.iter().position(|voter| voter == to));
        if let Some(voter) = next.filter(|voter| self.terms.voters[*voter] != self.me) {
            let message = Message::HandOver { duty: name.to_owned(), fence };
            out.push(Output::Send { to: Destination::Voter(voter), answers: 0, message });
        }
    }

    fn ran(
        &mut self,
        now: Moment,
        name: &str,
        (fence, of): (Fence, u64),
        ended: EffectOutcome,
        out: &mut Vec<Output>,
    ) {
        // What was begun under an earlier grant was settled when that ended.
        let Some(duty) = self.duties.get_mut(name).filter(|duty| duty.out == Some((fence, of))) else {
            return;
        };
        duty.out = None;
        match ended {
            // Not known to be done is settled too: it is never run again.
            EffectOutcome::Done | EffectOutcome::Unknown => duty.mark.done = true,
            EffectOutcome::NotStarted => {
                // The number is not used up, as nothing began under it; but only this grant knows that.
                if let Stage::Holding { renews, .. } = &mut duty.stage {
                    *renews = now.after(self.terms.lease / 8);
                } else {
                    duty.mark.done = true;
                }
            }
            EffectOutcome::Fenced(seen, period) => {
                duty.seen = duty.seen.max(seen);
                if period > duty.mark.period {
                    (duty.mark, duty.marked) = (Progress { period, done: true }, now);
                }
                duty.mark.done = true;
                if matches!(duty.stage, Stage::Holding { fence: held, .. } if held == fence && held <= seen) {
                    self.let_go(now, name, "a receiver has seen a higher fence", out);
                    // Nobody else knows of it: it is asked for at once, under one that is higher.
                    if let Some(duty) = self.duties.get_mut(name) {
                        duty.stage = Stage::Idle { asks: now };
                    }
                }
            }
        }
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.learn(now, out);
        // A loop that was woken this late may have been late with anything: what it holds is let go before it is over.
        let late = now.since(self.due) > self.terms.lease / 4;
        let names: Vec<String> = self.duties.keys().cloned().collect();
        for name in names {
            let Some(duty) = self.duties.get(&name) else { continue };
            match duty.stage {
                Stage::Idle { asks } if now >= asks && !self.ends => self.ask(now, &name, out),
                Stage::Asking { ref round, .. } if now.since(round.since) > self.terms.lease / 8 => {
                    self.give_up(now, &name, out);
                }
                Stage::Holding { until, .. } if now >= until => {
                    self.let_go(now, &name, "its lease was over before it was renewed", out);
                }
                Stage::Holding { .. } if late => self.let_go(now, &name, "it was late itself", out),
                Stage::Holding { .. } => self.keep(now, &name, out),
                Stage::Idle { .. } | Stage::Asking { .. } => {}
            }
        }
    }

    fn learn(&mut self, now: Moment, out: &mut Vec<Output>) {
        let Some(voter) = &mut self.voter else { return };
        let wants = voter.tick(now, &self.me);
        if now >= self.learns {
            self.learns = now.after((self.terms.lease / 4).max(1));
            let send = |(to, message)| Output::Send { to: Destination::Voter(to), answers: 0, message };
            out.extend(wants.into_iter().map(send));
        }
    }

    /// Asks every voter for a duty that is not held, as far as is known.
    fn ask(&mut self, now: Moment, name: &str, out: &mut Vec<Output>) {
        let Some(duty) = self.duties.get_mut(name) else { return };
        duty.rounds += 1;
        let fence = Fence(duty.seen.0 + 1);
        #[cfg(feature = "plant")]
        let fence = if self.plant == Fault::FenceAnew { Fence(1 + duty.failed) } else { fence };
        (duty.seen, duty.unproven) = (fence, false);
        let round = Round::new(duty.rounds, fence, now, Progress::default());
        let number = round.number;
        duty.stage = Stage::Asking { fence, round };
        self.send(name, fence, number, Progress::default(), out);
    }

    fn send(&self, name: &str, fence: Fence, round: u64, mark: Progress, out: &mut Vec<Output>) {
        for voter in 0..self.terms.voters.len() {
            let message = Message::LeaseRequest { duty: name.to_owned(), fence, round, mark };
            out.push(Output::Send { to: Destination::Voter(voter), answers: 0, message });
        }
    }

    /// Renews a lease, and begins a period that is due: both by one round.
    fn keep(&mut self, now: Moment, name: &str, out: &mut Vec<Output>) {
        let lease = self.terms.lease;
        let Some(duty) = self.duties.get_mut(name) else { return };
        let Stage::Holding { fence, renews, round, .. } = &mut duty.stage else { return };
        if round.as_ref().is_some_and(|round| now.since(round.since) <= lease / 8) {
            return;
        }
        let begins = duty.effect.filter(|effect| {
            duty.out.is_none()
                && (duty.mark.period == 0 || duty.mark.done && now >= duty.marked.after(effect.period))
        });
        if now < *renews && begins.is_none() {
            return;
        }
        if let Some(effect) = begins {
            let passed =
                if duty.mark.period == 0 { 1 } else { now.since(duty.marked) / effect.period.max(1) };
            let passed = passed.max(1);
            // Caught up with one by one, but for what lies too far back.
            let missed = if effect.catch_up { passed.saturating_sub(CAUGHT_UP) } else { passed - 1 };
            if missed > 0 {
                out.push(Output::Notify(Notice::PeriodsSkipped(name.to_owned(), missed)));
            }
            // Kept to its own beat, so that what is late once is not late for ever.
            let first = duty.mark.period == 0;
            duty.marked = if first { now } else { duty.marked.after(effect.period * (missed + 1)) };
            duty.mark = Progress { period: duty.mark.period + missed + 1, done: false };
        }
        duty.rounds += 1;
        // A voter may have promised a higher one to a candidate that came to nothing: only a higher one is renewed there.
        let fence = if duty.seen > *fence { Fence(duty.seen.0 + 1) } else { *fence };
        (duty.seen, duty.unproven) = (fence, false);
        let mark = duty.mark;
        *round = Some(Round::new(duty.rounds, fence, now, mark));
        *renews = now.after((lease / 8).max(1));
        let number = duty.rounds;
        self.send(name, fence, number, mark, out);
    }

    /// When it is to be woken.
    fn plan(&mut self, now: Moment) {
        let mut due = Moment(u64::MAX);
        for duty in self.duties.values() {
            let next = match &duty.stage {
                Stage::Idle { .. } if self.ends => continue,
                Stage::Idle { asks } => *asks,
                Stage::Asking { round, .. } => round.since.after(self.terms.lease / 8 + 1),
                Stage::Holding { until, renews, round, .. } => {
                    let mut next = (*until).min(*renews);
                    if let (Some(effect), None) = (duty.effect, duty.out) {
                        if duty.mark.period == 0 {
                            next = duty.since;
                        } else if duty.mark.done {
                            next = next.min(duty.marked.after(effect.period));
                        }
                    }
                    match round {
                        Some(round) => next.max(round.since.after(self.terms.lease / 8 + 1)).min(*until),
                        None => next,
                    }
                }
            };
            due = due.min(next);
        }
        if let Some(voter) = &self.voter {
            if let Some((least, most)) = voter.silent() {
                due = due.min(if self.learns < least { self.learns } else { most.min(self.learns) });
            } else if voter.learns() {
                due = due.min(self.learns);
            }
        }
        // What was due before now is late from now on only: else every wait that ended long ago would count as its own lateness.
        self.due = due.max(now);
    }
}

impl Round {
    fn new(number: u64, fence: Fence, since: Moment, mark: Progress) -> Round {
        Round { number, fence, since, mark, yes: BTreeSet::new(), no: BTreeSet::new() }
    }
}
