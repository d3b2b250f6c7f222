//! Decides which watches of discovery to open and tracks how fresh the list is. Owns the watches by number: each opened
//! watch ends with one [`Output::Close`] or one [`Input::Ended`], whichever comes first.
//!
//! A watch delivers its messages in order, so each message or heartbeat proves that everything announced until then has
//! been received. When a heartbeat is overdue, a second watch is opened beside the first, and further ones until any
//! of them delivers; the first to deliver is followed and the others are closed.

use crate::entry::Listing;
use crate::interest::Interest;
use crate::message::{CallKind, Cause, Health, Input, Output, WatchId};
use crate::table::{Anomaly, Delivery, ServerTable};
use crate::timing::{Backoff, Timing};
use dunlincleat::api::{Discovery, ListKind, Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;

/// The most watches open or being opened at a time.
const MAX_WATCHES: usize = 6;
/// The most times that the wait between tries doubles; keeps the shift below the width of its type.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

#[derive(Clone, Copy, Debug)]
struct Watch {
    id: WatchId,
    address: SocketAddr,
    kind: CallKind,
    /// The revision held when the watch was opened.
    rev: u64,
    called_at: Time,
    response_began: bool,
    last_message: Option<Time>,
    /// Its heartbeat is overdue and the failure has been reported.
    silence_reported: bool,
}

impl Watch {
    fn last_activity(&self) -> Time {
        self.last_message.unwrap_or(self.called_at)
    }
}

/// Follows discovery through a set of watches.
#[derive(Debug)]
pub struct Follower {
    timing: Timing,
    mode: Discovery,
    /// The current address of discovery.
    address: SocketAddr,
    table: ServerTable,
    rng: SmallRng,
    watches: Vec<Watch>,
    /// The watch that is followed: the first to deliver among those opened.
    followed: Option<WatchId>,
    next_watch_id: u64,
    /// The earliest time of the next call.
    next_open: Time,
    /// The decision module asked for a watch and none delivers.
    watch_requested: bool,
    /// If lists come only on request and no watch delivers: when a call is made even if the decision module asks for
    /// none.
    request_due: Option<Time>,
    /// A failure was reported to the decision module, and no success since.
    failure_reported: bool,
    /// The address changed and no full list has arrived from the new one yet.
    address_changed: bool,
    /// The next call requests the full list.
    full_list_next: bool,
    /// When the full list is requested although a watch delivers.
    check_due: Option<Time>,
    /// When the last such list arrived.
    last_check: Time,
    failures: u32,
    outage_reported: bool,
    health: Health,
}

impl Follower {
    /// A follower initialised with a known list, and its first delivery.
    #[must_use]
    pub fn new(
        now: Time,
        timing: Timing,
        mode: Discovery,
        address: SocketAddr,
        seed: u64,
        known: Listing,
    ) -> (Follower, Delivery) {
        Follower::with_interest(now, timing, mode, address, seed, known, Interest::default())
    }

    /// The same, restricted to an interest set. The caller should request only these services from discovery.
    #[must_use]
    pub fn with_interest(
        now: Time,
        timing: Timing,
        mode: Discovery,
        address: SocketAddr,
        seed: u64,
        known: Listing,
        interest: Interest,
    ) -> (Follower, Delivery) {
        let (table, delivery) = ServerTable::with_interest(now, known, interest);
        let follower = Follower {
            timing,
            mode,
            address,
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

    /// State and freshness of the list.
    #[must_use]
    pub fn health(&self) -> Health {
        Health {
            rev: self.table.rev(),
            ready: self.table.ready(),
            watches: self.watches.len(),
            ..self.health
        }
    }

    /// The time since everything that discovery announced was known.
    #[must_use]
    pub fn age(&self, now: Time) -> Span {
        now - self.health.fresh_at
    }

    /// The current list.
    #[must_use]
    pub fn table(&self) -> &ServerTable {
        &self.table
    }

    /// When [`Follower::wake`] must be called next.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        let timing = &self.timing;
        let watches = self.watches.iter().map(|watch| match (watch.response_began, watch.silence_reported) {
            (false, _) => watch.called_at + self.answer_timeout(),
            (true, false) => watch.last_activity() + timing.silence_timeout,
            (true, true) => watch.last_activity() + timing.staleness_bound,
        });
        let call = self.may_open_watch().then_some(self.next_open);
        watches.chain(call).chain(self.request_due).chain(self.check_due).chain(self.renewal_due()).min()
    }

    /// Performs everything that is due.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        self.expire_watches(now, out);
        self.check_if_due(now, out);
        if self.renewal_due().is_some_and(|at| now >= at) {
            self.open_watch(now, CallKind::ChangesAfter(self.table.rev()), out);
        }
        if self.request_due.is_some_and(|at| now >= at) {
            self.request_due = None;
            self.watch_requested = true;
            self.next_open = now;
        }
        if self.may_open_watch() && now >= self.next_open {
            self.open_next_watch(now, out);
        }
    }

    /// Handles an event.
    pub fn input(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::WatchRequested => {
                if !self.has_live_watch() && !self.watch_requested {
                    self.watch_requested = true;
                    self.next_open = now;
                }
            }
            Input::AddressChanged(address) => {
                if address != self.address {
                    self.address = address;
                    self.address_changed = true;
                    self.failures = 0;
                    self.next_open = now;
                }
            }
            Input::Opened(id) => {
                if let Some(watch) = self.watch_mut(id) {
                    watch.response_began = true;
                }
            }
            Input::Line(id, listing) => self.handle_line(now, id, listing, out),
            Input::Ended(id, cause) => self.handle_end(now, id, &cause, out),
        }
        self.wake(now, out);
    }

    fn expire_watches(&mut self, now: Time, out: &mut Vec<Output>) {
        for watch in self.watches.clone() {
            let silence = now - watch.last_activity();
            if !watch.response_began && silence >= self.answer_timeout() {
                out.push(Output::Close(watch.id));
                self.handle_end(now, watch.id, &Cause::NoAnswer, out);
            } else if watch.response_began
                && !watch.silence_reported
                && silence >= self.timing.silence_timeout
            {
                self.handle_silence(now, watch, out);
            } else if watch.silence_reported && silence >= self.timing.staleness_bound {
                out.push(Output::Close(watch.id));
                self.drop_watch(watch.id);
            }
        }
    }

    fn check_if_due(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.check_due.is_none_or(|at| now < at) {
            return;
        }
        self.check_due = None;
        // Without a live watch, the next watch that is followed schedules its own check.
        if self.has_live_watch() {
            let next_open = self.next_open;
            self.open_watch(now, CallKind::Check, out);
            self.next_open = next_open;
        }
    }

    fn open_next_watch(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.watches.len() >= MAX_WATCHES
            && let Some(oldest) = self.oldest_unanswered()
        {
            self.health.ended[Cause::NoAnswer.index()] += 1;
            out.push(Output::Close(oldest));
            self.drop_watch(oldest);
        }
        let needs_full_list = self.address_changed || self.full_list_next;
        let kind =
            if needs_full_list { CallKind::FullList } else { CallKind::ChangesAfter(self.table.rev()) };
        self.open_watch(now, kind, out);
    }

    /// How long a call may wait for its response to begin. Lists on request come from a queue that all instances
    /// share: a call given up after `call_timeout` lost its place while its work stayed in the queue, and with sixty
    /// instances doing so none was ever answered. The decision module says when to make another call beside it.
    fn answer_timeout(&self) -> Span {
        match self.mode {
            Discovery::Pushed => self.timing.call_timeout,
            Discovery::OnRequest => self.timing.staleness_bound,
        }
    }

    /// The longest time to the next try while no watch delivers. A pushed list is requested as often past the bound as
    /// before it: with 2 s between tries, changes announced at the return of discovery arrived long after their grace.
    fn max_retry_interval(&self, now: Time) -> Span {
        match self.mode {
            Discovery::Pushed => self.timing.max_retry_interval,
            Discovery::OnRequest if self.age(now) > self.timing.staleness_bound => self.timing.backoff.max,
            Discovery::OnRequest => self.timing.call_timeout,
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

    /// Whether the followed watch is at the current address and its heartbeat is not overdue.
    fn has_live_watch(&self) -> bool {
        self.followed_watch().is_some_and(|watch| watch.address == self.address && !watch.silence_reported)
    }

    fn may_open_watch(&self) -> bool {
        let wanted = match self.mode {
            Discovery::Pushed => true,
            Discovery::OnRequest => self.watch_requested || self.address_changed,
        };
        let has_slot = self.watches.len() < MAX_WATCHES || self.oldest_unanswered().is_some();
        wanted && !self.has_live_watch() && has_slot
    }

    /// The call to give up when [`MAX_WATCHES`] are open: it has lasted for several tries without a message. Six silent
    /// watches once delayed the next call by 1.5 s with a grace of 0.2 s. Calls for lists on request are never given
    /// up here, as each has a place in the queue.
    fn oldest_unanswered(&self) -> Option<WatchId> {
        if self.mode != Discovery::Pushed {
            return None;
        }
        let mut watches = self.watches.iter();
        watches
            .find(|watch| watch.last_message.is_none() && watch.kind != CallKind::Check)
            .map(|watch| watch.id)
    }

    fn renewal_due(&self) -> Option<Time> {
        if self.timing.max_watch_age.0 == 0 || self.watches.len() != 1 {
            return None;
        }
        self.followed_watch().map(|watch| watch.called_at + self.timing.max_watch_age)
    }

    fn open_watch(&mut self, now: Time, kind: CallKind, out: &mut Vec<Output>) {
        let id = WatchId(self.next_watch_id);
        let address = self.address;
        self.next_watch_id += 1;
        self.health.opened += 1;
        self.next_open = now + self.max_retry_interval(now);
        self.watch_requested = false;
        self.request_due = None;
        self.schedule_request(now);
        self.watches.push(Watch {
            id,
            address,
            kind,
            rev: self.table.rev(),
            called_at: now,
            response_began: false,
            last_message: None,
            silence_reported: false,
        });
        out.push(Output::Open { watch: id, at: address, kind });
    }

    /// Schedules a call in time, whatever the decision module waits for: the module spreads the calls of all instances
    /// over the time that they may take together, twenty seconds for a hundred, but changes count as known well before.
    fn schedule_request(&mut self, now: Time) {
        if self.mode == Discovery::OnRequest && self.request_due.is_none() && !self.has_live_watch() {
            let wait = self.timing.max_request_interval.times(self.rng.random_range(0.75..1.0));
            self.request_due = Some(now + wait);
        }
    }

    fn drop_watch(&mut self, id: WatchId) {
        self.watches.retain(|watch| watch.id != id);
        self.followed = self.followed.filter(|followed| *followed != id);
    }

    /// An open watch missed its heartbeat. The followed watch is kept beside the next one, as it may only be late.
    fn handle_silence(&mut self, now: Time, watch: Watch, out: &mut Vec<Output>) {
        self.health.ended[Cause::Silent.index()] += 1;
        if let Some(watch) = self.watch_mut(watch.id) {
            watch.silence_reported = true;
        }
        if self.followed == Some(watch.id) {
            self.report_failure(now, watch.address, &Cause::Silent, out);
            self.next_open = now;
        } else {
            // A watch that never delivered is not worth keeping.
            out.push(Output::Close(watch.id));
            self.drop_watch(watch.id);
            if self.watches.is_empty() {
                self.report_failure(now, watch.address, &Cause::Silent, out);
            }
        }
    }

    fn handle_end(&mut self, now: Time, id: WatchId, cause: &Cause, out: &mut Vec<Output>) {
        let Some(watch) = self.watch(id).copied() else { return };
        let followed = self.followed == Some(id);
        self.drop_watch(id);
        if watch.kind == CallKind::Check {
            if watch.last_message.is_none() {
                self.health.ended[cause.index()] += 1;
                self.schedule_check(now + self.timing.staleness_bound);
            }
            return;
        }
        self.health.ended[cause.index()] += 1;
        // An unreadable message would be sent again after the same revision, so the full list is requested. If that
        // fails as well, changes and the full list are requested alternately.
        let unreadable = matches!(cause, Cause::Garbled(_) | Cause::TooLong);
        self.full_list_next = watch.kind != CallKind::FullList && (self.full_list_next || unreadable);
        // Neither the end of a spare watch nor that of one at a previous address is a failure.
        let spare = !followed && self.has_live_watch();
        let at_previous_address = watch.address != self.address && self.address_changed;
        if spare || at_previous_address {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let retry_at = now + self.backoff(now).times(self.rng.random_range(0.5..1.0));
        // A failed call never postpones a try that is due earlier.
        self.next_open = if self.next_open >= now { self.next_open.min(retry_at) } else { retry_at };
        self.report_failure(now, watch.address, cause, out);
    }

    fn backoff(&self, now: Time) -> Span {
        let Backoff { initial, max } = self.timing.backoff;
        let max = max.min(self.max_retry_interval(now));
        let doublings = (self.failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        Span(initial.0.saturating_mul(1 << doublings)).min(max)
    }

    fn report_failure(&mut self, now: Time, address: SocketAddr, cause: &Cause, out: &mut Vec<Output>) {
        if !self.outage_reported {
            self.outage_reported = true;
            out.push(Output::Lost { at: address, why: cause.to_string() });
        }
        if self.mode == Discovery::OnRequest && !self.address_changed {
            self.failure_reported = true;
            self.schedule_request(now);
            out.push(Output::Failed);
        }
    }

    fn handle_line(&mut self, now: Time, id: WatchId, listing: Option<Listing>, out: &mut Vec<Output>) {
        let Some(watch) = self.watch_mut(id) else { return };
        watch.response_began = true;
        watch.last_message = Some(now);
        watch.silence_reported = false;
        let watch = *watch;
        let at_current_address = watch.address == self.address;
        let silence = now - self.health.fresh_at;
        self.health.longest_silence = self.health.longest_silence.max(silence);
        self.health.fresh_at = now;
        if watch.kind == CallKind::Check {
            return self.handle_check(now, watch, listing, out);
        }
        let is_full_list = listing.as_ref().is_some_and(|listing| listing.whole);
        let from_new_address = at_current_address && self.address_changed && is_full_list;
        if at_current_address && (!self.address_changed || from_new_address) {
            self.address_changed = false;
            self.follow_watch(now, watch, silence, out);
        }
        match listing {
            Some(listing) => {
                // The requested full list has arrived.
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
                    anomalies: Vec::new(),
                }));
            }
            None => {}
        }
    }

    /// Follows the first watch to deliver and closes all others, including any at a previous address.
    fn follow_watch(&mut self, now: Time, watch: Watch, silence: Span, out: &mut Vec<Output>) {
        let replaced = self.followed != Some(watch.id);
        let others =
            self.watches.iter().filter(|other| other.id != watch.id && other.kind != CallKind::Check);
        let others: Vec<WatchId> = others.map(|other| other.id).collect();
        for other in others {
            out.push(Output::Close(other));
            self.drop_watch(other);
        }
        // Discovery may have restarted between two watches and its new revisions may already exceed the current one.
        // The changes after the current revision then lack earlier ones, without any sign of it.
        let reconnected = replaced && self.health.opened > 1;
        if reconnected && watch.kind != CallKind::FullList && self.mode == Discovery::Pushed {
            self.schedule_check(now + self.timing.call_timeout);
        }
        self.failures = 0;
        self.request_due = None;
        self.followed = Some(watch.id);
        self.next_open = now;
        if replaced || self.outage_reported {
            out.push(Output::Followed { at: watch.address, rev: self.table.rev(), silence });
        }
        self.outage_reported = false;
    }

    /// Requests the full list after a doubtful update: at once, or, if only excluded servers are in doubt, when their
    /// earlier drains are certainly over.
    fn check_if_doubtful(&mut self, now: Time, delivery: &Delivery) {
        let suppressed = self.table.has_suppressed() && delivery.kind == ListKind::Full;
        let doubtful = delivery
            .anomalies
            .iter()
            .any(|anomaly| matches!(anomaly, Anomaly::StaleChanges { .. } | Anomaly::MassRemoval { .. }));
        if doubtful {
            self.schedule_check(now);
        } else if suppressed {
            self.schedule_check(now + self.timing.staleness_bound);
        }
    }

    /// Schedules a request of the full list for that time, or earlier if one is already due earlier, but not twice
    /// within the timeout of a call.
    fn schedule_check(&mut self, at: Time) {
        let at = at.max(self.last_check + self.timing.call_timeout);
        self.check_due = Some(self.check_due.map_or(at, |due| due.min(at)));
    }

    /// Handles the full list requested beside the followed watch.
    fn handle_check(&mut self, now: Time, watch: Watch, listing: Option<Listing>, out: &mut Vec<Output>) {
        out.push(Output::Close(watch.id));
        self.drop_watch(watch.id);
        self.last_check = now;
        let Some(listing) = listing.filter(|_| watch.address == self.address) else { return };
        // The followed watch delivered newer changes meanwhile: the list is outdated, and its lower revision does not
        // start a new sequence.
        let overtaken = (watch.rev..self.table.rev()).contains(&listing.rev);
        if overtaken {
            return self.schedule_check(now);
        }
        let delivery = self.table.apply(now, listing, false);
        self.check_if_doubtful(now, &delivery);
        out.push(Output::Deliver(delivery));
    }
}
