//! State machine between the fronts and the transports. It owns the table of requests, the timers of the decision
//! modules and the final answer of each request: a request is answered once, by [`Engine::answer`], and removed from
//! the table by [`Engine::remove_if_finished`] when no attempt of it is in flight.
//!
//! It makes no decisions of its own: the decision module chooses servers, retries and refusals, within what the
//! operator's limits allow. Each pool of servers has its own decision module; without a limits file there is one pool.

use crate::messages::{Answer, Completion, Counters, Endpoint, Input, Output, RequestInfo};
use crate::pools::{PoolId, PoolMembers, Pools};
use crate::server_table::ServerTable;
use crate::shadow::{Shadow, ShadowCounts};
use crate::timers::Timers;
use dunlincleat::api::{
    Action, Attempt, Effect, Event, ListKind, RequestId, ServerId, Settings, Span, State, Status, Time, Token,
};
use dunlincleat_directory::{Delivery, Entry};
use dunlincleat_limits::Admission;
use dunlincleat_limits::{Gate, Rule, RuleSet};
use dunlincleat_settings::{ClassLease, InstanceSettings};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use std::sync::Arc;

/// A request that has not been answered yet or has attempts in flight.
#[derive(Clone, Debug)]
struct OpenRequest<P> {
    payload: P,
    /// Held, not read: the decision module refers to the class by its number.
    _class: ClassLease,
    wait: Span,
    pool: PoolId,
    rule: Option<Arc<Rule>>,
    /// Maximum number of attempts.
    max_attempts: u32,
    /// What it occupies of its route's limits, until it is answered.
    route_state: Admission,
    answered: bool,
    /// Its attempts, in order, and how many of them are in flight.
    attempts: Vec<AttemptRecord>,
    in_flight: usize,
    /// The attempt whose response is being streamed to the client.
    streaming: Option<Attempt>,
    /// How long servers remember its key, if its class has keys.
    key_window: Option<Span>,
}

impl<P> OpenRequest<P> {
    /// Returns when the servers forget the key of the first attempt that may have run, if the request has a key and
    /// such an attempt.
    fn key_expiry(&self) -> Option<Time> {
        let window = self.key_window?;
        let ran = self.attempts.iter().find(|record| !record.status.is_some_and(Status::never_ran))?;
        Some(ran.started + window)
    }
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
    DecisionModule(PoolId, Token),
    /// The hedged request of an open request is due.
    Hedge(RequestId),
}

/// Returns the longest time for which a request may be open.
fn longest_deadline(site: &InstanceSettings) -> Span {
    site.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
}

fn key_windows(site: &InstanceSettings) -> Vec<Option<Span>> {
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
    servers: ServerTable,
    /// How long a removed server is remembered at least, in case it is listed again.
    id_retention: Span,
    /// Inputs that the engine produced itself while it carried out actions.
    internal_inputs: VecDeque<Input<P, B>>,
    actions: Vec<Action>,
    counters: Counters,
    /// The request whose hedge was charged to the retry budget of its rule just now.
    charged_hedge: Option<RequestId>,
    /// Decision module under other settings that is only compared with the active one.
    shadow: Option<Box<Shadow>>,
}

impl<P: Clone, B> Engine<P, B> {
    /// Creates an engine that may have `most` requests open; `seed` initialises the random draws.
    #[must_use]
    pub fn new(site: &InstanceSettings, seed: u64, max_requests: u32) -> Engine<P, B> {
        let longest_deadline = longest_deadline(site);
        Engine {
            max_attempts: site.settings.limits.max_attempts,
            cancel_allowed: site.settings.limits.cancellation,
            key_windows: key_windows(site),
            id_retention: longest_deadline,
            pools: Pools::new(site, seed),
            gate: Gate::new(max_requests),
            timers: Timers::default(),
            requests: FxHashMap::default(),
            servers: ServerTable::default(),
            internal_inputs: VecDeque::new(),
            actions: Vec::new(),
            counters: Counters::default(),
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
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the table of servers.
    #[must_use]
    pub fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Returns the number of listed servers.
    #[must_use]
    pub fn listed_servers(&self) -> usize {
        self.servers.assigned().filter(|(_, record)| record.removed_at.is_none()).count()
    }

    /// Returns the number of listed servers that the decision module over all servers currently avoids.
    #[must_use]
    pub fn avoided(&self, now: Time) -> usize {
        self.pools.avoided(now)
    }

    /// Returns the event counts since the last call and resets them.
    pub fn take_counters(&mut self) -> Counters {
        std::mem::take(&mut self.counters)
    }

    /// Sets the shadow module. It is compared with the decision module over all servers only, not with those of other
    /// pools.
    pub fn set_shadow(&mut self, shadow: Shadow) {
        self.shadow = Some(Box::new(shadow));
    }

    /// Returns the counts of the shadow module since the last call and resets them; none without a shadow module.
    pub fn take_shadow_counts(&mut self) -> Option<ShadowCounts> {
        self.shadow.as_mut().map(|shadow| shadow.take_counts())
    }

    /// Processes all timers that have expired.
    pub fn wake(&mut self, now: Time, outputs: &mut Vec<Output<P, B>>) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                TimerKind::DecisionModule(pool, token) => {
                    self.notify_module(now, pool, Event::Timer { token }, outputs)
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
            Input::Request { id, info, received, payload } => {
                self.receive_request(now, id, info, received, payload, outputs);
            }
            Input::ClientLeft(id) => self.client_left(now, id, outputs),
            Input::ResponseStarted { id, attempt, server, completion } => {
                self.response_started(now, id, attempt, server, completion, outputs);
            }
            Input::Upload { id, server, finished } => {
                if let Some(pool) = self.requests.get(&id).map(|request| request.pool) {
                    self.notify_module(now, pool, Event::Upload { id, server, finished }, outputs);
                }
            }
            Input::AttemptEnded { id, attempt, server, completion } => {
                self.transport_finished(now, id, attempt, server, completion, outputs);
            }
            Input::ProbeEnded { server, pool, completion } => {
                self.servers.record_end(now, server, completion.status);
                let Completion { status, latency, load, .. } = completion;
                self.notify_module(
                    now,
                    pool,
                    Event::ProbeFinished { server, status, latency, load: &load },
                    outputs,
                );
            }
            Input::ServerList(delivery) => self.update_servers(now, &delivery, outputs),
            Input::DiscoveryFailed => {
                for pool in self.pools.ids() {
                    self.notify_module(
                        now,
                        pool,
                        Event::Members { kind: ListKind::Failed, entries: &[] },
                        outputs,
                    );
                }
            }
            Input::Settings { site, shadow } => self.set_settings(now, &site, shadow.as_ref(), outputs),
            Input::Rules(rules) => self.set_rules(now, &rules, outputs),
        }
    }

    /// Admits a new request under the limits of its route and passes it to the decision module of its pool.
    fn receive_request(
        &mut self,
        now: Time,
        id: RequestId,
        info: RequestInfo,
        received: Time,
        payload: P,
        outputs: &mut Vec<Output<P, B>>,
    ) {
        self.counters.received += 1;
        let RequestInfo { class, tenant, mut wait, hint, key, repeat, rule } = info;
        let mut route_state = Admission::default();
        let mut pool = PoolId::ALL;
        if let Some(rule) = &rule {
            let Ok(admitted) = self.gate.admit(now, rule) else {
                // Nothing of it has run, and the decision module is never notified of it.
                self.counters.refused += 1;
                self.counters.limited += 1;
                outputs.push(Output::Answer { id, answer: Answer::Refused { retry_after: None } });
                return;
            };
            route_state = admitted;
            pool = self.pools.pool_for(now, rule, &self.servers);
            wait = rule.timeout.map_or(wait, |timeout| wait.min(timeout));
        }
        let left = Span(wait.0.saturating_sub((now - received).0));
        let class_number = class.number();
        let request = OpenRequest {
            payload,
            _class: class,
            wait,
            pool,
            rule,
            max_attempts: self.max_attempts,
            route_state,
            answered: false,
            attempts: Vec::new(),
            in_flight: 0,
            streaming: None,
            key_window: self.key_windows.get(class_number as usize).copied().flatten(),
        };
        self.requests.insert(id, request);
        let event = Event::Request { id, left, class: class_number, tenant, hint, key, repeat };
        self.notify_module(now, pool, event, outputs);
    }

    fn client_left(&mut self, now: Time, id: RequestId, outputs: &mut Vec<Output<P, B>>) {
        if let Some(pool) = self.mark_answered(id) {
            self.counters.client_left += 1;
            // Without this, an attempt that waited for a connection was sent long after its client had left.
            self.push_for_unfinished(id, outputs, |attempt, server| Output::Withdraw { id, attempt, server });
            self.notify_module(now, pool, Event::ClientLeft { id }, outputs);
        }
        self.remove_if_finished(id);
    }

    fn response_started(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        completion: Completion<B>,
        outputs: &mut Vec<Output<P, B>>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        // For the decision module the attempt ends with the first bytes, because the rest of the stream says nothing
        // about the service time of the server. In this table it stays in flight until its transport has finished, and
        // its own answer does not cancel it.
        request.streaming = Some(attempt);
        request.in_flight += 1;
        self.attempt_ended(now, id, attempt, server, completion, outputs);
    }

    /// The transport reports the end of an attempt. For the decision module a streamed attempt has ended before.
    fn transport_finished(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        completion: Completion<B>,
        outputs: &mut Vec<Output<P, B>>,
    ) {
        self.servers.record_end(now, server, completion.status);
        let streamed = self.requests.get_mut(&id).filter(|request| request.streaming == Some(attempt));
        if let Some(request) = streamed {
            request.in_flight = request.in_flight.saturating_sub(1);
            self.remove_if_finished(id);
            return;
        }
        self.attempt_ended(now, id, attempt, server, completion, outputs);
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        server: ServerId,
        completion: Completion<B>,
        outputs: &mut Vec<Output<P, B>>,
    ) {
        let Completion { status, latency, load, body } = completion;
        let mut request_closed = true;
        let mut pool = PoolId::ALL;
        if let Some(request) = self.requests.get_mut(&id) {
            request.in_flight = request.in_flight.saturating_sub(1);
            if let Some(record) = request.attempts.get_mut(attempt.0 as usize) {
                record.status = Some(status);
            }
            if let Some(rule) = request.rule.as_ref().filter(|_| status == Status::Ok) {
                self.gate.record_latency(rule, latency);
            }
            pool = request.pool;
            match (status, body) {
                (Status::Ok, Some(body)) => self.answer(id, Answer::Served(body), outputs),
                _ => request_closed = request.answered,
            }
        }
        let retry_allowed = self.retry_allowed(now, id);
        let outcome = Event::AttemptFinished {
            id,
            attempt,
            status,
            request_closed,
            retry_allowed,
            latency,
            server,
            load: &load,
        };
        self.notify_module(now, pool, outcome, outputs);
        self.remove_if_finished(id);
    }

    /// Whether the limits of its route allow another attempt of an open request without attempts in flight. True for
    /// all other requests.
    fn retry_allowed(&mut self, now: Time, id: RequestId) -> bool {
        let open = self.requests.get_mut(&id).filter(|request| !request.answered && request.in_flight == 0);
        let Some(request) = open else { return true };
        let Some(rule) = &request.rule else { return true };
        self.gate.mark_waiting(rule, &mut request.route_state);
        self.gate.allow_retry(now, rule, &mut request.route_state, request.attempts.len() as u32)
    }

    /// Removes a request from the table if it has been answered and no attempt is in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(|request| request.answered && request.in_flight == 0) {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            request.attempts.iter().for_each(|attempt| self.servers.forget_attempt(attempt.server));
        }
    }

    fn set_settings(
        &mut self,
        now: Time,
        site: &InstanceSettings,
        shadow_settings: Option<&Settings>,
        outputs: &mut Vec<Output<P, B>>,
    ) {
        self.max_attempts = site.settings.limits.max_attempts;
        self.cancel_allowed = site.settings.limits.cancellation;
        self.key_windows = key_windows(site);
        self.id_retention = self.id_retention.max(longest_deadline(site));
        for pool in self.pools.set_settings(site) {
            self.notify_module(now, pool, Event::Settings { set: &site.settings }, outputs);
        }
        if let (Some(shadow), Some(settings)) = (&mut self.shadow, shadow_settings) {
            shadow.set_settings(now, settings);
        }
    }

    fn set_rules(&mut self, now: Time, rules: &RuleSet, outputs: &mut Vec<Output<P, B>>) {
        self.gate.retain_routes(rules.rules().map(|rule| rule.name.as_str()));
        for PoolMembers { pool, members } in self.pools.set_rules(rules) {
            let entries = &members;
            self.notify_module(now, pool, Event::Members { kind: ListKind::Cached, entries }, outputs);
        }
    }

    fn update_servers(&mut self, now: Time, delivery: &Delivery, outputs: &mut Vec<Output<P, B>>) {
        let kind = delivery.kind;
        let released = self.servers.release_removed(now, self.id_retention);
        outputs.extend(released.into_iter().map(|server| Output::Close { server }));
        let ids = self.update_transports(now, &delivery.entries, outputs);
        if kind == ListKind::Full {
            self.remove_missing(now, &ids, outputs);
        }
        for PoolMembers { pool, members } in self.pools.update_servers(kind, &delivery.entries, &ids) {
            self.notify_module(now, pool, Event::Members { kind, entries: &members }, outputs);
        }
    }

    /// Opens or updates the transport of each listed server, and returns the ids of the servers in list order.
    fn update_transports(
        &mut self,
        now: Time,
        entries: &[Entry],
        outputs: &mut Vec<Output<P, B>>,
    ) -> Vec<ServerId> {
        let mut ids = Vec::with_capacity(entries.len());
        for entry in entries {
            let server = self.servers.id_or_assign(&entry.uid);
            let Some(record) = self.servers.get_mut(server) else { continue };
            let state = entry.state;
            record.removed_at = (state == State::Removed).then(|| record.removed_at.unwrap_or(now));
            let endpoint = entry.endpoint.map(|address| Endpoint { address, boot_ms: entry.boot_ms });
            if record.transport_open {
                outputs.push(Output::UpdateServer { server, endpoint, state });
            } else if let Some(endpoint) = endpoint.filter(|_| state != State::Removed) {
                record.transport_open = true;
                outputs.push(Output::Open { server, endpoint });
                // It may be draining when it is first listed.
                outputs.push(Output::UpdateServer { server, endpoint: Some(endpoint), state });
            }
            ids.push(server);
        }
        ids
    }

    /// Marks the servers that are missing from a whole list as removed, although no entry says so.
    fn remove_missing(&mut self, now: Time, ids: &[ServerId], outputs: &mut Vec<Output<P, B>>) {
        let listed: FxHashSet<ServerId> = ids.iter().copied().collect();
        let assigned = self.servers.assigned().map(|(server, _)| server);
        let missing: Vec<ServerId> = assigned.filter(|server| !listed.contains(server)).collect();
        for server in missing {
            let Some(record) = self.servers.get_mut(server) else { continue };
            record.removed_at = record.removed_at.or(Some(now));
            if record.transport_open {
                outputs.push(Output::UpdateServer { server, endpoint: None, state: State::Removed });
            }
        }
    }

    /// Passes an event to the decision module of a pool and carries out the resulting actions.
    fn notify_module(&mut self, now: Time, pool: PoolId, event: Event<'_>, outputs: &mut Vec<Output<P, B>>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.pools.on_event(now, pool, event, &mut actions);
        if let Some(shadow) = self.shadow.as_mut().filter(|_| pool == PoolId::ALL) {
            shadow.observe(now, event, &actions);
        }
        for action in actions.drain(..) {
            self.apply(now, pool, action, outputs);
        }
        self.actions = actions;
    }

    fn apply(&mut self, now: Time, pool: PoolId, action: Action, outputs: &mut Vec<Output<P, B>>) {
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
                let request = self.requests.get(&id);
                if let Some(record) = request.and_then(|request| request.attempts.get(attempt.0 as usize)) {
                    outputs.push(Output::Cancel { id, attempt, server: record.server });
                }
            }
            Action::Probe { server } => self.start_probe(server, pool, outputs),
            Action::Timer { token, delay } => {
                self.timers.set(now + delay, TimerKind::DecisionModule(pool, token));
            }
            Action::WatchServers => outputs.push(Output::Watch),
            // Messages between instances have no protocol yet, and the settings do not allow the decision module to
            // send any.
            Action::SendToPeers { .. } => {}
            Action::Log { server, text } => outputs.push(Output::Log { server, text }),
        }
    }

    fn start_probe(&mut self, server: ServerId, pool: PoolId, outputs: &mut Vec<Output<P, B>>) {
        if self.servers.record_start(server) {
            outputs.push(Output::Probe { server, pool });
        } else {
            let completion = Completion::without_response(Status::ConnectFailed);
            self.internal_inputs.push_back(Input::ProbeEnded { server, pool, completion });
        }
    }

    /// Handles a due hedge. If the first attempt is still the only one, is in flight, and the retry budget of the rule
    /// allows one more, the decision module chooses whether and where to send the hedged request.
    fn hedge(&mut self, now: Time, id: RequestId, outputs: &mut Vec<Output<P, B>>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.answered || request.in_flight != 1 || request.attempts.len() != 1 {
            return;
        }
        let Some(rule) = &request.rule else { return };
        if self.gate.allow_retry(now, rule, &mut request.route_state, 1) {
            let pool = request.pool;
            self.charged_hedge = Some(id);
            self.notify_module(now, pool, Event::HedgeDue { id }, outputs);
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
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = Attempt(request.attempts.len() as u32);
        let key_expiry = request.key_expiry();
        request.attempts.push(AttemptRecord { server, started: now, status: None });
        request.in_flight += 1;
        self.servers.remember_attempt(server);
        self.counters.attempts += 1;
        let mut rejected = request.answered || attempt.0 >= request.max_attempts;
        // A hedge that the decision module chose itself is sent only if the rule of its route allows one more attempt.
        let uncharged_hedge = request.in_flight > 1 && self.charged_hedge != Some(id);
        if let Some(rule) = request.rule.as_ref().filter(|_| uncharged_hedge) {
            rejected |= !self.gate.allow_retry(now, rule, &mut request.route_state, attempt.0);
        }
        // An attempt without its own time limit lasts until the client gives up, which ends it as a client that left.
        let mut until = until.unwrap_or(now + request.wait);
        let mut connect_timeout = None;
        if let Some(rule) = &request.rule {
            self.gate.mark_sent(rule, &mut request.route_state);
            until = rule.attempt_timeout.map_or(until, |timeout| until.min(now + timeout));
            connect_timeout = rule.connect_timeout;
            if let Some(delay) = self.gate.hedge_delay(rule).filter(|_| attempt.0 == 0) {
                self.timers.set(now + delay, TimerKind::Hedge(id));
            }
        }
        // A repeat must start before the servers forget the key of the first attempt that may have run. Without this,
        // a repeat that waited for a connection started after that.
        if let Some(key_expiry) = key_expiry {
            let left = key_expiry - now;
            connect_timeout = Some(connect_timeout.map_or(left, |timeout| timeout.min(left)));
        }
        let payload = request.payload.clone();
        let transport_open = self.servers.record_start(server);
        if transport_open && !rejected {
            outputs.push(Output::Attempt { id, attempt, server, payload, until, connect_timeout });
            return;
        }
        let status = if rejected { Status::NotSent } else { Status::ConnectFailed };
        let completion = Completion::without_response(status);
        self.internal_inputs.push_back(Input::AttemptEnded { id, attempt, server, completion });
    }

    /// Gives a request its final answer, unless it already has one.
    fn answer(&mut self, id: RequestId, answer: Answer<B>, outputs: &mut Vec<Output<P, B>>) {
        if self.mark_answered(id).is_none() {
            return;
        }
        match answer {
            Answer::Served(_) => self.counters.served += 1,
            Answer::Refused { .. } => self.counters.refused += 1,
            Answer::Failed => self.counters.failed += 1,
        }
        outputs.push(Output::Answer { id, answer });
        // The response to the losing hedge or first attempt is not needed any more.
        let cancel = self.cancel_allowed;
        self.push_for_unfinished(id, outputs, |attempt, server| {
            if cancel {
                Output::Cancel { id, attempt, server }
            } else {
                Output::Withdraw { id, attempt, server }
            }
        });
    }

    /// Emits an output for each attempt of a request that has not ended.
    fn push_for_unfinished(
        &self,
        id: RequestId,
        outputs: &mut Vec<Output<P, B>>,
        output: impl Fn(Attempt, ServerId) -> Output<P, B>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let numbered = request.attempts.iter().enumerate();
        let unfinished = numbered.filter(|(_, record)| record.status.is_none());
        outputs.extend(unfinished.map(|(number, record)| output(Attempt(number as u32), record.server)));
    }

    /// Marks a request as answered. Its share of the route's limits is released here and nowhere else. Returns the
    /// pool of the request, or none if it was already answered.
    fn mark_answered(&mut self, id: RequestId) -> Option<PoolId> {
        let request = self.requests.get_mut(&id).filter(|request| !request.answered)?;
        request.answered = true;
        if let Some(rule) = &request.rule {
            self.gate.release(rule, std::mem::take(&mut request.route_state));
        }
        Some(request.pool)
    }
}
