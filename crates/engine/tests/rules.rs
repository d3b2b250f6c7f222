//! The engine on a stepped clock, under random accepted files that change while it works, with servers that stall,
//! fail, drain and go. An auditor that sees only what goes in and out keeps the four rules and the limits.

use dunlincleat::api::{Attempt, Effect, ListKind, RequestId, ServerId, Span, State, Status, Time};
use dunlincleat_directory::{Delivery, Entry};
use dunlincleat_engine::{Answer, Ask, Ended, Engine, Input, Output, SlotId};
use dunlincleat_limits::{Facts, Rule, RuleSet, check};
use dunlincleat_settings::{Site, read};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MS: u64 = 1000;
const START: u64 = 1_800_000_000_000_000;

fn site(copies: bool) -> Site {
    let text = r#"{"zones":["a","b"],"tenants":[{"name":"t"}],"stats":{"fields":["inflight"],"how":"inline"},
        "limits":{"try_limit":4,"parallel_tries":COPIES,"cancel":true,"probes":true,"connect_timeout":100000,"max_open":400},
        "classes":[
          {"name":"read","aim":300000,"deadline":740000,"gain":1.0,"late_worth":0.5,"semantics":"retryable"},
          {"name":"pay","aim":300000,"deadline":740000,"gain":1.0,"semantics":"dedup","group":"zone","window":600000},
          {"name":"move","aim":300000,"deadline":740000,"gain":1.0,"semantics":"fragile"}],
        "safety":{"cold":1000000,"cold_from":0.3}}"#;
    read(&text.replace("COPIES", &copies.to_string())).unwrap()
}

/// Files that are taken up in turn, and two that are refused.
const FILES: [&str; 7] = [
    "",
    "[defaults]\nattempts = 2\nattempt_timeout = '150ms'\nmax_in_hand = 12",
    "[defaults]\nattempts = 3\nretry_budget = { part = 0.1, least_per_s = 1 }\n\
     [[route]]\nname = 'reads'\nmatch = { class = 'read' }\npool = 'a'\ntimeout = '250ms'\n\
     [[pool]]\nname = 'a'\nzones = ['a']\nfall_back = ['b']\nleast_healthy = 0.5\n[[pool]]\nname = 'b'\nzones = ['b']",
    "[[route]]\nname = 'moves'\nmatch = { class = 'move' }\nattempts = 1\nmax_waiting = 3\npriority = 2\n\
     [[route]]\nname = 'reads'\nmatch = { class = 'read' }\nmax_in_hand = 5\nattempt_timeout = '90ms'",
    // Refused where no second copies are allowed.
    "[[route]]\nname = 'reads'\nmatch = { class = 'read' }\nsecond_copy = { after = '40ms' }\n\
     retry_budget = { part = 0.3 }\n\
     [[route]]\nname = 'pays'\nmatch = { class = 'pay' }\nattempts = 2\ntimeout = '500ms'\nsecond_copy = { after_quantile = 0.6 }",
    "[defaults]\ntimeout = '9s'",
    "[defaults]\nattempts = 99",
];

struct Out {
    request: u64,
    attempt: Attempt,
    server: ServerId,
    ends: u64,
    status: Status,
}

#[derive(Default)]
struct Seen {
    class: usize,
    gives_up: u64,
    rule: Option<Arc<Rule>>,
    answers: u32,
    gone: bool,
    /// Server, when sent, and how it ended.
    attempts: Vec<(ServerId, u64, Option<Status>)>,
}

struct World {
    now: u64,
    site: Site,
    engine: Engine<u64, u64>,
    rng: SmallRng,
    rules: Option<Arc<RuleSet>>,
    out: Vec<Out>,
    probes: Vec<(u64, ServerId, SlotId)>,
    seen: BTreeMap<u64, Seen>,
    /// Server by name: state, start, when it was told to leave.
    listed: BTreeMap<String, (State, u64)>,
    open: BTreeMap<ServerId, bool>,
    leaves: BTreeSet<ServerId>,
    /// Attempts that the engine took back.
    withdrawn: BTreeSet<(u64, u32)>,
    faults: Vec<String>,
    copies: usize,
    /// The engine is not told of the limits that the auditor holds it to.
    planted: bool,
    /// Clients leave often, and in the very moments in which something of their request is due.
    leavers: bool,
    /// The engine is not told that clients leave.
    deaf: bool,
    /// What was sent of the requests whose clients left.
    left: BTreeMap<&'static str, usize>,
    next: u64,
}

fn zone(uid: &str) -> &'static str {
    if uid.len().is_multiple_of(2) { "a" } else { "b" }
}

impl World {
    fn new(seed: u64) -> World {
        let site = site(seed % 2 == 1);
        World {
            now: START,
            engine: Engine::new(&site, seed, 400),
            site,
            rng: SmallRng::seed_from_u64(seed),
            rules: None,
            out: Vec::new(),
            probes: Vec::new(),
            seen: BTreeMap::new(),
            listed: BTreeMap::new(),
            open: BTreeMap::new(),
            leaves: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            faults: Vec::new(),
            copies: 0,
            planted: false,
            leavers: false,
            deaf: false,
            left: BTreeMap::new(),
            next: 0,
        }
    }

    fn fault(&mut self, what: String) {
        self.faults.push(format!("{} ms: {what}", (self.now - START) / MS));
    }

    fn tell(&mut self, input: Input<u64, u64>) {
        let mut out = Vec::new();
        self.engine.input(Time(self.now), input, &mut out);
        self.carry_out(out);
    }

    /// A client leaves: what of its request is still out is taken back, so that nothing of it begins any more.
    fn leaves(&mut self, id: u64) {
        let still: Vec<u32> = self.out.iter().filter(|o| o.request == id).map(|o| o.attempt.0).collect();
        let seen = self.seen.get_mut(&id).unwrap();
        seen.gone = true;
        let moment = match (seen.attempts.len(), still.len()) {
            (0, _) => "nothing",
            (1, _) => "its first attempt",
            (_, 0 | 1) => "a further attempt",
            _ => "two attempts at a time",
        };
        *self.left.entry(moment).or_default() += 1;
        if !self.deaf {
            self.tell(Input::Gone(RequestId(id)));
        }
        for attempt in still {
            if !self.withdrawn.contains(&(id, attempt)) {
                self.fault(format!("request {id}: attempt {attempt} goes on without its client"));
            }
        }
    }

    /// Where clients leave often, this one may, or any of those that wait.
    fn may_leave(&mut self, id: Option<u64>) {
        if !self.leavers || !self.rng.random_bool(0.15) {
            return;
        }
        let waits = |s: &Seen| s.answers == 0 && !s.gone;
        let waiting: Vec<u64> = self.seen.iter().filter(|(_, s)| waits(s)).map(|(id, _)| *id).collect();
        let any = waiting.get(self.rng.random_range(0..waiting.len().max(1))).copied();
        let leaves = id.map_or(any, |id| waiting.contains(&id).then_some(id));
        leaves.into_iter().for_each(|id| self.leaves(id));
    }

    fn wake(&mut self) {
        let mut out = Vec::new();
        self.engine.wake(Time(self.now), &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: Vec<Output<u64, u64>>) {
        for output in out {
            match output {
                Output::Answer { id, answer } => self.answered(id.0, &answer),
                Output::Attempt { id, attempt, server, payload, until, connect } => {
                    assert_eq!(payload, id.0);
                    // A repeat under a key begins before that is forgotten, or not at all.
                    let seen = &self.seen[&id.0];
                    let keyed = matches!(self.site.settings.classes[seen.class].effect, Effect::Keyed { .. });
                    let ran = seen.attempts.iter().find(|(.., ended)| ended.is_none_or(|s| !s.never_ran()));
                    let left = ran
                        .filter(|_| keyed)
                        .map(|(_, first, _)| *first)
                        .map(|first| Span((first + 600 * MS).saturating_sub(self.now)));
                    assert_eq!(connect, left);
                    self.attempted(id.0, attempt, server, until.0);
                }
                Output::Cancel { id, attempt, .. } => {
                    let out = self.out.iter_mut().find(|o| (o.request, o.attempt) == (id.0, attempt));
                    out.into_iter().for_each(|o| (o.ends, o.status) = (self.now, Status::Cancelled));
                }
                // Half of them had not been written whole yet.
                Output::Withdraw { id, attempt, .. } => {
                    let unwritten = self.rng.random_bool(0.5);
                    let out = self.out.iter_mut().find(|o| (o.request, o.attempt) == (id.0, attempt));
                    if let Some(out) = out.filter(|_| unwritten) {
                        (out.ends, out.status) = (self.now, Status::NotSent);
                    }
                    self.withdrawn.insert((id.0, attempt.0));
                }
                Output::Probe { server, asked } => {
                    let ends = self.now + self.rng.random_range(1..30) * MS;
                    self.probes.push((ends, server, asked));
                }
                Output::Open { server, .. } => {
                    if self.open.insert(server, true) == Some(true) {
                        self.fault(format!("{server:?} opened twice"));
                    }
                    self.leaves.remove(&server);
                }
                Output::Listed { server, state, .. } => {
                    if state == State::Ready {
                        self.leaves.remove(&server)
                    } else {
                        self.leaves.insert(server)
                    };
                }
                Output::Close { server } => {
                    if self.out.iter().any(|o| o.server == server) || self.open.remove(&server).is_none() {
                        self.fault(format!("{server:?} closed in use"));
                    }
                }
                Output::Watch | Output::Say { .. } => {}
            }
        }
    }

    fn attempted(&mut self, id: u64, attempt: Attempt, server: ServerId, until: u64) {
        let (now, site) = (self.now, &self.site);
        let mut faults = Vec::new();
        let seen = self.seen.get_mut(&id).unwrap();
        if seen.answers > 0 {
            faults.push("sent after its answer".to_owned());
        }
        if seen.gone {
            faults.push("sent after its client left".to_owned());
        }
        let out = seen.attempts.iter().filter(|(.., ended)| ended.is_none()).count();
        if out > usize::from(site.settings.limits.hedging) {
            faults.push(format!("{} attempts at a time", out + 1));
        }
        self.copies += out;
        if self.leaves.contains(&server) || !self.open.contains_key(&server) {
            faults.push("sent to a server that leaves".into());
        }
        let ran = seen.attempts.iter().find(|(.., ended)| ended.is_none_or(|s| !s.never_ran()));
        match (site.settings.classes[seen.class].effect, ran) {
            (Effect::Unsafe, Some(_)) => faults.push("an effect twice".into()),
            (Effect::Keyed { window, .. }, Some((_, first, _))) if now >= first + window.0 => {
                faults.push("a repeat after its key is forgotten".into());
            }
            (Effect::Unsafe | Effect::Safe | Effect::Keyed { .. }, _) => {}
        }
        if until > seen.gives_up.max(now) {
            faults.push("an attempt outlives its client".into());
        }
        let most = seen.rule.as_ref().and_then(|r| r.attempts).unwrap_or(4).min(4) as usize;
        if seen.attempts.len() >= most {
            faults.push(format!("attempt {} of {most}", seen.attempts.len() + 1));
        }
        let longest = seen.rule.as_ref().and_then(|r| r.attempt_timeout);
        if longest.is_some_and(|longest| until > now + longest.0) {
            faults.push("an attempt over its time".into());
        }
        seen.attempts.push((server, now, None));
        let (takes, status) = match self.rng.random_range(0..20) {
            0 => (5, Status::Error),
            1 => (2, Status::Reset),
            2 => (1, Status::ConnectFailed),
            3 => (1, Status::Rejected),
            4 | 5 => (100_000, Status::Timeout),
            _ => (self.rng.random_range(3..120), Status::Ok),
        };
        let ends = now + takes * MS;
        let (ends, status) = if ends > until { (until, Status::Timeout) } else { (ends, status) };
        self.out.push(Out { request: id, attempt, server, ends, status });
        faults.into_iter().for_each(|fault| self.fault(format!("request {id}: {fault}")));
    }

    fn answered(&mut self, id: u64, answer: &Answer<u64>) {
        let now = self.now;
        let seen = self.seen.get_mut(&id).unwrap();
        seen.answers += 1;
        let mut faults = Vec::new();
        if seen.answers > 1 || seen.gone {
            faults.push("answered twice, or after its client left");
        }
        if now > seen.gives_up {
            faults.push("answered after its client gave up");
        }
        let ran = seen.attempts.iter().any(|(.., ended)| ended.is_none_or(|s| !s.never_ran()));
        let effect = self.site.settings.classes[seen.class].effect;
        if matches!(answer, Answer::Refused { .. }) && ran && effect == Effect::Unsafe {
            faults.push("refused, though it may have run");
        }
        if matches!(answer, Answer::Served(body) if *body != id) {
            faults.push("another request's answer");
        }
        faults.into_iter().for_each(|fault| self.fault(format!("request {id}: {fault}")));
    }

    fn list(&mut self, kind: ListKind, uids: &[String]) {
        let entries = uids.iter().map(|uid| {
            let (state, boot) = self.listed[uid];
            let port = 1 + uid.len() as u16;
            let endpoint = (state != State::Removed).then(|| ([127, 0, 0, 1], port).into());
            let (zone, model) = (zone(uid).to_owned(), String::new());
            let (uid, weight) = (uid.clone(), 1.0);
            Entry { uid, endpoint, zone, model, cell: 0, state, weight, boot_ms: boot / MS }
        });
        let delivery = Delivery { kind, rev: 1, entries: entries.collect(), odd: Vec::new() };
        self.tell(Input::Listed(delivery));
    }

    fn ask(&mut self) {
        let (id, class) = (self.next, self.rng.random_range(0..3_usize));
        self.next += 1;
        let path = format!("/{}", self.site.classes[class]);
        let method = if class == 0 { "GET" } else { "POST" };
        let none = |_: &str| None;
        let facts = Facts { path: &path, method, class: class as u32, tenant: 0, header: &none };
        let rule = self.rules.as_ref().map(|rules| rules.find(&facts).clone());
        let wait = Span(self.rng.random_range(50..740) * MS);
        let seen = Seen { class, gives_up: self.now + wait.0, rule: rule.clone(), ..Seen::default() };
        self.seen.insert(id, seen);
        let (class, hint) = (class as u32, None);
        let rule = rule.filter(|_| !self.planted);
        let ask = Ask { class, tenant: 0, wait, hint, key: None, repeat: false, rule };
        self.tell(Input::Request { id: RequestId(id), ask, received: Time(self.now), payload: id });
        self.caps();
        self.may_leave(Some(id));
    }

    /// What is in hand of each route, counted from answers alone.
    fn caps(&mut self) {
        let mut hand: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        for seen in self.seen.values().filter(|s| s.answers == 0 && !s.gone) {
            let Some(rule) = &seen.rule else { continue };
            let (count, most) = hand.entry(&rule.name).or_insert((0, u32::MAX));
            *count += 1;
            // Requests taken under an older file keep its cap: the widest counts.
            *most = if *most == u32::MAX {
                rule.max_in_hand.unwrap_or(u32::MAX - 1)
            } else {
                (*most).max(rule.max_in_hand.unwrap_or(u32::MAX - 1))
            };
        }
        let over: Vec<String> = hand
            .iter()
            .filter(|(_, (count, most))| count > most)
            .map(|(name, c)| format!("{name}: {c:?}"))
            .collect();
        over.into_iter().for_each(|over| self.fault(format!("over its cap: {over}")));
    }

    fn run_to(&mut self, end: u64) {
        loop {
            let due = self.engine.due().map_or(u64::MAX, |t| t.0);
            let ends = self.out.iter().map(|o| o.ends).chain(self.probes.iter().map(|p| p.0)).min();
            let next = due.min(ends.unwrap_or(u64::MAX)).max(self.now);
            // A client whose time is over leaves.
            let leaves =
                self.seen.iter().filter(|(_, s)| s.answers == 0 && !s.gone).map(|(id, s)| (s.gives_up, *id));
            let leaves = leaves.min().filter(|(at, _)| *at < next.min(end));
            if let Some((at, id)) = leaves {
                self.now = at.max(self.now);
                self.fault(format!("request {id} had no answer in time"));
                self.leaves(id);
                continue;
            }
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            self.may_leave(None);
            self.wake();
            let ends = self.out.iter().find(|o| o.ends <= next).map(|o| o.request);
            ends.into_iter().for_each(|id| self.may_leave(Some(id)));
            if let Some(n) = self.out.iter().position(|o| o.ends <= next) {
                let Out { request, attempt, server, status, .. } = self.out.remove(n);
                let seen = self.seen.get_mut(&request).unwrap();
                seen.attempts[attempt.0 as usize].2 = Some(status);
                let latency = Span(next - seen.attempts[attempt.0 as usize].1);
                let body = (status == Status::Ok).then_some(request);
                let ended = Ended { status, latency, load: vec![1.0], body };
                self.tell(Input::Ended { id: RequestId(request), attempt, server, ended });
            }
            if let Some(n) = self.probes.iter().position(|p| p.0 <= next) {
                let (_, server, asked) = self.probes.remove(n);
                let load = vec![f64::from(self.rng.random_range(0..4_u32))];
                let ended = Ended { status: Status::Ok, latency: Span(MS), load, body: None };
                self.tell(Input::Probed { server, asked, ended });
            }
        }
    }

    fn change(&mut self) {
        let uids: Vec<String> = self.listed.keys().cloned().collect();
        match self.rng.random_range(0..30) {
            0 if !uids.is_empty() => {
                let uid = uids[self.rng.random_range(0..uids.len())].clone();
                let entry = self.listed.get_mut(&uid).unwrap();
                entry.0 = match entry.0 {
                    State::Ready => State::Draining,
                    State::Draining | State::Removed => State::Removed,
                };
                self.list(ListKind::Changes, &[uid]);
                let gone = |(_, (state, _)): &(&String, &(State, u64))| *state == State::Removed;
                let gone: Vec<String> = self.listed.iter().filter(gone).map(|(uid, _)| uid.clone()).collect();
                self.listed.retain(|uid, _| !gone.contains(uid));
            }
            1 | 2 if uids.len() < 8 => {
                let uid = format!("s{}", "x".repeat(self.rng.random_range(1..400)));
                self.listed.entry(uid.clone()).or_insert((State::Ready, self.now));
                self.list(ListKind::Changes, &[uid]);
            }
            3 if !uids.is_empty() => self.list(ListKind::Full, &uids),
            4 => {
                let text = FILES[self.rng.random_range(0..FILES.len())];
                if let (_, Some(rules)) = check(text, &self.site) {
                    let rules = Arc::new(rules);
                    self.tell(Input::Rules(rules.clone()));
                    self.rules = Some(rules);
                }
            }
            5 => {
                let open = self.seen.iter().filter(|(_, s)| s.answers == 0 && !s.gone).map(|(id, _)| *id);
                if let Some(id) = open.max() {
                    self.leaves(id);
                }
            }
            _ => self.ask(),
        }
    }
}

fn day(seed: u64) -> (Vec<String>, usize, usize, usize) {
    play(World::new(seed))
}

fn play(mut world: World) -> (Vec<String>, usize, usize, usize) {
    whole_day(&mut world);
    let served = world.seen.values().filter(|s| s.attempts.iter().any(|a| a.2 == Some(Status::Ok))).count();
    (world.faults, served, world.seen.len(), world.copies)
}

fn whole_day(world: &mut World) {
    for n in 0..5 {
        world.listed.insert(format!("s{}", "x".repeat(n)), (State::Ready, 0));
    }
    let uids: Vec<String> = world.listed.keys().cloned().collect();
    world.list(ListKind::Cached, &uids);
    for _ in 0..600 {
        let to = world.now + world.rng.random_range(0..6) * MS;
        world.run_to(to);
        world.change();
    }
    // A jump of the clock: all that waits is due at once.
    let jump = world.now + world.rng.random_range(0..3000) * MS;
    world.run_to(jump);
    let end = world.now + 3000 * MS;
    world.run_to(end);
    if world.engine.in_hand() > 0 {
        let held = world.engine.in_hand();
        world.fault(format!("{held} entries are never given back"));
    }
    let unanswered = world.seen.values().filter(|s| s.answers == 0 && !s.gone).count();
    if unanswered > 0 {
        world.fault(format!("{unanswered} requests wait for ever"));
    }
}

#[test]
fn random_days_under_changing_files_keep_the_rules_and_the_limits() {
    let (mut served, mut asked, mut copied) = (0, 0, 0);
    for seed in 0..120 {
        let (faults, s, a, c) = day(seed);
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
        (served, asked, copied) = (served + s, asked + a, copied + c);
    }
    assert!(copied > 100, "only {copied} second copies went out");
    assert!(served * 3 > asked, "only {served} of {asked} were served: the days show nothing");
}

#[test]
fn the_auditor_finds_an_engine_that_is_blind_to_its_limits() {
    let blind = |seed| World { planted: true, ..World::new(seed) };
    let faults: Vec<String> = (0..20).flat_map(|seed| play(blind(seed)).0).collect();
    for what in ["over its cap", "an attempt over its time", "attempt 2 of 1"] {
        assert!(faults.iter().any(|fault| fault.contains(what)), "'{what}' is not found");
    }
}

#[test]
fn the_same_seed_gives_the_same_day() {
    assert_eq!(day(7), day(7));
}

/// A client that has gone: nothing of its request begins any more, whatever was out, held or due of it.
#[test]
fn nothing_of_a_request_is_sent_once_its_client_has_left() {
    let mut left: BTreeMap<&str, usize> = BTreeMap::new();
    for seed in 0..200 {
        let mut world = World { leavers: true, ..World::new(seed) };
        whole_day(&mut world);
        assert!(world.faults.is_empty(), "seed {seed}: {:#?}", world.faults);
        world.left.into_iter().for_each(|(moment, count)| *left.entry(moment).or_default() += count);
    }
    for moment in ["nothing", "its first attempt", "a further attempt", "two attempts at a time"] {
        let count = left.get(moment).copied().unwrap_or_default();
        assert!(count >= 100, "only {count} left when {moment} was sent: {left:?}");
    }
}

#[test]
fn the_auditor_finds_an_engine_that_is_not_told_that_clients_left() {
    let deaf = |seed| World { leavers: true, deaf: true, ..World::new(seed) };
    let faults: Vec<String> = (0..20).flat_map(|seed| play(deaf(seed)).0).collect();
    for what in ["sent after its client left", "goes on without its client"] {
        assert!(faults.iter().any(|fault| fault.contains(what)), "'{what}' is not found");
    }
}
