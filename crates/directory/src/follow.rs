//! Which watches of discovery to hold, and how fresh the list is. Owns the watches by number: each opened one ends
//! by one [`Output::Close`] or one [`Input::Ended`], whichever comes first.
//!
//! Freshness is a value: when a watch last spoke, all that was told until then is known, as a watch brings its
//! lines in order. When the sign of life that is due does not come, a second watch is opened beside the first, and
//! further ones until any speaks; the first to speak is followed and the others are closed.

use crate::book::{Book, Delivery, Odd};
use crate::entry::Listing;
use crate::interest::Interest;
use dunlincleat::api::{Discovery, ListKind, Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;

/// How many tries in a row must fail before a drain that was never heard of could break its bound.
const TRIES: u64 = 8;
/// The most watches open or opening at a time.
const WATCHES: usize = 6;

/// Times by which discovery is followed.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// A watch from which nothing came for this long may be dead.
    pub late: Span,
    /// What a call may take until its answer begins where lists are pushed.
    pub call: Span,
    /// The longest time between two tries while nothing speaks, where lists are pushed.
    pub tries: Span,
    /// The longest time between two calls while nothing speaks, where lists come only on request and the module asks later.
    pub ask: Span,
    /// Until when after its time a word counts as told, heard or not, and its grace over.
    pub bound: Span,
    /// The first and the longest wait after a call failed.
    pub again: (Span, Span),
    /// A watch is replaced by a new one at this age, nothing for never.
    pub renew: Span,
}

impl Figures {
    /// Derives the times from the heartbeat of a watch, the time after which a word counts as told whether or not
    /// it arrived, and the grace of a drain. A heartbeat may be late by a quarter of the grace; of what is then
    /// left until a drain that nobody heard of could break its bound, eight tries get an equal part each, or two
    /// thirds of the grace where that is less: what is told when discovery is back counts at once, however long it was away.
    #[must_use]
    pub fn derive(heartbeat: Span, told_within: Span, grace: Span) -> Figures {
        let late = heartbeat + if grace.0 > 0 { grace.times(0.25) } else { heartbeat.times(0.125) };
        let bound = told_within + grace;
        let left = Span(bound.0.saturating_sub(late.0)).max(heartbeat);
        let call = Span((left.0 / TRIES).max(1000));
        let tries = if grace.0 > 0 { call.min(grace.times(2.0 / 3.0)).max(Span(1000)) } else { call };
        // One of the eight parts is left for the answer.
        let ask = Span(left.0 - left.0 / TRIES);
        Figures { late, call, tries, ask, bound, again: (Span(50_000), heartbeat), renew: Span(0) }
    }
}

/// A watch, numbered by the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WatchId(pub u64);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A watch of what comes after this version.
    After(u64),
    /// The whole list, then a watch of what comes after its version.
    Whole,
    /// The whole list alone, beside a watch that is followed.
    Check,
}

/// Why a watch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection.
    Unreachable(String),
    /// Another status than 200.
    Refused(u16),
    /// No answer began in time.
    NoAnswer,
    /// It was open and not even an empty line came.
    Silent,
    /// The other side ended it.
    Ended,
    /// It broke.
    Broke(String),
    /// What came is no list.
    Garbled(String),
    /// A line over the bound.
    TooLong,
}

impl Cause {
    /// The causes by name, in the order of [`Health::ended`].
    pub const NAMES: [&'static str; 8] =
        ["unreachable", "refused", "no answer", "silent", "ended", "broke", "garbled", "too long"];

    fn index(&self) -> usize {
        match self {
            Cause::Unreachable(_) => 0,
            Cause::Refused(_) => 1,
            Cause::NoAnswer => 2,
            Cause::Silent => 3,
            Cause::Ended => 4,
            Cause::Broke(_) => 5,
            Cause::Garbled(_) => 6,
            Cause::TooLong => 7,
        }
    }
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Cause::Unreachable(why) => f.write_str(why),
            Cause::Refused(status) => write!(f, "refused with {status}"),
            Cause::NoAnswer => f.write_str("no answer"),
            Cause::Silent => f.write_str("no sign of life on it"),
            Cause::Ended => f.write_str("it ended"),
            Cause::Broke(why) => write!(f, "it broke: {why}"),
            Cause::Garbled(why) => write!(f, "it sent what is no list: {why}"),
            Cause::TooLong => write!(f, "a line over {} bytes", crate::lines::LINE_BYTES),
        }
    }
}

/// What the follower is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The module wants a watch, where lists come only on request.
    Wanted,
    /// Discovery answers elsewhere from now on.
    Moved(SocketAddr),
    /// The answer to a call began.
    Opened(WatchId),
    /// A list or changes came; nothing is an empty line.
    Line(WatchId, Option<Listing>),
    /// A watch ended.
    Ended(WatchId, Cause),
}

/// What the follower wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call discovery.
    Open {
        /// The number of the watch.
        watch: WatchId,
        /// Where.
        at: SocketAddr,
        /// For what.
        ask: Ask,
    },
    /// Drop a watch; nothing more of it counts.
    Close(WatchId),
    /// The list changed, or was told again.
    Deliver(Delivery),
    /// A call or watch failed, where lists come only on request: the module says when to call again.
    Failed,
    /// Once an outage: discovery is not followed.
    Lost {
        /// Where.
        at: SocketAddr,
        /// Why.
        why: String,
    },
    /// A watch speaks and is followed from here on.
    Followed {
        /// Where.
        at: SocketAddr,
        /// After which version.
        rev: u64,
        /// How long nothing had been heard.
        unheard: Span,
    },
}

/// The state of the list, for the log and for whoever must know how fresh it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// The version held.
    pub rev: u64,
    /// Servers that take work.
    pub ready: usize,
    /// Up to when all that was told is surely known.
    pub fresh_at: Time,
    /// Watches open or opening.
    pub watches: usize,
    /// Watches opened since the start.
    pub opened: u64,
    /// Watches that ended since the start, by cause, as [`Cause::NAMES`].
    pub ended: [u64; 8],
    /// The longest that nothing was heard since the start.
    pub longest_unheard: Span,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    id: WatchId,
    at: SocketAddr,
    ask: Ask,
    /// The version held when it was called.
    rev: u64,
    started: Time,
    opened: bool,
    heard: Option<Time>,
    /// Its silence was told of.
    suspected: bool,
}

impl Watch {
    fn last(&self) -> Time {
        self.heard.unwrap_or(self.started)
    }
}

/// Follows discovery.
#[derive(Debug)]
pub struct Follower {
    figures: Figures,
    mode: Discovery,
    at: SocketAddr,
    book: Book,
    rng: SmallRng,
    watches: Vec<Watch>,
    /// The one that is followed: the last to speak first.
    followed: Option<WatchId>,
    next_id: u64,
    /// When the next call may be made.
    next_call: Time,
    /// The module asked for a watch and has none that speaks.
    wanted: bool,
    /// Where lists come only on request and nothing speaks: when a call goes out although the module asks for none.
    ask_by: Option<Time>,
    /// The module was told of a failure and of no success since.
    told_failed: bool,
    /// No whole list has come from the present address yet.
    moved: bool,
    /// The whole list is asked for with the next call.
    whole_next: bool,
    /// When the whole list is asked for although a watch speaks.
    check: Option<Time>,
    /// When that last came.
    checked: Time,
    failures: u32,
    lost: bool,
    health: Health,
}

impl Follower {
    /// A follower that holds a list from before; what that comes to is the first delivery.
    #[must_use]
    pub fn new(
        now: Time,
        figures: Figures,
        mode: Discovery,
        at: SocketAddr,
        seed: u64,
        known: Listing,
    ) -> (Follower, Delivery) {
        Follower::of(now, figures, mode, at, seed, known, Interest::default())
    }

    /// The same for the servers of some services alone. The calls of its watches are best made for these.
    #[must_use]
    pub fn of(
        now: Time,
        figures: Figures,
        mode: Discovery,
        at: SocketAddr,
        seed: u64,
        known: Listing,
        interest: Interest,
    ) -> (Follower, Delivery) {
        let (book, delivery) = Book::of(now, known, interest);
        let follower = Follower {
            figures,
            mode,
            at,
            book,
            rng: SmallRng::seed_from_u64(seed),
            watches: Vec::new(),
            followed: None,
            next_id: 0,
            next_call: now,
            wanted: false,
            ask_by: None,
            told_failed: false,
            moved: false,
            whole_next: false,
            check: None,
            checked: Time(0),
            failures: 0,
            lost: false,
            health: Health { fresh_at: now, ..Health::default() },
        };
        (follower, delivery)
    }

    /// The state of the list.
    #[must_use]
    pub fn health(&self) -> Health {
        let (rev, ready) = (self.book.rev(), self.book.ready());
        Health { rev, ready, watches: self.watches.len(), ..self.health }
    }

    /// How long ago this instance surely knew all that was told.
    #[must_use]
    pub fn age(&self, now: Time) -> Span {
        now - self.health.fresh_at
    }

    /// The list that is held.
    #[must_use]
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// When [`Follower::wake`] is due, if ever.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        let figures = &self.figures;
        let watches = self.watches.iter().map(|w| match (w.opened, w.suspected) {
            (false, _) => w.started + self.patience(),
            (true, false) => w.last() + figures.late,
            (true, true) => w.last() + figures.bound,
        });
        let call = self.may_call().then_some(self.next_call);
        watches.chain(call).chain(self.ask_by).chain(self.check).chain(self.renewal()).min()
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        for watch in self.watches.clone() {
            let silent = now - watch.last();
            if !watch.opened && silent >= self.patience() {
                out.push(Output::Close(watch.id));
                self.ended(now, watch.id, &Cause::NoAnswer, out);
            } else if watch.opened && !watch.suspected && silent >= self.figures.late {
                self.silent(now, watch, out);
            } else if watch.suspected && silent >= self.figures.bound {
                out.push(Output::Close(watch.id));
                self.drop_watch(watch.id);
            }
        }
        if self.check.is_some_and(|at| now >= at) {
            self.check = None;
            // While nothing speaks, what is followed next brings a check of its own.
            if self.speaks() {
                let next_call = self.next_call;
                self.open(now, Ask::Check, out);
                self.next_call = next_call;
            }
        }
        if self.renewal().is_some_and(|at| now >= at) {
            self.open(now, Ask::After(self.book.rev()), out);
        }
        if self.ask_by.is_some_and(|at| now >= at) {
            (self.ask_by, self.wanted, self.next_call) = (None, true, now);
        }
        if self.may_call() && now >= self.next_call {
            if self.watches.len() >= WATCHES
                && let Some(oldest) = self.oldest_unheard()
            {
                self.health.ended[Cause::NoAnswer.index()] += 1;
                out.push(Output::Close(oldest));
                self.drop_watch(oldest);
            }
            let whole = self.moved || self.whole_next;
            let ask = if whole { Ask::Whole } else { Ask::After(self.book.rev()) };
            self.open(now, ask, out);
        }
    }

    /// Takes what happened.
    pub fn input(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Wanted => {
                if !self.speaks() && !self.wanted {
                    (self.wanted, self.next_call) = (true, now);
                }
            }
            Input::Moved(at) => {
                if at != self.at {
                    (self.at, self.moved, self.failures, self.next_call) = (at, true, 0, now);
                }
            }
            Input::Opened(id) => {
                self.watches.iter_mut().filter(|w| w.id == id).for_each(|w| w.opened = true);
            }
            Input::Line(id, listing) => self.line(now, id, listing, out),
            Input::Ended(id, cause) => self.ended(now, id, &cause, out),
        }
        self.wake(now, out);
    }

    /// How long a call may take until its answer begins. Where lists come only on request, calls wait in turn at a
    /// service that all instances share: one given up after `call` had lost its place and left its work behind,
    /// and with sixty that did so none was ever answered. The module says when to ask once more beside it.
    fn patience(&self) -> Span {
        match self.mode {
            Discovery::Pushed => self.figures.call,
            Discovery::OnRequest => self.figures.bound,
        }
    }

    /// The longest time to the next try while nothing speaks. Past the bound a pushed list is asked for as often as before:
    /// with 2 s between two tries, what was told at the return of discovery was heard long after its grace.
    fn longest_wait(&self, now: Time) -> Span {
        match self.mode {
            Discovery::Pushed => self.figures.tries,
            Discovery::OnRequest if self.age(now) > self.figures.bound => self.figures.again.1,
            Discovery::OnRequest => self.figures.call,
        }
    }

    fn watch(&self, id: WatchId) -> Option<&Watch> {
        self.watches.iter().find(|w| w.id == id)
    }

    /// The watch that is followed, where it is at the present address and its last sign of life is recent.
    fn speaks(&self) -> bool {
        let followed = self.followed.and_then(|id| self.watch(id));
        followed.is_some_and(|w| w.at == self.at && !w.suspected)
    }

    fn may_call(&self) -> bool {
        let due = match self.mode {
            Discovery::Pushed => !self.speaks(),
            Discovery::OnRequest => (self.wanted || self.moved) && !self.speaks(),
        };
        due && (self.watches.len() < WATCHES || self.oldest_unheard().is_some())
    }

    /// The call that gives way where all places are taken: it has been out for as long as several tries and told nothing.
    /// Six that were open and mute once kept the next from being made for 1.5 s on a grace of 0.2 s. Where lists come
    /// only on request each keeps its place in the queue.
    fn oldest_unheard(&self) -> Option<WatchId> {
        let unheard = self.watches.iter().find(|w| w.heard.is_none() && w.ask != Ask::Check);
        unheard.filter(|_| self.mode == Discovery::Pushed).map(|w| w.id)
    }

    fn renewal(&self) -> Option<Time> {
        let followed = self.followed.and_then(|id| self.watch(id)).filter(|_| self.figures.renew.0 > 0);
        followed.filter(|_| self.watches.len() == 1).map(|w| w.started + self.figures.renew)
    }

    fn open(&mut self, now: Time, ask: Ask, out: &mut Vec<Output>) {
        let (id, at) = (WatchId(self.next_id), self.at);
        self.next_id += 1;
        self.health.opened += 1;
        self.next_call = now + self.longest_wait(now);
        self.wanted = false;
        self.ask_by = None;
        self.ask_in_time(now);
        let (opened, heard, suspected) = (false, None, false);
        let rev = self.book.rev();
        self.watches.push(Watch { id, at, ask, rev, started: now, opened, heard, suspected });
        out.push(Output::Open { watch: id, at, ask });
    }

    /// The module spreads the calls of all instances over the time that they may take together, twenty seconds for a
    /// hundred. What changed counts as told well before, so a call goes out in time whatever the module waits for.
    fn ask_in_time(&mut self, now: Time) {
        if self.mode == Discovery::OnRequest && self.ask_by.is_none() && !self.speaks() {
            self.ask_by = Some(now + self.figures.ask.times(self.rng.random_range(0.75..1.0)));
        }
    }

    fn drop_watch(&mut self, id: WatchId) {
        self.watches.retain(|w| w.id != id);
        self.followed = self.followed.filter(|followed| *followed != id);
    }

    /// An open watch fell silent. It is kept beside the next one: it may only be late.
    fn silent(&mut self, now: Time, watch: Watch, out: &mut Vec<Output>) {
        self.health.ended[Cause::Silent.index()] += 1;
        self.watches.iter_mut().filter(|w| w.id == watch.id).for_each(|w| w.suspected = true);
        if self.followed == Some(watch.id) {
            self.failed(now, watch.at, &Cause::Silent, out);
            self.next_call = now;
        } else {
            // One that never spoke has nothing to keep it for.
            out.push(Output::Close(watch.id));
            self.drop_watch(watch.id);
            if self.watches.is_empty() {
                self.failed(now, watch.at, &Cause::Silent, out);
            }
        }
    }

    fn ended(&mut self, now: Time, id: WatchId, cause: &Cause, out: &mut Vec<Output>) {
        let Some(watch) = self.watch(id).copied() else { return };
        let followed = self.followed == Some(id);
        self.drop_watch(id);
        if watch.ask == Ask::Check {
            if watch.heard.is_none() {
                self.health.ended[cause.index()] += 1;
                self.check_at(now + self.figures.bound);
            }
            return;
        }
        self.health.ended[cause.index()] += 1;
        // What can't be read would be written again after the same version. Where the whole list can't be had
        // either, changes and the whole list are asked for in turn.
        self.whole_next = watch.ask != Ask::Whole
            && (self.whole_next || matches!(cause, Cause::Garbled(_) | Cause::TooLong));
        // After a move the old watch is due to end; a spare that ends beside one that speaks is no loss.
        if (!followed && self.speaks()) || (watch.at != self.at && self.moved) {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let (first, most) = self.figures.again;
        let most = most.min(self.longest_wait(now));
        let wait = Span(first.0.saturating_mul(1 << (self.failures - 1).min(16))).min(most);
        let again = now + wait.times(self.rng.random_range(0.5..1.0));
        // A try that is due before is not put off by one that ended without an answer.
        self.next_call = if self.next_call >= now { self.next_call.min(again) } else { again };
        self.failed(now, watch.at, cause, out);
    }

    fn failed(&mut self, now: Time, at: SocketAddr, cause: &Cause, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.lost, true) {
            out.push(Output::Lost { at, why: cause.to_string() });
        }
        if self.mode == Discovery::OnRequest && !self.moved {
            self.told_failed = true;
            self.ask_in_time(now);
            out.push(Output::Failed);
        }
    }

    fn line(&mut self, now: Time, id: WatchId, listing: Option<Listing>, out: &mut Vec<Output>) {
        let Some(watch) = self.watches.iter_mut().find(|w| w.id == id) else { return };
        (watch.opened, watch.heard, watch.suspected) = (true, Some(now), false);
        let watch = *watch;
        let here = watch.at == self.at;
        let unheard = now - self.health.fresh_at;
        self.health.longest_unheard = self.health.longest_unheard.max(unheard);
        self.health.fresh_at = now;
        if watch.ask == Ask::Check {
            return self.checked(now, watch, listing, out);
        }
        let elsewhere = here && self.moved && listing.as_ref().is_some_and(|l| l.whole);
        if here && (!self.moved || elsewhere) {
            self.moved = false;
            self.follow(now, watch, unheard, out);
        }
        match listing {
            Some(listing) => {
                // A whole list that was asked for has come.
                self.whole_next &= !listing.whole;
                self.told_failed = false;
                let delivery = self.book.apply(now, listing, elsewhere);
                self.judge(now, &delivery);
                out.push(Output::Deliver(delivery));
            }
            None if std::mem::take(&mut self.told_failed) => {
                let (rev, kind) = (self.book.rev(), ListKind::Changes);
                let delivery = Delivery { kind, rev, entries: Vec::new(), odd: Vec::new() };
                out.push(Output::Deliver(delivery));
            }
            None => {}
        }
    }

    /// This watch spoke first: the others go. One at the old address goes with them after a move.
    fn follow(&mut self, now: Time, watch: Watch, unheard: Span, out: &mut Vec<Output>) {
        let replaced = self.followed != Some(watch.id);
        let others = self.watches.iter().filter(|w| w.id != watch.id && w.ask != Ask::Check).map(|w| w.id);
        for other in others.collect::<Vec<_>>() {
            out.push(Output::Close(other));
            self.drop_watch(other);
        }
        // Discovery may have started anew between two watches, and its versions have passed those held: what it
        // tells after the version held would then lack what changed before, and nothing would show it.
        if replaced && watch.ask != Ask::Whole && self.health.opened > 1 && self.mode == Discovery::Pushed {
            self.check_at(now + self.figures.call);
        }
        self.failures = 0;
        self.ask_by = None;
        self.followed = Some(watch.id);
        self.next_call = now;
        if replaced || self.lost {
            out.push(Output::Followed { at: watch.at, rev: self.book.rev(), unheard });
        }
        self.lost = false;
    }

    /// Asks for the whole list where a word was odd: at once, or once what was told before is surely over.
    fn judge(&mut self, now: Time, delivery: &Delivery) {
        let kept_out = self.book.keeps_out() && delivery.kind == ListKind::Full;
        let odd = delivery.odd.iter().any(|odd| matches!(odd, Odd::Behind { .. } | Odd::Loss { .. }));
        if odd {
            self.check_at(now);
        } else if kept_out {
            self.check_at(now + self.figures.bound);
        }
    }

    /// Asks for the whole list at that time, or sooner where it is due sooner, and not twice within a call's time.
    fn check_at(&mut self, at: Time) {
        let at = at.max(self.checked + self.figures.call);
        self.check = Some(self.check.map_or(at, |due| due.min(at)));
    }

    /// The whole list came that was asked for beside the watch.
    fn checked(&mut self, now: Time, watch: Watch, listing: Option<Listing>, out: &mut Vec<Output>) {
        out.push(Output::Close(watch.id));
        self.drop_watch(watch.id);
        self.checked = now;
        let Some(listing) = listing.filter(|_| watch.at == self.at) else { return };
        // Told of more than this meanwhile: it is only behind, versions don't count anew.
        if (watch.rev..self.book.rev()).contains(&listing.rev) {
            return self.check_at(now);
        }
        let delivery = self.book.apply(now, listing, false);
        self.judge(now, &delivery);
        out.push(Output::Deliver(delivery));
    }
}
