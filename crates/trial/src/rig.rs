//! The rig: starts the cast, puts relays between them, lets applications ask, plays the schedule, and keeps what was seen.
//! Each instance is an actor that owns its process; the schedule only sends it orders.

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

/// How long the program may take to begin, and to end.
pub(crate) const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the platform goes on sending to a sidecar that it told to end, and when it kills one that has not.
const SENDS_ON: Duration = Duration::from_millis(300);
const KILLS_AFTER: Duration = Duration::from_secs(5);
/// How often the rig looks at whether its timers are late.
const LOOK: Duration = Duration::from_millis(20);
/// Lines of a process's log that are kept to tell why it ended.
const LAST_LINES: usize = 20;

/// A trial.
pub struct Trial {
    /// The program that holds the stand-ins and the tie.
    pub lab: PathBuf,
    /// The program under test.
    pub program: PathBuf,
    /// How it is called.
    pub arguments: Vec<String>,
    /// The instances' names.
    pub instances: Vec<String>,
    /// The servers' names.
    pub servers: Vec<String>,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Requests of each instance.
    pub load: LoadSpec,
    /// What its answers are wanted within.
    pub aim: Duration,
    /// What is judged by.
    pub bounds: Bounds,
    /// What goes wrong.
    pub schedule: Schedule,
    /// Where each process's log is kept.
    pub log_dir: Option<PathBuf>,
    /// The fleet and its duty, where there is one.
    pub fleet: Option<FleetConfig>,
    /// A planted fault, which a program built for it takes from its environment.
    pub injected_fault: Option<String>,
}

/// What the operator's file says of the fleet.
pub struct FleetConfig {
    /// How many of the instances vote: the first ones.
    pub voters: usize,
    /// How long a lease is, in milliseconds.
    pub lease_ms: u64,
    /// How often the duty's effect is due, in milliseconds.
    pub period_ms: u64,
}

/// The fault of a stand-in that carries out effects under any fence.
pub const ANY_FENCE: &str = "any-fence";

/// What is seen of a second, for those who watch.
pub struct Progress<'a> {
    /// Seconds since the applications began.
    pub second: u64,
    /// What became of its requests.
    pub requests: &'a SecondStats,
    /// What came to each server.
    pub starts_per_server: &'a [(String, u64)],
    /// What was done to whom.
    pub faults: &'a [Fault],
}

/// What came of a trial.
pub struct Outcome {
    /// What is judged.
    pub verdict: Verdict,
    /// All that was seen, by time.
    pub history: Vec<Event>,
    /// When the applications began.
    pub start: u64,
}

/// All that is seen.
pub(crate) type History = Rc<RefCell<Vec<Event>>>;

pub(crate) fn record(history: &History, what: EventKind) {
    history.borrow_mut().push(Event::now(what));
}

/// A stand-in's process.
pub(crate) struct StubProcess {
    process: Process,
    orders: ChildStdin,
    /// Where it listens.
    pub(crate) on: Vec<SocketAddr>,
    reads: actix_rt::task::JoinHandle<()>,
}

impl StubProcess {
    pub(crate) async fn start(lab: &Path, arguments: &[&str], history: &History) -> Result<StubProcess> {
        let whole: Vec<&str> = ["stand"].into_iter().chain(arguments.iter().copied()).collect();
        let mut process = Process::start(lab, lab, &whole, &[])?;
        let (orders, out, errors) = process.streams()?;
        let mut lines = BufReader::new(out).lines();
        let first =
            timeout(PROCESS_TIMEOUT, lines.next_line()).await.context("a stand-in does not begin")??;
        let first: Option<Event> = first.map(|line| serde_json::from_str(&line)).transpose()?;
        let Some(Event { what: EventKind::Listening { addresses: on }, .. }) = first else {
            bail!("the stand-in {} ended at once", arguments.join(" "));
        };
        actix_rt::spawn(async move {
            let mut errors = BufReader::new(errors).lines();
            while let Ok(Some(line)) = errors.next_line().await {
                eprintln!("a stand-in: {line}");
            }
        });
        let history = history.clone();
        let reads = actix_rt::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Ok(event) = serde_json::from_str::<Event>(&line) {
                    history.borrow_mut().push(event);
                }
            }
        });
        Ok(StubProcess { process, orders, on, reads })
    }

    pub(crate) async fn tell(&mut self, order: &ListCommand) -> Result<()> {
        let line = serde_json::to_string(order)? + "\n";
        self.orders.write_all(line.as_bytes()).await.context("a stand-in takes no orders")
    }

    pub(crate) fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Lets it end, and reads what it saw to the last line.
    pub(crate) async fn end(self) -> Result<()> {
        self.process.signal(Signal::CONT);
        drop(self.orders);
        timeout(PROCESS_TIMEOUT, self.reads).await.context("a stand-in does not end")??;
        Ok(())
    }
}

/// What an instance is told to do.
pub(crate) enum InstanceCommand {
    Fault(Fault),
    /// The platform ends it, and nothing comes after.
    End,
}

/// An instance: its process, where it is alive, and what it is started with.
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
    pub(crate) told: bool,
    /// Where it is heard as a member.
    pub(crate) member: Target,
    pub(crate) plant: Option<String>,
}

/// An instance that serves.
pub(crate) struct Serving {
    /// Where its orders go.
    pub(crate) orders: UnboundedSender<InstanceCommand>,
    /// Where the platform sends; nowhere from some time after it was told to end.
    pub(crate) at: Rc<Cell<Option<SocketAddr>>>,
    /// Its actor, which ends with its process.
    pub(crate) task: actix_rt::task::JoinHandle<()>,
}

impl Instance {
    /// One that is not started yet, without arguments, a log or a planted fault.
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
            told: false,
            member: Target::default(),
            plant: None,
        }
    }

    /// Starts it, and waits until it serves.
    pub(crate) async fn serve(self) -> Result<Serving> {
        let (name, at) = (self.name.clone(), self.at.clone());
        let (orders, mail) = unbounded_channel();
        let (begun, mut begins) = watch::channel(None);
        let task = actix_rt::spawn(self.run(mail, begun));
        let begun = begins.wait_for(Option::is_some).await.map_err(|_| anyhow!("{name} was not started"))?;
        if let Some(Err(error)) = &*begun {
            bail!("{name}: {error}");
        }
        Ok(Serving { orders, at, task })
    }

    pub(crate) async fn run(
        mut self,
        mut orders: UnboundedReceiver<InstanceCommand>,
        begun: watch::Sender<Option<Result<(), String>>>,
    ) {
        let begins = self.start(Disk::Kept).await.map_err(|error| format!("{error:#}"));
        let over = begins.is_err();
        begun.send_replace(Some(begins));
        if over {
            return;
        }
        loop {
            tokio::select! {
                biased;
                order = orders.recv() => match order {
                    Some(InstanceCommand::Fault(fault)) => self.follow(fault).await,
                    Some(InstanceCommand::End) | None => {
                        if let Some(process) = &self.process {
                            process.signal(Signal::CONT);
                        }
                        self.end(false).await;
                        return;
                    }
                },
                ended = exited(&mut self.process) => self.down(ended),
            }
        }
    }

    fn did(&self, fault: Fault) {
        record(&self.history, EventKind::FaultInjected { fault });
    }

    fn down(&mut self, how: String) {
        self.process = None;
        self.at.set(None);
        let told = std::mem::replace(&mut self.told, false);
        record(&self.history, EventKind::Down { process: self.name.clone(), how, expected: told });
    }

    async fn follow(&mut self, fault: Fault) {
        match &fault {
            Fault::Start { disk, .. } => {
                if self.process.is_some() {
                    self.end(true).await;
                }
                self.did(fault.clone());
                if let Err(error) = self.start(*disk).await {
                    self.down(format!("does not start: {error:#}"));
                }
            }
            Fault::Term { .. } => self.tell_to_end(fault, Signal::TERM),
            Fault::Interrupt { .. } => self.tell_to_end(fault, Signal::INT),
            Fault::Reload { .. } => {
                if let Some(process) = &self.process {
                    process.signal(Signal::HUP);
                }
                self.did(fault);
            }
            Fault::Kill { .. } | Fault::Stop { .. } | Fault::Continue { .. } => {
                let signal = match &fault {
                    Fault::Kill { .. } => Signal::KILL,
                    Fault::Stop { .. } => Signal::STOP,
                    _ => Signal::CONT,
                };
                // What it does until the signal comes is before the fault; what it does after going on is after it.
                if signal == Signal::CONT {
                    self.did(fault.clone());
                }
                if let Some(process) = &self.process {
                    process.signal(signal);
                }
                if signal != Signal::CONT {
                    self.did(fault);
                }
                if signal == Signal::KILL {
                    self.told = true;
                    let ended = exited(&mut self.process).await;
                    self.down(ended);
                }
            }
            Fault::Link { .. } | Fault::Reset { .. } | Fault::Drain { .. } | Fault::Remove { .. } => {}
        }
    }

    /// Told to end; its application goes on for a while.
    fn tell_to_end(&mut self, fault: Fault, signal: Signal) {
        self.did(fault);
        self.told = true;
        if let Some(process) = &self.process {
            process.signal(signal);
        }
        let (at, was) = (self.at.clone(), self.at.get());
        actix_rt::spawn(async move {
            sleep(SENDS_ON).await;
            if at.get() == was {
                at.set(None);
            }
        });
    }

    /// Waits for its end, as the platform does; told to end before that where it was not yet.
    async fn end(&mut self, told: bool) {
        if self.process.is_none() {
            return;
        }
        if !told {
            self.tell_to_end(Fault::Term { process: self.name.clone() }, Signal::TERM);
        }
        let ended = match timeout(KILLS_AFTER, exited(&mut self.process)).await {
            Ok(ended) => ended,
            Err(_) => {
                if let Some(process) = &self.process {
                    process.signal(Signal::KILL);
                }
                format!("{}, as it did not end when told", exited(&mut self.process).await)
            }
        };
        self.down(ended);
    }

    async fn start(&mut self, disk: Disk) -> Result<()> {
        let state = self.folder.join("state");
        if disk == Disk::Lost && state.exists() {
            std::fs::remove_dir_all(&state)?;
        }
        std::fs::create_dir_all(&state)?;
        let arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        let config = self.folder.join("config.json");
        let plant = self.plant.as_deref().map(Path::new);
        let environment: Vec<(&str, &Path)> = [("EDGE_CONFIG", config.as_path())]
            .into_iter()
            .chain(plant.map(|plant| ("EDGE_PLANT", plant)))
            .collect();
        let mut process = Process::start(&self.lab, &self.program, &arguments, &environment)?;
        let (stdin, out, errors) = process.streams()?;
        drop((stdin, out));
        let id = process.id();
        let mut lines = BufReader::new(errors).lines();
        let mut log = match &self.log {
            None => None,
            Some(path) => Some(std::fs::OpenOptions::new().create(true).append(true).open(path)?),
        };
        let (found, mut serves) = watch::channel(None::<SocketAddr>);
        let last = Rc::new(RefCell::new(Vec::new()));
        let kept = last.clone();
        let (member, name, history) = (self.member.clone(), self.name.clone(), self.history.clone());
        actix_rt::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some((_, at)) = line.split_once("listening on ") {
                    found.send_replace(at.trim().parse().ok());
                }
                if let Some((_, at)) = line.split_once(" heard at ") {
                    member.set(at.split(',').next().and_then(|at| at.parse().ok()));
                }
                if let Some(what) = duty_of(&name, &line) {
                    record(&history, what);
                }
                if let Some(log) = &mut log {
                    let _ = std::io::Write::write_all(
                        log,
                        format!("{} {line}\n", crate::clock::now()).as_bytes(),
                    );
                }
                let mut kept = kept.borrow_mut();
                if kept.len() == LAST_LINES {
                    kept.remove(0);
                }
                kept.push(line);
            }
        });
        self.process = Some(process);
        let found =
            timeout(PROCESS_TIMEOUT, serves.wait_for(Option::is_some)).await.context("it does not serve")?;
        let at =
            found.map(|at| *at).map_err(|_| anyhow!("it ended at once: {}", last.borrow().join("; ")))?;
        record(&self.history, EventKind::Up { process: self.name.clone(), pid: id });
        self.at.set(at);
        Ok(())
    }
}

/// What a line of a sidecar's log says of a duty.
fn duty_of(process: &str, line: &str) -> Option<EventKind> {
    let (duty, said) = line.split_once("duty ")?.1.split_once(": ")?;
    let (process, duty) = (process.to_owned(), duty.to_owned());
    if let Some(rest) = said.strip_prefix("held here, fence ") {
        let fence = rest.split(',').next()?.parse().ok()?;
        return Some(EventKind::DutyAcquired { process, duty, fence });
    }
    said.starts_with("let go").then_some(EventKind::DutyReleased { process, duty })
}

impl FleetConfig {
    /// The operator's file of an instance that reaches the voters here.
    fn file(&self, voters: &[(String, SocketAddr)]) -> String {
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

/// Waits until a process ends; for ever where there is none.
async fn exited(process: &mut Option<Process>) -> String {
    match process {
        None => std::future::pending().await,
        Some(process) => match process.wait().await {
            Ok(status) => format!("ended with {status}"),
            Err(error) => format!("can't be waited for: {error}"),
        },
    }
}

/// Plays a trial to its end. All that was started has ended when this returns, or is dropped.
///
/// # Errors
///
/// A process can't be started, or what it is told can't be written.
pub async fn run_trial(trial: &Trial, mut look: impl FnMut(&Progress<'_>)) -> Result<Outcome> {
    let history: History = Rc::default();
    let mut rng = SmallRng::seed_from_u64(trial.seed);
    let ways = Links::new(rng.random());
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
    let mut hold = BTreeMap::new();
    let members: BTreeMap<String, Target> =
        trial.instances.iter().map(|name| (name.clone(), Target::default())).collect();
    let mut instances = BTreeMap::new();
    let mut tasks = Vec::new();
    let mut waits = Vec::new();
    for (n, name) in trial.instances.iter().enumerate() {
        let mut reached = Vec::new();
        for (server, stand) in &servers {
            // The first is the one that keeps what duties do.
            let model = if server == "s0" { "ledger" } else { "" }.to_owned();
            let at = ways.tcp(name, server, fixed(stand.on[0])).await?;
            reached.push(ListedServer { uid: server.clone(), address: at, model });
        }
        let discovery = ways.tcp(name, "list", fixed(list.on[n])).await?;
        let folder = folder.path().join(name);
        std::fs::create_dir_all(&folder)?;
        let known = list_body(reached.iter().map(|listed| (listed, "up")), true, 1);
        let times = ClassTimes {
            aim: trial.aim,
            client_timeout: trial.load.client_timeout,
            grace: trial.bounds.drain_grace,
        };
        let mut config = sidecar_config(times, name, discovery, &known, rng.random());
        if let Some(fleet) = &trial.fleet {
            let mut voters = Vec::new();
            for voter in &trial.instances[..fleet.voters.min(trial.instances.len())] {
                let at = if voter == name {
                    SocketAddr::from(([127, 0, 0, 1], 9))
                } else {
                    ways.udp(name, voter, members[voter].clone()).await?
                };
                voters.push((voter.clone(), at));
            }
            let path = folder.join("operator.toml");
            std::fs::write(&path, fleet.file(&voters))?;
            config["limits_file"] = json!(path);
        }
        std::fs::write(folder.join("config.json"), config.to_string())?;
        hold.insert(name.clone(), reached);
        let instance = Instance {
            arguments: trial.arguments.clone(),
            log: trial.log_dir.as_ref().map(|out| out.join(format!("{name}.log"))),
            member: members[name].clone(),
            plant: trial.injected_fault.clone(),
            ..Instance::new(&trial.lab, &trial.program, name, folder, &history)
        };
        let at = instance.at.clone();
        let (orders, mail) = unbounded_channel();
        let (begun, begins) = watch::channel(None);
        waits.push((instance, mail, begun, begins));
        instances.insert(name.clone(), (orders, at));
    }
    list.tell(&ListCommand::ReplaceLists(hold)).await?;
    let mut begins = Vec::new();
    for (instance, mail, begun, begin) in waits {
        begins.push((instance.name.clone(), begin));
        tasks.push(actix_rt::spawn(instance.run(mail, begun)));
    }
    for (name, mut begin) in begins {
        let begun = begin.wait_for(Option::is_some).await.map_err(|_| anyhow!("{name} was not started"))?;
        if let Some(Err(error)) = &*begun {
            bail!("{name}: {error}");
        }
    }

    let start = crate::clock::now();
    let now = Rc::new(RefCell::new(SecondStats::new()?));
    let mut asking = Vec::new();
    for (name, (_, at)) in &instances {
        let (name, at, history, now) = (name.clone(), at.clone(), history.clone(), now.clone());
        let application = Application { name, at, history, now };
        asking.push(actix_rt::spawn(application.ask(trial.load, SmallRng::from_rng(&mut rng))));
    }
    let watches = watch_timers(history.clone());
    let rig = Rig { ways: ways.clone(), instances, servers, history: history.clone() };
    rig.through(trial, &mut list, asking, &now, &mut look).await?;
    ways.repair_all();
    rig.instances.values().for_each(|(orders, _)| drop(orders.send(InstanceCommand::End)));
    for task in tasks {
        timeout(PROCESS_TIMEOUT, task).await.context("an instance does not end")??;
    }
    watches.abort();
    for stand in rig.servers.into_values() {
        stand.end().await?;
    }
    list.end().await?;
    let mut history = history.take();
    history.sort_by_key(|event| event.at);
    let verdict = judge(&history, trial.bounds);
    Ok(Outcome { verdict, history, start })
}

/// Notes where the rig's own timers run late, until it is aborted.
pub(crate) fn watch_timers(history: History) -> actix_rt::task::JoinHandle<()> {
    actix_rt::spawn(async move {
        loop {
            let due = Instant::now() + LOOK;
            sleep_until(due).await;
            let by = due.elapsed().as_micros() as u64;
            if by > 10_000 {
                record(&history, EventKind::TimerLate { by });
            }
        }
    })
}

/// An instance's orders, and where it serves.
type Handle = (UnboundedSender<InstanceCommand>, Rc<Cell<Option<SocketAddr>>>);

/// What the schedule reaches.
struct Rig {
    ways: Links,
    instances: BTreeMap<String, Handle>,
    servers: BTreeMap<String, StubProcess>,
    history: History,
}

impl Rig {
    /// Plays the schedule until every application has its last answer.
    async fn through(
        &self,
        trial: &Trial,
        list: &mut StubProcess,
        asking: Vec<actix_rt::task::JoinHandle<()>>,
        now: &RefCell<SecondStats>,
        look: &mut impl FnMut(&Progress<'_>),
    ) -> Result<()> {
        let begun = Instant::now();
        let mut steps = trial.schedule.steps.iter().peekable();
        let mut ticks = interval(Duration::from_secs(1));
        ticks.tick().await;
        let (mut did, mut seen) = (Vec::new(), self.history.borrow().len());
        let mut over = std::pin::pin!(async {
            for task in asking {
                let _ = task.await;
            }
        });
        loop {
            let next = steps.peek().map(|step| begun + Duration::from_millis(step.at_ms));
            tokio::select! {
                biased;
                () = async { match next { Some(next) => sleep_until(next).await, None => std::future::pending().await } } => {
                    if let Some(step) = steps.next() {
                        did.push(step.fault.clone());
                        self.inflict(&step.fault, list).await?;
                    }
                }
                _ = ticks.tick() => {
                    let done = std::mem::replace(&mut *now.borrow_mut(), SecondStats::new()?);
                    let mut came: Vec<(String, u64)> = trial.servers.iter().map(|name| (name.clone(), 0)).collect();
                    for event in &self.history.borrow()[seen..] {
                        if let EventKind::RequestStarted { server, .. } = &event.what
                            && let Some((_, n)) = came.iter_mut().find(|(name, _)| name == server)
                        {
                            *n += 1;
                        }
                    }
                    seen = self.history.borrow().len();
                    look(&Progress { second: begun.elapsed().as_secs(), requests: &done, starts_per_server: &came, faults: &did });
                    did.clear();
                }
                () = &mut over => return Ok(()),
            }
        }
    }

    async fn inflict(&self, fault: &Fault, list: &mut StubProcess) -> Result<()> {
        match fault {
            Fault::Kill { process }
            | Fault::Term { process }
            | Fault::Interrupt { process }
            | Fault::Reload { process }
            | Fault::Start { process, .. }
            | Fault::Stop { process }
            | Fault::Continue { process } => {
                if let Some((orders, _)) = self.instances.get(process) {
                    let _ = orders.send(InstanceCommand::Fault(fault.clone()));
                    return Ok(());
                }
                let stand = self.servers.get(process).map_or(&*list, |stand| stand);
                match fault {
                    Fault::Stop { .. } => stand.process.signal(Signal::STOP),
                    Fault::Continue { .. } => stand.process.signal(Signal::CONT),
                    _ => bail!("'{fault}': only instances are ended and started"),
                }
            }
            Fault::Link { from, to, impairment } => self.ways.link(from, to).set(*impairment),
            Fault::Reset { from, to } => self.ways.reset(from, to),
            Fault::Drain { server } | Fault::Remove { server } => {
                let state = if matches!(fault, Fault::Drain { .. }) { "draining" } else { "removed" };
                list.tell(&ListCommand::SetState { server: server.clone(), state: state.to_owned() }).await?;
            }
        }
        record(&self.history, EventKind::FaultInjected { fault: fault.clone() });
        Ok(())
    }
}

/// What the classes of an instance's requests are held to.
#[derive(Clone, Copy)]
pub(crate) struct ClassTimes {
    /// What answers are wanted within.
    pub(crate) aim: Duration,
    /// How long a request waits.
    pub(crate) client_timeout: Duration,
    /// How long a drained server may still be sent to, in microseconds.
    pub(crate) grace: u64,
}

/// What an instance is told at its start.
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
            "safety": {"drain_grace": times.grace},
            "classes": [class("read", "retryable"), class("pay", "dedup"), class("book", "fragile")],
        },
    })
}
