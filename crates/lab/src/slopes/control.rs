//! Cost of a sidecar's state machines without its sockets: the follower of discovery, the settings, the engine and the
//! decision module, called the way the sidecar's actors call them. Processor time is that of the calling thread.

use super::list::{
    SERVERS_PER_SERVICE, change, entry, instance_settings, line, listing, rule_set, rules_file, settings_json,
};
use super::{Context, thread_cpu_us};
use crate::memory::allocated;
use anyhow::{Result, bail};
use dunlincleat::api::{Discovery, RequestId, Span, State, Status, Time};
use dunlincleat_directory::{
    CallKind, Cause, Follower, Input as FollowerInput, Lines, Listing, Output as FollowerOutput, Timing,
    WatchId,
};
use dunlincleat_engine::{Completion, Engine, Input, Output, RequestInfo};
use dunlincleat_limits::{Rule, check};
use dunlincleat_settings::{InstanceSettings, read, transition};
use std::hint::black_box;
use std::sync::Arc;

/// Simulated start time; 0 would mean "long ago" to the state machines.
const START: Time = Time(1_800_000_000_000_000);
/// Calls per second of one sidecar in the plan: 690,000 over 3,100 endpoints.
pub const CALLS_PER_S: f64 = 223.0;
/// Requests that are timed after one step of a window.
const BURST_REQUESTS: u64 = 25;
/// Time between the requests of a burst. A whole burst has to fit into a fiftieth of a request's aim, or the decision
/// module would close the window between two of them.
const BURST_GAP: Span = Span(200);
/// Length of a window: a quarter of the tightest aim.
const WINDOW: Span = Span(75_000);
/// Number of classes in the plan's settings.
const CLASSES: usize = 1;

/// The state machines of one sidecar, driven without sockets.
struct Sidecar {
    follower: Follower,
    engine: Engine<u64, u64>,
    now: Time,
    watch: WatchId,
    lines: Lines,
    follower_outputs: Vec<FollowerOutput>,
    engine_outputs: Vec<Output<u64, u64>>,
    rules: Vec<Arc<Rule>>,
    id: u64,
    /// Load that a server reports, by server number.
    load: fn(u32) -> f64,
}

impl Sidecar {
    /// Starts a sidecar that knows `servers` servers, has one pool for each of `services` services, and follows a watch.
    fn start(settings: &InstanceSettings, seed: u64, servers: usize, services: usize) -> Result<Sidecar> {
        let timing = Timing::derive(Span(2_000_000), Span(6_000_000), Span(1_000_000));
        let at = ([127, 0, 0, 1], 8500).into();
        let (follower, known) =
            Follower::new(START, timing, Discovery::Pushed, at, seed, listing(servers, 1));
        let engine = Engine::new(settings, seed, 10_000);
        let (follower_outputs, engine_outputs, lines) = (Vec::new(), Vec::new(), Lines::default());
        let (now, watch, load) = (START, WatchId(0), (|_| 1.0) as fn(u32) -> f64);
        let rules_of = (services > 0).then(|| rule_set(services, settings)).transpose()?;
        let mut sidecar = Sidecar {
            follower,
            engine,
            now,
            watch,
            lines,
            follower_outputs,
            engine_outputs,
            rules: Vec::new(),
            id: 0,
            load,
        };
        sidecar.engine_input(Input::ServerList(known));
        if let Some(rules) = rules_of {
            sidecar.rules =
                rules.rules().filter(|rule| rule.name != rules.default_rule().name).cloned().collect();
            if sidecar.rules.len() != services {
                bail!("{} routes for {services} services", sidecar.rules.len());
            }
            sidecar.engine_input(Input::Rules(Arc::new(rules)));
        }
        sidecar.follower.wake(sidecar.now, &mut sidecar.follower_outputs);
        sidecar.apply_outputs();
        let watch = sidecar.watch;
        sidecar.follower_input(FollowerInput::Opened(watch));
        sidecar.receive(b"{\"rev\":1,\"all\":false,\"targets\":[]}\n")?;
        Ok(sidecar)
    }

    fn engine_input(&mut self, input: Input<u64, u64>) {
        self.engine_outputs.clear();
        self.engine.input(self.now, input, &mut self.engine_outputs);
        black_box(&self.engine_outputs);
    }

    /// Applies the follower's outputs: records the watch opened last, passes deliveries to the engine, and returns the calls
    /// to make to discovery.
    fn apply_outputs(&mut self) -> Vec<(WatchId, CallKind)> {
        let mut calls = Vec::new();
        for output in std::mem::take(&mut self.follower_outputs) {
            match output {
                FollowerOutput::Open { watch, kind, .. } => {
                    self.watch = if kind == CallKind::Check { self.watch } else { watch };
                    calls.push((watch, kind));
                }
                FollowerOutput::Deliver(delivery) => {
                    self.engine_input(Input::ServerList(delivery));
                    // The sidecar counts the listed servers for its metrics after each list.
                    black_box(self.engine.listed_servers());
                }
                FollowerOutput::Close(_)
                | FollowerOutput::Failed
                | FollowerOutput::Lost { .. }
                | FollowerOutput::Followed { .. } => {}
            }
        }
        calls
    }

    /// Passes an input to the follower and reads its health, as the sidecar does after each input.
    fn follower_input(&mut self, input: FollowerInput) -> Vec<(WatchId, CallKind)> {
        self.follower.input(self.now, input, &mut self.follower_outputs);
        let calls = self.apply_outputs();
        black_box(self.follower.health());
        calls
    }

    /// Receives bytes of the watch.
    fn receive(&mut self, bytes: &[u8]) -> Result<Vec<(WatchId, CallKind)>> {
        let mut calls = Vec::new();
        let Ok(lines) = self.lines.take(bytes) else { bail!("a line of the watch exceeds the length limit") };
        for line in lines {
            let listing = if line.is_empty() { None } else { Some(Listing::decode(&line)?) };
            let watch = self.watch;
            calls.extend(self.follower_input(FollowerInput::Line(watch, listing)));
        }
        Ok(calls)
    }

    /// Sends one request, which is answered immediately with a reported latency of 5 ms. Returns the number of probes sent
    /// with it; these are answered first.
    fn request(&mut self) -> u64 {
        self.id += 1;
        let id = RequestId(self.id);
        let rule = match self.rules.len() as u64 {
            0 => None,
            n => Some(self.rules[(self.id % n) as usize].clone()),
        };
        let request_info = RequestInfo { wait: Span(740_000), rule, ..RequestInfo::default() };
        let mut out = std::mem::take(&mut self.engine_outputs);
        out.clear();
        self.engine.input(
            self.now,
            Input::Request { id, info: request_info, received: self.now, payload: self.id },
            &mut out,
        );
        let mut probes = 0;
        let mut done = 0;
        while done < out.len() {
            let load = |server: u32| vec![(self.load)(server), 0.0, 0.4];
            let input = match &out[done] {
                Output::Probe { server, pool: asked } => {
                    probes += 1;
                    let load = load(server.0);
                    let ended = Completion { status: Status::Ok, latency: Span(500), load, body: None };
                    Some(Input::ProbeEnded { server: *server, pool: *asked, completion: ended })
                }
                Output::Attempt { id, attempt, server, .. } => {
                    let load = load(server.0);
                    let ended =
                        Completion { status: Status::Ok, latency: Span(5000), load, body: Some(self.id) };
                    Some(Input::AttemptEnded {
                        id: *id,
                        attempt: *attempt,
                        server: *server,
                        completion: ended,
                    })
                }
                _ => None,
            };
            done += 1;
            if let Some(input) = input {
                self.engine.input(self.now, input, &mut out);
            }
        }
        self.engine_outputs = out;
        probes
    }

    /// Sends requests at the plan's rate and runs the timers that come due between them.
    fn serve(&mut self, requests: usize) {
        for _ in 0..requests {
            let next = self.now + Span((1e6 / CALLS_PER_S) as u64);
            while let Some(due) = self.engine.due().filter(|due| *due <= next) {
                self.now = self.now.max(due);
                self.wake();
            }
            self.now = next;
            self.request();
        }
    }

    fn wake(&mut self) {
        self.engine_outputs.clear();
        self.engine.wake(self.now, &mut self.engine_outputs);
        black_box(&self.engine_outputs);
    }

    /// Serves requests until each called server has been tried a few times: the first decisions know no loads.
    fn warm_up(&mut self, servers: usize) {
        let called = if self.rules.is_empty() { servers } else { self.rules.len() * SERVERS_PER_SERVICE };
        self.serve((2 * called).max(500));
    }
}

/// Number of times a value is measured; the smallest counts, as disturbances on the machine only add time.
const REPEATS: usize = 5;

/// Measures [`REPEATS`] times and takes the minimum of each value.
fn least_of_repeats(mut part: impl FnMut() -> Result<Vec<f64>>) -> Result<Vec<f64>> {
    let mut least = part()?;
    for _ in 1..REPEATS {
        for (least, value) in least.iter_mut().zip(part()?) {
            *least = least.min(value);
        }
    }
    Ok(least)
}

/// Cost of a decision, of one window's steps over all modules, and of a request at the plan's rate together with the
/// window steps that it triggers.
fn request_costs(context: &Context, servers: usize, services: usize) -> Result<Vec<f64>> {
    let mut sidecar = Sidecar::start(&instance_settings(CLASSES, false)?, context.seed, servers, services)?;
    sidecar.warm_up(servers);
    let cpu_budget_us = context.cpu_budget_us / REPEATS as f64;
    least_of_repeats(|| {
        let (mut decisions, mut steps, mut rounds) = (0.0_f64, 0.0_f64, 0u64);
        let (started, all) = (sidecar.now, 4 * services.max(1) as u64);
        // The second bound ends the loop where one of the two costs is negligible beside the other.
        while rounds < all || decisions.min(steps) < cpu_budget_us && decisions + steps < 4.0 * cpu_budget_us
        {
            let Some(due) = sidecar.engine.due() else { bail!("the engine has no window due") };
            sidecar.now = sidecar.now.max(due);
            let first = thread_cpu_us();
            sidecar.wake();
            steps += thread_cpu_us() - first;
            rounds += 1;
            // A request that finds its window expired closes it. That is a step, so it is not timed as a decision.
            for _ in 0..services.max(1) {
                sidecar.request();
            }
            let first = thread_cpu_us();
            for _ in 0..BURST_REQUESTS {
                sidecar.now = sidecar.now + BURST_GAP;
                sidecar.request();
            }
            decisions += thread_cpu_us() - first;
        }
        let windows = (sidecar.now - started).as_f64() / WINDOW.as_f64();
        let (mut requests, first) = (0, thread_cpu_us());
        while thread_cpu_us() - first < cpu_budget_us || requests < 100 {
            sidecar.serve(100);
            requests += 100;
        }
        let request = (thread_cpu_us() - first) / f64::from(requests);
        Ok(vec![decisions / (rounds * BURST_REQUESTS) as f64, steps / windows, request])
    })
}

/// Request costs with all servers in one module.
pub fn request(context: &Context, servers: usize) -> Result<Vec<f64>> {
    request_costs(context, servers, 0)
}

/// Request costs in one pool of six servers.
pub fn request_in_pool(context: &Context, servers: usize) -> Result<Vec<f64>> {
    request_costs(context, servers, 1)
}

/// Request costs over `services` pools of six servers in turn, with the default number of servers known.
pub fn request_by_services(context: &Context, services: usize) -> Result<Vec<f64>> {
    request_costs(context, context.default_servers, services)
}

/// Bytes allocated for a sidecar's state: the follower, the engine and its modules.
fn state_bytes(context: &Context, servers: usize, services: usize) -> Result<f64> {
    let settings = instance_settings(CLASSES, false)?;
    let before = allocated();
    let mut sidecar = Sidecar::start(&settings, context.seed, servers, services)?;
    sidecar.serve(500);
    let held = allocated().saturating_sub(before);
    drop(sidecar);
    Ok(held as f64)
}

/// State size by known servers.
pub fn state(context: &Context, servers: usize) -> Result<Vec<f64>> {
    Ok(vec![state_bytes(context, servers, 0)?])
}

/// State size by called services.
pub fn state_by_services(context: &Context, services: usize) -> Result<Vec<f64>> {
    Ok(vec![state_bytes(context, context.default_servers, services)?])
}

/// Repeats an operation until the processor time budget is spent, and returns the time of one iteration.
fn cpu_per_iteration(context: &Context, mut once: impl FnMut(u64) -> Result<()>) -> Result<f64> {
    once(0)?;
    let mut n = 0;
    let each = least_of_repeats(|| {
        let (before, first) = (n, thread_cpu_us());
        while thread_cpu_us() - first < context.cpu_budget_us / REPEATS as f64 || n - before < 4 {
            n += 1;
            once(n)?;
        }
        Ok(vec![(thread_cpu_us() - first) / (n - before) as f64])
    })?;
    Ok(each[0])
}

/// Cost and size of one server's change and of the whole list, each received as a line of a watch, applied by the follower
/// and passed to the engine.
pub fn list_updates(context: &Context, servers: usize) -> Result<Vec<f64>> {
    let mut sidecar = Sidecar::start(&instance_settings(CLASSES, false)?, context.seed, servers, 0)?;
    // Encoded in advance: discovery's cost of writing the lines is not the sidecar's.
    let changes: Vec<String> = (0..2 * servers.min(200) as u64)
        .map(|n| {
            let state = if n.is_multiple_of(2) { State::Draining } else { State::Ready };
            change(n as usize / 2, state, 2)
        })
        .collect();
    let applied = cpu_per_iteration(context, |n| {
        sidecar.now = sidecar.now + Span(1000);
        let update = &changes[n as usize % changes.len()];
        sidecar.receive(update.as_bytes()).map(drop)
    })?;
    let whole = line(&listing(servers, 3));
    let whole_applied = cpu_per_iteration(context, |_| {
        sidecar.now = sidecar.now + Span(1000);
        sidecar.receive(whole.as_bytes()).map(drop)
    })?;
    Ok(vec![applied, changes[0].len() as f64, whole_applied, whole.len() as f64])
}

/// Processor time and bytes of a second with `changes_per_s` changes, with the default number of servers known.
pub fn changes(context: &Context, changes_per_s: usize) -> Result<Vec<f64>> {
    let mut sidecar =
        Sidecar::start(&instance_settings(CLASSES, false)?, context.seed, context.default_servers, 0)?;
    let mut rev = 1;
    let mut apply_change = |sidecar: &mut Sidecar, n: usize| -> Result<usize> {
        rev += 1;
        let state = if n.is_multiple_of(2) { State::Draining } else { State::Ready };
        let line = change((n / 2) % context.default_servers, state, rev);
        sidecar.now = sidecar.now + Span(1_000_000 / changes_per_s as u64);
        sidecar.receive(line.as_bytes())?;
        Ok(line.len())
    };
    let mut n = 0;
    least_of_repeats(|| {
        let (mut seconds, mut bytes, first) = (0.0, 0, thread_cpu_us());
        while thread_cpu_us() - first < context.cpu_budget_us / REPEATS as f64 || seconds < 1.0 {
            for _ in 0..changes_per_s {
                bytes += apply_change(&mut sidecar, n)?;
                n += 1;
            }
            seconds += 1.0;
        }
        let took = (thread_cpu_us() - first) / 1e6;
        Ok(vec![took / seconds, bytes as f64 / seconds])
    })
}

/// Bytes, messages and processor time of a reconnect after a broken watch, where nothing changed meanwhile, until the
/// follower makes no further calls.
pub fn reconnect(context: &Context, servers: usize) -> Result<Vec<f64>> {
    let mut sidecar = Sidecar::start(&instance_settings(CLASSES, false)?, context.seed, servers, 0)?;
    let whole = line(&listing(servers, 1));
    let (mut bytes, mut messages, mut reconnects) = (0, 0, 0);
    let (mut total, mut cheapest) = (0.0, f64::INFINITY);
    while total < context.cpu_budget_us || reconnects < REPEATS as u32 {
        reconnects += 1;
        let first = thread_cpu_us();
        let broken = sidecar.watch;
        let mut calls =
            sidecar.follower_input(FollowerInput::Ended(broken, Cause::Broke("reset".to_owned())));
        // Past the staleness bound a broken watch causes no further calls.
        let end = sidecar.now + Span(8_000_000);
        let mut last_heartbeat = sidecar.now;
        while sidecar.now < end {
            for (watch, kind) in std::mem::take(&mut calls) {
                // The call and its response.
                messages += 2;
                let after = br#"{"rev":1,"all":false,"targets":[]}"#;
                match kind {
                    CallKind::ChangesAfter(_) => {
                        bytes += after.len() + 1;
                        sidecar.follower_input(FollowerInput::Opened(watch));
                        last_heartbeat = sidecar.now;
                        let listing = Listing::decode(after)?;
                        calls.extend(sidecar.follower_input(FollowerInput::Line(watch, Some(listing))));
                    }
                    CallKind::FullList | CallKind::Check => {
                        bytes += whole.len();
                        let listing = Listing { whole: true, ..Listing::decode(whole.as_bytes())? };
                        calls.extend(sidecar.follower_input(FollowerInput::Line(watch, Some(listing))));
                        if kind == CallKind::FullList {
                            bail!("the follower requested the whole list before reopening its watch");
                        }
                    }
                }
            }
            // Heartbeats arrive with or without a reconnect, so their bytes are not counted.
            let heartbeat_due = last_heartbeat + Span(2_000_000);
            sidecar.now = sidecar
                .follower
                .due()
                .unwrap_or(heartbeat_due)
                .min(heartbeat_due)
                .min(end)
                .max(sidecar.now + Span(1));
            if sidecar.now >= heartbeat_due {
                last_heartbeat = heartbeat_due;
                calls.extend(sidecar.receive(b"\n")?);
            }
            sidecar.follower.wake(sidecar.now, &mut sidecar.follower_outputs);
            calls.extend(sidecar.apply_outputs());
        }
        cheapest = cheapest.min(thread_cpu_us() - first);
        total += thread_cpu_us() - first;
    }
    let each = f64::from(reconnects);
    Ok(vec![bytes as f64 / each, f64::from(messages) / each, cheapest])
}

/// Cost of new settings and an operator's file: parsed, validated and passed to the engine, as on SIGHUP but without the
/// surrounding configuration file.
fn settings_cost(context: &Context, servers: usize, services: usize, classes: usize) -> Result<f64> {
    let first = instance_settings(classes, false)?;
    let mut sidecar = Sidecar::start(&first, context.seed, servers, services)?;
    sidecar.serve(200);
    let (settings, file) = (settings_json(classes, false), rules_file(services));
    let mut current = Arc::new(first);
    cpu_per_iteration(context, |n| {
        sidecar.now = sidecar.now + Span(1_000_000);
        // A different value each time, so that no work is skipped for unchanged settings.
        let settings = settings.replace("\"cold\":1000000", &format!("\"cold\":{}", 1_000_000 + n));
        current = Arc::new(transition(&current, read(&settings)?).instance);
        let rules = check(&file, &current).rules;
        sidecar.engine_input(Input::Settings { site: current.clone(), shadow: None });
        if let Some(rules) = rules.filter(|_| services > 0) {
            sidecar.engine_input(Input::Rules(Arc::new(rules)));
        }
        Ok(())
    })
}

/// Settings cost by known servers.
pub fn settings_by_servers(context: &Context, servers: usize) -> Result<Vec<f64>> {
    Ok(vec![settings_cost(context, servers, 0, CLASSES)?])
}

/// Settings cost by classes.
pub fn settings_by_classes(context: &Context, classes: usize) -> Result<Vec<f64>> {
    Ok(vec![settings_cost(context, 60.min(context.default_servers), 0, classes)?])
}

/// Settings cost by called services, each with a pool.
pub fn settings_by_services(context: &Context, services: usize) -> Result<Vec<f64>> {
    Ok(vec![settings_cost(context, context.default_servers, services, CLASSES)?])
}

/// Probes sent in one round where probes are free, with every second server busy and with all servers busy.
pub fn probes(context: &Context, servers: usize) -> Result<Vec<f64>> {
    let round = |load: fn(u32) -> f64| -> Result<f64> {
        let mut sidecar = Sidecar::start(&instance_settings(CLASSES, true)?, context.seed, servers, 0)?;
        sidecar.load = load;
        let (mut probes, mut rounds) = (0, 0);
        for n in 0..400 {
            sidecar.now = sidecar.now + Span(10_000);
            let sent = sidecar.request();
            // The first requests are left out: the sidecar first learns from probes which servers are busy.
            if n >= 200 && sent > 0 {
                (probes, rounds) = (probes + sent, rounds + 1);
            }
        }
        Ok(probes as f64 / f64::from(rounds.max(1)))
    };
    Ok(vec![round(|server| f64::from(server % 2))?, round(|_| 2.0)?])
}

/// Checks the test data: a generated list decodes to the servers that it was encoded from.
pub fn check_list_round_trip(servers: usize) -> Result<()> {
    let read = Listing::decode(line(&listing(servers, 1)).trim_end().as_bytes())?;
    if read.entries.len() != servers || read.entries.first() != Some(&entry(0)) {
        bail!("a generated list of {servers} servers does not decode to the same entries");
    }
    Ok(())
}
