//! State machine between the fronts and the transports. It owns the table of requests, the timers of the decision
//! modules and the final answer of each request: a request is answered once, by [`Engine::answer`], and removed from
//! the table by [`Engine::remove_if_finished`] when no attempt of it is in flight.
//!
//! It makes no decisions of its own: the decision module chooses servers, retries and refusals, within what the
//! operator's limits allow. Each pool of servers has its own decision module; without a limits file there is one pool.

use crate::places::Places;
use crate::pools::{Pools, SlotId};
use crate::timers::Timers;
use crate::watch::{Watch, Watched};
use dunlincleat::api::{
    Action, Attempt, Effect, Event, ListKind, RequestId, ServerId, Settings, Span, State, Status, Time, Token,
};
use dunlincleat_directory::Delivery;
use dunlincleat_limits::gate::Stand;
use dunlincleat_limits::{Gate, Rule, RuleSet};
use dunlincleat_settings::Site;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// What a front knows of a request besides its payload.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Index of its class.
    pub class: u32,
    /// Index of its tenant; one past the last if the request names no known tenant.
    pub tenant: u32,
    /// How long the client waits for the answer, from when it sent the request.
    pub wait: Span,
    /// Estimated work, if known.
    pub hint: Option<Span>,
    /// Key of the data that it is about, if given.
    pub key: Option<u64>,
    /// The client marked it as a retry.
    pub repeat: bool,
    /// Rule that the request is admitted under and keeps to its end; none without a limits file.
    pub rule: Option<Arc<Rule>>,
}

/// Result of an attempt or a probe.
#[derive(Clone, Debug)]
pub struct Ended<B> {
    /// How it ended.
    pub status: Status,
    /// Time since it was started.
    pub latency: Span,
    /// Load report, in the order of the settings' fields; empty if none was received.
    pub load: Vec<f64>,
    /// Response body, if it was served.
    pub body: Option<B>,
}

impl<B> Ended<B> {
    /// A result without a response.
    #[must_use]
    pub fn unsent(status: Status) -> Ended<B> {
        Ended { status, latency: Span(0), load: Vec::new(), body: None }
    }
}

/// Final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<B> {
    /// The response of a server.
    Served(B),
    /// Refused; a retry does no harm.
    Refused {
        /// How long the client should wait before it retries.
        retry_after: Option<Span>,
    },
    /// Failed; the request may or may not have run.
    Failed,
}

/// Inputs of the engine.
#[derive(Clone, Debug)]
pub enum Input<P, B> {
    /// A new request, under a new id. It must be answered once.
    Request {
        /// Id of the request.
        id: RequestId,
        /// What the front knows of it.
        ask: Ask,
        /// When its last byte was received.
        received: Time,
        /// What the transport sends.
        payload: P,
    },
    /// The client of a request left; no answer is needed any more.
    Gone(RequestId),
    /// An attempt ended. Each attempt that was started ends exactly once.
    Ended {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server that it was sent to.
        server: ServerId,
        /// Its result.
        ended: Ended<B>,
    },
    /// The response to an attempt has started and is streamed to the client as it arrives, so it is the final answer.
    /// The attempt itself ends later, once.
    Began {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server that it was sent to.
        server: ServerId,
        /// The result so far, with the response.
        ended: Ended<B>,
    },
    /// The upload of a request body to an attempt is still in progress, or has finished.
    Uploads {
        /// Request of the attempt.
        id: RequestId,
        /// Server that it was sent to.
        server: ServerId,
        /// Whether the upload has finished.
        over: bool,
    },
    /// A probe ended. Each probe that was started ends exactly once.
    Probed {
        /// Server that was probed.
        server: ServerId,
        /// Pool that the probe was sent for, as in [`Output::Probe`].
        asked: SlotId,
        /// Its result.
        ended: Ended<B>,
    },
    /// The list of servers, or changes to it.
    Listed(Delivery),
    /// A discovery call failed or the watch ended, where lists are delivered on request.
    ListFailed,
    /// New settings. Open requests keep their class and number of attempts.
    Settings {
        /// Settings of the decision modules.
        site: Arc<Site>,
        /// Settings of the shadow module, if there is one.
        watched: Option<Settings>,
    },
    /// New limits. Open requests keep the rule that they were admitted under.
    Rules(Arc<RuleSet>),
}

/// Outputs of the engine, to be carried out in order.
#[derive(Clone, Debug)]
pub enum Output<P, B> {
    /// Deliver the final answer of a request.
    Answer {
        /// Id of the request.
        id: RequestId,
        /// The answer.
        answer: Answer<B>,
    },
    /// Start an attempt.
    Attempt {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server to send it to.
        server: ServerId,
        /// What to send.
        payload: P,
        /// When to stop waiting for a response.
        until: Time,
        /// Limit on the time to connect, if it is tighter than that of the settings.
        connect: Option<Span>,
    },
    /// Cancel an attempt. Its end must still be reported.
    Cancel {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server that it was sent to.
        server: ServerId,
    },
    /// Nothing waits for an attempt any more: cancel it unless it has been written completely, in which case it
    /// continues. Its end must still be reported.
    Withdraw {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server that it was sent to.
        server: ServerId,
    },
    /// Send a probe to a server.
    Probe {
        /// Server to probe.
        server: ServerId,
        /// Pool that the probe is sent for; returned with the result.
        asked: SlotId,
    },
    /// Open a transport to a server.
    Open {
        /// Id of the server.
        server: ServerId,
        /// Address of the server.
        at: SocketAddr,
        /// When it last started, in milliseconds of Unix time; 0 for long ago.
        boot_ms: u64,
    },
    /// Update a server whose transport is open, as listed.
    Listed {
        /// Id of the server.
        server: ServerId,
        /// Address and boot time; none if the list has no address.
        at: Option<(SocketAddr, u64)>,
        /// Whether it takes new work.
        state: State,
    },
    /// Close a transport. Nothing is in flight to the server, and its id may be assigned to another server afterwards.
    Close {
        /// Id of the server.
        server: ServerId,
    },
    /// Open a watch of the server list, where lists are delivered on request.
    Watch,
    /// Write a log line for operators.
    Say {
        /// Server that the line is about, if any.
        server: Option<ServerId>,
        /// The line.
        text: String,
    },
}

/// Event counts since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests received.
    pub taken: u64,
    /// Requests answered by a server.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Refused requests that exceeded a limit of their route.
    pub limited: u64,
    /// Requests whose client left before the answer.
    pub gone: u64,
    /// Attempts started.
    pub attempts: u64,
}

/// A request that has not been answered yet or has attempts in flight.
#[derive(Clone, Debug)]
struct OpenRequest<P> {
    payload: P,
    wait: Span,
    slot: SlotId,
    rule: Option<Arc<Rule>>,
    /// Maximum number of attempts.
    max_attempts: u32,
    /// What it occupies of its route's limits, until it is answered.
    route_state: Stand,
    answered: bool,
    /// Its attempts, in order, and how many of them are in flight.
    attempts: Vec<AttemptRecord>,
    in_flight: usize,
    /// The attempt whose response is being streamed to the client.
    streaming: Option<Attempt>,
    /// How long servers remember its key, if its class has keys.
    key_window: Option<Span>,
}

/// An attempt that the engine started.
#[derive(Clone, Copy, Debug)]
struct AttemptRecord {
    server: ServerId,
    started: Time,
    status: Option<Status>,
}

/// Purpose of a timer.
#[derive(Clone, Copy, Debug)]
enum TimerKind {
    DecisionModule(SlotId, Token),
    /// The hedged request of an open request is due.
    Hedge(RequestId),
}

/// Returns the longest time for which a request may be open.
fn longest_deadline(site: &Site) -> Span {
    site.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
}

fn key_windows(site: &Site) -> Vec<Option<Span>> {
    let window = |effect| match effect {
        Effect::Keyed { window, .. } => Some(window),
        Effect::Safe | Effect::Unsafe => None,
    };
    site.settings.classes.iter().map(|class| window(class.effect)).collect()
}

/// The state machine; see the module documentation.
pub struct Engine<P, B> {
    pools: Pools,
    gate: Gate,
    max_attempts: u32,
    /// Attempts may be cancelled.
    cancel_allowed: bool,
    /// How long servers remember the keys of each class, if it has keys.
    key_windows: Vec<Option<Span>>,
    timers: Timers<TimerKind>,
    requests: FxHashMap<RequestId, OpenRequest<P>>,
    places: Places,
    /// How long the id of a removed server stays reserved: as long as an open request may refer to it.
    id_retention: Span,
    /// Inputs that the engine produced itself while it carried out actions.
    internal_inputs: VecDeque<Input<P, B>>,
    actions: Vec<Action>,
    tally: Tally,
    /// The request whose hedge was charged to the retry budget of its rule just now.
    charged_hedge: Option<RequestId>,
    /// Decision module under other settings that is only compared with the active one.
    shadow: Option<Box<Watch>>,
}

impl<P: Clone, B> Engine<P, B> {
    /// Creates an engine that may have `most` requests open; `seed` initialises the random draws.
    #[must_use]
    pub fn new(site: &Site, seed: u64, max_requests: u32) -> Engine<P, B> {
        let longest_deadline = longest_deadline(site);
        Engine {
            max_attempts: site.settings.limits.max_attempts,
            cancel_allowed: site.settings.limits.cancellation,
            key_windows: key_windows(site),
            id_retention: longest_deadline,
            pools: Pools::new(site, seed, longest_deadline),
            gate: Gate::new(max_requests),
            timers: Timers::default(),
            requests: FxHashMap::default(),
            places: Places::default(),
            internal_inputs: VecDeque::new(),
            actions: Vec::new(),
            tally: Tally::default(),
            charged_hedge: None,
            shadow: None,
        }
    }

    /// Returns when [`Engine::wake`] must be called next, if any timer is set.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        self.timers.due()
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn in_hand(&self) -> usize {
        self.requests.len()
    }

    /// Returns the table of servers.
    #[must_use]
    pub fn places(&self) -> &Places {
        &self.places
    }

    /// Returns the number of listed servers.
    #[must_use]
    pub fn listed_now(&self) -> usize {
        self.places.taken().filter(|(_, place)| place.gone.is_none()).count()
    }

    /// Returns the number of listed servers that the decision module over all servers currently avoids.
    #[must_use]
    pub fn avoided(&self, now: Time) -> usize {
        self.pools.avoided(now)
    }

    /// Returns the event counts since the last call and resets them.
    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }

    /// Sets the shadow module. It is compared with the decision module over all servers only, not with those of other
    /// pools.
    pub fn watch(&mut self, watch: Watch) {
        self.shadow = Some(Box::new(watch));
    }

    /// Returns the counts of the shadow module since the last call and resets them; none without a shadow module.
    pub fn take_watched(&mut self) -> Option<Watched> {
        self.shadow.as_mut().map(|watch| watch.take())
    }

    /// Processes all timers that have expired.
    pub fn wake(&mut self, now: Time, outputs: &mut Vec<Output<P, B>>) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                TimerKind::DecisionModule(slot, token) => {
                    self.notify_module(now, slot, Event::Timer { token }, outputs)
                }
                TimerKind::Hedge(id) => self.hedge(now, id, outputs),
            }
        }
        self.process_internal_inputs(now, outputs);
    }

    /// Processes one input.
    pub fn input(&mut self, now: Time, input: Input<P, B>, outputs: &mut Vec<Output<P, B>>) {
        self.process(now, input, outputs);
        self.process_internal_inputs(now, outputs);
    }

    fn process_internal_inputs(&mut self, now: Time, outputs: &mut Vec<Output<P, B>>) {
        while let Some(input) = self.internal_inputs.pop_front() {
            self.process(now, input, outputs);
        }
    }

    fn process(&mut self, now: Time, input: Input<P, B>, outputs: &mut Vec<Output<P, B>>) {
        match input {
            Input::Request { id, ask, received, payload } => {
                self.tally.taken += 1;
                let Ask { class, tenant, wait, hint, key, repeat, rule } = ask;
                let mut route_state = Stand::default();
                let mut slot = SlotId::ALL;
                let mut wait = wait;
                if let Some(rule) = &rule {
                    match self.gate.admit(now, rule) {
                        Ok(admitted) => route_state = admitted,
                        Err(_) => {
                            // Nothing of it has run, and the decision module is never notified of it.
                            (self.tally.refused, self.tally.limited) =
                                (self.tally.refused + 1, self.tally.limited + 1);
                            let answer = Answer::Refused { retry_after: None };
                            return outputs.push(Output::Answer { id, answer });
                        }
                    }
                    slot = self.pools.of(now, rule, &self.places);
                    wait = rule.timeout.map_or(wait, |timeout| wait.min(timeout));
                }
                let left = Span(wait.0.saturating_sub((now - received).0));
                let (answered, attempts) = (false, Vec::new());
                let max_attempts = self.max_attempts;
                let entry = OpenRequest {
                    payload,
                    wait,
                    slot,
                    rule,
                    max_attempts,
                    route_state,
                    answered,
                    attempts,
                    in_flight: 0,
                    streaming: None,
                    key_window: self.key_windows.get(class as usize).copied().flatten(),
                };
                self.requests.insert(id, entry);
                self.notify_module(
                    now,
                    slot,
                    Event::Request { id, left, class, tenant, hint, key, repeat },
                    outputs,
                );
            }
            Input::Gone(id) => {
                if let Some(slot) = self.mark_answered(id) {
                    self.tally.gone += 1;
                    // Without this, an attempt that waited for a connection was sent long after its client had left.
                    self.push_for_unfinished(id, outputs, |id, attempt, server| Output::Withdraw {
                        id,
                        attempt,
                        server,
                    });
                    self.notify_module(now, slot, Event::ClientLeft { id }, outputs);
                }
                self.remove_if_finished(id);
            }
            Input::Began { id, attempt, server, ended } => {
                let Some(entry) = self.requests.get_mut(&id) else { return };
                // For the decision module the attempt ends with the first bytes, because the rest of the stream says
                // nothing about the service time of the server. In this table it stays in flight until its transport
                // has finished, and its own answer does not cancel it.
                entry.streaming = Some(attempt);
                entry.in_flight += 1;
                self.attempt_ended(now, id, attempt, server, ended, outputs);
            }
            Input::Uploads { id, server, over } => {
                if let Some(slot) = self.requests.get(&id).map(|entry| entry.slot) {
                    self.notify_module(now, slot, Event::Upload { id, server, finished: over }, outputs);
                }
            }
            Input::Ended { id, attempt, server, ended } => {
                self.places.returned(now, server, ended.status);
                if let Some(entry) = self.requests.get_mut(&id).filter(|e| e.streaming == Some(attempt)) {
                    entry.in_flight = entry.in_flight.saturating_sub(1);
                    return self.remove_if_finished(id);
                }
                self.attempt_ended(now, id, attempt, server, ended, outputs);
            }
            Input::Probed { server, asked, ended } => {
                self.places.returned(now, server, ended.status);
                let Ended { status, latency, load, .. } = ended;
                self.notify_module(
                    now,
                    asked,
                    Event::ProbeFinished { server, status, latency, load: &load },
                    outputs,
                );
            }
            Input::Listed(delivery) => self.update_servers(now, &delivery, outputs),
            Input::ListFailed => {
                for slot in self.pools.slots() {
                    self.notify_module(
                        now,
                        slot,
                        Event::Members { kind: ListKind::Failed, entries: &[] },
                        outputs,
                    );
                }
            }
            Input::Settings { site, watched } => {
                self.max_attempts = site.settings.limits.max_attempts;
                self.cancel_allowed = site.settings.limits.cancellation;
                self.key_windows = key_windows(&site);
                // An open request may still have the longer deadline of earlier settings.
                self.id_retention = self.id_retention.max(longest_deadline(&site));
                for slot in self.pools.settle(&site, self.id_retention) {
                    self.notify_module(now, slot, Event::Settings { set: &site.settings }, outputs);
                }
                if let (Some(watch), Some(settings)) = (&mut self.shadow, &watched) {
                    watch.adopt(now, settings);
                }
            }
            Input::Rules(rules) => {
                self.gate.keep(rules.rules().map(|rule| rule.name.as_str()));
                for (slot, members) in self.pools.adopt(now, &rules) {
                    let entries = &members;
                    self.notify_module(
                        now,
                        slot,
                        Event::Members { kind: ListKind::Cached, entries },
                        outputs,
                    );
                }
            }
        }
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        ended: Ended<B>,
        outputs: &mut Vec<Output<P, B>>,
    ) {
        let Ended { status, latency, load, body } = ended;
        let (mut closed, mut again, mut slot) = (true, true, SlotId::ALL);
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            if let Some(record) = entry.attempts.get_mut(attempt.0 as usize) {
                record.status = Some(status);
            }
            if let Some(rule) = entry.rule.as_ref().filter(|_| status == Status::Ok) {
                self.gate.took(rule, latency);
            }
            slot = entry.slot;
            match (status, body) {
                (Status::Ok, Some(body)) => self.answer(id, Answer::Served(body), outputs),
                _ => closed = entry.answered,
            }
        }
        if let Some(entry) = self.requests.get_mut(&id).filter(|e| !e.answered && e.in_flight == 0)
            && let Some(rule) = &entry.rule
        {
            self.gate.waits_again(rule, &mut entry.route_state);
            again = self.gate.repeat(now, rule, &mut entry.route_state, entry.attempts.len() as u32);
        }
        let outcome = Event::AttemptFinished {
            id,
            attempt,
            status,
            request_closed: closed,
            retry_allowed: again,
            latency,
            server,
            load: &load,
        };
        self.notify_module(now, slot, outcome, outputs);
        self.remove_if_finished(id);
    }

    /// Removes a request from the table if it has been answered and no attempt is in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|entry| entry.answered && entry.in_flight == 0) {
            self.requests.remove(&id);
        }
    }

    fn update_servers(&mut self, now: Time, delivery: &Delivery, outputs: &mut Vec<Output<P, B>>) {
        let kind = delivery.kind;
        let cleared = self.places.clear_out(now, self.id_retention);
        outputs.extend(cleared.into_iter().map(|server| Output::Close { server }));
        let mut numbers = Vec::with_capacity(delivery.entries.len());
        for entry in &delivery.entries {
            let server = self.places.number(&entry.uid);
            let Some(place) = self.places.get_mut(server) else { continue };
            let state = entry.state;
            place.gone = (state == State::Removed).then(|| place.gone.unwrap_or(now));
            let at = entry.endpoint.map(|at| (at, entry.boot_ms));
            match at {
                at if place.open => outputs.push(Output::Listed { server, at, state }),
                Some((at, boot_ms)) if state != State::Removed => {
                    place.open = true;
                    outputs.push(Output::Open { server, at, boot_ms });
                    // It may be draining when it is first listed.
                    outputs.push(Output::Listed { server, at: Some((at, boot_ms)), state });
                }
                Some(_) | None => {}
            }
            numbers.push(server);
        }
        if kind == ListKind::Full {
            // Servers that are missing from a whole list are gone, although no entry says so.
            let listed: FxHashSet<ServerId> = numbers.iter().copied().collect();
            let missing = self.places.taken().map(|(server, _)| server).filter(|s| !listed.contains(s));
            for server in missing.collect::<Vec<_>>() {
                let Some(place) = self.places.get_mut(server) else { continue };
                place.gone = place.gone.or(Some(now));
                if place.open {
                    outputs.push(Output::Listed { server, at: None, state: State::Removed });
                }
            }
        }
        for (slot, members) in self.pools.listed(now, kind, &delivery.entries, &numbers) {
            self.notify_module(now, slot, Event::Members { kind, entries: &members }, outputs);
        }
    }

    /// Passes an event to the decision module of a pool and carries out the resulting actions.
    fn notify_module(&mut self, now: Time, slot: SlotId, event: Event<'_>, outputs: &mut Vec<Output<P, B>>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.pools.on_event(now, slot, event, &mut actions);
        if let Some(watch) = self.shadow.as_mut().filter(|_| slot == SlotId::ALL) {
            watch.see(now, event, &actions);
        }
        for action in actions.drain(..) {
            self.apply(now, slot, action, outputs);
        }
        self.actions = actions;
    }

    fn apply(&mut self, now: Time, slot: SlotId, action: Action, outputs: &mut Vec<Output<P, B>>) {
        match action {
            Action::Send { id, server, until } => self.start_attempt(now, id, server, until, outputs),
            Action::Refuse { id, retry_after } => {
                self.answer(id, Answer::Refused { retry_after }, outputs);
                self.remove_if_finished(id);
            }
            Action::Fail { id } => {
                self.answer(id, Answer::Failed, outputs);
                self.remove_if_finished(id);
            }
            Action::Cancel { id, attempt } => {
                let entry = self.requests.get(&id);
                if let Some(record) = entry.and_then(|e| e.attempts.get(attempt.0 as usize)) {
                    outputs.push(Output::Cancel { id, attempt, server: record.server });
                }
            }
            Action::Probe { server } => {
                if self.places.goes_out(server) {
                    outputs.push(Output::Probe { server, asked: slot });
                } else {
                    let ended = Ended::unsent(Status::ConnectFailed);
                    self.internal_inputs.push_back(Input::Probed { server, asked: slot, ended });
                }
            }
            Action::Timer { token, delay } => {
                self.timers.set(now + delay, TimerKind::DecisionModule(slot, token))
            }
            Action::WatchServers => outputs.push(Output::Watch),
            // Messages between instances have no protocol yet, and the settings do not allow the decision module to
            // send any.
            Action::SendToPeers { .. } => {}
            Action::Log { server, text } => outputs.push(Output::Say { server, text }),
        }
    }

    /// Handles a due hedge. If the first attempt is still the only one, is in flight, and the retry budget of the rule
    /// allows one more, the decision module chooses whether and where to send the hedged request.
    fn hedge(&mut self, now: Time, id: RequestId, outputs: &mut Vec<Output<P, B>>) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Some(rule) = entry.rule.as_ref().filter(|_| !entry.answered && entry.in_flight == 1) else {
            return;
        };
        if entry.attempts.len() == 1 && self.gate.repeat(now, rule, &mut entry.route_state, 1) {
            let slot = entry.slot;
            self.charged_hedge = Some(id);
            self.notify_module(now, slot, Event::HedgeDue { id }, outputs);
            self.charged_hedge = None;
        }
    }

    fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerId,
        until: Option<Time>,
        outputs: &mut Vec<Output<P, B>>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let attempt = Attempt(entry.attempts.len() as u32);
        // A repeat must start before the servers forget the key of the first attempt that may have run. Without this,
        // a repeat that waited for a connection started after that.
        let ran = entry.attempts.iter().find(|record| !record.status.is_some_and(Status::never_ran));
        let key_expiry = entry.key_window.zip(ran).map(|(window, first)| first.started + window);
        entry.attempts.push(AttemptRecord { server, started: now, status: None });
        entry.in_flight += 1;
        self.tally.attempts += 1;
        let mut rejected = entry.answered || attempt.0 >= entry.max_attempts;
        // A hedge that the decision module chose itself is sent only if the rule of its route allows one more attempt.
        if let Some(rule) =
            entry.rule.as_ref().filter(|_| entry.in_flight > 1 && self.charged_hedge != Some(id))
        {
            rejected |= !self.gate.repeat(now, rule, &mut entry.route_state, attempt.0);
        }
        // An attempt without its own time limit lasts until the client gives up, which ends it as a client that left.
        let mut until = until.unwrap_or(now + entry.wait);
        let mut connect = None;
        if let Some(rule) = &entry.rule {
            self.gate.goes_out(rule, &mut entry.route_state);
            until = rule.attempt_timeout.map_or(until, |timeout| until.min(now + timeout));
            connect = rule.connect_timeout;
            if let Some(after) = self.gate.copy_after(rule).filter(|_| attempt.0 == 0) {
                self.timers.set(now + after, TimerKind::Hedge(id));
            }
        }
        if let Some(key_expiry) = key_expiry {
            let left = key_expiry - now;
            connect = Some(connect.map_or(left, |connect| connect.min(left)));
        }
        let payload = entry.payload.clone();
        let transport_open = self.places.goes_out(server);
        if transport_open && !rejected {
            return outputs.push(Output::Attempt { id, attempt, server, payload, until, connect });
        }
        let status = if rejected { Status::NotSent } else { Status::ConnectFailed };
        self.internal_inputs.push_back(Input::Ended { id, attempt, server, ended: Ended::unsent(status) });
    }

    /// Gives a request its final answer, unless it already has one.
    fn answer(&mut self, id: RequestId, answer: Answer<B>, outputs: &mut Vec<Output<P, B>>) {
        if self.mark_answered(id).is_none() {
            return;
        }
        match answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Refused { .. } => self.tally.refused += 1,
            Answer::Failed => self.tally.failed += 1,
        }
        outputs.push(Output::Answer { id, answer });
        // The response to the losing hedge or first attempt is not needed any more.
        let cancel = self.cancel_allowed;
        self.push_for_unfinished(id, outputs, |id, attempt, server| match cancel {
            true => Output::Cancel { id, attempt, server },
            false => Output::Withdraw { id, attempt, server },
        });
    }

    /// Emits an output for each attempt of a request that has not ended.
    fn push_for_unfinished(
        &self,
        id: RequestId,
        outputs: &mut Vec<Output<P, B>>,
        output: impl Fn(RequestId, Attempt, ServerId) -> Output<P, B>,
    ) {
        let Some(entry) = self.requests.get(&id) else { return };
        let unfinished = entry.attempts.iter().enumerate().filter(|(_, record)| record.status.is_none());
        outputs.extend(unfinished.map(|(n, record)| output(id, Attempt(n as u32), record.server)));
    }

    /// Marks a request as answered. Its share of the route's limits is released here and nowhere else. Returns the
    /// pool of the request, or none if it was already answered.
    fn mark_answered(&mut self, id: RequestId) -> Option<SlotId> {
        let entry = self.requests.get_mut(&id).filter(|entry| !entry.answered)?;
        entry.answered = true;
        if let Some(rule) = &entry.rule {
            self.gate.over(rule, std::mem::take(&mut entry.route_state));
        }
        Some(entry.slot)
    }
}
