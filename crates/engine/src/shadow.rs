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
pub struct ShadowCounts {
    /// Attempts sent to the server that the shadow module chose too.
    pub same_server: u64,
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
    pub would_hedge: u64,
    /// Probes that the shadow module wanted to send.
    pub would_probe: u64,
}

/// A real attempt, by its index in [`ShadowRequest::own_attempts`].
#[derive(Debug)]
struct RealAttempt {
    index: usize,
    server: ServerId,
}

/// An attempt of the shadow module.
#[derive(Debug)]
struct OwnAttempt {
    attempt: Attempt,
    server: ServerId,
}

/// The real attempts of a request, and the attempts of the shadow module for it.
#[derive(Debug, Default)]
struct ShadowRequest {
    /// The shadow module's attempt for each real attempt; none if it made none.
    own_attempts: Vec<Option<Attempt>>,
    /// Number of attempts that the shadow module made.
    attempt_count: u32,
    /// Real attempts that the shadow module has not made yet.
    unmatched_real: VecDeque<RealAttempt>,
    /// Attempts of the shadow module without a real counterpart so far.
    unmatched_own: VecDeque<OwnAttempt>,
    /// The shadow module refused or failed the request, perhaps while the real request still waited.
    rejected: bool,
}

/// The shadow decision module.
pub struct Shadow {
    balancer: Balancer,
    /// Position in a received load report of each field of the shadow settings.
    report_positions: Vec<usize>,
    timers: Timers<Token>,
    requests: FxHashMap<RequestId, ShadowRequest>,
    zones: FxHashMap<ServerId, u32>,
    counts: ShadowCounts,
    actions: Vec<Action>,
}

impl Shadow {
    /// Creates a shadow module under `settings`, with its own random draws. Load reports arrive in the order of
    /// `reported`.
    #[must_use]
    pub fn new(settings: Settings, reported: &[Field], seed: u64) -> Shadow {
        // A load report has the fields of the active settings; they are reordered to those of the shadow settings.
        let position = |field: &Field| reported.iter().position(|f| f == field).unwrap_or(usize::MAX);
        Shadow {
            report_positions: settings.fields.iter().map(position).collect(),
            balancer: Balancer::new(settings, seed),
            timers: Timers::default(),
            requests: FxHashMap::default(),
            zones: FxHashMap::default(),
            counts: ShadowCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Replaces the settings of the shadow module.
    pub fn set_settings(&mut self, now: Time, settings: &Settings) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.on_event(now, Event::Settings { set: settings }, &mut actions);
        self.actions = actions;
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&mut self) -> ShadowCounts {
        std::mem::take(&mut self.counts)
    }

    /// Processes an event and the actions that the active module took for it.
    pub fn observe(&mut self, now: Time, event: Event<'_>, real_actions: &[Action]) {
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(token) = self.timers.pop(now) {
            self.balancer.on_event(now, Event::Timer { token }, &mut actions);
        }
        self.forward(now, event, &mut actions);
        self.record_actions(now, &mut actions);
        for action in real_actions {
            match action {
                Action::Send { id, server, .. } => self.real_attempt(now, *id, *server, &mut actions),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    self.request_rejected(now, *id, &mut actions)
                }
                Action::Cancel { .. }
                | Action::Probe { .. }
                | Action::Timer { .. }
                | Action::WatchServers
                | Action::SendToPeers { .. }
                | Action::Log { .. } => {}
            }
        }
        self.undo_hedges(now, &mut actions);
        if let Event::AttemptFinished { id, request_closed: true, .. } | Event::ClientLeft { id } = event {
            self.requests.remove(&id);
        }
        // An attempt that was undone may free capacity for a request that waits in the shadow module.
        self.record_actions(now, &mut actions);
        self.actions = actions;
    }

    /// Records the actions of the shadow module; none of them is carried out.
    fn record_actions(&mut self, now: Time, actions: &mut Vec<Action>) {
        while !actions.is_empty() {
            let action = actions.remove(0);
            match action {
                Action::Timer { token, delay } => self.timers.set(now + delay, token),
                Action::Probe { server } => {
                    self.counts.would_probe += 1;
                    let (status, latency) = (Status::NotSent, Span(0));
                    let not_sent = Event::ProbeFinished { server, status, latency, load: &[] };
                    self.balancer.on_event(now, not_sent, actions);
                }
                Action::Send { id, server, .. } => self.own_attempt(id, server),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    self.requests.entry(id).and_modify(|request| request.rejected = true);
                }
                Action::Cancel { .. }
                | Action::WatchServers
                | Action::SendToPeers { .. }
                | Action::Log { .. } => {}
            }
        }
    }

    fn forward(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            // The shadow module has its own timers and never has a probe in flight.
            Event::Timer { .. } | Event::ProbeFinished { .. } => {}
            // The shadow module has its own settings, which are set by `set_settings`.
            Event::Settings { .. } => {}
            Event::AttemptFinished {
                id,
                attempt,
                status,
                request_closed,
                retry_allowed,
                latency,
                server,
                load,
            } => {
                let outcome = Event::AttemptFinished {
                    id,
                    attempt: self.own_number(id, attempt),
                    status,
                    request_closed,
                    retry_allowed,
                    latency,
                    server,
                    load: &self.own_report(load),
                };
                self.balancer.on_event(now, outcome, actions);
            }
            Event::Members { kind, entries } => {
                if kind != ListKind::Changes && kind != ListKind::Failed {
                    self.zones.clear();
                }
                self.zones.extend(entries.iter().map(|entry| (entry.server, entry.zone)));
                self.balancer.on_event(now, event, actions);
            }
            Event::Request { id, .. } => {
                self.requests.insert(id, ShadowRequest::default());
                self.balancer.on_event(now, event, actions);
            }
            Event::ClientLeft { .. }
            | Event::ResponseStarted { .. }
            | Event::Upload { .. }
            | Event::HedgeDue { .. }
            | Event::Peer { .. } => {
                self.balancer.on_event(now, event, actions);
            }
        }
    }

    /// Returns the shadow module's number of a real attempt, or an unused number if it made no such attempt.
    fn own_number(&self, id: RequestId, attempt: Attempt) -> Attempt {
        let own_attempts = self.requests.get(&id).map(|request| &request.own_attempts);
        let own_attempt = own_attempts.and_then(|own| own.get(attempt.0 as usize).copied().flatten());
        own_attempt.unwrap_or(Attempt(u32::MAX))
    }

    /// Converts a load report to the fields of the shadow settings; missing fields become NaN.
    fn own_report(&self, load: &[f64]) -> Vec<f64> {
        if load.is_empty() {
            return Vec::new();
        }
        let positions = self.report_positions.iter();
        positions.map(|position| load.get(*position).copied().unwrap_or(f64::NAN)).collect()
    }

    /// The shadow module made an attempt.
    fn own_attempt(&mut self, id: RequestId, server: ServerId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = Attempt(request.attempt_count);
        request.attempt_count += 1;
        match request.unmatched_real.pop_front() {
            // The real attempt was sent while the shadow module waited.
            Some(real) => {
                request.own_attempts[real.index] = Some(attempt);
                self.balancer.follow(id, real.server);
            }
            None => request.unmatched_own.push_back(OwnAttempt { attempt, server }),
        }
    }

    /// A real attempt was sent.
    fn real_attempt(&mut self, now: Time, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let zone = |server: ServerId| self.zones.get(&server);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let index = request.own_attempts.len();
        if let Some(own) = request.unmatched_own.pop_front() {
            request.own_attempts.push(Some(own.attempt));
            if own.server == server {
                self.counts.same_server += 1;
            } else if zone(own.server) == zone(server) {
                self.counts.other_server += 1;
            } else {
                self.counts.other_zone += 1;
            }
            // The balancer follows the last attempt that it made, so hedged requests beside it are undone first.
            while let Some(hedge) = request.unmatched_own.pop_front() {
                self.counts.would_hedge += 1;
                self.balancer.on_event(now, never_sent(id, &hedge, false), actions);
            }
            self.balancer.follow(id, server);
            return;
        }
        request.own_attempts.push(None);
        if request.rejected {
            self.counts.would_refuse += 1;
        } else {
            self.counts.would_wait += 1;
            request.unmatched_real.push_back(RealAttempt { index, server });
        }
    }

    /// The active module refused or failed a request.
    fn request_rejected(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.counts.would_send += u64::from(!request.unmatched_own.is_empty());
        for own in request.unmatched_own.drain(..) {
            self.balancer.on_event(now, never_sent(id, &own, true), actions);
        }
        self.balancer.on_event(now, Event::ClientLeft { id }, actions);
    }

    /// Undoes and counts the hedged requests that the shadow module made beside a real attempt.
    fn undo_hedges(&mut self, now: Time, actions: &mut Vec<Action>) {
        let sent = self.requests.iter_mut().filter(|(_, request)| !request.own_attempts.is_empty());
        for (id, request) in sent {
            while let Some(hedge) = request.unmatched_own.pop_front() {
                self.counts.would_hedge += 1;
                self.balancer.on_event(now, never_sent(*id, &hedge, false), actions);
            }
        }
    }
}

/// Outcome of an attempt that was never sent.
fn never_sent(id: RequestId, own: &OwnAttempt, request_closed: bool) -> Event<'static> {
    Event::AttemptFinished {
        id,
        attempt: own.attempt,
        status: Status::NotSent,
        request_closed,
        retry_allowed: false,
        latency: Span(0),
        server: own.server,
        load: &[],
    }
}
