//! What the parts of a sidecar cost without its sockets: the follower of discovery, the settings, the engine and the
//! decision module, called as the sidecar's actors call them. Processor time is this thread's.

use super::list::{OF_A_SERVICE, change, entry, line, listing, pools, rules, settings, site};
use super::{Context, cpu};
use crate::memory::allocated;
use anyhow::{Result, bail};
use dunlincleat::api::{Discovery, RequestId, Span, State, Status, Time};
use dunlincleat_directory::{
    Ask as Call, Cause, Figures, Follower, Input as Word, Lines, Listing, Output as Wants, WatchId,
};
use dunlincleat_engine::{Ask, Ended, Engine, Input, Output};
use dunlincleat_limits::{Rule, check};
use dunlincleat_settings::{Site, Succession, read};
use std::hint::black_box;
use std::sync::Arc;

/// When it begins: far from 0, which means long ago.
const BEGIN: Time = Time(1_800_000_000_000_000);
/// A sidecar's calls a second in the plan, 690,000 over 3,100.
pub const CALLS: f64 = 223.0;
/// Requests that are timed behind one step of a window, and the time between them: all within the patience of a
/// request, a fiftieth of its aim, or the module would close the window before the next of them.
const BURST: u64 = 25;
const APART: Span = Span(200);
/// A window: a quarter of the tightest aim.
const WINDOW: Span = Span(75_000);
/// Classes of the plan's settings.
const CLASSES: usize = 1;

/// A sidecar's control path without sockets.
struct Sidecar {
    follower: Follower,
    engine: Engine<u64, u64>,
    now: Time,
    watch: WatchId,
    lines: Lines,
    wants: Vec<Wants>,
    out: Vec<Output<u64, u64>>,
    rules: Vec<Arc<Rule>>,
    id: u64,
    /// The load that a server reports.
    load: fn(u32) -> f64,
}

impl Sidecar {
    /// One that knows so many servers, calls so many services by pools of their own, and follows a watch.
    fn start(site: &Site, seed: u64, servers: usize, services: usize) -> Result<Sidecar> {
        let figures = Figures::derive(Span(2_000_000), Span(6_000_000), Span(1_000_000));
        let at = ([127, 0, 0, 1], 8500).into();
        let (follower, known) =
            Follower::new(BEGIN, figures, Discovery::Pushed, at, seed, listing(servers, 1));
        let engine = Engine::new(site, seed, 10_000);
        let (wants, out, lines) = (Vec::new(), Vec::new(), Lines::default());
        let (now, watch, load) = (BEGIN, WatchId(0), (|_| 1.0) as fn(u32) -> f64);
        let rules_of = (services > 0).then(|| rules(services, site)).transpose()?;
        let mut sidecar =
            Sidecar { follower, engine, now, watch, lines, wants, out, rules: Vec::new(), id: 0, load };
        sidecar.tell(Input::Listed(known));
        if let Some(rules) = rules_of {
            sidecar.rules =
                rules.rules().filter(|rule| rule.name != rules.default_rule().name).cloned().collect();
            if sidecar.rules.len() != services {
                bail!("{} routes for {services} services", sidecar.rules.len());
            }
            sidecar.tell(Input::Rules(Arc::new(rules)));
        }
        sidecar.follower.wake(sidecar.now, &mut sidecar.wants);
        sidecar.take_calls();
        let watch = sidecar.watch;
        sidecar.word(Word::Opened(watch));
        sidecar.read(b"{\"rev\":1,\"all\":false,\"targets\":[]}\n")?;
        Ok(sidecar)
    }

    fn tell(&mut self, input: Input<u64, u64>) {
        self.out.clear();
        self.engine.input(self.now, input, &mut self.out);
        black_box(&self.out);
    }

    /// Remembers the watch that was opened last, and hands on what was delivered.
    fn take_calls(&mut self) -> Vec<(WatchId, Call)> {
        let mut calls = Vec::new();
        for want in std::mem::take(&mut self.wants) {
            match want {
                Wants::Open { watch, ask, .. } => {
                    self.watch = if ask == Call::Check { self.watch } else { watch };
                    calls.push((watch, ask));
                }
                Wants::Deliver(delivery) => {
                    self.tell(Input::Listed(delivery));
                    // The shell counts them for its figures after each list.
                    black_box(self.engine.listed_now());
                }
                Wants::Close(_) | Wants::Failed | Wants::Lost { .. } | Wants::Followed { .. } => {}
            }
        }
        calls
    }

    /// Tells the follower, and looks at its health as the shell does after each word.
    fn word(&mut self, word: Word) -> Vec<(WatchId, Call)> {
        self.follower.input(self.now, word, &mut self.wants);
        let calls = self.take_calls();
        black_box(self.follower.health());
        calls
    }

    /// Bytes of the watch come.
    fn read(&mut self, bytes: &[u8]) -> Result<Vec<(WatchId, Call)>> {
        let mut calls = Vec::new();
        let Ok(lines) = self.lines.take(bytes) else { bail!("a line is too long") };
        for line in lines {
            let listing = if line.is_empty() { None } else { Some(Listing::decode(&line)?) };
            let watch = self.watch;
            calls.extend(self.word(Word::Line(watch, listing)));
        }
        Ok(calls)
    }

    /// One request, answered at once after 5 ms of its own clock; the probes that went out with it, which are
    /// answered first.
    fn request(&mut self) -> u64 {
        self.id += 1;
        let id = RequestId(self.id);
        let rule = match self.rules.len() as u64 {
            0 => None,
            n => Some(self.rules[(self.id % n) as usize].clone()),
        };
        let ask = Ask { wait: Span(740_000), rule, ..Ask::default() };
        let mut out = std::mem::take(&mut self.out);
        out.clear();
        self.engine.input(
            self.now,
            Input::Request { id, ask, received: self.now, payload: self.id },
            &mut out,
        );
        let mut probes = 0;
        let mut done = 0;
        while done < out.len() {
            let load = |server: u32| vec![(self.load)(server), 0.0, 0.4];
            let input = match &out[done] {
                Output::Probe { server, asked } => {
                    probes += 1;
                    let load = load(server.0);
                    let ended = Ended { status: Status::Ok, latency: Span(500), load, body: None };
                    Some(Input::Probed { server: *server, asked: *asked, ended })
                }
                Output::Attempt { id, attempt, server, .. } => {
                    let load = load(server.0);
                    let ended = Ended { status: Status::Ok, latency: Span(5000), load, body: Some(self.id) };
                    Some(Input::Ended { id: *id, attempt: *attempt, server: *server, ended })
                }
                _ => None,
            };
            done += 1;
            if let Some(input) = input {
                self.engine.input(self.now, input, &mut out);
            }
        }
        self.out = out;
        probes
    }

    /// Requests at the plan's rate, with the timers that are due between them.
    fn serve(&mut self, requests: usize) {
        for _ in 0..requests {
            let next = self.now + Span((1e6 / CALLS) as u64);
            while let Some(due) = self.engine.due().filter(|due| *due <= next) {
                self.now = self.now.max(due);
                self.wake();
            }
            self.now = next;
            self.request();
        }
    }

    fn wake(&mut self) {
        self.out.clear();
        self.engine.wake(self.now, &mut self.out);
        black_box(&self.out);
    }

    /// Served until each server that is called has been asked a few times: the first requests know no loads.
    fn warm(&mut self, servers: usize) {
        let called = if self.rules.is_empty() { servers } else { self.rules.len() * OF_A_SERVICE };
        self.serve((2 * called).max(500));
    }
}

/// A value is measured in so many parts, of which the least counts: what disturbs a machine only ever adds.
const PARTS: usize = 5;

/// The least of several parts, value by value.
fn least(mut part: impl FnMut() -> Result<Vec<f64>>) -> Result<Vec<f64>> {
    let mut least = part()?;
    for _ in 1..PARTS {
        for (least, value) in least.iter_mut().zip(part()?) {
            *least = least.min(value);
        }
    }
    Ok(least)
}

/// A sidecar in service: a decision, the steps of one window over all its modules, and a request at the plan's rate with
/// the steps that are brought forward for it.
fn in_service(context: &Context, servers: usize, services: usize) -> Result<Vec<f64>> {
    let mut sidecar = Sidecar::start(&site(CLASSES, false)?, context.seed, servers, services)?;
    sidecar.warm(servers);
    let effort = context.effort / PARTS as f64;
    least(|| {
        let (mut decisions, mut steps, mut counted) = (0.0_f64, 0.0_f64, 0u64);
        let (begun, all) = (sidecar.now, 4 * services.max(1) as u64);
        // Bounded where one of the two is hardly anything beside the other.
        while counted < all || decisions.min(steps) < effort && decisions + steps < 4.0 * effort {
            let Some(due) = sidecar.engine.due() else { bail!("no window is due") };
            sidecar.now = sidecar.now.max(due);
            let first = cpu();
            sidecar.wake();
            steps += cpu() - first;
            counted += 1;
            // One that finds its window old has it closed; that is a step, and not counted to the decisions.
            for _ in 0..services.max(1) {
                sidecar.request();
            }
            let first = cpu();
            for _ in 0..BURST {
                sidecar.now = sidecar.now + APART;
                sidecar.request();
            }
            decisions += cpu() - first;
        }
        let windows = (sidecar.now - begun).as_f64() / WINDOW.as_f64();
        let (mut requests, first) = (0, cpu());
        while cpu() - first < effort || requests < 100 {
            sidecar.serve(100);
            requests += 100;
        }
        let request = (cpu() - first) / f64::from(requests);
        Ok(vec![decisions / (counted * BURST) as f64, steps / windows, request])
    })
}

/// All servers in one module.
pub fn path(context: &Context, servers: usize) -> Result<Vec<f64>> {
    in_service(context, servers, 0)
}

/// Requests to one pool of six servers.
pub fn path_in_pool(context: &Context, servers: usize) -> Result<Vec<f64>> {
    in_service(context, servers, 1)
}

/// Requests to so many pools of six servers in turn, of all servers that are known.
pub fn path_by_services(context: &Context, services: usize) -> Result<Vec<f64>> {
    in_service(context, context.many, services)
}

/// Bytes that a sidecar's state holds: the follower, the engine and its modules.
fn held(context: &Context, servers: usize, services: usize) -> Result<f64> {
    let site = site(CLASSES, false)?;
    let before = allocated();
    let mut sidecar = Sidecar::start(&site, context.seed, servers, services)?;
    sidecar.serve(500);
    let held = allocated().saturating_sub(before);
    drop(sidecar);
    Ok(held as f64)
}

/// State by servers.
pub fn state(context: &Context, servers: usize) -> Result<Vec<f64>> {
    Ok(vec![held(context, servers, 0)?])
}

/// State by services.
pub fn state_by_services(context: &Context, services: usize) -> Result<Vec<f64>> {
    Ok(vec![held(context, context.many, services)?])
}

/// A thing is done again and again until it has taken the processor time that is to be measured; its time for one.
fn timed(context: &Context, mut once: impl FnMut(u64) -> Result<()>) -> Result<f64> {
    once(0)?;
    let mut n = 0;
    let each = least(|| {
        let (before, first) = (n, cpu());
        while cpu() - first < context.effort / PARTS as f64 || n - before < 4 {
            n += 1;
            once(n)?;
        }
        Ok(vec![(cpu() - first) / (n - before) as f64])
    })?;
    Ok(each[0])
}

/// A change of one server, and the whole list, as lines of a watch: taken in by the follower and handed to the engine.
pub fn words(context: &Context, servers: usize) -> Result<Vec<f64>> {
    let mut sidecar = Sidecar::start(&site(CLASSES, false)?, context.seed, servers, 0)?;
    // Told beforehand: what discovery spends on its words is not the sidecar's.
    let changes: Vec<String> = (0..2 * servers.min(200) as u64)
        .map(|n| {
            let state = if n.is_multiple_of(2) { State::Draining } else { State::Ready };
            change(n as usize / 2, state, 2)
        })
        .collect();
    let applied = timed(context, |n| {
        sidecar.now = sidecar.now + Span(1000);
        let word = &changes[n as usize % changes.len()];
        sidecar.read(word.as_bytes()).map(drop)
    })?;
    let whole = line(&listing(servers, 3));
    let taken = timed(context, |_| {
        sidecar.now = sidecar.now + Span(1000);
        sidecar.read(whole.as_bytes()).map(drop)
    })?;
    Ok(vec![applied, changes[0].len() as f64, taken, whole.len() as f64])
}

/// What a second with so many changes takes, of a sidecar that knows all servers, and the bytes that come.
pub fn changes(context: &Context, a_second: usize) -> Result<Vec<f64>> {
    let mut sidecar = Sidecar::start(&site(CLASSES, false)?, context.seed, context.many, 0)?;
    let mut rev = 1;
    let mut told = |sidecar: &mut Sidecar, n: usize| -> Result<usize> {
        rev += 1;
        let state = if n.is_multiple_of(2) { State::Draining } else { State::Ready };
        let word = change((n / 2) % context.many, state, rev);
        sidecar.now = sidecar.now + Span(1_000_000 / a_second as u64);
        sidecar.read(word.as_bytes())?;
        Ok(word.len())
    };
    let mut n = 0;
    least(|| {
        let (mut seconds, mut bytes, first) = (0.0, 0, cpu());
        while cpu() - first < context.effort / PARTS as f64 || seconds < 1.0 {
            for _ in 0..a_second {
                bytes += told(&mut sidecar, n)?;
                n += 1;
            }
            seconds += 1.0;
        }
        let took = (cpu() - first) / 1e6;
        Ok(vec![took / seconds, bytes as f64 / seconds])
    })
}

/// A watch breaks and is opened anew, at a discovery where nothing changed: what the follower asks for until it rests.
pub fn reconnect(context: &Context, servers: usize) -> Result<Vec<f64>> {
    let mut sidecar = Sidecar::start(&site(CLASSES, false)?, context.seed, servers, 0)?;
    let whole = line(&listing(servers, 1));
    let (mut bytes, mut messages, mut breaks) = (0, 0, 0);
    let (mut took, mut least) = (0.0, f64::INFINITY);
    while took < context.effort || breaks < PARTS as u32 {
        breaks += 1;
        let first = cpu();
        let broken = sidecar.watch;
        let mut calls = sidecar.word(Word::Ended(broken, Cause::Broke("reset".to_owned())));
        // Until the bound of a word is over nothing more comes of a break.
        let rests = sidecar.now + Span(8_000_000);
        let mut speaks = sidecar.now;
        while sidecar.now < rests {
            for (watch, ask) in std::mem::take(&mut calls) {
                // The call and its answer.
                messages += 2;
                let after = br#"{"rev":1,"all":false,"targets":[]}"#;
                match ask {
                    Call::After(_) => {
                        bytes += after.len() + 1;
                        sidecar.word(Word::Opened(watch));
                        speaks = sidecar.now;
                        let listing = Listing::decode(after)?;
                        calls.extend(sidecar.word(Word::Line(watch, Some(listing))));
                    }
                    Call::Whole | Call::Check => {
                        bytes += whole.len();
                        let listing = Listing { whole: true, ..Listing::decode(whole.as_bytes())? };
                        calls.extend(sidecar.word(Word::Line(watch, Some(listing))));
                        if ask == Call::Whole {
                            bail!("the whole list was asked for before a watch");
                        }
                    }
                }
            }
            // Its signs of life, which come with or without a break and are not counted to it.
            let life = speaks + Span(2_000_000);
            sidecar.now =
                sidecar.follower.due().unwrap_or(life).min(life).min(rests).max(sidecar.now + Span(1));
            if sidecar.now >= life {
                speaks = life;
                calls.extend(sidecar.read(b"\n")?);
            }
            sidecar.follower.wake(sidecar.now, &mut sidecar.wants);
            calls.extend(sidecar.take_calls());
        }
        least = least.min(cpu() - first);
        took += cpu() - first;
    }
    let each = f64::from(breaks);
    Ok(vec![bytes as f64 / each, f64::from(messages) / each, least])
}

/// New settings and the operator's file, read, proved and handed to the engine, as on SIGHUP but for the file around
/// them.
fn taken_up(context: &Context, servers: usize, services: usize, classes: usize) -> Result<f64> {
    let first = site(classes, false)?;
    let mut sidecar = Sidecar::start(&first, context.seed, servers, services)?;
    sidecar.serve(200);
    let (settings, file) = (settings(classes, false), pools(services));
    let mut held = Arc::new(first);
    let mut succession = Succession::default();
    timed(context, |n| {
        sidecar.now = sidecar.now + Span(1_000_000);
        // Another figure each time: nothing may be spared for being alike.
        let settings = settings.replace("\"cold\":1000000", &format!("\"cold\":{}", 1_000_000 + n));
        let (site, _) = succession.follow(sidecar.now, &held, read(&settings)?);
        held = Arc::new(site);
        let rules = check(&file, &held).1;
        sidecar.tell(Input::Settings { site: held.clone(), watched: None });
        if let Some(rules) = rules.filter(|_| services > 0) {
            sidecar.tell(Input::Rules(Arc::new(rules)));
        }
        Ok(())
    })
}

/// Settings by servers.
pub fn settings_by_servers(context: &Context, servers: usize) -> Result<Vec<f64>> {
    Ok(vec![taken_up(context, servers, 0, CLASSES)?])
}

/// Settings by classes.
pub fn settings_by_classes(context: &Context, classes: usize) -> Result<Vec<f64>> {
    Ok(vec![taken_up(context, 60.min(context.many), 0, classes)?])
}

/// Settings by services, each with a pool.
pub fn settings_by_services(context: &Context, services: usize) -> Result<Vec<f64>> {
    Ok(vec![taken_up(context, context.many, services, CLASSES)?])
}

/// Probes of one round, where probes cost nothing, with each second server busy and with all of them.
pub fn probes(context: &Context, servers: usize) -> Result<Vec<f64>> {
    let round = |load: fn(u32) -> f64| -> Result<f64> {
        let mut sidecar = Sidecar::start(&site(CLASSES, true)?, context.seed, servers, 0)?;
        sidecar.load = load;
        let (mut probes, mut rounds) = (0, 0);
        for n in 0..400 {
            sidecar.now = sidecar.now + Span(10_000);
            let sent = sidecar.request();
            // What part of the servers is busy is learnt by probes.
            if n >= 200 && sent > 0 {
                (probes, rounds) = (probes + sent, rounds + 1);
            }
        }
        Ok(probes as f64 / f64::from(rounds.max(1)))
    };
    Ok(vec![round(|server| f64::from(server % 2))?, round(|_| 2.0)?])
}

/// A look at what is measured here: a list is read as it was told.
pub fn proved(servers: usize) -> Result<()> {
    let read = Listing::decode(line(&listing(servers, 1)).trim_end().as_bytes())?;
    if read.entries.len() != servers || read.entries.first() != Some(&entry(0)) {
        bail!("a list of {servers} servers is not read as it was told");
    }
    Ok(())
}
