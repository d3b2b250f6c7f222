//! Which watches of discovery to hold, and how fresh the list is. Owns the watches by number: each opened one ends
//! by one [`Output::Close`] or one [`Input::Ended`], whichever comes first.
//!
//! Freshness is a value: when a watch last spoke, all that was told until then is known, as a watch brings its
//! lines in order. When the sign of life that is due does not come, a second watch is opened beside the first, and
//! further ones until any speaks; the first to speak is followed and the others are closed.

use crate::entry::Listing;
use crate::interest::Interest;
use crate::table::{Anomaly, Delivery, ServerTable};
use dunlincleat::api::{Discovery, ListKind, Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;

/// How many tries in a row must fail before a drain that was never heard of could break its bound.
const RETRIES_WITHIN_BOUND: u64 = 8;
/// The most watches open or opening at a time.
const MAX_WATCHES: usize = 6;
/// The wait between tries doubles at most so often.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

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
        let tolerance = if grace.0 > 0 { grace.times(0.25) } else { heartbeat.times(0.125) };
        let late = heartbeat + tolerance;
        let bound = told_within + grace;
        let remaining = Span(bound.0.saturating_sub(late.0)).max(heartbeat);
        let call = Span((remaining.0 / RETRIES_WITHIN_BOUND).max(1000));
        let tries = if grace.0 > 0 { call.min(grace.times(2.0 / 3.0)).max(Span(1000)) } else { call };
        // One of the eight parts is left for the answer.
        let ask = Span(remaining.0 - remaining.0 / RETRIES_WITHIN_BOUND);
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
    opened_at: Time,
    opened: bool,
    last_message: Option<Time>,
    /// Its silence was told of.
    silence_reported: bool,
}

impl Watch {
    fn last_activity(&self) -> Time {
        self.last_message.unwrap_or(self.opened_at)
    }
}

/// Follows discovery.
#[derive(Debug)]
pub struct Follower {
    figures: Figures,
    mode: Discovery,
    at: SocketAddr,
    table: ServerTable,
    rng: SmallRng,
    watches: Vec<Watch>,
    /// The one that is followed: the last to speak first.
    followed: Option<WatchId>,
    next_watch_id: u64,
    /// When the next call may be made.
    next_open: Time,
    /// The module asked for a watch and has none that speaks.
    watch_requested: bool,
    /// Where lists come only on request and nothing speaks: when a call goes out although the module asks for none.
    request_due: Option<Time>,
    /// The module was told of a failure and of no success since.
    failure_reported: bool,
    /// No whole list has come from the present address yet.
    address_changed: bool,
    /// The whole list is asked for with the next call.
    full_list_next: bool,
    /// When the whole list is asked for although a watch speaks.
    check_due: Option<Time>,
    /// When that last came.
    last_check: Time,
    failures: u32,
    outage_reported: bool,
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
        let (table, delivery) = ServerTable::of(now, known, interest);
        let follower = Follower {
            figures,
            mode,
            at,
            table,
            rng: SmallRng::seed_from_u64(seed),
            watches: Vec::new(),
            followed: None,
            next_watch_id: 0,
            next_open: now,
            watch_requested: false,
            request_due: None,
            failure_reported: false,
            address_changed: false,
            full_list_next: false,
            check_due: None,
            last_check: Time(0),
            failures: 0,
            outage_reported: false,
            health: Health { fresh_at: now, ..Health::default() },
        };
        (follower, delivery)
    }

    /// The state of the list.
    #[must_use]
    pub fn health(&self) -> Health {
        Health {
            rev: self.table.rev(),
            ready: self.table.ready(),
            watches: self.watches.len(),
            ..self.health
        }
    }

    /// How long ago this instance surely knew all that was told.
    #[must_use]
    pub fn age(&self, now: Time) -> Span {
        now - self.health.fresh_at
    }

    /// The list that is held.
    #[must_use]
    pub fn book(&self) -> &ServerTable {
        &self.table
    }

    /// When [`Follower::wake`] is due, if ever.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        let figures = &self.figures;
        let watches = self.watches.iter().map(|watch| match (watch.opened, watch.silence_reported) {
            (false, _) => watch.opened_at + self.answer_timeout(),
            (true, false) => watch.last_activity() + figures.late,
            (true, true) => watch.last_activity() + figures.bound,
        });
        let call = self.may_open_watch().then_some(self.next_open);
        watches.chain(call).chain(self.request_due).chain(self.check_due).chain(self.renewal_due()).min()
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        for watch in self.watches.clone() {
            let silence = now - watch.last_activity();
            if !watch.opened && silence >= self.answer_timeout() {
                out.push(Output::Close(watch.id));
                self.handle_end(now, watch.id, &Cause::NoAnswer, out);
            } else if watch.opened && !watch.silence_reported && silence >= self.figures.late {
                self.handle_silence(now, watch, out);
            } else if watch.silence_reported && silence >= self.figures.bound {
                out.push(Output::Close(watch.id));
                self.drop_watch(watch.id);
            }
        }
        if self.check_due.is_some_and(|at| now >= at) {
            self.check_due = None;
            // While nothing speaks, what is followed next brings a check of its own.
            if self.has_live_watch() {
                let next_open = self.next_open;
                self.open_watch(now, Ask::Check, out);
                self.next_open = next_open;
            }
        }
        if self.renewal_due().is_some_and(|at| now >= at) {
            self.open_watch(now, Ask::After(self.table.rev()), out);
        }
        if self.request_due.is_some_and(|at| now >= at) {
            self.request_due = None;
            self.watch_requested = true;
            self.next_open = now;
        }
        if self.may_open_watch() && now >= self.next_open {
            if self.watches.len() >= MAX_WATCHES
                && let Some(oldest) = self.oldest_unanswered()
            {
                self.health.ended[Cause::NoAnswer.index()] += 1;
                out.push(Output::Close(oldest));
                self.drop_watch(oldest);
            }
            let whole = self.address_changed || self.full_list_next;
            let ask = if whole { Ask::Whole } else { Ask::After(self.table.rev()) };
            self.open_watch(now, ask, out);
        }
    }

    /// Takes what happened.
    pub fn input(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Wanted => {
                if !self.has_live_watch() && !self.watch_requested {
                    self.watch_requested = true;
                    self.next_open = now;
                }
            }
            Input::Moved(at) => {
                if at != self.at {
                    self.at = at;
                    self.address_changed = true;
                    self.failures = 0;
                    self.next_open = now;
                }
            }
            Input::Opened(id) => {
                if let Some(watch) = self.watch_mut(id) {
                    watch.opened = true;
                }
            }
            Input::Line(id, listing) => self.handle_line(now, id, listing, out),
            Input::Ended(id, cause) => self.handle_end(now, id, &cause, out),
        }
        self.wake(now, out);
    }

    /// How long a call may take until its answer begins. Where lists come only on request, calls wait in turn at a
    /// service that all instances share: one given up after `call` had lost its place and left its work behind,
    /// and with sixty that did so none was ever answered. The module says when to ask once more beside it.
    fn answer_timeout(&self) -> Span {
        match self.mode {
            Discovery::Pushed => self.figures.call,
            Discovery::OnRequest => self.figures.bound,
        }
    }

    /// The longest time to the next try while nothing speaks. Past the bound a pushed list is asked for as often as before:
    /// with 2 s between two tries, what was told at the return of discovery was heard long after its grace.
    fn max_retry_interval(&self, now: Time) -> Span {
        match self.mode {
            Discovery::Pushed => self.figures.tries,
            Discovery::OnRequest if self.age(now) > self.figures.bound => self.figures.again.1,
            Discovery::OnRequest => self.figures.call,
        }
    }

    fn watch(&self, id: WatchId) -> Option<&Watch> {
        self.watches.iter().find(|watch| watch.id == id)
    }

    fn watch_mut(&mut self, id: WatchId) -> Option<&mut Watch> {
        self.watches.iter_mut().find(|watch| watch.id == id)
    }

    fn followed_watch(&self) -> Option<&Watch> {
        self.followed.and_then(|id| self.watch(id))
    }

    /// The watch that is followed, where it is at the present address and its last sign of life is recent.
    fn has_live_watch(&self) -> bool {
        self.followed_watch().is_some_and(|watch| watch.at == self.at && !watch.silence_reported)
    }

    fn may_open_watch(&self) -> bool {
        let wanted = match self.mode {
            Discovery::Pushed => true,
            Discovery::OnRequest => self.watch_requested || self.address_changed,
        };
        let has_slot = self.watches.len() < MAX_WATCHES || self.oldest_unanswered().is_some();
        wanted && !self.has_live_watch() && has_slot
    }

    /// The call that gives way where all places are taken: it has been out for as long as several tries and told nothing.
    /// Six that were open and mute once kept the next from being made for 1.5 s on a grace of 0.2 s. Where lists come
    /// only on request each keeps its place in the queue.
    fn oldest_unanswered(&self) -> Option<WatchId> {
        if self.mode != Discovery::Pushed {
            return None;
        }
        let mut watches = self.watches.iter();
        watches.find(|watch| watch.last_message.is_none() && watch.ask != Ask::Check).map(|watch| watch.id)
    }

    fn renewal_due(&self) -> Option<Time> {
        if self.figures.renew.0 == 0 || self.watches.len() != 1 {
            return None;
        }
        self.followed_watch().map(|watch| watch.opened_at + self.figures.renew)
    }

    fn open_watch(&mut self, now: Time, ask: Ask, out: &mut Vec<Output>) {
        let id = WatchId(self.next_watch_id);
        let at = self.at;
        self.next_watch_id += 1;
        self.health.opened += 1;
        self.next_open = now + self.max_retry_interval(now);
        self.watch_requested = false;
        self.request_due = None;
        self.schedule_request(now);
        self.watches.push(Watch {
            id,
            at,
            ask,
            rev: self.table.rev(),
            opened_at: now,
            opened: false,
            last_message: None,
            silence_reported: false,
        });
        out.push(Output::Open { watch: id, at, ask });
    }

    /// The module spreads the calls of all instances over the time that they may take together, twenty seconds for a
    /// hundred. What changed counts as told well before, so a call goes out in time whatever the module waits for.
    fn schedule_request(&mut self, now: Time) {
        if self.mode == Discovery::OnRequest && self.request_due.is_none() && !self.has_live_watch() {
            let wait = self.figures.ask.times(self.rng.random_range(0.75..1.0));
            self.request_due = Some(now + wait);
        }
    }

    fn drop_watch(&mut self, id: WatchId) {
        self.watches.retain(|watch| watch.id != id);
        self.followed = self.followed.filter(|followed| *followed != id);
    }

    /// An open watch fell silent. It is kept beside the next one: it may only be late.
    fn handle_silence(&mut self, now: Time, watch: Watch, out: &mut Vec<Output>) {
        self.health.ended[Cause::Silent.index()] += 1;
        if let Some(watch) = self.watch_mut(watch.id) {
            watch.silence_reported = true;
        }
        if self.followed == Some(watch.id) {
            self.report_failure(now, watch.at, &Cause::Silent, out);
            self.next_open = now;
        } else {
            // One that never spoke has nothing to keep it for.
            out.push(Output::Close(watch.id));
            self.drop_watch(watch.id);
            if self.watches.is_empty() {
                self.report_failure(now, watch.at, &Cause::Silent, out);
            }
        }
    }

    fn handle_end(&mut self, now: Time, id: WatchId, cause: &Cause, out: &mut Vec<Output>) {
        let Some(watch) = self.watch(id).copied() else { return };
        let followed = self.followed == Some(id);
        self.drop_watch(id);
        if watch.ask == Ask::Check {
            if watch.last_message.is_none() {
                self.health.ended[cause.index()] += 1;
                self.schedule_check(now + self.figures.bound);
            }
            return;
        }
        self.health.ended[cause.index()] += 1;
        // What can't be read would be written again after the same version. Where the whole list can't be had
        // either, changes and the whole list are asked for in turn.
        let unreadable = matches!(cause, Cause::Garbled(_) | Cause::TooLong);
        self.full_list_next = watch.ask != Ask::Whole && (self.full_list_next || unreadable);
        // After a move the old watch is due to end; a spare that ends beside one that speaks is no loss.
        let spare = !followed && self.has_live_watch();
        let at_previous_address = watch.at != self.at && self.address_changed;
        if spare || at_previous_address {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let retry_at = now + self.backoff(now).times(self.rng.random_range(0.5..1.0));
        // A try that is due before is not put off by one that ended without an answer.
        self.next_open = if self.next_open >= now { self.next_open.min(retry_at) } else { retry_at };
        self.report_failure(now, watch.at, cause, out);
    }

    fn backoff(&self, now: Time) -> Span {
        let (initial, max) = self.figures.again;
        let max = max.min(self.max_retry_interval(now));
        let doublings = (self.failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        Span(initial.0.saturating_mul(1 << doublings)).min(max)
    }

    fn report_failure(&mut self, now: Time, at: SocketAddr, cause: &Cause, out: &mut Vec<Output>) {
        if !self.outage_reported {
            self.outage_reported = true;
            out.push(Output::Lost { at, why: cause.to_string() });
        }
        if self.mode == Discovery::OnRequest && !self.address_changed {
            self.failure_reported = true;
            self.schedule_request(now);
            out.push(Output::Failed);
        }
    }

    fn handle_line(&mut self, now: Time, id: WatchId, listing: Option<Listing>, out: &mut Vec<Output>) {
        let Some(watch) = self.watch_mut(id) else { return };
        watch.opened = true;
        watch.last_message = Some(now);
        watch.silence_reported = false;
        let watch = *watch;
        let at_current_address = watch.at == self.at;
        let unheard = now - self.health.fresh_at;
        self.health.longest_unheard = self.health.longest_unheard.max(unheard);
        self.health.fresh_at = now;
        if watch.ask == Ask::Check {
            return self.handle_check(now, watch, listing, out);
        }
        let is_full_list = listing.as_ref().is_some_and(|listing| listing.whole);
        let from_new_address = at_current_address && self.address_changed && is_full_list;
        if at_current_address && (!self.address_changed || from_new_address) {
            self.address_changed = false;
            self.follow_watch(now, watch, unheard, out);
        }
        match listing {
            Some(listing) => {
                // A whole list that was asked for has come.
                self.full_list_next &= !listing.whole;
                self.failure_reported = false;
                let delivery = self.table.apply(now, listing, from_new_address);
                self.check_if_doubtful(now, &delivery);
                out.push(Output::Deliver(delivery));
            }
            None if std::mem::take(&mut self.failure_reported) => {
                out.push(Output::Deliver(Delivery {
                    kind: ListKind::Changes,
                    rev: self.table.rev(),
                    entries: Vec::new(),
                    odd: Vec::new(),
                }));
            }
            None => {}
        }
    }

    /// This watch spoke first: the others go. One at the old address goes with them after a move.
    fn follow_watch(&mut self, now: Time, watch: Watch, unheard: Span, out: &mut Vec<Output>) {
        let replaced = self.followed != Some(watch.id);
        let others = self.watches.iter().filter(|other| other.id != watch.id && other.ask != Ask::Check);
        let others: Vec<WatchId> = others.map(|other| other.id).collect();
        for other in others {
            out.push(Output::Close(other));
            self.drop_watch(other);
        }
        // Discovery may have started anew between two watches, and its versions have passed those held: what it
        // tells after the version held would then lack what changed before, and nothing would show it.
        let reconnected = replaced && self.health.opened > 1;
        if reconnected && watch.ask != Ask::Whole && self.mode == Discovery::Pushed {
            self.schedule_check(now + self.figures.call);
        }
        self.failures = 0;
        self.request_due = None;
        self.followed = Some(watch.id);
        self.next_open = now;
        if replaced || self.outage_reported {
            out.push(Output::Followed { at: watch.at, rev: self.table.rev(), unheard });
        }
        self.outage_reported = false;
    }

    /// Asks for the whole list where a word was odd: at once, or once what was told before is surely over.
    fn check_if_doubtful(&mut self, now: Time, delivery: &Delivery) {
        let suppressed = self.table.has_suppressed() && delivery.kind == ListKind::Whole;
        let doubtful = delivery
            .odd
            .iter()
            .any(|anomaly| matches!(anomaly, Anomaly::StaleChanges { .. } | Anomaly::MassRemoval { .. }));
        if doubtful {
            self.schedule_check(now);
        } else if suppressed {
            self.schedule_check(now + self.figures.bound);
        }
    }

    /// Asks for the whole list at that time, or sooner where it is due sooner, and not twice within a call's time.
    fn schedule_check(&mut self, at: Time) {
        let at = at.max(self.last_check + self.figures.call);
        self.check_due = Some(self.check_due.map_or(at, |due| due.min(at)));
    }

    /// The whole list came that was asked for beside the watch.
    fn handle_check(&mut self, now: Time, watch: Watch, listing: Option<Listing>, out: &mut Vec<Output>) {
        out.push(Output::Close(watch.id));
        self.drop_watch(watch.id);
        self.last_check = now;
        let Some(listing) = listing.filter(|_| watch.at == self.at) else { return };
        // Told of more than this meanwhile: it is only behind, versions don't count anew.
        let overtaken = (watch.rev..self.table.rev()).contains(&listing.rev);
        if overtaken {
            return self.schedule_check(now);
        }
        let delivery = self.table.apply(now, listing, false);
        self.check_if_doubtful(now, &delivery);
        out.push(Output::Deliver(delivery));
    }
}
