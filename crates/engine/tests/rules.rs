//! Randomised tests of the engine on a simulated clock. Limits files change while it runs, and servers stall, fail,
//! drain and leave. An auditor that sees only inputs and outputs checks the four safety rules and the limits.

use dunlincleat::api::{Attempt, Effect, ListKind, RequestId, ServerId, Span, State, Status, Time};
use dunlincleat_directory::{Delivery, Entry};
use dunlincleat_engine::{Answer, Completion, Engine, Input, Output, PoolId, RequestInfo};
use dunlincleat_limits::{RequestAttributes, Rule, RuleSet, check};
use dunlincleat_settings::{ClassLease, InstanceSettings, read};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MS: u64 = 1000;
const START: u64 = 1_800_000_000_000_000;

fn site(copies: bool) -> InstanceSettings {
    let text = r#"{"zones":["a","b"],"tenants":[{"name":"t"}],"stats":{"fields":["inflight"],"how":"inline"},
        "limits":{"try_limit":4,"parallel_tries":COPIES,"cancel":true,"probes":true,"connect_timeout":100000,"max_open":400},
        "classes":[
          {"name":"read","aim":300000,"deadline":740000,"gain":1.0,"late_worth":0.5,"semantics":"retryable"},
          {"name":"pay","aim":300000,"deadline":740000,"gain":1.0,"semantics":"dedup","group":"zone","window":600000},
          {"name":"move","aim":300000,"deadline":740000,"gain":1.0,"semantics":"fragile"}],
        "safety":{"cold":1000000,"cold_from":0.3}}"#;
    read(&text.replace("COPIES", &copies.to_string())).unwrap()
}

/// Limits files that are applied in random order; the last two are always rejected.
const FILES: [&str; 7] = [
    "",
    "[defaults]\nattempts = 2\nattempt_timeout = '150ms'\nmax_in_hand = 12",
    "[defaults]\nattempts = 3\nretry_budget = { part = 0.1, least_per_s = 1 }\n\
     [[route]]\nname = 'reads'\nmatch = { class = 'read' }\npool = 'a'\ntimeout = '250ms'\n\
     [[pool]]\nname = 'a'\nzones = ['a']\nfall_back = ['b']\nleast_healthy = 0.5\n[[pool]]\nname = 'b'\nzones = ['b']",
    "[[route]]\nname = 'moves'\nmatch = { class = 'move' }\nattempts = 1\nmax_waiting = 3\npriority = 2\n\
     [[route]]\nname = 'reads'\nmatch = { class = 'read' }\nmax_in_hand = 5\nattempt_timeout = '90ms'",
    // Rejected if the settings do not allow hedged requests.
    "[[route]]\nname = 'reads'\nmatch = { class = 'read' }\nsecond_copy = { after = '40ms' }\n\
     retry_budget = { part = 0.3 }\n\
     [[route]]\nname = 'pays'\nmatch = { class = 'pay' }\nattempts = 2\ntimeout = '500ms'\nsecond_copy = { after_quantile = 0.6 }",
    "[defaults]\ntimeout = '9s'",
    "[defaults]\nattempts = 99",
];

struct InFlight {
    request: u64,
    attempt: Attempt,
    server: ServerId,
    ends: u64,
    status: Status,
}

/// An attempt as the auditor saw it.
struct AttemptRecord {
    sent_at: u64,
    /// Status at its end.
    status: Option<Status>,
}

impl AttemptRecord {
    /// The attempt may have run, or may still run.
    fn may_have_run(&self) -> bool {
        self.status.is_none_or(|status| !status.never_ran())
    }
}

struct ProbeInFlight {
    ends: u64,
    server: ServerId,
    pool: PoolId,
}

/// A server as last listed.
struct ListedServer {
    state: State,
    booted_at: u64,
}

/// What a run showed.
#[derive(Debug, PartialEq)]
struct RunResult {
    violations: Vec<String>,
    served: usize,
    requests: usize,
    hedges: usize,
}

#[derive(Default)]
struct RequestRecord {
    class: usize,
    client_deadline: u64,
    rule: Option<Arc<Rule>>,
    answers: u32,
    client_left: bool,
    attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    fn is_open(&self) -> bool {
        self.answers == 0 && !self.client_left
    }
}

struct World {
    now: u64,
    site: InstanceSettings,
    engine: Engine<u64, u64>,
    rng: SmallRng,
    rules: Option<Arc<RuleSet>>,
    in_flight: Vec<InFlight>,
    probes: Vec<ProbeInFlight>,
    requests: BTreeMap<u64, RequestRecord>,
    /// Listed servers by name.
    listed: BTreeMap<String, ListedServer>,
    open: BTreeMap<ServerId, bool>,
    leaving: BTreeSet<ServerId>,
    /// Attempts that the engine withdrew.
    withdrawn: BTreeSet<(u64, u32)>,
    violations: Vec<String>,
    hedges: usize,
    /// Injected fault: the engine does not receive the limits that the auditor checks.
    hide_limits: bool,
    /// Clients leave often, and at the moments when something of their request is due.
    clients_leave_often: bool,
    /// Injected fault: the engine is not notified that clients leave.
    hide_departures: bool,
    /// Number of clients that left, by what of their request had been sent.
    departures: BTreeMap<&'static str, usize>,
    next_id: u64,
}

fn zone_of(uid: &str) -> &'static str {
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
            in_flight: Vec::new(),
            probes: Vec::new(),
            requests: BTreeMap::new(),
            listed: BTreeMap::new(),
            open: BTreeMap::new(),
            leaving: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            violations: Vec::new(),
            hedges: 0,
            hide_limits: false,
            clients_leave_often: false,
            hide_departures: false,
            departures: BTreeMap::new(),
            next_id: 0,
        }
    }

    fn report(&mut self, what: String) {
        self.violations.push(format!("{} ms: {what}", (self.now - START) / MS));
    }

    fn input(&mut self, input: Input<u64, u64>) {
        let mut outputs = Vec::new();
        self.engine.input(Time(self.now), input, &mut outputs);
        self.carry_out(outputs);
    }

    /// A client leaves. All attempts of its request in flight must be withdrawn, so that none of them starts any more.
    fn client_leaves(&mut self, id: u64) {
        let in_flight: Vec<u32> = self
            .in_flight
            .iter()
            .filter(|flight| flight.request == id)
            .map(|flight| flight.attempt.0)
            .collect();
        let request = self.requests.get_mut(&id).unwrap();
        request.client_left = true;
        let progress = match (request.attempts.len(), in_flight.len()) {
            (0, _) => "nothing",
            (1, _) => "its first attempt",
            (_, 0 | 1) => "a further attempt",
            _ => "two attempts at a time",
        };
        *self.departures.entry(progress).or_default() += 1;
        if !self.hide_departures {
            self.input(Input::ClientLeft(RequestId(id)));
        }
        for attempt in in_flight {
            if !self.withdrawn.contains(&(id, attempt)) {
                self.report(format!("request {id}: attempt {attempt} continues without its client"));
            }
        }
    }

    /// If clients leave often, lets the client of request `id` leave with some probability, or that of any open request
    /// if `id` is none.
    fn may_leave(&mut self, id: Option<u64>) {
        if !self.clients_leave_often || !self.rng.random_bool(0.15) {
            return;
        }
        let waiting: Vec<u64> =
            self.requests.iter().filter(|(_, request)| request.is_open()).map(|(id, _)| *id).collect();
        let any = waiting.get(self.rng.random_range(0..waiting.len().max(1))).copied();
        let leaves = id.map_or(any, |id| waiting.contains(&id).then_some(id));
        if let Some(id) = leaves {
            self.client_leaves(id);
        }
    }

    fn wake(&mut self) {
        let mut outputs = Vec::new();
        self.engine.wake(Time(self.now), &mut outputs);
        self.carry_out(outputs);
    }

    /// Lets an attempt in flight end at the current time.
    fn end_now(&mut self, request: u64, attempt: Attempt, status: Status) {
        let mut in_flight = self.in_flight.iter_mut();
        if let Some(flight) = in_flight.find(|flight| flight.request == request && flight.attempt == attempt)
        {
            flight.ends = self.now;
            flight.status = status;
        }
    }

    fn carry_out(&mut self, outputs: Vec<Output<u64, u64>>) {
        for output in outputs {
            match output {
                Output::Answer { id, answer } => self.check_answer(id.0, &answer),
                Output::Attempt { id, attempt, server, payload, until, connect_timeout } => {
                    assert_eq!(payload, id.0);
                    // A retry with a key must start before the servers forget the key, or not at all.
                    let request = &self.requests[&id.0];
                    let keyed =
                        matches!(self.site.settings.classes[request.class].effect, Effect::Keyed { .. });
                    let may_have_run = request.attempts.iter().find(|attempt| attempt.may_have_run());
                    let left = may_have_run
                        .filter(|_| keyed)
                        .map(|first| Span((first.sent_at + 600 * MS).saturating_sub(self.now)));
                    assert_eq!(connect_timeout, left);
                    self.check_attempt(id.0, attempt, server, until.0);
                }
                Output::Cancel { id, attempt, .. } => {
                    self.end_now(id.0, attempt, Status::Cancelled);
                }
                // Half of the withdrawn attempts had not been written completely.
                Output::Withdraw { id, attempt, .. } => {
                    let unwritten = self.rng.random_bool(0.5);
                    if unwritten {
                        self.end_now(id.0, attempt, Status::NotSent);
                    }
                    self.withdrawn.insert((id.0, attempt.0));
                }
                Output::Probe { server, pool } => {
                    let ends = self.now + self.rng.random_range(1..30) * MS;
                    self.probes.push(ProbeInFlight { ends, server, pool });
                }
                Output::Open { server, .. } => {
                    if self.open.insert(server, true) == Some(true) {
                        self.report(format!("{server:?} opened twice"));
                    }
                    self.leaving.remove(&server);
                }
                Output::UpdateServer { server, state, .. } => {
                    if state == State::Ready {
                        self.leaving.remove(&server)
                    } else {
                        self.leaving.insert(server)
                    };
                }
                Output::Close { server } => {
                    if self.in_flight.iter().any(|flight| flight.server == server)
                        || self.open.remove(&server).is_none()
                    {
                        self.report(format!("{server:?} closed in use"));
                    }
                }
                Output::Watch | Output::Log { .. } => {}
            }
        }
    }

    fn check_attempt(&mut self, id: u64, attempt: Attempt, server: ServerId, until: u64) {
        let now = self.now;
        let site = &self.site;
        let mut violations = Vec::new();
        let request = self.requests.get_mut(&id).unwrap();
        if request.answers > 0 {
            violations.push("sent after its answer".to_owned());
        }
        if request.client_left {
            violations.push("sent after its client left".to_owned());
        }
        let others = request.attempts.iter().filter(|attempt| attempt.status.is_none()).count();
        if others > usize::from(site.settings.limits.hedging) {
            violations.push(format!("{} attempts at a time", others + 1));
        }
        self.hedges += others;
        if self.leaving.contains(&server) || !self.open.contains_key(&server) {
            violations.push("sent to a server that is draining or removed".into());
        }
        let may_have_run = request.attempts.iter().find(|attempt| attempt.may_have_run());
        match (site.settings.classes[request.class].effect, may_have_run) {
            (Effect::Unsafe, Some(_)) => violations.push("an unsafe request sent twice".into()),
            (Effect::Keyed { window, .. }, Some(first)) if now >= first.sent_at + window.0 => {
                violations.push("a retry after its key expired".into());
            }
            (Effect::Unsafe | Effect::Safe | Effect::Keyed { .. }, _) => {}
        }
        if until > request.client_deadline.max(now) {
            violations.push("an attempt that may outlast its client".into());
        }
        let max_attempts = request.rule.as_ref().and_then(|r| r.attempts).unwrap_or(4).min(4) as usize;
        if request.attempts.len() >= max_attempts {
            violations.push(format!("attempt {} of {max_attempts}", request.attempts.len() + 1));
        }
        let attempt_timeout = request.rule.as_ref().and_then(|r| r.attempt_timeout);
        if attempt_timeout.is_some_and(|timeout| until > now + timeout.0) {
            violations.push("an attempt above its timeout".into());
        }
        request.attempts.push(AttemptRecord { sent_at: now, status: None });
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
        self.in_flight.push(InFlight { request: id, attempt, server, ends, status });
        for violation in violations {
            self.report(format!("request {id}: {violation}"));
        }
    }

    fn check_answer(&mut self, id: u64, answer: &Answer<u64>) {
        let now = self.now;
        let request = self.requests.get_mut(&id).unwrap();
        request.answers += 1;
        let mut violations = Vec::new();
        if request.answers > 1 || request.client_left {
            violations.push("answered twice, or after its client left");
        }
        if now > request.client_deadline {
            violations.push("answered after its client gave up");
        }
        let may_have_run = request.attempts.iter().any(AttemptRecord::may_have_run);
        let effect = self.site.settings.classes[request.class].effect;
        if matches!(answer, Answer::Refused { .. }) && may_have_run && effect == Effect::Unsafe {
            violations.push("refused, though it may have run");
        }
        if matches!(answer, Answer::Served(body) if *body != id) {
            violations.push("another request's answer");
        }
        for violation in violations {
            self.report(format!("request {id}: {violation}"));
        }
    }

    fn send_list(&mut self, kind: ListKind, uids: &[String]) {
        let entries = uids.iter().map(|uid| {
            let ListedServer { state, booted_at } = self.listed[uid];
            let port = 1 + uid.len() as u16;
            let endpoint = (state != State::Removed).then(|| ([127, 0, 0, 1], port).into());
            Entry {
                uid: uid.clone(),
                endpoint,
                zone: zone_of(uid).to_owned(),
                model: String::new(),
                cell: 0,
                state,
                weight: 1.0,
                boot_ms: booted_at / MS,
            }
        });
        let delivery = Delivery { kind, rev: 1, entries: entries.collect(), anomalies: Vec::new() };
        self.input(Input::ServerList(delivery));
    }

    fn submit_request(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        let class = self.rng.random_range(0..3_usize);
        let path = format!("/{}", self.site.classes[class]);
        let method = if class == 0 { "GET" } else { "POST" };
        let none = |_: &str| None;
        let facts = RequestAttributes { path: &path, method, class: class as u32, tenant: 0, header: &none };
        let rule = self.rules.as_ref().map(|rules| rules.find(&facts).clone());
        let wait = Span(self.rng.random_range(50..740) * MS);
        let request = RequestRecord {
            class,
            client_deadline: self.now + wait.0,
            rule: rule.clone(),
            ..RequestRecord::default()
        };
        self.requests.insert(id, request);
        let rule = rule.filter(|_| !self.hide_limits);
        let class = ClassLease::fixed(class as u32);
        let info = RequestInfo { class, tenant: 0, wait, hint: None, key: None, repeat: false, rule };
        self.input(Input::Request { id: RequestId(id), info, received: Time(self.now), payload: id });
        self.check_caps();
        self.may_leave(Some(id));
    }

    /// Checks the number of open requests of each route, counted from answers alone, against its cap.
    fn check_caps(&mut self) {
        let mut hand: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        for request in self.requests.values().filter(|request| request.is_open()) {
            let Some(rule) = &request.rule else { continue };
            let (count, most) = hand.entry(&rule.name).or_insert((0, u32::MAX));
            *count += 1;
            // Requests admitted under an older file keep its cap, so the highest cap applies.
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
        for over in over {
            self.report(format!("over its cap: {over}"));
        }
    }

    fn run_to(&mut self, end: u64) {
        loop {
            let due = self.engine.due().map_or(u64::MAX, |t| t.0);
            let ends = self
                .in_flight
                .iter()
                .map(|flight| flight.ends)
                .chain(self.probes.iter().map(|probe| probe.ends))
                .min();
            let next = due.min(ends.unwrap_or(u64::MAX)).max(self.now);
            // A client leaves when it has waited long enough.
            let leaves = self
                .requests
                .iter()
                .filter(|(_, request)| request.is_open())
                .map(|(id, request)| (request.client_deadline, *id));
            let leaves = leaves.min().filter(|(at, _)| *at < next.min(end));
            if let Some((at, id)) = leaves {
                self.now = at.max(self.now);
                self.report(format!("request {id} had no answer in time"));
                self.client_leaves(id);
                continue;
            }
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            self.may_leave(None);
            self.wake();
            let ending = self.in_flight.iter().find(|flight| flight.ends <= next);
            if let Some(id) = ending.map(|flight| flight.request) {
                self.may_leave(Some(id));
            }
            if let Some(n) = self.in_flight.iter().position(|flight| flight.ends <= next) {
                let InFlight { request: id, attempt, server, status, .. } = self.in_flight.remove(n);
                let request = self.requests.get_mut(&id).unwrap();
                let record = &mut request.attempts[attempt.0 as usize];
                record.status = Some(status);
                let latency = Span(next - record.sent_at);
                let body = (status == Status::Ok).then_some(id);
                let completion = Completion { status, latency, load: vec![1.0], body };
                self.input(Input::AttemptEnded { id: RequestId(id), attempt, server, completion });
            }
            if let Some(n) = self.probes.iter().position(|probe| probe.ends <= next) {
                let ProbeInFlight { server, pool, .. } = self.probes.remove(n);
                let load = vec![f64::from(self.rng.random_range(0..4_u32))];
                let completion = Completion { status: Status::Ok, latency: Span(MS), load, body: None };
                self.input(Input::ProbeEnded { server, pool, completion });
            }
        }
    }

    fn random_step(&mut self) {
        let uids: Vec<String> = self.listed.keys().cloned().collect();
        match self.rng.random_range(0..30) {
            0 if !uids.is_empty() => {
                let uid = uids[self.rng.random_range(0..uids.len())].clone();
                let entry = self.listed.get_mut(&uid).unwrap();
                entry.state = match entry.state {
                    State::Ready => State::Draining,
                    State::Draining | State::Removed => State::Removed,
                };
                self.send_list(ListKind::Changes, &[uid]);
                self.listed.retain(|_, server| server.state != State::Removed);
            }
            1 | 2 if uids.len() < 8 => {
                let uid = format!("s{}", "x".repeat(self.rng.random_range(1..400)));
                let new = ListedServer { state: State::Ready, booted_at: self.now };
                self.listed.entry(uid.clone()).or_insert(new);
                self.send_list(ListKind::Changes, &[uid]);
            }
            3 if !uids.is_empty() => self.send_list(ListKind::Full, &uids),
            4 => {
                let text = FILES[self.rng.random_range(0..FILES.len())];
                if let Some(rules) = check(text, &self.site).rules {
                    let rules = Arc::new(rules);
                    self.input(Input::Rules(rules.clone()));
                    self.rules = Some(rules);
                }
            }
            5 => {
                let open = self.requests.iter().filter(|(_, request)| request.is_open()).map(|(id, _)| *id);
                if let Some(id) = open.max() {
                    self.client_leaves(id);
                }
            }
            _ => self.submit_request(),
        }
    }
}

fn run_seed(seed: u64) -> RunResult {
    run(World::new(seed))
}

fn run(mut world: World) -> RunResult {
    run_scenario(&mut world);
    let served = world
        .requests
        .values()
        .filter(|request| request.attempts.iter().any(|attempt| attempt.status == Some(Status::Ok)))
        .count();
    RunResult { violations: world.violations, served, requests: world.requests.len(), hedges: world.hedges }
}

fn run_scenario(world: &mut World) {
    for n in 0..5 {
        let server = ListedServer { state: State::Ready, booted_at: 0 };
        world.listed.insert(format!("s{}", "x".repeat(n)), server);
    }
    let uids: Vec<String> = world.listed.keys().cloned().collect();
    world.send_list(ListKind::Cached, &uids);
    for _ in 0..600 {
        let to = world.now + world.rng.random_range(0..6) * MS;
        world.run_to(to);
        world.random_step();
    }
    // The clock jumps, so that all pending timers expire at once.
    let jump = world.now + world.rng.random_range(0..3000) * MS;
    world.run_to(jump);
    let end = world.now + 3000 * MS;
    world.run_to(end);
    if world.engine.open_requests() > 0 {
        let open_requests = world.engine.open_requests();
        world.report(format!("{open_requests} requests are never removed"));
    }
    let unanswered = world.requests.values().filter(|request| request.is_open()).count();
    if unanswered > 0 {
        world.report(format!("{unanswered} requests are never answered"));
    }
}

#[test]
fn random_runs_with_changing_limits_files_respect_safety_rules_and_limits() {
    let mut served = 0;
    let mut requests = 0;
    let mut hedges = 0;
    for seed in 0..120 {
        let result = run_seed(seed);
        assert!(result.violations.is_empty(), "seed {seed}: {:#?}", result.violations);
        served += result.served;
        requests += result.requests;
        hedges += result.hedges;
    }
    assert!(hedges > 100, "only {hedges} hedged requests were sent");
    assert!(
        served * 3 > requests,
        "only {served} of {requests} were served: too few for the runs to be meaningful"
    );
}

#[test]
fn auditor_detects_engine_without_limits() {
    let without_limits = |seed| World { hide_limits: true, ..World::new(seed) };
    let violations: Vec<String> = (0..20).flat_map(|seed| run(without_limits(seed)).violations).collect();
    for what in ["over its cap", "an attempt above its timeout", "attempt 2 of 1"] {
        assert!(
            violations.iter().any(|violation| violation.contains(what)),
            "no violation '{what}' was reported"
        );
    }
}

#[test]
fn same_seed_gives_same_run() {
    assert_eq!(run_seed(7), run_seed(7));
}

/// Once its client has left, no attempt of a request may start, whether it is in flight, queued or due.
#[test]
fn no_attempt_starts_after_the_client_left() {
    let mut left: BTreeMap<&str, usize> = BTreeMap::new();
    for seed in 0..200 {
        let mut world = World { clients_leave_often: true, ..World::new(seed) };
        run_scenario(&mut world);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        for (progress, count) in world.departures {
            *left.entry(progress).or_default() += count;
        }
    }
    for progress in ["nothing", "its first attempt", "a further attempt", "two attempts at a time"] {
        let count = left.get(progress).copied().unwrap_or_default();
        assert!(count >= 100, "only {count} left when {progress} was sent: {left:?}");
    }
}

#[test]
fn auditor_detects_engine_that_is_not_notified_of_departures() {
    let without_departures =
        |seed| World { clients_leave_often: true, hide_departures: true, ..World::new(seed) };
    let violations: Vec<String> = (0..20).flat_map(|seed| run(without_departures(seed)).violations).collect();
    for what in ["sent after its client left", "continues without its client"] {
        assert!(
            violations.iter().any(|violation| violation.contains(what)),
            "no violation '{what}' was reported"
        );
    }
}
