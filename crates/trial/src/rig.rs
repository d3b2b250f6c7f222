//! The rig: starts all processes and the relays between them, runs the applications and the schedule, and records all
//! events. Each instance is an actor that owns its process; the schedule only sends it commands.

use crate::audit::{Bounds, Verdict, judge};
use crate::child::Process;
use crate::history::{Event, EventKind};
use crate::load::{Application, LoadSpec, SecondStats};
use crate::relay::{Links, Target};
use crate::schedule::{Disk, Fault, Schedule};
use crate::stubs::{ListCommand, ListedServer, list_body};
use anyhow::{Context, Result, anyhow, bail};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::ChildStdin;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};

/// How long a process may take to start, and to exit.
pub(crate) const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the platform still sends requests to a sidecar that it requested to terminate.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(300);
/// When the platform kills a sidecar that it requested to terminate.
const KILL_DELAY: Duration = Duration::from_secs(5);
/// How often the rig checks whether its timers are late.
const TIMER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timers that are no later than this, in microseconds, are not recorded.
const RECORDED_LATENESS_US: u64 = 10_000;
/// The last lines of a process's log, kept to explain its exit.
const KEPT_LOG_LINES: usize = 20;

/// A trial.
pub struct Trial {
    /// The lab program, which contains the stubs and the `tether` command.
    pub lab: PathBuf,
    /// The program under test.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// The instances' names.
    pub instances: Vec<String>,
    /// The servers' names.
    pub servers: Vec<String>,
    /// The seed of all random draws.
    pub seed: u64,
    /// The load of each instance.
    pub load: LoadSpec,
    /// The latency target of all classes.
    pub aim: Duration,
    /// The auditor's bounds.
    pub bounds: Bounds,
    /// The faults to inject.
    pub schedule: Schedule,
    /// The folder for each process's log.
    pub log_dir: Option<PathBuf>,
    /// The fleet and its duty, if any.
    pub fleet: Option<FleetConfig>,
    /// A fault that a program built with the feature `plant` reads from its environment.
    pub injected_fault: Option<String>,
}

/// The fleet section of the operator's settings.
pub struct FleetConfig {
    /// How many of the instances are voters; these are the first ones.
    pub voters: usize,
    /// The duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// The period of the duty's effect, in milliseconds.
    pub period_ms: u64,
}

/// The injected fault of a stub that carries out effects under any fence.
pub const ANY_FENCE: &str = "any-fence";

/// A report of one second while a trial runs.
pub struct Progress<'a> {
    /// Seconds since the applications started.
    pub second: u64,
    /// Results of its requests.
    pub requests: &'a SecondStats,
    /// Number of requests that started at each server.
    pub starts_per_server: &'a [(String, u64)],
    /// Faults that were injected.
    pub faults: &'a [Fault],
}

/// The result of a trial.
pub struct Outcome {
    /// The auditor's verdict.
    pub verdict: Verdict,
    /// All events by time.
    pub history: Vec<Event>,
    /// When the applications started.
    pub start: u64,
}

/// All events so far.
pub(crate) type History = Rc<RefCell<Vec<Event>>>;

pub(crate) fn record(history: &History, what: EventKind) {
    history.borrow_mut().push(Event::now(what));
}

/// The process of a stub.
pub(crate) struct StubProcess {
    process: Process,
    stdin: ChildStdin,
    /// Where it listens.
    pub(crate) addresses: Vec<SocketAddr>,
    reader: actix_rt::task::JoinHandle<()>,
}

impl StubProcess {
    pub(crate) async fn start(lab: &Path, arguments: &[&str], history: &History) -> Result<StubProcess> {
        let stub_arguments: Vec<&str> = ["stand"].into_iter().chain(arguments.iter().copied()).collect();
        let mut process = Process::start(lab, lab, &stub_arguments, &[])?;
        let (stdin, stdout, stderr) = process.streams()?;
        let mut lines = BufReader::new(stdout).lines();
        let first =
            timeout(PROCESS_TIMEOUT, lines.next_line()).await.context("a stub did not start in time")??;
        let first: Option<Event> = first.map(|line| serde_json::from_str(&line)).transpose()?;
        let Some(Event { what: EventKind::Listening { addresses }, .. }) = first else {
            bail!("the stub `{}` exited before it listened", arguments.join(" "));
        };
        actix_rt::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                eprintln!("stub: {line}");
            }
        });
        let history = history.clone();
        let reader = actix_rt::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Ok(event) = serde_json::from_str::<Event>(&line) {
                    history.borrow_mut().push(event);
                }
            }
        });
        Ok(StubProcess { process, stdin, addresses, reader })
    }

    pub(crate) async fn send_command(&mut self, command: &ListCommand) -> Result<()> {
        let line = serde_json::to_string(command)? + "\n";
        self.stdin.write_all(line.as_bytes()).await.context("a stub does not read its commands")
    }

    pub(crate) fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Lets the stub exit, and reads its events to the end.
    pub(crate) async fn end(self) -> Result<()> {
        self.process.signal(Signal::CONT);
        drop(self.stdin);
        timeout(PROCESS_TIMEOUT, self.reader).await.context("a stub did not exit in time")??;
        Ok(())
    }
}

/// A command to the actor of an instance.
pub(crate) enum InstanceCommand {
    Fault(Fault),
    /// The platform terminates the process; no further command follows.
    End,
}

/// An instance: its process while it runs, and how it is started.
pub(crate) struct Instance {
    pub(crate) lab: PathBuf,
    pub(crate) program: PathBuf,
    pub(crate) arguments: Vec<String>,
    pub(crate) name: String,
    pub(crate) folder: PathBuf,
    pub(crate) log: Option<PathBuf>,
    pub(crate) at: Rc<Cell<Option<SocketAddr>>>,
    pub(crate) history: History,
    pub(crate) process: Option<Process>,
    pub(crate) exit_expected: bool,
    /// The address at which it receives fleet messages.
    pub(crate) member_address: Target,
    pub(crate) injected_fault: Option<String>,
}

/// An instance that serves.
pub(crate) struct Serving {
    /// Commands to its actor.
    pub(crate) commands: UnboundedSender<InstanceCommand>,
    /// The address that the platform sends requests to; none from some time after it requested termination.
    pub(crate) at: Rc<Cell<Option<SocketAddr>>>,
    /// Its actor, which finishes with the process.
    pub(crate) task: actix_rt::task::JoinHandle<()>,
}

impl Instance {
    /// An instance that is not started yet, without arguments, a log file or an injected fault.
    pub(crate) fn new(
        lab: &Path,
        program: &Path,
        name: &str,
        folder: PathBuf,
        history: &History,
    ) -> Instance {
        Instance {
            lab: lab.to_owned(),
            program: program.to_owned(),
            arguments: Vec::new(),
            name: name.to_owned(),
            folder,
            log: None,
            at: Rc::default(),
            history: history.clone(),
            process: None,
            exit_expected: false,
            member_address: Target::default(),
            injected_fault: None,
        }
    }

    /// Starts the instance, and waits until it serves.
    pub(crate) async fn serve(self) -> Result<Serving> {
        let name = self.name.clone();
        let at = self.at.clone();
        let (commands, received_commands) = unbounded_channel();
        let (started, mut start_result) = watch::channel(None);
        let task = actix_rt::spawn(self.run(received_commands, started));
        let result =
            start_result.wait_for(Option::is_some).await.map_err(|_| anyhow!("{name} was not started"))?;
        if let Some(Err(error)) = &*result {
            bail!("{name}: {error}");
        }
        Ok(Serving { commands, at, task })
    }

    pub(crate) async fn run(
        mut self,
        mut commands: UnboundedReceiver<InstanceCommand>,
        started: watch::Sender<Option<Result<(), String>>>,
    ) {
        let result = self.start(Disk::Kept).await.map_err(|error| format!("{error:#}"));
        let failed = result.is_err();
        started.send_replace(Some(result));
        if failed {
            return;
        }
        loop {
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(InstanceCommand::Fault(fault)) => self.inject(fault).await,
                    Some(InstanceCommand::End) | None => {
                        if let Some(process) = &self.process {
                            process.signal(Signal::CONT);
                        }
                        self.end(false).await;
                        return;
                    }
                },
                exit = exited(&mut self.process) => self.record_exit(exit),
            }
        }
    }

    fn record_fault(&self, fault: Fault) {
        record(&self.history, EventKind::FaultInjected { fault });
    }

    fn record_exit(&mut self, how: String) {
        self.process = None;
        self.at.set(None);
        let expected = std::mem::replace(&mut self.exit_expected, false);
        record(&self.history, EventKind::Down { process: self.name.clone(), how, expected });
    }

    async fn inject(&mut self, fault: Fault) {
        match &fault {
            Fault::Start { disk, .. } => {
                if self.process.is_some() {
                    self.end(true).await;
                }
                self.record_fault(fault.clone());
                if let Err(error) = self.start(*disk).await {
                    self.record_exit(format!("does not start: {error:#}"));
                }
            }
            Fault::Term { .. } => self.request_termination(fault, Signal::TERM),
            Fault::Interrupt { .. } => self.request_termination(fault, Signal::INT),
            Fault::Reload { .. } => {
                if let Some(process) = &self.process {
                    process.signal(Signal::HUP);
                }
                self.record_fault(fault);
            }
            Fault::Kill { .. } | Fault::Stop { .. } | Fault::Continue { .. } => {
                let signal = match &fault {
                    Fault::Kill { .. } => Signal::KILL,
                    Fault::Stop { .. } => Signal::STOP,
                    _ => Signal::CONT,
                };
                // What the process does before the signal arrives precedes a kill or a stop; what it does after it
                // continues follows the fault.
                if signal == Signal::CONT {
                    self.record_fault(fault.clone());
                }
                if let Some(process) = &self.process {
                    process.signal(signal);
                }
                if signal != Signal::CONT {
                    self.record_fault(fault);
                }
                if signal == Signal::KILL {
                    self.exit_expected = true;
                    let exit = exited(&mut self.process).await;
                    self.record_exit(exit);
                }
            }
            Fault::Link { .. } | Fault::Reset { .. } | Fault::Drain { .. } | Fault::Remove { .. } => {}
        }
    }

    /// Requests termination; the application goes on for a while.
    fn request_termination(&mut self, fault: Fault, signal: Signal) {
        self.record_fault(fault);
        self.exit_expected = true;
        if let Some(process) = &self.process {
            process.signal(signal);
        }
        let at = self.at.clone();
        let was = self.at.get();
        actix_rt::spawn(async move {
            sleep(DEREGISTRATION_DELAY).await;
            if at.get() == was {
                at.set(None);
            }
        });
    }

    /// Waits for the process to exit, as the platform does; requests its termination first unless that was done.
    async fn end(&mut self, already_signalled: bool) {
        if self.process.is_none() {
            return;
        }
        if !already_signalled {
            self.request_termination(Fault::Term { process: self.name.clone() }, Signal::TERM);
        }
        let exit = match timeout(KILL_DELAY, exited(&mut self.process)).await {
            Ok(exit) => exit,
            Err(_) => {
                if let Some(process) = &self.process {
                    process.signal(Signal::KILL);
                }
                format!("{}, as it did not end when told", exited(&mut self.process).await)
            }
        };
        self.record_exit(exit);
    }

    async fn start(&mut self, disk: Disk) -> Result<()> {
        let state = self.folder.join("state");
        if disk == Disk::Lost && state.exists() {
            std::fs::remove_dir_all(&state)?;
        }
        std::fs::create_dir_all(&state)?;
        let arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        let config = self.folder.join("config.json");
        let injected_fault = self.injected_fault.as_deref().map(Path::new);
        let environment: Vec<(&str, &Path)> = [("EDGE_CONFIG", config.as_path())]
            .into_iter()
            .chain(injected_fault.map(|fault| ("EDGE_PLANT", fault)))
            .collect();
        let mut process = Process::start(&self.lab, &self.program, &arguments, &environment)?;
        let (stdin, stdout, stderr) = process.streams()?;
        drop((stdin, stdout));
        let id = process.id();
        let mut lines = BufReader::new(stderr).lines();
        let mut log = match &self.log {
            None => None,
            Some(path) => Some(std::fs::OpenOptions::new().create(true).append(true).open(path)?),
        };
        let (address_found, mut address) = watch::channel(None::<SocketAddr>);
        let last_lines = Rc::new(RefCell::new(Vec::new()));
        let kept_lines = last_lines.clone();
        let member_address = self.member_address.clone();
        let name = self.name.clone();
        let history = self.history.clone();
        actix_rt::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some((_, at)) = line.split_once("listening on ") {
                    address_found.send_replace(at.trim().parse().ok());
                }
                if let Some((_, at)) = line.split_once(" heard at ") {
                    member_address.set(at.split(',').next().and_then(|at| at.parse().ok()));
                }
                if let Some(what) = parse_duty_event(&name, &line) {
                    record(&history, what);
                }
                if let Some(log) = &mut log {
                    let _ = std::io::Write::write_all(
                        log,
                        format!("{} {line}\n", crate::clock::now()).as_bytes(),
                    );
                }
                let mut kept_lines = kept_lines.borrow_mut();
                if kept_lines.len() == KEPT_LOG_LINES {
                    kept_lines.remove(0);
                }
                kept_lines.push(line);
            }
        });
        self.process = Some(process);
        let found =
            timeout(PROCESS_TIMEOUT, address.wait_for(Option::is_some)).await.context("it does not serve")?;
        let at = found
            .map(|at| *at)
            .map_err(|_| anyhow!("it ended at once: {}", last_lines.borrow().join("; ")))?;
        record(&self.history, EventKind::Up { process: self.name.clone(), pid: id });
        self.at.set(at);
        Ok(())
    }
}

/// Parses a line of a sidecar's log that reports on a duty.
fn parse_duty_event(process: &str, line: &str) -> Option<EventKind> {
    let (duty, message) = line.split_once("duty ")?.1.split_once(": ")?;
    let process = process.to_owned();
    let duty = duty.to_owned();
    if let Some(rest) = message.strip_prefix("held here, fence ") {
        let fence = rest.split(',').next()?.parse().ok()?;
        return Some(EventKind::DutyAcquired { process, duty, fence });
    }
    message.starts_with("let go").then_some(EventKind::DutyReleased { process, duty })
}

impl FleetConfig {
    /// The operator's settings of an instance that reaches the voters at these addresses.
    fn operator_settings(&self, voters: &[(String, SocketAddr)]) -> String {
        let FleetConfig { lease_ms, period_ms, .. } = self;
        let voter = |(name, at): &(String, SocketAddr)| {
            format!("[[fleet.voter]]\nname = \"{name}\"\nat = \"{at}\"\n")
        };
        let voters: String = voters.iter().map(voter).collect();
        format!(
            "version = 1\n[fleet]\nname = \"trial\"\nlisten = \"127.0.0.1:0\"\nlease = \"{lease_ms}ms\"\n{voters}\
             [[duty]]\nname = \"settle\"\npath = \"/book/duty/settle\"\nperiod = \"{period_ms}ms\"\n\
             [[route]]\nname = \"duties\"\nmatch = {{ path = \"/book/duty/**\" }}\npool = \"ledger\"\n\
             [[pool]]\nname = \"ledger\"\nmodels = [\"ledger\"]\n"
        )
    }
}

/// Waits until a process exits; forever where there is none.
async fn exited(process: &mut Option<Process>) -> String {
    match process {
        None => std::future::pending().await,
        Some(process) => match process.wait().await {
            Ok(status) => format!("ended with {status}"),
            Err(error) => format!("can't be waited for: {error}"),
        },
    }
}

/// Runs a trial. All processes that were started have terminated when this returns or is dropped.
///
/// # Errors
///
/// A process can't be started, or one of its files can't be written.
pub async fn run_trial(trial: &Trial, mut report_progress: impl FnMut(&Progress<'_>)) -> Result<Outcome> {
    let history: History = Rc::default();
    let mut rng = SmallRng::seed_from_u64(trial.seed);
    let links = Links::new(rng.random());
    let mut servers = BTreeMap::new();
    for name in &trial.servers {
        let seed = rng.random::<u64>().to_string();
        let mut arguments = vec!["server", name, "--seed", &seed];
        if trial.injected_fault.as_deref() == Some(ANY_FENCE) {
            arguments.push("--any-fence");
        }
        servers.insert(name.clone(), StubProcess::start(&trial.lab, &arguments, &history).await?);
    }
    let arguments: Vec<&str> =
        ["list"].into_iter().chain(trial.instances.iter().map(String::as_str)).collect();
    let mut list = StubProcess::start(&trial.lab, &arguments, &history).await?;

    // A relay from each instance to each server and to the list.
    let fixed = |at: SocketAddr| -> Target { Rc::new(Cell::new(Some(at))) };
    let folder = tempfile::tempdir()?;
    let mut lists = BTreeMap::new();
    let member_addresses: BTreeMap<String, Target> =
        trial.instances.iter().map(|name| (name.clone(), Target::default())).collect();
    let mut instances = BTreeMap::new();
    let mut tasks = Vec::new();
    let mut pending = Vec::new();
    for (n, name) in trial.instances.iter().enumerate() {
        let mut reached = Vec::new();
        for (server, stub) in &servers {
            // The first server receives the effects of duties.
            let model = if server == "s0" { "ledger" } else { "" }.to_owned();
            let at = links.tcp(name, server, fixed(stub.addresses[0])).await?;
            reached.push(ListedServer { uid: server.clone(), address: at, model });
        }
        let discovery = links.tcp(name, "list", fixed(list.addresses[n])).await?;
        let folder = folder.path().join(name);
        std::fs::create_dir_all(&folder)?;
        let known = list_body(reached.iter().map(|listed| (listed, "up")), true, 1);
        let times = ClassTimes {
            aim: trial.aim,
            client_timeout: trial.load.client_timeout,
            drain_grace: trial.bounds.drain_grace,
        };
        let mut config = sidecar_config(times, name, discovery, &known, rng.random());
        if let Some(fleet) = &trial.fleet {
            let mut voters = Vec::new();
            for voter in &trial.instances[..fleet.voters.min(trial.instances.len())] {
                let at = if voter == name {
                    SocketAddr::from(([127, 0, 0, 1], 9))
                } else {
                    links.udp(name, voter, member_addresses[voter].clone()).await?
                };
                voters.push((voter.clone(), at));
            }
            let path = folder.join("operator.toml");
            std::fs::write(&path, fleet.operator_settings(&voters))?;
            config["limits_file"] = json!(path);
        }
        std::fs::write(folder.join("config.json"), config.to_string())?;
        lists.insert(name.clone(), reached);
        let instance = Instance {
            arguments: trial.arguments.clone(),
            log: trial.log_dir.as_ref().map(|out| out.join(format!("{name}.log"))),
            member_address: member_addresses[name].clone(),
            injected_fault: trial.injected_fault.clone(),
            ..Instance::new(&trial.lab, &trial.program, name, folder, &history)
        };
        let at = instance.at.clone();
        let (commands, received_commands) = unbounded_channel();
        let (started, start_result) = watch::channel(None);
        pending.push(PendingInstance { instance, commands: received_commands, started, start_result });
        instances.insert(name.clone(), InstanceHandle { commands, address: at });
    }
    list.send_command(&ListCommand::ReplaceLists(lists)).await?;
    let mut start_results = Vec::new();
    for PendingInstance { instance, commands, started, start_result } in pending {
        start_results.push((instance.name.clone(), start_result));
        tasks.push(actix_rt::spawn(instance.run(commands, started)));
    }
    for (name, mut start_result) in start_results {
        let result =
            start_result.wait_for(Option::is_some).await.map_err(|_| anyhow!("{name} was not started"))?;
        if let Some(Err(error)) = &*result {
            bail!("{name}: {error}");
        }
    }

    let start = crate::clock::now();
    let current_second = Rc::new(RefCell::new(SecondStats::new()?));
    let mut applications = Vec::new();
    for (name, handle) in &instances {
        let application = Application {
            name: name.clone(),
            at: handle.address.clone(),
            history: history.clone(),
            current_second: current_second.clone(),
        };
        applications.push(actix_rt::spawn(application.run(trial.load, SmallRng::from_rng(&mut rng))));
    }
    let timer_watch = watch_timers(history.clone());
    let rig = Rig { links: links.clone(), instances, servers, history: history.clone() };
    rig.play_schedule(trial, &mut list, applications, &current_second, &mut report_progress).await?;
    links.repair_all();
    rig.instances.values().for_each(|handle| drop(handle.commands.send(InstanceCommand::End)));
    for task in tasks {
        timeout(PROCESS_TIMEOUT, task).await.context("an instance did not exit in time")??;
    }
    timer_watch.abort();
    for stub in rig.servers.into_values() {
        stub.end().await?;
    }
    list.end().await?;
    let mut history = history.take();
    history.sort_by_key(|event| event.at);
    let verdict = judge(&history, trial.bounds);
    Ok(Outcome { verdict, history, start })
}

/// Records the rig's own late timers until it is aborted.
pub(crate) fn watch_timers(history: History) -> actix_rt::task::JoinHandle<()> {
    actix_rt::spawn(async move {
        loop {
            let due = Instant::now() + TIMER_CHECK_INTERVAL;
            sleep_until(due).await;
            let by = due.elapsed().as_micros() as u64;
            if by > RECORDED_LATENESS_US {
                record(&history, EventKind::TimerLate { by });
            }
        }
    })
}

/// Where an instance takes commands and where it serves.
struct InstanceHandle {
    commands: UnboundedSender<InstanceCommand>,
    address: Rc<Cell<Option<SocketAddr>>>,
}

/// An instance that is ready to be started.
struct PendingInstance {
    instance: Instance,
    commands: UnboundedReceiver<InstanceCommand>,
    started: watch::Sender<Option<Result<(), String>>>,
    start_result: watch::Receiver<Option<Result<(), String>>>,
}

/// The processes and links that faults are injected into.
struct Rig {
    links: Links,
    instances: BTreeMap<String, InstanceHandle>,
    servers: BTreeMap<String, StubProcess>,
    history: History,
}

impl Rig {
    /// Injects the faults of the schedule until every application has its last answer.
    async fn play_schedule(
        &self,
        trial: &Trial,
        list: &mut StubProcess,
        applications: Vec<actix_rt::task::JoinHandle<()>>,
        current_second: &RefCell<SecondStats>,
        report_progress: &mut impl FnMut(&Progress<'_>),
    ) -> Result<()> {
        let started_at = Instant::now();
        let mut steps = trial.schedule.steps.iter().peekable();
        let mut ticks = interval(Duration::from_secs(1));
        ticks.tick().await;
        let mut faults = Vec::new();
        let mut events_seen = self.history.borrow().len();
        let mut all_answered = std::pin::pin!(async {
            for task in applications {
                let _ = task.await;
            }
        });
        loop {
            let next = steps.peek().map(|step| started_at + Duration::from_millis(step.at_ms));
            tokio::select! {
                biased;
                () = async { match next { Some(next) => sleep_until(next).await, None => std::future::pending().await } } => {
                    if let Some(step) = steps.next() {
                        faults.push(step.fault.clone());
                        self.inject_fault(&step.fault, list).await?;
                    }
                }
                _ = ticks.tick() => {
                    let done = std::mem::replace(&mut *current_second.borrow_mut(), SecondStats::new()?);
                    let mut starts_per_server: Vec<(String, u64)> = trial.servers.iter().map(|name| (name.clone(), 0)).collect();
                    for event in &self.history.borrow()[events_seen..] {
                        if let EventKind::RequestStarted { server, .. } = &event.what
                            && let Some((_, n)) = starts_per_server.iter_mut().find(|(name, _)| name == server)
                        {
                            *n += 1;
                        }
                    }
                    events_seen = self.history.borrow().len();
                    report_progress(&Progress { second: started_at.elapsed().as_secs(), requests: &done, starts_per_server: &starts_per_server, faults: &faults });
                    faults.clear();
                }
                () = &mut all_answered => return Ok(()),
            }
        }
    }

    async fn inject_fault(&self, fault: &Fault, list: &mut StubProcess) -> Result<()> {
        match fault {
            Fault::Kill { process }
            | Fault::Term { process }
            | Fault::Interrupt { process }
            | Fault::Reload { process }
            | Fault::Start { process, .. }
            | Fault::Stop { process }
            | Fault::Continue { process } => {
                if let Some(handle) = self.instances.get(process) {
                    let _ = handle.commands.send(InstanceCommand::Fault(fault.clone()));
                    return Ok(());
                }
                let stub = self.servers.get(process).map_or(&*list, |stub| stub);
                match fault {
                    Fault::Stop { .. } => stub.process.signal(Signal::STOP),
                    Fault::Continue { .. } => stub.process.signal(Signal::CONT),
                    _ => bail!("'{fault}': only instances can be terminated and started"),
                }
            }
            Fault::Link { from, to, impairment } => self.links.link(from, to).set(*impairment),
            Fault::Reset { from, to } => self.links.reset(from, to),
            Fault::Drain { server } | Fault::Remove { server } => {
                let state = if matches!(fault, Fault::Drain { .. }) { "draining" } else { "removed" };
                list.send_command(&ListCommand::SetState { server: server.clone(), state: state.to_owned() })
                    .await?;
            }
        }
        record(&self.history, EventKind::FaultInjected { fault: fault.clone() });
        Ok(())
    }
}

/// Times of an instance's classes.
#[derive(Clone, Copy)]
pub(crate) struct ClassTimes {
    /// The latency target.
    pub(crate) aim: Duration,
    /// The deadline.
    pub(crate) client_timeout: Duration,
    /// How long requests may still be sent to a draining server, in microseconds.
    pub(crate) drain_grace: u64,
}

/// The configuration with which an instance starts.
pub(crate) fn sidecar_config(
    times: ClassTimes,
    name: &str,
    discovery: SocketAddr,
    known: &serde_json::Value,
    seed: u64,
) -> serde_json::Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": times.aim.as_micros() as u64, "deadline": times.client_timeout.as_micros() as u64,
            "gain": 1.0, "late_worth": 0.5, "semantics": semantics, "group": "all", "window": 5_000_000})
    };
    json!({
        "name": name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": format!("{seed:016x}"),
        "known": known,
        "settings": {
            "zones": ["here"], "stats": {"fields": ["inflight", "queue", "util"], "how": "inline"},
            "limits": {"try_limit": 4, "probes": true, "cancel": true, "connect_timeout": 200_000},
            "deductions": {"probe": 0.02},
            "safety": {"drain_grace": times.drain_grace},
            "classes": [class("read", "retryable"), class("pay", "dedup"), class("book", "fragile")],
        },
    })
}
