//! Callers beside real sidecars that know many servers: each call goes out twice, once the direct way to the stand-in servers
//! and once through the sidecar, within half a gap of each other and in an order that is drawn, so that both meet the same
//! machine. Times are from when a call was due (coordinated omission).
//!
//! The servers are one process with an address of its own for each, as of two servers at one address a sidecar takes one
//! for gone. They answer at once: what is looked for is what the way adds. A few of them are the service that is called;
//! the direct way leads to these, through kept connections. A sidecar that knows no services may call any.

use crate::audit::{Bounds, Verdict, judge};
use crate::history::{Answer, EventKind};
use crate::load::{MAX_IN_FLIGHT, PlannedRequest, http_client};
use crate::rig::{
    ClassTimes, History, Instance, InstanceCommand, PROCESS_TIMEOUT, Serving, StubProcess, sidecar_config,
    watch_timers,
};
use crate::stubs::{ListCommand, ListedServer, list_body};
use anyhow::{Context, Result, bail};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rustix::process::{Resource, getrlimit};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{sleep, timeout};

/// The service that is called.
pub const CALLED: &str = "called";
/// Its servers among all that are known.
pub const CALLED_SERVERS: usize = 6;
/// Services that the rest of 3,100 belong to, as the plan has it; fewer where fewer are known.
const SERVICES: usize = 489;
/// Descriptors of a stand-in beside its listeners and connections.
const SPARE: u64 = 64;

/// Callers, their sidecars and what these know.
pub struct Callers {
    /// The program that holds the stand-ins and the tie.
    pub lab: PathBuf,
    /// The sidecar's program.
    pub program: PathBuf,
    /// Servers that each sidecar is told of.
    pub known_servers: usize,
    /// Sidecars, each with a caller; with none only the direct way is played, by one caller.
    pub sidecars: usize,
    /// Calls a second of each caller, each way.
    pub calls_per_s: f64,
    /// For how long calls go out before any counts.
    pub warm_up: Duration,
    /// For how long calls count.
    pub duration: Duration,
    /// How long a call waits.
    pub client_timeout: Duration,
    /// Sidecars are told that they call one service.
    pub declare_interest: bool,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// What is judged by.
    pub bounds: Bounds,
}

/// How a call went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPath {
    /// To a server.
    Direct,
    /// To the caller's sidecar.
    Sidecar,
}

/// What became of the calls of one way that were due in one second.
#[derive(Clone, Debug, Default)]
pub struct PathStats {
    /// Due.
    pub due: u64,
    /// Answered 429 or 503.
    pub refused: u64,
    /// Any other answer but 200, none that is whole, or not sent as too many were out.
    pub lost: u64,
    /// Microseconds until each that was served had its answer, from when it was due.
    pub latencies_us: Vec<u64>,
}

/// A second in which calls count.
#[derive(Clone, Debug, Default)]
pub struct SecondSample {
    /// How late the latest of its calls went out, in microseconds.
    pub max_send_delay_us: u64,
    /// The direct way.
    pub direct: PathStats,
    /// Through the sidecars.
    pub via_sidecar: PathStats,
}

impl SecondSample {
    fn side(&mut self, by: CallPath) -> &mut PathStats {
        match by {
            CallPath::Direct => &mut self.direct,
            CallPath::Sidecar => &mut self.via_sidecar,
        }
    }
}

/// What was seen of one play.
pub struct Measurements {
    /// The seconds in which calls count.
    pub seconds: Vec<SecondSample>,
    /// Processor time of all sidecars in these.
    pub cpu_time: Duration,
    /// The most memory that one of them had resident when the last call had gone out, in bytes.
    pub max_resident_bytes: u64,
    /// What the auditor says of all that was seen.
    pub verdict: Verdict,
}

/// Whether this many descriptors are allowed to the stand-in that needs most.
///
/// # Errors
///
/// They are not: names the need, the limit and what would be right.
pub fn descriptors(known: usize, real: usize) -> Result<()> {
    // A connection of each call that may be out, of each caller, both ways; an idle one for each is kept.
    let needed = known as u64 + (real.max(1) * 2 * MAX_IN_FLIGHT) as u64 + SPARE;
    match getrlimit(Resource::Nofile).current {
        Some(allowed) if allowed < needed => bail!(
            "--known {known} with --real {real}: the stand-in servers need {needed} descriptors, `ulimit -n` allows \
             {allowed}; right would be a limit of {needed} or fewer servers"
        ),
        _ => Ok(()),
    }
}

/// The servers that a sidecar is told of: those of the called service spread evenly among those of others.
fn listed(on: &[SocketAddr]) -> Vec<ListedServer> {
    let known = on.len();
    let called: Vec<usize> = (0..CALLED_SERVERS).map(|n| n * known / CALLED_SERVERS).collect();
    let services = (known * SERVICES).div_ceil(3100).max(1);
    let entry = |(n, at): (usize, &SocketAddr)| {
        let model = if called.contains(&n) { CALLED.to_owned() } else { format!("svc-{:03}", n % services) };
        ListedServer { uid: crate::stubs::stub_name(n), address: *at, model }
    };
    on.iter().enumerate().map(entry).collect()
}

/// A call that is due.
struct Due {
    after: Duration,
    caller: usize,
    by: CallPath,
    one: PlannedRequest,
}

impl Callers {
    /// All calls, drawn beforehand. A pair is due at times of a Poisson process; one of the two comes half a mean gap later.
    fn draw(&self, start: Instant, rng: &mut SmallRng) -> Result<Vec<Due>> {
        let gaps = Exp::new(self.calls_per_s).context("calls a second")?;
        let apart = Duration::from_secs_f64(0.5 / self.calls_per_s);
        let mut all = Vec::new();
        for caller in 0..self.sidecars.max(1) {
            let mut at = Duration::ZERO;
            loop {
                at += Duration::from_secs_f64(gaps.sample(rng));
                if at >= self.warm_up + self.duration {
                    break;
                }
                let mut ways = [CallPath::Direct, CallPath::Sidecar];
                if rng.random() {
                    ways.reverse();
                }
                for (by, after) in ways.into_iter().zip([at, at + apart]) {
                    let one = PlannedRequest::draw(rng, self.client_timeout, (start + after).into());
                    if by == CallPath::Direct || self.sidecars > 0 {
                        all.push(Due { after, caller, by, one });
                    }
                }
            }
        }
        all.sort_by_key(|due| due.after);
        Ok(all)
    }

    /// Plays to the last answer. All that was started has ended when this returns, or is dropped.
    ///
    /// # Errors
    ///
    /// A process can't be started, or a sidecar is not told of all servers in time.
    pub async fn run(&self) -> Result<Measurements> {
        if self.known_servers < CALLED_SERVERS {
            bail!("{} servers known; right would be {CALLED_SERVERS} or more", self.known_servers);
        }
        descriptors(self.known_servers, self.sidecars)?;
        let history: History = Rc::default();
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let servers =
            StubProcess::start(&self.lab, &["many", &self.known_servers.to_string()], &history).await?;
        let listed = listed(&servers.on);
        let called: Vec<SocketAddr> =
            listed.iter().filter(|server| server.model == CALLED).map(|server| server.address).collect();
        let names: Vec<String> = (0..self.sidecars).map(|n| format!("n{n}")).collect();
        let arguments: Vec<&str> = ["list"].into_iter().chain(names.iter().map(String::as_str)).collect();
        let mut list = StubProcess::start(&self.lab, &arguments, &history).await?;
        let hold = names.iter().map(|name| (name.clone(), listed.clone())).collect();
        list.tell(&ListCommand::ReplaceLists(hold)).await?;
        seen(&history, "the list holds nothing", |what| matches!(what, EventKind::ListsReplaced)).await?;

        let mut sidecars = Vec::new();
        for (n, name) in names.iter().enumerate() {
            sidecars.push(self.sidecar(name, list.on[n], rng.random(), &history).await?);
        }
        for name in &names {
            // Discovery may leave out what a sidecar has said that it does not call.
            let enough = |servers| {
                servers == self.known_servers || (self.declare_interest && servers == CALLED_SERVERS)
            };
            let all = |what: &EventKind| matches!(what, EventKind::EntriesSent { to, servers } if to == name && enough(*servers));
            seen(&history, &format!("{name} is not told of all servers"), all).await?;
        }
        let processes: Vec<u32> = history.borrow().iter().filter_map(|event| pid_of(&event.what)).collect();

        let watches = watch_timers(history.clone());
        let (at, client) =
            (sidecars.iter().map(|sidecar| sidecar.at.clone()).collect(), http_client(self.client_timeout));
        let calls = Calls { names, at, called, client, history: history.clone(), rng, warm_up: self.warm_up };
        let done = calls.run(self, &processes).await?;
        watches.abort();
        for sidecar in sidecars {
            let _ = sidecar.orders.send(InstanceCommand::End);
            timeout(PROCESS_TIMEOUT, sidecar.task).await.context("a sidecar does not end")??;
        }
        servers.end().await?;
        list.end().await?;
        let mut history = history.take();
        history.sort_by_key(|event| event.at);
        let verdict = judge(&history, self.bounds);
        let (seconds, cpu_time, max_resident_bytes) = done;
        Ok(Measurements { seconds, cpu_time, max_resident_bytes, verdict })
    }

    /// Starts a sidecar that knows no server but by the list, and waits until it serves.
    async fn sidecar(&self, name: &str, list: SocketAddr, seed: u64, history: &History) -> Result<Serving> {
        let folder = tempfile::tempdir()?;
        let times = ClassTimes {
            aim: Duration::from_millis(300),
            client_timeout: self.client_timeout,
            grace: self.bounds.drain_grace,
        };
        let mut config = sidecar_config(times, name, list, &list_body(std::iter::empty(), true, 0), seed);
        if self.declare_interest {
            config["sidecar"] = json!({"services": [CALLED]});
        }
        std::fs::write(folder.path().join("config.json"), config.to_string())?;
        let folder_of = folder.path().to_owned();
        let sidecar = Instance::new(&self.lab, &self.program, name, folder_of, history).serve().await?;
        // It has read what it was told, and a rig that is killed leaves no folder behind.
        drop(folder);
        Ok(sidecar)
    }
}

fn pid_of(what: &EventKind) -> Option<u32> {
    if let EventKind::Up { pid, .. } = what { Some(*pid) } else { None }
}

/// Waits until something was seen.
async fn seen(history: &History, else_: &str, what: impl Fn(&EventKind) -> bool) -> Result<()> {
    let until = async {
        while !history.borrow().iter().any(|event| what(&event.what)) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PROCESS_TIMEOUT, until).await.with_context(|| else_.to_owned())
}

/// The callers at work.
struct Calls {
    names: Vec<String>,
    at: Vec<Rc<Cell<Option<SocketAddr>>>>,
    called: Vec<SocketAddr>,
    client: awc::Client,
    history: History,
    rng: SmallRng,
    warm_up: Duration,
}

impl Calls {
    /// Sends all that is due, whether or not earlier ones are answered, and waits for the last answer. Gives the seconds
    /// that count, the sidecars' processor time in them, and the most memory that one has resident.
    async fn run(
        mut self,
        callers: &Callers,
        processes: &[u32],
    ) -> Result<(Vec<SecondSample>, Duration, u64)> {
        // The clock of a runtime counts whole milliseconds; a thread's sleep is late by less than a tenth of one.
        let start = Instant::now() + Duration::from_millis(50);
        let mut due = clock(start, callers.draw(start, &mut self.rng)?);
        let count = usize::try_from(callers.duration.as_secs()).unwrap_or(0).max(1);
        let seconds = Rc::new(RefCell::new(vec![SecondSample::default(); count]));
        let places = std::sync::Arc::new(Semaphore::new(MAX_IN_FLIGHT * 2 * callers.sidecars.max(1)));
        let (mut out, mut began) = (Vec::new(), None);
        while let Some(Due { after, caller, by, one }) = due.recv().await {
            let second =
                after.checked_sub(self.warm_up).and_then(|after| usize::try_from(after.as_secs()).ok());
            if let Some(n) = second
                && let Some(second) = seconds.borrow_mut().get_mut(n)
            {
                second.max_send_delay_us =
                    second.max_send_delay_us.max((start + after).elapsed().as_micros() as u64);
                second.side(by).due += 1;
                if began.is_none() {
                    began = Some(processor_time(processes)?);
                }
            }
            let count = move |seconds: &RefCell<Vec<SecondSample>>, what: &dyn Fn(&mut PathStats)| {
                if let Some(n) = second
                    && let Some(second) = seconds.borrow_mut().get_mut(n)
                {
                    what(second.side(by));
                }
            };
            let at = match by {
                CallPath::Direct => Some(self.called[self.rng.random_range(0..self.called.len())]),
                CallPath::Sidecar => self.at[caller].get(),
            };
            let (Some(at), Ok(place)) = (at, places.clone().try_acquire_owned()) else {
                count(&seconds, &|side| side.lost += 1);
                continue;
            };
            let (client, history, seconds) = (self.client.clone(), self.history.clone(), seconds.clone());
            let name = match by {
                CallPath::Direct => "direct".to_owned(),
                CallPath::Sidecar => self.names[caller].clone(),
            };
            out.push(actix_rt::spawn(async move {
                let (answer, took) = one.ask(&client, at, &name, &history).await;
                drop(place);
                count(&seconds, &|side| match &answer {
                    Answer::Served(_) => side.latencies_us.push(took.as_micros() as u64),
                    Answer::Refused => side.refused += 1,
                    Answer::Failed | Answer::Broken(_) => side.lost += 1,
                });
            }));
            if out.len() > 2 * MAX_IN_FLIGHT {
                out.retain(|task| !task.is_finished());
            }
        }
        let began = began.context("no call was due")?;
        let processor = processor_time(processes).unwrap_or(began).saturating_sub(began);
        let resident = processes.iter().filter_map(|process| resident(*process)).max().unwrap_or(0);
        for task in out {
            let _ = task.await;
        }
        Ok((seconds.take(), processor, resident))
    }
}

/// Gives each call when it is due; ends where nobody listens any more.
fn clock(start: Instant, all: Vec<Due>) -> UnboundedReceiver<Due> {
    let (tell, due) = unbounded_channel();
    std::thread::spawn(move || {
        for one in all {
            std::thread::sleep((start + one.after).saturating_duration_since(Instant::now()));
            if tell.send(one).is_err() {
                return;
            }
        }
    });
    due
}

/// Processor time of processes until now, of all their threads.
fn processor_time(processes: &[u32]) -> Result<Duration> {
    let mut sum = 0;
    for process in processes {
        let threads = std::fs::read_dir(format!("/proc/{process}/task"));
        for thread in threads.with_context(|| format!("process {process}: its threads"))? {
            let path = thread?.path().join("schedstat");
            let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
            let first = text.split_whitespace().next().and_then(|n| n.parse::<u64>().ok());
            sum += first.with_context(|| format!("{}: '{text}' has no time", path.display()))?;
        }
    }
    Ok(Duration::from_nanos(sum))
}

/// Memory that a process has resident, in bytes.
fn resident(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}
