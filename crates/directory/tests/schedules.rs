//! The follower against a fake discovery on a simulated clock. Discovery breaks connections at any byte, falls silent,
//! is slow, accepts calls without answering, restarts with lower revisions and moves to another address. An auditor
//! that knows only what discovery wrote, and when, checks how late each drain was applied and whether a server still
//! received requests after its bound.

use dunlincleat::Balancer;
use dunlincleat::api::{Action, Discovery, Event, ListKind, Safety, Settings, Span, State, Time, Token};
use dunlincleat_directory::{
    CallKind, Cause, Delivery, Follower, Input, Lines, Listing, Output, Timing, WatchId,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Microseconds in a millisecond; all times are in microseconds.
const MS: u64 = 1000;
const HEARTBEAT: u64 = 2000 * MS;
const KNOWN_WITHIN: u64 = 6000 * MS;
const GRACE: u64 = 1000 * MS;
/// Tolerance after the grace period of a drain, the same as in the rule for real sockets.
const SLACK: u64 = 50 * MS;
/// How much later than on a new watch a change may be applied.
const FRESH_WATCH_DELAY: u64 = 3000 * MS;
/// The same if a restart of discovery is hidden because its new revisions exceed the current one.
const HIDDEN_RESTART_DELAY: u64 = KNOWN_WITHIN + GRACE + FRESH_WATCH_DELAY;
/// The revision of a connection that has received no list.
const NO_REVISION: u64 = u64::MAX;
const START: u64 = 1_800_000_000_000_000;

fn timing() -> Timing {
    Timing::derive(Span(HEARTBEAT), Span(KNOWN_WITHIN), Span(GRACE))
}

/// How discovery responds to calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Serves,
    Refuses,
    /// Accepts the connection and never responds.
    Hangs,
    /// Begins a response and writes no line.
    Silent,
    /// Accepts the connection and breaks it before writing any line.
    Breaks,
}

#[derive(Clone, Debug)]
enum Step {
    /// A server is listed in this state.
    List {
        uid: String,
        state: State,
        boot_ms: u64,
        port: u16,
    },
    Behaviour(Behaviour),
    /// Every open watch is reset; unread lines are lost.
    Reset,
    /// Every open watch stays open and delivers nothing any more.
    Freeze,
    /// The next line is cut after this many bytes, modulo its length, and its watch broken.
    Cut(usize),
    /// The next line is not valid JSON.
    Garble,
    /// From now on lines take this long, in microseconds.
    Slow(u64),
    /// Discovery restarts and its revisions start anew.
    Restart,
    /// Discovery moves to another address with unrelated revisions.
    Move,
}

struct Connection {
    id: WatchId,
    lines: Lines,
    frozen: bool,
    /// The revision up to which changes were written to it.
    rev: u64,
    next_heartbeat: u64,
    address: SocketAddr,
}

#[derive(Clone, Copy)]
struct ListedServer {
    state: State,
    boot_ms: u64,
    port: u16,
    /// The revision of the last change.
    changed: u64,
}

/// The time of an event in microseconds; events at the same time occur in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: u64,
    sequence: u64,
}

/// An event on its way to the sidecar, and the epoch of discovery that it comes from.
struct Arrival {
    input: Input,
    epoch: u32,
}

/// One process of a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Incarnation {
    uid: String,
    boot_ms: u64,
}

/// When a drain was requested, and when discovery first wrote it to a watch.
struct Drain {
    requested_at: u64,
    written_at: Option<u64>,
}

/// An uninterrupted interval in which a new watch would have delivered.
struct Reachable {
    from: u64,
    to: u64,
}

/// The decision module, which says when to call if lists come only on request.
struct Module {
    balancer: Balancer,
    timers: BTreeMap<EventKey, Token>,
}

impl Module {
    fn new(seed: u64, instance_count: u32, ask_within: Span) -> Module {
        let safety = Safety { ask_within, ..Safety::default() };
        // The length of a window has no influence on lists.
        let tick = Span(1000 * MS);
        let discovery = Discovery::OnRequest;
        let settings = Settings { instance_count, discovery, safety, tick, ..Settings::default() };
        Module { balancer: Balancer::new(settings, seed), timers: BTreeMap::new() }
    }
}

/// Discovery, the I/O of the sidecar and the auditor.
struct Simulation {
    now: u64,
    module: Option<Module>,
    follower: Follower,
    behaviour: Behaviour,
    line_delay: u64,
    cut_next_at: Option<usize>,
    garble_next: bool,
    rev: u64,
    /// The servers that discovery lists.
    listed: BTreeMap<String, ListedServer>,
    connections: Vec<Connection>,
    /// Events on their way to the sidecar.
    in_flight: BTreeMap<EventKey, Arrival>,
    /// How often revisions started anew.
    epoch: u32,
    /// The epoch of the list last applied.
    applied_epoch: u32,
    /// The epoch of the event being handled.
    arriving_epoch: u32,
    /// When a watch was opened after a revision of an earlier epoch that the revisions of the new epoch already exceed.
    hidden_restarts: Vec<u64>,
    sequence: u64,
    address: SocketAddr,
    /// Start times of the servers that would receive requests.
    routable: BTreeMap<String, u64>,
    drains: BTreeMap<Incarnation, Drain>,
    applied_at: BTreeMap<Incarnation, u64>,
    /// Since when a new watch would have delivered without interruption.
    reachable_since: Option<u64>,
    reachable: Vec<Reachable>,
    /// Calls that failed, were refused or were given up.
    lost_calls: usize,
    /// Open calls that will never be answered.
    unanswered: BTreeSet<WatchId>,
}

impl Simulation {
    fn new(seed: u64, timing: Timing) -> Simulation {
        Simulation::with(seed, timing, None)
    }

    /// With a module, lists come only on request.
    fn with(seed: u64, timing: Timing, module: Option<Module>) -> Simulation {
        let address = "127.0.0.1:1".parse().unwrap();
        let mode = if module.is_some() { Discovery::OnRequest } else { Discovery::Pushed };
        let (follower, _) = Follower::new(Time(START), timing, mode, address, seed, Listing::default());
        let mut simulation = Simulation {
            now: START,
            module,
            lost_calls: 0,
            unanswered: BTreeSet::new(),
            follower,
            behaviour: Behaviour::Serves,
            line_delay: MS,
            cut_next_at: None,
            garble_next: false,
            rev: 0,
            listed: BTreeMap::new(),
            connections: Vec::new(),
            in_flight: BTreeMap::new(),
            epoch: 0,
            applied_epoch: 0,
            arriving_epoch: 0,
            hidden_restarts: Vec::new(),
            sequence: 0,
            address,
            routable: BTreeMap::new(),
            drains: BTreeMap::new(),
            applied_at: BTreeMap::new(),
            reachable_since: Some(START),
            reachable: Vec::new(),
        };
        simulation.notify_module(Event::Members { kind: ListKind::Cached, entries: &[] });
        simulation
    }

    /// Passes an event to the module, if there is one, and carries out its actions on discovery.
    fn notify_module(&mut self, event: Event<'_>) {
        let now = self.now;
        let mut actions = Vec::new();
        let Some(module) = &mut self.module else { return };
        module.balancer.on_event(Time(now), event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { token, delay } => {
                    self.sequence += 1;
                    let key = EventKey { at: now + delay.0.max(1), sequence: self.sequence };
                    module.timers.insert(key, token);
                }
                Action::WatchServers => {
                    let key = EventKey { at: now, sequence: self.sequence + 1 };
                    self.in_flight.insert(key, Arrival { input: Input::WatchRequested, epoch: self.epoch });
                }
                _ => {}
            }
        }
        self.sequence += 1;
    }

    fn schedule(&mut self, input: Input, after: u64) {
        self.sequence += 1;
        let key = EventKey { at: self.now + after, sequence: self.sequence };
        self.in_flight.insert(key, Arrival { input, epoch: self.epoch });
    }

    fn json(&self, rev: u64, whole: bool) -> String {
        let mut targets = Vec::new();
        for (uid, server) in &self.listed {
            if server.changed > rev || whole {
                if whole && server.state == State::Removed {
                    continue;
                }
                let state = match server.state {
                    State::Ready => "up",
                    State::Draining => "draining",
                    State::Removed => "removed",
                };
                let endpoint = format!("127.0.0.2:{}", server.port);
                targets.push(serde_json::json!(
                    {"uid": uid, "endpoint": endpoint, "az": "a", "state": state, "boot_ms": server.boot_ms}
                ));
            }
        }
        serde_json::json!({"rev": self.rev, "all": whole, "targets": targets}).to_string() + "\n"
    }

    /// Writes to a watch the changes that it has not received, or a heartbeat if there are none.
    fn write(&mut self, id: WatchId, heartbeat: bool) {
        let Some(index) = self.connections.iter().position(|connection| connection.id == id) else { return };
        let connection = &self.connections[index];
        if connection.frozen || self.behaviour != Behaviour::Serves || connection.address != self.address {
            return;
        }
        let rev = connection.rev;
        let heartbeat = heartbeat && rev == self.rev;
        let whole = rev > self.rev || rev == NO_REVISION;
        let mut line = if heartbeat { "\n".to_owned() } else { self.json(rev, whole) };
        if !heartbeat {
            let now = self.now;
            for (server, drain) in &mut self.drains {
                if self.listed.get(&server.uid).is_none_or(|listed| listed.boot_ms == server.boot_ms) {
                    drain.written_at.get_or_insert(now);
                }
            }
        }
        if !heartbeat && std::mem::take(&mut self.garble_next) {
            line = "{\"rev\":\n".to_owned();
            self.interrupt();
        }
        let cut = if heartbeat { None } else { self.cut_next_at.take() };
        let written = cut.map_or(line.len(), |cut| cut % line.len());
        let connection = &mut self.connections[index];
        connection.rev = self.rev;
        connection.next_heartbeat = self.now + HEARTBEAT;
        let lines = connection.lines.take(&line.as_bytes()[..written]).unwrap();
        let line_delay = self.line_delay;
        for line in lines {
            let listing = if line.is_empty() { Ok(None) } else { Listing::decode(&line).map(Some) };
            match listing {
                Ok(listing) => self.schedule(Input::Line(id, listing), line_delay),
                Err(error) => self.schedule(Input::Ended(id, Cause::Garbled(error.to_string())), line_delay),
            }
        }
        if cut.is_some() {
            self.interrupt();
            self.schedule(Input::Ended(id, Cause::Broke("cut".into())), line_delay + 1);
            self.connections.remove(index);
        }
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Open { watch, at, kind } => self.call(watch, at, kind),
                Output::Close(watch) => {
                    self.lost_calls += usize::from(self.unanswered.remove(&watch));
                    self.connections.retain(|connection| connection.id != watch);
                    // Its events on their way are never read.
                    self.in_flight.retain(|_, arrival| match &arrival.input {
                        Input::Opened(id) | Input::Line(id, _) | Input::Ended(id, _) => *id != watch,
                        Input::WatchRequested | Input::AddressChanged(_) => true,
                    });
                }
                Output::Deliver(delivery) => {
                    self.deliver(&delivery);
                    self.notify_module(Event::Members { kind: delivery.kind, entries: &[] });
                }
                Output::Failed => self.notify_module(Event::Members { kind: ListKind::Failed, entries: &[] }),
                Output::Lost { .. } | Output::Followed { .. } => {}
            }
        }
    }

    fn call(&mut self, id: WatchId, address: SocketAddr, kind: CallKind) {
        if address != self.address || self.behaviour == Behaviour::Refuses {
            let refused = address == self.address && self.sequence.is_multiple_of(2);
            let cause = if refused { Cause::Refused(503) } else { Cause::Unreachable("refused".into()) };
            return self.schedule(Input::Ended(id, cause), MS);
        }
        if matches!(self.behaviour, Behaviour::Hangs | Behaviour::Silent) {
            self.unanswered.insert(id);
        }
        if self.behaviour == Behaviour::Hangs {
            return;
        }
        if self.behaviour == Behaviour::Breaks {
            // Alternates, as the follower distinguishes the two failures.
            let opened = self.sequence.is_multiple_of(2);
            if opened {
                self.schedule(Input::Opened(id), MS);
            }
            let cause = if opened { Cause::Ended } else { Cause::Broke("reset".into()) };
            return self.schedule(Input::Ended(id, cause), 2 * MS);
        }
        self.schedule(Input::Opened(id), MS);
        let rev = match kind {
            CallKind::ChangesAfter(rev) => rev,
            CallKind::FullList | CallKind::Check => NO_REVISION,
        };
        if kind == CallKind::Check {
            let line = self.json(0, true);
            let listing = Listing::decode(line.as_bytes()).unwrap();
            return self.schedule(Input::Line(id, Some(listing)), self.line_delay);
        }
        // The revisions of the new epoch already exceed the current one: only the check of the full list shows it.
        if rev != NO_REVISION && rev <= self.rev && self.epoch != self.applied_epoch {
            self.hidden_restarts.push(self.now);
        }
        let next_heartbeat = self.now + HEARTBEAT;
        let lines = Lines::default();
        self.connections.push(Connection { id, lines, frozen: false, rev, next_heartbeat, address });
        self.write(id, false);
    }

    fn deliver(&mut self, delivery: &Delivery) {
        self.applied_epoch = self.arriving_epoch;
        if delivery.kind != ListKind::Changes {
            self.routable.clear();
        }
        for entry in &delivery.entries {
            match entry.state {
                State::Ready => drop(self.routable.insert(entry.uid.clone(), entry.boot_ms)),
                State::Draining | State::Removed => drop(self.routable.remove(&entry.uid)),
            }
        }
        for server in self.drains.keys() {
            if self.routable.get(&server.uid) != Some(&server.boot_ms) {
                self.applied_at.entry(server.clone()).or_insert(self.now);
            }
        }
    }

    fn track_reachability(&mut self) {
        let reachable = self.behaviour == Behaviour::Serves;
        match (self.reachable_since, reachable) {
            (None, true) => self.reachable_since = Some(self.now),
            (Some(since), false) => {
                self.reachable.push(Reachable { from: since, to: self.now });
                self.reachable_since = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    /// Splits the current reachable interval: a watch that was about to deliver must be opened again.
    fn interrupt(&mut self) {
        if let Some(since) = self.reachable_since {
            self.reachable.push(Reachable { from: since, to: self.now });
            self.reachable_since = Some(self.now);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::List { uid, state, boot_ms, port } => {
                self.rev += 1;
                let listed = self.listed.get(&uid);
                let left =
                    listed.is_some_and(|server| server.state != State::Ready && server.boot_ms == boot_ms);
                if state != State::Ready && !left && listed.is_some() {
                    let drain = Drain { requested_at: self.now, written_at: None };
                    self.drains.insert(Incarnation { uid: uid.clone(), boot_ms }, drain);
                }
                self.listed.insert(uid, ListedServer { state, boot_ms, port, changed: self.rev });
                let watches: Vec<WatchId> = self.connections.iter().map(|connection| connection.id).collect();
                for id in watches {
                    self.write(id, false);
                }
            }
            Step::Behaviour(behaviour) => {
                self.behaviour = behaviour;
                self.track_reachability();
            }
            Step::Reset => {
                let watches: Vec<WatchId> =
                    self.connections.drain(..).map(|connection| connection.id).collect();
                for id in watches {
                    self.in_flight
                        .retain(|_, arrival| !matches!(&arrival.input, Input::Line(line, _) if *line == id));
                    self.schedule(Input::Ended(id, Cause::Broke("reset".into())), MS);
                }
                self.interrupt();
            }
            Step::Freeze => {
                self.connections.iter_mut().for_each(|connection| connection.frozen = true);
                self.interrupt();
            }
            Step::Cut(at) => {
                self.cut_next_at = Some(at);
                self.interrupt();
            }
            Step::Garble => {
                self.garble_next = true;
                self.interrupt();
            }
            Step::Slow(line_delay) => self.line_delay = line_delay,
            Step::Restart => {
                // All servers that are still listed are listed again as of revision 1.
                self.step(Step::Reset);
                self.epoch += 1;
                self.listed.retain(|_, server| server.state != State::Removed);
                self.rev = 1;
                self.listed.values_mut().for_each(|server| server.changed = 1);
            }
            Step::Move => {
                self.address = SocketAddr::new(self.address.ip(), self.address.port() + 1);
                self.step(Step::Restart);
                let address = self.address;
                self.schedule(Input::AddressChanged(address), MS);
            }
        }
    }

    /// Advances the clock to `end`, one event at a time.
    fn run_to(&mut self, end: u64) {
        loop {
            let mut out = Vec::new();
            self.follower.wake(Time(self.now), &mut out);
            self.carry_out(out);
            let next = self.next_event();
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            self.fire_timers();
            self.write_heartbeats();
            self.deliver_arrivals();
        }
    }

    fn next_event(&self) -> u64 {
        let follower = self.follower.due().map_or(u64::MAX, |due| due.0.max(self.now + 1));
        let arrival = self.in_flight.keys().next().map_or(u64::MAX, |key| key.at);
        let live = self
            .connections
            .iter()
            .filter(|connection| !connection.frozen && connection.address == self.address);
        let heartbeat = live.map(|connection| connection.next_heartbeat).min().unwrap_or(u64::MAX);
        let timers = self.module.as_ref().map(|module| &module.timers);
        let timer = timers.and_then(|timers| timers.keys().next()).map_or(u64::MAX, |key| key.at);
        follower.min(arrival).min(heartbeat.max(self.now + 1)).min(timer)
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.module.as_mut().and_then(|module| module.timers.first_entry()) {
            if timer.key().at > self.now {
                break;
            }
            let token = timer.remove();
            self.notify_module(Event::Timer { token });
        }
    }

    fn write_heartbeats(&mut self) {
        let now = self.now;
        let due = self.connections.iter().filter(|connection| connection.next_heartbeat <= now);
        let watches: Vec<WatchId> = due.map(|connection| connection.id).collect();
        for id in watches {
            if let Some(connection) = self.connections.iter_mut().find(|connection| connection.id == id) {
                connection.next_heartbeat = now + HEARTBEAT;
            }
            self.write(id, true);
        }
    }

    fn deliver_arrivals(&mut self) {
        while let Some(next) = self.in_flight.first_entry().filter(|next| next.key().at <= self.now) {
            let Arrival { input, epoch } = next.remove();
            self.arriving_epoch = epoch;
            let mut out = Vec::new();
            self.lost_calls += usize::from(matches!(input, Input::Ended(..)));
            self.follower.input(Time(self.now), input, &mut out);
            self.carry_out(out);
        }
    }

    /// Describes every violation found.
    fn audit(&mut self) -> Vec<String> {
        if let Some(since) = self.reachable_since {
            self.reachable.push(Reachable { from: since, to: u64::MAX });
        }
        let mut faults = Vec::new();
        for (server, drain) in &self.drains {
            let requested = drain.requested_at;
            let reported = drain.written_at.unwrap_or(u64::MAX).min(requested + KNOWN_WITHIN);
            let applied = self.applied_at.get(server).copied().unwrap_or(u64::MAX);
            // A hidden restart is found by the check of the full list, and again by one after the bound.
            let mut restarts = self.hidden_restarts.iter();
            let hidden_restart =
                restarts.any(|at| *at + 2 * HIDDEN_RESTART_DELAY > requested && *at < applied);
            let allowed = if hidden_restart { HIDDEN_RESTART_DELAY } else { FRESH_WATCH_DELAY };
            // The first time from which discovery was reachable long enough for a new watch to deliver.
            let mut reachable = self.reachable.iter();
            let reachable = reachable.find(|time| time.from.max(requested) + allowed <= time.to);
            let available = reachable.map_or(u64::MAX, |time| time.from.max(requested));
            let late = applied.saturating_sub(requested) / MS;
            if applied > available.saturating_add(allowed) {
                faults
                    .push(format!("{server:?}: applied {late} ms late, over 3 s later than on a new watch"));
            }
            if applied > reported + GRACE + SLACK && available.saturating_add(allowed) <= reported + GRACE {
                faults.push(format!("{server:?}: applied {late} ms late, requests sent after its bound"));
            }
        }
        let up = self.listed.iter().filter(|(_, server)| server.state == State::Ready);
        let up: BTreeSet<&String> = up.map(|(uid, _)| uid).collect();
        let routable: BTreeSet<&String> = self.routable.keys().collect();
        if up != routable {
            faults.push(format!("at the end {routable:?} are used, {up:?} are up"));
        }
        let health = self.follower.health();
        if health.watches > 6 {
            faults.push(format!("{} watches open", health.watches));
        }
        faults
    }
}

/// A random run: servers are added, drained, removed and added again while discovery misbehaves.
fn random_run(seed: u64, timing: Timing) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(seed, timing);
    for n in 0..6 {
        simulation.step(Step::List { uid: format!("s{n}"), state: State::Ready, boot_ms: 0, port: n });
    }
    simulation.run_to(START + 3000 * MS);
    let mut created = 6;
    let mut behaviour_ends = 0;
    for _ in 0..rng.random_range(10..60) {
        let to = simulation.now + rng.random_range(1..2500) * MS;
        simulation.run_to(to);
        if simulation.behaviour != Behaviour::Serves && simulation.now >= behaviour_ends {
            simulation.step(Step::Behaviour(Behaviour::Serves));
        }
        let listed = simulation.listed.iter();
        let listed: Vec<(String, ListedServer)> =
            listed.map(|(uid, server)| (uid.clone(), *server)).collect();
        let step = match rng.random_range(0..16) {
            0..6 if !listed.is_empty() => {
                let (uid, server) = listed[rng.random_range(0..listed.len())].clone();
                let ListedServer { state, boot_ms, port, .. } = server;
                match state {
                    State::Ready => Step::List { uid, state: State::Draining, boot_ms, port },
                    State::Draining => Step::List { uid, state: State::Removed, boot_ms, port },
                    // The same server restarts at its address.
                    State::Removed if rng.random_bool(0.5) => {
                        Step::List { uid, state: State::Ready, boot_ms: simulation.now / MS, port }
                    }
                    State::Removed => {
                        created += 1;
                        Step::List {
                            uid: format!("s{created}"),
                            state: State::Ready,
                            boot_ms: simulation.now / MS,
                            port: 1000 + created,
                        }
                    }
                }
            }
            6 | 7 => Step::Freeze,
            8 => Step::Reset,
            9 => Step::Cut(rng.random_range(0..2000)),
            10 => Step::Garble,
            11 => Step::Slow(rng.random_range(0..300) * MS),
            12 => Step::Restart,
            13 => Step::Move,
            _ => {
                behaviour_ends = simulation.now + rng.random_range(100..9000) * MS;
                let behaviours = [Behaviour::Refuses, Behaviour::Hangs, Behaviour::Silent];
                Step::Behaviour(behaviours[rng.random_range(0..3)])
            }
        };
        simulation.step(step);
    }
    let calm = simulation.now + 1000 * MS;
    simulation.run_to(calm);
    simulation.step(Step::Behaviour(Behaviour::Serves));
    simulation.step(Step::Slow(MS));
    let end = simulation.now + 20_000 * MS;
    simulation.run_to(end);
    simulation.audit()
}

#[test]
fn drains_are_applied_no_later_than_a_new_watch_would_report_them() {
    for seed in 0..1500 {
        let faults = random_run(seed, timing());
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    }
}

#[test]
fn auditor_detects_a_follower_that_waits_on_a_silent_watch() {
    // An earlier version waited 7 s before it gave up a silent watch, with no other beside it.
    let old = Timing { silence_timeout: Span(7000 * MS), ..timing() };
    let found = (0..200).filter(|seed| !random_run(*seed, old).is_empty()).count();
    assert!(found > 20, "only {found} of 200 runs show it");
}

#[test]
fn line_cut_at_any_byte_is_received_again_in_full() {
    let mut cut = 0;
    loop {
        let mut simulation = Simulation::new(cut as u64, timing());
        for n in 0..3 {
            simulation.step(Step::List { uid: format!("s{n}"), state: State::Ready, boot_ms: 0, port: n });
        }
        simulation.run_to(START + 100 * MS);
        simulation.step(Step::Cut(cut));
        simulation.step(Step::List { uid: "s1".into(), state: State::Draining, boot_ms: 0, port: 1 });
        let length = simulation.json(simulation.rev - 1, false).len();
        simulation.run_to(START + 1000 * MS);
        assert_eq!(simulation.routable.keys().collect::<Vec<_>>(), ["s0", "s2"], "cut after {cut} bytes");
        assert!(simulation.audit().is_empty(), "cut after {cut} bytes: {:?}", simulation.audit());
        cut += 1;
        if cut == length {
            return;
        }
    }
}

/// Guards against giving up queued calls. If lists come only on request, calls wait in a queue: one given up after the
/// time between two tries lost its place, and with a hundred instances doing so none was ever answered.
#[test]
fn on_request_call_is_not_abandoned_while_queued() {
    let at = "127.0.0.1:1".parse().unwrap();
    let timing = timing();
    let mode = Discovery::OnRequest;
    let (mut follower, _) = Follower::new(Time(START), timing, mode, at, 1, Listing::default());
    let mut out = Vec::new();
    let opened = |out: &[Output]| out.iter().filter(|o| matches!(o, Output::Open { .. })).count();
    follower.input(Time(START), Input::WatchRequested, &mut out);
    assert_eq!(opened(&out), 1);
    out.clear();
    let late = Time(START) + Span(3 * timing.call_timeout.0);
    follower.wake(late, &mut out);
    assert_eq!(out, [], "neither given up nor called again before the module asks");
    follower.input(late, Input::WatchRequested, &mut out);
    assert_eq!((opened(&out), out.len()), (1, 1), "the second call goes beside the first");
    out.clear();
    follower.input(late, Input::Line(WatchId(0), None), &mut out);
    assert!(out.contains(&Output::Close(WatchId(1))), "the first to deliver is followed: {out:?}");
    // A call that is never answered ends nevertheless, and the module is notified.
    let (mut follower, _) = Follower::new(Time(START), timing, mode, at, 1, Listing::default());
    follower.input(Time(START), Input::WatchRequested, &mut out);
    out.clear();
    follower.wake(Time(START) + timing.staleness_bound, &mut out);
    assert!(out.contains(&Output::Close(WatchId(0))) && out.contains(&Output::Failed), "{out:?}");
}

/// Guards against late drains when discovery returns: what it announces then counts at once, however long it was away.
/// A call outstanding at its return may never be answered, so a new one must be made in time, with any grace period.
#[test]
fn retry_interval_stays_within_two_thirds_of_the_grace_during_a_long_outage() {
    for grace in [200, 400, 500, 1000, 3000].map(|ms| ms * MS) {
        let timing = Timing::derive(Span(HEARTBEAT), Span(KNOWN_WITHIN), Span(grace));
        let at = "127.0.0.1:1".parse().unwrap();
        let mode = Discovery::Pushed;
        let (mut follower, _) = Follower::new(Time(START), timing, mode, at, grace, Listing::default());
        let mut out = Vec::new();
        let mut now = START;
        let mut last_call = START;
        let mut longest = 0;
        follower.wake(Time(now), &mut out);
        while now < START + 60_000 * MS {
            for output in std::mem::take(&mut out) {
                if let Output::Open { .. } = output {
                    longest = longest.max(now - last_call);
                    last_call = now;
                }
            }
            now = follower.due().expect("nothing is scheduled").0.max(now);
            follower.wake(Time(now), &mut out);
        }
        assert!(longest <= grace * 2 / 3, "{longest} us between two calls, on a grace of {grace} us");
    }
}

/// How a call to discovery is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallLoss {
    /// It is accepted and breaks, or ends, before any line.
    Failed,
    /// The connection is refused, or the call with an error status.
    Refused,
    /// It is accepted and nothing arrives until it is given up.
    GivenUp,
    /// So many calls were refused that the backoff is at its maximum and none is outstanding.
    BackOff,
}

const CALL_LOSSES: [CallLoss; 4] =
    [CallLoss::Failed, CallLoss::Refused, CallLoss::GivenUp, CallLoss::BackOff];

/// Every sequence of losses of this length, with repetition.
fn sequences(length: u32) -> impl Iterator<Item = Vec<CallLoss>> {
    let each = CALL_LOSSES.len();
    (0..each.pow(length)).map(move |n| (0..length).map(|i| CALL_LOSSES[n / each.pow(i) % each]).collect())
}

/// How the followed watch ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WatchEnd {
    /// It is reset and its unread lines are lost.
    Reset,
    /// It falls silent.
    Silent,
}

/// An outage of several consecutive call losses, with a drain before, during and after each.
struct Outage {
    simulation: Simulation,
    /// The next server to be drained.
    next: u16,
}

impl Outage {
    /// More servers than drains, so that none is drained twice.
    const SERVERS: u16 = 30;

    fn start(seed: u64, timing: Timing, module: Option<Module>) -> Outage {
        let mut simulation = Simulation::with(seed, timing, module);
        for n in 0..Outage::SERVERS {
            simulation.step(Step::List { uid: format!("s{n:02}"), state: State::Ready, boot_ms: 0, port: n });
        }
        simulation.run_to(START + 5100 * MS);
        assert_eq!(
            simulation.routable.len(),
            usize::from(Outage::SERVERS),
            "the initial list was not applied"
        );
        Outage { simulation, next: 0 }
    }

    fn drain(&mut self) {
        let n = self.next;
        self.next += 1;
        let uid = format!("s{n:02}");
        self.simulation.step(Step::List { uid, state: State::Draining, boot_ms: 0, port: n });
    }

    fn run(&mut self, ms: u64) {
        self.simulation.run_to(self.simulation.now + ms * MS);
    }

    /// Ends the followed watch; a drain is lost with it.
    fn end_watch(&mut self, watch_end: WatchEnd) {
        self.drain();
        self.simulation.step(if watch_end == WatchEnd::Reset { Step::Reset } else { Step::Freeze });
        // The end of the watch does not count as a lost call.
        self.run(2);
    }

    /// Loses calls in this way; a drain occurs while they are outstanding, or in the backoff after them.
    fn lose(&mut self, loss: CallLoss, watch_end: Option<WatchEnd>) {
        let behaviour = match loss {
            CallLoss::Failed => Behaviour::Breaks,
            CallLoss::Refused | CallLoss::BackOff => Behaviour::Refuses,
            CallLoss::GivenUp if self.next.is_multiple_of(2) => Behaviour::Hangs,
            CallLoss::GivenUp => Behaviour::Silent,
        };
        self.simulation.step(Step::Behaviour(behaviour));
        if let Some(watch_end) = watch_end {
            self.end_watch(watch_end);
        }
        let calls = if loss == CallLoss::BackOff { 8 } else { 1 };
        let goal = self.simulation.lost_calls + calls;
        let deadline = self.simulation.now + 300_000 * MS;
        let unanswered = self.simulation.unanswered.len();
        let mut drained = false;
        while self.simulation.lost_calls < goal {
            let call_unanswered = self.simulation.unanswered.len() > unanswered;
            if !drained && (call_unanswered || self.simulation.lost_calls + 1 == goal) {
                self.drain();
                drained = true;
            }
            self.run(10);
            assert!(self.simulation.now < deadline, "no call was lost by {loss:?}");
        }
        self.drain();
    }

    /// Restores discovery, except for unanswered calls. Returns the longest delay of a drain in microseconds, counted
    /// from when discovery knew it and was reachable.
    fn recover(mut self, delay_ms: u64) -> u64 {
        self.run(delay_ms);
        let Simulation { connections, unanswered, now, .. } = &mut self.simulation;
        connections
            .iter_mut()
            .for_each(|connection| connection.frozen |= unanswered.contains(&connection.id));
        let recovered_at = *now;
        self.simulation.step(Step::Behaviour(Behaviour::Serves));
        for ms in [3, 200, 1500, 20_000] {
            self.drain();
            self.run(ms);
        }
        let Simulation { drains, applied_at, .. } = &self.simulation;
        let delays = drains.iter().map(|(server, drain)| {
            let available = drain.requested_at.max(recovered_at);
            applied_at.get(server).map_or(u64::MAX, |applied| applied.saturating_sub(available))
        });
        delays.max().unwrap_or(u64::MAX)
    }
}

/// The longest delay of a drain, and the outage that led to it.
struct WorstDelay {
    delay_us: u64,
    history: String,
}

/// The longest delay of a drain over every sequence of four losses, and over outages that end with the watch itself.
fn worst_delay(timing: Timing, module: impl Fn(u64) -> Option<Module>) -> WorstDelay {
    let mut worst = WorstDelay { delay_us: 0, history: String::new() };
    let ends =
        [(WatchEnd::Reset, 0), (WatchEnd::Silent, 170), (WatchEnd::Reset, 900), (WatchEnd::Silent, 2600)];
    for (seed, losses) in sequences(4).chain((0..50).flat_map(|_| sequences(0))).enumerate() {
        for (watch_end, after_ms) in ends {
            let seed = seed as u64;
            let mut outage = Outage::start(seed, timing, module(seed));
            for (n, loss) in losses.iter().enumerate() {
                outage.lose(*loss, (n == 0).then_some(watch_end));
            }
            if losses.is_empty() {
                // With pushed lists, silence is only detected by the next missing heartbeat.
                let pushed = outage.simulation.module.is_none();
                outage.end_watch(if pushed { WatchEnd::Reset } else { watch_end });
            }
            let delay_us = outage.recover(after_ms);
            if delay_us > worst.delay_us {
                let history = format!("{watch_end:?}, {losses:?}, back after {after_ms} ms");
                worst = WorstDelay { delay_us, history };
            }
        }
    }
    worst
}

/// Guards against late changes after lost calls. A change counts as known 6 s after discovery has it and is reachable,
/// and at once if lists are pushed: it must be applied within the grace period, or within 6 s if there is none.
#[test]
fn changes_during_lost_calls_are_applied_in_time_with_pushed_lists() {
    for grace in [0, 200, 1000, 3000].map(|ms| ms * MS) {
        let timing = Timing::derive(Span(HEARTBEAT), Span(KNOWN_WITHIN), Span(grace));
        let WorstDelay { delay_us, history } = worst_delay(timing, |_| None);
        let bound = if grace > 0 { grace } else { KNOWN_WITHIN };
        assert!(delay_us <= bound + SLACK, "{delay_us} us late on a grace of {grace} us: {history}");
    }
}

struct FleetCase {
    instance_count: u32,
    ask_within_ms: u64,
    grace: u64,
}

/// The same if lists come only on request, in small and large fleets, however long an instance may go without asking.
#[test]
fn changes_during_lost_calls_are_applied_in_time_with_lists_on_request() {
    let fleet = |instance_count, ask_within_ms, grace| FleetCase { instance_count, ask_within_ms, grace };
    let fleets = [
        fleet(1, 10_000, GRACE),
        fleet(30, 10_000, GRACE),
        fleet(300, 10_000, GRACE),
        fleet(1, 60_000, GRACE),
        fleet(1200, 60_000, GRACE),
        fleet(300, 1000, GRACE),
        fleet(300, 10_000, 0),
    ];
    for FleetCase { instance_count, ask_within_ms, grace } in fleets {
        let timing = Timing::derive(Span(HEARTBEAT), Span(KNOWN_WITHIN), Span(grace));
        let module = |seed| Some(Module::new(seed, instance_count, Span(ask_within_ms * MS)));
        let WorstDelay { delay_us, history } = worst_delay(timing, module);
        let fleet = format!("{instance_count} instances, to ask within {ask_within_ms} ms, grace {grace} us");
        assert!(delay_us <= KNOWN_WITHIN + grace + SLACK, "{delay_us} us late, {fleet}: {history}");
    }
}
