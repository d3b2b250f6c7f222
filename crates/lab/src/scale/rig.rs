//! The rig of a scale run: starts control machines, hollow sidecars and real ones, runs the scenarios and records what is
//! observed. It owns every process that it starts, and all of them exit with it, however it ends.
//!
//! Control serves each sidecar at an address of its own. When a control machine dies, the others take over its addresses
//! after [`TAKEOVER_DELAY`], the way a service's address moves to another machine: sidecars keep using the same address.

use super::fleet::{Fleet, FleetFigures};
use super::judge::{DueRevision, Limits, Observations, Sample, ScenarioRun, Track, judge};
use super::result::{HollowReal, ScenarioResult, SizeRun};
use anyhow::{Context, Result, bail};
use dunlincleat_hollow::account::revision_of;
use dunlincleat_hollow::sidecar::{InjectedFault, SharedConfig, SidecarSpec};
use dunlincleat_hollow::{self as hollow};
use dunlincleat_trial::child::Process;
use dunlincleat_trial::clock::now;
use dunlincleat_trial::control::{self, Entry, SentCounts, resident_memory};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

/// Most hollow sidecars that share one process, which has a single thread.
const MAX_HOLLOW_PER_PROCESS: usize = 520;
/// Fewest processes that hollow sidecars are spread over, where there are that many sidecars.
const MIN_HOLLOW_PROCESSES: usize = 4;
/// Time after the death of a control machine until the others serve its sidecars.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);
/// Interval at which processor time and memory of the real sidecars are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for all processes to start, and for all reports to arrive.
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Parameters of a run at one size.
#[derive(Clone, Debug)]
pub struct RunSpec {
    /// Path of this program, which also runs control, the hollow sidecars and the tether.
    pub lab: PathBuf,
    /// Path of the program under test.
    pub program: PathBuf,
    /// Parameters of the generated fleet.
    pub figures: FleetFigures,
    /// Number of endpoints on the list.
    pub size: usize,
    /// Number of hollow sidecars.
    pub hollow: usize,
    /// Number of real sidecars.
    pub real: usize,
    /// Number of control machines.
    pub controls: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Sidecars request only the services that they call.
    pub interest: bool,
    /// Time during which a scenario's events happen, in seconds.
    pub duration_s: f64,
    /// Requests per second of each hollow sidecar.
    pub rate: f64,
    /// Smallest length of the decision module's window, in milliseconds; 0 for that of its classes.
    pub window_ms: u64,
    /// Injected faults, by sidecar number.
    pub faults: BTreeMap<usize, String>,
    /// Limits to judge by.
    pub limits: Limits,
    /// Grace period of a drain, in milliseconds, from which sidecars derive the tolerated silence of a watch.
    pub grace_ms: u64,
    /// Time to wait for the last change to be in force.
    pub settle_time: Duration,
}

impl RunSpec {
    /// Time after a broken connection within which a sidecar requests the whole list once, in microseconds.
    fn list_check_delay_us(&self) -> u64 {
        4_000_000 + 400 * self.grace_ms
    }

    /// Number of processes that the hollow sidecars share.
    pub fn hollow_processes(&self) -> usize {
        self.hollow.div_ceil(MAX_HOLLOW_PER_PROCESS).max(MIN_HOLLOW_PROCESSES.min(self.hollow))
    }
}

/// A scenario of a scale run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Changes at the mean rate.
    ChangesMean,
    /// Changes at the peak rate.
    ChangesPeak,
    /// Sidecars restart, and their servers leave the list and return.
    Restarts,
    /// All endpoints of a zone leave at once and return.
    Zone,
    /// Control closes all connections, several times.
    Reconnects,
    /// All sidecars restart at once.
    AllAnew,
    /// A control machine is killed.
    ControlKilled,
}

impl Scenario {
    /// All scenarios by name, in the order in which they are run.
    pub const ALL: [(&'static str, Scenario); 7] = [
        ("changes-mean", Scenario::ChangesMean),
        ("changes-peak", Scenario::ChangesPeak),
        ("restarts", Scenario::Restarts),
        ("zone", Scenario::Zone),
        ("all-anew", Scenario::AllAnew),
        ("control-killed", Scenario::ControlKilled),
        ("reconnects", Scenario::Reconnects),
    ];

    /// The scenario of this name.
    pub fn of(name: &str) -> Option<Scenario> {
        Scenario::ALL.iter().find(|(other, _)| *other == name).map(|(_, day)| *day)
    }

    fn name(self) -> &'static str {
        Scenario::ALL.iter().find(|(_, day)| *day == self).map_or("", |(name, _)| name)
    }
}

enum Event {
    Control(usize, control::Report),
    Hollow(usize, hollow::Report),
    /// A real sidecar has a revision in force.
    InForce {
        sidecar: usize,
        revision: u64,
        at: u64,
    },
    /// A process has exited, with its name and what is known of it.
    Exited(String),
}

/// A child process that reads commands as lines on its standard input.
struct Child {
    process: Process,
    orders: UnboundedSender<Rc<str>>,
}

impl Child {
    fn send<T: serde::Serialize>(&self, order: &T) -> Result<()> {
        self.send_line(serde_json::to_string(order)?.into());
        Ok(())
    }

    fn send_line(&self, line: Rc<str>) {
        // The task that reads its output reports a process that has exited.
        let _ = self.orders.send(line);
    }

    fn start<T: serde::de::DeserializeOwned + 'static>(
        spec: &RunSpec,
        name: String,
        what: &str,
        event_sender: UnboundedSender<Event>,
        of: impl Fn(T) -> Event + 'static,
    ) -> Result<Child> {
        let mut process = Process::start(&spec.lab, &spec.lab, &[what], &[])?;
        let (mut stdin, out, errors) = process.streams()?;
        let (orders, mut pending) = unbounded_channel::<Rc<str>>();
        actix_rt::spawn(async move {
            while let Some(line) = pending.recv().await {
                let written = async {
                    stdin.write_all(line.as_bytes()).await?;
                    stdin.write_all(b"\n").await?;
                    stdin.flush().await
                };
                if written.await.is_err() {
                    return;
                }
            }
        });
        let prefix = name.clone();
        actix_rt::spawn(async move {
            let mut errors = BufReader::new(errors).lines();
            while let Ok(Some(line)) = errors.next_line().await {
                eprintln!("{prefix}: {line}");
            }
        });
        actix_rt::spawn(async move {
            let mut lines = BufReader::with_capacity(1 << 18, out).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                match serde_json::from_str::<T>(&line) {
                    Ok(event) => drop(event_sender.send(of(event))),
                    Err(error) => eprintln!("{name}: {error}"),
                }
            }
            let _ = event_sender.send(Event::Exited(name));
        });
        Ok(Child { process, orders })
    }
}

/// A process of the program under test.
struct RealSidecar {
    process: Process,
    /// Processor time at the last sample, in nanoseconds.
    cpu_ns: u64,
}

struct Rig<'a> {
    spec: &'a RunSpec,
    fleet: Fleet,
    observations: Observations,
    events: UnboundedReceiver<Event>,
    event_sender: UnboundedSender<Event>,
    controls: Vec<Option<Child>>,
    hollow_processes: Vec<Child>,
    real_sidecars: BTreeMap<usize, RealSidecar>,
    /// Control machine that serves each sidecar.
    served_by: Vec<usize>,
    running: Vec<bool>,
    port: u16,
    rev: u64,
    rng: SmallRng,
    /// Servers that are draining or removed, in the order of their last change.
    absent: Vec<usize>,
    /// Latest revision that each sidecar has to apply.
    due_revisions: Vec<u64>,
    /// Latest revision in force at each sidecar.
    latest_revisions: Vec<u64>,
    sent: BTreeMap<(usize, usize), SentCounts>,
    hollow_counts: Vec<hollow::SidecarCounts>,
    control_cpu: Vec<u64>,
    addresses_served: BTreeMap<usize, usize>,
    next_sample: Instant,
    /// Time at which the rig last broke each sidecar's connections.
    disconnected_at: Vec<Option<u64>>,
    /// Time of the last report of each process.
    last_report: BTreeMap<String, u64>,
    fault: Option<String>,
}

/// Settings of all sidecars of a run, as in their configuration.
fn settings(zones: &[String], spec: &RunSpec) -> serde_json::Value {
    json!({
        "zones": zones, "stats": {"fields": ["inflight", "queue", "util"], "how": "inline"},
        "limits": {"try_limit": 4, "probes": true, "cancel": true, "connect_timeout": 200_000},
        "deductions": {"probe": 0.02}, "safety": {"drain_grace": spec.grace_ms * 1000}, "tick": spec.window_ms * 1000,
        "classes": [{"name": "read", "aim": 300_000, "deadline": 740_000, "gain": 1.0, "late_worth": 0.5,
            "semantics": "retryable"}],
    })
}

/// Processor time of a process over all its threads, in nanoseconds; 0 where it cannot be read.
fn process_cpu_ns(process: u32) -> u64 {
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{process}/task")) else { return 0 };
    let of = |path: PathBuf| std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
    let first = |text: String| text.split(' ').next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    tasks.flatten().map(|task| first(of(task.path()))).sum()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Runs the scenarios at one size.
///
/// # Errors
///
/// A process can't be started, or exits unexpectedly.
pub async fn run_all_scenarios(
    spec: &RunSpec,
    days: &[Scenario],
    mut say: impl FnMut(&ScenarioResult),
) -> Result<SizeRun> {
    let mut rig = Rig::start(spec)?;
    rig.start_processes().await?;
    let mut results = Vec::new();
    for day in days {
        let result = rig.run_scenario(*day).await?;
        say(&result);
        results.push(result);
    }
    Ok(SizeRun {
        size: spec.size,
        hollow: spec.hollow,
        real: spec.real,
        controls: spec.controls,
        interest: spec.interest,
        pressed: 1.0,
        days: results,
    })
}

impl<'a> Rig<'a> {
    fn start(spec: &'a RunSpec) -> Result<Rig<'a>> {
        let sidecars = spec.hollow + spec.real;
        let fleet = Fleet::generate(spec.seed, &spec.figures, spec.size, sidecars);
        let (event_sender, events) = unbounded_channel();
        let mut controls = Vec::new();
        for n in 0..spec.controls {
            let of = move |report| Event::Control(n, report);
            controls.push(Some(Child::start(spec, format!("c{n}"), "control", event_sender.clone(), of)?));
        }
        let mut hollow_processes = Vec::new();
        for n in 0..spec.hollow_processes() {
            let of = move |report| Event::Hollow(n, report);
            hollow_processes.push(Child::start(
                spec,
                format!("hollow process {n}"),
                "hollow",
                event_sender.clone(),
                of,
            )?);
        }
        let track = |n: usize| {
            let (real, hollow) = (n >= spec.hollow, n < spec.hollow);
            Track { name: sidecar_name(spec, n), real, hollow, ..Track::default() }
        };
        let control = |n: usize| Track { name: format!("c{n}"), ..Track::default() };
        let observations = Observations {
            sidecars: (0..sidecars).map(track).collect(),
            controls: (0..spec.controls).map(control).collect(),
            late: Vec::new(),
        };
        // The port is expected to be free at the other loopback addresses too; otherwise control reports a fault.
        let port = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?.port();
        Ok(Rig {
            spec,
            fleet,
            observations,
            events,
            event_sender,
            controls,
            hollow_processes,
            real_sidecars: BTreeMap::new(),
            served_by: (0..sidecars).map(|n| n % spec.controls).collect(),
            running: vec![false; sidecars],
            port,
            rev: 1,
            rng: SmallRng::seed_from_u64(spec.seed ^ 0x5ca1e),
            absent: Vec::new(),
            due_revisions: vec![0; sidecars],
            latest_revisions: vec![0; sidecars],
            sent: BTreeMap::new(),
            hollow_counts: vec![hollow::SidecarCounts::default(); sidecars],
            control_cpu: vec![0; spec.controls],
            addresses_served: BTreeMap::new(),
            next_sample: Instant::now() + SAMPLE_INTERVAL,
            disconnected_at: vec![None; sidecars],
            last_report: BTreeMap::new(),
            fault: None,
        })
    }

    fn address(&self, sidecar: usize) -> SocketAddr {
        let at = Ipv4Addr::new(127, 10, (sidecar >> 8) as u8, sidecar as u8);
        SocketAddr::from((at, self.port))
    }

    /// Second address at which control serves a sidecar, for the injected fault of alternating between two addresses.
    fn second_address(&self, sidecar: usize) -> SocketAddr {
        let at = Ipv4Addr::new(127, 20, (sidecar >> 8) as u8, sidecar as u8);
        SocketAddr::from((at, self.port))
    }

    fn serve(&self, control: usize, sidecars: &[usize]) -> Result<()> {
        let mut at: Vec<(usize, SocketAddr)> = sidecars.iter().map(|n| (*n, self.address(*n))).collect();
        let faulty = sidecars.iter().filter(|n| self.spec.faults.contains_key(n));
        at.extend(faulty.map(|n| (*n, self.second_address(*n))));
        let child = self
            .controls
            .get(control)
            .and_then(Option::as_ref)
            .with_context(|| format!("control machine {control} is not running"))?;
        child.send(&control::Command::Serve(at))
    }

    fn sidecars_of(&self, control: usize) -> Vec<usize> {
        (0..self.served_by.len()).filter(|n| self.served_by[*n] == control).collect()
    }

    /// Starts all processes and waits until every sidecar has the list.
    async fn start_processes(&mut self) -> Result<()> {
        let list = control::Command::List { rev: self.rev, entries: self.fleet.entries.clone() };
        let list: Rc<str> = serde_json::to_string(&list)?.into();
        for control in 0..self.controls.len() {
            if let Some(child) = &self.controls[control] {
                child.send_line(list.clone());
            }
            self.serve(control, &self.sidecars_of(control))?;
        }
        let config = SharedConfig { settings: settings(&self.fleet.zones, self.spec), rate: self.spec.rate };
        self.hollow_processes
            .iter()
            .try_for_each(|child| child.send(&hollow::Command::Configure(config.clone())))?;
        let deadline = Instant::now() + START_TIMEOUT;
        while self.addresses_served.len() < self.controls.len() {
            self.wait_a_step(deadline, "not all control machines started in time").await?;
        }
        let all: Vec<usize> = (0..self.running.len()).collect();
        self.start_sidecars(&all)?;
        while !self.all_in_force() {
            self.wait_a_step(deadline, "sidecars without the server list").await?;
        }
        // On a busy machine some sidecars reconnected at the start; wait for their check of the whole list.
        if self.spec.limits.timer_delay_us < u64::MAX {
            self.run_until(Instant::now() + Duration::from_micros(self.spec.list_check_delay_us())).await?;
        }
        Ok(())
    }

    async fn wait_a_step(&mut self, deadline: Instant, what: &str) -> Result<()> {
        if Instant::now() > deadline {
            let missing: Vec<&str> = (0..self.due_revisions.len())
                .filter(|n| self.latest_revisions[*n] < self.due_revisions[*n])
                .take(10)
                .map(|n| self.observations.sidecars[n].name.as_str())
                .collect();
            bail!("{what}: {}", missing.join(" "));
        }
        self.run_until(Instant::now() + Duration::from_millis(50)).await
    }

    fn all_in_force(&self) -> bool {
        let mut all = self.due_revisions.iter().zip(&self.latest_revisions).zip(&self.running);
        all.all(|((due, latest), running)| !running || latest >= due)
    }

    fn start_sidecars(&mut self, sidecars: &[usize]) -> Result<DueRevision> {
        let due = DueRevision { rev: self.rev, at: now(), sidecars: sidecars.to_vec() };
        let mut specs: BTreeMap<usize, Vec<SidecarSpec>> = BTreeMap::new();
        for sidecar in sidecars.iter().copied() {
            self.running[sidecar] = true;
            (self.due_revisions[sidecar], self.latest_revisions[sidecar]) = (self.rev, 0);
            self.observations.sidecars[sidecar].started.push(due.at);
            let discovery = self.address(sidecar);
            let seed = self.spec.seed.wrapping_mul(0x9e37_79b9).wrapping_add(sidecar as u64);
            if sidecar >= self.spec.hollow {
                self.start_real(sidecar, discovery, seed)?;
                continue;
            }
            let fault = match self.spec.faults.get(&sidecar).map(String::as_str) {
                None => None,
                Some("whole-list") => Some(InjectedFault::WholeList(self.second_address(sidecar))),
                Some("deaf") => Some(InjectedFault::Unresponsive),
                Some("leak") => Some(InjectedFault::Leak),
                Some(other) => {
                    bail!("--plant: unknown fault {other}; expected whole-list, deaf or leak")
                }
            };
            self.hollow_counts[sidecar] = hollow::SidecarCounts::default();
            let calls = &self.fleet.calls[sidecar];
            let services = if self.spec.interest { calls.iter().cloned().collect() } else { Vec::new() };
            let spec = SidecarSpec { sidecar, discovery, seed, services, fault };
            specs.entry(sidecar % self.hollow_processes.len()).or_default().push(spec);
        }
        for (process, specs) in specs {
            self.hollow_processes[process].send(&hollow::Command::Start(specs))?;
        }
        Ok(due)
    }

    fn start_real(&mut self, sidecar: usize, discovery: SocketAddr, seed: u64) -> Result<()> {
        // Dropping a running process terminates it.
        self.real_sidecars.remove(&sidecar);
        // The configuration is passed on standard input, so that no file is left behind.
        let config_path = PathBuf::from("/dev/stdin");
        let spec = self.spec;
        let mut process = Process::start(&spec.lab, &spec.program, &[], &[("EDGE_CONFIG", &config_path)])?;
        let (mut stdin, out, errors) = process.streams()?;
        let name = sidecar_name(spec, sidecar);
        let mut config = json!({
            "name": name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"), "settings": settings(&self.fleet.zones, spec),
        });
        if spec.interest {
            config["sidecar"] = json!({"services": self.fleet.calls[sidecar]});
        }
        actix_rt::spawn(async move {
            let _ = stdin.write_all(config.to_string().as_bytes()).await;
            drop((stdin, out));
        });
        let event_sender = self.event_sender.clone();
        actix_rt::spawn(async move {
            let mut lines = BufReader::new(errors).lines();
            let mut last = String::new();
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(revision) = revision_of(&line) {
                    let _ = event_sender.send(Event::InForce { sidecar, revision, at: now() });
                }
                last = line;
            }
            let _ = event_sender.send(Event::Exited(format!("{name}, last log line: {last}")));
        });
        self.real_sidecars.insert(sidecar, RealSidecar { process, cpu_ns: 0 });
        Ok(())
    }

    fn end_sidecars(&mut self, sidecars: &[usize]) -> Result<()> {
        let mut by_process: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for sidecar in sidecars.iter().copied() {
            self.running[sidecar] = false;
            if sidecar < self.spec.hollow {
                by_process.entry(sidecar % self.hollow_processes.len()).or_default().push(sidecar);
            } else {
                self.real_sidecars.remove(&sidecar);
            }
        }
        for (process, sidecars) in by_process {
            self.hollow_processes[process].send(&hollow::Command::End(sidecars))?;
        }
        Ok(())
    }

    /// Publishes changes as a new revision and returns the sidecars that have to apply it.
    fn publish_change(&mut self, entries: Vec<Entry>) -> Result<DueRevision> {
        self.rev += 1;
        let models: BTreeSet<&str> = entries.iter().map(|entry| entry.model.as_str()).collect();
        let wants = |n: &usize| {
            !self.spec.interest || self.fleet.calls[*n].iter().any(|model| models.contains(model.as_str()))
        };
        let sidecars: Vec<usize> =
            (0..self.running.len()).filter(|n| self.running[*n]).filter(wants).collect();
        sidecars.iter().for_each(|n| self.due_revisions[*n] = self.rev);
        let due = DueRevision { rev: self.rev, at: now(), sidecars };
        let change = control::Command::Change { rev: self.rev, entries };
        let line: Rc<str> = serde_json::to_string(&change)?.into();
        self.controls.iter().flatten().for_each(|child| child.send_line(line.clone()));
        Ok(due)
    }

    fn set_state(&mut self, server: usize, state: &str) -> Entry {
        let entry = &mut self.fleet.entries[server];
        if state == "up" {
            entry.boot_ms = unix_ms();
        }
        entry.state = state.to_owned();
        entry.clone()
    }

    /// The next ordinary change: a server drains, is removed, or returns.
    fn next_change(&mut self) -> Entry {
        let few = self.absent.len() < 3.max(self.spec.size / 100);
        if few && (self.absent.is_empty() || self.rng.random_bool(0.5)) {
            let up = |entry: &Entry| entry.state == "up";
            let start = self.rng.random_range(0..self.fleet.entries.len());
            let all = self.fleet.entries.len();
            let found = (0..all).map(|n| (start + n) % all).find(|n| up(&self.fleet.entries[*n]));
            if let Some(server) = found {
                self.absent.push(server);
                return self.set_state(server, "draining");
            }
        }
        let server = self.absent.remove(0);
        if self.fleet.entries[server].state == "draining" {
            self.absent.push(server);
            return self.set_state(server, "removed");
        }
        self.set_state(server, "up")
    }

    /// Waits until every process has reported its counters up to now.
    async fn wait_for_reports(&mut self) -> Result<()> {
        let (from, deadline) = (now(), Instant::now() + START_TIMEOUT);
        self.last_report.clear();
        let alive = self.controls.iter().flatten().count() + self.hollow_processes.len() + 1;
        while self.last_report.values().filter(|at| **at > from).count() < alive {
            if Instant::now() > deadline {
                bail!("not every process reported its counters within {} s", START_TIMEOUT.as_secs());
            }
            self.run_until(Instant::now() + Duration::from_millis(50)).await?;
        }
        Ok(())
    }

    /// Handles events and samples real sidecars until a point in time.
    async fn run_until(&mut self, at: Instant) -> Result<()> {
        loop {
            let next = at.min(self.next_sample);
            tokio::select! {
                event = self.events.recv() => {
                    if let Some(event) = event {
                        self.handle(event);
                    }
                }
                () = sleep_until(next) => {
                    let late = Instant::now().saturating_duration_since(next).as_micros() as u64;
                    self.observations.late.push((now(), late, "the rig".to_owned()));
                    if Instant::now() >= self.next_sample {
                        self.next_sample = Instant::now() + SAMPLE_INTERVAL;
                        self.sample_real_sidecars();
                    }
                }
            }
            if let Some(fault) = self.fault.take() {
                bail!(fault);
            }
            if Instant::now() >= at {
                return Ok(());
            }
        }
    }

    fn sample_real_sidecars(&mut self) {
        let at = now();
        self.last_report.insert("rig".to_owned(), at);
        for (sidecar, real) in &mut self.real_sidecars {
            let id = real.process.id();
            let cpu_ns = process_cpu_ns(id).max(real.cpu_ns);
            let track = &mut self.observations.sidecars[*sidecar];
            let cpu = (cpu_ns - std::mem::replace(&mut real.cpu_ns, cpu_ns)) as f64 / 1000.0;
            track.samples.push(Sample { at, cpu, ..Sample::default() });
            track.memory.push((at, resident_memory(&id.to_string()) as f64));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Control(_, control::Report::Fault(fault)) => self.fault = Some(fault),
            Event::Control(n, control::Report::Serves(count)) => drop(self.addresses_served.insert(n, count)),
            Event::Control(n, control::Report::Sample(sample)) => self.record_control_sample(n, sample),
            Event::Hollow(_, hollow::Report::RevisionsApplied(all)) => {
                all.into_iter()
                    .for_each(|applied| self.record_in_force(applied.sidecar, applied.rev, applied.at));
            }
            Event::Hollow(n, hollow::Report::Sample(sample)) => {
                let who = format!("hollow process {n}");
                self.last_report.insert(who.clone(), sample.at);
                self.observations.late.push((sample.at, sample.late, who));
                for new in sample.sidecars {
                    let Some(track) = self.observations.sidecars.get_mut(new.sidecar) else { continue };
                    let old = std::mem::replace(&mut self.hollow_counts[new.sidecar], new);
                    // The counters of a restarted sidecar start at zero.
                    let old = if new.cpu < old.cpu || new.deliveries < old.deliveries {
                        hollow::SidecarCounts::default()
                    } else {
                        old
                    };
                    let (cpu, deliveries) = (new.cpu - old.cpu, new.deliveries - old.deliveries);
                    let (cpu, deliveries) = (cpu as f64, deliveries as f64);
                    track.samples.push(Sample { at: sample.at, cpu, deliveries, ..Sample::default() });
                    track.memory.push((sample.at, new.memory as f64));
                }
            }
            Event::InForce { sidecar, revision, at } => self.record_in_force(sidecar, revision, at),
            Event::Exited(who) => {
                let killed =
                    self.controls.iter().enumerate().any(|(n, c)| c.is_none() && who == format!("c{n}"));
                let real = who.starts_with('r');
                let ended = real
                    && self
                        .observations
                        .sidecars
                        .iter()
                        .any(|t| who.starts_with(&t.name) && t.started.len() > 1);
                if !killed && !ended {
                    self.fault = Some(format!("process exited unexpectedly: {who}"));
                }
            }
        }
    }

    fn record_in_force(&mut self, sidecar: usize, rev: u64, at: u64) {
        let Some(track) = self.observations.sidecars.get_mut(sidecar) else { return };
        // The last revision of a terminated sidecar may be reported after its successor has started.
        if track.started.last().is_none_or(|started| *started <= at) {
            self.latest_revisions[sidecar] = self.latest_revisions[sidecar].max(rev);
        }
        track.in_force.push((rev, at));
    }

    fn record_control_sample(&mut self, control: usize, sample: control::Sample) {
        let control::Sample { at, late, cpu, memory, sidecars } = sample;
        let who = format!("c{control}");
        self.last_report.insert(who.clone(), at);
        self.observations.late.push((at, late, who));
        let mut all = Sample { at, ..Sample::default() };
        for new in sidecars {
            let old = self.sent.insert((control, new.sidecar), new).unwrap_or_default();
            let added = Sample {
                at,
                bytes: (new.bytes - old.bytes) as f64,
                messages: (new.messages - old.messages) as f64,
                whole_lists: (new.whole - old.whole) as f64,
                watches: (new.watches - old.watches) as f64,
                ..Sample::default()
            };
            (all.bytes, all.messages) = (all.bytes + added.bytes, all.messages + added.messages);
            if let Some(track) = self.observations.sidecars.get_mut(new.sidecar) {
                track.samples.push(added);
            }
        }
        all.cpu = cpu.saturating_sub(std::mem::replace(&mut self.control_cpu[control], cpu)) as f64;
        let track = &mut self.observations.controls[control];
        track.samples.push(all);
        track.memory.push((at, memory as f64));
    }

    /// Runs a scenario and judges it.
    async fn run_scenario(&mut self, scenario: Scenario) -> Result<ScenarioResult> {
        self.wait_for_reports().await?;
        let (from, start) = (now(), Instant::now());
        let all: BTreeSet<usize> = (0..self.running.len()).collect();
        let duration_s = self.spec.duration_s;
        let broken = |n: &usize| {
            self.disconnected_at[*n].is_some_and(|at| from - at < self.spec.list_check_delay_us())
        };
        let mut undisturbed: BTreeSet<usize> = all.iter().copied().filter(|n| !broken(n)).collect();
        let mut killed = BTreeSet::new();
        let mut due = Vec::new();
        let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
        let figures = &self.spec.figures;
        let mut pressed = 1.0;
        match scenario {
            Scenario::ChangesMean | Scenario::ChangesPeak => {
                let mean = 86_400.0 / figures.changes_per_day;
                let gap =
                    if scenario == Scenario::ChangesMean { mean } else { 1.0 / figures.peak_changes_per_s };
                let mut next = 0.1;
                while next < duration_s {
                    self.run_until(at(next)).await?;
                    let entry = self.next_change();
                    due.push(self.publish_change(vec![entry])?);
                    next += gap;
                }
            }
            Scenario::Restarts => {
                // One restart every 1.5 s, each completed within 1 s.
                let restarts = (duration_s / 1.5).floor().max(1.0);
                let a_day = figures.restarts_per_day * self.spec.size as f64 / figures.endpoints as f64;
                pressed = restarts / duration_s / (a_day / 86_400.0);
                for n in 0..restarts as u32 {
                    let sidecar = self.rng.random_range(0..self.spec.hollow);
                    undisturbed.remove(&sidecar);
                    self.disconnected_at[sidecar] = Some(now());
                    let begins = f64::from(n) * 1.5;
                    self.run_until(at(begins)).await?;
                    let entry = self.set_state(sidecar, "draining");
                    due.push(self.publish_change(vec![entry])?);
                    self.run_until(at(begins + 0.5)).await?;
                    self.end_sidecars(&[sidecar])?;
                    let entry = self.set_state(sidecar, "removed");
                    due.push(self.publish_change(vec![entry])?);
                    self.run_until(at(begins + 1.0)).await?;
                    due.push(self.start_sidecars(&[sidecar])?);
                    let entry = self.set_state(sidecar, "up");
                    due.push(self.publish_change(vec![entry])?);
                }
            }
            Scenario::Zone => {
                let zone = self.fleet.zones[1 % self.fleet.zones.len()].clone();
                let of_zone = |entry: &Entry| entry.az == zone && entry.state == "up";
                let servers: Vec<usize> =
                    (0..self.spec.size).filter(|n| of_zone(&self.fleet.entries[*n])).collect();
                for (after, state) in [(0.5, "removed"), (duration_s / 2.0, "up")] {
                    self.run_until(at(after)).await?;
                    let entries = servers.iter().map(|n| self.set_state(*n, state)).collect();
                    due.push(self.publish_change(entries)?);
                }
            }
            Scenario::Reconnects => {
                undisturbed.clear();
                let mut next = 0.5;
                while next < duration_s {
                    self.run_until(at(next)).await?;
                    let close = |child: &Child| child.send(&control::Command::CloseConnections);
                    self.controls.iter().flatten().try_for_each(close)?;
                    self.disconnected_at.fill(Some(now()));
                    self.run_until(at(next + 0.7)).await?;
                    let entry = self.next_change();
                    due.push(self.publish_change(vec![entry])?);
                    next += 1.5;
                }
            }
            Scenario::AllAnew => {
                undisturbed.clear();
                self.run_until(at(0.2)).await?;
                let all: Vec<usize> = all.into_iter().collect();
                self.end_sidecars(&all)?;
                self.disconnected_at.fill(Some(now()));
                due.push(self.start_sidecars(&all)?);
            }
            Scenario::ControlKilled => {
                let killed_control = 0;
                let orphans = self.sidecars_of(killed_control);
                undisturbed.retain(|n| !orphans.contains(n));
                killed.insert(killed_control);
                let (mut next, mut taken_over) = (0.5, false);
                while next < duration_s {
                    self.run_until(at(next)).await?;
                    if next >= 1.5 && self.controls[killed_control].is_some() {
                        // The process is killed here, before anything else happens.
                        if let Some(child) = self.controls[killed_control].take() {
                            child.process.signal(Signal::KILL);
                            orphans.iter().for_each(|n| self.disconnected_at[*n] = Some(now()));
                        }
                        let takeover = Instant::now() + TAKEOVER_DELAY;
                        self.run_until(takeover).await?;
                    }
                    if self.controls[killed_control].is_none() && !taken_over {
                        taken_over = true;
                        let left: Vec<usize> =
                            (0..self.controls.len()).filter(|n| self.controls[*n].is_some()).collect();
                        for (n, sidecar) in orphans.iter().enumerate() {
                            self.served_by[*sidecar] = left[n % left.len()];
                        }
                        for control in left {
                            let new: Vec<usize> =
                                orphans.iter().copied().filter(|n| self.served_by[*n] == control).collect();
                            self.serve(control, &new)?;
                        }
                    }
                    let entry = self.next_change();
                    due.push(self.publish_change(vec![entry])?);
                    next += 1.0;
                }
            }
        }
        self.run_until(at(duration_s)).await?;
        let deadline = Instant::now() + self.spec.settle_time;
        while !self.all_in_force() && Instant::now() < deadline {
            self.run_until(Instant::now() + Duration::from_millis(50)).await?;
        }
        self.wait_for_reports().await?;
        let to = now();
        let played = ScenarioRun {
            name: scenario.name().to_owned(),
            seed: self.spec.seed,
            from,
            to,
            due,
            undisturbed,
            killed,
        };
        let (verdict, why, figures) = judge(&played, &self.observations, &self.spec.limits);
        // Later scenarios need none of these observations except the start times of sidecars.
        for track in self.observations.sidecars.iter_mut().chain(&mut self.observations.controls) {
            (track.samples, track.memory, track.in_force) = Default::default();
        }
        self.observations.late.clear();
        let lasts_s = (to - from) as f64 / 1e6;
        Ok(ScenarioResult { name: played.name, lasts_s, pressed, verdict, why, figures })
    }
}

fn sidecar_name(spec: &RunSpec, sidecar: usize) -> String {
    if sidecar < spec.hollow { format!("h{sidecar}") } else { format!("r{}", sidecar - spec.hollow) }
}

/// Compares a hollow sidecar with a real one on the same inputs.
///
/// # Errors
///
/// A process can't be started, or exits unexpectedly.
pub async fn compare_hollow_with_real(of: &RunSpec) -> Result<HollowReal> {
    let spec = RunSpec { hollow: 1, real: 1, controls: 1, rate: 0.0, faults: BTreeMap::new(), ..of.clone() };
    let mut rig = Rig::start(&spec)?;
    // Both call the same services, so that discovery sends both the same changes.
    rig.fleet.calls[1] = rig.fleet.calls[0].clone();
    rig.start_processes().await?;
    rig.wait_for_reports().await?;
    let start = Instant::now();
    for n in 0..24_u32 {
        rig.run_until(start + Duration::from_millis(250) * n).await?;
        let entry = rig.next_change();
        rig.publish_change(vec![entry])?;
    }
    let deadline = Instant::now() + spec.settle_time;
    while !rig.all_in_force() && Instant::now() < deadline {
        rig.run_until(Instant::now() + Duration::from_millis(50)).await?;
    }
    rig.wait_for_reports().await?;
    let of = |n: usize| rig.sent.get(&(0, n)).copied().unwrap_or_default();
    let (hollow, real) = (of(0), of(1));
    // Heartbeats are left out: they are timed from the opening of a watch, which differs between the two.
    let bytes = |sent: SentCounts| sent.bytes - sent.heartbeats * 6;
    let cpu = |n: usize| rig.observations.sidecars[n].samples.iter().map(|added| added.cpu).sum::<f64>();
    let memory = |n: usize| rig.observations.sidecars[n].memory.last().map_or(0.0, |last| last.1);
    Ok(HollowReal {
        messages: [hollow.messages, real.messages],
        bytes: [bytes(hollow), bytes(real)],
        cpu_ratio: cpu(0) / cpu(1).max(1.0),
        memory_ratio: memory(0) / memory(1).max(1.0),
    })
}
