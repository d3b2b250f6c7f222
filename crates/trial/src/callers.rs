//! Measures what a sidecar adds to a call: callers run beside real sidecars that know many servers. Each call is sent
//! twice, once directly to the stub servers and once through the sidecar, within half a mean gap of each other and in
//! random order, so that both meet the same machine conditions. Latencies are measured from when a call was due
//! (coordinated omission).
//!
//! The servers share one process and have an address each, since a sidecar that sees two servers at one address takes
//! one of them as removed. They answer immediately: what is measured is what the path adds. A few of them form the
//! called service; direct calls go to these over kept-alive connections. A sidecar without configured services may call
//! any.

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
/// Servers of the called service among all known ones.
pub const CALLED_SERVERS: usize = 6;
/// Other services among which the remaining servers are spread in a fleet of 3,100 servers, as in the capacity plan;
/// proportionally fewer in smaller fleets.
const SERVICES_AT_FULL_SIZE: usize = 489;
/// File descriptors that a stub needs beside its listeners and connections.
const SPARE_DESCRIPTORS: u64 = 64;

/// A measurement: callers, their sidecars and what these know.
pub struct Callers {
    /// The lab program, which contains the stubs and the `tether` command.
    pub lab: PathBuf,
    /// The sidecar's program.
    pub program: PathBuf,
    /// Servers that each sidecar receives from discovery.
    pub known_servers: usize,
    /// Number of sidecars, each with a caller; with 0, one caller makes direct calls only.
    pub sidecars: usize,
    /// Calls a second of each caller on each path.
    pub calls_per_s: f64,
    /// How long calls are sent before measuring.
    pub warm_up: Duration,
    /// How long calls are measured.
    pub duration: Duration,
    /// How long a client waits for the answer of a call.
    pub client_timeout: Duration,
    /// Whether the sidecars' configuration names the one service that they call.
    pub declare_interest: bool,
    /// The seed of all random draws.
    pub seed: u64,
    /// The auditor's bounds.
    pub bounds: Bounds,
}

/// The path of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPath {
    /// Directly to a server.
    Direct,
    /// Through the caller's sidecar.
    Sidecar,
}

/// Results of the calls of one path that were due in one second.
#[derive(Clone, Debug, Default)]
pub struct PathStats {
    /// Calls that were due.
    pub due: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Answered with another status than 200, answered incompletely or not at all, or not sent since too many were in
    /// flight.
    pub lost: u64,
    /// Latency of each call that was served, in microseconds from when it was due.
    pub latencies_us: Vec<u64>,
}

/// A second of the measurement.
#[derive(Clone, Debug, Default)]
pub struct SecondSample {
    /// Largest delay between when a call was due and when it was sent, in microseconds.
    pub max_send_delay_us: u64,
    /// Direct calls.
    pub direct: PathStats,
    /// Calls through the sidecars.
    pub via_sidecar: PathStats,
}

impl SecondSample {
    fn stats(&mut self, path: CallPath) -> &mut PathStats {
        match path {
            CallPath::Direct => &mut self.direct,
            CallPath::Sidecar => &mut self.via_sidecar,
        }
    }
}

/// What was measured in one run.
pub struct Measurements {
    /// The measured seconds.
    pub seconds: Vec<SecondSample>,
    /// Processor time of all sidecars in these seconds.
    pub cpu_time: Duration,
    /// The largest resident memory of a sidecar after the last call was sent, in bytes.
    pub max_resident_bytes: u64,
    /// The auditor's verdict on the whole history.
    pub verdict: Verdict,
}

/// Checks that the limit of file descriptors is high enough for the stub that needs most.
///
/// # Errors
///
/// The limit is too low; the message names the need, the limit and what to change.
pub fn descriptors(known_servers: usize, sidecars: usize) -> Result<()> {
    // A connection for each call that may be in flight, for each caller on both paths. An idle one is kept for each.
    let needed = known_servers as u64 + (sidecars.max(1) * 2 * MAX_IN_FLIGHT) as u64 + SPARE_DESCRIPTORS;
    match getrlimit(Resource::Nofile).current {
        Some(allowed) if allowed < needed => bail!(
            "--known {known_servers} with --real {sidecars}: the stub servers need {needed} file descriptors, `ulimit -n` allows \
             {allowed}; right would be a limit of {needed} or fewer servers"
        ),
        _ => Ok(()),
    }
}

/// The servers that a sidecar receives: those of the called service are spread evenly among the others.
fn server_entries(addresses: &[SocketAddr]) -> Vec<ListedServer> {
    let known_servers = addresses.len();
    let called: Vec<usize> = (0..CALLED_SERVERS).map(|n| n * known_servers / CALLED_SERVERS).collect();
    let services = (known_servers * SERVICES_AT_FULL_SIZE).div_ceil(3100).max(1);
    let entry = |(n, at): (usize, &SocketAddr)| {
        let model = if called.contains(&n) { CALLED.to_owned() } else { format!("svc-{:03}", n % services) };
        ListedServer { uid: crate::stubs::stub_name(n), address: *at, model }
    };
    addresses.iter().enumerate().map(entry).collect()
}

/// A call and when it is due.
struct Due {
    offset: Duration,
    caller: usize,
    path: CallPath,
    planned: PlannedRequest,
}

impl Callers {
    /// Draws all calls in advance. Pairs are due at times of a Poisson process; the second call of a pair is due half a
    /// mean gap after the first.
    fn draw(&self, start: Instant, rng: &mut SmallRng) -> Result<Vec<Due>> {
        let gaps = Exp::new(self.calls_per_s).context("invalid number of calls a second")?;
        let pair_gap = Duration::from_secs_f64(0.5 / self.calls_per_s);
        let mut all = Vec::new();
        for caller in 0..self.sidecars.max(1) {
            let mut at = Duration::ZERO;
            loop {
                at += Duration::from_secs_f64(gaps.sample(rng));
                if at >= self.warm_up + self.duration {
                    break;
                }
                let mut paths = [CallPath::Direct, CallPath::Sidecar];
                if rng.random() {
                    paths.reverse();
                }
                for (path, offset) in paths.into_iter().zip([at, at + pair_gap]) {
                    let planned = PlannedRequest::draw(rng, self.client_timeout, (start + offset).into());
                    if path == CallPath::Direct || self.sidecars > 0 {
                        all.push(Due { offset, caller, path, planned });
                    }
                }
            }
        }
        all.sort_by_key(|due| due.offset);
        Ok(all)
    }

    /// Runs until the last answer. All processes that were started have terminated when this returns or is dropped.
    ///
    /// # Errors
    ///
    /// A process can't be started, or a sidecar does not receive all servers in time.
    pub async fn run(&self) -> Result<Measurements> {
        if self.known_servers < CALLED_SERVERS {
            bail!("{} known servers are too few; expected {CALLED_SERVERS} or more", self.known_servers);
        }
        descriptors(self.known_servers, self.sidecars)?;
        let history: History = Rc::default();
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let servers =
            StubProcess::start(&self.lab, &["many", &self.known_servers.to_string()], &history).await?;
        let server_entries = server_entries(&servers.addresses);
        let called: Vec<SocketAddr> = server_entries
            .iter()
            .filter(|server| server.model == CALLED)
            .map(|server| server.address)
            .collect();
        let names: Vec<String> = (0..self.sidecars).map(|n| format!("n{n}")).collect();
        let arguments: Vec<&str> = ["list"].into_iter().chain(names.iter().map(String::as_str)).collect();
        let mut list = StubProcess::start(&self.lab, &arguments, &history).await?;
        let lists = names.iter().map(|name| (name.clone(), server_entries.clone())).collect();
        list.send_command(&ListCommand::ReplaceLists(lists)).await?;
        wait_for_event(&history, "the stub of the list did not apply its lists in time", |what| {
            matches!(what, EventKind::ListsReplaced)
        })
        .await?;

        let mut sidecars = Vec::new();
        for (n, name) in names.iter().enumerate() {
            sidecars.push(self.sidecar(name, list.addresses[n], rng.random(), &history).await?);
        }
        for name in &names {
            // Discovery may leave out services that the sidecar has declared not to call.
            let enough = |servers| {
                servers == self.known_servers || (self.declare_interest && servers == CALLED_SERVERS)
            };
            let all = |what: &EventKind| matches!(what, EventKind::EntriesSent { to, servers } if to == name && enough(*servers));
            wait_for_event(&history, &format!("{name} did not receive all servers in time"), all).await?;
        }
        let processes: Vec<u32> = history.borrow().iter().filter_map(|event| pid_of(&event.what)).collect();

        let timer_watch = watch_timers(history.clone());
        let at = sidecars.iter().map(|sidecar| sidecar.at.clone()).collect();
        let client = http_client(self.client_timeout);
        let calls = Calls { names, at, called, client, history: history.clone(), rng, warm_up: self.warm_up };
        let results = calls.run(self, &processes).await?;
        timer_watch.abort();
        for sidecar in sidecars {
            let _ = sidecar.commands.send(InstanceCommand::End);
            timeout(PROCESS_TIMEOUT, sidecar.task).await.context("a sidecar did not exit in time")??;
        }
        servers.end().await?;
        list.end().await?;
        let mut history = history.take();
        history.sort_by_key(|event| event.at);
        let verdict = judge(&history, self.bounds);
        let CallResults { seconds, cpu_time, max_resident_bytes } = results;
        Ok(Measurements { seconds, cpu_time, max_resident_bytes, verdict })
    }

    /// Starts a sidecar that learns of servers from the list alone, and waits until it serves.
    async fn sidecar(&self, name: &str, list: SocketAddr, seed: u64, history: &History) -> Result<Serving> {
        let folder = tempfile::tempdir()?;
        let times = ClassTimes {
            aim: Duration::from_millis(300),
            client_timeout: self.client_timeout,
            drain_grace: self.bounds.drain_grace,
        };
        let mut config = sidecar_config(times, name, list, &list_body(std::iter::empty(), true, 0), seed);
        if self.declare_interest {
            config["sidecar"] = json!({"services": [CALLED]});
        }
        std::fs::write(folder.path().join("config.json"), config.to_string())?;
        let folder_path = folder.path().to_owned();
        let sidecar = Instance::new(&self.lab, &self.program, name, folder_path, history).serve().await?;
        // The sidecar has read its configuration. Removing the folder now leaves nothing behind where the rig is
        // killed.
        drop(folder);
        Ok(sidecar)
    }
}

fn pid_of(what: &EventKind) -> Option<u32> {
    if let EventKind::Up { pid, .. } = what { Some(*pid) } else { None }
}

/// Waits until the history has a matching event.
async fn wait_for_event(
    history: &History,
    timeout_message: &str,
    what: impl Fn(&EventKind) -> bool,
) -> Result<()> {
    let until = async {
        while !history.borrow().iter().any(|event| what(&event.what)) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PROCESS_TIMEOUT, until).await.with_context(|| timeout_message.to_owned())
}

/// What was measured of the calls.
struct CallResults {
    seconds: Vec<SecondSample>,
    cpu_time: Duration,
    max_resident_bytes: u64,
}

/// The running callers.
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
    /// Sends each call when it is due, whether or not earlier ones are answered, and waits for the last answer.
    async fn run(mut self, callers: &Callers, processes: &[u32]) -> Result<CallResults> {
        // The runtime's timers have a resolution of whole milliseconds; a thread's sleep is late by less than a tenth
        // of one.
        let start = Instant::now() + Duration::from_millis(50);
        let mut due = schedule_calls(start, callers.draw(start, &mut self.rng)?);
        let count = usize::try_from(callers.duration.as_secs()).unwrap_or(0).max(1);
        let seconds = Rc::new(RefCell::new(vec![SecondSample::default(); count]));
        let permits = std::sync::Arc::new(Semaphore::new(MAX_IN_FLIGHT * 2 * callers.sidecars.max(1)));
        let mut tasks = Vec::new();
        let mut cpu_at_start = None;
        while let Some(Due { offset, caller, path, planned }) = due.recv().await {
            let second =
                offset.checked_sub(self.warm_up).and_then(|offset| usize::try_from(offset.as_secs()).ok());
            if let Some(n) = second
                && let Some(second) = seconds.borrow_mut().get_mut(n)
            {
                second.max_send_delay_us =
                    second.max_send_delay_us.max((start + offset).elapsed().as_micros() as u64);
                second.stats(path).due += 1;
                if cpu_at_start.is_none() {
                    cpu_at_start = Some(cpu_time_of(processes)?);
                }
            }
            let count = move |seconds: &RefCell<Vec<SecondSample>>, update: &dyn Fn(&mut PathStats)| {
                if let Some(n) = second
                    && let Some(second) = seconds.borrow_mut().get_mut(n)
                {
                    update(second.stats(path));
                }
            };
            let at = match path {
                CallPath::Direct => Some(self.called[self.rng.random_range(0..self.called.len())]),
                CallPath::Sidecar => self.at[caller].get(),
            };
            let (Some(at), Ok(permit)) = (at, permits.clone().try_acquire_owned()) else {
                count(&seconds, &|stats| stats.lost += 1);
                continue;
            };
            let client = self.client.clone();
            let history = self.history.clone();
            let seconds = seconds.clone();
            let name = match path {
                CallPath::Direct => "direct".to_owned(),
                CallPath::Sidecar => self.names[caller].clone(),
            };
            tasks.push(actix_rt::spawn(async move {
                let (answer, latency) = planned.send(&client, at, &name, &history).await;
                drop(permit);
                count(&seconds, &|stats| match &answer {
                    Answer::Served(_) => stats.latencies_us.push(latency.as_micros() as u64),
                    Answer::Refused => stats.refused += 1,
                    Answer::Failed | Answer::Broken(_) => stats.lost += 1,
                });
            }));
            if tasks.len() > 2 * MAX_IN_FLIGHT {
                tasks.retain(|task| !task.is_finished());
            }
        }
        let cpu_at_start = cpu_at_start.context("no call was due in the measured time")?;
        let cpu_time = cpu_time_of(processes).unwrap_or(cpu_at_start).saturating_sub(cpu_at_start);
        let max_resident_bytes =
            processes.iter().filter_map(|process| resident_bytes(*process)).max().unwrap_or(0);
        for task in tasks {
            let _ = task.await;
        }
        Ok(CallResults { seconds: seconds.take(), cpu_time, max_resident_bytes })
    }
}

/// Yields each call when it is due; stops when the receiver is dropped.
fn schedule_calls(start: Instant, all: Vec<Due>) -> UnboundedReceiver<Due> {
    let (sender, due) = unbounded_channel();
    std::thread::spawn(move || {
        for planned in all {
            std::thread::sleep((start + planned.offset).saturating_duration_since(Instant::now()));
            if sender.send(planned).is_err() {
                return;
            }
        }
    });
    due
}

/// Processor time used so far by all threads of the processes.
fn cpu_time_of(processes: &[u32]) -> Result<Duration> {
    let mut sum = 0;
    for process in processes {
        let threads = std::fs::read_dir(format!("/proc/{process}/task"));
        for thread in threads.with_context(|| format!("process {process}: can't read its threads"))? {
            let path = thread?.path().join("schedstat");
            let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
            let first = text.split_whitespace().next().and_then(|n| n.parse::<u64>().ok());
            sum += first.with_context(|| format!("{}: no processor time in '{text}'", path.display()))?;
        }
    }
    Ok(Duration::from_nanos(sum))
}

/// Resident memory of a process, in bytes.
fn resident_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}
