//! Stage: between the fronts and the transports. Owns the table of requests, the module's timers and clock, and the
//! one final answer of each request: an entry is answered once, by [`Engine::settle`], and given back by
//! [`Engine::forget`] when no attempt of it is out.
//!
//! It decides nothing: which server, whether again and what is turned away is the decision module's word, within what the
//! operator's limits allow. Each pool of servers has a decision module of its own; without a file there is one.

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

/// What a front knows of a request beside its payload.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The number of its class.
    pub class: u32,
    /// The number of its tenant; that after the last where none was named that is known.
    pub tenant: u32,
    /// How long the client waits, from when it sent it.
    pub wait: Span,
    /// A guess at the work.
    pub hint: Option<Span>,
    /// What it is about, where that is told.
    pub key: Option<u64>,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// The rule that it is taken under, to its end; none where no file was read.
    pub rule: Option<Arc<Rule>>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Debug)]
pub struct Ended<B> {
    /// How.
    pub status: Status,
    /// Time since it was taken up.
    pub latency: Span,
    /// The load report, in the order of the settings' fields; empty where none came.
    pub load: Vec<f64>,
    /// The answer, where it was served.
    pub body: Option<B>,
}

impl<B> Ended<B> {
    /// One that brought no answer.
    #[must_use]
    pub fn unsent(status: Status) -> Ended<B> {
        Ended { status, latency: Span(0), load: Vec::new(), body: None }
    }
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<B> {
    /// A server's answer.
    Served(B),
    /// Trying again does no harm.
    Refused {
        /// How long to stay away.
        retry_after: Option<Span>,
    },
    /// Nothing promised.
    Failed,
}

/// What the engine is told.
#[derive(Clone, Debug)]
pub enum Input<P, B> {
    /// A request came; it is owed one answer. Its id is new.
    Request {
        /// Which.
        id: RequestId,
        /// What is known of it.
        ask: Ask,
        /// When its last byte came.
        received: Time,
        /// What the transport sends.
        payload: P,
    },
    /// Its client left: nothing is owed any more.
    Gone(RequestId),
    /// An attempt ended; each that was put out ends once.
    Ended {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// Where.
        server: ServerId,
        /// How.
        ended: Ended<B>,
    },
    /// An attempt's answer began and is passed on as it comes: it is the final one. The attempt ends later, once.
    Began {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// Where.
        server: ServerId,
        /// What is known of it, with the answer.
        ended: Ended<B>,
    },
    /// The body of an attempt still comes, or comes no more.
    Uploads {
        /// Of which request.
        id: RequestId,
        /// Where.
        server: ServerId,
        /// It comes no more.
        over: bool,
    },
    /// A probe ended; each that was put out ends once.
    Probed {
        /// Of which server.
        server: ServerId,
        /// Who asked, as the probe said.
        asked: SlotId,
        /// How.
        ended: Ended<B>,
    },
    /// The list of servers, or changes to it.
    Listed(Delivery),
    /// A call of discovery failed, or the watch ended, where lists come on request.
    ListFailed,
    /// Other settings; requests in hand keep their class and number of attempts.
    Settings {
        /// Those to decide by.
        site: Arc<Site>,
        /// Those of the module that only watches, where there is one.
        watched: Option<Settings>,
    },
    /// New limits; requests in hand keep those that they were taken under.
    Rules(Arc<RuleSet>),
}

/// What the engine wants done, in order.
#[derive(Clone, Debug)]
pub enum Output<P, B> {
    /// The final answer of a request.
    Answer {
        /// Which.
        id: RequestId,
        /// The answer.
        answer: Answer<B>,
    },
    /// Start an attempt.
    Attempt {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// Where to.
        server: ServerId,
        /// What to send.
        payload: P,
        /// When to stop waiting.
        until: Time,
        /// How long a connection for it may take, where that is narrowed.
        connect: Option<Span>,
    },
    /// Stop waiting for an attempt; it ends all the same.
    Cancel {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// Where it is.
        server: ServerId,
    },
    /// Nobody waits for an attempt any more: what is not written whole of it is taken back, the rest goes on. It ends
    /// all the same.
    Withdraw {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// Where it is.
        server: ServerId,
    },
    /// Ask a server how it is.
    Probe {
        /// Which.
        server: ServerId,
        /// Who asks; handed back with its end.
        asked: SlotId,
    },
    /// Open a transport to a server.
    Open {
        /// Its number.
        server: ServerId,
        /// Where it is reached.
        at: SocketAddr,
        /// When it last started, in milliseconds of Unix time; 0 for long ago.
        boot_ms: u64,
    },
    /// The list told of a server whose transport is open.
    Listed {
        /// Its number.
        server: ServerId,
        /// Where it is reached; nothing where the list lacks it.
        at: Option<(SocketAddr, u64)>,
        /// Whether it takes new work.
        state: State,
    },
    /// Close a transport: nothing is out there, and its number may be another server's from here on.
    Close {
        /// Its number.
        server: ServerId,
    },
    /// Open a watch of the list, where lists come on request.
    Watch,
    /// A line for the people on call.
    Say {
        /// The server that it is about.
        server: Option<ServerId>,
        /// The line.
        text: String,
    },
}

/// What happened since it was last asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests taken.
    pub taken: u64,
    /// Answered by a server.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Of the refused, those that a limit of their route turned away.
    pub limited: u64,
    /// Whose client left first.
    pub gone: u64,
    /// Attempts put out.
    pub attempts: u64,
}

/// A request that is owed an answer, or whose attempts are not all over.
#[derive(Clone, Debug)]
struct Entry<P> {
    payload: P,
    wait: Span,
    slot: SlotId,
    rule: Option<Arc<Rule>>,
    /// Attempts that it may have.
    most: u32,
    /// Where it stands with its route, until it is answered.
    stand: Stand,
    answered: bool,
    /// Its attempts, in order, and how many of them are out.
    attempts: Vec<Tried>,
    out: usize,
    /// The attempt whose answer is being passed on.
    passing: Option<Attempt>,
    /// For how long its key is remembered, where it has one.
    window: Option<Span>,
}

/// An attempt, which the engine put out.
#[derive(Clone, Copy, Debug)]
struct Tried {
    server: ServerId,
    at: Time,
    ended: Option<Status>,
}

/// What a timer was set for.
#[derive(Clone, Copy, Debug)]
enum Due {
    Module(SlotId, Token),
    /// A second copy of a request.
    Copy(RequestId),
}

/// The longest that a request may be open.
fn longest(site: &Site) -> Span {
    site.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
}

fn windows(site: &Site) -> Vec<Option<Span>> {
    let window = |effect| match effect {
        Effect::Keyed { window, .. } => Some(window),
        Effect::Safe | Effect::Unsafe => None,
    };
    site.settings.classes.iter().map(|class| window(class.effect)).collect()
}

/// The engine.
pub struct Engine<P, B> {
    pools: Pools,
    gate: Gate,
    max_attempts: u32,
    /// Attempts may be called off.
    cancel: bool,
    /// For how long a key of each class is remembered, where it has one.
    windows: Vec<Option<Span>>,
    timers: Timers<Due>,
    requests: FxHashMap<RequestId, Entry<P>>,
    places: Places,
    /// How long a place stays a gone server's: as long as a request may remember it.
    remembered: Span,
    /// What it told itself while it acted.
    own: VecDeque<Input<P, B>>,
    actions: Vec<Action>,
    tally: Tally,
    /// The request whose second copy its rule has paid for just now.
    paid: Option<RequestId>,
    /// Decides beside the deciding module by other settings, and never acts.
    watch: Option<Box<Watch>>,
}

impl<P: Clone, B> Engine<P, B> {
    /// An engine by these settings that may hold `most` requests; `seed` is for the draws.
    #[must_use]
    pub fn new(site: &Site, seed: u64, most: u32) -> Engine<P, B> {
        let longest = longest(site);
        Engine {
            max_attempts: site.settings.limits.max_attempts,
            cancel: site.settings.limits.cancellation,
            windows: windows(site),
            remembered: longest,
            pools: Pools::new(site, seed, longest),
            gate: Gate::new(most),
            timers: Timers::default(),
            requests: FxHashMap::default(),
            places: Places::default(),
            own: VecDeque::new(),
            actions: Vec::new(),
            tally: Tally::default(),
            paid: None,
            watch: None,
        }
    }

    /// When [`Engine::wake`] is due, if ever.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        self.timers.due()
    }

    /// Requests in hand.
    #[must_use]
    pub fn in_hand(&self) -> usize {
        self.requests.len()
    }

    /// The servers' places.
    #[must_use]
    pub fn places(&self) -> &Places {
        &self.places
    }

    /// The servers in the list.
    #[must_use]
    pub fn listed_now(&self) -> usize {
        self.places.taken().filter(|(_, place)| place.gone.is_none()).count()
    }

    /// Listed servers that get nothing new now, by the module over all servers.
    #[must_use]
    pub fn avoided(&self, now: Time) -> usize {
        self.pools.avoided(now)
    }

    /// What happened since this was last called.
    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }

    /// Has the decisions over all servers watched from here on; requests of a pool are not.
    pub fn watch(&mut self, watch: Watch) {
        self.watch = Some(Box::new(watch));
    }

    /// What the watching module counted since this was last called; nothing where there is none.
    pub fn take_watched(&mut self) -> Option<Watched> {
        self.watch.as_mut().map(|watch| watch.take())
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Output<P, B>>) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Module(slot, token) => self.event(now, slot, Event::Timer { token }, out),
                Due::Copy(id) => self.copy(now, id, out),
            }
        }
        self.own_inputs(now, out);
    }

    /// Takes what happened.
    pub fn input(&mut self, now: Time, input: Input<P, B>, out: &mut Vec<Output<P, B>>) {
        self.take(now, input, out);
        self.own_inputs(now, out);
    }

    fn own_inputs(&mut self, now: Time, out: &mut Vec<Output<P, B>>) {
        while let Some(input) = self.own.pop_front() {
            self.take(now, input, out);
        }
    }

    fn take(&mut self, now: Time, input: Input<P, B>, out: &mut Vec<Output<P, B>>) {
        match input {
            Input::Request { id, ask, received, payload } => {
                self.tally.taken += 1;
                let Ask { class, tenant, wait, hint, key, repeat, rule } = ask;
                let mut stand = Stand::default();
                let mut slot = SlotId::ALL;
                let mut wait = wait;
                if let Some(rule) = &rule {
                    match self.gate.admit(now, rule) {
                        Ok(admitted) => stand = admitted,
                        Err(_) => {
                            // Nothing of it has run; the module never hears of it.
                            (self.tally.refused, self.tally.limited) =
                                (self.tally.refused + 1, self.tally.limited + 1);
                            let answer = Answer::Refused { retry_after: None };
                            return out.push(Output::Answer { id, answer });
                        }
                    }
                    slot = self.pools.of(now, rule, &self.places);
                    wait = rule.timeout.map_or(wait, |timeout| wait.min(timeout));
                }
                let left = Span(wait.0.saturating_sub((now - received).0));
                let (answered, attempts) = (false, Vec::new());
                let most = self.max_attempts;
                let entry = Entry {
                    payload,
                    wait,
                    slot,
                    rule,
                    most,
                    stand,
                    answered,
                    attempts,
                    out: 0,
                    passing: None,
                    window: self.windows.get(class as usize).copied().flatten(),
                };
                self.requests.insert(id, entry);
                self.event(now, slot, Event::Request { id, left, class, tenant, hint, key, repeat }, out);
            }
            Input::Gone(id) => {
                if let Some(slot) = self.close(id) {
                    self.tally.gone += 1;
                    // An attempt that still waited for its connection was sent on long after its client had left.
                    self.out_of(id, out, |id, attempt, server| Output::Withdraw { id, attempt, server });
                    self.event(now, slot, Event::ClientLeft { id }, out);
                }
                self.forget(id);
            }
            Input::Began { id, attempt, server, ended } => {
                let Some(entry) = self.requests.get_mut(&id) else { return };
                // For the module the attempt is over with the first bytes: what follows says nothing of the server's
                // turn. Here it stays out until its transport is done, and is not called off by its own answer.
                entry.passing = Some(attempt);
                entry.out += 1;
                self.ended(now, id, attempt, server, ended, out);
            }
            Input::Uploads { id, server, over } => {
                if let Some(slot) = self.requests.get(&id).map(|entry| entry.slot) {
                    self.event(now, slot, Event::Upload { id, server, finished: over }, out);
                }
            }
            Input::Ended { id, attempt, server, ended } => {
                self.places.returned(now, server, ended.status);
                if let Some(entry) = self.requests.get_mut(&id).filter(|e| e.passing == Some(attempt)) {
                    entry.out = entry.out.saturating_sub(1);
                    return self.forget(id);
                }
                self.ended(now, id, attempt, server, ended, out);
            }
            Input::Probed { server, asked, ended } => {
                self.places.returned(now, server, ended.status);
                let Ended { status, latency, load, .. } = ended;
                self.event(now, asked, Event::ProbeFinished { server, status, latency, load: &load }, out);
            }
            Input::Listed(delivery) => self.listed(now, &delivery, out),
            Input::ListFailed => {
                for slot in self.pools.slots() {
                    self.event(now, slot, Event::Members { kind: ListKind::Failed, entries: &[] }, out);
                }
            }
            Input::Settings { site, watched } => {
                self.max_attempts = site.settings.limits.max_attempts;
                self.cancel = site.settings.limits.cancellation;
                self.windows = windows(&site);
                // A request may have been taken under the longer deadline.
                self.remembered = self.remembered.max(longest(&site));
                for slot in self.pools.settle(&site, self.remembered) {
                    self.event(now, slot, Event::Settings { set: &site.settings }, out);
                }
                if let (Some(watch), Some(settings)) = (&mut self.watch, &watched) {
                    watch.adopt(now, settings);
                }
            }
            Input::Rules(rules) => {
                self.gate.keep(rules.rules().map(|rule| rule.name.as_str()));
                for (slot, members) in self.pools.adopt(now, &rules) {
                    let entries = &members;
                    self.event(now, slot, Event::Members { kind: ListKind::Cached, entries }, out);
                }
            }
        }
    }

    fn ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        ended: Ended<B>,
        out: &mut Vec<Output<P, B>>,
    ) {
        let Ended { status, latency, load, body } = ended;
        let (mut closed, mut again, mut slot) = (true, true, SlotId::ALL);
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.out = entry.out.saturating_sub(1);
            if let Some(tried) = entry.attempts.get_mut(attempt.0 as usize) {
                tried.ended = Some(status);
            }
            if let Some(rule) = entry.rule.as_ref().filter(|_| status == Status::Ok) {
                self.gate.took(rule, latency);
            }
            slot = entry.slot;
            match (status, body) {
                (Status::Ok, Some(body)) => self.settle(id, Answer::Served(body), out),
                _ => closed = entry.answered,
            }
        }
        if let Some(entry) = self.requests.get_mut(&id).filter(|e| !e.answered && e.out == 0)
            && let Some(rule) = &entry.rule
        {
            self.gate.waits_again(rule, &mut entry.stand);
            again = self.gate.repeat(now, rule, &mut entry.stand, entry.attempts.len() as u32);
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
        self.event(now, slot, outcome, out);
        self.forget(id);
    }

    /// Drops a request from the table when its answer is given and no attempt is out.
    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|entry| entry.answered && entry.out == 0) {
            self.requests.remove(&id);
        }
    }

    fn listed(&mut self, now: Time, listing: &Delivery, out: &mut Vec<Output<P, B>>) {
        let kind = listing.kind;
        let cleared = self.places.clear_out(now, self.remembered);
        out.extend(cleared.into_iter().map(|server| Output::Close { server }));
        let mut numbers = Vec::with_capacity(listing.entries.len());
        for entry in &listing.entries {
            let server = self.places.number(&entry.uid);
            let Some(place) = self.places.get_mut(server) else { continue };
            let state = entry.state;
            place.gone = (state == State::Removed).then(|| place.gone.unwrap_or(now));
            let at = entry.endpoint.map(|at| (at, entry.boot_ms));
            match at {
                at if place.open => out.push(Output::Listed { server, at, state }),
                Some((at, boot_ms)) if state != State::Removed => {
                    place.open = true;
                    out.push(Output::Open { server, at, boot_ms });
                    // It may be listed as one that leaves from the start.
                    out.push(Output::Listed { server, at: Some((at, boot_ms)), state });
                }
                Some(_) | None => {}
            }
            numbers.push(server);
        }
        if kind == ListKind::Full {
            // What the whole list lacks is gone, though no entry says so.
            let listed: FxHashSet<ServerId> = numbers.iter().copied().collect();
            let lacking = self.places.taken().map(|(server, _)| server).filter(|s| !listed.contains(s));
            for server in lacking.collect::<Vec<_>>() {
                let Some(place) = self.places.get_mut(server) else { continue };
                place.gone = place.gone.or(Some(now));
                if place.open {
                    out.push(Output::Listed { server, at: None, state: State::Removed });
                }
            }
        }
        for (slot, members) in self.pools.listed(now, kind, &listing.entries, &numbers) {
            self.event(now, slot, Event::Members { kind, entries: &members }, out);
        }
    }

    /// Hands one event to the decision module and carries out what it wants done.
    fn event(&mut self, now: Time, slot: SlotId, event: Event<'_>, out: &mut Vec<Output<P, B>>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.pools.on_event(now, slot, event, &mut actions);
        if let Some(watch) = self.watch.as_mut().filter(|_| slot == SlotId::ALL) {
            watch.see(now, event, &actions);
        }
        for action in actions.drain(..) {
            self.act(now, slot, action, out);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Time, slot: SlotId, action: Action, out: &mut Vec<Output<P, B>>) {
        match action {
            Action::Send { id, server, until } => self.send(now, id, server, until, out),
            Action::Refuse { id, retry_after } => {
                self.settle(id, Answer::Refused { retry_after }, out);
                self.forget(id);
            }
            Action::Fail { id } => {
                self.settle(id, Answer::Failed, out);
                self.forget(id);
            }
            Action::Cancel { id, attempt } => {
                let entry = self.requests.get(&id);
                if let Some(tried) = entry.and_then(|e| e.attempts.get(attempt.0 as usize)) {
                    out.push(Output::Cancel { id, attempt, server: tried.server });
                }
            }
            Action::Probe { server } => {
                if self.places.goes_out(server) {
                    out.push(Output::Probe { server, asked: slot });
                } else {
                    let ended = Ended::unsent(Status::ConnectFailed);
                    self.own.push_back(Input::Probed { server, asked: slot, ended });
                }
            }
            Action::Timer { token, delay } => self.timers.set(now + delay, Due::Module(slot, token)),
            Action::WatchServers => out.push(Output::Watch),
            // Messages between instances have no protocol yet; the settings keep the module from any.
            Action::SendToPeers { .. } => {}
            Action::Log { server, text } => out.push(Output::Say { server, text }),
        }
    }

    /// A second copy is due: where the first attempt is still out alone and the rule pays for it, the module says
    /// whether and where it goes.
    fn copy(&mut self, now: Time, id: RequestId, out: &mut Vec<Output<P, B>>) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Some(rule) = entry.rule.as_ref().filter(|_| !entry.answered && entry.out == 1) else { return };
        if entry.attempts.len() == 1 && self.gate.repeat(now, rule, &mut entry.stand, 1) {
            let slot = entry.slot;
            self.paid = Some(id);
            self.event(now, slot, Event::HedgeDue { id }, out);
            self.paid = None;
        }
    }

    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerId,
        until: Option<Time>,
        out: &mut Vec<Output<P, B>>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let attempt = Attempt(entry.attempts.len() as u32);
        // A repeat that waited for its connection began after its key was forgotten.
        let ran = entry.attempts.iter().find(|tried| !tried.ended.is_some_and(Status::never_ran));
        let forgotten = entry.window.zip(ran).map(|(window, first)| first.at + window);
        entry.attempts.push(Tried { server, at: now, ended: None });
        entry.out += 1;
        self.tally.attempts += 1;
        let mut over = entry.answered || attempt.0 >= entry.most;
        // A second copy of the module's own goes out only where the rule of its route pays for one more attempt.
        if let Some(rule) = entry.rule.as_ref().filter(|_| entry.out > 1 && self.paid != Some(id)) {
            over |= !self.gate.repeat(now, rule, &mut entry.stand, attempt.0);
        }
        // Without a time of its own an attempt ends with the client's patience, which ends it as gone.
        let mut until = until.unwrap_or(now + entry.wait);
        let mut connect = None;
        if let Some(rule) = &entry.rule {
            self.gate.goes_out(rule, &mut entry.stand);
            until = rule.attempt_timeout.map_or(until, |timeout| until.min(now + timeout));
            connect = rule.connect_timeout;
            if let Some(after) = self.gate.copy_after(rule).filter(|_| attempt.0 == 0) {
                self.timers.set(now + after, Due::Copy(id));
            }
        }
        if let Some(forgotten) = forgotten {
            let left = forgotten - now;
            connect = Some(connect.map_or(left, |connect| connect.min(left)));
        }
        let payload = entry.payload.clone();
        let there = self.places.goes_out(server);
        if there && !over {
            return out.push(Output::Attempt { id, attempt, server, payload, until, connect });
        }
        let status = if over { Status::NotSent } else { Status::ConnectFailed };
        self.own.push_back(Input::Ended { id, attempt, server, ended: Ended::unsent(status) });
    }

    /// Gives a request its final answer, once.
    fn settle(&mut self, id: RequestId, answer: Answer<B>, out: &mut Vec<Output<P, B>>) {
        if self.close(id).is_none() {
            return;
        }
        match answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Refused { .. } => self.tally.refused += 1,
            Answer::Failed => self.tally.failed += 1,
        }
        out.push(Output::Answer { id, answer });
        // The copy that lost has nobody to answer to.
        let cancel = self.cancel;
        self.out_of(id, out, |id, attempt, server| match cancel {
            true => Output::Cancel { id, attempt, server },
            false => Output::Withdraw { id, attempt, server },
        });
    }

    /// Says this of each attempt of a request that has not ended.
    fn out_of(
        &self,
        id: RequestId,
        out: &mut Vec<Output<P, B>>,
        say: impl Fn(RequestId, Attempt, ServerId) -> Output<P, B>,
    ) {
        let Some(entry) = self.requests.get(&id) else { return };
        let still = entry.attempts.iter().enumerate().filter(|(_, tried)| tried.ended.is_none());
        out.extend(still.map(|(n, tried)| say(id, Attempt(n as u32), tried.server)));
    }

    /// Nothing is owed to a request any more: its place with its route is given back here and nowhere else. Gives
    /// whose it was, nothing where it was closed before.
    fn close(&mut self, id: RequestId) -> Option<SlotId> {
        let entry = self.requests.get_mut(&id).filter(|entry| !entry.answered)?;
        entry.answered = true;
        if let Some(rule) = &entry.rule {
            self.gate.over(rule, std::mem::take(&mut entry.stand));
        }
        Some(entry.slot)
    }
}
