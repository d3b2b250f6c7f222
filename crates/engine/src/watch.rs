//! Shadow evaluation of other settings. A second decision module, under the settings `watch`, receives the same events
//! as the active one, never acts, and counts how often and in what way it would have decided differently. It has its
//! own random draws and its own timers, which expire when the next event arrives; nothing here affects the active
//! module.
//!
//! After each decision the shadow module follows the active one: its attempt is mapped to the real attempt, so that it
//! learns from what really happened.

use crate::timers::Timers;
use dunlincleat::Balancer;
use dunlincleat::api::{
    Action, Attempt, Event, Field, ListKind, RequestId, ServerId, Settings, Span, Status, Time, Token,
};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Comparison of the decisions since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watched {
    /// Attempts sent to the server that the shadow module chose too.
    pub alike: u64,
    /// Attempts sent to another server of the same zone. Servers are drawn at random, so two modules under the same
    /// settings differ too.
    pub other_server: u64,
    /// Attempts sent to a server of another zone.
    pub other_zone: u64,
    /// Attempts sent for requests that the shadow module refused or failed.
    pub would_refuse: u64,
    /// Requests refused or failed that the shadow module sent.
    pub would_send: u64,
    /// Attempts sent at once while the shadow module still waited for capacity or for probes.
    pub would_wait: u64,
    /// Hedged requests that only the shadow module sent.
    pub would_copy: u64,
    /// Probes that the shadow module wanted to send.
    pub would_probe: u64,
}

/// The real attempts of a request, and the attempts of the shadow module for it.
#[derive(Debug, Default)]
struct Seen {
    /// The shadow module's attempt for each real attempt; none if it made none.
    own: Vec<Option<Attempt>>,
    /// Number of attempts that the shadow module made.
    made: u32,
    /// Real attempts that the shadow module has not made yet, by index, with their servers.
    ahead: VecDeque<(usize, ServerId)>,
    /// Attempts of the shadow module without a real counterpart so far.
    early: VecDeque<(Attempt, ServerId)>,
    /// The shadow module refused or failed the request, perhaps while the real request still waited.
    dropped: bool,
}

/// The shadow decision module.
pub struct Watch {
    balancer: Balancer,
    /// Position in a received load report of each field of the shadow settings.
    fields: Vec<usize>,
    timers: Timers<Token>,
    seen: FxHashMap<RequestId, Seen>,
    zones: FxHashMap<ServerId, u32>,
    counts: Watched,
    actions: Vec<Action>,
}

impl Watch {
    /// Creates a shadow module under `settings`, with its own random draws. Load reports arrive in the order of
    /// `reported`.
    #[must_use]
    pub fn new(settings: Settings, reported: &[Field], seed: u64) -> Watch {
        // A load report has the fields of the active settings; they are reordered to those of the shadow settings.
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

    /// Replaces the settings of the shadow module.
    pub fn adopt(&mut self, now: Time, settings: &Settings) {
        let mut own = std::mem::take(&mut self.actions);
        self.balancer.on_event(now, Event::Settings { set: settings }, &mut own);
        self.actions = own;
    }

    /// Returns the counts since the last call and resets them.
    pub fn take(&mut self) -> Watched {
        std::mem::take(&mut self.counts)
    }

    /// Processes an event and the actions that the active module took for it.
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
                | Action::Watch
                | Action::Tell { .. }
                | Action::Log { .. } => {}
            }
        }
        self.copies(now, &mut own);
        if let Event::Outcome { id, closed: true, .. } | Event::Gone { id } = event {
            self.seen.remove(&id);
        }
        // An attempt that was undone may free capacity for a request that waits in the shadow module.
        self.take_up(now, &mut own);
        self.actions = own;
    }

    /// Records the actions of the shadow module; none of them is carried out.
    fn take_up(&mut self, now: Time, own: &mut Vec<Action>) {
        while !own.is_empty() {
            let action = own.remove(0);
            match action {
                Action::Timer { token, delay } => self.timers.set(now + delay, token),
                Action::Probe { server } => {
                    self.counts.would_probe += 1;
                    let (status, latency) = (Status::Moot, Span(0));
                    let unsent = Event::Probed { server, status, latency, load: &[] };
                    self.balancer.on_event(now, unsent, own);
                }
                Action::Send { id, server, .. } => self.made(id, server),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    self.seen.entry(id).and_modify(|seen| seen.dropped = true);
                }
                Action::Cancel { .. } | Action::Watch | Action::Tell { .. } | Action::Log { .. } => {}
            }
        }
    }

    fn feed(&mut self, now: Time, event: Event<'_>, own: &mut Vec<Action>) {
        match event {
            // The shadow module has its own timers and never has a probe in flight.
            Event::Timer { .. } | Event::Probed { .. } => {}
            // The shadow module has its own settings, which are set by `adopt`.
            Event::Settings { .. } => {}
            Event::Outcome { id, attempt, status, closed, again, latency, server, load } => {
                let seen = self.seen.get(&id);
                let mine = seen.and_then(|seen| seen.own.get(attempt.0 as usize).copied().flatten());
                let attempt = mine.unwrap_or(Attempt(u32::MAX));
                let load: Vec<f64> = if load.is_empty() {
                    Vec::new()
                } else {
                    self.fields.iter().map(|at| load.get(*at).copied().unwrap_or(f64::NAN)).collect()
                };
                let load = &load;
                let outcome = Event::Outcome { id, attempt, status, closed, again, latency, server, load };
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
            Event::Gone { .. }
            | Event::First { .. }
            | Event::Uploads { .. }
            | Event::Copy { .. }
            | Event::Peer { .. } => {
                self.balancer.on_event(now, event, own);
            }
        }
    }

    /// The shadow module made an attempt.
    fn made(&mut self, id: RequestId, server: ServerId) {
        let Some(seen) = self.seen.get_mut(&id) else { return };
        let attempt = Attempt(seen.made);
        seen.made += 1;
        match seen.ahead.pop_front() {
            // The real attempt was sent while the shadow module waited.
            Some((real, at)) => {
                seen.own[real] = Some(attempt);
                self.balancer.follow(id, at);
            }
            None => seen.early.push_back((attempt, server)),
        }
    }

    /// A real attempt was sent.
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
            // The balancer follows the last attempt that it made, so hedged requests beside it are undone first.
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

    /// The active module refused or failed a request.
    fn ended(&mut self, now: Time, id: RequestId, own: &mut Vec<Action>) {
        let Some(mut seen) = self.seen.remove(&id) else { return };
        self.counts.would_send += u64::from(!seen.early.is_empty());
        for (attempt, server) in seen.early.drain(..) {
            self.balancer.on_event(now, undone(id, attempt, server, true), own);
        }
        self.balancer.on_event(now, Event::Gone { id }, own);
    }

    /// Undoes and counts the hedged requests that the shadow module made beside a real attempt.
    fn copies(&mut self, now: Time, own: &mut Vec<Action>) {
        for (id, seen) in self.seen.iter_mut().filter(|(_, seen)| !seen.own.is_empty()) {
            while let Some((attempt, server)) = seen.early.pop_front() {
                self.counts.would_copy += 1;
                self.balancer.on_event(now, undone(*id, attempt, server, false), own);
            }
        }
    }
}

/// Outcome of an attempt that was never sent.
fn undone(id: RequestId, attempt: Attempt, server: ServerId, closed: bool) -> Event<'static> {
    let (status, latency) = (Status::Moot, Span(0));
    Event::Outcome { id, attempt, status, closed, again: false, latency, server, load: &[] }
}
