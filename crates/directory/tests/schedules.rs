//! The follower against a stand-in discovery on a stepped clock: it breaks at any byte, falls silent, is slow, accepts
//! and says nothing, restarts with versions that go back, moves. An auditor that knows only what discovery wrote, and
//! when, says how late each drain was heard and whether a server was still sent to after its bound.

use dunlincleat::Balancer;
use dunlincleat::api::{Action, Discovery, Event, ListKind, Safety, Settings, Span, State, Time, Token};
use dunlincleat_directory::{
    Ask, Cause, Delivery, Figures, Follower, Input, Lines, Listing, Output, WatchId,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const MS: u64 = 1000;
const HEARTBEAT: u64 = 2000 * MS;
const TOLD_WITHIN: u64 = 6000 * MS;
const GRACE: u64 = 1000 * MS;
/// The slack of the rule on sockets.
const SLACK: u64 = 50 * MS;
/// How far behind what a new watch would have told the list may be.
const BEHIND: u64 = 3000 * MS;
/// The same where a new start of discovery is hidden by its versions.
const MASKED: u64 = TOLD_WITHIN + GRACE + BEHIND;
const START: u64 = 1_800_000_000_000_000;

fn figures() -> Figures {
    Figures::derive(Span(HEARTBEAT), Span(TOLD_WITHIN), Span(GRACE))
}

/// How discovery treats calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Speaks,
    Refuses,
    /// Takes the connection and never answers.
    Hangs,
    /// Begins an answer and writes no line.
    Mute,
    /// Takes the connection and breaks it before it has told anything.
    Breaks,
}

#[derive(Clone, Debug)]
enum Act {
    /// A server is listed in this state; `None` for its state where it is removed.
    List(String, State, u64, u16),
    Mood(Mood),
    /// Every open watch is reset; what was written last is lost unread.
    Reset,
    /// Every open watch stays open and never brings anything again.
    Freeze,
    /// The next line is cut after so many bytes and its watch broken.
    Cut(usize),
    /// The next line is garbage.
    Garble,
    /// Lines take so long from here on.
    Slow(u64),
    /// Versions begin anew.
    Restart,
    /// The sidecar is told of another address, whose versions are others.
    Move,
}

struct Wire {
    id: WatchId,
    lines: Lines,
    frozen: bool,
    /// Version up to which it has been told.
    rev: u64,
    next_beat: u64,
    at: SocketAddr,
}

type Line = (State, u64, u16, u64);

/// The decision module, which says when to call where lists come only on request.
struct Module {
    balancer: Balancer,
    timers: BTreeMap<(u64, u64), Token>,
}

impl Module {
    fn new(seed: u64, balancers: u32, ask_within: Span) -> Module {
        let safety = Safety { ask_within, ..Safety::default() };
        // Its windows, a second long, have nothing to do with lists.
        let (discovery, tick) = (Discovery::OnRequest, Span(1000 * MS));
        let settings = Settings { instance_count: balancers, discovery, safety, tick, ..Settings::default() };
        Module { balancer: Balancer::new(settings, seed), timers: BTreeMap::new() }
    }
}

/// Discovery, the sidecar's shell and the auditor.
struct World {
    now: u64,
    module: Option<Module>,
    follower: Follower,
    mood: Mood,
    slow: u64,
    cut: Option<usize>,
    garble: bool,
    rev: u64,
    /// What is listed: state, start, port, version of the last change.
    truth: BTreeMap<String, Line>,
    wires: Vec<Wire>,
    /// What is on its way to the sidecar.
    flight: BTreeMap<(u64, u64), (Input, u32)>,
    /// How often versions began anew, and the count that the list held is of.
    count: u32,
    held_count: u32,
    arriving: u32,
    /// When a watch was opened after a version of an earlier count that the new one has passed.
    masked: Vec<u64>,
    sent: u64,
    at: SocketAddr,
    /// What the sidecar would send to.
    usable: BTreeMap<String, u64>,
    /// Drains by server and start: when discovery meant it, and when it first wrote it.
    drains: BTreeMap<(String, u64), (u64, Option<u64>)>,
    heard: BTreeMap<(String, u64), u64>,
    /// Since when a new watch would have spoken, without a break.
    good_since: Option<u64>,
    good: Vec<(u64, u64)>,
    /// Calls that failed, were refused or given up, and those out that will never be answered.
    lost: usize,
    hung: BTreeSet<WatchId>,
}

impl World {
    fn new(seed: u64, figures: Figures) -> World {
        World::with(seed, figures, None)
    }

    /// A world whose lists come only on request, where there is a module to ask for them.
    fn with(seed: u64, figures: Figures, module: Option<Module>) -> World {
        let at = "127.0.0.1:1".parse().unwrap();
        let mode = if module.is_some() { Discovery::OnRequest } else { Discovery::Pushed };
        let (follower, _) = Follower::new(Time(START), figures, mode, at, seed, Listing::default());
        let mut world = World {
            now: START,
            module,
            lost: 0,
            hung: BTreeSet::new(),
            follower,
            mood: Mood::Speaks,
            slow: MS,
            cut: None,
            garble: false,
            rev: 0,
            truth: BTreeMap::new(),
            wires: Vec::new(),
            flight: BTreeMap::new(),
            count: 0,
            held_count: 0,
            arriving: 0,
            masked: Vec::new(),
            sent: 0,
            at,
            usable: BTreeMap::new(),
            drains: BTreeMap::new(),
            heard: BTreeMap::new(),
            good_since: Some(START),
            good: Vec::new(),
        };
        world.tell_module(Event::Members { kind: ListKind::Cached, entries: &[] });
        world
    }

    /// Tells the module, where there is one, and does what it wants of discovery.
    fn tell_module(&mut self, event: Event<'_>) {
        let (now, mut todo) = (self.now, Vec::new());
        let Some(module) = &mut self.module else { return };
        module.balancer.on_event(Time(now), event, &mut todo);
        for action in todo {
            match action {
                Action::Timer { token, delay } => {
                    self.sent += 1;
                    module.timers.insert((now + delay.0.max(1), self.sent), token);
                }
                Action::WatchServers => {
                    self.flight.extend([((now, self.sent + 1), (Input::Wanted, self.count))])
                }
                _ => {}
            }
        }
        self.sent += 1;
    }

    fn fly(&mut self, input: Input, after: u64) {
        self.sent += 1;
        self.flight.insert((self.now + after, self.sent), (input, self.count));
    }

    fn json(&self, rev: u64, whole: bool) -> String {
        let mut targets = Vec::new();
        for (uid, (state, boot, port, changed)) in &self.truth {
            if *changed > rev || whole {
                if whole && *state == State::Removed {
                    continue;
                }
                let state = match state {
                    State::Ready => "up",
                    State::Draining => "draining",
                    State::Removed => "removed",
                };
                let endpoint = format!("127.0.0.2:{port}");
                targets.push(serde_json::json!(
                    {"uid": uid, "endpoint": endpoint, "az": "a", "state": state, "boot_ms": boot}
                ));
            }
        }
        serde_json::json!({"rev": self.rev, "all": whole, "targets": targets}).to_string() + "\n"
    }

    /// Writes to a watch what it has not been told.
    fn write(&mut self, id: WatchId, beat: bool) {
        let Some(at) = self.wires.iter().position(|w| w.id == id) else { return };
        if self.wires[at].frozen || self.mood != Mood::Speaks || self.wires[at].at != self.at {
            return;
        }
        let rev = self.wires[at].rev;
        let beat = beat && rev == self.rev;
        let whole = rev > self.rev || rev == u64::MAX;
        let mut line = if beat { "\n".to_owned() } else { self.json(rev, whole) };
        if !beat {
            let now = self.now;
            for ((uid, boot), (_, wrote)) in &mut self.drains {
                if self.truth.get(uid).is_none_or(|(_, now_boot, ..)| now_boot == boot) {
                    wrote.get_or_insert(now);
                }
            }
        }
        if !beat && std::mem::take(&mut self.garble) {
            line = "{\"rev\":\n".to_owned();
            self.broken();
        }
        let cut = if beat { None } else { self.cut.take() };
        let kept = cut.map_or(line.len(), |cut| cut % line.len());
        let wire = &mut self.wires[at];
        (wire.rev, wire.next_beat) = (self.rev, self.now + HEARTBEAT);
        let lines = wire.lines.take(&line.as_bytes()[..kept]).unwrap();
        let slow = self.slow;
        for line in lines {
            let listing = if line.is_empty() { Ok(None) } else { Listing::decode(&line).map(Some) };
            match listing {
                Ok(listing) => self.fly(Input::Line(id, listing), slow),
                Err(error) => self.fly(Input::Ended(id, Cause::Garbled(error.to_string())), slow),
            }
        }
        if cut.is_some() {
            self.broken();
            self.fly(Input::Ended(id, Cause::Broke("cut".into())), slow + 1);
            self.wires.remove(at);
        }
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Open { watch, at, ask } => self.call(watch, at, ask),
                Output::Close(watch) => {
                    self.lost += usize::from(self.hung.remove(&watch));
                    self.wires.retain(|w| w.id != watch);
                    // What is on its way of it is never read.
                    self.flight.retain(|_, (input, _)| match input {
                        Input::Opened(id) | Input::Line(id, _) | Input::Ended(id, _) => *id != watch,
                        Input::Wanted | Input::Moved(_) => true,
                    });
                }
                Output::Deliver(delivery) => {
                    self.deliver(&delivery);
                    self.tell_module(Event::Members { kind: delivery.kind, entries: &[] });
                }
                Output::Failed => self.tell_module(Event::Members { kind: ListKind::Failed, entries: &[] }),
                Output::Lost { .. } | Output::Followed { .. } => {}
            }
        }
    }

    fn call(&mut self, id: WatchId, at: SocketAddr, ask: Ask) {
        if at != self.at || self.mood == Mood::Refuses {
            let unreachable = Cause::Unreachable("refused".into());
            let refused = at == self.at && self.sent.is_multiple_of(2);
            return self.fly(Input::Ended(id, if refused { Cause::Refused(503) } else { unreachable }), MS);
        }
        if matches!(self.mood, Mood::Hangs | Mood::Mute) {
            self.hung.insert(id);
        }
        if self.mood == Mood::Hangs {
            return;
        }
        if self.mood == Mood::Breaks {
            // In turn, as each is told apart from the others.
            let (broke, opened) = (Cause::Broke("reset".into()), self.sent.is_multiple_of(2));
            if opened {
                self.fly(Input::Opened(id), MS);
            }
            return self.fly(Input::Ended(id, if opened { Cause::Ended } else { broke }), 2 * MS);
        }
        self.fly(Input::Opened(id), MS);
        let rev = match ask {
            Ask::After(rev) => rev,
            Ask::Whole | Ask::Check => u64::MAX,
        };
        if ask == Ask::Check {
            let line = self.json(0, true);
            let listing = Listing::decode(line.as_bytes()).unwrap();
            return self.fly(Input::Line(id, Some(listing)), self.slow);
        }
        // Its versions count anew and have passed those held: only the check will show it.
        if rev != u64::MAX && rev <= self.rev && self.count != self.held_count {
            self.masked.push(self.now);
        }
        let next_beat = self.now + HEARTBEAT;
        self.wires.push(Wire { id, lines: Lines::default(), frozen: false, rev, next_beat, at });
        self.write(id, false);
    }

    fn deliver(&mut self, delivery: &Delivery) {
        self.held_count = self.arriving;
        if delivery.kind != ListKind::Changes {
            self.usable.clear();
        }
        for entry in &delivery.entries {
            match entry.state {
                State::Ready => drop(self.usable.insert(entry.uid.clone(), entry.boot_ms)),
                State::Draining | State::Removed => drop(self.usable.remove(&entry.uid)),
            }
        }
        for (uid, boot) in self.drains.keys() {
            if self.usable.get(uid) != Some(boot) {
                self.heard.entry((uid.clone(), *boot)).or_insert(self.now);
            }
        }
    }

    fn good(&mut self) {
        let good = self.mood == Mood::Speaks;
        match (self.good_since, good) {
            (None, true) => self.good_since = Some(self.now),
            (Some(since), false) => {
                self.good.push((since, self.now));
                self.good_since = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    /// A break within a good time: whoever was about to hear must begin anew.
    fn broken(&mut self) {
        if let Some(since) = self.good_since {
            self.good.push((since, self.now));
            self.good_since = Some(self.now);
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::List(uid, state, boot, port) => {
                self.rev += 1;
                let left = self.truth.get(&uid).is_some_and(|(s, b, ..)| *s != State::Ready && *b == boot);
                if state != State::Ready && !left && self.truth.contains_key(&uid) {
                    self.drains.insert((uid.clone(), boot), (self.now, None));
                }
                self.truth.insert(uid, (state, boot, port, self.rev));
                for id in self.wires.iter().map(|w| w.id).collect::<Vec<_>>() {
                    self.write(id, false);
                }
            }
            Act::Mood(mood) => {
                self.mood = mood;
                self.good();
            }
            Act::Reset => {
                for id in self.wires.drain(..).map(|w| w.id).collect::<Vec<_>>() {
                    self.flight.retain(|_, (input, _)| !matches!(input, Input::Line(line, _) if *line == id));
                    self.fly(Input::Ended(id, Cause::Broke("reset".into())), MS);
                }
                self.broken();
            }
            Act::Freeze => {
                self.wires.iter_mut().for_each(|w| w.frozen = true);
                self.broken();
            }
            Act::Cut(at) => {
                self.cut = Some(at);
                self.broken();
            }
            Act::Garble => {
                self.garble = true;
                self.broken();
            }
            Act::Slow(slow) => self.slow = slow,
            Act::Restart => {
                // All that is still listed is listed anew, from version 1 on.
                self.act(Act::Reset);
                self.count += 1;
                self.truth.retain(|_, (state, ..)| *state != State::Removed);
                self.rev = 1;
                self.truth.values_mut().for_each(|(.., changed)| *changed = 1);
            }
            Act::Move => {
                self.at = SocketAddr::new(self.at.ip(), self.at.port() + 1);
                self.act(Act::Restart);
                let at = self.at;
                self.fly(Input::Moved(at), MS);
            }
        }
    }

    /// Runs to a time, one event after the other.
    fn run_to(&mut self, end: u64) {
        loop {
            let mut out = Vec::new();
            self.follower.wake(Time(self.now), &mut out);
            self.carry_out(out);
            let due = self.follower.due().map_or(u64::MAX, |t| t.0.max(self.now + 1));
            let flight = self.flight.keys().next().map_or(u64::MAX, |(at, _)| *at);
            let beat = self.wires.iter().filter(|w| !w.frozen && w.at == self.at).map(|w| w.next_beat).min();
            let timer =
                self.module.as_ref().and_then(|m| m.timers.keys().next()).map_or(u64::MAX, |(at, _)| *at);
            let next = due.min(flight).min(beat.unwrap_or(u64::MAX).max(self.now + 1)).min(timer);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            while let Some(timer) = self.module.as_mut().and_then(|m| m.timers.first_entry()) {
                if timer.key().0 > next {
                    break;
                }
                let token = timer.remove();
                self.tell_module(Event::Timer { token });
            }
            for id in self.wires.iter().filter(|w| w.next_beat <= next).map(|w| w.id).collect::<Vec<_>>() {
                if let Some(wire) = self.wires.iter_mut().find(|w| w.id == id) {
                    wire.next_beat = next + HEARTBEAT;
                }
                self.write(id, true);
            }
            while let Some((&(at, n), _)) = self.flight.first_key_value().filter(|((at, _), _)| *at <= next) {
                let Some((input, count)) = self.flight.remove(&(at, n)) else { break };
                self.arriving = count;
                let mut out = Vec::new();
                self.lost += usize::from(matches!(input, Input::Ended(..)));
                self.follower.input(Time(self.now), input, &mut out);
                self.carry_out(out);
            }
        }
    }

    /// What the auditor finds, in words.
    fn audit(&mut self) -> Vec<String> {
        if let Some(since) = self.good_since {
            self.good.push((since, u64::MAX));
        }
        let mut faults = Vec::new();
        for (key, (meant, wrote)) in &self.drains {
            let told = wrote.unwrap_or(u64::MAX).min(meant + TOLD_WITHIN);
            let heard = self.heard.get(key).copied().unwrap_or(u64::MAX);
            // From when on discovery spoke for long enough that a new watch would have told.
            // Where versions hide a new start, the check of the whole list tells, and again after the bound.
            let masked = self.masked.iter().any(|at| *at + 2 * MASKED > *meant && *at < heard);
            let behind = if masked { MASKED } else { BEHIND };
            let spoke = self.good.iter().find(|(from, to)| (*from).max(*meant) + behind <= *to);
            let spoke = spoke.map_or(u64::MAX, |(from, _)| (*from).max(*meant));
            let late = heard.saturating_sub(*meant) / MS;
            if heard > spoke.saturating_add(behind) {
                faults.push(format!("{key:?}: heard {late} ms late, over 3 s behind a new watch"));
            }
            if heard > told + GRACE + SLACK && spoke.saturating_add(behind) <= told + GRACE {
                faults.push(format!("{key:?}: heard {late} ms late, sent to after its bound"));
            }
        }
        let ready = |(_, (state, ..)): &(&String, &Line)| *state == State::Ready;
        let up: BTreeSet<&String> = self.truth.iter().filter(ready).map(|(uid, _)| uid).collect();
        let usable: BTreeSet<&String> = self.usable.keys().collect();
        if up != usable {
            faults.push(format!("at the end {usable:?} are used, {up:?} are up"));
        }
        let health = self.follower.health();
        if health.watches > 6 {
            faults.push(format!("{} watches open", health.watches));
        }
        faults
    }
}

/// A random day: servers come, drain, go and come back; discovery has its moods.
fn day(seed: u64, figures: Figures) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(seed, figures);
    for n in 0..6 {
        world.act(Act::List(format!("s{n}"), State::Ready, 0, n));
    }
    world.run_to(START + 3000 * MS);
    let (mut born, mut mood_ends) = (6, 0);
    for _ in 0..rng.random_range(10..60) {
        let to = world.now + rng.random_range(1..2500) * MS;
        world.run_to(to);
        if world.mood != Mood::Speaks && world.now >= mood_ends {
            world.act(Act::Mood(Mood::Speaks));
        }
        let live: Vec<(String, Line)> = world.truth.iter().map(|(uid, line)| (uid.clone(), *line)).collect();
        let act = match rng.random_range(0..16) {
            0..6 if !live.is_empty() => {
                let (uid, (state, boot, port, _)) = live[rng.random_range(0..live.len())].clone();
                match state {
                    State::Ready => Act::List(uid, State::Draining, boot, port),
                    State::Draining => Act::List(uid, State::Removed, boot, port),
                    // A successor at the same address, or the same server started anew.
                    State::Removed if rng.random_bool(0.5) => {
                        Act::List(uid, State::Ready, world.now / MS, port)
                    }
                    State::Removed => {
                        born += 1;
                        Act::List(format!("s{born}"), State::Ready, world.now / MS, 1000 + born)
                    }
                }
            }
            6 | 7 => Act::Freeze,
            8 => Act::Reset,
            9 => Act::Cut(rng.random_range(0..2000)),
            10 => Act::Garble,
            11 => Act::Slow(rng.random_range(0..300) * MS),
            12 => Act::Restart,
            13 => Act::Move,
            _ => {
                mood_ends = world.now + rng.random_range(100..9000) * MS;
                let moods = [Mood::Refuses, Mood::Hangs, Mood::Mute];
                Act::Mood(moods[rng.random_range(0..3)])
            }
        };
        world.act(act);
    }
    let calm = world.now + 1000 * MS;
    world.run_to(calm);
    world.act(Act::Mood(Mood::Speaks));
    world.act(Act::Slow(MS));
    let end = world.now + 20_000 * MS;
    world.run_to(end);
    world.audit()
}

#[test]
fn no_drain_is_heard_later_than_a_new_watch_would_have_told_it() {
    for seed in 0..1500 {
        let faults = day(seed, figures());
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    }
}

#[test]
fn the_auditor_finds_a_follower_that_waits_for_a_silent_watch() {
    // As it was: 7 s to give a silent watch up, with no other beside it.
    let old = Figures { late: Span(7000 * MS), ..figures() };
    let found = (0..200).filter(|seed| !day(*seed, old).is_empty()).count();
    assert!(found > 20, "only {found} of 200 days show it");
}

#[test]
fn a_line_cut_at_any_byte_is_told_again_whole() {
    let mut cut = 0;
    loop {
        let mut world = World::new(cut as u64, figures());
        for n in 0..3 {
            world.act(Act::List(format!("s{n}"), State::Ready, 0, n));
        }
        world.run_to(START + 100 * MS);
        world.act(Act::Cut(cut));
        world.act(Act::List("s1".into(), State::Draining, 0, 1));
        let length = world.json(world.rev - 1, false).len();
        world.run_to(START + 1000 * MS);
        assert_eq!(world.usable.keys().collect::<Vec<_>>(), ["s0", "s2"], "cut after {cut} bytes");
        assert!(world.audit().is_empty(), "cut after {cut} bytes: {:?}", world.audit());
        cut += 1;
        if cut == length {
            return;
        }
    }
}

/// Where lists come only on request, calls wait in turn: one that was given up after the time between two tries had lost
/// its place, and with a hundred instances that did so none was ever answered.
#[test]
fn a_call_on_request_keeps_its_place_in_the_queue() {
    let at = "127.0.0.1:1".parse().unwrap();
    let (figures, mode) = (figures(), Discovery::OnRequest);
    let (mut follower, _) = Follower::new(Time(START), figures, mode, at, 1, Listing::default());
    let mut out = Vec::new();
    let opened = |out: &[Output]| out.iter().filter(|o| matches!(o, Output::Open { .. })).count();
    follower.input(Time(START), Input::Wanted, &mut out);
    assert_eq!(opened(&out), 1);
    out.clear();
    let late = Time(START) + Span(3 * figures.call.0);
    follower.wake(late, &mut out);
    assert_eq!(out, [], "neither given up nor called beside before the module asks");
    follower.input(late, Input::Wanted, &mut out);
    assert_eq!((opened(&out), out.len()), (1, 1), "the second call goes beside the first");
    out.clear();
    follower.input(late, Input::Line(WatchId(0), None), &mut out);
    assert!(out.contains(&Output::Close(WatchId(1))), "the first to speak is followed: {out:?}");
    // One that is never answered ends all the same, and the module hears of it.
    let (mut follower, _) = Follower::new(Time(START), figures, mode, at, 1, Listing::default());
    follower.input(Time(START), Input::Wanted, &mut out);
    out.clear();
    follower.wake(Time(START) + figures.bound, &mut out);
    assert!(out.contains(&Output::Close(WatchId(0))) && out.contains(&Output::Failed), "{out:?}");
}

/// Guards a drain told just as discovery is back: what it tells then counts at once, however long it was away. A call that
/// was out when it came back is answered or not, so a new one has to go out in time, with any grace.
#[test]
fn however_long_discovery_was_away_it_is_asked_well_within_a_grace_of_its_return() {
    for grace in [200, 400, 500, 1000, 3000].map(|ms| ms * MS) {
        let figures = Figures::derive(Span(HEARTBEAT), Span(TOLD_WITHIN), Span(grace));
        let at = "127.0.0.1:1".parse().unwrap();
        let (mode, known) = (Discovery::Pushed, Listing::default());
        let (mut follower, _) = Follower::new(Time(START), figures, mode, at, grace, known);
        let (mut out, mut now, mut asked, mut longest) = (Vec::new(), START, START, 0);
        follower.wake(Time(now), &mut out);
        while now < START + 60_000 * MS {
            for output in std::mem::take(&mut out) {
                if let Output::Open { .. } = output {
                    (asked, longest) = (now, longest.max(now - asked));
                }
            }
            now = follower.due().expect("it waits for ever").0.max(now);
            follower.wake(Time(now), &mut out);
        }
        assert!(longest <= grace * 2 / 3, "{longest} us between two calls, on a grace of {grace} us");
    }
}

/// How a call of discovery is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// It is taken and breaks, or ends, before anything was told on it.
    Failed,
    /// The connection is refused, or the call with a status.
    Refused,
    /// It is taken and brings nothing until it is given up.
    GivenUp,
    /// So many were refused that the wait between two is at its longest: nothing is out.
    BackOff,
}

const LOSSES: [Loss; 4] = [Loss::Failed, Loss::Refused, Loss::GivenUp, Loss::BackOff];

/// Every sequence of so many losses, repetitions among them.
fn orders(length: u32) -> impl Iterator<Item = Vec<Loss>> {
    let each = LOSSES.len();
    (0..each.pow(length)).map(move |n| (0..length).map(|i| LOSSES[n / each.pow(i) % each]).collect())
}

/// How the watch ends that was followed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum First {
    /// It is reset, and what was written last is lost unread.
    Reset,
    /// It falls silent.
    Silent,
}

/// One outage of several losses in a row, with a drain before, within and after each.
struct Outage {
    world: World,
    /// The next server to be drained.
    next: u16,
}

impl Outage {
    /// More servers than are drained, so that none is drained twice.
    const SERVERS: u16 = 30;

    fn begin(seed: u64, figures: Figures, module: Option<Module>) -> Outage {
        let mut world = World::with(seed, figures, module);
        for n in 0..Outage::SERVERS {
            world.act(Act::List(format!("s{n:02}"), State::Ready, 0, n));
        }
        world.run_to(START + 5100 * MS);
        assert_eq!(world.usable.len(), usize::from(Outage::SERVERS), "it follows discovery");
        Outage { world, next: 0 }
    }

    fn drain(&mut self) {
        let n = self.next;
        self.next += 1;
        self.world.act(Act::List(format!("s{n:02}"), State::Draining, 0, n));
    }

    fn run(&mut self, ms: u64) {
        self.world.run_to(self.world.now + ms * MS);
    }

    /// Has the watch end that is followed, and a drain lost with it.
    fn begin_with(&mut self, first: First) {
        self.drain();
        self.world.act(if first == First::Reset { Act::Reset } else { Act::Freeze });
        // The end of the watch is no lost call.
        self.run(2);
    }

    /// Has calls lost in this way; a drain comes with them out, or in the wait after them.
    fn lose(&mut self, loss: Loss, first: Option<First>) {
        let mood = match loss {
            Loss::Failed => Mood::Breaks,
            Loss::Refused | Loss::BackOff => Mood::Refuses,
            Loss::GivenUp if self.next.is_multiple_of(2) => Mood::Hangs,
            Loss::GivenUp => Mood::Mute,
        };
        self.world.act(Act::Mood(mood));
        first.into_iter().for_each(|first| self.begin_with(first));
        let calls = if loss == Loss::BackOff { 8 } else { 1 };
        let (before, end) = (self.world.lost, self.world.now + 300_000 * MS);
        let out = self.world.hung.len();
        let mut drained = false;
        while self.world.lost < before + calls {
            if !drained && (self.world.hung.len() > out || self.world.lost + 1 == before + calls) {
                self.drain();
                drained = true;
            }
            self.run(10);
            assert!(self.world.now < end, "no call was lost by {loss:?}");
        }
        self.drain();
    }

    /// Has discovery speak again, what hangs apart; gives how late the latest drain was acted on, in microseconds after
    /// discovery had it and could be reached.
    fn come_back(mut self, after_ms: u64) -> u64 {
        self.run(after_ms);
        let World { wires, hung, now: back, .. } = &mut self.world;
        wires.iter_mut().for_each(|wire| wire.frozen |= hung.contains(&wire.id));
        let back = *back;
        self.world.act(Act::Mood(Mood::Speaks));
        for ms in [3, 200, 1500, 20_000] {
            self.drain();
            self.run(ms);
        }
        let World { drains, heard, .. } = &self.world;
        let late = |(key, (had, _)): (&(String, u64), &(u64, Option<u64>))| {
            heard.get(key).map_or(u64::MAX, |heard| heard.saturating_sub(*had.max(&back)))
        };
        drains.iter().map(late).max().unwrap_or(u64::MAX)
    }
}

/// The latest that a drain is acted on, over every order of four losses, and where none follows the end of the watch; and
/// what came before it.
fn latest(figures: Figures, module: impl Fn(u64) -> Option<Module>) -> (u64, String) {
    let mut worst = (0, String::new());
    let ends = [(First::Reset, 0), (First::Silent, 170), (First::Reset, 900), (First::Silent, 2600)];
    for (seed, order) in orders(4).chain((0..50).flat_map(|_| orders(0))).enumerate() {
        for (first, after) in ends {
            let seed = seed as u64;
            let mut outage = Outage::begin(seed, figures, module(seed));
            for (n, loss) in order.iter().enumerate() {
                outage.lose(*loss, (n == 0).then_some(first));
            }
            if order.is_empty() {
                // A pushed list's silence is found out only by the next sign of life that does not come.
                let pushed = outage.world.module.is_none();
                outage.begin_with(if pushed { First::Reset } else { first });
            }
            let late = outage.come_back(after);
            if late > worst.0 {
                worst = (late, format!("{first:?}, {order:?}, back after {after} ms"));
            }
        }
    }
    worst
}

/// Guards a change that came while calls were lost: it counts as told 6 s after discovery had it and could be reached,
/// whatever else is allowed then, and at once where lists are pushed. Without a grace 6 s is all there is.
#[test]
fn what_changed_while_calls_were_lost_is_acted_on_in_time_where_lists_are_pushed() {
    for grace in [0, 200, 1000, 3000].map(|ms| ms * MS) {
        let figures = Figures::derive(Span(HEARTBEAT), Span(TOLD_WITHIN), Span(grace));
        let (late, order) = latest(figures, |_| None);
        let bound = if grace > 0 { grace } else { TOLD_WITHIN };
        assert!(late <= bound + SLACK, "{late} us late on a grace of {grace} us: {order}");
    }
}

/// The same where lists come on request, in small and large fleets, whatever time an instance may go without asking.
#[test]
fn what_changed_while_calls_were_lost_is_acted_on_in_time_where_lists_come_on_request() {
    let fleets = [(1, 10_000), (30, 10_000), (300, 10_000), (1, 60_000), (1200, 60_000), (300, 1000)];
    for ((balancers, ask_within), grace) in
        fleets.map(|fleet| (fleet, GRACE)).into_iter().chain([((300, 10_000), 0)])
    {
        let figures = Figures::derive(Span(HEARTBEAT), Span(TOLD_WITHIN), Span(grace));
        let module = |seed| Some(Module::new(seed, balancers, Span(ask_within * MS)));
        let (late, order) = latest(figures, module);
        let fleet = format!("{balancers} instances, to ask within {ask_within} ms, grace {grace} us");
        assert!(late <= TOLD_WITHIN + grace + SLACK, "{late} us late, {fleet}: {order}");
    }
}
