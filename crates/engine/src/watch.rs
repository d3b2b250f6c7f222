//! Stage: beside the deciding module. A second decision module under other settings sees the same events, never acts,
//! and is counted against the first: how often, and in what way, these settings would have decided otherwise. It has
//! its own draws and its own timers, which pass when the next event comes; nothing here reaches the deciding module.
//!
//! After each decision it follows the real one: its own attempt becomes the attempt that went out, so that what it
//! learns is what happened.

use crate::timers::Timers;
use dunlincleat::Balancer;
use dunlincleat::api::{
    Action, Attempt, Event, Field, ListKind, RequestId, ServerId, Settings, Span, Status, Time, Token,
};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// How decisions compared since this was last asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watched {
    /// Attempts at the same server.
    pub alike: u64,
    /// Attempts at another server of the same zone. Servers are drawn: two modules under the same settings differ too.
    pub other_server: u64,
    /// Attempts at a server of another zone.
    pub other_zone: u64,
    /// Sent, and would have been refused or failed.
    pub would_refuse: u64,
    /// Refused or failed, and would have been sent.
    pub would_send: u64,
    /// Sent at once, and would have waited for room or for probes.
    pub would_wait: u64,
    /// Further attempts that would have gone out beside the one that was out.
    pub would_copy: u64,
    /// Probes that would have been sent.
    pub would_probe: u64,
}

/// A request as it really went, and how the watching module stands with it.
#[derive(Debug, Default)]
struct Seen {
    /// The watching module's number of each real attempt, none where it made none.
    own: Vec<Option<Attempt>>,
    /// Attempts that the watching module made.
    made: u32,
    /// Real attempts that it has not made yet, by their number, and where they went.
    ahead: VecDeque<(usize, ServerId)>,
    /// Its own attempts that no real one answers to yet.
    early: VecDeque<(Attempt, ServerId)>,
    /// It refused or failed the request, perhaps while the real one still waited.
    dropped: bool,
}

/// The watching module.
pub struct Watch {
    balancer: Balancer,
    /// Where each figure of its settings stands in a report.
    fields: Vec<usize>,
    timers: Timers<Token>,
    seen: FxHashMap<RequestId, Seen>,
    zones: FxHashMap<ServerId, u32>,
    counts: Watched,
    actions: Vec<Action>,
}

impl Watch {
    /// One that decides by `settings`, with draws of its own. Load reports come in the order of `reported`.
    #[must_use]
    pub fn new(settings: Settings, reported: &[Field], seed: u64) -> Watch {
        // A report holds what the settings in force name; each figure goes where the other settings look for it.
        let at = |field: &Field| reported.iter().position(|f| f == field).unwrap_or(usize::MAX);
        Watch {
            fields: settings.fields.iter().map(at).collect(),
            balancer: Balancer::new(settings, seed),
            timers: Timers::default(),
            seen: FxHashMap::default(),
            zones: FxHashMap::default(),
            counts: Watched::default(),
            actions: Vec::new(),
        }
    }

    /// Takes up other settings to decide by.
    pub fn adopt(&mut self, now: Time, settings: &Settings) {
        let mut own = std::mem::take(&mut self.actions);
        self.balancer.on_event(now, Event::Settings { set: settings }, &mut own);
        self.actions = own;
    }

    /// What was counted since this was last called.
    pub fn take(&mut self) -> Watched {
        std::mem::take(&mut self.counts)
    }

    /// Sees an event, and what the deciding module wanted done for it.
    pub fn see(&mut self, now: Time, event: Event<'_>, done: &[Action]) {
        let mut own = std::mem::take(&mut self.actions);
        while let Some(token) = self.timers.pop(now) {
            self.balancer.on_event(now, Event::Timer { token }, &mut own);
        }
        self.feed(now, event, &mut own);
        self.take_up(now, &mut own);
        for action in done {
            match action {
                Action::Send { id, server, .. } => self.sent(now, *id, *server, &mut own),
                Action::Refuse { id, .. } | Action::Fail { id } => self.ended(now, *id, &mut own),
                Action::Cancel { .. }
                | Action::Probe { .. }
                | Action::Timer { .. }
                | Action::WatchServers
                | Action::SendToPeers { .. }
                | Action::Log { .. } => {}
            }
        }
        self.copies(now, &mut own);
        if let Event::AttemptFinished { id, request_closed: true, .. } | Event::ClientLeft { id } = event {
            self.seen.remove(&id);
        }
        // What is undone may make room for a request that waited here.
        self.take_up(now, &mut own);
        self.actions = own;
    }

    /// Takes up what the watching module wants; nothing of it leaves.
    fn take_up(&mut self, now: Time, own: &mut Vec<Action>) {
        while !own.is_empty() {
            let action = own.remove(0);
            match action {
                Action::Timer { token, delay } => self.timers.set(now + delay, token),
                Action::Probe { server } => {
                    self.counts.would_probe += 1;
                    let (status, latency) = (Status::NotSent, Span(0));
                    let unsent = Event::ProbeFinished { server, status, latency, load: &[] };
                    self.balancer.on_event(now, unsent, own);
                }
                Action::Send { id, server, .. } => self.made(id, server),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    self.seen.entry(id).and_modify(|seen| seen.dropped = true);
                }
                Action::Cancel { .. }
                | Action::WatchServers
                | Action::SendToPeers { .. }
                | Action::Log { .. } => {}
            }
        }
    }

    fn feed(&mut self, now: Time, event: Event<'_>, own: &mut Vec<Action>) {
        match event {
            // Its own timers are its own, and no probe of its own is ever out.
            Event::Timer { .. } | Event::ProbeFinished { .. } => {}
            // It has settings of its own, which come by `adopt`.
            Event::Settings { .. } => {}
            Event::AttemptFinished {
                id,
                attempt,
                status,
                request_closed: closed,
                retry_allowed: again,
                latency,
                server,
                load,
            } => {
                let seen = self.seen.get(&id);
                let mine = seen.and_then(|seen| seen.own.get(attempt.0 as usize).copied().flatten());
                let attempt = mine.unwrap_or(Attempt(u32::MAX));
                let load: Vec<f64> = if load.is_empty() {
                    Vec::new()
                } else {
                    self.fields.iter().map(|at| load.get(*at).copied().unwrap_or(f64::NAN)).collect()
                };
                let load = &load;
                let outcome = Event::AttemptFinished {
                    id,
                    attempt,
                    status,
                    request_closed: closed,
                    retry_allowed: again,
                    latency,
                    server,
                    load,
                };
                self.balancer.on_event(now, outcome, own);
            }
            Event::Members { kind, entries } => {
                if kind != ListKind::Changes && kind != ListKind::Failed {
                    self.zones.clear();
                }
                self.zones.extend(entries.iter().map(|entry| (entry.server, entry.zone)));
                self.balancer.on_event(now, event, own);
            }
            Event::Request { id, .. } => {
                self.seen.insert(id, Seen::default());
                self.balancer.on_event(now, event, own);
            }
            Event::ClientLeft { .. }
            | Event::ResponseStarted { .. }
            | Event::Upload { .. }
            | Event::HedgeDue { .. }
            | Event::Peer { .. } => {
                self.balancer.on_event(now, event, own);
            }
        }
    }

    /// The watching module would have made an attempt.
    fn made(&mut self, id: RequestId, server: ServerId) {
        let Some(seen) = self.seen.get_mut(&id) else { return };
        let attempt = Attempt(seen.made);
        seen.made += 1;
        match seen.ahead.pop_front() {
            // The real one went out while this one waited.
            Some((real, at)) => {
                seen.own[real] = Some(attempt);
                self.balancer.follow(id, at);
            }
            None => seen.early.push_back((attempt, server)),
        }
    }

    /// A real attempt went out.
    fn sent(&mut self, now: Time, id: RequestId, server: ServerId, own: &mut Vec<Action>) {
        let zone = |server: ServerId| self.zones.get(&server);
        let Some(seen) = self.seen.get_mut(&id) else { return };
        let real = seen.own.len();
        if let Some((attempt, mine)) = seen.early.pop_front() {
            seen.own.push(Some(attempt));
            if mine == server {
                self.counts.alike += 1;
            } else if zone(mine) == zone(server) {
                self.counts.other_server += 1;
            } else {
                self.counts.other_zone += 1;
            }
            // Its last attempt is the one to follow; a copy beside it is undone first.
            while let Some((attempt, server)) = seen.early.pop_front() {
                self.counts.would_copy += 1;
                self.balancer.on_event(now, undone(id, attempt, server, false), own);
            }
            return self.balancer.follow(id, server);
        }
        seen.own.push(None);
        if seen.dropped {
            self.counts.would_refuse += 1;
        } else {
            self.counts.would_wait += 1;
            seen.ahead.push_back((real, server));
        }
    }

    /// A request was really refused or failed.
    fn ended(&mut self, now: Time, id: RequestId, own: &mut Vec<Action>) {
        let Some(mut seen) = self.seen.remove(&id) else { return };
        self.counts.would_send += u64::from(!seen.early.is_empty());
        for (attempt, server) in seen.early.drain(..) {
            self.balancer.on_event(now, undone(id, attempt, server, true), own);
        }
        self.balancer.on_event(now, Event::ClientLeft { id }, own);
    }

    /// Attempts beside a real one that is out never went out.
    fn copies(&mut self, now: Time, own: &mut Vec<Action>) {
        for (id, seen) in self.seen.iter_mut().filter(|(_, seen)| !seen.own.is_empty()) {
            while let Some((attempt, server)) = seen.early.pop_front() {
                self.counts.would_copy += 1;
                self.balancer.on_event(now, undone(*id, attempt, server, false), own);
            }
        }
    }
}

/// The end of an attempt that was never sent.
fn undone(id: RequestId, attempt: Attempt, server: ServerId, closed: bool) -> Event<'static> {
    let (status, latency) = (Status::NotSent, Span(0));
    Event::AttemptFinished {
        id,
        attempt,
        status,
        request_closed: closed,
        retry_allowed: false,
        latency,
        server,
        load: &[],
    }
}
